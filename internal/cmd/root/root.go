// Package root has the root command with all subcommands.
package root

import (
	"context"
	"fmt"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/jacinthtrail/jacinthtrail/internal/cmd/factory"
)

// Exit codes of the program.
const (
	ExitOK    = 0
	ExitError = 1
)

// NewCommand returns the root command with every subcommand attached.
func NewCommand(f *factory.Factory) *cobra.Command {
	cmd := &cobra.Command{
		Use:           "jacinthtrail <command> [flags]",
		Short:         "Schedule latency-critical services and batch tasks on shared instances",
		Example:       "  $ jacinthtrail demo\n  $ jacinthtrail manifest check examples/umhlanga.json",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	cmd.SetIn(f.IO.In)
	cmd.SetOut(f.IO.Out)
	cmd.SetErr(f.IO.ErrOut)
	addCommands(cmd, f)
	return cmd
}

// Execute runs the command line of the process and prints its error, if any.
// SIGINT and SIGTERM cancel the command's context, which starts a graceful stop.
func Execute(f *factory.Factory) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	err := NewCommand(f).ExecuteContext(ctx)
	if err != nil {
		fmt.Fprintf(f.IO.ErrOut, "jacinthtrail: %v\n", err)
	}
	return err
}

// ExitCode maps the error of Execute to the exit code of the process.
func ExitCode(err error) int {
	if err != nil {
		return ExitError
	}
	return ExitOK
}
