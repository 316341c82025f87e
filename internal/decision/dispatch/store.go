package dispatch

import (
	"maps"
	"slices"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// Update is the new state of a job to store.
type Update struct {
	ID JobID
	// Outcome is set when the job is finished. Progress isn't needed then.
	Outcome  JobState
	Progress Progress
	// OtherShard reports that the job is one of another shard, which has transferred tasks here.
	OtherShard bool
}

// Batch is a set of updates to store in one transaction.
type Batch struct {
	Updates []Update
	// reportedEnds has the ends that workers may forget once the batch is stored. It is
	// empty unless the batch has the last of the updates that were pending when the ends
	// were collected, because each update may record some of the ends.
	reportedEnds map[membership.InstanceID]lastReportedEnd
}

// lastReportedEnd is the number of the last end that one incarnation of a worker has
// reported.
type lastReportedEnd struct {
	incarnation int64
	lastEnd     int64
}

// IsEmpty reports whether there is nothing to store and nothing to acknowledge to
// workers.
func (b Batch) IsEmpty() bool {
	return len(b.Updates) == 0 && len(b.reportedEnds) == 0
}

// HasUnstored reports whether the engine has state that isn't stored.
func (e *Engine) HasUnstored() bool {
	return len(e.dirty) > 0
}

// TakeBatch returns up to limit updates. The caller must pass the batch to MarkStored or
// RequeueBatch before it takes the next one. The jobs that were unstored when the ends to
// acknowledge were last collected come first, so that workers get their ends acknowledged, and
// every job is stored in time, although more jobs may change than fit in a batch.
func (e *Engine) TakeBatch(limit int) Batch {
	if e.endsToAcknowledge == nil {
		e.endsToAcknowledge = e.unstoredEnds()
		e.awaitedUpdates = maps.Clone(e.dirty)
	}
	var b Batch
	ids := slices.Sorted(maps.Keys(e.awaitedUpdates))
	for _, id := range slices.Sorted(maps.Keys(e.dirty)) {
		if e.awaitedUpdates[id] == nil {
			ids = append(ids, id)
		}
	}
	for _, id := range ids {
		if len(b.Updates) >= limit {
			break
		}
		delete(e.awaitedUpdates, id)
		j := e.dirty[id]
		if j == nil {
			continue
		}
		if j.awaitsTransfers() {
			delete(e.dirty, id)
			continue
		}
		u := Update{ID: id, Outcome: j.outcome, OtherShard: len(j.Transferred) > 0}
		if j.outcome == "" {
			u.Progress = j.progress()
		}
		b.Updates = append(b.Updates, u)
		delete(e.dirty, id)
	}
	e.storing = len(b.Updates) > 0
	switch {
	case len(e.dirty) == 0:
		b.reportedEnds, e.endsToAcknowledge = e.unstoredEnds(), nil
	case len(e.awaitedUpdates) == 0:
		b.reportedEnds, e.endsToAcknowledge = e.endsToAcknowledge, nil
	}
	return b
}

// unstoredEnds returns the last end of each worker that has reported ends that aren't stored.
func (e *Engine) unstoredEnds() map[membership.InstanceID]lastReportedEnd {
	ends := map[membership.InstanceID]lastReportedEnd{}
	for _, w := range e.sortedWorkers {
		if w.lastEndSeen > w.lastEndStored {
			ends[w.ID] = lastReportedEnd{w.incarnation, w.lastEndSeen}
		}
	}
	return ends
}

// MarkStored records that a batch is stored.
func (e *Engine) MarkStored(now time.Time, b Batch) {
	e.storing = false
	for _, u := range b.Updates {
		j := e.jobs[u.ID]
		if j == nil {
			continue
		}
		if u.Outcome == "" {
			e.issueTransfers(j, u.Progress)
			continue
		}
		j.outcomeStored = true
		e.finishedJobs[u.ID] = finishedJob{u.Outcome, now}
		e.forgetTickets(j)
		e.forgetIfFinished(j)
	}
	for id, o := range b.reportedEnds {
		if w := e.workers[id]; w != nil && w.incarnation == o.incarnation {
			w.lastEndStored = max(w.lastEndStored, o.lastEnd)
			w.unstoredEnds = slices.DeleteFunc(w.unstoredEnds, func(end End) bool { return end.Number <= w.lastEndStored })
		}
	}
}

// RequeueBatch returns a batch that couldn't be stored to the set of pending updates.
func (e *Engine) RequeueBatch(b Batch) {
	e.storing, e.endsToAcknowledge = false, nil
	for _, u := range b.Updates {
		if j := e.jobs[u.ID]; j != nil {
			e.markDirty(j)
		}
	}
}

// DropRejected gives up a batch that can never be stored. Its unfinished jobs fail: a later owner would
// run tasks again that have succeeded.
func (e *Engine) DropRejected(now time.Time, b Batch) {
	e.RequeueBatch(b)
	for _, u := range b.Updates {
		j := e.jobs[u.ID]
		switch {
		case j == nil:
		case u.Outcome != "":
			delete(e.dirty, u.ID)
		default:
			e.finish(now, j, Failed, "its progress can't be stored")
		}
	}
}

// HasUnstoredEnds reports whether a worker has reported ends that aren't stored yet.
// Another poll would be answered immediately with the same ends.
func (e *Engine) HasUnstoredEnds(id membership.InstanceID) bool {
	w := e.workers[id]
	return w != nil && w.lastEndSeen > w.lastEndStored
}

// AwaitsStoring reports whether ends that a worker has reported wait for updates to be stored. An end
// that changes nothing is acknowledged with the next heartbeat of the owner.
func (e *Engine) AwaitsStoring(id membership.InstanceID) bool {
	return e.HasUnstoredEnds(id) && (e.storing || e.HasUnstored())
}

func (e *Engine) forgetTickets(j *job) {
	for k := range j.occurrences {
		for i := range j.Steps {
			delete(e.tickets, StepID{j.ID, k, i})
		}
	}
}
