package placement

import (
	"math"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
	"github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/interference"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/manifest"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/object"
)

// The indexes of workers.
const (
	// indexByFree is the index by the resources that are free now.
	indexByFree = iota
	// indexByPreemption is the index by the resources that are free or held by
	// preemptible attempts.
	indexByPreemption
	indexCount
)

const (
	// initialLatencyRatio is the ratio of p99 to target that is assumed before the
	// first sample.
	initialLatencyRatio = 0.5
	// startRatioLimit is the ratio of predicted p99 to target at and above which no normal
	// task starts. The margin of a fifth covers the rise of the load during the
	// sample's lag.
	startRatioLimit = 0.8
	// relaxedRatioLimit applies instead while the late share of the service is below
	// relaxedBudgetPercent of its error budget.
	relaxedRatioLimit    = 0.95
	relaxedBudgetPercent = 50
	// dueRatioLimit and dueBudgetPercent are the same for jobs whose deadline is near.
	// While the budget lasts, their tasks are not throttled either.
	dueRatioLimit    = 1.2
	dueBudgetPercent = 80
	// dueRunTimes is how many run times before its deadline a job becomes due. Over
	// four seeds of the rota-rush trace, 26 jobs are late with 5, 23 with 8 and 22 with
	// 12.
	dueRunTimes = 8
	// recentEvictionWindow is how long after an eviction further evictions on the
	// worker are considered likely.
	recentEvictionWindow = 10 * time.Minute
)

// attempt is one execution of a task on a worker.
type attempt struct {
	job  *job
	node *node
	// index is the index of the task in its job.
	index int32
	// inNode and inJob are the positions in node.attempts and job.running.
	inNode int32
	inJob  int32
	// share is the part of its processors that the attempt may use, in thousandths.
	share     int16
	number    worker.Attempt
	allocated resource.Vector
	// peakUsage is the highest usage observed.
	peakUsage resource.Vector
	started   time.Time
	stopping  bool
	killed    bool
	isProbe   bool
	// isTrial reports whether the attempt counts in health.trialAttempts of its worker.
	isTrial bool
	// orphanTask is the ID of the task if the attempt has no job.
	orphanTask worker.TaskID
}

// preemptible reports whether the attempt may be evicted to make room for another job.
func (a *attempt) preemptible() bool {
	return a.job != nil && !a.stopping && a.job.Checkpointable && a.job.Priority != Urgent
}

func (a *attempt) taskID() worker.TaskID {
	if a.job == nil {
		return a.orphanTask
	}
	return a.job.taskID(a.index)
}

func (a *attempt) checkpoint() object.Key {
	if a.job == nil {
		return ""
	}
	return a.job.checkpoints[a.index]
}

func (a *attempt) className() manifest.ClassName {
	if a.job == nil {
		return ""
	}
	return a.job.Class
}

// serviceState is the latency of a service on a worker.
type serviceState struct {
	name manifest.ServiceName
	// latencyRatio is the ratio of p99 to target in the last sample.
	latencyRatio float64
	p99          time.Duration
	// pendingLogRise is the predicted rise of ln(p99) from attempts that started after
	// the last sample.
	pendingLogRise float64
}

// predictedRatio is the ratio of p99 to target that is expected once the attempts that
// started after the last sample take effect.
func (s serviceState) predictedRatio() float64 {
	return s.latencyRatio * math.Exp(s.pendingLogRise)
}

// node is the engine's record of a worker and its attempts.
type node struct {
	Worker
	serviceSetID int32
	services     []serviceState
	// allocated is the sum of the attempts' allocations; preemptible and stopping are
	// the parts held by attempts that may be evicted and that were told to stop.
	allocated      resource.Vector
	preemptible    resource.Vector
	stopping       resource.Vector
	attempts       []*attempt
	indexPositions [indexCount]indexPosition
	// listIndex is the position in Engine.nodes, -1 after removal.
	listIndex              int
	reservation            *nodeReservation
	interferenceController interference.Controller
	health                 health
	// lastEviction is when a task was last evicted from the worker for lack of room or
	// because of interference.
	lastEviction time.Time
}

// allocatable returns the resources for tasks: the capacity less what the executors
// need.
func (n *node) allocatable() resource.Vector {
	return n.Capacity.Sub(n.Reserved)
}

// free returns the resources that are not allocated. Components are negative while
// tasks use more than is allocatable.
func (n *node) free() resource.Vector {
	return n.allocatable().Sub(n.allocated)
}

// roomFor returns the resources by which the given index sorts the worker.
func (n *node) roomFor(indexID int) resource.Vector {
	if indexID == indexByPreemption {
		return n.free().Add(n.preemptible)
	}
	return n.free()
}

// worstPredictedRatio returns the highest predicted ratio of p99 to target of all
// services on the worker.
func (n *node) worstPredictedRatio() float64 {
	worst := 0.0
	for _, s := range n.services {
		worst = max(worst, s.predictedRatio())
	}
	return worst
}

// pressureLevel maps worstPredictedRatio to five levels, by which the indexes group
// workers.
func (n *node) pressureLevel() uint8 {
	worst := n.worstPredictedRatio()
	switch {
	case worst < minLevelRatios[1]:
		return 0
	case worst < minLevelRatios[2]:
		return 1
	case worst < minLevelRatios[3]:
		return 2
	case worst < minLevelRatios[4]:
		return 3
	}
	return 4
}

// minLevelRatios are the smallest ratios of the pressure levels.
var minLevelRatios = [5]float64{0, 0.5, 0.65, startRatioLimit, relaxedRatioLimit}

func (n *node) groupKey(now time.Time) groupKey {
	return groupKey{
		serviceSetID:    n.serviceSetID,
		pressureLevel:   n.pressureLevel(),
		recentlyEvicted: !n.lastEviction.IsZero() && now.Sub(n.lastEviction) < recentEvictionWindow,
		accelerators:    uint8(min(max(n.free().Accelerators, 0), maxKeyAccelerators)),
	}
}

// acceptsTasks reports whether tasks may start on the worker other than as a probe or
// on a reservation.
func (n *node) acceptsTasks(now time.Time) bool {
	return n.isInService(now) && n.reservation == nil
}

// isInService reports whether tasks may start on the worker other than as a probe.
func (n *node) isInService(now time.Time) bool {
	if n.State == WorkerUnreachable || n.State == WorkerLeaving {
		return false
	}
	h := &n.health
	if h.quarantined() || now.Before(h.backoffUntil) || h.consecutiveFailures > 0 && h.trialAttempts > 0 {
		return false
	}
	return true
}

// reindex updates the position of the worker in the indexes after a change.
func (e *Engine) reindex(now time.Time, n *node) {
	if n.removed() || !n.acceptsTasks(now) {
		e.freeIndex.remove(n)
		e.preemptionIndex.remove(n)
		return
	}
	key := n.groupKey(now)
	e.freeIndex.put(n, key, n.free())
	e.preemptionIndex.put(n, key, n.roomFor(indexByPreemption))
}

func (n *node) removed() bool {
	return n.listIndex < 0
}

// addToNode adds an attempt to the allocations of a worker.
func (e *Engine) addToNode(now time.Time, n *node, a *attempt) {
	a.node = n
	a.inNode = int32(len(n.attempts))
	n.attempts = append(n.attempts, a)
	n.allocated = n.allocated.Add(a.allocated)
	e.adjustNodeSums(a, n, 1)
	if n.health.consecutiveFailures > 0 {
		a.isTrial = true
		n.health.trialAttempts++
	}
	e.reindex(now, n)
}

// removeFromNode removes an attempt from the allocations of its worker.
func (e *Engine) removeFromNode(now time.Time, a *attempt) {
	n := a.node
	e.adjustNodeSums(a, n, -1)
	n.allocated = n.allocated.Sub(a.allocated)
	last := len(n.attempts) - 1
	n.attempts[a.inNode] = n.attempts[last]
	n.attempts[a.inNode].inNode = a.inNode
	n.attempts[last] = nil
	n.attempts = n.attempts[:last]
	if a.isTrial {
		n.health.trialAttempts--
	}
	a.node = nil
	e.reindex(now, n)
}

// adjustNodeSums adds the allocation of an attempt to the sums of preemptible and
// stopping resources where it counts, or subtracts it if sign is negative.
func (e *Engine) adjustNodeSums(a *attempt, n *node, sign int) {
	change := a.allocated
	if sign < 0 {
		change = resource.Vector{}.Sub(a.allocated)
	}
	if a.preemptible() {
		n.preemptible = n.preemptible.Add(change)
	}
	if a.stopping {
		n.stopping = n.stopping.Add(change)
	}
}

// raiseAllocation raises the allocation of an attempt to its observed usage.
func (e *Engine) raiseAllocation(now time.Time, a *attempt, observed resource.Vector) {
	a.peakUsage = a.peakUsage.Max(observed)
	allocation := a.allocated.Max(observed)
	if allocation == a.allocated {
		return
	}
	n := a.node
	e.adjustNodeSums(a, n, -1)
	increase := allocation.Sub(a.allocated)
	a.allocated = allocation
	n.allocated = n.allocated.Add(increase)
	e.adjustNodeSums(a, n, 1)
	if a.job != nil {
		a.job.team.addUsage(increase, a.job.Priority)
	}
	e.reindex(now, n)
}

// markStopping records that an attempt was told to stop.
func (e *Engine) markStopping(now time.Time, a *attempt) {
	if a.stopping {
		return
	}
	e.adjustNodeSums(a, a.node, -1)
	a.stopping = true
	e.adjustNodeSums(a, a.node, 1)
	e.reindex(now, a.node)
}

// SetWorker adds or updates a worker.
func (e *Engine) SetWorker(now time.Time, w Worker) {
	n := e.nodesByID[w.ID]
	if n == nil {
		if e.nodesByID == nil {
			e.nodesByID = map[membership.InstanceID]*node{}
			e.preemptionIndex.id = indexByPreemption
		}
		n = &node{listIndex: len(e.nodes)}
		e.nodesByID[w.ID] = n
		e.nodes = append(e.nodes, n)
	} else {
		e.removeAllocatable(n)
	}
	startsLeaving := n.State != WorkerLeaving && w.State == WorkerLeaving
	n.Worker = w
	e.addAllocatable(n)
	e.setServices(n)
	if n.reservation != nil && n.State != "" && n.State != WorkerAvailable {
		e.giveUp(now, n.reservation)
	}
	e.reindex(now, n)
	if startsLeaving {
		e.leavingNodes = append(e.leavingNodes, n)
	}
	e.relieveOvercommit(now, n, nil)
}

// RemoveWorker removes a worker; its tasks become pending again. Call it only when
// nothing can run on the worker any more.
func (e *Engine) RemoveWorker(now time.Time, id membership.InstanceID) {
	n := e.nodesByID[id]
	if n == nil {
		return
	}
	if n.reservation != nil {
		e.giveUp(now, n.reservation)
	}
	for len(n.attempts) > 0 {
		a := n.attempts[len(n.attempts)-1]
		e.endAttempt(now, a, TaskEnd{Outcome: Lost, Reason: "worker was removed"})
	}
	e.freeIndex.remove(n)
	e.preemptionIndex.remove(n)
	e.removeAllocatable(n)
	if n.health.quarantined() {
		e.quarantinedCount--
	}
	last := len(e.nodes) - 1
	e.nodes[n.listIndex] = e.nodes[last]
	e.nodes[n.listIndex].listIndex = n.listIndex
	e.nodes[last] = nil
	e.nodes = e.nodes[:last]
	n.listIndex = -1
	delete(e.nodesByID, id)
}

// addAllocatable counts workers by allocatable resources, so that a job that fits no
// worker is detected without examining every worker.
func (e *Engine) addAllocatable(n *node) {
	if e.allocatableCounts == nil {
		e.allocatableCounts = map[resource.Vector]int{}
	}
	e.allocatableCounts[n.allocatable()]++
	e.totalAllocatable = e.totalAllocatable.Add(n.allocatable())
}

func (e *Engine) removeAllocatable(n *node) {
	allocatable := n.allocatable()
	e.allocatableCounts[allocatable]--
	if e.allocatableCounts[allocatable] == 0 {
		delete(e.allocatableCounts, allocatable)
	}
	e.totalAllocatable = e.totalAllocatable.Sub(allocatable)
}
