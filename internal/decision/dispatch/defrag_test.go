package dispatch_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
)

// Guards against a long-running task that waits too long for room. In run scale-1 of a site
// that had grown, all workers were nearly full, and a long-running task that had failed waited
// for 34 s because smaller tasks took each gap. It was counted as lost.
var _ = Describe("A waiting long-running task", func() {
	// pass advances the time with all running tasks reporting 100 percent.
	pass := func(b *bench, d time.Duration, each func()) {
		for range int(d / (100 * time.Millisecond)) {
			for _, w := range b.workers {
				for _, run := range w.running {
					run.Percent = 100
				}
			}
			if each != nil {
				each()
			}
			b.step(100 * time.Millisecond)
		}
	}

	// smallerTasks returns a function that submits a new short task and ends others.
	smallerTasks := func(b *bench) func() {
		next := 0
		return func() {
			for id, w := range b.workers {
				for task, run := range w.running {
					if task.Job != "lasting" && run.Percent == 100 && (next+int(task.Job[1]))%2 == 0 {
						b.end(id, task, dispatch.EndDone)
						break
					}
				}
			}
			next++
			b.submit(dispatch.JobID(fmt.Sprintf("s%04d", next)), dispatch.Step{Tasks: 1, Resources: cores(2), Estimate: 200 * time.Millisecond})
		}
	}

	It("gets a worker that is held for it against smaller tasks", func() {
		b := newBench(1, 1)
		b.list()
		b.step(0)
		flow := smallerTasks(b)
		pass(b, 2*time.Second, flow)
		b.submit("lasting", lastingStep(1, 4))
		pass(b, 4*time.Second, flow)
		Expect(b.workersOf("lasting")).To(HaveLen(1))
	})

	// Guards against a long-running task that never runs. While a worker was held for it, short
	// tasks with a higher value density that found no room caused the engine to skip it as
	// unplaceable too (counted as lost in the sweep of the large site, 17 s without a run).
	It("gets the held worker even if smaller tasks come first", func() {
		b := newBench(1, 1)
		b.list()
		b.step(0)
		flow := smallerTasks(b)
		pass(b, 2*time.Second, flow)
		step := lastingStep(1, 4)
		step.Estimate = time.Minute
		b.submit("lasting", step)
		pass(b, 4*time.Second, flow)
		Expect(b.workersOf("lasting")).To(HaveLen(1))
	})

	It("gets fragmented room after a smaller long-running task is moved", func() {
		b := newBench(1, 2)
		b.list()
		b.step(0)
		small := lastingStep(4, 2)
		small.MaxPerWorker = 2
		b.submit("small", small)
		pass(b, time.Second, nil)
		Expect(b.workersOf("small")).To(HaveLen(4))
		b.submit("large", lastingStep(1, 4))
		pass(b, 4*time.Second, nil)
		Expect(b.workersOf("large")).To(BeEmpty())
		for _, w := range b.workers {
			w.info.Capacity = cores(7)
		}
		b.workers["w2"] = newFakeWorker("w2", 2)
		b.list()
		pass(b, 4*time.Second, nil)
		Expect(b.workersOf("large")).To(HaveLen(1))
		Expect(b.workersOf("small")).To(HaveLen(4))
	})

	// Guards against a hold that blocks tasks which fit. In run leaving-workers of a site with
	// seed 504392780792, workers were held for tasks that didn't fit yet while smaller ones that
	// did fit waited and were counted as lost.
	It("doesn't keep a smaller long-running task off a worker that is held for it", func() {
		b := newBench(1, 1)
		b.list()
		b.step(0)
		b.submit("small", lastingStep(1, 3))
		pass(b, time.Second, nil)
		b.submit("short", dispatch.Step{Tasks: 1, Resources: cores(1), Estimate: time.Minute})
		pass(b, time.Second, nil)
		b.submit("large", lastingStep(1, 3))
		pass(b, 2*time.Second, nil)
		Expect(b.workersOf("large")).To(BeEmpty())
		b.submit("other", lastingStep(1, 2))
		pass(b, 500*time.Millisecond, nil)
		Expect(b.workersOf("other")).To(HaveLen(1))
	})
})
