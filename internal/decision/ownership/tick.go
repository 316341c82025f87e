package ownership

import (
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/chart"
)

// Tick returns what is to be done now. It is called several times a second.
func (n *Node) Tick(now time.Time) []Action {
	actions := n.notices
	n.notices = nil
	if notice, changed := n.review(now); changed {
		actions = append(actions, notice)
	}
	if n.readDue(now) {
		n.reading, n.wantRead, n.lastRead = true, false, now
		actions = append(actions, Action{Kind: Read})
	}
	if write, due := n.writeDue(now); due {
		n.writing = write.Kind
		actions = append(actions, write)
	}
	return actions
}

// review moves the state when authority came or went.
func (n *Node) review(now time.Time) (Action, bool) {
	_, authority := n.Authority(now)
	switch {
	case n.state == chart.OwnershipWaiting && authority:
		n.move(chart.OwnershipOnAuthorize)
		return Action{Kind: StartRecovery}, true
	case n.state == chart.OwnershipSuspended && authority:
		n.move(chart.OwnershipOnAuthorize)
		return Action{Kind: Resume}, true
	case (n.state == chart.OwnershipRecovering || n.state == chart.OwnershipOwned) && !authority:
		n.move(chart.OwnershipOnSuspend)
		return Action{Kind: Suspend}, true
	}
	return Action{}, false
}

func (n *Node) readDue(now time.Time) bool {
	if n.reading {
		return false
	}
	interval := n.terms.MemberRead
	if n.epoch != 0 || n.wantRead || n.wouldClaim(now) {
		interval = n.terms.OwnerRead
	}
	return n.lastRead.IsZero() || now.Sub(n.lastRead) >= interval
}

// writeDue returns the next write of the shard row.
func (n *Node) writeDue(now time.Time) (Action, bool) {
	if n.writing != "" || now.Before(n.retry) {
		return Action{}, false
	}
	action := Action{ShardVersion: n.version, MembersVersion: n.group.version, Row: n.row}
	switch {
	case n.state == chart.OwnershipReleasing || n.shouldRelease(now):
		if n.state != chart.OwnershipReleasing {
			n.move(chart.OwnershipOnRelease)
		}
		action.Kind = Release
		action.Row.Released = true
		action.Row = settled(action.Row)
	case n.epoch != 0 && (!n.row.Settled || n.shouldPromise()) && n.hasAuthority(now):
		action.Kind = Settle
		action.Row = settled(action.Row)
		action.Row.Promising = n.row.Promising || n.shouldPromise()
	case n.wouldClaim(now) && !now.Before(n.claimAt(now)) && n.rowIsFresh(now):
		n.move(chart.OwnershipOnClaim)
		n.claimSent, n.claimSet = now, n.group.read
		action.Kind = Claim
		action.Row = n.claimRow()
	default:
		return Action{}, false
	}
	return action, true
}

func (n *Node) hasAuthority(now time.Time) bool {
	_, authority := n.Authority(now)
	return authority
}

// shouldRelease reports whether to hand the shard over. Before the waits are over it
// can't be released, because a released row promises that nobody else acts.
func (n *Node) shouldRelease(now time.Time) bool {
	if n.epoch == 0 || now.Before(n.readyAt()) {
		return false
	}
	if n.leaving {
		return true
	}
	if n.state != chart.OwnershipOwned || n.group.rank(now, n.shard, n.group.read.Revision) == 0 {
		n.preferredSince = time.Time{}
		return false
	}
	if n.preferredSince.IsZero() {
		n.preferredSince = now
	}
	return now.Sub(n.preferredSince) >= n.terms.Rebalance
}

// settled marks that only the owner of the row can have authority.
func settled(row ShardRow) ShardRow {
	row.Settled = true
	row.Base = row.Claimed
	row.Previous, row.PreviousEpoch = "", 0
	row.EarlierPromising = false
	return row
}

// shouldPromise reports whether the row is to say that the owner may go on by
// promises.
func (n *Node) shouldPromise() bool {
	return !n.row.Promising && len(n.confirmed.Members) > 1
}

// wouldClaim reports whether this instance is a candidate for a shard that is free
// or has a silent owner.
func (n *Node) wouldClaim(now time.Time) bool {
	_, member := n.group.read.Joined(n.group.self)
	if !n.hasRead || n.leaving || !member || n.state != chart.OwnershipUnowned {
		return false
	}
	if n.free() {
		return true
	}
	promiseOver := n.lastPromise.IsZero() || now.Sub(n.lastPromise) >= n.terms.Authority
	return promiseOver && now.Sub(n.ownerHeard) >= n.terms.Suspicion
}

// free reports whether the row shows no owner that could act.
func (n *Node) free() bool {
	return n.version == 0 || n.row.Released
}

// claimAt returns when this instance's turn to claim comes.
func (n *Node) claimAt(now time.Time) time.Time {
	base, from := n.row.Base, n.ownerHeard.Add(n.terms.Suspicion)
	if n.free() {
		base, from = n.group.read.Revision, n.ownerHeard
	}
	rank := n.group.rank(now, n.shard, base)
	return from.Add(time.Duration(rank) * n.terms.Stagger)
}

// rowIsFresh reports whether a claim has a chance to meet its conditions.
func (n *Node) rowIsFresh(now time.Time) bool {
	return !n.reading && !n.wantRead && n.seen <= n.row.Epoch &&
		n.group.read.Revision == n.group.known.Revision &&
		now.Sub(n.goodRead) < 2*n.terms.OwnerRead
}

// claimRow returns the row of a claim by this instance.
func (n *Node) claimRow() ShardRow {
	row := ShardRow{
		Owner:   n.group.self,
		Epoch:   n.row.Epoch + 1,
		Claimed: n.group.read.Revision,
		Base:    n.group.read.Revision,
	}
	switch {
	case n.free():
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

// beat returns the part of a heartbeat about this shard, and whether there is one.
func (n *Node) beat(now time.Time) (Beat, bool) {
	if n.epoch == 0 {
		recent := n.released != 0 && now.Sub(n.releasedAt) < n.terms.Suspicion
		return Beat{Shard: n.shard, Epoch: n.released, Released: true}, recent
	}
	n.extend()
	releasing := n.state == chart.OwnershipReleasing
	return Beat{
		Shard:       n.shard,
		Epoch:       n.epoch,
		Active:      !releasing && (now.Before(n.readyAt()) || n.hasAuthority(now)),
		WantPromise: !releasing && now.Sub(n.confirmedBegan) >= n.terms.PromiseAfter,
		Requires:    n.required(),
	}, true
}
