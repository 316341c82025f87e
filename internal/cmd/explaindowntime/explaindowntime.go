// Package explaindowntime has the command that reports from logs for how long long-running tasks were
// down, what they waited for and where there was room for them.
package explaindowntime

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/jacinthtrail/jacinthtrail/internal/cmd/factory"
	"github.com/jacinthtrail/jacinthtrail/internal/cmd/logfiles"
	"github.com/jacinthtrail/jacinthtrail/internal/cmd/operatorflags"
	"github.com/jacinthtrail/jacinthtrail/internal/cmd/settings"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/diagnosis"
)

// defaultMinimum is the shortest downtime that is reported. The platform may count a task as lost once it
// has been down for 6 s.
const defaultMinimum = 6 * time.Second

// Options are the settings of the command.
type Options struct {
	Factory *factory.Factory
	From    []string
	Min     time.Duration
	JSON    bool
}

// NewCmd returns the command. Tests replace its run function with runF.
func NewCmd(f *factory.Factory, runF func(context.Context, *Options) error) *cobra.Command {
	opts := &Options{Factory: f}
	if runF == nil {
		runF = run
	}
	cmd := &cobra.Command{
		Use:   "downtime",
		Short: "List long downtimes of long-running tasks, and where there was room for them",
		Long: "Read the logs of all instances of serve-platform and list the downtimes of long-running\n" +
			"tasks, from the end or loss of a run to the next start. For each, tell why the task went\n" +
			"down, what it waited for, and for how many seconds in a row, after 6 s, there was room for it\n" +
			"twice over: in its own shard, in other shards, on workers that get no tasks for now, or on\n" +
			"all of these together. The last line counts the downtimes by these.",
		Example: "  $ jacinthtrail explain downtime --from bal-1.log --from dbn-3.log\n" +
			"  $ cat *.log | jacinthtrail explain downtime --from - --min 10s --json",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := opts.check(cmd); err != nil {
				return err
			}
			return runF(cmd.Context(), opts)
		},
	}
	logfiles.AddFlag(cmd, &opts.From)
	cmd.Flags().DurationVar(&opts.Min, "min", defaultMinimum, "shortest downtime to report")
	cmd.Flags().BoolVar(&opts.JSON, "json", false, "print the report as JSON")
	return cmd
}

// check reads the environment and reports all invalid flags.
func (o *Options) check(cmd *cobra.Command) error {
	if err := settings.Apply(cmd, o.Factory.LookupEnv); err != nil {
		return err
	}
	var findings settings.Findings
	logfiles.CheckNames(&findings, o.From)
	if o.Min <= 0 {
		findings.Add("min", fmt.Sprintf("%s is not positive", o.Min), "give a duration such as 6s")
	}
	return findings.Err()
}

func run(_ context.Context, opts *Options) error {
	lines, err := logfiles.Read(opts.Factory.IO, opts.From)
	if err != nil {
		return err
	}
	summary := diagnosis.FindDowntimes(lines, opts.Min)
	if opts.JSON {
		return operatorflags.PrintJSON(opts.Factory.IO.Out, summary)
	}
	return printSummary(opts.Factory.IO.Out, summary)
}

func printSummary(out io.Writer, s diagnosis.DowntimeSummary) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprint(table, "Task\tShard\tDown\tSeconds\tEnd")
	for _, place := range diagnosis.RoomPlaces() {
		fmt.Fprintf(table, "\t%s", place)
	}
	fmt.Fprintln(table, "\tOtherStarts\tLongRunningStarts\tWaits\tReason")
	for _, d := range s.Downtimes {
		fmt.Fprintf(table, "%s\t%d\t%s\t%.1f\t%s", d.Task, d.Shard, d.Since.Format("15:04:05.000"), d.Lasted.Seconds(), d.End)
		for _, place := range diagnosis.RoomPlaces() {
			fmt.Fprintf(table, "\t%s", seconds(d, place))
		}
		fmt.Fprintf(table, "\t%d\t%d\t%s\t%s\n", d.OtherStarts, d.LongRunningStarts, counts(d.Waits), d.Reason)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(out, "%d downtimes; end: %s; reason: %s; waits: %s; room for 3 s: %s, none %d, unknown %d; other tasks started: %d\n",
		len(s.Downtimes), counts(s.Ends), counts(s.Reasons), counts(s.Waits), counts(s.Room), s.NoRoom, s.ResourcesUnknown, s.WithOtherStarts)
	return err
}

// seconds formats the time with room in a place. It is unknown if no line has the task's resources.
func seconds(d diagnosis.Downtime, place diagnosis.RoomPlace) string {
	if d.Resources.IsZero() {
		return "?"
	}
	return fmt.Sprintf("%.1f", d.Room[place].Seconds())
}

// counts formats counts by name in descending order, or returns "none" if there are none.
func counts[K ~string](byName map[K]int) string {
	names := slices.SortedFunc(maps.Keys(byName), func(a, b K) int {
		return cmp.Or(cmp.Compare(byName[b], byName[a]), cmp.Compare(a, b))
	})
	if len(names) == 0 {
		return "none"
	}
	texts := make([]string, len(names))
	for i, name := range names {
		texts[i] = fmt.Sprintf("%s %d", name, byName[name])
	}
	return strings.Join(texts, ", ")
}
