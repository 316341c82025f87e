package table

import (
	"context"
	"errors"
	"time"

	"github.com/jonboulle/clockwork"
)

// ErrCompacted reports that the changes since a version are no longer kept, so that
// the rows must be read anew.
var ErrCompacted = errors.New("table: the history is compacted")

// Change is a row as it was written, or its removal.
type Change struct {
	Row
	Removed bool
}

// Watcher follows the changes of rows.
type Watcher interface {
	// Snapshot returns all rows under a prefix and the version at which they were read.
	Snapshot(ctx context.Context, prefix Key) ([]Row, Version, error)
	// Watch returns the changes under a prefix after a version, in order, and the
	// version up to which it is complete. It waits for a first change for the given
	// time. It fails with ErrCompacted or ErrUnavailable.
	Watch(ctx context.Context, prefix Key, after Version, wait time.Duration) ([]Change, Version, error)
}

// retryPause is the least time before a failed call of a Mirror is repeated.
const retryPause = 200 * time.Millisecond

// Mirror keeps a copy of the rows under a prefix.
type Mirror struct {
	Watcher Watcher
	Prefix  Key
	// Wait bounds one call to Watch.
	Wait time.Duration
	// Pause is the least time between two calls.
	Pause time.Duration
	Clock clockwork.Clock
	// Apply receives all rows after each change. It must not keep the map.
	Apply func(rows map[Key]Row)
	// Failed receives each failure of a call; nil ignores them.
	Failed func(err error)

	rows    map[Key]Row
	version Version
	// failed reports that the last call failed. The next one doesn't wait for a
	// change, so that it shows soon whether the service is back.
	failed bool
}

// Run follows the rows until ctx ends, and returns its error.
func (m *Mirror) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		err := m.step(ctx)
		m.failed = err != nil
		if err != nil && m.Failed != nil && ctx.Err() == nil {
			m.Failed(err)
		}
		pause := m.Pause
		if m.failed {
			pause = max(pause, retryPause)
		}
		select {
		case <-ctx.Done():
		case <-m.Clock.After(pause):
		}
	}
	return ctx.Err()
}

func (m *Mirror) step(ctx context.Context) error {
	if m.rows == nil {
		return m.Load(ctx)
	}
	wait := m.Wait
	if m.failed {
		wait = 0
	}
	changes, version, err := m.Watcher.Watch(ctx, m.Prefix, m.version, wait)
	if errors.Is(err, ErrCompacted) {
		return m.Load(ctx)
	}
	if err != nil {
		return err
	}
	m.version = version
	if len(changes) == 0 {
		return nil
	}
	for _, c := range changes {
		if c.Removed {
			delete(m.rows, c.Key)
		} else {
			m.rows[c.Key] = c.Row
		}
	}
	m.Apply(m.rows)
	return nil
}

// Load reads all rows. Run does so itself unless it was done before.
func (m *Mirror) Load(ctx context.Context) error {
	rows, version, err := m.Watcher.Snapshot(ctx, m.Prefix)
	if err != nil {
		return err
	}
	m.rows = make(map[Key]Row, len(rows))
	for _, r := range rows {
		m.rows[r.Key] = r
	}
	m.version = version
	m.Apply(m.rows)
	return nil
}
