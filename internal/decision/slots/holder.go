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

// ErrStaleEpoch reports a message of a superseded owner, which changed nothing.
var ErrStaleEpoch = errors.New("slots: the epoch is superseded")

// heldGrant is a grant of this holder with its use.
type heldGrant struct {
	grant    Grant
	expiry   time.Time
	used     Amount
	recalled bool
}

// skipsRenewal reports whether the grant is a base grant that needs no renewal yet.
func (held *heldGrant) skipsRenewal(now time.Time) bool {
	remaining := held.expiry.Sub(now)
	return held.grant.Kind == Base && !held.recalled && remaining > held.grant.Term/10*baseRenewalTenths
}

// Use is one request or feed that runs under a grant.
type Use struct {
	Executor membership.InstanceID
	Feed     bool
	Started  time.Time

	held *heldGrant
	// usesSlot reports that the use still occupies a slot.
	usesSlot bool
	// abandoned reports that the caller no longer waits for the request, although the
	// executor may still be working on it.
	abandoned bool
}

// Holder manages one entry instance's grants of the executors of one shard.
type Holder struct {
	self       membership.InstanceID
	epoch      worker.Epoch
	byExecutor map[membership.InstanceID][]*heldGrant
	byID       map[GrantID]*heldGrant
	uses       map[*Use]struct{}
}

// NewHolder returns the holder of an entry instance, without grants.
func NewHolder(self membership.InstanceID) *Holder {
	return &Holder{
		self:       self,
		byExecutor: map[membership.InstanceID][]*heldGrant{},
		byID:       map[GrantID]*heldGrant{},
		uses:       map[*Use]struct{}{},
	}
}

// AddGrants adds grants that the owner at the given epoch made in answer to a request
// sent at the given time. It returns ErrStaleEpoch if the epoch is lower than one seen
// before.
func (h *Holder) AddGrants(sent time.Time, epoch worker.Epoch, grants []Grant) error {
	if epoch < h.epoch {
		return ErrStaleEpoch
	}
	h.epoch = epoch
	for _, g := range grants {
		if g.Holder != h.self || h.byID[g.ID] != nil {
			continue
		}
		held := &heldGrant{grant: g, expiry: sent.Add(g.Term)}
		h.byID[g.ID] = held
		h.byExecutor[g.Executor] = append(h.byExecutor[g.Executor], held)
		slices.SortFunc(h.byExecutor[g.Executor], func(a, b *heldGrant) int { return cmp.Compare(a.grant.Kind, b.grant.Kind) })
	}
	return nil
}

// ExtendGrants extends grants that the owner renewed in answer to a request sent at the
// given time.
func (h *Holder) ExtendGrants(sent time.Time, epoch worker.Epoch, ids []GrantID) error {
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

// Fence raises the epoch to that of a new owner, so that messages of earlier owners are
// refused from then on, and reports the grants of this instance.
func (h *Holder) Fence(now time.Time, epoch worker.Epoch) (FenceReport, error) {
	if epoch < h.epoch {
		return FenceReport{}, ErrStaleEpoch
	}
	h.epoch = epoch
	h.removeExpired(now)
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

// Acquire starts a request or a feed on the first candidate for which this instance has a
// free slot and a free connection under the same unexpired grant. It uses base grants
// first, so that demand grants can be returned. Call it right before sending the first
// byte.
func (h *Holder) Acquire(now time.Time, candidates []membership.InstanceID, feed bool) (*Use, bool) {
	for _, id := range candidates {
		for _, held := range h.byExecutor[id] {
			free := held.grant.Amount.minus(held.used)
			if held.recalled || !now.Before(held.expiry) || free.Slots < 1 || free.Connections < 1 {
				continue
			}
			held.used = held.used.plus(Amount{1, 1})
			use := &Use{Executor: id, Feed: feed, Started: now, held: held, usesSlot: true}
			h.uses[use] = struct{}{}
			return use, true
		}
	}
	return nil, false
}

// Free returns how much can be started on an executor now: pairs of a slot and a
// connection under the same grant. A slot under one grant and a connection under
// another can't be combined.
func (h *Holder) Free(now time.Time, executor membership.InstanceID) Amount {
	var free Amount
	for _, held := range h.byExecutor[executor] {
		if !held.recalled && now.Before(held.expiry) {
			free = free.plus(held.freePairs())
		}
	}
	return free
}

// freePairs returns the free slots and connections that can be used together, in equal
// numbers.
func (held *heldGrant) freePairs() Amount {
	free := held.grant.Amount.minus(held.used).clampToZero()
	pairs := min(free.Slots, free.Connections)
	return Amount{pairs, pairs}
}

// TrimUnpaired gives back free slots without a free connection, and free connections
// without a free slot, of demand grants. Feeds cause the latter, as they keep only
// their connection. The owner learns of it from the next Renewals.
func (h *Holder) TrimUnpaired() {
	for _, held := range h.byID {
		if held.grant.Kind == Demand {
			h.shrink(held, held.used.plus(held.freePairs()))
		}
	}
}

// ReleaseFeedSlot frees the slot of a feed after its first byte; the feed keeps its
// connection.
func (h *Holder) ReleaseFeedSlot(use *Use) {
	if _, open := h.uses[use]; open && use.Feed && use.usesSlot {
		use.usesSlot = false
		use.held.used.Slots--
	}
}

// Release ends a request or feed whose response is complete and frees its slot and
// connection.
func (h *Holder) Release(use *Use) {
	if _, open := h.uses[use]; !open {
		return
	}
	delete(h.uses, use)
	use.held.used.Connections--
	if use.usesSlot {
		use.held.used.Slots--
	}
}

// Abandon marks a request whose caller no longer waits while the executor may still be
// working. Its slot and connection stay in use until the longest allowed duration of a
// request has passed.
func (h *Holder) Abandon(use *Use) {
	use.abandoned = true
}

// Tick removes expired grants and returns the requests and feeds that must end now:
// requests that have run for the longest allowed duration, and feeds whose grant
// expired that long ago. The caller ends each of them and then calls Release.
func (h *Holder) Tick(now time.Time) []*Use {
	h.removeExpired(now)
	var overdue []*Use
	for use := range h.uses {
		if !now.Before(use.deadline()) {
			overdue = append(overdue, use)
		}
	}
	return overdue
}

// deadline returns the time by which the use must have ended.
func (u *Use) deadline() time.Time {
	if u.Feed {
		return u.held.expiry.Add(u.held.grant.MaxDuration)
	}
	return u.Started.Add(u.held.grant.MaxDuration)
}

// removeExpired ends abandoned requests that are past their deadline and removes
// expired grants that are not in use.
func (h *Holder) removeExpired(now time.Time) {
	for use := range h.uses {
		if use.abandoned && !now.Before(use.deadline()) {
			h.Release(use)
		}
	}
	for id, held := range h.byID {
		if now.Before(held.expiry) || !held.used.isZero() {
			continue
		}
		delete(h.byID, id)
		executor := held.grant.Executor
		h.byExecutor[executor] = slices.DeleteFunc(h.byExecutor[executor], func(other *heldGrant) bool { return other == held })
		if len(h.byExecutor[executor]) == 0 {
			delete(h.byExecutor, executor)
		}
	}
}

// baseRenewalTenths is the remaining part of a base grant's term, in tenths, at which
// it is renewed. If an entry instance renewed its base grant in each executor of a zone
// every second, the renewals would be most of its traffic.
const baseRenewalTenths = 9

// Renewals returns the grants to renew: those in use, and those neither expired nor
// recalled. Recalled grants are renewed only for what is in use, such as feeds. Base
// grants are renewed once a tenth of their term has passed.
func (h *Holder) Renewals(now time.Time) []Renewal {
	var renewals []Renewal
	for _, held := range h.sorted() {
		if held.recalled {
			h.shrink(held, held.used)
		}
		if held.skipsRenewal(now) {
			continue
		}
		if !held.used.isZero() || (!held.recalled && now.Before(held.expiry)) {
			keep := KeptAmount{ID: held.grant.ID, Amount: held.grant.Amount}
			renewals = append(renewals, Renewal{KeptAmount: keep, Recalled: held.recalled})
		}
	}
	return renewals
}

// Recall stops new requests under a grant and returns what the holder keeps, which is
// the amount in use. It returns false for an unknown grant; the message that adds the
// grant may still arrive.
func (h *Holder) Recall(id GrantID) (KeptAmount, bool) {
	held := h.byID[id]
	if held == nil {
		return KeptAmount{}, false
	}
	held.recalled = true
	return h.shrink(held, held.used), true
}

// ReturnUnused gives back the free part of a grant beyond spare and returns what the
// holder keeps. It returns false for an unknown grant.
func (h *Holder) ReturnUnused(id GrantID, spare Amount) (KeptAmount, bool) {
	held := h.byID[id]
	if held == nil {
		return KeptAmount{}, false
	}
	return h.shrink(held, held.used.plus(spare)), true
}

// sorted returns the grants in the order in which they were made.
func (h *Holder) sorted() []*heldGrant {
	return slices.SortedFunc(maps.Values(h.byID), func(a, b *heldGrant) int {
		if byEpoch := cmp.Compare(a.grant.ID.Epoch, b.grant.ID.Epoch); byEpoch != 0 {
			return byEpoch
		}
		return cmp.Compare(a.grant.ID.Number, b.grant.ID.Number)
	})
}

// shrink lowers the amount of a grant locally. The owner learns of it from the returned
// KeptAmount or the next renewal.
func (h *Holder) shrink(held *heldGrant, keep Amount) KeptAmount {
	held.grant.Amount = held.grant.Amount.minimum(keep)
	return KeptAmount{ID: held.grant.ID, Amount: held.grant.Amount}
}

// ExpiredFeeds returns the feeds whose grant has expired. They must end within the
// longest allowed duration of a request, after which the owner grants their connections
// to others.
func (h *Holder) ExpiredFeeds(now time.Time) []*Use {
	var expired []*Use
	for use := range h.uses {
		if use.Feed && !use.abandoned && !now.Before(use.held.expiry) {
			expired = append(expired, use)
		}
	}
	return expired
}

// TrimDemand gives back the free part of all demand grants beyond spare. The owner
// learns of it from the next Renewals.
func (h *Holder) TrimDemand(spare Amount) {
	for _, held := range h.byID {
		if held.grant.Kind == Demand {
			h.shrink(held, held.used.plus(spare))
		}
	}
}

// ReturnAll stops new requests under every grant and returns the renewals that tell the
// owner what this instance keeps.
func (h *Holder) ReturnAll() []Renewal {
	var returns []Renewal
	for _, held := range h.sorted() {
		held.recalled = true
		returns = append(returns, Renewal{KeptAmount: h.shrink(held, held.used), Recalled: true})
	}
	return returns
}
