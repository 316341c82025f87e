package dispatch

import (
	"fmt"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
)

const (
	// longDowntime is the downtime of a long-running task that is recorded with its cause. The
	// platform counts a task as lost 9 s after its last run.
	longDowntime = 4 * time.Second
	// longDowntimeRepeat is the time after which a task that is still down is recorded again, since
	// what it waits for changes.
	longDowntimeRepeat = 2 * time.Second
	// longDowntimeInterval is the time between two searches for tasks that are down for long.
	longDowntimeInterval = 500 * time.Millisecond
	// maxLongDowntimes limits the tasks that one search records. The others follow in the next ones.
	maxLongDowntimes = 64
)

// AwaitedCondition is what a task that is down waits for.
type AwaitedCondition string

// Awaited conditions.
const (
	// AwaitsOwnRun means that a run of the task is being started or stopped, or starts up.
	AwaitsOwnRun AwaitedCondition = "OwnRun"
	// AwaitsRecovery means that runs of the earlier owner may be active.
	AwaitsRecovery AwaitedCondition = "Recovery"
	// AwaitsOtherRun means that a run of the task outside the owner's records may be active.
	AwaitsOtherRun AwaitedCondition = "OtherRun"
	// AwaitsRetry means that a worker couldn't parse the last start command.
	AwaitsRetry AwaitedCondition = "Retry"
	// AwaitsBetterWorker means that a worker has room, but would block fillers.
	AwaitsBetterWorker AwaitedCondition = "BetterWorker"
	// AwaitsShortTasks means that the task waits for room and lets short tasks go first.
	AwaitsShortTasks AwaitedCondition = "ShortTasks"
	// AwaitsRoom means that the task waits for room.
	AwaitsRoom AwaitedCondition = "Room"
)

// LongDowntime describes a long-running task that is down for long.
type LongDowntime struct {
	Awaits AwaitedCondition
	// Resources are what the task reserves.
	Resources resource.Vector
	// UnavailableWithRoom is the number of workers that aren't available but have room for the task.
	UnavailableWithRoom int
	// WaitingTasks is the number of tasks of the same step that wait, including this one.
	WaitingTasks int
}

// recordLongDowntimes records, after longDowntime and then every longDowntimeRepeat, why a
// long-running task that ran before isn't at work.
func (e *Engine) recordLongDowntimes(now time.Time) {
	if now.Sub(e.longDowntimesCheckedAt) < longDowntimeInterval {
		return
	}
	e.longDowntimesCheckedAt = now
	recorded := 0
	for _, j := range e.jobs {
		if j.outcome != "" || !j.Steps[0].LongRunning {
			continue
		}
		j.eachRecord(func(t *task) {
			if recorded < maxLongDowntimes && e.recordLongDowntime(now, t) {
				recorded++
			}
		})
	}
}

// recordLongDowntime records that a task is down for long, and reports whether that was due.
func (e *Engine) recordLongDowntime(now time.Time, t *task) bool {
	d := &t.down
	if !t.isDownAgain() || now.Sub(d.since) < longDowntime || now.Sub(d.recordedAt) < longDowntimeRepeat {
		return false
	}
	if d.recordedAt.IsZero() {
		e.count("Task.DownForLong")
	}
	d.recordedAt = now
	awaits, explanation := e.explainDowntime(now, t)
	e.record(now, Decision{
		Event: "TaskDownForLong", Task: TaskRun{t.id, t.run}, Worker: d.worker, Took: now.Sub(d.since),
		Reason: d.reason + "; " + explanation,
		LongDowntime: &LongDowntime{
			Awaits: awaits, Resources: t.step.Reserved(),
			UnavailableWithRoom: e.unavailableWithRoom(t.step), WaitingTasks: t.step.waitingTasks(now),
		},
	})
	return true
}

// isDownAgain reports whether a long-running task that ran before isn't at work.
func (t *task) isDownAgain() bool {
	return !t.down.since.IsZero() && (!t.lastRunAt.IsZero() || t.isDownSinceTakeover())
}

// unavailableWithRoom returns the number of unavailable workers with room for a task of the step.
func (e *Engine) unavailableWithRoom(s *step) int {
	count := 0
	for _, w := range e.sortedWorkers {
		if e.isUnavailable(w) && w.Service == s.job.queue.Service && (s.Requires == "" || w.hasLabel(s.Requires)) &&
			(s.MaxPerWorker == 0 || s.perWorker[w] < s.MaxPerWorker) && s.Reserved().FitsIn(w.free()) {
			count++
		}
	}
	return count
}

// explainDowntime returns what keeps a task that is down from being at work.
func (e *Engine) explainDowntime(now time.Time, t *task) (AwaitedCondition, string) {
	switch {
	case t.attempt != nil:
		return AwaitsOwnRun, fmt.Sprintf("run %d on %s is %s, sent %s ago", t.attempt.run, t.attempt.worker.ID, t.attempt.phase, now.Sub(t.attempt.sentAt))
	case e.mustAwaitRecovery(now, t):
		return AwaitsRecovery, "recovery hasn't ended"
	case t.orphans > 0:
		return AwaitsOtherRun, fmt.Sprintf("%d runs that aren't in the records may be active", t.orphans)
	case now.Before(t.otherRunEndsBy):
		return AwaitsOtherRun, fmt.Sprintf("run %d may be active for %s more", t.otherRun.Run, t.otherRunEndsBy.Sub(now))
	case now.Before(t.notBefore):
		return AwaitsRetry, fmt.Sprintf("isn't started again for %s more", t.notBefore.Sub(now))
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
	awaits, waits := AwaitsRoom, "waits for room"
	switch {
	case !t.deferredSince.IsZero() && now.Before(t.nextSearchAt):
		awaits, waits = AwaitsBetterWorker, fmt.Sprintf("waits for a better worker, for %s so far", now.Sub(t.deferredSince))
	case t.step.yieldsToShortTasks(now) && !t.isDownFor(now, urgentDowntime):
		awaits, waits = AwaitsShortTasks, "waits for room and yields to short tasks"
	}
	return awaits, fmt.Sprintf("%s; of %d suitable workers %d have room, and %d of these are held for others", waits, suitable, withRoom, held)
}
