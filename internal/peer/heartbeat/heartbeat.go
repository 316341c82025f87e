// Package heartbeat has the messages that entry instances exchange regularly, and
// what each of them knows of its peers from these messages.
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

// Methods between entry instances.
const (
	Method         = "Entry.Heartbeat"
	MethodManifest = "Manifest.Get"
	MethodExplain  = "Explain.Find"
)

// Interval is the time between heartbeats to a peer.
const Interval = time.Second

// ShardReport describes a shard that the sender owns.
type ShardReport struct {
	Shard worker.ShardID
	Epoch worker.Epoch
	// Free is what the shard's available workers have left.
	Free        resource.Vector
	QueuedTasks int
	Running     int
}

// Heartbeat tells a peer about the sender.
type Heartbeat struct {
	From     membership.Instance
	Manifest manifest.Version
	Shards   []ShardReport
	// Ownership concerns only receivers in the sender's availability zone.
	Ownership ownership.Heartbeat
	// Leaving reports that the sender is stopping.
	Leaving bool
}

// Answer tells the sender of a heartbeat about the receiver.
type Answer struct {
	From      membership.InstanceID
	Manifest  manifest.Version
	Ownership ownership.HeartbeatAnswer
}

// Peer is what is known of another entry instance.
type Peer struct {
	Instance membership.Instance
	Manifest manifest.Version
	Shards   []ShardReport
	Leaving  bool
	// Heard is when the last heartbeat or answer came.
	Heard time.Time
}

// Table keeps what is known of the peers. The zero value is empty and ready to
// use. It is safe for concurrent use.
type Table struct {
	mu    sync.Mutex
	peers map[membership.InstanceID]Peer
}

// Received takes in a heartbeat.
func (t *Table) Received(now time.Time, h Heartbeat) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.peers == nil {
		t.peers = map[membership.InstanceID]Peer{}
	}
	peer := t.peers[h.From.ID]
	peer.Instance = h.From
	peer.Manifest = max(peer.Manifest, h.Manifest)
	peer.Shards = h.Shards
	peer.Leaving = h.Leaving
	peer.Heard = now
	t.peers[h.From.ID] = peer
}

// Answered takes in the answer to a heartbeat.
func (t *Table) Answered(now time.Time, a Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	peer, known := t.peers[a.From]
	if !known {
		return
	}
	peer.Manifest = max(peer.Manifest, a.Manifest)
	peer.Heard = now
	t.peers[a.From] = peer
}

// Forget drops the peers that were not heard since the given time.
func (t *Table) Forget(before time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, peer := range t.peers {
		if peer.Heard.Before(before) {
			delete(t.peers, id)
		}
	}
}

// Get returns what is known of a peer.
func (t *Table) Get(id membership.InstanceID) (Peer, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	peer, known := t.peers[id]
	return peer, known
}

// List returns all known peers, sorted by id.
func (t *Table) List() []Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	peers := make([]Peer, 0, len(t.peers))
	for _, peer := range t.peers {
		peers = append(peers, peer)
	}
	sort.Slice(peers, func(i, j int) bool { return peers[i].Instance.ID < peers[j].Instance.ID })
	return peers
}
