package dispatcher

import (
	"cmp"
	"slices"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

const (
	// peerTimeout is how long an instance is kept in the list of peers after it was last
	// heard from.
	peerTimeout = 10 * time.Second
	// peersRequestInterval is the time between two requests for all known instances, which
	// make up most of an answer in a large deployment.
	peersRequestInterval = 2 * time.Second
	// directorySilentAfter is the time without an answer of a directory after which the known
	// instances are requested in hello calls, well before the list of peers is empty.
	directorySilentAfter = 4 * time.Second
)

type knownPeer struct {
	peer
	// zone is empty if it isn't known.
	zone   membership.Zone
	seenAt time.Time
}

// wantsPeers reports whether it is time to request the known instances in a hello call. In a large
// deployment they come from the directories, unless none of these answers.
func (n *Node) wantsPeers() bool {
	large := n.isLarge()
	n.lock.Lock()
	defer n.lock.Unlock()
	now := n.Clock.Now()
	fromDirectory := large && now.Sub(n.directoryAnsweredAt) < directorySilentAfter
	if len(n.peers) > 0 && (fromDirectory || now.Sub(n.peersRequestedAt) < peersRequestInterval) {
		return false
	}
	n.peersRequestedAt = now
	return true
}

// recordPeers records instances that are alive. An instance that a peer reports counts
// as heard from when the peer heard from it; otherwise two peers would keep a dead
// instance alive by reporting it to each other.
func (n *Node) recordPeers(list []peer) {
	entries := make([]directoryEntry, len(list))
	for i, p := range list {
		entries[i].peer = p
	}
	n.recordEntries(entries)
}

// recordEntries records instances that are alive with their zones, as recordPeers.
func (n *Node) recordEntries(list []directoryEntry) {
	n.lock.Lock()
	defer n.lock.Unlock()
	now := n.Clock.Now()
	for _, e := range list {
		known := n.peers[e.Name]
		seenAt := now.Add(-e.Age)
		if e.Name != n.Name && seenAt.After(known.seenAt) {
			n.peers[e.Name] = knownPeer{e.peer, cmp.Or(e.Zone, known.zone), seenAt}
		}
	}
}

// livePeers returns the instances that were heard from within peerTimeout.
func (n *Node) livePeers() []peer {
	var list []peer
	for _, e := range n.liveEntries() {
		list = append(list, e.peer)
	}
	return list
}

// liveEntries returns the instances that were heard from within peerTimeout, with their zones.
func (n *Node) liveEntries() []directoryEntry {
	n.lock.Lock()
	defer n.lock.Unlock()
	var list []directoryEntry
	now := n.Clock.Now()
	for name, p := range n.peers {
		if now.Sub(p.seenAt) > peerTimeout {
			delete(n.peers, name)
			continue
		}
		p.Age = now.Sub(p.seenAt)
		list = append(list, directoryEntry{p.peer, p.zone})
	}
	return list
}

func (n *Node) livePeerNames() []membership.InstanceID {
	others := n.livePeers()
	names := make([]membership.InstanceID, len(others))
	for i, p := range others {
		names[i] = p.Name
	}
	return names
}

func (n *Node) peerAddresses() []string {
	var addresses []string
	for _, p := range n.livePeers() {
		addresses = append(addresses, p.Address)
	}
	return addresses
}

// SetSeeds replaces the peer addresses to contact first.
func (n *Node) SetSeeds(seeds []string) {
	n.lock.Lock()
	defer n.lock.Unlock()
	n.Seeds = seeds
}

// configuredSeeds returns the seed addresses from the settings.
func (n *Node) configuredSeeds() []string {
	n.lock.Lock()
	defer n.lock.Unlock()
	return slices.Clone(n.Seeds)
}

// contactAddresses returns the addresses of the known peers, followed by the configured
// seeds.
func (n *Node) contactAddresses() []string {
	return append(n.peerAddresses(), n.configuredSeeds()...)
}
