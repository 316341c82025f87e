package claim

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"

	"github.com/jacinthtrail/jacinthtrail/internal/platform/table"
)

const (
	// Window is the minimum time for which a claimed key stays claimed.
	Window = 24 * time.Hour
	// retainedDays is the number of daily buckets before today's that Sweep keeps: one
	// for the window and one for the clock skew between instances.
	retainedDays = 2
	// SweepLimit bounds the records that one sweep deletes.
	SweepLimit = 500

	rowPrefix    = "claim/"
	bucketLayout = "2006-01-02"
	// bucketsPerKey is the number of row keys that rowKeys returns.
	bucketsPerKey = 3
)

// bucketOf returns the daily bucket of a time, which is its date in UTC.
func bucketOf(t time.Time) string {
	return t.UTC().Format(bucketLayout)
}

// rowKey returns the key of the row of a start record that is written at time t.
func rowKey(t time.Time, name string) table.Key {
	return table.Key(rowPrefix + bucketOf(t) + "/" + name)
}

// rowKeys returns the keys of all rows that may hold a start record that was written
// within the window, also by an instance whose clock is up to a day ahead.
func rowKeys(now time.Time, name string) []table.Key {
	return []table.Key{rowKey(now.Add(-Window), name), rowKey(now, name), rowKey(now.Add(Window), name)}
}

// Sweep deletes up to SweepLimit expired start records and returns how many it deleted.
// While it returns SweepLimit, call it again at once. It returns the errors of the
// store. If the answer of its commit is lost, the next sweep deletes what is left.
func (c *Claims) Sweep(ctx context.Context) (int, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, c.Clock, CommitTimeout)
	defer cancel()
	oldestRetained := bucketOf(c.Clock.Now().Add(-retainedDays * Window))
	found, err := c.Store.Scan(ctx, rowPrefix, "", SweepLimit)
	if err != nil {
		return 0, fmt.Errorf("scan for expired start records: %w", err)
	}
	tx := table.Transaction{ID: table.TransactionID(uuid.NewString())}
	for _, r := range found {
		day, _, _ := strings.Cut(strings.TrimPrefix(string(r.Key), rowPrefix), "/")
		if day < oldestRetained {
			tx.Writes = append(tx.Writes, table.Write{Key: r.Key, Delete: true})
		}
	}
	if len(tx.Writes) == 0 {
		return 0, nil
	}
	c.commits.Lock()
	defer c.commits.Unlock()
	if _, err := c.Store.Commit(ctx, tx); err != nil {
		return 0, fmt.Errorf("delete expired start records: %w", err)
	}
	c.Counters.Add("Claim.Swept", int64(len(tx.Writes)))
	return len(tx.Writes), nil
}
