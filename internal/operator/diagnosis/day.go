package diagnosis

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// Outcome is how a job of a day ended for its caller.
type Outcome string

// Outcomes. Times are taken from the acceptance of a job to its end.
const (
	// InTime jobs met their objective.
	InTime Outcome = "InTime"
	// Late jobs took up to worthlessFactor times their objective.
	Late Outcome = "Late"
	// Worthless jobs took longer still.
	Worthless Outcome = "Worthless"
	// GivenUp jobs failed as often as their queue allows.
	GivenUp Outcome = "GivenUp"
	// TurnedAway jobs were refused and never ran.
	TurnedAway Outcome = "TurnedAway"
	// Withdrawn jobs were cancelled by their callers.
	Withdrawn Outcome = "Withdrawn"
	// Open jobs have no end in the log; long-running ones go on until they are cancelled.
	Open Outcome = "Open"
)

// worthlessFactor times the objective is the age at which a job is of no use any more.
const worthlessFactor = 3

// unknownQueue stands for the queue of a job whose acceptance isn't in the log.
const unknownQueue = "unknown"

// CauseTotal adds up a cause over many jobs.
type CauseTotal struct {
	Cause Cause
	// First counts the jobs that lost most time by the cause.
	First int
	// Lost is the time that all jobs lost by it.
	Lost time.Duration
}

// Group adds up jobs that weren't in time: all, those of a queue, or those accepted within
// a span of time.
type Group struct {
	Name     string
	Jobs     int
	Outcomes map[Outcome]int
	// Causes are those of the jobs that weren't in time, the costliest first.
	Causes []CauseTotal
}

// Day tells how the jobs of a log ended, and what made those late that weren't in time.
type Day struct {
	All    Group
	Queues []Group
	Spans  []Group
	// Latest has the jobs that exceeded their objective by most, the worst first.
	Latest []Report
}

// maxLatest bounds the jobs that are told one by one.
const maxLatest = 10

// ExplainDay returns what the lines, in the order of their times, tell of all jobs. Jobs
// are grouped by the span of time in which they were accepted.
func ExplainDay(lines []Line, span time.Duration) Day {
	all, queues, spans := newTotals("all"), map[string]*totals{}, map[time.Time]*totals{}
	var late []Report
	byJob := linesByJob(lines)
	for _, id := range slices.Sorted(maps.Keys(byJob)) {
		own := byJob[id]
		r := Explain(own, id)
		outcome := r.outcome()
		at := own[0].Time.Truncate(span)
		if spans[at] == nil {
			spans[at] = newTotals(at.Format(time.TimeOnly))
		}
		queue := queueOf(own)
		if queues[queue] == nil {
			queues[queue] = newTotals(queue)
		}
		for _, t := range []*totals{all, queues[queue], spans[at]} {
			t.add(outcome, r.Findings)
		}
		if outcome == Late || outcome == Worthless {
			r.Lines = nil
			late = append(late, r)
		}
	}
	slices.SortStableFunc(late, func(a, b Report) int { return cmp.Compare(b.Took-b.Objective, a.Took-a.Objective) })
	d := Day{All: all.group(), Latest: late[:min(len(late), maxLatest)]}
	for _, name := range slices.Sorted(maps.Keys(queues)) {
		d.Queues = append(d.Queues, queues[name].group())
	}
	for _, at := range slices.SortedFunc(maps.Keys(spans), time.Time.Compare) {
		d.Spans = append(d.Spans, spans[at].group())
	}
	return d
}

// linesByJob returns the lines of each job. Lines that aren't about a job, but tell of
// workers or instances, aren't among them.
func linesByJob(lines []Line) map[string][]Line {
	byJob := map[string][]Line{}
	for _, l := range lines {
		if id := l.job(); id != "" {
			byJob[id] = append(byJob[id], l)
		}
	}
	return byJob
}

// job returns the id of the job that the line is about, empty for none.
func (l *Line) job() string {
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

// queueOf returns the queue of a job from its lines.
func queueOf(lines []Line) string {
	for _, l := range lines {
		if l.Event == "JobAdded" {
			return l.Reason
		}
	}
	return unknownQueue
}

// outcome tells how the job ended for its caller.
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

// totals collects a Group.
type totals struct {
	own    Group
	causes map[Cause]*CauseTotal
}

func newTotals(name string) *totals {
	return &totals{Group{Name: name, Outcomes: map[Outcome]int{}}, map[Cause]*CauseTotal{}}
}

// add counts a job. The causes of those that were in time, or that their callers ended,
// cost nobody anything.
func (t *totals) add(outcome Outcome, findings []Finding) {
	t.own.Jobs++
	t.own.Outcomes[outcome]++
	if outcome == InTime || outcome == Withdrawn || outcome == Open {
		return
	}
	for i, f := range findings {
		if t.causes[f.Cause] == nil {
			t.causes[f.Cause] = &CauseTotal{Cause: f.Cause}
		}
		t.causes[f.Cause].Lost += f.Lost
		if i == 0 {
			t.causes[f.Cause].First++
		}
	}
}

func (t *totals) group() Group {
	for _, c := range t.causes {
		t.own.Causes = append(t.own.Causes, *c)
	}
	slices.SortFunc(t.own.Causes, func(a, b CauseTotal) int {
		return cmp.Or(cmp.Compare(b.Lost, a.Lost), cmp.Compare(a.Cause, b.Cause))
	})
	return t.own
}
