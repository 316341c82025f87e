package dispatch_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// Guards against long-running tasks that stay down in a full shard while another shard has room: the
// platform counts the room of all shards.
var _ = Describe("Tasks that are transferred to another shard", func() {
	const (
		target    = dispatch.Shard(1)
		firstTask = 0
	)
	task := func(index int) dispatch.TaskID { return dispatch.TaskID{Job: "watch", Index: index} }
	indices := func(transfers []dispatch.Transfer) []int {
		var list []int
		for _, transfer := range transfers {
			Expect(transfer.To).To(Equal(target))
			for _, t := range transfer.Job.Transferred {
				list = append(list, t.Index)
			}
		}
		return list
	}
	// overfull returns a harness in which the first of the two tasks of "watch" has no room: its worker
	// was lost, and the other one is full.
	overfull := func() *harness {
		h := newHarness(1, 2)
		h.listWorkers()
		h.advance(0)
		h.submit("watch", longRunningStep(2, 4))
		h.advanceStartedUp(time.Second)
		Expect(h.workersOf("watch")).To(HaveLen(2))
		for id, w := range h.workers {
			if _, first := w.running[task(firstTask)]; first {
				delete(h.workers, id)
			}
		}
		h.listWorkers()
		h.advanceStartedUp(10 * time.Second)
		Expect(h.workersOf("watch")).To(HaveLen(1))
		return h
	}
	// transferred returns that harness with the first task transferred and the transfer stored.
	transferred := func() (*harness, []dispatch.Transfer) {
		h := overfull()
		h.engine.TransferTask(h.now, task(firstTask), target)
		h.advanceStartedUp(200 * time.Millisecond)
		return h, h.engine.TakeTransfers()
	}
	// receive adds transferred tasks to the engine of another shard.
	receive := func(h *harness, epoch dispatch.Epoch, transfers []dispatch.Transfer) *harness {
		other := newHarness(epoch, 2)
		other.now = h.now
		other.listWorkers()
		other.advance(0)
		for _, transfer := range transfers {
			other.engine.AddJob(other.now, transfer.Job, dispatch.Progress{}, false)
		}
		return other
	}

	It("are those that have been down for long without room", func() {
		h := overfull()
		Expect(h.engine.TransferCandidates(h.now, 8)).To(Equal([]dispatch.TransferCandidate{{Task: task(firstTask), Service: "pool", Resources: cores(4)}}))
	})

	It("don't start again in their own shard, and are handed out only once they are stored", func() {
		h := overfull()
		h.engine.TransferTask(h.now, task(firstTask), target)
		Expect(h.engine.TakeTransfers()).To(BeEmpty())
		starts := len(h.starts)
		h.workers["late"] = newFakeWorker("late", 6)
		h.listWorkers()
		h.advanceStartedUp(2 * time.Second)
		Expect(h.starts).To(HaveLen(starts))
		Expect(indices(h.engine.TakeTransfers())).To(Equal([]int{firstTask}))
		Expect(h.engine.Load(h.now).LongRunning).To(BeEquivalentTo(4000))
	})

	It("run in the other shard, without the rest of their job and with higher run numbers", func() {
		h, transfers := transferred()
		last := h.starts[0].Run
		other := receive(h, 1, transfers)
		other.advanceStartedUp(time.Second)
		Expect(other.workersOf("watch")).To(HaveLen(1))
		Expect(other.starts).To(HaveLen(1))
		Expect(other.starts[0].Task).To(Equal(task(firstTask)))
		Expect(other.starts[0].Run).To(BeNumerically(">", last))
		Expect(other.engine.TransferCandidates(other.now, 8)).To(BeEmpty())
	})

	It("are joined by further tasks of their job", func() {
		h, transfers := transferred()
		other := receive(h, 1, transfers)
		other.advanceStartedUp(time.Second)
		more := transfers[0].Job
		more.Transferred = append(more.Transferred, dispatch.TransferredTask{Index: 1, Run: 7, Down: 5 * time.Second})
		Expect(other.engine.HasTasks(&more)).To(BeFalse())
		other.engine.AddJob(other.now, more, dispatch.Progress{}, false)
		Expect(other.engine.HasTasks(&more)).To(BeTrue())
		other.advanceStartedUp(time.Second)
		Expect(other.workersOf("watch")).To(HaveLen(2))
		Expect(other.starts).To(HaveLen(2))
	})

	It("stay with the other shard under the next owner, which hands them out again", func() {
		h := overfull()
		h.engine.TransferTask(h.now, task(firstTask), target)
		batch := h.engine.TakeBatch(10)
		next := newHarness(2, 2)
		next.now = h.now
		next.listWorkers()
		next.engine.AddJob(next.now, dispatch.Job{
			ID: "watch", Queue: batchQueue, Accepted: next.now, Steps: []dispatch.Step{longRunningStep(2, 4)},
		}, batch.Updates[0].Progress, true)
		next.engine.Recover(next.now, 0)
		next.advanceStartedUp(10 * time.Second)
		Expect(indices(next.engine.TakeTransfers())).To(Equal([]int{firstTask}))
		for _, start := range next.starts {
			Expect(start.Task).NotTo(Equal(task(firstTask)))
		}
		Expect(next.workersOf("watch")).To(HaveLen(1))
	})

	It("get run numbers from the next owner of the other shard that no earlier one used", func() {
		h, transfers := transferred()
		transfers[0].Job.Transferred[0].Run = 4003
		first := receive(h, 1, transfers)
		first.advanceStartedUp(time.Second)
		second := receive(h, 2, transfers)
		second.advanceStartedUp(time.Second)
		Expect(first.starts[0].Run).To(Equal(dispatch.Run(4004)))
		Expect(second.starts[0].Run).To(Equal(dispatch.Run(5004)))
	})

	It("aren't adopted where they ran before", func() {
		h, _ := transferred()
		w := newFakeWorker("back", 6)
		w.running[task(firstTask)] = &dispatch.RunningTask{TaskRun: dispatch.TaskRun{Task: task(firstTask), Run: 1}}
		h.workers["back"] = w
		h.listWorkers()
		h.advanceStartedUp(2 * time.Second)
		Expect(h.workersOf("watch")).NotTo(ContainElement(membership.InstanceID("back")))
	})

	// Guards against tasks that run on after their job was cancelled: the outcome of the job removes
	// what is stored of the transfer.
	It("are cancelled before the outcome of their job is stored", func() {
		h, _ := transferred()
		h.engine.Cancel(h.now, "watch")
		Expect(h.engine.TransferTargets("watch")).To(Equal([]dispatch.Shard{target}))
		h.advanceStartedUp(time.Second)
		Expect(h.engine.TakeBatch(10).Updates).To(BeEmpty())
		expectState(h, "watch", dispatch.Cancelled)
		h.engine.EndTransfer("watch", target)
		Expect(h.engine.TakeBatch(10).Updates).To(ConsistOf(dispatch.Update{ID: "watch", Outcome: dispatch.Cancelled}))
	})

	It("aren't handed out if their job is cancelled before they are stored", func() {
		h := overfull()
		h.engine.TransferTask(h.now, task(firstTask), target)
		h.engine.Cancel(h.now, "watch")
		h.advanceStartedUp(time.Second)
		Expect(h.engine.TakeTransfers()).To(BeEmpty())
		Expect(h.engine.TransferTargets("watch")).To(BeEmpty())
		expectState(h, "watch", dispatch.Cancelled)
	})

	// recovered returns a harness at an epoch, with some workers, that took over with no task of "watch"
	// at work.
	recovered := func(epoch dispatch.Epoch, workers int) *harness {
		h := newHarness(epoch, workers)
		h.listWorkers()
		h.engine.AddJob(h.now, dispatch.Job{
			ID: "watch", Queue: batchQueue, Accepted: h.now, Steps: []dispatch.Step{longRunningStep(2, 4)},
		}, dispatch.Progress{}, true)
		h.engine.Recover(h.now, 0)
		h.advanceStartedUp(20 * time.Second)
		return h
	}
	// transferFirst transfers the task that has been down the longest.
	transferFirst := func(h *harness) []dispatch.Transfer {
		candidates := h.engine.TransferCandidates(h.now, 1)
		Expect(candidates).To(HaveLen(1))
		h.engine.TransferTask(h.now, candidates[0].Task, target)
		h.advanceStartedUp(200 * time.Millisecond)
		return h.engine.TakeTransfers()
	}

	// Guards against a run number that was used before: a new owner doesn't know those of earlier epochs.
	It("get run numbers that no owner of an earlier epoch used, also if they were down at the takeover", func() {
		other := receive(newHarness(1, 0), 1, transferFirst(recovered(3, 1)))
		other.advanceStartedUp(time.Second)
		Expect(other.starts).To(HaveLen(1))
		Expect(other.starts[0].Run).To(BeNumerically(">", 2000))
	})

	// Guards against a job that is moved whole after single tasks of it were transferred: the other shard
	// would take it for known, and the rest of its tasks would be forgotten.
	It("keep their job in its shard, also if it has no other run", func() {
		h := recovered(2, 0)
		transferFirst(h)
		Expect(h.engine.Unstarted(h.now, time.Second, 4)).To(BeEmpty())
		Expect(h.engine.Withdraw(h.now, "watch")).To(BeFalse())
	})
})
