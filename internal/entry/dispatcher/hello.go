package dispatcher

import (
	"context"

	"github.com/jacinthtrail/jacinthtrail/internal/peer/entry"
)

func (n *Node) hello(ctx context.Context, address string) (helloAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	request := helloRequest{From: peer{n.Name, n.PeerAddress}, Owner: n.currentView().owner}
	return entry.Call[helloRequest, helloAnswer](ctx, n.Peers, address, helloMethod, request)
}

// learn takes over what a peer says of the owner.
func (n *Node) learn(a helloAnswer) {
	n.lock.Lock()
	defer n.lock.Unlock()
	now := n.Clock.Now()
	n.learnOwner(a.Owner)
	if a.IsOwner && a.Owner.Epoch == n.view.owner.Epoch {
		n.view.heard = now
		n.view.storeLost = a.StoreLost
		n.view.owner.Released = a.Owner.Released
	}
	for _, p := range a.Peers {
		if p.Name != n.Name {
			n.peers[p.Name] = knownPeer{p, now}
		}
	}
}

// learnOwner takes over a newer owner. The lock must be held.
func (n *Node) learnOwner(o ownerRow) {
	if o.Epoch == n.view.owner.Epoch && o.Released && !n.view.owner.Released {
		n.view.owner.Released = true
		n.followSoon()
	}
	if o.Epoch <= n.view.owner.Epoch {
		return
	}
	n.Log.Info().Str("Owner", string(o.Node)).Int64("Epoch", int64(o.Epoch)).Msg("new owner")
	n.view = view{owner: o, heard: n.Clock.Now()}
	if mine := n.owned.Load(); mine != nil && mine.epoch < o.Epoch {
		mine.supersede("a peer knows a newer owner")
	}
}

func (n *Node) answerHello(_ context.Context, r helloRequest) (helloAnswer, error) {
	n.lock.Lock()
	defer n.lock.Unlock()
	n.learnOwner(r.Owner)
	n.Counters.Add("Owner.Hellos", 1)
	if r.From.Name != "" {
		n.peers[r.From.Name] = knownPeer{r.From, n.Clock.Now()}
	}
	answer := helloAnswer{Owner: n.view.owner, Peers: n.livePeers()}
	if o := n.owned.Load(); o != nil {
		answer.IsOwner = true
		answer.Owner = o.currentRow()
		answer.StoreLost = o.storeLost()
	}
	return answer, nil
}

// livePeers returns the instances that were heard of lately. The lock must be held.
func (n *Node) livePeers() []peer {
	var list []peer
	now := n.Clock.Now()
	for name, p := range n.peers {
		if now.Sub(p.seen) > peerMemory {
			delete(n.peers, name)
			continue
		}
		list = append(list, p.peer)
	}
	return list
}

// others returns the instances that were heard of lately.
func (n *Node) others() []peer {
	n.lock.Lock()
	defer n.lock.Unlock()
	return n.livePeers()
}

func (n *Node) peerAddresses() []string {
	n.lock.Lock()
	defer n.lock.Unlock()
	var addresses []string
	for _, p := range n.livePeers() {
		addresses = append(addresses, p.Address)
	}
	return addresses
}

// announceRelease tells the known instances that the shard has no owner.
func (n *Node) announceRelease(row ownerRow) {
	n.lock.Lock()
	n.learnOwner(row)
	n.lock.Unlock()
	n.announce(context.Background())
}

// announce tells the known instances of the new owner.
func (n *Node) announce(ctx context.Context) {
	for _, address := range n.seeds() {
		if address == n.PeerAddress {
			continue
		}
		n.background(func() error {
			if _, err := n.hello(ctx, address); err != nil {
				n.Counters.Add("Owner.AnnounceFailed", 1)
			}
			return nil
		})
	}
}

// ownerAddress returns where the owner is reached, and false if it isn't known.
func (n *Node) ownerAddress() (string, bool) {
	address := n.currentView().owner.Address
	return address, address != ""
}
