package explain

import (
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/cmd/operatorflags"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/diagnosis"
)

// standardInput is the name that stands for it among the files.
const standardInput = "-"

// runFromLogs explains a job from the log lines of all instances.
func runFromLogs(opts *Options) error {
	lines, err := readLogs(opts)
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

// readLogs reads all files, and reports all that can't be read.
func readLogs(opts *Options) ([]diagnosis.Line, error) {
	var all []diagnosis.Line
	var errs []error
	for _, name := range opts.From {
		lines, left, err := readLog(opts, name)
		if err != nil {
			errs = append(errs, fmt.Errorf("--from %s: %w", name, err))
		}
		if left > 0 {
			fmt.Fprintf(opts.Factory.IO.ErrOut, "%s: left out %d lines that are no log lines\n", name, left)
		}
		all = append(all, lines...)
	}
	slices.SortStableFunc(all, func(a, b diagnosis.Line) int { return a.Time.Compare(b.Time) })
	return all, errors.Join(errs...)
}

func readLog(opts *Options, name string) ([]diagnosis.Line, int, error) {
	var in io.Reader = opts.Factory.IO.In
	if name != standardInput {
		file, err := os.Open(name)
		if err != nil {
			return nil, 0, err
		}
		defer file.Close()
		in = file
	}
	return diagnosis.Read(in)
}
