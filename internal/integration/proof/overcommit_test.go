package proof

import (
	"strconv"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
	protocol "github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
	"github.com/jacinthtrail/jacinthtrail/internal/caller/job"
	"github.com/jacinthtrail/jacinthtrail/internal/standin/worker"
)

// usageReportDelay is the time within which an owner learns the resource usage of a task: the
// period and the lag of usage samples and two syncs.
const usageReportDelay = 7 * time.Second

// startColocatedZone starts a zone whose workers have two accelerators each and host executors.
func startColocatedZone(entries int) *deployment {
	GinkgoHelper()
	d := startZoneProcesses(entries, 2, "--accelerators", "2")
	d.startExecutor("executor-1", zoneA, "worker-1")
	d.startExecutor("executor-2", zoneA, "worker-1")
	d.startExecutor("executor-3", zoneA, "worker-2")
	d.publishAndAwaitMembers(zoneA, entries)
	return d
}

// expectNoOvercommit checks that tasks and executors together never reserved more than the
// capacity of a worker, and that each worker started tasks.
func (d *deployment) expectNoOvercommit() {
	GinkgoHelper()
	for id, w := range d.workers {
		events := w.events()
		Expect(countEvents(events, worker.EventStart)).To(BeNumerically(">", 0), "%s ran nothing", id)
		for _, e := range events {
			reserved := e.InUse.Add(d.reservedByExecutors(id))
			Expect(reserved.FitsIn(e.Capacity)).To(BeTrue(), "%s has %+v reserved of %+v: %+v", id, reserved, e.Capacity, e)
		}
	}
}

// expectObservedReserved checks that a task starts only if it fits beside the older tasks, each
// counted with its observed usage where that exceeds its declared size.
func (w *workerProcess) expectObservedReserved(observed, executors resource.Vector) {
	GinkgoHelper()
	started := map[protocol.TaskAttempt]worker.Event{}
	for _, e := range w.events() {
		switch e.Kind {
		case worker.EventStop, worker.EventFinish:
			delete(started, e.TaskAttempt)
		case worker.EventStart:
			started[e.TaskAttempt] = e
			reserved := executors
			for _, other := range started {
				size := other.Resources
				if e.Time.Sub(other.Time) > usageReportDelay {
					size = size.Max(observed)
				}
				reserved = reserved.Add(size)
			}
			Expect(reserved.FitsIn(e.Capacity)).To(BeTrue(), "%s uses %+v after %+v", w.id, reserved, e)
		}
	}
}

// submitUrgentBurst submits urgent jobs of short tasks concurrently and calls during when half
// of them are submitted. Urgent tasks are placed before the tasks that a successor finds on the
// workers.
func (e *entryProcess) submitUrgentBurst(jobs, tasks int, during func()) {
	var group sync.WaitGroup
	defer group.Wait()
	for n := range jobs {
		if n == jobs/2 {
			during()
		}
		group.Go(func() {
			defer GinkgoRecover()
			e.submitSpecWithRetry("burst-"+strconv.Itoa(n), job.Spec{Class: "build", Priority: job.Urgent, Tasks: tasks}, shortTask)
		})
	}
}

// expectTotalStarts waits until all workers together have started at least count tasks.
func (d *deployment) expectTotalStarts(count int) {
	GinkgoHelper()
	d.expectEvents(worker.EventStart, count, taskStartTimeout)
}

var _ = Describe("Worker capacity", Label("no-overcommit"), func() {
	// Guards against a successor that doesn't count the tasks that the dead owner started.
	It("a worker's capacity is never exceeded when the owner is killed during a burst of task starts", func() {
		d := startColocatedZone(2)
		d.entry("entry-1").submitWithRetry("long", 3, longTask)
		d.entry("entry-1").submitClassWithRetry("train", "devices", 16, shortTask)
		d.entry("entry-1").submitWithRetry("short", 24, shortTask)
		d.expectTotalStarts(4)
		owner := d.expectOwner(zoneA, time.Second)
		other := d.otherEntry(owner)
		d.killEntry(owner)
		other.expectSucceeded("devices", 16, jobFinishTimeout)
		other.expectSucceeded("short", 24, jobFinishTimeout)
		d.expectNoOvercommit()
	})

	// Guards against tasks that a thawed owner starts in addition to those of its successor.
	It("a worker's capacity is never exceeded when the owner is frozen until its authority expires and thawed", func() {
		d := startColocatedZone(2)
		d.entry("entry-1").submitWithRetry("long", 3, longTask)
		d.entry("entry-1").submitWithRetry("short", 40, shortTask)
		d.expectTotalStarts(4)
		owner := d.expectOwner(zoneA, time.Second)
		other := d.otherEntry(owner)
		owner.freeze()
		other.expectOwnsShard(takeoverTimeout)
		owner.thaw()
		other.expectSucceeded("short", 40, jobFinishTimeout)
		d.expectNoOvercommit()
	})

	// Guards against a successor that places new tasks on workers before it knows the tasks that
	// run there.
	It("a worker's capacity is never exceeded when the owner is killed during a burst of submissions", func() {
		d := startColocatedZone(2)
		owner := d.expectOwner(zoneA, time.Second)
		other := d.otherEntry(owner)
		owner.submitWithRetry("long", 4, longTask)
		d.expectTotalStarts(4)
		other.submitUrgentBurst(20, 2, func() { d.killEntry(owner) })
		for n := range 20 {
			other.expectSucceeded("burst-"+strconv.Itoa(n), 2, jobFinishTimeout)
		}
		d.expectNoOvercommit()
	})

	// Guards against a new instance that takes over a shard before it knows which executors run
	// on the workers.
	It("a worker's capacity is never exceeded when each entry instance is replaced by a new one", func() {
		d := startColocatedZone(2)
		d.entry("entry-1").submitWithRetry("long", 3, longTask)
		d.entry("entry-1").submitWithRetry("short", 40, shortTask)
		d.expectTotalStarts(4)
		first := d.expectOwner(zoneA, time.Second)
		second := d.otherEntry(first)
		first.terminate()
		delete(d.entries, string(first.ID))
		third := d.startEntry("entry-3", zoneA)
		third.expectReady()
		d.expectMember(zoneA, "entry-3")
		d.killEntry(second)
		third.expectOwnsShard(takeoverTimeout)
		third.submitWithRetry("later", 12, shortTask)
		third.expectSucceeded("short", 40, jobFinishTimeout)
		third.expectSucceeded("later", 12, jobFinishTimeout)
		d.expectNoOvercommit()
	})

	// Guards against placement by declared sizes when tasks use several times as much, also
	// right after a takeover.
	It("a worker's capacity is never exceeded when tasks use far more than they declared and the owner is killed", func() {
		observed := resource.Vector{Processors: 1500, Memory: 2.5e9}
		d := startColocatedZone(2)
		owner := d.expectOwner(zoneA, time.Second)
		other := d.otherEntry(owner)
		owner.submitWithRetry("big", 4, worker.Payload{
			Work: 20 * time.Second, Observed: observed, CheckpointEvery: time.Second, Result: "built",
		})
		d.expectTotalStarts(4)
		began := time.Now()
		Eventually(func() time.Duration { return time.Since(began) }).WithTimeout(2 * usageReportDelay).
			Should(BeNumerically(">", usageReportDelay))
		other.submitWithRetry("short", 6, shortTask)
		d.killEntry(owner)
		other.expectSucceeded("short", 6, 2*jobFinishTimeout)
		other.expectSucceeded("big", 4, 2*jobFinishTimeout)
		d.expectNoOvercommit()
		for id, w := range d.workers {
			w.expectObservedReserved(observed, d.reservedByExecutors(id))
		}
	})
})
