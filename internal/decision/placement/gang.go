package placement

import (
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
)

const (
	// gangRetryDelay is the time between attempts to place the same gang. Each attempt
	// costs a search per task.
	gangRetryDelay = 250 * time.Millisecond
	// partialGangTimeout is how long members of a gang may run without the others.
	partialGangTimeout = 15 * time.Second
)

// placeGang starts either all pending tasks of a gang or none, once all tasks of an
// earlier run have stopped. It reports whether the queue may have more to start in this
// tick.
func (e *Engine) placeGang(now time.Time, j *job) bool {
	count := j.pending()
	demand := e.demand(j)
	queue := j.queue
	if len(j.running) > 0 {
		e.awaitPreviousRun(now, j)
		return len(queue.jobs) > 0
	}
	if !j.team.quotaAllows(multiply(demand, count), j.Priority) {
		j.waitReason = WaitingForQuota
		return false
	}
	if !e.mayStart(count) {
		j.waitReason = WaitingForRamp
		return false
	}
	nodes := e.findGangNodes(now, j, demand, count)
	if nodes == nil {
		j.waitReason = WaitingForRoom
		e.reserveForGang(now, j, demand)
		e.postpone(now, j, gangRetryDelay)
		return len(queue.jobs) > 0
	}
	for _, n := range nodes {
		e.startTask(now, j, n, demand, ReasonGang, Facts{Candidates: count})
	}
	e.releaseAll(now, j)
	return len(queue.jobs) > 0
}

// awaitPreviousRun delays a gang until the tasks of its earlier run have stopped. A
// takeover can leave some members running without the others; they are evicted after
// partialGangTimeout.
func (e *Engine) awaitPreviousRun(now time.Time, j *job) {
	j.waitReason = WaitingForStopping
	if now.Sub(j.queuedAt) > partialGangTimeout {
		for _, a := range j.running {
			e.evict(now, a, ReasonGangBroken, Facts{Beneficiary: j.ID})
		}
	}
	e.postpone(now, j, gangRetryDelay)
}

// findGangNodes returns a worker for each task of a gang, using workers reserved for
// the job first. It returns nil if not all tasks fit.
func (e *Engine) findGangNodes(now time.Time, j *job, demand resource.Vector, count int) []*node {
	nodes := make([]*node, 0, count)
	allocate := func(n *node) {
		n.allocated = n.allocated.Add(demand)
		nodes = append(nodes, n)
		e.reindex(now, n)
	}
	for _, r := range e.reservations {
		for r.job == j && len(nodes) < count && demand.FitsIn(r.node.free()) {
			allocate(r.node)
		}
	}
	for len(nodes) < count {
		n := e.findNode(now, j, demand)
		if n == nil {
			break
		}
		allocate(n)
	}
	for _, n := range nodes {
		n.allocated = n.allocated.Sub(demand)
		e.reindex(now, n)
	}
	if len(nodes) < count {
		e.searchesThisTick += len(nodes) / maxTasksPerTurn
		return nil
	}
	return nodes
}
