package slots

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// Request asks for demand grants of a service.
type Request struct {
	Holder  membership.InstanceID
	Service string
	// Want is what the holder lacks beyond its grants.
	Want Amount
	// Waiting is the number of requests that wait at the holder.
	Waiting int
}

// service is what the owner knows of the demand for a service.
type service struct {
	demands map[membership.InstanceID]demand
}

// demand is the last request of a holder; it counts for one grant term.
type demand struct {
	waiting int
	at      time.Time
	// starved reports that the holder has no slots and got none.
	starved bool
}

func newService() *service {
	return &service{demands: map[membership.InstanceID]demand{}}
}

// weight returns a holder's weight and the sum of all weights. A holder that asked
// within a grant term weighs one more than the requests that wait at it.
func (s *service) weight(now time.Time, term time.Duration, holder membership.InstanceID) (int, int) {
	own, all := 0, 0
	for id, d := range s.demands {
		if now.Sub(d.at) > term {
			delete(s.demands, id)
			continue
		}
		all += d.waiting + 1
		if id == holder {
			own = d.waiting + 1
		}
	}
	return own, all
}

// Acquire grants what the request wants, up to the holder's weighted share of what
// the service has to lend on demand. It looks at MaxScan executors, beginning where
// the last call ended, and makes at most MaxGrants grants.
func (l *Ledger) Acquire(now time.Time, r Request) []Grant {
	s := l.services[r.Service]
	if s == nil {
		return nil
	}
	s.demands[r.Holder] = demand{waiting: max(r.Waiting, 0), at: now}
	own, all := s.weight(now, l.terms.Grant, r.Holder)
	scanned := l.scan(r.Service)
	share := l.share(now, scanned, r.Holder, own, all)
	want := r.Want.least(share).orNone()
	starved := want.Slots > 0 && !l.holdsAny(now, scanned, r.Holder)
	var grants []Grant
	for _, a := range scanned {
		amount := portion(want, l.free(now, a, Demand))
		if amount.Slots == 0 || amount.Connections == 0 {
			continue
		}
		grants = append(grants, l.grant(now, a, r.Holder, Demand, amount))
		want = want.minus(amount)
		if len(grants) == l.terms.MaxGrants {
			break
		}
	}
	s.demands[r.Holder] = demand{waiting: max(r.Waiting, 0), at: now, starved: starved && len(grants) == 0}
	return grants
}

// holdsAny reports whether a holder has a slot of the executors.
func (l *Ledger) holdsAny(now time.Time, executors []*account, holder membership.InstanceID) bool {
	return slices.ContainsFunc(executors, func(a *account) bool {
		return l.heldBy(now, a, holder, Demand).Slots > 0 || l.heldBy(now, a, holder, Base).Slots > 0
	})
}

// portion returns what to take of the free part of one executor. Connections go with
// the slots in the proportion that is wanted, so that one executor's many free
// connections do not use up the want.
func portion(want, free Amount) Amount {
	amount := free.least(want)
	if amount.Slots > 0 {
		proportional := (want.Connections*amount.Slots + want.Slots - 1) / want.Slots
		amount.Connections = min(amount.Connections, proportional)
	}
	return amount
}

// scan returns the next executors of a service, at most MaxScan looked at.
func (l *Ledger) scan(name string) []*account {
	var scanned []*account
	looked := min(l.terms.MaxScan, len(l.order))
	for range looked {
		l.cursor = (l.cursor + 1) % len(l.order)
		if a := l.accounts[l.order[l.cursor]]; a.executor.Service == name {
			scanned = append(scanned, a)
		}
	}
	return scanned
}

// share returns what a holder may get of the scanned executors beyond what it has of
// them: its weighted part, rounded up.
func (l *Ledger) share(now time.Time, scanned []*account, holder membership.InstanceID, own, all int) Amount {
	var total, held Amount
	for _, a := range scanned {
		if a.executor.Leaving {
			continue
		}
		total = total.plus(a.executor.half(Demand))
		held = held.plus(l.heldBy(now, a, holder, Demand))
	}
	part := func(n int) int { return (n*own + all - 1) / max(all, 1) }
	share := Amount{part(total.Slots), part(total.Connections)}
	if starved := l.starvedBesides(scanned, holder); starved > 0 {
		// What is taken back for others must not return to the holder that gave it.
		share = share.least(Amount{max(total.Slots-starved, 1), max(total.Connections-starved, 1)})
	}
	return share.minus(held).orNone()
}

// starvedBesides returns the number of other holders that ask for the service of the
// executors and have no slots.
func (l *Ledger) starvedBesides(executors []*account, holder membership.InstanceID) int {
	if len(executors) == 0 {
		return 0
	}
	return l.services[executors[0].executor.Service].starvedBesides(holder)
}

func (s *service) starvedBesides(holder membership.InstanceID) (count int) {
	for id, d := range s.demands {
		if id != holder && d.starved {
			count++
		}
	}
	return count
}

// heldBy returns what a holder has of an executor as a kind.
func (l *Ledger) heldBy(now time.Time, a *account, holder membership.InstanceID, kind Kind) Amount {
	var held Amount
	for _, r := range a.records {
		if r.grant.Holder == holder && r.grant.Kind == kind && now.Before(r.until) {
			held = held.plus(r.grant.Amount)
		}
	}
	return held
}

// AcquireBase grants a holder its part of the base half of the executors. members
// is the sorted member set of the availability zone, the holder included. Each call
// looks at MaxScan executors, so a holder calls until it has looked at all.
func (l *Ledger) AcquireBase(now time.Time, holder membership.InstanceID, members []membership.InstanceID) []Grant {
	var grants []Grant
	for range min(l.terms.MaxScan, len(l.order)) {
		l.cursor = (l.cursor + 1) % len(l.order)
		a := l.accounts[l.order[l.cursor]]
		lacks := basePart(a.executor, holder, members).minus(l.heldBy(now, a, holder, Base)).orNone()
		amount := l.free(now, a, Base).least(lacks)
		if amount.Slots == 0 && amount.Connections == 0 {
			continue
		}
		grants = append(grants, l.grant(now, a, holder, Base, amount))
		if len(grants) == l.terms.MaxGrants {
			break
		}
	}
	return grants
}

// basePart returns a holder's part of the base half of an executor. What does not
// divide evenly goes to members that differ from executor to executor.
func basePart(e Executor, holder membership.InstanceID, members []membership.InstanceID) Amount {
	half := e.half(Base)
	count := len(members)
	for i, id := range members {
		if id != holder {
			continue
		}
		turn := int((xxhash.Sum64String(string(e.ID)) + uint64(i)) % uint64(count))
		part := func(n int) int {
			if turn < n%count {
				return n/count + 1
			}
			return n / count
		}
		return Amount{part(half.Slots), part(half.Connections)}
	}
	return Amount{}
}

// excess reports whether a demand grant should shrink, because its holder has more
// than its weighted part of the executor while another holder's requests wait, or all
// that is lent while another holder has no slots.
func (l *Ledger) excess(now time.Time, a *account, g Grant) bool {
	s := l.services[a.executor.Service]
	if g.Kind != Demand {
		return false
	}
	own, all := s.weight(now, l.terms.Grant, g.Holder)
	if !s.othersWait(g.Holder) {
		return false
	}
	half, held := a.executor.half(Demand).Slots, l.heldBy(now, a, g.Holder, Demand).Slots
	if half > 1 && held >= half && s.starvedBesides(g.Holder) > 0 {
		// A holder without slots refuses requests and so has few that wait. By its weight
		// alone it would never get its first slot.
		return true
	}
	return held*max(all, 1) > half*own+all
}

func (s *service) othersWait(holder membership.InstanceID) bool {
	for id, d := range s.demands {
		if id != holder && d.waiting > 0 {
			return true
		}
	}
	return false
}

// Recalls returns grants to take back early, at most MaxGrants: those of leaving
// executors, of base grants beyond their holder's part, and of demand grants whose
// holder has more than its share while others wait.
func (l *Ledger) Recalls(now time.Time, members []membership.InstanceID) []Grant {
	var recalls []Grant
	for range min(l.terms.MaxScan, len(l.order)) {
		l.cursor = (l.cursor + 1) % len(l.order)
		a := l.accounts[l.order[l.cursor]]
		for _, r := range a.records {
			if len(recalls) == l.terms.MaxGrants {
				return recalls
			}
			if l.recalled(now, a, r.grant, members) {
				recalls = append(recalls, r.grant)
			}
		}
	}
	return recalls
}

func (l *Ledger) recalled(now time.Time, a *account, g Grant, members []membership.InstanceID) bool {
	if a.executor.Leaving || l.excess(now, a, g) {
		return true
	}
	over := l.heldBy(now, a, g.Holder, Base).minus(basePart(a.executor, g.Holder, members))
	return g.Kind == Base && (over.Slots > 0 || over.Connections > 0)
}
