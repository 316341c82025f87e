package dispatcher

import (
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

var _ = Describe("The zone reader", func() {
	mayReadAll := func(peer) bool { return true }
	instances := []peer{{Name: "a", Cores: 0.1}, {Name: "b", Cores: 0.8}, {Name: "c", Cores: 0.8}, {Name: "d", Cores: 0.1}}

	// choose returns the instance that one of the instances reads from, possibly itself.
	choose := func(self peer, others []peer, mayRead func(peer) bool) membership.InstanceID {
		others = slices.DeleteFunc(slices.Clone(others), func(p peer) bool { return p.Name == self.Name })
		reader, _ := zoneReader("z", self, others, mayRead)
		return reader.Name
	}

	// Guards against two instances that each read from the other one.
	It("is the same strong instance for all instances that know each other", func() {
		first := choose(instances[0], instances, mayReadAll)
		Expect(first).To(BeElementOf(membership.InstanceID("b"), membership.InstanceID("c")))
		for _, self := range instances {
			Expect(choose(self, instances, mayReadAll)).To(Equal(first))
		}
		_, other := zoneReader("z", peer{Name: first, Cores: 0.8}, instances, func(p peer) bool { return p.Name != first })
		Expect(other).To(BeFalse())
	})

	It("is the next one if the strongest may not be asked, and the instance itself if none may", func() {
		first := choose(instances[0], instances, mayReadAll)
		second := choose(instances[0], instances, func(p peer) bool { return p.Name != first })
		Expect([]membership.InstanceID{first, second}).To(ConsistOf(membership.InstanceID("b"), membership.InstanceID("c")))
		reader, found := zoneReader("z", instances[0], instances[1:], func(peer) bool { return false })
		Expect(found).To(BeFalse())
		Expect(reader.Name).To(Equal(membership.InstanceID("a")))
	})

	It("differs between zones of equally strong instances", func() {
		readers := map[membership.InstanceID]bool{}
		for _, zone := range []membership.Zone{"z1", "z2", "z3", "z4", "z5", "z6", "z7", "z8"} {
			reader, _ := zoneReader(zone, peer{Name: "self"}, []peer{{Name: "e", Cores: 1}, {Name: "f", Cores: 1}}, mayReadAll)
			readers[reader.Name] = true
		}
		Expect(readers).To(HaveLen(2))
	})
})
