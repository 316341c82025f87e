package worker

import (
	"time"

	protocol "github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
)

// Reasons why a task stopped or failed.
const (
	// ReasonLeaseExpired stops a task whose lease ended.
	ReasonLeaseExpired = "LeaseExpired"
	// ReasonWorkerFault fails each task of a worker that has Faults.FailEverything.
	ReasonWorkerFault = "WorkerFault"
	// ReasonBadPayload fails a task whose payload or checkpoint isn't valid JSON of its
	// type.
	ReasonBadPayload = "BadPayload"
	// ReasonStoreUnavailable stops a task whose payload or checkpoint couldn't be read.
	ReasonStoreUnavailable = "ObjectStoreUnavailable"
	// ReasonPayloadNotFound fails a task whose payload object doesn't exist. A checkpoint
	// that doesn't exist only makes the task start from the beginning.
	ReasonPayloadNotFound = "ObjectNotFound"
)

// advance advances the simulated tasks to now. No task progresses past the end of the
// lease, however late advance is called.
func (w *Worker) advance(now time.Time) {
	limit := now
	expired := !w.leaseEnd.IsZero() && !now.Before(w.leaseEnd)
	if expired {
		limit = w.leaseEnd
	}
	for _, t := range w.tasks {
		w.advanceTask(now, limit, t)
	}
	if expired {
		w.expireLease(now)
	}
	for _, t := range w.tasks {
		if t.state == protocol.Checkpointing && !now.Before(t.stopDeadline) {
			w.stopNow(now, t, t.reason)
		}
	}
	w.usage.recordPeriod(now, durationOrDefault(w.UsagePeriod, DefaultUsagePeriod), w.tasks)
}

func (w *Worker) advanceTask(now, limit time.Time, t *task) {
	t.advance(limit, w.slowFactor())
	switch {
	case t.state != protocol.Running || !t.loaded:
	case w.faults.FailEverything:
		t.fail(ReasonWorkerFault)
		w.recordTask(now, EventFinish, t)
	case t.isComplete():
		t.complete()
		w.recordTask(now, EventFinish, t)
	case t.isCheckpointDue(limit):
		w.writeCheckpoint(now, t)
	}
}

// expireLease stops every task at the end of the lease. A task may write its checkpoint
// until StopTime after the end: later, the task may run on another worker, and the
// write could replace a newer checkpoint.
func (w *Worker) expireLease(now time.Time) {
	deadline := w.leaseEnd.Add(w.stopTime())
	w.leaseEnd = time.Time{}
	if !w.hasUnfinishedTasks() {
		return
	}
	w.record(now, Event{Kind: EventLeaseExpiry})
	for _, t := range w.tasks {
		if t.state.IsFinal() {
			continue
		}
		if !now.Before(deadline) {
			w.stopNow(now, t, ReasonLeaseExpired)
			continue
		}
		if t.state == protocol.Running {
			w.checkpointAndStop(now, t, ReasonLeaseExpired, deadline)
		}
	}
}

func (w *Worker) hasUnfinishedTasks() bool {
	for _, t := range w.tasks {
		if !t.state.IsFinal() {
			return true
		}
	}
	return false
}

// stopNow stops a task without waiting. The outcome of a checkpoint write that is still
// in progress is ignored.
func (w *Worker) stopNow(now time.Time, t *task, reason string) {
	t.state = protocol.Stopped
	t.reason = reason
	w.recordTask(now, EventStop, t)
}

// checkpointAndStop ends the task's progress and stops the task once a last checkpoint
// is written or the deadline has passed.
func (w *Worker) checkpointAndStop(now time.Time, t *task, reason string, deadline time.Time) {
	if !t.canCheckpoint() {
		w.stopNow(now, t, reason)
		return
	}
	t.state = protocol.Checkpointing
	t.reason = reason
	t.stopDeadline = deadline
	if !t.writingCheckpoint {
		w.writeCheckpoint(now, t)
	}
}
