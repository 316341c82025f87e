package admission

import (
	"slices"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// Distance is the network distance of an executor. Farther executors cost more to reach.
type Distance int

// Distances, nearest first. Requests to OtherRegion executors cross the link between regions.
const (
	SameZone Distance = iota
	SameRegion
	OtherRegion
)

// Candidate is an executor with the slots that this instance holds on it.
type Candidate struct {
	Executor membership.InstanceID
	Distance Distance
	// RoundTrip is the network round-trip time.
	RoundTrip time.Duration
	// Slots counts the slots held, InUse those of them that are serving a request.
	Slots int
	InUse int
}

// Choice is the executor selected for a request.
type Choice struct {
	Executor membership.InstanceID
	Distance Distance
	// Probe means that the request tests whether an avoided executor has recovered.
	Probe bool
}

// Request describes a request to admit.
type Request struct {
	ID            string
	Deadline      time.Time
	NonIdempotent bool
	// Immediate refuses the request instead of queueing it.
	Immediate bool
	// Exclude lists the executors that the request was already sent to.
	Exclude []membership.InstanceID
}

// chooser selects an executor for one request at one point in time.
type chooser struct {
	controller *Controller
	request    Request
	now        time.Time
	// includeAvoided allows avoided executors. It is set when most of them are avoided,
	// since the fault is then more likely on this instance's side.
	includeAvoided bool
}

// choose returns the nearest, least loaded executor that is expected to meet the
// deadline. An avoided executor that is due for a probe goes first.
func (c *Controller) choose(now time.Time, request Request, candidates []Candidate) (Choice, bool) {
	ch := c.newChooser(now, request, candidates)
	if c.avoidedCount > 0 {
		if probe, ok := ch.probe(candidates); ok {
			return probe, true
		}
	}
	ratio := c.tailRatio(now)
	if choice, ok := ch.nearest(candidates, ratio); ok {
		return choice, true
	}
	if request.Deadline.Sub(now) < c.requiredTime(now) || !ch.anyMeetsDeadline(candidates, ratio) {
		// No executor meets such a deadline with its tail latency, so the mean latency
		// decides.
		return ch.nearest(candidates, 1)
	}
	return Choice{}, false
}

func (c *Controller) newChooser(now time.Time, request Request, candidates []Candidate) chooser {
	ch := chooser{controller: c, request: request, now: now}
	ch.includeAvoided = c.avoidedCount > 0 && ch.mostlyAvoided(candidates)
	if !request.Immediate && !ch.hasUntriedExecutor(candidates) {
		// The retry goes to the same executor on another connection, since queueing it
		// would only delay it until its deadline.
		ch.request.Exclude = nil
	}
	return ch
}

// noExecutorInTime reports whether no executor would meet the deadline even with a free
// slot, so that queueing the request would only delay its refusal.
func (c *Controller) noExecutorInTime(now time.Time, request Request, candidates []Candidate) bool {
	ch := c.newChooser(now, request, candidates)
	return !ch.anyMeetsDeadline(candidates, 1)
}

// mostlyAvoided reports whether more than half of the candidates are avoided.
func (c *chooser) mostlyAvoided(candidates []Candidate) bool {
	avoided := 0
	for i := range candidates {
		if e := c.controller.executors[candidates[i].Executor]; e != nil && e.avoided() {
			avoided++
		}
	}
	return 2*avoided > len(candidates)
}

// probe returns an avoided executor whose probe delay has passed. Only idempotent
// requests are used as probes, since they can be retried.
func (c *chooser) probe(candidates []Candidate) (Choice, bool) {
	if c.request.NonIdempotent {
		return Choice{}, false
	}
	for i := range candidates {
		candidate := &candidates[i]
		e := c.controller.executors[candidate.Executor]
		if e == nil || candidate.Distance == OtherRegion || !c.eligible(candidate) || !e.probeDue(c.now) {
			continue
		}
		e.probeExpires = c.now.Add(probeTimeout)
		return Choice{Executor: candidate.Executor, Distance: candidate.Distance, Probe: true}, true
	}
	return Choice{}, false
}

// hasUntriedExecutor reports whether there is a usable executor that the request was not
// sent to yet.
func (c *chooser) hasUntriedExecutor(candidates []Candidate) bool {
	if len(c.request.Exclude) == 0 {
		return true
	}
	for i := range candidates {
		candidate := &candidates[i]
		if candidate.Slots == 0 || slices.Contains(c.request.Exclude, candidate.Executor) {
			continue
		}
		if e := c.controller.executors[candidate.Executor]; e == nil || !e.avoided() || c.includeAvoided {
			return true
		}
	}
	return false
}

// anyMeetsDeadline reports whether any candidate, if idle, would meet the deadline at
// factor times its mean latency.
func (c *chooser) anyMeetsDeadline(candidates []Candidate, factor float64) bool {
	for i := range candidates {
		candidate := &candidates[i]
		if candidate.Slots == 0 || slices.Contains(c.request.Exclude, candidate.Executor) {
			continue
		}
		if _, ok := c.meetsDeadline(candidate, factor); ok {
			return true
		}
	}
	return false
}

// eligible reports whether a candidate has a free slot and the request was not sent to it.
func (c *chooser) eligible(candidate *Candidate) bool {
	return candidate.InUse < candidate.Slots && !slices.Contains(c.request.Exclude, candidate.Executor)
}

// nearest returns the least loaded of the nearest candidates that have a free slot and
// meet the deadline at factor times their mean latency.
func (c *chooser) nearest(candidates []Candidate, factor float64) (Choice, bool) {
	var best *Candidate
	var bestLoad float64
	for i := range candidates {
		candidate := &candidates[i]
		if !c.eligible(candidate) || best != nil && candidate.Distance > best.Distance {
			continue
		}
		mean, ok := c.meetsDeadline(candidate, factor)
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

// meetsDeadline returns the mean latency of a candidate in seconds, and whether factor
// times that latency meets the deadline.
func (c *chooser) meetsDeadline(candidate *Candidate, factor float64) (float64, bool) {
	mean := c.controller.latency.meanSeconds
	if e := c.controller.executors[candidate.Executor]; e != nil {
		switch {
		case !e.avoided() && e.meanSeconds > 0 && c.now.Sub(e.lastUsed) <= staleAfter:
			mean = e.meanSeconds
		case e.avoided() && !c.includeAvoided:
			return 0, false
		}
		// An avoided executor is judged by the mean of the service. Its own mean comes from
		// failed attempts, and when all executors are avoided it would exclude them
		// forever.
	}
	expected := seconds(mean*factor) + candidate.RoundTrip
	return mean, !c.now.Add(expected).After(c.request.Deadline)
}
