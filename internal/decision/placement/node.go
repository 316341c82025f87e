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

// The indexCount of workers.
const (
	// indexByFree is by what is free now.
	indexByFree = iota
	// indexByPreemption adds what the eviction of normal checkpointable tasks frees.
	indexByPreemption
	indexCount
)

const (
	// initialLatencyRatio is the p99 against the target that is assumed before a sample.
	initialLatencyRatio = 0.5
	// startRatioLimit is the predicted p99 against the target from which no normal task
	// starts. The margin of a fifth covers the rise of the load within a sample's lag.
	startRatioLimit = 0.8
	// relaxedRatioLimit takes its place while the late share of the service is below
	// relaxedBudget percent of its error budget.
	relaxedRatioLimit    = 0.95
	relaxedBudgetPercent = 50
	// dueRatioLimit and dueBudget are the same for jobs whose deadline is near. Their tasks
	// are not throttled either while the budget lasts.
	dueRatioLimit    = 1.2
	dueBudgetPercent = 80
	// dueRunTimes is the number of run times before the deadline at which a job is due.
	// Over four seeds of the rota rush 26 jobs are late with 5, 23 with 8, 22 with 12.
	dueRunTimes = 8
	// recentEvictionWindow is how long a worker counts as one where eviction is likely.
	recentEvictionWindow = 10 * time.Minute
)

// attempt is a task on a worker.
type attempt struct {
	job  *job
	node *node
	// index is that of the task in its job.
	index int32
	// inNode and inJob are the positions in the lists of the node and the job.
	inNode    int32
	inJob     int32
	share     int16
	number    worker.Attempt
	allocated resource.Vector
	// peakUsage is the peak of what was seen.
	peakUsage resource.Vector
	started   time.Time
	stopping  bool
	killed    bool
	isProbe   bool
	// isTrial attempts count in the trials of their worker's health.
	isTrial bool
	// orphanTask names the task of an attempt whose job is unknown.
	orphanTask worker.TaskID
}

// preemptible reports whether urgent work may take the attempt's place.
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

// serviceState is how a service fares on a worker.
type serviceState struct {
	name manifest.ServiceName
	// latencyRatio is the last p99 against the target.
	latencyRatio float64
	p99          time.Duration
	// pendingLogRise is the predicted rise of the logarithm of p99 by what started since.
	pendingLogRise float64
}

func (s serviceState) predictedRatio() float64 {
	return s.latencyRatio * math.Exp(s.pendingLogRise)
}

// node is a worker with its ledger.
type node struct {
	Worker
	serviceSetID int32
	services     []serviceState
	// allocated is what the attempts reserve, evictable the part that could be evicted,
	// stopping the part that was told to stop.
	allocated           resource.Vector
	preemptible         resource.Vector
	stopping            resource.Vector
	attempts            []*attempt
	indexPositions      [indexCount]indexPosition
	listIndex           int
	reservation         *reservation
	interferenceControl interference.Control
	health              health
	// lastEviction is when a task was last lastEviction here for want of room or for interference.
	lastEviction time.Time
}

// allocatable is what tasks may have in all.
func (n *node) allocatable() resource.Vector {
	return n.Capacity.Sub(n.Reserved)
}

// free is what tasks may have now. Components are negative while tasks use more
// than they had reserved.
func (n *node) free() resource.Vector {
	return n.allocatable().Sub(n.allocated)
}

// roomFor is what the index with the number which counts as roomFor.
func (n *node) roomFor(indexID int) resource.Vector {
	if indexID == indexByPreemption {
		return n.free().Add(n.preemptible)
	}
	return n.free()
}

// worstPredictedRatio is the highest predicted p99 against the target of the services.
func (n *node) worstPredictedRatio() float64 {
	worst := 0.0
	for _, s := range n.services {
		worst = max(worst, s.predictedRatio())
	}
	return worst
}

// pressureLevel is worst in five steps, so that an index can group by it.
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

// minLevelRatios is the smallest ratio of a level.
var minLevelRatios = [5]float64{0, 0.5, 0.65, startRatioLimit, relaxedRatioLimit}

func (n *node) groupKey(now time.Time) groupKey {
	return groupKey{
		serviceSetID:    n.serviceSetID,
		pressureLevel:   n.pressureLevel(),
		recentlyEvicted: !n.lastEviction.IsZero() && now.Sub(n.lastEviction) < recentEvictionWindow,
		accelerators:    uint8(min(max(n.free().Accelerators, 0), maxKeyAccelerators)),
	}
}

// acceptsTasks reports whether tasks may start on the worker in the ordinary way.
func (n *node) acceptsTasks(now time.Time) bool {
	if n.State == Unreachable || n.State == Leaving {
		return false
	}
	h := &n.health
	if h.quarantined() || now.Before(h.backoffUntil) || h.consecutiveFailures > 0 && h.trialAttempts > 0 {
		return false
	}
	return n.reservation == nil
}

// reindex moves the worker to where its state belongs.
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

// addToNode enters an attempt in the ledger.
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

// removeFromNode takes an attempt out of the ledger.
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

// adjustNodeSums adds an attempt to, or takes it from, the sums of what could be evicted
// and what is stopping.
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

// raiseAllocation raises what an attempt reserves to what it was seen to use.
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

// markStopping notes that an attempt was told to stop.
func (e *Engine) markStopping(now time.Time, a *attempt) {
	if a.stopping {
		return
	}
	e.adjustNodeSums(a, a.node, -1)
	a.stopping = true
	e.adjustNodeSums(a, a.node, 1)
	e.reindex(now, a.node)
}

// SetWorker adds a worker or changes what is known about it.
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
	startsLeaving := n.State != Leaving && w.State == Leaving
	n.Worker = w
	e.addAllocatable(n)
	e.setServices(n)
	if n.reservation != nil && n.State != "" && n.State != Available {
		e.release(now, n.reservation)
	}
	e.reindex(now, n)
	if startsLeaving {
		e.leavingNodes = append(e.leavingNodes, n)
	}
	e.relieveOvercommit(now, n, nil)
}

// RemoveWorker forgets a worker; its tasks become pending again. It must only be
// called once nothing can run on the worker any more.
func (e *Engine) RemoveWorker(now time.Time, id membership.InstanceID) {
	n := e.nodesByID[id]
	if n == nil {
		return
	}
	if n.reservation != nil {
		e.release(now, n.reservation)
	}
	for len(n.attempts) > 0 {
		a := n.attempts[len(n.attempts)-1]
		e.endAttempt(now, a, TaskEnd{Outcome: Lost, Reason: "the worker is gone"})
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

// addAllocatable counts the usable sizes, so that a job that fits no worker is
// recognised without a look at every worker.
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
