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

// write claims a group. Claims that conflict are answered and taken out, and the
// others are committed again under a new transaction.
func (c *Claims) write(ctx context.Context, group []*pending) {
	c.commits.Lock()
	defer c.commits.Unlock()
	now := c.Clock.Now()
	for range MaxRounds {
		err := c.commit(ctx, transaction(now, group))
		if !errors.Is(err, table.ErrConflict) {
			c.finish(group, err)
			return
		}
		c.Counters.Add("Claim.Retried.Conflict", 1)
		if group, err = c.withoutStarted(ctx, now, group); err != nil {
			c.finish(group, err)
			return
		}
		if len(group) == 0 {
			return
		}
	}
	c.finish(group, table.ErrConflict)
}

// finish answers a whole group by the result of its commit.
func (c *Claims) finish(group []*pending, err error) {
	started := service.Started{First: err == nil}
	switch {
	case err == nil:
		c.Counters.Add("Claim.Written", int64(len(group)))
	case errors.Is(err, table.ErrUnavailable):
		err = refusal(ReasonStoreDown, retryUnavailable)
	case errors.Is(err, table.ErrConflict):
		err = refusal(ReasonConflicts, retrySoon)
	case errors.Is(err, errNotWritten):
		err = refusal(ReasonNotWritten, retrySoon)
	default:
		c.Counters.Add("Claim.Uncertain", int64(len(group)))
		err = ErrUncertain
	}
	for _, p := range group {
		p.end(started, err)
	}
}

// errNotWritten reports a commit whose answer was lost and that did not take effect.
var errNotWritten = errors.New("claim: the lost commit was not written")

// transaction writes the start records in today's bucket. The conditions cover the
// buckets before and after, since the window reaches back a day and the clocks of
// entry instances may be on different days.
func transaction(now time.Time, group []*pending) table.Transaction {
	tx := table.Transaction{ID: table.TransactionID(uuid.NewString())}
	// A struct of a time can always be encoded.
	value, _ := json.Marshal(StartRecord{Time: now})
	for _, p := range group {
		for _, key := range rows(now, p.name) {
			tx.Conditions = append(tx.Conditions, table.Condition{Key: key})
		}
		tx.Writes = append(tx.Writes, table.Write{Key: row(now, p.name), Value: value})
	}
	return tx
}

// withoutStarted answers the claims whose key has a record and returns the others.
func (c *Claims) withoutStarted(ctx context.Context, now time.Time, group []*pending) ([]*pending, error) {
	var keys []table.Key
	for _, p := range group {
		keys = append(keys, rows(now, p.name)...)
	}
	ctx, cancel := clockwork.WithTimeout(ctx, c.Clock, CommitTimeout)
	defer cancel()
	found, err := c.Store.Read(ctx, keys...)
	if err != nil {
		// The conflict wrote nothing, so these claims were not made.
		return group, table.ErrUnavailable
	}
	var rest []*pending
	for i, p := range group {
		if anyPresent(found[i*bucketsPerKey : (i+1)*bucketsPerKey]) {
			p.end(service.Started{Reason: service.ReasonAlreadyStarted}, nil)
			continue
		}
		rest = append(rest, p)
	}
	return rest, nil
}

func anyPresent(found []table.Row) bool {
	for _, r := range found {
		if r.Version != 0 {
			return true
		}
	}
	return false
}

// commit makes one commit. After a lost answer it looks up the outcome; it never
// sends the transaction again.
func (c *Claims) commit(ctx context.Context, tx table.Transaction) error {
	limited, cancel := clockwork.WithTimeout(ctx, c.Clock, CommitTimeout)
	_, err := c.Store.Commit(limited, tx)
	cancel()
	if err == nil || errors.Is(err, table.ErrConflict) || errors.Is(err, table.ErrUnavailable) {
		return err
	}
	c.Counters.Add("Claim.Retried.LostAnswer", 1)
	return c.resolve(ctx, tx.ID)
}

// resolve looks up the outcome of a commit within ResolveTimeout. A stop of the
// process does not shorten it, since callers wait for the answer.
func (c *Claims) resolve(ctx context.Context, id table.TransactionID) error {
	limited, cancel := clockwork.WithTimeout(context.WithoutCancel(ctx), c.Clock, ResolveTimeout)
	defer cancel()
	for backoff := firstBackoff; ; backoff = min(2*backoff, maxBackoff) {
		_, committed, err := c.Store.Outcome(limited, id)
		switch {
		case err == nil && committed:
			return nil
		case err == nil:
			return errNotWritten
		}
		c.Counters.Add("Claim.Retried.Outcome", 1)
		select {
		case <-limited.Done():
			return ErrUncertain
		case <-c.Clock.After(backoff/2 + rand.N(backoff/2)):
		}
	}
}
