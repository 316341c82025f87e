package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

const (
	// adviceWorkers bounds the workers that the placement policy is asked about at
	// once: it takes time for each. Twice the tasks of the step are asked about.
	adviceWorkers = 24
	// minAdviceWorkers are asked about for small steps.
	minAdviceWorkers = 6
	// adviceTimeout is the time after which a question without an answer is repeated.
	adviceTimeout = 4 * time.Second
	// ticketMargin is kept from the validity of a ticket for the start command's way.
	ticketMargin = 300 * time.Millisecond
)

// AdviceRequest asks the placement policy which workers may run a step.
type AdviceRequest struct {
	Step    StepID
	Workers []membership.InstanceID
}

// Grant allows a worker to run a step.
type Grant struct {
	Worker membership.InstanceID
	Ticket Ticket
}

// stepTickets has what the placement policy said about a step.
type stepTickets struct {
	// askedAt is when a question was asked that isn't answered, else zero.
	askedAt time.Time
	// denied has the workers that must not run the step, which doesn't change.
	denied  map[membership.InstanceID]bool
	granted map[membership.InstanceID]ticketUntil
}

type ticketUntil struct {
	ticket Ticket
	until  time.Time
	born   int64
}

// ticket returns the valid ticket to run the step on the worker, empty for none.
func (e *Engine) ticket(now time.Time, s *step, n *node) Ticket {
	held := e.tickets[s.id]
	if held == nil {
		return ""
	}
	t := held.granted[n.ID]
	if t.born != n.incarnation || !now.Before(t.until) {
		return ""
	}
	return t.ticket
}

func (e *Engine) dropTicket(id StepID, n *node) {
	if held := e.tickets[id]; held != nil {
		delete(held.granted, n.ID)
	}
}

// askAdvice asks about the workers that suit a step best and weren't asked about.
func (e *Engine) askAdvice(now time.Time, s *step) {
	held := e.tickets[s.id]
	if held == nil {
		held = &stepTickets{denied: map[membership.InstanceID]bool{}, granted: map[membership.InstanceID]ticketUntil{}}
		e.tickets[s.id] = held
	}
	if !held.askedAt.IsZero() && now.Sub(held.askedAt) < adviceTimeout {
		return
	}
	workers := e.adviceCandidates(now, s, held)
	if len(workers) == 0 {
		return
	}
	held.askedAt = now
	e.count("Advice.Asked")
	e.adviceRequests = append(e.adviceRequests, AdviceRequest{Step: s.id, Workers: workers})
}

// adviceCandidates returns the cheapest workers that could run the step, as far as
// is known.
func (e *Engine) adviceCandidates(now time.Time, s *step, held *stepTickets) []membership.InstanceID {
	type priced struct {
		id   membership.InstanceID
		cost float64
	}
	var list []priced
	for _, n := range e.sortedWorkers {
		if held.denied[n.ID] || e.ticket(now, s, n) != "" || !e.isFeasible(now, s, n) {
			continue
		}
		if cost, ok := e.cost(now, s.tasks[0], n); ok {
			list = append(list, priced{n.ID, cost})
		}
	}
	slices.SortStableFunc(list, func(a, b priced) int { return cmp.Compare(a.cost, b.cost) })
	wanted := min(max(2*s.remainingTasks, minAdviceWorkers), adviceWorkers, len(list))
	ids := make([]membership.InstanceID, wanted)
	for i := range ids {
		ids[i] = list[i].id
	}
	return ids
}

// TakeAdviceRequests returns the questions that were decided since the last call.
func (e *Engine) TakeAdviceRequests() []AdviceRequest {
	taken := e.adviceRequests
	e.adviceRequests = nil
	return taken
}

// Advised takes over the answer to a question. Workers without a grant must not run
// the step.
func (e *Engine) Advised(now time.Time, r AdviceRequest, grants []Grant, validity time.Duration) {
	held := e.tickets[r.Step]
	if held == nil {
		return
	}
	held.askedAt = time.Time{}
	for _, id := range r.Workers {
		held.denied[id] = true
	}
	for _, g := range grants {
		delete(held.denied, g.Worker)
		if n := e.workers[g.Worker]; n != nil {
			held.granted[g.Worker] = ticketUntil{g.Ticket, now.Add(validity - ticketMargin), n.incarnation}
		}
	}
	e.record(now, Decision{Event: "Advised", Job: r.Step.Job})
}

// AdviceFailed lets a question be asked again.
func (e *Engine) AdviceFailed(r AdviceRequest) {
	e.count("Advice.Failed")
	if held := e.tickets[r.Step]; held != nil {
		held.askedAt = time.Time{}
	}
}
