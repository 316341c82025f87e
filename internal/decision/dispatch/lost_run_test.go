package dispatch_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against two runs of a task at once: places where what one answer lacks, or a lease end that
// the owner no longer knows, counted as proof that a run can't be active any more.
var _ = Describe("A run that may still be active", func() {
	const interval = 100 * time.Millisecond

	// A stop command would make the absence a proof: the worker has ended the run after it, or
	// refuses to start it.
	It("is told to stop before its task starts again if no report lists it", func() {
		h := newHarness(1, 2)
		h.listWorkers()
		h.advance(interval)
		h.submit("j", batchStep(1))
		h.advance(interval)
		h.advance(interval)
		Expect(h.starts).To(HaveLen(1))
		w := h.workers[h.starts[0].Worker]
		w.hidden[h.starts[0].Task] = true
		w.refuses = true
		for range 40 {
			h.advance(interval)
			Expect(len(h.workersOf("j"))).To(BeNumerically("<=", 1))
		}
	})

	// The stop may take its time although the run was missing for long before.
	It("is awaited for the time of a stop after the stop was accepted", func() {
		h := newHarness(1, 2)
		h.listWorkers()
		h.advance(interval)
		h.submit("j", batchStep(1))
		h.advance(interval)
		h.advance(interval)
		w := h.workers[h.starts[0].Worker]
		w.hidden[h.starts[0].Task] = true
		w.refuses, w.slowStops = true, true
		for range 40 {
			h.advance(interval)
			if len(h.stops) > 0 {
				break
			}
		}
		Expect(h.stops).To(HaveLen(1))
		for elapsed := interval; elapsed < stopTimeout; elapsed += interval {
			h.advance(interval)
			Expect(h.starts).To(HaveLen(1))
		}
	})
})
