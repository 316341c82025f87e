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
	// startTimeout bounds the start of a deployment.
	startTimeout = time.Minute
	// settle is the time between steps in which grants and queues return to rest.
	settle = 2 * time.Second
)

// run sends the load and prints what came of it.
func run(ctx context.Context, opts *Options) error {
	if len(opts.Targets) > 0 {
		outcome, err := exercise(ctx, opts, opts.Targets, func() map[string]int64 { return nil })
		return errors.Join(err, outcome.print(opts))
	}
	d, err := start(ctx, opts)
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
	outcome, err := exercise(ctx, opts, targets, d.Counters)
	if err := errors.Join(err, d.Close()); err != nil {
		return err
	}
	return outcome.print(opts)
}

func start(ctx context.Context, opts *Options) (*deployment.Deployment, error) {
	log := zerolog.Nop()
	if opts.Verbose {
		log = zerolog.New(opts.Factory.IO.ErrOut).With().Timestamp().Logger()
	}
	// The deployment lives as long as its context, so only the wait for its readiness
	// is bounded.
	ctx, cancel := context.WithCancelCause(ctx)
	stop := opts.Factory.Clock.AfterFunc(startTimeout, func() { cancel(context.DeadlineExceeded) })
	defer stop.Stop()
	return deployment.Start(ctx, loadManifest(), opts.size(), opts.Factory.Clock, log)
}

func loadManifest() manifest.Manifest {
	large := resource.Vector{Processors: 1e8, Memory: 1e14}
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
		Teams:  []manifest.Team{{Name: teamName, Quota: large, UrgentQuota: large, Weight: 1}},
		Limits: manifest.Limits{ShardsPerZone: 1},
	})
}

func (o *Options) size() deployment.Size {
	return deployment.Size{
		Entries: o.Entries, Workers: o.Workers, Executors: o.Executors,
		Worker: membership.Instance{Capacity: resource.Vector{Processors: 16000, Memory: 60e9}},
		Executor: membership.Instance{
			Service: serviceName, Slots: slotsPerExecutor, Connections: 8 * slotsPerExecutor,
			Capacity: resource.Vector{Processors: 1000, Memory: 2e9},
		},
	}
}

// exercise runs the steps one after another.
func exercise(ctx context.Context, opts *Options, targets []string, counters func() map[string]int64) (Outcome, error) {
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
			case <-opts.Factory.Clock.After(settle):
			}
		}
		outcome.Steps = append(outcome.Steps, measure(ctx, s, rate, counters))
		if ctx.Err() != nil {
			return outcome, ctx.Err()
		}
	}
	return outcome, nil
}

// measure runs one step and notes what the process used meanwhile.
func measure(ctx context.Context, s *sender, rate float64, counters func() map[string]int64) Step {
	began, processor, before := s.clock.Now(), process.Processor(), counters()
	step := s.run(ctx, rate)
	took := s.clock.Since(began).Seconds()
	entries := float64(len(s.targets))
	step.ProcessorShare = (process.Processor() - processor).Seconds() / took / entries
	step.HeapBytes = process.Heap() / uint64(len(s.targets))
	after := counters()
	step.StartsPerSecond = float64(startsOf(after)-startsOf(before)) / took
	reads := after["Table.Reads"] + after["Table.Scans"] - before["Table.Reads"] - before["Table.Scans"]
	step.ReadsPerSecond = float64(reads) / took
	step.CommitsPerSecond = float64(after["Table.Commits"]-before["Table.Commits"]) / took
	return step
}

// startsOf adds up the decisions to start a task, for whatever reason.
func startsOf(counters map[string]int64) (sum int64) {
	for name, value := range counters {
		if strings.HasPrefix(name, "Decision.Start.") {
			sum += value
		}
	}
	return sum
}
