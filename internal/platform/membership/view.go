package membership

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// View keeps the newest list that was read, for use while the service is down.
// It never goes back to a lower revision.
type View struct {
	lister Lister
	clock  clockwork.Clock

	mutex    sync.Mutex
	snapshot Snapshot
	read     time.Time // when the last successful read began; zero before the first
	older    uint64
}

// NewView returns an empty View of a list.
func NewView(lister Lister, clock clockwork.Clock) *View {
	return &View{lister: lister, clock: clock}
}

// Refresh reads the list and returns the newest one known. It fails like the
// Lister and keeps the last list then. A list with a lower revision than the last
// is dropped and doesn't count as a successful read.
func (v *View) Refresh(ctx context.Context) (Snapshot, error) {
	began := v.clock.Now()
	snapshot, changed, err := v.lister.ListAfter(ctx, v.revision())
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if err != nil {
		return v.snapshot, err
	}
	if !changed {
		if began.After(v.read) {
			v.read = began
		}
		return v.snapshot, nil
	}
	if !v.read.IsZero() && snapshot.Revision < v.snapshot.Revision {
		v.older++
		return v.snapshot, nil
	}
	v.snapshot = snapshot
	if began.After(v.read) {
		v.read = began
	}
	return v.snapshot, nil
}

func (v *View) revision() uint64 {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.snapshot.Revision
}

// Latest returns the newest list known and the time since the beginning of the
// last successful read. It reports false before the first. Callers must not
// change the list.
func (v *View) Latest() (snapshot Snapshot, age time.Duration, ok bool) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if v.read.IsZero() {
		return Snapshot{}, 0, false
	}
	return v.snapshot, v.clock.Since(v.read), true
}

// Older counts the lists that were dropped because of a lower revision.
func (v *View) Older() uint64 {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.older
}
