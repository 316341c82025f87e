package dispatch_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

var _ = Describe("The record of a released shard", func() {
	// recordedOn returns the workers on which the record has a run of the task.
	recordedOn := func(record dispatch.RecoveryRecord, task dispatch.TaskID) []membership.InstanceID {
		var on []membership.InstanceID
		for _, w := range record.Workers {
			for _, run := range w.Runs {
				if run.Task == task {
					on = append(on, w.ID)
				}
			}
		}
		return on
	}

	// Guards against a task that starts beyond its last attempt, or repeats saved work: the owner has seen the
	// end, has not stored it, and releases the shard, and the worker is gone.
	DescribeTable("has a run whose end isn't stored", func(kind dispatch.EndKind, saved dispatch.Checkpoint) {
		h := newHarness(1, 1)
		h.listWorkers()
		h.advance(0)
		h.submit("j", batchStep(1))
		h.advance(100 * time.Millisecond)
		task := dispatch.TaskID{Job: "j"}
		w := h.workers["w0"]
		Expect(w.running).To(HaveKey(task))
		w.info.Draining = true
		h.listWorkers()
		h.endRun("w0", task, kind)
		w.ended[len(w.ended)-1].Checkpoint = saved
		h.pollWorkers()
		record, complete := h.engine.Release(h.now)
		Expect(complete).To(BeTrue())
		Expect(recordedOn(record, task)).To(ConsistOf(membership.InstanceID("w0")))
	},
		Entry("of a success", dispatch.EndDone, dispatch.Checkpoint("")),
		Entry("of a failed attempt", dispatch.EndFailed, dispatch.Checkpoint("")),
		Entry("of a stop that saved work", dispatch.EndStopped, dispatch.Checkpoint("saved")),
	)

	It("lacks a run that was stopped without saved work", func() {
		h := newHarness(1, 1)
		h.listWorkers()
		h.advance(0)
		h.submit("j", batchStep(1))
		h.advance(100 * time.Millisecond)
		h.endRun("w0", dispatch.TaskID{Job: "j"}, dispatch.EndStopped)
		h.pollWorkers()
		record, _ := h.engine.Release(h.now)
		Expect(record.Workers).To(BeEmpty())
	})

	// Guards against work that is done again: an owner that was paused doesn't know whether the runs of a worker
	// have ended as done, and its successor must ask the worker first.
	It("lets the next owner wait for a worker that this one couldn't ask since a pause", func() {
		h := newHarness(1, 1)
		h.listWorkers()
		h.advance(0)
		h.submit("j", batchStep(1))
		h.advance(100 * time.Millisecond)
		h.advance(100 * time.Millisecond)
		h.now = h.now.Add(12 * time.Second)
		record, complete := h.engine.Release(h.now)
		Expect(complete).To(BeTrue())
		Expect(record.Workers).To(HaveLen(1))
		Expect(record.Workers[0].ExpireIn).To(BeNumerically(">=", leaseTerm))
	})
})

// Guards against a task that runs again although a copy of it is active: if the step allows copies, the end
// of one run doesn't show that the task has no other.
var _ = Describe("A recovered task of a step that allows copies", func() {
	It("waits for the workers that haven't listed their runs although a run of it has been seen to end", func() {
		h := newHarness(2, 3)
		h.workers["w2"].silent = true
		task := dispatch.TaskID{Job: "j"}
		h.workers["w0"].running[task] = &dispatch.RunningTask{TaskRun: dispatch.TaskRun{Task: task, Run: 1}}
		s := batchStep(1)
		s.Speculative = true
		h.engine.AddJob(h.now, jobOf("j", h.now, s), dispatch.Progress{}, true)
		h.engine.Recover(h.now, 0)
		h.listWorkers()
		for range 5 {
			h.advance(100 * time.Millisecond)
		}
		h.endRun("w0", task, dispatch.EndStopped)
		for range 5 {
			h.advance(100 * time.Millisecond)
		}
		Expect(h.starts).To(BeEmpty())
	})
})
