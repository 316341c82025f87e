package dispatch

import (
	"slices"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/mechanism"
)

const (
	// slowdownMaxAge is how long the slowdown of a task is evidence about its worker.
	slowdownMaxAge = 4 * time.Second
	// minSlowWorkerRatio is the slowdown from which a worker counts as slow and is
	// avoided.
	minSlowWorkerRatio = 1.5
	// slowdownCost is multiplied by the excess slowdown of a slow worker to get its
	// cost.
	slowdownCost = 0.6
)

// slowdownSamples has the durations of tasks on a worker relative to the typical
// duration of their step: 1 is typical, 2 is twice as long. The zero value is empty and
// ready to use.
type slowdownSamples struct {
	tasks map[TaskID]slowdownSample
}

// slowdownSample is the last known slowdown of a task.
type slowdownSample struct {
	ratio float64
	at    time.Time
}

// observe records the slowdown of a task and replaces the previous one.
func (s *slowdownSamples) observe(now time.Time, id TaskID, ratio float64) {
	if s.tasks == nil {
		s.tasks = map[TaskID]slowdownSample{}
	}
	s.tasks[id] = slowdownSample{ratio, now}
}

// median returns the median of the recent samples, at least 1. A single task that takes
// long says nothing about its worker.
func (s *slowdownSamples) median(now time.Time) float64 {
	ratios := make([]float64, 0, len(s.tasks))
	for id, sample := range s.tasks {
		if now.Sub(sample.at) > slowdownMaxAge {
			delete(s.tasks, id)
			continue
		}
		ratios = append(ratios, sample.ratio)
	}
	return max(median(ratios), 1)
}

// medianExcept returns the median of the recent samples of the other tasks, and false
// if there are none.
func (s *slowdownSamples) medianExcept(now time.Time, id TaskID) (float64, bool) {
	var ratios []float64
	for other, sample := range s.tasks {
		if other != id && now.Sub(sample.at) <= slowdownMaxAge {
			ratios = append(ratios, sample.ratio)
		}
	}
	return median(ratios), len(ratios) > 0
}

// median returns the middle value, the lower one of two, or 0 without values.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// recordSlowdown records the duration of a run relative to the typical duration of its
// step. Runs away from the preferred rack are ignored, because they take longer on any
// worker.
func (a *attempt) recordSlowdown(now time.Time, took, typical time.Duration) {
	s := a.task.step
	if typical <= 0 || (s.PreferredRack != "" && !a.worker.hasLabel(s.PreferredRack)) {
		return
	}
	a.worker.slowdownSamples.observe(now, a.task.id, float64(took)/float64(typical))
}

// workerMayBeSlow reports whether a run may take long because of its worker: other
// tasks on the worker are slow too, or there is no sample of others and the task wasn't
// restarted as slow before.
func (e *Engine) workerMayBeSlow(now time.Time, a *attempt) bool {
	slowdown, known := a.worker.slowdownSamples.medianExcept(now, a.task.id)
	if known && !e.isDisabled(mechanism.SlowWorkers) {
		return slowdown >= minSlowWorkerRatio
	}
	return !a.task.restartedAsSlow
}
