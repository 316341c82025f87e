package job

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"
	"golang.org/x/time/rate"

	"github.com/jacinthtrail/jacinthtrail/internal/operator/manifest"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/table"
)

// A cancellation may overtake the submission of its job. If the team has no job with the key, the cancellation
// stores a tombstone, on which a submission that arrives later fails.

var (
	// ErrCancelledBefore reports that the job was cancelled before it was stored.
	ErrCancelledBefore = errors.New("job: cancelled before it was stored")
	// ErrTooManyUnknown reports that too many jobs that aren't known were cancelled.
	ErrTooManyUnknown = errors.New("job: too many cancellations of unknown jobs")
)

const (
	// TombstoneRetention is how long a tombstone is kept, much longer than a submission may take to arrive.
	TombstoneRetention = 4 * time.Minute
	// expiredPerTombstone is the number of expired tombstones that are deleted with each new one, so that their
	// number stays bounded without a search through them.
	expiredPerTombstone = 2
	// tombstonesPerSecond limits the tombstones that an instance stores, and tombstoneBurst those that it stores
	// at once.
	tombstonesPerSecond = 5
	tombstoneBurst      = 50
)

// Limiter limits the tombstones that an instance stores.
type Limiter interface {
	AllowN(now time.Time, n int) bool
}

// NewTombstoneLimiter returns the limiter of an instance.
func NewTombstoneLimiter() Limiter {
	return rate.NewLimiter(tombstonesPerSecond, tombstoneBurst)
}

// tombstone is the value of the row of a tombstone, and of the row that lists it by its time.
type tombstone struct {
	Team      manifest.TeamName
	Key       CallerKey
	Cancelled time.Time
}

// row returns the key of the tombstone's row.
func (t tombstone) row() table.Key {
	return tombstoneRow(t.Team, t.Key)
}

// timeRow returns the key of the row that lists the tombstone. The keys sort by time.
func (t tombstone) timeRow() table.Key {
	return tombstoneTimes + table.Key(fmt.Sprintf("%020d/%s/%s", t.Cancelled.UnixNano(), t.Team, t.Key))
}

// isExpired reports whether the tombstone is kept no longer.
func (t tombstone) isExpired(now time.Time) bool {
	return now.Sub(t.Cancelled) > TombstoneRetention
}

// tombstoneTimes is the prefix of the rows that list the tombstones.
const tombstoneTimes table.Key = "tombstone-time/"

// tombstoneRow returns the key of the row of a tombstone.
func tombstoneRow(team manifest.TeamName, key CallerKey) table.Key {
	return table.Key(fmt.Sprintf("tombstone/%s/%s", team, key))
}

// readTombstone returns the tombstone of a key and the version of its row, 0 if there is none.
func (r Repository) readTombstone(ctx context.Context, team manifest.TeamName, key CallerKey) (tombstone, table.Version, error) {
	rows, err := r.Store.Read(ctx, tombstoneRow(team, key))
	if err != nil {
		return tombstone{}, 0, fmt.Errorf("read the tombstone of job %s/%s: %w", team, key, err)
	}
	if rows[0].Version == 0 {
		return tombstone{}, 0, nil
	}
	t, err := decodeTombstone(rows[0])
	return t, rows[0].Version, err
}

func decodeTombstone(row table.Row) (tombstone, error) {
	var t tombstone
	if err := json.Unmarshal(row.Value, &t); err != nil {
		return tombstone{}, fmt.Errorf("decode row %s: %w", row.Key, err)
	}
	return t, nil
}

// storeTombstone makes sure that a job that the team doesn't have isn't stored for TombstoneRetention. It fails
// with table.ErrConflict if the team has the job now.
func (r Repository) storeTombstone(ctx context.Context, team manifest.TeamName, key CallerKey) error {
	now := r.Clock.Now()
	earlier, version, err := r.readTombstone(ctx, team, key)
	if err != nil {
		return err
	}
	if version != 0 && !earlier.isExpired(now) {
		return nil
	}
	if r.Tombstones != nil && !r.Tombstones.AllowN(now, 1) {
		return ErrTooManyUnknown
	}
	added := tombstone{Team: team, Key: key, Cancelled: now.UTC()}
	value, err := json.Marshal(added)
	if err != nil {
		return fmt.Errorf("encode the tombstone of job %s/%s: %w", team, key, err)
	}
	tx := table.Transaction{
		ID:         table.TransactionID(uuid.NewString()),
		Conditions: []table.Condition{{Key: KeyRow(team, key)}, {Key: added.row(), Version: version}},
		Writes:     []table.Write{{Key: added.row(), Value: value}, {Key: added.timeRow(), Value: value}},
	}
	if err := r.addExpired(ctx, &tx, now, added.row()); err != nil {
		return err
	}
	if _, err := table.CommitResolved(ctx, r.Store, r.Clock, tx); err != nil {
		return fmt.Errorf("store the tombstone of job %s/%s: %w", team, key, err)
	}
	return nil
}

// addExpired adds the deletion of the oldest expired tombstones to a transaction, but not of the row except.
func (r Repository) addExpired(ctx context.Context, tx *table.Transaction, now time.Time, except table.Key) error {
	listed, err := r.Store.Scan(ctx, tombstoneTimes, "", expiredPerTombstone)
	if err != nil {
		return fmt.Errorf("list the expired tombstones: %w", err)
	}
	for _, row := range listed {
		t, err := decodeTombstone(row)
		if err != nil {
			return err
		}
		if !t.isExpired(now) {
			return nil
		}
		tx.Writes = append(tx.Writes, table.Write{Key: row.Key, Delete: true})
		current, version, err := r.readTombstone(ctx, t.Team, t.Key)
		if err != nil {
			return err
		}
		// The job may have been cancelled again since, which is listed by another row.
		if t.row() != except && version != 0 && current.Cancelled.Equal(t.Cancelled) {
			tx.Conditions = append(tx.Conditions, table.Condition{Key: t.row(), Version: version})
			tx.Writes = append(tx.Writes, table.Write{Key: t.row(), Delete: true})
		}
	}
	return nil
}

// checkTombstone explains why a submission failed although the team doesn't have the job: it fails with
// ErrCancelledBefore if there is a tombstone. An expired one is deleted.
func (r Repository) checkTombstone(ctx context.Context, team manifest.TeamName, key CallerKey) error {
	t, version, err := r.readTombstone(ctx, team, key)
	switch {
	case err != nil || version == 0:
		return err
	case !t.isExpired(r.Clock.Now()):
		return fmt.Errorf("%w: team %s, job %q", ErrCancelledBefore, team, key)
	}
	_, err = table.CommitResolved(ctx, r.Store, r.Clock, table.Transaction{
		ID:         table.TransactionID(uuid.NewString()),
		Conditions: []table.Condition{{Key: t.row(), Version: version}},
		Writes:     []table.Write{{Key: t.row(), Delete: true}, {Key: t.timeRow(), Delete: true}},
	})
	if errors.Is(err, table.ErrConflict) {
		return nil
	}
	return err
}
