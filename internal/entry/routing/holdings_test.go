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

// world has what Holdings reads: the list, the manifest and the zones out of service.
type world struct {
	list membership.Snapshot
	out  map[membership.Zone]bool
}

func (w *world) Snapshot() membership.Snapshot { return w.list }

func (w *world) Current() manifest.Published {
	return manifest.Published{Manifest: manifest.Manifest{Limits: manifest.Limits{ShardsPerZone: 1}}}
}

func (w *world) Add(string, int64) {}

// newTestHoldings returns the holdings of an instance in zone-a with an executor in
// its zone, one in its region and one far away.
func newTestHoldings() (*Holdings, *world, *clockwork.FakeClock) {
	w := &world{out: map[membership.Zone]bool{}}
	for _, e := range []struct{ zone, region string }{{"zone-a", "east"}, {"zone-b", "east"}, {"zone-c", "west"}} {
		w.list.Instances = append(w.list.Instances, membership.Instance{
			ID: membership.InstanceID("executor-" + e.zone), Kind: membership.Executor, Service: "desk",
			Zone: membership.Zone(e.zone), Region: membership.Region(e.region), Host: "worker-" + membership.InstanceID(e.zone),
		})
	}
	clock := clockwork.NewFakeClock()
	return &Holdings{
		Self: "entry-1", Zone: "zone-a", Region: "east", Membership: w, Configuration: w,
		IsOut:    func(zone membership.Zone) bool { return w.out[zone] },
		Counters: w, Clock: clock, Kick: func() {},
	}, w, clock
}

func shardOf(zone membership.Zone) worker.ShardID { return worker.ShardID{Zone: zone} }

// hold gives the instance a demand grant on the executor of a zone, and lists the
// executors as a request does.
func hold(h *Holdings, zone membership.Zone, slots int) {
	id := grants.GrantID{Epoch: 1, Number: 1}
	h.Answered(shardOf(zone), h.Clock.Now(), grant.AcquireAnswer{Epoch: 1, Grants: []grants.Grant{{
		ID: id, Executor: membership.InstanceID("executor-" + string(zone)), Holder: h.Self, Kind: grants.Demand,
		Amount: grants.Amount{Slots: slots, Connections: slots}, Term: 5 * time.Second, MaxDuration: time.Second,
	}}})
	h.Candidates("desk")
}

var _ = Describe("Holdings", func() {
	// Guards against requests that wait for an owner that is frozen.
	It("expects an answer of the owner for a moment, until it has answered or failed to", func() {
		h, _, clock := newTestHoldings()
		id := worker.ShardID{Zone: "zone-a"}
		Expect(h.Asked("desk")).To(BeFalse())
		h.Request(id)
		Expect(h.Asked("desk")).To(BeTrue())
		h.Answered(id, clock.Now(), grant.AcquireAnswer{})
		Expect(h.Asked("desk")).To(BeFalse())
		h.Request(id)
		h.Unanswered(id)
		Expect(h.Asked("desk")).To(BeFalse())
		h.Request(id)
		clock.Advance(answerPatience)
		Expect(h.Asked("desk")).To(BeFalse())
	})

	// Guards against traffic between regions that a nearer slot would save.
	It("asks its zone first, then its region, then far away", func() {
		h, _, clock := newTestHoldings()
		Expect(h.Shards()).To(Equal([]worker.ShardID{shardOf("zone-a")}))
		h.Wanted("desk", 1)
		Expect(h.Shards()).To(HaveLen(1))
		clock.Advance(reachRegionAfter)
		Expect(h.Shards()).To(Equal([]worker.ShardID{shardOf("zone-a"), shardOf("zone-b")}))
		clock.Advance(reachFarAfter - reachRegionAfter)
		Expect(h.Shards()).To(Equal([]worker.ShardID{shardOf("zone-a"), shardOf("zone-b"), shardOf("zone-c")}))
	})

	// Guards against requests to a zone out of service or to an executor that leaves.
	It("offers no executor of a zone out of service and no leaving one", func() {
		h, w, _ := newTestHoldings()
		hold(h, "zone-a", 2)
		Expect(h.Candidates("desk")).To(HaveLen(1))
		w.out["zone-a"] = true
		Expect(h.Candidates("desk")).To(BeEmpty())
		w.out["zone-a"] = false
		w.list.Instances[0].State = membership.Leaving
		w.list.Revision++
		Expect(h.Candidates("desk")).To(BeEmpty())
		_, ok := h.Take("desk", "executor-zone-a", false)
		Expect(ok).To(BeFalse())
	})

	// Guards against a slot that is returned while the executor may still work.
	It("returns all but what is in use or in doubt", func() {
		h, _, _ := newTestHoldings()
		hold(h, "zone-a", 4)
		used, _ := h.Take("desk", "executor-zone-a", false)
		doubtful, _ := h.Take("desk", "executor-zone-a", false)
		doubtful.Release(service.SlotUse{})
		returned := h.ReturnAll()
		Expect(returned).To(HaveLen(1))
		Expect(returned[0].Renewals[0].Amount).To(Equal(grants.Amount{Slots: 2, Connections: 2}))
		used.Release(service.SlotUse{Done: true})
		Expect(h.Request(shardOf("zone-a")).Renewals[0].Amount).To(Equal(grants.Amount{Slots: 1, Connections: 1}))
	})

	// Guards against feeds that keep a connection which the owner lends again.
	It("ends a feed once when its grant has expired, and not before", func() {
		h, _, clock := newTestHoldings()
		hold(h, "zone-a", 1)
		ended := 0
		slot, _ := h.Take("desk", "executor-zone-a", true)
		slot.OnRevoke(func() { ended++ })
		h.Tick()
		Expect(ended).To(BeZero())
		clock.Advance(5 * time.Second)
		h.Tick()
		h.Tick()
		Expect(ended).To(Equal(1))
	})

	// Guards against a deadlock: the queue is locked while it asks for Candidates.
	It("looks at the queue without its own lock", func() {
		h, _, _ := newTestHoldings()
		h.Wanted("desk", 1)
		h.ClearWants(func(string) int {
			Expect(h.mu.TryLock()).To(BeTrue())
			h.mu.Unlock()
			return 0
		})
		Expect(h.HasWants()).To(BeFalse())
	})
})
