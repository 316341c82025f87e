package dispatch_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/mechanism"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// hangs is a slowdown factor at which a worker makes no visible progress.
const hangs = 1000

// copyableStep returns a step of which at most one task runs on a worker, and that allows copies.
func copyableStep(tasks int) dispatch.Step {
	s := batchStep(tasks)
	s.MaxPerWorker, s.Speculative = 1, true
	return s
}

// withHangingWorker returns a harness with one worker on which nothing makes progress.
func withHangingWorker(disabled mechanism.Set, workers int) *stragglerHarness {
	h := newStragglerHarnessWithout(disabled, workers)
	h.slowFactors["w0"] = hangs
	return h
}

// runsOf returns the workers on which the task runs.
func (h *harness) runsOf(task dispatch.TaskID) []membership.InstanceID {
	var on []membership.InstanceID
	for id, w := range h.workers {
		if _, runs := w.running[task]; runs {
			on = append(on, id)
		}
	}
	return on
}

// hangingTask returns the task that runs on the hanging worker.
func hangingTask(h *stragglerHarness) dispatch.TaskID {
	GinkgoHelper()
	Expect(h.workers["w0"].running).To(HaveLen(1))
	for id := range h.workers["w0"].running {
		return id
	}
	return dispatch.TaskID{}
}

// expectOneSuccess expects that the job is complete and has no runs left.
func expectOneSuccess(h *harness, id dispatch.JobID) {
	GinkgoHelper()
	expectState(h, id, dispatch.Completed)
	for _, w := range h.workers {
		Expect(w.running).To(BeEmpty())
	}
}

var _ = Describe("A copy of a run on a worker that hangs", func() {
	It("lets the job end in the time that a copy takes, and the first run is stopped", func() {
		h := withHangingWorker(mechanism.Of(mechanism.Stragglers), 5)
		h.submit("j", copyableStep(5))
		h.runFor(300 * time.Millisecond)
		hanging := hangingTask(h)
		h.runFor(5 * time.Second)
		expectOneSuccess(h.harness, "j")
		Expect(h.startsOf(hanging)).To(Equal(2))
		Expect(h.counts["Task.Copies"]).To(BeEquivalentTo(1))
		Expect(h.counts["Task.CopiesWon"]).To(BeEquivalentTo(1))
	})

	It("counts as useful also if the first run is stopped as hung meanwhile", func() {
		h := withHangingWorker(0, 5)
		h.submit("j", copyableStep(5))
		h.runFor(6 * time.Second)
		expectOneSuccess(h.harness, "j")
		Expect(h.counts["Task.CopiesWon"]).To(Equal(h.counts["Task.Copies"]))
	})

	DescribeTable("isn't started", func(disabled mechanism.Mechanism, change func(*dispatch.Step)) {
		h := withHangingWorker(mechanism.Of(mechanism.Stragglers, disabled), 5)
		s := copyableStep(5)
		change(&s)
		h.submit("j", s)
		h.runFor(5 * time.Second)
		Expect(h.counts["Task.Copies"]).To(BeZero())
		expectState(h.harness, "j", dispatch.Running)
	},
		Entry("if the mechanism is disabled", mechanism.SecondCopies, func(*dispatch.Step) {}),
		Entry("for a step that doesn't allow copies", mechanism.Stragglers, func(s *dispatch.Step) { s.Speculative = false }),
	)

	It("observes the step's limit of tasks on a worker", func() {
		h := withHangingWorker(mechanism.Of(mechanism.Stragglers), 4)
		h.submit("j", copyableStep(4))
		for range 80 {
			h.runFor(50 * time.Millisecond)
			for _, w := range h.workers {
				Expect(len(w.running)).To(BeNumerically("<=", 1))
			}
		}
		expectOneSuccess(h.harness, "j")
	})

	It("doesn't start while a first run finds no room, even if the copy would fit", func() {
		h := withHangingWorker(mechanism.Of(mechanism.Stragglers), 2)
		h.slowFactors["w1"] = hangs
		h.submit("j", dispatch.Step{Tasks: 2, Resources: cores(1), Estimate: time.Second, Speculative: true, MaxPerWorker: 1})
		h.runFor(400 * time.Millisecond)
		h.submit("large", dispatch.Step{Tasks: 1, Resources: cores(6), Estimate: time.Second})
		h.workers["w2"] = newFakeWorker("w2", 5)
		h.listWorkers()
		h.runFor(4 * time.Second)
		Expect(h.counts["Task.Copies"]).To(BeZero())
		h.engine.Cancel(h.now, "large")
		h.runFor(time.Second)
		Expect(h.counts["Task.Copies"]).To(BeEquivalentTo(1))
	})

	It("is stopped for a first run of its queue that finds no room", func() {
		h := withHangingWorker(mechanism.Of(mechanism.Stragglers), 2)
		h.slowFactors["w1"] = hangs
		h.submit("j", dispatch.Step{Tasks: 1, Resources: cores(1), Estimate: time.Second, Speculative: true})
		h.runFor(4 * time.Second)
		Expect(h.runsOf(dispatch.TaskID{Job: "j"})).To(HaveLen(2))
		h.submit("large", dispatch.Step{Tasks: 1, Resources: cores(6), Estimate: time.Second})
		h.runFor(time.Second)
		Expect(h.runsOf(dispatch.TaskID{Job: "large"})).To(HaveLen(1))
		Expect(h.runsOf(dispatch.TaskID{Job: "j"})).To(HaveLen(1))
	})
})

var _ = Describe("Copies", func() {
	It("are limited to a twentieth of the runs, and to two if there are few runs", func() {
		h := newStragglerHarnessWithout(mechanism.Of(mechanism.Stragglers), 20)
		for id := range h.workers {
			h.slowFactors[id] = hangs
		}
		h.submit("j", dispatch.Step{Tasks: 80, Resources: cores(1), Estimate: 500 * time.Millisecond, Speculative: true})
		h.runFor(10 * time.Second)
		Expect(h.counts["Task.Copies"]).To(BeEquivalentTo(4))
	})

	// Guards against copies that only use up room because a few tasks take long on every worker.
	It("are no longer started if the first run always succeeds first", func() {
		h := newStragglerHarness(8)
		submit := func(job dispatch.JobID) {
			h.durations[dispatch.TaskID{Job: job, Index: 3}] = 7 * time.Second
			s := batchStep(20)
			s.Speculative = true
			h.submit(job, s)
		}
		for i := range 40 {
			submit(dispatch.JobID(fmt.Sprintf("early%d", i)))
			h.runFor(time.Second)
		}
		h.runFor(8 * time.Second)
		early := h.counts["Task.Copies"]
		Expect(early).To(BeNumerically(">", 0))
		for i := range 20 {
			submit(dispatch.JobID(fmt.Sprintf("late%d", i)))
			h.runFor(time.Second)
		}
		h.runFor(8 * time.Second)
		Expect(h.counts["Task.CopiesWon"]).To(BeZero())
		Expect(h.counts["Task.Copies"]).To(Equal(early))
	})

	It("count as one success if both runs end as done", func() {
		h := withHangingWorker(mechanism.Of(mechanism.Stragglers), 2)
		h.submit("j", dispatch.Step{Tasks: 1, Resources: cores(1), Estimate: time.Second, Speculative: true}, dispatch.Step{
			Tasks: 1, Resources: cores(1), Estimate: time.Second, After: []int{0},
		})
		h.slowFactors["w1"] = hangs
		h.runFor(4 * time.Second)
		task := dispatch.TaskID{Job: "j"}
		Expect(h.runsOf(task)).To(HaveLen(2))
		h.endRun("w0", task, dispatch.EndDone)
		h.endRun("w1", task, dispatch.EndDone)
		h.slowFactors = map[membership.InstanceID]float64{}
		h.runFor(3 * time.Second)
		expectOneSuccess(h.harness, "j")
		Expect(h.startsOf(task)).To(Equal(2))
		Expect(h.startsOf(dispatch.TaskID{Job: "j", Step: 1})).To(Equal(1))
	})

	attempts := func(h *stragglerHarness, limit int) {
		h.engine.SetQueues(map[dispatch.QueueName]dispatch.Queue{
			batchQueue: {Name: batchQueue, Service: "pool", MaxAttempts: limit, SlackFactor: 2, TargetLatency: time.Minute},
		})
	}

	// Guards against a job that fails although its task has succeeded.
	It("don't fail a job if they fail after its task has succeeded", func() {
		h := withHangingWorker(mechanism.Of(mechanism.Stragglers), 2)
		attempts(h, 2)
		h.submit("j", dispatch.Step{Tasks: 1, Resources: cores(1), Estimate: time.Second, Speculative: true}, dispatch.Step{
			Tasks: 1, Resources: cores(1), Estimate: 5 * time.Second, After: []int{0},
		})
		h.slowFactors["w1"] = hangs
		h.runFor(4 * time.Second)
		task := dispatch.TaskID{Job: "j"}
		Expect(h.runsOf(task)).To(HaveLen(2))
		attempts(h, 1)
		h.endRun("w0", task, dispatch.EndDone)
		h.endRun("w1", task, dispatch.EndFailed)
		h.runFor(300 * time.Millisecond)
		expectState(h.harness, "j", dispatch.Running)
	})

	// Guards against a job that fails by its copy while the first run might succeed.
	It("aren't started if another failed run would fail the job", func() {
		h := withHangingWorker(mechanism.Of(mechanism.Stragglers), 2)
		attempts(h, 1)
		h.submit("j", dispatch.Step{Tasks: 1, Resources: cores(1), Estimate: time.Second, Speculative: true})
		h.slowFactors["w1"] = hangs
		h.runFor(4 * time.Second)
		Expect(h.counts["Task.Copies"]).To(BeZero())
	})

	// Guards against a resumed task that repeats work: the two runs report checkpoints in turn.
	It("don't replace the checkpoint of a run that has made more progress", func() {
		h := withHangingWorker(mechanism.Of(mechanism.Stragglers), 2)
		h.submit("j", dispatch.Step{Tasks: 1, Resources: cores(1), Estimate: time.Second, Speculative: true, Checkpointing: true})
		h.slowFactors["w1"] = hangs
		h.runFor(4 * time.Second)
		task := dispatch.TaskID{Job: "j"}
		first, copied := h.starts[0].Worker, h.starts[1].Worker
		h.workers[first].running[task].Percent, h.workers[first].running[task].Checkpoint = 10, "behind"
		h.workers[copied].running[task].Percent, h.workers[copied].running[task].Checkpoint = 60, "ahead"
		h.advance(50 * time.Millisecond)
		h.workers[first].running[task].Percent = 12
		h.advance(50 * time.Millisecond)
		h.endRun(first, task, dispatch.EndFailed)
		h.endRun(copied, task, dispatch.EndStopped)
		h.advance(50 * time.Millisecond)
		h.advance(50 * time.Millisecond)
		Expect(h.starts).To(HaveLen(3))
		Expect(h.starts[2].Start.Checkpoint).To(Equal(dispatch.Checkpoint("ahead")))
	})

	It("continue when the first run fails, and the failure counts", func() {
		h := withHangingWorker(mechanism.Of(mechanism.Stragglers), 2)
		h.submit("j", dispatch.Step{Tasks: 1, Resources: cores(1), Estimate: time.Second, Speculative: true})
		h.slowFactors["w1"] = hangs
		h.runFor(4 * time.Second)
		task := dispatch.TaskID{Job: "j"}
		first := h.starts[0].Worker
		h.endRun(first, task, dispatch.EndFailed)
		h.runFor(200 * time.Millisecond)
		Expect(h.startsOf(task)).To(Equal(2))
		last := h.starts[1].Worker
		h.endRun(last, task, dispatch.EndFailed)
		h.runFor(200 * time.Millisecond)
		expectState(h.harness, "j", dispatch.Failed)
	})

	It("continue as the only run when the worker of the first run is lost", func() {
		h := withHangingWorker(mechanism.Of(mechanism.Stragglers), 3)
		h.submit("j", dispatch.Step{Tasks: 1, Resources: cores(1), Estimate: time.Second, Speculative: true})
		for _, id := range []membership.InstanceID{"w1", "w2"} {
			h.slowFactors[id] = hangs
		}
		h.runFor(4 * time.Second)
		task := dispatch.TaskID{Job: "j"}
		Expect(h.runsOf(task)).To(HaveLen(2))
		h.workers[h.starts[0].Worker].silent = true
		h.slowFactors = map[membership.InstanceID]float64{h.starts[0].Worker: hangs}
		h.runFor(3 * time.Second)
		expectState(h.harness, "j", dispatch.Completed)
		Expect(h.startsOf(task)).To(Equal(2))
	})
})

var _ = Describe("A takeover while a task has two runs", func() {
	task := dispatch.TaskID{Job: "j"}
	afterTakeover := func(s dispatch.Step) *harness {
		h := newHarness(2, 2)
		h.listWorkers()
		h.workers["w0"].running[task] = &dispatch.RunningTask{TaskRun: dispatch.TaskRun{Task: task, Run: 1}}
		h.workers["w1"].running[task] = &dispatch.RunningTask{TaskRun: dispatch.TaskRun{Task: task, Run: 2}}
		next := batchStep(1)
		next.After = []int{0}
		h.engine.AddJob(h.now, dispatch.Job{ID: "j", Queue: batchQueue, Accepted: h.now, Steps: []dispatch.Step{s, next}}, dispatch.Progress{}, true)
		h.engine.Recover(h.now, 0)
		for range 5 {
			h.advance(100 * time.Millisecond)
		}
		return h
	}

	It("keeps both if the step allows copies", func() {
		s := batchStep(1)
		s.Speculative = true
		h := afterTakeover(s)
		Expect(h.stops).To(BeEmpty())
		h.endRun("w1", task, dispatch.EndDone)
		h.advance(100 * time.Millisecond)
		Expect(h.stops).To(HaveLen(1))
		Expect(h.stops[0].Worker).To(Equal(membership.InstanceID("w0")))
	})

	// Guards against a step that runs twice: the earlier owner may have seen the end of another copy, and
	// started the next step.
	It("doesn't assume that no earlier owner has started the next step", func() {
		s := batchStep(1)
		s.Speculative = true
		h := newHarness(2, 3)
		h.listWorkers()
		h.workers["w2"].silent = true
		h.workers["w0"].running[task] = &dispatch.RunningTask{TaskRun: dispatch.TaskRun{Task: task, Run: 1}}
		next := batchStep(1)
		next.After = []int{0}
		h.engine.AddJob(h.now, dispatch.Job{ID: "j", Queue: batchQueue, Accepted: h.now, Steps: []dispatch.Step{s, next}}, dispatch.Progress{}, true)
		h.engine.Recover(h.now, 0)
		h.advance(100 * time.Millisecond)
		h.advance(200 * time.Millisecond)
		h.endRun("w0", task, dispatch.EndDone)
		for range 10 {
			h.advance(100 * time.Millisecond)
		}
		Expect(h.starts).To(BeEmpty())
	})
})
