package service

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/admission"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/manifest"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// minExpiryInterval is the minimum time between two expiry checks of one waiting request.
// A request can need several checks, since the estimated service time may change in
// between.
const minExpiryInterval = time.Millisecond

// recheckInterval is how often waiting requests are retried although no slot was freed.
// The probe delay of an avoided executor may have passed by then.
const recheckInterval = 50 * time.Millisecond

// slotRetries and slotRetryInterval control how often a request retries when this
// instance holds no slots. It continues beyond slotRetries while the owner of a shard has
// yet to answer a request for slots, which takes a few ms, or several hundred on a busy machine.
const (
	slotRetryInterval = 20 * time.Millisecond
	slotRetries       = 5
)

// SlotPool is the set of slots that this entry instance holds. They are granted by the
// owners of the shards that the executors belong to. Its methods must not block and must
// not call the SlotRouter.
type SlotPool interface {
	// Candidates returns the executors of a service on which this instance holds slots.
	Candidates(service manifest.ServiceName) []admission.Candidate
	// Acquire acquires a slot and a connection of an executor. It returns false if there is
	// none.
	Acquire(service manifest.ServiceName, executor membership.InstanceID, feed bool) (Slot, bool)
	// ReportShortage reports that a request found no free slot, and how many requests are
	// waiting.
	ReportShortage(service manifest.ServiceName, waiting int)
	// RequestPending reports whether a request to an owner for slots is still unanswered.
	RequestPending(service manifest.ServiceName) bool
}

// SlotRouter is a SlotSource that assigns the slots in Slots to requests, as package
// admission decides.
type SlotRouter struct {
	Governor *AdmissionGovernor
	Slots    SlotPool
	Clock    clockwork.Clock

	mutex   sync.Mutex
	lastID  uint64
	waiting map[string]*waiter
	// lastRecheck is when the waiting requests of a service were last rechecked.
	lastRecheck map[manifest.ServiceName]time.Time
}

// waiter is a request that is waiting for a slot.
type waiter struct {
	request SlotRequest
	result  chan acquireResult
}

// acquireResult is the slot or the error for a waiter.
type acquireResult struct {
	slot Slot
	err  error
}

// NewSlotRouter returns a SlotRouter without waiting requests.
func NewSlotRouter(governor *AdmissionGovernor, slots SlotPool, clock clockwork.Clock) *SlotRouter {
	return &SlotRouter{Governor: governor, Slots: slots, Clock: clock, waiting: map[string]*waiter{}, lastRecheck: map[manifest.ServiceName]time.Time{}}
}

// Acquire returns a slot, waiting for one if necessary. It fails with *Refusal as soon as
// the deadline can no longer be met. If this instance holds no slots at all, Acquire
// retries, because a request for slots is then under way, for example after the owner has
// recalled the last one.
func (r *SlotRouter) Acquire(ctx context.Context, request SlotRequest) (Slot, error) {
	for retries := 0; ; retries++ {
		slot, err := r.acquire(ctx, request)
		var refusal *Refusal
		if !errors.As(err, &refusal) || refusal.Reason != Reason(admission.NoSlots) {
			return slot, err
		}
		if request.Immediate || !r.Clock.Now().Add(slotRetryInterval).Before(request.Deadline) {
			return slot, err
		}
		if retries >= slotRetries && !r.Slots.RequestPending(request.Service) {
			return slot, err
		}
		select {
		case <-ctx.Done():
			return Slot{}, ctx.Err()
		case <-r.Clock.After(slotRetryInterval):
		}
	}
}

// acquire makes one attempt to get a slot, which includes waiting in the queue.
func (r *SlotRouter) acquire(ctx context.Context, request SlotRequest) (Slot, error) {
	w := &waiter{request: request, result: make(chan acquireResult, 1)}
	id := r.admit(w)
	// A request that was served or refused immediately needs no timer.
	select {
	case result := <-w.result:
		return result.slot, result.err
	default:
	}
	for {
		timer := r.Clock.NewTimer(min(r.timeUntilExpiry(request), recheckInterval))
		select {
		case result := <-w.result:
			timer.Stop()
			return result.slot, result.err
		case <-timer.Chan():
			r.expire(request.Service)
			r.recheck(request.Service)
		case <-ctx.Done():
			timer.Stop()
			return r.withdraw(ctx, id, w)
		}
	}
}

// admit makes the admission decision for a request. It sends the result to the waiter
// unless the request has to wait.
func (r *SlotRouter) admit(w *waiter) string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.lastID++
	id := strconv.FormatUint(r.lastID, 10)
	request := admission.Request{
		ID: id, Deadline: w.request.Deadline, NonIdempotent: w.request.NonIdempotent,
		Immediate: w.request.Immediate, Exclude: w.request.Exclude,
	}
	waiting := 0
	var decision admission.Decision
	r.Governor.WithState(w.request.Service, func(now time.Time, state *admission.Controller) {
		decision = state.Admit(now, request, r.Slots.Candidates(w.request.Service))
		waiting = state.WaitingCount()
	})
	switch decision.Action {
	case admission.Serve:
		r.assignSlot(w, decision.Choice)
		return id
	case admission.Wait:
		r.waiting[id] = w
	default:
		w.result <- acquireResult{err: newRefusal(decision)}
	}
	r.Slots.ReportShortage(w.request.Service, waiting)
	return id
}

// newRefusal converts a decision to refuse a request into an error.
func newRefusal(decision admission.Decision) *Refusal {
	return &Refusal{Reason: Reason(decision.Reason), RetryAfter: decision.RetryAfter, Facts: []Fact{
		{Name: "ExpectedWait", Value: decision.ExpectedWait.String()},
		{Name: "Need", Value: decision.RequiredTime.String()},
	}}
}

// assignSlot sends a slot to the waiter. If the slot was recalled since the candidates
// were listed, it sends a refusal.
func (r *SlotRouter) assignSlot(w *waiter, choice admission.Choice) {
	slot, ok := r.Slots.Acquire(w.request.Service, choice.Executor, w.request.Feed)
	if !ok {
		w.result <- acquireResult{err: &Refusal{Reason: ReasonNoSlot, RetryAfter: DefaultRetryAfter}}
		return
	}
	release := slot.Release
	slot.Release = func(result SlotRelease) {
		release(result)
		r.ServeWaiting(w.request.Service)
	}
	w.result <- acquireResult{slot: slot}
}

// ServeWaiting serves waiting requests after slots of a service were added or freed.
func (r *SlotRouter) ServeWaiting(service manifest.ServiceName) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for r.serveNext(service) {
	}
}

// recheck serves waiting requests in case the probe delay of an executor has passed. The
// waiting requests of a service share one recheck per recheckInterval.
func (r *SlotRouter) recheck(service manifest.ServiceName) {
	now := r.Clock.Now()
	r.mutex.Lock()
	due := now.Sub(r.lastRecheck[service]) >= recheckInterval
	if due {
		r.lastRecheck[service] = now
	}
	r.mutex.Unlock()
	if due {
		r.ServeWaiting(service)
	}
}

// serveNext assigns a slot to the next waiting request. It returns false if none can be
// served.
func (r *SlotRouter) serveNext(service manifest.ServiceName) bool {
	var id string
	var choice admission.Choice
	var ok bool
	r.Governor.WithState(service, func(now time.Time, state *admission.Controller) {
		if state.WaitingCount() == 0 {
			return
		}
		id, choice, ok = state.Next(now, r.Slots.Candidates(service))
	})
	if !ok {
		return false
	}
	w := r.waiting[id]
	delete(r.waiting, id)
	r.assignSlot(w, choice)
	return true
}

// timeUntilExpiry returns how long a request can wait before it can no longer meet its
// deadline.
func (r *SlotRouter) timeUntilExpiry(request SlotRequest) (wait time.Duration) {
	r.Governor.WithState(request.Service, func(now time.Time, state *admission.Controller) {
		wait = max(0, state.DropTime(now, request.Deadline).Sub(now)) + minExpiryInterval
	})
	return wait
}

// expire refuses the waiting requests that can no longer meet their deadline.
func (r *SlotRouter) expire(service manifest.ServiceName) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var ids []string
	r.Governor.WithState(service, func(now time.Time, state *admission.Controller) { ids = state.Expire(now) })
	for _, id := range ids {
		r.waiting[id].result <- acquireResult{err: &Refusal{Reason: Reason(admission.Dropped), RetryAfter: DefaultRetryAfter}}
		delete(r.waiting, id)
	}
}

// withdraw removes a cancelled request from the queue. If it was assigned a slot in the
// meantime, it releases the slot unused.
func (r *SlotRouter) withdraw(ctx context.Context, id string, w *waiter) (Slot, error) {
	r.mutex.Lock()
	r.Governor.WithState(w.request.Service, func(_ time.Time, state *admission.Controller) { state.Remove(id) })
	delete(r.waiting, id)
	r.mutex.Unlock()
	select {
	case result := <-w.result:
		if result.err == nil {
			result.slot.Release(SlotRelease{ExecutorDone: true})
		}
	default:
	}
	return Slot{}, ctx.Err()
}
