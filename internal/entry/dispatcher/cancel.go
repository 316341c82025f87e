package dispatcher

import (
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
)

// maxEarlyCancels limits the cancellations that are kept for jobs that aren't known
// yet.
const maxEarlyCancels = 4096

// cancelJob stops a job whose cancellation is stored, or forwards the cancellation if
// the job was moved to another shard. Jobs and cancellations are received separately,
// so a cancellation that arrives before its job is kept for it. The lock must be held.
func (o *owner) cancelJob(now time.Time, id dispatch.JobID) {
	switch {
	case o.moved[id] != nil:
		o.forwardCancel(id)
	case o.engine.HasJob(id):
		o.cancelKnownJob(now, id)
	case o.unloaded[id] != nil:
		o.unloaded[id].wanted = true
	default:
		if len(o.earlyCancels) >= maxEarlyCancels {
			o.node.Counters.Add("Cancel.EarlyDropped", int64(len(o.earlyCancels)))
			clear(o.earlyCancels)
		}
		o.earlyCancels[id] = true
	}
}

// addJob adds a stored job to the engine, and cancels it if its cancellation arrived
// first. The lock must be held.
func (o *owner) addJob(now time.Time, j dispatch.Job, progress dispatch.Progress, recovered bool) {
	o.engine.AddJob(now, j, progress, recovered)
	if o.earlyCancels[j.ID] {
		delete(o.earlyCancels, j.ID)
		o.cancelKnownJob(now, j.ID)
	}
}

// cancelKnownJob stops a job, also in the shards to which tasks of it were transferred. The lock must be
// held.
func (o *owner) cancelKnownJob(now time.Time, id dispatch.JobID) {
	if o.engine.HasEnded(id) {
		return
	}
	o.engine.Cancel(now, id)
	for _, to := range o.engine.TransferTargets(id) {
		o.group.Go(func() error { o.cancelTransfer(id, shardID(to)); return nil })
	}
}
