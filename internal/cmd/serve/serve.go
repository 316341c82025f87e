// Package serve has the command that runs an entry instance.
package serve

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime/debug"
	"time"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
	"github.com/jacinthtrail/jacinthtrail/internal/cmd/factory"
	"github.com/jacinthtrail/jacinthtrail/internal/cmd/settings"
	"github.com/jacinthtrail/jacinthtrail/internal/entry/instance"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// Options are the settings of the command.
type Options struct {
	Factory  *factory.Factory
	Settings instance.Settings
	LogLevel string
	// MemoryGiven is set if the memory was given and isn't the default.
	MemoryGiven bool
}

const (
	// memoryLimitPercent of the memory that is given is the soft memory limit of the process.
	memoryLimitPercent = 70
	memoryFlag         = "memory-mb"
)

// NewCmd returns the command. Tests replace its run function with runF.
func NewCmd(f *factory.Factory, runF func(context.Context, *Options) error) *cobra.Command {
	opts := &Options{Factory: f}
	if runF == nil {
		runF = run
	}
	var id, zone, region string
	var memoryMB int64
	cmd := &cobra.Command{
		Use:   "serve",
		Short: "Run an entry instance",
		Long: "Run an entry instance. Every flag can also be given as an environment variable, " +
			"for example JACINTHTRAIL_CALLER_ADDRESS for --caller-address. The command prints the addresses " +
			"that it listens on as one line of JSON. SIGTERM starts a graceful stop.",
		Example: "  $ jacinthtrail serve --id entry-1 --zone kzn-dbn --region kzn --platform 127.0.0.1:7400",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := settings.Apply(cmd, f.LookupEnv); err != nil {
				return err
			}
			opts.Settings.ID = membership.InstanceID(id)
			opts.Settings.Zone = membership.Zone(zone)
			opts.Settings.Region = membership.Region(region)
			opts.Settings.Memory = resource.Bytes(memoryMB) << 20
			opts.MemoryGiven = cmd.Flags().Changed(memoryFlag)
			if err := opts.check(); err != nil {
				return err
			}
			return runF(cmd.Context(), opts)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&id, "id", "", "`id` of the instance; a replacement needs a new ID")
	flags.StringVar(&zone, "zone", "", "availability `zone` of the instance")
	flags.StringVar(&region, "region", "", "`region` of the instance")
	flags.StringVar(&opts.Settings.CallerAddress, "caller-address", "127.0.0.1:7401", "`address` for callers")
	flags.StringVar(&opts.Settings.OperatorAddress, "operator-address", "127.0.0.1:7402", "`address` for operators")
	flags.StringVar(&opts.Settings.PeerAddress, "peer-address", "127.0.0.1:7403", "`address` for other entry instances")
	flags.StringVar(&opts.Settings.PeerAnnounceAddress, "announce-peer-address", "", "`address` that other entry instances are told to use, if it differs from the peer address")
	flags.StringVar(&opts.Settings.Platform, "platform", "127.0.0.1:7400", "`address` of the platform's services")
	flags.StringSliceVar(&opts.Settings.Peers, "peers", nil, "peer `addresses` of other entry instances to ask when the platform can't be reached")
	flags.Int64Var(&memoryMB, memoryFlag, int64(instance.DefaultMemory>>20), "memory of the process in `MB`, from which the memory for requests and connections is derived")
	flags.IntVar(&opts.Settings.Descriptors, "file-descriptors", 0, "`number` of file descriptors of the process, from which the number of connections is derived; 0 for what the system allows")
	flags.DurationVar(&opts.Settings.UnreadyDelay, "unready-delay", instance.DefaultUnreadyDelay, "`time` for which a stopping instance still serves new requests, so that the load balancer removes it first")
	flags.DurationVar(&opts.Settings.DrainTimeout, "drain-timeout", 0, "longest `time` of a graceful stop, including the wait for requests and feeds in flight; 0s for the longest that the manifest allows")
	flags.StringVar(&opts.LogLevel, "log-level", "info", "lowest `level` that is logged: debug, info, warn or error")
	return cmd
}

func (o *Options) check() error {
	var findings settings.Findings
	o.Settings.Check(findings.Add)
	if _, err := zerolog.ParseLevel(o.LogLevel); err != nil {
		findings.Add("log-level", fmt.Sprintf("%q is not a level", o.LogLevel), "use debug, info, warn or error")
	}
	return findings.Err()
}

func run(ctx context.Context, opts *Options) error {
	level, err := zerolog.ParseLevel(opts.LogLevel)
	if err != nil {
		return err
	}
	log := zerolog.New(opts.Factory.IO.ErrOut).Level(level).With().
		Timestamp().Str("Instance", string(opts.Settings.ID)).Str("Zone", string(opts.Settings.Zone)).Logger()
	zerolog.TimeFieldFormat = time.RFC3339Nano
	if opts.MemoryGiven && opts.Settings.Memory > 0 {
		debug.SetMemoryLimit(int64(opts.Settings.Memory) / 100 * memoryLimitPercent)
	}
	entry, err := instance.Listen(opts.Settings, opts.Factory.Clock, log)
	if err != nil {
		return err
	}
	if err := json.NewEncoder(opts.Factory.IO.Out).Encode(entry.Addresses()); err != nil {
		return err
	}
	return entry.Run(ctx)
}
