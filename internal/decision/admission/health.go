package admission

import (
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

const (
	executorWeight = 0.1
	// probeWeight is larger, since a probe is the only recent latency there is.
	probeWeight = 0.5
	// slowFactor times the mean of the service is too slow for normal choice.
	slowFactor = 2.5
	// firstPause and maxPause bound the time between a failure and its probe.
	firstPause = 250 * time.Millisecond
	maxPause   = 16 * time.Second
	// probeTimeout frees the probe of an attempt that was never reported.
	probeTimeout = 30 * time.Second
	// forgetAfter drops executors that were not used for so long.
	forgetAfter = 10 * time.Minute
	// forgetAbove is the number of executors above which idle ones are dropped.
	forgetAbove = 1024
	// stallTolerance is how much later than its limit an attempt is cancelled on a busy
	// machine.
	stallTolerance = 500 * time.Millisecond
)

// Observation is what one attempt showed about its executor.
type Observation struct {
	Took time.Duration
	// Failed means that no whole answer came.
	Failed bool
	// Cancelled means that this side gave up, so the executor needs at least Took.
	Cancelled bool
	// Limit is when this side cancels the attempt, 0 for never.
	Limit time.Duration
}

// stalled reports whether this process stood still during the attempt: otherwise the
// attempt would have been cancelled at its limit. Its duration then says nothing about
// the executor.
func (o Observation) stalled() bool {
	return o.Limit > 0 && o.Took > o.Limit+stallTolerance
}

// health is the recent behaviour of one executor.
type health struct {
	mean       float64
	failures   int
	pause      time.Duration
	pauseUntil time.Time
	probeUntil time.Time
	used       time.Time
}

// avoided reports whether normal choice passes over the executor.
func (e *health) avoided() bool {
	return e.pause > 0
}

// probeDue reports whether an avoided executor may get one request.
func (e *health) probeDue(now time.Time) bool {
	return e.avoided() && !now.Before(e.pauseUntil) && !now.Before(e.probeUntil)
}

func (e *health) avoid(now time.Time) {
	e.pause = min(max(2*e.pause, firstPause), maxPause)
	e.pauseUntil = now.Add(e.pause)
}

// observe updates the executor from one attempt.
func (e *health) observe(now time.Time, seen Observation, typical time.Duration) {
	weight := executorWeight
	if e.avoided() {
		weight = probeWeight
	}
	e.probeUntil = time.Time{}
	e.used = now
	if !seen.Failed || seen.Took.Seconds() > e.mean && seen.Cancelled {
		e.mean = blend(e.mean, seen.Took.Seconds(), weight)
	}
	limit := slowFactor * typical.Seconds()
	slow := typical > 0 && e.mean > limit
	silent := seen.Cancelled && typical > 0 && seen.Took.Seconds() > limit
	failed := seen.Failed && !seen.Cancelled
	switch {
	case failed, slow:
		e.failures++
	case silent:
		// One silent connection is no fault of the others of its executor.
		e.failures++
	case !seen.Failed:
		e.failures, e.pause = 0, 0
		return
	default:
		return
	}
	if slow || e.failures >= failuresToAvoid {
		e.avoid(now)
	}
}

// failuresToAvoid is the number of failures in a row after which an executor is
// avoided. A single one may come from one connection.
const failuresToAvoid = 3

// executors holds the health of each executor of a service.
type executors map[membership.InstanceID]*health

// of returns the health of an executor. It drops idle ones when there are many.
func (s *Service) of(now time.Time, id membership.InstanceID) *health {
	if e := s.executors[id]; e != nil {
		return e
	}
	if len(s.executors) >= forgetAbove {
		s.forget(now)
	}
	e := &health{used: now}
	s.executors[id] = e
	return e
}

func (s *Service) forget(now time.Time) {
	for id, e := range s.executors {
		if now.Sub(e.used) <= forgetAfter {
			continue
		}
		if e.avoided() {
			s.avoided--
		}
		delete(s.executors, id)
	}
}
