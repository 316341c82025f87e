package table

import (
	"context"
	"errors"
	"time"

	"github.com/jonboulle/clockwork"
)

// ErrCompacted reports that the changes after a version are no longer available, so that
// all rows must be read again.
var ErrCompacted = errors.New("table: the history is compacted")

// Change is the write or the removal of a row.
type Change struct {
	Row
	Removed bool
}

// Watcher reads rows and their changes.
type Watcher interface {
	// Snapshot returns all rows whose keys start with prefix, and the version at which
	// they were read.
	Snapshot(ctx context.Context, prefix Key) ([]Row, Version, error)
	// Watch returns the changes after a version of rows whose keys start with prefix, in
	// order, and the version up to which the changes are complete. If there are none, it
	// waits for the first change for at most the given time. It fails with ErrCompacted
	// or ErrUnavailable.
	Watch(ctx context.Context, prefix Key, after Version, wait time.Duration) ([]Change, Version, error)
}

// minRetryPause is the minimum time before a Mirror repeats a failed call.
const minRetryPause = 200 * time.Millisecond

// Mirror maintains a copy of the rows under a prefix.
type Mirror struct {
	Watcher Watcher
	Prefix  Key
	// WatchTimeout limits the time that one call of Watch waits for a change.
	WatchTimeout time.Duration
	// MinInterval is the minimum time between two calls.
	MinInterval time.Duration
	Clock       clockwork.Clock
	// OnChange is called with all rows after each change. It must not retain the map.
	OnChange func(rows map[Key]Row)
	// OnError, if set, is called with the error of each failed call.
	OnError func(err error)

	rows    map[Key]Row
	version Version
	// lastCallFailed reports that the last call failed. The next call then doesn't wait
	// for a change, so that it soon shows whether the service is available again.
	lastCallFailed bool
}

// Run keeps the copy up to date until ctx ends, and returns the error of ctx.
func (m *Mirror) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		err := m.step(ctx)
		m.lastCallFailed = err != nil
		if err != nil && m.OnError != nil && ctx.Err() == nil {
			m.OnError(err)
		}
		pause := m.MinInterval
		if m.lastCallFailed {
			pause = max(pause, minRetryPause)
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
	wait := m.WatchTimeout
	if m.lastCallFailed {
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
	m.OnChange(m.rows)
	return nil
}

// Load reads all rows. Run calls it first, unless it was called before, and again when
// Watch fails with ErrCompacted.
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
	m.OnChange(m.rows)
	return nil
}
