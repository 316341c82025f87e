// Package explanation keeps the latest decisions of an entry instance, so that
// operators can ask what was decided and why.
package explanation

import (
	"sync"

	"github.com/jacinthtrail/jacinthtrail/internal/operator/control"
)

// Limits of a Log. With about 300 bytes an event the log stays below 20 MB.
const (
	maxSubjects         = 8192
	maxEventsPerSubject = 8
)

// subject is what events are about.
type subject struct {
	kind control.Kind
	id   string
}

// Log keeps the last events of the subjects that were touched last. The zero
// value is empty and ready to use.
type Log struct {
	mu     sync.Mutex
	events map[subject][]control.Event
	// order lists the subjects by their first event, as a ring.
	order []subject
	next  int
}

// Add keeps an event. It drops the oldest event of the subject, or the oldest
// subject, when a limit is reached.
func (l *Log) Add(kind control.Kind, id string, event control.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.events == nil {
		l.events = map[subject][]control.Event{}
	}
	key := subject{kind, id}
	events, known := l.events[key]
	if !known {
		l.admit(key)
	}
	if len(events) >= maxEventsPerSubject {
		events = append(events[:0:0], events[1:]...)
	}
	l.events[key] = append(events, event)
}

func (l *Log) admit(key subject) {
	if len(l.order) < maxSubjects {
		l.order = append(l.order, key)
		return
	}
	delete(l.events, l.order[l.next])
	l.order[l.next] = key
	l.next = (l.next + 1) % maxSubjects
}

// Find returns the events of a subject, oldest first.
func (l *Log) Find(kind control.Kind, id string) []control.Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]control.Event(nil), l.events[subject{kind, id}]...)
}
