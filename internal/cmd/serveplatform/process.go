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

	"github.com/jacinthtrail/jacinthtrail/internal/entry/dispatcher"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/counter"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/logging"
	"github.com/jacinthtrail/jacinthtrail/internal/peer/entry"
	"github.com/jacinthtrail/jacinthtrail/platform"
)

const (
	// memoryShare of the instance's memory, in percent, is the soft limit of the heap.
	memoryShare = 70
	// heapGrowth is the garbage collector's target in percent: processor time is
	// scarcer than memory.
	heapGrowth = 300
	// unreadyTime is how long a stopping process still serves new connections: the
	// balancer looks once a second and leaves out an instance after two misses.
	unreadyTime = 3200 * time.Millisecond
	// stopTime bounds the wait for the requests in flight after that.
	stopTime = 2200 * time.Millisecond
	// readHeaderTimeout bounds the headers of a request while no limit is configured.
	readHeaderTimeout = 3 * time.Second
	// idleTimeout closes a caller's connection without requests.
	idleTimeout = 15 * time.Second
)

// reloadInterval is how often the settings are read again: they may change without
// a signal.
const reloadInterval = 5 * time.Second

// process is a running entry instance.
type process struct {
	options *Options
	// changed receives SIGHUP, which tells of a new settings file and would
	// otherwise end the process.
	changed  chan os.Signal
	settings platform.Settings
	node     *dispatcher.Node
	peers    *entry.Server
	client   *entry.Client
	counters *counter.Set
	latency  *counter.Histograms
	logs     *logging.Loggers
	log      zerolog.Logger
	stopping atomic.Bool

	callers  *http.Server
	ready    *http.Server
	metrics  *http.Server
	bindings map[*http.Server]net.Listener
	peerPort net.Listener
}

// listen opens the addresses and builds the parts of the process.
func listen(opts *Options, s platform.Settings) (*process, error) {
	p := &process{options: opts, changed: make(chan os.Signal, 1), settings: s, counters: &counter.Set{}, latency: &counter.Histograms{}, bindings: map[*http.Server]net.Listener{}}
	signal.Notify(p.changed, syscall.SIGHUP)
	p.limitMemory()
	if err := p.openLog(opts); err != nil {
		return nil, err
	}
	http1 := platform.NewHTTPClient()
	clock := opts.Factory.Clock
	p.client = entry.NewClient(entry.ClientOptions{
		Clock: clock, Counter: p.counters, Dial: dialPeer,
		DialTimeout: peerDialTimeout, BackoffLimit: peerBackoffLimit,
	})
	p.peers = entry.NewServer(entry.ServerOptions{Clock: clock, Counter: p.counters, MaxConnections: maxPeerConnections})
	var policy dispatcher.Policy
	if s.Policy != "" {
		policy = platform.Policy{Address: s.Policy, HTTP: http1}
	}
	p.node = dispatcher.New(dispatcher.Options{
		Name: s.Instance, PeerAddress: cmp.Or(opts.PeerAnnounce, s.Peers), Seeds: s.Seeds, Cores: s.Cores,
		LeaseTerm: min(opts.LeaseTerm, s.MaxLease), RemoteFactor: s.RemoteFactor,
		Store:   platform.Store{Address: s.Store, HTTP: http1},
		Workers: platform.Workers{HTTP: http1, Counters: p.counters},
		Catalog: platform.Catalog{}, Policy: policy, Peers: p.client, Counters: p.counters, Latencies: p.latency,
		Suspended: platform.Suspended,
		Clock:     clock, Log: p.log, Routine: p.logs.Routine,
	})
	p.node.Register(p.peers)
	p.callers = &http.Server{
		Handler: &platform.Callers{
			Jobs: p.node, Clock: clock, Counters: p.counters, Log: p.log, Draining: p.stopping.Load,
		},
		ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout,
	}
	p.ready = &http.Server{Handler: http.HandlerFunc(p.serveReady), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
	p.metrics = &http.Server{Handler: counter.Text{Counters: p.counters, Histograms: p.latency}, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
	return p, p.bind(opts)
}

const (
	// peerDialTimeout bounds the opening of a connection to another instance.
	peerDialTimeout = 400 * time.Millisecond
	// peerBackoffLimit is short, because restarted instances must find each other again.
	peerBackoffLimit = 500 * time.Millisecond
	// maxPeerConnections allows two from each instance of the largest deployment.
	maxPeerConnections = 128
)

func dialPeer(ctx context.Context, address string) (net.Conn, error) {
	return platform.Dialer().DialContext(ctx, "tcp", address)
}

func (p *process) limitMemory() {
	debug.SetGCPercent(heapGrowth)
	if p.settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(p.settings.MemoryBytes / 100 * memoryShare)
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

// bind opens all addresses and reports all that can't be opened.
func (p *process) bind(opts *Options) error {
	var errs []error
	open := func(address string) net.Listener {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			errs = append(errs, fmt.Errorf("listen on %s: %w", address, err))
		}
		return listener
	}
	p.bindings[p.callers] = open(p.settings.Callers)
	p.bindings[p.ready] = open(p.settings.Ready)
	p.peerPort = open(p.settings.Peers)
	if opts.MetricsPort != 0 {
		p.bindings[p.metrics] = open(net.JoinHostPort(p.settings.IP, strconv.Itoa(opts.MetricsPort)))
	}
	return errors.Join(errs...)
}

func (p *process) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !p.node.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// run serves until ctx ends, then stops gracefully.
func (p *process) run(ctx context.Context) error {
	defer p.logs.Close()
	p.log.Info().Str("Zone", string(p.settings.Zone)).Str("Store", p.settings.Store).Msg("started")
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, background := errgroup.WithContext(background)
	for server, listener := range p.bindings {
		group.Go(func() error { return serve(server, listener) })
	}
	group.Go(func() error { return p.peers.Serve(background, p.peerPort) })
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
	return errors.Join(err, p.client.Close())
}

// reload reads the settings again after SIGHUP and from time to time. Only the
// seeds can change while the process runs.
func (p *process) reload(ctx context.Context) error {
	defer signal.Stop(p.changed)
	ticker := p.options.Factory.Clock.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-p.changed:
		case <-ticker.Chan():
		}
		p.reloadOnce()
	}
}

func (p *process) reloadOnce() {
	read, err := platform.ReadSettings(p.options.Config)
	if err != nil {
		p.counters.Add("Settings.ReloadFailed", 1)
		p.log.Error().Err(err).Msg("the settings can't be read again; the earlier ones hold")
		return
	}
	if !slices.Equal(read.Seeds, p.settings.Seeds) {
		p.log.Info().Strs("Seeds", read.Seeds).Msg("settings reloaded")
	}
	p.settings.Seeds = read.Seeds
	p.node.SetSeeds(read.Seeds)
}

func serve(server *http.Server, listener net.Listener) error {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// stop leaves the balancer, waits until callers have gone elsewhere and finishes
// the requests in flight.
func (p *process) stop() error {
	p.log.Info().Msg("stopping")
	p.stopping.Store(true)
	p.node.Drain()
	time.Sleep(min(unreadyTime, p.settings.Grace/2+time.Second))
	ctx, cancel := context.WithTimeout(context.Background(), stopTime)
	defer cancel()
	return errors.Join(p.callers.Shutdown(ctx), p.ready.Shutdown(ctx), p.metrics.Shutdown(ctx))
}
