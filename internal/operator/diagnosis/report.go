package diagnosis

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Cause is why a job was late, refused or run anew.
type Cause string

// Causes, and what they mean.
const (
	// Refused jobs were turned away and never ran.
	Refused Cause = "Refused"
	// WaitedForRoom is time in which tasks could have run and found no worker.
	WaitedForRoom Cause = "WaitedForRoom"
	// WorkerLost is time that runs lost with their workers.
	WorkerLost Cause = "WorkerLost"
	// FailedRuns is time that runs took that failed.
	FailedRuns Cause = "FailedRuns"
	// Evicted is time that runs took that were stopped to run elsewhere.
	Evicted Cause = "Evicted"
	// LongTasks is what is left: the tasks themselves took longer than the objective.
	LongTasks Cause = "LongTasks"
	// CancelledByClient jobs were stopped by their client.
	CancelledByClient Cause = "CancelledByClient"
	// NotFinished jobs have no end in the log.
	NotFinished Cause = "NotFinished"
	// NotLogged jobs have no line in the log.
	NotLogged Cause = "NotLogged"
)

// Finding is a cause with the time that it took and the facts that show it.
type Finding struct {
	Cause Cause
	Lost  time.Duration
	Facts string
}

// Report tells what became of a job.
type Report struct {
	Job string
	// State is the last state that the log tells, such as Completed.
	State string
	// Took is the age of the job at its end, and Objective what it should be at most.
	Took, Objective time.Duration
	// Findings has the causes, the one that took most time first.
	Findings []Finding
	Lines    []Line
}

// noticeable is the shortest time that counts as lost.
const noticeable = 100 * time.Millisecond

// Explain returns what the lines, in the order of their times, tell of a job.
func Explain(lines []Line, job string) Report {
	r := Report{Job: job}
	for _, l := range lines {
		if l.concerns(job) {
			r.Lines = append(r.Lines, l)
		}
	}
	if len(r.Lines) == 0 {
		r.Findings = []Finding{{Cause: NotLogged, Facts: "no line has the id; ask whether lines were left out"}}
		return r
	}
	s := storyOf(r.Lines)
	r.State, r.Took, r.Objective = s.state, s.took, s.objective
	switch {
	case s.refused != nil && s.added.IsZero():
		r.State = string(Refused)
		r.Findings = []Finding{refusal(lines, s.refused)}
		return r
	case s.state == "Cancelled":
		r.Findings = append(r.Findings, Finding{Cause: CancelledByClient, Facts: "a cancellation is stored"})
	case s.state == "":
		r.Findings = append(r.Findings, Finding{Cause: NotFinished, Facts: "the log has no end of the job"})
	}
	r.Findings = append(r.Findings, s.findings(lines)...)
	slices.SortStableFunc(r.Findings, func(a, b Finding) int { return cmp.Compare(b.Lost, a.Lost) })
	return r
}

// refusal explains why a job was turned away.
func refusal(lines []Line, refused *Line) Finding {
	facts := fmt.Sprintf("%s refused it: %s, come back after %v", refused.Instance, refused.Reason, milliseconds(refused.RetryAfter))
	if l := lastBefore(lines, refused.Time, func(l *Line) bool {
		return l.Instance == refused.Instance && strings.HasPrefix(l.Message, "store ")
	}); l != nil {
		facts += fmt.Sprintf("; that instance told %q at %s", l.Message, l.Time.Format("15:04:05.000"))
	}
	return Finding{Cause: Refused, Facts: facts}
}

// lastBefore returns the last line up to a time that matches, nil for none.
func lastBefore(lines []Line, at time.Time, matches func(*Line) bool) *Line {
	for i := len(lines) - 1; i >= 0; i-- {
		if !lines[i].Time.After(at) && matches(&lines[i]) {
			return &lines[i]
		}
	}
	return nil
}

func milliseconds(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond)).Round(time.Millisecond)
}
