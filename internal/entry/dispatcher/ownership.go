package dispatcher

import (
	"context"
	"errors"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/balance"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/table"
)

const (
	// helloInterval is the time between two hello calls to the owner.
	helloInterval = 250 * time.Millisecond
	// nonWatcherTicks is the number of intervals between two hello calls of an instance
	// that isn't one of the watchers of the shard.
	nonWatcherTicks = 4
	// watcherCount is the number of instances that check the owner of a shard at every
	// interval, so that a failed owner is replaced soon. If all instances did so, the cost
	// for each would grow with the number of shards.
	watcherCount = 5
	// helloTimeout limits a hello call.
	helloTimeout = 400 * time.Millisecond
	// ownerSilentAfter is the time without an answer from the owner after which its row is
	// read.
	ownerSilentAfter = 500 * time.Millisecond
	// rowStaleAfter is how long the row of an owner that doesn't answer must stay
	// unchanged before the owner is replaced. The owner writes the row at least every
	// heartbeatInterval.
	rowStaleAfter = time.Second
	// latencyDelayFactor is multiplied by the latency of the store to get the delay before
	// a claim, so that the instance closest to the store claims first.
	latencyDelayFactor = 8
	// maxLatencyDelay limits that delay.
	maxLatencyDelay = 300 * time.Millisecond
	// storeTimeout limits one call to the store.
	storeTimeout = 1500 * time.Millisecond
)

// ownerView is what an instance knows about a shard's owner.
type ownerView struct {
	owner ownerRow
	// answeredAt is when the owner last answered, or when this instance learned of it.
	answeredAt time.Time
	// answeredSequence is the sequence number of the owner's row in its last answer.
	answeredSequence int64
	// storeLost reports that the owner had lost access to the store at its last answer.
	storeLost bool
	// hasAnswered reports that the owner has answered this instance. The owner then knows
	// this instance and needs its confirmation to act without the store.
	hasAnswered bool
	// confirmedAt is when this instance last told the owner that it can't claim the shard.
	confirmedAt time.Time
	// load is the load of the shard that the owner last reported.
	load balance.Load
	// row is the owner's row as last read, and rowSince is the time since which it is
	// known to be unchanged.
	row      table.Row
	rowSince time.Time
}

// lastAuthorityAt returns the last time at which the owner can have confirmed its
// ownership, either by a transaction, which would have changed its row, or by a
// confirmation from this instance. It returns the zero time if that is unknown.
func (v *ownerView) lastAuthorityAt() time.Time {
	switch {
	case !v.hasAnswered || v.rowSince.IsZero():
		return time.Time{}
	case v.confirmedAt.After(v.rowSince):
		return v.confirmedAt
	}
	return v.rowSince
}

// rowUnchangedSince returns the time since which the owner's row, read now, is known to
// be unchanged. That is the time of the owner's last answer if the answer contained the
// same row.
func (v *ownerView) rowUnchangedSince(now time.Time, stored ownerRow) time.Time {
	if v.hasAnswered && stored.Epoch == v.owner.Epoch && stored.Sequence == v.answeredSequence {
		return v.answeredAt
	}
	return now
}

// monitorOwner checks the owner regularly, and claims the shard when it has none.
func (s *shard) monitorOwner(ctx context.Context) error {
	ticker := s.node.Clock.NewTicker(helloInterval)
	defer ticker.Stop()
	for tick := 0; ; tick++ {
		if s.owned.Load() == nil && (tick%nonWatcherTicks == 0 || s.checksEveryTick()) {
			s.checkOwner(ctx)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.checkOwnerNow:
			tick = -1
		case <-ticker.Chan():
		}
	}
}

// checkOwnerSoon triggers an immediate check of the owner.
func (s *shard) checkOwnerSoon() {
	select {
	case s.checkOwnerNow <- struct{}{}:
	default:
	}
}

// checkOwner calls the owner, or asks other instances if it doesn't answer. It tries to
// claim the shard if the owner is silent, has released the shard or can't reach the
// store.
func (s *shard) checkOwner(ctx context.Context) {
	if s.isSilent(s.currentView()) && s.mayClaim() && s.claimIfVacant(ctx) {
		return
	}
	current := s.currentView()
	reachable := current.owner.Address != "" && !current.owner.Released && current.owner.Node != s.node.Name
	if !current.owner.Released && (!reachable || !s.helloOwner(ctx, current.owner)) {
		s.askPeers(ctx)
	}
	if s.needsOwner() && s.mayClaim() {
		s.claimIfVacant(ctx)
	}
}

// needsOwner reports whether the shard may need another owner.
func (s *shard) needsOwner() bool {
	current := s.currentView()
	return s.isSilent(current) || current.storeLost || current.owner.Released
}

// isSilent reports whether the owner hasn't answered for ownerSilentAfter.
func (s *shard) isSilent(v ownerView) bool {
	return s.node.Clock.Now().Sub(v.answeredAt) > ownerSilentAfter
}

func (s *shard) currentView() ownerView {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.view
}

// helloOwner calls the owner and reports whether it answered as the owner.
func (s *shard) helloOwner(ctx context.Context, row ownerRow) bool {
	answer, err := s.hello(ctx, row.Address)
	if err != nil {
		s.node.Counters.Add("Owner.HelloFailed", 1)
		return false
	}
	s.applyHello(answer)
	return answer.IsOwner
}

// maxPeersAsked limits the instances that are asked at the same time, because each may
// fail to answer.
const maxPeersAsked = 3

// askPeers asks some known instances and configured seeds for a newer owner, all at the
// same time.
func (s *shard) askPeers(ctx context.Context) {
	known := s.currentView().owner
	var group errgroup.Group
	asked := 0
	for _, address := range s.node.contactAddresses() {
		if address == s.node.PeerAddress || address == known.Address {
			continue
		}
		if asked++; asked > maxPeersAsked {
			break
		}
		group.Go(func() error {
			answer, err := s.hello(ctx, address)
			if err == nil {
				s.applyHello(answer)
			}
			return err
		})
	}
	if err := group.Wait(); err != nil {
		s.node.Counters.Add("Owner.PeerSilent", 1)
	}
}

// claimIfVacant reads the owner's row and tries to claim the shard if the owner has
// released it or has stopped writing. It reports whether it tried.
func (s *shard) claimIfVacant(ctx context.Context) (tried bool) {
	if s.node.draining.Load() {
		return false
	}
	if _, lost := s.node.store.lostFor(); lost {
		s.resetRowAge()
		return false
	}
	start := s.node.Clock.Now()
	row, err := s.node.read(ctx, s.partition.ownerKey())
	if err != nil {
		s.resetRowAge()
		return false
	}
	now := s.node.Clock.Now()
	if !s.shouldClaim(now, row) {
		return false
	}
	s.claim(ctx, row, now.Sub(start))
	return true
}

// resetRowAge makes the row count as just changed. While the store can't be read, an
// unchanged row doesn't show that the owner has stopped writing.
func (s *shard) resetRowAge() {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.view.rowSince, s.view.answeredSequence = time.Time{}, 0
}

// shouldClaim records the row and reports whether its owner is to be replaced.
func (s *shard) shouldClaim(now time.Time, row table.Row) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	if row.Version == 0 {
		return true
	}
	stored, err := decode[ownerRow](row)
	if err != nil {
		s.node.Log.Error().Err(err).Msg("can't decode the owner row")
		return false
	}
	s.updateOwnerLocked(stored)
	if s.view.rowSince.IsZero() || row.Version != s.view.row.Version {
		s.view.row, s.view.rowSince = row, s.view.rowUnchangedSince(now, stored)
	}
	if stored.Node == s.node.Name {
		// A previous process with the name of this instance owned the shard.
		return true
	}
	return stored.Released || now.Sub(s.view.rowSince) >= rowStaleAfter
}

// claim makes this instance the owner if the row is unchanged since it was read.
func (s *shard) claim(ctx context.Context, row table.Row, latency time.Duration) {
	s.node.claimsInProgress.Add(1)
	defer s.node.claimsInProgress.Add(-1)
	delay := min(latencyDelayFactor*latency, maxLatencyDelay) + s.claimLoadDelay()
	if !s.node.sleep(ctx, delay) {
		return
	}
	epoch := s.currentView().owner.Epoch.Next()
	if row.Version != 0 {
		if stored, err := decode[ownerRow](row); err == nil {
			epoch = stored.Epoch.Next()
		}
	}
	claimed := ownerRow{Node: s.node.Name, Address: s.node.PeerAddress, Epoch: epoch, Sequence: 1}
	version, err := s.node.commit(ctx, table.Transaction{
		Conditions: []table.Condition{{Key: s.partition.ownerKey(), Version: row.Version}},
		Writes:     []table.Write{{Key: s.partition.ownerKey(), Value: encode(claimed)}},
	})
	if errors.Is(err, table.ErrOutcomeUnknown) {
		version, err = s.resolveClaim(ctx, claimed)
	}
	if err != nil {
		s.node.Counters.Add("Owner.ClaimFailed", 1)
		return
	}
	s.node.Counters.Add("Owner.Claimed", 1)
	s.lock.Lock()
	previousAuthorityAt := s.view.lastAuthorityAt()
	s.view = ownerView{owner: claimed, answeredAt: s.node.Clock.Now()}
	s.lock.Unlock()
	s.runOwner(ctx, claimed, version, previousAuthorityAt)
}

// resolveClaim finds out whether a claim without an answer took effect.
func (s *shard) resolveClaim(ctx context.Context, claimed ownerRow) (table.Version, error) {
	row, err := s.node.read(ctx, s.partition.ownerKey())
	if err != nil {
		return 0, err
	}
	stored, err := decode[ownerRow](row)
	if err != nil {
		return 0, err
	}
	if stored != claimed {
		return 0, table.ErrConflict
	}
	return row.Version, nil
}

func (n *Node) read(ctx context.Context, key table.Key) (table.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return n.store.Read(ctx, key)
}

func (n *Node) commit(ctx context.Context, tx table.Transaction) (table.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return n.store.Commit(ctx, tx)
}

// runOwner runs the shard in the background until it is lost or released.
// previousAuthorityAt is when the previous owner last confirmed its ownership, zero if
// unknown.
func (s *shard) runOwner(ctx context.Context, row ownerRow, version table.Version, previousAuthorityAt time.Time) {
	ctx, cancel := context.WithCancel(ctx)
	o := newOwner(s, row, version, cancel)
	o.previousAuthorityAt = previousAuthorityAt
	s.owned.Store(o)
	s.node.Log.Info().Int("Shard", int(s.id)).Int64("Epoch", int64(row.Epoch)).Msg("took over the shard")
	s.node.background(func(context.Context) error {
		defer cancel()
		err := o.run(ctx)
		s.owned.CompareAndSwap(o, nil)
		if o.released.Load() {
			s.announceRelease(o.currentRow())
		}
		s.node.Log.Info().Err(err).Int("Shard", int(s.id)).Str("Reason", o.reason()).Int64("Epoch", int64(row.Epoch)).Msg("no longer owns the shard")
		return nil
	})
	s.announce(ctx)
}
