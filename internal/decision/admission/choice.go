package admission

import (
	"slices"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// Distance orders executors by what a request to them costs.
type Distance int

// Distances. Far requests cross the link between regions.
const (
	SameZone Distance = iota
	SameRegion
	Far
)

// Candidate is an executor with the slots in hand.
type Candidate struct {
	Executor membership.InstanceID
	Distance Distance
	// RoundTrip is the network time of a request and its answer.
	RoundTrip time.Duration
	// Slots are in hand, of which InUse are taken.
	Slots int
	InUse int
}

// Choice names the executor for a request.
type Choice struct {
	Executor membership.InstanceID
	Distance Distance
	// Probe means that the request also tests an executor that was avoided.
	Probe bool
}

// Request is what admission needs to know of a request.
type Request struct {
	ID            string
	Deadline      time.Time
	NonIdempotent bool
	// Immediate forbids waiting.
	Immediate bool
	Exclude   []membership.InstanceID
}

// chooser picks among candidates at one moment.
type chooser struct {
	service *Service
	request Request
	now     time.Time
	// everybody lifts the avoidance, when most executors are avoided. The fault
	// then is more likely to be on this side.
	everybody bool
}

// choose returns the nearest, least loaded executor that answers in time.
func (s *Service) choose(now time.Time, request Request, candidates []Candidate) (Choice, bool) {
	c := chooser{service: s, request: request, now: now}
	if s.avoided > 0 {
		c.everybody = c.mostlyAvoided(candidates)
		if probe, ok := c.probe(candidates); ok {
			return probe, true
		}
	}
	if !request.Immediate && !c.anyLeft(candidates) {
		c.request.Exclude = nil
	}
	if choice, ok := c.nearest(candidates, s.tail(now)); ok {
		return choice, true
	}
	if request.Deadline.Sub(now) < s.need(now) {
		// No executor is safely in time for such a deadline; the mean has to do.
		return c.nearest(candidates, 1)
	}
	return Choice{}, false
}

func (c *chooser) mostlyAvoided(candidates []Candidate) bool {
	avoided := 0
	for i := range candidates {
		if e := c.service.executors[candidates[i].Executor]; e != nil && e.avoided() {
			avoided++
		}
	}
	return 2*avoided > len(candidates)
}

// probe returns an avoided executor whose pause is over. Only idempotent requests
// probe, since they can be retried.
func (c *chooser) probe(candidates []Candidate) (Choice, bool) {
	if c.request.NonIdempotent {
		return Choice{}, false
	}
	for i := range candidates {
		candidate := &candidates[i]
		e := c.service.executors[candidate.Executor]
		if e == nil || candidate.Distance == Far || !c.usable(candidate) || !e.probeDue(c.now) {
			continue
		}
		e.probeUntil = c.now.Add(probeTimeout)
		return Choice{Executor: candidate.Executor, Distance: candidate.Distance, Probe: true}, true
	}
	return Choice{}, false
}

// anyLeft reports whether a retry can go to an executor that it was not sent to.
// Without one it goes to the same executor again on another connection, since waiting
// would hold it until its deadline.
func (c *chooser) anyLeft(candidates []Candidate) bool {
	if len(c.request.Exclude) == 0 {
		return true
	}
	for i := range candidates {
		candidate := &candidates[i]
		if candidate.Slots == 0 || slices.Contains(c.request.Exclude, candidate.Executor) {
			continue
		}
		if e := c.service.executors[candidate.Executor]; e == nil || !e.avoided() || c.everybody {
			return true
		}
	}
	return false
}

func (c *chooser) usable(candidate *Candidate) bool {
	return candidate.InUse < candidate.Slots && !slices.Contains(c.request.Exclude, candidate.Executor)
}

// nearest returns the least loaded candidate of the smallest distance that has
// one whose mean latency, times factor, meets the deadline.
func (c *chooser) nearest(candidates []Candidate, factor float64) (Choice, bool) {
	var best *Candidate
	var bestLoad float64
	for i := range candidates {
		candidate := &candidates[i]
		if !c.usable(candidate) || best != nil && candidate.Distance > best.Distance {
			continue
		}
		mean, ok := c.inTime(candidate, factor)
		if !ok {
			continue
		}
		load := mean * float64(candidate.InUse+1) / float64(candidate.Slots)
		if best == nil || candidate.Distance < best.Distance || load < bestLoad {
			best, bestLoad = candidate, load
		}
	}
	if best == nil {
		return Choice{}, false
	}
	return Choice{Executor: best.Executor, Distance: best.Distance}, true
}

// inTime returns the mean latency of a candidate in seconds, and whether the
// candidate is expected to meet the deadline.
func (c *chooser) inTime(candidate *Candidate, factor float64) (float64, bool) {
	mean := c.service.latency.mean
	if e := c.service.executors[candidate.Executor]; e != nil {
		if e.avoided() && !c.everybody {
			return 0, false
		}
		if e.mean > 0 {
			mean = e.mean
		}
	}
	expected := seconds(mean*factor) + candidate.RoundTrip
	return mean, !c.now.Add(expected).After(c.request.Deadline)
}
