package dispatch

import (
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/forecast"
)

// class returns the class of the step's tasks for forecasts of run times.
func (s *step) class() forecast.Class {
	return forecast.Class{Queue: string(s.job.Queue), Image: string(s.Image)}
}

// observeDuration learns from the run time of a run that succeeded. It skips adopted runs, whose start isn't
// known.
func (e *Engine) observeDuration(now time.Time, a *attempt) {
	if !a.adopted {
		e.durations.Observe(a.task.step.class(), a.task.step.Estimate, now.Sub(a.firstProgress.at))
	}
}

// expectedDuration returns how long a run of one of the step's tasks is expected to take from its start.
func (e *Engine) expectedDuration(s *step) time.Duration {
	return e.durations.Expected(s.class(), s.Estimate)
}

// expectedEnd returns when a run is expected to free its room, and false if that isn't known: for a
// long-running task, which ends only when its job is cancelled, and for a run with neither an estimate nor
// progress.
func (e *Engine) expectedEnd(now time.Time, a *attempt) (time.Time, bool) {
	s := a.task.step
	switch {
	case a.phase == stopping:
		return a.stopSentAt.Add(e.stopTimeout()), true
	case s.LongRunning, s.Estimate == 0 && a.projectedDuration() == 0:
		return time.Time{}, false
	}
	remaining := e.durations.Remaining(forecast.Run{
		Class: s.class(), Estimate: s.Estimate,
		Elapsed: now.Sub(a.firstProgress.at), Projected: a.projectedDuration(),
	})
	return now.Add(remaining), true
}

// room returns the expected room of a worker, not counting tasks that wait for it.
func (e *Engine) room(now time.Time, w *worker) forecast.Room {
	r := forecast.Room{Free: w.free()}
	for _, a := range w.runs {
		if at, ends := e.expectedEnd(now, a); ends {
			r.Releases = append(r.Releases, forecast.Release{At: at, Amount: a.reserved})
		}
	}
	r.Sort()
	return r
}

// cautiousDuration returns the time that most runs of the step's tasks don't exceed on a worker.
func (e *Engine) cautiousDuration(s *step, w *worker) time.Duration {
	return e.durationOn(s, w, e.cautiousEstimate(s))
}

// cautiousEstimate returns the time that most runs of the step's tasks don't exceed.
func (e *Engine) cautiousEstimate(s *step) time.Duration {
	return e.durations.Cautious(s.class(), s.Estimate)
}

// durationOn returns how long a run takes on a worker that may be slow or outside the step's preferred rack,
// given its duration elsewhere.
func (e *Engine) durationOn(s *step, w *worker, elsewhere time.Duration) time.Duration {
	factor := max(w.slowdown, 1)
	if s.PreferredRack != "" && !w.hasLabel(s.PreferredRack) {
		factor *= max(e.options.RemoteDurationFactor, 1)
	}
	return forecast.Scale(elsewhere, factor)
}
