package ownership

import (
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/chart"
)

// Tick returns the actions to carry out now. Call it several times a second.
func (n *ShardView) Tick(now time.Time) []Action {
	actions := n.pendingActions
	n.pendingActions = nil
	if action, changed := n.updateAuthorityState(now); changed {
		actions = append(actions, action)
	}
	if n.readDue(now) {
		n.readPending, n.readRequested, n.lastReadAt = true, false, now
		actions = append(actions, Action{Kind: Read})
	}
	if write, due := n.writeDue(now); due {
		n.pendingWrite = write.Kind
		actions = append(actions, write)
	}
	return actions
}

// updateAuthorityState changes the state when authority was gained or lost, and returns
// the action that reports it.
func (n *ShardView) updateAuthorityState(now time.Time) (Action, bool) {
	_, hasAuthority := n.Authority(now)
	switch {
	case n.state == chart.OwnershipWaiting && hasAuthority:
		n.apply(chart.OwnershipOnAuthorize)
		return Action{Kind: StartRecovery}, true
	case n.state == chart.OwnershipSuspended && hasAuthority:
		n.apply(chart.OwnershipOnAuthorize)
		return Action{Kind: Resume}, true
	case (n.state == chart.OwnershipRecovering || n.state == chart.OwnershipOwned) && !hasAuthority:
		n.apply(chart.OwnershipOnSuspend)
		return Action{Kind: Suspend}, true
	}
	return Action{}, false
}

// readDue reports whether to read the table now.
func (n *ShardView) readDue(now time.Time) bool {
	if n.readPending {
		return false
	}
	interval := n.config.MemberReadInterval
	if n.epoch != 0 || n.readRequested || n.isCandidate(now) {
		interval = n.config.OwnerReadInterval
	}
	return n.lastReadAt.IsZero() || now.Sub(n.lastReadAt) >= interval
}

// writeDue returns the next write of the shard row, if one is due.
func (n *ShardView) writeDue(now time.Time) (Action, bool) {
	if n.pendingWrite != "" || now.Before(n.retryAt) {
		return Action{}, false
	}
	action := Action{ShardVersion: n.rowVersion, MembersVersion: n.zone.tableVersion, Row: n.row}
	switch {
	case n.state == chart.OwnershipReleasing || n.shouldRelease(now):
		if n.state != chart.OwnershipReleasing {
			n.apply(chart.OwnershipOnRelease)
		}
		action.Kind = Release
		action.Row.Released = true
		action.Row = settled(action.Row)
	case n.epoch != 0 && (!n.row.Settled || n.shouldMarkPromising()) && n.hasAuthority(now):
		action.Kind = Settle
		action.Row = settled(action.Row)
		action.Row.Promising = n.row.Promising || n.shouldMarkPromising()
	case n.isCandidate(now) && !now.Before(n.claimAt(now)) && n.readIsCurrent(now):
		n.apply(chart.OwnershipOnClaim)
		n.claimSent, n.claimSet = now, n.zone.tableSet
		action.Kind = Claim
		action.Row = n.claimRow()
	default:
		return Action{}, false
	}
	return action, true
}

// hasAuthority reports whether this instance may act for the shard now.
func (n *ShardView) hasAuthority(now time.Time) bool {
	_, authority := n.Authority(now)
	return authority
}

// shouldRelease reports whether to release the shard. It isn't released before readyAt,
// because a released row states that no earlier owner has authority.
func (n *ShardView) shouldRelease(now time.Time) bool {
	if n.epoch == 0 || now.Before(n.readyAt()) {
		return false
	}
	if n.leaving {
		return true
	}
	if n.state != chart.OwnershipOwned || n.zone.claimRank(now, n.shard, n.zone.tableSet.Revision) == 0 {
		n.otherPreferredSince = time.Time{}
		return false
	}
	if n.otherPreferredSince.IsZero() {
		n.otherPreferredSince = now
	}
	return now.Sub(n.otherPreferredSince) >= n.config.RebalanceDelay
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
func (n *ShardView) shouldMarkPromising() bool {
	return !n.row.Promising && len(n.confirmedSet.Members) > 1
}

// isCandidate reports whether this instance may claim the shard when its turn comes:
// the shard has no owner, or its owner has been silent for SuspicionTimeout.
func (n *ShardView) isCandidate(now time.Time) bool {
	_, member := n.zone.tableSet.Joined(n.zone.self)
	if !n.hasRead || n.leaving || !member || n.state != chart.OwnershipUnowned {
		return false
	}
	if n.isUnowned() {
		return true
	}
	promiseExpired := n.lastPromisedAt.IsZero() || now.Sub(n.lastPromisedAt) >= n.config.AuthorityTerm
	return promiseExpired && now.Sub(n.ownerLastActiveAt) >= n.config.SuspicionTimeout
}

// isUnowned reports whether the row shows that no owner can have authority.
func (n *ShardView) isUnowned() bool {
	return n.rowVersion == 0 || n.row.Released
}

// claimAt returns when this instance's turn to claim the shard comes.
func (n *ShardView) claimAt(now time.Time) time.Time {
	base, firstTurn := n.row.Base, n.ownerLastActiveAt.Add(n.config.SuspicionTimeout)
	if n.isUnowned() {
		base, firstTurn = n.zone.tableSet.Revision, n.ownerLastActiveAt
	}
	rank := n.zone.claimRank(now, n.shard, base)
	return firstTurn.Add(time.Duration(rank) * n.config.ClaimStagger)
}

// readIsCurrent reports whether the last table read is recent enough for a claim's
// conditions to hold.
func (n *ShardView) readIsCurrent(now time.Time) bool {
	return !n.readPending && !n.readRequested && n.highestEpoch <= n.row.Epoch &&
		n.zone.tableSet.Revision == n.zone.newestSet.Revision &&
		now.Sub(n.lastSuccessfulRead) < 2*n.config.OwnerReadInterval
}

// claimRow returns the row for a claim by this instance.
func (n *ShardView) claimRow() ShardRow {
	row := ShardRow{
		Owner:   n.zone.self,
		Epoch:   n.row.Epoch + 1,
		Claimed: n.zone.tableSet.Revision,
		Base:    n.zone.tableSet.Revision,
	}
	switch {
	case n.isUnowned():
		row.Settled = true
	case n.row.Settled:
		row.Base = n.row.Claimed
		row.Previous, row.PreviousEpoch = n.row.Owner, n.row.Epoch
		row.EarlierPromising = n.row.Promising
	default:
		row.Base = min(n.row.Base, n.row.Claimed)
		row.EarlierPromising = n.row.Promising || n.row.EarlierPromising
	}
	return row
}

// heartbeat returns the part of a heartbeat about this shard, and whether there is one.
func (n *ShardView) heartbeat(now time.Time) (ShardHeartbeat, bool) {
	if n.epoch == 0 {
		recent := n.releasedEpoch != 0 && now.Sub(n.releasedAt) < n.config.SuspicionTimeout
		return ShardHeartbeat{Shard: n.shard, Epoch: n.releasedEpoch, Released: true}, recent
	}
	n.addNewestMembers()
	releasing := n.state == chart.OwnershipReleasing
	return ShardHeartbeat{
		Shard:       n.shard,
		Epoch:       n.epoch,
		Active:      !releasing && (now.Before(n.readyAt()) || n.hasAuthority(now)),
		WantPromise: !releasing && now.Sub(n.confirmedAsOf) >= n.config.PromiseRequestAge,
		Requires:    n.requiredMembers(),
	}, true
}
