package dispatch

import (
	"math"
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
	// slownessHalfLife is the time after which a worker is believed to be half as slow.
	slownessHalfLife = 4 * time.Second
	// avoidSlowness is the slowdown from which a worker is avoided.
	avoidSlowness = 1.5
	// slownessCost times the slowdown makes a slow worker expensive.
	slownessCost = 0.6
	// slownessWeight is the weight of a new observation.
	slownessWeight = 0.4
)

// slowness is how much longer than elsewhere tasks take on a worker.
type slowness struct {
	factor float64
	at     time.Time
}

// now returns the factor, which moves towards 1 without new observations.
func (s *slowness) now(now time.Time) float64 {
	if s.factor <= 1 {
		return 1
	}
	keep := math.Exp2(-float64(now.Sub(s.at)) / float64(slownessHalfLife))
	return 1 + (s.factor-1)*keep
}

func (s *slowness) observe(now time.Time, factor float64) {
	known := s.now(now)
	s.factor = known + slownessWeight*(max(factor, 1)-known)
	s.at = now
}

// progress of an attempt since it was first seen.
type progress struct {
	from int
	at   time.Time
}

// projected returns how long the whole task takes at the present speed, 0 if that
// can't be told yet.
func (a *attempt) projected() time.Duration {
	done := a.percent - a.begin.from
	if done < minProgress || a.progressAt.Sub(a.begin.at) < minElapsed {
		return 0
	}
	return a.progressAt.Sub(a.begin.at) * 100 / time.Duration(done)
}

// findStragglers restarts tasks elsewhere that take far longer than others of their
// step, or stand still.
func (e *Engine) findStragglers(now time.Time) {
	if now.Sub(e.stragglersAt) < stragglerInterval {
		return
	}
	e.stragglersAt = now
	for _, j := range e.jobs {
		if j.ending != "" || j.live == 0 {
			continue
		}
		for _, steps := range j.occurrences {
			for _, s := range steps {
				if s.left > 0 && !s.LongRunning && !s.Filler && !s.Gang && len(s.perWorker) > 0 {
					e.checkStep(now, s)
				}
			}
		}
	}
}

func (e *Engine) checkStep(now time.Time, s *step) {
	usual, lonely := s.usualDuration()
	if usual == 0 {
		return
	}
	for _, t := range s.tasks {
		if t.attempt != nil && t.attempt.phase == running {
			e.checkAttempt(now, t.attempt, usual, lonely)
		}
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
	if projected > 0 && !lonely {
		a.node.slowness.observe(now, float64(projected)/float64(usual))
	}
	hung := now.Sub(a.progressAt) > max(hungAfter, time.Duration(hungFactor*float64(usual)))
	slow := !lonely && projected > time.Duration(slowFactor*float64(usual))
	left := projected - now.Sub(a.begin.at)
	switch {
	case hung && a.percent < 100:
		e.count("Task.Evicted.Hung")
		a.node.health.noteEnd(now, a.task.step.job.ID, true)
		a.task.failedOn = append(a.task.failedOn, a.node)
		e.stop(now, a, "makes no progress")
	case slow && left > usual+restartTime:
		e.count("Task.Evicted.Slow")
		a.task.failedOn = append(a.task.failedOn, a.node)
		e.stop(now, a, "takes far longer than usual")
	}
}
