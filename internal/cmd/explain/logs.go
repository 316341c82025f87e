package explain

import (
	"fmt"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/cmd/logfiles"
	"github.com/jacinthtrail/jacinthtrail/internal/cmd/operatorflags"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/diagnosis"
)

// runFromLogs explains a job from log files of entry instances.
func runFromLogs(opts *Options) error {
	lines, err := logfiles.Read(opts.Factory.IO, opts.From)
	if err != nil {
		return err
	}
	report := diagnosis.Explain(lines, opts.ID)
	out := opts.Factory.IO.Out
	if opts.JSON {
		return operatorflags.PrintJSON(out, report)
	}
	fmt.Fprintf(out, "job %s %s took %v, objective %v\n", report.Job, report.State, report.Took, report.Objective)
	for _, f := range report.Findings {
		fmt.Fprintf(out, "%s %v: %s\n", f.Cause, f.Lost.Round(time.Millisecond), f.Facts)
	}
	for _, l := range report.Lines {
		fmt.Fprintf(out, "  %s\n", l.String())
	}
	return nil
}
