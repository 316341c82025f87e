package dispatch_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// A worker may read its lists of runs and its clock one after the other, and its answers on
// different connections may overtake each other. So a report can miss a run that is active. In
// the soak, with executors that use this freedom, tasks ran on two workers at once.
var _ = Describe("A run that a report doesn't list", func() {
	const interval = 100 * time.Millisecond

	// idleHarness returns a harness with two workers that have reported.
	idleHarness := func() *harness {
		h := newHarness(1, 2)
		h.listWorkers()
		h.advance(interval)
		return h
	}
	// startDuringPoll starts a task while its worker's report is on its way: the worker makes
	// the report before it starts the task, and the report arrives after the answer to the start.
	startDuringPoll := func(h *harness) membership.InstanceID {
		GinkgoHelper()
		reports := map[membership.InstanceID]dispatch.Report{}
		for id, w := range h.workers {
			p, _ := h.engine.Poll(h.now, id)
			reports[id] = w.report(p)
		}
		h.submit("j", batchStep(1))
		h.tick()
		Expect(h.starts).To(HaveLen(1))
		h.now = h.now.Add(interval)
		for id, w := range h.workers {
			w.clock += interval
			r := reports[id]
			r.Clock = w.clock
			h.engine.Observe(h.now, id, r)
		}
		h.tick()
		return h.starts[0].Worker
	}
	// start starts a task and returns its worker, which has reported the run.
	start := func(h *harness) membership.InstanceID {
		GinkgoHelper()
		h.submit("j", batchStep(1))
		h.advance(interval)
		h.advance(interval)
		Expect(h.starts).To(HaveLen(1))
		return h.starts[0].Worker
	}
	// expectStays checks that the only run of the job stays on its worker for some time.
	expectStays := func(h *harness, id membership.InstanceID, d time.Duration) {
		GinkgoHelper()
		for elapsed := time.Duration(0); elapsed < d; elapsed += interval {
			h.advance(interval)
			Expect(h.workersOf("j")).To(Equal([]membership.InstanceID{id}))
		}
		Expect(h.starts).To(HaveLen(1))
	}

	It("isn't taken for lost if the report was made before the start and its clock was read after it", func() {
		h := idleHarness()
		id := startDuringPoll(h)
		expectStays(h, id, time.Second)
	})

	It("isn't taken for lost if it ended between the reading of the two lists", func() {
		h := idleHarness()
		id := start(h)
		h.workers[id].hidden[h.starts[0].Task] = true
		h.advance(interval)
		h.endRun(id, h.starts[0].Task, dispatch.EndDone)
		h.advance(interval)
		h.advance(interval)
		expectState(h, "j", dispatch.Completed)
		Expect(h.starts).To(HaveLen(1))
	})

	It("isn't taken for lost while the worker has more ends than it lists", func() {
		h := idleHarness()
		id := start(h)
		w := h.workers[id]
		w.maxListedEnds = 2
		for range 2 {
			w.endCount++
			other := dispatch.TaskRun{Task: dispatch.TaskID{Job: "other", Index: int(w.endCount)}, Run: 1}
			w.ended = append(w.ended, dispatch.End{Number: w.endCount, TaskRun: other, Kind: dispatch.EndDone})
		}
		h.endRun(id, h.starts[0].Task, dispatch.EndDone)
		// The store is unavailable, so that no end is acknowledged.
		for range 20 {
			h.now = h.now.Add(interval)
			h.pollWorkers()
			h.engine.Tick(h.now)
			Expect(h.engine.TakeCommands()).To(BeEmpty())
		}
		for range 3 {
			h.advance(interval)
		}
		expectState(h, "j", dispatch.Completed)
		Expect(h.starts).To(HaveLen(1))
	})

	It("isn't started elsewhere before its end is listed if a stop takes its time", func() {
		h := idleHarness()
		h.submit("j", servingStep(1))
		h.advance(interval)
		h.advance(interval)
		id := h.starts[0].Worker
		w := h.workers[id]
		w.slowStops, w.info.Draining = true, true
		h.listWorkers()
		h.advance(interval)
		Expect(h.stops).To(HaveLen(1))
		for elapsed := interval; elapsed < stopTimeout; elapsed += interval {
			h.advance(interval)
		}
		Expect(h.starts).To(HaveLen(1))
		h.endRun(id, h.starts[0].Task, dispatch.EndStopped)
		h.advance(interval)
		Expect(h.starts).To(HaveLen(2))
		Expect(h.starts[1].Worker).NotTo(Equal(id))
		Expect(h.eventsOf("TaskMissing")).To(BeZero())
	})

	It("isn't taken for lost while it starts up", func() {
		h := idleHarness()
		id := startDuringPoll(h)
		h.workers[id].hidden[h.starts[0].Task] = true
		expectStays(h, id, 1500*time.Millisecond)
		h.workers[id].hidden[h.starts[0].Task] = false
		expectStays(h, id, time.Second)
	})

	It("isn't adopted if the same report lists its end", func() {
		h := idleHarness()
		id := start(h)
		run := *h.workers[id].running[h.starts[0].Task]
		h.endRun(id, run.Task, dispatch.EndFailed)
		p, _ := h.engine.Poll(h.now, id)
		r := h.workers[id].report(p)
		r.Running = append(r.Running, run)
		h.engine.Observe(h.now, id, r)
		Expect(h.eventsOf("TaskAdopted")).To(BeZero())
	})

	It("is started again once the worker must have listed it or its end", func() {
		h := idleHarness()
		id := start(h)
		delete(h.workers[id].running, h.starts[0].Task)
		for range 30 {
			h.advance(interval)
		}
		Expect(h.starts).To(HaveLen(2))
	})

	It("isn't taken for lost if the worker restarts and the new process may have accepted it", func() {
		h := idleHarness()
		for _, w := range h.workers {
			w.incarnation++
		}
		id := startDuringPoll(h)
		expectStays(h, id, time.Second)
	})

	It("isn't released because an earlier process of the worker accepted a stop", func() {
		h := idleHarness()
		for _, w := range h.workers {
			w.silent = true
		}
		h.submit("j", batchStep(1))
		h.tick()
		id := h.starts[0].Worker
		w := h.workers[id]
		w.silent = false
		p, _ := h.engine.Poll(h.now, id)
		h.engine.Observe(h.now, id, w.report(p))
		earlier := h.engine.TakeCommands()
		Expect(earlier).To(HaveLen(1))
		Expect(earlier[0].Stop).To(BeTrue())
		w.incarnation++
		p, _ = h.engine.Poll(h.now, id)
		h.engine.Observe(h.now, id, w.report(p))
		h.engine.TakeCommands()
		h.engine.StopAccepted(h.now, id, earlier[0].TaskRun, earlier[0].Incarnation)
		for range 10 {
			h.now, w.clock = h.now.Add(interval), w.clock+interval
			p, _ = h.engine.Poll(h.now, id)
			h.engine.Observe(h.now, id, w.report(p))
			h.engine.Tick(h.now)
			for _, c := range h.engine.TakeCommands() {
				Expect(c.Start).To(BeNil())
			}
		}
	})
})

// Guards against an owner that overloads itself: with many unanswered starts it polled all workers
// ten times a second and repeated stops that had been accepted, so that still more starts stayed
// without an answer.
var _ = Describe("A worker with many runs that were stopped because their starts got no answer", func() {
	It("is polled at most twice as often as others, and told once to stop each run", func() {
		h := newHarness(1, 1)
		h.listWorkers()
		h.advance(0)
		w := h.workers["w0"]
		w.silent = true
		h.submit("j", batchStep(6))
		h.tick()
		Expect(h.starts).To(HaveLen(6))
		for _, c := range h.starts[:2] {
			w.running[c.Task] = &dispatch.RunningTask{TaskRun: c.TaskRun}
			w.hidden[c.Task] = true
		}
		w.silent, w.slowStops = false, true
		p, _ := h.engine.Poll(h.now, "w0")
		h.engine.Observe(h.now, "w0", w.report(p))
		h.tick()
		Expect(h.stops).To(HaveLen(6))
		p, _ = h.engine.Poll(h.now, "w0")
		Expect(p.Wait).To(BeNumerically(">=", 500*time.Millisecond))
		h.now = h.now.Add(500 * time.Millisecond)
		h.tick()
		Expect(h.stops).To(HaveLen(6))
	})
})

// Guards against losing the ends of a worker that has restarted: it numbers them anew, and took
// the first ones for stored when a poll acknowledged the number of its earlier process.
var _ = Describe("A poll", func() {
	It("acknowledges no ends of a worker that may have restarted", func() {
		h := newHarness(1, 1)
		h.listWorkers()
		h.advance(0)
		h.submit("j", batchStep(1))
		h.advance(0)
		h.endRun("w0", h.starts[0].Task, dispatch.EndDone)
		for range 2 {
			h.advance(100 * time.Millisecond)
		}
		p, _ := h.engine.Poll(h.now, "w0")
		Expect(p.LastStoredEnd).To(BeEquivalentTo(1))
		h.engine.PollFailed(h.now, "w0")
		p, _ = h.engine.Poll(h.now, "w0")
		Expect(p.LastStoredEnd).To(BeZero())
		h.engine.Observe(h.now, "w0", h.workers["w0"].report(p))
		p, _ = h.engine.Poll(h.now, "w0")
		Expect(p.LastStoredEnd).To(BeEquivalentTo(1))
	})
})

// Guards against downtimes that the logs don't explain: a task was without a run for 7.5 s, and no
// line told what it waited for (bogkreds-jt-grown, trouble-2).
var _ = Describe("A long-running task that is down for long", func() {
	// down returns a harness with a long-running task that has been down for a duration since its run
	// failed. Its only worker drains.
	down := func(d time.Duration) *harness {
		h := newHarness(1, 1)
		h.listWorkers()
		h.submit("j", servingStep(1))
		h.advance(0)
		h.advance(100 * time.Millisecond)
		h.endRun("w0", h.starts[0].Task, dispatch.EndFailed)
		h.workers["w0"].info.Draining = true
		h.listWorkers()
		for range int(d / (100 * time.Millisecond)) {
			h.advance(100 * time.Millisecond)
		}
		return h
	}
	// expectRecords expects the records of a task at the given ages of its only downtime, all with the
	// same fields.
	expectRecords := func(h *harness, want dispatch.LongDowntime, ages ...time.Duration) {
		GinkgoHelper()
		var recorded []time.Duration
		for _, d := range h.decisions {
			if d.Event == "TaskDownForLong" {
				recorded = append(recorded, d.Took)
				Expect(d.LongDowntime).To(HaveValue(Equal(want)))
				Expect(d.Task.Task.Job).To(Equal(dispatch.JobID("j")))
			}
		}
		Expect(recorded).To(HaveLen(len(ages)))
		for i, age := range ages {
			Expect(recorded[i]).To(BeNumerically("~", age, 500*time.Millisecond))
		}
		Expect(h.counts).To(HaveKeyWithValue("Task.DownForLong", int64(1)))
	}

	It("is recorded with what it waits for, once within 5 s", func() {
		h := down(5 * time.Second)
		Expect(h.eventsOf("TaskDownForLong")).To(Equal(1))
		Expect(h.decisions).To(ContainElement(SatisfyAll(
			HaveField("Event", "TaskDownForLong"), HaveField("Task.Task.Job", dispatch.JobID("j")),
			HaveField("Reason", ContainSubstring("of 0 suitable workers 0 have room")),
		)))
	})

	// Guards against a record that shows only what the task waited for at first.
	It("is recorded again every 2 s, and counted once", func() {
		h := down(9 * time.Second)
		want := dispatch.LongDowntime{Awaits: dispatch.AwaitsRoom, Resources: cores(2), WaitingTasks: 1}
		expectRecords(h, want, 4*time.Second, 6*time.Second, 8*time.Second)
	})

	// Guards against a record that doesn't tell full workers from those that aren't used.
	It("is recorded with the unavailable workers that have room", func() {
		h := down(time.Second)
		for _, w := range []*fakeWorker{newFakeWorker("silent", 6), newFakeWorker("small", 1), newFakeWorker("other", 6)} {
			w.silent = true
			h.workers[w.info.ID] = w
		}
		h.workers["other"].info.Service = "other"
		h.listWorkers()
		for range 40 {
			h.advance(100 * time.Millisecond)
		}
		want := dispatch.LongDowntime{Awaits: dispatch.AwaitsRoom, Resources: cores(2), UnavailableWithRoom: 1, WaitingTasks: 1}
		expectRecords(h, want, 4*time.Second)
	})
})

// eventsOf returns how many decisions of a kind the engine has recorded.
func (h *harness) eventsOf(event string) (count int) {
	for _, d := range h.decisions {
		if d.Event == event {
			count++
		}
	}
	return count
}

// Guards against losses that the logs don't explain: an owner gave up runs that were active, and no
// line told on which answers, leases or starts of the worker that rested.
var _ = Describe("A run that is given up", func() {
	evidenceOf := func(h *harness, event string) dispatch.Evidence {
		GinkgoHelper()
		for _, d := range h.decisions {
			if d.Event == event {
				Expect(d.Evidence).NotTo(BeNil())
				return *d.Evidence
			}
		}
		Fail("no decision " + event)
		return dispatch.Evidence{}
	}

	It("is recorded with the polls and answers that show that it is missing", func() {
		h, w := startOnOnlyWorker()
		delete(w.running, h.starts[0].Task)
		for range 30 {
			h.advance(100 * time.Millisecond)
		}
		ev := evidenceOf(h, "TaskMissing")
		Expect(ev.Phase).To(Equal("stopping"))
		Expect(ev.AnswerAge).To(BeNumerically(">=", ev.MissingFor))
		Expect(ev.MissingFor).To(BeNumerically(">=", stopTimeout))
		Expect(ev.LeaseExpiresIn).To(BeNumerically(">", 0))
	})

	It("is recorded with the end of its lease if its worker is silent", func() {
		h, w := startOnOnlyWorker()
		w.silent = true
		for range 60 {
			h.advance(100 * time.Millisecond)
		}
		ev := evidenceOf(h, "TaskLost")
		Expect(ev.LeaseExpiresIn).To(BeNumerically("<", 0))
		Expect(ev.ReportAge).To(BeNumerically(">", leaseTerm))
	})

	It("is recorded with both starts of its worker if that has restarted", func() {
		h, w := startOnOnlyWorker()
		w.incarnation, w.clock = 7, 0
		clear(w.running)
		h.advance(100 * time.Millisecond)
		ev := evidenceOf(h, "WorkerRestarted")
		Expect(ev.EarlierIncarnation).To(BeEquivalentTo(1))
		Expect(ev.Incarnation).To(BeEquivalentTo(7))
		Expect(ev.EarlierClock).To(BeNumerically(">", ev.Clock-time.Second))
		Expect(ev.Runs).To(Equal(1))
	})

	It("is recorded again when its worker lists it beside the next run", func() {
		h := newHarness(1, 2)
		h.listWorkers()
		h.advance(0)
		h.submit("j", batchStep(1))
		h.advance(0)
		h.advance(100 * time.Millisecond)
		first := h.starts[0]
		h.workers[first.Worker].silent = true
		for range 60 {
			h.advance(100 * time.Millisecond)
		}
		Expect(len(h.starts)).To(BeNumerically(">", 1))
		h.workers[first.Worker].silent = false
		h.advance(100 * time.Millisecond)
		Expect(h.decisions).To(ContainElement(SatisfyAll(
			HaveField("Event", "TaskOrphan"), HaveField("Task", first.TaskRun),
			HaveField("Reason", MatchRegexp("^run [0-9]+ of the task on w[01] is running$")),
		)))
	})
})

// Guards against two runs of a task at once: a report that doesn't tell when the worker's process
// started counted as one from another process, and all runs of the worker were given up.
var _ = Describe("A report without the start of the worker's process", func() {
	const interval = 100 * time.Millisecond

	It("isn't taken for a restart", func() {
		h, w := startOnOnlyWorker()
		for _, incarnation := range []int64{0, 1, 0, 0, 1} {
			w.incarnation = incarnation
			h.advance(interval)
		}
		Expect(h.eventsOf("WorkerRestarted")).To(BeZero())
		Expect(h.starts).To(HaveLen(1))
	})

	It("is taken for a restart if the worker's clock has started anew", func() {
		h, w := startOnOnlyWorker()
		w.incarnation, w.clock = 0, 0
		clear(w.running)
		h.advance(interval)
		Expect(h.eventsOf("WorkerRestarted")).To(Equal(1))
		w.incarnation = 2
		h.advance(interval)
		Expect(h.eventsOf("WorkerRestarted")).To(Equal(1))
		Expect(h.starts).To(HaveLen(2))
	})
})

// Guards against running tasks again that are done: an owner that had no processor for some seconds
// took the polls that failed meanwhile for the silence of its workers, and gave up their runs before
// they could answer (soak, seed 979 at the settings of a deployment).
var _ = Describe("A worker whose owner was paused until the leases had expired", func() {
	// pause starts a task on a worker and pauses the owner for so long that the leases expire. The
	// poll that was on its way fails, and the other worker answers first.
	pause := func() (h *harness, w *fakeWorker) {
		h = newHarness(1, 2)
		h.listWorkers()
		h.advance(0)
		long := batchStep(1)
		long.Estimate = time.Minute
		h.submit("j", long)
		h.advance(0)
		h.advance(100 * time.Millisecond)
		Expect(h.starts).To(HaveLen(1))
		id := h.starts[0].Worker
		w = h.workers[id]
		h.engine.Poll(h.now, id)
		h.now = h.now.Add(leaseTerm + 2*time.Second)
		for other, o := range h.workers {
			o.clock += leaseTerm + 2*time.Second
			if other != id {
				p, _ := h.engine.Poll(h.now, other)
				h.engine.Observe(h.now, other, o.report(p))
			}
		}
		h.engine.PollFailed(h.now, id)
		h.tick()
		return h, w
	}

	It("keeps its runs until it could answer", func() {
		h, w := pause()
		Expect(h.starts).To(HaveLen(1))
		h.endRun(w.info.ID, h.starts[0].Task, dispatch.EndDone)
		for range 2 {
			h.advance(200 * time.Millisecond)
		}
		Expect(h.starts).To(HaveLen(1))
		expectState(h, "j", dispatch.Completed)
	})

	It("loses its runs if it doesn't answer the next poll either", func() {
		h, w := pause()
		w.silent = true
		h.advance(200 * time.Millisecond)
		Expect(h.starts).To(HaveLen(2))
	})
})

// startOnOnlyWorker starts a task on the only worker, which reports it.
func startOnOnlyWorker() (*harness, *fakeWorker) {
	GinkgoHelper()
	h := newHarness(1, 1)
	h.listWorkers()
	h.advance(100 * time.Millisecond)
	h.submit("j", batchStep(1))
	h.advance(100 * time.Millisecond)
	h.advance(100 * time.Millisecond)
	Expect(h.starts).To(HaveLen(1))
	return h, h.workers["w0"]
}
