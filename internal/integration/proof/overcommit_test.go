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

// usageReportDelay is the time in which an owner knows what a task uses: the period
// and lag of usage samples and two syncs.
const usageReportDelay = 7 * time.Second

// startColocatedZone starts a zone whose workers have executors on them and two accelerators.
func startColocatedZone(entries int) *deployment {
	GinkgoHelper()
	d := startZoneProcesses(entries, 2, "--accelerators", "2")
	d.startExecutor("executor-1", zoneA, "worker-1")
	d.startExecutor("executor-2", zoneA, "worker-1")
	d.startExecutor("executor-3", zoneA, "worker-2")
	d.publishAndAwaitMembers(zoneA, entries)
	return d
}

// expectNoOvercommit checks that no worker ever had more than its capacity reserved
// by tasks and executors together, and that its journal isn't idle.
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

// expectObservedReserved checks that a start counts what each older task was seen
// to use, when that is more than it declared.
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

// submitUrgentBurst submits urgent jobs of short tasks through an instance, several at a
// time, and calls during when the first half is under way. Urgent tasks go before
// those that a successor finds on the workers.
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

// expectTotalStarts waits until the workers have started so many tasks together.
func (d *deployment) expectTotalStarts(count int) {
	GinkgoHelper()
	d.expectEvents(worker.EventStart, count, taskStartTimeout)
}

var _ = Describe("No worker is overcommitted", Label("no-overcommit"), func() {
	// Guards against a successor that doesn't count what the dead owner started.
	It("when the owner is killed during a burst of starts", func() {
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

	// Guards against starts of a thawed owner on top of those of its successor.
	It("when the owner is frozen past its authority and thawed", func() {
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

	// Guards against a successor that fills workers with new jobs before it knows what
	// runs on them.
	It("when the owner is killed during a burst of submissions", func() {
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

	// Guards against a new instance that takes a shard over before it knows which
	// executors share the workers.
	It("when each entry instance is replaced by a new one", func() {
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

	// Guards against placement by declared sizes when tasks use several times as much,
	// also right after a takeover.
	It("when tasks use far more than they declared and the owner is killed", func() {
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
