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

// ZoneView is an entry instance's view of the member set of its availability zone.
type ZoneView struct {
	self      membership.InstanceID
	config    Config
	shards    map[worker.ShardID]*ShardView
	nodeOrder []*ShardView

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

// NewZoneView returns the view of the instance self before its first table read.
func NewZoneView(self membership.InstanceID, config Config) *ZoneView {
	return &ZoneView{
		self:      self,
		config:    config,
		shards:    map[worker.ShardID]*ShardView{},
		lastHeard: map[membership.InstanceID]time.Time{},
		unlisted:  map[membership.InstanceID]bool{},
	}
}

// Shard returns the view of a shard, which it adds if it is new.
func (g *ZoneView) Shard(shard worker.ShardID) *ShardView {
	if n := g.shards[shard]; n != nil {
		return n
	}
	n := newNode(g, shard)
	g.shards[shard] = n
	g.nodeOrder = append(g.nodeOrder, n)
	return n
}

// Members returns the newest member set that this instance knows.
func (g *ZoneView) Members() MemberSet {
	return g.newestSet
}

// SetUnlisted sets which members are missing from the platform's membership list.
func (g *ZoneView) SetUnlisted(ids []membership.InstanceID) {
	clear(g.unlisted)
	for _, id := range ids {
		g.unlisted[id] = true
	}
}

// Leave makes this instance release every shard. Once all are released, Tick removes this
// instance from the member set.
func (g *ZoneView) Leave() {
	g.leaving = true
	for _, n := range g.nodeOrder {
		n.Release()
	}
}

// tableRead applies the member row of a table read.
func (g *ZoneView) tableRead(now time.Time, set MemberSet, version table.Version) {
	g.hasRead = true
	if version < g.tableVersion {
		return
	}
	g.tableSet, g.tableVersion = set, version
	g.keepNewest(now, set)
}

// keepNewest replaces the newest known set by a newer one. Each revision has only one
// content, so a set from a peer is as valid as one from the table.
func (g *ZoneView) keepNewest(now time.Time, set MemberSet) {
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
func (g *ZoneView) keepNewestFromPeer(now time.Time, set MemberSet) {
	if len(set.Members) > 0 {
		g.keepNewest(now, set)
	}
}

// Tick returns a write of the member set if one is due: to join, to leave or to remove
// failed members. Call MembersWritten after the write.
func (g *ZoneView) Tick(now time.Time) (MemberSetWrite, bool) {
	if !g.hasRead || g.writePending || now.Before(g.retryAt) || g.tableSet.Revision != g.newestSet.Revision {
		return MemberSetWrite{}, false
	}
	next, changed := g.nextSet(now)
	if !changed {
		return MemberSetWrite{}, false
	}
	g.writePending = true
	return MemberSetWrite{Set: next, Version: g.tableVersion}, true
}

// nextSet returns the member set to write, and whether it differs from the current one.
func (g *ZoneView) nextSet(now time.Time) (MemberSet, bool) {
	next := MemberSet{Revision: g.tableSet.Revision + 1}
	changed := false
	_, member := g.tableSet.Joined(g.self)
	for _, m := range g.tableSet.Members {
		remove := member && m.ID != g.self && g.unlisted[m.ID] && now.Sub(g.lastHeard[m.ID]) > g.config.MemberRemovalTimeout
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
func (g *ZoneView) ownsAnyShard() bool {
	return slices.ContainsFunc(g.nodeOrder, func(n *ShardView) bool { return n.epoch != 0 })
}

// MembersWritten reports that a write of the member set has ended, with any outcome.
// The next table read shows the outcome.
func (g *ZoneView) MembersWritten(now time.Time) {
	g.writePending = false
	g.retryAt = now.Add(g.config.WriteRetryDelay)
	for _, n := range g.nodeOrder {
		n.readRequested = true
	}
}

// Heartbeat returns the message to send now to every other member.
func (g *ZoneView) Heartbeat(now time.Time) Heartbeat {
	h := Heartbeat{From: g.self, Set: g.newestSet}
	for _, n := range g.nodeOrder {
		if beat, due := n.heartbeat(now); due {
			h.Shards = append(h.Shards, beat)
		}
	}
	return h
}

// HandleHeartbeat processes a heartbeat and returns the answer to it.
func (g *ZoneView) HandleHeartbeat(now time.Time, h Heartbeat) HeartbeatAnswer {
	g.keepNewestFromPeer(now, h.Set)
	g.lastHeard[h.From] = now
	answer := HeartbeatAnswer{From: g.self, Set: g.newestSet}
	if h.Set.Revision >= g.newestSet.Revision {
		// The sender already knows the members. Its waits depend on the revision, which
		// is still sent.
		answer.Set.Members = nil
	}
	for _, beat := range h.Shards {
		if n := g.shards[beat.Shard]; n != nil {
			answer.Shards = append(answer.Shards, n.handleHeartbeat(now, h.From, h.Set.Revision, beat))
		}
	}
	return answer
}

// HandleAnswer processes the answer to the heartbeat that was sent at the given time.
func (g *ZoneView) HandleAnswer(now, sent time.Time, a HeartbeatAnswer) {
	g.keepNewestFromPeer(now, a.Set)
	g.lastHeard[a.From] = now
	for _, answer := range a.Shards {
		if n := g.shards[answer.Shard]; n != nil {
			n.handleAnswer(now, sent, a.From, answer)
		}
	}
}

// liveMembers returns the members of the set as last read that sent a message within
// SuspicionTimeout, and this instance.
func (g *ZoneView) liveMembers(now time.Time) []Member {
	var live []Member
	for _, m := range g.tableSet.Members {
		if m.ID == g.self || now.Sub(g.lastHeard[m.ID]) < g.config.SuspicionTimeout {
			live = append(live, m)
		}
	}
	return live
}

// claimRank returns the rank of this instance among the live members as candidates for
// a shard. Members that joined by the base revision come first; within each group, the
// order is by descending rendezvous hash.
func (g *ZoneView) claimRank(now time.Time, shard worker.ShardID, base Revision) int {
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
