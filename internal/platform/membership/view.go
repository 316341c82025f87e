package membership

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// View caches the newest list that was read, for use while the service is unavailable.
// It never returns to a lower revision.
type View struct {
	lister Lister
	clock  clockwork.Clock

	mutex    sync.Mutex
	snapshot Snapshot
	lastRead time.Time // when the last successful read began; zero before the first
	outdated uint64    // lists dropped because of a lower revision
}

// NewView returns a View that has not read a list yet.
func NewView(lister Lister, clock clockwork.Clock) *View {
	return &View{lister: lister, clock: clock}
}

// Refresh reads the list and returns the newest one known. If the Lister fails, Refresh
// returns its error and keeps the last list. A list with a lower revision than the last
// one is dropped and doesn't count as a successful read.
func (v *View) Refresh(ctx context.Context) (Snapshot, error) {
	start := v.clock.Now()
	snapshot, changed, err := v.lister.ListAfter(ctx, v.currentRevision())
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if err != nil {
		return v.snapshot, err
	}
	if !changed {
		if start.After(v.lastRead) {
			v.lastRead = start
		}
		return v.snapshot, nil
	}
	if !v.lastRead.IsZero() && snapshot.Revision < v.snapshot.Revision {
		v.outdated++
		return v.snapshot, nil
	}
	v.snapshot = snapshot
	if start.After(v.lastRead) {
		v.lastRead = start
	}
	return v.snapshot, nil
}

func (v *View) currentRevision() uint64 {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.snapshot.Revision
}

// Latest returns the newest list known and the time since the start of the last
// successful read. It returns false before the first successful read. Callers must not
// modify the list.
func (v *View) Latest() (snapshot Snapshot, age time.Duration, ok bool) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if v.lastRead.IsZero() {
		return Snapshot{}, 0, false
	}
	return v.snapshot, v.clock.Since(v.lastRead), true
}

// OutdatedCount returns the number of lists that were dropped because of a lower revision.
func (v *View) OutdatedCount() uint64 {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.outdated
}
