package dispatch_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// takeOver replaces the engine of the harness by one of the next owner, which recovers the jobs.
func (h *harness) takeOver(epoch dispatch.Epoch, jobs ...dispatch.Job) {
	next := newHarness(epoch, 0)
	h.engine, h.starts = next.engine, nil
	h.engine = dispatch.New(dispatch.Options{
		Epoch: epoch, LeaseTerm: leaseTerm, MaxLease: 10 * time.Second, StopTimeout: stopTimeout, Counters: h, Recorder: h,
	})
	h.engine.SetQueues(map[dispatch.QueueName]dispatch.Queue{
		batchQueue: {Name: batchQueue, Service: "pool", MaxAttempts: 2, SlackFactor: 2},
	})
	for _, j := range jobs {
		h.engine.AddJob(h.now, j, dispatch.Progress{}, true)
	}
	h.engine.Recover(h.now, 0)
	h.listWorkers()
}

// takeOverReleased is like takeOver after the earlier owner has released the shard.
func (h *harness) takeOverReleased(epoch dispatch.Epoch, jobs ...dispatch.Job) {
	GinkgoHelper()
	record, complete := h.engine.Release(h.now)
	Expect(complete).To(BeTrue())
	h.takeOver(epoch, jobs...)
	h.engine.RecoverFrom(h.now, record)
}

// startCount returns the number of starts of a job's tasks.
func (h *harness) startCount(id dispatch.JobID) int {
	count := 0
	for _, c := range h.starts {
		if c.Task.Job == id {
			count++
		}
	}
	return count
}

func jobOf(id dispatch.JobID, at time.Time, steps ...dispatch.Step) dispatch.Job {
	return dispatch.Job{ID: id, Queue: batchQueue, Accepted: at, Steps: steps}
}

func lastingStep(tasks int) dispatch.Step {
	return dispatch.Step{Tasks: tasks, Resources: cores(1), LongRunning: true}
}

// Guards against long-running tasks that are without a run for over 9 s if half of the workers leave during a
// takeover. Workers that had left never listed their runs, and no recovered task started before their leases
// had expired, although the new owner had seen the ends of most runs.
var _ = Describe("A takeover while half of the workers leave", func() {
	const (
		workers  = 350
		leaving  = workers / 2
		tasks    = 150
		interval = 100 * time.Millisecond
	)
	id := func(i int) membership.InstanceID { return membership.InstanceID(fmt.Sprintf("w%d", i)) }

	// leave makes a worker end with all its runs.
	leave := func(w *fakeWorker) {
		w.silent = true
		clear(w.running)
	}

	// longestDowntime advances the time and returns the longest time for which a task of the job is without a
	// run. No task may have two. Another worker leaves in each step.
	longestDowntime := func(h *harness, d time.Duration) time.Duration {
		down := map[dispatch.TaskID]time.Duration{}
		longest := time.Duration(0)
		for tick := range int(d / interval) {
			if tick > 0 && tick <= leaving {
				leave(h.workers[id(tick-1)])
			}
			h.advanceStartedUp(interval)
			running := map[dispatch.TaskID]bool{}
			for _, w := range h.workers {
				for task := range w.running {
					Expect(running).NotTo(HaveKey(task))
					running[task] = true
				}
			}
			for i := range tasks {
				task := dispatch.TaskID{Job: "long", Index: i}
				down[task] += interval
				if running[task] {
					down[task] = 0
				}
				longest = max(longest, down[task])
			}
		}
		return longest
	}

	// replace replaces the owner while it moves tasks off the workers that will leave, and returns the longest
	// downtime.
	replace := func(takeOver func(h *harness, jobs ...dispatch.Job)) time.Duration {
		h := newHarness(1, workers)
		h.listWorkers()
		h.advance(interval)
		step := lastingStep(tasks)
		step.MaxPerWorker = 1
		job := jobOf("long", h.now, step)
		h.engine.AddJob(h.now, job, dispatch.Progress{}, false)
		h.advanceStartedUp(2 * time.Second)
		for i := range leaving {
			h.workers[id(i)].info.Draining, h.workers[id(i)].info.Remaining = true, 20*time.Second
		}
		h.listWorkers()
		h.advanceStartedUp(2 * interval)
		takeOver(h, job)
		return longestDowntime(h, 12*time.Second)
	}

	It("leaves no task without a run for long if the earlier owner has released the shard", func() {
		Expect(replace(func(h *harness, jobs ...dispatch.Job) { h.takeOverReleased(1001, jobs...) })).To(BeNumerically("<", 6*time.Second))
	})

	// Without a record the workers that have reported once and then left count for as long as the longest lease.
	It("leaves some tasks without a run for over 9 s if the earlier owner hasn't released the shard", func() {
		Expect(replace(func(h *harness, jobs ...dispatch.Job) { h.takeOver(1001, jobs...) })).To(BeNumerically(">", 9*time.Second))
	})

	It("delays only tasks without a reported run if the earlier owner was killed", func() {
		h := newHarness(1, 3)
		h.listWorkers()
		h.advance(interval)
		step := lastingStep(2)
		step.MaxPerWorker = 1
		job := jobOf("long", h.now, step)
		h.engine.AddJob(h.now, job, dispatch.Progress{}, false)
		h.advanceStartedUp(time.Second)
		seen := h.starts[0]
		h.workers[h.starts[1].Worker].silent = true
		Expect(h.starts[1].Worker).NotTo(Equal(seen.Worker))
		h.takeOver(1001, job)
		h.advanceStartedUp(300 * time.Millisecond)
		h.endRun(seen.Worker, seen.Task, dispatch.EndFailed)
		h.advanceStartedUp(500 * time.Millisecond)
		Expect(h.starts).To(ConsistOf(HaveField("Task", seen.Task)))
	})
})

var _ = Describe("The record of an owner that releases its shard", func() {
	const interval = 100 * time.Millisecond

	// beside returns a harness whose job "j" has a run on w1, which is silent from now on, and whose job "k"
	// has none.
	beside := func() (h *harness, j, k dispatch.Job) {
		h = newHarness(1, 2)
		h.workers["w0"].info.Draining = true
		h.listWorkers()
		h.advance(interval)
		j, k = jobOf("j", h.now, batchStep(1)), jobOf("k", h.now, batchStep(1))
		h.engine.AddJob(h.now, j, dispatch.Progress{}, false)
		h.advance(interval)
		h.advance(interval)
		Expect(h.starts).To(HaveLen(1))
		h.workers["w1"].silent = true
		h.workers["w0"].info.Draining = false
		return h, j, k
	}
	advance := func(h *harness, d time.Duration) {
		for range int(d / interval) {
			h.advance(interval)
		}
	}

	It("delays only a task with a recorded run on a silent worker", func() {
		h, j, k := beside()
		h.takeOverReleased(1001, j, k)
		advance(h, time.Second)
		Expect(h.startCount("k")).To(Equal(1))
		advance(h, 3*time.Second)
		Expect(h.startCount("j")).To(BeZero())
		advance(h, 2*time.Second)
		Expect(h.startCount("j")).To(BeNumerically(">=", 1))
	})

	It("lets new jobs start at once", func() {
		h, j, _ := beside()
		h.takeOverReleased(1001, j)
		h.submit("new", batchStep(1))
		advance(h, 500*time.Millisecond)
		Expect(h.startCount("new")).To(Equal(1))
	})

	It("prevents a second run of a task that succeeded before the end was stored", func() {
		h, j, _ := beside()
		h.workers["w1"].silent = false
		h.endRun("w1", h.starts[0].Task, dispatch.EndDone)
		h.now = h.now.Add(interval)
		h.pollWorkers()
		h.workers["w1"].silent = true
		h.takeOverReleased(1001, j)
		advance(h, 3*time.Second)
		Expect(h.starts).To(BeEmpty())
		h.workers["w1"].silent = false
		advance(h, 500*time.Millisecond)
		expectState(h, "j", dispatch.Completed)
		Expect(h.starts).To(BeEmpty())
	})

	It("has no runs whose ends are stored", func() {
		h, _, _ := beside()
		h.workers["w1"].silent = false
		h.endRun("w1", h.starts[0].Task, dispatch.EndDone)
		advance(h, 500*time.Millisecond)
		record, complete := h.engine.Release(h.now)
		Expect(complete).To(BeTrue())
		Expect(record.Workers).To(BeEmpty())
	})

	// A worker needn't list a run that it is stopping.
	It("delays the task of a run that is being stopped by the stop timeout", func() {
		h, j, _ := beside()
		w := h.workers["w1"]
		w.silent, w.slowStops = false, true
		h.workers["w0"].info.Draining = true
		h.listWorkers()
		h.engine.Cancel(h.now, "j")
		h.tick()
		Expect(h.stops).To(HaveLen(1))
		h.workers["w0"].info.Draining = false
		h.takeOverReleased(1001, j)
		for elapsed := time.Duration(0); elapsed < stopTimeout; elapsed += interval / 2 {
			h.advance(interval / 2)
			Expect(h.starts).To(BeEmpty())
		}
		advance(h, 500*time.Millisecond)
		Expect(h.startCount("j")).To(Equal(1))
	})

	It("includes unanswered starts, which may be executed late", func() {
		h, j, k := beside()
		h.workers["w1"].silent = false
		h.workers["w0"].info.Draining = true
		h.listWorkers()
		h.engine.AddJob(h.now, k, dispatch.Progress{}, false)
		h.engine.Tick(h.now)
		late := h.engine.TakeCommands()
		Expect(late).To(HaveLen(1))
		h.workers["w1"].silent = true
		h.workers["w0"].info.Draining = false
		h.takeOverReleased(1001, j, k)
		advance(h, 3*time.Second)
		Expect(h.starts).To(BeEmpty())
	})

	It("includes an earlier record if the owner is replaced before the workers have listed their runs", func() {
		h, j, k := beside()
		h.takeOverReleased(1001, j, k)
		advance(h, 500*time.Millisecond)
		Expect(h.startCount("k")).To(Equal(1))
		h.takeOverReleased(2001, j, k)
		advance(h, 2*time.Second)
		Expect(h.starts).To(BeEmpty())
		h.workers["w1"].silent = false
		advance(h, 500*time.Millisecond)
		Expect(h.starts).To(BeEmpty())
		Expect(h.eventsOf("RecoveryEnded")).To(Equal(1))
	})

	It("delays all tasks if the releasing owner had no record and hadn't received reports from all workers", func() {
		h, j, k := beside()
		h.takeOver(1001, j, k)
		advance(h, 500*time.Millisecond)
		h.takeOverReleased(2001, j, k)
		advance(h, 2*time.Second)
		Expect(h.starts).To(BeEmpty())
	})

	It("delays new jobs if the releasing owner had just taken over from one that may still act", func() {
		h, j, _ := beside()
		h.takeOver(1001, j)
		h.engine.Recover(h.now, 2*time.Second)
		advance(h, 500*time.Millisecond)
		h.takeOverReleased(2001, j)
		h.submit("new", batchStep(1))
		advance(h, 1400*time.Millisecond)
		Expect(h.startCount("new")).To(BeZero())
		advance(h, 300*time.Millisecond)
		Expect(h.startCount("new")).To(Equal(1))
	})

	It("isn't made by an owner that doesn't know the workers yet", func() {
		h := newHarness(2, 1)
		h.engine.Recover(h.now, 0)
		_, complete := h.engine.Release(h.now)
		Expect(complete).To(BeFalse())
	})

	It("applies to a job that is added later", func() {
		h, j, _ := beside()
		h.takeOverReleased(1001)
		h.engine.AddJob(h.now, j, dispatch.Progress{}, false)
		advance(h, 2*time.Second)
		Expect(h.starts).To(BeEmpty())
	})

	It("applies to a worker that isn't known", func() {
		h, j, _ := beside()
		record, _ := h.engine.Release(h.now)
		delete(h.workers, "w1")
		h.takeOver(1001, j)
		h.engine.RecoverFrom(h.now, record)
		advance(h, 2*time.Second)
		Expect(h.starts).To(BeEmpty())
		advance(h, 4*time.Second)
		Expect(h.startCount("j")).To(BeNumerically(">=", 1))
	})

	It("is the last decision of the owner", func() {
		h, _, k := beside()
		h.engine.Release(h.now)
		h.engine.AddJob(h.now, k, dispatch.Progress{}, false)
		advance(h, time.Second)
		Expect(h.startCount("k")).To(BeZero())
		p, _ := h.engine.Poll(h.now, "w0")
		Expect(p.Lease).To(BeZero())
		h.engine.Resume()
		h.listWorkers()
		advance(h, time.Second)
		Expect(h.startCount("k")).To(Equal(1))
	})
})

// Guards against two runs of a task at once: commands to the process before it may have granted the longest
// lease to a worker that has restarted.
var _ = Describe("A worker that answers once after a release and then goes silent", func() {
	DescribeTable("keeps its run", func(incarnation int64, want time.Duration) {
		const interval = 100 * time.Millisecond
		h := newHarness(1, 2)
		h.listWorkers()
		h.advance(interval)
		job := jobOf("j", h.now, lastingStep(1))
		h.engine.AddJob(h.now, job, dispatch.Progress{}, false)
		h.advanceStartedUp(time.Second)
		w := h.workers[h.starts[0].Worker]
		record, _ := h.engine.Release(h.now)
		w.incarnation = incarnation
		h.takeOver(1001, job)
		h.engine.RecoverFrom(h.now, record)
		h.advance(interval)
		w.silent = true
		waited := time.Duration(0)
		for ; len(h.starts) == 0 && waited < time.Minute; waited += interval {
			h.advance(interval)
		}
		Expect(waited).To(BeNumerically("~", want, time.Second))
	},
		Entry("for the recorded lease if it is the process that the earlier owner knew", int64(1), 5*time.Second),
		Entry("for the longest lease if it is another one", int64(2), 10500*time.Millisecond),
	)
})

// Guards against two runs of a task at once: an owner that is disconnected from a worker treats its runs as
// lost, and may start them elsewhere until it notices that it was replaced.
var _ = Describe("A run that is seen while the earlier owner may still act", func() {
	It("may not be the last one", func() {
		h := newHarness(1, 3)
		h.listWorkers()
		h.advance(100 * time.Millisecond)
		job := jobOf("j", h.now, batchStep(1))
		h.engine.AddJob(h.now, job, dispatch.Progress{}, false)
		h.advance(100 * time.Millisecond)
		h.advance(100 * time.Millisecond)
		first := h.starts[0]
		for _, w := range h.workers {
			w.silent = w.info.ID != first.Worker
		}
		h.takeOver(1001, job)
		h.engine.Recover(h.now, 2*time.Second)
		h.advance(100 * time.Millisecond)
		h.endRun(first.Worker, first.Task, dispatch.EndFailed)
		for range 30 {
			h.advance(100 * time.Millisecond)
		}
		Expect(h.starts).To(BeEmpty())
	})
})
