// Package explain has the command that reports what was decided about a task, job or
// request and why.
package explain

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"github.com/jacinthtrail/jacinthtrail/internal/cmd/explainday"
	"github.com/jacinthtrail/jacinthtrail/internal/cmd/explaindowntime"
	"github.com/jacinthtrail/jacinthtrail/internal/cmd/factory"
	"github.com/jacinthtrail/jacinthtrail/internal/cmd/logfiles"
	"github.com/jacinthtrail/jacinthtrail/internal/cmd/operatorflags"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/control"
)

// Options are the settings of the command.
type Options struct {
	operatorflags.Flags
	Factory *factory.Factory
	Kind    control.Kind
	ID      string
	// From has the log files to read instead of calling an entry instance.
	From []string
}

// NewCmd returns the command. Tests replace its run function with runF.
func NewCmd(f *factory.Factory, runF func(context.Context, *Options) error) *cobra.Command {
	opts := &Options{Factory: f}
	if runF == nil {
		runF = run
	}
	cmd := &cobra.Command{
		Use:   "explain {task|job|request} <id>",
		Short: "Show what was decided about a task, job or request, and why",
		Example: "  $ jacinthtrail explain task 4f0c8a6d9b1e2f3a4f0c8a6d9b1e2f3a/0\n" +
			"  $ jacinthtrail explain job 4f0c8a6d9b1e2f3a4f0c8a6d9b1e2f3a --json\n" +
			"  $ jacinthtrail explain job d939e0fa21b4fad0 --from bal-1.log --from dbn-3.log\n" +
			"  $ jacinthtrail explain day --from bal-1.log --from dbn-3.log\n" +
			"  $ jacinthtrail explain downtime --from bal-1.log --from dbn-3.log",
		Args: cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := opts.Check(cmd, f); err != nil {
				return err
			}
			opts.Kind, opts.ID = control.Kind(args[0]), args[1]
			if len(opts.From) > 0 && opts.Kind != control.Job {
				return fmt.Errorf("logs only explain jobs; use: explain job %s --from FILE", opts.ID)
			}
			switch opts.Kind {
			case control.Task, control.Job, control.Request:
				return runF(cmd.Context(), opts)
			}
			return fmt.Errorf("%q can't be explained; use task, job or request", args[0])
		},
	}
	opts.Add(cmd)
	logfiles.AddFlag(cmd, &opts.From)
	cmd.AddCommand(explainday.NewCmd(f, nil), explaindowntime.NewCmd(f, nil))
	return cmd
}

func run(ctx context.Context, opts *Options) error {
	if len(opts.From) > 0 {
		return runFromLogs(opts)
	}
	ctx, cancel := context.WithTimeout(ctx, opts.Timeout)
	defer cancel()
	answer, err := opts.Client().Explain(ctx, opts.Kind, opts.ID)
	if err != nil {
		return err
	}
	out := opts.Factory.IO.Out
	if opts.JSON {
		return operatorflags.PrintJSON(out, answer)
	}
	fmt.Fprintf(out, "%s %s %s\n", answer.Kind, answer.ID, answer.State)
	for _, event := range answer.Events {
		facts, err := json.Marshal(withoutZeros(event.Facts))
		if err != nil {
			return fmt.Errorf("encode the facts of an event: %w", err)
		}
		fmt.Fprintf(out, "%s  %s  %s  %s  manifest %d  %s\n", event.At.Format(time.RFC3339Nano),
			event.Instance, event.What, event.Reason, event.Manifest, facts)
	}
	return nil
}

// withoutZeros removes fields with zero values, which didn't influence the decision.
func withoutZeros(value any) any {
	fields, ok := value.(map[string]any)
	if !ok {
		return value
	}
	kept := map[string]any{}
	for name, field := range fields {
		field = withoutZeros(field)
		switch field {
		case nil, "", 0.0, false:
			continue
		}
		if nested, ok := field.(map[string]any); ok && len(nested) == 0 {
			continue
		}
		kept[name] = field
	}
	return kept
}
