package dispatch

import (
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/mechanism"
)

const (
	// maxCompatibleProbability is the interference probability below which a filler
	// image may run beside a serving image.
	maxCompatibleProbability = 0.5
	// blockedDemandCost is multiplied by the share of the filler demand that the worker
	// would no longer accept. It keeps serving tasks off workers that fillers need.
	blockedDemandCost = 1.2
	// firstMixCost keeps workers with a single serving image from getting a second one
	// while little is known about interference. furtherMixCost is the smaller cost of
	// adding another image to a mix.
	firstMixCost   = 0.5
	furtherMixCost = 0.2
	// sameImageBonus and sameImageInMixBonus attract serving tasks to workers that
	// already run their image.
	sameImageBonus      = 0.5
	sameImageInMixBonus = 0.2
	// moveInterval is the time between two moves of serving tasks.
	moveInterval = 250 * time.Millisecond
	// swapInterval is the time between two searches for serving tasks to swap.
	swapInterval = 500 * time.Millisecond
	// minUnblockedDemand is the share of the filler demand that a move must unblock on
	// a worker to be worthwhile: a move costs the serving task a second of work.
	minUnblockedDemand = 0.25
	// maxBlockedAtDestination is the share of the filler demand that the move may block
	// at the destination.
	maxBlockedAtDestination = 0.05
	// moveCooldown is how long a task stays in place after a move.
	moveCooldown = 15 * time.Second
	// demandSmoothing is the weight of a new filler step in the demand for its image.
	demandSmoothing = 0.03
	// minDemand is smaller than any real demand. It avoids a division by zero.
	minDemand = 1e-9
)

// updateFillerDemand updates the demand for each filler image with the filler steps of a
// new job.
func (e *Engine) updateFillerDemand(j *job) {
	for i := range j.Steps {
		s := &j.Steps[i]
		if !s.Filler {
			continue
		}
		if e.fillerDemand == nil {
			e.fillerDemand = map[Image]float64{}
		}
		for image := range e.fillerDemand {
			e.fillerDemand[image] *= 1 - demandSmoothing
		}
		e.fillerDemand[s.Image] += demandSmoothing
	}
}

// isCompatible reports whether a filler image may run beside a serving image.
func (e *Engine) isCompatible(now time.Time, serving, filler Image) bool {
	return e.interferenceProbabilities.Probability(now, pairOf(serving, filler)) < maxCompatibleProbability
}

// acceptsFiller reports whether the filler image is compatible with the worker's
// serving images, ignoring one of them.
func (e *Engine) acceptsFiller(now time.Time, w *worker, filler, without Image) bool {
	for image := range w.servingImages {
		if image != without && !e.isCompatible(now, image, filler) {
			return false
		}
	}
	return true
}

// blockedDemand returns the share of the filler demand, weighted by scarcity, that a
// worker accepts only while it has no task of the serving image: 0 to 1.
func (e *Engine) blockedDemand(now time.Time, w *worker, serving Image) float64 {
	return e.blockedDemandWithout(now, w, serving, serving, 0)
}

// blockedDemandWithout is like blockedDemand, but ignores the tasks of another serving
// image and counts only filler images of at least the given scarcity.
func (e *Engine) blockedDemandWithout(now time.Time, w *worker, serving, without Image, scarcity float64) float64 {
	blocked, total := 0.0, 0.0
	for filler, weight := range e.fillerDemand {
		total += weight
		if e.scarcity.weight(filler) >= scarcity && !e.isCompatible(now, serving, filler) && e.acceptsFiller(now, w, filler, without) {
			blocked += weight * e.scarcity.weight(filler)
		}
	}
	return min(blocked/max(total, minDemand), 1)
}

// servingCost returns the cost terms that apply to serving tasks: the fillers that the
// task would block, and a mix of serving images, which few fillers are compatible with.
func (e *Engine) servingCost(now time.Time, s *step, w *worker) float64 {
	if e.isDisabled(mechanism.ServingCost) {
		return 0
	}
	cost := 0.0
	if w.servingImages[s.Image] == 0 {
		cost += blockedDemandCost * e.blockedDemand(now, w, s.Image)
	}
	same := w.servingImages[s.Image] > 0
	switch {
	case same && len(w.servingImages) == 1:
		cost -= sameImageBonus
	case same:
		cost -= sameImageInMixBonus
	case len(w.servingImages) == 1:
		cost += firstMixCost
	case len(w.servingImages) > 1:
		cost += furtherMixCost
	}
	return cost
}

// consolidate moves a serving task that is the only one to block fillers on its worker
// to a worker where it blocks none, or few. It pauses while workers are being replaced, because their tasks
// move anyway and need the room.
func (e *Engine) consolidate(now time.Time) {
	if now.Sub(e.servingMovedAt) < moveInterval || e.recovering || e.replacements.underWay || e.isDisabled(mechanism.Consolidation) {
		return
	}
	for _, w := range e.sortedWorkers {
		if !w.isAvailable(now) || len(w.servingImages) < 2 {
			continue
		}
		if a, to := e.findMovable(now, w); a != nil {
			e.servingMovedAt = now
			e.count("Task.Moved")
			e.move(now, a, to, nil, "blocks fillers on its worker")
			return
		}
	}
	if now.Sub(e.swapCheckedAt) >= swapInterval {
		e.swapCheckedAt = now
		if e.swapBlockingTask(now) {
			e.servingMovedAt = now
			e.count("Task.Swapped")
		}
	}
}

// findMovable returns the serving task of a worker that is worth moving and the worker to which
// it can move, or nil.
func (e *Engine) findMovable(now time.Time, w *worker) (*attempt, *worker) {
	for _, a := range w.runs {
		s := a.task.step
		if s.Target <= 0 || w.servingImages[s.Image] != 1 || !a.mayMove(now) {
			continue
		}
		if e.blockedDemand(now, w, s.Image) < minUnblockedDemand {
			continue
		}
		if to := e.chooseDestination(now, a); to != nil && e.isBetterDestination(now, to, s) {
			return a, to
		}
	}
	return nil, nil
}

// isBetterDestination reports whether a task of the step blocks hardly any additional
// fillers on the worker.
func (e *Engine) isBetterDestination(now time.Time, w *worker, s *step) bool {
	return w.servingImages[s.Image] > 0 || e.blockedDemand(now, w, s.Image) <= maxBlockedAtDestination
}

// mayMove reports whether a long-running task can be down for a moment: it wasn't moved
// recently, and all tasks of its step have started up. Whether those in other shards have isn't known.
func (a *attempt) mayMove(now time.Time) bool {
	if a.phase != running || now.Sub(a.task.movedAt) < moveCooldown {
		return false
	}
	for t := range a.task.step.views() {
		if t.elsewhere && t.step.MaxUnavailable == 0 {
			continue
		}
		if t.attempt == nil || t.attempt.phase != running || t.attempt.percent < startedUpPercent {
			return false
		}
	}
	return true
}
