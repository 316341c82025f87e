package dispatch

import (
	"slices"
	"time"
)

const (
	// speedMemory is how long the speed of a task tells of its worker.
	speedMemory = 4 * time.Second
	// avoidSlowdown is the slowdown from which a worker is avoided.
	avoidSlowdown = 1.5
	// slowdownCost times the slowdown makes a slow worker expensive.
	slowdownCost = 0.6
)

// speeds has how long tasks on a worker take, against others of their step: 1 is usual, 2
// is twice as long. The zero value knows nothing.
type speeds struct {
	tasks map[TaskID]speed
}

// speed is that of one task when it was last seen.
type speed struct {
	ratio float64
	at    time.Time
}

// observe enters the speed of a task, in place of what was known of it.
func (s *speeds) observe(now time.Time, id TaskID, ratio float64) {
	if s.tasks == nil {
		s.tasks = map[TaskID]speed{}
	}
	s.tasks[id] = speed{ratio, now}
}

// slowdown returns the median of what was seen lately, at least 1. One task that is long by
// itself says nothing about its worker.
func (s *speeds) slowdown(now time.Time) float64 {
	ratios := make([]float64, 0, len(s.tasks))
	for id, seen := range s.tasks {
		if now.Sub(seen.at) > speedMemory {
			delete(s.tasks, id)
			continue
		}
		ratios = append(ratios, seen.ratio)
	}
	return max(median(ratios), 1)
}

// besides returns the median of the other tasks, and false if none was seen lately.
func (s *speeds) besides(now time.Time, id TaskID) (float64, bool) {
	var ratios []float64
	for other, seen := range s.tasks {
		if other != id && now.Sub(seen.at) <= speedMemory {
			ratios = append(ratios, seen.ratio)
		}
	}
	return median(ratios), len(ratios) > 0
}

// median returns the middle value, the lower of two; 0 without values.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// noteSpeed enters how long a run takes against the usual duration of its step. Away from
// the preferred rack it takes longer on any worker.
func (a *attempt) noteSpeed(now time.Time, took, usual time.Duration) {
	s := a.task.step
	if usual <= 0 || (s.PreferredRack != "" && !a.worker.hasLabel(s.PreferredRack)) {
		return
	}
	a.worker.slowdownSamples.observe(now, a.task.id, float64(took)/float64(usual))
}

// mayBlameWorker reports whether a run may take long because of its worker: other tasks
// are slow there too, or, if nothing is known of others, it wasn't restarted before.
func (a *attempt) mayBlameWorker(now time.Time) bool {
	slowdown, known := a.worker.slowdownSamples.besides(now, a.task.id)
	if known {
		return slowdown >= avoidSlowdown
	}
	return !a.task.restartedAsSlow
}
