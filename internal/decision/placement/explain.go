package placement

import (
	"slices"
	"strings"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
	"github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
)

const (
	// recentDecisions is the number of decisions that are kept for explanations.
	recentDecisions = 1024
	// maxExplained bounds the decisions in one explanation.
	maxExplained = 8
)

// ExplainTask tells what became of a task and why.
func (e *Engine) ExplainTask(now time.Time, id worker.TaskID) (Explanation, bool) {
	jobID, index, ok := splitTask(id)
	j := e.jobs[jobID]
	if !ok || j == nil || int(index) >= j.Tasks {
		return Explanation{}, false
	}
	x := e.explain(now, j)
	x.Task = id
	x.Decisions = e.decisions(func(d *Decision) bool { return d.Task == id })
	x.State, x.Waiting = e.taskState(now, j, index)
	return x, true
}

// ExplainJob tells what became of a job and why.
func (e *Engine) ExplainJob(now time.Time, id worker.JobID) (Explanation, bool) {
	j := e.jobs[id]
	if j == nil {
		return Explanation{}, false
	}
	x := e.explain(now, j)
	x.Decisions = e.decisions(func(d *Decision) bool { return d.Job == id })
	x.State = j.state()
	if j.pending() > 0 && !j.parked && !j.cancelled {
		x.Waiting = e.waiting(now, j)
	}
	return x, true
}

func (e *Engine) explain(now time.Time, j *job) Explanation {
	x := Explanation{
		Job: j.ID, Pending: j.pending(), Running: len(j.running), Done: j.done,
		Queued: now.Sub(j.queuedAt), Failures: slices.Clone(j.evidence.failures),
	}
	for _, h := range e.holds {
		if h.job == j {
			x.Reservation = h.node.ID
		}
	}
	return x
}

func (j *job) state() State {
	switch {
	case j.cancelled:
		return StateCancelling
	case j.parked:
		return StateParked
	case len(j.running) > 0:
		return StateRunning
	}
	return StatePending
}

func (e *Engine) taskState(now time.Time, j *job, index int32) (State, Waiting) {
	if a := j.byIndex[index]; a != nil {
		if a.stopping {
			return StateStopping, ""
		}
		return StateRunning, ""
	}
	if j.cancelled || j.parked {
		return j.state(), ""
	}
	pending := slices.Contains(j.again, index) || slices.ContainsFunc(j.fresh, func(r TaskRange) bool {
		return r.First <= int(index) && int(index) <= r.Last
	})
	if pending {
		return StatePending, e.waiting(now, j)
	}
	return StateDone, ""
}

// waiting tells what keeps the pending tasks of a job from starting.
func (e *Engine) waiting(now time.Time, j *job) Waiting {
	switch {
	case e.evacuating:
		return WaitingForZone
	case len(e.fleet) == 0:
		return WaitingForRestore
	case !e.permit.Starts:
		return WaitingForPermit
	case now.Before(j.notBefore) && j.waiting != WaitingForRoom && j.waiting != WaitingForExclusion:
		return WaitingForBackoff
	case j.waiting == "":
		return WaitingForTurn
	}
	return j.waiting
}

// decisions returns the last decisions that match, oldest first.
func (e *Engine) decisions(match func(*Decision) bool) []Decision {
	var found []Decision
	for i := e.recorded - 1; i >= max(0, e.recorded-recentDecisions) && len(found) < maxExplained; i-- {
		if d := &e.recent[i%recentDecisions]; match(d) {
			found = append(found, *d)
		}
	}
	slices.Reverse(found)
	return found
}

// Summary counts workers, capacity, queue and running tasks.
func (e *Engine) Summary() Summary {
	s := Summary{
		Workers: len(e.fleet), Quarantined: e.quarantined, Capacity: e.capacity,
		QueuedJobs: len(e.jobs) - e.parked, Running: e.running, ParkedJobs: e.parked,
	}
	for _, n := range e.fleet {
		if (n.State == "" || n.State == Available) && !n.health.quarantined() {
			s.Free = s.Free.Add(n.free().Max(resource.Vector{}))
		}
	}
	for _, t := range e.order {
		if t.parent == nil {
			s.QueuedTasks += t.queued
		}
		s.Teams = append(s.Teams, TeamSummary{Team: t.name, Running: t.running, Queued: t.queued, Reserved: t.used, Quota: t.quota})
	}
	slices.SortFunc(s.Teams, func(a, b TeamSummary) int { return strings.Compare(string(a.Team), string(b.Team)) })
	return s
}
