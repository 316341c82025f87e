package slots

import (
	"slices"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// record is a grant as the owner accounts for it.
type record struct {
	grant   Grant
	account *account
	// until is when the term and the longest request are over.
	until time.Time
}

// account is what the owner knows of one executor.
type account struct {
	executor Executor
	records  []*record
	// unreported is what earlier owners may have lent beyond the reported grants. It
	// counts until unreportedUntil.
	unreported map[Kind]Amount
}

// Ledger is the account of a shard's owner. Everything that earlier owners may have
// lent counts as used until a holder reports it or its term and the longest request
// are over.
type Ledger struct {
	epoch    worker.Epoch
	terms    Terms
	began    time.Time
	accounts map[membership.InstanceID]*account
	order    []membership.InstanceID
	services map[string]*service
	byID     map[GrantID]*record
	next     uint64
	cursor   int
}

// NewLedger returns the ledger of a new owner at an epoch. now is a time at which
// the owner had authority, so that no earlier owner grants any more. With fresh, no
// earlier owner ever granted anything.
func NewLedger(now time.Time, epoch worker.Epoch, terms Terms, fresh bool) *Ledger {
	l := &Ledger{
		epoch:    epoch,
		terms:    terms,
		began:    now,
		accounts: map[membership.InstanceID]*account{},
		services: map[string]*service{},
		byID:     map[GrantID]*record{},
	}
	if fresh {
		l.began = time.Time{}
	}
	return l
}

// SetExecutor adds an executor or updates whether it is leaving. Its capacity is
// fixed for its lifetime.
func (l *Ledger) SetExecutor(e Executor) {
	if known := l.accounts[e.ID]; known != nil {
		known.executor.Leaving = e.Leaving
		return
	}
	l.accounts[e.ID] = &account{
		executor:   e,
		unreported: map[Kind]Amount{Base: e.half(Base), Demand: e.half(Demand)},
	}
	l.order = append(l.order, e.ID)
	if l.services[e.Service] == nil {
		l.services[e.Service] = newService()
	}
}

// RemoveExecutor forgets an executor that is gone.
func (l *Ledger) RemoveExecutor(id membership.InstanceID) {
	a := l.accounts[id]
	if a == nil {
		return
	}
	for _, r := range a.records {
		delete(l.byID, r.grant.ID)
	}
	delete(l.accounts, id)
	for i, other := range l.order {
		if other == id {
			l.order = append(l.order[:i], l.order[i+1:]...)
			return
		}
	}
}

// lent returns what is lent of an executor as a kind and not over, without what
// nobody reported.
func (l *Ledger) lent(now time.Time, a *account, kind Kind) Amount {
	l.sweep(now, a)
	var total Amount
	for _, r := range a.records {
		if r.grant.Kind == kind {
			total = total.plus(r.grant.Amount)
		}
	}
	return total
}

// sweep drops the records of an executor that are over or returned.
func (l *Ledger) sweep(now time.Time, a *account) {
	a.records = slices.DeleteFunc(a.records, func(r *record) bool {
		over := !now.Before(r.until) || r.grant.Amount.isZero()
		if over {
			delete(l.byID, r.grant.ID)
		}
		return over
	})
}

// unreportedUntil returns how long what earlier owners lent as a kind may be in use
// without a report.
func (l *Ledger) unreportedUntil(e Executor, kind Kind) time.Time {
	if l.began.IsZero() {
		return time.Time{}
	}
	return l.began.Add(l.terms.wait(l.terms.term(kind) + e.MaxDuration))
}

// free returns what can be lent of an executor as a kind.
func (l *Ledger) free(now time.Time, a *account, kind Kind) Amount {
	if a.executor.Leaving {
		return Amount{}
	}
	free := a.executor.half(kind).minus(l.lent(now, a, kind))
	if now.Before(l.unreportedUntil(a.executor, kind)) {
		free = free.minus(a.unreported[kind])
	}
	return free.orNone()
}

// grant lends an amount and returns the grant.
func (l *Ledger) grant(now time.Time, a *account, holder membership.InstanceID, kind Kind, amount Amount) Grant {
	l.next++
	g := Grant{
		ID:          GrantID{Epoch: l.epoch, Number: l.next},
		Executor:    a.executor.ID,
		Holder:      holder,
		Kind:        kind,
		Amount:      amount,
		Term:        l.terms.term(kind),
		MaxDuration: a.executor.MaxDuration,
	}
	l.account(now, a, g)
	return g
}

// account records a grant for its whole term from now.
func (l *Ledger) account(now time.Time, a *account, g Grant) {
	r := &record{grant: g, account: a}
	a.records = append(a.records, r)
	l.byID[g.ID] = r
	l.extend(now, r)
}

func (l *Ledger) extend(now time.Time, r *record) {
	r.until = now.Add(l.terms.wait(r.grant.Term + r.grant.MaxDuration))
}

// Renew extends grants of a holder and returns the ids of those extended. A grant
// that is over is not extended, nor one that is to be recalled before the holder has
// stopped to use it for new requests.
func (l *Ledger) Renew(now time.Time, holder membership.InstanceID, renewals []Renewal) []GrantID {
	var renewed []GrantID
	for _, renewal := range renewals {
		l.Return(holder, renewal.Keep)
		r := l.byID[renewal.ID]
		if r == nil || r.grant.Holder != holder || r.grant.Amount.isZero() || !now.Before(r.until) {
			continue
		}
		if !renewal.Recalled && (r.account.executor.Leaving || l.excess(now, r.account, r.grant)) {
			continue
		}
		l.extend(now, r)
		renewed = append(renewed, renewal.ID)
	}
	return renewed
}

// Return takes back all of a grant that its holder does not keep.
func (l *Ledger) Return(holder membership.InstanceID, keep Keep) {
	if r := l.byID[keep.ID]; r != nil && r.grant.Holder == holder {
		r.grant.Amount = r.grant.Amount.least(keep.Amount.orNone())
	}
}

// Restore takes in a holder's answer to the fence of this owner. Reported grants
// count as used from now for their whole term. It returns false when a report names
// more than an executor has, which means that an earlier owner or holder is faulty.
func (l *Ledger) Restore(now time.Time, report FenceReport) bool {
	sound := true
	for _, g := range report.Grants {
		a := l.accounts[g.Executor]
		if a == nil || l.byID[g.ID] != nil || g.ID.Epoch >= l.epoch {
			continue
		}
		g.Holder = report.Holder
		g.Term, g.MaxDuration = l.terms.term(g.Kind), a.executor.MaxDuration
		l.account(now, a, g)
		a.unreported[g.Kind] = a.unreported[g.Kind].minus(g.Amount).orNone()
		over := l.lent(now, a, g.Kind).minus(a.executor.half(g.Kind))
		sound = sound && over.Slots <= 0 && over.Connections <= 0
	}
	return sound
}
