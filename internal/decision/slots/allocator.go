package slots

import (
	"slices"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// record is a grant that the owner made.
type record struct {
	grant Grant
	state *executorState
	// until is when the term and then the MaxDuration of the grant have passed.
	until time.Time
}

// executorState is what the owner knows of one executor.
type executorState struct {
	executor Executor
	records  []*record
	// unreported is what earlier owners may have granted beyond the reported grants. It
	// counts as used until unreportedUntil.
	unreported map[Kind]Amount
}

// Allocator is the shard owner's record of all grants. Whatever earlier owners may have
// granted counts as used until a holder reports it, or until the term and then the
// MaxDuration have passed.
type Allocator struct {
	epoch         worker.Epoch
	config        Config
	startedAt     time.Time
	executors     map[membership.InstanceID]*executorState
	executorOrder []membership.InstanceID
	services      map[string]*serviceDemand
	byID          map[GrantID]*record
	lastNumber    uint64
	scanPosition  int
}

// NewAllocator returns the allocator of a new owner at an epoch. now is a time at which the
// owner had authority, so that no earlier owner makes grants any more. fresh reports
// that no earlier owner has ever made a grant.
func NewAllocator(now time.Time, epoch worker.Epoch, config Config, fresh bool) *Allocator {
	a := &Allocator{
		epoch:     epoch,
		config:    config,
		startedAt: now,
		executors: map[membership.InstanceID]*executorState{},
		services:  map[string]*serviceDemand{},
		byID:      map[GrantID]*record{},
	}
	if fresh {
		a.startedAt = time.Time{}
	}
	return a
}

// SetExecutor adds an executor, or updates whether a known one is leaving and raises its
// MaxDuration. The capacity of an executor never changes.
func (a *Allocator) SetExecutor(e Executor) {
	if known := a.executors[e.ID]; known != nil {
		known.executor.Leaving = e.Leaving
		// A lower limit doesn't apply to requests that already run under the higher one.
		known.executor.MaxDuration = max(known.executor.MaxDuration, e.MaxDuration)
		return
	}
	a.executors[e.ID] = &executorState{
		executor:   e,
		unreported: map[Kind]Amount{Base: e.capacityOf(Base), Demand: e.capacityOf(Demand)},
	}
	a.executorOrder = append(a.executorOrder, e.ID)
	if a.services[e.Service] == nil {
		a.services[e.Service] = newServiceDemand()
	}
}

// RemoveExecutor removes an executor that no longer exists.
func (a *Allocator) RemoveExecutor(id membership.InstanceID) {
	state := a.executors[id]
	if state == nil {
		return
	}
	for _, r := range state.records {
		delete(a.byID, r.grant.ID)
	}
	delete(a.executors, id)
	for i, other := range a.executorOrder {
		if other == id {
			a.executorOrder = append(a.executorOrder[:i], a.executorOrder[i+1:]...)
			return
		}
	}
}

// granted returns the unexpired grants of a kind on an executor, without the unreported
// ones.
func (a *Allocator) granted(now time.Time, state *executorState, kind Kind) Amount {
	a.removeExpired(now, state)
	var total Amount
	for _, r := range state.records {
		if r.grant.Kind == kind {
			total = total.plus(r.grant.Amount)
		}
	}
	return total
}

// removeExpired removes the records of an executor whose grants have expired or were
// returned.
func (a *Allocator) removeExpired(now time.Time, state *executorState) {
	state.records = slices.DeleteFunc(state.records, func(r *record) bool {
		ended := !now.Before(r.until) || r.grant.Amount.isZero()
		if ended {
			delete(a.byID, r.grant.ID)
		}
		return ended
	})
}

// unreportedUntil returns until when unreported grants of earlier owners may be in use.
func (a *Allocator) unreportedUntil(e Executor, kind Kind) time.Time {
	if a.startedAt.IsZero() {
		return time.Time{}
	}
	return a.startedAt.Add(a.config.waitWithDrift(a.config.term(kind) + e.MaxDuration))
}

// free returns how much of an executor can be granted as a kind.
func (a *Allocator) free(now time.Time, state *executorState, kind Kind) Amount {
	if state.executor.Leaving {
		return Amount{}
	}
	free := state.executor.capacityOf(kind).minus(a.granted(now, state, kind))
	if now.Before(a.unreportedUntil(state.executor, kind)) {
		free = free.minus(state.unreported[kind])
	}
	return free.clampToZero()
}

// grant makes a grant and records it.
func (a *Allocator) grant(now time.Time, state *executorState, holder membership.InstanceID, kind Kind, amount Amount) Grant {
	a.lastNumber++
	g := Grant{
		ID:          GrantID{Epoch: a.epoch, Number: a.lastNumber},
		Executor:    state.executor.ID,
		Holder:      holder,
		Kind:        kind,
		Amount:      amount,
		Term:        a.config.term(kind),
		MaxDuration: state.executor.MaxDuration,
	}
	a.addRecord(now, state, g)
	return g
}

// addRecord records a grant for its whole term from now.
func (a *Allocator) addRecord(now time.Time, state *executorState, g Grant) {
	r := &record{grant: g, state: state}
	state.records = append(state.records, r)
	a.byID[g.ID] = r
	a.extend(now, r)
}

// extend sets the end of a record to a whole term from now.
func (a *Allocator) extend(now time.Time, r *record) {
	r.until = now.Add(a.config.waitWithDrift(r.grant.Term + r.grant.MaxDuration))
}

// Renew extends grants of a holder and returns the IDs of those extended. It doesn't
// extend a grant that is over, nor one that is due for a recall until the holder has
// stopped starting requests under it.
func (a *Allocator) Renew(now time.Time, holder membership.InstanceID, renewals []Renewal) []GrantID {
	var renewed []GrantID
	for _, renewal := range renewals {
		a.Return(holder, renewal.KeptAmount)
		r := a.byID[renewal.ID]
		if r == nil || r.grant.Holder != holder || r.grant.Amount.isZero() || !now.Before(r.until) {
			continue
		}
		if !renewal.Recalled && (r.state.executor.Leaving || a.exceedsShare(now, r.state, r.grant)) {
			continue
		}
		a.extend(now, r)
		renewed = append(renewed, renewal.ID)
	}
	return renewed
}

// Return takes back the part of a grant that its holder doesn't keep.
func (a *Allocator) Return(holder membership.InstanceID, keep KeptAmount) {
	if r := a.byID[keep.ID]; r != nil && r.grant.Holder == holder {
		r.grant.Amount = r.grant.Amount.minimum(keep.Amount.clampToZero())
	}
}

// Restore records the grants that a holder reported in answer to this owner's fence.
// They count as used from now for their whole term. It returns false if the reported
// grants exceed the capacity of an executor, which means that an earlier owner or a
// holder is faulty.
func (a *Allocator) Restore(now time.Time, report FenceReport) bool {
	consistent := true
	for _, g := range report.Grants {
		state := a.executors[g.Executor]
		if state == nil || a.byID[g.ID] != nil || g.ID.Epoch >= a.epoch {
			continue
		}
		g.Holder = report.Holder
		g.Term, g.MaxDuration = a.config.term(g.Kind), state.executor.MaxDuration
		a.addRecord(now, state, g)
		state.unreported[g.Kind] = state.unreported[g.Kind].minus(g.Amount).clampToZero()
		excess := a.granted(now, state, g.Kind).minus(state.executor.capacityOf(g.Kind))
		consistent = consistent && excess.Slots <= 0 && excess.Connections <= 0
	}
	return consistent
}
