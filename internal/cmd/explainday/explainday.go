// Package explainday has the command that reports from logs how all jobs ended, and why
// some weren't in time.
package explainday

import (
	"context"
	"fmt"
	"io"
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

// defaultSpan is the length of the time spans by which jobs are grouped.
const defaultSpan = 5 * time.Second

// Options are the settings of the command.
type Options struct {
	Factory *factory.Factory
	From    []string
	Span    time.Duration
	JSON    bool
}

// NewCmd returns the command. Tests replace its run function with runF.
func NewCmd(f *factory.Factory, runF func(context.Context, *Options) error) *cobra.Command {
	opts := &Options{Factory: f}
	if runF == nil {
		runF = run
	}
	cmd := &cobra.Command{
		Use:   "day",
		Short: "Report how all jobs of a log ended and why some weren't in time",
		Long: "Read the logs of all instances of serve-platform and count the jobs by how they\n" +
			"ended. For jobs that weren't in time, add up the time that they lost: by cause, by\n" +
			"queue and by the time at which they were accepted. Then tell for how long serving tasks\n" +
			"were over their targets and long-running tasks were down, added up over the tasks,\n" +
			"by reason.",
		Example: "  $ jacinthtrail explain day --from bal-1.log --from dbn-3.log\n" +
			"  $ cat *.log | jacinthtrail explain day --from - --span 1m --json",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := opts.check(cmd); err != nil {
				return err
			}
			return runF(cmd.Context(), opts)
		},
	}
	logfiles.AddFlag(cmd, &opts.From)
	cmd.Flags().DurationVar(&opts.Span, "span", defaultSpan, "length of the time spans by which jobs are grouped")
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
	if o.Span <= 0 {
		findings.Add("span", fmt.Sprintf("%s is not positive", o.Span), "give a duration such as 5s")
	}
	return findings.Err()
}

func run(_ context.Context, opts *Options) error {
	lines, err := logfiles.Read(opts.Factory.IO, opts.From)
	if err != nil {
		return err
	}
	summary := diagnosis.Summarize(lines, opts.Span)
	if opts.JSON {
		return operatorflags.PrintJSON(opts.Factory.IO.Out, summary)
	}
	return printSummary(opts.Factory.IO.Out, summary)
}

// outcomes are the columns of the table, best first.
var outcomes = []diagnosis.Outcome{
	diagnosis.InTime, diagnosis.Late, diagnosis.Worthless, diagnosis.GivenUp,
	diagnosis.TurnedAway, diagnosis.Withdrawn, diagnosis.Open,
}

func printSummary(out io.Writer, summary diagnosis.Summary) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprint(table, "Jobs\tAll")
	for _, outcome := range outcomes {
		fmt.Fprintf(table, "\t%s", outcome)
	}
	fmt.Fprintln(table, "\tSeconds lost, and jobs that lost most by it")
	printGroup(table, summary.All)
	for _, g := range summary.Queues {
		printGroup(table, g)
	}
	for _, g := range summary.Spans {
		printGroup(table, g)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	if err := printReasons(out, "serving tasks over their targets", summary.OverTarget); err != nil {
		return err
	}
	if err := printReasons(out, "long-running tasks down", summary.Down); err != nil {
		return err
	}
	for _, r := range summary.Latest {
		fmt.Fprintf(out, "%s took %v, objective %v: %s\n", r.Job, r.Took, r.Objective, mainCause(r))
	}
	return nil
}

// printReasons prints the time that long-running tasks lost, in total and by reason.
func printReasons(out io.Writer, title string, reasons []diagnosis.ReasonTotal) error {
	if len(reasons) == 0 {
		return nil
	}
	total := time.Duration(0)
	for _, r := range reasons {
		total += r.Lost
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(table, "%.1f s\t\t  %s\n", total.Seconds(), title)
	for _, r := range reasons {
		fmt.Fprintf(table, "%.1f s\t%d times\t  %s\n", r.Lost.Seconds(), r.Periods, r.Reason)
	}
	return table.Flush()
}

func printGroup(out io.Writer, g diagnosis.Group) {
	fmt.Fprintf(out, "%s\t%d", g.Name, g.Jobs)
	for _, o := range outcomes {
		fmt.Fprintf(out, "\t%d", g.Outcomes[o])
	}
	causes := make([]string, len(g.Causes))
	for i, c := range g.Causes {
		causes[i] = fmt.Sprintf("%s %.0f (%d)", c.Cause, c.Lost.Seconds(), c.First)
	}
	fmt.Fprintf(out, "\t%s\n", strings.Join(causes, ", "))
}

// mainCause describes the cause that cost a job the most time.
func mainCause(r diagnosis.Report) string {
	if len(r.Findings) == 0 {
		return "the log shows no cause"
	}
	f := r.Findings[0]
	return fmt.Sprintf("%s %v: %s", f.Cause, f.Lost.Round(time.Millisecond), f.Facts)
}
