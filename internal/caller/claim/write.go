package claim

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"

	"github.com/jacinthtrail/jacinthtrail/internal/caller/service"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/table"
)

const (
	firstBackoff = 20 * time.Millisecond
	maxBackoff   = 500 * time.Millisecond
)

// StartRecord is the value of a claim's row.
type StartRecord struct {
	Time time.Time
}

// writeGroup commits the start records of a group and answers its claims. After a
// conflict, the claims whose keys are already claimed are answered and removed, and the
// others are committed in a new transaction.
func (c *Claims) writeGroup(ctx context.Context, group []*pendingClaim) {
	c.commits.Lock()
	defer c.commits.Unlock()
	now := c.Clock.Now()
	for range MaxCommitsPerGroup {
		err := c.commit(ctx, newTransaction(now, group))
		if !errors.Is(err, table.ErrConflict) {
			c.respondAll(group, err)
			return
		}
		c.Counters.Add("Claim.Retried.Conflict", 1)
		if group, err = c.removeStarted(ctx, now, group); err != nil {
			c.respondAll(group, err)
			return
		}
		if len(group) == 0 {
			return
		}
	}
	c.respondAll(group, table.ErrConflict)
}

// respondAll answers all claims of a group with the result of their commit.
func (c *Claims) respondAll(group []*pendingClaim, err error) {
	result := service.ClaimResult{Claimed: err == nil}
	switch {
	case err == nil:
		c.Counters.Add("Claim.Written", int64(len(group)))
	case errors.Is(err, table.ErrUnavailable):
		err = refusal(ReasonStoreDown, longRetryDelay)
	case errors.Is(err, table.ErrConflict):
		err = refusal(ReasonConflicts, shortRetryDelay)
	case errors.Is(err, errNotWritten):
		err = refusal(ReasonNotWritten, shortRetryDelay)
	default:
		c.Counters.Add("Claim.Uncertain", int64(len(group)))
		err = ErrUncertain
	}
	for _, p := range group {
		p.respond(result, err)
	}
}

// errNotWritten reports that a commit whose answer was lost did not take effect.
var errNotWritten = errors.New("claim: the commit whose answer was lost did not take effect")

// newTransaction returns a transaction that writes the start records to today's bucket.
// Its conditions also cover the buckets of yesterday and tomorrow, because the window
// spans a day and the clocks of entry instances may be on different days.
func newTransaction(now time.Time, group []*pendingClaim) table.Transaction {
	tx := table.Transaction{ID: table.TransactionID(uuid.NewString())}
	// Encoding a StartRecord of the current time can't fail.
	value, _ := json.Marshal(StartRecord{Time: now})
	for _, p := range group {
		for _, key := range rowKeys(now, p.name) {
			tx.Conditions = append(tx.Conditions, table.Condition{Key: key})
		}
		tx.Writes = append(tx.Writes, table.Write{Key: rowKey(now, p.name), Value: value})
	}
	return tx
}

// removeStarted answers the claims whose keys already have a start record and returns the
// others.
func (c *Claims) removeStarted(ctx context.Context, now time.Time, group []*pendingClaim) ([]*pendingClaim, error) {
	var keys []table.Key
	for _, p := range group {
		keys = append(keys, rowKeys(now, p.name)...)
	}
	ctx, cancel := clockwork.WithTimeout(ctx, c.Clock, CommitTimeout)
	defer cancel()
	found, err := c.Store.Read(ctx, keys...)
	if err != nil {
		// The conflicting transaction wrote nothing, so these claims can be refused.
		return group, table.ErrUnavailable
	}
	var remaining []*pendingClaim
	for i, p := range group {
		if anyExists(found[i*bucketsPerKey : (i+1)*bucketsPerKey]) {
			p.respond(service.ClaimResult{Reason: service.ReasonAlreadyStarted}, nil)
			continue
		}
		remaining = append(remaining, p)
	}
	return remaining, nil
}

func anyExists(found []table.Row) bool {
	for _, r := range found {
		if r.Version != 0 {
			return true
		}
	}
	return false
}

// commit commits a transaction once. If the answer is lost, it looks up the outcome and
// doesn't send the transaction again.
func (c *Claims) commit(ctx context.Context, tx table.Transaction) error {
	commitCtx, cancel := clockwork.WithTimeout(ctx, c.Clock, CommitTimeout)
	_, err := c.Store.Commit(commitCtx, tx)
	cancel()
	if err == nil || errors.Is(err, table.ErrConflict) || errors.Is(err, table.ErrUnavailable) {
		return err
	}
	c.Counters.Add("Claim.Retried.LostAnswer", 1)
	return c.resolve(ctx, tx.ID)
}

// resolve looks up the outcome of a commit for up to ResolveTimeout. It continues after
// ctx is cancelled by a shutdown, because callers wait for the answer.
func (c *Claims) resolve(ctx context.Context, id table.TransactionID) error {
	resolveCtx, cancel := clockwork.WithTimeout(context.WithoutCancel(ctx), c.Clock, ResolveTimeout)
	defer cancel()
	for backoff := firstBackoff; ; backoff = min(2*backoff, maxBackoff) {
		_, committed, err := c.Store.Outcome(resolveCtx, id)
		switch {
		case err == nil && committed:
			return nil
		case err == nil:
			return errNotWritten
		}
		c.Counters.Add("Claim.Retried.Outcome", 1)
		select {
		case <-resolveCtx.Done():
			return ErrUncertain
		case <-c.Clock.After(backoff/2 + rand.N(backoff/2)):
		}
	}
}
