package instance

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
	"github.com/jacinthtrail/jacinthtrail/internal/caller/claim"
	"github.com/jacinthtrail/jacinthtrail/internal/caller/service"
	"github.com/jacinthtrail/jacinthtrail/internal/caller/ticket"
	"github.com/jacinthtrail/jacinthtrail/internal/entry/configuration"
	"github.com/jacinthtrail/jacinthtrail/internal/entry/explanation"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/control"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/counter"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/manifest"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/zone"
	"github.com/jacinthtrail/jacinthtrail/internal/peer/entry"
	"github.com/jacinthtrail/jacinthtrail/internal/peer/heartbeat"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/table"
)

const (
	// pollInterval is the time between reads of the table and of the membership list.
	pollInterval = time.Second
	// tableTimeout bounds a poll of the table.
	tableTimeout = 2 * time.Second
	// peerTimeout bounds a call to a peer.
	peerTimeout = 1500 * time.Millisecond
	// forgetPeer is the silence after which a peer is no longer called.
	forgetPeer = time.Minute
	// firstGrantWait is how long a started instance waits for its first slots before it
	// is ready without. There may be no executors, or no owner for a long time.
	firstGrantWait = 5 * time.Second
	// readHeaderTimeout bounds the time that a connection may take to send its headers.
	readHeaderTimeout = 10 * time.Second
)

// Addresses are where an instance listens.
type Addresses struct {
	ID       membership.InstanceID
	Caller   string
	Peer     string
	Operator string
}

// Instance is a running entry instance.
type Instance struct {
	began    time.Time
	settings Settings
	clock    clockwork.Clock
	log      zerolog.Logger

	callers   net.Listener
	operators net.Listener
	peerPort  net.Listener

	platform   *http.Client
	store      table.Store
	announcer  membership.Client
	members    snapshots
	config     configuration.Holder
	repository configuration.Repository
	zoneRows   zone.Repository
	zones      zones
	workers    worker.Syncer
	services   *service.Handler
	tickets    *ticket.Home
	claims     *claim.Claims

	peers        heartbeat.Table
	server       *entry.Server
	client       *entry.Client
	kick         chan struct{}
	counters     *counter.Set
	explanations explanation.Log

	owned      owned
	slots      *slots
	tableKnown atomic.Bool
	draining   atomic.Bool
	drainMu    sync.Mutex
}

// Listen opens the addresses of an instance. Run serves them.
func Listen(settings Settings, clock clockwork.Clock, log zerolog.Logger) (*Instance, error) {
	i := &Instance{
		began:    clock.Now(),
		settings: settings,
		clock:    clock,
		log:      log,
		kick:     make(chan struct{}, 1),
		counters: &counter.Set{},
	}
	var errs []error
	open := func(address string) net.Listener {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			errs = append(errs, fmt.Errorf("listen on %s: %w", address, err))
		}
		return listener
	}
	i.callers = open(settings.CallerAddress)
	i.operators = open(settings.OperatorAddress)
	i.peerPort = open(settings.PeerAddress)
	if len(errs) > 0 {
		i.closeListeners()
		return nil, errors.Join(errs...)
	}
	i.connect()
	i.initOwnership()
	return i, nil
}

// connect builds the clients of the platform, the workers and the peers.
func (i *Instance) connect() {
	i.platform = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxPlatformConnections}}
	i.store = countedStore{table.Client{Address: i.settings.Platform, HTTP: i.platform}, i.counters}
	i.announcer = membership.Client{Address: i.settings.Platform, HTTP: i.platform}
	i.members = snapshots{membership.NewView(i.announcer, i.clock)}
	i.repository = configuration.Repository{Store: i.store, Clock: i.clock}
	i.zoneRows = zone.Repository{Store: i.store, Clock: i.clock}
	i.zones.own = i.settings.Zone
	i.zones.permit.Clock = i.clock
	i.zones.permit.RampDuration = func() time.Duration {
		return time.Duration(i.config.Current().Manifest.Limits.ReturnRamp)
	}
	i.workers = &worker.Client{}
	i.client = entry.NewClient(entry.ClientOptions{Clock: i.clock, Counter: i.counters})
	i.server = entry.NewServer(entry.ServerOptions{Clock: i.clock, Counter: i.counters})
	i.initKeys()
	i.slots = newSlots(i)
	i.services = i.serviceHandler()
	i.registerMethods()
}

// maxPlatformConnections bounds the idle connections to the platform.
const maxPlatformConnections = 16

func (i *Instance) closeListeners() {
	for _, listener := range []net.Listener{i.callers, i.operators, i.peerPort} {
		if listener != nil {
			// Nothing was accepted yet, so there is nothing to lose.
			_ = listener.Close()
		}
	}
}

// Addresses returns where the instance listens.
func (i *Instance) Addresses() Addresses {
	return Addresses{
		ID:       i.settings.ID,
		Caller:   i.callers.Addr().String(),
		Peer:     i.peerPort.Addr().String(),
		Operator: i.operators.Addr().String(),
	}
}

// Counters returns the instance's counters by name.
func (i *Instance) Counters() map[string]int64 {
	return i.counters.Values()
}

// Run serves until ctx ends, then stops gracefully: the instance leaves the
// balancer, releases its shards, waits for the requests and feeds in flight and
// closes.
func (i *Instance) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, background := errgroup.WithContext(background)
	callers := &http.Server{Handler: i.callerRoutes(), ReadHeaderTimeout: readHeaderTimeout}
	operators := &http.Server{
		Handler:           (&control.Server{Backend: backend{i}, Counters: i.counters}).Handler(),
		ReadHeaderTimeout: readHeaderTimeout,
	}
	group.Go(func() error { return serveHTTP(callers, i.callers) })
	group.Go(func() error { return serveHTTP(operators, i.operators) })
	group.Go(func() error { return i.server.Serve(background, i.peerPort) })
	i.startLoops(background, group)
	group.Go(func() error {
		select {
		case <-ctx.Done():
		case <-background.Done():
		}
		defer stop()
		return i.stop(ctx, callers, operators)
	})
	err := group.Wait()
	i.closeClient()
	return err
}

func (i *Instance) closeClient() {
	if err := i.client.Close(); err != nil {
		i.log.Warn().Err(err).Msg("peer connections did not close")
	}
}

// startLoops starts what keeps the instance informed.
func (i *Instance) startLoops(ctx context.Context, group *errgroup.Group) {
	loop := func(interval time.Duration, step func(context.Context)) {
		group.Go(func() error {
			i.repeat(ctx, interval, step)
			return nil
		})
	}
	loop(pollInterval, i.refreshMembership)
	loop(pollInterval, i.announce)
	loop(pollInterval, i.pollTable)
	loop(pollInterval, i.fetchManifest)
	loop(sweepInterval, i.sweepClaims)
	group.Go(func() error { return i.claims.Run(ctx) })
	group.Go(func() error {
		i.beat(ctx)
		return nil
	})
	group.Go(func() error { return i.runOwnership(ctx) })
	group.Go(func() error { return i.slots.run(ctx) })
}

// repeat runs a step at once and then at each interval until ctx ends.
func (i *Instance) repeat(ctx context.Context, interval time.Duration, step func(context.Context)) {
	ticker := i.clock.NewTicker(interval)
	defer ticker.Stop()
	for {
		step(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
	}
}

func serveHTTP(server *http.Server, listener net.Listener) error {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// readiness tells why the instance must not get new callers, nil if it may.
func (i *Instance) readiness() error {
	switch {
	case i.draining.Load():
		return errors.New("the instance is stopping")
	case i.config.Current().Version == 0:
		return errors.New("no manifest is known")
	case !i.tableKnown.Load() && len(i.peers.List()) == 0:
		return errors.New("neither the table nor a peer has confirmed the manifest")
	case !i.slots.holdings.HasGranted() && i.clock.Since(i.began) < firstGrantWait:
		return errors.New("no slots have been granted yet")
	}
	return nil
}

func (i *Instance) callerRoutes() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/services/", i.services)
	i.jobsHandler().Register(mux)
	i.registerTickets(mux)
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, _ *http.Request) {
		if err := i.readiness(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}

// self describes the instance to the platform and to peers.
func (i *Instance) self() membership.Instance {
	state := membership.Live
	if i.draining.Load() {
		state = membership.Leaving
	}
	addresses := i.Addresses()
	if i.settings.PeerAnnounce != "" {
		addresses.Peer = i.settings.PeerAnnounce
	}
	return membership.Instance{
		ID: i.settings.ID, Kind: membership.Entry, State: state, Zone: i.settings.Zone, Region: i.settings.Region,
		Address: addresses.Peer, OperatorAddress: addresses.Operator,
	}
}

func (i *Instance) announce(ctx context.Context) {
	if err := i.announcer.Announce(ctx, i.self()); err != nil {
		i.counters.Add("Membership.AnnounceFailed", 1)
	}
}

func (i *Instance) refreshMembership(ctx context.Context) {
	if _, err := i.members.view.Refresh(ctx); err != nil {
		i.counters.Add("Membership.ReadFailed", 1)
	}
}

// pollTable reads the rows that every instance follows.
func (i *Instance) pollTable(ctx context.Context) {
	view, err := i.readTable(ctx)
	if err != nil {
		i.counters.Add("Table.PollFailed", 1)
		i.tableFailed()
		return
	}
	i.tableKnown.Store(true)
	i.tableRead(view)
	if view.head.Version > i.config.Current().Version {
		published, err := i.repository.Load(ctx, view.head.Version)
		if err != nil {
			i.counters.Add("Manifest.ReadFailed", 1)
			return
		}
		i.offer(published)
	}
}

// offer puts a manifest in force if it is newer, and tells the peers at once.
func (i *Instance) offer(published manifest.Published) {
	if i.config.Offer(published) {
		i.counters.Add("Manifest.InForce", 1)
		i.log.Info().Uint64("Version", uint64(published.Version)).Msg("manifest in force")
		i.kickHeartbeats()
	}
}

// fetchManifest gets a newer manifest from a peer that has one.
func (i *Instance) fetchManifest(ctx context.Context) {
	for _, peer := range i.peers.List() {
		if peer.Manifest <= i.config.Current().Version {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, peerTimeout)
		published, err := entry.Call[ManifestRequest, manifest.Published](ctx, i.client, peer.Instance.Address,
			heartbeat.MethodManifest, ManifestRequest{})
		cancel()
		if err != nil {
			i.counters.Add("Manifest.PeerFailed", 1)
			continue
		}
		i.offer(published)
	}
}

// ManifestRequest asks a peer for the manifest in force there.
type ManifestRequest struct{}

func (i *Instance) destinations() destinations {
	return destinations{own: i.settings.Zone, config: &i.config, zones: &i.zones, peers: &i.peers, local: i.shardReports}
}

func sortEvents(events []control.Event) {
	sort.SliceStable(events, func(a, b int) bool { return events[a].At.Before(events[b].At) })
}
