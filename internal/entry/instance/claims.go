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

// methodClaimTicket is called on the instance that issued a ticket, to claim the ticket.
const methodClaimTicket = "Ticket.Claim"

// sweepInterval is the time between sweeps of expired start records.
const sweepInterval = 10 * time.Minute

// TicketClaim asks the instance that issued a ticket to claim it.
type TicketClaim struct {
	Ticket ticket.Ticket
}

// TicketAnswer answers a TicketClaim.
type TicketAnswer struct {
	Answer ticket.Answer
}

func (i *Instance) initTicketsAndClaims() {
	i.tickets = ticket.NewHome(i.settings.ID, i.clock)
	i.claims = claim.New(claim.Config{Store: i.store, Clock: i.clock, Counters: i.counters})
	entry.Handle(i.peerServer, methodClaimTicket, func(_ context.Context, request TicketClaim) (TicketAnswer, error) {
		if request.Ticket.Home != i.settings.ID {
			return TicketAnswer{}, entry.Errorf(entry.CodeInvalidParams, "ticket %s was issued by another instance", request.Ticket)
		}
		return TicketAnswer{Answer: i.tickets.Claim(request.Ticket)}, nil
	})
}

func (i *Instance) ticketClaimer() *ticket.Claimer {
	return &ticket.Claimer{Home: i.tickets, Peers: ticketPeers{i}, Clock: i.clock}
}

// ticketPeers claims tickets of other instances over peer connections.
type ticketPeers struct {
	*Instance
}

// ClaimTicket claims a ticket at home, the instance that issued it. It fails if home is
// unknown or doesn't answer.
func (p ticketPeers) ClaimTicket(ctx context.Context, home membership.InstanceID, t ticket.Ticket) (ticket.Answer, error) {
	peer, known := p.peers.Get(home)
	if !known {
		return "", fmt.Errorf("the instance %s that issued ticket %s is unknown", home, t)
	}
	answer, err := entry.Call[TicketClaim, TicketAnswer](ctx, p.peerClient, peer.Instance.Address, methodClaimTicket, TicketClaim{t})
	return answer.Answer, err
}

func (i *Instance) registerTickets(mux *http.ServeMux) {
	mux.Handle("/tickets", &ticket.Handler{Home: i.tickets, Counters: i.counters})
}

// sweepClaims deletes all expired start records, up to claim.SweepLimit at a time.
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
