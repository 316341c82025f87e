package placement

import (
	"slices"
	"strings"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
	"github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
)

const (
	// decisionLogSize is the number of decisions kept for explanations.
	decisionLogSize = 1024
	// maxExplainedDecisions limits the decisions in one explanation.
	maxExplainedDecisions = 8
)

// ExplainTask returns the state of a task and the decisions that led to it.
func (e *Engine) ExplainTask(now time.Time, id worker.TaskID) (Explanation, bool) {
	jobID, index, ok := parseTaskID(id)
	j := e.jobs[jobID]
	if !ok || j == nil || int(index) >= j.Tasks {
		return Explanation{}, false
	}
	explanation := e.explain(now, j)
	explanation.Task = id
	explanation.Decisions = e.loggedDecisions(func(d *Decision) bool { return d.Task == id })
	explanation.State, explanation.Waiting = e.taskState(now, j, index)
	return explanation, true
}

// ExplainJob returns the state of a job and the decisions that led to it.
func (e *Engine) ExplainJob(now time.Time, id worker.JobID) (Explanation, bool) {
	j := e.jobs[id]
	if j == nil {
		return Explanation{}, false
	}
	explanation := e.explain(now, j)
	explanation.Decisions = e.loggedDecisions(func(d *Decision) bool { return d.Job == id })
	explanation.State = j.state()
	if j.pending() > 0 && !j.parked && !j.cancelled {
		explanation.Waiting = e.waitReason(now, j)
	}
	return explanation, true
}

// explain fills in the fields that the explanations of jobs and tasks have in common.
func (e *Engine) explain(now time.Time, j *job) Explanation {
	explanation := Explanation{
		Job: j.ID, Pending: j.pending(), Running: len(j.running), Done: j.done,
		QueuedFor: now.Sub(j.queuedAt), Failures: slices.Clone(j.failureHistory.recent),
	}
	for _, r := range e.reservations {
		if r.job == j {
			explanation.Reservation = r.node.ID
		}
	}
	return explanation
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

func (e *Engine) taskState(now time.Time, j *job, index int32) (State, WaitReason) {
	if a := j.attemptByTask[index]; a != nil {
		if a.stopping {
			return StateStopping, ""
		}
		return StateRunning, ""
	}
	if j.cancelled || j.parked {
		return j.state(), ""
	}
	pending := slices.Contains(j.requeued, index) || slices.ContainsFunc(j.unstarted, func(r TaskRange) bool {
		return r.First <= int(index) && int(index) <= r.Last
	})
	if pending {
		return StatePending, e.waitReason(now, j)
	}
	return StateDone, ""
}

// waitReason returns what keeps the pending tasks of a job from starting.
func (e *Engine) waitReason(now time.Time, j *job) WaitReason {
	switch {
	case e.evacuating:
		return WaitingForZone
	case len(e.nodes) == 0:
		return WaitingForRestore
	case !e.startPermit.Allowed:
		return WaitingForPermit
	case now.Before(j.notBefore) && j.waitReason != WaitingForRoom && j.waitReason != WaitingForOtherWorkers:
		return WaitingForBackoff
	case j.waitReason == "":
		return WaitingForTurn
	}
	return j.waitReason
}

// loggedDecisions returns the latest decisions in the log that match, oldest first.
func (e *Engine) loggedDecisions(match func(*Decision) bool) []Decision {
	var found []Decision
	for i := e.decisionCount - 1; i >= max(0, e.decisionCount-decisionLogSize) && len(found) < maxExplainedDecisions; i-- {
		if d := &e.decisionLog[i%decisionLogSize]; match(d) {
			found = append(found, *d)
		}
	}
	slices.Reverse(found)
	return found
}

// Summary returns counts of workers, queued jobs and running tasks, and the capacity.
func (e *Engine) Summary() Summary {
	s := Summary{
		Workers: len(e.nodes), Quarantined: e.quarantinedCount, Capacity: e.totalAllocatable,
		QueuedJobs: len(e.jobs) - e.parkedCount, Running: e.runningCount, ParkedJobs: e.parkedCount,
	}
	for _, n := range e.nodes {
		if (n.State == "" || n.State == WorkerAvailable) && !n.health.quarantined() {
			s.Free = s.Free.Add(n.free().Max(resource.Vector{}))
		}
	}
	for _, t := range e.teamList {
		if t.parent == nil {
			s.QueuedTasks += t.queued
		}
		s.Teams = append(s.Teams, TeamSummary{Team: t.name, Running: t.running, Queued: t.queued, Allocated: t.used, Quota: t.quota})
	}
	slices.SortFunc(s.Teams, func(a, b TeamSummary) int { return strings.Compare(string(a.Team), string(b.Team)) })
	return s
}
