package placement

import (
	"container/heap"
	"sort"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
)

// Evacuate checkpoints and stops every task while on is set, the most urgent
// deadline first. Nothing starts meanwhile.
func (e *Engine) Evacuate(now time.Time, on bool) {
	if e.evacuating == on {
		return
	}
	e.evacuating = on
	for _, j := range e.movable {
		j.movable = false
	}
	e.movable = nil
	if !on {
		return
	}
	for len(e.holds) > 0 {
		e.release(now, e.holds[len(e.holds)-1])
	}
	all := make([]*attempt, 0, e.running)
	for _, n := range e.fleet {
		for _, a := range n.attempts {
			if a.job != nil {
				all = append(all, a)
			}
		}
	}
	sort.SliceStable(all, func(x, y int) bool { return all[x].job.sooner(all[y].job) })
	e.stops = append(e.stops, all...)
	for _, j := range e.jobs {
		e.offerMove(j)
	}
}

// sooner orders jobs by the latest possible start; those without a deadline come last.
func (j *job) sooner(other *job) bool {
	if j.latest.Equal(other.latest) {
		return j.ID < other.ID
	}
	if j.latest.IsZero() || other.latest.IsZero() {
		return other.latest.IsZero()
	}
	return j.latest.Before(other.latest)
}

type movableHeap []*job

func (h movableHeap) Len() int           { return len(h) }
func (h movableHeap) Less(a, b int) bool { return h[a].sooner(h[b]) }
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
	j.movable = false
	return j
}

// offerMove lists a job for Movable when nothing of it runs any more.
func (e *Engine) offerMove(j *job) {
	if e.evacuating && len(j.running) == 0 && !j.movable && !j.cancelled && !j.parked {
		j.movable = true
		heap.Push(&e.movable, j)
	}
}

// Movable returns up to limit jobs without running attempts while the shard is
// evacuated, the latest possible start first. CancelJob forgets one that has moved.
func (e *Engine) Movable(limit int) []worker.JobID {
	var taken []*job
	var ids []worker.JobID
	for len(e.movable) > 0 && len(ids) < limit {
		j := heap.Pop(&e.movable).(*job)
		if e.jobs[j.ID] != j || j.cancelled || len(j.running) > 0 {
			continue
		}
		taken = append(taken, j)
		ids = append(ids, j.ID)
	}
	for _, j := range taken {
		e.offerMove(j)
	}
	return ids
}
