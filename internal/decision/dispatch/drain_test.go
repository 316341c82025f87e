package dispatch_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/mechanism"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// Guards against long-running tasks that are stopped on a draining worker although no other worker has
// room for them: all that were stopped at once counted on the same room (bogkreds-jt-grown: 64 tasks
// within a second, and some had no run for 15 s).
var _ = Describe("Long-running tasks on a draining worker", func() {
	const (
		available = 5 * time.Second
		leaving   = membership.InstanceID("w0")
		other     = membership.InstanceID("other")
		late      = membership.InstanceID("late")
	)
	var h *harness

	// drainFull drains a worker with three tasks of job "watch". The only other worker has room for
	// one of them.
	drainFull := func() {
		h = newHarness(1, 1)
		h.listWorkers()
		h.advance(0)
		h.submit("watch", longRunningStep(3, 2))
		h.advance(100 * time.Millisecond)
		h.advance(100 * time.Millisecond)
		h.workers[other] = newFakeWorker(other, 6)
		h.listWorkers()
		h.advance(100 * time.Millisecond)
		h.submit("full", longRunningStep(2, 2))
		h.advance(100 * time.Millisecond)
		Expect(h.workersOf("full")).To(ConsistOf(other, other))
		w := h.workers[leaving]
		w.info.Draining, w.info.Remaining = true, available
		h.listWorkers()
	}
	expectAtWork := func(atLeast int) {
		GinkgoHelper()
		Expect(len(h.workersOf("watch"))).To(BeNumerically(">=", atLeast))
	}

	It("stay there until another worker has room for each of them", func() {
		drainFull()
		for range 40 {
			h.advance(100 * time.Millisecond)
			expectAtWork(2)
		}
		Expect(h.workersOf("watch")).To(ConsistOf(other, leaving, leaving))
	})

	It("move to a worker that gets room, one after the other", func() {
		drainFull()
		h.advance(100 * time.Millisecond)
		h.engine.Cancel(h.now, "full")
		for range 10 {
			h.advance(100 * time.Millisecond)
			expectAtWork(2)
		}
		Expect(h.workersOf("watch")).To(ConsistOf(other, other, other))
	})

	It("are stopped before the worker leaves, so that their ends are known", func() {
		drainFull()
		for range int(available / (100 * time.Millisecond)) {
			h.advance(100 * time.Millisecond)
		}
		Expect(h.workersOf("watch")).To(ConsistOf(other))
		delete(h.workers, leaving)
		h.workers[late] = newFakeWorker(late, 6)
		h.listWorkers()
		for range 10 {
			h.advance(100 * time.Millisecond)
		}
		Expect(h.workersOf("watch")).To(ConsistOf(other, late, late))
	})

	// Guards against a task that is stopped to move and isn't started in the room that is held for it,
	// because an earlier task of its step finds no room, or would need that room itself.
	It("leave a worker with room to a task of their step that is down", func() {
		h = newHarness(1, 2)
		h.listWorkers()
		h.advance(0)
		h.submit("watch", longRunningStep(2, 4))
		h.advanceStartedUp(time.Second)
		expectAtWork(2)
		for _, w := range h.workers {
			if _, first := w.running[dispatch.TaskID{Job: "watch", Index: 0}]; first {
				w.replaced = true
				clear(w.running)
			} else {
				w.info.Draining, w.info.Remaining = true, 20*time.Second
			}
		}
		h.workers[late] = newFakeWorker(late, 6)
		h.listWorkers()
		h.advanceStartedUp(time.Second)
		Expect(h.stops).To(BeEmpty())
		Expect(h.workersOf("watch")).To(HaveLen(2))
	})
})

// Guards against tasks that are stopped or moved after half of their worker's drain time: the remaining time
// in each renewed entry was counted from the start of the drain.
var _ = Describe("A draining worker that renews its remaining time", func() {
	const stays = 10 * time.Second

	// drainFor lets the only worker drain, renews its entry every second, and returns for how long the task
	// was left at work.
	drainFor := func(h *harness, id dispatch.JobID) time.Duration {
		began := h.now
		w := h.workers["w0"]
		w.info.Draining = true
		for h.now.Sub(began) < stays && len(h.workersOf(id)) > 0 {
			if left := stays - h.now.Sub(began); left%time.Second == 0 {
				w.info.Remaining = left
				h.listWorkers()
			}
			h.advance(100 * time.Millisecond)
		}
		return h.now.Sub(began)
	}
	expectLateStop := func(after time.Duration) {
		GinkgoHelper()
		Expect(after).To(And(BeNumerically(">", stays-2*time.Second), BeNumerically("<", stays)))
	}

	It("keeps a long-running task without room elsewhere until it is about to leave", func() {
		h := newHarness(1, 1)
		h.listWorkers()
		h.advance(0)
		h.submit("watch", longRunningStep(1, 2))
		h.advance(100 * time.Millisecond)
		expectLateStop(drainFor(h, "watch"))
	})

	It("keeps it as long after a takeover during the drain", func() {
		h := newHarness(1, 1)
		h.workers["w0"].info.Draining, h.workers["w0"].info.Remaining = true, stays
		run := dispatch.TaskRun{Task: dispatch.TaskID{Job: "watch"}, Run: 1}
		h.workers["w0"].running[run.Task] = &dispatch.RunningTask{TaskRun: run, Percent: 100}
		job := dispatch.Job{ID: "watch", Queue: batchQueue, Accepted: h.now, Steps: []dispatch.Step{longRunningStep(1, 2)}}
		h.engine.AddJob(h.now, job, dispatch.Progress{}, true)
		expectLateStop(drainFor(h, "watch"))
	})

	It("keeps a short task that ends in time", func() {
		h := newHarnessWithout(mechanism.Of(mechanism.Stragglers), 1, 1)
		h.listWorkers()
		h.advance(0)
		step := batchStep(1)
		step.Estimate = stays - 2*time.Second
		h.submit("short", step)
		h.advance(100 * time.Millisecond)
		h.workers["w1"] = newFakeWorker("w1", 6)
		Expect(drainFor(h, "short")).To(BeNumerically(">=", stays))
		Expect(h.stops).To(BeEmpty())
	})
})

// Guards against long-running tasks that a new owner stops although it may not start them elsewhere yet. They
// were without a run for 10 s, although their workers remained for as long.
var _ = Describe("A draining worker during a recovery", func() {
	const (
		stays = 30 * time.Second
		// recoveryTime is how long the earlier owner may still act, so that a task that was seen running may
		// have another run.
		recoveryTime = leaseTerm
	)
	var h *harness

	// takeOver begins a recovery that a silent worker of the earlier owner holds up.
	takeOver := func() {
		h = newHarness(2, 3)
		run := dispatch.TaskRun{Task: dispatch.TaskID{Job: "watch"}, Run: 1}
		h.workers["w0"].running[run.Task] = &dispatch.RunningTask{TaskRun: run, Percent: 100}
		h.workers["w0"].info.Draining, h.workers["w0"].info.Remaining = true, stays
		h.workers["w2"].silent = true
		job := dispatch.Job{ID: "watch", Queue: batchQueue, Accepted: h.now, Steps: []dispatch.Step{longRunningStep(1, 2)}}
		h.engine.AddJob(h.now, job, dispatch.Progress{}, true)
		h.engine.Recover(h.now, recoveryTime)
		h.listWorkers()
	}

	It("keeps a task that couldn't start elsewhere yet, and moves it afterwards", func() {
		takeOver()
		h.advanceStartedUp(recoveryTime - 100*time.Millisecond)
		Expect(h.stops).To(BeEmpty())
		Expect(h.workersOf("watch")).To(ConsistOf(membership.InstanceID("w0")))
		h.advanceStartedUp(3 * time.Second)
		Expect(h.workersOf("watch")).To(ConsistOf(membership.InstanceID("w1")))
	})
})
