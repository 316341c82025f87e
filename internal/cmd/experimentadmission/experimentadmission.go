// Package experimentadmission has the command that compares admission control with
// baseline policies in simulated time.
package experimentadmission

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/jacinthtrail/jacinthtrail/internal/cmd/factory"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/admission"
)

// Options are the checked flags of the command.
type Options struct {
	IO         factory.IOStreams
	Experiment admission.Experiment
	JSON       bool
}

// Results is the JSON output.
type Results struct {
	Seed uint64
	Rows []admission.Row
}

// NewCmd returns the command. Tests replace its run function with runF.
func NewCmd(f *factory.Factory, runF func(context.Context, *Options) error) *cobra.Command {
	var seed uint64
	options := &Options{IO: f.IO}
	cmd := &cobra.Command{
		Use:     "admission",
		Short:   "Compare admission control with baseline policies in simulated time",
		Example: "  $ jacinthtrail experiment admission --seed 1\n  $ jacinthtrail experiment admission --json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			options.Experiment = admission.DefaultExperiment(seed)
			if runF != nil {
				return runF(cmd.Context(), options)
			}
			return run(cmd.Context(), options)
		},
	}
	cmd.Flags().Uint64Var(&seed, "seed", 1, "seed of the random numbers")
	cmd.Flags().BoolVar(&options.JSON, "json", false, "print JSON instead of a table")
	return cmd
}

func run(ctx context.Context, options *Options) error {
	rows, err := options.Experiment.Run(ctx)
	if err != nil {
		return err
	}
	results := Results{Seed: options.Experiment.Seed, Rows: rows}
	if options.JSON {
		return json.NewEncoder(options.IO.Out).Encode(results)
	}
	return printTable(options.IO.Out, results)
}

func printTable(out io.Writer, results Results) error {
	fmt.Fprintf(out, "seed %d, simulated time\n", results.Seed)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "load\tpolicy\tin time/s\tp50\tp99\tp99.9\tlate\trefused\tdropped\thedged\tlongest refusal\t")
	for _, row := range results.Rows {
		fmt.Fprintf(table, "%d%%\t%s\t%.0f\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t\n",
			row.LoadPercent, row.Policy, row.InTimeRate,
			milliseconds(row.P50), milliseconds(row.P99), milliseconds(row.P999),
			percent(row.LateShare), percent(row.RefusedShare), percent(row.DroppedShare), percent(row.HedgedShare),
			milliseconds(row.LongestRefuse))
	}
	return table.Flush()
}

func milliseconds(d time.Duration) string {
	return fmt.Sprintf("%.1fms", float64(d)/float64(time.Millisecond))
}

func percent(share float64) string {
	return fmt.Sprintf("%.3f%%", 100*share)
}
