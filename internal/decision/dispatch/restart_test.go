package dispatch_test

import (
	"fmt"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// maxDowntime is the time after which the platform counts a long-running task without a run as
// lost, if there is room for it.
const maxDowntime = 9 * time.Second

// shortTaskLoad submits short tasks at a steady rate.
type shortTaskLoad struct {
	h *harness
	// perStep is the number of tasks submitted in each step of 100 ms, and processors what each needs.
	perStep    int
	processors float64
	submitted  int
	startedAt  map[dispatch.TaskID]time.Time
}

func newShortTaskLoad(h *harness) *shortTaskLoad {
	return &shortTaskLoad{h: h, processors: 2, startedAt: map[dispatch.TaskID]time.Time{}}
}

const (
	minShortDuration = 300 * time.Millisecond
	maxShortDuration = 1300 * time.Millisecond
)

// durationOf returns how long a task of the load runs. Neighbours differ, so that their room becomes
// free at different times.
func (l *shortTaskLoad) durationOf(task dispatch.TaskID) time.Duration {
	const primeStep = 370 * time.Millisecond
	n, err := strconv.Atoi(string(task.Job[1:]))
	Expect(err).NotTo(HaveOccurred())
	return minShortDuration + time.Duration(n)*primeStep%(maxShortDuration-minShortDuration)
}

// runFor advances the time in steps of 100 ms. Short tasks end after their duration, and others
// report that they have started up.
func (l *shortTaskLoad) runFor(d time.Duration) {
	h := l.h
	for range int(d / (100 * time.Millisecond)) {
		for id, w := range h.workers {
			for task, run := range w.running {
				if run.Percent = 100; task.Job[0] != 's' {
					continue
				}
				if at, started := l.startedAt[task]; !started {
					l.startedAt[task] = h.now
				} else if h.now.Sub(at) >= l.durationOf(task) {
					h.endRun(id, task, dispatch.EndDone)
				}
			}
		}
		for range l.perStep {
			l.submitted++
			h.submit(dispatch.JobID(fmt.Sprintf("s%05d", l.submitted)), dispatch.Step{Tasks: 1, Resources: cores(l.processors), Estimate: maxShortDuration})
		}
		h.advance(100 * time.Millisecond)
	}
}

// loseRuns ends all runs of a worker that was cut off for longer than its leases.
func (w *fakeWorker) loseRuns(h *harness) {
	for task := range w.running {
		h.endRun(w.info.ID, task, dispatch.EndLeaseExpired)
	}
}

// Guards against long-running tasks that aren't started again while short tasks take the room:
// the workers of a zone were cut off, came back empty, and the last tasks of a step waited for more
// than 9 s, because each start of a task of the step began the time anew for which the step lets
// short tasks go first.
var _ = Describe("Long-running tasks whose workers come back after their leases have expired", func() {
	var h *harness
	var load *shortTaskLoad
	const cutDuration = 5500 * time.Millisecond

	// cutOff cuts the worker off for longer than its leases last, and returns when it was cut off.
	cutOff := func(id membership.InstanceID) time.Time {
		at := h.now
		w := h.workers[id]
		w.silent = true
		load.runFor(leaseTerm)
		w.loseRuns(h)
		load.runFor(cutDuration - leaseTerm)
		w.silent = false
		return at
	}
	expectRunning := func(job dispatch.JobID, tasks int) {
		GinkgoHelper()
		Expect(h.workersOf(job)).To(HaveLen(tasks))
	}

	BeforeEach(func() {
		h = newHarness(1, 1)
		h.workers["back"] = newFakeWorker("back", 24)
		h.listWorkers()
		load = newShortTaskLoad(h)
		h.submit("full", longRunningStep(3, 2))
		load.runFor(500 * time.Millisecond)
	})

	It("runs all tasks of a step again in time while short tasks wait for the same room", func() {
		h.submit("watch", longRunningStep(10, 2))
		load.runFor(500 * time.Millisecond)
		expectRunning("watch", 10)
		load.perStep = 3
		cutAt := cutOff("back")
		load.runFor(cutAt.Add(leaseTerm + maxDowntime).Sub(h.now))
		expectRunning("watch", 10)
		expectRunning("full", 3)
	})

	// Guards against a large task that never finds room, because any smaller long-running task may
	// take what is free on the worker that is held for it.
	It("runs a large task again in time while smaller long-running tasks come and go", func() {
		h.submit("large", longRunningStep(1, 20))
		load.runFor(500 * time.Millisecond)
		expectRunning("large", 1)
		const (
			submitInterval = 500 * time.Millisecond
			lifetime       = 4 * time.Second
		)
		submitted := 0
		runWithOtherJobs := func(d time.Duration) {
			for range int(d / submitInterval) {
				submitted++
				h.submit(dispatch.JobID(fmt.Sprintf("other-%d", submitted)), longRunningStep(1, 4))
				if ended := submitted - int(lifetime/submitInterval); ended > 0 {
					h.engine.Cancel(h.now, dispatch.JobID(fmt.Sprintf("other-%d", ended)))
				}
				load.runFor(submitInterval)
			}
		}
		cutAt := h.now
		w := h.workers["back"]
		w.silent = true
		runWithOtherJobs(leaseTerm)
		w.loseRuns(h)
		runWithOtherJobs(cutDuration - leaseTerm)
		w.silent = false
		runWithOtherJobs(cutAt.Add(leaseTerm + maxDowntime).Sub(h.now))
		expectRunning("large", 1)
	})
})

// Guards against a limit on held workers that lets the tasks of a lost zone come back only a few at a
// time, while smaller short tasks keep every worker from having enough room at once.
var _ = Describe("Long-running tasks of a lost zone", func() {
	It("run again in time on workers that are full of short tasks", func() {
		h := newHarness(1, 0)
		load := newShortTaskLoad(h)
		load.processors = 1
		addWorkers := func(prefix string, count int) {
			for i := range count {
				id := membership.InstanceID(fmt.Sprintf("%s%d", prefix, i))
				h.workers[id] = newFakeWorker(id, 6)
			}
			h.listWorkers()
			load.runFor(200 * time.Millisecond)
		}
		const lost, others = 8, 26
		addWorkers("lost", lost)
		h.submit("watch", longRunningStep(3*lost, 2))
		load.runFor(500 * time.Millisecond)
		addWorkers("other", others)
		h.submit("full", longRunningStep(2*others, 2))
		load.runFor(500 * time.Millisecond)
		Expect(h.workersOf("full")).To(HaveLen(2 * others))
		load.perStep = 20
		load.runFor(2 * time.Second)
		for i := range lost {
			h.workers[membership.InstanceID(fmt.Sprintf("lost%d", i))].silent = true
		}
		load.runFor(leaseTerm)
		for i := range lost {
			w := h.workers[membership.InstanceID(fmt.Sprintf("lost%d", i))]
			clear(w.running)
		}
		load.runFor(maxDowntime)
		Expect(h.workersOf("watch")).To(HaveLen(3 * lost))
	})
})

// Guards against long-running tasks that start before their turn after a change of the owner: a new owner
// took all tasks of recovered jobs for tasks that had been down since the takeover, and restarted them.
var _ = Describe("A long-running task of a recovered job", func() {
	longRunning := func(after ...int) dispatch.Step {
		s := batchStep(2)
		s.LongRunning, s.After = true, after
		return s
	}
	recoverJob := func(j dispatch.Job) *harness {
		h := newHarness(2, 2)
		j.ID, j.Queue, j.Accepted = "j", batchQueue, h.now
		h.engine.AddJob(h.now, j, dispatch.Progress{}, true)
		h.engine.Recover(h.now, 0)
		h.listWorkers()
		return h
	}

	It("doesn't start before it is due", func() {
		const delay = 20 * time.Second
		h := recoverJob(dispatch.Job{Steps: []dispatch.Step{longRunning()}, Repetitions: 1, FirstRun: startTime.Add(delay)})
		for h.now.Add(100 * time.Millisecond).Before(startTime.Add(delay)) {
			h.advance(100 * time.Millisecond)
			Expect(h.starts).To(BeEmpty())
		}
		h.advanceStartedUp(500 * time.Millisecond)
		Expect(h.starts).To(HaveLen(2))
		Expect(h.eventsOf("TaskDownForLong")).To(BeZero())
	})

	It("doesn't start before the steps that come first have ended", func() {
		h := recoverJob(dispatch.Job{Steps: []dispatch.Step{longRunning(), batchStep(1), longRunning(1)}})
		h.advanceStartedUp(20 * time.Second)
		Expect(h.starts).To(HaveLen(3))
		Expect(h.starts).NotTo(ContainElement(HaveField("Task.Step", 2)))
		for id := range h.workers {
			h.endRun(id, dispatch.TaskID{Job: "j", Step: 1}, dispatch.EndDone)
		}
		h.advanceStartedUp(500 * time.Millisecond)
		Expect(h.starts).To(HaveLen(5))
	})

	It("is restarted urgently if its turn came before the takeover", func() {
		h := recoverJob(dispatch.Job{Steps: []dispatch.Step{longRunning()}, Repetitions: 1, FirstRun: startTime.Add(-time.Second)})
		h.workers["w0"].info.Draining, h.workers["w1"].info.Draining = true, true
		h.listWorkers()
		h.advanceStartedUp(maxDowntime)
		Expect(h.eventsOf("TaskDownForLong")).NotTo(BeZero())
		h.workers["w0"].info.Draining = false
		h.listWorkers()
		h.advance(100 * time.Millisecond)
		Expect(h.starts).To(HaveLen(2))
	})
})
