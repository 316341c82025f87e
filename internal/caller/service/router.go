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

// expiryStep is the least time between two checks of one waiting request. The
// estimate of the service time may change in between.
const expiryStep = time.Millisecond

// recheckInterval is the time after which waiting requests are looked at again
// although no slot was freed. Executors that were avoided may be tried by then.
const recheckInterval = 50 * time.Millisecond

// A request that finds no slot in hand asks grantWaits more times, grantWait apart, and
// goes on while an owner has yet to answer. An owner answers a request for slots within a
// few ms, on a busy machine within some hundred.
const (
	grantWait  = 20 * time.Millisecond
	grantWaits = 5
)

// Holdings are the slots that this entry instance has in hand. Its methods must
// not block and must not call the Router.
type Holdings interface {
	// Candidates returns the executors of a service with slots in hand.
	Candidates(service manifest.ServiceName) []admission.Candidate
	// Take takes a slot and a connection of an executor, false if there is none.
	Take(service manifest.ServiceName, executor membership.InstanceID, feed bool) (Slot, bool)
	// Wanted tells that a request found no slot, with the number that wait.
	Wanted(service manifest.ServiceName, waiting int)
	// Asked reports whether an owner is expected to answer a request for slots soon.
	Asked(service manifest.ServiceName) bool
}

// Router is a SlotSource that lends the slots in hand by package admission.
type Router struct {
	Governor *AdmissionGovernor
	Holdings Holdings
	Clock    clockwork.Clock

	mutex   sync.Mutex
	last    uint64
	waiting map[string]*waiter
	// rechecks has when the waiting requests of a service were last looked at by time.
	rechecks map[manifest.ServiceName]time.Time
}

// waiter is a request that waits for a slot.
type waiter struct {
	need  Need
	grant chan grant
}

// grant is the answer to a waiting request.
type grant struct {
	slot Slot
	err  error
}

// NewRouter returns a Router with nothing waiting.
func NewRouter(governor *AdmissionGovernor, holdings Holdings, clock clockwork.Clock) *Router {
	return &Router{Governor: governor, Holdings: holdings, Clock: clock, waiting: map[string]*waiter{}, rechecks: map[manifest.ServiceName]time.Time{}}
}

// Acquire lends a slot, waits for one, or fails with *Refusal as soon as the
// deadline can't be met. Without any slot in hand it asks again a few times: a request
// for slots is under way then, for example because the owner has recalled the last.
func (r *Router) Acquire(ctx context.Context, need Need) (Slot, error) {
	for waits := 0; ; waits++ {
		slot, err := r.acquire(ctx, need)
		var refusal *Refusal
		if !errors.As(err, &refusal) || refusal.Reason != Reason(admission.NoSlots) {
			return slot, err
		}
		if need.Immediate || !r.Clock.Now().Add(grantWait).Before(need.Deadline) {
			return slot, err
		}
		if waits >= grantWaits && !r.Holdings.Asked(need.Service) {
			return slot, err
		}
		select {
		case <-ctx.Done():
			return Slot{}, ctx.Err()
		case <-r.Clock.After(grantWait):
		}
	}
}

func (r *Router) acquire(ctx context.Context, need Need) (Slot, error) {
	w := &waiter{need: need, grant: make(chan grant, 1)}
	id := r.arrive(w)
	// A request that was decided on at arrival needs no timer.
	select {
	case g := <-w.grant:
		return g.slot, g.err
	default:
	}
	for {
		timer := r.Clock.NewTimer(min(r.untilDrop(need), recheckInterval))
		select {
		case g := <-w.grant:
			timer.Stop()
			return g.slot, g.err
		case <-timer.Chan():
			r.expire(need.Service)
			r.recheck(need.Service)
		case <-ctx.Done():
			timer.Stop()
			return r.leave(ctx, id, w)
		}
	}
}

// arrive decides on a request, and answers it unless it has to wait.
func (r *Router) arrive(w *waiter) string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.last++
	id := strconv.FormatUint(r.last, 10)
	request := admission.Request{
		ID: id, Deadline: w.need.Deadline, NonIdempotent: w.need.NonIdempotent,
		Immediate: w.need.Immediate, Exclude: w.need.Exclude,
	}
	waiting := 0
	var verdict admission.Decision
	r.Governor.With(w.need.Service, func(now time.Time, state *admission.Service) {
		verdict = state.Admit(now, request, r.Holdings.Candidates(w.need.Service))
		waiting = state.Waiting()
	})
	switch verdict.Action {
	case admission.Serve:
		r.take(w, verdict.Choice)
		return id
	case admission.Wait:
		r.waiting[id] = w
	default:
		w.grant <- grant{err: refusalOf(verdict)}
	}
	r.Holdings.Wanted(w.need.Service, waiting)
	return id
}

func refusalOf(verdict admission.Decision) *Refusal {
	return &Refusal{Reason: Reason(verdict.Reason), RetryAfter: verdict.RetryAfter, Facts: []Fact{
		{Name: "ExpectedWait", Value: verdict.ExpectedWait.String()},
		{Name: "Need", Value: verdict.RequiredTime.String()},
	}}
}

// take answers a request with a slot. The slot may be gone, if it was recalled
// since the candidates were listed.
func (r *Router) take(w *waiter, choice admission.Choice) {
	slot, ok := r.Holdings.Take(w.need.Service, choice.Executor, w.need.Feed)
	if !ok {
		w.grant <- grant{err: &Refusal{Reason: ReasonNoSlot, RetryAfter: DefaultRetryAfter}}
		return
	}
	release := slot.Release
	slot.Release = func(use SlotUse) {
		release(use)
		r.Changed(w.need.Service)
	}
	w.grant <- grant{slot: slot}
}

// Changed serves waiting requests after slots of a service were added or freed.
func (r *Router) Changed(service manifest.ServiceName) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for r.serveNext(service) {
	}
}

// recheck serves waiting requests after a pause of an executor may have ended. All
// waiting requests of a service together do so once in a recheckInterval.
func (r *Router) recheck(service manifest.ServiceName) {
	now := r.Clock.Now()
	r.mutex.Lock()
	due := now.Sub(r.rechecks[service]) >= recheckInterval
	if due {
		r.rechecks[service] = now
	}
	r.mutex.Unlock()
	if due {
		r.Changed(service)
	}
}

func (r *Router) serveNext(service manifest.ServiceName) bool {
	var id string
	var choice admission.Choice
	var ok bool
	r.Governor.With(service, func(now time.Time, state *admission.Service) {
		if state.Waiting() == 0 {
			return
		}
		id, choice, ok = state.Next(now, r.Holdings.Candidates(service))
	})
	if !ok {
		return false
	}
	w := r.waiting[id]
	delete(r.waiting, id)
	r.take(w, choice)
	return true
}

// untilDrop returns the time after which a request can't be in time any more.
func (r *Router) untilDrop(need Need) (wait time.Duration) {
	r.Governor.With(need.Service, func(now time.Time, state *admission.Service) {
		wait = max(0, state.DropTime(now, need.Deadline).Sub(now)) + expiryStep
	})
	return wait
}

// expire refuses the waiting requests whose deadline can't be met any more.
func (r *Router) expire(service manifest.ServiceName) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var ids []string
	r.Governor.With(service, func(now time.Time, state *admission.Service) { ids = state.Expire(now) })
	for _, id := range ids {
		r.waiting[id].grant <- grant{err: &Refusal{Reason: Reason(admission.Dropped), RetryAfter: DefaultRetryAfter}}
		delete(r.waiting, id)
	}
}

// leave withdraws a request. A slot that was lent meanwhile goes back unused.
func (r *Router) leave(ctx context.Context, id string, w *waiter) (Slot, error) {
	r.mutex.Lock()
	r.Governor.With(w.need.Service, func(_ time.Time, state *admission.Service) { state.Remove(id) })
	delete(r.waiting, id)
	r.mutex.Unlock()
	select {
	case g := <-w.grant:
		if g.err == nil {
			g.slot.Release(SlotUse{Done: true})
		}
	default:
	}
	return Slot{}, ctx.Err()
}
