package dispatch_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/mechanism"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// stragglerHarness runs tasks as the executors of bogkreds-jt do: each task has a duration,
// which is multiplied by a factor on a slow worker.
type stragglerHarness struct {
	*harness
	durations   map[dispatch.TaskID]time.Duration
	slowFactors map[membership.InstanceID]float64
	workDone    map[dispatch.TaskRun]time.Duration
}

func newStragglerHarness(workers int) *stragglerHarness {
	return newStragglerHarnessWithout(0, workers)
}

// newStragglerHarnessWithout is like newStragglerHarness for an engine with some mechanisms disabled.
func newStragglerHarnessWithout(disabled mechanism.Set, workers int) *stragglerHarness {
	h := &stragglerHarness{
		harness: newHarnessWithout(disabled, 1, workers), durations: map[dispatch.TaskID]time.Duration{},
		slowFactors: map[membership.InstanceID]float64{}, workDone: map[dispatch.TaskRun]time.Duration{},
	}
	h.listWorkers()
	h.advance(0)
	return h
}

// runFor advances the time in small steps and the running tasks with it.
func (h *stragglerHarness) runFor(total time.Duration) {
	const tick = 50 * time.Millisecond
	for at := time.Duration(0); at < total; at += tick {
		h.advance(tick)
		for id, w := range h.workers {
			for task, run := range w.running {
				done := float64(tick)
				if factor := h.slowFactors[id]; factor > 0 {
					done /= factor
				}
				h.workDone[run.TaskRun] += time.Duration(done)
				run.Percent = min(int(100*h.workDone[run.TaskRun]/h.duration(task)), 99)
				if h.workDone[run.TaskRun] >= h.duration(task) {
					h.endRun(id, task, dispatch.EndDone)
				}
			}
		}
	}
}

func (h *stragglerHarness) duration(task dispatch.TaskID) time.Duration {
	if d, given := h.durations[task]; given {
		return d
	}
	return time.Second
}

// startsOf returns how often a task was started.
func (h *stragglerHarness) startsOf(task dispatch.TaskID) int {
	starts := 0
	for _, c := range h.starts {
		if c.Task == task {
			starts++
		}
	}
	return starts
}

var _ = Describe("Tasks that take longer than others of their step", func() {
	long := dispatch.TaskID{Job: "j", Index: 2}

	// Guards against a task that is restarted on one worker after the other although it takes
	// long on all of them. Such tasks were restarted up to ten times.
	It("doesn't restart a long task if other tasks of its worker are as fast as elsewhere", func() {
		h := newStragglerHarness(4)
		h.durations[long] = 5 * time.Second
		h.submit("other", batchStep(8))
		h.submit("j", batchStep(4))
		h.runFor(9 * time.Second)
		Expect(h.startsOf(long)).To(Equal(1))
		expectState(h.harness, "j", dispatch.Completed)
	})

	It("restarts a long task once if there are no other tasks to compare its worker by", func() {
		h := newStragglerHarness(4)
		h.durations[long] = 5 * time.Second
		s := batchStep(4)
		s.MaxPerWorker = 1
		h.submit("j", s)
		h.runFor(15 * time.Second)
		Expect(h.startsOf(long)).To(Equal(2))
		expectState(h.harness, "j", dispatch.Completed)
	})

	It("restarts the tasks of a slow worker and starts no new ones there", func() {
		h := newStragglerHarness(4)
		h.slowFactors["w0"] = 6
		for _, id := range []dispatch.JobID{"a", "b", "c"} {
			h.submit(id, batchStep(6))
		}
		h.runFor(3 * time.Second)
		for _, c := range h.stops {
			Expect(c.Worker).To(Equal(membership.InstanceID("w0")))
		}
		Expect(h.stops).NotTo(BeEmpty())
		before := len(h.starts)
		h.submit("later", batchStep(6))
		h.runFor(time.Second)
		for _, c := range h.starts[before:] {
			Expect(c.Worker).NotTo(Equal(membership.InstanceID("w0")))
		}
	})
})
