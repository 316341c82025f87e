// Package manifestpublish has the command that publishes a manifest.
package manifestpublish

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/jacinthtrail/jacinthtrail/internal/cmd/factory"
	"github.com/jacinthtrail/jacinthtrail/internal/cmd/operatorflags"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/control"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/manifest"
)

// Options are the settings of the command.
type Options struct {
	operatorflags.Flags
	Factory *factory.Factory
	File    string
	// Base is the version that the manifest replaces; negative for the version in force
	// on the entry instance.
	Base int64
	// Wait is how long to wait until the version is in force everywhere.
	Wait   time.Duration
	Author string
}

// NewCmd returns the command. Tests replace its run function with runF.
func NewCmd(f *factory.Factory, runF func(context.Context, *Options) error) *cobra.Command {
	opts := &Options{Factory: f}
	if runF == nil {
		runF = run
	}
	cmd := &cobra.Command{
		Use:   "publish <file>",
		Short: "Publish a manifest and wait until it is in force everywhere",
		Long: "Publish a manifest and wait until it is in force on every entry instance. " +
			"If some instances don't report the version in time, the command fails and lists them; " +
			"the manifest stays accepted and comes into force there later.",
		Example: "  $ jacinthtrail manifest publish examples/umhlanga.json\n" +
			"  $ jacinthtrail manifest publish --base 41 - < manifest.json",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := opts.Check(cmd, f); err != nil {
				return err
			}
			opts.File = args[0]
			return runF(cmd.Context(), opts)
		},
	}
	opts.Add(cmd)
	cmd.Flags().Int64Var(&opts.Base, "base", -1, "`version` that this manifest replaces (default: the version in force)")
	cmd.Flags().DurationVar(&opts.Wait, "wait", control.DefaultWait, "time to wait until the version is in force everywhere")
	cmd.Flags().StringVar(&opts.Author, "author", operatorflags.Author(), "`name` to record with the change")
	return cmd
}

func run(ctx context.Context, opts *Options) error {
	m, err := readManifest(opts)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, opts.Timeout+opts.Wait)
	defer cancel()
	client := opts.Client()
	base := manifest.Version(opts.Base)
	if opts.Base < 0 {
		current, err := client.Manifest(ctx)
		if err != nil {
			return err
		}
		base = current.Version
	}
	answer, err := client.Publish(ctx, m, base, opts.Author, opts.Wait)
	if err != nil {
		return err
	}
	return printAnswer(opts, answer)
}

func readManifest(opts *Options) (manifest.Manifest, error) {
	var in io.Reader = opts.Factory.IO.In
	if opts.File != "-" {
		file, err := os.Open(opts.File)
		if err != nil {
			return manifest.Manifest{}, err
		}
		defer file.Close()
		in = file
	}
	m, err := manifest.Load(in)
	if err != nil {
		return manifest.Manifest{}, fmt.Errorf("%s: %w", opts.File, err)
	}
	return m, nil
}

// printAnswer prints the answer and returns an error if the version isn't in force
// everywhere.
func printAnswer(opts *Options, answer control.PublishAnswer) error {
	if opts.JSON {
		if err := operatorflags.PrintJSON(opts.Factory.IO.Out, answer); err != nil {
			return err
		}
	} else {
		fmt.Fprintf(opts.Factory.IO.Out, "version %d is in force on %d entry instances\n", answer.Version, len(answer.InForce))
	}
	if len(answer.Missing) == 0 {
		return nil
	}
	names := make([]string, len(answer.Missing))
	for i, id := range answer.Missing {
		names[i] = string(id)
	}
	return fmt.Errorf("version %d was accepted but is not yet reported by: %s", answer.Version, strings.Join(names, ", "))
}
