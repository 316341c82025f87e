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

// Limits on the attempts of one request.
const (
	// MaxAttempts includes the first attempt, retries and the hedge.
	MaxAttempts = 4
	MaxHedges   = 1

	initialBackoff = 2 * time.Millisecond
)

// stepContexts are the contexts of the steps of a request: caller is done when the caller
// disconnects, acquire limits waiting for a slot, and wait limits waiting for the
// response.
type stepContexts struct {
	caller  context.Context
	acquire context.Context
	wait    context.Context
}

// exchange makes the attempts of one request until one of them gets a response.
type exchange struct {
	*Handler
	call     *call
	contexts stepContexts
	results  chan attemptResult
	// done is closed when the exchange ends.
	done     chan struct{}
	attempts int
	// pending counts the attempts that have not delivered a result.
	pending        int
	hedges         int
	triedExecutors []membership.InstanceID
	lastFailure    attemptResult
	// stopWatchingCaller stops cancelling the attempts when the caller disconnects.
	stopWatchingCaller func() bool

	mutex       sync.Mutex
	cancelFuncs []context.CancelFunc
	ended       bool
	claim       claimState
	// mayHaveRun counts the attempts that an executor may have run.
	mayHaveRun int
	// unanswered holds the attempts that have no response yet.
	unanswered map[*heldSlot]bool
}

func newExchange(h *Handler, c *call, contexts stepContexts) *exchange {
	x := &exchange{Handler: h, call: c, contexts: contexts, results: make(chan attemptResult), done: make(chan struct{})}
	x.stopWatchingCaller = func() bool { return false }
	if c.feed {
		x.stopWatchingCaller = context.AfterFunc(contexts.caller, x.cancelAttempts)
	}
	return x
}

// stop ends the exchange. Attempts that have not started sending never do. Others
// continue for at most the service's MaxDuration and their responses are discarded, even
// if the caller has disconnected: a response frees the executor's slot, whereas the slot
// of a cancelled attempt stays in doubt for longer. The attempts of feeds are cancelled,
// since feeds don't end by themselves.
func (x *exchange) stop() {
	x.end()
	callerLeft := x.stopWatchingCaller() && x.contexts.caller.Err() != nil
	if callerLeft || x.call.feed {
		x.cancelAttempts()
	}
}

func (x *exchange) cancelAttempts() {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	for _, cancel := range x.cancelFuncs {
		cancel()
	}
}

// end makes attempts that are still running discard their responses.
func (x *exchange) end() {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if !x.ended {
		x.ended = true
		close(x.done)
	}
}

// run returns the first response, or a failure as soon as no attempt is pending or
// scheduled.
func (x *exchange) run() (attemptResult, *failure) {
	var retry, hedge <-chan time.Time
	if delay, ok := x.Governor.HedgeDelay(x.call.service); ok && x.canHedge() {
		hedge = x.Clock.After(delay)
	}
	x.startAttempt(false)
	for {
		select {
		case result := <-x.results:
			x.pending--
			if result.response != nil {
				x.end()
				x.record(x.call, "Answered", "", Fact{Name: "Executor", Value: string(result.executor)})
				return result, nil
			}
			x.recordFailure(result)
			if retry == nil {
				retry = x.retryTimer(result)
			}
			if x.pending == 0 && retry == nil {
				return attemptResult{}, x.failureFrom(x.lastFailure)
			}
		case <-retry:
			retry = nil
			x.startAttempt(false)
		case <-hedge:
			hedge = nil
			x.startHedge()
		case <-x.contexts.wait.Done():
			x.observeUnanswered()
			return attemptResult{}, x.failureFrom(attemptResult{reason: contextReason(x.contexts.wait)})
		}
	}
}

// contextReason returns why a context is done.
func contextReason(ctx context.Context) Reason {
	if errors.Is(ctx.Err(), context.Canceled) {
		return ReasonCallerGone
	}
	return ReasonDeadline
}

func (x *exchange) canHedge() bool {
	return !x.call.nonIdempotent && !x.call.feed
}

// startAttempt starts an attempt on an executor that was not tried yet. immediate forbids
// waiting for a slot.
func (x *exchange) startAttempt(immediate bool) {
	x.attempts++
	x.pending++
	request := SlotRequest{
		Service:       x.call.service.Name,
		NonIdempotent: x.call.nonIdempotent,
		Feed:          x.call.feed,
		Deadline:      x.call.deadline,
		Immediate:     immediate,
		Exclude:       x.excludedExecutors(),
	}
	ctx, cancel := context.WithCancel(context.WithoutCancel(x.contexts.caller))
	x.mutex.Lock()
	x.cancelFuncs = append(x.cancelFuncs, cancel)
	x.mutex.Unlock()
	x.inFlight.goTracked(func() {
		result := x.runAttempt(ctx, cancel, request)
		result.cancel = cancel
		select {
		case x.results <- result:
		case <-x.done:
			result.discard()
		}
	})
}

// runAttempt acquires a slot, claims the key unless it is already claimed, and sends the
// request.
func (x *exchange) runAttempt(ctx context.Context, cancel context.CancelFunc, request SlotRequest) attemptResult {
	slot, err := x.SlotSource.Acquire(x.contexts.acquire, request)
	if err != nil {
		return acquireFailure(x.contexts.acquire, err)
	}
	s := &heldSlot{handler: x.Handler, call: x.call, slot: slot, ctx: ctx}
	if failed := x.claimKey(x.contexts.wait); failed != nil {
		slot.Release(SlotRelease{ExecutorDone: true})
		return *failed
	}
	if !x.beginSend(s) {
		slot.Release(SlotRelease{ExecutorDone: true})
		return attemptResult{outcome: NotRun, reason: ReasonDeadline, final: true}
	}
	if limit := x.call.attemptTimeout(); limit > 0 {
		s.timeoutTimer = x.Clock.AfterFunc(limit, cancel)
	}
	result := x.send(ctx, x.call, s)
	x.attemptEnded(s, result)
	return result
}

// acquireFailure converts the error of SlotSource.Acquire into a result.
func acquireFailure(ctx context.Context, err error) attemptResult {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return attemptResult{outcome: NotRun, reason: refusal.Reason, retryAfter: refusal.RetryAfter, facts: refusal.Facts, final: true}
	}
	if ctx.Err() != nil {
		return attemptResult{outcome: NotRun, reason: contextReason(ctx), final: true}
	}
	return attemptResult{outcome: NotRun, reason: ReasonNoSlot, final: true}
}

// beginSend records that the request is about to be sent. It returns false if the
// exchange has ended.
func (x *exchange) beginSend(s *heldSlot) bool {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if x.ended {
		return false
	}
	s.sendTime = x.Clock.Now()
	x.mayHaveRun++
	if x.unanswered == nil {
		x.unanswered = map[*heldSlot]bool{}
	}
	x.unanswered[s] = true
	x.triedExecutors = append(x.triedExecutors, s.slot.Executor)
	return true
}

// attemptEnded records that an attempt got a response or failed.
func (x *exchange) attemptEnded(s *heldSlot, result attemptResult) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	delete(x.unanswered, s)
	if result.outcome == NotRun {
		x.mayHaveRun--
	}
}

// observeUnanswered reports the attempts that have no response at the deadline. Reporting
// them only at their own timeouts would keep sending requests to unresponsive executors
// in the meantime.
func (x *exchange) observeUnanswered() {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	for s := range x.unanswered {
		x.Governor.Observe(x.call.service, s.slot.Executor, Observation{
			Duration: x.Clock.Since(s.sendTime), Outcome: Unknown, Cancelled: true, Timeout: x.call.attemptTimeout(),
		})
	}
}

func (x *exchange) excludedExecutors() []membership.InstanceID {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	return append([]membership.InstanceID(nil), x.triedExecutors...)
}

// recordFailure stores the failure to report to the caller, preferring one of an attempt
// that may have run.
func (x *exchange) recordFailure(result attemptResult) {
	if x.lastFailure.outcome != Unknown {
		x.lastFailure = result
	}
}

// retryTimer returns a timer for the next attempt, or nil if there is none.
func (x *exchange) retryTimer(result attemptResult) <-chan time.Time {
	delay, ok := x.backoff(result)
	if !ok {
		return nil
	}
	return x.Clock.After(delay)
}

// backoff returns the delay before the next retry, or false if the request is not
// retried.
func (x *exchange) backoff(result attemptResult) (time.Duration, bool) {
	mayRunTwice := x.call.nonIdempotent && result.outcome != NotRun
	if result.final || mayRunTwice || x.attempts >= MaxAttempts {
		return 0, false
	}
	limit := initialBackoff << (x.attempts - 1)
	delay := limit/2 + rand.N(limit/2)
	if !x.Clock.Now().Add(delay).Before(x.call.deadline) {
		return 0, false
	}
	if !x.Governor.AllowExtraAttempt(x.call.service) {
		x.Counters.Add("Service.Denied."+string(ReasonRetryBudget), 1)
		return 0, false
	}
	x.Counters.Add("Service.Retried."+string(result.reason), 1)
	x.record(x.call, "Retry", result.reason, Fact{Name: "Executor", Value: string(result.executor)})
	return delay, true
}

// startHedge starts a second attempt in parallel to a slow one, if the retry budget
// allows it.
func (x *exchange) startHedge() {
	if x.pending != 1 || x.hedges >= MaxHedges || x.attempts >= MaxAttempts {
		return
	}
	if !x.Governor.AllowExtraAttempt(x.call.service) {
		x.Counters.Add("Service.Denied."+string(ReasonRetryBudget), 1)
		return
	}
	x.hedges++
	x.Counters.Add("Service.Retried."+string(ReasonHedge), 1)
	x.record(x.call, "Hedge", ReasonHedge)
	x.startAttempt(true)
}

// failureFrom converts the last result into the failure for the caller. The outcome is
// Unknown if any attempt may have run.
func (x *exchange) failureFrom(result attemptResult) *failure {
	x.end()
	x.mutex.Lock()
	defer x.mutex.Unlock()
	f := failure{outcome: NotRun, reason: result.reason, status: http.StatusServiceUnavailable, retryAfter: result.retryAfter, facts: result.facts}
	if x.mayHaveRun > 0 || x.claim == claimPending || result.outcome == Unknown {
		f.outcome, f.status = Unknown, http.StatusBadGateway
	}
	if result.reason == ReasonDeadline {
		f.status = http.StatusGatewayTimeout
	}
	if result.statusOverride != 0 {
		f.status = result.statusOverride
	}
	return &f
}
