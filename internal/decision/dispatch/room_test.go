package dispatch_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
)

// Guards against urgent jobs that wait because the free capacity is fragmented: if
// long-running tasks reserve nine tenths of the processors, the rest can be in pieces too small
// for any urgent task.
var _ = Describe("Room beside long-running tasks", func() {
	short := func(processors float64) dispatch.Step {
		return dispatch.Step{Tasks: 1, Resources: cores(processors), Estimate: time.Second}
	}

	It("leaves free capacity in one piece instead of a little on each worker", func() {
		h := newHarness(1, 4)
		h.listWorkers()
		h.advance(0)
		for _, id := range []dispatch.JobID{"a", "b", "c", "d"} {
			h.submit(id, longRunningStep(2, 2))
			h.advance(200 * time.Millisecond)
		}
		Expect(h.starts).To(HaveLen(8))
		h.submit("urgent", short(5))
		h.advance(200 * time.Millisecond)
		Expect(h.workersOf("urgent")).To(HaveLen(1))
	})

	It("starts a short task first, and a long-running one once the short one has ended", func() {
		h := newHarness(1, 1)
		h.listWorkers()
		h.advance(0)
		h.submit("lasting", longRunningStep(1, 4))
		h.submit("urgent", short(4))
		h.advance(200 * time.Millisecond)
		Expect(h.workersOf("urgent")).To(HaveLen(1))
		Expect(h.workersOf("lasting")).To(BeEmpty())
		h.endRun("w0", dispatch.TaskID{Job: "urgent"}, dispatch.EndDone)
		h.advance(200 * time.Millisecond)
		h.advance(200 * time.Millisecond)
		Expect(h.workersOf("lasting")).To(HaveLen(1))
	})

	// Guards against a long-running task that never starts because short tasks take all capacity
	// that becomes free: one was without a run for 17 s after it was moved, although there was room
	// for it.
	It("starts a long-running task first if it has waited too long", func() {
		h := newHarness(1, 1)
		h.listWorkers()
		h.advance(0)
		h.workers["w0"].silent = true
		h.submit("lasting", longRunningStep(1, 4))
		urgent := short(4)
		// The job can still meet its objective after the wait.
		urgent.Estimate = 10 * time.Second
		h.submit("urgent", urgent)
		for range 40 {
			h.advance(100 * time.Millisecond)
		}
		Expect(h.starts).To(BeEmpty())
		h.workers["w0"].silent = false
		h.advance(100 * time.Millisecond)
		Expect(h.workersOf("lasting")).To(HaveLen(1))
		Expect(h.workersOf("urgent")).To(BeEmpty())
	})

	// Guards against a long-running task that never runs: while a worker was held for it, short
	// tasks that found no other room caused the engine to skip it as unplaceable too.
	It("starts the long-running task for which a worker is held", func() {
		h := newHarness(1, 1)
		h.listWorkers()
		h.advance(0)
		h.submit("first", short(4))
		h.advance(200 * time.Millisecond)
		h.submit("lasting", longRunningStep(1, 4))
		for _, id := range []dispatch.JobID{"s1", "s2", "s3"} {
			h.submit(id, short(3))
		}
		for range 10 {
			h.advance(200 * time.Millisecond)
		}
		h.endRun("w0", dispatch.TaskID{Job: "first"}, dispatch.EndDone)
		h.advance(200 * time.Millisecond)
		h.advance(200 * time.Millisecond)
		Expect(h.workersOf("lasting")).To(HaveLen(1))
	})
})
