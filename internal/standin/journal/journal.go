// Package journal records the events of a stand-in, so that tests can check safety
// independently of the scheduler's own state.
package journal

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sync"
)

// MaxEntries is the number of entries that a Journal keeps in memory. It is enough for a
// soak test of an hour at 250 entries per second.
const MaxEntries = 1 << 20

// OverflowHeader is the header of a response that lacks the entries beyond MaxEntries.
const OverflowHeader = "Jacinthtrail-Journal-Overflow"

// Journal keeps entries in the order in which they were added. It is safe for
// concurrent use, and its zero value is ready to use.
type Journal[T any] struct {
	// Sink also receives each entry as a JSON line; nil means none. With a file as Sink,
	// the entries remain after the stand-in process is killed.
	Sink io.Writer

	mu         sync.Mutex
	entries    []T
	overflowed bool
}

// Add appends an entry. Entries beyond Limit go only to the Sink.
func (j *Journal[T]) Add(entry T) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.Sink != nil {
		// The error is ignored: a full disk must not stop the stand-in, and the entries are
		// also kept in memory.
		_ = json.NewEncoder(j.Sink).Encode(entry)
	}
	if len(j.entries) >= MaxEntries {
		j.overflowed = true
		return
	}
	j.entries = append(j.entries, entry)
}

// Entries returns a copy of the entries in memory.
func (j *Journal[T]) Entries() []T {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Clone(j.entries)
}

// ServeHTTP responds with one JSON line per entry.
func (j *Journal[T]) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	j.mu.Lock()
	entries, overflow := slices.Clone(j.entries), j.overflowed
	j.mu.Unlock()
	w.Header().Set("Content-Type", "application/jsonl")
	if overflow {
		w.Header().Set(OverflowHeader, "true")
	}
	encoder := json.NewEncoder(w)
	for _, entry := range entries {
		if err := encoder.Encode(entry); err != nil {
			return
		}
	}
}
