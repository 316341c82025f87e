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
	"github.com/jacinthtrail/jacinthtrail/internal/caller/intake"
	"github.com/jacinthtrail/jacinthtrail/internal/caller/job"
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
	// tableTimeout limits one poll of the table.
	tableTimeout = 2 * time.Second
	// peerTimeout limits one call to a peer.
	peerTimeout = 1500 * time.Millisecond
	// peerExpiry is the time after a peer's last message at which it is forgotten and no
	// longer called.
	peerExpiry = time.Minute
	// firstGrantWait is how long a started instance waits for its first slots before it
	// becomes ready without any. There may be no executors, or no owner for a long time.
	firstGrantWait = 5 * time.Second
	// headerTimeout limits the time that a connection may take to send its headers, idleTimeout
	// the time between two requests.
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	// writeTimeout limits the time for which a caller doesn't read, for example of a feed.
	writeTimeout = 10 * time.Second
	// headerBytes limits the header of a request.
	headerBytes = 32 << 10
)

// Addresses has the addresses on which an instance listens.
type Addresses struct {
	ID       membership.InstanceID
	Caller   string
	Peer     string
	Operator string
}

// Instance is a running entry instance.
type Instance struct {
	startedAt time.Time
	settings  Settings
	clock     clockwork.Clock
	log       zerolog.Logger

	callerListener   net.Listener
	operatorListener net.Listener
	peerListener     net.Listener

	platformHTTP       *http.Client
	store              table.Store
	membershipClient   membership.Client
	membership         membershipCache
	config             configuration.Holder
	manifestRepository configuration.Repository
	zoneRepository     zone.Repository
	zones              zoneCache
	workerSyncer       worker.Syncer
	services           *service.Handler
	tickets            *ticket.Home
	claims             *claim.Claims

	limits           intake.Limits
	peers            heartbeat.PeerTable
	peerServer       *entry.Server
	peerClient       *entry.Client
	heartbeatTrigger chan struct{}
	counters         *counter.Set
	explanations     explanation.Log

	ownership    ownershipState
	slotManager  *slotManager
	hasReadTable atomic.Bool
	draining     atomic.Bool
	drainMu      sync.Mutex
}

// Listen opens the listeners of an instance. Run serves them.
func Listen(settings Settings, clock clockwork.Clock, log zerolog.Logger) (*Instance, error) {
	i := &Instance{
		startedAt:        clock.Now(),
		settings:         settings,
		clock:            clock,
		log:              log,
		heartbeatTrigger: make(chan struct{}, 1),
		counters:         &counter.Set{},
	}
	var errs []error
	listen := func(open func(string) (net.Listener, error), address string) net.Listener {
		listener, err := open(address)
		if err != nil {
			errs = append(errs, fmt.Errorf("listen on %s: %w", address, err))
		}
		return listener
	}
	i.callerListener = listen(intake.Listen, settings.CallerAddress)
	i.operatorListener = listen(intake.Listen, settings.OperatorAddress)
	i.peerListener = listen(intake.ListenForPeers, settings.PeerAddress)
	if len(errs) > 0 {
		i.closeListeners()
		return nil, errors.Join(errs...)
	}
	i.buildClients()
	i.initOwnership()
	return i, nil
}

// buildClients creates the clients of the platform, the workers and the peers, and what
// depends on them: the peer server, the claims, the slot manager and the service handler.
func (i *Instance) buildClients() {
	i.platformHTTP = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxPlatformConnections}}
	i.store = countingStore{table.Client{Address: i.settings.Platform, HTTP: i.platformHTTP}, i.counters}
	i.membershipClient = membership.Client{Address: i.settings.Platform, HTTP: i.platformHTTP}
	i.membership = membershipCache{membership.NewView(i.membershipClient, i.clock)}
	i.manifestRepository = configuration.Repository{Store: i.store, Clock: i.clock}
	i.zoneRepository = zone.Repository{Store: i.store, Clock: i.clock}
	i.zones.localZone = i.settings.Zone
	i.zones.permit.Clock = i.clock
	i.zones.permit.RampDuration = func() time.Duration {
		return time.Duration(i.config.Current().Manifest.Limits.ReturnRamp)
	}
	i.workerSyncer = &worker.Client{}
	i.peerClient = entry.NewClient(entry.ClientOptions{Clock: i.clock, Counter: i.counters})
	i.limits = intake.NewLimits(i.settings.machine())
	i.peerServer = entry.NewServer(entry.ServerOptions{Clock: i.clock, Counter: i.counters, MaxConnections: i.limits.PeerConnections, Budget: intake.NewBudget(i.limits.Messages)})
	i.initTicketsAndClaims()
	i.slotManager = newSlotManager(i)
	i.services = i.serviceHandler()
	i.registerMethods()
}

// maxPlatformConnections is the number of idle connections to the platform that are kept.
const maxPlatformConnections = 16

func (i *Instance) closeListeners() {
	for _, listener := range []net.Listener{i.callerListener, i.operatorListener, i.peerListener} {
		if listener != nil {
			// No connection was accepted yet, so an error has no effect.
			_ = listener.Close()
		}
	}
}

// Addresses returns the addresses on which the instance listens.
func (i *Instance) Addresses() Addresses {
	return Addresses{
		ID:       i.settings.ID,
		Caller:   i.callerListener.Addr().String(),
		Peer:     i.peerListener.Addr().String(),
		Operator: i.operatorListener.Addr().String(),
	}
}

// Counters returns the instance's counters by name.
func (i *Instance) Counters() map[string]int64 {
	return i.counters.Values()
}

// Run serves until ctx ends, then stops gracefully: the instance becomes unready so that
// the load balancer stops sending requests, releases its shards, waits for the requests
// and feeds in flight, and closes.
func (i *Instance) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, background := errgroup.WithContext(background)
	callerPort := i.newPort("Callers", i.limits.CallerConnections, i.limits.Requests)
	callerPort.Budget.LargestRequest = i.largestRequest
	callers := callerPort.NewServer(i.callerRoutes())
	operatorPort := i.newPort("Operators", i.limits.InternalConnections, i.limits.Internal)
	operators := operatorPort.NewServer((&control.Server{Backend: operatorBackend{i}, Counters: i.counters}).Handler())
	group.Go(func() error { return serveHTTP(callers, callerPort.Listener(i.callerListener)) })
	group.Go(func() error { return serveHTTP(operators, operatorPort.Listener(i.operatorListener)) })
	group.Go(func() error { return i.peerServer.Serve(background, i.peerListener) })
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
	i.closePeerClient()
	return err
}

func (i *Instance) newPort(name string, maxConnections int, budget intake.Bytes) *intake.Port {
	return &intake.Port{
		Name: name, MaxConnections: maxConnections, Budget: intake.NewBudget(budget),
		Limits: func() intake.RequestLimits {
			return intake.RequestLimits{HeaderBytes: headerBytes, HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, WriteTimeout: writeTimeout}
		},
		Counters: i.counters, Clock: i.clock, Log: i.log,
	}
}

// largestRequest returns the memory that the largest request needs that the manifest allows.
func (i *Instance) largestRequest() intake.Bytes {
	m := i.config.Current().Manifest
	largest := job.LargestSubmission(m.Limits)
	for _, s := range m.Services {
		largest = max(largest, intake.RequestBytes(int64(s.MaxBody), 0))
	}
	return largest
}

func (i *Instance) closePeerClient() {
	if err := i.peerClient.Close(); err != nil {
		i.log.Warn().Err(err).Msg("failed to close the peer connections")
	}
}

// startLoops starts the background loops: polls of the platform and the peers, claim
// writes, heartbeats, ownership and slot grants.
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
		i.runHeartbeats(ctx)
		return nil
	})
	group.Go(func() error { return i.runOwnership(ctx) })
	group.Go(func() error { return i.slotManager.run(ctx) })
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

// readiness returns why the load balancer must not send requests to the instance, or nil
// if the instance is ready.
func (i *Instance) readiness() error {
	switch {
	case i.draining.Load():
		return errors.New("the instance is draining")
	case i.config.Current().Version == 0:
		return errors.New("no manifest has been loaded")
	case !i.hasReadTable.Load() && len(i.peers.List()) == 0:
		return errors.New("neither the table nor a peer has confirmed the manifest")
	case !i.slotManager.pool.HasGranted() && i.clock.Since(i.startedAt) < firstGrantWait:
		return errors.New("no slots have been granted yet")
	}
	return nil
}

func (i *Instance) callerRoutes() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/services/", i.services)
	i.jobHandler().Register(mux)
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

// self returns the instance's membership entry for the platform and for peers.
func (i *Instance) self() membership.Instance {
	state := membership.Live
	if i.draining.Load() {
		state = membership.Leaving
	}
	addresses := i.Addresses()
	if i.settings.PeerAnnounceAddress != "" {
		addresses.Peer = i.settings.PeerAnnounceAddress
	}
	return membership.Instance{
		ID: i.settings.ID, Kind: membership.Entry, State: state, Zone: i.settings.Zone, Region: i.settings.Region,
		Address: addresses.Peer, OperatorAddress: addresses.Operator,
	}
}

func (i *Instance) announce(ctx context.Context) {
	if err := i.membershipClient.Announce(ctx, i.self()); err != nil {
		i.counters.Add("Membership.AnnounceFailed", 1)
	}
}

func (i *Instance) refreshMembership(ctx context.Context) {
	snapshot, err := i.membership.view.Refresh(ctx)
	if err != nil {
		i.counters.Add("Membership.ReadFailed", 1)
		return
	}
	i.counters.Add("Membership.EntriesLeftOut", int64(len(snapshot.LeftOut)))
}

// pollTable reads the rows that every instance polls, and applies the manifest if the
// table has a newer one.
func (i *Instance) pollTable(ctx context.Context) {
	view, err := i.readTable(ctx)
	if err != nil {
		i.counters.Add("Table.PollFailed", 1)
		i.handleTableError()
		return
	}
	i.hasReadTable.Store(true)
	i.handleTableRead(view)
	if view.head.Version > i.config.Current().Version {
		published, err := i.manifestRepository.Load(ctx, view.head.Version)
		if err != nil {
			i.counters.Add("Manifest.ReadFailed", 1)
			return
		}
		i.applyManifest(published)
	}
}

// applyManifest puts a manifest in force if it is newer than the current one. It then
// sends heartbeats at once, so that the peers learn about the version.
func (i *Instance) applyManifest(published manifest.Published) {
	if i.config.ApplyIfNewer(published) {
		i.counters.Add("Manifest.InForce", 1)
		i.log.Info().Uint64("Version", uint64(published.Version)).Msg("applied a newer manifest")
		i.triggerHeartbeats()
	}
}

// fetchManifest loads the manifest from peers that report a newer version.
func (i *Instance) fetchManifest(ctx context.Context) {
	for _, peer := range i.peers.List() {
		if peer.Manifest <= i.config.Current().Version {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, peerTimeout)
		published, err := entry.Call[ManifestRequest, manifest.Published](ctx, i.peerClient, peer.Instance.Address,
			heartbeat.MethodManifest, ManifestRequest{})
		cancel()
		if err != nil {
			i.counters.Add("Manifest.PeerFailed", 1)
			continue
		}
		i.applyManifest(published)
	}
}

// ManifestRequest asks a peer for its manifest in force.
type ManifestRequest struct{}

func (i *Instance) shardSelector() shardSelector {
	return shardSelector{localZone: i.settings.Zone, config: &i.config, zones: &i.zones, peers: &i.peers, localReports: i.shardReports}
}

func sortEvents(events []control.Event) {
	sort.SliceStable(events, func(a, b int) bool { return events[a].At.Before(events[b].At) })
}
