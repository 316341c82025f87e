package dispatcher

import (
	"slices"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

const (
	// peerMemory is how long an instance that doesn't call any more is remembered.
	peerMemory = 10 * time.Second
	// peersInterval is the time between two questions for all known instances, which
	// make up most of an answer in a large deployment.
	peersInterval = 2 * time.Second
)

type knownPeer struct {
	peer
	seen time.Time
}

// wantsPeers reports whether it is time to ask for the known instances.
func (n *Node) wantsPeers() bool {
	n.lock.Lock()
	defer n.lock.Unlock()
	now := n.Clock.Now()
	if len(n.peers) > 0 && now.Sub(n.peersRequestedAt) < peersInterval {
		return false
	}
	n.peersRequestedAt = now
	return true
}

// meet notes instances that are alive. What one instance tells of another counts from
// when that one was heard, else two would keep a dead one alive between them.
func (n *Node) meet(list []peer) {
	n.lock.Lock()
	defer n.lock.Unlock()
	now := n.Clock.Now()
	for _, p := range list {
		seen := now.Add(-p.Age)
		if p.Name != n.Name && seen.After(n.peers[p.Name].seen) {
			n.peers[p.Name] = knownPeer{p, seen}
		}
	}
}

// others returns the instances that were heard of lately.
func (n *Node) others() []peer {
	n.lock.Lock()
	defer n.lock.Unlock()
	var list []peer
	now := n.Clock.Now()
	for name, p := range n.peers {
		if now.Sub(p.seen) > peerMemory {
			delete(n.peers, name)
			continue
		}
		p.Age = now.Sub(p.seen)
		list = append(list, p.peer)
	}
	return list
}

func (n *Node) otherNames() []membership.InstanceID {
	others := n.others()
	names := make([]membership.InstanceID, len(others))
	for i, p := range others {
		names[i] = p.Name
	}
	return names
}

func (n *Node) peerAddresses() []string {
	var addresses []string
	for _, p := range n.others() {
		addresses = append(addresses, p.Address)
	}
	return addresses
}

// SetSeeds replaces the peer addresses to ask first.
func (n *Node) SetSeeds(seeds []string) {
	n.lock.Lock()
	defer n.lock.Unlock()
	n.Seeds = seeds
}

// configuredSeeds returns the addresses of the settings.
func (n *Node) configuredSeeds() []string {
	n.lock.Lock()
	defer n.lock.Unlock()
	return slices.Clone(n.Seeds)
}

// seeds returns the addresses of the known peers, then those of the settings.
func (n *Node) seeds() []string {
	return append(n.peerAddresses(), n.configuredSeeds()...)
}
