// Package logfiles reads the log files of entry instances that are given to a command.
package logfiles

import (
	"errors"
	"fmt"
	"io"
	"os"
	"slices"

	"github.com/spf13/cobra"

	"github.com/jacinthtrail/jacinthtrail/internal/cmd/factory"
	"github.com/jacinthtrail/jacinthtrail/internal/cmd/settings"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/diagnosis"
)

// flagName is the name of the flag for the log files.
const flagName = "from"

// standardInput is the file name that means standard input.
const standardInput = "-"

// AddFlag adds the flag for the log files.
func AddFlag(cmd *cobra.Command, names *[]string) {
	cmd.Flags().StringArrayVar(names, flagName, nil, "read the log `file` of an instance of serve-platform; repeat the flag for several files, - is standard input")
}

// CheckNames adds a finding if no log file is given.
func CheckNames(findings *settings.Findings, names []string) {
	if len(names) == 0 {
		findings.Add(flagName, "no log file is given", "give the log file of each instance, or - for standard input")
	}
}

// Read returns the lines of all files, sorted by time. Its error has all files that can't
// be read.
func Read(streams factory.IOStreams, names []string) ([]diagnosis.Line, error) {
	var all []diagnosis.Line
	var errs []error
	for _, name := range names {
		lines, skipped, err := read(streams.In, name)
		if err != nil {
			errs = append(errs, fmt.Errorf("--%s %s: %w", flagName, name, err))
		}
		if skipped > 0 {
			fmt.Fprintf(streams.ErrOut, "%s: skipped %d lines that are not log lines\n", name, skipped)
		}
		all = append(all, lines...)
	}
	slices.SortStableFunc(all, func(a, b diagnosis.Line) int { return a.Time.Compare(b.Time) })
	return all, errors.Join(errs...)
}

func read(in io.Reader, name string) ([]diagnosis.Line, int, error) {
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
