package admission

import (
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

const (
	// MaxWaiting bounds the waiting requests of a service on one entry instance.
	MaxWaiting = 4096
	// needPercentile is the latency that must still fit before the deadline. A full
	// queue brings every request close to its deadline, so the share of late
	// answers then is what this percentile leaves out.
	needPercentile = 99
	// waitMargin covers errors of the expected wait. With 1.2, one percent of the
	// requests of the experiment at 200% load were admitted and dropped later; with
	// 2, none were, and the rate of in-time answers was 3% higher. The price is that
	// 0.1 to 0.3% are refused at 90% load, against 0.03%.
	waitMargin = 2
	// lookAhead bounds the search for a waiting request that a free slot suits.
	lookAhead = 32

	// noSlotsRetry covers several requests for grants to the owner.
	noSlotsRetry  = 100 * time.Millisecond
	minRetryAfter = 20 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// Action is what to do with a request.
type Action int

// Actions.
const (
	Refuse Action = iota
	Serve
	Wait
)

// Reason says why a request is refused.
type Reason string

// Reasons of refusals.
const (
	// NoSlots means that this instance has no slots of the service in hand.
	NoSlots Reason = "NoSlots"
	// NoFreeSlot refuses a request that must not wait.
	NoFreeSlot Reason = "NoFreeSlot"
	// Overload means that the expected wait is too long for the deadline.
	Overload Reason = "Overload"
	// DeadlineTooShort means that the service needs longer even without a wait.
	DeadlineTooShort Reason = "DeadlineTooShort"
	// QueueFull means that MaxWaiting requests wait already.
	QueueFull Reason = "QueueFull"
	// Dropped refuses a waiting request whose deadline can't be met any more.
	Dropped Reason = "Dropped"
)

// Verdict is a decision on a request.
type Verdict struct {
	Action     Action
	Choice     Choice
	Reason     Reason
	RetryAfter time.Duration
	// ExpectedWait and Need are the facts behind the decision.
	ExpectedWait time.Duration
	Need         time.Duration
}

// Service decides for one service on one entry instance. The zero value is ready.
type Service struct {
	Budget    Budget
	latency   Estimate
	executors executors
	// avoided counts the executors that are avoided.
	avoided int
	waiting queue
}

// Arrive decides on a new request. After Serve the caller counts the slot as in
// use before the next call; after Wait it calls Next whenever a slot is freed or
// added, and Expire at NextExpiry.
func (s *Service) Arrive(now time.Time, request Request, candidates []Candidate) Verdict {
	s.latency.forgetStale(now)
	verdict := Verdict{Need: s.need(now)}
	if s.waiting.len() == 0 || request.Immediate {
		if choice, ok := s.choose(now, request, candidates); ok {
			verdict.Action, verdict.Choice = Serve, choice
			return verdict
		}
	}
	slots := totalSlots(candidates)
	verdict.ExpectedWait = s.expectedWait(slots)
	remaining := request.Deadline.Sub(now)
	switch {
	case request.Immediate:
		return refuse(verdict, NoFreeSlot, verdict.ExpectedWait)
	case slots == 0:
		return refuse(verdict, NoSlots, noSlotsRetry)
	case remaining < verdict.Need:
		return refuse(verdict, DeadlineTooShort, verdict.ExpectedWait)
	case s.hopeless(now, request, candidates):
		return refuse(verdict, DeadlineTooShort, verdict.ExpectedWait)
	case verdict.ExpectedWait+verdict.Need > remaining:
		return refuse(verdict, Overload, verdict.ExpectedWait+verdict.Need-remaining)
	case s.waiting.len() >= MaxWaiting:
		return refuse(verdict, QueueFull, verdict.ExpectedWait)
	}
	s.waiting.push(request)
	verdict.Action = Wait
	return verdict
}

func refuse(verdict Verdict, reason Reason, after time.Duration) Verdict {
	verdict.Action, verdict.Reason = Refuse, reason
	verdict.RetryAfter = min(max(after, minRetryAfter), maxRetryAfter)
	return verdict
}

func totalSlots(candidates []Candidate) int {
	total := 0
	for i := range candidates {
		total += candidates[i].Slots
	}
	return total
}

func anyFree(candidates []Candidate) bool {
	for i := range candidates {
		if candidates[i].InUse < candidates[i].Slots {
			return true
		}
	}
	return false
}

// expectedWait is the time until the slots have worked off the queue.
func (s *Service) expectedWait(slots int) time.Duration {
	if slots == 0 {
		return maxRetryAfter
	}
	return seconds(waitMargin * s.latency.mean * float64(s.waiting.len()+1) / float64(slots))
}

// need is the service time that must fit before a deadline, 0 if unknown.
func (s *Service) need(now time.Time) time.Duration {
	if value, ok := s.latency.Percentile(now, needPercentile); ok {
		return value
	}
	return s.latency.Mean()
}

func (s *Service) tail(now time.Time) float64 {
	if s.latency.mean == 0 {
		return 1
	}
	return max(1, s.need(now).Seconds()/s.latency.mean)
}

// Next returns the waiting request to serve with the candidates, if there is one.
func (s *Service) Next(now time.Time, candidates []Candidate) (string, Choice, bool) {
	var choice Choice
	if s.waiting.len() == 0 || !anyFree(candidates) {
		return "", choice, false
	}
	request, ok := s.waiting.first(lookAhead, func(request Request) bool {
		var ok bool
		choice, ok = s.choose(now, request, candidates)
		return ok
	})
	return request.ID, choice, ok
}

// Expire removes the waiting requests whose deadline can't be met any more. They
// are refused with Dropped at once.
func (s *Service) Expire(now time.Time) []string {
	return s.waiting.expire(now, s.need(now))
}

// NextExpiry returns when Expire has something to do, and false if nothing waits.
func (s *Service) NextExpiry(now time.Time) (time.Time, bool) {
	return s.waiting.nextExpiry(s.need(now))
}

// DropTime returns when a request with a deadline can't be met any more.
func (s *Service) DropTime(now, deadline time.Time) time.Time {
	return deadline.Add(-s.need(now))
}

// Leave removes a waiting request and reports whether it was waiting.
func (s *Service) Leave(id string) bool {
	return s.waiting.remove(id)
}

// Waiting returns the number of waiting requests.
func (s *Service) Waiting() int {
	return s.waiting.len()
}

// Observe learns from an attempt, unless this process stood still meanwhile.
func (s *Service) Observe(now time.Time, executor membership.InstanceID, seen Observation) {
	if seen.stalled() {
		return
	}
	if s.executors == nil {
		s.executors = executors{}
	}
	if !seen.Failed {
		s.latency.Record(now, seen.Took)
	}
	e := s.of(now, executor)
	if e.avoided() {
		s.avoided--
	}
	e.observe(now, seen, s.latency.Mean())
	if e.avoided() {
		s.avoided++
	}
}

// HedgeDelay returns the time after which a request is hedged, and false if the
// percentile is 0 or not known yet.
func (s *Service) HedgeDelay(now time.Time, percentile int) (time.Duration, bool) {
	if percentile <= 0 {
		return 0, false
	}
	return s.latency.Percentile(now, float64(percentile))
}
