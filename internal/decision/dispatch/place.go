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
	// harmCost keeps fillers away from serving tasks that they disturb.
	harmCost = 3.0
	// knownBelow is the probability of disturbing below which a pair counts as known to
	// be harmless.
	knownBelow = 0.1
	// scarceCost times the value of a worker for fillers leads those that run on many
	// workers away from the few that others need.
	scarceCost = 0.25
	// uncertainMixCost keeps fillers of two uncertain images apart, so that a slow
	// serving task tells which one is the cause.
	uncertainMixCost = 1.0
	// packingGain times the share of its processors that are taken draws long-running
	// tasks to full workers, so that what is free stays in pieces that others fit in.
	packingGain = 0.5
	// tailCost times the tail latency of the serving tasks of a worker, against their
	// targets and beyond easyTail, leads fillers to where there is most reserve.
	tailCost = 1.0
	easyTail = 0.5
	// servingUse is the part of its reserved processors, in percent, that a serving
	// task is assumed to use at the peak of its load. Fillers get the rest.
	servingUse = 65
	// minFillerShare is the part of its processors that a filler must find idle.
	minFillerShare = 0.6
)

// choose returns the cheapest worker for a task, nil if none can take it.
func (e *Engine) choose(now time.Time, t *task) *node {
	var best *node
	bestCost := 0.0
	for _, n := range e.fleet {
		if !e.mayRun(now, t, n) {
			continue
		}
		cost, ok := e.cost(now, t, n)
		if ok && (best == nil || cost < bestCost) {
			best, bestCost = n, cost
		}
	}
	return best
}

// mayRun reports whether rules and room allow the task on the worker.
func (e *Engine) mayRun(now time.Time, t *task, n *node) bool {
	return e.isPermitted(now, t.step, n) && e.suits(now, t.step, n)
}

// isPermitted reports whether the placement policy lets a step run on the worker.
func (e *Engine) isPermitted(now time.Time, s *step, n *node) bool {
	return !s.job.queue.Advised || e.ticket(now, s, n) != ""
}

// suits reports whether a worker may run a task of the step, as far as the
// placement policy isn't concerned.
func (e *Engine) suits(now time.Time, s *step, n *node) bool {
	return e.suitsBut(s, n) && s.Reserved().FitsIn(n.free()) && (s.Filler || n.hold.isFor(now, s))
}

// noteOpenWorkers finds the workers that may get tasks in this tick. Each search for a
// worker asks for all of them.
func (e *Engine) noteOpenWorkers(now time.Time) {
	for _, n := range e.fleet {
		n.open = n.isSound(now) && !n.health.isQuarantined(now) && !e.zonesOut[n.Zone]
	}
}

// suitsBut is the same without regard to room.
func (e *Engine) suitsBut(s *step, n *node) bool {
	switch {
	case !n.open, n.Service != s.job.queue.Service, n.unknownRuns > 0:
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
	taken := share(n.used.Processors+s.Resources.Processors, n.Capacity.Processors)
	if s.LongRunning {
		cost -= packingGain * taken
	} else {
		cost += taken
	}
	if s.Target > 0 {
		cost += e.servingCost(now, s, n)
	}
	return cost, true
}

// fillerCost adds what speaks against a filler on a worker: little idle capacity,
// and serving tasks that it would disturb.
func (e *Engine) fillerCost(now time.Time, s *step, n *node, cost float64) (float64, bool) {
	idle := n.idle()
	if float64(idle) < minFillerShare*float64(s.Resources.Processors) {
		return 0, false
	}
	harm := e.expectedHarm(now, s, n)
	if harm > placeBelow || (harm > knownBelow && !e.mayTry(now, s, n)) {
		return 0, false
	}
	cost += tailCost*max(n.tail-easyTail, 0) + scarceCost*n.fillerValue
	if harm > knownBelow && e.hasUncertain(now, n, s.Image) {
		cost += uncertainMixCost
	}
	return cost + harmCost*harm - share(idle, n.Capacity.Processors), true
}

// hasUncertain reports whether a filler of another image runs on the worker of which
// it isn't known whether it disturbs.
func (e *Engine) hasUncertain(now time.Time, n *node, other Image) bool {
	if n.fillers == 0 {
		return false
	}
	for _, a := range n.runs {
		if a.task.step.Filler && a.task.step.Image != other && e.expectedHarm(now, a.task.step, n) > knownBelow {
			return true
		}
	}
	return false
}

// idle returns the processors that fillers can still get.
func (n *node) idle() resource.MilliProcessors {
	unused := n.serving * (100 - servingUse) / 100
	return n.Capacity.Processors - n.used.Processors + unused - n.fillers
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
