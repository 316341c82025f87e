package dispatch

import (
	"time"
)

const (
	// compatibleBelow is the probability of disturbing below which a filler image may
	// run beside a serving image.
	compatibleBelow = 0.5
	// lostFillersCost times the part of the filler demand that a worker could no longer
	// take keeps serving tasks off workers that fillers need.
	lostFillersCost = 1.2
	// mixPureCost keeps workers with a single serving image so while little is known,
	// mixMoreCost is the smaller cost of adding to a mix.
	mixPureCost = 0.5
	mixMoreCost = 0.2
	// samePureBonus and sameMixBonus draw serving tasks to workers with their image.
	samePureBonus = 0.5
	sameMixBonus  = 0.2
	// moveInterval is the time between two moves of serving tasks.
	moveInterval = 250 * time.Millisecond
	// swapInterval is the time between two searches for serving tasks to change places.
	swapInterval = 500 * time.Millisecond
	// moveGain is the part of the filler demand that must be able to run on a worker
	// again for a serving task to be moved off it: a move costs it a second of work.
	moveGain = 0.25
	// moveLoss is the part that may be lost at the destination.
	moveLoss = 0.05
	// moveRest is the time for which a task that was moved stays.
	moveRest = 15 * time.Second
	// demandWeight is the weight of a new job in the demand for a filler image.
	demandWeight = 0.03
	// minDemand is less than any demand.
	minDemand = 1e-9
)

// updateFillerDemand keeps the share of each filler image in the work that jobs ask for.
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
			e.fillerDemand[image] *= 1 - demandWeight
		}
		e.fillerDemand[s.Image] += demandWeight
	}
}

// isCompatible reports whether a filler image may run beside a serving image.
func (e *Engine) isCompatible(now time.Time, serving, filler Image) bool {
	return e.interferenceOdds.Probability(now, pairOf(serving, filler)) < compatibleBelow
}

// acceptsFiller reports whether the worker could take the filler image, leaving out one of
// its serving images.
func (e *Engine) acceptsFiller(now time.Time, n *node, filler, without Image) bool {
	for image := range n.servingImages {
		if image != without && !e.isCompatible(now, image, filler) {
			return false
		}
	}
	return true
}

// lostDemand returns the part of the filler demand, weighed by its scarcity, that a
// worker takes only as long as it has no task of the serving image: 0 to 1.
func (e *Engine) lostDemand(now time.Time, n *node, serving Image) float64 {
	return e.lostWithout(now, n, serving, serving, 0)
}

// lostWithout returns the same for a worker without the tasks of another serving image,
// and only for filler images that are at least so scarce.
func (e *Engine) lostWithout(now time.Time, n *node, serving, without Image, scarcity float64) float64 {
	lost, total := 0.0, 0.0
	for filler, weight := range e.fillerDemand {
		total += weight
		if e.scarcity.weight(filler) >= scarcity && !e.isCompatible(now, serving, filler) && e.acceptsFiller(now, n, filler, without) {
			lost += weight * e.scarcity.weight(filler)
		}
	}
	return min(lost/max(total, minDemand), 1)
}

// servingCost adds what speaks against a serving task on a worker: the fillers that
// it would drive away, and a mix of images, which few fillers stand.
func (e *Engine) servingCost(now time.Time, s *step, n *node) float64 {
	cost := 0.0
	if n.servingImages[s.Image] == 0 {
		cost += lostFillersCost * e.lostDemand(now, n, s.Image)
	}
	same := n.servingImages[s.Image] > 0
	switch {
	case same && len(n.servingImages) == 1:
		cost -= samePureBonus
	case same:
		cost -= sameMixBonus
	case len(n.servingImages) == 1:
		cost += mixPureCost
	case len(n.servingImages) > 1:
		cost += mixMoreCost
	}
	return cost
}

// consolidate moves a serving task that alone keeps fillers off its worker to one
// where it does no such harm.
func (e *Engine) consolidate(now time.Time) {
	if now.Sub(e.servingMovedAt) < moveInterval || e.recovering {
		return
	}
	for _, n := range e.sortedWorkers {
		if !n.isAvailable(now) || len(n.servingImages) < 2 {
			continue
		}
		if a := e.movable(now, n); a != nil {
			e.servingMovedAt = now
			a.task.movedAt = now
			e.count("Task.Moved")
			e.stop(now, a, "keeps fillers off its worker")
			return
		}
	}
	if now.Sub(e.swapCheckedAt) >= swapInterval {
		e.swapCheckedAt = now
		if e.swapStray(now) {
			e.servingMovedAt = now
			e.count("Task.Swapped")
		}
	}
}

// movable returns the serving task of a worker that is worth moving, nil for none.
func (e *Engine) movable(now time.Time, n *node) *attempt {
	for _, a := range n.runs {
		s := a.task.step
		if s.Target <= 0 || n.servingImages[s.Image] != 1 || !a.mayMove(now) {
			continue
		}
		if e.lostDemand(now, n, s.Image) < moveGain {
			continue
		}
		if to := e.chooseWorker(now, a.task); to != nil && to != n && e.isBetterHome(now, to, s) {
			return a
		}
	}
	return nil
}

func (e *Engine) isBetterHome(now time.Time, n *node, s *step) bool {
	return n.servingImages[s.Image] > 0 || e.lostDemand(now, n, s.Image) <= moveLoss
}

// mayMove reports whether a serving task can be down for a moment: it and all others
// of its step are at work.
func (a *attempt) mayMove(now time.Time) bool {
	if a.phase != running || now.Sub(a.task.movedAt) < moveRest {
		return false
	}
	for _, t := range a.task.step.tasks {
		if t.attempt == nil || t.attempt.phase != running || t.attempt.percent < startedUpPercent {
			return false
		}
	}
	return true
}
