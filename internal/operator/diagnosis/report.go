package diagnosis

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Cause is a reason why a job was late, refused or run again.
type Cause string

// Causes.
const (
	// Refused means that the job was refused and never ran.
	Refused Cause = "Refused"
	// WaitedForRoom is the time in which tasks were ready to run but no worker had capacity.
	WaitedForRoom Cause = "WaitedForRoom"
	// WorkerLost is the time spent on runs that were lost with their workers.
	WorkerLost Cause = "WorkerLost"
	// FailedRuns is the time spent on runs that failed.
	FailedRuns Cause = "FailedRuns"
	// Evicted is the time spent on runs that were stopped to run again elsewhere.
	Evicted Cause = "Evicted"
	// LongTasks is the time beyond the objective that the tasks themselves took.
	LongTasks Cause = "LongTasks"
	// CancelledByClient means that the client account cancelled the job.
	CancelledByClient Cause = "CancelledByClient"
	// NotFinished means that the log has no end of the job.
	NotFinished Cause = "NotFinished"
	// NotLogged means that the log has no line about the job.
	NotLogged Cause = "NotLogged"
)

// Finding is a cause, the time that it cost and the facts that show it.
type Finding struct {
	Cause Cause
	Lost  time.Duration
	Facts string
}

// Report describes how a job ended and what delayed it.
type Report struct {
	Job string
	// State is the last state of the job in the log, such as Completed.
	State string
	// Took is the time from the acceptance of the job to its end. Objective is the maximum
	// that it should take, given how long its tasks took.
	Took, Objective time.Duration
	// Findings holds the causes in descending order of the time lost.
	Findings []Finding
	Lines    []Line
}

// minReportedLoss is the shortest loss of time that is reported as a finding.
const minReportedLoss = 100 * time.Millisecond

// Explain reports on a job from log lines, which must be sorted by time.
func Explain(lines []Line, job string) Report {
	r := Report{Job: job}
	for _, l := range lines {
		if l.isAboutJob(job) {
			r.Lines = append(r.Lines, l)
		}
	}
	if len(r.Lines) == 0 {
		r.Findings = []Finding{{Cause: NotLogged, Facts: "no log line has the id of the job; check whether log lines were omitted"}}
		return r
	}
	h := newJobHistory(r.Lines)
	h.objective = h.objectiveOfWork()
	r.State, r.Took, r.Objective = h.state, h.took, h.objective
	switch {
	case h.refused != nil && h.added.IsZero():
		r.State = string(Refused)
		r.Findings = []Finding{refusalFinding(lines, h.refused)}
		return r
	case h.state == "Cancelled":
		r.Findings = append(r.Findings, Finding{Cause: CancelledByClient, Facts: "the job was cancelled"})
	case h.state == "":
		r.Findings = append(r.Findings, Finding{Cause: NotFinished, Facts: "the log has no end event of the job"})
	}
	r.Findings = append(r.Findings, h.findings(lines)...)
	slices.SortStableFunc(r.Findings, func(a, b Finding) int { return cmp.Compare(b.Lost, a.Lost) })
	return r
}

// refusalFinding returns why a job was refused, with the last log line about the store of
// the instance that refused it.
func refusalFinding(lines []Line, refused *Line) Finding {
	facts := fmt.Sprintf("%s refused it: %s, retry after %v", refused.Instance, refused.Reason, fromMilliseconds(refused.RetryAfter))
	if l := lastBefore(lines, refused.Time, func(l *Line) bool {
		return l.Instance == refused.Instance && strings.HasPrefix(l.Message, "store ")
	}); l != nil {
		facts += fmt.Sprintf("; that instance logged %q at %s", l.Message, l.Time.Format("15:04:05.000"))
	}
	return Finding{Cause: Refused, Facts: facts}
}

// lastBefore returns the last matching line that is not after a time, or nil if there is
// none.
func lastBefore(lines []Line, at time.Time, matches func(*Line) bool) *Line {
	for i := len(lines) - 1; i >= 0; i-- {
		if !lines[i].Time.After(at) && matches(&lines[i]) {
			return &lines[i]
		}
	}
	return nil
}

func fromMilliseconds(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond)).Round(time.Millisecond)
}
