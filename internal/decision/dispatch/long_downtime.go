package dispatch

import (
	"fmt"
	"time"
)

const (
	// longDowntime is the downtime of a long-running task that is recorded with its cause. The
	// platform counts a task as lost 9 s after its last run.
	longDowntime = 4 * time.Second
	// longDowntimeInterval is the time between two searches for tasks that are down for long.
	longDowntimeInterval = 500 * time.Millisecond
)

// recordLongDowntimes records, once for each downtime, why a long-running task that ran before
// isn't at work for long.
func (e *Engine) recordLongDowntimes(now time.Time) {
	if now.Sub(e.longDowntimesCheckedAt) < longDowntimeInterval {
		return
	}
	e.longDowntimesCheckedAt = now
	for _, j := range e.jobs {
		if j.outcome != "" || !j.Steps[0].LongRunning {
			continue
		}
		j.eachTask(func(t *task) { e.recordLongDowntime(now, t) })
	}
}

func (e *Engine) recordLongDowntime(now time.Time, t *task) {
	d := &t.down
	ranBefore := !t.lastRunAt.IsZero() || t.isDownSinceTakeover()
	if d.since.IsZero() || d.recorded || !ranBefore || now.Sub(d.since) < longDowntime {
		return
	}
	d.recorded = true
	e.count("Task.DownForLong")
	e.record(now, Decision{
		Event: "TaskDownForLong", Task: TaskRun{t.id, t.run}, Worker: d.worker, Took: now.Sub(d.since),
		Reason: d.reason + "; " + e.explainDowntime(now, t),
	})
}

// explainDowntime returns what keeps a task that is down from being at work.
func (e *Engine) explainDowntime(now time.Time, t *task) string {
	switch {
	case t.attempt != nil:
		return fmt.Sprintf("run %d on %s is %s, sent %s ago", t.attempt.run, t.attempt.worker.ID, t.attempt.phase, now.Sub(t.attempt.sentAt))
	case e.mustAwaitRecovery(now, t.step.job):
		return "recovery hasn't ended"
	}
	suitable, withRoom, held := 0, 0, 0
	for _, w := range e.sortedWorkers {
		if !e.meetsConstraints(t.step, w) || !e.isPermitted(now, t.step, w) {
			continue
		}
		suitable++
		if t.step.Reserved().FitsIn(w.free()) {
			withRoom++
			if !w.hold.allows(now, t.step) {
				held++
			}
		}
	}
	waits := "waits for room"
	switch {
	case !t.deferredSince.IsZero() && now.Before(t.nextSearchAt):
		waits = fmt.Sprintf("waits for a better worker, for %s so far", now.Sub(t.deferredSince))
	case t.step.yieldsToShortTasks(now):
		waits = "waits for room and yields to short tasks"
	}
	return fmt.Sprintf("%s; of %d suitable workers %d have room, and %d of these are held for others", waits, suitable, withRoom, held)
}
