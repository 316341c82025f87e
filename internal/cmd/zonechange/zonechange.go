// Package zonechange has the common parts of the commands zone out and zone in.
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
	// Service is whether the zone goes out of service or comes back.
	Service zone.Service
	Author  string
}

// NewCmd adds to cmd, which has the name and the help texts, the flags and a run function
// that takes a zone out of service or brings it back. Tests replace the run function with
// runF.
func NewCmd(f *factory.Factory, cmd *cobra.Command, service zone.Service, runF func(context.Context, *Options) error) *cobra.Command {
	opts := &Options{Factory: f, Service: service}
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
	answer, err := opts.Client().SetZone(ctx, opts.Zone, opts.Service, opts.Author)
	if err != nil {
		return err
	}
	if opts.JSON {
		return operatorflags.PrintJSON(opts.Factory.IO.Out, answer)
	}
	fmt.Fprintf(opts.Factory.IO.Out, "%s is %s (change %s)\n", answer.Name, answer.Status.Service, answer.Status.Change)
	return nil
}
