// Package logfiles reads the logs of entry instances that a command is given.
package logfiles

import (
	"errors"
	"fmt"
	"io"
	"os"
	"slices"

	"github.com/spf13/cobra"

	"github.com/jacinthtrail/jacinthtrail/internal/cmd/factory"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/diagnosis"
)

// standardInput is the name that stands for it among the files.
const standardInput = "-"

// AddFlag adds the flag that names the files.
func AddFlag(cmd *cobra.Command, names *[]string) {
	cmd.Flags().StringArrayVar(names, "from", nil, "read the log `file` of an instance of serve-platform; repeat it for each, - is standard input")
}

// Read returns the lines of all files in the order of their times, and reports all files
// that can't be read.
func Read(io factory.IOStreams, names []string) ([]diagnosis.Line, error) {
	var all []diagnosis.Line
	var errs []error
	for _, name := range names {
		lines, left, err := read(io.In, name)
		if err != nil {
			errs = append(errs, fmt.Errorf("--from %s: %w", name, err))
		}
		if left > 0 {
			fmt.Fprintf(io.ErrOut, "%s: left out %d lines that are no log lines\n", name, left)
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
