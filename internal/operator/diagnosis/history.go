package diagnosis

import (
	"fmt"
	"strings"
	"time"
)

// run is one execution of a task.
type run struct {
	task    string
	worker  string
	number  int64
	started time.Time
	ended   time.Time
	// endReason is Done, Failed, Stopped or the reason of a loss.
	endReason string
	// lost reports whether the run was lost with its worker.
	lost bool
	// stopReason is why the dispatcher stopped the run.
	stopReason string
}

// jobHistory is the history of a job as its log lines record it.
type jobHistory struct {
	refused         *Line
	added           time.Time
	state           string
	took, objective time.Duration
	// slackFactor and targetLatency are those of the queue, or 0 in logs of earlier
	// versions.
	slackFactor   float64
	targetLatency time.Duration
	ended         time.Time
	// runs is sorted by start time.
	runs      []*run
	runsByKey map[runKey]*run
}

// runKey identifies a run.
type runKey struct {
	task   string
	number int64
}

// newJobHistory returns the history in the lines of one job, which must be sorted by time.
// Lines with the same time may be in any order.
func newJobHistory(lines []Line) *jobHistory {
	h := &jobHistory{runsByKey: map[runKey]*run{}}
	for i := range lines {
		h.apply(&lines[i])
	}
	return h
}

func (h *jobHistory) apply(l *Line) {
	switch l.Event {
	case "Refused":
		h.refused = l
	case "JobAdded":
		if h.added.IsZero() {
			h.added = l.Time
		}
		h.objective = fromMilliseconds(l.Objective)
		h.slackFactor, h.targetLatency = l.SlackFactor, fromMilliseconds(l.TargetLatency)
	case "JobCompleted", "JobFailed", "JobCancelled":
		h.state = strings.TrimPrefix(l.Event, "Job")
		h.took, h.ended = fromMilliseconds(l.Took), l.Time
	case "TaskStart":
		if l.Reason == "Accepted" {
			h.startRun(l)
		}
	case "TaskAdopted":
		if h.runsByKey[runKey{l.Task, l.Run}] == nil {
			h.startRun(l)
		}
	case "TaskStopping":
		if r := h.runsByKey[runKey{l.Task, l.Run}]; r != nil {
			r.stopReason = l.Reason
		}
	case "TaskEnded":
		h.endRun(l, false)
	case "TaskLost":
		h.endRun(l, true)
	}
}

func (h *jobHistory) startRun(l *Line) {
	r := &run{task: l.Task, worker: l.Worker, number: l.Run, started: l.Time}
	h.runs = append(h.runs, r)
	h.runsByKey[runKey{l.Task, l.Run}] = r
}

func (h *jobHistory) endRun(l *Line, lost bool) {
	r := h.runsByKey[runKey{l.Task, l.Run}]
	if r == nil || !r.ended.IsZero() {
		return
	}
	r.ended, r.endReason, r.lost = l.Time, l.Reason, lost
}

// findings returns the causes that cost at least minReportedLoss. A late job has at least
// one finding.
func (h *jobHistory) findings(lines []Line) []Finding {
	var list []Finding
	add := func(f Finding) {
		if f.Lost >= minReportedLoss {
			list = append(list, f)
		}
	}
	add(h.waitFinding())
	add(h.workerLossFinding(lines))
	add(h.wastedRunsFinding(FailedRuns, func(r *run) string {
		if r.endReason == "Failed" {
			return "failed on " + r.worker
		}
		return ""
	}))
	add(h.wastedRunsFinding(Evicted, func(r *run) string {
		if r.stopReason != "" && r.endReason == "Stopped" && r.stopReason != "job ended" {
			return "stopped on " + r.worker + ": " + r.stopReason
		}
		return ""
	}))
	if h.took > h.objective && h.objective > 0 {
		add(h.longestRunFinding())
		if len(list) == 0 {
			list = append(list, h.longestRunFinding())
		}
	}
	return list
}

// waitFinding adds up the time since the acceptance of the job in which no task of it ran.
func (h *jobHistory) waitFinding() Finding {
	f := Finding{Cause: WaitedForRoom}
	busyUntil, longestBefore := h.added, ""
	longest := time.Duration(0)
	for _, r := range h.runs {
		if gap := r.started.Sub(busyUntil); !busyUntil.IsZero() && gap > 0 {
			f.Lost += gap
			if gap > longest {
				longest, longestBefore = gap, r.task
			}
		}
		end := r.ended
		if end.IsZero() {
			end = h.ended
		}
		if end.After(busyUntil) {
			busyUntil = end
		}
	}
	if len(h.runs) == 0 && !h.added.IsZero() && h.ended.After(h.added) {
		f.Lost, longestBefore = h.ended.Sub(h.added), "its first task"
	}
	f.Facts = fmt.Sprintf("no task of the job ran for this time; the longest wait was before %s", longestBefore)
	return f
}

// workerLossFinding returns the run that lost most time with its worker, from its start to
// the next start of its task.
func (h *jobHistory) workerLossFinding(lines []Line) Finding {
	f := Finding{Cause: WorkerLost}
	for i, r := range h.runs {
		if !r.lost {
			continue
		}
		lost := h.nextStart(i).Sub(r.started)
		if lost <= f.Lost {
			continue
		}
		f.Lost = lost
		f.Facts = fmt.Sprintf("%s run %d on %s: %s", r.task, r.number, r.worker, r.endReason)
		if silent := lastBefore(lines, r.ended, func(l *Line) bool {
			return l.Worker == r.worker && (l.Event == "WorkerSilent" || l.Event == "WorkerRestarted")
		}); silent != nil {
			f.Facts += fmt.Sprintf("; %s at %s", silent.Event, silent.Time.Format("15:04:05.000"))
		}
	}
	return f
}

// wastedRunsFinding returns the task that lost most time through wasted runs. wasteReason
// returns why a run was wasted, or an empty string if it was not.
func (h *jobHistory) wastedRunsFinding(cause Cause, wasteReason func(*run) string) Finding {
	f := Finding{Cause: cause}
	lostByTask := map[string]time.Duration{}
	counts := map[string]int{}
	for i, r := range h.runs {
		reason := wasteReason(r)
		if reason == "" {
			continue
		}
		lostByTask[r.task] += h.nextStart(i).Sub(r.started)
		counts[r.task]++
		if lostByTask[r.task] > f.Lost {
			f.Lost = lostByTask[r.task]
			f.Facts = fmt.Sprintf("%s, %d times, last %s", r.task, counts[r.task], reason)
		}
	}
	return f
}

// nextStart returns when the task of run i started again. If it did not, it returns the
// end of the job, or that of the run if the job has no end.
func (h *jobHistory) nextStart(i int) time.Time {
	for _, r := range h.runs[i+1:] {
		if r.task == h.runs[i].task {
			return r.started
		}
	}
	if h.ended.IsZero() {
		return h.runs[i].ended
	}
	return h.ended
}

// longestRunFinding returns the successful run that took longest.
func (h *jobHistory) longestRunFinding() Finding {
	f := Finding{Cause: LongTasks}
	for _, r := range h.runs {
		if took := r.ended.Sub(r.started); r.endReason == "Done" && took > f.Lost {
			f.Lost = took
			f.Facts = fmt.Sprintf("%s took longest, on %s", r.task, r.worker)
		}
	}
	// Only the time beyond the objective counts as lost.
	f.Lost = min(f.Lost, h.took-h.objective)
	return f
}
