package dispatch_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// Guards against two runs of a task at once, and against tasks that wait although no run is left.
var _ = Describe("A run that isn't in the records", func() {
	list := func(h *harness, id membership.InstanceID, task dispatch.TaskID, run dispatch.Run) *fakeWorker {
		w := h.workers[id]
		w.running[task] = &dispatch.RunningTask{TaskRun: dispatch.TaskRun{Task: task, Run: run}}
		w.slowStops = true
		return w
	}

	// The poll whose answer shows the run was sent up to 1 s before. A later poll renews the lease,
	// and its answer is lost.
	It("keeps its task from starting until the lease that was sent last has expired", func() {
		h := newHarness(1, 3)
		task := startOnLast(h, 3)
		w := list(h, "w0", task, 0)
		// The worker answers the poll after the longest wait.
		p, _ := h.engine.Poll(h.now, "w0")
		h.now = h.now.Add(p.Wait)
		for _, other := range h.workers {
			other.clock += p.Wait
		}
		h.engine.Observe(h.now, "w0", w.report(p))
		h.engine.Tick(h.now)
		h.engine.TakeCommands() // The stop command is lost.
		h.now = h.now.Add(15 * time.Millisecond)
		for _, other := range h.workers {
			other.clock += 15 * time.Millisecond
		}
		p, _ = h.engine.Poll(h.now, "w0")
		leaseEnd := max(p.Lease, w.clock)
		h.engine.PollFailed(h.now, "w0")
		w.silent = true
		h.workers["w1"].info.Draining = false
		h.listWorkers()
		h.endRun(h.starts[0].Worker, task, dispatch.EndStopped)
		for w.clock < leaseEnd-100*time.Millisecond {
			h.advance(100 * time.Millisecond)
			Expect(h.starts).To(HaveLen(1), "worker clock %s, lease end %s", w.clock, leaseEnd)
		}
	})

	It("keeps its task from starting although another such run of the task has ended", func() {
		h := newHarness(1, 4)
		task := startOnLast(h, 4)
		// w0 and w1 list a run each; w0 then goes silent and w1 ends its run.
		first := list(h, "w0", task, 0)
		list(h, "w1", task, -1)
		h.advance(100 * time.Millisecond)
		Expect(h.eventsOf("TaskOrphan")).To(Equal(2))
		first.silent = true
		h.workers["w2"].info.Draining = false
		h.listWorkers()
		h.workers["w1"].hidden[task] = false
		h.endRun("w1", task, dispatch.EndStopped)
		h.advance(100 * time.Millisecond)
		h.endRun(h.starts[0].Worker, task, dispatch.EndStopped)
		h.advance(100 * time.Millisecond)
		Expect(h.workersOf("j")).To(Equal([]membership.InstanceID{"w0"}))
	})

	// Guards against an overcommitted worker: what is being stopped still occupies its resources.
	It("counts against the capacity of its worker while it is being stopped and in neither list", func() {
		h := newHarness(2, 1)
		list(h, "w0", dispatch.TaskID{Job: "left"}, 1)
		h.listWorkers()
		h.submit("j", dispatch.Step{Tasks: 1, Resources: cores(6)})
		h.advance(100 * time.Millisecond)
		Expect(h.stops).To(HaveLen(1))
		h.advance(100 * time.Millisecond)
		Expect(h.starts).To(BeEmpty())
	})

	It("doesn't delay its task once another worker answers at its worker's address", func() {
		h := newHarness(1, 3)
		task := startOnLast(h, 3)
		w := list(h, "w0", task, 0)
		h.advance(100 * time.Millisecond)
		Expect(h.eventsOf("TaskOrphan")).To(Equal(1))
		w.replaced = true
		delete(w.running, task)
		h.endRun(h.starts[0].Worker, task, dispatch.EndStopped)
		for range 10 {
			h.advance(100 * time.Millisecond)
		}
		Expect(len(h.starts)).To(Equal(2))
	})

	It("doesn't delay its task once its worker has restarted", func() {
		h := newMaxLeaseHarness(1, 3)
		task := startOnLast(h, 3)
		w := list(h, "w0", task, 0)
		h.advance(100 * time.Millisecond)
		Expect(h.eventsOf("TaskOrphan")).To(Equal(1))
		delete(w.running, task)
		w.incarnation, w.clock = 2, 0
		h.endRun(h.starts[0].Worker, task, dispatch.EndStopped)
		for range 10 {
			h.advance(100 * time.Millisecond)
		}
		Expect(len(h.starts)).To(Equal(2))
	})
})

// Guards against running a task again that is done: after a pause the owner hasn't asked for the ends
// of the runs that aren't in its records, as it hasn't for those that are (worker.hasLostRuns).
var _ = Describe("A run that isn't in the records of an owner that was paused", func() {
	It("keeps its task from starting until its worker could answer", func() {
		h := newHarness(1, 3)
		task := startOnLast(h, 3)
		w := h.workers["w0"]
		w.slowStops = true
		w.running[task] = &dispatch.RunningTask{TaskRun: dispatch.TaskRun{Task: task, Run: 0}}
		h.workers["w1"].info.Draining = false
		h.listWorkers()
		h.advance(100 * time.Millisecond)
		Expect(h.eventsOf("TaskOrphan")).To(Equal(1))
		w.hidden[task] = false
		h.endRun("w0", task, dispatch.EndDone)
		h.endRun(h.starts[0].Worker, task, dispatch.EndStopped)
		h.now = h.now.Add(6 * time.Second)
		for _, other := range h.workers {
			other.clock += 6 * time.Second
		}
		// The answer of the worker on which the known run ended comes first.
		last := h.starts[0].Worker
		p, _ := h.engine.Poll(h.now, last)
		h.engine.Observe(h.now, last, h.workers[last].report(p))
		h.tick()
		Expect(h.starts).To(HaveLen(1))
		h.advance(100 * time.Millisecond)
		expectState(h, "j", dispatch.Completed)
	})
})
