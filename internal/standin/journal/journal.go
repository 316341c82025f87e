// Package journal records what a stand-in did, so that tests can judge safety
// from it instead of from the scheduler's own state.
package journal

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sync"
)

// Limit is the number of entries that a Journal keeps in memory. It holds a soak
// run of an hour at 250 entries per second.
const Limit = 1 << 20

// OverflowHeader is set on an answer that misses entries beyond Limit.
const OverflowHeader = "Jacinthtrail-Journal-Overflow"

// Journal keeps entries in the order in which they were added. It is safe for
// concurrent use, and its zero value works.
type Journal[T any] struct {
	// Sink also receives each entry as a JSON line; nil means none. It outlives a
	// stand-in process that is killed.
	Sink io.Writer

	mu       sync.Mutex
	entries  []T
	overflow bool
}

// Add appends an entry. Entries beyond Limit go only to the Sink.
func (j *Journal[T]) Add(entry T) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.Sink != nil {
		// A full disk must not stop the stand-in; the entries in memory remain.
		_ = json.NewEncoder(j.Sink).Encode(entry)
	}
	if len(j.entries) >= Limit {
		j.overflow = true
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

// ServeHTTP answers with one JSON line per entry.
func (j *Journal[T]) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	j.mu.Lock()
	entries, overflow := slices.Clone(j.entries), j.overflow
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
