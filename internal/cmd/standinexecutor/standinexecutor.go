// Package standinexecutor has the command that runs a stand-in executor.
package standinexecutor

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"github.com/jacinthtrail/jacinthtrail/internal/cmd/factory"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
	"github.com/jacinthtrail/jacinthtrail/internal/standin/announce"
	"github.com/jacinthtrail/jacinthtrail/internal/standin/executor"
	"github.com/jacinthtrail/jacinthtrail/internal/standin/httpserver"
)

// Options are the checked flags of the command.
type Options struct {
	Factory *factory.Factory
	// Instance is the instance to announce. Its address is set once the executor listens.
	Instance membership.Instance
	// Address is the host:port to listen on.
	Address string
	// Platform is the host:port of the platform; empty for an executor that isn't
	// announced.
	Platform string
	// HostAddress is the host:port of the worker on the executor's instance, to which
	// the executor reports its usage each second; empty for none.
	HostAddress string
	// AnnounceAddress is the host:port to announce, for example that of a proxy; empty
	// for the one that the process listens on.
	AnnounceAddress string
	// JournalFile is the file to which the journal is appended as JSON lines; empty for
	// none.
	JournalFile string
}

// NewCmd returns the command. Tests replace its run function with runF.
func NewCmd(f *factory.Factory, runF func(context.Context, *Options) error) *cobra.Command {
	options := &Options{Factory: f, Instance: membership.Instance{Kind: membership.Executor, State: membership.Live}}
	cmd := &cobra.Command{
		Use:     "executor",
		Short:   "Run a stand-in executor that answers service requests",
		Example: "  $ jacinthtrail standin executor --id e1 --zone hakata --host w1 --service kasa-lend --platform 127.0.0.1:7000",
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
	instance := &o.Instance
	flags.StringVar(&o.Address, "address", "127.0.0.1:0", "host:port to listen on")
	flags.StringVar((*string)(&instance.ID), "id", "", "instance ID")
	flags.StringVar((*string)(&instance.Zone), "zone", "", "availability zone")
	flags.StringVar((*string)(&instance.Region), "region", "", "region")
	flags.StringVar((*string)(&instance.Host), "host", "", "ID of the worker on the same instance")
	flags.StringVar(&instance.Service, "service", "", "name of the service")
	flags.IntVar(&instance.Slots, "slots", 8, "number of requests that run at the same time")
	flags.IntVar(&instance.Connections, "connections", 64, "number of requests and feeds in flight")
	flags.Int64Var((*int64)(&instance.Capacity.Processors), "processors", 0, "thousandths of a processor reserved on the host")
	flags.Int64Var((*int64)(&instance.Capacity.Memory), "memory", 0, "bytes of memory reserved on the host")
	flags.StringVar(&o.Platform, "platform", "", "host:port of the platform")
	flags.StringVar(&o.HostAddress, "host-address", "", "host:port of the worker to which the usage is reported")
	flags.StringVar(&o.AnnounceAddress, "announce-address", "", "host:port to announce (default: the one that the process listens on)")
	flags.StringVar(&o.JournalFile, "journal-file", "", "file to append the journal to")
}

func (o *Options) check() error {
	var findings []error
	for _, flag := range []struct{ name, value string }{
		{"id", string(o.Instance.ID)},
		{"zone", string(o.Instance.Zone)},
		{"service", o.Instance.Service},
	} {
		if flag.value == "" {
			findings = append(findings, fmt.Errorf("--%s is missing", flag.name))
		}
	}
	if o.Instance.Slots <= 0 || o.Instance.Connections <= 0 {
		findings = append(findings, errors.New("--slots and --connections must be positive"))
	}
	return errors.Join(findings...)
}

func run(ctx context.Context, o *Options) error {
	e := &executor.Executor{
		ID:          o.Instance.ID,
		Service:     o.Instance.Service,
		Slots:       o.Instance.Slots,
		Connections: o.Instance.Connections,
		Clock:       o.Factory.Clock,
	}
	if o.JournalFile != "" {
		file, err := os.OpenFile(o.JournalFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return fmt.Errorf("open journal file: %w", err)
		}
		defer file.Close()
		e.Journal.Sink = file
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
		Instance: func() membership.Instance { return e.Describe(instance) },
		Log:      zerolog.New(o.Factory.IO.ErrOut),
	}
	loop.Announcer = o.announcer(e)
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() error { return loop.Run(groupCtx) })
	group.Go(func() error { return httpserver.Serve(groupCtx, listener, e.Server()) })
	return group.Wait()
}

// announcer returns the announcer that is called each second. It announces the executor
// to the platform and reports its usage to its host, if their addresses are given.
func (o *Options) announcer(e *executor.Executor) announce.Announcer {
	var list announcers
	if o.Platform != "" {
		list = append(list, announce.HTTP{Platform: o.Platform})
	}
	if o.HostAddress != "" {
		list = append(list, usageReporter{executor: e, host: o.HostAddress})
	}
	return list
}

// announcers calls several announcers.
type announcers []announce.Announcer

// Announce calls each announcer and joins their errors.
func (a announcers) Announce(ctx context.Context, instance membership.Instance) error {
	var errs []error
	for _, announcer := range a {
		errs = append(errs, announcer.Announce(ctx, instance))
	}
	return errors.Join(errs...)
}

// usageReporter posts the executor's usage to <host>/executors. It is an Announcer, so that
// it is called each second.
type usageReporter struct {
	executor *executor.Executor
	host     string
}

// Announce posts the usage since the last call.
func (u usageReporter) Announce(ctx context.Context, _ membership.Instance) error {
	body, err := json.Marshal(u.executor.Usage())
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+u.host+"/executors", bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	return response.Body.Close()
}
