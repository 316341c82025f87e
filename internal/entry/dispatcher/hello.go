package dispatcher

import (
	"context"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
	"github.com/jacinthtrail/jacinthtrail/internal/peer/entry"
)

// hello tells another instance what this one knows about the owner of the shard, and
// asks what that instance knows.
func (s *shard) hello(ctx context.Context, address string) (helloAnswer, error) {
	request := helloRequest{
		From: s.node.self(), Shard: s.id, Owner: s.currentView().owner, WantPeers: s.node.wantsPeers(),
	}
	return s.node.callHello(ctx, address, request)
}

func (n *Node) callHello(ctx context.Context, address string, request helloRequest) (helloAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	return entry.Call[helloRequest, helloAnswer](ctx, n.Peers, address, helloMethod, request)
}

// self describes this instance to its peers.
func (n *Node) self() peer {
	return peer{Name: n.Name, Address: n.PeerAddress, Cores: n.Cores, Owned: len(n.ownedShards()), Transfers: true}
}

// applyHello applies what a peer reports about the owner and the instances that it
// knows.
func (s *shard) applyHello(a helloAnswer) {
	s.lock.Lock()
	s.updateOwnerLocked(a.Owner)
	if a.IsOwner && a.Owner.Epoch == s.view.owner.Epoch {
		s.view.answeredAt = s.node.Clock.Now()
		s.view.hasAnswered = true
		s.view.answeredSequence = a.Owner.Sequence
		s.view.storeLost = a.StoreLost
		s.view.load = a.Load
		s.view.owner.Released = a.Owner.Released
		if !a.StoreLost && !a.Owner.Released {
			s.vacantSince = time.Time{}
		}
	}
	s.lock.Unlock()
	s.node.recordPeers(a.Peers)
}

// updateOwnerLocked applies a newer owner or release. The lock must be held.
func (s *shard) updateOwnerLocked(row ownerRow) {
	if row.Epoch == s.view.owner.Epoch && row.Released && !s.view.owner.Released {
		s.view.owner.Released = true
		s.checkOwnerSoon()
	}
	if row.Epoch <= s.view.owner.Epoch {
		return
	}
	s.node.Log.Info().Int("Shard", int(s.id)).Str("Owner", string(row.Node)).Int64("Epoch", int64(row.Epoch)).Msg("the shard has a new owner")
	s.view = ownerView{owner: row, answeredAt: s.node.Clock.Now()}
	if local := s.owned.Load(); local != nil && local.epoch < row.Epoch {
		local.supersede("a peer knows a newer owner")
	}
}

// updateOwner applies a newer owner or release.
func (s *shard) updateOwner(row ownerRow) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.updateOwnerLocked(row)
}

func (n *Node) handleHello(_ context.Context, r helloRequest) (helloAnswer, error) {
	n.Counters.Add("Owner.Hellos", 1)
	if r.From.Name != "" {
		n.recordPeers([]peer{r.From})
	}
	var answer helloAnswer
	if r.WantPeers {
		answer.Peers = append(n.livePeers(), n.self())
	}
	s, err := n.shardByID(r.Shard)
	if err != nil {
		// An instance that is starting knows its peers, but not the owner.
		return answer, nil
	}
	s.updateOwner(r.Owner)
	answer.Owner = s.currentView().owner
	if o := s.owned.Load(); o != nil {
		answer.IsOwner = true
		answer.Owner = o.currentRow()
		answer.StoreLost = o.storeLost()
		answer.Load = o.load()
		if !n.mayLoad(dispatch.LargestJobMemory) {
			// Jobs aren't moved to a shard of unknown capacity.
			answer.Load.Capacity = 0
		}
		if r.From.Owned == 0 {
			answer.Load.Rooms = nil
		}
	}
	return answer, nil
}

// announceRelease tells the known instances that the shard has no owner.
func (s *shard) announceRelease(row ownerRow) {
	s.updateOwner(row)
	s.announce(context.Background())
}

// announce tells the known instances who owns the shard.
func (s *shard) announce(ctx context.Context) {
	for _, address := range s.node.contactAddresses() {
		if address == s.node.PeerAddress {
			continue
		}
		s.node.background(func(context.Context) error {
			if _, err := s.hello(ctx, address); err != nil {
				s.node.Counters.Add("Owner.AnnounceFailed", 1)
			}
			return nil
		})
	}
}

// ownerAddress returns the peer address of the owner, and false if it isn't known.
func (s *shard) ownerAddress() (string, bool) {
	address := s.currentView().owner.Address
	return address, address != ""
}
