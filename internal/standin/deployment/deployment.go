// Package deployment runs a small deployment on loopback in one process: the
// stand-in platform, workers, executors and entry instances.
package deployment

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	protocol "github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
	"github.com/jacinthtrail/jacinthtrail/internal/entry/instance"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/control"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/manifest"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/object"
	"github.com/jacinthtrail/jacinthtrail/internal/standin/announce"
	"github.com/jacinthtrail/jacinthtrail/internal/standin/executor"
	"github.com/jacinthtrail/jacinthtrail/internal/standin/httpserver"
	"github.com/jacinthtrail/jacinthtrail/internal/standin/platform"
	"github.com/jacinthtrail/jacinthtrail/internal/standin/worker"
)

// anyPort lets the system choose a free port of the loopback address.
const anyPort = "127.0.0.1:0"

// readyPoll is the time between looks whether the deployment is ready.
const readyPoll = 50 * time.Millisecond

// Size is the number of parts in each availability zone.
type Size struct {
	Entries   int
	Workers   int
	Executors int
	// Worker is the capacity of each worker.
	Worker membership.Instance
	// Executor has the service, slots, connections and reserved capacity of each executor.
	Executor membership.Instance
}

// Deployment is a running deployment.
type Deployment struct {
	Platform  *platform.Server
	Entries   []*instance.Instance
	Workers   []*worker.Worker
	Executors []*executor.Executor

	clock   clockwork.Clock
	log     zerolog.Logger
	zones   []manifest.Zone
	address string
	group   *errgroup.Group
	stop    context.CancelFunc
	// entries is stopped before the rest, so that their planned stop finds the platform.
	entries     *errgroup.Group
	stopEntries context.CancelFunc
}

// Start starts a deployment with the zones of a manifest and publishes it. Close
// stops it.
func Start(ctx context.Context, m manifest.Manifest, size Size, clock clockwork.Clock, log zerolog.Logger) (*Deployment, error) {
	ctx, stop := context.WithCancel(ctx)
	group, ctx := errgroup.WithContext(ctx)
	entriesCtx, stopEntries := context.WithCancel(ctx)
	d := &Deployment{
		clock: clock, log: log, zones: m.Zones, group: group, stop: stop,
		entries: &errgroup.Group{}, stopEntries: stopEntries,
	}
	if err := d.start(ctx, entriesCtx, m, size); err != nil {
		return nil, errors.Join(err, d.Close())
	}
	return d, nil
}

// Close stops everything and returns the first error.
func (d *Deployment) Close() error {
	d.stopEntries()
	err := d.entries.Wait()
	d.stop()
	return errors.Join(err, d.group.Wait())
}

func (d *Deployment) start(ctx, entriesCtx context.Context, m manifest.Manifest, size Size) error {
	if err := d.startPlatform(ctx); err != nil {
		return err
	}
	for _, zone := range m.Zones {
		if err := d.startZone(ctx, entriesCtx, zone, size); err != nil {
			return err
		}
	}
	if err := d.publish(ctx, m); err != nil {
		return err
	}
	return d.waitReady(ctx)
}

func (d *Deployment) startPlatform(ctx context.Context) error {
	listener, err := net.Listen("tcp", anyPort)
	if err != nil {
		return err
	}
	d.address = listener.Addr().String()
	d.Platform = platform.New(d.clock, platform.Settings{})
	d.group.Go(func() error { return d.Platform.Serve(ctx, listener) })
	return nil
}

func (d *Deployment) startZone(ctx, entriesCtx context.Context, zone manifest.Zone, size Size) error {
	for n := range size.Workers {
		if err := d.startWorker(ctx, zone, size.Worker, fmt.Sprintf("worker-%s-%d", zone.Name, n)); err != nil {
			return err
		}
	}
	for n := range size.Executors {
		host := membership.InstanceID(fmt.Sprintf("worker-%s-%d", zone.Name, n%max(size.Workers, 1)))
		if err := d.startExecutor(ctx, zone, size.Executor, host, fmt.Sprintf("executor-%s-%d", zone.Name, n)); err != nil {
			return err
		}
	}
	for n := range size.Entries {
		if err := d.startEntry(entriesCtx, zone, fmt.Sprintf("entry-%s-%d", zone.Name, n)); err != nil {
			return err
		}
	}
	return nil
}

func (d *Deployment) startWorker(ctx context.Context, zone manifest.Zone, like membership.Instance, id string) error {
	w := &worker.Worker{
		ID:           membership.InstanceID(id),
		Capacity:     like.Capacity,
		Clock:        d.clock,
		Incarnation:  uuid.NewString(),
		FirstCounter: protocol.Counter(1),
		ObjectStore:  object.Client{Address: d.address},
	}
	like.ID, like.Kind, like.State, like.Zone, like.Region = w.ID, membership.Worker, membership.Live, zone.Name, zone.Region
	d.Workers = append(d.Workers, w)
	d.group.Go(func() error { return w.Run(ctx) })
	return d.serve(ctx, like, w.Describe, &http.Server{Handler: w.Handler()})
}

func (d *Deployment) startExecutor(ctx context.Context, zone manifest.Zone, like membership.Instance, host membership.InstanceID, id string) error {
	e := &executor.Executor{
		ID: membership.InstanceID(id), Service: like.Service,
		Slots: like.Slots, Connections: like.Connections, Clock: d.clock,
	}
	like.ID, like.Kind, like.State, like.Zone, like.Region = e.ID, membership.Executor, membership.Live, zone.Name, zone.Region
	like.Host = host
	d.Executors = append(d.Executors, e)
	return d.serve(ctx, like, e.Describe, e.Server())
}

// serve opens an address for a backend server and announces it.
func (d *Deployment) serve(ctx context.Context, instance membership.Instance, describe func(membership.Instance) membership.Instance, server *http.Server) error {
	listener, err := net.Listen("tcp", anyPort)
	if err != nil {
		return err
	}
	instance.Address = listener.Addr().String()
	loop := announce.Loop{
		Announcer: announce.HTTP{Platform: d.address},
		Clock:     d.clock,
		Instance:  func() membership.Instance { return describe(instance) },
		Log:       d.log,
	}
	d.group.Go(func() error { return loop.Run(ctx) })
	d.group.Go(func() error { return httpserver.Serve(ctx, listener, server) })
	return nil
}

func (d *Deployment) startEntry(ctx context.Context, zone manifest.Zone, id string) error {
	entry, err := instance.Listen(instance.Settings{
		ID: membership.InstanceID(id), Zone: zone.Name, Region: zone.Region,
		CallerAddress: anyPort, PeerAddress: anyPort, OperatorAddress: anyPort,
		Platform: d.address, DrainTimeout: time.Minute,
	}, d.clock, d.log.With().Str("Instance", id).Logger())
	if err != nil {
		return err
	}
	d.Entries = append(d.Entries, entry)
	d.entries.Go(func() error { return entry.Run(ctx) })
	return nil
}

// Operator returns a client of the first entry instance's operator API.
func (d *Deployment) Operator() control.Client {
	return control.Client{Address: d.Entries[0].Addresses().Operator}
}

// publish publishes the manifest once the first entry instance knows the others.
func (d *Deployment) publish(ctx context.Context, m manifest.Manifest) error {
	err := d.until(ctx, func() (bool, error) {
		status, err := d.Operator().Status(ctx)
		return err == nil && len(status.Peers) == len(d.Entries)-1, nil
	})
	if err != nil {
		return err
	}
	_, err = d.Operator().Publish(ctx, m, 0, "deployment", control.DefaultWait)
	return err
}

// waitReady waits until every entry instance is ready, every zone's shards have
// workers, and every instance knows the owners of all zones.
func (d *Deployment) waitReady(ctx context.Context) error {
	return d.until(ctx, func() (bool, error) {
		known := map[string]int{}
		owned := map[string]bool{}
		for _, entry := range d.Entries {
			status, err := control.Client{Address: entry.Addresses().Operator}.Status(ctx)
			if err != nil || !status.Ready {
				return false, nil
			}
			for _, shard := range status.Shards {
				known[shard.Shard]++
				owned[shard.Shard] = shard.State == "Owned" && shard.Workers > 0
			}
			for _, peer := range status.Peers {
				for _, shard := range peer.Shards {
					known[shard]++
				}
			}
		}
		return d.allKnown(known, owned), nil
	})
}

// allKnown reports whether each zone has an owned shard that all entry instances know.
func (d *Deployment) allKnown(known map[string]int, owned map[string]bool) bool {
	zones := map[membership.Zone]bool{}
	for shard, ok := range owned {
		if ok && known[shard] >= len(d.Entries) {
			name, _, _ := strings.Cut(shard, "/")
			zones[membership.Zone(name)] = true
		}
	}
	return len(zones) == len(d.zones)
}

func (d *Deployment) until(ctx context.Context, done func() (bool, error)) error {
	for {
		ok, err := done()
		if ok || err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("the deployment is not ready: %w", context.Cause(ctx))
		case <-d.clock.After(readyPoll):
		}
	}
}

// Counters returns the sum of the counters of all entry instances.
func (d *Deployment) Counters() map[string]int64 {
	sums := map[string]int64{}
	for _, entry := range d.Entries {
		for name, value := range entry.Counters() {
			sums[name] += value
		}
	}
	return sums
}
