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

// Router lends the slots in hand to requests. It implements service.SlotSource
// and service.Governor.
type Router struct {
	Hand     Hand
	Counters Counters
	Clock    clockwork.Clock

	mu       sync.Mutex
	services map[manifest.ServiceName]*state
}

// state is what the router knows of a service.
type state struct {
	admission admission.Service
	waiting   map[string]*waiter
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
	for name := range r.services {
		r.pump(now, name)
	}
}

func (r *Router) state(name manifest.ServiceName) *state {
	if r.services == nil {
		r.services = map[manifest.ServiceName]*state{}
	}
	s, known := r.services[name]
	if !known {
		s = &state{waiting: map[string]*waiter{}}
		r.services[name] = s
	}
	return s
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
	r.mu.Lock()
	r.state(need.Service).admission.Leave(id)
	delete(r.state(need.Service).waiting, id)
	r.mu.Unlock()
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
	s := r.state(w.need.Service)
	verdict := s.admission.Arrive(now, admission.Request{
		ID: id, Deadline: w.need.Deadline, NonIdempotent: w.need.NonIdempotent,
		Immediate: w.need.Immediate, Exclude: w.need.Exclude,
	}, r.Hand.Candidates(now, w.need.Service))
	switch verdict.Action {
	case admission.Serve:
		if slot, ok := r.take(now, w.need.Service, verdict.Choice.Executor); ok {
			return slot, true, nil
		}
		verdict.Reason, verdict.RetryAfter = admission.NoSlots, service.DefaultRetryAfter
	case admission.Wait:
		s.waiting[id] = w
		r.Hand.Wants(w.need.Service, s.admission.Waiting())
		return service.Slot{}, false, nil
	}
	r.Counters.Add("Admission.Refused."+string(verdict.Reason), 1)
	r.Hand.Wants(w.need.Service, s.admission.Waiting()+1)
	return service.Slot{}, true, &service.Refusal{Reason: service.Reason(verdict.Reason), RetryAfter: verdict.RetryAfter}
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
	s := r.state(name)
	for {
		id, choice, ok := s.admission.Next(now, r.Hand.Candidates(now, name))
		if !ok {
			return
		}
		w := s.waiting[id]
		delete(s.waiting, id)
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
	for name, s := range r.services {
		for _, id := range s.admission.Expire(now) {
			w := s.waiting[id]
			delete(s.waiting, id)
			if w == nil {
				continue
			}
			r.Counters.Add("Admission.Refused."+string(admission.Dropped), 1)
			w.answer <- answer{err: &service.Refusal{
				Reason: service.Reason(admission.Dropped), RetryAfter: service.DefaultRetryAfter,
			}}
		}
		r.pump(now, name)
	}
}

// Arrived credits the retry budget of a service with one request.
func (r *Router) Arrived(s manifest.Service) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state(s.Name).admission.Budget.Arrived(s.RetryShare)
}

// AllowExtra takes one retry or hedge from the budget of a service.
func (r *Router) AllowExtra(s manifest.Service) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state(s.Name).admission.Budget.Take()
}

// HedgeDelay returns how long to wait before a hedge, and false for no hedge.
func (r *Router) HedgeDelay(s manifest.Service) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state(s.Name).admission.HedgeDelay(r.Clock.Now(), s.HedgePercentile)
}

// Observe takes in how an attempt on an executor ended.
func (r *Router) Observe(s manifest.Service, executor membership.InstanceID, seen service.Observation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state(s.Name).admission.Observe(r.Clock.Now(), executor, admission.Observation{
		Took: seen.Took, Failed: seen.Outcome != service.Completed, Cancelled: seen.Cancelled,
	})
}
