package placement

import (
	"container/heap"
	"sort"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
)

// SetEvacuating turns the evacuation of the shard on or off. While it is on, no task
// starts. The running tasks are evicted over the next ticks, in the order of the latest
// start that still meets the deadline of their job.
func (e *Engine) SetEvacuating(now time.Time, on bool) {
	if e.evacuating == on {
		return
	}
	e.evacuating = on
	for _, j := range e.movableJobs {
		j.inMovableJobs = false
	}
	e.movableJobs = nil
	if !on {
		return
	}
	for len(e.reservations) > 0 {
		e.release(now, e.reservations[len(e.reservations)-1])
	}
	attempts := make([]*attempt, 0, e.runningCount)
	for _, n := range e.nodes {
		for _, a := range n.attempts {
			if a.job != nil {
				attempts = append(attempts, a)
			}
		}
	}
	sort.SliceStable(attempts, func(i, k int) bool { return attempts[i].job.latestStartBefore(attempts[k].job) })
	e.pendingStops = append(e.pendingStops, attempts...)
	for _, j := range e.jobs {
		e.markMovable(j)
	}
}

// latestStartBefore orders jobs by the latest start that still meets the deadline; jobs
// without a deadline come last.
func (j *job) latestStartBefore(other *job) bool {
	if j.latestStart.Equal(other.latestStart) {
		return j.ID < other.ID
	}
	if j.latestStart.IsZero() || other.latestStart.IsZero() {
		return other.latestStart.IsZero()
	}
	return j.latestStart.Before(other.latestStart)
}

type movableHeap []*job

func (h movableHeap) Len() int           { return len(h) }
func (h movableHeap) Less(a, b int) bool { return h[a].latestStartBefore(h[b]) }
func (h movableHeap) Swap(a, b int)      { h[a], h[b] = h[b], h[a] }

// Push implements heap.Interface.
func (h *movableHeap) Push(x any) { *h = append(*h, x.(*job)) }

// Pop implements heap.Interface.
func (h *movableHeap) Pop() any {
	old := *h
	last := len(old) - 1
	j := old[last]
	old[last] = nil
	*h = old[:last]
	j.inMovableJobs = false
	return j
}

// markMovable adds a job without running attempts to the result of MovableJobs during an
// evacuation.
func (e *Engine) markMovable(j *job) {
	if e.evacuating && len(j.running) == 0 && !j.inMovableJobs && !j.cancelled && !j.parked {
		j.inMovableJobs = true
		heap.Push(&e.movableJobs, j)
	}
}

// MovableJobs returns up to limit jobs without running attempts while the shard is being
// evacuated, in the same order as SetEvacuating evicts tasks. Call CancelJob for a job that
// has moved to another shard.
func (e *Engine) MovableJobs(limit int) []worker.JobID {
	var popped []*job
	var ids []worker.JobID
	for len(e.movableJobs) > 0 && len(ids) < limit {
		j := heap.Pop(&e.movableJobs).(*job)
		if e.jobs[j.ID] != j || j.cancelled || len(j.running) > 0 {
			continue
		}
		popped = append(popped, j)
		ids = append(ids, j.ID)
	}
	for _, j := range popped {
		e.markMovable(j)
	}
	return ids
}
