package dispatcher

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/semaphore"

	"github.com/jacinthtrail/jacinthtrail/internal/caller/queue"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/mechanism"
	"github.com/jacinthtrail/jacinthtrail/internal/peer/entry"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/table"
)

const (
	// operatorWatchInterval is the minimum time between two reads of the operator's rows.
	operatorWatchInterval = 50 * time.Millisecond
	// oldRowsInterval is the time between two log lines about rows that are too old.
	oldRowsInterval = time.Second
	// configurationRows names the operator's rows in counters and logs.
	configurationRows = "Configuration"
)

// Node is the dispatcher of one entry instance.
type Node struct {
	Options
	config atomic.Pointer[queue.Configuration]
	store  monitoredStore
	// shards is set once the layout is known.
	shards   atomic.Pointer[[]*shard]
	draining atomic.Bool
	// claimsInProgress counts the claims in progress.
	claimsInProgress atomic.Int32
	probe            storeProbe
	// callingStore is set while keepCallingStore makes a call.
	callingStore atomic.Bool
	operatorRows *operatorRows
	// stateReads bounds the reads of the store for state queries that run at the same time.
	stateReads   *semaphore.Weighted
	encodedPeers encodedPeers
	// tombstones limits the tombstones that this instance stores. lock guards it.
	tombstones   tombstoneLimit
	workerReader *workerReader

	lock sync.Mutex
	// group has the goroutines of Run, and groupContext ends when they must.
	group        *errgroup.Group
	groupContext context.Context
	peers        map[membership.InstanceID]knownPeer
	// workersReadAt is when this instance last read the list of workers to choose the layout, and
	// layoutChooserAt when another one last reported that it does so.
	workersReadAt, layoutChooserAt time.Time
	// peersRequestedAt is when this instance last asked a peer for the instances that it
	// knows.
	peersRequestedAt time.Time
	// directoryAnsweredAt is when a directory of a large deployment last answered.
	directoryAnsweredAt time.Time
	// meetingPeers is set while meetPeers runs.
	meetingPeers atomic.Bool
}

// maxStateReads is more than the queries need that an instance has the processor time for.
const maxStateReads = 128

// New returns a Node. Call Register and Run to start it.
func New(options Options) *Node {
	n := &Node{
		Options: options,
		peers:   map[membership.InstanceID]knownPeer{},

		stateReads: semaphore.NewWeighted(maxStateReads),
	}
	n.store = monitoredStore{Store: options.Store, clock: options.Clock, counters: options.Counters, latencies: options.Latencies, log: options.Log}
	n.operatorRows = newOperatorRows(n)
	n.workerReader = &workerReader{node: n}
	return n
}

// Register adds the methods that peers call to a server.
func (n *Node) Register(server *entry.Server) {
	entry.Handle(server, helloMethod, n.handleHello)
	entry.Handle(server, confirmMethod, n.handleConfirm)
	entry.Handle(server, submittedMethod, n.handleSubmitted)
	entry.Handle(server, cancelledMethod, n.handleCancelled)
	entry.Handle(server, stateMethod, n.handleState)
	entry.Handle(server, pendingMethod, n.handlePending)
	entry.Handle(server, acceptMethod, n.handleAccept)
	entry.Handle(server, transferMethod, n.handleTransfer)
	entry.Handle(server, endTransferMethod, n.handleEndTransfer)
	entry.Handle(server, estimatesMethod, n.handleEstimates)
	entry.Handle(server, relaySubmitMethod, n.handleRelaySubmit)
	entry.Handle(server, relayCancelMethod, n.handleRelayCancel)
	entry.Handle(server, operatorRowsMethod, n.handleOperatorRows)
	entry.Handle(server, peersMethod, n.handlePeers)
	entry.Handle(server, workerRowsMethod, n.workerReader.answer)
}

// Run watches the configuration and the owners of the shards until ctx ends. It claims
// shards and runs them while this instance owns them.
func (n *Node) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	n.lock.Lock()
	n.group, n.groupContext = group, ctx
	n.lock.Unlock()
	operatorMirror := n.mirrorOperator()
	group.Go(func() error { return operatorMirror.Run(ctx) })
	group.Go(func() error { return n.reportOldRows(ctx, configurationRows, operatorMirror) })
	group.Go(func() error {
		layout, err := n.loadLayout(ctx)
		if err != nil {
			return err
		}
		shards := n.setLayout(layout)
		n.followShards(ctx, group, shards)
		if !n.Disabled.Has(mechanism.OwnerRebalance) {
			group.Go(func() error { return n.runRebalancing(ctx) })
		}
		return nil
	})
	return group.Wait()
}

// followShards begins to exchange the known instances and to watch the owners of the shards.
func (n *Node) followShards(ctx context.Context, group *errgroup.Group, shards []*shard) {
	n.meetingPeers.Store(true)
	n.recordDirectoryAnswer()
	group.Go(func() error {
		n.meetPeers(ctx)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		n.meetingPeers.Store(false)
		return n.runDirectory(ctx)
	})
	for _, s := range shards {
		group.Go(func() error { return s.monitorOwner(ctx) })
	}
}

// Ready reports whether the instance can serve callers.
func (n *Node) Ready() bool {
	return n.config.Load() != nil && n.shards.Load() != nil && !n.draining.Load()
}

// Drain makes the instance unready, so that the load balancer sends callers to other
// instances, and releases its shards.
func (n *Node) Drain() {
	n.draining.Store(true)
	for _, o := range n.ownedShards() {
		o.releaseShard()
	}
}

// Configuration returns the configuration in force, nil if none is known.
func (n *Node) Configuration() *queue.Configuration {
	return n.config.Load()
}

// configurationVersion returns the version of the configuration in force, 0 if none is known.
func (n *Node) configurationVersion() queue.Version {
	if c := n.config.Load(); c != nil {
		return c.Version
	}
	return 0
}

func (n *Node) mirrorOperator() *table.Mirror {
	m := n.mirror(configurationRows, n.Catalog.OperatorPrefix(), operatorWatchInterval, n.applyOperator)
	m.Watcher = n.operatorRows
	return m
}

// changeBound returns how soon a change in the store must take effect on this instance.
func (n *Node) changeBound() time.Duration {
	return cmp.Or(n.ChangeBound, table.DefaultChangeBound)
}

// mirror returns a mirror of the rows under a prefix. Failures are counted under the
// name.
func (n *Node) mirror(name string, prefix table.Key, minInterval time.Duration, apply func(map[table.Key]table.Row)) *table.Mirror {
	return &table.Mirror{
		Watcher: &n.store, Prefix: prefix, Clock: n.Clock, ChangeBound: n.ChangeBound, MinInterval: minInterval,
		OnChange: apply,
		OnCall:   func(c table.MirrorCall) { n.recordMirrorCall(name, c) },
	}
}

// recordMirrorCall counts and logs a mirror's call to the store: each failed one, the first
// successful one after it, and the ones that read changes of the operator's rows.
func (n *Node) recordMirrorCall(name string, c table.MirrorCall) {
	event := "RowsRead"
	if c.Err != nil {
		event = "RowsReadFailed"
		n.Counters.Add(name+".WatchFailed", 1)
	} else {
		n.Latencies.Observe("Age."+name, c.Age)
	}
	if c.Err == nil && !c.AfterFailure && (name != configurationRows || c.Changes == 0) {
		return
	}
	line := n.Log.Info().Str("Event", event).Str("Rows", name).Bool("Snapshot", c.Snapshot).Int("Changes", c.Changes).
		Int64("RowsVersion", int64(c.Version)).Dur("Took", c.Took).Dur("Age", c.Age).Err(c.Err)
	var partial *table.PartialAnswerError
	if errors.As(c.Err, &partial) {
		line = line.Int64("Received", partial.Received).Int64("Size", partial.Size)
	}
	line.Send()
}

// reportOldRows logs every oldRowsInterval that a copy of rows is older than the bound for
// changes, and what its mirror is doing. A mirror that hangs logs nothing itself.
func (n *Node) reportOldRows(ctx context.Context, name string, mirror *table.Mirror) error {
	return n.every(ctx, oldRowsInterval, func() {
		state := mirror.State()
		if state.Age <= n.changeBound() {
			return
		}
		n.Counters.Add(name+".Old", 1)
		n.Log.Warn().Str("Event", "RowsOld").Str("Rows", name).Dur("Age", state.Age).Str("Phase", string(state.Phase)).
			Dur("PhaseAge", state.PhaseAge).Int64("Version", int64(n.configurationVersion())).Send()
	})
}

// applyOperator puts a configuration in force. If it is older than the current one,
// only its list of zones that are out of service is used.
func (n *Node) applyOperator(rows map[table.Key]table.Row) {
	c, err := n.Catalog.Operator(rows)
	if err != nil {
		n.Counters.Add("Configuration.RowsLeftOut", 1)
		n.Log.Warn().Err(err).Msg("skipped invalid rows of the operator")
	}
	current := n.config.Load()
	if current != nil && c.Version < current.Version {
		updated := *current
		updated.ZonesOut = c.ZonesOut
		c = updated
	}
	if current == nil && c.Version == 0 {
		return
	}
	if current == nil || current.Version != c.Version || !maps.Equal(current.ZonesOut, c.ZonesOut) {
		n.Log.Info().Int64("Version", int64(c.Version)).Int("Routes", len(c.Routes)).
			Interface("ZonesOut", c.ZonesOut).Msg("configuration in force")
	}
	n.config.Store(&c)
	for _, o := range n.ownedShards() {
		o.configure()
	}
}

// background runs f in the node's group, if the node is running. The context of f ends
// when the node stops.
func (n *Node) background(f func(ctx context.Context) error) {
	n.lock.Lock()
	group, ctx := n.group, n.groupContext
	n.lock.Unlock()
	if group != nil {
		group.Go(func() error { return f(ctx) })
	}
}

// sleep waits for a duration and reports whether ctx is still active.
func (n *Node) sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-n.Clock.After(d):
		return true
	}
}

// every runs f at each interval until ctx ends, and returns the error of ctx.
func (n *Node) every(ctx context.Context, interval time.Duration, f func()) error {
	ticker := n.Clock.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.Chan():
			f()
		}
	}
}
