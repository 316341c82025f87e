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

// longTask runs past the end of a lease, so that a task can only end elsewhere if
// its worker stays unreachable.
var longTask = worker.Payload{Work: 14 * time.Second, CheckpointEvery: time.Second, Result: "built"}

// shortWork keeps starts and results in flight at any moment.
var shortWork = worker.Payload{Work: 300 * time.Millisecond, Result: "built"}

// busiest returns the worker that started most tasks. While it is cut off, the others
// have room for some of them.
func (d *deployment) busiest() *workerProcess {
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

// idlest returns the worker that started the fewest tasks.
func (d *deployment) idlest() *workerProcess {
	GinkgoHelper()
	var idlest *workerProcess
	fewest := math.MaxInt
	for _, w := range d.workers {
		if count := countEvents(w.events(), worker.EventStart); count < fewest {
			idlest, fewest = w, count
		}
	}
	return idlest
}

// steadyWork runs for more than a sync interval, so that a successor runs tasks that
// the former owner still holds for pending.
var steadyWork = worker.Payload{Work: 2500 * time.Millisecond, Result: "built"}

// steadyTasks keep 16 slots busy until well after a takeover.
const steadyTasks = 88

// spreadLongJob starts a job of long tasks with at least one on each worker.
func (d *deployment) spreadLongJob(through *entryProcess) int {
	GinkgoHelper()
	// Placement may fill a worker before it takes the next; this many tasks need all.
	tasks := tasksPerWorker*(len(d.workers)-1) + 1
	through.submitWork("long", tasks, longTask)
	d.expectStartsInAll(tasks)
	return tasks
}

var _ = Describe("A task never runs in two places at once", Label("single-run"), func() {
	// Guards against a start elsewhere before the lease of a silent worker is over.
	It("while a worker that goes on running is silent past its lease", func() {
		d := oneZone(1, 3)
		tasks := d.spreadLongJob(d.entry("entry-1"))
		cut := d.busiest()
		cut.setFaults(silence)
		d.expectMovedFrom(cut, elsewhereBound)
		cut.setFaults(proxy.Faults{})
		d.entry("entry-1").expectSucceeded("long", tasks, finishBound)
		d.expectSingleRuns()
	})

	// Guards against taking a refused connection as proof that a worker is dead.
	It("while a worker that goes on running refuses connections past its lease", func() {
		d := oneZone(1, 3)
		tasks := d.spreadLongJob(d.entry("entry-1"))
		cut := d.busiest()
		cut.refuse()
		d.expectMovedFrom(cut, elsewhereBound)
		cut.setFaults(proxy.Faults{})
		d.entry("entry-1").expectSucceeded("long", tasks, finishBound)
		d.expectSingleRuns()
	})

	// Guards against a worker that goes on with its tasks after it was paused past its
	// lease, and against a sync from before the pause that starts or renews anything.
	It("while a worker is frozen past its lease and thawed", func() {
		d := oneZone(1, 3)
		tasks := d.spreadLongJob(d.entry("entry-1"))
		frozen := d.busiest()
		frozen.freeze()
		d.expectMovedFrom(frozen, elsewhereBound)
		frozen.thaw()
		d.entry("entry-1").expectSucceeded("long", tasks, finishBound)
		d.expectSingleRuns()
	})

	// Guards against a thawed owner that starts tasks which its successor started too.
	It("while the owner is frozen past its authority and thawed", func() {
		d := oneZone(2, 4)
		d.entry("entry-1").submitWork("steady", steadyTasks, steadyWork)
		d.workers["worker-1"].expectStarts(tasksPerWorker, startedBound)
		owner := d.expectOwner(zoneA, time.Second)
		other := d.besides(owner)
		owner.freeze()
		other.expectOwning(takeoverBound)
		started := countEvents(d.eventsInOrder(), worker.EventStart)
		Expect(started).To(BeNumerically("<", steadyTasks), "the successor has no work left to start")
		owner.thaw()
		other.expectSucceeded("steady", steadyTasks, finishBound)
		d.expectSingleRuns()
	})

	// Guards against a successor that doesn't take over what the dead owner started.
	It("when the owner is killed during a burst of starts", func() {
		d := oneZone(2, 2)
		owner := d.expectOwner(zoneA, time.Second)
		other := d.besides(owner)
		owner.submitWork("long", 4, longTask)
		owner.submitWork("short", 60, shortWork)
		// The long tasks may fill one worker, so the starts are counted on both.
		d.expectStartsInAll(9)
		d.remove(owner)
		other.expectSucceeded("long", 4, finishBound)
		other.expectSucceeded("short", 60, finishBound)
		d.expectSingleRuns()
	})

	// Guards against two owners when one is cut from the platform, still reaches the
	// workers and its peer sees a platform that works.
	It("while the owner is cut from the platform but not from workers", func() {
		d := oneZone(2, 3)
		owner := d.expectOwner(zoneA, takeoverBound)
		tasks := d.spreadLongJob(owner)
		owner.cutPlatform()
		d.workers["worker-1"].expectFinishes(1, finishBound)
		owner.healPlatform()
		d.besides(owner).expectSucceeded("long", tasks, finishBound)
		d.expectSingleRuns()
	})

	// Guards against a commit that is sent again after its answer was lost, and
	// against a claim of the shard that took effect without its claimant knowing.
	It("when the store's answers are lost after the write, with a takeover", func() {
		d := oneZone(2, 2)
		d.setFaults(platform.Faults{Table: platform.ServiceFaults{LoseAcknowledgements: true}})
		owner := d.expectOwner(zoneA, takeoverBound)
		other := d.besides(owner)
		other.submitWork("short", 60, shortWork)
		d.workers["worker-1"].expectStarts(5, startedBound)
		d.remove(owner)
		other.expectOwning(takeoverBound)
		d.setFaults(platform.Faults{})
		other.expectSucceeded("short", 60, finishBound)
		d.expectSingleRuns()
	})

	// Guards against a new owner that starts the tasks of workers which it has never
	// reached before the old owner's leases are over.
	It("when an owner is killed while a worker is unreachable", func() {
		d := oneZone(2, 3)
		owner := d.expectOwner(zoneA, takeoverBound)
		other := d.besides(owner)
		tasks := d.spreadLongJob(owner)
		cut := d.busiest()
		cut.setFaults(silence)
		d.remove(owner)
		d.expectMovedFrom(cut, takeoverBound+elsewhereBound)
		cut.setFaults(proxy.Faults{})
		other.expectSucceeded("long", tasks, finishBound)
		d.expectSingleRuns()
	})

	// Guards against a recovery that never ends because at any moment a sync to one of
	// several silent workers is on its way.
	It("when an owner is killed while several workers are silent", func() {
		d := oneZone(2, 4)
		owner := d.expectOwner(zoneA, takeoverBound)
		other := d.besides(owner)
		tasks := d.spreadLongJob(owner)
		cut, reachable := d.busiest(), d.idlest()
		for _, w := range d.workers {
			if w != reachable {
				w.setFaults(silence)
			}
		}
		d.remove(owner)
		d.expectMovedFrom(cut, takeoverBound+elsewhereBound)
		for _, w := range d.workers {
			w.setFaults(proxy.Faults{})
		}
		other.expectSucceeded("long", tasks, finishBound)
		d.expectSingleRuns()
	})
})

// expectFinishes waits until a worker has finished at least so many tasks.
func (w *workerProcess) expectFinishes(count int, bound time.Duration) {
	GinkgoHelper()
	Eventually(func() int { return countEvents(w.events(), worker.EventFinish) }).
		WithTimeout(bound).Should(BeNumerically(">=", count), "finished tasks on %s", w.id)
}
