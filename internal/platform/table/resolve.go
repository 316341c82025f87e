package table

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"
)

// Waits between two look-ups of an outcome. They double from the first to the
// longest, and each is cut by a random part of up to its half.
const (
	firstResolveWait   = 50 * time.Millisecond
	longestResolveWait = 2 * time.Second
)

// MaxResolve bounds Resolve when its context has no deadline.
const MaxResolve = 30 * time.Second

// Counters of commits whose answer was lost, published as platform/table.
var (
	counters       = expvar.NewMap("platform/table")
	unknownCommits = counter("UnknownCommits")
	outcomeRetries = counter("OutcomeRetries")
	foundCommitted = counter("FoundCommitted")
	foundAbsent    = counter("FoundNotCommitted")
	unresolved     = counter("Unresolved")
)

func counter(name string) *expvar.Int {
	c := new(expvar.Int)
	counters.Set(name, c)
	return c
}

// CommitResolved commits a transaction and looks up its outcome by its id when
// the answer is lost. It sends the transaction once. It fails like Commit; with
// ErrOutcomeUnknown only if the outcome was still not known when ctx ended, and
// with ErrUnavailable if the look-up showed that nothing was written.
func CommitResolved(ctx context.Context, store Store, clock clockwork.Clock, tx Transaction) (Result, error) {
	result, err := store.Commit(ctx, tx)
	if !errors.Is(err, ErrOutcomeUnknown) {
		return result, err
	}
	unknownCommits.Add(1)
	result, committed, lookupErr := Resolve(ctx, store, clock, tx.ID)
	if lookupErr != nil {
		return Result{}, lookupErr
	}
	if !committed {
		return Result{}, fmt.Errorf("%w: transaction %q was not committed: %v", ErrUnavailable, tx.ID, err)
	}
	return result, nil
}

// Resolve looks up the outcome of a transaction until the store tells it or ctx
// ends, and for MaxResolve if ctx has no deadline. It then fails with
// ErrOutcomeUnknown. A transaction that it reports as not committed can't commit
// later.
func Resolve(ctx context.Context, store Store, clock clockwork.Clock, id TransactionID) (Result, bool, error) {
	bound := clock.NewTimer(resolveBound(ctx))
	defer bound.Stop()
	for wait := firstResolveWait; ; wait = min(2*wait, longestResolveWait) {
		result, committed, err := store.Outcome(ctx, id)
		if err == nil {
			countResolved(committed)
			return result, committed, nil
		}
		if errors.Is(err, ErrInvalid) || !sleep(ctx, clock, bound, wait) {
			unresolved.Add(1)
			return Result{}, false, fmt.Errorf("%w: transaction %q: %w", ErrOutcomeUnknown, id, err)
		}
		outcomeRetries.Add(1)
	}
}

// resolveBound returns MaxResolve, or a longer time if ctx has a deadline, which
// then is the bound.
func resolveBound(ctx context.Context) time.Duration {
	if deadline, ok := ctx.Deadline(); ok {
		return max(MaxResolve, time.Until(deadline))
	}
	return MaxResolve
}

// sleep reports whether the wait was over before ctx and the bound.
func sleep(ctx context.Context, clock clockwork.Clock, bound clockwork.Timer, wait time.Duration) bool {
	timer := clock.NewTimer(wait - rand.N(wait/2))
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return true
	case <-bound.Chan():
		return false
	case <-ctx.Done():
		return false
	}
}

func countResolved(committed bool) {
	if committed {
		foundCommitted.Add(1)
		return
	}
	foundAbsent.Add(1)
}
