package dispatch

import (
	"slices"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/mechanism"
)

const (
	// stragglerInterval is the time between two searches for stragglers.
	stragglerInterval = 250 * time.Millisecond
	// minProgressPercent and minElapsed are the least progress and time from which
	// the duration of a run is projected.
	minProgressPercent = 4
	minElapsed         = 600 * time.Millisecond
	// slowRunFactor times the typical duration of the step is the projected duration
	// above which a run counts as slow.
	slowRunFactor = 2.2
	// restartOverhead is the time that a restart on another worker takes in addition to
	// the work.
	restartOverhead = 600 * time.Millisecond
	// minHungTime is the minimum time without progress after which a run counts as
	// hung. For long tasks it is hungFactor times the typical duration.
	minHungTime = 2500 * time.Millisecond
	hungFactor  = 0.6
)

// progressSample is the progress of an attempt at a time.
type progressSample struct {
	percent int
	at      time.Time
}

// projectedDuration returns the duration of the whole task at its present speed, or 0 if
// it is too early to tell.
func (a *attempt) projectedDuration() time.Duration {
	done := a.percent - a.firstProgress.percent
	if done < minProgressPercent || a.progressAt.Sub(a.firstProgress.at) < minElapsed {
		return 0
	}
	return a.progressAt.Sub(a.firstProgress.at) * 100 / time.Duration(done)
}

// findStragglers restarts tasks on other workers if they take far longer than others of
// their step, or make no progress. The slowdowns of all tasks are recorded first,
// because those of other tasks show whether the worker is the cause.
func (e *Engine) findStragglers(now time.Time) {
	if now.Sub(e.stragglersCheckedAt) < stragglerInterval {
		return
	}
	e.stragglersCheckedAt = now
	steps := e.runningSteps()
	for _, r := range steps {
		r.recordSlowdowns(now)
	}
	for _, w := range e.sortedWorkers {
		w.slowdown = w.slowdownSamples.median(now)
	}
	if e.isDisabled(mechanism.Stragglers) {
		return
	}
	for _, r := range steps {
		for _, a := range r.runs {
			e.checkProgress(now, a, r.typical, r.estimated)
		}
	}
}

// runningStep is a step with running tasks.
type runningStep struct {
	runs []*attempt
	// typical is the typical duration of a task, and estimated reports that it is only
	// the client's estimate.
	typical   time.Duration
	estimated bool
}

// runningSteps returns the steps in which there may be stragglers.
func (e *Engine) runningSteps() []runningStep {
	var list []runningStep
	for _, j := range e.jobs {
		if j.outcome != "" || j.activeAttempts == 0 {
			continue
		}
		for s := range j.openSteps() {
			if s.remainingTasks > 0 && !s.LongRunning && !s.Filler && !s.Gang && len(s.perWorker) > 0 {
				list = s.appendRunning(list)
			}
		}
	}
	return list
}

// appendRunning appends the step with its running attempts, unless its typical duration
// is unknown.
func (s *step) appendRunning(list []runningStep) []runningStep {
	typical, estimated := s.typicalDuration()
	if typical == 0 {
		return list
	}
	r := runningStep{typical: typical, estimated: estimated}
	for t := range s.records() {
		if t.attempt != nil && t.attempt.phase == running {
			r.runs = append(r.runs, t.attempt)
		}
	}
	return append(list, r)
}

// recordSlowdowns records the slowdowns of the runs from their projected durations.
func (r *runningStep) recordSlowdowns(now time.Time) {
	if r.estimated {
		return
	}
	for _, a := range r.runs {
		if projected := a.projectedDuration(); projected > 0 {
			a.recordSlowdown(now, projected, r.typical)
		}
	}
}

// recordDuration records the duration of a run that succeeded.
func (a *attempt) recordDuration(now time.Time) {
	s := a.task.step
	took := now.Sub(a.firstProgress.at)
	s.durations = append(s.durations, took)
	if s.Filler || s.Gang {
		return
	}
	if typical, estimated := s.typicalDuration(); !estimated {
		a.recordSlowdown(now, took, typical)
	}
}

// typicalDuration returns the median duration of the tasks of a step, finished or
// projected. If there are fewer than two durations, it returns the client's estimate
// and true.
func (s *step) typicalDuration() (typical time.Duration, estimated bool) {
	durations := slices.Clone(s.durations)
	for t := range s.records() {
		if t.attempt != nil && t.attempt.phase == running {
			if p := t.attempt.projectedDuration(); p > 0 {
				durations = append(durations, p)
			}
		}
	}
	if len(durations) < 2 {
		return s.Estimate, true
	}
	slices.Sort(durations)
	return durations[(len(durations)-1)/2], false
}

// checkProgress stops a run that is hung or that takes far longer than is typical.
func (e *Engine) checkProgress(now time.Time, a *attempt, typical time.Duration, estimated bool) {
	projected := a.projectedDuration()
	hung := now.Sub(a.progressAt) > max(minHungTime, time.Duration(hungFactor*float64(typical)))
	slow := !estimated && projected > time.Duration(slowRunFactor*float64(typical)) && e.workerMayBeSlow(now, a)
	remaining := projected - now.Sub(a.firstProgress.at)
	switch {
	case hung && a.percent < 100:
		e.count("Task.Evicted.Hung")
		a.worker.health.recordEnd(now, a.task.step.job.ID, true)
		a.task.failedOn = append(a.task.failedOn, a.worker)
		e.stop(now, a, "makes no progress")
	case slow && remaining > typical+restartOverhead:
		e.count("Task.Evicted.Slow")
		a.task.restartedAsSlow = true
		a.task.failedOn = append(a.task.failedOn, a.worker)
		e.stop(now, a, "takes far longer than usual")
	}
}
