// Package heartbeat defines the messages that entry instances exchange periodically,
// and a table of the peer state that they report.
package heartbeat

import (
	"sort"
	"sync"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
	"github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/ownership"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/manifest"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// Names of the RPC methods between entry instances.
const (
	MethodHeartbeat = "Entry.Heartbeat"
	MethodManifest  = "Manifest.Get"
	MethodExplain   = "Explain.Find"
)

// Interval is the time between two heartbeats to the same peer.
const Interval = time.Second

// ShardReport describes a shard that the sender owns.
type ShardReport struct {
	Shard worker.ShardID
	Epoch worker.Epoch
	// Free is the unused capacity of the shard's available workers.
	Free        resource.Vector
	QueuedTasks int
	Running     int
}

// Heartbeat reports the sender's state to a peer.
type Heartbeat struct {
	From     membership.Instance
	Manifest manifest.Version
	Shards   []ShardReport
	// Ownership is relevant only to receivers in the sender's availability zone.
	Ownership ownership.Heartbeat
	// Leaving reports that the sender is shutting down.
	Leaving bool
}

// Answer reports the receiver's state to the sender of a heartbeat.
type Answer struct {
	From      membership.InstanceID
	Manifest  manifest.Version
	Ownership ownership.HeartbeatAnswer
}

// Peer is the last reported state of another entry instance.
type Peer struct {
	Instance membership.Instance
	Manifest manifest.Version
	Shards   []ShardReport
	Leaving  bool
	// LastHeard is when the last heartbeat or answer was received.
	LastHeard time.Time
}

// PeerTable holds the last reported state of each peer. The zero value is an empty table.
// It is safe for concurrent use.
type PeerTable struct {
	mu    sync.Mutex
	peers map[membership.InstanceID]Peer
}

// RecordHeartbeat records a heartbeat that was received at the given time.
func (t *PeerTable) RecordHeartbeat(now time.Time, heartbeat Heartbeat) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.peers == nil {
		t.peers = map[membership.InstanceID]Peer{}
	}
	peer := t.peers[heartbeat.From.ID]
	peer.Instance = heartbeat.From
	peer.Manifest = max(peer.Manifest, heartbeat.Manifest)
	peer.Shards = heartbeat.Shards
	peer.Leaving = heartbeat.Leaving
	peer.LastHeard = now
	t.peers[heartbeat.From.ID] = peer
}

// RecordAnswer records the answer to a heartbeat. Answers of unknown peers are ignored.
func (t *PeerTable) RecordAnswer(now time.Time, answer Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	peer, found := t.peers[answer.From]
	if !found {
		return
	}
	peer.Manifest = max(peer.Manifest, answer.Manifest)
	peer.LastHeard = now
	t.peers[answer.From] = peer
}

// RemoveSilent removes the peers from which nothing was received since the cutoff.
func (t *PeerTable) RemoveSilent(cutoff time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, peer := range t.peers {
		if peer.LastHeard.Before(cutoff) {
			delete(t.peers, id)
		}
	}
}

// Get returns the last reported state of a peer.
func (t *PeerTable) Get(id membership.InstanceID) (Peer, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	peer, found := t.peers[id]
	return peer, found
}

// List returns all peers, sorted by id.
func (t *PeerTable) List() []Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	peers := make([]Peer, 0, len(t.peers))
	for _, peer := range t.peers {
		peers = append(peers, peer)
	}
	sort.Slice(peers, func(i, j int) bool { return peers[i].Instance.ID < peers[j].Instance.ID })
	return peers
}
