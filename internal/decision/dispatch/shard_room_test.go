package dispatch_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// Guards against downtimes of long-running tasks of which no log tells whether the room was in another
// shard or on workers that weren't available.
var _ = Describe("The record of the shard's room", func() {
	// shard returns a harness with available workers of the given sizes.
	shard := func(sizes map[membership.InstanceID]float64) *harness {
		h := newHarness(1, 0)
		for id, processors := range sizes {
			h.workers[id] = newFakeWorker(id, processors)
		}
		h.listWorkers()
		h.advance(0)
		h.advance(100 * time.Millisecond)
		return h
	}
	// records returns the rooms that are recorded in the next seconds.
	records := func(h *harness, seconds int) []dispatch.ShardRoom {
		h.decisions = nil
		for range seconds * 10 {
			h.advance(100 * time.Millisecond)
		}
		var list []dispatch.ShardRoom
		for _, d := range h.decisions {
			if d.Event == "ShardRoom" {
				list = append(list, *d.ShardRoom)
			}
		}
		return list
	}

	It("is made once a second", func() {
		Expect(records(shard(map[membership.InstanceID]float64{"a": 6}), 5)).To(HaveLen(5))
	})

	It("has the totals, and the free resources of the four workers with the most", func() {
		h := shard(map[membership.InstanceID]float64{"a": 3, "b": 6, "c": 2, "d": 5, "e": 4})
		h.workers["new"] = newFakeWorker("new", 8)
		h.workers["new"].info.Draining = true
		h.listWorkers()
		h.submit("j", dispatch.Step{Tasks: 1, Resources: cores(6), Estimate: time.Minute})
		Expect(records(h, 1)).To(ConsistOf(dispatch.ShardRoom{
			Workers: 5, Capacity: cores(20), Reserved: cores(6),
			Free: []resource.Vector{cores(5), cores(4), cores(3), cores(2)},
		}))
	})

	It("tells the workers that aren't available from the others", func() {
		h := shard(map[membership.InstanceID]float64{"a": 3, "b": 6, "c": 2, "d": 5})
		for _, id := range []membership.InstanceID{"b", "c", "d"} {
			h.workers[id].silent = true
		}
		Expect(records(h, 1)).To(ConsistOf(dispatch.ShardRoom{
			Workers: 4, Unavailable: 3, Capacity: cores(3),
			Free: []resource.Vector{cores(3)}, UnavailableFree: []resource.Vector{cores(6), cores(5)},
		}))
	})

	It("has the long-running tasks that ran before and are down", func() {
		h := shard(map[membership.InstanceID]float64{"a": 2})
		h.submit("j", longRunningStep(2, 2))
		h.advance(100 * time.Millisecond)
		h.workers["a"].running[h.starts[0].Task].Percent = 100
		h.advance(100 * time.Millisecond)
		h.workers["a"].info.Draining = true
		h.listWorkers()
		h.endRun("a", h.starts[0].Task, dispatch.EndFailed)
		rooms := records(h, 3)
		Expect(rooms).To(HaveLen(3))
		Expect(rooms[2].TasksDown).To(Equal(1))
		Expect(rooms[2].LongestDowntime).To(BeNumerically("~", 2500*time.Millisecond, 500*time.Millisecond))
	})
})
