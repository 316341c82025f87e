package diagnosis

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// Outcome is how a job ended for its caller.
type Outcome string

// Outcomes. The time that a job takes is from its acceptance to its end.
const (
	// InTime means that the job met its objective.
	InTime Outcome = "InTime"
	// Late means that the job took up to worthlessFactor times its objective.
	Late Outcome = "Late"
	// Worthless means that the job took more than worthlessFactor times its objective.
	Worthless Outcome = "Worthless"
	// GivenUp means that the job failed as often as its queue allows.
	GivenUp Outcome = "GivenUp"
	// TurnedAway means that the job was refused and never ran.
	TurnedAway Outcome = "TurnedAway"
	// Withdrawn means that the caller cancelled the job.
	Withdrawn Outcome = "Withdrawn"
	// Open means that the log has no end of the job. Long-running jobs run until they are
	// cancelled.
	Open Outcome = "Open"
)

// worthlessFactor is the multiple of its objective beyond which a job is of no use to its
// caller.
const worthlessFactor = 3

// unknownQueue is the queue name of jobs whose acceptance isn't in the log.
const unknownQueue = "unknown"

// CauseTotal is the total effect of a cause on several jobs.
type CauseTotal struct {
	Cause Cause
	// First is the number of jobs that lost most of their time to this cause.
	First int
	// Lost is the time that all jobs together lost to it.
	Lost time.Duration
}

// Group summarizes a group of jobs: all, those of a queue, or those that were accepted
// within a span of time.
type Group struct {
	Name     string
	Jobs     int
	Outcomes map[Outcome]int
	// Causes holds the causes that made jobs miss their objectives, in descending order
	// of the time lost.
	Causes []CauseTotal
}

// Summary summarizes how the jobs in a log ended, and why some missed their objectives.
type Summary struct {
	All    Group
	Queues []Group
	Spans  []Group
	// OverTarget is the time for which serving tasks were over their targets, and Down the
	// time for which long-running tasks weren't at work, added up over the tasks, by reason
	// in descending order of the time lost.
	OverTarget, Down []ReasonTotal
	// Latest holds the jobs that exceeded their objectives by most, in descending order.
	Latest []Report
}

// ReasonTotal is the time that long-running tasks lost for a reason.
type ReasonTotal struct {
	Reason string
	// Periods is the number of periods, and Lost their total duration.
	Periods int
	Lost    time.Duration
}

// maxLatestJobs is the maximum length of Summary.Latest.
const maxLatestJobs = 10

// Summarize summarizes all jobs in log lines, which must be sorted by time.
// Summary.Spans groups the jobs by the span of time in which they were accepted.
func Summarize(lines []Line, span time.Duration) Summary {
	all, queues, spans := newGroupBuilder("all"), map[string]*groupBuilder{}, map[time.Time]*groupBuilder{}
	var late []Report
	byJob := linesByJob(lines)
	for _, id := range slices.Sorted(maps.Keys(byJob)) {
		jobLines := byJob[id]
		r := Explain(jobLines, id)
		outcome := r.outcome()
		at := jobLines[0].Time.Truncate(span)
		if spans[at] == nil {
			spans[at] = newGroupBuilder(at.Format(time.TimeOnly))
		}
		queue := queueOf(jobLines)
		if queues[queue] == nil {
			queues[queue] = newGroupBuilder(queue)
		}
		for _, builder := range []*groupBuilder{all, queues[queue], spans[at]} {
			builder.add(outcome, r.Findings)
		}
		if outcome == Late || outcome == Worthless {
			r.Lines = nil
			late = append(late, r)
		}
	}
	slices.SortStableFunc(late, func(a, b Report) int { return cmp.Compare(b.Took-b.Objective, a.Took-a.Objective) })
	summary := Summary{
		All: all.build(), Latest: late[:min(len(late), maxLatestJobs)],
		OverTarget: totalByReason(lines, "ServingOverTarget"), Down: totalByReason(lines, "TaskDown"),
	}
	for _, name := range slices.Sorted(maps.Keys(queues)) {
		summary.Queues = append(summary.Queues, queues[name].build())
	}
	for _, at := range slices.SortedFunc(maps.Keys(spans), time.Time.Compare) {
		summary.Spans = append(summary.Spans, spans[at].build())
	}
	return summary
}

// totalByReason adds up the durations in the lines of an event by their reasons.
func totalByReason(lines []Line, event string) []ReasonTotal {
	totals := map[string]*ReasonTotal{}
	for _, l := range lines {
		if l.Event != event {
			continue
		}
		if totals[l.Reason] == nil {
			totals[l.Reason] = &ReasonTotal{Reason: l.Reason}
		}
		totals[l.Reason].Periods++
		totals[l.Reason].Lost += fromMilliseconds(l.Took)
	}
	list := make([]ReasonTotal, 0, len(totals))
	for _, t := range totals {
		list = append(list, *t)
	}
	slices.SortFunc(list, func(a, b ReasonTotal) int {
		return cmp.Or(cmp.Compare(b.Lost, a.Lost), cmp.Compare(a.Reason, b.Reason))
	})
	return list
}

// linesByJob groups lines by job. It omits the lines that are only about a worker or an
// instance.
func linesByJob(lines []Line) map[string][]Line {
	byJob := map[string][]Line{}
	for _, l := range lines {
		if id := l.jobID(); id != "" {
			byJob[id] = append(byJob[id], l)
		}
	}
	return byJob
}

// jobID returns the id of the job that the line is about, or an empty string if there is
// none.
func (l *Line) jobID() string {
	if l.Job != "" {
		return l.Job
	}
	if job, _, found := strings.Cut(l.Task, "/"); found {
		return job
	}
	if l.Event == "Refused" {
		return l.Path[strings.LastIndex(l.Path, "/")+1:]
	}
	return ""
}

// queueOf returns the queue of a job. The line about the job's acceptance has the queue as
// its Reason.
func queueOf(lines []Line) string {
	for _, l := range lines {
		if l.Event == "JobAdded" {
			return l.Reason
		}
	}
	return unknownQueue
}

// outcome returns how the job ended for its caller.
func (r *Report) outcome() Outcome {
	switch r.State {
	case string(Refused):
		return TurnedAway
	case "Cancelled":
		return Withdrawn
	case "Failed":
		return GivenUp
	case "Completed":
	default:
		return Open
	}
	switch {
	case r.Objective == 0 || r.Took <= r.Objective:
		return InTime
	case r.Took <= worthlessFactor*r.Objective:
		return Late
	}
	return Worthless
}

// groupBuilder accumulates a Group.
type groupBuilder struct {
	group  Group
	causes map[Cause]*CauseTotal
}

func newGroupBuilder(name string) *groupBuilder {
	return &groupBuilder{Group{Name: name, Outcomes: map[Outcome]int{}}, map[Cause]*CauseTotal{}}
}

// add adds a job. The findings of jobs that were in time, were cancelled by their callers
// or have no end are ignored, because those jobs missed no objective.
func (g *groupBuilder) add(outcome Outcome, findings []Finding) {
	g.group.Jobs++
	g.group.Outcomes[outcome]++
	if outcome == InTime || outcome == Withdrawn || outcome == Open {
		return
	}
	for i, f := range findings {
		if g.causes[f.Cause] == nil {
			g.causes[f.Cause] = &CauseTotal{Cause: f.Cause}
		}
		g.causes[f.Cause].Lost += f.Lost
		if i == 0 {
			g.causes[f.Cause].First++
		}
	}
}

// build returns the group with its causes sorted.
func (g *groupBuilder) build() Group {
	for _, c := range g.causes {
		g.group.Causes = append(g.group.Causes, *c)
	}
	slices.SortFunc(g.group.Causes, func(a, b CauseTotal) int {
		return cmp.Or(cmp.Compare(b.Lost, a.Lost), cmp.Compare(a.Cause, b.Cause))
	})
	return g.group
}
