package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
)

// urgentDowntime is the time without a run after which the restart of a long-running task goes before
// all other work. The platform counts a task as lost if it doesn't run for 9 s after its last run
// while there was room for it in the last 3 s. The rest is for tasks that must end before there is
// room, and for starts that fail.
const urgentDowntime = 3 * time.Second

// maxUrgentRestarts limits the tasks of a step that need an urgent restart at the same time and that this
// owner has never started, because a step can have very many.
const maxUrgentRestarts = 32

// downSince returns since when a task that ran before has been without a run, or zero for a task that
// never ran. A new owner doesn't know when the last run ended, and counts from the takeover.
func (t *task) downSince() time.Time {
	if t.isDownSinceTakeover() {
		return t.down.since
	}
	return t.lastRunAt
}

// isDownFor reports whether a long-running task has been without a run for a duration, although
// it ran before.
func (t *task) isDownFor(now time.Time, d time.Duration) bool {
	since := t.downSince()
	return t.step.LongRunning && t.attempt == nil && !since.IsZero() && now.Sub(since) >= d
}

// needsUrgentRestart reports whether the task may start and has been down for long.
func (t *task) needsUrgentRestart(now time.Time) bool {
	return t.isWaiting(now) && t.isDownFor(now, urgentDowntime)
}

// findUrgentRestarts collects the long-running tasks that need an urgent restart, in the order in
// which they went down, and marks their steps. A gang starts as a whole, by the order of the steps.
func (e *Engine) findUrgentRestarts(now time.Time) {
	for _, t := range e.urgentRestarts {
		t.step.restartsUrgently = false
	}
	e.urgentRestarts = e.urgentRestarts[:0]
	for _, j := range e.jobs {
		if j.outcome != "" || j.cancelled || !j.Steps[0].LongRunning {
			continue
		}
		for s := range j.openSteps() {
			if !s.Gang && s.mayStart(now) {
				e.appendUrgentRestarts(now, s)
			}
		}
	}
	slices.SortFunc(e.urgentRestarts, func(a, b *task) int {
		return cmp.Or(a.downSince().Compare(b.downSince()), cmp.Compare(a.id.Job, b.id.Job),
			cmp.Compare(a.id.Step, b.id.Step), cmp.Compare(a.id.Index, b.id.Index))
	})
}

// appendUrgentRestarts collects the tasks of a step that need an urgent restart. Of those that this owner has
// never started it takes only the first ones; the others follow once these have started.
func (e *Engine) appendUrgentRestarts(now time.Time, s *step) {
	isUrgent := func(t *task) bool { return t.needsUrgentRestart(now) && !e.mustAwaitRecovery(now, t) }
	areUnusedUrgent := s.unusedTasks > 0 && isUrgent(&s.unused)
	if !areUnusedUrgent && s.unusedTasks == len(s.tasks) {
		return
	}
	collected := 0
	for i, t := range s.tasks {
		switch {
		case t == nil && (!areUnusedUrgent || collected >= maxUrgentRestarts):
			continue
		case t != nil && (t == s.succeeded || !isUrgent(t)):
			continue
		}
		collected++
		e.urgentRestarts = append(e.urgentRestarts, s.task(i))
		s.restartsUrgently = true
	}
}

// startUrgentRestarts starts up to limit of the tasks that need an urgent restart and returns their
// number. If one finds no worker, the others of its step aren't tried.
func (e *Engine) startUrgentRestarts(now time.Time, limit int) int {
	e.findUrgentRestarts(now)
	started := 0
	blocked := map[*step]bool{}
	for _, t := range e.urgentRestarts {
		s := t.step
		if started >= limit {
			break
		}
		if blocked[s] || now.Before(t.nextSearchAt) {
			continue
		}
		if e.isUnplaceable(s) {
			blocked[s] = true
			continue
		}
		w := e.chooseWorker(now, t)
		if w == nil {
			blocked[s] = true
			e.recordUnplaceable(now, s)
			continue
		}
		if e.deferForBetterWorker(now, t, w) {
			continue
		}
		s.blockedSince = time.Time{}
		e.start(now, t, w, e.nextRun(t))
		started++
	}
	return started
}

// startMovedTasks starts the tasks that were stopped to run on another worker, on the workers that are
// held for them, and returns their number.
func (e *Engine) startMovedTasks(now time.Time) int {
	started := 0
	for _, w := range e.sortedWorkers {
		t := w.hold.task
		if !w.hold.moved || !w.hold.isActive(now) || !t.isWaiting(now) || t.step.job.outcome != "" ||
			e.mustAwaitRecovery(now, t) || !e.mayPlace(now, t, w) {
			continue
		}
		e.start(now, t, w, e.nextRun(t))
		started++
	}
	return started
}

// holdForUrgentRestarts holds workers for tasks that need an urgent restart and found no room, up to
// limit, and returns their number. Once no worker can be held for a task, larger tasks aren't tried,
// and a smaller long-running task is moved for the first of them only, so that a check takes a few
// milliseconds however many tasks are down.
func (e *Engine) holdForUrgentRestarts(now time.Time, limit int) int {
	held := 0
	failed := map[shape]resource.Vector{}
	for _, t := range e.urgentRestarts {
		if held >= limit {
			break
		}
		s := t.step
		smallest, hasFailed := failed[s.shape()]
		if !t.isWaiting(now) || now.Sub(t.lastHeldAt) <= holdDuration || hasFailed && smallest.FitsIn(s.Resources) {
			continue
		}
		if e.holdAfterShortTasks(now, t) || len(failed) == 0 && e.moveSmallerTask(now, t) {
			held++
			continue
		}
		failed[s.shape()] = s.Resources
	}
	return held
}
