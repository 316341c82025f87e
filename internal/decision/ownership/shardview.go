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

	// leaving is set by Release.
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
	// nextWriteAt is the earliest time of the next write.
	nextWriteAt time.Time
	// pendingActions are returned by the next Tick.
	pendingActions []Action
}

// promiseRequirement records that a heartbeat listed this instance's promise as required.
type promiseRequirement struct {
	owner    membership.InstanceID
	epoch    worker.Epoch
	revision Revision
}

func newShardView(z *ZoneView, shard worker.ShardID) *ShardView {
	return &ShardView{
		zone:          z,
		config:        z.config,
		shard:         shard,
		state:         chart.Ownership().Initial(),
		readRequested: true,
	}
}

// State returns the state in the chart "ownership".
func (s *ShardView) State() chart.OwnershipState {
	return s.state
}

// Epoch returns the epoch under which this instance owns the shard, or 0.
func (s *ShardView) Epoch() worker.Epoch {
	return s.epoch
}

// Owner returns the owner and epoch of the last known shard row.
func (s *ShardView) Owner() (membership.InstanceID, worker.Epoch) {
	return s.row.Owner, s.row.Epoch
}

// Release makes the instance give up the shard and make no more claims.
func (s *ShardView) Release() {
	s.leaving = true
}

// RecoveryDone reports that the recovery that StartRecovery requested is complete.
func (s *ShardView) RecoveryDone() {
	if s.state == chart.OwnershipRecovering {
		s.apply(chart.OwnershipOnRecover)
	}
}

// apply applies an event to the state. Callers check the state first, so a refused
// event is a bug in this package.
func (s *ShardView) apply(event chart.OwnershipEvent) {
	next, err := chart.Ownership().Next(s.state, event)
	if err != nil {
		panic(err)
	}
	s.state = next
}

// ReadFailed reports that a table read failed.
func (s *ShardView) ReadFailed() {
	s.readPending = false
}

// TableRead applies a table read.
func (s *ShardView) TableRead(now time.Time, read TableRead) {
	s.readPending = false
	s.lastSuccessfulRead = read.Began
	s.zone.tableRead(now, read.Members, read.MembersVersion)
	if read.ShardVersion < s.rowVersion {
		return
	}
	s.applyRow(now, read.Shard, read.ShardVersion)
	if s.epoch != 0 && s.row.Owner == s.zone.self && s.row.Epoch == s.epoch {
		s.confirm(read.Began, read.Members)
	}
}

// applyRow applies a shard row that is not older than the known one.
func (s *ShardView) applyRow(now time.Time, row ShardRow, version table.Version) {
	if version != s.rowVersion || !s.hasRead {
		s.ownerLastActiveAt = now
	}
	s.hasRead = true
	s.row, s.rowVersion = row, version
	s.observeEpoch(row.Epoch)
	if row.Owner != s.zone.self || row.Epoch == 0 {
		return
	}
	switch {
	case row.Released:
		s.finishRelease(now, row.Epoch)
	case s.epoch != row.Epoch && row.Epoch >= s.highestEpoch:
		s.claimSucceeded(now)
	}
}

// observeEpoch records that an epoch exists. A higher epoch ends this instance's
// ownership.
func (s *ShardView) observeEpoch(epoch worker.Epoch) {
	s.highestEpoch = max(s.highestEpoch, epoch)
	if s.epoch == 0 || s.highestEpoch <= s.epoch {
		return
	}
	s.loseOwnership(chart.OwnershipOnSupersede)
}

// loseOwnership ends this instance's ownership.
func (s *ShardView) loseOwnership(event chart.OwnershipEvent) {
	s.apply(event)
	s.epoch = 0
	s.promises = nil
	s.pendingActions = append(s.pendingActions, Action{Kind: Stop})
}

// finishRelease ends the ownership after the released row was written.
func (s *ShardView) finishRelease(now time.Time, epoch worker.Epoch) {
	if s.state == chart.OwnershipReleasing && s.epoch == epoch {
		s.loseOwnership(chart.OwnershipOnReleased)
		s.releasedAt, s.releasedEpoch = now, epoch
	}
}

// claimSucceeded records that this instance's claim took effect, now or earlier.
func (s *ShardView) claimSucceeded(now time.Time) {
	if s.state == chart.OwnershipUnowned {
		s.apply(chart.OwnershipOnClaim)
	}
	s.apply(chart.OwnershipOnClaimWon)
	s.epoch = s.row.Epoch
	s.claimConfirmedAt = now
	s.earlierMemberAnsweredAt, s.promiseRequired = time.Time{}, false
	s.confirmedSet, s.confirmedAsOf = MemberSet{}, time.Time{}
	s.additionalMembers, s.additionalRevision = nil, 0
	s.promises = map[membership.InstanceID]time.Time{}
	s.otherPreferredSince = time.Time{}
	s.updatePromiseRequired()
}

// confirm records that this instance's epoch was current at a time after began, with
// the given member set.
func (s *ShardView) confirm(began time.Time, set MemberSet) {
	if !began.After(s.confirmedAsOf) {
		return
	}
	s.confirmedSet, s.confirmedAsOf = set, began
	if set.Revision >= s.additionalRevision {
		s.additionalMembers, s.additionalRevision = nil, 0
	}
}

// WriteResult applies the outcome of the last Claim, Settle or Release. version is the
// new version of the shard row if it was written.
func (s *ShardView) WriteResult(now time.Time, action Action, outcome Outcome, version table.Version) {
	s.pendingWrite = ""
	s.nextWriteAt = now.Add(s.config.WriteRetryDelay)
	if outcome == Written && version >= s.rowVersion {
		s.applyRow(now, action.Row, version)
		if action.Kind == Claim && s.epoch == action.Row.Epoch {
			s.confirm(s.claimSent, s.claimSet)
		}
	} else {
		s.readRequested = true
	}
	// If the outcome is unknown, a later table read shows whether the claim succeeded.
	if action.Kind == Claim && s.state == chart.OwnershipClaiming {
		s.apply(chart.OwnershipOnClaimLost)
	}
}

// handleHeartbeat processes a heartbeat and returns the answer to it.
func (s *ShardView) handleHeartbeat(now time.Time, from membership.InstanceID, revision Revision, h ShardHeartbeat) ShardHeartbeatAnswer {
	current := h.Epoch >= s.highestEpoch
	if h.Epoch > s.row.Epoch || (h.Released && current && !s.row.Released) {
		s.readRequested = true
	}
	s.observeEpoch(h.Epoch)
	if current && h.Active {
		s.ownerLastActiveAt = now
	}
	s.recordRequirement(from, revision, h)
	promised := h.WantPromise && current && s.epoch == 0 && s.pendingWrite != Claim &&
		revision >= s.zone.newestSet.Revision
	if promised {
		s.lastPromisedAt = now
	}
	return ShardHeartbeatAnswer{Shard: s.shard, For: h.Epoch, Epoch: s.highestEpoch, Promised: promised}
}

// recordRequirement records a heartbeat whose sender needs this instance's promise.
func (s *ShardView) recordRequirement(from membership.InstanceID, revision Revision, h ShardHeartbeat) {
	if !h.requiresPromiseOf(s.zone.self) {
		return
	}
	s.lastRequirement = promiseRequirement{owner: from, epoch: h.Epoch, revision: revision}
	s.updatePromiseRequired()
}

// updatePromiseRequired sets promiseRequired if the previous owner is known to need
// this instance's promise. A heartbeat from before this instance's claim suffices, because
// an owner keeps requiring a member's promise as long as that member stays in the set.
func (s *ShardView) updatePromiseRequired() {
	if s.epoch == 0 || s.lastRequirement.owner != s.row.Previous || s.lastRequirement.epoch != s.row.PreviousEpoch {
		return
	}
	if joined, member := s.claimSet.Joined(s.zone.self); member && s.lastRequirement.revision >= joined {
		s.promiseRequired = true
	}
}

// handleAnswer processes the answer to a heartbeat that was sent at the given time.
func (s *ShardView) handleAnswer(now, sent time.Time, from membership.InstanceID, a ShardHeartbeatAnswer) {
	s.observeEpoch(a.Epoch)
	if s.epoch == 0 || a.For != s.epoch {
		return
	}
	if a.Promised && sent.After(s.promises[from]) {
		s.promises[from] = sent
	}
	joined, member := s.claimSet.Joined(from)
	if member && joined <= s.row.Base && s.earlierMemberAnsweredAt.IsZero() {
		s.earlierMemberAnsweredAt = now
	}
}
