package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

const (
	// maxAdviceWorkers limits the workers in one request to the placement policy, which
	// takes time for each of them. Each request has up to twice as many workers as the
	// step has remaining tasks.
	maxAdviceWorkers = 24
	// minAdviceWorkers is the number of workers in a request for a small step.
	minAdviceWorkers = 6
	// adviceTimeout is the time after which a request without an answer is repeated.
	adviceTimeout = 4 * time.Second
	// ticketMargin is subtracted from the validity of a ticket to allow for the
	// delivery of the start command.
	ticketMargin = 300 * time.Millisecond
)

// AdviceRequest asks the placement policy which workers may run a step.
type AdviceRequest struct {
	Step    StepID
	Workers []membership.InstanceID
}

// Grant permits a worker to run a step.
type Grant struct {
	Worker membership.InstanceID
	Ticket Ticket
}

// stepTickets has the placement policy's answers for a step.
type stepTickets struct {
	// askedAt is when the pending request was sent, or zero if none is pending.
	askedAt time.Time
	// denied has the workers that must not run the step. A denial is final.
	denied  map[membership.InstanceID]bool
	granted map[membership.InstanceID]heldTicket
}

// heldTicket is a ticket with its expiry, valid for one incarnation of a worker.
type heldTicket struct {
	ticket      Ticket
	expiresAt   time.Time
	incarnation int64
}

// ticket returns the valid ticket to run the step on the worker, or an empty one.
func (e *Engine) ticket(now time.Time, s *step, w *worker) Ticket {
	tickets := e.tickets[s.id]
	if tickets == nil {
		return ""
	}
	t := tickets.granted[w.ID]
	if t.incarnation != w.incarnation || !now.Before(t.expiresAt) {
		return ""
	}
	return t.ticket
}

func (e *Engine) dropTicket(id StepID, w *worker) {
	if tickets := e.tickets[id]; tickets != nil {
		delete(tickets.granted, w.ID)
	}
}

// askAdvice requests advice on the best feasible workers that the policy hasn't been
// asked about.
func (e *Engine) askAdvice(now time.Time, s *step) {
	tickets := e.tickets[s.id]
	if tickets == nil {
		tickets = &stepTickets{denied: map[membership.InstanceID]bool{}, granted: map[membership.InstanceID]heldTicket{}}
		e.tickets[s.id] = tickets
	}
	if !tickets.askedAt.IsZero() && now.Sub(tickets.askedAt) < adviceTimeout {
		return
	}
	workers := e.adviceCandidates(now, s, tickets)
	if len(workers) == 0 {
		return
	}
	tickets.askedAt = now
	e.count("Advice.Asked")
	e.adviceRequests = append(e.adviceRequests, AdviceRequest{Step: s.id, Workers: workers})
}

// adviceCandidates returns the feasible workers with the lowest cost.
func (e *Engine) adviceCandidates(now time.Time, s *step, tickets *stepTickets) []membership.InstanceID {
	type priced struct {
		id   membership.InstanceID
		cost float64
	}
	var list []priced
	for _, w := range e.sortedWorkers {
		if tickets.denied[w.ID] || e.ticket(now, s, w) != "" || !e.isFeasible(now, s, w) {
			continue
		}
		if cost, ok := e.cost(now, s.view(0), w); ok {
			list = append(list, priced{w.ID, cost})
		}
	}
	slices.SortStableFunc(list, func(a, b priced) int { return cmp.Compare(a.cost, b.cost) })
	wanted := min(max(2*s.remainingTasks, minAdviceWorkers), maxAdviceWorkers, len(list))
	ids := make([]membership.InstanceID, wanted)
	for i := range ids {
		ids[i] = list[i].id
	}
	return ids
}

// TakeAdviceRequests returns the requests that were issued since the last call.
func (e *Engine) TakeAdviceRequests() []AdviceRequest {
	requests := e.adviceRequests
	e.adviceRequests = nil
	return requests
}

// AdviceReceived processes the answer to a request. Workers without a grant must not run the
// step.
func (e *Engine) AdviceReceived(now time.Time, r AdviceRequest, grants []Grant, validity time.Duration) {
	tickets := e.tickets[r.Step]
	if tickets == nil {
		return
	}
	tickets.askedAt = time.Time{}
	for _, id := range r.Workers {
		tickets.denied[id] = true
	}
	for _, g := range grants {
		delete(tickets.denied, g.Worker)
		if w := e.workers[g.Worker]; w != nil {
			tickets.granted[g.Worker] = heldTicket{g.Ticket, now.Add(validity - ticketMargin), w.incarnation}
		}
	}
	e.record(now, Decision{Event: "Advised", Job: r.Step.Job})
}

// AdviceFailed allows a request to be sent again.
func (e *Engine) AdviceFailed(r AdviceRequest) {
	e.count("Advice.Failed")
	if tickets := e.tickets[r.Step]; tickets != nil {
		tickets.askedAt = time.Time{}
	}
}
