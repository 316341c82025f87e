package dispatcher

import (
	"fmt"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

var _ = Describe("Shards", func() {
	// Guards against a cut that leaves an owner with far more workers than it can carry.
	It("share workers out evenly", func() {
		const workers, count = 490, 7
		sizes := map[shardID]int{}
		for i := range workers {
			sizes[shardOf(fmt.Sprintf("worker-%d", i), count)]++
		}
		Expect(sizes).To(HaveLen(count))
		for _, size := range sizes {
			Expect(size).To(BeNumerically("~", workers/count, workers/count/2))
		}
	})

	It("are as many as the workers need", func() {
		Expect(shardsFor(0)).To(Equal(1))
		Expect(shardsFor(66)).To(Equal(1))
		Expect(shardsFor(490)).To(Equal(7))
	})

	// Guards against a cut by the few workers that have registered at the first start.
	It("are cut once the number of workers rests", func() {
		now := time.Date(2026, 1, 5, 4, 0, 0, 0, time.UTC)
		var watch layoutWatch
		Expect(watch.rests(now, 0)).To(BeFalse())
		Expect(watch.rests(now.Add(2*layoutRest), 0)).To(BeFalse())
		now = now.Add(3 * layoutRest)
		Expect(watch.rests(now, 5)).To(BeFalse())
		Expect(watch.rests(now.Add(layoutRest/2), 40)).To(BeFalse())
		Expect(watch.rests(now.Add(layoutRest), 40)).To(BeFalse())
		Expect(watch.rests(now.Add(2*layoutRest), 40)).To(BeTrue())
	})

	// Guards against all shards on one instance, or on one too weak for them.
	It("are claimed first by the instance with the least burden", func() {
		const mean = 0.4
		strong := claimDelay(1, 0.8, mean)
		equal := claimDelay(0, 0.4, mean)
		loaded := claimDelay(1, 0.4, mean)
		weak := claimDelay(0, 0.1, mean)
		Expect(equal).To(BeZero())
		Expect(strong).To(BeZero())
		Expect(loaded).To(BeNumerically(">", equal))
		Expect(weak).To(BeNumerically(">", loaded))
		Expect(claimDelay(9, 0.1, mean)).To(Equal(maxBurdenDelay))
		Expect(claimDelay(0, 0, 0)).To(BeZero())
	})
})

// Guards against two instances that keep a dead one alive between them: an owner would
// wait in vain for its word during an outage of the store.
var _ = Describe("Known instances", func() {
	It("are forgotten when nobody hears them, whoever tells of them", func() {
		clock := clockwork.NewFakeClock()
		a, b := New(Options{Name: "a", Clock: clock}), New(Options{Name: "b", Clock: clock})
		a.meet([]peer{{Name: "dead"}})
		for range 2 * int(peerMemory/time.Second) {
			b.meet(a.others())
			a.meet(b.others())
			clock.Advance(time.Second)
		}
		Expect(a.others()).To(BeEmpty())
		Expect(b.others()).To(BeEmpty())
	})
})

// Guards against instances that spend their processors on calls to the owners of all
// shards, and against a shard that nobody watches.
var _ = Describe("Watchers", func() {
	It("are a few instances, others for each shard", func() {
		var names []membership.InstanceID
		for i := range 34 {
			names = append(names, membership.InstanceID(fmt.Sprintf("n%d", i)))
		}
		chosen := map[membership.InstanceID]int{}
		for _, shard := range []part{"s0", "s1", "s2", "s3", "s4"} {
			count := 0
			for i, name := range names {
				others := append(slices.Clone(names[:i]), names[i+1:]...)
				if isWatcher(shard, name, others) {
					count++
					chosen[name]++
				}
			}
			Expect(count).To(Equal(watchers))
		}
		Expect(len(chosen)).To(BeNumerically(">", 2*watchers))
		Expect(isWatcher("s0", "n0", nil)).To(BeTrue())
	})
})
