package dispatch_test

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// fencedProcess is a process of a worker that obeys fences, grants leases and forgets ends that polls say
// are stored.
type fencedProcess struct {
	worker   *fakeWorker
	highest  dispatch.Fence
	leaseEnd time.Duration
}

// restart replaces the process of the worker by a new one under the same ID.
func (p *fencedProcess) restart() {
	w := p.worker
	w.incarnation++
	w.clock, w.endCount, w.ended = 0, 0, nil
	clear(w.running)
	*p = fencedProcess{worker: w}
}

// accepts reports whether the process executes a command with the fence and lease end, and grants the
// lease.
func (p *fencedProcess) accepts(f dispatch.Fence, leaseEnd time.Duration) bool {
	if f < p.highest {
		return false
	}
	p.highest = f
	p.leaseEnd = max(p.leaseEnd, min(leaseEnd, p.worker.clock+maxLease))
	return true
}

// poll executes a poll and reports whether the process accepts it.
func (p *fencedProcess) poll(request dispatch.Poll) (dispatch.Report, bool) {
	if !p.accepts(request.Fence, request.Lease) {
		return dispatch.Report{}, false
	}
	w := p.worker
	w.ended = slices.DeleteFunc(w.ended, func(e dispatch.End) bool { return e.Number <= request.LastStoredEnd })
	return w.report(dispatch.Poll{}), true
}

// Guards against tasks that ran twice after workers had restarted under their IDs: a process executes
// commands that were meant for the one before it, some of them seconds late. The ends of its runs were
// then acknowledged before the owner knew them, and its leases lasted longer than the owner counted.
var _ = Describe("A worker that has restarted under its ID", func() {
	const interval = 100 * time.Millisecond

	var h *harness
	var process *fencedProcess
	BeforeEach(func() {
		h = newMaxLeaseHarness(1, 2)
		process = &fencedProcess{worker: h.workers["w0"]}
		h.workers["w1"].info.Draining = true
		h.listWorkers()
	})

	// step advances the time, polls the workers, w0 through its process, and ticks the engine.
	step := func() {
		h.now = h.now.Add(interval)
		for _, w := range h.workers {
			w.clock += interval
		}
		if p, _ := h.engine.Poll(h.now, "w1"); true {
			h.engine.Observe(h.now, "w1", h.workers["w1"].report(p))
		}
		p, _ := h.engine.Poll(h.now, "w0")
		report, accepted := dispatch.Report{}, false
		if !process.worker.silent {
			report, accepted = process.poll(p)
		}
		if accepted {
			h.engine.Observe(h.now, "w0", report)
		} else {
			h.engine.PollFailed(h.now, "w0")
		}
		starts := len(h.starts)
		h.tick()
		for _, c := range h.starts[starts:] {
			if c.Worker == "w0" && !process.worker.silent {
				Expect(process.accepts(c.Fence, c.Lease)).To(BeTrue())
			}
		}
		if batch := h.engine.TakeBatch(100); !batch.IsEmpty() {
			h.engine.MarkStored(h.now, batch)
		}
	}
	steps := func(count int) {
		for range count {
			step()
		}
	}
	// startOne submits a job of one task, and returns the command that starts it.
	startOne := func(id dispatch.JobID) dispatch.Command {
		GinkgoHelper()
		h.submit(id, batchStep(1))
		starts := len(h.starts)
		h.tick()
		Expect(h.starts).To(HaveLen(starts + 1))
		return h.starts[starts]
	}
	// runJobs runs jobs of one task on w0, whose ends are stored.
	runJobs := func(ids ...dispatch.JobID) {
		GinkgoHelper()
		for _, id := range ids {
			h.submit(id, batchStep(1))
			step()
			step()
			Expect(process.worker.running).To(HaveLen(1))
			h.endRun("w0", dispatch.TaskID{Job: id}, dispatch.EndDone)
			step()
			step()
			expectState(h, id, dispatch.Completed)
		}
	}
	// loseWorker cuts w0 off and lets w1 take its tasks, and expects that the task of the job
	// isn't started there while the process may run it.
	loseWorker := func(id dispatch.JobID) {
		GinkgoHelper()
		process.worker.silent, h.workers["w1"].info.Draining = true, false
		h.listWorkers()
		for range 300 {
			step()
			if slices.Contains(h.workersOf(id), "w1") {
				Expect(process.worker.clock).To(BeNumerically(">=", process.leaseEnd), "the run on w0 was active")
				return
			}
		}
		Fail("the task was never started again")
	}

	It("keeps the ends of its runs when a poll of the earlier process arrives late", func() {
		runJobs("a", "b", "c")
		late, _ := h.engine.Poll(h.now, "w0")
		Expect(late.LastStoredEnd).To(Equal(int64(3)))
		h.engine.PollFailed(h.now, "w0")
		process.restart()
		step()
		step()
		h.submit("j", batchStep(1))
		step()
		step()
		h.endRun("w0", dispatch.TaskID{Job: "j"}, dispatch.EndDone)
		process.poll(late)
		steps(40)
		expectState(h, "j", dispatch.Completed)
		Expect(h.starts).To(HaveLen(4))
	})

	It("grants no lease to a poll of the earlier process that arrives late", func() {
		runJobs("a")
		steps(100)
		late, _ := h.engine.Poll(h.now, "w0")
		h.engine.PollFailed(h.now, "w0")
		process.restart()
		step()
		step()
		h.submit("j", batchStep(1))
		step()
		steps(20)
		process.poll(late)
		loseWorker("j")
	})

	It("may run a start that it has accepted for the longest lease, though it answers nothing else", func() {
		runJobs("a")
		steps(100)
		process.restart()
		process.worker.clock = interval
		c := startOne("j")
		Expect(process.accepts(c.Fence, c.Lease)).To(BeTrue())
		Expect(process.leaseEnd).To(Equal(interval + maxLease))
		loseWorker("j")
	})

	It("may run a start without an answer for the longest lease, though it never answers", func() {
		runJobs("a")
		steps(100)
		process.restart()
		process.worker.silent = true
		c := startOne("j")
		Expect(process.accepts(c.Fence, c.Lease)).To(BeTrue())
		loseWorker("j")
	})

	It("may run a late start for the longest lease, if the list shows it, though it never answers", func() {
		runJobs("a")
		steps(100)
		process.worker.silent = true
		c := startOne("j")
		process.restart()
		process.worker.info.RegisteredIncarnation = process.worker.incarnation
		h.listWorkers()
		steps(100)
		Expect(process.accepts(c.Fence, c.Lease)).To(BeTrue())
		loseWorker("j")
	})

	It("refuses a start of the earlier process that arrives late, though the stop for it was lost", func() {
		runJobs("a")
		process.worker.silent = true
		late := startOne("j")
		h.workers["w1"].info.Draining = false
		h.listWorkers()
		for starts := len(h.starts); len(h.starts) == starts; {
			step()
		}
		process.restart()
		process.worker.silent = false
		// The answer to the first poll shows the restart. The harness passes stops to the fake worker,
		// not to the process, which never gets the stop of the late start.
		step()
		step()
		Expect(process.accepts(late.Fence, late.Lease)).To(BeFalse())
		Expect(h.workersOf("j")).To(ConsistOf(membership.InstanceID("w1")))
	})

	It("may run a task of the earlier owner for the longest lease after its first answer to this one", func() {
		late := dispatch.Poll{Fence: 1, Lease: time.Hour}
		h = newMaxLeaseHarness(dispatch.Epoch(1).Next(), 2)
		process = &fencedProcess{worker: h.workers["w0"]}
		id := dispatch.TaskID{Job: "j"}
		process.worker.running[id] = &dispatch.RunningTask{TaskRun: dispatch.TaskRun{Task: id, Run: 1}}
		h.engine.AddJob(h.now, dispatch.Job{ID: "j", Queue: batchQueue, Accepted: h.now, Steps: []dispatch.Step{batchStep(1)}}, dispatch.Progress{}, true)
		h.engine.Recover(h.now, 0)
		h.listWorkers()
		process.poll(late)
		step()
		_, accepted := process.poll(late)
		Expect(accepted).To(BeFalse())
		loseWorker("j")
	})

	It("gets commands with a higher fence than before, also after it was forgotten", func() {
		runJobs("a")
		process.restart()
		step()
		step()
		Expect(process.highest).To(Equal(dispatch.Fence(2)))
		process.worker.silent = true
		h.engine.SetWorkers(h.now, nil)
		steps(300)
		Expect(h.engine.Workers()).NotTo(ContainElement(process.worker.info.ID))
		h.listWorkers()
		p, _ := h.engine.Poll(h.now, "w0")
		Expect(p.Fence).To(Equal(dispatch.Fence(2)))
		Expect(h.engine.IsCurrentFence("w0", 1)).To(BeFalse())
	})

	It("gets lower fences from this owner than from the next one, however often it restarts", func() {
		for range dispatch.FencesPerEpoch + 10 {
			process.restart()
			step()
			step()
			Expect(process.highest).To(BeNumerically("<", dispatch.Epoch(1).Next()))
		}
	})
})
