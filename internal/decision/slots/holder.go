package slots

import (
	"cmp"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// ErrStaleEpoch reports a message of an owner that was superseded. Nothing changed.
var ErrStaleEpoch = errors.New("slots: the epoch is superseded")

// holding is a grant in the holder's hand.
type holding struct {
	grant    Grant
	expiry   time.Time
	used     Amount
	recalled bool
}

// isFresh reports whether the grant needs no renewal yet.
func (held *holding) isFresh(now time.Time) bool {
	left := held.expiry.Sub(now)
	return held.grant.Kind == Base && !held.recalled && left > held.grant.Term/10*baseRenewal
}

// Use is one request or feed that runs under a grant.
type Use struct {
	Executor membership.InstanceID
	Feed     bool
	Started  time.Time

	holding *holding
	slot    bool
	// abandoned reports that the holder gave up on the request while the executor may
	// still be working.
	abandoned bool
}

// Holder is the share of one entry instance in the executors of one shard.
type Holder struct {
	self     membership.InstanceID
	epoch    worker.Epoch
	holdings map[membership.InstanceID][]*holding
	byID     map[GrantID]*holding
	uses     map[*Use]struct{}
}

// NewHolder returns the empty share of an entry instance.
func NewHolder(self membership.InstanceID) *Holder {
	return &Holder{
		self:     self,
		holdings: map[membership.InstanceID][]*holding{},
		byID:     map[GrantID]*holding{},
		uses:     map[*Use]struct{}{},
	}
}

// Granted takes in grants of the owner at an epoch that answer a request sent at a
// time. A lower epoch than one seen before is refused with ErrStaleEpoch.
func (h *Holder) Granted(sent time.Time, epoch worker.Epoch, grants []Grant) error {
	if epoch < h.epoch {
		return ErrStaleEpoch
	}
	h.epoch = epoch
	for _, g := range grants {
		if g.Holder != h.self || h.byID[g.ID] != nil {
			continue
		}
		held := &holding{grant: g, expiry: sent.Add(g.Term)}
		h.byID[g.ID] = held
		h.holdings[g.Executor] = append(h.holdings[g.Executor], held)
		slices.SortFunc(h.holdings[g.Executor], func(a, b *holding) int { return cmp.Compare(a.grant.Kind, b.grant.Kind) })
	}
	return nil
}

// Renewed takes in that grants were renewed by a request sent at a time.
func (h *Holder) Renewed(sent time.Time, epoch worker.Epoch, ids []GrantID) error {
	if epoch < h.epoch {
		return ErrStaleEpoch
	}
	h.epoch = epoch
	for _, id := range ids {
		held := h.byID[id]
		if held == nil {
			continue
		}
		if expiry := sent.Add(held.grant.Term); expiry.After(held.expiry) {
			held.expiry = expiry
		}
	}
	return nil
}

// Fence takes in that a new owner has an epoch, refuses lower ones from then on and
// returns what this instance holds.
func (h *Holder) Fence(now time.Time, epoch worker.Epoch) (FenceReport, error) {
	if epoch < h.epoch {
		return FenceReport{}, ErrStaleEpoch
	}
	h.epoch = epoch
	h.sweep(now)
	report := FenceReport{Holder: h.self}
	for _, held := range h.sorted() {
		if !now.Before(held.expiry) {
			// A later renewal must not bring back more than the owner was told.
			h.shrink(held, held.used)
		}
		report.Grants = append(report.Grants, held.grant)
	}
	return report, nil
}

// Take starts a request or a feed on the first of the candidates for which this
// instance holds a free slot and a free connection under a grant that has not
// expired. Base grants are used first, so that demand grants can be returned. The
// caller takes right before the first byte is sent.
func (h *Holder) Take(now time.Time, candidates []membership.InstanceID, feed bool) (*Use, bool) {
	for _, id := range candidates {
		for _, held := range h.holdings[id] {
			free := held.grant.Amount.minus(held.used)
			if held.recalled || !now.Before(held.expiry) || free.Slots < 1 || free.Connections < 1 {
				continue
			}
			held.used = held.used.plus(Amount{1, 1})
			use := &Use{Executor: id, Feed: feed, Started: now, holding: held, slot: true}
			h.uses[use] = struct{}{}
			return use, true
		}
	}
	return nil, false
}

// Free returns what can be started on an executor now: pairs of a slot and a connection
// under the same grant. A slot under one grant and a connection under another start
// nothing.
func (h *Holder) Free(now time.Time, executor membership.InstanceID) Amount {
	var free Amount
	for _, held := range h.holdings[executor] {
		if !held.recalled && now.Before(held.expiry) {
			free = free.plus(held.pairs())
		}
	}
	return free
}

// pairs returns the free slots and connections that can be used together.
func (held *holding) pairs() Amount {
	free := held.grant.Amount.minus(held.used).orNone()
	n := min(free.Slots, free.Connections)
	return Amount{n, n}
}

// TrimUnpaired gives back what demand grants have of free slots without connections and
// the reverse, such as the slot of a feed. The next Renewals tell the owner.
func (h *Holder) TrimUnpaired() {
	for _, held := range h.byID {
		if held.grant.Kind == Demand {
			h.shrink(held, held.used.plus(held.pairs()))
		}
	}
}

// FirstByte frees the slot of a feed; the feed keeps its connection.
func (h *Holder) FirstByte(use *Use) {
	if _, open := h.uses[use]; open && use.Feed && use.slot {
		use.slot = false
		use.holding.used.Slots--
	}
}

// Put ends a request or feed whose answer is complete.
func (h *Holder) Put(use *Use) {
	if _, open := h.uses[use]; !open {
		return
	}
	delete(h.uses, use)
	use.holding.used.Connections--
	if use.slot {
		use.holding.used.Slots--
	}
}

// Abandon ends the wait for a request whose executor may still be working. Its slot
// and connection stay used until the longest request is over.
func (h *Holder) Abandon(use *Use) {
	use.abandoned = true
}

// Tick drops grants that are over and returns the requests and feeds that must be
// ended now: requests that have run for the longest duration, and feeds whose grant
// expired that long ago. The caller ends each and then calls Put.
func (h *Holder) Tick(now time.Time) []*Use {
	h.sweep(now)
	var overdue []*Use
	for use := range h.uses {
		if !now.Before(use.deadline()) {
			overdue = append(overdue, use)
		}
	}
	return overdue
}

// deadline returns when a use must have ended.
func (u *Use) deadline() time.Time {
	if u.Feed {
		return u.holding.expiry.Add(u.holding.grant.MaxDuration)
	}
	return u.Started.Add(u.holding.grant.MaxDuration)
}

// sweep ends abandoned requests that are over and drops grants that are expired and
// unused.
func (h *Holder) sweep(now time.Time) {
	for use := range h.uses {
		if use.abandoned && !now.Before(use.deadline()) {
			h.Put(use)
		}
	}
	for id, held := range h.byID {
		if now.Before(held.expiry) || !held.used.isZero() {
			continue
		}
		delete(h.byID, id)
		executor := held.grant.Executor
		h.holdings[executor] = slices.DeleteFunc(h.holdings[executor], func(other *holding) bool { return other == held })
		if len(h.holdings[executor]) == 0 {
			delete(h.holdings, executor)
		}
	}
}

// baseRenewal is the part of a base grant's term, in tenths, that is left when it is
// renewed. A base grant in each executor of a zone, renewed each second, would be most
// of what an entry instance sends.
const baseRenewal = 9

// Renewals returns the grants to renew: those in use, and those neither expired nor
// recalled. Recalled grants are renewed for what is in use, such as feeds. Base grants
// wait until a tenth of their term has passed.
func (h *Holder) Renewals(now time.Time) []Renewal {
	var renewals []Renewal
	for _, held := range h.sorted() {
		if held.recalled {
			h.shrink(held, held.used)
		}
		if held.isFresh(now) {
			continue
		}
		if !held.used.isZero() || (!held.recalled && now.Before(held.expiry)) {
			keep := Keep{ID: held.grant.ID, Amount: held.grant.Amount}
			renewals = append(renewals, Renewal{Keep: keep, Recalled: held.recalled})
		}
	}
	return renewals
}

// Recall stops new requests under a grant and returns what the holder keeps, which
// is what is in use. It returns false for a grant that it does not have, because the
// message that brings the grant may still arrive.
func (h *Holder) Recall(id GrantID) (Keep, bool) {
	held := h.byID[id]
	if held == nil {
		return Keep{}, false
	}
	held.recalled = true
	return h.shrink(held, held.used), true
}

// ReturnUnused gives back the free part of a grant beyond spare and returns what is
// kept; false for a grant that it does not have.
func (h *Holder) ReturnUnused(id GrantID, spare Amount) (Keep, bool) {
	held := h.byID[id]
	if held == nil {
		return Keep{}, false
	}
	return h.shrink(held, held.used.plus(spare)), true
}

// sorted returns the holdings in the order in which they were granted.
func (h *Holder) sorted() []*holding {
	return slices.SortedFunc(maps.Values(h.byID), func(a, b *holding) int {
		if byEpoch := cmp.Compare(a.grant.ID.Epoch, b.grant.ID.Epoch); byEpoch != 0 {
			return byEpoch
		}
		return cmp.Compare(a.grant.ID.Number, b.grant.ID.Number)
	})
}

// shrink lowers a grant before the owner hears of it.
func (h *Holder) shrink(held *holding, keep Amount) Keep {
	held.grant.Amount = held.grant.Amount.least(keep)
	return Keep{ID: held.grant.ID, Amount: held.grant.Amount}
}

// ExpiredFeeds returns the feeds whose grant has expired. They must end before the
// longest request of the service has passed, when the owner lends their connection
// again.
func (h *Holder) ExpiredFeeds(now time.Time) []*Use {
	var expired []*Use
	for use := range h.uses {
		if use.Feed && !use.abandoned && !now.Before(use.holding.expiry) {
			expired = append(expired, use)
		}
	}
	return expired
}

// TrimDemand gives back the free part of all demand grants beyond spare. The next
// Renewals tell the owner.
func (h *Holder) TrimDemand(spare Amount) {
	for _, held := range h.byID {
		if held.grant.Kind == Demand {
			h.shrink(held, held.used.plus(spare))
		}
	}
}

// ReturnAll stops new requests under every grant and returns what to tell the owner.
func (h *Holder) ReturnAll() []Renewal {
	var returns []Renewal
	for _, held := range h.sorted() {
		held.recalled = true
		returns = append(returns, Renewal{Keep: h.shrink(held, held.used), Recalled: true})
	}
	return returns
}
