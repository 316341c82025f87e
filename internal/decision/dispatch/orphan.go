package dispatch

import (
	"fmt"
	"time"
)

// orphan is a run that a worker has listed and that isn't in the owner's records: its job is unknown, or
// the owner or another shard runs its task elsewhere. It is told to stop. Until it must have ended, its
// worker gets no tasks, since its resources are unknown, and its task doesn't start again.
type orphan struct {
	// task is nil if its job is unknown.
	task *task
	// listed reports that the last report lists the run as running.
	listed     bool
	stopSentAt time.Time
}

// stopOrphan stops a run that isn't in this owner's records.
func (e *Engine) stopOrphan(now time.Time, w *worker, r TaskRun) {
	o := w.orphans[r]
	if o == nil {
		o = &orphan{}
		w.orphans[r] = o
		ev := w.evidence(now)
		e.record(now, Decision{
			Event: "TaskOrphan", Task: r, Worker: w.ID, Reason: explainOrphan(e.findTask(r.Task)), Age: ev.ReportAge, Evidence: &ev,
		})
	}
	o.listed = true
	if o.task == nil {
		o.attach(e.findTask(r.Task))
	}
	if now.Sub(o.stopSentAt) < stopRetryInterval {
		return
	}
	o.stopSentAt = now
	e.count("Task.Stray")
	e.issueStopCommand(w, r)
}

// explainOrphan returns why a run of the task wasn't adopted. The task is nil if its job is unknown.
func explainOrphan(t *task) string {
	switch {
	case t == nil:
		return "its job is unknown or has ended"
	case t.attempt == nil:
		return "another shard runs the task"
	}
	return fmt.Sprintf("run %d of the task on %s is %s", t.attempt.run, t.attempt.worker.ID, t.attempt.phase)
}

// attach keeps the task from starting while the orphan may be active. The task may be nil.
func (o *orphan) attach(t *task) {
	if t != nil {
		o.task = t
		t.orphans++
	}
}

// dropMissingOrphans drops the orphans that the last report would list if they were active. A run that is
// being stopped may be in neither list.
func (e *Engine) dropMissingOrphans(w *worker) {
	if w.hasMoreEnds {
		return
	}
	for r, o := range w.orphans {
		if !o.listed && w.pollSentAt.Sub(o.stopSentAt) >= MaxCommandTime+e.stopTimeout() {
			w.dropOrphan(r)
		}
	}
}

// dropOrphan forgets an orphan that has ended. The run may be none.
func (w *worker) dropOrphan(r TaskRun) {
	o := w.orphans[r]
	if o == nil {
		return
	}
	delete(w.orphans, r)
	if o.task != nil {
		o.task.orphans--
		o.task.dropRecord()
	}
}

// dropOrphans forgets all orphans of a worker on which none can be active.
func (w *worker) dropOrphans() {
	for r := range w.orphans {
		w.dropOrphan(r)
	}
}
