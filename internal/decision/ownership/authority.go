package ownership

import (
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/chart"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// Authority returns until when this instance may act for the shard, and whether it
// may act now. The owner calls it right before each act.
func (n *Node) Authority(now time.Time) (time.Time, bool) {
	if n.epoch == 0 || n.state == chart.OwnershipReleasing || now.Before(n.readyAt()) {
		return time.Time{}, false
	}
	until := n.confirmedBegan.Add(n.terms.Authority)
	if promised := n.promisedUntil(); promised.After(until) {
		until = promised
	}
	return until, now.Before(until)
}

// readyAt returns from when on no earlier owner can have authority.
func (n *Node) readyAt() time.Time {
	if n.row.Settled {
		return time.Time{}
	}
	term := n.terms.wait(n.terms.Authority)
	// No table read that began after the claim confirms an earlier owner.
	ready := n.claimKnown.Add(term)
	// Our own promise counts for an earlier owner until it expires.
	if !n.lastPromise.IsZero() {
		ready = later(ready, n.lastPromise.Add(term))
	}
	joined, _ := n.claimSet.Joined(n.group.self)
	if joined <= n.row.Base || n.named || !n.row.EarlierPromising {
		return ready
	}
	// An earlier owner may not know that it needs our promise.
	excluded := n.claimKnown.Add(n.terms.wait(n.terms.Isolation))
	if witness := n.witnessed.Add(term); !n.witnessed.IsZero() && witness.Before(excluded) {
		excluded = witness
	}
	return later(ready, excluded)
}

// EndOfPrevious returns from when on earlier owners have no authority, by what is
// known now. Waits for unreachable workers begin there.
func (n *Node) EndOfPrevious() time.Time {
	return n.readyAt()
}

// promisedUntil returns until when the promises of all other members last; the zero
// time when one is missing or there is no other member.
func (n *Node) promisedUntil() time.Time {
	required := n.required()
	if len(required) == 0 || !n.row.Promising {
		return time.Time{}
	}
	until := n.confirmedBegan.Add(n.terms.Isolation)
	for _, id := range required {
		sent, promised := n.promises[id]
		if !promised {
			return time.Time{}
		}
		if end := sent.Add(n.terms.Authority); end.Before(until) {
			until = end
		}
	}
	return until
}

// required returns the members whose promises this owner needs: those of the set
// that the table last showed together with our epoch, and those that peers named
// since. Members that a peer's set lacks stay required, because they may have
// claimed the shard before they were removed.
func (n *Node) required() []membership.InstanceID {
	var ids []membership.InstanceID
	for _, m := range n.confirmed.Members {
		if m.ID != n.group.self {
			ids = append(ids, m.ID)
		}
	}
	for id := range n.extra {
		if _, member := n.confirmed.Joined(id); !member && id != n.group.self {
			ids = append(ids, id)
		}
	}
	return ids
}

// extend adds the members of the newest known set to the required ones.
func (n *Node) extend() {
	known := n.group.known
	if known.Revision <= n.confirmed.Revision || known.Revision <= n.extraRevision {
		return
	}
	if n.extra == nil {
		n.extra = map[membership.InstanceID]bool{}
	}
	for _, m := range known.Members {
		n.extra[m.ID] = true
	}
	n.extraRevision = known.Revision
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Renewal returns until when this instance may renew the leases of workers that
// have accepted its epoch. It doesn't wait for the end of earlier owners: a worker
// that accepted our epoch refuses theirs, and a renewal starts nothing. Without it
// the leases of a dead owner's tasks would run out during the wait.
func (n *Node) Renewal(now time.Time) (time.Time, bool) {
	if n.epoch == 0 || n.state == chart.OwnershipReleasing {
		return time.Time{}, false
	}
	until := later(n.confirmedBegan.Add(n.terms.Authority), n.promisedUntil())
	return until, now.Before(until)
}
