package dispatch_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// Guards against two runs of a task at once: places where what one answer lacks, or a lease end that
// the owner no longer knows, counted as proof that a run can't be active any more.
var _ = Describe("A run that may still be active", func() {
	const interval = 100 * time.Millisecond

	// restartDuringStart lets w0 restart under its ID while a poll is on its way, and its new process
	// accept a start that was sent before the owner knew. The run isn't listed yet. It returns the
	// poll, which hasn't been answered.
	restartDuringStart := func() (*harness, *fakeWorker, dispatch.Poll) {
		GinkgoHelper()
		h := newHarness(1, 2)
		h.workers["w1"].info.Draining = true
		h.listWorkers()
		h.advance(interval)
		w := h.workers["w0"]
		p, _ := h.engine.Poll(h.now, "w0")
		w.incarnation, w.clock = 2, 0
		h.submit("j", batchStep(1))
		h.tick()
		Expect(h.starts).To(HaveLen(1))
		Expect(h.starts[0].Worker).To(Equal(membership.InstanceID("w0")))
		w.hidden[h.starts[0].Task] = true
		w.refuses, h.workers["w1"].info.Draining = true, false
		h.listWorkers()
		return h, w, p
	}

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

	// The old process's poll fails, so the poll that shows the restart is sent after the new process
	// has accepted the start, but its report may miss the run, as any other may.
	It("is kept if the worker's new process accepted it before the poll that shows the restart", func() {
		h, w, _ := restartDuringStart()
		h.engine.PollFailed(h.now, "w0")
		for range 5 {
			h.advance(interval)
			Expect(h.workersOf("j")).To(Equal([]membership.InstanceID{"w0"}))
		}
		w.hidden[h.starts[0].Task] = false
		h.advance(interval)
		Expect(h.starts).To(HaveLen(1))
	})
})
