package dispatcher

import (
	"context"
	"slices"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/peer/entry"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

const (
	// authorityTerm is how long an owner may act after its ownership was last confirmed. A
	// successor waits that much longer for workers that don't answer.
	authorityTerm = 2400 * time.Millisecond
	// confirmAfter is the time since the last transaction after which the owner asks the
	// other instances to confirm its ownership.
	confirmAfter = 700 * time.Millisecond
	// confirmInterval is the time between two rounds of confirmation requests.
	confirmInterval = 250 * time.Millisecond
)

// authority decides whether an owner may act. A successful transaction confirms that it
// is still the owner. While the store is unavailable, the ownership is confirmed if
// every other instance reports that it can't reach the store either, because an
// instance must have access to the store for a while before it can claim the shard.
type authority struct {
	// storedAt is the time of the last transaction.
	storedAt time.Time
	// requiredPeers are the other instances that were known at the last transaction. Each
	// must confirm the ownership even if it is no longer heard from: an instance on the
	// other side of a network partition may have claimed the shard.
	requiredPeers []membership.InstanceID
	// confirmedAt is when each instance last reported that it can't claim the shard.
	confirmedAt map[membership.InstanceID]time.Time
}

// recordTransaction records the time at which a successful transaction was sent, and
// the instances known at that time.
func (a *authority) recordTransaction(sent time.Time, others []membership.InstanceID) {
	a.storedAt, a.requiredPeers = sent, others
}

// recordConfirmation records that an instance confirmed the ownership.
func (a *authority) recordConfirmation(from membership.InstanceID, at time.Time) {
	if a.confirmedAt == nil {
		a.confirmedAt = map[membership.InstanceID]time.Time{}
	}
	a.confirmedAt[from] = at
}

// mayAct reports whether the owner may start tasks and renew leases. others are all
// other instances that were heard from recently.
func (a *authority) mayAct(now time.Time, others []membership.InstanceID) bool {
	if now.Sub(a.storedAt) <= authorityTerm {
		return true
	}
	if len(others) == 0 {
		return false
	}
	unconfirmed := func(name membership.InstanceID) bool { return now.Sub(a.confirmedAt[name]) > authorityTerm }
	return !slices.ContainsFunc(others, unconfirmed) && !slices.ContainsFunc(a.requiredPeers, unconfirmed)
}

// confirmAuthority asks the other instances to confirm the ownership while the store
// doesn't answer.
func (o *owner) confirmAuthority(ctx context.Context) error {
	return o.node.every(ctx, confirmInterval, func() {
		o.lock.Lock()
		age := o.now().Sub(o.authority.storedAt)
		o.lock.Unlock()
		if age < confirmAfter {
			return
		}
		for _, p := range o.node.livePeers() {
			o.group.Go(func() error { o.requestConfirmation(ctx, p); return nil })
		}
	})
}

func (o *owner) requestConfirmation(ctx context.Context, p peer) {
	sentAt := o.now()
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	answer, err := entry.Call[confirmRequest, confirmAnswer](ctx, o.node.Peers, p.Address, confirmMethod, confirmRequest{o.shard.id, o.currentRow()})
	if err != nil {
		o.node.Counters.Add("Owner.ConfirmFailed", 1)
		return
	}
	if answer.Owner.Epoch > o.epoch {
		o.shard.updateOwner(answer.Owner)
		return
	}
	if answer.CanClaim {
		return
	}
	o.lock.Lock()
	defer o.lock.Unlock()
	o.authority.recordConfirmation(p.Name, sentAt)
}

// handleConfirm tells an owner whether this instance could replace it.
func (n *Node) handleConfirm(_ context.Context, r confirmRequest) (confirmAnswer, error) {
	s, err := n.shardByID(r.Shard)
	if err != nil {
		// An instance that doesn't know the shard can't claim it until it has read the
		// layout from the store, so only its access to the store matters.
		return confirmAnswer{CanClaim: n.canClaim()}, nil
	}
	s.updateOwner(r.Owner)
	answer := confirmAnswer{Owner: s.currentView().owner, CanClaim: n.canClaim()}
	if !answer.CanClaim {
		s.lock.Lock()
		s.view.confirmedAt = n.Clock.Now()
		s.lock.Unlock()
	}
	return answer, nil
}

// checkAuthority suspends the engine while the owner may have been replaced.
func (o *owner) checkAuthority(now time.Time) {
	peers := o.node.livePeerNames()
	o.lock.Lock()
	defer o.lock.Unlock()
	mayAct := o.authority.mayAct(now, peers)
	if mayAct == o.authorityLost {
		o.authorityLost = !mayAct
		o.engine.SetSuspended(now, !mayAct)
		o.node.Counters.Add("Owner.AuthorityChanged", 1)
	}
}
