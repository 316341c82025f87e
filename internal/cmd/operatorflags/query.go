package operatorflags

import (
	"context"
	"io"

	"github.com/spf13/cobra"

	"github.com/jacinthtrail/jacinthtrail/internal/cmd/factory"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/control"
)

// Options are the settings of a command that sends one query to an entry instance.
type Options struct {
	Flags
	Factory *factory.Factory
}

// Query fetches an answer from an entry instance and prints it. If Print is nil, the
// answer is always printed as JSON.
type Query[Answer any] struct {
	Fetch func(ctx context.Context, client control.Client) (Answer, error)
	Print func(out io.Writer, answer Answer) error
}

// NewCmd adds the flags and the run function of the query to cmd, which has the name and
// the help texts. Tests replace the run function with runF.
func (q Query[Answer]) NewCmd(f *factory.Factory, cmd *cobra.Command, runF func(context.Context, *Options) error) *cobra.Command {
	opts := &Options{Factory: f}
	if runF == nil {
		runF = q.run
	}
	cmd.Args = cobra.NoArgs
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		if err := opts.Check(cmd, f); err != nil {
			return err
		}
		return runF(cmd.Context(), opts)
	}
	opts.Add(cmd)
	return cmd
}

func (q Query[Answer]) run(ctx context.Context, opts *Options) error {
	ctx, cancel := context.WithTimeout(ctx, opts.Timeout)
	defer cancel()
	answer, err := q.Fetch(ctx, opts.Client())
	if err != nil {
		return err
	}
	if opts.JSON || q.Print == nil {
		return PrintJSON(opts.Factory.IO.Out, answer)
	}
	return q.Print(opts.Factory.IO.Out, answer)
}
