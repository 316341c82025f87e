package dispatch

import (
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
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

// stepTickets has the tickets of a step by worker.
type stepTickets struct {
	asked   time.Time
	granted map[membership.InstanceID]ticketUntil
}

type ticketUntil struct {
	ticket Ticket
	until  time.Time
}

// ticket returns the ticket to run the step on the worker, empty for none.
func (e *Engine) ticket(s *step, n *node) Ticket {
	held := e.tickets[s.id]
	if held == nil {
		return ""
	}
	return held.granted[n.ID].ticket
}

func (e *Engine) dropTicket(id StepID, n *node) {
	if held := e.tickets[id]; held != nil {
		delete(held.granted, n.ID)
	}
}
