package dispatch_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

var _ = Describe("Steps after a takeover beside a silent worker", func() {
	const silent = membership.InstanceID("w1")
	// takeOver makes a second owner recover a job with the given steps. The first task of each
	// step in running runs on a worker that reports. Another worker is silent.
	takeOver := func(running []int, steps ...dispatch.Step) *bench {
		b := newBench(2, 3)
		b.workers[silent].silent = true
		for _, step := range running {
			id := dispatch.TaskID{Job: "j", Step: step}
			b.workers["w0"].running[id] = &dispatch.RunningTask{TaskRun: dispatch.TaskRun{Task: id, Run: 1}}
		}
		b.engine.AddJob(b.now, dispatch.Job{ID: "j", Queue: batchQueue, Accepted: b.now, Steps: steps}, dispatch.Progress{}, true)
		b.engine.Recover(b.now, 0)
		b.list()
		b.step(100 * time.Millisecond)
		return b
	}
	after := func(step dispatch.Step, before ...int) dispatch.Step {
		step.After = before
		return step
	}

	// Guards against jobs that make no progress until the leases of silent workers have expired,
	// although their next steps can't have been started (bogkreds-jt, run trouble-3: 5 s).
	It("start if a task that they depend on was still running", func() {
		b := takeOver([]int{0}, tasks(1), after(tasks(2), 0), after(tasks(1), 1))
		b.end("w0", dispatch.TaskID{Job: "j"}, dispatch.EndDone)
		b.step(100 * time.Millisecond)
		b.step(100 * time.Millisecond)
		Expect(b.starts).To(HaveLen(2))
		for i := range 2 {
			Expect(b.starts[i].Worker).NotTo(Equal(silent))
			b.end(b.starts[i].Worker, b.starts[i].Task, dispatch.EndDone)
		}
		b.step(100 * time.Millisecond)
		b.step(100 * time.Millisecond)
		expectState(b, "j", dispatch.Running)
		Expect(b.starts).To(HaveLen(3))
	})

	// Guards against a takeover that never finishes: the number of paths through the steps
	// doubles with each step.
	It("start in a job of many steps each of which depends on all earlier ones", func() {
		steps := []dispatch.Step{tasks(1)}
		for i := 1; i < 60; i++ {
			step := tasks(1)
			for before := range i {
				step.After = append(step.After, before)
			}
			steps = append(steps, step)
		}
		b := takeOver([]int{0}, steps...)
		b.end("w0", dispatch.TaskID{Job: "j"}, dispatch.EndDone)
		b.step(100 * time.Millisecond)
		b.step(100 * time.Millisecond)
		Expect(b.starts).To(HaveLen(1))
	})

	It("wait if the earlier owner may have started them", func() {
		for _, b := range []*bench{
			// No run of the job is reported.
			takeOver(nil, tasks(2), after(tasks(1), 0)),
			// Other tasks of the same step may run on the silent worker.
			takeOver([]int{0}, tasks(2), after(tasks(1), 0)),
			// The step depends on one that isn't reported as running.
			takeOver([]int{0}, tasks(1), tasks(1), after(tasks(1), 1)),
		} {
			b.end("w0", dispatch.TaskID{Job: "j"}, dispatch.EndDone)
			for range 20 {
				b.step(100 * time.Millisecond)
			}
			Expect(b.starts).To(BeEmpty())
		}
	})

	It("wait for a gang, because another worker may have reported its end to the earlier owner", func() {
		gang := tasks(2)
		gang.Gang = true
		b := takeOver([]int{0}, gang, after(tasks(1), 0))
		b.end("w0", dispatch.TaskID{Job: "j"}, dispatch.EndDone)
		for range 20 {
			b.step(100 * time.Millisecond)
		}
		Expect(b.starts).To(BeEmpty())
	})
})
