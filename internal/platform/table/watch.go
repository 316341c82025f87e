package table

import (
	"cmp"
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
	// waits for the first change for at most the given time. It fails with ErrCompacted,
	// or with ErrUnavailable, also if ctx ends before there is an answer.
	Watch(ctx context.Context, prefix Key, after Version, wait time.Duration) ([]Change, Version, error)
}

// DefaultChangeBound is the ChangeBound of a Mirror that sets none.
const DefaultChangeBound = 2500 * time.Millisecond

// minRetryPause is the minimum time before a Mirror repeats a failed call.
const minRetryPause = 200 * time.Millisecond

// MirrorCall describes one call of a Mirror to the service.
type MirrorCall struct {
	// Snapshot reports that the call read all rows, not only their changes.
	Snapshot bool
	// Changes is the number of rows or changes that the call returned.
	Changes int
	// Version is the version up to which the copy is complete after the call.
	Version Version
	// Took is how long the call took, which includes the wait for a change.
	Took time.Duration
	// Age is the time since the previous successful call ended, 0 if there was none.
	Age time.Duration
	// AfterFailure reports that the previous call failed.
	AfterFailure bool
	Err          error
}

// Mirror maintains a copy of the rows under a prefix.
type Mirror struct {
	Watcher Watcher
	Prefix  Key
	// ChangeBound is how soon OnChange must be called after a change, and after the service
	// answers again. A call of Watch that is never answered and its repetition fit into it.
	// 0 means DefaultChangeBound.
	ChangeBound time.Duration
	// MinInterval is the minimum time between two calls.
	MinInterval time.Duration
	Clock       clockwork.Clock
	// OnChange is called with all rows after each change. It must not retain the map.
	OnChange func(rows map[Key]Row)
	// OnCall, if set, is called after each call to the service.
	OnCall func(c MirrorCall)

	rows    map[Key]Row
	version Version
	// succeededAt is when the last successful call ended.
	succeededAt time.Time
	// lastCallFailed reports that the last call failed. The next call then doesn't wait
	// for a change, so that it soon shows whether the service is available again.
	lastCallFailed bool
}

// Run keeps the copy up to date until ctx ends, and returns the error of ctx.
func (m *Mirror) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		m.step(ctx)
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

// step makes one call: for the changes, or for all rows if none are known yet.
func (m *Mirror) step(ctx context.Context) {
	if m.rows == nil {
		_ = m.Load(ctx)
		return
	}
	start := m.Clock.Now()
	changes, err := m.watch(ctx)
	if errors.Is(err, ErrCompacted) {
		_ = m.Load(ctx)
		return
	}
	m.recordCall(ctx, start, MirrorCall{Changes: changes, Err: err})
}

// watch waits for changes, applies them and returns their number. A service that was
// interrupted may never answer a call that it received before, so the call ends after half
// of ChangeBound. Half of that time is for the wait, half for the answer.
func (m *Mirror) watch(ctx context.Context) (int, error) {
	timeout := cmp.Or(m.ChangeBound, DefaultChangeBound) / 2
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	wait := timeout / 2
	if m.lastCallFailed {
		wait = 0
	}
	changes, version, err := m.Watcher.Watch(ctx, m.Prefix, m.version, wait)
	if err != nil {
		return 0, err
	}
	m.version = version
	if len(changes) == 0 {
		return 0, nil
	}
	for _, c := range changes {
		if c.Removed {
			delete(m.rows, c.Key)
		} else {
			m.rows[c.Key] = c.Row
		}
	}
	m.OnChange(m.rows)
	return len(changes), nil
}

// Load reads all rows. Run calls it first, unless it was called before, and again when
// Watch fails with ErrCompacted.
func (m *Mirror) Load(ctx context.Context) error {
	start := m.Clock.Now()
	rows, version, err := m.Watcher.Snapshot(ctx, m.Prefix)
	if err == nil {
		m.rows = make(map[Key]Row, len(rows))
		for _, r := range rows {
			m.rows[r.Key] = r
		}
		m.version = version
		m.OnChange(m.rows)
	}
	m.recordCall(ctx, start, MirrorCall{Snapshot: true, Changes: len(rows), Err: err})
	return err
}

// recordCall records the outcome of a call and reports it to OnCall, unless the mirror is
// being stopped.
func (m *Mirror) recordCall(ctx context.Context, start time.Time, c MirrorCall) {
	now := m.Clock.Now()
	c.Version, c.Took, c.AfterFailure = m.version, now.Sub(start), m.lastCallFailed
	if !m.succeededAt.IsZero() {
		c.Age = now.Sub(m.succeededAt)
	}
	m.lastCallFailed = c.Err != nil
	if c.Err == nil {
		m.succeededAt = now
	}
	if m.OnCall != nil && ctx.Err() == nil {
		m.OnCall(c)
	}
}
