package proof

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
	protocol "github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
	"github.com/jacinthtrail/jacinthtrail/internal/caller/job"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/ownership"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/manifest"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/table"
	"github.com/jacinthtrail/jacinthtrail/internal/standin/platform"
	"github.com/jacinthtrail/jacinthtrail/internal/standin/proxy"
	"github.com/jacinthtrail/jacinthtrail/internal/standin/worker"
)

const (
	// rescheduleTimeout is the time within which the tasks of an unreachable worker start on
	// other workers: two failed syncs, a lease with clock drift, the stop time and the time to
	// place the tasks.
	rescheduleTimeout = 20 * time.Second
	// taskStartTimeout is the time within which submitted tasks start if nothing fails.
	taskStartTimeout = 10 * time.Second
	// jobFinishTimeout is the time within which a job with a few seconds of work finishes after
	// the faults are removed: a takeover, a wait for a lease and the work itself.
	jobFinishTimeout = 60 * time.Second
)

// membershipPropagationTime is the time within which an owner reads a new member from the table
// and the member hears of it: one read and one heartbeat, each once a second.
const membershipPropagationTime = 3 * time.Second

// tasksPerWorker is the number of tasks of the class build that fit on a worker of the tests.
const tasksPerWorker = 4

// dropAllTraffic makes a proxy forward nothing in either direction while connections stay open.
var dropAllTraffic = proxy.Faults{ToServer: proxy.Flow{Silence: true}, ToClient: proxy.Flow{Silence: true}}

// startReadyZone starts a deployment with one zone, publishes the test manifest and waits until
// the instances are ready.
func startReadyZone(entries, workers int) *deployment {
	GinkgoHelper()
	d := startZoneProcesses(entries, workers)
	d.publishAndAwaitMembers(zoneA, entries)
	return d
}

// startZoneProcesses starts the platform and the entry instances and workers of a zone.
func startZoneProcesses(entries, workers int, workerArgs ...string) *deployment {
	GinkgoHelper()
	d := startPlatform()
	for n := range entries {
		d.startEntry("entry-"+strconv.Itoa(n+1), zoneA)
	}
	for n := range workers {
		d.startWorker("worker-"+strconv.Itoa(n+1), zoneA, workerArgs...)
	}
	return d
}

// publishAndAwaitMembers publishes the test manifest and waits until entry-1 and the following
// instances are ready and are members of the zone.
func (d *deployment) publishAndAwaitMembers(zoneName string, entries int) {
	GinkgoHelper()
	d.publish(d.entry("entry-1"))
	for n := range entries {
		id := "entry-" + strconv.Itoa(n+1)
		d.entry(id).expectReady()
		d.expectMember(zoneName, id)
	}
}

// expectMember waits until an instance is in the member set of its zone and the owner of the
// zone has had the time to read and to announce it. Until then, a successor that joined late
// waits for the isolation limit.
func (d *deployment) expectMember(zoneName, id string) {
	GinkgoHelper()
	var joined time.Time
	Eventually(func(g Gomega) {
		joined = d.joinedAt(zoneName, id)
		g.Expect(joined.IsZero()).To(BeFalse(), "%s has not joined", id)
	}).WithTimeout(readyTimeout).Should(Succeed())
	d.expectOwner(zoneName, takeoverTimeout)
	Eventually(func() time.Duration { return time.Since(joined) }).WithTimeout(2 * membershipPropagationTime).
		Should(BeNumerically(">=", membershipPropagationTime))
}

// joinedAt returns the time at which an instance joined the member set of a zone according to
// the journal of the table, or the zero time.
func (d *deployment) joinedAt(zoneName, id string) time.Time {
	GinkgoHelper()
	for _, entry := range d.tableJournal() {
		for _, write := range entry.Transaction.Writes {
			if write.Key != table.Key("members/"+zoneName) {
				continue
			}
			var set ownership.MemberSet
			Expect(json.Unmarshal(write.Value, &set)).To(Succeed())
			if _, member := set.Joined(membership.InstanceID(id)); member {
				return entry.Time
			}
		}
	}
	return time.Time{}
}

// otherEntry returns an entry instance other than e.
func (d *deployment) otherEntry(e *entryProcess) *entryProcess {
	GinkgoHelper()
	for _, other := range d.entries {
		if other != e {
			return other
		}
	}
	Fail("there is no other entry instance")
	return nil
}

// submitWithRetry submits a job of the class build and retries until it is accepted.
func (e *entryProcess) submitWithRetry(key string, tasks int, p worker.Payload) {
	GinkgoHelper()
	e.submitClassWithRetry("build", key, tasks, p)
}

// submitClassWithRetry submits a job of the given class and retries until it is accepted.
func (e *entryProcess) submitClassWithRetry(class manifest.ClassName, key string, tasks int, p worker.Payload) {
	GinkgoHelper()
	e.submitSpecWithRetry(key, job.Spec{Class: class, Priority: job.Normal, Tasks: tasks}, p)
}

// submitSpecWithRetry submits a job with a payload and retries until it is accepted.
func (e *entryProcess) submitSpecWithRetry(key string, spec job.Spec, p worker.Payload) {
	GinkgoHelper()
	var err error
	spec.Payload, err = json.Marshal(p)
	Expect(err).NotTo(HaveOccurred())
	body, err := json.Marshal(spec)
	Expect(err).NotTo(HaveOccurred())
	// Submission is idempotent by key, so it is safe to retry after a lost response.
	Eventually(func(g Gomega) {
		request, err := http.NewRequest(http.MethodPut, "http://"+e.Caller+"/jobs/rotas/"+key, bytes.NewReader(body))
		g.Expect(err).NotTo(HaveOccurred())
		response, err := http.DefaultClient.Do(request)
		g.Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		text, err := io.ReadAll(response.Body)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(response.StatusCode).To(BeElementOf(http.StatusCreated, http.StatusOK), string(text))
	}).WithTimeout(taskStartTimeout).Should(Succeed())
}

// countEvents returns the number of journal entries of a kind.
func countEvents(events []worker.Event, kind worker.EventKind) int {
	count := 0
	for _, e := range events {
		if e.Kind == kind {
			count++
		}
	}
	return count
}

// expectStarts waits until a worker has started at least count tasks.
func (w *workerProcess) expectStarts(count int, timeout time.Duration) {
	GinkgoHelper()
	Eventually(func() int { return countEvents(w.events(), worker.EventStart) }).
		WithTimeout(timeout).Should(BeNumerically(">=", count), "starts on %s", w.id)
}

// setFaults injects faults into the traffic to a worker.
func (w *workerProcess) setFaults(faults proxy.Faults) {
	GinkgoHelper()
	Expect(w.proxy.SetFaults(faults)).To(Succeed())
}

// refuseConnections closes the connections to a worker and refuses new ones.
func (w *workerProcess) refuseConnections() {
	GinkgoHelper()
	w.setFaults(proxy.Faults{Refuse: true})
	w.proxy.Cut()
}

// disconnectPlatform closes the connections of an entry instance to the platform and refuses new
// ones.
func (e *entryProcess) disconnectPlatform() {
	GinkgoHelper()
	Expect(e.platform.SetFaults(proxy.Faults{Refuse: true})).To(Succeed())
	e.platform.Cut()
}

// reconnectPlatform reverts disconnectPlatform.
func (e *entryProcess) reconnectPlatform() {
	GinkgoHelper()
	Expect(e.platform.SetFaults(proxy.Faults{})).To(Succeed())
}

// taskRun is the period in which a worker ran an attempt of a task. end is zero if the journal
// does not contain the end of the run.
type taskRun struct {
	worker  string
	attempt protocol.TaskAttempt
	start   time.Time
	end     time.Time
}

// overlaps reports whether two runs overlap in time.
func (r taskRun) overlaps(other taskRun) bool {
	return (other.end.IsZero() || r.start.Before(other.end)) &&
		(r.end.IsZero() || other.start.Before(r.end))
}

// taskRuns returns the runs of each task from the journals of all workers.
func (d *deployment) taskRuns() map[protocol.TaskID][]taskRun {
	GinkgoHelper()
	runs := map[protocol.TaskID][]taskRun{}
	for id, w := range d.workers {
		for _, e := range w.events() {
			switch e.Kind {
			case worker.EventStart:
				runs[e.Task] = append(runs[e.Task], taskRun{worker: id, attempt: e.TaskAttempt, start: e.Time})
			case worker.EventStop, worker.EventFinish:
				setRunEnd(runs[e.Task], id, e)
			}
		}
	}
	return runs
}

func setRunEnd(runs []taskRun, id string, e worker.Event) {
	for i, r := range runs {
		if r.worker == id && r.attempt == e.TaskAttempt && r.end.IsZero() {
			runs[i].end = e.Until
		}
	}
}

// expectNoOverlappingRuns checks that no two runs of a task overlap.
func (d *deployment) expectNoOverlappingRuns() {
	GinkgoHelper()
	for task, runs := range d.taskRuns() {
		for i, a := range runs {
			for _, b := range runs[:i] {
				Expect(a.overlaps(b)).To(BeFalse(), "runs of task %s overlap: %+v and %+v", task, a, b)
			}
		}
	}
}

// countTasksMovedFrom counts the tasks that ran on a worker and started on another one later.
func (d *deployment) countTasksMovedFrom(w *workerProcess) int {
	GinkgoHelper()
	moved := 0
	for _, runs := range d.taskRuns() {
		startedHere, lastStartedElsewhere := time.Time{}, time.Time{}
		for _, r := range runs {
			if r.worker == w.id {
				startedHere = r.start
			} else if r.start.After(lastStartedElsewhere) {
				lastStartedElsewhere = r.start
			}
		}
		if !startedHere.IsZero() && lastStartedElsewhere.After(startedHere) {
			moved++
		}
	}
	return moved
}

// expectTaskMovedFrom waits until a task of an unreachable worker has started on another one.
func (d *deployment) expectTaskMovedFrom(w *workerProcess, timeout time.Duration) {
	GinkgoHelper()
	Eventually(func() int { return d.countTasksMovedFrom(w) }).WithTimeout(timeout).
		Should(BeNumerically(">", 0), "no task of %s was started on another worker", w.id)
}

// reservedByExecutors returns the capacity that the executors of the spec reserve on a worker.
func (d *deployment) reservedByExecutors(workerID string) resource.Vector {
	var sum resource.Vector
	for _, e := range d.executors {
		if e.host == workerID {
			sum = sum.Add(executorReservation)
		}
	}
	return sum
}

// tableJournal returns the transactions that the platform committed, in order.
func (d *deployment) tableJournal() []platform.JournalEntry {
	GinkgoHelper()
	response, err := http.Get("http://" + d.platformAddress + platform.JournalPath)
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	var entries []platform.JournalEntry
	Expect(json.NewDecoder(response.Body).Decode(&entries)).To(Succeed())
	return entries
}

// killEntry kills an entry instance.
func (d *deployment) killEntry(e *entryProcess) {
	e.kill()
	delete(d.entries, string(e.ID))
}

// expectOwnsShard waits until the instance owns the shard of its zone.
func (e *entryProcess) expectOwnsShard(timeout time.Duration) {
	GinkgoHelper()
	Eventually(func(g Gomega) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		status, err := e.control().Status(ctx)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(status.Shards).NotTo(BeEmpty())
		g.Expect(status.Shards[0].State).To(Equal("Owned"))
	}).WithTimeout(timeout).Should(Succeed())
}
