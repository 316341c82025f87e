// Package zonelist has the command that lists the availability zones.
package zonelist

import (
	"context"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/jacinthtrail/jacinthtrail/internal/cmd/factory"
	"github.com/jacinthtrail/jacinthtrail/internal/cmd/operatorflags"
)

// Options are the settings of the command.
type Options struct {
	operatorflags.Flags
	Factory *factory.Factory
}

// NewCmd returns the command. Tests replace its run function with runF.
func NewCmd(f *factory.Factory, runF func(context.Context, *Options) error) *cobra.Command {
	opts := &Options{Factory: f}
	if runF == nil {
		runF = run
	}
	cmd := &cobra.Command{
		Use:     "list",
		Short:   "List the availability zones and whether they are in service",
		Example: "  $ jacinthtrail zone list --json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := opts.Check(cmd, f); err != nil {
				return err
			}
			return runF(cmd.Context(), opts)
		},
	}
	opts.Add(cmd)
	return cmd
}

func run(ctx context.Context, opts *Options) error {
	ctx, cancel := context.WithTimeout(ctx, opts.Timeout)
	defer cancel()
	zones, err := opts.Client().Zones(ctx)
	if err != nil {
		return err
	}
	if opts.JSON {
		return operatorflags.PrintJSON(opts.Factory.IO.Out, zones)
	}
	table := tabwriter.NewWriter(opts.Factory.IO.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "ZONE\tREGION\tSERVICE\tCHANGED\tBY")
	for _, z := range zones {
		changed := "-"
		if !z.Status.At.IsZero() {
			changed = z.Status.At.Format(time.RFC3339)
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\n", z.Name, z.Region, z.Status.Service, changed, z.Status.By)
	}
	return table.Flush()
}
