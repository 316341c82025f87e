// Package deployment runs a small deployment on loopback in one process: entry
// instances with a stand-in platform, stand-in workers and stand-in executors.
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

// loopbackAnyPort listens on a free loopback port that the system chooses.
const loopbackAnyPort = "127.0.0.1:0"

// pollInterval is the time between checks whether the deployment is ready.
const pollInterval = 50 * time.Millisecond

// Size is the number and capacity of the instances in each availability zone.
type Size struct {
	Entries   int
	Workers   int
	Executors int
	// Worker has the capacity of each worker.
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

	clock           clockwork.Clock
	log             zerolog.Logger
	zones           []manifest.Zone
	platformAddress string
	backgroundGroup *errgroup.Group
	stopBackground  context.CancelFunc
	// entryGroup runs the entry instances. They are stopped first, so that the platform
	// still runs during their planned stop.
	entryGroup  *errgroup.Group
	stopEntries context.CancelFunc
}

// Start starts a deployment with the zones of a manifest, publishes the manifest and waits
// until the deployment is ready. Close stops it.
func Start(ctx context.Context, m manifest.Manifest, size Size, clock clockwork.Clock, log zerolog.Logger) (*Deployment, error) {
	ctx, stop := context.WithCancel(ctx)
	group, ctx := errgroup.WithContext(ctx)
	entriesCtx, stopEntries := context.WithCancel(ctx)
	d := &Deployment{
		clock: clock, log: log, zones: m.Zones, backgroundGroup: group, stopBackground: stop,
		entryGroup: &errgroup.Group{}, stopEntries: stopEntries,
	}
	if err := d.start(ctx, entriesCtx, m, size); err != nil {
		return nil, errors.Join(err, d.Close())
	}
	return d, nil
}

// Close stops the entry instances and then the rest. It joins the first
// error of each.
func (d *Deployment) Close() error {
	d.stopEntries()
	err := d.entryGroup.Wait()
	d.stopBackground()
	return errors.Join(err, d.backgroundGroup.Wait())
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
	listener, err := net.Listen("tcp", loopbackAnyPort)
	if err != nil {
		return err
	}
	d.platformAddress = listener.Addr().String()
	d.Platform = platform.New(d.clock, platform.Settings{})
	d.backgroundGroup.Go(func() error { return d.Platform.Serve(ctx, listener) })
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

func (d *Deployment) startWorker(ctx context.Context, zone manifest.Zone, template membership.Instance, id string) error {
	w := &worker.Worker{
		ID:           membership.InstanceID(id),
		Capacity:     template.Capacity,
		Clock:        d.clock,
		Incarnation:  uuid.NewString(),
		FirstCounter: protocol.Counter(1),
		ObjectStore:  object.Client{Address: d.platformAddress},
	}
	template.ID, template.Kind, template.State, template.Zone, template.Region = w.ID, membership.Worker, membership.Live, zone.Name, zone.Region
	d.Workers = append(d.Workers, w)
	d.backgroundGroup.Go(func() error { return w.Run(ctx) })
	return d.serveAndAnnounce(ctx, template, w.Describe, &http.Server{Handler: w.Handler()})
}

func (d *Deployment) startExecutor(ctx context.Context, zone manifest.Zone, template membership.Instance, host membership.InstanceID, id string) error {
	e := &executor.Executor{
		ID: membership.InstanceID(id), Service: template.Service,
		Slots: template.Slots, Connections: template.Connections, Clock: d.clock,
	}
	template.ID, template.Kind, template.State, template.Zone, template.Region = e.ID, membership.Executor, membership.Live, zone.Name, zone.Region
	template.Host = host
	d.Executors = append(d.Executors, e)
	return d.serveAndAnnounce(ctx, template, e.Describe, e.Server())
}

// serveAndAnnounce serves a worker or executor on a free port and announces its address.
func (d *Deployment) serveAndAnnounce(ctx context.Context, instance membership.Instance, describe func(membership.Instance) membership.Instance, server *http.Server) error {
	listener, err := net.Listen("tcp", loopbackAnyPort)
	if err != nil {
		return err
	}
	instance.Address = listener.Addr().String()
	loop := announce.Loop{
		Announcer: announce.HTTP{Platform: d.platformAddress},
		Clock:     d.clock,
		Instance:  func() membership.Instance { return describe(instance) },
		Log:       d.log,
	}
	d.backgroundGroup.Go(func() error { return loop.Run(ctx) })
	d.backgroundGroup.Go(func() error { return httpserver.Serve(ctx, listener, server) })
	return nil
}

func (d *Deployment) startEntry(ctx context.Context, zone manifest.Zone, id string) error {
	entry, err := instance.Listen(instance.Settings{
		ID: membership.InstanceID(id), Zone: zone.Name, Region: zone.Region,
		CallerAddress: loopbackAnyPort, PeerAddress: loopbackAnyPort, OperatorAddress: loopbackAnyPort,
		Platform: d.platformAddress, DrainTimeout: time.Minute,
	}, d.clock, d.log.With().Str("Instance", id).Logger())
	if err != nil {
		return err
	}
	d.Entries = append(d.Entries, entry)
	d.entryGroup.Go(func() error { return entry.Run(ctx) })
	return nil
}

// Operator returns a client of the first entry instance's operator API.
func (d *Deployment) Operator() control.Client {
	return control.Client{Address: d.Entries[0].Addresses().Operator}
}

// publish publishes the manifest once the first entry instance has all others as peers.
func (d *Deployment) publish(ctx context.Context, m manifest.Manifest) error {
	err := d.waitUntil(ctx, func() (bool, error) {
		status, err := d.Operator().Status(ctx)
		return err == nil && len(status.Peers) == len(d.Entries)-1, nil
	})
	if err != nil {
		return err
	}
	_, err = d.Operator().Publish(ctx, m, 0, "deployment", control.DefaultWait)
	return err
}

// waitReady waits until every entry instance is ready and every zone has an owned shard
// that has workers and that all entry instances know.
func (d *Deployment) waitReady(ctx context.Context) error {
	return d.waitUntil(ctx, func() (bool, error) {
		knownBy := map[string]int{}
		owned := map[string]bool{}
		for _, entry := range d.Entries {
			status, err := control.Client{Address: entry.Addresses().Operator}.Status(ctx)
			if err != nil || !status.Ready {
				return false, nil
			}
			for _, shard := range status.Shards {
				knownBy[shard.Shard]++
				owned[shard.Shard] = shard.State == "Owned" && shard.Workers > 0
			}
			for _, peer := range status.Peers {
				for _, shard := range peer.Shards {
					knownBy[shard]++
				}
			}
		}
		return d.areZonesReady(knownBy, owned), nil
	})
}

// areZonesReady reports whether each zone has an owned shard that all entry instances
// know. knownBy is the number of entry instances that know a shard.
func (d *Deployment) areZonesReady(knownBy map[string]int, owned map[string]bool) bool {
	readyZones := map[membership.Zone]bool{}
	for shard, isOwned := range owned {
		if isOwned && knownBy[shard] >= len(d.Entries) {
			name, _, _ := strings.Cut(shard, "/")
			readyZones[membership.Zone(name)] = true
		}
	}
	return len(readyZones) == len(d.zones)
}

func (d *Deployment) waitUntil(ctx context.Context, condition func() (bool, error)) error {
	for {
		done, err := condition()
		if done || err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("deployment didn't become ready: %w", context.Cause(ctx))
		case <-d.clock.After(pollInterval):
		}
	}
}

// Counters returns the sums of the counters of all entry instances.
func (d *Deployment) Counters() map[string]int64 {
	totals := map[string]int64{}
	for _, entry := range d.Entries {
		for name, value := range entry.Counters() {
			totals[name] += value
		}
	}
	return totals
}
