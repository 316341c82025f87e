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
type replay struct {
	*bench
	durations map[dispatch.TaskID]time.Duration
	slow      map[membership.InstanceID]float64
	work      map[dispatch.TaskRun]time.Duration
}

func newReplay(workers int) *replay {
	r := &replay{
		bench: newBench(1, workers), durations: map[dispatch.TaskID]time.Duration{},
		slow: map[membership.InstanceID]float64{}, work: map[dispatch.TaskRun]time.Duration{},
	}
	r.list()
	r.step(0)
	return r
}

// runFor advances the time in small steps and the running tasks with it.
func (r *replay) run(total time.Duration) {
	const tick = 50 * time.Millisecond
	for at := time.Duration(0); at < total; at += tick {
		r.step(tick)
		for id, w := range r.workers {
			for task, run := range w.running {
				done := float64(tick)
				if factor := r.slow[id]; factor > 0 {
					done /= factor
				}
				r.work[run.TaskRun] += time.Duration(done)
				run.Percent = min(int(100*r.work[run.TaskRun]/r.duration(task)), 99)
				if r.work[run.TaskRun] >= r.duration(task) {
					r.end(id, task, dispatch.EndDone)
				}
			}
		}
	}
}

func (r *replay) duration(task dispatch.TaskID) time.Duration {
	if d, given := r.durations[task]; given {
		return d
	}
	return time.Second
}

// startsOf returns how often a task was started.
func (r *replay) startsOf(task dispatch.TaskID) int {
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
	It("aren't restarted if other tasks of the worker are as fast as elsewhere", func() {
		r := newReplay(4)
		r.durations[long] = 5 * time.Second
		r.submit("other", tasks(8))
		r.submit("j", tasks(4))
		r.run(9 * time.Second)
		Expect(r.startsOf(long)).To(Equal(1))
		expectState(r.bench, "j", dispatch.Completed)
	})

	It("are restarted once if there are no other tasks to compare the worker by", func() {
		r := newReplay(4)
		r.durations[long] = 5 * time.Second
		s := tasks(4)
		s.MaxPerWorker = 1
		r.submit("j", s)
		r.run(15 * time.Second)
		Expect(r.startsOf(long)).To(Equal(2))
		expectState(r.bench, "j", dispatch.Completed)
	})

	It("are restarted if other tasks of the worker are slow too, and the worker gets no new tasks", func() {
		r := newReplay(4)
		r.slow["w0"] = 6
		for _, id := range []dispatch.JobID{"a", "b", "c"} {
			r.submit(id, tasks(6))
		}
		r.run(3 * time.Second)
		for _, c := range r.stops {
			Expect(c.Worker).To(Equal(membership.InstanceID("w0")))
		}
		Expect(r.stops).NotTo(BeEmpty())
		before := len(r.starts)
		r.submit("later", tasks(6))
		r.run(time.Second)
		for _, c := range r.starts[before:] {
			Expect(c.Worker).NotTo(Equal(membership.InstanceID("w0")))
		}
	})
})
