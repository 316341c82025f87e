// Package serveplatform has the command that runs an entry instance on the users'
// platform.
package serveplatform

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"github.com/jacinthtrail/jacinthtrail/internal/cmd/factory"
	"github.com/jacinthtrail/jacinthtrail/internal/cmd/settings"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/mechanism"
	"github.com/jacinthtrail/jacinthtrail/platform"
)

// Options are the settings of the command.
type Options struct {
	Factory *factory.Factory
	// Config is the path of the platform's settings file.
	Config   string
	LogLevel string
	// LeaseTerm is how long a worker runs its tasks without a renewal of its lease.
	LeaseTerm time.Duration
	// PeerAnnounceAddress is the address that other instances are told to use; empty for the
	// peer address of the settings file.
	PeerAnnounceAddress string
	// Disable has the names of the parts of the scheduling policy that aren't used, Enable those of the parts
	// that are used although they are off by default, and Disabled the set of all that aren't used.
	Disable  []string
	Enable   []string
	Disabled mechanism.Set
	// MetricsPort is the port that serves counters and latencies as text; 0 for none.
	MetricsPort int
}

// defaultLeaseTerm is long enough for another instance to replace a lost owner. It also
// limits how long the tasks of a lost worker wait before they can start elsewhere.
const defaultLeaseTerm = 4500 * time.Millisecond

const maxPort = 65535

// NewCmd returns the command. Tests replace its run function with runF.
func NewCmd(f *factory.Factory, runF func(context.Context, *Options) error) *cobra.Command {
	opts := &Options{Factory: f}
	if runF == nil {
		runF = run
	}
	cmd := &cobra.Command{
		Use:   "serve-platform",
		Short: "Run an entry instance on the users' platform",
		Long: "Run an entry instance on the users' platform. The platform's settings file has its addresses and limits. " +
			"Every flag can also be given as an environment variable, for example JACINTHTRAIL_LOG_LEVEL for " +
			"--log-level. SIGTERM starts a graceful stop.",
		Example: "  $ jacinthtrail serve-platform --config /etc/jacinthtrail/settings.toml\n" +
			"  $ jacinthtrail serve-platform --config /etc/jacinthtrail/settings.toml --disable Preemption,Stragglers",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := settings.Apply(cmd, f.LookupEnv); err != nil {
				return err
			}
			if err := opts.check(); err != nil {
				return err
			}
			return runF(cmd.Context(), opts)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&opts.Config, "config", "", "`path` of the platform's settings file")
	flags.StringVar(&opts.LogLevel, "log-level", "info", "lowest `level` that is logged: debug, info, warn or error")
	flags.DurationVar(&opts.LeaseTerm, "lease-term", defaultLeaseTerm, "`time` for which a worker runs its tasks without a renewal of its lease")
	flags.StringVar(&opts.PeerAnnounceAddress, "announce-peer-address", "", "`address` that other entry instances are told to use, if it differs from the peer address")
	flags.StringSliceVar(&opts.Enable, "enable", nil, "comma-separated `names` of parts of the scheduling policy that are used although they are off by default")
	flags.StringSliceVar(&opts.Disable, "disable", nil, "comma-separated `names` of parts of the scheduling policy that aren't used; a wrong name lists all of them")
	flags.IntVar(&opts.MetricsPort, "metrics-port", 0, "`port` that serves counters and latencies as text; 0 for none")
	return cmd
}

func (o *Options) check() error {
	var findings settings.Findings
	if o.Config == "" {
		findings.Add("config", "it is empty", "give the path of the platform's settings file")
	}
	if _, err := zerolog.ParseLevel(o.LogLevel); err != nil {
		findings.Add("log-level", fmt.Sprintf("%q is not a level", o.LogLevel), "use debug, info, warn or error")
	}
	if o.MetricsPort < 0 || o.MetricsPort > maxPort {
		findings.Add("metrics-port", "it is not a port number", "give a number from 0 to 65535")
	}
	disabled, err := mechanism.Parse(o.Disable)
	if err != nil {
		findings.Add("disable", err.Error(), "give names from that list, separated by commas")
	}
	enabled, err := mechanism.Parse(o.Enable)
	if err != nil {
		findings.Add("enable", err.Error(), "give names from that list, separated by commas")
	}
	o.Disabled = mechanism.OffByDefault().Without(enabled).Union(disabled)
	if o.LeaseTerm < time.Second {
		findings.Add("lease-term", "it is shorter than the replacement of a lost owner", "give 1s or more")
	}
	return findings.Err()
}

func run(ctx context.Context, opts *Options) error {
	s, err := platform.ReadSettings(opts.Config)
	if err != nil {
		return err
	}
	p, err := listen(opts, s)
	if err != nil {
		return err
	}
	err = p.run(ctx)
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}
