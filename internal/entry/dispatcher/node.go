package dispatcher

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/jacinthtrail/jacinthtrail/internal/caller/queue"
	"github.com/jacinthtrail/jacinthtrail/internal/peer/entry"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/table"
)

const (
	// watchTimeout bounds one wait for changes at the store.
	watchTimeout = 5 * time.Second
	// operatorWatchInterval is the least time between two looks at the operator's rows.
	operatorWatchInterval = 50 * time.Millisecond
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

	lock  sync.Mutex
	group *errgroup.Group
	peers map[membership.InstanceID]knownPeer
	// peersRequestedAt is when another instance was last asked for all it knows.
	peersRequestedAt time.Time
}

// New returns a Node. Register and Run make it work.
func New(options Options) *Node {
	n := &Node{
		Options: options,
		peers:   map[membership.InstanceID]knownPeer{},
	}
	n.store = monitoredStore{Store: options.Store, clock: options.Clock, counters: options.Counters, latencies: options.Latencies, log: options.Log}
	return n
}

// Register adds the methods that peers call to a server.
func (n *Node) Register(server *entry.Server) {
	entry.Handle(server, helloMethod, n.answerHello)
	entry.Handle(server, confirmMethod, n.handleConfirm)
	entry.Handle(server, submittedMethod, n.answerSubmitted)
	entry.Handle(server, cancelledMethod, n.answerCancelled)
	entry.Handle(server, stateMethod, n.answerState)
	entry.Handle(server, pendingMethod, n.answerPending)
	entry.Handle(server, acceptMethod, n.handleAccept)
	entry.Handle(server, estimatesMethod, n.answerEstimates)
	entry.Handle(server, relaySubmit, n.answerRelaySubmit)
	entry.Handle(server, relayCancel, n.answerRelayCancel)
}

// Run follows the configuration and the owners of the shards, and owns shards when
// that is this instance's turn, until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	n.lock.Lock()
	n.group = group
	n.lock.Unlock()
	group.Go(func() error { return n.mirrorOperator().Run(ctx) })
	group.Go(func() error {
		layout, err := n.loadLayout(ctx)
		if err != nil {
			return err
		}
		shards := n.setLayout(layout)
		for _, s := range shards {
			group.Go(func() error { return s.follow(ctx) })
		}
		group.Go(func() error { return n.runRebalancing(ctx) })
		return nil
	})
	return group.Wait()
}

// Ready reports whether callers can be served.
func (n *Node) Ready() bool {
	return n.config.Load() != nil && n.shards.Load() != nil && !n.draining.Load()
}

// Drain makes the instance unready, so that the balancer leads callers elsewhere.
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

func (n *Node) mirrorOperator() *table.Mirror {
	return n.mirror("Configuration", n.Catalog.OperatorPrefix(), operatorWatchInterval, n.applyOperator)
}

// mirror follows the rows under a prefix and counts failures under a name.
func (n *Node) mirror(name string, prefix table.Key, pause time.Duration, apply func(map[table.Key]table.Row)) *table.Mirror {
	return &table.Mirror{
		Watcher: &n.store, Prefix: prefix, Clock: n.Clock, Wait: watchTimeout, Pause: pause,
		Apply:  apply,
		Failed: func(error) { n.Counters.Add(name+".WatchFailed", 1) },
	}
}

// applyOperator puts a configuration in force unless it is older than the one known.
func (n *Node) applyOperator(rows map[table.Key]table.Row) {
	c, err := n.Catalog.Operator(rows)
	if err != nil {
		n.Counters.Add("Configuration.RowsLeftOut", 1)
		n.Log.Warn().Err(err).Msg("left out rows of the operator")
	}
	known := n.config.Load()
	if known != nil && c.Version < known.Version {
		kept := *known
		kept.ZonesOut = c.ZonesOut
		c = kept
	}
	if known == nil && c.Version == 0 {
		return
	}
	if known == nil || known.Version != c.Version || len(known.ZonesOut) != len(c.ZonesOut) {
		n.Log.Info().Int64("Version", int64(c.Version)).Int("Routes", len(c.Routes)).
			Interface("ZonesOut", c.ZonesOut).Msg("configuration in force")
	}
	n.config.Store(&c)
	for _, o := range n.ownedShards() {
		o.configure(&c)
	}
}

// background runs f in the node's group, if the node runs.
func (n *Node) background(f func() error) {
	n.lock.Lock()
	group := n.group
	n.lock.Unlock()
	if group != nil {
		group.Go(f)
	}
}

// sleep waits, and reports whether ctx goes on.
func (n *Node) sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-n.Clock.After(d):
		return true
	}
}

// every runs f once in each interval until ctx ends, and returns its error.
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
