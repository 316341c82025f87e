// Package experimentgrants has the command that compares, in simulated time, slot grants
// with a fixed share of the slots and with sending each request through the owner.
package experimentgrants

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/jacinthtrail/jacinthtrail/internal/cmd/factory"
	"github.com/jacinthtrail/jacinthtrail/internal/cmd/operatorflags"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/slots"
)

// Options are the settings of the command.
type Options struct {
	Factory    *factory.Factory
	Experiment slots.Experiment
	JSON       bool
}

// NewCmd returns the command. Tests replace its run function with runF.
func NewCmd(f *factory.Factory, runF func(context.Context, *Options) error) *cobra.Command {
	opts := &Options{Factory: f}
	if runF == nil {
		runF = run
	}
	var seed uint64
	cmd := &cobra.Command{
		Use:     "grants",
		Short:   "Compare slot grants with a fixed share and with sending requests through the owner",
		Example: "  $ jacinthtrail experiment grants --seed 1",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			opts.Experiment = slots.DefaultExperiment(seed)
			return runF(cmd.Context(), opts)
		},
	}
	cmd.Flags().Uint64Var(&seed, "seed", 1, "seed of the random numbers")
	cmd.Flags().BoolVar(&opts.JSON, "json", false, "print JSON instead of a table")
	return cmd
}

func run(_ context.Context, opts *Options) error {
	rows := opts.Experiment.Run()
	if opts.JSON {
		return operatorflags.PrintJSON(opts.Factory.IO.Out, rows)
	}
	return printRows(opts.Factory.IO.Out, opts.Experiment.Seed, rows)
}

func printRows(out io.Writer, seed uint64, rows []slots.Row) error {
	fmt.Fprintf(out, "seed %d, simulated time\n", seed)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "case\tway\tin time\tp50\tp99\tp99.9\tmost in use\t")
	for _, row := range rows {
		fmt.Fprintf(table, "%s\t%s\t%.2f%%\t%s\t%s\t%s\t%d\t\n", row.Case.Name, row.Way, 100*row.InTime,
			row.P50.Round(100*time.Microsecond), row.P99.Round(100*time.Microsecond),
			row.P999.Round(100*time.Microsecond), row.MostInUse)
	}
	return table.Flush()
}
