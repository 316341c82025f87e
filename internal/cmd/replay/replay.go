// Package replay has the command that runs recorded traces through placement policies.
package replay

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"

	"github.com/spf13/cobra"

	"github.com/jacinthtrail/jacinthtrail/internal/cmd/factory"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/replay"
)

// Options are the checked flags of the command.
type Options struct {
	Out io.Writer
	// Each of Traces is run with each of Policies.
	Traces   []string
	Policies []replay.PolicyName
	// Directory is where the traces are, as <name>.jsonl.
	Directory string
	JSON      bool
	// Generate writes the traces to Directory instead of running them.
	Generate bool
}

// NewCmd returns the command. runF replaces the run function in tests.
func NewCmd(f *factory.Factory, runF func(context.Context, *Options) error) *cobra.Command {
	opts := &Options{Out: f.IO.Out}
	var trace, policy string
	cmd := &cobra.Command{
		Use:   "replay",
		Short: "Run recorded traces through placement policies and compare the results",
		Long: "Run recorded traces through the scheduler and two baselines under a simulated\n" +
			"clock, and print the results of the service and of the batch work. A score that\n" +
			"another policy beats is marked with a minus sign. The command fails when the\n" +
			"scheduler misses an outcome that a trace requires.",
		Example: "  $ jacinthtrail replay\n  $ jacinthtrail replay --trace noisy-wave --policy engine --json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := opts.selectRuns(trace, policy); err != nil {
				return err
			}
			if runF != nil {
				return runF(cmd.Context(), opts)
			}
			return run(cmd.Context(), opts)
		},
	}
	cmd.Flags().StringVar(&trace, "trace", "", "run only this trace")
	cmd.Flags().StringVar(&policy, "policy", "", "run only this policy: engine, first-fit or best-fit")
	cmd.Flags().StringVar(&opts.Directory, "directory", "testdata/traces", "read the traces from this directory")
	cmd.Flags().BoolVar(&opts.JSON, "json", false, "print JSON")
	cmd.Flags().BoolVar(&opts.Generate, "generate", false, "write the traces to the directory instead of running them")
	return cmd
}

// selectRuns checks the names of the trace and the policy and selects them. An empty
// name selects all.
func (o *Options) selectRuns(trace, policy string) error {
	o.Traces, o.Policies = replay.TraceNames, replay.PolicyNames
	if trace != "" {
		o.Traces = []string{trace}
	}
	if policy != "" {
		o.Policies = []replay.PolicyName{replay.PolicyName(policy)}
	}
	var findings []error
	if !slices.Contains(replay.TraceNames, o.Traces[0]) {
		findings = append(findings, fmt.Errorf("--trace: unknown trace %q; the traces are %q", trace, replay.TraceNames))
	}
	if !slices.Contains(replay.PolicyNames, o.Policies[0]) {
		findings = append(findings, fmt.Errorf("--policy: unknown policy %q; the policies are %q", policy, replay.PolicyNames))
	}
	return errors.Join(findings...)
}

func run(ctx context.Context, opts *Options) error {
	if opts.Generate {
		return generate(opts)
	}
	var reports []replay.Report
	var missed []error
	for _, name := range opts.Traces {
		traceResults, err := runTrace(ctx, opts, name)
		if err != nil {
			return err
		}
		reports = append(reports, traceResults.reports...)
		missed = append(missed, traceResults.missed...)
	}
	if err := printReports(opts, reports); err != nil {
		return err
	}
	return errors.Join(missed...)
}

// results has the reports of one trace, and an error for each outcome that the engine
// missed.
type results struct {
	reports []replay.Report
	missed  []error
}

func runTrace(ctx context.Context, opts *Options, name string) (results, error) {
	records, err := readTrace(opts, name)
	if err != nil {
		return results{}, err
	}
	var traceResults results
	for _, policy := range opts.Policies {
		if err := ctx.Err(); err != nil {
			return results{}, err
		}
		report, outcome, err := replay.Run(name, records, policy)
		if err != nil {
			return results{}, fmt.Errorf("trace %s: %w", name, err)
		}
		traceResults.reports = append(traceResults.reports, report)
		if policy != replay.Engine {
			continue
		}
		for _, message := range outcome.Check(report) {
			traceResults.missed = append(traceResults.missed, fmt.Errorf("trace %s: %s", name, message))
		}
	}
	replay.Score(traceResults.reports)
	return traceResults, nil
}

func readTrace(opts *Options, name string) ([]replay.Record, error) {
	file, err := os.Open(tracePath(opts, name))
	if err != nil {
		return nil, fmt.Errorf("open trace: %w", err)
	}
	defer file.Close()
	records, err := replay.Read(file)
	if err != nil {
		return nil, fmt.Errorf("trace %s: %w", name, err)
	}
	return records, nil
}

func generate(opts *Options) error {
	for _, name := range opts.Traces {
		records, err := replay.Generate(name)
		if err != nil {
			return err
		}
		file, err := os.Create(tracePath(opts, name))
		if err != nil {
			return fmt.Errorf("create trace: %w", err)
		}
		if err := errors.Join(replay.Write(file, records), file.Close()); err != nil {
			return err
		}
	}
	return nil
}

func tracePath(opts *Options, name string) string {
	return filepath.Join(opts.Directory, name+".jsonl")
}

func printReports(opts *Options, reports []replay.Report) error {
	if !opts.JSON {
		return replay.Print(opts.Out, reports)
	}
	encoder := json.NewEncoder(opts.Out)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(reports); err != nil {
		return fmt.Errorf("print reports: %w", err)
	}
	return nil
}
