package admission

import (
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

const (
	// executorMeanWeight is the weight of a new sample in the moving average of an executor.
	executorMeanWeight = 0.1
	// probeMeanWeight is the weight of a probe. It is larger, since the probe is the only
	// recent sample.
	probeMeanWeight = 0.5
	// slowFactor is the multiple of the service's mean latency above which an executor is
	// avoided.
	slowFactor = 2.5
	// minProbeDelay and maxProbeDelay bound the delay between the failure of an executor
	// and the next probe. The delay doubles with each further failure.
	minProbeDelay = 250 * time.Millisecond
	maxProbeDelay = 16 * time.Second
	// probeTimeout is when a probe whose result was never reported may be repeated.
	probeTimeout = 30 * time.Second
	// idleExecutorTTL is how long the health of an unused executor is kept.
	idleExecutorTTL = 10 * time.Minute
	// idleCleanupThreshold is the number of tracked executors at which idle ones are
	// removed.
	idleCleanupThreshold = 1024
	// stallTolerance is how late the timeout of an attempt may take effect on a busy
	// machine.
	stallTolerance = 500 * time.Millisecond
)

// Observation is the result of one attempt on an executor.
type Observation struct {
	Duration time.Duration
	// Failed means that no complete response was received.
	Failed bool
	// Cancelled means that this instance cancelled the attempt, so Duration is only a lower
	// bound of the latency.
	Cancelled bool
	// Timeout is how long the attempt may take before this instance cancels it, 0 for no
	// limit.
	Timeout time.Duration
}

// stalled reports whether this process was suspended during the attempt, since the
// attempt would otherwise have been cancelled at its timeout. The duration of such an
// attempt says nothing about the executor.
func (o Observation) stalled() bool {
	return o.Timeout > 0 && o.Duration > o.Timeout+stallTolerance
}

// executorHealth tracks the recent latency and failures of one executor.
type executorHealth struct {
	meanSeconds         float64
	consecutiveFailures int
	// probeDelay is 0 unless the executor is avoided.
	probeDelay     time.Duration
	probeNotBefore time.Time
	// probeExpires is until when a probe in flight prevents others.
	probeExpires time.Time
	lastUsed     time.Time
}

// avoided reports whether the executor is skipped, except for probes and unless most
// executors are avoided.
func (e *executorHealth) avoided() bool {
	return e.probeDelay > 0
}

// probeDue reports whether an avoided executor may get a probe.
func (e *executorHealth) probeDue(now time.Time) bool {
	return e.avoided() && !now.Before(e.probeNotBefore) && !now.Before(e.probeExpires)
}

// avoid starts or doubles the delay until the next probe.
func (e *executorHealth) avoid(now time.Time) {
	e.probeDelay = min(max(2*e.probeDelay, minProbeDelay), maxProbeDelay)
	e.probeNotBefore = now.Add(e.probeDelay)
}

// observe updates the health from the result of one attempt.
func (e *executorHealth) observe(now time.Time, observation Observation, serviceMean time.Duration) {
	weight := executorMeanWeight
	if e.avoided() {
		weight = probeMeanWeight
	}
	e.probeExpires = time.Time{}
	e.lastUsed = now
	if !observation.Failed || observation.Duration.Seconds() > e.meanSeconds && observation.Cancelled {
		e.meanSeconds = movingAverage(e.meanSeconds, observation.Duration.Seconds(), weight)
	}
	limit := slowFactor * serviceMean.Seconds()
	slow := serviceMean > 0 && e.meanSeconds > limit
	unresponsive := observation.Cancelled && serviceMean > 0 && observation.Duration.Seconds() > limit
	failed := observation.Failed && !observation.Cancelled
	switch {
	case failed, slow:
		e.consecutiveFailures++
	case unresponsive:
		// Unlike a slow executor, this one is not avoided at once: one connection without
		// a response doesn't mean that the executor's other connections are faulty.
		e.consecutiveFailures++
	case !observation.Failed:
		e.consecutiveFailures, e.probeDelay = 0, 0
		return
	default:
		return
	}
	if slow || e.consecutiveFailures >= failuresToAvoid {
		e.avoid(now)
	}
}

// failuresToAvoid is the number of consecutive failures after which an executor is
// avoided. A single failure may be due to one connection.
const failuresToAvoid = 3

// healthByExecutor maps the executors of a service to their health.
type healthByExecutor map[membership.InstanceID]*executorHealth

// healthOf returns the health of an executor, adding it if it is new. It removes idle
// executors when many are tracked.
func (c *Controller) healthOf(now time.Time, id membership.InstanceID) *executorHealth {
	if e := c.executors[id]; e != nil {
		return e
	}
	if len(c.executors) >= idleCleanupThreshold {
		c.removeIdle(now)
	}
	e := &executorHealth{lastUsed: now}
	c.executors[id] = e
	return e
}

func (c *Controller) removeIdle(now time.Time) {
	for id, e := range c.executors {
		if now.Sub(e.lastUsed) <= idleExecutorTTL {
			continue
		}
		if e.avoided() {
			c.avoidedCount--
		}
		delete(c.executors, id)
	}
}
