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

// DefaultTimeout is the default bound on the wait for the answer of a ticket's home.
const DefaultTimeout = 500 * time.Millisecond

// Reasons why requests were not sent to a backend server.
const (
	ReasonExpired        service.Reason = "TicketExpired"
	ReasonFormat         service.Reason = "TicketFormat"
	ReasonAlreadyClaimed service.Reason = "TicketAlreadyClaimed"
)

// Peers sends claims to other entry instances (peer method Ticket.Claim).
type Peers interface {
	ClaimTicket(ctx context.Context, home membership.InstanceID, t Ticket) (Answer, error)
}

// Claimer claims tickets at their homes, which may be this instance or another one. It
// implements service.KeyClaimer.
type Claimer struct {
	Home  *Home
	Peers Peers
	Clock clockwork.Clock
	// Timeout bounds the wait for the home's answer; 0 means DefaultTimeout.
	Timeout time.Duration
}

// Claim claims a ticket. It fails with *service.Refusal for a key that can't be a
// ticket. Any other error means that the outcome of the claim is unknown: the home may
// have granted it to this request or to another one.
func (c *Claimer) Claim(ctx context.Context, _ manifest.ServiceName, key string) (service.ClaimResult, error) {
	t, err := Parse(key)
	if err != nil {
		return service.ClaimResult{}, &service.Refusal{Reason: ReasonFormat}
	}
	answer, err := c.claimAtHome(ctx, t)
	if err != nil {
		return service.ClaimResult{}, fmt.Errorf("claim ticket %s: %w", t, err)
	}
	switch answer {
	case Granted:
		return service.ClaimResult{Claimed: true}, nil
	case AlreadyClaimed:
		return service.ClaimResult{Reason: ReasonAlreadyClaimed}, nil
	case Expired:
		// The home no longer knows whether an earlier request with the ticket ran.
		return service.ClaimResult{Reason: ReasonExpired}, nil
	default:
		return service.ClaimResult{}, fmt.Errorf("claim ticket %s: unexpected answer %q from its home", t, answer)
	}
}

func (c *Claimer) claimAtHome(ctx context.Context, t Ticket) (Answer, error) {
	if t.Home == c.Home.ID() {
		return c.Home.Claim(t), nil
	}
	timeout := c.Timeout
	if timeout <= 0 {
		timeout = DefaultTimeout
	}
	ctx, cancel := clockwork.WithTimeout(ctx, c.Clock, timeout)
	defer cancel()
	return c.Peers.ClaimTicket(ctx, t.Home, t)
}
