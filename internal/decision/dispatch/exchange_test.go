package dispatch_test

import (
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/interference"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// Guards against losing the few workers on which some fillers can run. Two filler images were
// compatible with only two of five serving images. One by one, the workers with only these two
// got a task of another image, because any restarted serving task took the only gap. Of ten
// such workers two were left, and the jobs with these fillers waited for half a minute.
var _ = Describe("A worker that scarce fillers need", func() {
	var h *harness
	serving := func(image dispatch.Image, tasks int, processors float64) dispatch.Step {
		return dispatch.Step{Tasks: tasks, Resources: cores(processors), LongRunning: true, Image: image, Target: 20 * time.Millisecond, MaxPerWorker: 3}
	}
	runFor := func(d time.Duration) { h.advanceStartedUp(d) }
	// serves reports whether a task of a job whose ID has the given prefix runs on the worker.
	serves := func(id membership.InstanceID, job string) bool {
		for task := range h.workers[id].running {
			if strings.HasPrefix(string(task.Job), job) {
				return true
			}
		}
		return false
	}
	// learn tells the engine that the filler image picky is compatible with the serving image
	// calm but not with touchy, and creates demand for it.
	learn := func() {
		h.engine.RestoreEstimates(h.now, []interference.Estimate{
			{Pair: interference.Pair{Service: "touchy", Class: "picky"}, Probability: 0.97},
			{Pair: interference.Pair{Service: "calm", Class: "picky"}, Probability: 0.02},
		})
		wanted := fillerStep(1, "picky")
		wanted.After = []int{0}
		h.submit("wanted", dispatch.Step{Tasks: 1, Resources: cores(100)}, wanted)
	}

	BeforeEach(func() {
		h = newHarness(1, 2)
		h.listWorkers()
		h.advance(0)
	})

	// exchange makes the task of touchy-2 take the place of that of calm-2, which moves to the
	// worker of calm-1. It calls during once calm-2 has been stopped.
	exchange := func(during func()) (blocked, unblocked membership.InstanceID) {
		h.submit("calm-1", serving("calm", 1, 5))
		runFor(500 * time.Millisecond)
		h.submit("touchy-1", serving("touchy", 1, 5))
		runFor(500 * time.Millisecond)
		// The task of calm-2 starts beside that of touchy-1, which blocks its worker for fillers,
		// because the other worker is silent.
		h.workers[h.workersOf("calm-1")[0]].silent = true
		runFor(200 * time.Millisecond)
		h.submit("calm-2", serving("calm", 1, 1))
		runFor(200 * time.Millisecond)
		Expect(h.workersOf("calm-2")).To(Equal(h.workersOf("touchy-1")))
		h.workers[h.workersOf("calm-1")[0]].silent = false
		runFor(200 * time.Millisecond)
		learn()
		runFor(500 * time.Millisecond)
		blocked = h.workersOf("touchy-1")[0]
		unblocked = h.workersOf("calm-1")[0]
		h.submit("touchy-2", serving("touchy", 1, 1))
		for n := 0; len(h.stops) == 0 && n < 40; n++ {
			runFor(100 * time.Millisecond)
		}
		Expect(h.stops).To(HaveLen(1))
		during()
		return blocked, unblocked
	}

	It("keeps a worker for scarce fillers by exchanging a serving task that would block it with another one", func() {
		blocked, unblocked := exchange(func() {})
		runFor(4 * time.Second)
		Expect(h.workersOf("touchy-2")).To(Equal([]membership.InstanceID{blocked}))
		Expect(h.workersOf("calm-2")).To(Equal([]membership.InstanceID{unblocked}))
	})

	// Guards against a task that is without a run for long because it was moved: another
	// long-running task took the room that was held for it (bogkreds-jt-grown, trouble-2: 5 s).
	It("keeps the place of an exchanged serving task for it, even if another one would come first", func() {
		_, unblocked := exchange(func() {
			h.engine.AddJob(h.now, dispatch.Job{
				ID: "rival", Queue: batchQueue, Accepted: h.now.Add(-time.Hour), Steps: []dispatch.Step{serving("calm", 1, 1)},
			}, dispatch.Progress{}, false)
		})
		runFor(time.Second)
		Expect(h.workersOf("calm-2")).To(Equal([]membership.InstanceID{unblocked}))
	})

	It("doesn't keep a worker for scarce fillers indefinitely if a serving task has no other worker", func() {
		h.submit("calm", serving("calm", 1, 2))
		runFor(500 * time.Millisecond)
		h.submit("full", serving("touchy", 1, 6))
		runFor(500 * time.Millisecond)
		learn()
		runFor(500 * time.Millisecond)
		h.submit("touchy", serving("touchy", 1, 1))
		runFor(time.Second)
		Expect(h.workersOf("touchy")).To(BeEmpty())
		runFor(time.Second)
		Expect(h.workersOf("touchy")).To(HaveLen(1))
	})

	// Guards against a task that waits too long for a better worker. A task whose worker was lost
	// waited so long for another one that it was counted as lost.
	DescribeTable("gives a worker that scarce fillers need to a serving task that has been down for too long", func(refused bool) {
		h.submit("calm", serving("calm", 1, 2))
		runFor(500 * time.Millisecond)
		lostWorker := h.workersOf("calm")[0]
		h.workers[lostWorker].silent = true
		runFor(200 * time.Millisecond)
		h.submit("touchy", serving("touchy", 1, 1))
		runFor(200 * time.Millisecond)
		h.workers[lostWorker].silent = false
		h.workers["w2"], h.workers["w3"] = newFakeWorker("w2", 6), newFakeWorker("w3", 6)
		h.listWorkers()
		runFor(200 * time.Millisecond)
		h.submit("full", serving("touchy", 2, 6))
		learn()
		runFor(500 * time.Millisecond)
		if refused {
			h.workers["w4"] = newFakeWorker("w4", 12)
			h.listWorkers()
			runFor(200 * time.Millisecond)
			h.submit("partly", serving("touchy", 1, 10))
			runFor(500 * time.Millisecond)
			h.workers["w4"].refuses = true
		}
		Expect(h.workersOf("touchy")).NotTo(ContainElement(lostWorker))
		h.workers[h.workersOf("touchy")[0]].silent = true
		runFor(4700 * time.Millisecond)
		Expect(h.workersOf("touchy")).NotTo(ContainElement(lostWorker))
		runFor(600 * time.Millisecond)
		Expect(h.workersOf("touchy")).To(ContainElement(lostWorker))
	},
		Entry("when no other worker has room", false),
		// Each refused start began the wait anew.
		Entry("when another worker refuses its starts", true),
	)

	// Guards against a task that waits for a better worker although it has been down for longer than
	// that wait may take: the wait began anew with the first worker that had room.
	It("gives a worker that scarce fillers need at once to a serving task that was down for too long before it found room", func() {
		h.workers["w2"], h.workers["w3"] = newFakeWorker("w2", 6), newFakeWorker("w3", 6)
		h.listWorkers()
		h.submit("calm", serving("calm", 1, 2))
		runFor(500 * time.Millisecond)
		h.submit("full", serving("touchy", 2, 6))
		h.submit("touchy", serving("touchy", 1, 6))
		runFor(500 * time.Millisecond)
		learn()
		Expect(h.workersOf("touchy")).To(HaveLen(1))
		lost := h.workers[h.workersOf("touchy")[0]]
		lost.silent = true
		runFor(leaseTerm)
		clear(lost.running)
		const downBeforeRoom = 8 * time.Second
		runFor(downBeforeRoom)
		h.workers["w4"] = newFakeWorker("w4", 8)
		h.listWorkers()
		runFor(maxDowntime - downBeforeRoom)
		Expect(h.workersOf("touchy")).To(Equal([]membership.InstanceID{"w4"}))
	})

	// Guards against waits that add up: after a takeover a task was without a run until its new owner
	// had recovered, and then waited for a better worker (bogkreds-jt-grown: 5.4 s after the recovery).
	It("gives a worker that scarce fillers need to a serving task that was down when the owner took over", func() {
		h = newHarness(2, 2)
		h.engine.AddJob(h.now, dispatch.Job{
			ID: "touchy", Queue: batchQueue, Accepted: h.now, Steps: []dispatch.Step{serving("touchy", 2, 1)},
		}, dispatch.Progress{}, true)
		h.engine.Recover(h.now, 0)
		left := dispatch.TaskRun{Task: dispatch.TaskID{Job: "touchy", Index: 1}, Run: 1}
		h.workers["w1"].running[left.Task] = &dispatch.RunningTask{TaskRun: left, Percent: 100}
		h.workers["w1"].info.Capacity = cores(1)
		learn()
		h.listWorkers()
		runFor(300 * time.Millisecond)
		Expect(h.workersOf("touchy")).To(ConsistOf(membership.InstanceID("w0"), membership.InstanceID("w1")))
	})

	// Guards against a pointless wait where fillers find room anywhere.
	It("starts a serving task immediately while most workers accept the fillers", func() {
		for n := range 4 {
			id := membership.InstanceID(fmt.Sprintf("other-%d", n))
			h.workers[id] = newFakeWorker(id, 6)
		}
		h.listWorkers()
		learn()
		runFor(500 * time.Millisecond)
		h.submit("touchy", serving("touchy", 1, 1))
		runFor(200 * time.Millisecond)
		Expect(h.workersOf("touchy")).To(HaveLen(1))
	})

	It("unblocks a worker for scarce fillers by swapping serving tasks", func() {
		for n, id := range []membership.InstanceID{"w0", "w1"} {
			other := []membership.InstanceID{"w1", "w0"}[n]
			h.workers[other].silent = true
			runFor(200 * time.Millisecond)
			h.submit(dispatch.JobID("calm-"+id), serving("calm", 2, 1.5))
			h.submit(dispatch.JobID("touchy-"+id), serving("touchy", 2, 1.5))
			runFor(200 * time.Millisecond)
			h.workers[other].silent = false
			runFor(200 * time.Millisecond)
		}
		Expect(serves("w0", "touchy")).To(BeTrue())
		Expect(serves("w1", "touchy")).To(BeTrue())
		learn()
		runFor(time.Minute)
		Expect(serves("w0", "touchy")).NotTo(Equal(serves("w1", "touchy")))
		for _, job := range []dispatch.JobID{"calm-w0", "calm-w1", "touchy-w0", "touchy-w1"} {
			Expect(h.workersOf(job)).To(HaveLen(2))
		}
	})
})
