package table

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/jacinthtrail/jacinthtrail/internal/platform/progress"
)

// ErrCompacted reports that the changes after a version are no longer available, so that
// all rows must be read again.
var ErrCompacted = errors.New("table: the history is compacted")

// PartialAnswerError reports that only the beginning of an answer arrived.
type PartialAnswerError struct {
	// Received is the number of bytes that arrived, and Size the size of the whole answer in
	// bytes, -1 if the service didn't announce it.
	Received, Size int64
	Err            error
}

// Error returns the numbers of bytes and the cause.
func (e *PartialAnswerError) Error() string {
	return fmt.Sprintf("%d of %d bytes of the answer received: %v", e.Received, e.Size, e.Err)
}

// Unwrap returns the cause.
func (e *PartialAnswerError) Unwrap() error { return e.Err }

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
	// waits for the first change for at most the given time. It reports the arrival of the
	// answer to package progress. It fails with ErrCompacted, or with ErrUnavailable, also if
	// ctx ends before there is an answer.
	Watch(ctx context.Context, prefix Key, after Version, wait time.Duration) ([]Change, Version, error)
}

// PageReader is a Watcher that can return the rows page by page, so that they needn't all be in memory.
type PageReader interface {
	// Pages calls visit with the rows whose keys start with prefix, some at a time and in the order of their
	// keys, and returns the version from which Watch reports all later changes.
	Pages(ctx context.Context, prefix Key, visit func([]Row)) (Version, error)
}

// copyWatcher is a Watcher that may read from a copy of the rows. CopyAge returns how old the
// copy was when the last call ended.
type copyWatcher interface {
	CopyAge() time.Duration
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
	// Age is the time since the rows were last read before the call, as in MirrorState, 0 if they
	// weren't.
	Age time.Duration
	// AfterFailure reports that the previous call failed.
	AfterFailure bool
	Err          error
}

// MirrorPhase is what a Mirror is doing.
type MirrorPhase string

// The phases of a Mirror.
const (
	// MirrorPausing means that the mirror pauses between two calls.
	MirrorPausing MirrorPhase = "Pausing"
	// MirrorReading means that the mirror waits for the service.
	MirrorReading MirrorPhase = "Reading"
	// MirrorApplying means that OnChange is running.
	MirrorApplying MirrorPhase = "Applying"
)

// MirrorState describes a Mirror at a moment.
type MirrorState struct {
	Phase MirrorPhase
	// PhaseAge is the time since the phase began.
	PhaseAge time.Duration
	// Age is the time since the rows were last read from the service, directly or by the instance
	// from whose copy they come, 0 if they weren't.
	Age time.Duration
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
	// Trim, if set, is called with each row before it is kept, and returns what is kept of it. A row of which
	// nothing is to be read again needs no value. OnChange gets the rows as they are kept.
	Trim func(r Row) Row
	// OnCall, if set, is called after each call to the service.
	OnCall func(c MirrorCall)

	rows    map[Key]Row
	version Version
	// lastCallFailed reports that the last call failed. The next call then doesn't wait
	// for a change, so that it soon shows whether the service is available again.
	lastCallFailed bool

	// lock guards the fields below, which State reads.
	lock       sync.Mutex
	phase      MirrorPhase
	phaseSince time.Time
	// succeededAt is when the last successful call ended, or when the copy was read that it returned.
	succeededAt time.Time
}

// State returns what the mirror is doing. It may be called while the mirror runs.
func (m *Mirror) State() MirrorState {
	m.lock.Lock()
	defer m.lock.Unlock()
	now := m.Clock.Now()
	state := MirrorState{Phase: m.phase}
	if !m.phaseSince.IsZero() {
		state.PhaseAge = now.Sub(m.phaseSince)
	}
	if !m.succeededAt.IsZero() {
		state.Age = now.Sub(m.succeededAt)
	}
	return state
}

// enter records that a phase begins.
func (m *Mirror) enter(phase MirrorPhase) {
	m.lock.Lock()
	defer m.lock.Unlock()
	m.phase, m.phaseSince = phase, m.Clock.Now()
}

// apply passes the rows to OnChange.
func (m *Mirror) apply() {
	m.enter(MirrorApplying)
	m.OnChange(m.rows)
}

// Run keeps the copy up to date until ctx ends, and returns the error of ctx.
func (m *Mirror) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		m.step(ctx)
		pause := m.MinInterval
		if m.lastCallFailed {
			pause = max(pause, minRetryPause)
		}
		m.enter(MirrorPausing)
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
	m.enter(MirrorReading)
	changes, err := m.watch(ctx)
	if errors.Is(err, ErrCompacted) {
		_ = m.Load(ctx)
		return
	}
	m.recordCall(ctx, start, MirrorCall{Changes: changes, Err: err})
}

// watch waits for changes, applies them and returns their number. A service that was
// interrupted may never answer a call that it received before, so the call ends after half
// of ChangeBound, unless its answer is arriving. Half of that time is for the wait, half for
// the answer to begin.
func (m *Mirror) watch(ctx context.Context) (int, error) {
	timeout := cmp.Or(m.ChangeBound, DefaultChangeBound) / 2
	ctx, cancel := progress.WithTimeout(ctx, timeout)
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
			m.rows[c.Key] = m.trim(c.Row)
		}
	}
	m.apply()
	return len(changes), nil
}

// Load reads all rows. Run calls it first, unless it was called before, and again when
// Watch fails with ErrCompacted.
func (m *Mirror) Load(ctx context.Context) error {
	start := m.Clock.Now()
	m.enter(MirrorReading)
	rows, version, err := m.readAll(ctx)
	if err == nil {
		m.rows, m.version = rows, version
		m.apply()
	}
	m.recordCall(ctx, start, MirrorCall{Snapshot: true, Changes: len(rows), Err: err})
	return err
}

// readAll reads all rows, if possible page by page.
func (m *Mirror) readAll(ctx context.Context) (map[Key]Row, Version, error) {
	rows := map[Key]Row{}
	keep := func(page []Row) {
		for _, r := range page {
			rows[r.Key] = m.trim(r)
		}
	}
	if reader, ok := m.Watcher.(PageReader); ok && m.Trim != nil {
		version, err := reader.Pages(ctx, m.Prefix, keep)
		return rows, version, err
	}
	all, version, err := m.Watcher.Snapshot(ctx, m.Prefix)
	keep(all)
	return rows, version, err
}

// trim returns what is kept of a row.
func (m *Mirror) trim(r Row) Row {
	if m.Trim == nil {
		return r
	}
	return m.Trim(r)
}

// recordCall records the outcome of a call and reports it to OnCall, unless the mirror is
// being stopped.
func (m *Mirror) recordCall(ctx context.Context, start time.Time, c MirrorCall) {
	now := m.Clock.Now()
	c.Version, c.Took, c.AfterFailure = m.version, now.Sub(start), m.lastCallFailed
	c.Age = m.State().Age
	m.lastCallFailed = c.Err != nil
	if c.Err == nil {
		m.recordSuccess(now.Add(-m.copyAge()))
	}
	if m.OnCall != nil && ctx.Err() == nil {
		m.OnCall(c)
	}
}

// copyAge returns how old the rows of the last call were when it ended.
func (m *Mirror) copyAge() time.Duration {
	if w, ok := m.Watcher.(copyWatcher); ok {
		return w.CopyAge()
	}
	return 0
}

func (m *Mirror) recordSuccess(at time.Time) {
	m.lock.Lock()
	defer m.lock.Unlock()
	m.succeededAt = at
}
