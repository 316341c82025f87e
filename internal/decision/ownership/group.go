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
	self      membership.InstanceID
	terms     Terms
	nodes     map[worker.ShardID]*Node
	nodeOrder []*Node

	// tableSet is the member set as last read from the table, at tableVersion;
	// newestSet is the newest known one, possibly from a heartbeat.
	tableSet     MemberSet
	tableVersion table.Version
	newestSet    MemberSet
	hasRead      bool

	// lastHeard is when each member last sent a message, or was first seen in the set.
	lastHeard map[membership.InstanceID]time.Time
	// unlisted holds the members that the platform no longer lists.
	unlisted     map[membership.InstanceID]bool
	leaving      bool
	writePending bool
	retryAt      time.Time
}

// NewGroup returns the view of the instance self before its first table read.
func NewGroup(self membership.InstanceID, terms Terms) *Group {
	return &Group{
		self:      self,
		terms:     terms,
		nodes:     map[worker.ShardID]*Node{},
		lastHeard: map[membership.InstanceID]time.Time{},
		unlisted:  map[membership.InstanceID]bool{},
	}
}

// Node returns the view of a shard, which it adds if it is new.
func (g *Group) Node(shard worker.ShardID) *Node {
	if n := g.nodes[shard]; n != nil {
		return n
	}
	n := newNode(g, shard)
	g.nodes[shard] = n
	g.nodeOrder = append(g.nodeOrder, n)
	return n
}

// Members returns the newest member set that this instance knows.
func (g *Group) Members() MemberSet {
	return g.newestSet
}

// SetGone sets which members are missing from the platform's membership list.
func (g *Group) SetGone(ids []membership.InstanceID) {
	clear(g.unlisted)
	for _, id := range ids {
		g.unlisted[id] = true
	}
}

// Leave makes every node release its shard. Once all are released, Tick removes this
// instance from the member set.
func (g *Group) Leave() {
	g.leaving = true
	for _, n := range g.nodeOrder {
		n.Release()
	}
}

// tableRead applies the member row of a table read.
func (g *Group) tableRead(now time.Time, set MemberSet, version table.Version) {
	g.hasRead = true
	if version < g.tableVersion {
		return
	}
	g.tableSet, g.tableVersion = set, version
	g.keepNewest(now, set)
}

// keepNewest replaces the newest known set by a newer one. Each revision has only one
// content, so a set from a peer is as valid as one from the table.
func (g *Group) keepNewest(now time.Time, set MemberSet) {
	if set.Revision <= g.newestSet.Revision {
		return
	}
	for _, m := range set.Members {
		before, member := g.newestSet.Joined(m.ID)
		if !member || before != m.Joined {
			g.lastHeard[m.ID] = now
		}
	}
	for id := range g.lastHeard {
		if _, member := set.Joined(id); !member {
			delete(g.lastHeard, id)
		}
	}
	g.newestSet = set
}

// keepNewestFromPeer applies the set in a message from a peer. A set without members
// carries only the revision, since a sender is always in its own set.
func (g *Group) keepNewestFromPeer(now time.Time, set MemberSet) {
	if len(set.Members) > 0 {
		g.keepNewest(now, set)
	}
}

// Tick returns a write of the member set if one is due: to join, to leave or to remove
// failed members. Call MembersWritten after the write.
func (g *Group) Tick(now time.Time) (MembersWrite, bool) {
	if !g.hasRead || g.writePending || now.Before(g.retryAt) || g.tableSet.Revision != g.newestSet.Revision {
		return MembersWrite{}, false
	}
	next, changed := g.nextSet(now)
	if !changed {
		return MembersWrite{}, false
	}
	g.writePending = true
	return MembersWrite{Set: next, Version: g.tableVersion}, true
}

// nextSet returns the member set to write, and whether it differs from the current one.
func (g *Group) nextSet(now time.Time) (MemberSet, bool) {
	next := MemberSet{Revision: g.tableSet.Revision + 1}
	changed := false
	_, member := g.tableSet.Joined(g.self)
	for _, m := range g.tableSet.Members {
		remove := member && m.ID != g.self && g.unlisted[m.ID] && now.Sub(g.lastHeard[m.ID]) > g.terms.MemberRemovalTimeout
		if m.ID == g.self {
			remove = g.leaving && !g.ownsAnyShard()
		}
		if remove {
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

// ownsAnyShard reports whether this instance owns a shard.
func (g *Group) ownsAnyShard() bool {
	return slices.ContainsFunc(g.nodeOrder, func(n *Node) bool { return n.epoch != 0 })
}

// MembersWritten reports that a write of the member set has ended, with any outcome.
// The next table read shows the outcome.
func (g *Group) MembersWritten(now time.Time) {
	g.writePending = false
	g.retryAt = now.Add(g.terms.WriteRetryDelay)
	for _, n := range g.nodeOrder {
		n.readRequested = true
	}
}

// Heartbeat returns the message to send now to every other member.
func (g *Group) Heartbeat(now time.Time) Heartbeat {
	h := Heartbeat{From: g.self, Set: g.newestSet}
	for _, n := range g.nodeOrder {
		if beat, due := n.heartbeat(now); due {
			h.Shards = append(h.Shards, beat)
		}
	}
	return h
}

// Received processes a heartbeat and returns the answer to it.
func (g *Group) Received(now time.Time, h Heartbeat) HeartbeatAnswer {
	g.keepNewestFromPeer(now, h.Set)
	g.lastHeard[h.From] = now
	answer := HeartbeatAnswer{From: g.self, Set: g.newestSet}
	if h.Set.Revision >= g.newestSet.Revision {
		// The sender already knows the members. Its waits depend on the revision, which
		// is still sent.
		answer.Set.Members = nil
	}
	for _, beat := range h.Shards {
		if n := g.nodes[beat.Shard]; n != nil {
			answer.Shards = append(answer.Shards, n.received(now, h.From, h.Set.Revision, beat))
		}
	}
	return answer
}

// Answered processes the answer to the heartbeat that was sent at the given time.
func (g *Group) Answered(now, sent time.Time, a HeartbeatAnswer) {
	g.keepNewestFromPeer(now, a.Set)
	g.lastHeard[a.From] = now
	for _, answer := range a.Shards {
		if n := g.nodes[answer.Shard]; n != nil {
			n.answered(now, sent, a.From, answer)
		}
	}
}

// liveMembers returns the members of the set as last read that sent a message within
// SuspicionTimeout, and this instance.
func (g *Group) liveMembers(now time.Time) []Member {
	var live []Member
	for _, m := range g.tableSet.Members {
		if m.ID == g.self || now.Sub(g.lastHeard[m.ID]) < g.terms.SuspicionTimeout {
			live = append(live, m)
		}
	}
	return live
}

// claimRank returns the rank of this instance among the live members as candidates for
// a shard. Members that joined by the base revision come first; within each group, the
// order is by descending rendezvous hash.
func (g *Group) claimRank(now time.Time, shard worker.ShardID, base Revision) int {
	live := g.liveMembers(now)
	score := func(m Member) uint64 { return xxhash.Sum64String(shard.String() + " " + string(m.ID)) }
	slices.SortFunc(live, func(a, b Member) int {
		if joinedByBase := a.Joined <= base; joinedByBase != (b.Joined <= base) {
			if joinedByBase {
				return -1
			}
			return 1
		}
		return cmp.Compare(score(b), score(a))
	})
	return slices.IndexFunc(live, func(m Member) bool { return m.ID == g.self })
}
