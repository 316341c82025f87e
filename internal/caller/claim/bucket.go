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
	// Window is the least time for which a claimed key stays claimed.
	Window = 24 * time.Hour
	// keptDays is how many days of buckets before today's stay: one for the window
	// and one for the difference of clocks.
	keptDays = 2
	// SweepLimit bounds the records that one sweep deletes.
	SweepLimit = 500

	rowPrefix     = "claim/"
	bucketLayout  = "2006-01-02"
	bucketsPerKey = 3
)

func bucket(t time.Time) string {
	return t.UTC().Format(bucketLayout)
}

// row is the row of a key's start record at a time.
func row(t time.Time, name string) table.Key {
	return table.Key(rowPrefix + bucket(t) + "/" + name)
}

// rows are the rows in which a key that was claimed within the window can be.
func rows(now time.Time, name string) []table.Key {
	return []table.Key{row(now.Add(-Window), name), row(now, name), row(now.Add(Window), name)}
}

// Sweep deletes up to SweepLimit expired start records and returns how many. Call
// it again at once while it returns SweepLimit. Errors are those of the store; a
// sweep whose answer was lost is repeated by the next one.
func (c *Claims) Sweep(ctx context.Context) (int, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, c.Clock, CommitTimeout)
	defer cancel()
	oldest := bucket(c.Clock.Now().Add(-keptDays * Window))
	found, err := c.Store.Scan(ctx, rowPrefix, "", SweepLimit)
	if err != nil {
		return 0, fmt.Errorf("scan for expired start records: %w", err)
	}
	tx := table.Transaction{ID: table.TransactionID(uuid.NewString())}
	for _, r := range found {
		day, _, _ := strings.Cut(strings.TrimPrefix(string(r.Key), rowPrefix), "/")
		if day < oldest {
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
