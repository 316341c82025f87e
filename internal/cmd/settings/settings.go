// Package settings reads settings from flags and environment variables.
package settings

import (
	"errors"
	"fmt"
	"strings"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
)

// variablePrefix is the prefix of the environment variables.
const variablePrefix = "JACINTHTRAIL_"

// Variable returns the environment variable of a flag: JACINTHTRAIL_ and the
// flag's name in capitals with underscores.
func Variable(flag string) string {
	return variablePrefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// Apply sets each flag that was not given on the command line from its
// environment variable. Its error has all values that can't be parsed.
func Apply(cmd *cobra.Command, lookup func(string) (string, bool)) error {
	var findings []error
	cmd.Flags().VisitAll(func(flag *pflag.Flag) {
		if flag.Changed || flag.Name == "help" {
			return
		}
		value, ok := lookup(Variable(flag.Name))
		if !ok {
			return
		}
		if err := cmd.Flags().Set(flag.Name, value); err != nil {
			findings = append(findings, fmt.Errorf("%s: %w", Variable(flag.Name), err))
		}
	})
	return errors.Join(findings...)
}

// Findings collects problems with settings, each with its flag and how to fix it.
// The zero value is empty.
type Findings struct {
	errs []error
}

// Add adds a problem with the flag of the given name.
func (f *Findings) Add(flag, problem, fix string) {
	f.errs = append(f.errs, fmt.Errorf("--%s (%s): %s; %s", flag, Variable(flag), problem, fix))
}

// Err returns all findings as one error, or nil if there are none.
func (f *Findings) Err() error {
	return errors.Join(f.errs...)
}
