package dispatch_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/interference"
)

// Guards against a filler job that makes no progress while most capacity is free. If an image
// interferes with serving tasks on all workers but one, force-started fillers crowd that one.
// They took 10 s each, and while two of them ran, two other jobs of the image had nothing
// running for 28 s, which counts as lost.
var _ = Describe("A filler job whose only compatible worker is crowded", func() {
	It("runs beside serving tasks after a longer delay", func() {
		h := newHarness(1, 2)
		h.listWorkers()
		serving := longRunningStep(1, 6)
		serving.MaxPerWorker = 1
		h.submit("serving", serving)
		h.runFor(200 * time.Millisecond)
		h.engine.RestoreEstimates(h.now, []interference.Estimate{
			{Pair: interference.Pair{Service: "serve", Class: "loud"}, Probability: 0.97},
		})
		// The fillers never end.
		filler := func(tasks int) dispatch.Step {
			step := fillerStep(tasks, "loud")
			step.Resources.Memory = 0
			return step
		}
		h.submit("crowd", filler(9))
		h.runFor(time.Second)
		for _, id := range []dispatch.JobID{"first", "second", "third"} {
			h.submit(id, filler(1))
		}
		for range 14 {
			h.reportTails(5)
			h.runFor(time.Second)
		}
		for _, id := range []dispatch.JobID{"first", "second", "third"} {
			Expect(h.workersOf(id)).To(HaveLen(1), string(id))
		}
	})
})
