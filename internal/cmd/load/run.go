package load

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/manifest"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/process"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
	"github.com/jacinthtrail/jacinthtrail/internal/standin/deployment"
	"github.com/jacinthtrail/jacinthtrail/internal/standin/executor"
)

const (
	serviceName      = "chairdesk"
	className        = "rota-build"
	teamName         = "clerks"
	slotsPerExecutor = 8
	// startTimeout limits the time that a deployment takes to start.
	startTimeout = time.Minute
	// stepPause is the time between steps, in which grants are returned and queues
	// drain.
	stepPause = 2 * time.Second
)

// run sends the load and prints the outcome.
func run(ctx context.Context, opts *Options) error {
	if len(opts.Targets) > 0 {
		outcome, err := runSteps(ctx, opts, opts.Targets, func() map[string]int64 { return nil })
		return errors.Join(err, outcome.print(opts))
	}
	d, err := startDeployment(ctx, opts)
	if err != nil {
		return err
	}
	if opts.SlowExecutor > 1 {
		d.Executors[0].SetFaults(executor.Faults{SlowFactor: opts.SlowExecutor})
	}
	var targets []string
	for _, entry := range d.Entries {
		targets = append(targets, entry.Addresses().Caller)
	}
	outcome, err := runSteps(ctx, opts, targets, d.Counters)
	if err := errors.Join(err, d.Close()); err != nil {
		return err
	}
	return outcome.print(opts)
}

// startDeployment starts a deployment in this process and waits until it is ready.
func startDeployment(ctx context.Context, opts *Options) (*deployment.Deployment, error) {
	log := zerolog.Nop()
	if opts.Verbose {
		log = zerolog.New(opts.Factory.IO.ErrOut).With().Timestamp().Logger()
	}
	// The deployment runs until its context ends, so the timeout covers only the wait
	// for its readiness.
	ctx, cancel := context.WithCancelCause(ctx)
	stop := opts.Factory.Clock.AfterFunc(startTimeout, func() { cancel(context.DeadlineExceeded) })
	defer stop.Stop()
	return deployment.Start(ctx, loadManifest(), opts.deploymentSize(), opts.Factory.Clock, log)
}

func loadManifest() manifest.Manifest {
	unlimited := resource.Vector{Processors: 1e8, Memory: 1e14}
	return manifest.Defaults(manifest.Manifest{
		Zones: []manifest.Zone{{Name: "kzn-dbn", Region: "kzn"}},
		Services: []manifest.Service{{
			Name: serviceName, Target: manifest.Duration(250 * time.Millisecond), MaxDuration: manifest.Duration(5 * time.Second),
			RetryShare: 100, HedgePercentile: 99, ErrorBudget: 10,
		}},
		Classes: []manifest.Class{{
			Name: className, Team: teamName, Resources: resource.Vector{Processors: 500, Memory: 5e8},
			ExpectedDuration: manifest.Duration(time.Second), Checkpointable: true,
		}},
		Teams:  []manifest.Team{{Name: teamName, Quota: unlimited, UrgentQuota: unlimited, Weight: 1}},
		Limits: manifest.Limits{ShardsPerZone: 1},
	})
}

func (o *Options) deploymentSize() deployment.Size {
	return deployment.Size{
		Entries: o.Entries, Workers: o.Workers, Executors: o.Executors,
		Worker: membership.Instance{Capacity: resource.Vector{Processors: 16000, Memory: 60e9}},
		Executor: membership.Instance{
			Service: serviceName, Slots: slotsPerExecutor, Connections: 8 * slotsPerExecutor,
			Capacity: resource.Vector{Processors: 1000, Memory: 2e9},
		},
	}
}

// runSteps sends the load of one step after another to the targets. counters returns
// the current counters of the deployment, if it runs in this process.
func runSteps(ctx context.Context, opts *Options, targets []string, counters func() map[string]int64) (Outcome, error) {
	outcome := Outcome{Targets: targets, Capacity: opts.capacity()}
	if len(opts.Targets) > 0 {
		outcome.Capacity = 0
	}
	s := newSender(opts, targets)
	defer s.client.CloseIdleConnections()
	for n, rate := range opts.rates() {
		if n > 0 {
			select {
			case <-ctx.Done():
				return outcome, ctx.Err()
			case <-opts.Factory.Clock.After(stepPause):
			}
		}
		outcome.Steps = append(outcome.Steps, measureStep(ctx, s, rate, counters))
		if ctx.Err() != nil {
			return outcome, ctx.Err()
		}
	}
	return outcome, nil
}

// measureStep runs one step and records the resource usage of the process during it.
func measureStep(ctx context.Context, s *sender, rate float64, counters func() map[string]int64) Step {
	started, cpuTimeBefore, before := s.clock.Now(), process.CPUTime(), counters()
	step := s.runStep(ctx, rate)
	seconds := s.clock.Since(started).Seconds()
	entries := float64(len(s.targets))
	step.ProcessorShare = (process.CPUTime() - cpuTimeBefore).Seconds() / seconds / entries
	step.HeapBytes = process.HeapBytes() / uint64(len(s.targets))
	after := counters()
	step.StartsPerSecond = float64(countStarts(after)-countStarts(before)) / seconds
	reads := after["Table.Reads"] + after["Table.Scans"] - before["Table.Reads"] - before["Table.Scans"]
	step.ReadsPerSecond = float64(reads) / seconds
	step.CommitsPerSecond = float64(after["Table.Commits"]-before["Table.Commits"]) / seconds
	return step
}

// countStarts returns the number of decisions to start a task, over all reasons.
func countStarts(counters map[string]int64) (sum int64) {
	for name, value := range counters {
		if strings.HasPrefix(name, "Decision.Start.") {
			sum += value
		}
	}
	return sum
}
