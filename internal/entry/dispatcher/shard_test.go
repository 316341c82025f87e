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
	// Guards against a distribution that leaves an owner with far more workers than it can
	// manage.
	It("workers are distributed evenly over the shards", func() {
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

	// Guards against an owner that is too weak for its shard, and against shards so small
	// that one is full while others have free capacity.
	It("a deployment has as few shards as the strongest instances can own", func() {
		weak := []float64{0.16, 0.16, 0.16, 0.16, 0.16, 0.16, 0.16}
		mixed := []float64{0.1, 0.8, 0.1, 0.8, 0.1, 0.8}
		Expect(shardsFor(0, weak)).To(Equal(1))
		Expect(shardsFor(48, weak)).To(Equal(1))
		Expect(shardsFor(200, weak)).To(Equal(4))
		Expect(shardsFor(490, mixed)).To(Equal(2))
		Expect(shardsFor(700, mixed)).To(Equal(3))
		Expect(shardsFor(5000, weak)).To(Equal(7))
	})

	// Guards against a number of shards that is based on the few workers that have
	// registered early in the first start.
	It("the number of shards is chosen once the number of workers is stable", func() {
		now := time.Date(2026, 1, 5, 4, 0, 0, 0, time.UTC)
		var monitor workerCountMonitor
		Expect(monitor.isStable(now, 0)).To(BeFalse())
		Expect(monitor.isStable(now.Add(2*layoutStablePeriod), 0)).To(BeFalse())
		now = now.Add(3 * layoutStablePeriod)
		Expect(monitor.isStable(now, 5)).To(BeFalse())
		Expect(monitor.isStable(now.Add(layoutStablePeriod/2), 40)).To(BeFalse())
		Expect(monitor.isStable(now.Add(layoutStablePeriod), 40)).To(BeFalse())
		Expect(monitor.isStable(now.Add(2*layoutStablePeriod), 40)).To(BeTrue())
	})

	// Guards against all shards on one instance, or on an instance that is too weak for
	// them.
	It("the instance with the lowest relative load claims a shard first", func() {
		others := []peer{{Name: "a", Cores: 0.8, Owned: 1}, {Name: "b", Cores: 0.1}, {Name: "c", Cores: 0.1}}
		strong := loadDelay(0, 0.8, others)
		loaded := loadDelay(1, 0.8, others)
		full := loadDelay(3, 0.8, others)
		weak := loadDelay(0, 0.1, others)
		Expect(strong).To(BeZero())
		Expect(full).To(BeNumerically(">", loaded))
		Expect(weak).To(BeNumerically(">", loaded))
		Expect(loadDelay(9, 0.1, others)).To(Equal(maxLoadDelay))
		Expect(loadDelay(0, 0, nil)).To(BeZero())
		equal := []peer{{Name: "a", Cores: 0.16}, {Name: "b", Cores: 0.16}}
		Expect(loadDelay(0, 0.16, equal)).To(BeZero())
		Expect(loadDelay(1, 0.16, equal)).To(Equal(loadDelayPerShard))
		mixed := []peer{{Name: "a", Cores: 0.8}, {Name: "b", Cores: 0.2}, {Name: "c", Cores: 0.2}, {Name: "d", Cores: 0.2}}
		Expect(loadDelay(1, 0.8, mixed)).To(BeNumerically(">=", maxLatencyDelay))
	})

	It("an instance releases a shard if its relative load is much higher than another's", func() {
		equal := []peer{{Name: "a", Cores: 0.4}, {Name: "b", Cores: 0.4, Owned: 1}}
		Expect(shouldRelease(2, 0.4, equal)).To(BeTrue())
		Expect(shouldRelease(1, 0.4, equal)).To(BeFalse())
		Expect(shouldRelease(2, 0.4, equal[1:])).To(BeFalse())
		Expect(shouldRelease(3, 0.4, nil)).To(BeFalse())
		weak := []peer{{Name: "a", Cores: 0.1}}
		Expect(shouldRelease(2, 0.8, weak)).To(BeFalse())
		// Covers a case in which one of two strong instances owned both shards.
		mixed := []peer{{Name: "a", Cores: 0.8}, {Name: "b", Cores: 0.2}, {Name: "c", Cores: 0.2}, {Name: "d", Cores: 0.2}}
		Expect(shouldRelease(2, 0.8, mixed)).To(BeTrue())
		Expect(shouldRelease(1, 0.1, []peer{{Name: "a", Cores: 0.8}, {Name: "b", Cores: 0.8}})).To(BeTrue())
	})
})

// Guards against two instances that keep a dead one alive by reporting it to each
// other. During a store outage, an owner would wait in vain for its confirmation.
var _ = Describe("Known instances", func() {
	It("a dead instance is forgotten although others keep reporting it", func() {
		clock := clockwork.NewFakeClock()
		a, b := New(Options{Name: "a", Clock: clock}), New(Options{Name: "b", Clock: clock})
		a.recordPeers([]peer{{Name: "dead"}})
		for range 2 * int(peerTimeout/time.Second) {
			b.recordPeers(a.livePeers())
			a.recordPeers(b.livePeers())
			clock.Advance(time.Second)
		}
		Expect(a.livePeers()).To(BeEmpty())
		Expect(b.livePeers()).To(BeEmpty())
	})
})

// Guards against instances that spend their processors on calls to the owners of all
// shards, and against a shard that no instance watches.
var _ = Describe("Watchers", func() {
	It("each shard is watched by a few instances, different ones for each shard", func() {
		var names []membership.InstanceID
		for i := range 34 {
			names = append(names, membership.InstanceID(fmt.Sprintf("n%d", i)))
		}
		chosen := map[membership.InstanceID]int{}
		for _, shard := range []partition{"s0", "s1", "s2", "s3", "s4"} {
			count := 0
			for i, name := range names {
				others := append(slices.Clone(names[:i]), names[i+1:]...)
				if isWatcher(shard, name, others) {
					count++
					chosen[name]++
				}
			}
			Expect(count).To(Equal(watcherCount))
		}
		Expect(len(chosen)).To(BeNumerically(">", 2*watcherCount))
		Expect(isWatcher("s0", "n0", nil)).To(BeTrue())
	})
})
