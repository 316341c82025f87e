package table

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// maxRemovedRows limits the removed rows that a History remembers.
const maxRemovedRows = 1000

// History is a copy of the rows under a prefix that can tell which of them changed after a
// version. The zero value knows no rows. It is safe for concurrent use.
type History struct {
	lock sync.Mutex
	// latest has the last change of each row, also of removed ones.
	latest  map[Key]Change
	removed int
	// floor is the oldest version after which all changes are known, and version the one up to
	// which they are. Both are 0 until the first Reset.
	floor, version Version
	// readAt is when the rows were last read from the service.
	readAt time.Time
	// changed is closed at the next change, nil if nobody waits for it.
	changed chan struct{}
}

// Reset sets all rows at a version, as read at a time. Rows that were known and aren't among them
// were removed.
func (h *History) Reset(rows []Row, version Version, readAt time.Time) {
	h.lock.Lock()
	defer h.lock.Unlock()
	if h.latest == nil {
		h.latest, h.floor = map[Key]Change{}, version
	}
	present := make(map[Key]bool, len(rows))
	for _, r := range rows {
		present[r.Key] = true
		h.set(Change{Row: r})
	}
	for key, c := range h.latest {
		if !present[key] && !c.Removed {
			h.set(Change{Row: Row{Key: key, Version: version}, Removed: true})
		}
	}
	h.version, h.readAt = max(h.version, version), readAt
	h.notify()
}

// Apply adds the changes up to a version, as read at a time. It does nothing before the first
// Reset.
func (h *History) Apply(changes []Change, version Version, readAt time.Time) {
	h.lock.Lock()
	defer h.lock.Unlock()
	if h.latest == nil {
		return
	}
	for _, c := range changes {
		h.set(c)
	}
	h.version = max(h.version, version)
	if readAt.After(h.readAt) {
		h.readAt = readAt
	}
	if h.removed > maxRemovedRows {
		h.forgetRemoved()
	}
	if len(changes) > 0 {
		h.notify()
	}
}

// set records the change of a row unless a newer one is known. The lock must be held.
func (h *History) set(c Change) {
	known := h.latest[c.Key]
	if known.Version >= c.Version {
		return
	}
	if known.Removed {
		h.removed--
	}
	if c.Removed {
		h.removed++
	}
	h.latest[c.Key] = c
}

// forgetRemoved forgets the removed rows, and so which changes came before now. The lock must be
// held.
func (h *History) forgetRemoved() {
	for key, c := range h.latest {
		if c.Removed {
			delete(h.latest, key)
		}
	}
	h.removed, h.floor = 0, h.version
}

// notify wakes those that wait for a change. The lock must be held.
func (h *History) notify() {
	if h.changed != nil {
		close(h.changed)
		h.changed = nil
	}
}

// Since returns the last changes of the rows that changed after a version, in the order of their
// versions, and the version up to which they are complete. It fails with ErrCompacted if the
// changes since then aren't known.
func (h *History) Since(after Version) ([]Change, Version, error) {
	h.lock.Lock()
	defer h.lock.Unlock()
	if h.latest == nil || after < h.floor {
		return nil, 0, ErrCompacted
	}
	var changes []Change
	for _, c := range h.latest {
		if c.Version > after {
			changes = append(changes, c)
		}
	}
	slices.SortFunc(changes, func(a, b Change) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Key, b.Key))
	})
	return changes, max(h.version, after), nil
}

// ReadAt returns when the rows were last read from the service.
func (h *History) ReadAt() time.Time {
	h.lock.Lock()
	defer h.lock.Unlock()
	return h.readAt
}

// Changed returns a channel that is closed at the next change.
func (h *History) Changed() <-chan struct{} {
	h.lock.Lock()
	defer h.lock.Unlock()
	if h.changed == nil {
		h.changed = make(chan struct{})
	}
	return h.changed
}
