package dispatcher

import (
	"context"
	"slices"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/peer/entry"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

const (
	// authorityTerm is how long an owner acts after a proof that nobody has replaced
	// it. A successor waits that much longer for silent workers.
	authorityTerm = 2400 * time.Millisecond
	// confirmAfter is the age of the last transaction from which the owner asks the
	// other instances whether they could replace it.
	confirmAfter = 700 * time.Millisecond
	// confirmInterval is the time between two such questions.
	confirmInterval = 250 * time.Millisecond
)

// authority decides whether an owner may act. A transaction proves that it is still
// the owner. While the store is away, so does the word of every other instance that
// it can't reach the store either: an instance needs the store for a while before it
// can claim the shard.
type authority struct {
	// storedAt is the time of the last transaction.
	storedAt time.Time
	// requiredPeers are the other instances that were known then. They must speak even when
	// they are no longer heard of: one that is cut off may have claimed the shard.
	requiredPeers []membership.InstanceID
	// confirmedAt is when each instance last said that it can't claim the shard.
	confirmedAt map[membership.InstanceID]time.Time
}

// recordTransaction notes a transaction that was sent at a time, and the instances known then.
func (a *authority) recordTransaction(sent time.Time, others []membership.InstanceID) {
	a.storedAt, a.requiredPeers = sent, others
}

// recordConfirmation notes the word of an instance.
func (a *authority) recordConfirmation(from membership.InstanceID, at time.Time) {
	if a.confirmedAt == nil {
		a.confirmedAt = map[membership.InstanceID]time.Time{}
	}
	a.confirmedAt[from] = at
}

// mayAct reports whether the owner may start tasks and renew leases, given all other
// instances that were heard of lately.
func (a *authority) mayAct(now time.Time, others []membership.InstanceID) bool {
	if now.Sub(a.storedAt) <= authorityTerm {
		return true
	}
	if len(others) == 0 {
		return false
	}
	silent := func(name membership.InstanceID) bool { return now.Sub(a.confirmedAt[name]) > authorityTerm }
	return !slices.ContainsFunc(others, silent) && !slices.ContainsFunc(a.requiredPeers, silent)
}

// confirmAuthority asks the other instances, while the store doesn't answer, whether
// they could replace this owner.
func (o *owner) confirmAuthority(ctx context.Context) error {
	return o.node.every(ctx, confirmInterval, func() {
		o.lock.Lock()
		age := o.now().Sub(o.authority.storedAt)
		o.lock.Unlock()
		if age < confirmAfter {
			return
		}
		for _, p := range o.node.others() {
			o.group.Go(func() error { o.requestConfirmation(ctx, p); return nil })
		}
	})
}

func (o *owner) requestConfirmation(ctx context.Context, p peer) {
	asked := o.now()
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	answer, err := entry.Call[confirmRequest, confirmAnswer](ctx, o.node.Peers, p.Address, confirmMethod, confirmRequest{o.shard.id, o.currentRow()})
	if err != nil {
		o.node.Counters.Add("Owner.ConfirmFailed", 1)
		return
	}
	if answer.Owner.Epoch > o.epoch {
		o.shard.hear(answer.Owner)
		return
	}
	if answer.CanClaim {
		return
	}
	o.lock.Lock()
	defer o.lock.Unlock()
	o.authority.recordConfirmation(p.Name, asked)
}

// handleConfirm tells an owner whether this instance could replace it.
func (n *Node) handleConfirm(_ context.Context, r confirmRequest) (confirmAnswer, error) {
	s, err := n.shardByID(r.Shard)
	if err != nil {
		// An instance that doesn't know the shard can't claim it.
		return confirmAnswer{CanClaim: n.canClaim()}, nil
	}
	s.hear(r.Owner)
	answer := confirmAnswer{Owner: s.currentView().owner, CanClaim: n.canClaim()}
	if !answer.CanClaim {
		s.lock.Lock()
		s.view.confirmed = n.Clock.Now()
		s.lock.Unlock()
	}
	return answer, nil
}

// checkAuthority lets the engine rest while the owner may have been replaced.
func (o *owner) checkAuthority(now time.Time) {
	names := o.node.otherNames()
	o.lock.Lock()
	defer o.lock.Unlock()
	may := o.authority.mayAct(now, names)
	if may == o.authorityLost {
		o.authorityLost = !may
		o.engine.Suspend(now, !may)
		o.node.Counters.Add("Owner.AuthorityChanged", 1)
	}
}
