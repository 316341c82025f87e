package dispatcher

import (
	"context"

	"github.com/jacinthtrail/jacinthtrail/internal/peer/entry"
)

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
	return peer{Name: n.Name, Address: n.PeerAddress, Cores: n.Cores, Owned: len(n.ownedShards())}
}

// learn takes over what a peer says of the owner, and which instances it knows.
func (s *shard) learn(a helloAnswer) {
	s.lock.Lock()
	s.learnOwner(a.Owner)
	if a.IsOwner && a.Owner.Epoch == s.view.owner.Epoch {
		s.view.heard = s.node.Clock.Now()
		s.view.met = true
		s.view.told = a.Owner.Sequence
		s.view.storeLost = a.StoreLost
		s.view.load = a.Load
		s.view.owner.Released = a.Owner.Released
	}
	s.lock.Unlock()
	s.node.meet(a.Peers)
}

// learnOwner takes over a newer owner. The lock must be held.
func (s *shard) learnOwner(o ownerRow) {
	if o.Epoch == s.view.owner.Epoch && o.Released && !s.view.owner.Released {
		s.view.owner.Released = true
		s.followSoon()
	}
	if o.Epoch <= s.view.owner.Epoch {
		return
	}
	s.node.Log.Info().Int("Shard", int(s.id)).Str("Owner", string(o.Node)).Int64("Epoch", int64(o.Epoch)).Msg("new owner")
	s.view = view{owner: o, heard: s.node.Clock.Now()}
	if mine := s.owned.Load(); mine != nil && mine.epoch < o.Epoch {
		mine.supersede("a peer knows a newer owner")
	}
}

// hear takes over a newer owner.
func (s *shard) hear(o ownerRow) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.learnOwner(o)
}

func (n *Node) answerHello(_ context.Context, r helloRequest) (helloAnswer, error) {
	n.Counters.Add("Owner.Hellos", 1)
	if r.From.Name != "" {
		n.meet([]peer{r.From})
	}
	var answer helloAnswer
	if r.WantPeers {
		answer.Peers = append(n.others(), n.self())
	}
	s, err := n.shardByID(r.Shard)
	if err != nil {
		// An instance that is starting can tell of others, but not of the owner.
		return answer, nil
	}
	s.hear(r.Owner)
	answer.Owner = s.currentView().owner
	if o := s.owned.Load(); o != nil {
		answer.IsOwner = true
		answer.Owner = o.currentRow()
		answer.StoreLost = o.storeLost()
		answer.Load = o.load()
	}
	return answer, nil
}

// announceRelease tells the known instances that the shard has no owner.
func (s *shard) announceRelease(row ownerRow) {
	s.hear(row)
	s.announce(context.Background())
}

// announce tells the known instances of the owner.
func (s *shard) announce(ctx context.Context) {
	for _, address := range s.node.seeds() {
		if address == s.node.PeerAddress {
			continue
		}
		s.node.background(func() error {
			if _, err := s.hello(ctx, address); err != nil {
				s.node.Counters.Add("Owner.AnnounceFailed", 1)
			}
			return nil
		})
	}
}

// ownerAddress returns where the owner is reached, and false if it isn't known.
func (s *shard) ownerAddress() (string, bool) {
	address := s.currentView().owner.Address
	return address, address != ""
}
