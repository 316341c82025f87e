// Package configurationcheck has the command that checks a configuration of the users' platform.
package configurationcheck

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"github.com/jacinthtrail/jacinthtrail/internal/cmd/factory"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/configuration"
	"github.com/jacinthtrail/jacinthtrail/platform"
)

// stdin is the file name that means standard input.
const stdin = "-"

// maxFileBytes limits the size of a file that is read.
const maxFileBytes = 16 << 20

// ErrFindings means that the configuration has findings. The command has already printed them.
var ErrFindings = errors.New("the configuration has findings")

// Options are the checked settings of the command.
type Options struct {
	In  io.Reader
	Out io.Writer
	// File is the path of the configuration, or - for In.
	File string
	// Against is the path of the configuration in force. If it is empty, nothing is compared.
	Against string
	// JSON prints a Report instead of lines.
	JSON bool
}

// Finding is a fault of the configuration in the JSON output.
type Finding struct {
	Place   string
	Problem string
	Fix     string
}

// Change is a difference from the configuration in force in the JSON output. Before or After is empty if an
// entry was added or removed.
type Change struct {
	Place  string
	Before string `json:",omitempty"`
	After  string `json:",omitempty"`
	Effect string `json:",omitempty"`
	// isEntry reports that a whole entry was added or removed.
	isEntry bool
}

// Report is the JSON output.
type Report struct {
	File     string
	Findings []Finding
	Changes  []Change `json:",omitempty"`
}

// NewCmd returns the command. Tests replace Run with runF.
func NewCmd(f *factory.Factory, runF func(context.Context, *Options) error) *cobra.Command {
	if runF == nil {
		runF = Run
	}
	opts := &Options{In: f.IO.In, Out: f.IO.Out}
	cmd := &cobra.Command{
		Use:   "check FILE",
		Short: "Check a configuration of the users' platform before it is published",
		Long: "Check a configuration of the users' platform and print all findings, each with its place and a fix: errors, " +
			"entries that no request or task can reach, and limits that contradict each other. With --against, also print " +
			"what differs from the configuration in force. FILE may be - for standard input. The exit code is 0 only if " +
			"there are no findings; differences alone are none.",
		Example: "  $ jacinthtrail configuration check next.json\n" +
			"  $ jacinthtrail configuration check next.json --against in-force.json --json",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			opts.File = args[0]
			return runF(cmd.Context(), opts)
		},
	}
	cmd.Flags().StringVar(&opts.Against, "against", "", "compare with the configuration in force in this `file`")
	cmd.Flags().BoolVar(&opts.JSON, "json", false, "print the findings and differences as JSON")
	return cmd
}

// Run checks the configuration and prints the findings and differences. It fails with ErrFindings if there
// are findings.
func Run(_ context.Context, opts *Options) error {
	if opts.File == stdin && opts.Against == stdin {
		return errors.New("only one of FILE and --against can be standard input")
	}
	report, err := opts.check()
	if err != nil {
		return err
	}
	if err := opts.print(&report); err != nil {
		return err
	}
	if len(report.Findings) > 0 {
		return fmt.Errorf("%s: %w: %d", opts.File, ErrFindings, len(report.Findings))
	}
	return nil
}

// check reads the files and returns the findings and differences.
func (o *Options) check() (Report, error) {
	next, err := o.read(o.File)
	if err != nil {
		return Report{}, err
	}
	report := Report{File: o.File, Findings: []Finding{}}
	for _, f := range configuration.Check(&next) {
		report.Findings = append(report.Findings, Finding{Place: platform.PlaceName(f.Place), Problem: f.Problem, Fix: f.Fix})
	}
	if o.Against == "" {
		return report, nil
	}
	inForce, err := o.read(o.Against)
	if err != nil {
		return Report{}, err
	}
	for _, c := range configuration.Compare(&inForce, &next) {
		report.Changes = append(report.Changes, Change{
			Place: platform.ChangeName(c), Before: c.Before, After: c.After, Effect: c.Effect, isEntry: c.Field == configuration.FieldNone,
		})
	}
	return report, nil
}

// read decodes a configuration. Its error names the file.
func (o *Options) read(file string) (configuration.Draft, error) {
	in := io.NopCloser(o.In)
	if file != stdin {
		opened, err := os.Open(file)
		if err != nil {
			return configuration.Draft{}, err
		}
		in = opened
	}
	defer in.Close()
	content, err := io.ReadAll(io.LimitReader(in, maxFileBytes+1))
	if err != nil {
		return configuration.Draft{}, fmt.Errorf("%s: %w", file, err)
	}
	if len(content) > maxFileBytes {
		return configuration.Draft{}, fmt.Errorf("%s: the file is larger than %d bytes", file, maxFileBytes)
	}
	d, err := platform.DecodeDraft(content)
	if err != nil {
		return configuration.Draft{}, fmt.Errorf("%s: %w", file, err)
	}
	return d, nil
}

func (o *Options) print(r *Report) error {
	if o.JSON {
		encoder := json.NewEncoder(o.Out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(r)
	}
	if len(r.Findings) == 0 {
		if _, err := fmt.Fprintf(o.Out, "%s: no findings\n", r.File); err != nil {
			return err
		}
	}
	for _, f := range r.Findings {
		if _, err := fmt.Fprintf(o.Out, "%s: %s: %s; %s\n", r.File, f.Place, f.Problem, f.Fix); err != nil {
			return err
		}
	}
	for _, c := range r.Changes {
		if _, err := fmt.Fprintln(o.Out, c.line()); err != nil {
			return err
		}
	}
	return nil
}

// line formats the change as one line: + for an added entry, - for a removed one, ~ for a changed setting.
func (c *Change) line() string {
	line := ""
	switch {
	case c.isEntry && c.Before == "":
		line = fmt.Sprintf("+ %s: %s", c.Place, c.After)
	case c.isEntry:
		line = fmt.Sprintf("- %s: %s", c.Place, c.Before)
	default:
		line = fmt.Sprintf("~ %s: %q -> %q", c.Place, c.Before, c.After)
	}
	if c.Effect != "" {
		line += "; " + c.Effect
	}
	return line
}
