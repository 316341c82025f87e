// Package manifestcheck has the command that checks a manifest.
package manifestcheck

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"github.com/jacinthtrail/jacinthtrail/internal/cmd/factory"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/manifest"
)

// stdin is the file name that means standard input.
const stdin = "-"

// ErrFindings means that the manifest has findings. The command has already printed
// them.
var ErrFindings = errors.New("the manifest has findings")

// Options are the checked settings of the command.
type Options struct {
	In  io.Reader
	Out io.Writer
	// File is the path of the manifest, or - for In.
	File string
	// JSON prints a Report instead of lines.
	JSON bool
}

// Report is the JSON output.
type Report struct {
	File     string
	Findings manifest.Findings
}

// NewCmd returns the command. Tests replace Run with runF.
func NewCmd(f *factory.Factory, runF func(context.Context, *Options) error) *cobra.Command {
	if runF == nil {
		runF = Run
	}
	opts := &Options{In: f.IO.In, Out: f.IO.Out}
	cmd := &cobra.Command{
		Use:   "check FILE",
		Short: "Check a manifest and print all findings",
		Long: "Check a manifest and print all findings, each with its place and a fix. " +
			"FILE may be - for standard input. The exit code is 0 only if there are no findings.",
		Example: "  $ jacinthtrail manifest check examples/umhlanga.json\n" +
			"  $ generate-manifest | jacinthtrail manifest check - --json",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			opts.File = args[0]
			return runF(cmd.Context(), opts)
		},
	}
	cmd.Flags().BoolVar(&opts.JSON, "json", false, "print the findings as JSON")
	return cmd
}

// Run checks the manifest and prints the findings. It fails with ErrFindings if
// there are any.
func Run(_ context.Context, opts *Options) error {
	findings, err := check(opts)
	if err != nil {
		return err
	}
	if err := opts.print(findings); err != nil {
		return err
	}
	if len(findings) > 0 {
		return fmt.Errorf("%s: %w: %d", opts.File, ErrFindings, len(findings))
	}
	return nil
}

// check returns the findings, or an error if the file can't be read.
func check(opts *Options) (manifest.Findings, error) {
	file, err := opts.open()
	if err != nil {
		return nil, err
	}
	defer file.Close()
	m, err := manifest.Decode(file, manifest.MaxSize)
	var findings manifest.Findings
	if errors.As(err, &findings) {
		return findings, nil
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", opts.File, err)
	}
	return manifest.Check(m), nil
}

func (o *Options) open() (io.ReadCloser, error) {
	if o.File == stdin {
		return io.NopCloser(o.In), nil
	}
	return os.Open(o.File)
}

func (o *Options) print(findings manifest.Findings) error {
	if o.JSON {
		report := Report{File: o.File, Findings: findings}
		if findings == nil {
			report.Findings = manifest.Findings{}
		}
		encoder := json.NewEncoder(o.Out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(report)
	}
	if len(findings) == 0 {
		_, err := fmt.Fprintf(o.Out, "%s: no findings\n", o.File)
		return err
	}
	for _, finding := range findings {
		if _, err := fmt.Fprintf(o.Out, "%s: %s\n", o.File, finding); err != nil {
			return err
		}
	}
	return nil
}
