// Package explanation keeps the recent decisions of an entry instance in memory, so that
// operators can ask what was decided and why.
package explanation

import (
	"sync"

	"github.com/jacinthtrail/jacinthtrail/internal/operator/control"
)

// Limits of a Log. At about 300 bytes per event, they keep it below 20 MB.
const (
	maxSubjects         = 8192
	maxEventsPerSubject = 8
)

// subject is the task, job or request that events are about.
type subject struct {
	kind control.Kind
	id   string
}

// Log keeps the last maxEventsPerSubject events of each subject, for the maxSubjects
// subjects that were added last. The zero value is empty and ready to use.
type Log struct {
	mu     sync.Mutex
	events map[subject][]control.Event
	// ring is a ring buffer of the subjects in the order of their first events.
	ring []subject
	// oldest is the index in the full ring of the oldest subject, which is replaced next.
	oldest int
}

// Add appends an event to a subject. When a limit is reached, it drops the oldest event of
// the subject, or the oldest subject.
func (l *Log) Add(kind control.Kind, id string, event control.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.events == nil {
		l.events = map[subject][]control.Event{}
	}
	key := subject{kind, id}
	events, known := l.events[key]
	if !known {
		l.addSubject(key)
	}
	if len(events) >= maxEventsPerSubject {
		events = append(events[:0:0], events[1:]...)
	}
	l.events[key] = append(events, event)
}

func (l *Log) addSubject(key subject) {
	if len(l.ring) < maxSubjects {
		l.ring = append(l.ring, key)
		return
	}
	delete(l.events, l.ring[l.oldest])
	l.ring[l.oldest] = key
	l.oldest = (l.oldest + 1) % maxSubjects
}

// Find returns the events of a subject, oldest first.
func (l *Log) Find(kind control.Kind, id string) []control.Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]control.Event(nil), l.events[subject{kind, id}]...)
}
