package ownership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/table"
)

// Group is an entry instance's view of the member set of its availability zone.
type Group struct {
	self  membership.InstanceID
	terms Terms
	nodes map[worker.ShardID]*Node
	order []*Node

	// read is the set as last read from the table, at version; known is the newest
	// set, which a heartbeat may have brought.
	read    MemberSet
	version table.Version
	known   MemberSet
	hasRead bool

	// heard is when each member last spoke, or was first seen in the set.
	heard   map[membership.InstanceID]time.Time
	gone    map[membership.InstanceID]bool
	leaving bool
	writing bool
	retry   time.Time
}

// NewGroup returns the view of the instance self, which knows nothing yet.
func NewGroup(self membership.InstanceID, terms Terms) *Group {
	return &Group{
		self:  self,
		terms: terms,
		nodes: map[worker.ShardID]*Node{},
		heard: map[membership.InstanceID]time.Time{},
		gone:  map[membership.InstanceID]bool{},
	}
}

// Node returns the view of one shard, which it adds if it is new.
func (g *Group) Node(shard worker.ShardID) *Node {
	if n := g.nodes[shard]; n != nil {
		return n
	}
	n := newNode(g, shard)
	g.nodes[shard] = n
	g.order = append(g.order, n)
	return n
}

// Members returns the newest member set that the instance knows.
func (g *Group) Members() MemberSet {
	return g.known
}

// SetGone names the members that the platform's membership list no longer shows.
func (g *Group) SetGone(ids []membership.InstanceID) {
	clear(g.gone)
	for _, id := range ids {
		g.gone[id] = true
	}
}

// Leave makes every node release its shard and then removes self from the set.
func (g *Group) Leave() {
	g.leaving = true
	for _, n := range g.order {
		n.Release()
	}
}

// tableRead takes in the member row of a table read.
func (g *Group) tableRead(now time.Time, set MemberSet, version table.Version) {
	g.hasRead = true
	if version < g.version {
		return
	}
	g.read, g.version = set, version
	g.adopt(now, set)
}

// adopt keeps the newest of two sets. A revision has one content, so a set from a
// peer is as good as one from the table.
func (g *Group) adopt(now time.Time, set MemberSet) {
	if set.Revision <= g.known.Revision {
		return
	}
	for _, m := range set.Members {
		before, member := g.known.Joined(m.ID)
		if !member || before != m.Joined {
			g.heard[m.ID] = now
		}
	}
	for id := range g.heard {
		if _, member := set.Joined(id); !member {
			delete(g.heard, id)
		}
	}
	g.known = set
}

// adoptFromPeer takes in the set of a message. A sender has itself in its set, so one
// without members only names the revision.
func (g *Group) adoptFromPeer(now time.Time, set MemberSet) {
	if len(set.Members) > 0 {
		g.adopt(now, set)
	}
}

// Tick returns a write of the member set when one is due: to join, to leave or to
// remove dead members. MembersWritten answers it.
func (g *Group) Tick(now time.Time) (MembersWrite, bool) {
	if !g.hasRead || g.writing || now.Before(g.retry) || g.read.Revision != g.known.Revision {
		return MembersWrite{}, false
	}
	next, changed := g.nextSet(now)
	if !changed {
		return MembersWrite{}, false
	}
	g.writing = true
	return MembersWrite{Set: next, Version: g.version}, true
}

// nextSet returns the set that this instance wants, and whether it differs.
func (g *Group) nextSet(now time.Time) (MemberSet, bool) {
	next := MemberSet{Revision: g.read.Revision + 1}
	changed := false
	_, member := g.read.Joined(g.self)
	for _, m := range g.read.Members {
		drop := member && m.ID != g.self && g.gone[m.ID] && now.Sub(g.heard[m.ID]) > g.terms.Drop
		if m.ID == g.self {
			drop = g.leaving && !g.owns()
		}
		if drop {
			changed = true
			continue
		}
		next.Members = append(next.Members, m)
	}
	if !member && !g.leaving {
		next.Members = append(next.Members, Member{ID: g.self, Joined: next.Revision})
		changed = true
	}
	return next, changed
}

func (g *Group) owns() bool {
	return slices.ContainsFunc(g.order, func(n *Node) bool { return n.epoch != 0 })
}

// MembersWritten takes in the result of a write of the member set. The next table
// read shows its effect.
func (g *Group) MembersWritten(now time.Time) {
	g.writing = false
	g.retry = now.Add(g.terms.Retry)
	for _, n := range g.order {
		n.wantRead = true
	}
}

// Heartbeat returns what to send now to every member of Members.
func (g *Group) Heartbeat(now time.Time) Heartbeat {
	h := Heartbeat{From: g.self, Set: g.known}
	for _, n := range g.order {
		if beat, due := n.beat(now); due {
			h.Shards = append(h.Shards, beat)
		}
	}
	return h
}

// Received takes in a heartbeat and returns the answer to it.
func (g *Group) Received(now time.Time, h Heartbeat) HeartbeatAnswer {
	g.adoptFromPeer(now, h.Set)
	g.heard[h.From] = now
	answer := HeartbeatAnswer{From: g.self, Set: g.known}
	if h.Set.Revision >= g.known.Revision {
		// The sender knows the members; the revision is what its waits depend on.
		answer.Set.Members = nil
	}
	for _, beat := range h.Shards {
		if n := g.nodes[beat.Shard]; n != nil {
			answer.Shards = append(answer.Shards, n.received(now, h.From, h.Set.Revision, beat))
		}
	}
	return answer
}

// Answered takes in the answer to the heartbeat that was sent at a time.
func (g *Group) Answered(now, sent time.Time, a HeartbeatAnswer) {
	g.adoptFromPeer(now, a.Set)
	g.heard[a.From] = now
	for _, answer := range a.Shards {
		if n := g.nodes[answer.Shard]; n != nil {
			n.answered(now, sent, a.From, answer)
		}
	}
}

// live returns the members of the set as last read that spoke within Suspicion, and
// self.
func (g *Group) live(now time.Time) []Member {
	var live []Member
	for _, m := range g.read.Members {
		if m.ID == g.self || now.Sub(g.heard[m.ID]) < g.terms.Suspicion {
			live = append(live, m)
		}
	}
	return live
}

// rank returns the place of self among the live members as candidates for a shard:
// members since base come first, then the higher rendezvous hash.
func (g *Group) rank(now time.Time, shard worker.ShardID, base Revision) int {
	live := g.live(now)
	score := func(m Member) uint64 { return xxhash.Sum64String(shard.String() + " " + string(m.ID)) }
	slices.SortFunc(live, func(a, b Member) int {
		if older := a.Joined <= base; older != (b.Joined <= base) {
			if older {
				return -1
			}
			return 1
		}
		return cmp.Compare(score(b), score(a))
	})
	return slices.IndexFunc(live, func(m Member) bool { return m.ID == g.self })
}
