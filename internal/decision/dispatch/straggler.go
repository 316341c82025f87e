package dispatch

import (
	"slices"
	"time"
)

const (
	// stragglerInterval is the time between two searches for stragglers.
	stragglerInterval = 250 * time.Millisecond
	// minProgress is the progress, in percent, and minElapsed the time from which a
	// duration is projected.
	minProgress = 4
	minElapsed  = 600 * time.Millisecond
	// slowFactor times the usual duration of the step marks a run as slow.
	slowFactor = 2.2
	// restartTime is what a restart elsewhere takes besides the work.
	restartTime = 600 * time.Millisecond
	// hungAfter is the least time without progress after which a run counts as hung,
	// and hungFactor times the usual duration the least for long tasks.
	hungAfter  = 2500 * time.Millisecond
	hungFactor = 0.6
)

// progress of an attempt since it was first seen.
type progress struct {
	percent int
	at      time.Time
}

// projected returns how long the whole task takes at the present speed, 0 if that
// can't be told yet.
func (a *attempt) projected() time.Duration {
	done := a.percent - a.firstProgress.percent
	if done < minProgress || a.progressAt.Sub(a.firstProgress.at) < minElapsed {
		return 0
	}
	return a.progressAt.Sub(a.firstProgress.at) * 100 / time.Duration(done)
}

// findStragglers restarts tasks elsewhere that take far longer than others of their
// step, or stand still. The speeds of all tasks are noted first, since those of others
// tell whether a worker is the cause.
func (e *Engine) findStragglers(now time.Time) {
	if now.Sub(e.stragglersCheckedAt) < stragglerInterval {
		return
	}
	e.stragglersCheckedAt = now
	steps := e.stepsAtWork()
	for _, w := range steps {
		w.noteSpeeds(now)
	}
	for _, n := range e.sortedWorkers {
		n.slowdown = n.slowdownSamples.slowdown(now)
	}
	for _, w := range steps {
		for _, a := range w.runs {
			e.checkAttempt(now, a, w.usual, w.lonely)
		}
	}
}

// stepAtWork is a step with running tasks, and what they usually take.
type stepAtWork struct {
	runs   []*attempt
	usual  time.Duration
	lonely bool
}

// stepsAtWork returns the steps in which a straggler could be.
func (e *Engine) stepsAtWork() []stepAtWork {
	var list []stepAtWork
	for _, j := range e.jobs {
		if j.outcome != "" || j.activeAttempts == 0 {
			continue
		}
		for _, steps := range j.occurrences {
			for _, s := range steps {
				if s.remainingTasks > 0 && !s.LongRunning && !s.Filler && !s.Gang && len(s.perWorker) > 0 {
					list = s.appendAtWork(list)
				}
			}
		}
	}
	return list
}

func (s *step) appendAtWork(list []stepAtWork) []stepAtWork {
	usual, lonely := s.usualDuration()
	if usual == 0 {
		return list
	}
	w := stepAtWork{usual: usual, lonely: lonely}
	for _, t := range s.tasks {
		if t.attempt != nil && t.attempt.phase == running {
			w.runs = append(w.runs, t.attempt)
		}
	}
	return append(list, w)
}

// noteSpeeds enters the projected durations of the runs.
func (w *stepAtWork) noteSpeeds(now time.Time) {
	if w.lonely {
		return
	}
	for _, a := range w.runs {
		if projected := a.projected(); projected > 0 {
			a.noteSpeed(now, projected, w.usual)
		}
	}
}

// noteDuration enters how long a run took that succeeded.
func (a *attempt) noteDuration(now time.Time) {
	s := a.task.step
	took := now.Sub(a.firstProgress.at)
	s.durations = append(s.durations, took)
	if s.Filler || s.Gang {
		return
	}
	if usual, lonely := s.usualDuration(); !lonely {
		a.noteSpeed(now, took, usual)
	}
}

// usualDuration returns the median duration of the tasks of a step, finished or
// projected, or the client's estimate if there are too few.
func (s *step) usualDuration() (usual time.Duration, lonely bool) {
	durations := slices.Clone(s.durations)
	for _, t := range s.tasks {
		if t.attempt != nil && t.attempt.phase == running {
			if p := t.attempt.projected(); p > 0 {
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

func (e *Engine) checkAttempt(now time.Time, a *attempt, usual time.Duration, lonely bool) {
	projected := a.projected()
	hung := now.Sub(a.progressAt) > max(hungAfter, time.Duration(hungFactor*float64(usual)))
	slow := !lonely && projected > time.Duration(slowFactor*float64(usual)) && a.mayBlameWorker(now)
	left := projected - now.Sub(a.firstProgress.at)
	switch {
	case hung && a.percent < 100:
		e.count("Task.Evicted.Hung")
		a.worker.health.noteEnd(now, a.task.step.job.ID, true)
		a.task.failedOn = append(a.task.failedOn, a.worker)
		e.stop(now, a, "makes no progress")
	case slow && left > usual+restartTime:
		e.count("Task.Evicted.Slow")
		a.task.restartedAsSlow = true
		a.task.failedOn = append(a.task.failedOn, a.worker)
		e.stop(now, a, "takes far longer than usual")
	}
}
