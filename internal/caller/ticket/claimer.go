package ticket

import (
	"context"
	"fmt"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/jacinthtrail/jacinthtrail/internal/caller/service"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/manifest"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// DefaultWait bounds the wait for the home of a ticket.
const DefaultWait = 500 * time.Millisecond

// Reasons for requests that were not sent.
const (
	ReasonExpired        service.Reason = "TicketExpired"
	ReasonFormat         service.Reason = "TicketFormat"
	ReasonAlreadyClaimed service.Reason = "TicketAlreadyClaimed"
)

// Peers asks another entry instance for a claim (Ticket.Claim).
type Peers interface {
	ClaimTicket(ctx context.Context, home membership.InstanceID, t Ticket) (Answer, error)
}

// Claimer claims tickets at their homes. It implements service.Keys.
type Claimer struct {
	Home  *Home
	Peers Peers
	Clock clockwork.Clock
	// Wait bounds the wait for the home; 0 stands for DefaultWait.
	Wait time.Duration
}

// Begin claims a ticket. It fails with *service.Refusal for a key that can't be a
// ticket, and with another error if the claim has no certain answer: the home may
// have granted it to this or another request.
func (c *Claimer) Begin(ctx context.Context, _ manifest.ServiceName, key string) (service.Started, error) {
	t, err := Parse(key)
	if err != nil {
		return service.Started{}, &service.Refusal{Reason: ReasonFormat}
	}
	answer, err := c.ask(ctx, t)
	if err != nil {
		return service.Started{}, fmt.Errorf("claim of ticket %s: %w", t, err)
	}
	switch answer {
	case Granted:
		return service.Started{First: true}, nil
	case AlreadyClaimed:
		return service.Started{Reason: ReasonAlreadyClaimed}, nil
	case Expired:
		// The home no longer knows whether an earlier try with the ticket ran.
		return service.Started{Reason: ReasonExpired}, nil
	default:
		return service.Started{}, fmt.Errorf("claim of ticket %s: home answered %q", t, answer)
	}
}

func (c *Claimer) ask(ctx context.Context, t Ticket) (Answer, error) {
	if t.Home == c.Home.ID() {
		return c.Home.Claim(t), nil
	}
	wait := c.Wait
	if wait <= 0 {
		wait = DefaultWait
	}
	ctx, cancel := clockwork.WithTimeout(ctx, c.Clock, wait)
	defer cancel()
	return c.Peers.ClaimTicket(ctx, t.Home, t)
}
