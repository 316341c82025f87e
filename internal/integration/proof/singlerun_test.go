package proof

import (
	"math"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/standin/platform"
	"github.com/jacinthtrail/jacinthtrail/internal/standin/proxy"
	"github.com/jacinthtrail/jacinthtrail/internal/standin/worker"
)

// longTask runs longer than a lease, so that a task of an unreachable worker ends on another
// worker.
var longTask = worker.Payload{Work: 14 * time.Second, CheckpointEvery: time.Second, Result: "built"}

// shortTask is short, so that starts and results are in flight at any moment.
var shortTask = worker.Payload{Work: 300 * time.Millisecond, Result: "built"}

// busiestWorker returns the worker that started the most tasks. While it is disconnected, the
// other workers have room for some of its tasks.
func (d *deployment) busiestWorker() *workerProcess {
	GinkgoHelper()
	var busiest *workerProcess
	most := 0
	for _, w := range d.workers {
		if count := countEvents(w.events(), worker.EventStart); count > most {
			busiest, most = w, count
		}
	}
	Expect(busiest).NotTo(BeNil(), "no worker started a task")
	return busiest
}

// leastBusyWorker returns the worker that started the fewest tasks.
func (d *deployment) leastBusyWorker() *workerProcess {
	GinkgoHelper()
	var leastBusy *workerProcess
	fewest := math.MaxInt
	for _, w := range d.workers {
		if count := countEvents(w.events(), worker.EventStart); count < fewest {
			leastBusy, fewest = w, count
		}
	}
	return leastBusy
}

// mediumTask runs longer than a sync interval, so that a successor runs tasks that the previous
// owner still considers pending.
var mediumTask = worker.Payload{Work: 2500 * time.Millisecond, Result: "built"}

// mediumTaskCount is the number of tasks that keep 16 places on workers busy until well after a
// takeover.
const mediumTaskCount = 88

// startLongJobOnAllWorkers starts a job of long tasks with at least one task on each worker, and
// returns the number of tasks.
func (d *deployment) startLongJobOnAllWorkers(entry *entryProcess) int {
	GinkgoHelper()
	// Placement may fill a worker before it uses the next one; this many tasks need all workers.
	tasks := tasksPerWorker*(len(d.workers)-1) + 1
	entry.submitWithRetry("long", tasks, longTask)
	d.expectTotalStarts(tasks)
	return tasks
}

var _ = Describe("A task", Label("single-run"), func() {
	// Guards against starting a task on another worker before the lease of a silent worker has
	// expired.
	It("never runs twice at once while a running worker is silent until its lease expires", func() {
		d := startReadyZone(1, 3)
		tasks := d.startLongJobOnAllWorkers(d.entry("entry-1"))
		unreachable := d.busiestWorker()
		unreachable.setFaults(dropAllTraffic)
		d.expectTaskMovedFrom(unreachable, rescheduleTimeout)
		unreachable.setFaults(proxy.Faults{})
		d.entry("entry-1").expectSucceeded("long", tasks, jobFinishTimeout)
		d.expectNoOverlappingRuns()
	})

	// Guards against treating a refused connection as proof that a worker is dead.
	It("never runs twice at once while a running worker refuses connections until its lease expires", func() {
		d := startReadyZone(1, 3)
		tasks := d.startLongJobOnAllWorkers(d.entry("entry-1"))
		unreachable := d.busiestWorker()
		unreachable.refuseConnections()
		d.expectTaskMovedFrom(unreachable, rescheduleTimeout)
		unreachable.setFaults(proxy.Faults{})
		d.entry("entry-1").expectSucceeded("long", tasks, jobFinishTimeout)
		d.expectNoOverlappingRuns()
	})

	// Guards against a worker that continues its tasks after it was paused until its lease
	// expired, and against a sync from before the pause that starts tasks or renews the lease.
	It("never runs twice at once when a worker is frozen until its lease expires and thawed", func() {
		d := startReadyZone(1, 3)
		tasks := d.startLongJobOnAllWorkers(d.entry("entry-1"))
		frozen := d.busiestWorker()
		frozen.freeze()
		d.expectTaskMovedFrom(frozen, rescheduleTimeout)
		frozen.thaw()
		d.entry("entry-1").expectSucceeded("long", tasks, jobFinishTimeout)
		d.expectNoOverlappingRuns()
	})

	// Guards against a thawed owner that starts tasks which its successor started too.
	It("never runs twice at once when the owner is frozen until its authority expires and thawed", func() {
		d := startReadyZone(2, 4)
		d.entry("entry-1").submitWithRetry("steady", mediumTaskCount, mediumTask)
		d.workers["worker-1"].expectStarts(tasksPerWorker, taskStartTimeout)
		owner := d.expectOwner(zoneA, time.Second)
		other := d.otherEntry(owner)
		owner.freeze()
		other.expectOwnsShard(takeoverTimeout)
		started := countEvents(d.workerEventsInOrder(), worker.EventStart)
		Expect(started).To(BeNumerically("<", mediumTaskCount), "the successor has no work left to start")
		owner.thaw()
		other.expectSucceeded("steady", mediumTaskCount, jobFinishTimeout)
		d.expectNoOverlappingRuns()
	})

	// Guards against a successor that doesn't take over the tasks that the dead owner started.
	It("never runs twice at once when the owner is killed during a burst of task starts", func() {
		d := startReadyZone(2, 2)
		owner := d.expectOwner(zoneA, time.Second)
		other := d.otherEntry(owner)
		owner.submitWithRetry("long", 4, longTask)
		owner.submitWithRetry("short", 60, shortTask)
		// The long tasks may fill one worker, so the starts are counted on both workers.
		d.expectTotalStarts(9)
		d.killEntry(owner)
		other.expectSucceeded("long", 4, jobFinishTimeout)
		other.expectSucceeded("short", 60, jobFinishTimeout)
		d.expectNoOverlappingRuns()
	})

	// Guards against two owners when one of them loses the platform but still reaches the
	// workers, while its peer reaches the platform.
	It("never runs twice at once while the owner reaches workers but not the platform", func() {
		d := startReadyZone(2, 3)
		owner := d.expectOwner(zoneA, takeoverTimeout)
		tasks := d.startLongJobOnAllWorkers(owner)
		owner.disconnectPlatform()
		d.workers["worker-1"].expectFinishes(1, jobFinishTimeout)
		owner.reconnectPlatform()
		d.otherEntry(owner).expectSucceeded("long", tasks, jobFinishTimeout)
		d.expectNoOverlappingRuns()
	})

	// Guards against repeating a commit whose response was lost, and against a claim of the
	// shard that was committed without the claimant's knowledge.
	It("never runs twice at once when responses to committed writes are lost during a takeover", func() {
		d := startReadyZone(2, 2)
		d.setFaults(platform.Faults{Table: platform.ServiceFaults{LoseAcknowledgements: true}})
		owner := d.expectOwner(zoneA, takeoverTimeout)
		other := d.otherEntry(owner)
		other.submitWithRetry("short", 60, shortTask)
		d.workers["worker-1"].expectStarts(5, taskStartTimeout)
		d.killEntry(owner)
		other.expectOwnsShard(takeoverTimeout)
		d.setFaults(platform.Faults{})
		other.expectSucceeded("short", 60, jobFinishTimeout)
		d.expectNoOverlappingRuns()
	})

	// Guards against a new owner that restarts the tasks of workers which it has never reached
	// before the leases from the old owner have expired.
	It("never runs twice at once when the owner is killed while a worker is unreachable", func() {
		d := startReadyZone(2, 3)
		owner := d.expectOwner(zoneA, takeoverTimeout)
		other := d.otherEntry(owner)
		tasks := d.startLongJobOnAllWorkers(owner)
		unreachable := d.busiestWorker()
		unreachable.setFaults(dropAllTraffic)
		d.killEntry(owner)
		d.expectTaskMovedFrom(unreachable, takeoverTimeout+rescheduleTimeout)
		unreachable.setFaults(proxy.Faults{})
		other.expectSucceeded("long", tasks, jobFinishTimeout)
		d.expectNoOverlappingRuns()
	})

	// Guards against a recovery that never ends because a sync to one of several silent workers
	// is always in flight.
	It("never runs twice at once when the owner is killed while several workers are silent", func() {
		d := startReadyZone(2, 4)
		owner := d.expectOwner(zoneA, takeoverTimeout)
		other := d.otherEntry(owner)
		tasks := d.startLongJobOnAllWorkers(owner)
		busiest, reachable := d.busiestWorker(), d.leastBusyWorker()
		for _, w := range d.workers {
			if w != reachable {
				w.setFaults(dropAllTraffic)
			}
		}
		d.killEntry(owner)
		d.expectTaskMovedFrom(busiest, takeoverTimeout+rescheduleTimeout)
		for _, w := range d.workers {
			w.setFaults(proxy.Faults{})
		}
		other.expectSucceeded("long", tasks, jobFinishTimeout)
		d.expectNoOverlappingRuns()
	})
})

// expectFinishes waits until a worker has finished at least count tasks.
func (w *workerProcess) expectFinishes(count int, timeout time.Duration) {
	GinkgoHelper()
	Eventually(func() int { return countEvents(w.events(), worker.EventFinish) }).
		WithTimeout(timeout).Should(BeNumerically(">=", count), "finished tasks on %s", w.id)
}
