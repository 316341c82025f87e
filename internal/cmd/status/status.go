// Package status has the command that describes an entry instance.
package status

import (
	"context"
	"fmt"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"github.com/jacinthtrail/jacinthtrail/internal/cmd/factory"
	"github.com/jacinthtrail/jacinthtrail/internal/cmd/operatorflags"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/control"
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
		Use:     "status",
		Short:   "Describe an entry instance, its shards and its peers",
		Example: "  $ jacinthtrail status --operator 127.0.0.1:7402",
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
	answer, err := opts.Client().Status(ctx)
	if err != nil {
		return err
	}
	if opts.JSON {
		return operatorflags.PrintJSON(opts.Factory.IO.Out, answer)
	}
	return printStatus(opts, answer)
}

func printStatus(opts *Options, answer control.StatusAnswer) error {
	ready := "ready"
	if !answer.Ready {
		ready = "not ready: " + answer.NotReady
	}
	out := opts.Factory.IO.Out
	fmt.Fprintf(out, "%s in %s (%s): %s, manifest %d\n", answer.ID, answer.Zone, answer.Region, ready, answer.Manifest)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "SHARD\tEPOCH\tSTATE\tWORKERS\tQUEUED\tRUNNING\tPARKED JOBS")
	for _, s := range answer.Shards {
		fmt.Fprintf(table, "%s\t%d\t%s\t%d\t%d\t%d\t%d\n", s.Shard, s.Epoch, s.State, s.Workers, s.QueuedTasks, s.Running, s.ParkedJobs)
	}
	fmt.Fprintln(table, "PEER\tZONE\tMANIFEST\tSILENT FOR")
	for _, p := range answer.Peers {
		fmt.Fprintf(table, "%s\t%s\t%d\t%s\n", p.ID, p.Zone, p.Manifest, p.Silent)
	}
	return table.Flush()
}
