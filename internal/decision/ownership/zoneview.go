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
	self       membership.InstanceID
	config     Config
	shards     map[worker.ShardID]*ShardView
	shardOrder []*ShardView

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
	nextWriteAt  time.Time
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
func (z *ZoneView) Shard(shard worker.ShardID) *ShardView {
	if s := z.shards[shard]; s != nil {
		return s
	}
	s := newShardView(z, shard)
	z.shards[shard] = s
	z.shardOrder = append(z.shardOrder, s)
	return s
}

// Members returns the newest member set that this instance knows.
func (z *ZoneView) Members() MemberSet {
	return z.newestSet
}

// SetUnlisted sets which members are missing from the platform's membership list.
func (z *ZoneView) SetUnlisted(ids []membership.InstanceID) {
	clear(z.unlisted)
	for _, id := range ids {
		z.unlisted[id] = true
	}
}

// Leave makes this instance release every shard. Once all are released, Tick removes this
// instance from the member set.
func (z *ZoneView) Leave() {
	z.leaving = true
	for _, s := range z.shardOrder {
		s.Release()
	}
}

// tableRead applies the member row of a table read.
func (z *ZoneView) tableRead(now time.Time, set MemberSet, version table.Version) {
	z.hasRead = true
	if version < z.tableVersion {
		return
	}
	z.tableSet, z.tableVersion = set, version
	z.keepNewest(now, set)
}

// keepNewest replaces the newest known set by a newer one. Sets with the same revision
// are identical, so a set from a peer is as valid as one from the table.
func (z *ZoneView) keepNewest(now time.Time, set MemberSet) {
	if set.Revision <= z.newestSet.Revision {
		return
	}
	for _, m := range set.Members {
		before, member := z.newestSet.Joined(m.ID)
		if !member || before != m.Joined {
			z.lastHeard[m.ID] = now
		}
	}
	for id := range z.lastHeard {
		if _, member := set.Joined(id); !member {
			delete(z.lastHeard, id)
		}
	}
	z.newestSet = set
}

// keepNewestFromPeer applies the set in a message from a peer. A set without members
// carries only the revision, since a sender is always in its own set.
func (z *ZoneView) keepNewestFromPeer(now time.Time, set MemberSet) {
	if len(set.Members) > 0 {
		z.keepNewest(now, set)
	}
}

// Tick returns a write of the member set if one is due: to join, to leave or to remove
// failed members. Call MembersWritten after the write.
func (z *ZoneView) Tick(now time.Time) (MemberSetWrite, bool) {
	if !z.hasRead || z.writePending || now.Before(z.nextWriteAt) || z.tableSet.Revision != z.newestSet.Revision {
		return MemberSetWrite{}, false
	}
	next, changed := z.nextSet(now)
	if !changed {
		return MemberSetWrite{}, false
	}
	z.writePending = true
	return MemberSetWrite{Set: next, Version: z.tableVersion}, true
}

// nextSet returns the member set to write, and whether it differs from the current one.
func (z *ZoneView) nextSet(now time.Time) (MemberSet, bool) {
	next := MemberSet{Revision: z.tableSet.Revision + 1}
	changed := false
	_, member := z.tableSet.Joined(z.self)
	for _, m := range z.tableSet.Members {
		remove := member && m.ID != z.self && z.unlisted[m.ID] && now.Sub(z.lastHeard[m.ID]) > z.config.MemberRemovalTimeout
		if m.ID == z.self {
			remove = z.leaving && !z.ownsAnyShard()
		}
		if remove {
			changed = true
			continue
		}
		next.Members = append(next.Members, m)
	}
	if !member && !z.leaving {
		next.Members = append(next.Members, Member{ID: z.self, Joined: next.Revision})
		changed = true
	}
	return next, changed
}

// ownsAnyShard reports whether this instance owns a shard.
func (z *ZoneView) ownsAnyShard() bool {
	return slices.ContainsFunc(z.shardOrder, func(s *ShardView) bool { return s.epoch != 0 })
}

// MembersWritten reports that a write of the member set has ended, with any outcome.
// The next table read shows the outcome.
func (z *ZoneView) MembersWritten(now time.Time) {
	z.writePending = false
	z.nextWriteAt = now.Add(z.config.WriteRetryDelay)
	for _, s := range z.shardOrder {
		s.readRequested = true
	}
}

// Heartbeat returns the message to send now to every other member.
func (z *ZoneView) Heartbeat(now time.Time) Heartbeat {
	h := Heartbeat{From: z.self, Set: z.newestSet}
	for _, s := range z.shardOrder {
		if shardHeartbeat, due := s.heartbeat(now); due {
			h.Shards = append(h.Shards, shardHeartbeat)
		}
	}
	return h
}

// HandleHeartbeat processes a heartbeat and returns the answer to it.
func (z *ZoneView) HandleHeartbeat(now time.Time, h Heartbeat) HeartbeatAnswer {
	z.keepNewestFromPeer(now, h.Set)
	z.lastHeard[h.From] = now
	answer := HeartbeatAnswer{From: z.self, Set: z.newestSet}
	if h.Set.Revision >= z.newestSet.Revision {
		// The sender already knows the members, so they are left out. The revision is
		// still sent, because the sender's waits depend on it.
		answer.Set.Members = nil
	}
	for _, shardHeartbeat := range h.Shards {
		if s := z.shards[shardHeartbeat.Shard]; s != nil {
			answer.Shards = append(answer.Shards, s.handleHeartbeat(now, h.From, h.Set.Revision, shardHeartbeat))
		}
	}
	return answer
}

// HandleAnswer processes the answer to the heartbeat that was sent at the given time.
func (z *ZoneView) HandleAnswer(now, sent time.Time, a HeartbeatAnswer) {
	z.keepNewestFromPeer(now, a.Set)
	z.lastHeard[a.From] = now
	for _, answer := range a.Shards {
		if s := z.shards[answer.Shard]; s != nil {
			s.handleAnswer(now, sent, a.From, answer)
		}
	}
}

// liveMembers returns the members of the set as last read that sent a message within
// SuspicionTimeout, and this instance.
func (z *ZoneView) liveMembers(now time.Time) []Member {
	var live []Member
	for _, m := range z.tableSet.Members {
		if m.ID == z.self || now.Sub(z.lastHeard[m.ID]) < z.config.SuspicionTimeout {
			live = append(live, m)
		}
	}
	return live
}

// claimRank returns the rank of this instance among the live members as candidates for
// a shard. Members that joined by the base revision come first; within each group, the
// order is by descending rendezvous hash.
func (z *ZoneView) claimRank(now time.Time, shard worker.ShardID, base Revision) int {
	live := z.liveMembers(now)
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
	return slices.IndexFunc(live, func(m Member) bool { return m.ID == z.self })
}
