package service

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// Bounds on the attempts of one request.
const (
	// MaxAttempts counts the first attempt, retries and the hedge.
	MaxAttempts = 4
	// MaxHedges counts hedges.
	MaxHedges = 1

	firstBackoff = 2 * time.Millisecond
)

// contexts bound the steps of a request: the presence of the caller, waiting for
// a slot, and waiting for the answer.
type contexts struct {
	caller  context.Context
	acquire context.Context
	wait    context.Context
}

// exchange makes the attempts of one request until one has an answer.
type exchange struct {
	*Handler
	call     *call
	bounds   contexts
	results  chan result
	stopped  chan struct{}
	attempts int
	flying   int
	hedges   int
	tried    []membership.InstanceID
	last     result
	// unwatch stops watching whether the caller leaves.
	unwatch func() bool

	mutex   sync.Mutex
	cancels []context.CancelFunc
	over    bool
	claim   claimState
	// reached counts the attempts that may have run.
	reached int
	// active are the attempts whose executor has not answered.
	active map[*held]bool
}

func newExchange(h *Handler, c *call, bounds contexts) *exchange {
	x := &exchange{Handler: h, call: c, bounds: bounds, results: make(chan result), stopped: make(chan struct{})}
	x.unwatch = func() bool { return false }
	if c.feed {
		x.unwatch = context.AfterFunc(bounds.caller, x.cancel)
	}
	return x
}

// stop ends the exchange. Attempts that have not begun to send never do. Others
// go on for at most the service's MaxDuration and their answers are dropped, even if
// the caller has left: an executor that answers frees its slot sooner than one that
// was cancelled, whose slot stays in doubt. Feeds don't end by themselves.
func (x *exchange) stop() {
	x.end()
	left := x.unwatch() && x.bounds.caller.Err() != nil
	if left || x.call.feed {
		x.cancel()
	}
}

// cancel cancels every attempt.
func (x *exchange) cancel() {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	for _, cancel := range x.cancels {
		cancel()
	}
}

// end makes late attempts discard their answers.
func (x *exchange) end() {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if !x.over {
		x.over = true
		close(x.stopped)
	}
}

// run returns an answer or the failure to report. Failures are returned as soon
// as no attempt is left.
func (x *exchange) run() (result, *failure) {
	var retry, hedge <-chan time.Time
	if delay, ok := x.Governor.HedgeDelay(x.call.service); ok && x.hedgeable() {
		hedge = x.Clock.After(delay)
	}
	x.start(false)
	for {
		select {
		case ended := <-x.results:
			x.flying--
			if ended.response != nil {
				x.end()
				x.record(x.call, "Answered", "", Fact{Name: "Executor", Value: string(ended.executor)})
				return ended, nil
			}
			x.note(ended)
			if retry == nil {
				retry = x.retryTimer(ended)
			}
			if x.flying == 0 && retry == nil {
				return result{}, x.fail(x.last)
			}
		case <-retry:
			retry = nil
			x.start(false)
		case <-hedge:
			hedge = nil
			x.hedge()
		case <-x.bounds.wait.Done():
			x.observeSilent()
			return result{}, x.fail(result{reason: waitReason(x.bounds.wait)})
		}
	}
}

func waitReason(ctx context.Context) Reason {
	if errors.Is(ctx.Err(), context.Canceled) {
		return ReasonCallerGone
	}
	return ReasonDeadline
}

func (x *exchange) hedgeable() bool {
	return !x.call.nonIdempotent && !x.call.feed
}

// start begins an attempt on an executor that was not tried.
func (x *exchange) start(immediate bool) {
	x.attempts++
	x.flying++
	need := Need{
		Service:       x.call.service.Name,
		NonIdempotent: x.call.nonIdempotent,
		Feed:          x.call.feed,
		Deadline:      x.call.deadline,
		Immediate:     immediate,
		Exclude:       x.exclude(),
	}
	ctx, cancel := context.WithCancel(context.WithoutCancel(x.bounds.caller))
	x.mutex.Lock()
	x.cancels = append(x.cancels, cancel)
	x.mutex.Unlock()
	x.flights.run(func() {
		ended := x.attempt(ctx, cancel, need)
		ended.cancel = cancel
		select {
		case x.results <- ended:
		case <-x.stopped:
			ended.discard()
		}
	})
}

// attempt takes a slot, claims the key once and sends.
func (x *exchange) attempt(ctx context.Context, cancel context.CancelFunc, need Need) result {
	slot, err := x.Slots.Acquire(x.bounds.acquire, need)
	if err != nil {
		return refusedBy(x.bounds.acquire, err)
	}
	s := &held{handler: x.Handler, call: x.call, slot: slot, ctx: ctx}
	if refused := x.claimKey(x.bounds.wait); refused != nil {
		slot.Release(SlotUse{Done: true})
		return *refused
	}
	if !x.beginSend(s) {
		slot.Release(SlotUse{Done: true})
		return result{outcome: NotRun, reason: ReasonDeadline, final: true}
	}
	if limit := x.call.attemptLimit(); limit > 0 {
		s.limit = x.Clock.AfterFunc(limit, cancel)
	}
	ended := x.send(ctx, x.call, s)
	x.answered(s, ended)
	return ended
}

func refusedBy(ctx context.Context, err error) result {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return result{outcome: NotRun, reason: refusal.Reason, retryAfter: refusal.RetryAfter, facts: refusal.Facts, final: true}
	}
	if ctx.Err() != nil {
		return result{outcome: NotRun, reason: waitReason(ctx), final: true}
	}
	return result{outcome: NotRun, reason: ReasonNoSlot, final: true}
}

// beginSend marks that bytes may leave. It fails once the request was answered.
func (x *exchange) beginSend(s *held) bool {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if x.over {
		return false
	}
	s.start = x.Clock.Now()
	x.reached++
	if x.active == nil {
		x.active = map[*held]bool{}
	}
	x.active[s] = true
	x.tried = append(x.tried, s.slot.Executor)
	return true
}

// answered notes that an executor has answered, or that none will.
func (x *exchange) answered(s *held, ended result) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	delete(x.active, s)
	if ended.outcome == NotRun {
		x.reached--
	}
}

// observeSilent reports the attempts that had no answer at the deadline. Waiting
// for their own bounds would send more requests to silent executors meanwhile.
func (x *exchange) observeSilent() {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	for s := range x.active {
		x.Governor.Observe(x.call.service, s.slot.Executor, Observation{
			Took: x.Clock.Since(s.start), Outcome: Unknown, Cancelled: true, Limit: x.call.attemptLimit(),
		})
	}
}

func (x *exchange) exclude() []membership.InstanceID {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	return append([]membership.InstanceID(nil), x.tried...)
}

// note keeps the failure to report, preferring one that reached an executor.
func (x *exchange) note(ended result) {
	if x.last.outcome != Unknown {
		x.last = ended
	}
}

// retryTimer returns a timer for the next attempt, nil if there is none.
func (x *exchange) retryTimer(ended result) <-chan time.Time {
	delay, ok := x.backoff(ended)
	if !ok {
		return nil
	}
	return x.Clock.After(delay)
}

// backoff returns the delay before a retry, and false if there is none.
func (x *exchange) backoff(ended result) (time.Duration, bool) {
	sent := x.call.nonIdempotent && ended.outcome != NotRun
	if ended.final || sent || x.attempts >= MaxAttempts {
		return 0, false
	}
	limit := firstBackoff << (x.attempts - 1)
	delay := limit/2 + rand.N(limit/2)
	if !x.Clock.Now().Add(delay).Before(x.call.deadline) {
		return 0, false
	}
	if !x.Governor.AllowExtra(x.call.service) {
		x.Counters.Add("Service.Denied."+string(ReasonBudget), 1)
		return 0, false
	}
	x.Counters.Add("Service.Retried."+string(ended.reason), 1)
	x.record(x.call, "Retry", ended.reason, Fact{Name: "Executor", Value: string(ended.executor)})
	return delay, true
}

// hedge starts a second attempt beside a slow one, if the budget allows it.
func (x *exchange) hedge() {
	if x.flying != 1 || x.hedges >= MaxHedges || x.attempts >= MaxAttempts {
		return
	}
	if !x.Governor.AllowExtra(x.call.service) {
		x.Counters.Add("Service.Denied."+string(ReasonBudget), 1)
		return
	}
	x.hedges++
	x.Counters.Add("Service.Retried."+string(ReasonHedge), 1)
	x.record(x.call, "Hedge", ReasonHedge)
	x.start(true)
}

// fail turns the end of all attempts into the answer to the caller. Once an
// attempt may have run, the outcome is unknown.
func (x *exchange) fail(ended result) *failure {
	x.end()
	x.mutex.Lock()
	defer x.mutex.Unlock()
	f := failure{outcome: NotRun, reason: ended.reason, status: http.StatusServiceUnavailable, retryAfter: ended.retryAfter, facts: ended.facts}
	if x.reached > 0 || x.claim == claimOpen || ended.outcome == Unknown {
		f.outcome, f.status = Unknown, http.StatusBadGateway
	}
	if ended.reason == ReasonDeadline {
		f.status = http.StatusGatewayTimeout
	}
	if ended.status != 0 {
		f.status = ended.status
	}
	return &f
}
