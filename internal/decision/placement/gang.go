package placement

import (
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
)

const (
	// gangRest is the time between attempts to place the same gang, which cost a
	// search for each task.
	gangRest = 250 * time.Millisecond
	// gangGrace is the time that members of a gang may run without the others.
	gangGrace = 15 * time.Second
)

// placeGang starts all pending tasks of a gang or none. Tasks of an earlier run
// must have stopped.
func (e *Engine) placeGang(now time.Time, j *job) bool {
	count := j.pending()
	need := e.need(j)
	l := j.lane
	if len(j.running) > 0 {
		e.awaitGang(now, j)
		return len(l.jobs) > 0
	}
	if !j.team.allows(multiply(need, count), j.Priority) {
		j.waiting = WaitingForQuota
		return false
	}
	if !e.mayStart(count) {
		j.waiting = WaitingForRamp
		return false
	}
	nodes := e.planGang(now, j, need, count)
	if nodes == nil {
		j.waiting = WaitingForRoom
		e.holdForGang(now, j, need)
		e.sleep(now, j, gangRest)
		return len(l.jobs) > 0
	}
	for _, n := range nodes {
		e.start(now, j, n, need, ReasonGang, Facts{Candidates: count})
	}
	e.releaseAll(now, j)
	return len(l.jobs) > 0
}

// awaitGang waits for the tasks of an earlier run. Members that still run without
// the others, which a takeover can leave, are evicted after gangGrace.
func (e *Engine) awaitGang(now time.Time, j *job) {
	j.waiting = WaitingForStopping
	if now.Sub(j.queuedAt) > gangGrace {
		for _, a := range j.running {
			e.evict(now, a, ReasonGangBroken, Facts{Beneficiary: j.ID})
		}
	}
	e.sleep(now, j, gangRest)
}

// planGang finds a worker for each task, those held for the job first, or nil.
func (e *Engine) planGang(now time.Time, j *job, need resource.Vector, count int) []*node {
	nodes := make([]*node, 0, count)
	tentative := func(n *node) {
		n.used = n.used.Add(need)
		nodes = append(nodes, n)
		e.reindex(now, n)
	}
	for _, h := range e.holds {
		for h.job == j && len(nodes) < count && need.FitsIn(h.node.free()) {
			tentative(h.node)
		}
	}
	for len(nodes) < count {
		n := e.search(now, j, need)
		if n == nil {
			break
		}
		tentative(n)
	}
	for _, n := range nodes {
		n.used = n.used.Sub(need)
		e.reindex(now, n)
	}
	if len(nodes) < count {
		e.searches += len(nodes) / chunk
		return nil
	}
	return nodes
}
