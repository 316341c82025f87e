// Package replay is the command that runs recorded traces through placement policies.
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
	// Traces and Policies are what is run, each trace with each policy.
	Traces   []string
	Policies []replay.PolicyName
	// Directory has the traces as <name>.jsonl.
	Directory string
	JSON      bool
	// Generate writes the traces to Directory in place of running them.
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
			"clock, and print what came of the service and of the batch work. A score that\n" +
			"another policy beats is marked with a minus sign. The command fails when the\n" +
			"scheduler misses an outcome that a trace demands.",
		Example: "  $ jacinthtrail replay\n  $ jacinthtrail replay --trace noisy-wave --policy engine --json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := opts.choose(trace, policy); err != nil {
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
	cmd.Flags().BoolVar(&opts.Generate, "generate", false, "write the traces to the directory and run nothing")
	return cmd
}

// choose checks the names of the trace and the policy; empty ones stand for all.
func (o *Options) choose(trace, policy string) error {
	o.Traces, o.Policies = replay.TraceNames, replay.PolicyNames
	if trace != "" {
		o.Traces = []string{trace}
	}
	if policy != "" {
		o.Policies = []replay.PolicyName{replay.PolicyName(policy)}
	}
	var findings []error
	if !slices.Contains(replay.TraceNames, o.Traces[0]) {
		findings = append(findings, fmt.Errorf("--trace: unknown trace %q; there are %q", trace, replay.TraceNames))
	}
	if !slices.Contains(replay.PolicyNames, o.Policies[0]) {
		findings = append(findings, fmt.Errorf("--policy: unknown policy %q; there are %q", policy, replay.PolicyNames))
	}
	return errors.Join(findings...)
}

func run(ctx context.Context, opts *Options) error {
	if opts.Generate {
		return generate(opts)
	}
	var all []replay.Report
	var missed []error
	for _, name := range opts.Traces {
		reports, err := runTrace(ctx, opts, name)
		if err != nil {
			return err
		}
		all = append(all, reports.list...)
		missed = append(missed, reports.missed...)
	}
	if err := show(opts, all); err != nil {
		return err
	}
	return errors.Join(missed...)
}

type results struct {
	list   []replay.Report
	missed []error
}

func runTrace(ctx context.Context, opts *Options, name string) (results, error) {
	records, err := read(opts, name)
	if err != nil {
		return results{}, err
	}
	var found results
	for _, policy := range opts.Policies {
		if err := ctx.Err(); err != nil {
			return results{}, err
		}
		report, outcome, err := replay.Run(name, records, policy)
		if err != nil {
			return results{}, fmt.Errorf("trace %s: %w", name, err)
		}
		found.list = append(found.list, report)
		if policy != replay.Engine {
			continue
		}
		for _, miss := range outcome.Check(report) {
			found.missed = append(found.missed, fmt.Errorf("trace %s: %s", name, miss))
		}
	}
	replay.Score(found.list)
	return found, nil
}

func read(opts *Options, name string) ([]replay.Record, error) {
	file, err := os.Open(path(opts, name))
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
		file, err := os.Create(path(opts, name))
		if err != nil {
			return fmt.Errorf("create trace: %w", err)
		}
		if err := errors.Join(replay.Write(file, records), file.Close()); err != nil {
			return err
		}
	}
	return nil
}

func path(opts *Options, name string) string {
	return filepath.Join(opts.Directory, name+".jsonl")
}

func show(opts *Options, reports []replay.Report) error {
	if !opts.JSON {
		return replay.Print(opts.Out, reports)
	}
	encoder := json.NewEncoder(opts.Out)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(reports); err != nil {
		return fmt.Errorf("print: %w", err)
	}
	return nil
}
