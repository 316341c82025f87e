package dispatch

import (
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// overTarget is a period in which tasks of a serving step on one worker exceed their
// target.
type overTarget struct {
	cause string
	// lost is the time over the target so far, added up over the tasks.
	lost time.Duration
	// tasks is the number of tasks over the target in the report at countedAt.
	tasks     int
	countedAt time.Time
}

// Causes of serving tasks over their target.
const (
	causeFaultyWorker    = "the worker is slow by itself"
	causeInterfering     = "beside a filler known to interfere"
	causeSuspect         = "beside a filler that may interfere"
	causeFillerLeft      = "a filler has just left or was slowed down"
	causeHarmlessFillers = "beside fillers believed harmless"
	causeOwnLoad         = "without fillers"
)

// accountServingTime adds up the time for which serving tasks of the worker are over their
// target, and records it when a period ends. A report shows the state until the next one.
func (e *Engine) accountServingTime(now time.Time, w *worker, r Report) {
	over := map[*step]int{}
	for _, run := range r.Running {
		a := w.servingAttempt(run)
		if a != nil && time.Duration(run.Measurement)*time.Millisecond > a.task.step.Target {
			over[a.task.step]++
		}
	}
	for s, o := range w.overTargets {
		o.lost += min(now.Sub(o.countedAt), maxReportAge) * time.Duration(o.tasks)
		o.tasks, o.countedAt = over[s], now
		if o.tasks == 0 {
			e.record(now, Decision{Event: "ServingOverTarget", Job: s.id.Job, Worker: w.ID, Reason: o.cause, Took: o.lost})
			delete(w.overTargets, s)
		}
	}
	for s, tasks := range over {
		if w.overTargets[s] == nil {
			w.overTargets[s] = &overTarget{cause: e.overTargetCause(now, w, s), tasks: tasks, countedAt: now}
		}
	}
}

// overTargetCause returns why tasks of a serving step are over their target, as far as the
// engine knows.
func (e *Engine) overTargetCause(now time.Time, w *worker, s *step) string {
	highest, fillers := 0.0, false
	for _, a := range w.runs {
		if a.task.step.Filler {
			fillers = true
			highest = max(highest, e.interferenceProbabilities.Probability(now, pairOf(s.Image, a.task.step.Image)))
		}
	}
	switch {
	case w.isFaulty(now):
		return causeFaultyWorker
	case highest > evictProbability:
		return causeInterfering
	case highest > maxHarmlessProbability:
		return causeSuspect
	case e.suspectLeftRecently(now, w, s):
		return causeFillerLeft
	case fillers:
		return causeHarmlessFillers
	}
	return causeOwnLoad
}

// downtime is a period in which a long-running task isn't at work. For a task that an
// earlier owner accepted, it begins with the takeover.
type downtime struct {
	since  time.Time
	reason string
	// worker is the one on which the task last was at work.
	worker membership.InstanceID
	// recordedAt is when the downtime was last recorded as a long one, or zero.
	recordedAt time.Time
}

const (
	// reasonFirstStart is the reason of the downtime of a task until it is at work for the
	// first time.
	reasonFirstStart = "first start"
	// reasonTakeover is the reason of a task that wasn't at work when this owner took over.
	reasonTakeover = "down when the owner took over"
	// reasonTransferred is the reason of a task that another shard transferred to this one.
	reasonTransferred = "transferred from another shard"
	// reasonEnded is the reason if the run ended by itself.
	reasonEnded = "run ended by itself"
)

// beginDowntimes records that no task of a job that was just added is at work. Tasks of a recovered job
// may have run under the earlier owner, unless it isn't their turn yet.
func (j *job) beginDowntimes(now time.Time) {
	j.addedAt = now
	for _, o := range j.occurrences {
		if o != nil {
			o.beginDowntimes(now)
		}
	}
}

// beginDowntimes is like that of a job, for one occurrence. addedAt is when the job was added.
func (o *occurrence) beginDowntimes(addedAt time.Time) {
	for _, s := range o.steps {
		down := downtime{since: addedAt, reason: reasonFirstStart}
		if s.job.recovered && s.mayStart(addedAt) {
			down.reason = reasonTakeover
		}
		s.eachAlike(func(t *task) {
			if !t.elsewhere {
				t.down = down
			}
		})
	}
}

// isDownSinceTakeover reports whether a task had no run when this owner took over and has had none
// since. It may have been down for long before.
func (t *task) isDownSinceTakeover() bool {
	return t.lastRunAt.IsZero() && t.down.reason == reasonTakeover
}

// beginDowntime records that a long-running task isn't at work any more.
func (t *task) beginDowntime(now time.Time, w *worker, reason string) {
	if t.step.LongRunning && t.down.since.IsZero() {
		t.down = downtime{since: now, reason: reason, worker: w.ID}
	}
}

// endDowntime records that a long-running task is at work.
func (e *Engine) endDowntime(now time.Time, a *attempt) {
	t := a.task
	if !t.step.LongRunning {
		return
	}
	if !t.down.since.IsZero() {
		e.record(now, Decision{
			Event: "TaskDown", Task: a.taskRun(), Worker: t.down.worker, Reason: t.down.reason, Took: now.Sub(t.down.since),
		})
	}
	t.down = downtime{}
}
