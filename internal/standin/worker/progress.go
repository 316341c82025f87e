package worker

import (
	"time"

	protocol "github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
)

// Reasons of tasks that stopped or failed.
const (
	// ReasonLeaseExpired stops a task whose lease ended.
	ReasonLeaseExpired = "LeaseExpired"
	// ReasonWorkerFault fails each task of a worker that fails everything.
	ReasonWorkerFault = "WorkerFault"
	// ReasonBadPayload fails a task whose payload is not valid.
	ReasonBadPayload = "BadPayload"
	// ReasonUnavailable stops a task whose payload or checkpoint could not be read.
	ReasonUnavailable = "ObjectStoreUnavailable"
	// ReasonNoObject fails a task whose payload or checkpoint does not exist.
	ReasonNoObject = "ObjectNotFound"
)

// advance lets time pass up to now. No task runs past the end of the lease, however
// late this is called.
func (w *Worker) advance(now time.Time) {
	limit := now
	expired := !w.leaseEnd.IsZero() && !now.Before(w.leaseEnd)
	if expired {
		limit = w.leaseEnd
	}
	for _, t := range w.tasks {
		w.progress(now, limit, t)
	}
	if expired {
		w.expire(now)
	}
	for _, t := range w.tasks {
		if t.state == protocol.Checkpointing && !now.Before(t.stopDeadline) {
			w.stopNow(now, t, t.reason)
		}
	}
	w.usage.sample(now, orDefault(w.UsagePeriod, DefaultUsagePeriod), w.tasks)
}

func (w *Worker) progress(now, limit time.Time, t *task) {
	t.run(limit, w.slowFactor())
	switch {
	case t.state != protocol.Running || !t.loaded:
	case w.faults.FailEverything:
		t.fail(ReasonWorkerFault)
		w.recordTask(now, EventFinish, t)
	case t.isComplete():
		t.finish()
		w.recordTask(now, EventFinish, t)
	case t.isCheckpointDue(limit):
		w.writeCheckpoint(now, t)
	}
}

// expire stops every task at the end of the lease. The checkpoint of a task may be
// written until StopTime after the end: later, the task may run elsewhere, and a
// write could replace a newer checkpoint.
func (w *Worker) expire(now time.Time) {
	deadline := w.leaseEnd.Add(w.stopTime())
	w.leaseEnd = time.Time{}
	if !w.hasRunning() {
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

func (w *Worker) hasRunning() bool {
	for _, t := range w.tasks {
		if !t.state.IsFinal() {
			return true
		}
	}
	return false
}

// stopNow ends a task. A checkpoint write that is still under way no longer counts.
func (w *Worker) stopNow(now time.Time, t *task, reason string) {
	t.state = protocol.Stopped
	t.reason = reason
	w.recordTask(now, EventStop, t)
}

// checkpointAndStop halts the task's progress, saves it if it can be saved before
// the deadline, and stops the task.
func (w *Worker) checkpointAndStop(now time.Time, t *task, reason string, deadline time.Time) {
	if !t.canCheckpoint() {
		w.stopNow(now, t, reason)
		return
	}
	t.state = protocol.Checkpointing
	t.reason = reason
	t.stopDeadline = deadline
	if !t.writing {
		w.writeCheckpoint(now, t)
	}
}
