package dispatcher

import (
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
)

// maxEarly bounds the cancellations that are kept for jobs that aren't known yet.
const maxEarly = 4096

// cancelJob stops a job whose cancellation is stored, or passes the cancellation on. Jobs
// and cancellations arrive on different ways, so one that comes before its job is kept
// for it. The lock must be held.
func (o *owner) cancelJob(now time.Time, id dispatch.JobID) {
	switch {
	case o.moved[id] != nil:
		o.passCancel(id)
	case o.engine.Knows(id):
		o.engine.Cancel(now, id)
	default:
		if len(o.early) >= maxEarly {
			o.node.Counters.Add("Cancel.EarlyDropped", int64(len(o.early)))
			clear(o.early)
		}
		o.early[id] = true
	}
}

// enter adds a stored job, and cancels it if its cancellation came first. The lock must
// be held.
func (o *owner) enter(now time.Time, j dispatch.Job, stored dispatch.Progress, recovered bool) {
	o.engine.AddJob(now, j, stored, recovered)
	if o.early[j.ID] {
		delete(o.early, j.ID)
		o.engine.Cancel(now, j.ID)
	}
}
