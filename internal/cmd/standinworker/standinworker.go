// Package standinworker has the command that runs a stand-in worker.
package standinworker

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"
	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	protocol "github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
	"github.com/jacinthtrail/jacinthtrail/internal/cmd/factory"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/object"
	"github.com/jacinthtrail/jacinthtrail/internal/standin/announce"
	"github.com/jacinthtrail/jacinthtrail/internal/standin/httpserver"
	"github.com/jacinthtrail/jacinthtrail/internal/standin/worker"
)

// Options are the checked flags of the command.
type Options struct {
	Factory *factory.Factory
	// Instance is the instance to announce. Its address is set once the worker listens.
	Instance membership.Instance
	// Address is the host:port to listen on.
	Address string
	// Platform is the host:port of the platform; empty for a worker that isn't announced
	// and has no object store.
	Platform string
	// AnnounceAddress is the host:port to announce, for example that of a proxy; empty
	// for the one that the process listens on.
	AnnounceAddress string
	// UsageLag is the age of a usage sample when it is first reported.
	UsageLag time.Duration
	// JournalFile is the file to which the journal is appended as JSON lines; empty for
	// none.
	JournalFile string
}

// NewCmd returns the command. Tests replace its run function with runF.
func NewCmd(f *factory.Factory, runF func(context.Context, *Options) error) *cobra.Command {
	options := &Options{Factory: f, Instance: membership.Instance{Kind: membership.Worker, State: membership.Live}}
	cmd := &cobra.Command{
		Use:     "worker",
		Short:   "Run a stand-in worker that simulates batch tasks",
		Example: "  $ jacinthtrail standin worker --id w1 --zone hakata --processors 32000 --memory 125000000000 --platform 127.0.0.1:7000",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := options.check(); err != nil {
				return err
			}
			if runF != nil {
				return runF(cmd.Context(), options)
			}
			return run(cmd.Context(), options)
		},
	}
	options.addFlags(cmd)
	return cmd
}

func (o *Options) addFlags(cmd *cobra.Command) {
	flags := cmd.Flags()
	flags.StringVar(&o.Address, "address", "127.0.0.1:0", "host:port to listen on")
	flags.StringVar((*string)(&o.Instance.ID), "id", "", "instance ID")
	flags.StringVar((*string)(&o.Instance.Zone), "zone", "", "availability zone")
	flags.StringVar((*string)(&o.Instance.Region), "region", "", "region")
	flags.StringVar((*string)(&o.Instance.Rack), "rack", "", "rack")
	capacity := &o.Instance.Capacity
	flags.Int64Var((*int64)(&capacity.Processors), "processors", 16000, "capacity in thousandths of a processor")
	flags.Int64Var((*int64)(&capacity.Memory), "memory", 60e9, "bytes of memory")
	flags.Int64Var((*int64)(&capacity.Accelerators), "accelerators", 0, "accelerators")
	flags.StringVar(&o.Platform, "platform", "", "host:port of the platform")
	flags.StringVar(&o.AnnounceAddress, "announce-address", "", "host:port to announce (default: the one that the process listens on)")
	flags.DurationVar(&o.UsageLag, "usage-lag", worker.DefaultUsageLag, "age of a usage sample when it is first reported")
	flags.StringVar(&o.JournalFile, "journal-file", "", "file to append the journal to")
}

func (o *Options) check() error {
	var findings []error
	if o.Instance.ID == "" {
		findings = append(findings, errors.New("--id is missing"))
	}
	if o.Instance.Zone == "" {
		findings = append(findings, errors.New("--zone is missing"))
	}
	capacity := o.Instance.Capacity
	if capacity.Processors < 0 || capacity.Memory < 0 || capacity.Accelerators < 0 {
		findings = append(findings, errors.New("--processors, --memory and --accelerators must not be negative"))
	}
	if o.UsageLag <= 0 {
		findings = append(findings, errors.New("--usage-lag must be positive"))
	}
	return errors.Join(findings...)
}

func run(ctx context.Context, o *Options) (err error) {
	w := newWorker(o)
	if o.JournalFile != "" {
		file, err := os.OpenFile(o.JournalFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return fmt.Errorf("open journal file: %w", err)
		}
		defer file.Close()
		w.Journal.Sink = file
	}
	listener, err := httpserver.Listen(ctx, o.Address, o.Factory.IO.Out)
	if err != nil {
		return err
	}
	instance := o.Instance
	instance.Address = listener.Addr().String()
	if o.AnnounceAddress != "" {
		instance.Address = o.AnnounceAddress
	}
	loop := announce.Loop{
		Clock:    o.Factory.Clock,
		Instance: func() membership.Instance { return w.Describe(instance) },
		Log:      zerolog.New(o.Factory.IO.ErrOut),
	}
	if o.Platform != "" {
		loop.Announcer = announce.HTTP{Platform: o.Platform}
	}
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() error { return w.Run(groupCtx) })
	group.Go(func() error { return loop.Run(groupCtx) })
	group.Go(func() error { return httpserver.Serve(groupCtx, listener, &http.Server{Handler: w.Handler()}) })
	return group.Wait()
}

func newWorker(o *Options) *worker.Worker {
	w := &worker.Worker{
		ID:          o.Instance.ID,
		Capacity:    o.Instance.Capacity,
		Clock:       o.Factory.Clock,
		UsageLag:    o.UsageLag,
		Incarnation: uuid.NewString(),
		// Counters that start with the time in milliseconds keep rising across restarts,
		// because a worker sends fewer than 1000 answers per second.
		FirstCounter: protocol.Counter(o.Factory.Clock.Now().UnixMilli()),
	}
	if o.Platform != "" {
		w.ObjectStore = object.Client{Address: o.Platform}
	}
	return w
}
