package placement

import (
	"sort"
	"strings"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/manifest"
)

const (
	// factorRiseDivisor and factorFall are the parts, one in so many, by which a learned
	// factor moves towards a larger and a smaller one. Reserving too little costs an
	// eviction, reserving too much only room.
	factorRiseDivisor = 2
	factorFallDivisor = 16
	// neutralFactor is the factor, in thousandths, of a task that uses what it declares.
	neutralFactor = 1000
	// maxUsageFactor bounds what one faulty sample can teach.
	maxUsageFactor = 32 * neutralFactor
	// durationWeightDivisor is the weight, one in so many, of the newest run time.
	durationWeightDivisor = 8
)

// classStats is what was learned about the tasks of a classStats.
type classStats struct {
	name        manifest.ClassName
	maxAttempts int
	// processorFactor and memory are the learned use against what tasks declare, in
	// thousandths. Jobs of one class differ in size, but tend to be off alike.
	processorFactor int64
	memoryFactor    int64
	// meanDuration is the mean run time from start to end.
	meanDuration time.Duration
}

func (e *Engine) classByName(name manifest.ClassName) *classStats {
	c := e.classes[name]
	if c == nil {
		if e.classes == nil {
			e.classes = map[manifest.ClassName]*classStats{}
		}
		c = &classStats{name: name, processorFactor: neutralFactor, memoryFactor: neutralFactor}
		e.classes[name] = c
	}
	return c
}

// demand is what a task of the job reserves: the larger of what it declares and of
// what the job, or before its first sample the class, was seen to use.
func (e *Engine) demand(j *job) resource.Vector {
	used := j.peakUsage
	if used.IsZero() {
		used = j.class.scaleDeclared(j.Resources)
	}
	demand := j.Resources.Max(used)
	if demand == j.Resources || e.fitsAnyWorker(demand) {
		return demand
	}
	// No worker has what was seen, so the job gets what it declares.
	return j.Resources
}

func (c *classStats) scaleDeclared(v resource.Vector) resource.Vector {
	v.Processors = resource.MilliProcessors(int64(v.Processors) * c.processorFactor / neutralFactor)
	v.Memory = resource.Bytes(int64(v.Memory) / neutralFactor * c.memoryFactor)
	return v
}

// recordUsage raises what is known about a job and its class at once, while the task runs.
func (j *job) recordUsage(observed resource.Vector) {
	j.peakUsage = j.peakUsage.Max(observed)
	c := j.class
	c.processorFactor = raiseFactor(c.processorFactor, int64(observed.Processors), int64(j.Resources.Processors))
	c.memoryFactor = raiseFactor(c.memoryFactor, int64(observed.Memory), int64(j.Resources.Memory))
}

// recordCompletion learns from an attempt that ran to its end.
func (c *classStats) recordCompletion(now time.Time, a *attempt) {
	if !a.peakUsage.IsZero() {
		c.processorFactor = lowerFactor(c.processorFactor, int64(a.peakUsage.Processors), int64(a.job.Resources.Processors))
		c.memoryFactor = lowerFactor(c.memoryFactor, int64(a.peakUsage.Memory), int64(a.job.Resources.Memory))
	}
	runTime := now.Sub(a.started)
	if c.meanDuration == 0 {
		c.meanDuration = runTime
	}
	c.meanDuration += (runTime - c.meanDuration) / durationWeightDivisor
}

func usageFactor(observed, declared int64) int64 {
	if declared <= 0 {
		return neutralFactor
	}
	return min(max(int64(float64(observed)/float64(declared)*neutralFactor), neutralFactor), maxUsageFactor)
}

func raiseFactor(factor, observed, declared int64) int64 {
	if increase := usageFactor(observed, declared) - factor; increase > 0 {
		return factor + (increase+factorRiseDivisor-1)/factorRiseDivisor
	}
	return factor
}

func lowerFactor(factor, observed, declared int64) int64 {
	if decrease := factor - usageFactor(observed, declared); decrease > 0 {
		return factor - (decrease+factorFallDivisor-1)/factorFallDivisor
	}
	return factor
}

// serviceSets numbers the distinct sets of services on workers.
type serviceSets struct {
	idByKey map[string]int32
	sets    [][]manifest.ServiceName
}

// idOf returns the idOf of a set; the empty set is always 0.
func (s *serviceSets) idOf(names []manifest.ServiceName) int32 {
	if s.idByKey == nil {
		s.idByKey = map[string]int32{"": 0}
		s.sets = [][]manifest.ServiceName{nil}
	}
	keyParts := make([]string, len(names))
	for i, name := range names {
		keyParts[i] = string(name)
	}
	key := strings.Join(keyParts, "\x00")
	id, ok := s.idByKey[key]
	if !ok {
		id = int32(len(s.sets))
		s.idByKey[key] = id
		s.sets = append(s.sets, names)
	}
	return id
}

// setServices keeps what is known about services that stay on the worker.
func (e *Engine) setServices(n *node) {
	names := append([]manifest.ServiceName(nil), n.Worker.Services...)
	sort.Slice(names, func(a, b int) bool { return names[a] < names[b] })
	n.serviceSetID = e.serviceSets.idOf(names)
	n.Worker.Services = nil
	previous := n.services
	n.services = make([]serviceState, 0, len(names))
	for _, name := range names {
		state := serviceState{name: name, latencyRatio: initialLatencyRatio}
		for _, s := range previous {
			if s.name == name {
				state = s
			}
		}
		n.services = append(n.services, state)
	}
}
