package dispatch_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
)

// Guards against a long-running task that waits too long for room. On workers that were nearly
// full, a failed long-running task waited for 34 s because smaller tasks took each gap, and was
// counted as lost.
var _ = Describe("A waiting long-running task", func() {
	// runFor advances the time with all running tasks reporting 100 percent.
	runFor := func(h *harness, d time.Duration, each func()) {
		for range int(d / (100 * time.Millisecond)) {
			for _, w := range h.workers {
				for _, run := range w.running {
					run.Percent = 100
				}
			}
			if each != nil {
				each()
			}
			h.advance(100 * time.Millisecond)
		}
	}

	// smallerTasks returns a function that submits a new short task and ends others.
	smallerTasks := func(h *harness) func() {
		next := 0
		return func() {
			for id, w := range h.workers {
				for task, run := range w.running {
					if task.Job != "lasting" && run.Percent == 100 && (next+int(task.Job[1]))%2 == 0 {
						h.endRun(id, task, dispatch.EndDone)
						break
					}
				}
			}
			next++
			h.submit(dispatch.JobID(fmt.Sprintf("s%04d", next)), dispatch.Step{Tasks: 1, Resources: cores(2), Estimate: 200 * time.Millisecond})
		}
	}

	// fragment returns a harness in which the job "large" waits because smaller long-running tasks fragment the
	// room. A worker that isn't listed yet has room for one of them.
	fragment := func() *harness {
		h := newHarness(1, 2)
		h.listWorkers()
		h.advance(0)
		small := longRunningStep(4, 2)
		small.MaxPerWorker = 2
		h.submit("small", small)
		runFor(h, time.Second, nil)
		Expect(h.workersOf("small")).To(HaveLen(4))
		h.submit("large", longRunningStep(1, 4))
		runFor(h, 4*time.Second, nil)
		Expect(h.workersOf("large")).To(BeEmpty())
		for _, w := range h.workers {
			w.info.Capacity = cores(7)
		}
		h.workers["w2"] = newFakeWorker("w2", 2)
		return h
	}

	It("holds a worker for a waiting long-running task against smaller tasks", func() {
		h := newHarness(1, 1)
		h.listWorkers()
		h.advance(0)
		flow := smallerTasks(h)
		runFor(h, 2*time.Second, flow)
		h.submit("lasting", longRunningStep(1, 4))
		runFor(h, 4*time.Second, flow)
		Expect(h.workersOf("lasting")).To(HaveLen(1))
	})

	// Guards against a long-running task that never runs. While a worker was held for it, short
	// tasks with a higher value density that found no room caused the engine to skip it as
	// unplaceable too. It was without a run for 17 s.
	It("starts a long-running task on its held worker even if smaller tasks come first", func() {
		h := newHarness(1, 1)
		h.listWorkers()
		h.advance(0)
		flow := smallerTasks(h)
		runFor(h, 2*time.Second, flow)
		step := longRunningStep(1, 4)
		step.Estimate = time.Minute
		h.submit("lasting", step)
		runFor(h, 4*time.Second, flow)
		Expect(h.workersOf("lasting")).To(HaveLen(1))
	})

	It("moves a smaller long-running task if a larger one finds only fragmented room", func() {
		h := fragment()
		h.listWorkers()
		runFor(h, 4*time.Second, nil)
		Expect(h.workersOf("large")).To(HaveLen(1))
		Expect(h.workersOf("small")).To(HaveLen(4))
	})

	It("moves no smaller task while many workers are being replaced", func() {
		h := fragment()
		h.beginReplacement()
		runFor(h, 4*time.Second, nil)
		Expect(h.workersOf("large")).To(BeEmpty())
		Expect(h.stops).To(BeEmpty())
		runFor(h, 12*time.Second, nil)
		Expect(h.workersOf("large")).To(HaveLen(1))
	})

	// Guards against a hold that blocks tasks which fit. Workers were held for tasks that didn't
	// fit yet, while smaller ones that did fit waited and were counted as lost.
	It("doesn't keep a smaller long-running task off a worker that is held for a larger one", func() {
		h := newHarness(1, 1)
		h.listWorkers()
		h.advance(0)
		h.submit("small", longRunningStep(1, 3))
		runFor(h, time.Second, nil)
		h.submit("short", dispatch.Step{Tasks: 1, Resources: cores(1), Estimate: time.Minute})
		runFor(h, time.Second, nil)
		h.submit("large", longRunningStep(1, 3))
		runFor(h, 2*time.Second, nil)
		Expect(h.workersOf("large")).To(BeEmpty())
		h.submit("other", longRunningStep(1, 2))
		runFor(h, 500*time.Millisecond, nil)
		Expect(h.workersOf("other")).To(HaveLen(1))
	})
})
