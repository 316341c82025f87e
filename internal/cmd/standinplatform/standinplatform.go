// Package standinplatform has the command that runs a stand-in for the platform.
package standinplatform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/spf13/cobra"

	"github.com/jacinthtrail/jacinthtrail/internal/cmd/factory"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
	"github.com/jacinthtrail/jacinthtrail/internal/standin/platform"
)

// Options are the checked settings of the command.
type Options struct {
	Out   io.Writer
	Clock clockwork.Clock
	// Address is the host:port to listen on; port 0 picks a free one.
	Address string
	// AnnounceTerm is how long an instance stays on the membership list after an
	// announcement.
	AnnounceTerm time.Duration
}

// Listening is the line of JSON that the command prints once it accepts connections.
type Listening struct {
	Address string
}

// NewCmd returns the command. Tests replace Run with runF.
func NewCmd(f *factory.Factory, runF func(context.Context, *Options) error) *cobra.Command {
	if runF == nil {
		runF = Run
	}
	opts := &Options{Out: f.IO.Out, Clock: f.Clock}
	cmd := &cobra.Command{
		Use:     "platform",
		Short:   "Run a stand-in for the platform's table service, object store and membership list",
		Example: "  $ jacinthtrail standin platform --address 127.0.0.1:0",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := opts.check(); err != nil {
				return err
			}
			return runF(cmd.Context(), opts)
		},
	}
	cmd.Flags().StringVar(&opts.Address, "address", "127.0.0.1:0", "host:port to listen on")
	cmd.Flags().DurationVar(&opts.AnnounceTerm, "announce-term", membership.AnnounceTerm,
		"how long an instance stays on the membership list after an announcement")
	return cmd
}

func (o *Options) check() error {
	if _, _, err := net.SplitHostPort(o.Address); err != nil {
		return fmt.Errorf("--address: %w", err)
	}
	if o.AnnounceTerm <= 0 {
		return errors.New("--announce-term must be positive")
	}
	return nil
}

// Run listens, prints a Listening line and serves until ctx ends.
func Run(ctx context.Context, opts *Options) error {
	listener, err := net.Listen("tcp", opts.Address)
	if err != nil {
		return err
	}
	if err := json.NewEncoder(opts.Out).Encode(Listening{Address: listener.Addr().String()}); err != nil {
		return errors.Join(err, listener.Close())
	}
	server := platform.New(opts.Clock, platform.Settings{AnnounceTerm: opts.AnnounceTerm})
	return server.Serve(ctx, listener)
}
