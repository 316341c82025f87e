package ownership

import (
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/chart"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/table"
)

// ShardView is an entry instance's view of one shard.
type ShardView struct {
	zone   *ZoneView
	config Config
	shard  worker.ShardID
	state  chart.OwnershipState

	// row is the shard row as last read or written, at rowVersion.
	row        ShardRow
	rowVersion table.Version
	hasRead    bool
	// highestEpoch is the highest epoch in any message or row.
	highestEpoch worker.Epoch

	// epoch is the epoch under which this instance owns the shard, or 0.
	epoch worker.Epoch
	// claimConfirmedAt is when this instance learned that its claim had taken effect.
	claimConfirmedAt time.Time
	// claimSet is the member set of the last claim, and claimSent is when it was sent.
	claimSet  MemberSet
	claimSent time.Time
	// earlierMemberAnsweredAt is when a member that joined by the row's Base first
	// answered a heartbeat under this instance's epoch, which shows that the member
	// knows of the claim.
	earlierMemberAnsweredAt time.Time
	// promiseRequired reports that the previous owner is known to need this instance's
	// promise.
	promiseRequired bool
	// lastRequirement is from the last heartbeat that listed this instance as one whose
	// promise the sender needs.
	lastRequirement promiseRequirement

	// confirmedSet is the member set of the last table read that showed this instance's
	// epoch, and confirmedAsOf is when that read began.
	confirmedSet  MemberSet
	confirmedAsOf time.Time
	// additionalMembers are members of newer sets, up to additionalRevision.
	additionalMembers  map[membership.InstanceID]bool
	additionalRevision Revision
	// promises maps each member to the time at which the last heartbeat was sent that
	// the member answered with a promise.
	promises map[membership.InstanceID]time.Time

	// lastPromisedAt is when this instance last promised not to claim the shard.
	lastPromisedAt time.Time
	// ownerLastActiveAt is when the owner was last known to be active.
	ownerLastActiveAt time.Time
	// releasedAt is when this instance released the shard, and releasedEpoch under
	// which epoch.
	releasedAt    time.Time
	releasedEpoch worker.Epoch

	leaving bool
	// otherPreferredSince is since when another member has been preferred as the owner.
	otherPreferredSince time.Time
	readPending         bool
	readRequested       bool
	lastReadAt          time.Time
	// lastSuccessfulRead is when the last successful read began.
	lastSuccessfulRead time.Time
	// pendingWrite is the kind of the write in flight, or empty.
	pendingWrite ActionKind
	retryAt      time.Time
	// pendingActions are returned by the next Tick.
	pendingActions []Action
}

// promiseRequirement records that a heartbeat listed this instance's promise as required.
type promiseRequirement struct {
	owner    membership.InstanceID
	epoch    worker.Epoch
	revision Revision
}

func newNode(g *ZoneView, shard worker.ShardID) *ShardView {
	return &ShardView{
		zone:          g,
		config:        g.config,
		shard:         shard,
		state:         chart.Ownership().Initial(),
		readRequested: true,
	}
}

// State returns the state in the chart "ownership".
func (n *ShardView) State() chart.OwnershipState {
	return n.state
}

// Epoch returns the epoch under which this instance owns the shard, or 0.
func (n *ShardView) Epoch() worker.Epoch {
	return n.epoch
}

// Owner returns the owner and epoch of the last known shard row.
func (n *ShardView) Owner() (membership.InstanceID, worker.Epoch) {
	return n.row.Owner, n.row.Epoch
}

// Release makes the instance give up the shard and make no more claims.
func (n *ShardView) Release() {
	n.leaving = true
}

// RecoveryDone reports that the recovery that StartRecovery requested is complete.
func (n *ShardView) RecoveryDone() {
	if n.state == chart.OwnershipRecovering {
		n.apply(chart.OwnershipOnRecover)
	}
}

// apply applies an event to the state. Callers check the state first, so a refused
// event is a bug in this package.
func (n *ShardView) apply(event chart.OwnershipEvent) {
	next, err := chart.Ownership().Next(n.state, event)
	if err != nil {
		panic(err)
	}
	n.state = next
}

// ReadFailed reports that a table read failed.
func (n *ShardView) ReadFailed() {
	n.readPending = false
}

// TableRead applies a table read.
func (n *ShardView) TableRead(now time.Time, read TableRead) {
	n.readPending = false
	n.lastSuccessfulRead = read.Began
	n.zone.tableRead(now, read.Members, read.MembersVersion)
	if read.ShardVersion < n.rowVersion {
		return
	}
	n.applyRow(now, read.Shard, read.ShardVersion)
	if n.epoch != 0 && n.row.Owner == n.zone.self && n.row.Epoch == n.epoch {
		n.confirm(read.Began, read.Members)
	}
}

// applyRow applies a shard row that is not older than the known one.
func (n *ShardView) applyRow(now time.Time, row ShardRow, version table.Version) {
	if version != n.rowVersion || !n.hasRead {
		n.ownerLastActiveAt = now
	}
	n.hasRead = true
	n.row, n.rowVersion = row, version
	n.observeEpoch(row.Epoch)
	if row.Owner != n.zone.self || row.Epoch == 0 {
		return
	}
	switch {
	case row.Released:
		n.finishRelease(now, row.Epoch)
	case n.epoch != row.Epoch && row.Epoch >= n.highestEpoch:
		n.claimSucceeded(now)
	}
}

// observeEpoch records that an epoch exists. A higher epoch ends this instance's
// ownership.
func (n *ShardView) observeEpoch(epoch worker.Epoch) {
	n.highestEpoch = max(n.highestEpoch, epoch)
	if n.epoch == 0 || n.highestEpoch <= n.epoch {
		return
	}
	n.loseOwnership(chart.OwnershipOnSupersede)
}

// loseOwnership ends this instance's ownership.
func (n *ShardView) loseOwnership(event chart.OwnershipEvent) {
	n.apply(event)
	n.epoch = 0
	n.promises = nil
	n.pendingActions = append(n.pendingActions, Action{Kind: Stop})
}

// finishRelease ends the ownership after the released row was written.
func (n *ShardView) finishRelease(now time.Time, epoch worker.Epoch) {
	if n.state == chart.OwnershipReleasing && n.epoch == epoch {
		n.loseOwnership(chart.OwnershipOnReleased)
		n.releasedAt, n.releasedEpoch = now, epoch
	}
}

// claimSucceeded records that this instance's claim took effect, now or earlier.
func (n *ShardView) claimSucceeded(now time.Time) {
	if n.state == chart.OwnershipUnowned {
		n.apply(chart.OwnershipOnClaim)
	}
	n.apply(chart.OwnershipOnClaimWon)
	n.epoch = n.row.Epoch
	n.claimConfirmedAt = now
	n.earlierMemberAnsweredAt, n.promiseRequired = time.Time{}, false
	n.confirmedSet, n.confirmedAsOf = MemberSet{}, time.Time{}
	n.additionalMembers, n.additionalRevision = nil, 0
	n.promises = map[membership.InstanceID]time.Time{}
	n.otherPreferredSince = time.Time{}
	n.updatePromiseRequired()
}

// confirm records that this instance's epoch was current at a time after began, with
// the given member set.
func (n *ShardView) confirm(began time.Time, set MemberSet) {
	if !began.After(n.confirmedAsOf) {
		return
	}
	n.confirmedSet, n.confirmedAsOf = set, began
	if set.Revision >= n.additionalRevision {
		n.additionalMembers, n.additionalRevision = nil, 0
	}
}

// WriteResult applies the outcome of the last Claim, Settle or Release. version is the
// new version of the shard row if it was written.
func (n *ShardView) WriteResult(now time.Time, action Action, outcome Outcome, version table.Version) {
	n.pendingWrite = ""
	n.retryAt = now.Add(n.config.WriteRetryDelay)
	if outcome == Written && version >= n.rowVersion {
		n.applyRow(now, action.Row, version)
		if action.Kind == Claim && n.epoch == action.Row.Epoch {
			n.confirm(n.claimSent, n.claimSet)
		}
	} else {
		n.readRequested = true
	}
	// If the outcome is unknown, a later table read shows whether the claim succeeded.
	if action.Kind == Claim && n.state == chart.OwnershipClaiming {
		n.apply(chart.OwnershipOnClaimLost)
	}
}

// handleHeartbeat processes a heartbeat and returns the answer to it.
func (n *ShardView) handleHeartbeat(now time.Time, from membership.InstanceID, revision Revision, b ShardHeartbeat) ShardHeartbeatAnswer {
	current := b.Epoch >= n.highestEpoch
	if b.Epoch > n.row.Epoch || (b.Released && current && !n.row.Released) {
		n.readRequested = true
	}
	n.observeEpoch(b.Epoch)
	if current && b.Active {
		n.ownerLastActiveAt = now
	}
	n.recordRequirement(from, revision, b)
	promised := b.WantPromise && current && n.epoch == 0 && n.pendingWrite != Claim &&
		revision >= n.zone.newestSet.Revision
	if promised {
		n.lastPromisedAt = now
	}
	return ShardHeartbeatAnswer{Shard: n.shard, For: b.Epoch, Epoch: n.highestEpoch, Promised: promised}
}

// recordRequirement records a heartbeat whose sender needs this instance's promise.
func (n *ShardView) recordRequirement(from membership.InstanceID, revision Revision, b ShardHeartbeat) {
	if !b.requiresPromiseOf(n.zone.self) {
		return
	}
	n.lastRequirement = promiseRequirement{owner: from, epoch: b.Epoch, revision: revision}
	n.updatePromiseRequired()
}

// updatePromiseRequired sets promiseRequired if the previous owner is known to need
// this instance's promise. A heartbeat from before this instance's claim suffices, because
// an owner keeps requiring a member's promise as long as that member stays in the set.
func (n *ShardView) updatePromiseRequired() {
	if n.epoch == 0 || n.lastRequirement.owner != n.row.Previous || n.lastRequirement.epoch != n.row.PreviousEpoch {
		return
	}
	if joined, member := n.claimSet.Joined(n.zone.self); member && n.lastRequirement.revision >= joined {
		n.promiseRequired = true
	}
}

// handleAnswer processes the answer to a heartbeat that was sent at the given time.
func (n *ShardView) handleAnswer(now, sent time.Time, from membership.InstanceID, a ShardHeartbeatAnswer) {
	n.observeEpoch(a.Epoch)
	if n.epoch == 0 || a.For != n.epoch {
		return
	}
	if a.Promised && sent.After(n.promises[from]) {
		n.promises[from] = sent
	}
	joined, member := n.claimSet.Joined(from)
	if member && joined <= n.row.Base && n.earlierMemberAnsweredAt.IsZero() {
		n.earlierMemberAnsweredAt = now
	}
}
