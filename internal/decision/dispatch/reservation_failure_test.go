package dispatch_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/mechanism"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// busyJob is the job that takes four of the six processors of a worker.
func busyJob(i int) dispatch.JobID {
	return dispatch.JobID("busy-" + string(workerID(i)))
}

// newQuietHarness returns a harness in which no run is restarted although none reports progress.
func newQuietHarness(workers int) *harness {
	return newHarnessWithout(mechanism.Of(mechanism.Stragglers), 1, workers)
}

// waitForReservation is how long a task waits until room is reserved for it, with the ticks around that.
const waitForReservation = 3200 * time.Millisecond

// allowWaiting gives the jobs of the queue a target that they can meet after a long wait.
func (h *harness) allowWaiting(priority int) {
	h.engine.SetQueues(map[dispatch.QueueName]dispatch.Queue{
		batchQueue: {Name: batchQueue, Service: "pool", Priority: priority, SlackFactor: 2, TargetLatency: time.Minute},
	})
}

// occupy runs a job on each worker that takes four of its six processors and is expected to end a time after
// the next reservation.
func (h *harness) occupy(remaining ...time.Duration) {
	GinkgoHelper()
	h.allowWaiting(0)
	h.listWorkers()
	h.advance(0)
	for i := range remaining {
		h.submit(busyJob(i), dispatch.Step{
			Tasks: 1, Resources: cores(4), Image: "busy", Estimate: waitForReservation + remaining[i],
		})
		h.advance(10 * time.Millisecond)
		Expect(h.workersOf(busyJob(i))).To(ConsistOf(workerID(i)))
	}
}

// await submits a job that finds no room, and lets small tasks overtake it until room is reserved.
func (h *harness) await(s dispatch.Step) {
	h.submit("large", s)
	h.advance(10 * time.Millisecond)
	h.pass(waitForReservation)
}

// pass lets small tasks start and end for a while.
func (h *harness) pass(total time.Duration) {
	for end := h.now.Add(total); h.now.Before(end); {
		passing := dispatch.JobID("passing at " + h.now.String())
		h.submit(passing, smallStep(100*time.Millisecond))
		h.advance(100 * time.Millisecond)
		for _, id := range h.engine.Workers() {
			if h.workers[id] != nil {
				h.endRun(id, dispatch.TaskID{Job: passing}, dispatch.EndDone)
			}
		}
	}
}

// reservedWorkers returns the workers on which room was reserved, in the order of the decisions.
func (h *harness) reservedWorkers() []membership.InstanceID {
	var workers []membership.InstanceID
	for _, d := range h.decisions {
		if d.Event == "ReservationMade" {
			workers = append(workers, d.Worker)
		}
	}
	return workers
}

// endBusy ends the job that occupies a worker.
func (h *harness) endBusy(i int) {
	h.endRun(workerID(i), dispatch.TaskID{Job: busyJob(i)}, dispatch.EndDone)
	h.advance(50 * time.Millisecond)
	h.advance(50 * time.Millisecond)
}

func smallStep(estimate time.Duration) dispatch.Step {
	return dispatch.Step{Tasks: 1, Resources: cores(1), Image: "small", Estimate: estimate}
}

func wholeWorkerStep(tasks int) dispatch.Step {
	return dispatch.Step{Tasks: tasks, Resources: cores(6), Image: "large", Estimate: time.Second}
}

var _ = Describe("Room that is reserved", func() {
	It("is on the worker that is expected to have room first, and the task starts there", func() {
		h := newQuietHarness(2)
		h.occupy(3*time.Second, 2*time.Second)
		h.await(wholeWorkerStep(1))
		Expect(h.reservedWorkers()).To(ConsistOf(workerID(1)))
		h.endBusy(1)
		Expect(h.workersOf("large")).To(ConsistOf(workerID(1)))
		Expect(h.counts["Reservation.Met"]).To(BeEquivalentTo(1))
	})

	It("admits a small task only if it is expected to end before the room is needed", func() {
		for _, disabled := range []mechanism.Set{0, mechanism.Of(mechanism.Backfill)} {
			h := newHarnessWithout(disabled|mechanism.Of(mechanism.Stragglers), 1, 1)
			h.occupy(3 * time.Second)
			h.await(wholeWorkerStep(1))
			backfilled := h.counts["Reservation.Backfilled"]
			h.submit("short", smallStep(500*time.Millisecond))
			h.submit("long", smallStep(3*time.Second))
			h.advance(50 * time.Millisecond)
			Expect(h.workersOf("long")).To(BeEmpty())
			Expect(h.workersOf("short")).To(HaveLen(map[bool]int{true: 1, false: 0}[disabled == 0]))
			Expect(h.counts["Reservation.Backfilled"] - backfilled).To(BeEquivalentTo(len(h.workersOf("short"))))
		}
	})

	It("counts a small task that takes longer than forecast", func() {
		h := newQuietHarness(1)
		h.occupy(3 * time.Second)
		h.await(wholeWorkerStep(1))
		h.submit("short", smallStep(500*time.Millisecond))
		h.runFor(1500 * time.Millisecond)
		h.endRun("w0", dispatch.TaskID{Job: "short"}, dispatch.EndDone)
		h.advance(50 * time.Millisecond)
		Expect(h.counts["Reservation.BackfillOverran"]).To(BeEquivalentTo(1))
	})

	It("isn't kept for a late job, which would delay jobs that can end in time", func() {
		h := newQuietHarness(1)
		h.occupy(2 * time.Second)
		h.engine.SetQueues(map[dispatch.QueueName]dispatch.Queue{
			batchQueue: {Name: batchQueue, Service: "pool", SlackFactor: 2},
		})
		h.await(wholeWorkerStep(1))
		Expect(h.reservedWorkers()).To(BeEmpty())
	})

	It("admits tasks of a more urgent queue", func() {
		h := newQuietHarness(1)
		h.engine.SetQueues(map[dispatch.QueueName]dispatch.Queue{"urgent": {Name: "urgent", Service: "pool"}})
		h.occupy(2 * time.Second)
		h.allowWaiting(1)
		h.await(wholeWorkerStep(1))
		Expect(h.reservedWorkers()).To(HaveLen(1))
		h.engine.AddJob(h.now, dispatch.Job{
			ID: "now", Queue: "urgent", Accepted: h.now, Steps: []dispatch.Step{smallStep(time.Minute)},
		}, dispatch.Progress{}, false)
		h.advance(50 * time.Millisecond)
		Expect(h.workersOf("now")).To(HaveLen(1))
	})

	DescribeTable("moves when its worker can't be used any more", func(lose func(*harness, *fakeWorker)) {
		h := newQuietHarness(2)
		h.occupy(3*time.Second, 2*time.Second)
		h.await(wholeWorkerStep(1))
		Expect(h.reservedWorkers()).To(ConsistOf(workerID(1)))
		lose(h, h.workers[workerID(1)])
		h.pass(400 * time.Millisecond)
		Expect(h.counts["Reservation.Missed"]).To(BeEquivalentTo(1))
		Expect(h.counts["Reservation.Moved"]).To(BeEquivalentTo(1))
		Expect(h.reservedWorkers()).To(Equal([]membership.InstanceID{workerID(1), workerID(0)}))
	},
		Entry("because it drains", func(h *harness, w *fakeWorker) {
			w.info.Draining = true
			h.listWorkers()
		}),
		Entry("because it falls silent", func(_ *harness, w *fakeWorker) { w.silent = true }),
		Entry("because its availability zone is taken out of service", func(h *harness, w *fakeWorker) {
			w.info.Zone = "out"
			h.listWorkers()
			h.engine.SetZonesOutOfService(map[membership.Zone]bool{"out": true})
		}),
	)

	It("moves when a run takes far longer than expected", func() {
		h := newQuietHarness(2)
		h.occupy(2*time.Second, time.Second)
		h.await(wholeWorkerStep(1))
		Expect(h.reservedWorkers()).To(ConsistOf(workerID(1)))
		h.pass(1500 * time.Millisecond)
		Expect(h.counts["Reservation.Missed"]).To(BeNumerically(">=", 1))
		Expect(h.reservedWorkers()).To(ContainElement(workerID(0)))
	})

	It("takes a worker that joins at once", func() {
		h := newQuietHarness(1)
		h.occupy(3 * time.Second)
		h.await(wholeWorkerStep(1))
		h.workers[workerID(1)] = newFakeWorker(workerID(1), 6)
		h.listWorkers()
		h.runFor(200 * time.Millisecond)
		Expect(h.workersOf("large")).To(ConsistOf(workerID(1)))
		h.advance(50 * time.Millisecond)
		Expect(h.counts["Reservation.Released"]).To(BeEquivalentTo(1))
	})

	DescribeTable("is released when its job is gone", func(leave func(*harness)) {
		h := newQuietHarness(1)
		h.occupy(3 * time.Second)
		h.await(wholeWorkerStep(1))
		h.submit("long", smallStep(time.Minute))
		h.advance(50 * time.Millisecond)
		Expect(h.workersOf("long")).To(BeEmpty())
		leave(h)
		h.advance(50 * time.Millisecond)
		Expect(h.workersOf("long")).To(HaveLen(1))
		Expect(h.counts["Reservation.Missed"]).To(BeZero())
	},
		Entry("because it is cancelled", func(h *harness) { h.engine.Cancel(h.now, "large") }),
		Entry("because it is given to another shard", func(h *harness) {
			Expect(h.engine.Withdraw(h.now, "large")).To(BeTrue())
		}),
	)

	It("is on workers that the step's constraints allow", func() {
		h := newQuietHarness(3)
		h.workers[workerID(2)].info.Labels = []dispatch.Label{"ssd"}
		h.occupy(time.Second, 2*time.Second, 3*time.Second)
		labelled := wholeWorkerStep(1)
		labelled.Requires = "ssd"
		h.await(labelled)
		Expect(h.reservedWorkers()).To(ConsistOf(workerID(2)))
	})

	It("is on workers for which the placement policy has given a ticket", func() {
		const advised = dispatch.QueueName("advised")
		h := newQuietHarness(2)
		h.engine.SetQueues(map[dispatch.QueueName]dispatch.Queue{
			advised: {Name: advised, Service: "pool", SlackFactor: 2, TargetLatency: time.Minute, NeedsAdvice: true},
		})
		h.occupy(time.Second, 2*time.Second)
		h.engine.AddJob(h.now, dispatch.Job{
			ID: "large", Queue: advised, Accepted: h.now, Steps: []dispatch.Step{wholeWorkerStep(1)},
		}, dispatch.Progress{}, false)
		h.advance(10 * time.Millisecond)
		h.engine.AdviceReceived(h.now, dispatch.AdviceRequest{Step: dispatch.StepID{Job: "large"}},
			[]dispatch.Grant{{Worker: workerID(1), Ticket: "t"}}, time.Minute)
		h.pass(waitForReservation)
		Expect(h.reservedWorkers()).To(ConsistOf(workerID(1)))
	})

	It("isn't on a worker that has as many of the step's tasks as it may have", func() {
		h := newQuietHarness(2)
		h.workers[workerID(0)].info.Capacity = cores(10)
		h.occupy(time.Second, 2*time.Second)
		apart := wholeWorkerStep(2)
		apart.MaxPerWorker = 1
		h.await(apart)
		Expect(h.workersOf("large")).To(ConsistOf(workerID(0)))
		Expect(h.reservedWorkers()).To(ConsistOf(workerID(1)))
	})

	It("is in the rack where a gang has room for all members first", func() {
		h := newQuietHarness(4)
		for i := range 4 {
			h.workers[workerID(i)].info.Labels = []dispatch.Label{rackLabel(i / 2)}
		}
		h.occupy(3*time.Second, time.Second, 1500*time.Millisecond, 1200*time.Millisecond)
		gang := wholeWorkerStep(2)
		gang.Gang, gang.OneRack = true, true
		h.await(gang)
		Expect(h.reservedWorkers()).To(ConsistOf(workerID(2), workerID(3)))
		h.endBusy(2)
		Expect(h.workersOf("large")).To(BeEmpty())
		h.endBusy(3)
		Expect(h.workersOf("large")).To(ConsistOf(workerID(2), workerID(3)))
		Expect(h.counts["Reservation.Met"]).To(BeEquivalentTo(2))
	})

	It("is given up for all members of a gang when one of their workers is lost", func() {
		h := newQuietHarness(2)
		h.occupy(time.Second, time.Second)
		gang := wholeWorkerStep(2)
		gang.Gang = true
		h.await(gang)
		Expect(h.reservedWorkers()).To(HaveLen(2))
		h.workers[workerID(1)].silent = true
		h.submit("long", smallStep(time.Minute))
		h.advance(50 * time.Millisecond)
		Expect(h.workersOf("long")).To(ConsistOf(workerID(0)))
	})

	// A new owner has no run times, and doesn't know the active runs yet.
	It("is reserved again by a new owner once it knows the active runs", func() {
		h := newHarnessWithout(mechanism.Of(mechanism.Stragglers), 2, 2)
		h.allowWaiting(0)
		for i := range 2 {
			id := dispatch.TaskID{Job: busyJob(i)}
			h.workers[workerID(i)].running[id] = &dispatch.RunningTask{TaskRun: dispatch.TaskRun{Task: id, Run: 1}}
			h.engine.AddJob(h.now, dispatch.Job{ID: busyJob(i), Queue: batchQueue, Accepted: h.now, Steps: []dispatch.Step{
				{Tasks: 1, Resources: cores(4), Image: "busy", Estimate: waitForReservation + 2*time.Second},
			}}, dispatch.Progress{}, true)
		}
		h.engine.Recover(h.now, 0)
		h.listWorkers()
		h.submit("large", wholeWorkerStep(1))
		Expect(h.reservedWorkers()).To(BeEmpty())
		for range 10 {
			h.advance(100 * time.Millisecond)
		}
		h.await(wholeWorkerStep(1))
		Expect(h.reservedWorkers()).To(HaveLen(1))
		h.endBusy(0)
		h.endBusy(1)
		Expect(h.workersOf("large")).To(HaveLen(1))
	})
})
