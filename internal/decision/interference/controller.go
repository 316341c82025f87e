package interference

import "time"

const (
	// restrictAboveRatio and liftBelowRatio are ratios of p99 to the target. The gap
	// between them is hysteresis: lifting one throttle changes p99 by less than a fifth
	// in the traces.
	restrictAboveRatio = 1.0
	liftBelowRatio     = 0.8
	// restrictAtOnceRatio is the ratio of p99 to the target above which a single sample
	// suffices to act. Below it, two consecutive samples are needed, because the p99 of
	// one sample has an error of about 10%.
	restrictAtOnceRatio = 1.25
	// samplesBeforeLift is the number of consecutive samples below liftBelowRatio after
	// which a throttle is lifted.
	samplesBeforeLift = 2
	// ThrottledShare is the limit of a throttled task, in thousandths of its reserved
	// processors.
	ThrottledShare = 400
	// minContribution is the smallest contribution to the logarithm of p99 for which a
	// task is throttled or evicted. Smaller ones can't be told from sample noise.
	minContribution = 0.01
)

// Action is the decision of a Controller after a sample.
type Action int

// Actions of a Controller.
const (
	// Wait changes nothing.
	Wait Action = iota
	// Restrict throttles or evicts one task.
	Restrict
	// Lift removes the throttle of one task.
	Lift
)

// Controller decides when to restrict or release tasks on one worker. The zero value has
// taken no action yet.
type Controller struct {
	lastActionAt time.Time
	// samplesBelow counts consecutive samples below liftBelowRatio.
	samplesBelow int
	// samplesAbove counts consecutive samples above the target.
	samplesAbove int
}

// Next returns the action for a sample that began at start and in which the worst
// p99 of a service on the worker was ratio times its target. A sample that began
// before the last action doesn't show that action's effect and is ignored, which
// limits the rate to one action per measurement delay.
func (c *Controller) Next(start time.Time, ratio float64) Action {
	if start.Before(c.lastActionAt) {
		return Wait
	}
	if ratio > restrictAboveRatio {
		c.samplesBelow = 0
		c.samplesAbove++
		if c.samplesAbove > 1 || ratio > restrictAtOnceRatio {
			return Restrict
		}
		return Wait
	}
	c.samplesAbove = 0
	if ratio >= liftBelowRatio {
		c.samplesBelow = 0
		return Wait
	}
	c.samplesBelow++
	if c.samplesBelow < samplesBeforeLift {
		return Wait
	}
	return Lift
}

// RecordAction records that an action was taken.
func (c *Controller) RecordAction(now time.Time) {
	c.lastActionAt = now
	c.samplesBelow = 0
}

// Candidate is a task that can be throttled, evicted or released from its throttle.
type Candidate struct {
	// Contribution is what the task adds to the logarithm of the service's p99.
	Contribution float64
	// Share is the task's current limit, in thousandths of its reserved processors.
	Share int
	// Protected tasks are never evicted for interference: urgent tasks, and tasks
	// that would lose all their work.
	Protected bool
}

// WorstCandidate returns the index of the candidate to restrict, and whether to evict it
// instead of throttling it. A task is throttled before it is evicted. ok is false
// if no candidate can be restricted.
func WorstCandidate(candidates []Candidate) (index int, evict, ok bool) {
	throttle, eviction := -1, -1
	for i, c := range candidates {
		if c.Contribution < minContribution {
			continue
		}
		if c.Share > ThrottledShare {
			throttle = largerContribution(candidates, throttle, i)
		} else if !c.Protected {
			eviction = largerContribution(candidates, eviction, i)
		}
	}
	if eviction >= 0 && (throttle < 0 || candidates[eviction].Contribution >= candidates[throttle].Contribution) {
		return eviction, true, true
	}
	return throttle, false, throttle >= 0
}

// CandidateToUnthrottle returns the index of the throttled candidate with the smallest
// contribution. ok is false if no candidate is throttled.
func CandidateToUnthrottle(candidates []Candidate) (index int, ok bool) {
	smallest := -1
	for i, c := range candidates {
		if c.Share >= 1000 {
			continue
		}
		if smallest < 0 || c.Contribution < candidates[smallest].Contribution {
			smallest = i
		}
	}
	return smallest, smallest >= 0
}

// largerContribution returns the index of the candidate with the larger contribution.
// a may be -1 for none.
func largerContribution(candidates []Candidate, a, b int) int {
	if a < 0 || candidates[b].Contribution > candidates[a].Contribution {
		return b
	}
	return a
}
