// Package routing gives service requests the slots of executors that this entry
// instance has in hand.
package routing

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"

	"github.com/jacinthtrail/jacinthtrail/internal/caller/service"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/admission"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/manifest"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// expiryInterval is the time between looks for waiting requests whose deadline
// can't be met any more.
const expiryInterval = 10 * time.Millisecond

// Use is a slot and a connection in use.
type Use interface {
	// FirstByte gives the slot back and keeps the connection, for a feed.
	FirstByte(now time.Time)
	// End gives back what is left. If done is false it counts as used until inDoubt.
	End(now time.Time, done bool, inDoubt time.Time)
}

// Hand has the slots and connections that this instance may use. Its methods are
// called with the Router's lock held.
type Hand interface {
	// Candidates returns the executors of a service with the slots in hand.
	Candidates(now time.Time, name manifest.ServiceName) []admission.Candidate
	// Take takes a slot and a connection of an executor.
	Take(now time.Time, name manifest.ServiceName, executor membership.InstanceID) (use Use, address string, ok bool)
	// Wants tells how many requests of a service wait or had to be refused for want of a slot.
	Wants(name manifest.ServiceName, waiting int)
}

// Counters counts events by name.
type Counters interface {
	Add(name string, delta int64)
}

// Router lends the slots in hand to requests. It implements service.SlotSource.
type Router struct {
	Hand Hand
	// Governor has the admission state of each service.
	Governor *service.AdmissionGovernor
	Counters Counters
	Clock    clockwork.Clock

	mu      sync.Mutex
	waiting map[manifest.ServiceName]map[string]*waiter
}

// waiter is a request that waits for a slot.
type waiter struct {
	need   service.Need
	answer chan answer
}

type answer struct {
	slot service.Slot
	err  error
}

// Lock runs f with the router's lock held, for changes of the Hand. It then
// serves the requests that can be served.
func (r *Router) Lock(f func(now time.Time)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	f(now)
	for name := range r.waiting {
		r.pump(now, name)
	}
}

// waiters returns the waiting requests of a service. The lock is held.
func (r *Router) waiters(name manifest.ServiceName) map[string]*waiter {
	if r.waiting == nil {
		r.waiting = map[manifest.ServiceName]map[string]*waiter{}
	}
	if r.waiting[name] == nil {
		r.waiting[name] = map[string]*waiter{}
	}
	return r.waiting[name]
}

// remove forgets a waiting request.
func (r *Router) remove(name manifest.ServiceName, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Governor.With(name, func(_ time.Time, state *admission.Service) { state.Leave(id) })
	delete(r.waiters(name), id)
}

// Acquire returns a slot, waits for one, or refuses with *service.Refusal.
func (r *Router) Acquire(ctx context.Context, need service.Need) (service.Slot, error) {
	id := uuid.NewString()
	w := &waiter{need: need, answer: make(chan answer, 1)}
	slot, decided, err := r.arrive(id, w)
	if decided {
		return slot, err
	}
	select {
	case a := <-w.answer:
		return a.slot, a.err
	case <-ctx.Done():
	}
	r.remove(need.Service, id)
	select {
	case a := <-w.answer:
		// The slot came at the same moment; it was not used.
		if a.err == nil {
			a.slot.Release(service.SlotUse{Done: true})
		}
	default:
	}
	return service.Slot{}, context.Cause(ctx)
}

// arrive decides on a new request. It reports false if the request waits.
func (r *Router) arrive(id string, w *waiter) (service.Slot, bool, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	name := w.need.Service
	verdict, waiting := r.admit(now, id, w.need)
	switch verdict.Action {
	case admission.Serve:
		if slot, ok := r.take(now, name, verdict.Choice.Executor); ok {
			return slot, true, nil
		}
		verdict.Reason, verdict.RetryAfter = admission.NoSlots, service.DefaultRetryAfter
	case admission.Wait:
		r.waiters(name)[id] = w
		r.Hand.Wants(name, waiting)
		return service.Slot{}, false, nil
	}
	r.Counters.Add("Admission.Refused."+string(verdict.Reason), 1)
	r.Hand.Wants(name, waiting+1)
	return service.Slot{}, true, &service.Refusal{Reason: service.Reason(verdict.Reason), RetryAfter: verdict.RetryAfter}
}

// admit asks admission for its verdict and returns how many requests wait.
func (r *Router) admit(now time.Time, id string, need service.Need) (verdict admission.Verdict, waiting int) {
	candidates := r.Hand.Candidates(now, need.Service)
	r.Governor.With(need.Service, func(_ time.Time, state *admission.Service) {
		verdict = state.Arrive(now, admission.Request{
			ID: id, Deadline: need.Deadline, NonIdempotent: need.NonIdempotent,
			Immediate: need.Immediate, Exclude: need.Exclude,
		}, candidates)
		waiting = state.Waiting()
	})
	return verdict, waiting
}

// take takes a slot in hand. The lock is held.
func (r *Router) take(now time.Time, name manifest.ServiceName, executor membership.InstanceID) (service.Slot, bool) {
	use, address, ok := r.Hand.Take(now, name, executor)
	if !ok {
		r.Counters.Add("Admission.TakeFailed", 1)
		return service.Slot{}, false
	}
	return service.Slot{
		Executor: executor,
		Address:  address,
		FirstByte: func() {
			r.Lock(func(now time.Time) { use.FirstByte(now) })
		},
		Release: func(ended service.SlotUse) {
			if !ended.Done {
				r.Counters.Add("Slot.InDoubt", 1)
			}
			r.Lock(func(now time.Time) { use.End(now, ended.Done, ended.InDoubtUntil) })
		},
	}, true
}

// pump serves waiting requests from the slots in hand. The lock is held.
func (r *Router) pump(now time.Time, name manifest.ServiceName) {
	waiting := r.waiters(name)
	for len(waiting) > 0 {
		id, choice, ok := r.next(now, name)
		if !ok {
			return
		}
		w := waiting[id]
		delete(waiting, id)
		if w == nil {
			continue
		}
		slot, taken := r.take(now, name, choice.Executor)
		if !taken {
			w.answer <- answer{err: &service.Refusal{Reason: service.ReasonNoSlot, RetryAfter: service.DefaultRetryAfter}}
			continue
		}
		w.answer <- answer{slot: slot}
	}
}

// next returns the waiting request to serve now.
func (r *Router) next(now time.Time, name manifest.ServiceName) (id string, choice admission.Choice, ok bool) {
	candidates := r.Hand.Candidates(now, name)
	r.Governor.With(name, func(_ time.Time, state *admission.Service) {
		id, choice, ok = state.Next(now, candidates)
	})
	return id, choice, ok
}

// Run refuses waiting requests at once when their deadline can't be met any more,
// until ctx ends.
func (r *Router) Run(ctx context.Context) error {
	ticker := r.Clock.NewTicker(expiryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
			r.expire()
		}
	}
}

func (r *Router) expire() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	for name, waiting := range r.waiting {
		if len(waiting) == 0 {
			continue
		}
		var expired []string
		r.Governor.With(name, func(_ time.Time, state *admission.Service) { expired = state.Expire(now) })
		for _, id := range expired {
			r.drop(waiting, id)
		}
		r.pump(now, name)
	}
}

// drop refuses a waiting request. The lock is held.
func (r *Router) drop(waiting map[string]*waiter, id string) {
	w := waiting[id]
	delete(waiting, id)
	if w == nil {
		return
	}
	r.Counters.Add("Admission.Refused."+string(admission.Dropped), 1)
	w.answer <- answer{err: &service.Refusal{
		Reason: service.Reason(admission.Dropped), RetryAfter: service.DefaultRetryAfter,
	}}
}
