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
	// helloInterval is the time between two calls to the owner.
	helloInterval = 250 * time.Millisecond
	// distantTicks times that is the time between two calls of an instance that isn't
	// one of the watchers of the shard.
	distantTicks = 4
	// watchers of a shard look at its owner closely, so that a lost one is replaced
	// soon. All instances doing so would cost each of them with the number of shards.
	watchers = 5
	// helloTimeout bounds such a call.
	helloTimeout = 400 * time.Millisecond
	// silentAfter is the silence after which the owner's row is looked at.
	silentAfter = 500 * time.Millisecond
	// staleAfter is how long the row of a silent owner must stay unchanged before it
	// is replaced: the owner writes it every beatInterval.
	staleAfter = time.Second
	// claimDelayFactor times the store's answer time is waited before a claim, so
	// that the instance nearest to the store comes first.
	claimDelayFactor = 8
	// maxClaimDelay bounds that wait.
	maxClaimDelay = 300 * time.Millisecond
	// storeTimeout bounds one call to the store.
	storeTimeout = 1500 * time.Millisecond
)

// view is what an instance believes of a shard's owner.
type view struct {
	owner ownerRow
	// heard is when the owner last answered.
	heard time.Time
	// told is the sequence of the owner's row as it last answered.
	told int64
	// storeLost is what the owner last said of its access to the store.
	storeLost bool
	// met reports that the owner has answered this instance, so that it knows of it and
	// needs its word to act without the store.
	met bool
	// confirmed is when this instance last said to the owner that it can't claim the shard.
	confirmed time.Time
	// load is what the owner last said of the shard.
	load balance.Load
	// row is the owner's row as last read, and readAt since when it is known to be so.
	row    table.Row
	readAt time.Time
}

// lastAuthority returns when the owner was last able to prove its authority: by a
// transaction, which would have changed its row, or by the word of this instance. It is
// zero if that can't be told.
func (v *view) lastAuthority() time.Time {
	switch {
	case !v.met || v.readAt.IsZero():
		return time.Time{}
	case v.confirmed.After(v.readAt):
		return v.confirmed
	}
	return v.readAt
}

// unchangedSince returns since when the owner's row, read now, is known to be as it is: since
// the owner last answered, if it told of the same row.
func (v *view) unchangedSince(now time.Time, stored ownerRow) time.Time {
	if v.met && stored.Epoch == v.owner.Epoch && stored.Sequence == v.told {
		return v.heard
	}
	return now
}

// follow calls the owner, and claims the shard when it has none.
func (s *shard) follow(ctx context.Context) error {
	ticker := s.node.Clock.NewTicker(helloInterval)
	defer ticker.Stop()
	for tick := 0; ; tick++ {
		if s.owned.Load() == nil && (tick%distantTicks == 0 || s.watchesClosely()) {
			s.followOnce(ctx)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.followNow:
			tick = -1
		case <-ticker.Chan():
		}
	}
}

// followSoon lets the instance look for an owner at once.
func (s *shard) followSoon() {
	select {
	case s.followNow <- struct{}{}:
	default:
	}
}

func (s *shard) followOnce(ctx context.Context) {
	if s.isSilent(s.currentView()) && s.inspectOwner(ctx) {
		return
	}
	current := s.currentView()
	reachable := current.owner.Address != "" && !current.owner.Released && current.owner.Node != s.node.Name
	if !current.owner.Released && (!reachable || !s.callOwner(ctx, current.owner)) {
		s.askPeers(ctx)
	}
	current = s.currentView()
	if s.isSilent(current) || current.storeLost || current.owner.Released {
		s.inspectOwner(ctx)
	}
}

// isSilent reports whether the owner hasn't answered for long.
func (s *shard) isSilent(v view) bool {
	return s.node.Clock.Now().Sub(v.heard) > silentAfter
}

func (s *shard) currentView() view {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.view
}

// callOwner asks the owner for news and reports whether it answered as the owner.
func (s *shard) callOwner(ctx context.Context, o ownerRow) bool {
	answer, err := s.hello(ctx, o.Address)
	if err != nil {
		s.node.Counters.Add("Owner.HelloFailed", 1)
		return false
	}
	s.learn(answer)
	return answer.IsOwner
}

// maxAsked bounds the instances that are asked at once, since each may be silent.
const maxAsked = 3

// askPeers asks some known instances, and those that the settings name, for a newer
// owner, all at the same time.
func (s *shard) askPeers(ctx context.Context) {
	before := s.currentView().owner
	var group errgroup.Group
	asked := 0
	for _, address := range s.node.seeds() {
		if address == s.node.PeerAddress || address == before.Address {
			continue
		}
		if asked++; asked > maxAsked {
			break
		}
		group.Go(func() error {
			answer, err := s.hello(ctx, address)
			if err == nil {
				s.learn(answer)
			}
			return err
		})
	}
	if err := group.Wait(); err != nil {
		s.node.Counters.Add("Owner.PeerSilent", 1)
	}
}

// inspectOwner reads the owner's row and claims the shard if the owner has
// released it or writes no more. It reports whether it tried to claim it.
func (s *shard) inspectOwner(ctx context.Context) (claimed bool) {
	if s.node.draining.Load() {
		return false
	}
	if _, lost := s.node.store.lostFor(); lost {
		s.forgetRow()
		return false
	}
	began := s.node.Clock.Now()
	row, err := s.node.read(ctx, s.partition.ownerKey())
	if err != nil {
		s.forgetRow()
		return false
	}
	now := s.node.Clock.Now()
	if !s.shouldClaim(now, row) {
		return false
	}
	s.claim(ctx, row, now.Sub(began))
	return true
}

// forgetRow lets the row count as changed: a time without the store says nothing about the
// owner's beats.
func (s *shard) forgetRow() {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.view.readAt, s.view.told = time.Time{}, 0
}

// shouldClaim notes the row and reports whether its owner is to be replaced.
func (s *shard) shouldClaim(now time.Time, row table.Row) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	if row.Version == 0 {
		return true
	}
	stored, err := decode[ownerRow](row)
	if err != nil {
		s.node.Log.Error().Err(err).Msg("unreadable owner row")
		return false
	}
	s.learnOwner(stored)
	if s.view.readAt.IsZero() || row.Version != s.view.row.Version {
		s.view.row, s.view.readAt = row, s.view.unchangedSince(now, stored)
	}
	if stored.Node == s.node.Name {
		// An earlier life of this instance owned the shard.
		return true
	}
	return stored.Released || now.Sub(s.view.readAt) >= staleAfter
}

// claim makes this instance the owner if the row is still as it was read.
func (s *shard) claim(ctx context.Context, row table.Row, latency time.Duration) {
	s.node.claimsInProgress.Add(1)
	defer s.node.claimsInProgress.Add(-1)
	delay := min(claimDelayFactor*latency, maxClaimDelay) + s.claimLoadDelay()
	if !s.node.sleep(ctx, delay) {
		return
	}
	epoch := s.currentView().owner.Epoch + 1
	if row.Version != 0 {
		if stored, err := decode[ownerRow](row); err == nil {
			epoch = stored.Epoch + 1
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
	proof := s.view.lastAuthority()
	s.view = view{owner: claimed, heard: s.node.Clock.Now()}
	s.lock.Unlock()
	s.own(ctx, claimed, version, proof)
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

// own runs the shard in the background until it is lost or released. The earlier owner
// last proved its authority at the given time, zero if that isn't known.
func (s *shard) own(ctx context.Context, row ownerRow, version table.Version, earlierProof time.Time) {
	ctx, cancel := context.WithCancel(ctx)
	o := newOwner(s, row, version, cancel)
	o.previousAuthorityAt = earlierProof
	s.owned.Store(o)
	s.node.Log.Info().Int("Shard", int(s.id)).Int64("Epoch", int64(row.Epoch)).Msg("took over the shard")
	s.node.background(func() error {
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
