package dispatch

import (
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

const (
	// earlyEndRetention is how long the end of a task of an unknown job is kept for the job.
	earlyEndRetention = 30 * time.Second
	// maxEarlyEnds limits the ends that are kept.
	maxEarlyEnds = 4096
)

// earlyEnd is the end of a run that a worker reported before the owner knew the job. The earlier owner may
// have started a job that this one hasn't read from the store yet.
type earlyEnd struct {
	end    End
	worker membership.InstanceID
	at     time.Time
}

// earlyEnds has the early ends by job. The zero value is ready to use.
type earlyEnds struct {
	byJob map[JobID][]earlyEnd
	count int
}

// add keeps an end for its job.
func (ends *earlyEnds) add(e earlyEnd) {
	if ends.byJob == nil || ends.count >= maxEarlyEnds {
		ends.byJob, ends.count = map[JobID][]earlyEnd{}, 0
	}
	ends.byJob[e.end.Task.Job] = append(ends.byJob[e.end.Task.Job], e)
	ends.count++
}

// take removes and returns the ends of a job.
func (ends *earlyEnds) take(id JobID) []earlyEnd {
	list := ends.byJob[id]
	ends.count -= len(list)
	delete(ends.byJob, id)
	return list
}

// expire drops the ends of the jobs whose first end was reported too long ago.
func (ends *earlyEnds) expire(now time.Time) {
	for id, list := range ends.byJob {
		if now.Sub(list[0].at) > earlyEndRetention {
			ends.take(id)
		}
	}
}

// applyEarlyEnds applies the ends that were reported before a job was known.
func (e *Engine) applyEarlyEnds(now time.Time, id JobID) {
	for _, early := range e.earlyEnds.take(id) {
		w := e.workers[early.worker]
		if w == nil {
			w = newWorker(WorkerInfo{ID: early.worker}, now)
		}
		e.observeEnd(now, w, early.end)
	}
}
