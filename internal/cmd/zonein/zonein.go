// Package zonein has the command that brings an availability zone back into service.
package zonein

import (
	"context"
	"fmt"

	"github.com/spf13/cobra"

	"github.com/jacinthtrail/jacinthtrail/internal/cmd/factory"
	"github.com/jacinthtrail/jacinthtrail/internal/cmd/operatorflags"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/zone"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// Options are the settings of the command.
type Options struct {
	operatorflags.Flags
	Factory *factory.Factory
	Zone    membership.Zone
	Author  string
}

// NewCmd returns the command. Tests replace its run function with runF.
func NewCmd(f *factory.Factory, runF func(context.Context, *Options) error) *cobra.Command {
	opts := &Options{Factory: f}
	if runF == nil {
		runF = run
	}
	cmd := &cobra.Command{
		Use:     "in <zone>",
		Short:   "Bring an availability zone back into service",
		Long:    "Bring an availability zone back into service: tasks start there again, at a rate that rises over the return ramp of the manifest.",
		Example: "  $ jacinthtrail zone in kzn-bal",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := opts.Check(cmd, f); err != nil {
				return err
			}
			opts.Zone = membership.Zone(args[0])
			return runF(cmd.Context(), opts)
		},
	}
	opts.Add(cmd)
	cmd.Flags().StringVar(&opts.Author, "author", operatorflags.Author(), "`name` to record with the change")
	return cmd
}

func run(ctx context.Context, opts *Options) error {
	ctx, cancel := context.WithTimeout(ctx, opts.Timeout)
	defer cancel()
	answer, err := opts.Client().SetZone(ctx, opts.Zone, zone.In, opts.Author)
	if err != nil {
		return err
	}
	if opts.JSON {
		return operatorflags.PrintJSON(opts.Factory.IO.Out, answer)
	}
	fmt.Fprintf(opts.Factory.IO.Out, "%s is %s (change %s)\n", answer.Name, answer.Status.Service, answer.Status.Change)
	return nil
}
