package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/mechanism"
)

var _ = Describe("A disabled mechanism", func() {
	const urgentQueue = dispatch.QueueName("urgent")

	// Each scenario plays the load that a mechanism answers, and reports whether the engine
	// acted on it.
	DescribeTable("doesn't act on the load that it answers", func(m mechanism.Mechanism, acts func(*harness) bool) {
		Expect(acts(newHarness(1, 2))).To(BeTrue(), "enabled")
		Expect(acts(newHarnessWithout(mechanism.Of(m), 1, 2))).To(BeFalse(), "disabled")
	},
		Entry("Preemption", mechanism.Preemption, func(h *harness) bool {
			h.engine.SetQueues(map[dispatch.QueueName]dispatch.Queue{
				urgentQueue: {Name: urgentQueue, Service: "pool"},
				batchQueue:  {Name: batchQueue, Service: "pool", Priority: 1},
			})
			h.listWorkers()
			h.submit("batch", batchStep(12))
			h.runFor(500 * time.Millisecond)
			h.engine.AddJob(h.now, dispatch.Job{
				ID: "urgent", Queue: urgentQueue, Accepted: h.now, Steps: []dispatch.Step{batchStep(1)},
			}, dispatch.Progress{}, false)
			h.runFor(time.Second)
			return len(h.workersOf("urgent")) > 0
		}),
		Entry("Stragglers", mechanism.Stragglers, func(h *harness) bool {
			h.listWorkers()
			h.submit("hung", batchStep(1))
			h.runFor(5 * time.Second)
			return len(h.stops) > 0
		}),
		Entry("Quarantine", mechanism.Quarantine, func(h *harness) bool {
			delete(h.workers, "w1")
			h.listWorkers()
			h.runFor(200 * time.Millisecond)
			for _, id := range []dispatch.JobID{"a", "b"} {
				h.submit(id, batchStep(1))
				h.runFor(200 * time.Millisecond)
				h.endRun("w0", dispatch.TaskID{Job: id}, dispatch.EndFailed)
			}
			h.runFor(100 * time.Millisecond)
			h.submit("c", batchStep(1))
			h.runFor(time.Second)
			return len(h.workersOf("c")) == 0
		}),
		Entry("PaceControl", mechanism.PaceControl, func(h *harness) bool {
			h.playSlowServingTask(20, 22)
			return len(h.paces) > 0
		}),
		Entry("InterferenceEviction", mechanism.InterferenceEviction, func(h *harness) bool {
			h.playSlowServingTask(0, 24)
			return h.hasStopped("interferes with a serving task")
		}),
		Entry("SuspectEviction", mechanism.SuspectEviction, func(h *harness) bool {
			h.playSlowServingTask(0, 30)
			return h.hasStopped("may interfere with a serving task")
		}),
		Entry("Reservations", mechanism.Reservations, func(h *harness) bool {
			h.occupy(3*time.Second, 2*time.Second)
			h.await(wholeWorkerStep(1))
			return len(h.reservedWorkers()) > 0
		}),
		Entry("Backfill", mechanism.Backfill, func(h *harness) bool {
			delete(h.workers, "w1")
			h.occupy(3 * time.Second)
			h.await(wholeWorkerStep(1))
			h.submit("short", smallStep(500*time.Millisecond))
			h.advance(50 * time.Millisecond)
			return len(h.workersOf("short")) > 0
		}),
		Entry("LargeGaps", mechanism.LargeGaps, func(h *harness) bool {
			h.occupy(3*time.Second, 3*time.Second)
			h.submit("beside", longRunningStep(1, 1))
			h.advance(50 * time.Millisecond)
			h.submit("large", wholeWorkerStep(1))
			h.pass(200 * time.Millisecond)
			h.submit("small", smallStep(time.Second))
			h.advance(50 * time.Millisecond)
			return slices.Equal(h.workersOf("small"), h.workersOf("beside"))
		}),
		Entry("YieldToShortTasks", mechanism.YieldToShortTasks, func(h *harness) bool {
			delete(h.workers, "w1")
			h.listWorkers()
			h.runFor(100 * time.Millisecond)
			h.submit("lasting", longRunningStep(1, 4))
			h.submit("short", dispatch.Step{Tasks: 1, Resources: cores(4), Estimate: time.Second})
			h.runFor(200 * time.Millisecond)
			return len(h.workersOf("short")) > 0
		}),
		Entry("OverloadRefusal", mechanism.OverloadRefusal, func(h *harness) bool {
			h.listWorkers()
			h.runFor(200 * time.Millisecond)
			h.submit("backlog", dispatch.Step{Tasks: 600, Resources: cores(2), Estimate: time.Second})
			return h.engine.Admit(h.now, dispatch.Job{
				ID: "new", Queue: batchQueue, Accepted: h.now,
				Steps: []dispatch.Step{{Tasks: 600, Resources: cores(2), Estimate: time.Second}},
			}).Refused != ""
		}),
	)

	// A disabled mechanism may cost time, but keeps no job from completing and never makes
	// the engine exceed the capacity of a worker.
	DescribeTable("keeps no job from completing and exceeds no capacity", func(disabled mechanism.Set) {
		const seed = 7
		random := rand.New(rand.NewPCG(seed, seed))
		h := newHarnessWithout(disabled, 1, 3)
		h.listWorkers()
		needs := map[dispatch.JobID]resource.Vector{}
		for i := range 40 {
			id := dispatch.JobID(fmt.Sprintf("j%d", i))
			needs[id] = cores(1 + float64(random.IntN(3)))
			h.submit(id, dispatch.Step{Tasks: 1 + random.IntN(5), Resources: needs[id], Estimate: time.Second})
			h.runFor(200 * time.Millisecond)
			h.expectWithinCapacity(needs)
			h.endSomeRuns(random)
		}
		for range 200 {
			h.runFor(100 * time.Millisecond)
			h.endSomeRuns(random)
		}
		for id := range needs {
			expectState(h, id, dispatch.Completed)
		}
	},
		Entry("with none disabled", mechanism.Set(0)),
		Entry("with all disabled", mechanism.Of(mechanism.All()...)),
	)
})

// runFor advances the time in small steps.
func (h *harness) runFor(total time.Duration) {
	const tick = 100 * time.Millisecond
	for at := time.Duration(0); at < total; at += tick {
		h.advance(tick)
	}
}

// playSlowServingTask runs a filler beside a serving task whose tail latency is good for a
// number of reports and then above its target of 20 ms.
func (h *harness) playSlowServingTask(goodReports, tail int) {
	delete(h.workers, "w1")
	h.listWorkers()
	h.submit("serving", servingStep(1))
	h.runFor(200 * time.Millisecond)
	h.reportTails(5)
	h.submit("fill", fillerStep(1, "loud"))
	for range goodReports {
		h.advance(500 * time.Millisecond)
		h.reportTails(5)
	}
	for range 5 {
		h.advance(500 * time.Millisecond)
		h.reportTails(tail)
	}
}

// hasStopped reports whether the engine has stopped a run for the reason.
func (h *harness) hasStopped(reason string) bool {
	return slices.ContainsFunc(h.decisions, func(d dispatch.Decision) bool {
		return d.Event == "TaskStopping" && d.Reason == reason
	})
}

// endSomeRuns ends about half of the runs successfully.
func (h *harness) endSomeRuns(random *rand.Rand) {
	for _, id := range h.engine.Workers() {
		for _, c := range h.starts {
			if _, running := h.workers[id].running[c.Task]; running && random.IntN(2) == 0 {
				h.endRun(id, c.Task, dispatch.EndDone)
			}
		}
	}
}

// expectWithinCapacity checks that the runs on each worker fit its capacity, given the
// resources of the tasks of each job.
func (h *harness) expectWithinCapacity(needs map[dispatch.JobID]resource.Vector) {
	GinkgoHelper()
	for id, w := range h.workers {
		var sum resource.Vector
		for task := range w.running {
			sum = sum.Add(needs[task.Job])
		}
		Expect(sum.FitsIn(w.info.Capacity)).To(BeTrue(), "%v on %s", sum, id)
	}
}
