package dispatch_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
)

// Guards against urgent jobs that wait because the free capacity is fragmented. On the grown
// and large sites, long-running tasks reserve nine tenths of the processors, and the rest was
// in pieces too small for any urgent task.
var _ = Describe("Room beside long-running tasks", func() {
	short := func(processors float64) dispatch.Step {
		return dispatch.Step{Tasks: 1, Resources: cores(processors), Estimate: time.Second}
	}

	It("is left in one piece instead of a little on each worker", func() {
		b := newBench(1, 4)
		b.list()
		b.step(0)
		for _, id := range []dispatch.JobID{"a", "b", "c", "d"} {
			b.submit(id, lastingStep(2, 2))
			b.step(200 * time.Millisecond)
		}
		Expect(b.starts).To(HaveLen(8))
		b.submit("urgent", short(5))
		b.step(200 * time.Millisecond)
		Expect(b.workersOf("urgent")).To(HaveLen(1))
	})

	It("goes to a short task first, and to a long-running one once the short one has ended", func() {
		b := newBench(1, 1)
		b.list()
		b.step(0)
		b.submit("lasting", lastingStep(1, 4))
		b.submit("urgent", short(4))
		b.step(200 * time.Millisecond)
		Expect(b.workersOf("urgent")).To(HaveLen(1))
		Expect(b.workersOf("lasting")).To(BeEmpty())
		b.end("w0", dispatch.TaskID{Job: "urgent"}, dispatch.EndDone)
		b.step(200 * time.Millisecond)
		b.step(200 * time.Millisecond)
		Expect(b.workersOf("lasting")).To(HaveLen(1))
	})

	// Guards against a long-running task that never starts because short tasks take all capacity
	// that becomes free (chairrota-large, run trouble-2: counted as lost 17 s after it was moved,
	// although there was room for it).
	It("goes first to a long-running task that has waited too long", func() {
		b := newBench(1, 1)
		b.list()
		b.step(0)
		b.workers["w0"].silent = true
		b.submit("lasting", lastingStep(1, 4))
		urgent := short(4)
		// The job can still meet its objective after the wait.
		urgent.Estimate = 10 * time.Second
		b.submit("urgent", urgent)
		for range 40 {
			b.step(100 * time.Millisecond)
		}
		Expect(b.starts).To(BeEmpty())
		b.workers["w0"].silent = false
		b.step(100 * time.Millisecond)
		Expect(b.workersOf("lasting")).To(HaveLen(1))
		Expect(b.workersOf("urgent")).To(BeEmpty())
	})

	// Guards against a long-running task that never runs: while a worker was held for it, short
	// tasks that found no other room caused the engine to skip it as unplaceable too.
	It("is taken by the long-running task for which a worker is held", func() {
		b := newBench(1, 1)
		b.list()
		b.step(0)
		b.submit("first", short(4))
		b.step(200 * time.Millisecond)
		b.submit("lasting", lastingStep(1, 4))
		for _, id := range []dispatch.JobID{"s1", "s2", "s3"} {
			b.submit(id, short(3))
		}
		for range 10 {
			b.step(200 * time.Millisecond)
		}
		b.end("w0", dispatch.TaskID{Job: "first"}, dispatch.EndDone)
		b.step(200 * time.Millisecond)
		b.step(200 * time.Millisecond)
		Expect(b.workersOf("lasting")).To(HaveLen(1))
	})
})
