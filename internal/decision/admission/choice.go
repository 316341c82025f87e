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
	c := s.chooser(now, request, candidates)
	if s.avoided > 0 {
		if probe, ok := c.probe(candidates); ok {
			return probe, true
		}
	}
	tail := s.tail(now)
	if choice, ok := c.nearest(candidates, tail); ok {
		return choice, true
	}
	if request.Deadline.Sub(now) < s.need(now) || !c.anyInTime(candidates, tail) {
		// No executor is safely in time for such a deadline; the mean has to do.
		return c.nearest(candidates, 1)
	}
	return Choice{}, false
}

func (s *Service) chooser(now time.Time, request Request, candidates []Candidate) chooser {
	c := chooser{service: s, request: request, now: now}
	c.everybody = s.avoided > 0 && c.mostlyAvoided(candidates)
	if !request.Immediate && !c.anyLeft(candidates) {
		c.request.Exclude = nil
	}
	return c
}

// hopeless reports whether no executor would be in time even with a free slot, so
// that waiting for one could only hold the request until its deadline.
func (s *Service) hopeless(now time.Time, request Request, candidates []Candidate) bool {
	c := s.chooser(now, request, candidates)
	return !c.anyInTime(candidates, 1)
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

// anyInTime reports whether a candidate, if it were idle, would meet the deadline with
// its mean latency times factor.
func (c *chooser) anyInTime(candidates []Candidate, factor float64) bool {
	for i := range candidates {
		candidate := &candidates[i]
		if candidate.Slots == 0 || slices.Contains(c.request.Exclude, candidate.Executor) {
			continue
		}
		if _, ok := c.inTime(candidate, factor); ok {
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
		switch {
		case !e.avoided() && e.mean > 0 && c.now.Sub(e.used) <= staleAfter:
			mean = e.mean
		case e.avoided() && !c.everybody:
			return 0, false
		}
		// The mean of an avoided executor comes from what failed. When everybody is
		// avoided it would keep requests from the executors for good.
	}
	expected := seconds(mean*factor) + candidate.RoundTrip
	return mean, !c.now.Add(expected).After(c.request.Deadline)
}
