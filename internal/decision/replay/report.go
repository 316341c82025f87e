package replay

import (
	"fmt"
	"io"
	"math"
	"slices"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/placement"
)

// User is one of the users whose priorities weigh the results.
type User string

// Users.
const (
	Umhlanga User = "Umhlanga"
	Trust    User = "Trust"
)

// weights of throughput, work while a zone is away, tail latency and evictions.
var weights = map[User][4]float64{
	Umhlanga: {0.4, 0.3, 0.2, 0.1},
	Trust:    {0.2, 0.1, 0.6, 0.1},
}

// lateBudget is the share of late answers that earns the full score for latency.
const lateBudget = 0.01

// Report is what came of a trace under a policy. Work is in processor seconds.
type Report struct {
	Trace  string
	User   User
	Policy PolicyName
	// P99 is the p99 of the service over the whole trace against its target.
	P99 float64
	// LateShare is the share of late answers, 0 to 1.
	LateShare float64
	Finished  int
	// Work is what was done and not lost, unfinished tasks included, so that the
	// end of the trace does not favour short tasks.
	Work float64
	// Throughput is Work for each second of the trace.
	Throughput float64
	// AwayWork is the work done and not lost while a zone was away.
	AwayWork float64
	LostWork float64
	LateJobs int
	// Evictions counts tasks that were stopped other than by cancellation.
	Evictions  int
	Failures   int
	Throttles  int
	Duplicates int
	// UrgentWait is the longest time from submission to a start of an urgent task.
	UrgentWait  time.Duration
	Parked      []worker.JobID
	Quarantined []string
	Refused     []worker.JobID
	// Scores are 0 to 1, weighed for each user.
	Scores map[User]float64
}

func (r *Report) count(d placement.Decision) {
	switch d.Kind {
	case placement.Throttle:
		r.Throttles++
	case placement.Park:
		r.Parked = append(r.Parked, d.Job)
	case placement.Quarantine:
		if !slices.Contains(r.Quarantined, string(d.Worker)) {
			r.Quarantined = append(r.Quarantined, string(d.Worker))
		}
	}
}

func (r *Report) evict(d placement.Decision) {
	if d.Kind == placement.Evict {
		r.Evictions++
	}
}

func (l *loop) finish() {
	r := l.report
	r.P99 = math.Cbrt(l.ratios / l.weights)
	r.LateShare = l.lates / l.weights
	for _, j := range l.jobs {
		if j.Deadline > 0 && j.Deadline <= l.Length {
			r.LateJobs++
		}
	}
	r.Throughput = r.Work / time.Duration(l.Length).Seconds()
}

// Score sets the scores of the reports of one trace. Throughput and work while
// away count against the best policy, late answers against the budget, attempts
// that were evicted or failed against the finished tasks. Without a zone leaving
// its weight goes to the rest.
func Score(reports []Report) {
	work, away := 0.0, 0.0
	for _, r := range reports {
		work, away = max(work, r.Work), max(away, r.AwayWork)
	}
	for i := range reports {
		r := &reports[i]
		tail := min(1, lateBudget/max(r.LateShare, 1e-9))
		evictions := float64(r.Finished) / float64(max(r.Finished+r.Evictions+r.Failures, 1))
		parts := [4]float64{r.Work / max(work, 1), r.AwayWork / max(away, 1), tail, evictions}
		r.Scores = map[User]float64{}
		for user, w := range weights {
			r.Scores[user] = weigh(parts, w, away > 0)
		}
	}
}

func weigh(parts, w [4]float64, away bool) float64 {
	sum, total := 0.0, 0.0
	for i := range parts {
		if i == 1 && !away {
			continue
		}
		sum += parts[i] * w[i]
		total += w[i]
	}
	return sum / total
}

// Check returns how a report misses the outcome that its trace demands.
func (o Outcome) Check(r Report) []string {
	var missed []string
	demand := func(ok bool, format string, args ...any) {
		if !ok {
			missed = append(missed, fmt.Sprintf(format, args...))
		}
	}
	demand(o.MaxLateShare == 0 || r.LateShare <= o.MaxLateShare, "late share %.4f is over %.4f", r.LateShare, o.MaxLateShare)
	demand(r.Finished >= o.MinFinished, "%d tasks finished, fewer than %d", r.Finished, o.MinFinished)
	demand(r.AwayWork >= o.MinAwayWork, "%.0f processor seconds while the zone was away, fewer than %.0f", r.AwayWork, o.MinAwayWork)
	demand(o.MaxUrgentWait == 0 || r.UrgentWait <= time.Duration(o.MaxUrgentWait), "urgent work waited %s, over %s", r.UrgentWait, time.Duration(o.MaxUrgentWait))
	demand(r.Duplicates == 0, "%d tasks finished twice", r.Duplicates)
	demand(slices.Equal(o.Parked, r.Parked), "parked %q, not %q", r.Parked, o.Parked)
	demand(slices.Equal(o.Refused, r.Refused), "refused %q, not %q", r.Refused, o.Refused)
	var workers []string
	for _, i := range o.Quarantined {
		workers = append(workers, "worker-"+strconv.Itoa(i))
	}
	demand(slices.Equal(workers, r.Quarantined), "quarantined %q, not %q", r.Quarantined, workers)
	return missed
}

// Print writes the reports as a table. Scores of a policy that another one beats
// for that user and trace are marked with a minus sign.
func Print(w io.Writer, reports []Report) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "Trace\tUser\tPolicy\tP99/Target\tLate %\tTasks\tCores\tAway Ks\tLost Ks\tLate Jobs\tEvicted\tFailed\tUrgent s\tUmhlanga\tTrust\t")
	for _, r := range reports {
		fmt.Fprintf(t, "%s\t%s\t%s\t%.2f\t%.2f\t%d\t%.1f\t%.1f\t%.1f\t%d\t%d\t%d\t%.1f\t%s\t%s\t\n",
			r.Trace, r.User, r.Policy, r.P99, 100*r.LateShare, r.Finished, r.Throughput, r.AwayWork/1000, r.LostWork/1000,
			r.LateJobs, r.Evictions, r.Failures, r.UrgentWait.Seconds(), r.mark(reports, Umhlanga), r.mark(reports, Trust))
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("print: %w", err)
	}
	return nil
}

func (r Report) mark(reports []Report, user User) string {
	text := strconv.FormatFloat(r.Scores[user], 'f', 3, 64)
	for _, other := range reports {
		if other.Trace == r.Trace && other.Scores[user] > r.Scores[user]+0.0005 {
			return text + "-"
		}
	}
	return text
}
