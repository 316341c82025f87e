package placement

import (
	"sort"
	"strings"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/manifest"
)

const (
	// factorRise and factorFall are the parts, one in so many, by which a learned
	// factor moves towards a larger and a smaller one. Reserving too little costs an
	// eviction, reserving too much only room.
	factorRise = 2
	factorFall = 16
	// exact is the factor, in thousandths, of a task that uses what it declares.
	exact = 1000
	// maxFactor bounds what one faulty sample can teach.
	maxFactor = 32 * exact
	// durationPart is the weight, one in so many, of the newest run time.
	durationPart = 8
)

// class is what was learned about the tasks of a class.
type class struct {
	name        manifest.ClassName
	maxAttempts int
	// processors and memory are the learned use against what tasks declare, in
	// thousandths. Jobs of one class differ in size, but tend to be off alike.
	processors int64
	memory     int64
	// duration is the mean run time from start to end.
	duration time.Duration
}

func (e *Engine) class(name manifest.ClassName) *class {
	c := e.classes[name]
	if c == nil {
		if e.classes == nil {
			e.classes = map[manifest.ClassName]*class{}
		}
		c = &class{name: name, processors: exact, memory: exact}
		e.classes[name] = c
	}
	return c
}

// need is what a task of the job reserves: the larger of what it declares and of
// what the job, or before its first sample the class, was seen to use.
func (e *Engine) need(j *job) resource.Vector {
	seen := j.peak
	if seen.IsZero() {
		seen = j.class.scale(j.Resources)
	}
	need := j.Resources.Max(seen)
	if need == j.Resources || e.fits(need) {
		return need
	}
	// No worker has what was seen, so the job gets what it declares.
	return j.Resources
}

func (c *class) scale(v resource.Vector) resource.Vector {
	v.Processors = resource.MilliProcessors(int64(v.Processors) * c.processors / exact)
	v.Memory = resource.Bytes(int64(v.Memory) / exact * c.memory)
	return v
}

// seen raises what is known about a job and its class at once, while the task runs.
func (j *job) seen(observed resource.Vector) {
	j.peak = j.peak.Max(observed)
	c := j.class
	c.processors = raise(c.processors, int64(observed.Processors), int64(j.Resources.Processors))
	c.memory = raise(c.memory, int64(observed.Memory), int64(j.Resources.Memory))
}

// finished learns from an attempt that ran to its end.
func (c *class) finished(now time.Time, a *attempt) {
	if !a.observed.IsZero() {
		c.processors = lower(c.processors, int64(a.observed.Processors), int64(a.job.Resources.Processors))
		c.memory = lower(c.memory, int64(a.observed.Memory), int64(a.job.Resources.Memory))
	}
	ran := now.Sub(a.started)
	if c.duration == 0 {
		c.duration = ran
	}
	c.duration += (ran - c.duration) / durationPart
}

func factorOf(observed, declared int64) int64 {
	if declared <= 0 {
		return exact
	}
	return min(max(int64(float64(observed)/float64(declared)*exact), exact), maxFactor)
}

func raise(factor, observed, declared int64) int64 {
	if more := factorOf(observed, declared) - factor; more > 0 {
		return factor + (more+factorRise-1)/factorRise
	}
	return factor
}

func lower(factor, observed, declared int64) int64 {
	if less := factor - factorOf(observed, declared); less > 0 {
		return factor - (less+factorFall-1)/factorFall
	}
	return factor
}

// serviceSets numbers the distinct sets of services on workers.
type serviceSets struct {
	byName map[string]int32
	sets   [][]manifest.ServiceName
}

// number returns the number of a set; the empty set is always 0.
func (s *serviceSets) number(names []manifest.ServiceName) int32 {
	if s.byName == nil {
		s.byName = map[string]int32{"": 0}
		s.sets = [][]manifest.ServiceName{nil}
	}
	parts := make([]string, len(names))
	for i, name := range names {
		parts[i] = string(name)
	}
	key := strings.Join(parts, "\x00")
	id, ok := s.byName[key]
	if !ok {
		id = int32(len(s.sets))
		s.byName[key] = id
		s.sets = append(s.sets, names)
	}
	return id
}

// setServices keeps what is known about services that stay on the worker.
func (e *Engine) setServices(n *node) {
	names := append([]manifest.ServiceName(nil), n.Worker.Services...)
	sort.Slice(names, func(a, b int) bool { return names[a] < names[b] })
	n.set = e.sets.number(names)
	n.Worker.Services = nil
	old := n.services
	n.services = make([]serviceState, 0, len(names))
	for _, name := range names {
		state := serviceState{name: name, ratio: unknownRatio}
		for _, s := range old {
			if s.name == name {
				state = s
			}
		}
		n.services = append(n.services, state)
	}
}
