package ownership

import (
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/chart"
)

// Tick returns the actions to carry out now. Call it several times a second.
func (s *ShardView) Tick(now time.Time) []Action {
	actions := s.pendingActions
	s.pendingActions = nil
	if action, changed := s.updateAuthorityState(now); changed {
		actions = append(actions, action)
	}
	if s.readDue(now) {
		s.readPending, s.readRequested, s.lastReadAt = true, false, now
		actions = append(actions, Action{Kind: Read})
	}
	if write, due := s.writeDue(now); due {
		s.pendingWrite = write.Kind
		actions = append(actions, write)
	}
	return actions
}

// updateAuthorityState changes the state when authority was gained or lost, and returns
// the action that reports it.
func (s *ShardView) updateAuthorityState(now time.Time) (Action, bool) {
	_, hasAuthority := s.Authority(now)
	switch {
	case s.state == chart.OwnershipWaiting && hasAuthority:
		s.apply(chart.OwnershipOnAuthorize)
		return Action{Kind: StartRecovery}, true
	case s.state == chart.OwnershipSuspended && hasAuthority:
		s.apply(chart.OwnershipOnAuthorize)
		return Action{Kind: Resume}, true
	case (s.state == chart.OwnershipRecovering || s.state == chart.OwnershipOwned) && !hasAuthority:
		s.apply(chart.OwnershipOnSuspend)
		return Action{Kind: Suspend}, true
	}
	return Action{}, false
}

// readDue reports whether to read the table now.
func (s *ShardView) readDue(now time.Time) bool {
	if s.readPending {
		return false
	}
	interval := s.config.MemberReadInterval
	if s.epoch != 0 || s.readRequested || s.isCandidate(now) {
		interval = s.config.OwnerReadInterval
	}
	return s.lastReadAt.IsZero() || now.Sub(s.lastReadAt) >= interval
}

// writeDue returns the next write of the shard row, if one is due.
func (s *ShardView) writeDue(now time.Time) (Action, bool) {
	if s.pendingWrite != "" || now.Before(s.nextWriteAt) {
		return Action{}, false
	}
	action := Action{ShardVersion: s.rowVersion, MembersVersion: s.zone.tableVersion, Row: s.row}
	switch {
	case s.state == chart.OwnershipReleasing || s.shouldRelease(now):
		if s.state != chart.OwnershipReleasing {
			s.apply(chart.OwnershipOnRelease)
		}
		action.Kind = Release
		action.Row.Released = true
		action.Row = settled(action.Row)
	case s.epoch != 0 && (!s.row.Settled || s.shouldMarkPromising()) && s.hasAuthority(now):
		action.Kind = Settle
		action.Row = settled(action.Row)
		action.Row.Promising = s.row.Promising || s.shouldMarkPromising()
	case s.isCandidate(now) && !now.Before(s.claimAt(now)) && s.readIsCurrent(now):
		s.apply(chart.OwnershipOnClaim)
		s.claimSent, s.claimSet = now, s.zone.tableSet
		action.Kind = Claim
		action.Row = s.claimRow()
	default:
		return Action{}, false
	}
	return action, true
}

// hasAuthority reports whether this instance may act for the shard now.
func (s *ShardView) hasAuthority(now time.Time) bool {
	_, authority := s.Authority(now)
	return authority
}

// shouldRelease reports whether to release the shard. It isn't released before readyAt,
// because a released row states that no earlier owner has authority.
func (s *ShardView) shouldRelease(now time.Time) bool {
	if s.epoch == 0 || now.Before(s.readyAt()) {
		return false
	}
	if s.leaving {
		return true
	}
	if s.state != chart.OwnershipOwned || s.zone.claimRank(now, s.shard, s.zone.tableSet.Revision) == 0 {
		s.otherPreferredSince = time.Time{}
		return false
	}
	if s.otherPreferredSince.IsZero() {
		s.otherPreferredSince = now
	}
	return now.Sub(s.otherPreferredSince) >= s.config.RebalanceDelay
}

// settled returns the row with the statement that only its owner can have authority.
func settled(row ShardRow) ShardRow {
	row.Settled = true
	row.Base = row.Claimed
	row.Previous, row.PreviousEpoch = "", 0
	row.EarlierPromising = false
	return row
}

// shouldMarkPromising reports whether to write to the row that the owner may keep
// authority by promises.
func (s *ShardView) shouldMarkPromising() bool {
	return !s.row.Promising && len(s.confirmedSet.Members) > 1
}

// isCandidate reports whether this instance may claim the shard when its turn comes:
// the shard has no owner, or its owner has been silent for SuspicionTimeout.
func (s *ShardView) isCandidate(now time.Time) bool {
	_, member := s.zone.tableSet.Joined(s.zone.self)
	if !s.hasRead || s.leaving || !member || s.state != chart.OwnershipUnowned {
		return false
	}
	if s.isUnowned() {
		return true
	}
	promiseExpired := s.lastPromisedAt.IsZero() || now.Sub(s.lastPromisedAt) >= s.config.AuthorityTerm
	return promiseExpired && now.Sub(s.ownerLastActiveAt) >= s.config.SuspicionTimeout
}

// isUnowned reports whether the row shows that no owner can have authority.
func (s *ShardView) isUnowned() bool {
	return s.rowVersion == 0 || s.row.Released
}

// claimAt returns when this instance's turn to claim the shard comes.
func (s *ShardView) claimAt(now time.Time) time.Time {
	base, firstTurn := s.row.Base, s.ownerLastActiveAt.Add(s.config.SuspicionTimeout)
	if s.isUnowned() {
		base, firstTurn = s.zone.tableSet.Revision, s.ownerLastActiveAt
	}
	rank := s.zone.claimRank(now, s.shard, base)
	return firstTurn.Add(time.Duration(rank) * s.config.ClaimStagger)
}

// readIsCurrent reports whether the last table read is recent enough for a claim's
// conditions to hold.
func (s *ShardView) readIsCurrent(now time.Time) bool {
	return !s.readPending && !s.readRequested && s.highestEpoch <= s.row.Epoch &&
		s.zone.tableSet.Revision == s.zone.newestSet.Revision &&
		now.Sub(s.lastSuccessfulRead) < 2*s.config.OwnerReadInterval
}

// claimRow returns the row for a claim by this instance.
func (s *ShardView) claimRow() ShardRow {
	row := ShardRow{
		Owner:   s.zone.self,
		Epoch:   s.row.Epoch + 1,
		Claimed: s.zone.tableSet.Revision,
		Base:    s.zone.tableSet.Revision,
	}
	switch {
	case s.isUnowned():
		row.Settled = true
	case s.row.Settled:
		row.Base = s.row.Claimed
		row.Previous, row.PreviousEpoch = s.row.Owner, s.row.Epoch
		row.EarlierPromising = s.row.Promising
	default:
		row.Base = min(s.row.Base, s.row.Claimed)
		row.EarlierPromising = s.row.Promising || s.row.EarlierPromising
	}
	return row
}

// heartbeat returns the part of a heartbeat about this shard, and whether there is one.
func (s *ShardView) heartbeat(now time.Time) (ShardHeartbeat, bool) {
	if s.epoch == 0 {
		recent := s.releasedEpoch != 0 && now.Sub(s.releasedAt) < s.config.SuspicionTimeout
		return ShardHeartbeat{Shard: s.shard, Epoch: s.releasedEpoch, Released: true}, recent
	}
	s.addNewestMembers()
	releasing := s.state == chart.OwnershipReleasing
	return ShardHeartbeat{
		Shard:       s.shard,
		Epoch:       s.epoch,
		Active:      !releasing && (now.Before(s.readyAt()) || s.hasAuthority(now)),
		WantPromise: !releasing && now.Sub(s.confirmedAsOf) >= s.config.PromiseRequestAge,
		Requires:    s.requiredMembers(),
	}, true
}
