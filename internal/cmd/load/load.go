// Package load has the command that sends service requests and batch jobs at a fixed
// rate and reports latency, refusals and resource usage of the process.
package load

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/spf13/cobra"

	"github.com/jacinthtrail/jacinthtrail/internal/cmd/factory"
	"github.com/jacinthtrail/jacinthtrail/internal/cmd/settings"
)

// Limits of the options.
const (
	maxRate      = 20_000
	maxDuration  = 10 * time.Minute
	maxInstances = 200
	maxSteps     = 20
	maxRunTime   = 10 * time.Second
	// maxRequests limits the requests of one step.
	maxRequests = 1_000_000
	// maxInFlight limits the requests in flight. A request that is due while so many
	// wait for their answers is counted as not sent.
	maxInFlight = 5000
)

// Options are the settings of the command.
type Options struct {
	Factory *factory.Factory
	// Targets are loopback addresses for callers of running entry instances; if there
	// are none, the command starts a deployment in its own process.
	Targets []string
	// Rate is in requests per second; 0 derives the rates from Load.
	Rate float64
	// Load has the rate of each step in percent of the executors' capacity.
	Load     []int
	Duration time.Duration
	// Timeout is the Jacinthtrail-Timeout of each request.
	Timeout time.Duration
	// Work is the run time of a request on its executor.
	Work time.Duration
	// JobRate is in batch tasks per second, which are submitted in jobs of tasksPerJob.
	JobRate float64
	// SlowExecutor is a factor on the run times of the first executor.
	SlowExecutor float64
	// Skew is the percentage of requests that go to the first entry instance; 0 spreads
	// them evenly.
	Skew      int
	Entries   int
	Workers   int
	Executors int
	JSON      bool
	Verbose   bool
}

// NewCmd returns the command. Tests replace its run function with runF.
func NewCmd(f *factory.Factory, runF func(context.Context, *Options) error) *cobra.Command {
	opts := &Options{Factory: f}
	if runF == nil {
		runF = run
	}
	cmd := &cobra.Command{
		Use:   "load",
		Short: "Send requests and batch jobs at a fixed rate and report latency and refusals",
		Long: "Send service requests at a fixed rate, whether or not earlier requests were answered, to a deployment in this " +
			"process or to entry instances on loopback addresses. Latency is measured from the time at which a request was due. " +
			"The processor time and heap are those of the whole process, which includes callers and stand-ins.",
		Example: "  $ jacinthtrail load --load 50,90,110,200 --duration 10s\n" +
			"  $ jacinthtrail load --rate 200 --job-rate 20 --slow-executor 10 --json\n" +
			"  $ jacinthtrail load --target 127.0.0.1:7401 --rate 100",
		Args: cobra.NoArgs,
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
	opts.addFlags(cmd)
	return cmd
}

func (o *Options) addFlags(cmd *cobra.Command) {
	flags := cmd.Flags()
	flags.StringSliceVar(&o.Targets, "target", nil, "loopback `addresses` for callers of running entry instances; without any, the command starts a deployment")
	flags.Float64Var(&o.Rate, "rate", 0, "requests per second; 0 uses --load")
	flags.IntSliceVar(&o.Load, "load", []int{50, 90, 110, 200}, "rate of each step in `percent` of the executors' capacity")
	flags.DurationVar(&o.Duration, "duration", 10*time.Second, "length of each step")
	flags.DurationVar(&o.Timeout, "timeout", time.Second, "timeout of each request")
	flags.DurationVar(&o.Work, "work", 50*time.Millisecond, "run time of a request on its executor")
	flags.Float64Var(&o.JobRate, "job-rate", 0, "batch tasks per second")
	flags.Float64Var(&o.SlowExecutor, "slow-executor", 1, "`factor` on the run times of the first executor")
	flags.IntVar(&o.Skew, "skew", 0, "`percent` of requests that go to the first entry instance; 0 spreads them evenly")
	flags.IntVar(&o.Entries, "entries", 2, "entry instances of the deployment")
	flags.IntVar(&o.Workers, "workers", 4, "workers of the deployment")
	flags.IntVar(&o.Executors, "executors", 4, "executors of the deployment, 8 slots each")
	flags.BoolVar(&o.JSON, "json", false, "print the outcome as JSON")
	flags.BoolVar(&o.Verbose, "verbose", false, "print the log lines of the entry instances")
}

func (o *Options) check() error {
	var findings settings.Findings
	o.checkTargets(&findings)
	checkRange(&findings, "rate", o.Rate, 0, maxRate)
	checkRange(&findings, "job-rate", o.JobRate, 0, maxRate)
	checkRange(&findings, "slow-executor", o.SlowExecutor, 1, 1000)
	checkRange(&findings, "skew", o.Skew, 0, 100)
	checkRange(&findings, "entries", o.Entries, 1, maxInstances)
	checkRange(&findings, "workers", o.Workers, 1, maxInstances)
	checkRange(&findings, "executors", o.Executors, 1, maxInstances)
	checkRange(&findings, "duration", o.Duration, time.Millisecond, maxDuration)
	checkRange(&findings, "timeout", o.Timeout, time.Millisecond, time.Minute)
	checkRange(&findings, "work", o.Work, time.Millisecond, maxRunTime)
	checkRange(&findings, "load", len(o.Load), 1, maxSteps)
	for _, percent := range o.Load {
		checkRange(&findings, "load", percent, 1, 1000)
	}
	for _, rate := range o.rates() {
		if rate*o.Duration.Seconds() > maxRequests {
			findings.Add("duration", fmt.Sprintf("%.0f requests per second for %s are too many", rate, o.Duration),
				fmt.Sprintf("stay under %d requests in a step", maxRequests))
		}
	}
	return findings.Err()
}

func (o *Options) checkTargets(findings *settings.Findings) {
	for _, target := range o.Targets {
		address, err := netip.ParseAddrPort(target)
		if err != nil || !address.Addr().IsLoopback() {
			findings.Add("target", fmt.Sprintf("%q is not a loopback address", target), "give an IP address and port, such as 127.0.0.1:7401")
		}
	}
	if len(o.Targets) > 0 && o.Rate == 0 {
		findings.Add("rate", "the capacity of the targets is not known", "give a rate in requests per second")
	}
	if len(o.Targets) > 0 && o.SlowExecutor > 1 {
		findings.Add("slow-executor", "the run times of the targets' executors can't be changed", "omit the flag")
	}
}

func checkRange[T int | float64 | time.Duration](findings *settings.Findings, flag string, value, lowest, highest T) {
	if value < lowest || value > highest {
		findings.Add(flag, fmt.Sprintf("%v is out of range", value), fmt.Sprintf("give %v to %v", lowest, highest))
	}
}

// rates returns the rate of each step in requests per second.
func (o *Options) rates() []float64 {
	if o.Rate > 0 {
		return []float64{o.Rate}
	}
	var rates []float64
	for _, percent := range o.Load {
		rates = append(rates, o.capacity()*float64(percent)/100)
	}
	return rates
}

// capacity returns how many requests per second the executors can run.
func (o *Options) capacity() float64 {
	return float64(o.Executors*slotsPerExecutor) / o.Work.Seconds()
}
