// Package manifestshow has the command that prints the manifest in force.
package manifestshow

import (
	"context"

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
		Use:     "show",
		Short:   "Print the manifest in force on an entry instance as JSON",
		Example: "  $ jacinthtrail manifest show",
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
	published, err := opts.Client().Manifest(ctx)
	if err != nil {
		return err
	}
	return operatorflags.PrintJSON(opts.Factory.IO.Out, published)
}
