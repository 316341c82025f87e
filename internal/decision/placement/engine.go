// Package placement decides which batch task runs on which worker of a shard.
//
// An Engine is told facts with the current time and returns decisions. It does no
// I/O, reads no clock and starts no goroutine; the same facts give the same
// decisions. Its ledger counts an attempt on its worker from the Start decision
// until TaskEnded or RemoveWorker, so a lost message never frees anything.
package placement

import (
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/manifest"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// Engine places the tasks of one shard. The zero value is ready for use. It must
// be used by one goroutine at a time.
type Engine struct{}

// Configure puts a manifest version in force.
func (e *Engine) Configure(now time.Time, published manifest.Published) {}

// SetEpoch sets the epoch of the owner. Attempts are epoch<<32 plus a sequence
// number, so those of a later owner are higher.
func (e *Engine) SetEpoch(epoch worker.Epoch) {}

// SetWorker adds a worker or changes what is known about it.
func (e *Engine) SetWorker(now time.Time, w Worker) {}

// RemoveWorker forgets a worker; its tasks become pending again. It must only be
// called once nothing can run on the worker any more.
func (e *Engine) RemoveWorker(now time.Time, id membership.InstanceID) {}

// AddJob queues a job. The error is a *RefusalError.
func (e *Engine) AddJob(now time.Time, job Job) error { return nil }

// RestoreJob queues an accepted job after a takeover. Unlike AddJob it refuses
// only duplicates and invalid jobs, since workers may not be known yet.
func (e *Engine) RestoreJob(now time.Time, job Job) error { return nil }

// Restore enters a task that was found on a worker. Its worker must be known. A
// task whose job is unknown, or that runs elsewhere already, is counted and
// stopped by the next Tick.
func (e *Engine) Restore(now time.Time, task RunningTask) {}

// CancelJob drops the pending tasks of a job and stops the running ones over the
// next ticks. It reports whether the job was known.
func (e *Engine) CancelJob(now time.Time, id worker.JobID) bool { return false }

// TaskStarted reports that a worker runs an attempt.
func (e *Engine) TaskStarted(now time.Time, attempt worker.TaskAttempt) {}

// TaskEnded reports that an attempt uses nothing any more. An unknown attempt is
// ignored, so the report may be repeated.
func (e *Engine) TaskEnded(now time.Time, end TaskEnd) {}

// Report enters a worker's usage sample.
func (e *Engine) Report(now time.Time, id membership.InstanceID, sample worker.UsageSample) {}

// Allow sets whether tasks may start. Nothing starts before the first call.
func (e *Engine) Allow(now time.Time, permit StartPermit) {}

// Evacuate checkpoints and stops every task while on is set, the most urgent
// deadline first. Nothing starts meanwhile.
func (e *Engine) Evacuate(now time.Time, on bool) {}

// Movable returns up to limit jobs without running attempts while the shard is
// evacuated, the latest possible start first. CancelJob forgets one that has moved.
func (e *Engine) Movable(limit int) []worker.JobID { return nil }

// Tick returns the decisions that are due. Its work is bounded whatever the
// length of the queue; call it several times a second.
func (e *Engine) Tick(now time.Time) []Decision { return nil }

// ExplainTask tells what became of a task and why.
func (e *Engine) ExplainTask(now time.Time, id worker.TaskID) (Explanation, bool) {
	return Explanation{}, false
}

// ExplainJob tells what became of a job and why.
func (e *Engine) ExplainJob(now time.Time, id worker.JobID) (Explanation, bool) {
	return Explanation{}, false
}

// Summary counts workers, capacity, queue and running tasks.
func (e *Engine) Summary() Summary { return Summary{} }
