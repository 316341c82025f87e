package serveplatform

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"slices"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/jacinthtrail/jacinthtrail/internal/caller/intake"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
	"github.com/jacinthtrail/jacinthtrail/internal/entry/dispatcher"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/counter"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/logging"
	"github.com/jacinthtrail/jacinthtrail/internal/peer/entry"
	"github.com/jacinthtrail/jacinthtrail/platform"
)

const (
	// memoryLimitPercent of the instance's memory is the soft memory limit of the
	// process.
	memoryLimitPercent = 70
	// defaultMemoryBytes is the memory of a machine whose settings don't say it.
	defaultMemoryBytes = 256 << 20
	// gcPercent is the garbage collector's target. It is above the default of 100,
	// because processor time is scarcer than memory.
	gcPercent = 300
	// unreadyDelay is how long a stopping process still accepts new connections. The
	// load balancer checks readiness once a second and removes an instance after two
	// failed checks.
	unreadyDelay = 3200 * time.Millisecond
	// shutdownTimeout limits the wait for the requests in flight after unreadyDelay.
	shutdownTimeout = 2200 * time.Millisecond
)

// reloadInterval is how often the settings file is read again, because it may change
// without a SIGHUP.
const reloadInterval = 5 * time.Second

// process is a running entry instance.
type process struct {
	options *Options
	// reloadSignals receives SIGHUP, which means that the settings file has changed.
	// Without a handler, the signal would end the process.
	reloadSignals chan os.Signal
	settings      platform.Settings
	node          *dispatcher.Node
	peerServer    *entry.Server
	peerClient    *entry.Client
	counters      *counter.Set
	latencies     *counter.Histograms
	logs          *logging.Loggers
	log           zerolog.Logger
	stopping      atomic.Bool

	limits        intake.Limits
	callerServer  *http.Server
	readyServer   *http.Server
	metricsServer *http.Server
	listeners     map[*http.Server]net.Listener
	peerListener  net.Listener
}

// listen creates the servers and clients of the process and opens its addresses.
func listen(opts *Options, s platform.Settings) (*process, error) {
	p := &process{options: opts, reloadSignals: make(chan os.Signal, 1), settings: s, counters: &counter.Set{}, latencies: &counter.Histograms{}, listeners: map[*http.Server]net.Listener{}}
	signal.Notify(p.reloadSignals, syscall.SIGHUP)
	p.limitMemory()
	if err := p.openLog(opts); err != nil {
		return nil, err
	}
	p.limits = intake.NewLimits(p.machine())
	httpClient := platform.NewHTTPClient()
	clock := opts.Factory.Clock
	p.peerClient = entry.NewClient(entry.ClientOptions{
		Clock: clock, Counter: p.counters, Dial: dialPeer,
		DialTimeout: peerDialTimeout, BackoffLimit: peerBackoffLimit,
	})
	p.peerServer = entry.NewServer(entry.ServerOptions{Clock: clock, Counter: p.counters, MaxConnections: p.limits.PeerConnections, Budget: intake.NewBudget(p.limits.Messages)})
	var policy dispatcher.Policy
	if s.PolicyAddress != "" {
		policy = platform.PolicyClient{Address: s.PolicyAddress, HTTP: httpClient}
	}
	p.node = dispatcher.New(dispatcher.Options{
		Name: s.Instance, Zone: s.Zone, PeerAddress: cmp.Or(opts.PeerAnnounceAddress, s.PeerAddress), Seeds: s.Seeds, IsSeed: s.IsSeed, Cores: s.Cores,
		JobMemory: dispatch.MemoryLimit(p.limits.Jobs),
		LeaseTerm: min(opts.LeaseTerm, s.MaxLease), MaxLease: s.MaxLease, StopTimeout: s.StopTimeout, ChangeBound: s.ChangeBound, RemoteDurationFactor: s.RemoteDurationFactor, Disabled: opts.Disabled,
		Store:   platform.StoreClient{Address: s.StoreAddress, HTTP: httpClient},
		Workers: platform.WorkerClient{HTTP: httpClient, Counters: p.counters},
		Catalog: platform.Catalog{}, Policy: policy, Peers: p.peerClient, Counters: p.counters, Latencies: p.latencies,
		SuspendedTime: platform.SuspendedTime,
		Clock:         clock, Log: p.log, RoutineLog: p.logs.Routine,
	})
	p.node.Register(p.peerServer)
	return p, p.bind(opts)
}

const (
	// peerDialTimeout limits the time to open a connection to another instance.
	peerDialTimeout = 400 * time.Millisecond
	// peerBackoffLimit is the longest delay between attempts to reach another instance.
	// It is short so that restarted instances soon connect again.
	peerBackoffLimit = 500 * time.Millisecond
)

func dialPeer(ctx context.Context, address string) (net.Conn, error) {
	return platform.NewDialer().DialContext(ctx, "tcp", address)
}

// limitMemory configures the garbage collector for the memory of the instance.
func (p *process) limitMemory() {
	debug.SetGCPercent(gcPercent)
	if p.settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(p.settings.MemoryBytes / 100 * memoryLimitPercent)
	}
}

func (p *process) openLog(opts *Options) error {
	level, err := zerolog.ParseLevel(opts.LogLevel)
	if err != nil {
		return err
	}
	p.logs = logging.Open(opts.Factory.IO.Out, level, p.counters)
	p.logs.With("Instance", string(p.settings.Instance))
	p.log = p.logs.Important
	return nil
}

// bind opens all addresses. Its error has every address that can't be opened.
func (p *process) bind(opts *Options) error {
	var errs []error
	open := func(listen func(string) (net.Listener, error), address string) net.Listener {
		listener, err := listen(address)
		if err != nil {
			errs = append(errs, fmt.Errorf("listen on %s: %w", address, err))
		}
		return listener
	}
	budget := intake.NewBudget(p.limits.Requests)
	budget.LargestRequest = func() intake.Bytes { return platform.LargestSubmission(p.node.Configuration()) }
	callers := p.newPort("Callers", p.limits.CallerConnections, budget)
	callers.Limits = p.requestLimits
	p.callerServer = callers.NewServer(&platform.CallerHandler{
		Jobs: p.node, Clock: opts.Factory.Clock, Counters: p.counters, Log: p.log, Draining: p.stopping.Load,
	})
	p.listeners[p.callerServer] = callers.Listener(open(intake.Listen, p.settings.CallerAddress))
	internal := intake.NewBudget(p.limits.Internal)
	readiness := p.newPort("Readiness", p.limits.InternalConnections, internal)
	p.readyServer = readiness.NewServer(http.HandlerFunc(p.serveReady))
	p.listeners[p.readyServer] = readiness.Listener(open(intake.Listen, p.settings.ReadinessAddress))
	p.peerListener = open(intake.ListenForPeers, p.settings.PeerAddress)
	metrics := p.newPort("Metrics", p.limits.InternalConnections, internal)
	p.metricsServer = metrics.NewServer(counter.TextHandler{Counters: p.counters, Histograms: p.latencies})
	if opts.MetricsPort != 0 {
		p.listeners[p.metricsServer] = metrics.Listener(open(intake.Listen, net.JoinHostPort(p.settings.IP, strconv.Itoa(opts.MetricsPort))))
	}
	return errors.Join(errs...)
}

func (p *process) newPort(name string, maxConnections int, budget *intake.Budget) *intake.Port {
	return &intake.Port{
		Name: name, MaxConnections: maxConnections, Budget: budget,
		Counters: p.counters, Clock: p.options.Factory.Clock, Log: p.log,
	}
}

// requestLimits returns the limits of the operator's configuration in force.
func (p *process) requestLimits() intake.RequestLimits {
	c := p.node.Configuration()
	if c == nil {
		return intake.RequestLimits{}
	}
	return intake.RequestLimits{HeaderBytes: c.Limits.HeaderBytes, HeaderTimeout: c.Limits.HeaderTimeout, IdleTimeout: c.Limits.IdleTimeout}
}

// machine returns what the machine allows the process.
func (p *process) machine() intake.Machine {
	return intake.Machine{
		Memory:      intake.Bytes(cmp.Or(p.settings.MemoryBytes, defaultMemoryBytes)),
		Descriptors: cmp.Or(p.settings.Descriptors, intake.MaxDescriptors()),
	}
}

// serveReady answers the readiness check of the load balancer.
func (p *process) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !p.node.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// run serves until ctx ends and then stops gracefully.
func (p *process) run(ctx context.Context) error {
	defer p.logs.Close()
	p.log.Info().Str("Zone", string(p.settings.Zone)).Str("Store", p.settings.StoreAddress).Strs("Disabled", p.options.Disabled.Names()).Msg("started")
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, background := errgroup.WithContext(background)
	for server, listener := range p.listeners {
		group.Go(func() error { return serve(server, listener) })
	}
	group.Go(func() error { return p.peerServer.Serve(background, p.peerListener) })
	group.Go(func() error { return p.node.Run(background) })
	group.Go(func() error { return p.reload(background) })
	group.Go(func() error { return p.logs.Run(background, p.options.Factory.Clock) })
	group.Go(func() error {
		select {
		case <-ctx.Done():
		case <-background.Done():
		}
		defer stop()
		return p.stop()
	})
	err := group.Wait()
	p.log.Info().Err(err).Msg("stopped")
	return errors.Join(err, p.peerClient.Close())
}

// reload reads the settings again after SIGHUP and every reloadInterval. Only the
// seeds can change while the process runs.
func (p *process) reload(ctx context.Context) error {
	defer signal.Stop(p.reloadSignals)
	ticker := p.options.Factory.Clock.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-p.reloadSignals:
		case <-ticker.Chan():
		}
		p.reloadOnce()
	}
}

// reloadOnce reads the settings file and applies its seeds. If the file is invalid, the
// process keeps the earlier settings.
func (p *process) reloadOnce() {
	reloaded, err := platform.ReadSettings(p.options.Config)
	if err != nil {
		p.counters.Add("Settings.ReloadFailed", 1)
		p.log.Error().Err(err).Msg("reloading the settings failed; keeping the earlier ones")
		return
	}
	if !slices.Equal(reloaded.Seeds, p.settings.Seeds) {
		p.log.Info().Strs("Seeds", reloaded.Seeds).Msg("settings reloaded")
	}
	p.settings.Seeds = reloaded.Seeds
	p.node.SetSeeds(reloaded.Seeds)
}

func serve(server *http.Server, listener net.Listener) error {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// stop makes the instance unready, waits until the load balancer sends callers to other
// instances, and waits for the requests in flight.
func (p *process) stop() error {
	p.log.Info().Msg("stopping")
	p.stopping.Store(true)
	p.node.Drain()
	time.Sleep(min(unreadyDelay, p.settings.StopGracePeriod/2+time.Second))
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	return errors.Join(p.callerServer.Shutdown(ctx), p.readyServer.Shutdown(ctx), p.metricsServer.Shutdown(ctx))
}
