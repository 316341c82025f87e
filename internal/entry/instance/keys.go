package instance

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/caller/claim"
	"github.com/jacinthtrail/jacinthtrail/internal/caller/ticket"
	"github.com/jacinthtrail/jacinthtrail/internal/peer/entry"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// methodClaimTicket asks the home of a ticket to claim it.
const methodClaimTicket = "Ticket.Claim"

// sweepInterval is the time between sweeps of expired start records.
const sweepInterval = 10 * time.Minute

// TicketClaim asks for a claim.
type TicketClaim struct {
	Ticket ticket.Ticket
}

// TicketAnswer answers a TicketClaim.
type TicketAnswer struct {
	Answer ticket.Answer
}

func (i *Instance) initKeys() {
	i.tickets = ticket.NewHome(i.settings.ID, i.clock)
	i.claims = claim.New(claim.Config{Store: i.store, Clock: i.clock, Counters: i.counters})
	entry.Handle(i.server, methodClaimTicket, func(_ context.Context, request TicketClaim) (TicketAnswer, error) {
		if request.Ticket.Home != i.settings.ID {
			return TicketAnswer{}, entry.Errorf(entry.CodeInvalidParams, "ticket %s has another home", request.Ticket)
		}
		return TicketAnswer{Answer: i.tickets.Claim(request.Ticket)}, nil
	})
}

func (i *Instance) ticketClaimer() *ticket.Claimer {
	return &ticket.Claimer{Home: i.tickets, Peers: ticketPeers{i}, Clock: i.clock}
}

// ticketPeers claims tickets at their homes over peer connections.
type ticketPeers struct {
	*Instance
}

// ClaimTicket asks the home of a ticket. It fails if the home is unknown or gives
// no answer.
func (p ticketPeers) ClaimTicket(ctx context.Context, home membership.InstanceID, t ticket.Ticket) (ticket.Answer, error) {
	peer, known := p.peers.Get(home)
	if !known {
		return "", fmt.Errorf("the home %s of ticket %s is not known", home, t)
	}
	answer, err := entry.Call[TicketClaim, TicketAnswer](ctx, p.client, peer.Instance.Address, methodClaimTicket, TicketClaim{t})
	return answer.Answer, err
}

func (i *Instance) registerTickets(mux *http.ServeMux) {
	mux.Handle("/tickets", &ticket.Handler{Home: i.tickets, Counters: i.counters})
}

// sweepClaims deletes expired start records.
func (i *Instance) sweepClaims(ctx context.Context) {
	for {
		deleted, err := i.claims.Sweep(ctx)
		if err != nil {
			i.counters.Add("Claim.SweepFailed", 1)
			return
		}
		if deleted < claim.SweepLimit {
			return
		}
	}
}
