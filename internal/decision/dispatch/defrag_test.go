package dispatch_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
)

// Replays scale-1 of a grown site: all workers were nearly full, and a long-running task
// that had failed waited for 34 s because smaller tasks took each gap (LOST).
var _ = Describe("A long-running task that waits", func() {
	// pass lets time pass with all long-running tasks at work.
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

	// smallerTasks returns what lets a new short task come, and another one end, each time.
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

	It("gets a worker from which smaller tasks are kept", func() {
		b := newBench(1, 1)
		b.list()
		b.step(0)
		flow := smallerTasks(b)
		pass(b, 2*time.Second, flow)
		b.submit("lasting", lastingStep(1, 4))
		pass(b, 4*time.Second, flow)
		Expect(b.workersOf("lasting")).To(HaveLen(1))
	})

	// Guards against a long-running task that never runs: while a worker was held for it,
	// short tasks that found no room, and are worth more for their work, made it count as
	// without room as well (LOST on the sweep of the large site, 17 s without a run).
	It("gets that worker also where smaller tasks come first", func() {
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

	It("gets room that is there in pieces, by moving a smaller one", func() {
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

	// Replays leaving-workers of a site with seed 504392780792: workers were held for
	// tasks that didn't fit yet, and smaller ones waited that did (LOST).
	It("doesn't keep a smaller one from a worker that is held for it", func() {
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
