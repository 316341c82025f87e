package load

import (
	"fmt"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/jacinthtrail/jacinthtrail/internal/cmd/operatorflags"
)

// Step is the result of one rate.
type Step struct {
	// Rate is in requests per second.
	Rate float64
	// Due counts the requests of the step, NotSent those that weren't sent because
	// maxInFlight others waited for their answers.
	Due       int
	NotSent   int
	Completed int
	// InTime counts the completed requests whose latency was at most the timeout.
	InTime int
	// Refused counts the requests that were not run, by reason. Failed counts all other
	// outcomes, by reason.
	Refused map[string]int
	Failed  map[string]int
	// InTimeShare is InTime divided by Due, and InTimeRate is InTime per second.
	InTimeShare float64
	InTimeRate  float64
	// P50, P99 and P999 are latencies of the completed requests, measured from the
	// times at which they were due.
	P50, P99, P999  time.Duration
	JobsAccepted    int
	JobsNotAccepted int
	// StartsPerSecond counts starts of batch tasks; it is 0 for targets in other processes.
	StartsPerSecond float64
	// ReadsPerSecond and CommitsPerSecond count accesses of all entry instances to the
	// table service; they are 0 for targets in other processes.
	ReadsPerSecond   float64
	CommitsPerSecond float64
	// ProcessorShare, in cores, and HeapBytes are the usage of the whole process,
	// stand-ins and callers included, divided by the number of entry instances.
	ProcessorShare float64
	HeapBytes      uint64
}

// summarize sets the fields that derive from the counts and the latencies.
func (s *Step) summarize(latency *hdrhistogram.Histogram, duration time.Duration) {
	percentile := func(quantile float64) time.Duration {
		return time.Duration(latency.ValueAtQuantile(quantile)) * time.Microsecond
	}
	s.P50, s.P99, s.P999 = percentile(50), percentile(99), percentile(99.9)
	if s.Due > 0 {
		s.InTimeShare = float64(s.InTime) / float64(s.Due)
	}
	s.InTimeRate = float64(s.InTime) / duration.Seconds()
}

// Outcome is the result of a run. Its fields are the JSON output.
type Outcome struct {
	Targets []string
	// Capacity is how many requests per second the executors can run; 0 if not known.
	Capacity float64
	Steps    []Step
}

func (o Outcome) print(opts *Options) error {
	if opts.JSON {
		return operatorflags.PrintJSON(opts.Factory.IO.Out, o)
	}
	out := opts.Factory.IO.Out
	fmt.Fprintf(out, "%d entry instances, capacity %.0f requests/s, %s for each step\n", len(o.Targets), o.Capacity, opts.Duration)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "rate/s\tin time/s\tin time\tp50\tp99\tp99.9\tstarts/s\treads/s\tcommits/s\tcores/entry\theap/entry\trefused\tfailed\t")
	for _, s := range o.Steps {
		fmt.Fprintf(table, "%.0f\t%.0f\t%.2f%%\t%s\t%s\t%s\t%.0f\t%.1f\t%.1f\t%.3f\t%.1f MB\t%s\t%s\t\n",
			s.Rate, s.InTimeRate, 100*s.InTimeShare, s.P50, s.P99, s.P999, s.StartsPerSecond, s.ReadsPerSecond, s.CommitsPerSecond,
			s.ProcessorShare, float64(s.HeapBytes)/1e6, formatCounts(s.Refused), formatCounts(s.Failed))
	}
	return table.Flush()
}

// formatCounts returns the counts by reason as text, sorted by reason.
func formatCounts(counts map[string]int) string {
	var parts []string
	for reason, count := range counts {
		parts = append(parts, fmt.Sprintf("%s %d", reason, count))
	}
	if len(parts) == 0 {
		return "-"
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}
