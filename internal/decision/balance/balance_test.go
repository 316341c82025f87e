package balance_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/balance"
)

func TestBalance(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Balance")
}

// Guards against a shard that has no room for a task while other shards have.
// Long-running jobs of 14 tasks reserved 80% of the processors and were distributed
// over five shards by ID alone.
var _ = Describe("Choose", func() {
	full := balance.Load{Capacity: 100_000, LongRunning: 95_000, FillerWork: 20 * time.Second}
	even := balance.Load{Capacity: 100_000, LongRunning: 80_000, FillerWork: 20 * time.Second}
	free := balance.Load{Capacity: 100_000, LongRunning: 70_000, FillerWork: 20 * time.Second}
	busy := balance.Load{Capacity: 100_000, LongRunning: 80_000, FillerWork: 90 * time.Second}
	unknown := balance.Load{}
	longRunning := balance.Demand{LongRunning: 10_000}
	batch := balance.Demand{FillerWork: 10 * time.Second}

	It("chooses the shard with the lowest share of long-running tasks for a long-running job", func() {
		Expect(balance.Choose(0, longRunning, []balance.Load{full, even, free})).To(Equal(2))
		Expect(balance.Choose(2, longRunning, []balance.Load{full, even, free})).To(Equal(2))
	})

	It("chooses the shard that finishes its work first for a batch job", func() {
		Expect(balance.Choose(0, batch, []balance.Load{busy, even, busy})).To(Equal(1))
	})

	// Guards against urgent tasks that wait seconds for processors to reserve, in a shard
	// that has little work to do but is filled with long-running tasks.
	It("chooses a shard with unreserved processors for a job that reserves processors", func() {
		urgent := balance.Demand{ReservingWork: 10 * time.Second}
		packed := balance.Load{Capacity: 100_000, LongRunning: 95_000, ReservingWork: 10 * time.Second}
		roomy := balance.Load{Capacity: 100_000, LongRunning: 80_000, ReservingWork: 10 * time.Second, FillerWork: 90 * time.Second}
		Expect(balance.Choose(0, urgent, []balance.Load{packed, roomy})).To(Equal(1))
	})

	It("keeps a job in its home shard when another shard is only slightly better", func() {
		slightlyBetter := even
		slightlyBetter.LongRunning -= 1000
		Expect(balance.Choose(0, longRunning, []balance.Load{even, slightlyBetter})).To(Equal(0))
		Expect(balance.Choose(0, batch, []balance.Load{even, slightlyBetter})).To(Equal(0))
	})

	It("never moves a job to a shard with unknown load, and moves jobs away from a shard without workers", func() {
		Expect(balance.Choose(0, longRunning, []balance.Load{full, unknown})).To(Equal(0))
		Expect(balance.Choose(0, batch, []balance.Load{unknown, busy})).To(Equal(1))
		Expect(balance.Choose(0, batch, []balance.Load{unknown, unknown})).To(Equal(0))
	})
})

// Guards against long-running tasks that stay down in a full shard while another one has room, and
// against shards that pass such tasks to each other.
var _ = Describe("ChooseForRestart", func() {
	room := func(processors resource.MilliProcessors) balance.Room {
		return balance.Room{Service: "pool", Free: resource.Vector{Processors: processors}}
	}
	load := func(started resource.MilliProcessors, rooms ...balance.Room) balance.Load {
		return balance.Load{Capacity: 100_000, LongRunning: 105_000, Started: started, Rooms: rooms}
	}
	overfull, full := load(105_000), load(97_000, room(900))
	need := room(1_000)
	expectNone := func(own int, loads ...balance.Load) {
		GinkgoHelper()
		_, found := balance.ChooseForRestart(own, need, loads)
		Expect(found).To(BeFalse())
	}
	expectChosen := func(want, own int, loads ...balance.Load) {
		GinkgoHelper()
		chosen, found := balance.ChooseForRestart(own, need, loads)
		Expect(found).To(BeTrue())
		Expect(chosen).To(Equal(want))
	}

	It("chooses the shard with the lowest share of started tasks that has a worker with room", func() {
		expectChosen(2, 0, overfull, load(90_000, room(2_000)), load(80_000, room(3_000), room(1_000)), load(70_000, room(500)))
	})

	It("chooses none if no worker elsewhere has room, or the share there is hardly lower", func() {
		expectNone(0, overfull, full)
		expectNone(0, load(80_000), load(79_500, room(2_000)))
		expectNone(0, overfull)
	})

	It("never chooses a shard with an unknown load, or room of another pool", func() {
		expectNone(0, overfull, balance.Load{Rooms: []balance.Room{room(2_000)}})
		expectNone(0, overfull, load(80_000, balance.Room{Service: "other", Free: need.Free}))
	})

	It("uses each room for one task", func() {
		free := load(80_000, room(2_000), room(1_500))
		expectChosen(1, 0, overfull, free.TakeRoom(need))
		expectNone(0, overfull, free.TakeRoom(need).TakeRoom(need))
	})
})
