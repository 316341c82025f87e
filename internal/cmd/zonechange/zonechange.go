// Package zonechange has what the commands zone out and zone in share.
package zonechange

import (
	"context"
	"fmt"

	"github.com/spf13/cobra"

	"github.com/jacinthtrail/jacinthtrail/internal/cmd/factory"
	"github.com/jacinthtrail/jacinthtrail/internal/cmd/operatorflags"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/zone"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// Options are the settings of the commands.
type Options struct {
	operatorflags.Flags
	Factory *factory.Factory
	Zone    membership.Zone
	// To is the status that the zone gets.
	To     zone.Service
	Author string
}

// NewCmd completes the command, which has its texts, so that it brings a zone to a
// status. Tests replace the run function with runF.
func NewCmd(f *factory.Factory, cmd *cobra.Command, to zone.Service, runF func(context.Context, *Options) error) *cobra.Command {
	opts := &Options{Factory: f, To: to}
	if runF == nil {
		runF = run
	}
	cmd.Args = cobra.ExactArgs(1)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		if err := opts.Check(cmd, f); err != nil {
			return err
		}
		opts.Zone = membership.Zone(args[0])
		return runF(cmd.Context(), opts)
	}
	opts.Add(cmd)
	cmd.Flags().StringVar(&opts.Author, "author", operatorflags.Author(), "`name` to record with the change")
	return cmd
}

func run(ctx context.Context, opts *Options) error {
	ctx, cancel := context.WithTimeout(ctx, opts.Timeout)
	defer cancel()
	answer, err := opts.Client().SetZone(ctx, opts.Zone, opts.To, opts.Author)
	if err != nil {
		return err
	}
	if opts.JSON {
		return operatorflags.PrintJSON(opts.Factory.IO.Out, answer)
	}
	fmt.Fprintf(opts.Factory.IO.Out, "%s is %s (change %s)\n", answer.Name, answer.Status.Service, answer.Status.Change)
	return nil
}
