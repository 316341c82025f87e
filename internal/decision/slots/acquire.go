package slots

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// Request asks for demand grants of a service's executors.
type Request struct {
	Holder  membership.InstanceID
	Service string
	// Want is the amount that the holder needs beyond its grants.
	Want Amount
	// Waiting is the number of requests queued at the holder.
	Waiting int
}

// serviceDemand holds the demand of all holders for a service.
type serviceDemand struct {
	demands map[membership.InstanceID]demand
}

// demand is the last request of a holder. It counts for one demand term.
type demand struct {
	waiting int
	at      time.Time
	// starved reports that the holder has no slots and the request got none.
	starved bool
}

func newServiceDemand() *serviceDemand {
	return &serviceDemand{demands: map[membership.InstanceID]demand{}}
}

// weight returns a holder's weight and the sum of all weights. A holder that sent a
// request within the term weighs one more than its number of waiting requests.
func (s *serviceDemand) weight(now time.Time, term time.Duration, holder membership.InstanceID) (int, int) {
	own, total := 0, 0
	for id, d := range s.demands {
		if now.Sub(d.at) > term {
			delete(s.demands, id)
			continue
		}
		total += d.waiting + 1
		if id == holder {
			own = d.waiting + 1
		}
	}
	return own, total
}

// Acquire grants what the request wants, up to the holder's weighted share of the
// service's capacity for demand grants. It examines MaxExecutorsPerCall executors,
// continuing where the last call stopped, and makes at most MaxGrantsPerCall grants.
func (a *Allocator) Acquire(now time.Time, r Request) []Grant {
	s := a.services[r.Service]
	if s == nil {
		return nil
	}
	s.demands[r.Holder] = demand{waiting: max(r.Waiting, 0), at: now}
	own, total := s.weight(now, a.config.DemandTerm, r.Holder)
	scanned := a.nextExecutors(r.Service)
	share := a.remainingShare(now, scanned, r.Holder, own, total)
	want := r.Want.minimum(share).clampToZero()
	starved := want.Slots > 0 && !a.holdsAnySlot(now, scanned, r.Holder)
	var grants []Grant
	for _, state := range scanned {
		amount := proportionalAmount(want, a.free(now, state, Demand))
		if amount.Slots == 0 || amount.Connections == 0 {
			continue
		}
		grants = append(grants, a.grant(now, state, r.Holder, Demand, amount))
		want = want.minus(amount)
		if len(grants) == a.config.MaxGrantsPerCall {
			break
		}
	}
	s.demands[r.Holder] = demand{waiting: max(r.Waiting, 0), at: now, starved: starved && len(grants) == 0}
	return grants
}

// holdsAnySlot reports whether a holder has a slot on any of the executors.
func (a *Allocator) holdsAnySlot(now time.Time, executors []*executorState, holder membership.InstanceID) bool {
	return slices.ContainsFunc(executors, func(state *executorState) bool {
		return a.heldAmount(now, state, holder, Demand).Slots > 0 || a.heldAmount(now, state, holder, Base).Slots > 0
	})
}

// proportionalAmount returns how much to grant of one executor's free amount.
// Connections are limited to the wanted ratio of connections to slots, so that one
// executor with many free connections doesn't use up the wanted ones.
func proportionalAmount(want, free Amount) Amount {
	amount := free.minimum(want)
	if amount.Slots > 0 {
		proportional := (want.Connections*amount.Slots + want.Slots - 1) / want.Slots
		amount.Connections = min(amount.Connections, proportional)
	}
	return amount
}

// nextExecutors returns the executors of a service among the next MaxExecutorsPerCall
// ones.
func (a *Allocator) nextExecutors(name string) []*executorState {
	var scanned []*executorState
	count := min(a.config.MaxExecutorsPerCall, len(a.executorOrder))
	for range count {
		a.scanPosition = (a.scanPosition + 1) % len(a.executorOrder)
		if state := a.executors[a.executorOrder[a.scanPosition]]; state.executor.Service == name {
			scanned = append(scanned, state)
		}
	}
	return scanned
}

// remainingShare returns how much a holder may get of the scanned executors beyond what
// it has: its weighted share, rounded up, minus its demand grants.
func (a *Allocator) remainingShare(now time.Time, scanned []*executorState, holder membership.InstanceID, own, totalWeight int) Amount {
	var total, held Amount
	for _, state := range scanned {
		if state.executor.Leaving {
			continue
		}
		total = total.plus(state.executor.capacityOf(Demand))
		held = held.plus(a.heldAmount(now, state, holder, Demand))
	}
	weighted := func(n int) int { return (n*own + totalWeight - 1) / max(totalWeight, 1) }
	share := Amount{weighted(total.Slots), weighted(total.Connections)}
	if starved := a.otherStarvedHolders(scanned, holder); starved > 0 {
		// The holder whose slot was recalled for a starved holder must not get it back.
		share = share.minimum(Amount{max(total.Slots-starved, 1), max(total.Connections-starved, 1)})
	}
	return share.minus(held).clampToZero()
}

// otherStarvedHolders returns the number of other holders that requested the executors'
// service and have no slots.
func (a *Allocator) otherStarvedHolders(executors []*executorState, holder membership.InstanceID) int {
	if len(executors) == 0 {
		return 0
	}
	return a.services[executors[0].executor.Service].otherStarvedHolders(holder)
}

func (s *serviceDemand) otherStarvedHolders(holder membership.InstanceID) (count int) {
	for id, d := range s.demands {
		if id != holder && d.starved {
			count++
		}
	}
	return count
}

// heldAmount returns what a holder has of an executor in grants of a kind.
func (a *Allocator) heldAmount(now time.Time, state *executorState, holder membership.InstanceID, kind Kind) Amount {
	var held Amount
	for _, r := range state.records {
		if r.grant.Holder == holder && r.grant.Kind == kind && now.Before(r.until) {
			held = held.plus(r.grant.Amount)
		}
	}
	return held
}

// AcquireBase grants a holder its share of the base capacity of the executors. members
// is the sorted member set of the availability zone, including the holder. Each call
// examines MaxExecutorsPerCall executors, so a holder repeats the call until all were
// examined.
func (a *Allocator) AcquireBase(now time.Time, holder membership.InstanceID, members []membership.InstanceID) []Grant {
	var grants []Grant
	for range min(a.config.MaxExecutorsPerCall, len(a.executorOrder)) {
		a.scanPosition = (a.scanPosition + 1) % len(a.executorOrder)
		state := a.executors[a.executorOrder[a.scanPosition]]
		missing := baseShare(state.executor, holder, members).minus(a.heldAmount(now, state, holder, Base)).clampToZero()
		amount := a.free(now, state, Base).minimum(missing)
		if amount.Slots == 0 && amount.Connections == 0 {
			continue
		}
		grants = append(grants, a.grant(now, state, holder, Base, amount))
		if len(grants) == a.config.MaxGrantsPerCall {
			break
		}
	}
	return grants
}

// baseShare returns a holder's share of the base capacity of an executor. The remainder
// of the division goes to members that differ between executors.
func baseShare(e Executor, holder membership.InstanceID, members []membership.InstanceID) Amount {
	capacity := e.capacityOf(Base)
	count := len(members)
	for i, id := range members {
		if id != holder {
			continue
		}
		position := int((xxhash.Sum64String(string(e.ID)) + uint64(i)) % uint64(count))
		shareOf := func(n int) int {
			if position < n%count {
				return n/count + 1
			}
			return n / count
		}
		return Amount{shareOf(capacity.Slots), shareOf(capacity.Connections)}
	}
	return Amount{}
}

// exceedsShare reports whether the holder of a demand grant has too much of the executor
// while other holders have requests waiting: more than one slot above its weighted share,
// or the whole demand capacity while another holder has no slots.
func (a *Allocator) exceedsShare(now time.Time, state *executorState, g Grant) bool {
	s := a.services[state.executor.Service]
	if g.Kind != Demand {
		return false
	}
	own, total := s.weight(now, a.config.DemandTerm, g.Holder)
	if !s.othersWaiting(g.Holder) {
		return false
	}
	capacity, held := state.executor.capacityOf(Demand).Slots, a.heldAmount(now, state, g.Holder, Demand).Slots
	if capacity > 1 && held >= capacity && s.otherStarvedHolders(g.Holder) > 0 {
		// A holder without slots refuses requests, so few are waiting there. Its weight
		// alone would never get it a first slot.
		return true
	}
	return held*max(total, 1) > capacity*own+total
}

// othersWaiting reports whether another holder has requests waiting.
func (s *serviceDemand) othersWaiting(holder membership.InstanceID) bool {
	for id, d := range s.demands {
		if id != holder && d.waiting > 0 {
			return true
		}
	}
	return false
}

// GrantsToRecall returns at most MaxGrantsPerCall grants to recall: those on leaving
// executors, base grants beyond their holder's share, and demand grants whose holder
// has more than its share while others wait.
func (a *Allocator) GrantsToRecall(now time.Time, members []membership.InstanceID) []Grant {
	var recalls []Grant
	for range min(a.config.MaxExecutorsPerCall, len(a.executorOrder)) {
		a.scanPosition = (a.scanPosition + 1) % len(a.executorOrder)
		state := a.executors[a.executorOrder[a.scanPosition]]
		for _, r := range state.records {
			if len(recalls) == a.config.MaxGrantsPerCall {
				return recalls
			}
			if a.shouldRecall(now, state, r.grant, members) {
				recalls = append(recalls, r.grant)
			}
		}
	}
	return recalls
}

// shouldRecall reports whether a grant is to be recalled.
func (a *Allocator) shouldRecall(now time.Time, state *executorState, g Grant, members []membership.InstanceID) bool {
	if state.executor.Leaving || a.exceedsShare(now, state, g) {
		return true
	}
	excess := a.heldAmount(now, state, g.Holder, Base).minus(baseShare(state.executor, g.Holder, members))
	return g.Kind == Base && (excess.Slots > 0 || excess.Connections > 0)
}
