package ownership

import (
	"slices"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/table"
)

// Revision is the version number of a member set. Each write raises it by one.
type Revision uint64

// Member is an entry instance in the member set.
type Member struct {
	ID membership.InstanceID
	// Joined is the revision in which it joined; it has been a member without
	// interruption since then.
	Joined Revision
}

// MemberSet is the content of the row members/<zone>.
type MemberSet struct {
	Revision Revision
	Members  []Member
}

// Joined returns the revision in which id joined; false if it is not a member.
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
	// Released reports that the owner has given the shard up. A released row is also
	// Settled.
	Released bool
	// Settled reports that no owner of a lower epoch can still have authority.
	Settled bool
	// Claimed is the revision of the member set on which the claim was conditional.
	Claimed Revision
	// Base is the lowest Claimed revision among the owners that may still have
	// authority.
	Base Revision
	// Promising reports that the owner may keep authority by promises while it can't
	// read the table. The owner sets it once it has seen another member.
	Promising bool
	// EarlierPromising reports that Promising was set for an earlier owner that may
	// still have authority.
	EarlierPromising bool
	// Previous and PreviousEpoch name the only earlier owner that may still have
	// authority. They are empty if there is none or if there may be several.
	Previous      membership.InstanceID
	PreviousEpoch worker.Epoch
}

// TableRead is the result of one atomic read of both rows. Missing rows are zero.
type TableRead struct {
	// Began is when the read was sent.
	Began          time.Time
	Shard          ShardRow
	ShardVersion   table.Version
	Members        MemberSet
	MembersVersion table.Version
}

// ActionKind is the kind of an Action.
type ActionKind string

// Kinds of actions. Only the first four read or write the table rows of this package.
const (
	// Read requests a table read. Pass the result to ShardView.TableRead or
	// ShardView.ReadFailed.
	Read ActionKind = "Read"
	// Claim, Settle and Release request to write Row if the shard row is at
	// ShardVersion and, for Claim, the member row is at MembersVersion. Pass the result
	// to ShardView.WriteResult.
	Claim   ActionKind = "Claim"
	Settle  ActionKind = "Settle"
	Release ActionKind = "Release"
	// StartRecovery reports that this instance now has authority over the shard. Raise
	// the epoch on the shard's workers and entry instances, and then call
	// ShardView.RecoveryDone.
	StartRecovery ActionKind = "StartRecovery"
	// Suspend and Resume report that authority was lost and regained.
	Suspend ActionKind = "Suspend"
	Resume  ActionKind = "Resume"
	// Stop reports that this instance no longer owns the shard.
	Stop ActionKind = "Stop"
)

// Action is an operation that the caller of ShardView.Tick must carry out.
type Action struct {
	Kind           ActionKind
	Row            ShardRow
	ShardVersion   table.Version
	MembersVersion table.Version
}

// Outcome is the result of a conditional write.
type Outcome int

// Outcomes of a write. Unknown includes a write that may still take effect later.
const (
	Unknown Outcome = iota
	Written
	NotWritten
)

// MemberSetWrite is a request to write Set if the member row is at Version.
type MemberSetWrite struct {
	Set     MemberSet
	Version table.Version
}

// Heartbeat is the message that each instance sends to every other member each second.
type Heartbeat struct {
	From   membership.InstanceID
	Set    MemberSet
	Shards []ShardHeartbeat
}

// ShardHeartbeat is the part of a Heartbeat about one shard that the sender owns or has
// just released.
type ShardHeartbeat struct {
	Shard worker.ShardID
	Epoch worker.Epoch
	// Active reports that the sender has authority or waits for it.
	Active bool
	// Released reports that the sender has released the shard.
	Released bool
	// WantPromise requests that the receiver promises not to claim the shard.
	WantPromise bool
	// Requires lists the members whose promises the sender needs.
	Requires []membership.InstanceID
}

// HeartbeatAnswer is the answer to a Heartbeat.
type HeartbeatAnswer struct {
	From   membership.InstanceID
	Set    MemberSet
	Shards []ShardHeartbeatAnswer
}

// ShardHeartbeatAnswer is the answer to a ShardHeartbeat.
type ShardHeartbeatAnswer struct {
	Shard worker.ShardID
	// For is the epoch of the ShardHeartbeat that is answered.
	For worker.Epoch
	// Epoch is the highest that the answering member knows.
	Epoch    worker.Epoch
	Promised bool
}

// requiresPromiseOf reports whether the sender needs the promise of id.
func (h ShardHeartbeat) requiresPromiseOf(id membership.InstanceID) bool {
	return slices.Contains(h.Requires, id)
}
