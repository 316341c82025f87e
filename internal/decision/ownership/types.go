package ownership

import (
	"slices"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/table"
)

// Revision numbers the contents of a member set. Each write raises it by one.
type Revision uint64

// Member is an entry instance of the member set.
type Member struct {
	ID membership.InstanceID
	// Joined is the revision since which it has been a member without a gap.
	Joined Revision
}

// MemberSet is the content of the row members/<zone>.
type MemberSet struct {
	Revision Revision
	Members  []Member
}

// Joined returns the revision since which id is a member; false if it is none.
func (s MemberSet) Joined(id membership.InstanceID) (Revision, bool) {
	for _, m := range s.Members {
		if m.ID == id {
			return m.Joined, true
		}
	}
	return 0, false
}

// ShardRow is the content of the row shard/<zone>/<index>.
type ShardRow struct {
	Owner membership.InstanceID
	Epoch worker.Epoch
	// Released reports that the owner has stopped for good. A released row is settled.
	Released bool
	// Settled reports that no owner of a lower epoch can have authority any more.
	Settled bool
	// Claimed is the revision of the member set that the claim was conditional on.
	Claimed Revision
	// Base is the lowest Claimed of the owners that may still have authority.
	Base Revision
	// Promising reports that the owner may go on by promises when it can't read the
	// table. It is written once the owner has seen another member.
	Promising bool
	// EarlierPromising reports that an owner that may still have authority was Promising.
	EarlierPromising bool
	// Previous and PreviousEpoch name the only other owner that may still have
	// authority; empty when there may be none or several.
	Previous      membership.InstanceID
	PreviousEpoch worker.Epoch
}

// TableRead is one atomic read of both rows. Absent rows are zero.
type TableRead struct {
	// Began is when the read was sent.
	Began          time.Time
	Shard          ShardRow
	ShardVersion   table.Version
	Members        MemberSet
	MembersVersion table.Version
}

// ActionKind tells what an Action asks for.
type ActionKind string

// Kinds of actions. The last four ask for no I/O of this package's rows.
const (
	// Read asks for a TableRead, answered by Node.TableRead or Node.ReadFailed.
	Read ActionKind = "Read"
	// Claim, Settle and Release ask to write Row if the shard row is at ShardVersion,
	// and for Claim also if the member row is at MembersVersion. Each is answered by
	// Node.WriteResult.
	Claim   ActionKind = "Claim"
	Settle  ActionKind = "Settle"
	Release ActionKind = "Release"
	// StartRecovery reports that the shard is ours: raise the epoch on its workers and
	// entry instances, then call Node.Recovered.
	StartRecovery ActionKind = "StartRecovery"
	// Suspend and Resume report that authority was lost and regained.
	Suspend ActionKind = "Suspend"
	Resume  ActionKind = "Resume"
	// Stop reports that the shard is no longer ours.
	Stop ActionKind = "Stop"
)

// Action is something that the caller of Node.Tick is to do.
type Action struct {
	Kind           ActionKind
	Row            ShardRow
	ShardVersion   table.Version
	MembersVersion table.Version
}

// Outcome of a conditional write.
type Outcome int

// Outcomes of a write. Unknown also covers a write that may still take effect.
const (
	Unknown Outcome = iota
	Written
	NotWritten
)

// MembersWrite asks to write Set if the member row is at Version.
type MembersWrite struct {
	Set     MemberSet
	Version table.Version
}

// Heartbeat goes from each instance to each other member every second.
type Heartbeat struct {
	From   membership.InstanceID
	Set    MemberSet
	Shards []Beat
}

// Beat is the part of a Heartbeat about one shard that the sender has claimed.
type Beat struct {
	Shard worker.ShardID
	Epoch worker.Epoch
	// Active reports that the sender has authority or is waiting for it.
	Active bool
	// Released reports that the sender has released the shard.
	Released bool
	// WantPromise asks the receiver to promise that it will not claim the shard.
	WantPromise bool
	// Requires lists the members whose promises the sender needs.
	Requires []membership.InstanceID
}

// HeartbeatAnswer answers a Heartbeat.
type HeartbeatAnswer struct {
	From   membership.InstanceID
	Set    MemberSet
	Shards []BeatAnswer
}

// BeatAnswer answers a Beat.
type BeatAnswer struct {
	Shard worker.ShardID
	// For is the epoch of the Beat.
	For worker.Epoch
	// Epoch is the highest that the answering member knows.
	Epoch    worker.Epoch
	Promised bool
}

// requires reports whether the beat's sender needs the promise of id.
func (b Beat) requires(id membership.InstanceID) bool {
	return slices.Contains(b.Requires, id)
}
