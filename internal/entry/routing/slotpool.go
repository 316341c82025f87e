// Package routing keeps the executor slots granted to this entry instance and sends
// requests to executors.
package routing

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
	"github.com/jacinthtrail/jacinthtrail/internal/caller/service"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/admission"
	grants "github.com/jacinthtrail/jacinthtrail/internal/decision/slots"
	"github.com/jacinthtrail/jacinthtrail/internal/entry/shard"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/manifest"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// Network round trips that admission adds for executors outside the instance's zone.
// They are the round trips in the two users' networks; none are measured at run time.
const (
	sameRegionRoundTrip  = 3 * time.Millisecond
	otherRegionRoundTrip = 16 * time.Millisecond
)

// Membership provides the cached list of instances.
type Membership interface {
	Snapshot() membership.Snapshot
}

// Configuration provides the manifest in force.
type Configuration interface {
	Current() manifest.Published
}

// Counters counts events by name.
type Counters interface {
	Add(name string, delta int64)
}

// target is an executor that requests can be sent to.
type target struct {
	id        membership.InstanceID
	address   string
	shard     worker.ShardID
	distance  admission.Distance
	roundTrip time.Duration
}

// shortage is the demand of a service that exceeds the slots granted to the instance.
type shortage struct {
	waiting int
	// since is when the shortage was first reported.
	since time.Time
	// reports counts the reports, so that an update can detect newer ones.
	reports uint64
}

// SlotPool keeps the slot grants that this instance holds. It implements
// service.SlotPool.
type SlotPool struct {
	Self          membership.InstanceID
	Zone          membership.Zone
	Region        membership.Region
	Membership    Membership
	Configuration Configuration
	// IsOutOfService reports whether a zone is out of service.
	IsOutOfService func(membership.Zone) bool
	Counters       Counters
	Clock          clockwork.Clock
	// OnShortage is called when a request finds no free slot. It must not block.
	OnShortage func()

	mu                 sync.Mutex
	holders            map[worker.ShardID]*grants.Holder
	membershipRevision uint64
	manifestVersion    manifest.Version
	targets            map[manifest.ServiceName][]target
	targetByID         map[membership.InstanceID]target
	inUse              map[membership.InstanceID]int
	shortages          map[manifest.ServiceName]shortage
	// revokeFuncs has the functions that end feeds, called when the grant of a feed has
	// expired.
	revokeFuncs map[*grants.Use]func()
	// everGranted is set when the first grant arrives.
	everGranted bool
	// pendingSince has the time of the last request for slots to each shard whose owner
	// hasn't answered it yet.
	pendingSince map[worker.ShardID]time.Time
}

// refresh rebuilds the executor targets if the membership list or the manifest has
// changed. The caller must hold p.mu.
func (p *SlotPool) refresh() {
	snapshot, version := p.Membership.Snapshot(), p.Configuration.Current().Version
	if p.targets != nil && snapshot.Revision == p.membershipRevision && version == p.manifestVersion {
		return
	}
	p.membershipRevision, p.manifestVersion = snapshot.Revision, version
	p.targets = map[manifest.ServiceName][]target{}
	p.targetByID = map[membership.InstanceID]target{}
	shards := p.Configuration.Current().Manifest.Limits.ShardsPerZone
	for _, instance := range snapshot.Instances {
		if instance.Kind != membership.Executor || instance.State == membership.Leaving {
			continue
		}
		t := target{
			id: instance.ID, address: instance.Address,
			shard: worker.ShardID{Zone: instance.Zone, Index: shard.IndexOf(instance.Host, shards)},
		}
		t.distance, t.roundTrip = p.distance(instance)
		name := manifest.ServiceName(instance.Service)
		p.targets[name] = append(p.targets[name], t)
		p.targetByID[t.id] = t
	}
}

func (p *SlotPool) distance(instance membership.Instance) (admission.Distance, time.Duration) {
	switch {
	case instance.Zone == p.Zone:
		return admission.SameZone, 0
	case instance.Region == p.Region:
		return admission.SameRegion, sameRegionRoundTrip
	}
	return admission.OtherRegion, otherRegionRoundTrip
}

// holder returns the holder of a shard's grants, creating it if necessary. The caller must hold p.mu.
func (p *SlotPool) holder(id worker.ShardID) *grants.Holder {
	if p.holders == nil {
		p.holders = map[worker.ShardID]*grants.Holder{}
		p.inUse = map[membership.InstanceID]int{}
		p.shortages = map[manifest.ServiceName]shortage{}
		p.pendingSince = map[worker.ShardID]time.Time{}
		p.revokeFuncs = map[*grants.Use]func(){}
	}
	if p.holders[id] == nil {
		p.holders[id] = grants.NewHolder(p.Self)
	}
	return p.holders[id]
}

// Candidates returns the executors of a service on which the instance holds slots.
func (p *SlotPool) Candidates(name manifest.ServiceName) []admission.Candidate {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refresh()
	now := p.Clock.Now()
	candidates := make([]admission.Candidate, 0, len(p.targets[name]))
	for _, t := range p.targets[name] {
		if p.IsOutOfService(t.shard.Zone) {
			continue
		}
		free := p.holder(t.shard).Free(now, t.id)
		available := min(free.Slots, free.Connections)
		if inUse := p.inUse[t.id]; available > 0 || inUse > 0 {
			candidates = append(candidates, admission.Candidate{
				Executor: t.id, Distance: t.distance, RoundTrip: t.roundTrip,
				Slots: available + inUse, InUse: inUse,
			})
		}
	}
	return candidates
}

// Acquire acquires a slot and a connection of an executor. It returns false if none is
// free.
func (p *SlotPool) Acquire(_ manifest.ServiceName, executor membership.InstanceID, feed bool) (service.Slot, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t, known := p.targetByID[executor]
	if !known {
		return service.Slot{}, false
	}
	use, ok := p.holder(t.shard).Acquire(p.Clock.Now(), []membership.InstanceID{executor}, feed)
	if !ok {
		p.Counters.Add("Slots.TakeFailed", 1)
		return service.Slot{}, false
	}
	p.inUse[executor]++
	p.countRoute(t.distance)
	decrementInUse := sync.OnceFunc(func() { p.inUse[executor]-- })
	return service.Slot{
		Executor: executor,
		Address:  t.address,
		OnFirstByte: func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.holder(t.shard).ReleaseFeedSlot(use)
			decrementInUse()
		},
		OnRevoke: func(revoke func()) {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.revokeFuncs[use] = revoke
		},
		Release: func(result service.SlotRelease) {
			p.mu.Lock()
			defer p.mu.Unlock()
			delete(p.revokeFuncs, use)
			p.release(t.shard, use, result)
			decrementInUse()
		},
	}, true
}

func (p *SlotPool) countRoute(distance admission.Distance) {
	switch distance {
	case admission.SameZone:
		p.Counters.Add("Route.SameZone", 1)
	case admission.SameRegion:
		p.Counters.Add("Route.SameRegion", 1)
	default:
		p.Counters.Add("Route.Far", 1)
	}
}

// release ends the use of a slot. If the executor may still be working, the slot stays
// in use until the service's MaxDuration has passed. The caller must hold p.mu.
func (p *SlotPool) release(id worker.ShardID, use *grants.Use, result service.SlotRelease) {
	if result.ExecutorDone {
		p.holder(id).Release(use)
		return
	}
	p.Counters.Add("Slots.InDoubt", 1)
	p.holder(id).Abandon(use)
}

// ReportShortage records that a request found no free slot, and how many requests of the
// service are waiting.
func (p *SlotPool) ReportShortage(name manifest.ServiceName, waiting int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.shortages == nil {
		p.shortages = map[manifest.ServiceName]shortage{}
	}
	current, known := p.shortages[name]
	if !known {
		current.since = p.Clock.Now()
	}
	current.reports++
	current.waiting = max(current.waiting, waiting, 1)
	p.shortages[name] = current
	p.OnShortage()
}

// ShardsToAsk returns the shards whose owners should now be asked for grants, nearest
// first. Shards of other zones are included while this instance holds grants there, or
// after a shortage that nearer shards haven't covered.
func (p *SlotPool) ShardsToAsk() []worker.ShardID {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refresh()
	now := p.Clock.Now()
	distances := map[worker.ShardID]admission.Distance{}
	for name, targets := range p.targets {
		limit := p.maxDistance(now, name, targets)
		for _, t := range targets {
			hasGrants := p.holders[t.shard] != nil && len(p.holders[t.shard].Renewals(now)) > 0
			if t.distance <= limit || hasGrants {
				distances[t.shard] = t.distance
			}
		}
	}
	ids := make([]worker.ShardID, 0, len(distances))
	for id := range distances {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b worker.ShardID) int {
		return cmp.Or(cmp.Compare(distances[a], distances[b]), cmp.Compare(a.String(), b.String()))
	})
	return ids
}

// How long a shortage lasts before executors farther away are considered. Traffic
// between regions costs money, so nearer owners get several chances to grant slots first.
const (
	sameRegionDelay  = 20 * time.Millisecond
	otherRegionDelay = 100 * time.Millisecond
)

// maxDistance returns the distance up to which executors of a service may be used now.
func (p *SlotPool) maxDistance(now time.Time, name manifest.ServiceName, targets []target) admission.Distance {
	nearest := admission.OtherRegion
	for _, t := range targets {
		if !p.IsOutOfService(t.shard.Zone) {
			nearest = min(nearest, t.distance)
		}
	}
	current, short := p.shortages[name]
	switch {
	case !short:
		return nearest
	case now.Sub(current.since) >= otherRegionDelay:
		return admission.OtherRegion
	case now.Sub(current.since) >= sameRegionDelay:
		return max(nearest, admission.SameRegion)
	}
	return nearest
}
