// Package demo has the command that runs a small deployment on loopback and
// checks its results.
package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
	"github.com/jacinthtrail/jacinthtrail/internal/cmd/factory"
	"github.com/jacinthtrail/jacinthtrail/internal/cmd/operatorflags"
	"github.com/jacinthtrail/jacinthtrail/internal/cmd/settings"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/manifest"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/zone"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
	"github.com/jacinthtrail/jacinthtrail/internal/standin/deployment"
)

// Options are the settings of the command.
type Options struct {
	Factory  *factory.Factory
	Requests int
	Jobs     int
	JSON     bool
	Verbose  bool
	Timeout  time.Duration
}

// Outcome is the result of the demo. Its fields are the JSON output.
type Outcome struct {
	Requests Requests
	Jobs     Jobs
	// Violations lists the broken guarantees that the journals of workers and executors
	// show.
	Violations []string
	Took       time.Duration
	Counters   map[string]int64
}

// NewCmd returns the command. Tests replace its run function with runF.
func NewCmd(f *factory.Factory, runF func(context.Context, *Options) error) *cobra.Command {
	opts := &Options{Factory: f}
	if runF == nil {
		runF = run
	}
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Run a small deployment on loopback and check its results",
		Long: "Run three availability zones with entry instances, workers, executors and a stand-in platform in one " +
			"process on loopback addresses. The demo sends requests and batch jobs, takes an availability zone out of " +
			"service and brings it back, and succeeds only if every answer was complete and every job finished exactly once.",
		Example: "  $ jacinthtrail demo\n  $ jacinthtrail demo --requests 1000 --json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := settings.Apply(cmd, f.LookupEnv); err != nil {
				return err
			}
			if err := opts.check(); err != nil {
				return err
			}
			return runF(cmd.Context(), opts)
		},
	}
	cmd.Flags().IntVar(&opts.Requests, "requests", 400, "`number` of service requests")
	cmd.Flags().IntVar(&opts.Jobs, "jobs", 6, "`number` of batch jobs")
	cmd.Flags().BoolVar(&opts.JSON, "json", false, "print the outcome as JSON")
	cmd.Flags().BoolVar(&opts.Verbose, "verbose", false, "print the log lines of the entry instances")
	cmd.Flags().DurationVar(&opts.Timeout, "timeout", 2*time.Minute, "longest run time of the demo")
	return cmd
}

func (o *Options) check() error {
	var findings settings.Findings
	if o.Requests < 0 || o.Requests > maxRequests {
		findings.Add("requests", fmt.Sprintf("%d is out of range", o.Requests), fmt.Sprintf("give 0 to %d", maxRequests))
	}
	if o.Jobs < 0 || o.Jobs > maxJobs {
		findings.Add("jobs", fmt.Sprintf("%d is out of range", o.Jobs), fmt.Sprintf("give 0 to %d", maxJobs))
	}
	if o.Timeout <= 0 {
		findings.Add("timeout", fmt.Sprintf("%s is not positive", o.Timeout), "give a duration such as 2m")
	}
	return findings.Err()
}

// Limits of the demo.
const (
	maxRequests = 100_000
	maxJobs     = 1000
	tasksPerJob = 5
)

// zoneOut is the availability zone that the demo takes out of service.
const zoneOut membership.Zone = "kzn-bal"

// Manifest returns the manifest of the demo.
func Manifest() manifest.Manifest {
	return manifest.Defaults(manifest.Manifest{
		Zones: []manifest.Zone{
			{Name: "kzn-dbn", Region: "kzn"},
			{Name: zoneOut, Region: "kzn"},
			{Name: "wcape-fh", Region: "wcape"},
		},
		Services: []manifest.Service{{
			Name: "chairdesk", Target: manifest.Duration(250 * time.Millisecond), MaxDuration: manifest.Duration(5 * time.Second),
			RetryShare: 200, HedgePercentile: 99, ErrorBudget: 10,
		}},
		Classes: []manifest.Class{{
			Name: "rota-build", Team: "clerks", Resources: resource.Vector{Processors: 2000, Memory: 2e9},
			ExpectedDuration: manifest.Duration(2 * time.Second), Checkpointable: true,
		}},
		Teams: []manifest.Team{{
			Name: "clerks", Quota: resource.Vector{Processors: 1e6, Memory: 1e13},
			UrgentQuota: resource.Vector{Processors: 1e6, Memory: 1e13}, Weight: 1,
		}},
		Limits: manifest.Limits{ShardsPerZone: 1, ReturnRamp: manifest.Duration(2 * time.Second)},
	})
}

func deploymentSize() deployment.Size {
	return deployment.Size{
		Entries: 2, Workers: 2, Executors: 2,
		Worker: membership.Instance{Capacity: resource.Vector{Processors: 16000, Memory: 60e9}},
		Executor: membership.Instance{
			Service: "chairdesk", Slots: 8, Connections: 64,
			Capacity: resource.Vector{Processors: 4000, Memory: 8e9},
		},
	}
}

func run(ctx context.Context, opts *Options) error {
	ctx, cancel := context.WithTimeout(ctx, opts.Timeout)
	defer cancel()
	log := zerolog.Nop()
	if opts.Verbose {
		log = zerolog.New(opts.Factory.IO.ErrOut).With().Timestamp().Logger()
	}
	started := opts.Factory.Clock.Now()
	d, err := deployment.Start(ctx, Manifest(), deploymentSize(), opts.Factory.Clock, log)
	if err != nil {
		return err
	}
	outcome, err := runScenario(ctx, d, opts)
	if err != nil {
		printCounters(opts.Factory.IO.ErrOut, d.Counters())
		return errors.Join(err, d.Close())
	}
	outcome.Violations = violations(d)
	outcome.Counters = d.Counters()
	outcome.Took = opts.Factory.Clock.Since(started)
	if err := d.Close(); err != nil {
		return err
	}
	if err := outcome.print(opts); err != nil {
		return err
	}
	return outcome.failure()
}

// runScenario sends requests and jobs, takes an availability zone out of service while
// they run, and brings it back.
func runScenario(ctx context.Context, d *deployment.Deployment, opts *Options) (Outcome, error) {
	var outcome Outcome
	c := newCallers(d, opts.Factory.Clock)
	if err := c.submitJobs(ctx, opts.Jobs); err != nil {
		return outcome, err
	}
	if err := c.awaitStarted(ctx, opts.Jobs); err != nil {
		return outcome, err
	}
	beforeChange := opts.Requests / 2
	outcome.Requests = c.sendRequests(ctx, beforeChange)
	if _, err := d.Operator().SetZone(ctx, zoneOut, zone.OutOfService, "demo"); err != nil {
		return outcome, fmt.Errorf("take %s out of service: %w", zoneOut, err)
	}
	outcome.Requests.add(c.sendRequests(ctx, opts.Requests-beforeChange))
	if err := c.awaitMoved(ctx, opts.Jobs); err != nil {
		return outcome, err
	}
	if _, err := d.Operator().SetZone(ctx, zoneOut, zone.InService, "demo"); err != nil {
		return outcome, fmt.Errorf("bring %s back into service: %w", zoneOut, err)
	}
	var err error
	outcome.Jobs, err = c.awaitJobs(ctx, opts.Jobs)
	return outcome, err
}

// failure returns an error for each result that isn't as expected, or nil.
func (o Outcome) failure() error {
	var errs []error
	if o.Requests.Completed != o.Requests.Sent {
		errs = append(errs, fmt.Errorf("%d of %d requests got no complete answer", o.Requests.Sent-o.Requests.Completed, o.Requests.Sent))
	}
	if o.Jobs.Succeeded != o.Jobs.Submitted || o.Jobs.Results != o.Jobs.Tasks {
		errs = append(errs, fmt.Errorf("%d of %d jobs succeeded, with %d results for %d tasks",
			o.Jobs.Succeeded, o.Jobs.Submitted, o.Jobs.Results, o.Jobs.Tasks))
	}
	if len(o.Violations) > 0 {
		errs = append(errs, fmt.Errorf("the journals show %d violations", len(o.Violations)))
	}
	return errors.Join(errs...)
}

func (o Outcome) print(opts *Options) error {
	out := opts.Factory.IO.Out
	if opts.JSON {
		return operatorflags.PrintJSON(out, o)
	}
	fmt.Fprintf(out, "requests: %d sent, %d answered whole (%d of them non-idempotent), p50 %s, p99 %s\n",
		o.Requests.Sent, o.Requests.Completed, o.Requests.NonIdempotent, o.Requests.P50, o.Requests.P99)
	fmt.Fprintf(out, "jobs:     %d submitted, %d succeeded, %d results for %d tasks\n",
		o.Jobs.Submitted, o.Jobs.Succeeded, o.Jobs.Results, o.Jobs.Tasks)
	fmt.Fprintf(out, "zone:     %s was taken out of service and brought back\n", zoneOut)
	fmt.Fprintf(out, "journals: %d violations\n", len(o.Violations))
	for _, violation := range o.Violations {
		fmt.Fprintln(out, "  "+violation)
	}
	printCounters(out, o.Counters)
	return nil
}

func printCounters(out io.Writer, counters map[string]int64) {
	fmt.Fprintln(out, "counters:")
	names := make([]string, 0, len(counters))
	for name := range counters {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		fmt.Fprintf(out, "  %-45s %d\n", name, counters[name])
	}
}
