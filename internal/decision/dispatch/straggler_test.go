package dispatch_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
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
	r := &stragglerHarness{
		harness: newHarness(1, workers), durations: map[dispatch.TaskID]time.Duration{},
		slowFactors: map[membership.InstanceID]float64{}, workDone: map[dispatch.TaskRun]time.Duration{},
	}
	r.listWorkers()
	r.advance(0)
	return r
}

// runFor advances the time in small steps and the running tasks with it.
func (r *stragglerHarness) runFor(total time.Duration) {
	const tick = 50 * time.Millisecond
	for at := time.Duration(0); at < total; at += tick {
		r.advance(tick)
		for id, w := range r.workers {
			for task, run := range w.running {
				done := float64(tick)
				if factor := r.slowFactors[id]; factor > 0 {
					done /= factor
				}
				r.workDone[run.TaskRun] += time.Duration(done)
				run.Percent = min(int(100*r.workDone[run.TaskRun]/r.duration(task)), 99)
				if r.workDone[run.TaskRun] >= r.duration(task) {
					r.endRun(id, task, dispatch.EndDone)
				}
			}
		}
	}
}

func (r *stragglerHarness) duration(task dispatch.TaskID) time.Duration {
	if d, given := r.durations[task]; given {
		return d
	}
	return time.Second
}

// startsOf returns how often a task was started.
func (r *stragglerHarness) startsOf(task dispatch.TaskID) int {
	starts := 0
	for _, c := range r.starts {
		if c.Task == task {
			starts++
		}
	}
	return starts
}

var _ = Describe("Tasks that take longer than others of their step", func() {
	long := dispatch.TaskID{Job: "j", Index: 2}

	// Guards against a task that is restarted on one worker after the other although it takes
	// long on all of them (bogkreds-jt: up to ten times in run quiet-1, four times in scale-1).
	It("doesn't restart a long task if other tasks of its worker are as fast as elsewhere", func() {
		r := newStragglerHarness(4)
		r.durations[long] = 5 * time.Second
		r.submit("other", batchStep(8))
		r.submit("j", batchStep(4))
		r.runFor(9 * time.Second)
		Expect(r.startsOf(long)).To(Equal(1))
		expectState(r.harness, "j", dispatch.Completed)
	})

	It("restarts a long task once if there are no other tasks to compare its worker by", func() {
		r := newStragglerHarness(4)
		r.durations[long] = 5 * time.Second
		s := batchStep(4)
		s.MaxPerWorker = 1
		r.submit("j", s)
		r.runFor(15 * time.Second)
		Expect(r.startsOf(long)).To(Equal(2))
		expectState(r.harness, "j", dispatch.Completed)
	})

	It("restarts the tasks of a slow worker and starts no new ones there", func() {
		r := newStragglerHarness(4)
		r.slowFactors["w0"] = 6
		for _, id := range []dispatch.JobID{"a", "b", "c"} {
			r.submit(id, batchStep(6))
		}
		r.runFor(3 * time.Second)
		for _, c := range r.stops {
			Expect(c.Worker).To(Equal(membership.InstanceID("w0")))
		}
		Expect(r.stops).NotTo(BeEmpty())
		before := len(r.starts)
		r.submit("later", batchStep(6))
		r.runFor(time.Second)
		for _, c := range r.starts[before:] {
			Expect(c.Worker).NotTo(Equal(membership.InstanceID("w0")))
		}
	})
})
