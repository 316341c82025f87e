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

	// recoverTask makes a second owner recover a job with the given number of tasks.
	recoverTask := func(h *harness, tasks int) {
		h.engine.AddJob(h.now, dispatch.Job{ID: "j", Queue: batchQueue, Accepted: h.now, Steps: []dispatch.Step{batchStep(tasks)}}, dispatch.Progress{}, true)
		h.engine.Recover(h.now, 0)
	}

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

	// The worker was used by the earlier owner and has lost its entry. It answers once and is cut
	// off: it is forgotten 2.5 s later, and the recovery no longer waits for its leases.
	It("isn't started again if its unlisted worker answers a new owner once and then goes silent", func() {
		h := newHarness(2, 2)
		w, id := h.workers["w1"], dispatch.TaskID{Job: "j"}
		w.running[id] = &dispatch.RunningTask{TaskRun: dispatch.TaskRun{Task: id, Run: 1}}
		w.hidden[id] = true
		h.engine.AddPreviousWorkers(h.now, []dispatch.WorkerInfo{w.info})
		recoverTask(h, 1)
		h.engine.SetWorkers(h.now, []dispatch.WorkerInfo{h.workers["w0"].info})
		h.advance(interval)
		w.silent = true
		for range 39 {
			h.advance(interval)
			Expect(h.starts).To(BeEmpty())
		}
	})

	// As above, with ends beyond those that the worker lists.
	It("isn't started again after its end if its unlisted worker had more ends than it listed", func() {
		h := newHarness(2, 2)
		w := h.workers["w1"]
		w.maxListedEnds = 2
		for i := range 3 {
			id := dispatch.TaskID{Job: "j", Index: i}
			w.running[id] = &dispatch.RunningTask{TaskRun: dispatch.TaskRun{Task: id, Run: 1}}
			h.endRun("w1", id, dispatch.EndDone)
		}
		h.engine.AddPreviousWorkers(h.now, []dispatch.WorkerInfo{w.info})
		recoverTask(h, 3)
		h.engine.SetWorkers(h.now, []dispatch.WorkerInfo{h.workers["w0"].info})
		h.advance(interval)
		w.silent = true
		for range 35 {
			h.advance(interval)
			Expect(h.starts).To(BeEmpty())
		}
		w.silent = false
		for range 3 {
			h.advance(interval)
		}
		expectState(h, "j", dispatch.Completed)
		Expect(h.starts).To(BeEmpty())
	})

	// The lease of the new process's run came with the start. The restart makes the owner forget it.
	It("is kept until its lease has expired if the worker restarts and the owner is suspended then", func() {
		h, w, p := restartDuringStart()
		h.engine.Observe(h.now, "w0", w.report(p))
		h.engine.SetSuspended(h.now, true)
		w.silent = true
		for range 5 {
			h.advance(interval)
		}
		h.engine.SetSuspended(h.now, false)
		for range 30 {
			h.advance(interval)
			Expect(h.starts).To(HaveLen(1))
		}
	})

	// The owner knows of a second run of the task on w0 and has told it to stop.
	It("keeps its task from starting again after another run of the task has ended", func() {
		h := newHarness(1, 3)
		h.workers["w0"].info.Draining = true
		h.listWorkers()
		h.advance(interval)
		h.submit("j", batchStep(1))
		h.advance(interval)
		h.advance(interval)
		Expect(h.starts).To(HaveLen(1))
		task := h.starts[0].Task
		orphaned := h.workers["w0"]
		orphaned.slowStops = true
		orphaned.running[task] = &dispatch.RunningTask{TaskRun: dispatch.TaskRun{Task: task, Run: 0}}
		h.advance(interval)
		Expect(h.eventsOf("TaskOrphan")).To(Equal(1))
		orphaned.hidden[task] = false
		h.endRun(h.starts[0].Worker, task, dispatch.EndStopped)
		h.advance(interval)
		Expect(h.workersOf("j")).To(Equal([]membership.InstanceID{"w0"}))
	})
})

// Guards against two runs of a task at once: an unanswered start may be executed late by the next
// process of its worker, which knows no epoch and has a new clock.
var _ = Describe("An unanswered start on a worker that loses its entry", func() {
	It("is stopped on the worker's next process", func() {
		h := newHarness(1, 2)
		h.workers["w1"].info.Draining = true
		h.listWorkers()
		h.advance(100 * time.Millisecond)
		w := h.workers["w0"]
		w.silent = true
		h.submit("j", batchStep(1))
		h.tick()
		Expect(h.starts).To(HaveLen(1))
		h.workers["w1"].info.Draining = false
		h.engine.SetWorkers(h.now, []dispatch.WorkerInfo{h.workers["w1"].info})
		for range 60 {
			h.advance(100 * time.Millisecond)
		}
		Expect(h.starts).To(HaveLen(2))
		Expect(h.stops).To(BeEmpty())
		w.silent, w.incarnation, w.clock = false, 2, 0
		h.listWorkers()
		h.advance(100 * time.Millisecond)
		Expect(h.stops).To(HaveLen(1))
		Expect(h.stops[0].TaskRun).To(Equal(h.starts[0].TaskRun))
	})
})

// Guards against running a task again that is done: the earlier owner may start a job that the new
// owner hasn't read from the store yet.
var _ = Describe("The end of a task whose job a new owner doesn't know yet", func() {
	It("counts once the job is known", func() {
		h := newHarness(2, 1)
		id := dispatch.TaskID{Job: "new"}
		h.workers["w0"].running[id] = &dispatch.RunningTask{TaskRun: dispatch.TaskRun{Task: id, Run: 1}}
		h.endRun("w0", id, dispatch.EndDone)
		h.engine.Recover(h.now, 0)
		h.listWorkers()
		for range 3 {
			h.advance(100 * time.Millisecond)
		}
		h.submit("new", batchStep(1))
		for range 30 {
			h.advance(100 * time.Millisecond)
		}
		Expect(h.starts).To(BeEmpty())
		expectState(h, "new", dispatch.Completed)
	})

	It("is forgotten if the job stays unknown for long", func() {
		h := newHarness(2, 1)
		id := dispatch.TaskID{Job: "new"}
		h.workers["w0"].running[id] = &dispatch.RunningTask{TaskRun: dispatch.TaskRun{Task: id, Run: 1}}
		h.endRun("w0", id, dispatch.EndDone)
		h.listWorkers()
		for range 32 {
			h.advance(time.Second)
		}
		h.submit("new", batchStep(1))
		h.advance(time.Second)
		Expect(h.starts).To(HaveLen(1))
	})
})

// Guards against two runs of a task at once after a takeover: the next owner counts leases of the
// lease term, so an owner must not renew longer ones.
var _ = Describe("The lease after a restart of a worker", func() {
	It("is renewed for the lease term, not for the longest lease", func() {
		h := newMaxLeaseHarness(1, 1)
		w := h.workers["w0"]
		h.listWorkers()
		h.advance(100 * time.Millisecond)
		w.incarnation, w.clock = 2, 0
		h.advance(100 * time.Millisecond)
		p, _ := h.engine.Poll(h.now, "w0")
		Expect(p.Lease).To(BeNumerically("<=", w.clock+leaseTerm))
	})

	It("keeps the next owner from starting the task of a silent worker while the run may be active", func() {
		first := newMaxLeaseHarness(1, 1)
		w := first.workers["w0"]
		first.listWorkers()
		first.advance(100 * time.Millisecond)
		w.incarnation, w.clock = 2, 0
		first.advance(100 * time.Millisecond)
		p, _ := first.engine.Poll(first.now, "w0")
		leaseEnd := p.Lease

		h := newMaxLeaseHarness(2, 2)
		w.info = h.workers["w0"].info
		h.workers["w0"] = w
		id := dispatch.TaskID{Job: "j"}
		w.running[id] = &dispatch.RunningTask{TaskRun: dispatch.TaskRun{Task: id, Run: 1}}
		h.engine.AddJob(h.now, dispatch.Job{ID: "j", Queue: batchQueue, Accepted: h.now, Steps: []dispatch.Step{batchStep(1)}}, dispatch.Progress{}, true)
		h.engine.Recover(h.now, 0)
		h.listWorkers()
		h.advance(100 * time.Millisecond)
		w.silent = true
		for w.clock < leaseEnd-100*time.Millisecond {
			h.advance(100 * time.Millisecond)
			Expect(h.starts).To(BeEmpty(), "worker clock %s, lease end %s", w.clock, leaseEnd)
		}
	})
})

// newMaxLeaseHarness is like newHarness for workers that grant leases of up to maxLease.
func newMaxLeaseHarness(epoch dispatch.Epoch, workers int) *harness {
	h := newHarness(epoch, workers)
	h.engine = dispatch.New(dispatch.Options{Epoch: epoch, LeaseTerm: leaseTerm, MaxLease: maxLease, StopTimeout: stopTimeout, Recorder: h})
	h.engine.SetQueues(map[dispatch.QueueName]dispatch.Queue{
		batchQueue: {Name: batchQueue, Service: "pool", MaxAttempts: 2, SlackFactor: 2},
	})
	return h
}
