package placement

import (
	"sort"
	"strings"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/manifest"
)

const (
	// factorRiseDivisor and factorFallDivisor damp the changes of a usage factor: one
	// sample moves it by 1/2 of the difference upwards and by 1/16 downwards.
	// Allocating too little costs an eviction, allocating too much only wastes
	// capacity.
	factorRiseDivisor = 2
	factorFallDivisor = 16
	// neutralFactor is the usage factor, in thousandths, of a task that uses exactly
	// what it declares.
	neutralFactor = 1000
	// maxUsageFactor limits the effect of one faulty sample.
	maxUsageFactor = 32 * neutralFactor
	// durationWeightDivisor sets the weight of the newest run time in the moving
	// average to 1/8.
	durationWeightDivisor = 8
)

// classStats holds the usage and run time observed for the tasks of a class.
type classStats struct {
	name        manifest.ClassName
	maxAttempts int
	// processorFactor and memoryFactor are the observed usage relative to the declared
	// resources, in thousandths. The jobs of a class differ in size but tend to be
	// wrong by the same factor.
	processorFactor int64
	memoryFactor    int64
	// meanDuration is the moving average of the run time of successful attempts.
	meanDuration time.Duration
}

// classByName returns the statistics of a class, creating them on first use.
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

// demand returns the resources to allocate to a task of the job: the larger of what it
// declares and what the job was observed to use. Before the job's first sample, the
// usage factors of its class take the place of the observation.
func (e *Engine) demand(j *job) resource.Vector {
	used := j.peakUsage
	if used.IsZero() {
		used = j.class.scaleDeclared(j.Resources)
	}
	demand := j.Resources.Max(used)
	if demand == j.Resources || e.fitsAnyWorker(demand) {
		return demand
	}
	// No worker is large enough for the observed usage, so use the declared resources.
	return j.Resources
}

// scaleDeclared applies the usage factors of the class to declared resources.
func (c *classStats) scaleDeclared(v resource.Vector) resource.Vector {
	v.Processors = resource.MilliProcessors(int64(v.Processors) * c.processorFactor / neutralFactor)
	v.Memory = resource.Bytes(int64(v.Memory) / neutralFactor * c.memoryFactor)
	return v
}

// recordUsage raises the peak usage of the job and the usage factors of its class while
// the task is still running.
func (j *job) recordUsage(observed resource.Vector) {
	j.peakUsage = j.peakUsage.Max(observed)
	c := j.class
	c.processorFactor = raiseFactor(c.processorFactor, int64(observed.Processors), int64(j.Resources.Processors))
	c.memoryFactor = raiseFactor(c.memoryFactor, int64(observed.Memory), int64(j.Resources.Memory))
}

// recordCompletion lowers the usage factors and updates the mean run time after a
// successful attempt.
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

// usageFactor returns observed relative to declared in thousandths, at least
// neutralFactor and at most maxUsageFactor.
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

// serviceSets assigns an ID to each distinct set of services that workers host.
type serviceSets struct {
	idByKey map[string]int32
	sets    [][]manifest.ServiceName
}

// idOf returns the ID of a set of services, given in sorted order; the empty set is
// always 0.
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

// setServices updates the services that the worker hosts and keeps the latency state of
// those that stay.
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
