package placement

import (
	"sort"
	"strings"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/manifest"
)

const (
	// sizeRise and sizeFall are the parts, one in so many, by which the learned size
	// moves towards a larger and a smaller peak. Reserving too little costs an
	// eviction, reserving too much only room.
	sizeRise = 2
	sizeFall = 16
	// durationPart is the weight, one in so many, of the newest run time.
	durationPart = 8
)

// class is what was learned about the tasks of a class.
type class struct {
	name        manifest.ClassName
	maxAttempts int
	// size is the learned peak of use, duration the mean run time from start to end.
	size     resource.Vector
	duration time.Duration
}

func (e *Engine) class(name manifest.ClassName) *class {
	c := e.classes[name]
	if c == nil {
		if e.classes == nil {
			e.classes = map[manifest.ClassName]*class{}
		}
		c = &class{name: name}
		e.classes[name] = c
	}
	return c
}

// exceeded raises the learned size at once, while the task still runs.
func (c *class) exceeded(observed resource.Vector) {
	more := observed.Max(c.size).Sub(c.size)
	if !more.IsZero() {
		c.size = c.size.Add(divide(more, sizeRise))
	}
}

// finished learns from an attempt that ran to its end.
func (c *class) finished(now time.Time, a *attempt) {
	if !a.observed.IsZero() {
		less := c.size.Sub(a.observed.Max(resource.Vector{}))
		c.size = c.size.Sub(divide(less.Max(resource.Vector{}), sizeFall))
	}
	ran := now.Sub(a.started)
	if c.duration == 0 {
		c.duration = ran
	}
	c.duration += (ran - c.duration) / durationPart
}

// divide rounds up, so that repeated steps arrive.
func divide(v resource.Vector, parts int) resource.Vector {
	p := int64(parts)
	return resource.Vector{
		Processors:   resource.MilliProcessors((int64(v.Processors) + p - 1) / p),
		Memory:       resource.Bytes((int64(v.Memory) + p - 1) / p),
		Accelerators: resource.Accelerators((int64(v.Accelerators) + p - 1) / p),
	}
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
