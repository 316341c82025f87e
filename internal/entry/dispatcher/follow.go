package dispatcher

import (
	"context"
	"errors"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/jacinthtrail/jacinthtrail/internal/platform/table"
)

const (
	// helloInterval is the time between two calls to the owner.
	helloInterval = 250 * time.Millisecond
	// helloTimeout bounds such a call.
	helloTimeout = 400 * time.Millisecond
	// silentAfter is the silence after which the owner's row is looked at.
	silentAfter = 500 * time.Millisecond
	// staleAfter is how long the row of a silent owner must stay unchanged before it
	// is replaced: the owner writes it every beatInterval.
	staleAfter = 900 * time.Millisecond
	// claimDelayFactor times the store's answer time is waited before a claim, so
	// that the instance nearest to the store comes first.
	claimDelayFactor = 8
	// maxClaimDelay bounds that wait.
	maxClaimDelay = 300 * time.Millisecond
	// storeTimeout bounds one call to the store.
	storeTimeout = 1500 * time.Millisecond
)

// view is what an instance believes of the shard's owner.
type view struct {
	owner ownerRow
	// heard is when the owner last answered.
	heard time.Time
	// storeLost is what the owner last said of its access to the store.
	storeLost bool
	// row is the owner's row as last read, and readAt when it was first seen so.
	row    table.Row
	readAt time.Time
}

// follow calls the owner, and claims the shard when it has none.
func (n *Node) follow(ctx context.Context) error {
	ticker := n.Clock.NewTicker(helloInterval)
	defer ticker.Stop()
	for {
		if n.owned.Load() == nil {
			n.followOnce(ctx)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-n.followNow:
		case <-ticker.Chan():
		}
	}
}

// followSoon lets the instance look for an owner at once.
func (n *Node) followSoon() {
	select {
	case n.followNow <- struct{}{}:
	default:
	}
}

func (n *Node) followOnce(ctx context.Context) {
	current := n.currentView()
	reachable := current.owner.Address != "" && !current.owner.Released && current.owner.Node != n.Name
	if !current.owner.Released && (!reachable || !n.callOwner(ctx, current.owner)) {
		n.askPeers(ctx)
	}
	current = n.currentView()
	now := n.Clock.Now()
	silent := now.Sub(current.heard) > silentAfter
	if (silent || current.storeLost || current.owner.Released) && !n.draining.Load() {
		n.inspectOwner(ctx)
	}
}

func (n *Node) currentView() view {
	n.lock.Lock()
	defer n.lock.Unlock()
	return n.view
}

// callOwner asks the owner for news and reports whether it answered as the owner.
func (n *Node) callOwner(ctx context.Context, o ownerRow) bool {
	answer, err := n.hello(ctx, o.Address)
	if err != nil {
		n.Counters.Add("Owner.HelloFailed", 1)
		return false
	}
	n.learn(answer)
	return answer.IsOwner
}

// maxAsked bounds the instances that are asked at once, since each may be silent.
const maxAsked = 3

// askPeers asks some known instances, and those that the settings name, for a newer
// owner, all at the same time.
func (n *Node) askPeers(ctx context.Context) {
	before := n.currentView().owner
	var group errgroup.Group
	asked := 0
	for _, address := range n.seeds() {
		if address == n.PeerAddress || address == before.Address {
			continue
		}
		if asked++; asked > maxAsked {
			break
		}
		group.Go(func() error {
			answer, err := n.hello(ctx, address)
			if err == nil {
				n.learn(answer)
			}
			return err
		})
	}
	if err := group.Wait(); err != nil {
		n.Counters.Add("Owner.PeerSilent", 1)
	}
}

// inspectOwner reads the owner's row and claims the shard if the owner has
// released it or writes no more.
func (n *Node) inspectOwner(ctx context.Context) {
	if _, lost := n.store.lostFor(); lost {
		return
	}
	began := n.Clock.Now()
	row, err := n.read(ctx, ownerKey)
	if err != nil {
		n.lock.Lock()
		// A time without the store says nothing about the owner's beats.
		n.view.readAt = time.Time{}
		n.lock.Unlock()
		return
	}
	now := n.Clock.Now()
	if n.shouldClaim(now, row) {
		n.claim(ctx, row, now.Sub(began))
	}
}

// shouldClaim notes the row and reports whether its owner is to be replaced.
func (n *Node) shouldClaim(now time.Time, row table.Row) bool {
	n.lock.Lock()
	defer n.lock.Unlock()
	if row.Version == 0 {
		return true
	}
	stored, err := decode[ownerRow](row)
	if err != nil {
		n.Log.Error().Err(err).Msg("unreadable owner row")
		return false
	}
	n.learnOwner(stored)
	if n.view.readAt.IsZero() || row.Version != n.view.row.Version {
		n.view.row, n.view.readAt = row, now
	}
	if stored.Node == n.Name {
		// An earlier life of this instance owned the shard.
		return true
	}
	return stored.Released || now.Sub(n.view.readAt) >= staleAfter
}

// claim makes this instance the owner if the row is still as it was read.
func (n *Node) claim(ctx context.Context, row table.Row, latency time.Duration) {
	delay := min(claimDelayFactor*latency, maxClaimDelay)
	select {
	case <-ctx.Done():
		return
	case <-n.Clock.After(delay):
	}
	epoch := n.currentView().owner.Epoch + 1
	if row.Version != 0 {
		if stored, err := decode[ownerRow](row); err == nil {
			epoch = stored.Epoch + 1
		}
	}
	claimed := ownerRow{Node: n.Name, Address: n.PeerAddress, Epoch: epoch, Sequence: 1}
	version, err := n.commit(ctx, table.Transaction{
		Conditions: []table.Condition{{Key: ownerKey, Version: row.Version}},
		Writes:     []table.Write{{Key: ownerKey, Value: encode(claimed)}},
	})
	if errors.Is(err, table.ErrOutcomeUnknown) {
		version, err = n.resolveClaim(ctx, claimed)
	}
	if err != nil {
		n.Counters.Add("Owner.ClaimFailed", 1)
		return
	}
	n.Counters.Add("Owner.Claimed", 1)
	n.lock.Lock()
	n.view = view{owner: claimed, heard: n.Clock.Now()}
	n.lock.Unlock()
	n.own(ctx, claimed, version)
}

// resolveClaim finds out whether a claim without an answer took effect.
func (n *Node) resolveClaim(ctx context.Context, claimed ownerRow) (table.Version, error) {
	row, err := n.read(ctx, ownerKey)
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

// own runs the shard in the background until it is lost or released.
func (n *Node) own(ctx context.Context, row ownerRow, version table.Version) {
	ctx, cancel := context.WithCancel(ctx)
	o := newOwner(n, row, version, cancel)
	n.owned.Store(o)
	n.Log.Info().Int64("Epoch", int64(row.Epoch)).Msg("took over the shard")
	n.background(func() error {
		defer cancel()
		err := o.run(ctx)
		n.owned.CompareAndSwap(o, nil)
		if o.released.Load() {
			n.announceRelease(o.currentRow())
		}
		n.Log.Info().Err(err).Str("Reason", o.reason()).Int64("Epoch", int64(row.Epoch)).Msg("no longer owns the shard")
		return nil
	})
	n.announce(ctx)
}
