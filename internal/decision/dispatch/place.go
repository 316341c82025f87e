package dispatch

import (
	"strings"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
)

// Weights of the parts of a worker's cost. The unit is the share of its
// processors that are taken; the lowest cost wins.
const (
	// failureCost makes a worker on which jobs have just failed the last choice.
	failureCost = 2.0
	// sameFailureCost keeps a task away from a worker on which it has failed before.
	sameFailureCost = 4.0
	// remoteCost times the slowdown away from the preferred rack.
	remoteCost = 1.0
	// interferenceCost keeps fillers away from serving tasks that they disturb.
	interferenceCost = 3.0
	// maxHarmlessProbability is the probability of disturbing below which a pair counts as known to
	// be harmless.
	maxHarmlessProbability = 0.1
	// scarceWorkerCost times the value of a worker for fillers leads those that run on many
	// workers away from the few that others need.
	scarceWorkerCost = 0.25
	// uncertainMixCost keeps fillers of two uncertain images apart, so that a slow
	// serving task tells which one is the cause.
	uncertainMixCost = 1.0
	// packingBonus times the share of its processors that are taken draws long-running
	// tasks to full workers, so that what is free stays in pieces that others fit in.
	packingBonus = 0.5
	// tailLatencyCost times the tail latency of the serving tasks of a worker, against their
	// targets and beyond easyTail, leads fillers to where there is most reserve.
	tailLatencyCost      = 1.0
	unpenalizedTailRatio = 0.5
	// servingUsePercent is the part of its reserved processors, in percent, that a serving
	// task is assumed to use at the peak of its load. Fillers get the rest.
	servingUsePercent = 65
	// minIdleShare is the part of its processors that a filler must find idle.
	minIdleShare = 0.6
)

// chooseWorker returns the cheapest worker for a task, nil if none can take it.
func (e *Engine) chooseWorker(now time.Time, t *task) *node {
	var best *node
	bestCost := 0.0
	for _, n := range e.sortedWorkers {
		if !e.mayPlace(now, t, n) {
			continue
		}
		cost, ok := e.cost(now, t, n)
		if ok && (best == nil || cost < bestCost) {
			best, bestCost = n, cost
		}
	}
	return best
}

// mayPlace reports whether rules and room allow the task on the worker.
func (e *Engine) mayPlace(now time.Time, t *task, n *node) bool {
	return e.isPermitted(now, t.step, n) && e.isFeasible(now, t.step, n)
}

// isPermitted reports whether the placement policy lets a step run on the worker.
func (e *Engine) isPermitted(now time.Time, s *step, n *node) bool {
	return !s.job.queue.Advised || e.ticket(now, s, n) != ""
}

// isFeasible reports whether a worker may run a task of the step, as far as the
// placement policy isn't concerned.
func (e *Engine) isFeasible(now time.Time, s *step, n *node) bool {
	return e.meetsConstraints(s, n) && s.Reserved().FitsIn(n.free()) && (s.Filler || n.hold.isFor(now, s))
}

// updateSchedulable finds the workers that may get tasks in this tick. Each search for a
// worker asks for all of them.
func (e *Engine) updateSchedulable(now time.Time) {
	for _, n := range e.sortedWorkers {
		n.schedulable = n.isAvailable(now) && !n.health.isQuarantined(now) && !e.zonesOutOfService[n.Zone]
	}
}

// meetsConstraints is the same without regard to room.
func (e *Engine) meetsConstraints(s *step, n *node) bool {
	switch {
	case !n.schedulable, n.Service != s.job.queue.Service, n.untrackedRuns > 0:
		return false
	case s.Requires != "" && !n.hasLabel(s.Requires):
		return false
	case s.MaxPerWorker > 0 && s.perWorker[n] >= s.MaxPerWorker:
		return false
	case s.OneRack && s.rack != "" && rackOf(n) != s.rack:
		return false
	}
	return true
}

// cost returns how little a worker suits a task, and false if it doesn't at all.
func (e *Engine) cost(now time.Time, t *task, n *node) (float64, bool) {
	s := t.step
	cost := failureCost * float64(n.health.failures(now))
	if n.isFaulty(now) {
		if s.Filler {
			return 0, false
		}
		cost += faultCost
	}
	if n.slowdown > avoidSlowdown {
		cost += slowdownCost * (n.slowdown - 1)
	}
	for _, failed := range t.failedOn {
		if failed == n {
			cost += sameFailureCost
		}
	}
	if s.PreferredRack != "" && !n.hasLabel(s.PreferredRack) {
		cost += remoteCost * max(e.options.RemoteFactor-1, 0)
	}
	if s.Filler {
		return e.fillerCost(now, s, n, cost)
	}
	reservedShare := share(n.reserved.Processors+s.Resources.Processors, n.Capacity.Processors)
	if s.LongRunning {
		cost -= packingBonus * reservedShare
	} else {
		cost += reservedShare
	}
	if s.Target > 0 {
		cost += e.servingCost(now, s, n)
	}
	return cost, true
}

// fillerCost adds what speaks against a filler on a worker: little idle capacity,
// and serving tasks that it would disturb.
func (e *Engine) fillerCost(now time.Time, s *step, n *node, cost float64) (float64, bool) {
	idle := n.idleProcessors()
	if float64(idle) < minIdleShare*float64(s.Resources.Processors) {
		return 0, false
	}
	probability := e.interferenceProbability(now, s, n)
	if probability > placeBelow || (probability > maxHarmlessProbability && !e.mayTry(now, s, n)) {
		return 0, false
	}
	cost += tailLatencyCost*max(n.tailLatencyRatio-unpenalizedTailRatio, 0) + scarceWorkerCost*n.fillerValue
	if probability > maxHarmlessProbability && e.hasUncertain(now, n, s.Image) {
		cost += uncertainMixCost
	}
	return cost + interferenceCost*probability - share(idle, n.Capacity.Processors), true
}

// hasUncertain reports whether a filler of another image runs on the worker of which
// it isn't known whether it disturbs.
func (e *Engine) hasUncertain(now time.Time, n *node, other Image) bool {
	if n.fillerProcessors == 0 {
		return false
	}
	for _, a := range n.runs {
		if a.task.step.Filler && a.task.step.Image != other && e.interferenceProbability(now, a.task.step, n) > maxHarmlessProbability {
			return true
		}
	}
	return false
}

// idleProcessors returns the processors that fillers can still get.
func (n *node) idleProcessors() resource.MilliProcessors {
	unused := n.servingReserved * (100 - servingUsePercent) / 100
	return n.Capacity.Processors - n.reserved.Processors + unused - n.fillerProcessors
}

func share(part, whole resource.MilliProcessors) float64 {
	if whole <= 0 {
		return 1
	}
	return float64(part) / float64(whole)
}

// rackPrefix begins the label that names the rack of a worker.
const rackPrefix = "r"

// rackOf returns the label of the worker's rack, empty if it has none.
func rackOf(n *node) Label {
	for _, l := range n.Labels {
		if strings.HasPrefix(string(l), rackPrefix) && strings.Contains(string(l), "-") {
			return l
		}
	}
	return ""
}
