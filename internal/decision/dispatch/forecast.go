package dispatch

import (
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/forecast"
)

// class returns the class of the step's tasks for forecasts of run times.
func (s *step) class() forecast.Class {
	return forecast.Class{Queue: string(s.job.Queue), Image: string(s.Image)}
}

// observeDuration learns from the whole duration of a run that succeeded. When an adopted run began isn't
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

// expectedEnd returns when a run is expected to free its room, and false if it isn't expected to end: a
// long-running task goes on until its job is cancelled.
func (e *Engine) expectedEnd(now time.Time, a *attempt) (time.Time, bool) {
	s := a.task.step
	switch {
	case a.phase == stopping:
		return a.stopSentAt.Add(e.stopTimeout()), true
	case s.LongRunning:
		return time.Time{}, false
	}
	remaining := e.durations.Remaining(forecast.Run{
		Class: s.class(), Estimate: s.Estimate,
		Elapsed: now.Sub(a.firstProgress.at), Projected: a.projectedDuration(),
	})
	return now.Add(remaining), true
}

// room returns the expected room of a worker. Tasks that wait for it aren't counted.
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
