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

// Delays between two look-ups of an outcome. The delay doubles from the minimum to the
// maximum; jitter then reduces it by up to half.
const (
	minLookupWait = 50 * time.Millisecond
	maxLookupWait = 2 * time.Second
)

// MaxResolveTime limits LookUpOutcome if its context has no deadline.
const MaxResolveTime = 30 * time.Second

// Counters of commits whose response was lost, published as platform/table.
var (
	counters          = expvar.NewMap("platform/table")
	unknownCommits    = newCounter("UnknownCommits")
	outcomeRetries    = newCounter("OutcomeRetries")
	foundCommitted    = newCounter("FoundCommitted")
	foundNotCommitted = newCounter("FoundNotCommitted")
	unresolved        = newCounter("Unresolved")
)

func newCounter(name string) *expvar.Int {
	c := new(expvar.Int)
	counters.Set(name, c)
	return c
}

// CommitResolved commits a transaction and, if the response is lost, looks up its
// outcome by its id. It sends the transaction only once. It fails like Commit, but with
// ErrOutcomeUnknown only if LookUpOutcome could not find the outcome either, and with
// ErrUnavailable if the look-up showed that nothing was written.
func CommitResolved(ctx context.Context, store Store, clock clockwork.Clock, tx Transaction) (Result, error) {
	result, err := store.Commit(ctx, tx)
	if !errors.Is(err, ErrOutcomeUnknown) {
		return result, err
	}
	unknownCommits.Add(1)
	result, committed, lookupErr := LookUpOutcome(ctx, store, clock, tx.ID)
	if lookupErr != nil {
		return Result{}, lookupErr
	}
	if !committed {
		return Result{}, fmt.Errorf("%w: transaction %q was not committed: %v", ErrUnavailable, tx.ID, err)
	}
	return result, nil
}

// LookUpOutcome looks up the outcome of a transaction until the store returns it. It fails
// with ErrOutcomeUnknown when ctx ends, or after MaxResolveTime if ctx has no deadline. A
// transaction that it reports as not committed can't be committed later.
func LookUpOutcome(ctx context.Context, store Store, clock clockwork.Clock, id TransactionID) (Result, bool, error) {
	timeout := clock.NewTimer(resolveTimeout(ctx))
	defer timeout.Stop()
	for delay := minLookupWait; ; delay = min(2*delay, maxLookupWait) {
		result, committed, err := store.Outcome(ctx, id)
		if err == nil {
			countResolved(committed)
			return result, committed, nil
		}
		if errors.Is(err, ErrInvalid) || !waitForRetry(ctx, clock, timeout, delay) {
			unresolved.Add(1)
			return Result{}, false, fmt.Errorf("%w: transaction %q: %w", ErrOutcomeUnknown, id, err)
		}
		outcomeRetries.Add(1)
	}
}

// resolveTimeout returns MaxResolveTime, or the time until the deadline of ctx if that is
// longer. If ctx has an earlier deadline, LookUpOutcome ends with ctx.
func resolveTimeout(ctx context.Context) time.Duration {
	if deadline, ok := ctx.Deadline(); ok {
		return max(MaxResolveTime, time.Until(deadline))
	}
	return MaxResolveTime
}

// waitForRetry waits for the delay, less jitter. It reports false if ctx ended or the
// timeout passed first.
func waitForRetry(ctx context.Context, clock clockwork.Clock, timeout clockwork.Timer, delay time.Duration) bool {
	timer := clock.NewTimer(delay - rand.N(delay/2))
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return true
	case <-timeout.Chan():
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
	foundNotCommitted.Add(1)
}
