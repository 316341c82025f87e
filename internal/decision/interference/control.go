package interference

import "time"

const (
	// actAbove and liftBelow are p99 against the target. The gap is the hysteresis:
	// lifting one throttle changes p99 by less than a fifth in the traces.
	actAbove  = 1.0
	liftBelow = 0.8
	// actAtOnce is p99 against the target above which one sample suffices. Below it
	// two in a row are needed: the p99 of one sample is off by a tenth.
	actAtOnce = 1.25
	// liftAfter is the number of calm samples before a throttle is lifted.
	liftAfter = 2
	// ThrottledShare is the limit of a throttled task in thousandths.
	ThrottledShare = 400
	// blameAbove is the smallest part of the logarithm of p99 for which a task is
	// blamed; less is lost in the noise of samples.
	blameAbove = 0.01
)

// Action is what a controller asks for.
type Action int

// Actions.
const (
	Wait Action = iota
	Relieve
	Lift
)

// Control decides when to act on one worker. The zero value has not acted.
type Control struct {
	acted time.Time
	calm  int
	// slow counts the samples in a row above the target.
	slow int
}

// Next returns the action after a sample of the period from start to end, in
// which the worst p99 of a service on the worker was ratio times its target. A
// sample that began before the last step took effect says nothing about that
// step, so it causes none: there is at most one step for each measurement lag.
func (c *Control) Next(start time.Time, ratio float64) Action {
	if start.Before(c.acted) {
		return Wait
	}
	if ratio > actAbove {
		c.calm = 0
		c.slow++
		if c.slow > 1 || ratio > actAtOnce {
			return Relieve
		}
		return Wait
	}
	c.slow = 0
	if ratio >= liftBelow {
		c.calm = 0
		return Wait
	}
	c.calm++
	if c.calm < liftAfter {
		return Wait
	}
	return Lift
}

// Acted notes that a step was taken.
func (c *Control) Acted(now time.Time) {
	c.acted = now
	c.calm = 0
}

// Candidate is a task on which a step could be taken.
type Candidate struct {
	// Contribution is the task's part of the logarithm of the service's p99.
	Contribution float64
	// Share is its present limit in thousandths.
	Share int
	// Protected tasks are never evicted for interference: urgent ones, and those
	// that would lose all their work.
	Protected bool
}

// Blame returns the candidate to act on and whether to evict it; otherwise it is
// to be throttled. A task is throttled before it is evicted. ok is
// false when no task is to blame.
func Blame(candidates []Candidate) (index int, evict, ok bool) {
	throttle, out := -1, -1
	for i, c := range candidates {
		if c.Contribution < blameAbove {
			continue
		}
		if c.Share > ThrottledShare {
			throttle = worse(candidates, throttle, i)
		} else if !c.Protected {
			out = worse(candidates, out, i)
		}
	}
	if out >= 0 && (throttle < 0 || candidates[out].Contribution >= candidates[throttle].Contribution) {
		return out, true, true
	}
	return throttle, false, throttle >= 0
}

// Relent returns the throttled candidate that costs the service least.
func Relent(candidates []Candidate) (index int, ok bool) {
	best := -1
	for i, c := range candidates {
		if c.Share >= 1000 {
			continue
		}
		if best < 0 || c.Contribution < candidates[best].Contribution {
			best = i
		}
	}
	return best, best >= 0
}

func worse(candidates []Candidate, a, b int) int {
	if a < 0 || candidates[b].Contribution > candidates[a].Contribution {
		return b
	}
	return a
}
