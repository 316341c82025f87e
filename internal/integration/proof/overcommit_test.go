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

// observedBound is the time in which an owner knows what a task uses: the period
// and lag of usage samples and two syncs.
const observedBound = 7 * time.Second

// colocated starts a zone whose workers have executors on them and two accelerators.
func colocated(entries int) *deployment {
	GinkgoHelper()
	d := startZone(entries, 2, "--accelerators", "2")
	d.startExecutor("executor-1", zoneA, "worker-1")
	d.startExecutor("executor-2", zoneA, "worker-1")
	d.startExecutor("executor-3", zoneA, "worker-2")
	d.settleTasks(zoneA, entries)
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
			taken := e.InUse.Add(d.reserved(id))
			Expect(taken.FitsIn(e.Capacity)).To(BeTrue(), "%s has %+v reserved of %+v: %+v", id, taken, e.Capacity, e)
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
			taken := executors
			for _, other := range started {
				size := other.Resources
				if e.Time.Sub(other.Time) > observedBound {
					size = size.Max(observed)
				}
				taken = taken.Add(size)
			}
			Expect(taken.FitsIn(e.Capacity)).To(BeTrue(), "%s uses %+v after %+v", w.id, taken, e)
		}
	}
}

// submitBurst submits urgent jobs of short tasks through an instance, several at a
// time, and calls during when the first half is under way. Urgent tasks go before
// those that a successor finds on the workers.
func (e *entryProcess) submitBurst(jobs, tasks int, during func()) {
	var group sync.WaitGroup
	defer group.Wait()
	for n := range jobs {
		if n == jobs/2 {
			during()
		}
		group.Go(func() {
			defer GinkgoRecover()
			e.submitSpec("burst-"+strconv.Itoa(n), job.Spec{Class: "build", Priority: job.Urgent, Tasks: tasks}, shortWork)
		})
	}
}

// expectStartsInAll waits until the workers have started so many tasks together.
func (d *deployment) expectStartsInAll(count int) {
	GinkgoHelper()
	d.expectEvents(worker.EventStart, count, startedBound)
}

var _ = Describe("No worker is overcommitted", Label("no-overcommit"), func() {
	// Guards against a successor that doesn't count what the dead owner started.
	It("when the owner is killed during a burst of starts", func() {
		d := colocated(2)
		d.entry("entry-1").submitWork("long", 3, longTask)
		d.entry("entry-1").submitClass("train", "devices", 16, shortWork)
		d.entry("entry-1").submitWork("short", 24, shortWork)
		d.expectStartsInAll(4)
		owner := d.expectOwner(zoneA, time.Second)
		other := d.besides(owner)
		d.remove(owner)
		other.expectSucceeded("devices", 16, finishBound)
		other.expectSucceeded("short", 24, finishBound)
		d.expectNoOvercommit()
	})

	// Guards against starts of a thawed owner on top of those of its successor.
	It("when the owner is frozen past its authority and thawed", func() {
		d := colocated(2)
		d.entry("entry-1").submitWork("long", 3, longTask)
		d.entry("entry-1").submitWork("short", 40, shortWork)
		d.expectStartsInAll(4)
		owner := d.expectOwner(zoneA, time.Second)
		other := d.besides(owner)
		owner.freeze()
		other.expectOwning(takeoverBound)
		owner.thaw()
		other.expectSucceeded("short", 40, finishBound)
		d.expectNoOvercommit()
	})

	// Guards against a successor that fills workers with new jobs before it knows what
	// runs on them.
	It("when the owner is killed during a burst of submissions", func() {
		d := colocated(2)
		owner := d.expectOwner(zoneA, time.Second)
		other := d.besides(owner)
		owner.submitWork("long", 4, longTask)
		d.expectStartsInAll(4)
		other.submitBurst(20, 2, func() { d.remove(owner) })
		for n := range 20 {
			other.expectSucceeded("burst-"+strconv.Itoa(n), 2, finishBound)
		}
		d.expectNoOvercommit()
	})

	// Guards against a new instance that takes a shard over before it knows which
	// executors share the workers.
	It("when each entry instance is replaced by a new one", func() {
		d := colocated(2)
		d.entry("entry-1").submitWork("long", 3, longTask)
		d.entry("entry-1").submitWork("short", 40, shortWork)
		d.expectStartsInAll(4)
		first := d.expectOwner(zoneA, time.Second)
		second := d.besides(first)
		first.terminate()
		delete(d.entries, string(first.ID))
		third := d.startEntry("entry-3", zoneA)
		third.expectReady()
		d.expectMember(zoneA, "entry-3")
		d.remove(second)
		third.expectOwning(takeoverBound)
		third.submitWork("later", 12, shortWork)
		third.expectSucceeded("short", 40, finishBound)
		third.expectSucceeded("later", 12, finishBound)
		d.expectNoOvercommit()
	})

	// Guards against placement by declared sizes when tasks use several times as much,
	// also right after a takeover.
	It("when tasks use far more than they declared and the owner is killed", func() {
		observed := resource.Vector{Processors: 1500, Memory: 2.5e9}
		d := colocated(2)
		owner := d.expectOwner(zoneA, time.Second)
		other := d.besides(owner)
		owner.submitWork("big", 4, worker.Payload{
			Work: 20 * time.Second, Observed: observed, CheckpointEvery: time.Second, Result: "built",
		})
		d.expectStartsInAll(4)
		began := time.Now()
		Eventually(func() time.Duration { return time.Since(began) }).WithTimeout(2 * observedBound).
			Should(BeNumerically(">", observedBound))
		other.submitWork("short", 6, shortWork)
		d.remove(owner)
		other.expectSucceeded("short", 6, 2*finishBound)
		other.expectSucceeded("big", 4, 2*finishBound)
		d.expectNoOvercommit()
		for id, w := range d.workers {
			w.expectObservedReserved(observed, d.reserved(id))
		}
	})
})
