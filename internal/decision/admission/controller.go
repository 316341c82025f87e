package admission

import (
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

const (
	// MaxWaiting is the maximum queue length of a service on one entry instance.
	MaxWaiting = 4096
	// requiredTimePercentile is the latency percentile that must fit into the time left
	// before the deadline. With a full queue every request is served close to its
	// deadline, so the share of late responses is what lies above this percentile.
	requiredTimePercentile = 99
	// waitMargin is a safety factor for errors in the expected wait. In the experiment at
	// 200% load, a factor of 1.2 admits one percent of the requests only to drop them
	// later. With 2 none are dropped and the rate of in-time responses is 3% higher, but
	// 0.1 to 0.3% of the requests are refused at 90% load instead of 0.03%.
	waitMargin = 2
	// maxSearched is how many waiting requests are checked for one that can use a free
	// slot.
	maxSearched = 32

	// noSlotsRetryAfter leaves time for several requests for grants to the owner.
	noSlotsRetryAfter = 100 * time.Millisecond
	minRetryAfter     = 20 * time.Millisecond
	maxRetryAfter     = 5 * time.Second
)

// Action is the result of an admission decision.
type Action int

// Actions of a Decision.
const (
	Refuse Action = iota
	Serve
	Wait
)

// Reason is why a request is refused.
type Reason string

// Reasons for a refusal.
const (
	// NoSlots means that this instance holds no slots of the service.
	NoSlots Reason = "NoSlots"
	// NoFreeSlot means that all slots are in use and the request must not wait.
	NoFreeSlot Reason = "NoFreeSlot"
	// Overload means that the expected wait is too long for the deadline.
	Overload Reason = "Overload"
	// DeadlineTooShort means that the service time alone exceeds the time left.
	DeadlineTooShort Reason = "DeadlineTooShort"
	// QueueFull means that MaxWaiting requests are already waiting.
	QueueFull Reason = "QueueFull"
	// Dropped means that a waiting request can no longer meet its deadline.
	Dropped Reason = "Dropped"
)

// Decision is the outcome of Admit for one request.
type Decision struct {
	Action     Action
	Choice     Choice
	Reason     Reason
	RetryAfter time.Duration
	// ExpectedWait and RequiredTime are the estimates that the decision is based on.
	ExpectedWait time.Duration
	RequiredTime time.Duration
}

// Controller is the admission controller of one service on one entry instance. The zero
// value is ready to use.
type Controller struct {
	RetryBudget RetryBudget
	latency     LatencyEstimate
	executors   healthByExecutor
	// avoidedCount is the number of executors that are currently avoided.
	avoidedCount int
	waiting      waitingQueue
}

// Admit decides whether to serve, queue or refuse a new request. After Serve, the caller
// must count the slot as in use before its next call. After Wait, it must call Next
// whenever a slot is freed or added, and Expire at NextExpiry.
func (c *Controller) Admit(now time.Time, request Request, candidates []Candidate) Decision {
	c.latency.resetIfStale(now)
	decision := Decision{RequiredTime: c.requiredTime(now)}
	if c.waiting.len() == 0 || request.Immediate {
		if choice, ok := c.choose(now, request, candidates); ok {
			decision.Action, decision.Choice = Serve, choice
			return decision
		}
	}
	slots := totalSlots(candidates)
	decision.ExpectedWait = c.expectedWait(slots)
	remaining := request.Deadline.Sub(now)
	switch {
	case request.Immediate:
		return refuse(decision, NoFreeSlot, decision.ExpectedWait)
	case slots == 0:
		return refuse(decision, NoSlots, noSlotsRetryAfter)
	case remaining < decision.RequiredTime:
		return refuse(decision, DeadlineTooShort, decision.ExpectedWait)
	case c.noExecutorInTime(now, request, candidates):
		return refuse(decision, DeadlineTooShort, decision.ExpectedWait)
	case decision.ExpectedWait+decision.RequiredTime > remaining:
		return refuse(decision, Overload, decision.ExpectedWait+decision.RequiredTime-remaining)
	case c.waiting.len() >= MaxWaiting:
		return refuse(decision, QueueFull, decision.ExpectedWait)
	}
	c.waiting.push(request)
	decision.Action = Wait
	return decision
}

func refuse(decision Decision, reason Reason, after time.Duration) Decision {
	decision.Action, decision.Reason = Refuse, reason
	decision.RetryAfter = min(max(after, minRetryAfter), maxRetryAfter)
	return decision
}

func totalSlots(candidates []Candidate) int {
	total := 0
	for i := range candidates {
		total += candidates[i].Slots
	}
	return total
}

func anyFreeSlot(candidates []Candidate) bool {
	for i := range candidates {
		if candidates[i].InUse < candidates[i].Slots {
			return true
		}
	}
	return false
}

// expectedWait estimates how long a new request waits behind the queue, including
// waitMargin.
func (c *Controller) expectedWait(slots int) time.Duration {
	if slots == 0 {
		return maxRetryAfter
	}
	return seconds(waitMargin * c.latency.meanSeconds * float64(c.waiting.len()+1) / float64(slots))
}

// requiredTime returns the service time that must fit before a deadline, or 0 if it is
// unknown.
func (c *Controller) requiredTime(now time.Time) time.Duration {
	if value, ok := c.latency.Percentile(now, requiredTimePercentile); ok {
		return value
	}
	return c.latency.Mean()
}

// tailRatio returns the ratio of the required time to the mean latency, at least 1.
func (c *Controller) tailRatio(now time.Time) float64 {
	if c.latency.meanSeconds == 0 {
		return 1
	}
	return max(1, c.requiredTime(now).Seconds()/c.latency.meanSeconds)
}

// Next dequeues the first waiting request that one of the candidates can serve, and
// returns its ID and the executor to use.
func (c *Controller) Next(now time.Time, candidates []Candidate) (string, Choice, bool) {
	var choice Choice
	if c.waiting.len() == 0 || !anyFreeSlot(candidates) {
		return "", choice, false
	}
	request, ok := c.waiting.takeFirst(maxSearched, func(request Request) bool {
		var ok bool
		choice, ok = c.choose(now, request, candidates)
		return ok
	})
	return request.ID, choice, ok
}

// Expire removes the waiting requests that can no longer meet their deadline and returns
// their IDs. The caller must refuse them with Dropped immediately.
func (c *Controller) Expire(now time.Time) []string {
	return c.waiting.expire(now, c.requiredTime(now))
}

// NextExpiry returns when the next waiting request expires, and false if none is waiting.
func (c *Controller) NextExpiry(now time.Time) (time.Time, bool) {
	return c.waiting.nextExpiry(c.requiredTime(now))
}

// DropTime returns the latest time at which a request can start and still meet its
// deadline.
func (c *Controller) DropTime(now, deadline time.Time) time.Time {
	return deadline.Add(-c.requiredTime(now))
}

// Remove removes a waiting request and reports whether it was waiting.
func (c *Controller) Remove(id string) bool {
	return c.waiting.remove(id)
}

// WaitingCount returns the number of waiting requests.
func (c *Controller) WaitingCount() int {
	return c.waiting.len()
}

// Observe updates the latency estimate and the executor's health from an attempt. It
// ignores attempts during which this process was suspended.
func (c *Controller) Observe(now time.Time, executor membership.InstanceID, observation Observation) {
	if observation.stalled() {
		return
	}
	if c.executors == nil {
		c.executors = healthByExecutor{}
	}
	if !observation.Failed {
		c.latency.Record(now, observation.Duration)
	}
	e := c.healthOf(now, executor)
	if e.avoided() {
		c.avoidedCount--
	}
	e.observe(now, observation, c.latency.Mean())
	if e.avoided() {
		c.avoidedCount++
	}
}

// HedgeDelay returns the delay after which a request is hedged: the given latency
// percentile. It returns false if the percentile is 0 or not yet known.
func (c *Controller) HedgeDelay(now time.Time, percentile int) (time.Duration, bool) {
	if percentile <= 0 {
		return 0, false
	}
	return c.latency.Percentile(now, float64(percentile))
}
