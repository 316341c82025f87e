package dispatch_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// Guards against a gang that never starts although there is room: only the rack of the best worker for its
// first task was tried, and with one worker of it lost or in use the others didn't fit (review case 3).
var _ = Describe("A gang that wants a single rack", func() {
	const workersPerRack = 3

	// newRacks returns a harness with racks of three workers, without the lost ones.
	newRacks := func(racks int, lost ...int) *harness {
		h := newHarness(1, racks*workersPerRack)
		for i := range racks * workersPerRack {
			h.workers[workerID(i)].info.Labels = []dispatch.Label{rackLabel(i / workersPerRack)}
		}
		for _, i := range lost {
			delete(h.workers, workerID(i))
		}
		h.listWorkers()
		h.advance(100 * time.Millisecond)
		return h
	}
	submitGang := func(h *harness, tasks int) {
		h.submit("j", dispatch.Step{Tasks: tasks, Resources: cores(5), Estimate: time.Second, Gang: true, OneRack: true})
	}
	// usedRacks returns the racks of the started tasks.
	usedRacks := func(h *harness) map[dispatch.Label]int {
		racks := map[dispatch.Label]int{}
		for _, c := range h.starts {
			racks[h.workers[c.Worker].info.Labels[0]]++
		}
		return racks
	}

	It("starts in a rack that has room for all of its tasks, whichever rack the best worker is in", func() {
		for lost := range 9 {
			h := newRacks(3, lost)
			submitGang(h, 3)
			h.advance(100 * time.Millisecond)
			Expect(h.starts).To(HaveLen(3), "worker %d lost", lost)
			Expect(usedRacks(h)).To(HaveLen(1))
		}
	})

	It("waits for a moment and is then spread over racks if none has room for all", func() {
		h := newRacks(2, 0, 3)
		submitGang(h, 3)
		for range 15 {
			h.advance(100 * time.Millisecond)
			Expect(h.starts).To(BeEmpty())
		}
		for range 10 {
			h.advance(100 * time.Millisecond)
		}
		Expect(h.starts).To(HaveLen(3))
		Expect(usedRacks(h)).To(HaveLen(2))
	})

	It("starts in a rack that gets room while it waits", func() {
		h := newRacks(2, 0, 3)
		submitGang(h, 3)
		h.advance(time.Second)
		Expect(h.starts).To(BeEmpty())
		added := newFakeWorker(workerID(3), 6)
		added.info.Labels = []dispatch.Label{rackLabel(1)}
		h.workers[added.info.ID] = added
		h.listWorkers()
		h.advance(100 * time.Millisecond)
		h.advance(100 * time.Millisecond)
		Expect(usedRacks(h)).To(Equal(map[dispatch.Label]int{rackLabel(1): 3}))
	})

	It("is never started in part", func() {
		h := newRacks(1, 0)
		submitGang(h, 3)
		for range 40 {
			h.advance(100 * time.Millisecond)
		}
		Expect(h.starts).To(BeEmpty())
	})
})

func workerID(i int) membership.InstanceID {
	return membership.InstanceID(fmt.Sprintf("w%d", i))
}

func rackLabel(i int) dispatch.Label {
	return dispatch.Label(fmt.Sprintf("r1-%d", i))
}
