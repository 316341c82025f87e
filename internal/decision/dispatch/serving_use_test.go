package dispatch_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/mechanism"
)

// Guards against fillers that wait for a worker while its serving tasks use little of what
// they reserve. When five of nine filler images interfered with four of five serving images, the
// 17 workers that accepted them were a third idle.
var _ = Describe("A worker that serving tasks have reserved", func() {
	// startedFillers returns how many fillers of one processor run beside serving tasks that
	// reserve all six, given the tail latencies that they report in turn. Their target is 20 ms.
	startedFillers := func(disabled mechanism.Set, tails ...int) int {
		h := newHarnessWithout(disabled, 1, 1)
		h.listWorkers()
		h.submit("serving", longRunningStep(3, 2))
		h.advance(0)
		h.advance(0)
		for _, tail := range tails {
			for range 12 {
				h.reportTails(tail)
				h.advance(500 * time.Millisecond)
			}
		}
		filler := fillerStep(6, "quiet")
		filler.Resources.Memory = 0
		h.submit("fill", filler)
		h.advance(100 * time.Millisecond)
		h.advance(100 * time.Millisecond)
		return len(h.workersOf("fill"))
	}
	const low, high = 5, 17

	It("gets more fillers while the tail latencies show little load", func() {
		Expect(startedFillers(0, high, low)).To(BeNumerically(">", startedFillers(0, low, high)))
	})

	It("gets as many fillers at high load as when the load isn't known", func() {
		Expect(startedFillers(0, low, high)).To(Equal(startedFillers(0)))
	})

	// Guards against a first measurement at a load peak that counts as one without load.
	It("gets no more fillers before its image was measured for some time", func() {
		Expect(startedFillers(0, low)).To(Equal(startedFillers(0)))
	})

	It("gets the same number at any load if the use isn't measured", func() {
		disabled := mechanism.Of(mechanism.MeasuredUse)
		Expect(startedFillers(disabled, high, low)).To(Equal(startedFillers(disabled, low, high)))
	})

	// A worker keeps some of its processors for its serving tasks at any load.
	It("isn't given away entirely", func() {
		Expect(startedFillers(0, high, low)).To(BeNumerically("<", 6))
	})
})
