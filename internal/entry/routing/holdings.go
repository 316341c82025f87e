// Package routing has the slots of executors that this entry instance has in hand,
// and sends requests to executors.
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

// Round trips that admission adds for executors outside the zone, as long as no
// measurement exists. They are those of the two users' networks.
const (
	regionRoundTrip = 3 * time.Millisecond
	farRoundTrip    = 16 * time.Millisecond
)

// Membership is the cached list of instances.
type Membership interface {
	Snapshot() membership.Snapshot
}

// Configuration is the manifest in force.
type Configuration interface {
	Current() manifest.Published
}

// Counters counts events by name.
type Counters interface {
	Add(name string, delta int64)
}

// target is an executor that requests may go to.
type target struct {
	id        membership.InstanceID
	address   string
	shard     worker.ShardID
	distance  admission.Distance
	roundTrip time.Duration
}

// want is the demand of a service that the grants in hand don't meet.
type want struct {
	waiting int
	// since is when the want arose.
	since time.Time
	// raised counts the requests that found no slot.
	raised uint64
}

// Holdings has the grants in hand. It implements service.Holdings.
type Holdings struct {
	Self          membership.InstanceID
	Zone          membership.Zone
	Region        membership.Region
	Membership    Membership
	Configuration Configuration
	// IsOut reports whether a zone is out of service.
	IsOut    func(membership.Zone) bool
	Counters Counters
	Clock    clockwork.Clock
	// Kick is called when a request finds no slot. It must not block.
	Kick func()

	mu       sync.Mutex
	holders  map[worker.ShardID]*grants.Holder
	revision uint64
	version  manifest.Version
	targets  map[manifest.ServiceName][]target
	byID     map[membership.InstanceID]target
	inUse    map[membership.InstanceID]int
	wants    map[manifest.ServiceName]want
	// revocations has what to call when the grant of a feed has expired.
	revocations map[*grants.Use]func()
	// granted is set with the first grant.
	granted bool
	// asked has the shards whose owner has not answered the last request for slots, with
	// the time of that request.
	asked map[worker.ShardID]time.Time
}

// refresh rebuilds the list of executors when the membership list or the manifest
// has changed. The lock is held.
func (h *Holdings) refresh() {
	snapshot, version := h.Membership.Snapshot(), h.Configuration.Current().Version
	if h.targets != nil && snapshot.Revision == h.revision && version == h.version {
		return
	}
	h.revision, h.version = snapshot.Revision, version
	h.targets = map[manifest.ServiceName][]target{}
	h.byID = map[membership.InstanceID]target{}
	shards := h.Configuration.Current().Manifest.Limits.ShardsPerZone
	for _, instance := range snapshot.Instances {
		if instance.Kind != membership.Executor || instance.State == membership.Leaving {
			continue
		}
		t := target{
			id: instance.ID, address: instance.Address,
			shard: worker.ShardID{Zone: instance.Zone, Index: shard.IndexOf(instance.Host, shards)},
		}
		t.distance, t.roundTrip = h.distance(instance)
		name := manifest.ServiceName(instance.Service)
		h.targets[name] = append(h.targets[name], t)
		h.byID[t.id] = t
	}
}

func (h *Holdings) distance(instance membership.Instance) (admission.Distance, time.Duration) {
	switch {
	case instance.Zone == h.Zone:
		return admission.SameZone, 0
	case instance.Region == h.Region:
		return admission.SameRegion, regionRoundTrip
	}
	return admission.Far, farRoundTrip
}

// holder returns the share in a shard's executors. The lock is held.
func (h *Holdings) holder(id worker.ShardID) *grants.Holder {
	if h.holders == nil {
		h.holders = map[worker.ShardID]*grants.Holder{}
		h.inUse = map[membership.InstanceID]int{}
		h.wants = map[manifest.ServiceName]want{}
		h.asked = map[worker.ShardID]time.Time{}
		h.revocations = map[*grants.Use]func(){}
	}
	if h.holders[id] == nil {
		h.holders[id] = grants.NewHolder(h.Self)
	}
	return h.holders[id]
}

// Candidates returns the executors of a service with slots in hand.
func (h *Holdings) Candidates(name manifest.ServiceName) []admission.Candidate {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.refresh()
	now := h.Clock.Now()
	candidates := make([]admission.Candidate, 0, len(h.targets[name]))
	for _, t := range h.targets[name] {
		if h.IsOut(t.shard.Zone) {
			continue
		}
		free := h.holder(t.shard).Free(now, t.id)
		startable := min(free.Slots, free.Connections)
		if inUse := h.inUse[t.id]; startable > 0 || inUse > 0 {
			candidates = append(candidates, admission.Candidate{
				Executor: t.id, Distance: t.distance, RoundTrip: t.roundTrip,
				Slots: startable + inUse, InUse: inUse,
			})
		}
	}
	return candidates
}

// Take takes a slot and a connection of an executor.
func (h *Holdings) Take(_ manifest.ServiceName, executor membership.InstanceID, feed bool) (service.Slot, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	t, known := h.byID[executor]
	if !known {
		return service.Slot{}, false
	}
	use, ok := h.holder(t.shard).Take(h.Clock.Now(), []membership.InstanceID{executor}, feed)
	if !ok {
		h.Counters.Add("Slots.TakeFailed", 1)
		return service.Slot{}, false
	}
	h.inUse[executor]++
	h.countDistance(t.distance)
	free := sync.OnceFunc(func() { h.inUse[executor]-- })
	return service.Slot{
		Executor: executor,
		Address:  t.address,
		FirstByte: func() {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.holder(t.shard).FirstByte(use)
			free()
		},
		OnRevoke: func(end func()) {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.revocations[use] = end
		},
		Release: func(ended service.SlotUse) {
			h.mu.Lock()
			defer h.mu.Unlock()
			delete(h.revocations, use)
			h.release(t.shard, use, ended)
			free()
		},
	}, true
}

func (h *Holdings) countDistance(distance admission.Distance) {
	switch distance {
	case admission.SameZone:
		h.Counters.Add("Route.SameZone", 1)
	case admission.SameRegion:
		h.Counters.Add("Route.SameRegion", 1)
	default:
		h.Counters.Add("Route.Far", 1)
	}
}

// release ends a use. The lock is held.
func (h *Holdings) release(id worker.ShardID, use *grants.Use, ended service.SlotUse) {
	if ended.Done {
		h.holder(id).Put(use)
		return
	}
	h.Counters.Add("Slots.InDoubt", 1)
	h.holder(id).Abandon(use)
}

// Wanted notes that a request found no slot.
func (h *Holdings) Wanted(name manifest.ServiceName, waiting int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.wants == nil {
		h.wants = map[manifest.ServiceName]want{}
	}
	w, known := h.wants[name]
	if !known {
		w.since = h.Clock.Now()
	}
	w.raised++
	w.waiting = max(w.waiting, waiting, 1)
	h.wants[name] = w
	h.Kick()
}

// Shards returns the shards to ask for grants now, the nearest first. Shards of
// other zones are asked while this instance holds grants there, or when a want was
// not met nearer.
func (h *Holdings) Shards() []worker.ShardID {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.refresh()
	now := h.Clock.Now()
	distances := map[worker.ShardID]admission.Distance{}
	for name, targets := range h.targets {
		reach := h.reach(now, name, targets)
		for _, t := range targets {
			holding := h.holders[t.shard] != nil && len(h.holders[t.shard].Renewals(now)) > 0
			if t.distance <= reach || holding {
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

// Waits before a want reaches for executors farther away. Crossing the link between
// regions costs money, so what is near gets several chances first.
const (
	reachRegionAfter = 20 * time.Millisecond
	reachFarAfter    = 100 * time.Millisecond
)

// reach returns how far away a service may look for executors now.
func (h *Holdings) reach(now time.Time, name manifest.ServiceName, targets []target) admission.Distance {
	nearest := admission.Far
	for _, t := range targets {
		if !h.IsOut(t.shard.Zone) {
			nearest = min(nearest, t.distance)
		}
	}
	w, wanted := h.wants[name]
	switch {
	case !wanted:
		return nearest
	case now.Sub(w.since) >= reachFarAfter:
		return admission.Far
	case now.Sub(w.since) >= reachRegionAfter:
		return max(nearest, admission.SameRegion)
	}
	return nearest
}
