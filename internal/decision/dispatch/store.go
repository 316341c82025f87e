package dispatch

import (
	"maps"
	"slices"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// Update is the new stored state of a job.
type Update struct {
	ID JobID
	// Outcome is set when the job is over; nothing else need be kept then.
	Outcome  JobState
	Progress Progress
}

// Batch is a set of updates to store in one transaction.
type Batch struct {
	Updates []Update
	// observed has the ends that workers may forget once the batch is stored.
	observed map[membership.InstanceID]observation
}

type observation struct {
	born   int64
	number int64
}

// IsEmpty reports whether there is nothing to store and nothing to tell workers.
func (b Batch) IsEmpty() bool {
	return len(b.Updates) == 0 && len(b.observed) == 0
}

// Unstored reports whether the engine knows something that isn't stored.
func (e *Engine) Unstored() bool {
	return len(e.dirty) > 0
}

// TakeBatch returns up to limit updates. The caller passes the batch to Stored or
// to NotStored.
func (e *Engine) TakeBatch(limit int) Batch {
	var b Batch
	for _, id := range slices.Sorted(maps.Keys(e.dirty)) {
		if len(b.Updates) >= limit {
			return b
		}
		j := e.dirty[id]
		u := Update{ID: id, Outcome: j.outcome}
		if j.outcome == "" {
			u.Progress = j.progress()
		}
		b.Updates = append(b.Updates, u)
		delete(e.dirty, id)
	}
	b.observed = map[membership.InstanceID]observation{}
	for _, n := range e.sortedWorkers {
		if n.lastEndSeen > n.lastEndStored {
			b.observed[n.ID] = observation{n.incarnation, n.lastEndSeen}
		}
	}
	return b
}

// Stored notes that a batch is stored.
func (e *Engine) Stored(now time.Time, b Batch) {
	for _, u := range b.Updates {
		j := e.jobs[u.ID]
		if j == nil || u.Outcome == "" {
			continue
		}
		j.outcomeStored = true
		e.finished[u.ID] = finishedJob{u.Outcome, now}
		e.forgetTickets(j)
		e.forgetIfOver(j)
	}
	for id, o := range b.observed {
		if n := e.workers[id]; n != nil && n.incarnation == o.born {
			n.lastEndStored = max(n.lastEndStored, o.number)
		}
	}
}

// NotStored takes back a batch that could not be stored.
func (e *Engine) NotStored(b Batch) {
	for _, u := range b.Updates {
		if j := e.jobs[u.ID]; j != nil {
			e.markDirty(j)
		}
	}
}

// AwaitsStore reports whether a worker lists ends that aren't stored yet, so that
// another poll would be answered at once with the same ends.
func (e *Engine) AwaitsStore(id membership.InstanceID) bool {
	n := e.workers[id]
	return n != nil && n.lastEndSeen > n.lastEndStored
}

func (e *Engine) forgetTickets(j *job) {
	for _, steps := range j.occurrences {
		for _, s := range steps {
			delete(e.tickets, s.id)
		}
	}
}
