package dispatch_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/mechanism"
)

var _ = Describe("A reservation", func() {
	queues := map[dispatch.QueueName]dispatch.Queue{
		batchQueue: {Name: batchQueue, Service: "pool", Priority: 0, SlackFactor: 2, TargetLatency: time.Minute},
		"low":      {Name: "low", Service: "pool", Priority: 1, SlackFactor: 2, TargetLatency: time.Minute},
	}
	// Guards against runs that are stopped for a task which may not use their room.
	It("stops no run of a less urgent queue for a task that only the reservation keeps from starting", func() {
		h := newHarnessWithout(mechanism.Of(mechanism.Stragglers), 1, 1)
		h.engine.SetQueues(queues)
		h.listWorkers()
		h.advance(0)
		h.engine.AddJob(h.now, dispatch.Job{ID: "low", Queue: "low", Accepted: h.now, Steps: []dispatch.Step{{Tasks: 1, Resources: cores(1), Image: "low", Estimate: 6 * time.Second}}}, dispatch.Progress{}, false)
		h.submit(busyJob(0), dispatch.Step{Tasks: 1, Resources: cores(3), Image: "busy", Estimate: 6 * time.Second})
		h.advance(10 * time.Millisecond)
		h.await(wholeWorkerStep(1))
		before := h.counts["Task.Evicted.Preempted"]
		h.submit("long", smallStep(30*time.Second))
		for range 20 {
			h.advance(50 * time.Millisecond)
		}
		Expect(h.workersOf("long")).To(BeEmpty())
		Expect(h.counts["Task.Evicted.Preempted"]).To(Equal(before))
	})
	// Guards against a task of unknown length that is treated as one that ends at once.
	It("refuses a task without an estimate", func() {
		h := newHarnessWithout(mechanism.Of(mechanism.Stragglers), 1, 1)
		h.occupy(3 * time.Second)
		h.await(wholeWorkerStep(1))
		Expect(h.reservedWorkers()).To(HaveLen(1))
		h.submit("unknown", smallStep(0))
		h.advance(50 * time.Millisecond)
		Expect(h.workersOf("unknown")).To(BeEmpty())
	})
	// Guards against an estimate that overflows when it is corrected by what was learned.
	It("refuses a task with an estimate of a month whose class takes thousands of times its estimates", func() {
		h := newHarnessWithout(mechanism.Of(mechanism.Stragglers), 1, 1)
		h.listWorkers()
		h.advance(0)
		for i := range 6 {
			id := dispatch.JobID(string(rune('a' + i)))
			h.submit(id, dispatch.Step{Tasks: 1, Resources: cores(1), Image: "small", Estimate: time.Millisecond})
			for range 50 {
				h.advance(100 * time.Millisecond)
			}
			h.endRun("w0", dispatch.TaskID{Job: id}, dispatch.EndDone)
			h.advance(50 * time.Millisecond)
		}
		h.occupy(3 * time.Second)
		h.submit("large", wholeWorkerStep(1))
		for range 40 {
			h.submit(dispatch.JobID("p"+h.now.String()), dispatch.Step{Tasks: 1, Resources: cores(1), Image: "p", Estimate: 10 * time.Millisecond})
			id := dispatch.JobID("p" + h.now.String())
			h.advance(100 * time.Millisecond)
			h.endRun("w0", dispatch.TaskID{Job: id}, dispatch.EndDone)
		}
		Expect(h.reservedWorkers()).NotTo(BeEmpty())
		h.submit("month", smallStep(30*24*time.Hour))
		h.advance(50 * time.Millisecond)
		Expect(h.workersOf("month")).To(BeEmpty())
	})
})
