package dispatch

import (
	"strings"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/mechanism"
)

// Weights of the terms of a worker's cost, and limits that apply to them. The unit of
// the weights is the share of the worker's processors that is reserved. The worker with
// the lowest cost is chosen.
const (
	// failureCost applies for each job that failed recently on a worker, which makes
	// that worker the last choice.
	failureCost = 2.0
	// sameFailureCost keeps a task away from a worker on which it has failed before.
	sameFailureCost = 4.0
	// remoteCost is multiplied by the excess of RemoteDurationFactor over 1. It applies
	// to workers outside the preferred rack.
	remoteCost = 1.0
	// interferenceCost is multiplied by the probability that a filler interferes with
	// the serving tasks.
	interferenceCost = 3.0
	// maxHarmlessProbability is the interference probability below which a pair counts
	// as harmless.
	maxHarmlessProbability = 0.1
	// scarceWorkerCost is multiplied by the worker's value for fillers. It steers
	// fillers that can run on many workers away from the few that other fillers need.
	scarceWorkerCost = 0.25
	// uncertainMixCost keeps fillers of two images with uncertain interference on
	// separate workers, so that a slow serving task identifies the image that causes
	// it.
	uncertainMixCost = 1.0
	// packingBonus is multiplied by the share of reserved processors. It attracts
	// long-running tasks to full workers, so that the free capacity stays in pieces
	// large enough for other tasks.
	packingBonus = 0.5
	// largeGapBonus is multiplied by the share of processors that serving tasks reserve. While large tasks find
	// no room, it attracts small ones to workers whose remaining processors are too few for large ones anyway.
	// Only serving tasks count: short tasks accumulate on workers on which they hang or take long.
	largeGapBonus = 4.0
	// tailLatencyCost is multiplied by the ratio of tail latency to target of the
	// worker's serving tasks, as far as it exceeds unpenalizedTailRatio. It steers
	// fillers to the workers with the most latency headroom.
	tailLatencyCost      = 1.0
	unpenalizedTailRatio = 0.5
	// minIdleShare is the share of a filler's requested processors that must be idle.
	minIdleShare = 0.6
)

// chooseWorker returns the worker with the lowest cost for a task, or nil if none is
// feasible.
func (e *Engine) chooseWorker(now time.Time, t *task) *worker {
	return e.chooseWorkerAmong(now, t, func(*worker) bool { return true })
}

// chooseDestination returns the worker with the lowest cost to which a running task can move, or nil.
// A worker that is held for anything is left out, since it can't be held for the task as well.
func (e *Engine) chooseDestination(now time.Time, a *attempt) *worker {
	return e.chooseWorkerAmong(now, a.task, func(w *worker) bool { return w != a.worker && !w.hold.isActive(now) })
}

// chooseWorkerAmong is like chooseWorker but considers only eligible workers.
func (e *Engine) chooseWorkerAmong(now time.Time, t *task, isEligible func(*worker) bool) *worker {
	t.step.refusedByReservation = false
	var best *worker
	bestCost := 0.0
	leaving := e.leavingCost(t.step)
	for _, w := range e.sortedWorkers {
		if !isEligible(w) || !e.mayPlace(now, t, w) {
			continue
		}
		if w.hold.isForMoved(now, t) {
			return w
		}
		cost, ok := e.cost(now, t, w)
		if w.leavesSoon {
			cost += leaving
		}
		if ok && (best == nil || cost < bestCost) {
			best, bestCost = w, cost
		}
	}
	return best
}

// mayPlace reports whether the placement policy, the step's constraints, reservations and the free
// capacity allow the task on the worker.
func (e *Engine) mayPlace(now time.Time, t *task, w *worker) bool {
	return w.hasRoomBesideHold(now, t) && e.isPermitted(now, t.step, w) && e.isFeasible(now, t.step, w) &&
		(w.hold.isForMoved(now, t) || e.leavesReservedRoom(now, t.step, w))
}

// hasRoomBesideHold reports whether a task leaves enough room for another one that was moved to
// the worker. Fillers take no processors from it.
func (w *worker) hasRoomBesideHold(now time.Time, t *task) bool {
	if !w.hold.isForOtherMoved(now, t) {
		return true
	}
	both := t.step.Reserved().Add(w.hold.task.step.Reserved())
	if t.step.Filler {
		both.Processors = 0
	}
	return both.FitsIn(w.free())
}

// isPermitted reports whether the placement policy allows the step on the worker.
func (e *Engine) isPermitted(now time.Time, s *step, w *worker) bool {
	return !s.job.queue.NeedsAdvice || e.ticket(now, s, w) != ""
}

// isFeasible reports whether the worker meets the step's constraints and has room for
// one of its tasks. It doesn't check the placement policy.
func (e *Engine) isFeasible(now time.Time, s *step, w *worker) bool {
	return e.meetsConstraints(s, w) && s.Reserved().FitsIn(w.free()) && (s.Filler || w.hold.allowsBeside(now, s))
}

// updateSchedulable marks the workers that may get tasks in this tick, and the steps for
// which a worker is held. It is computed once, because each search for a worker checks all
// of them.
func (e *Engine) updateSchedulable(now time.Time) {
	clear(e.stepsWithHold)
	for _, w := range e.sortedWorkers {
		resourcesKnown := (!e.recovering || w.hasListedRuns) && !w.isAwaitingStop(now) && !w.hasEarlierEntry()
		w.schedulable = w.isAvailable(now) && resourcesKnown && !e.isQuarantined(now, w) && !e.zonesOutOfService[w.Zone]
		if w.hold.isActive(now) {
			e.stepsWithHold[w.hold.task.step] = true
		}
	}
}

// meetsConstraints is like isFeasible but ignores the free capacity and holds.
func (e *Engine) meetsConstraints(s *step, w *worker) bool {
	switch {
	case !w.schedulable, w.Service != s.job.queue.Service, len(w.orphans) > 0:
		return false
	case s.Requires != "" && !w.hasLabel(s.Requires):
		return false
	case s.MaxPerWorker > 0 && s.perWorker[w] >= s.MaxPerWorker:
		return false
	case s.OneRack && s.rack != "" && rackOf(w) != s.rack:
		return false
	}
	return true
}

// cost returns the cost of running the task on the worker, and false if the worker
// isn't acceptable.
func (e *Engine) cost(now time.Time, t *task, w *worker) (float64, bool) {
	s := t.step
	cost := failureCost * float64(w.health.failures(now))
	if w.isFaulty(now) {
		if s.Filler {
			return 0, false
		}
		cost += faultCost
	}
	if w.slowdown > minSlowWorkerRatio && !e.isDisabled(mechanism.SlowWorkers) {
		cost += slowdownCost * (w.slowdown - 1)
	}
	for _, failed := range t.failedOn {
		if failed == w {
			cost += sameFailureCost
		}
	}
	if s.PreferredRack != "" && !w.hasLabel(s.PreferredRack) {
		cost += remoteCost * max(e.options.RemoteDurationFactor-1, 0)
	}
	if s.Filler {
		return e.fillerCost(now, s, w, cost)
	}
	reservedShare := share(w.reserved.Processors+s.Resources.Processors, w.Capacity.Processors)
	switch {
	case s.LongRunning:
		cost -= packingBonus * reservedShare
	case e.leavesLargeGaps(now, s):
		cost += reservedShare - largeGapBonus*share(w.servingReserved, w.Capacity.Processors)
	default:
		cost += reservedShare
	}
	if s.Target > 0 {
		cost += e.servingCost(now, s, w)
	}
	return cost, true
}

// fillerCost adds the terms that apply to fillers: few idle processors, and serving
// tasks with which the filler may interfere.
func (e *Engine) fillerCost(now time.Time, s *step, w *worker, cost float64) (float64, bool) {
	idle := w.idleProcessors()
	if float64(idle) < minIdleShare*float64(s.Resources.Processors) {
		return 0, false
	}
	probability := e.interferenceProbability(now, s, w)
	if probability > maxPlaceProbability || (probability > maxHarmlessProbability && !e.mayStartTrial(now, s, w)) {
		return 0, false
	}
	cost += scarceWorkerCost * w.fillerValue
	if !e.isDisabled(mechanism.TailLatencyCost) {
		cost += tailLatencyCost * max(w.tailLatencyRatio-unpenalizedTailRatio, 0)
	}
	if probability > maxHarmlessProbability && !e.isDisabled(mechanism.UncertainMixCost) && e.hasUncertain(now, w, s.Image) {
		cost += uncertainMixCost
	}
	return cost + interferenceCost*probability - share(idle, w.Capacity.Processors), true
}

// hasUncertain reports whether a filler of another image runs on the worker for which
// it isn't known whether it interferes.
func (e *Engine) hasUncertain(now time.Time, w *worker, other Image) bool {
	if w.fillerProcessors == 0 {
		return false
	}
	for _, a := range w.runs {
		if a.task.step.Filler && a.task.step.Image != other && e.interferenceProbability(now, a.task.step, w) > maxHarmlessProbability {
			return true
		}
	}
	return false
}

// idleProcessors returns the processors that are still available to fillers.
func (w *worker) idleProcessors() resource.MilliProcessors {
	unused := w.servingReserved * resource.MilliProcessors(100-w.servingUsePercent()) / 100
	return w.Capacity.Processors - w.reserved.Processors + unused - w.fillerProcessors
}

// share returns the ratio of part to whole, and 1 if whole isn't positive.
func share(part, whole resource.MilliProcessors) float64 {
	if whole <= 0 {
		return 1
	}
	return float64(part) / float64(whole)
}

// rackPrefix is the prefix of the label that names a worker's rack.
const rackPrefix = "r"

// rackOf returns the worker's rack label, which has the prefix and contains a hyphen,
// or an empty label if there is none.
func rackOf(w *worker) Label {
	for _, l := range w.Labels {
		if strings.HasPrefix(string(l), rackPrefix) && strings.Contains(string(l), "-") {
			return l
		}
	}
	return ""
}
