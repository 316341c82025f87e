package dispatch_test

import (
	"fmt"
	"runtime"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
)

// endRuns ends all runs on the workers with success.
func (h *harness) endRuns() {
	for id, w := range h.workers {
		for task := range w.running {
			h.endRun(id, task, dispatch.EndDone)
		}
	}
}

// startedOccurrences counts the starts of each occurrence.
func (h *harness) startedOccurrences() map[int]int {
	started := map[int]int{}
	for _, c := range h.starts {
		started[c.Task.Occurrence]++
	}
	return started
}

// runUntilComplete ends all runs again and again until the job is completed.
func (h *harness) runUntilComplete(id dispatch.JobID, limit time.Duration) {
	GinkgoHelper()
	for end := h.now.Add(limit); h.now.Before(end); {
		h.advance(100 * time.Millisecond)
		h.endRuns()
		if state, _ := h.engine.State(id); state == dispatch.Completed {
			return
		}
	}
	state, _ := h.engine.State(id)
	Expect(state).To(Equal(dispatch.Completed))
}

// repeatedJob is a job of occurrences of two dependent tasks each.
func repeatedJob(repetitions int, interval time.Duration) dispatch.Job {
	return dispatch.Job{
		ID: "repeated", Queue: batchQueue, Accepted: startTime, FirstRun: startTime.Add(time.Second), Interval: interval, Repetitions: repetitions,
		Steps: []dispatch.Step{
			{Tasks: 1, Resources: cores(1), Estimate: time.Second},
			{Tasks: 1, Resources: cores(1), Estimate: time.Second, After: []int{0}},
		},
	}
}

func expectOnceEach(h *harness, occurrences, startsEach int) {
	GinkgoHelper()
	started := h.startedOccurrences()
	Expect(started).To(HaveLen(occurrences))
	for k, starts := range started {
		Expect(starts).To(Equal(startsEach), "occurrence %d", k)
	}
}

// Guards against occurrences that are lost, run twice or run early now that the owner opens them when they
// are due.
var _ = Describe("A repeated job", func() {
	It("runs each occurrence once, at its time", func() {
		h := newHarness(1, 2)
		h.listWorkers()
		h.engine.AddJob(h.now, repeatedJob(5, 2*time.Second), dispatch.Progress{}, false)
		for range 120 {
			h.advance(100 * time.Millisecond)
			elapsed := h.now.Sub(startTime) - time.Second
			for k := range h.startedOccurrences() {
				Expect(elapsed).To(BeNumerically(">=", time.Duration(k)*2*time.Second))
			}
			h.endRuns()
		}
		h.runUntilComplete("repeated", time.Second)
		expectOnceEach(h, 5, 2)
	})

	It("runs all of many occurrences that are due at the same time", func() {
		h := newHarness(1, 4)
		h.listWorkers()
		h.engine.AddJob(h.now, repeatedJob(600, time.Microsecond), dispatch.Progress{}, false)
		h.runUntilComplete("repeated", 5*time.Minute)
		expectOnceEach(h, 600, 2)
	})

	It("fills the room with occurrences that overlap", func() {
		h := newHarness(1, 30)
		h.listWorkers()
		h.engine.AddJob(h.now, repeatedJob(600, time.Microsecond), dispatch.Progress{}, false)
		for range 30 {
			h.advance(100 * time.Millisecond)
		}
		Expect(h.startedOccurrences()).To(HaveLen(30 * 6))
	})

	It("continues under the next owner", func() {
		h := newHarness(1, 2)
		h.listWorkers()
		j := repeatedJob(6, 2*time.Second)
		h.engine.AddJob(h.now, j, dispatch.Progress{}, false)
		stored := dispatch.Progress{}
		for range 52 {
			h.advance(100 * time.Millisecond)
			if h.now.Sub(startTime) < 5*time.Second {
				h.endRuns()
			}
			h.engine.RequeueBatch(dispatch.Batch{Updates: []dispatch.Update{{ID: j.ID}}})
			batch := h.engine.TakeBatch(10)
			stored = batch.Updates[0].Progress
			h.engine.MarkStored(h.now, batch)
		}
		next := newHarness(2, 0)
		next.now, next.workers, next.starts = h.now, h.workers, h.starts
		next.listWorkers()
		next.engine.AddJob(next.now, j, stored, true)
		next.engine.Recover(next.now, -time.Second)
		next.runUntilComplete(j.ID, 30*time.Second)
		expectOnceEach(next, 6, 2)
	})
})

// addWideJobs adds jobs of 2,400 long-running tasks each.
func addWideJobs(h *harness, jobs int, recovered bool) {
	for n := range jobs {
		h.engine.AddJob(h.now, dispatch.Job{
			ID: dispatch.JobID(fmt.Sprintf("%016x", n)), Queue: batchQueue, Accepted: startTime,
			Steps: []dispatch.Step{{Tasks: 2400, Resources: cores(1), LongRunning: true}},
		}, dispatch.Progress{}, recovered)
	}
}

// Guards against tasks of a large step that are lost or run twice now that the owner keeps records only of
// those that it uses.
var _ = Describe("A step of very many tasks", func() {
	It("runs each task once", func() {
		h := newHarness(1, 10)
		h.listWorkers()
		h.engine.AddJob(h.now, dispatch.Job{
			ID: "wide", Queue: batchQueue, Accepted: startTime,
			Steps: []dispatch.Step{{Tasks: 2400, Resources: cores(1), Estimate: 100 * time.Millisecond}},
		}, dispatch.Progress{}, false)
		h.runUntilComplete("wide", time.Minute)
		runs := map[dispatch.TaskID]int{}
		for _, c := range h.starts {
			runs[c.Task]++
		}
		Expect(runs).To(HaveLen(2400))
		for id, starts := range runs {
			Expect(starts).To(Equal(1), id.String())
		}
	})

	// Guards against an owner that does nothing but sort and log waiting tasks, and loses its shard.
	It("is recorded as down by a bounded number of its tasks, and needs few records", func() {
		h := newHarness(2, 12)
		h.listWorkers()
		addWideJobs(h, 50, true)
		h.engine.Recover(h.now, -time.Second)
		h.advanceStartedUp(8 * time.Second)
		before := 0
		for _, d := range h.decisions {
			if d.Event == "TaskDownForLong" {
				before++
			}
		}
		// Four seconds are down for long, with two searches a second.
		Expect(before).To(And(BeNumerically(">", 0), BeNumerically("<=", 4*2*64)))
		Expect(h.engine.Memory()).To(BeNumerically("<", 8<<20))
	})

	It("restarts long-running tasks after a takeover as fast as there is room", func() {
		h := newHarness(2, 40)
		h.listWorkers()
		h.engine.AddJob(h.now, dispatch.Job{
			ID: "lasting", Queue: batchQueue, Accepted: startTime,
			Steps: []dispatch.Step{{Tasks: 2400, Resources: cores(1), LongRunning: true}},
		}, dispatch.Progress{}, true)
		h.engine.Recover(h.now, -time.Second)
		h.advanceStartedUp(10 * time.Second)
		running := 0
		for _, w := range h.workers {
			running += len(w.running)
		}
		Expect(running).To(Equal(40 * 6))
	})
})

// heapBytes returns the memory in use.
func heapBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// Guards against an owner that runs out of memory: each accepted task had a record at once.
var _ = Describe("The memory of accepted jobs", func() {
	const jobs = 100
	// limit is what these jobs may take on a machine of 64 MB.
	const limit = 4 << 20

	expectSmall := func(j dispatch.Job) {
		GinkgoHelper()
		h := newHarness(1, 4)
		h.listWorkers()
		before := heapBytes()
		for n := range jobs {
			j.ID = dispatch.JobID(fmt.Sprintf("%016x", n))
			h.engine.AddJob(h.now, j, dispatch.Progress{}, false)
			h.advance(10 * time.Millisecond)
		}
		h.decisions, h.starts = nil, nil
		used := heapBytes() - before
		runtime.KeepAlive(h)
		Expect(used).To(BeNumerically("<", limit))
	}

	It("doesn't grow with occurrences that aren't due", func() {
		j := repeatedJob(1000, time.Hour)
		j.FirstRun = startTime.Add(time.Hour)
		expectSmall(j)
	})
	It("doesn't grow with tasks that depend on others", func() {
		expectSmall(dispatch.Job{Queue: batchQueue, Accepted: startTime, Steps: []dispatch.Step{
			{Tasks: 1, Resources: cores(1), Estimate: time.Hour}, {Tasks: 2400, Resources: cores(1), Estimate: time.Second, After: []int{0}},
		}})
	})
	It("doesn't grow with long-running tasks that wait for room", func() {
		expectSmall(dispatch.Job{Queue: batchQueue, Accepted: startTime, Steps: []dispatch.Step{{Tasks: 2400, Resources: cores(1), LongRunning: true}}})
	})
})
