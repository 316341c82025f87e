package dispatch_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
)

// lostTime returns the time that the decisions of an event add up to, by reason.
func (h *harness) lostTime(event string) map[string]time.Duration {
	lost := map[string]time.Duration{}
	for _, d := range h.decisions {
		if d.Event == event {
			lost[d.Reason] += d.Took
		}
	}
	return lost
}

// Guards against an account of a day that is silent on serving tasks: on run quiet-1 of
// bogkreds-jt they lost all that callers lost there.
var _ = Describe("The account of serving tasks", func() {
	It("adds up the time over the target, by task and cause", func() {
		h := newHarness(1, 1)
		h.listWorkers()
		h.submit("serving", longRunningStep(3, 1))
		h.runFor(200 * time.Millisecond)
		h.reportTails(5)
		h.runFor(time.Second)
		h.reportTails(30)
		h.runFor(time.Second)
		h.reportTails(5)
		h.runFor(time.Second)
		Expect(h.lostTime("ServingOverTarget")).To(Equal(map[string]time.Duration{"without fillers": 3 * time.Second}))
	})

	It("names fillers that may be the cause", func() {
		h := newHarness(1, 1)
		h.playSlowServingTask(0, 24)
		h.reportTails(5)
		h.runFor(time.Second)
		Expect(h.lostTime("ServingOverTarget")).To(HaveKey("beside a filler that may interfere"))
	})

	It("adds up the time for which a task is down, by reason", func() {
		h := newHarness(1, 2)
		h.listWorkers()
		h.submit("serving", servingStep(1))
		h.runFor(200 * time.Millisecond)
		h.reportTails(5)
		h.runFor(time.Second)
		Expect(h.lostTime("TaskDown")).To(HaveKey("first start"))
		h.workers[h.workersOf("serving")[0]].silent = true
		lostWorker := h.workersOf("serving")[0]
		h.runFor(6 * time.Second)
		delete(h.workers[lostWorker].running, dispatch.TaskID{Job: "serving"})
		h.reportTails(5)
		h.runFor(time.Second)
		Expect(h.lostTime("TaskDown")["lease ended"]).To(BeNumerically(">", time.Second))
	})

	It("counts no downtime for a task that an earlier owner keeps at work", func() {
		h := newHarness(2, 1)
		run := dispatch.TaskRun{Task: dispatch.TaskID{Job: "serving"}, Run: 1}
		h.workers["w0"].running[run.Task] = &dispatch.RunningTask{TaskRun: run, Percent: 100, Measurement: 5}
		h.engine.AddJob(h.now, dispatch.Job{
			ID: "serving", Queue: batchQueue, Accepted: h.now, Steps: []dispatch.Step{servingStep(1)},
		}, dispatch.Progress{}, true)
		h.engine.Recover(h.now, 0)
		h.listWorkers()
		h.runFor(time.Second)
		Expect(h.workersOf("serving")).To(HaveLen(1))
		Expect(h.lostTime("TaskDown")).To(BeEmpty())
	})
})
