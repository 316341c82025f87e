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

// User is a user of the system. Scores are weighted by the user's priorities.
type User string

// Users.
const (
	Umhlanga User = "Umhlanga"
	Trust    User = "Trust"
)

// scoreWeights has the weights of throughput, work while a zone is out of service, tail
// latency and evictions, in the order of the parts in Score.
var scoreWeights = map[User][4]float64{
	Umhlanga: {0.4, 0.3, 0.2, 0.1},
	Trust:    {0.2, 0.1, 0.6, 0.1},
}

// lateBudget is the share of late answers that earns the full score for latency.
const lateBudget = 0.01

// Report is the result of replaying a trace with a policy. Work is in processor
// seconds.
type Report struct {
	Trace  string
	User   User
	Policy PolicyName
	// P99 is the p99 of the service over the whole trace divided by its target.
	P99 float64
	// LateShare is the share of late answers, 0 to 1.
	LateShare float64
	Finished  int
	// Work is the work that was done and not lost. It includes unfinished tasks, so
	// that the end of the trace doesn't favour short tasks.
	Work float64
	// Throughput is Work divided by the length of the trace.
	Throughput float64
	// AwayWork is the work done and not lost while a zone was out of service.
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
	// Scores are 0 to 1, with the weights of each user.
	Scores map[User]float64
}

func (r *Report) countDecision(d placement.Decision) {
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

func (r *Report) countEviction(d placement.Decision) {
	if d.Kind == placement.Evict {
		r.Evictions++
	}
}

func (sim *simulation) finishReport() {
	r := sim.report
	// The cube root reverses the power of tailExponent in weightedRatios.
	r.P99 = math.Cbrt(sim.weightedRatios / sim.totalRate)
	r.LateShare = sim.weightedLate / sim.totalRate
	for _, j := range sim.jobs {
		if j.Deadline > 0 && j.Deadline <= sim.Length {
			r.LateJobs++
		}
	}
	r.Throughput = r.Work / time.Duration(sim.Length).Seconds()
}

// Score sets the scores of the reports of one trace. Work and work while a zone is out
// of service are relative to the best policy, late answers to lateBudget, and evicted
// and failed attempts to the finished tasks. If no zone goes out of service, its
// weight is spread over the other parts.
func Score(reports []Report) {
	maxWork, maxAwayWork := 0.0, 0.0
	for _, r := range reports {
		maxWork, maxAwayWork = max(maxWork, r.Work), max(maxAwayWork, r.AwayWork)
	}
	for i := range reports {
		r := &reports[i]
		latency := min(1, lateBudget/max(r.LateShare, 1e-9))
		completion := float64(r.Finished) / float64(max(r.Finished+r.Evictions+r.Failures, 1))
		parts := [4]float64{r.Work / max(maxWork, 1), r.AwayWork / max(maxAwayWork, 1), latency, completion}
		r.Scores = map[User]float64{}
		for user, weights := range scoreWeights {
			r.Scores[user] = weightedScore(parts, weights, maxAwayWork > 0)
		}
	}
}

// weightedScore returns the weighted mean of the parts, without the one for work while
// a zone is out of service if none was.
func weightedScore(parts, weights [4]float64, zoneWentOut bool) float64 {
	sum, total := 0.0, 0.0
	for i := range parts {
		if i == 1 && !zoneWentOut {
			continue
		}
		sum += parts[i] * weights[i]
		total += weights[i]
	}
	return sum / total
}

// Check returns a message for each requirement of the trace that the report misses.
func (o Outcome) Check(r Report) []string {
	var missed []string
	require := func(ok bool, format string, args ...any) {
		if !ok {
			missed = append(missed, fmt.Sprintf(format, args...))
		}
	}
	require(o.MaxLateShare == 0 || r.LateShare <= o.MaxLateShare, "late share %.4f is above %.4f", r.LateShare, o.MaxLateShare)
	require(r.Finished >= o.MinFinished, "%d tasks finished, fewer than %d", r.Finished, o.MinFinished)
	require(r.AwayWork >= o.MinAwayWork, "%.0f processor seconds of work while the zone was out of service, fewer than %.0f", r.AwayWork, o.MinAwayWork)
	require(o.MaxUrgentWait == 0 || r.UrgentWait <= time.Duration(o.MaxUrgentWait), "an urgent task waited %s, longer than %s", r.UrgentWait, time.Duration(o.MaxUrgentWait))
	require(r.Duplicates == 0, "%d tasks finished twice", r.Duplicates)
	require(slices.Equal(o.Parked, r.Parked), "parked %q, not %q", r.Parked, o.Parked)
	require(slices.Equal(o.Refused, r.Refused), "refused %q, not %q", r.Refused, o.Refused)
	var workers []string
	for _, i := range o.Quarantined {
		workers = append(workers, "worker-"+strconv.Itoa(i))
	}
	require(slices.Equal(workers, r.Quarantined), "quarantined %q, not %q", r.Quarantined, workers)
	return missed
}

// Print writes the reports as a table. Away Ks and Lost Ks are AwayWork and LostWork in
// thousands of processor seconds. A minus sign marks a score that another policy beats for
// the same user and trace.
func Print(w io.Writer, reports []Report) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "Trace\tUser\tPolicy\tP99/Target\tLate %\tTasks\tCores\tAway Ks\tLost Ks\tLate Jobs\tEvicted\tFailed\tUrgent s\tUmhlanga\tTrust\t")
	for _, r := range reports {
		fmt.Fprintf(t, "%s\t%s\t%s\t%.2f\t%.2f\t%d\t%.1f\t%.1f\t%.1f\t%d\t%d\t%d\t%.1f\t%s\t%s\t\n",
			r.Trace, r.User, r.Policy, r.P99, 100*r.LateShare, r.Finished, r.Throughput, r.AwayWork/1000, r.LostWork/1000,
			r.LateJobs, r.Evictions, r.Failures, r.UrgentWait.Seconds(), r.formatScore(reports, Umhlanga), r.formatScore(reports, Trust))
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("print reports: %w", err)
	}
	return nil
}

func (r Report) formatScore(reports []Report, user User) string {
	text := strconv.FormatFloat(r.Scores[user], 'f', 3, 64)
	for _, other := range reports {
		if other.Trace == r.Trace && other.Scores[user] > r.Scores[user]+0.0005 {
			return text + "-"
		}
	}
	return text
}
