package ownership

import (
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/chart"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// Authority returns until when this instance may act for the shard, and whether it may
// act now. The owner calls it right before each such operation.
func (n *ShardView) Authority(now time.Time) (time.Time, bool) {
	if n.epoch == 0 || n.state == chart.OwnershipReleasing || now.Before(n.readyAt()) {
		return time.Time{}, false
	}
	until := n.confirmedAsOf.Add(n.config.AuthorityTerm)
	if promised := n.promisedUntil(); promised.After(until) {
		until = promised
	}
	return until, now.Before(until)
}

// readyAt returns the time from which no earlier owner can have authority.
func (n *ShardView) readyAt() time.Time {
	if n.row.Settled {
		return time.Time{}
	}
	term := n.config.waitWithDrift(n.config.AuthorityTerm)
	// Table reads that begin after the claim no longer confirm an earlier owner.
	ready := n.claimConfirmedAt.Add(term)
	// An earlier owner may rely on this instance's last promise until it expires.
	if !n.lastPromisedAt.IsZero() {
		ready = later(ready, n.lastPromisedAt.Add(term))
	}
	joined, _ := n.claimSet.Joined(n.zone.self)
	if joined <= n.row.Base || n.promiseRequired || !n.row.EarlierPromising {
		return ready
	}
	// This instance joined after an earlier owner's claim, so that owner may not know
	// that it needs this instance's promise. Wait until its isolation limit, or until
	// the last promise of an earlier member that knows of the claim has expired.
	previousEnd := n.claimConfirmedAt.Add(n.config.waitWithDrift(n.config.MaxIsolation))
	if promiseEnd := n.earlierMemberAnsweredAt.Add(term); !n.earlierMemberAnsweredAt.IsZero() && promiseEnd.Before(previousEnd) {
		previousEnd = promiseEnd
	}
	return later(ready, previousEnd)
}

// PreviousOwnersEnd returns the time from which earlier owners have no authority, as far as
// is known now. Timeouts for unreachable workers start at this time.
func (n *ShardView) PreviousOwnersEnd() time.Time {
	return n.readyAt()
}

// promisedUntil returns until when the promises of all other members last. It returns
// the zero time if a promise is missing or if there is no other member.
func (n *ShardView) promisedUntil() time.Time {
	required := n.requiredMembers()
	if len(required) == 0 || !n.row.Promising {
		return time.Time{}
	}
	until := n.confirmedAsOf.Add(n.config.MaxIsolation)
	for _, id := range required {
		sent, promised := n.promises[id]
		if !promised {
			return time.Time{}
		}
		if end := sent.Add(n.config.AuthorityTerm); end.Before(until) {
			until = end
		}
	}
	return until
}

// requiredMembers returns the members whose promises this owner needs: those of the
// last table read that confirmed this owner's epoch, and those in newer sets from
// peers. Members that are missing from a peer's newer set stay required, because they
// may have claimed the shard before they were removed.
func (n *ShardView) requiredMembers() []membership.InstanceID {
	var ids []membership.InstanceID
	for _, m := range n.confirmedSet.Members {
		if m.ID != n.zone.self {
			ids = append(ids, m.ID)
		}
	}
	for id := range n.additionalMembers {
		if _, member := n.confirmedSet.Joined(id); !member && id != n.zone.self {
			ids = append(ids, id)
		}
	}
	return ids
}

// addNewestMembers adds the members of the newest known set to the required ones.
func (n *ShardView) addNewestMembers() {
	newest := n.zone.newestSet
	if newest.Revision <= n.confirmedSet.Revision || newest.Revision <= n.additionalRevision {
		return
	}
	if n.additionalMembers == nil {
		n.additionalMembers = map[membership.InstanceID]bool{}
	}
	for _, m := range newest.Members {
		n.additionalMembers[m.ID] = true
	}
	n.additionalRevision = newest.Revision
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// LeaseRenewal returns until when this instance may renew the leases of workers that have
// accepted its epoch, and whether it may do so now. It doesn't wait for the end of
// earlier owners: a worker that accepted this epoch refuses theirs, and a renewal
// starts no task. If it waited, the leases of the failed owner's tasks would expire
// meanwhile.
func (n *ShardView) LeaseRenewal(now time.Time) (time.Time, bool) {
	if n.epoch == 0 || n.state == chart.OwnershipReleasing {
		return time.Time{}, false
	}
	until := later(n.confirmedAsOf.Add(n.config.AuthorityTerm), n.promisedUntil())
	return until, now.Before(until)
}
