package routing

import (
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
	"github.com/jacinthtrail/jacinthtrail/internal/caller/service"
	grants "github.com/jacinthtrail/jacinthtrail/internal/decision/slots"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/manifest"
	"github.com/jacinthtrail/jacinthtrail/internal/peer/grant"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// environment is a fake of everything that a SlotPool reads: the membership list, the
// manifest and the zones out of service.
type environment struct {
	snapshot membership.Snapshot
	zonesOut map[membership.Zone]bool
}

func (env *environment) Snapshot() membership.Snapshot { return env.snapshot }

func (env *environment) Current() manifest.Published {
	return manifest.Published{Manifest: manifest.Manifest{Limits: manifest.Limits{ShardsPerZone: 1}}}
}

func (env *environment) Add(string, int64) {}

// newTestSlotPool returns the slot pool of an instance in zone-a with one executor in the
// same zone, one in the same region and one in another region.
func newTestSlotPool() (*SlotPool, *environment, *clockwork.FakeClock) {
	env := &environment{zonesOut: map[membership.Zone]bool{}}
	for _, e := range []struct{ zone, region string }{{"zone-a", "east"}, {"zone-b", "east"}, {"zone-c", "west"}} {
		env.snapshot.Instances = append(env.snapshot.Instances, membership.Instance{
			ID: membership.InstanceID("executor-" + e.zone), Kind: membership.Executor, Service: "desk",
			Zone: membership.Zone(e.zone), Region: membership.Region(e.region), Host: "worker-" + membership.InstanceID(e.zone),
		})
	}
	clock := clockwork.NewFakeClock()
	return &SlotPool{
		Self: "entry-1", Zone: "zone-a", Region: "east", Membership: env, Configuration: env,
		IsOutOfService: func(zone membership.Zone) bool { return env.zonesOut[zone] },
		Counters:       env, Clock: clock, OnShortage: func() {},
	}, env, clock
}

func shardOf(zone membership.Zone) worker.ShardID { return worker.ShardID{Zone: zone} }

// grantSlots gives the instance a demand grant on the executor of a zone. It lists the
// candidates afterwards, as a request does, so that Acquire finds the executor.
func grantSlots(p *SlotPool, zone membership.Zone, slots int) {
	id := grants.GrantID{Epoch: 1, Number: 1}
	p.HandleAnswer(shardOf(zone), p.Clock.Now(), grant.AcquireAnswer{Epoch: 1, Grants: []grants.Grant{{
		ID: id, Executor: membership.InstanceID("executor-" + string(zone)), Holder: p.Self, Kind: grants.Demand,
		Amount: grants.Amount{Slots: slots, Connections: slots}, Term: 5 * time.Second, MaxDuration: time.Second,
	}}})
	p.Candidates("desk")
}

var _ = Describe("SlotPool", func() {
	// Guards against requests that wait for the answer of an owner that is frozen.
	It("treats a request to an owner as pending until an answer, a failure or the timeout", func() {
		p, _, clock := newTestSlotPool()
		id := worker.ShardID{Zone: "zone-a"}
		Expect(p.RequestPending("desk")).To(BeFalse())
		p.NewAcquireRequest(id)
		Expect(p.RequestPending("desk")).To(BeTrue())
		p.HandleAnswer(id, clock.Now(), grant.AcquireAnswer{})
		Expect(p.RequestPending("desk")).To(BeFalse())
		p.NewAcquireRequest(id)
		p.RequestFailed(id)
		Expect(p.RequestPending("desk")).To(BeFalse())
		p.NewAcquireRequest(id)
		clock.Advance(answerTimeout)
		Expect(p.RequestPending("desk")).To(BeFalse())
	})

	// Guards against avoidable traffic between regions while nearer owners may still
	// grant slots.
	It("asks owners in its zone first, then in its region, then in other regions", func() {
		p, _, clock := newTestSlotPool()
		Expect(p.ShardsToAsk()).To(Equal([]worker.ShardID{shardOf("zone-a")}))
		p.ReportShortage("desk", 1)
		Expect(p.ShardsToAsk()).To(HaveLen(1))
		clock.Advance(sameRegionDelay)
		Expect(p.ShardsToAsk()).To(Equal([]worker.ShardID{shardOf("zone-a"), shardOf("zone-b")}))
		clock.Advance(otherRegionDelay - sameRegionDelay)
		Expect(p.ShardsToAsk()).To(Equal([]worker.ShardID{shardOf("zone-a"), shardOf("zone-b"), shardOf("zone-c")}))
	})

	// Guards against requests to a zone that is out of service or to a leaving executor.
	It("excludes leaving executors and executors in zones that are out of service", func() {
		p, env, _ := newTestSlotPool()
		grantSlots(p, "zone-a", 2)
		Expect(p.Candidates("desk")).To(HaveLen(1))
		env.zonesOut["zone-a"] = true
		Expect(p.Candidates("desk")).To(BeEmpty())
		env.zonesOut["zone-a"] = false
		env.snapshot.Instances[0].State = membership.Leaving
		env.snapshot.Revision++
		Expect(p.Candidates("desk")).To(BeEmpty())
		_, ok := p.Acquire("desk", "executor-zone-a", false)
		Expect(ok).To(BeFalse())
	})

	// Guards against returning a slot on which the executor may still be working.
	It("keeps slots that are in use or abandoned when it returns its grants", func() {
		p, _, _ := newTestSlotPool()
		grantSlots(p, "zone-a", 4)
		used, _ := p.Acquire("desk", "executor-zone-a", false)
		abandoned, _ := p.Acquire("desk", "executor-zone-a", false)
		abandoned.Release(service.SlotRelease{})
		returned := p.ReturnAll()
		Expect(returned).To(HaveLen(1))
		Expect(returned[0].Renewals[0].Amount).To(Equal(grants.Amount{Slots: 2, Connections: 2}))
		used.Release(service.SlotRelease{ExecutorDone: true})
		Expect(p.NewAcquireRequest(shardOf("zone-a")).Renewals[0].Amount).To(Equal(grants.Amount{Slots: 1, Connections: 1}))
	})

	// Guards against feeds that keep using a connection after its owner may have granted
	// it to another instance.
	It("ends a feed exactly once, when its grant has expired", func() {
		p, _, clock := newTestSlotPool()
		grantSlots(p, "zone-a", 1)
		revoked := 0
		slot, _ := p.Acquire("desk", "executor-zone-a", true)
		slot.OnRevoke(func() { revoked++ })
		p.ExpireGrants()
		Expect(revoked).To(BeZero())
		clock.Advance(5 * time.Second)
		p.ExpireGrants()
		p.ExpireGrants()
		Expect(revoked).To(Equal(1))
	})

	// Guards against a deadlock: admission holds its own lock while it calls Candidates.
	It("reads the admission queue without holding its own lock", func() {
		p, _, _ := newTestSlotPool()
		p.ReportShortage("desk", 1)
		p.UpdateShortages(func(string) int {
			Expect(p.mu.TryLock()).To(BeTrue())
			p.mu.Unlock()
			return 0
		})
		Expect(p.HasShortages()).To(BeFalse())
	})
})
