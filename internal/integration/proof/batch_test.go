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
	// rescheduleTimeout is the time in which the tasks of a worker that stays
	// unreachable start elsewhere: two failed syncs, a lease with drift, the stop time
	// and time to place them.
	rescheduleTimeout = 20 * time.Second
	// taskStartTimeout is the time in which submitted tasks start while nothing fails.
	taskStartTimeout = 10 * time.Second
	// jobFinishTimeout is the time in which a job of a few seconds of work finishes once
	// the faults are over: a takeover, a wait for a lease and the work itself.
	jobFinishTimeout = 60 * time.Second
)

// membershipPropagationTime is the time in which an owner learns of a new member from the table and
// the member hears so: a read each second and a heartbeat each second.
const membershipPropagationTime = 3 * time.Second

// tasksPerWorker is how many tasks of the class build fit a worker of the tests.
const tasksPerWorker = 4

// dropAllTraffic forwards nothing and keeps connections open.
var dropAllTraffic = proxy.Faults{ToServer: proxy.Flow{Silence: true}, ToClient: proxy.Flow{Silence: true}}

// startReadyZone starts a deployment of one zone and publishes the test manifest.
func startReadyZone(entries, workers int) *deployment {
	GinkgoHelper()
	d := startZoneProcesses(entries, workers)
	d.publishAndAwaitMembers(zoneA, entries)
	return d
}

// startZoneProcesses starts the platform and the processes of a zone.
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

// settle publishes the test manifest and waits until entry-1 and the following
// instances are ready and know each other as members of the zone.
func (d *deployment) publishAndAwaitMembers(zoneName string, entries int) {
	GinkgoHelper()
	d.publish(d.entry("entry-1"))
	for n := range entries {
		id := "entry-" + strconv.Itoa(n+1)
		d.entry(id).expectReady()
		d.expectMember(zoneName, id)
	}
}

// expectMember waits until an instance is in the member set of its zone and the
// zone's owner has had the time to learn and to name it: until then a successor that
// joined late waits for the isolation limit.
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

// joinedAt returns when an instance joined the member set of a zone, by the table.
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

// submitWithRetry submits a job of the class build.
func (e *entryProcess) submitWithRetry(key string, tasks int, p worker.Payload) {
	GinkgoHelper()
	e.submitClassWithRetry("build", key, tasks, p)
}

// submitClassWithRetry submits a job of a class.
func (e *entryProcess) submitClassWithRetry(class manifest.ClassName, key string, tasks int, p worker.Payload) {
	GinkgoHelper()
	e.submitSpecWithRetry(key, job.Spec{Class: class, Priority: job.Normal, Tasks: tasks}, p)
}

// submitSpecWithRetry submits a job with a payload.
func (e *entryProcess) submitSpecWithRetry(key string, spec job.Spec, p worker.Payload) {
	GinkgoHelper()
	var err error
	spec.Payload, err = json.Marshal(p)
	Expect(err).NotTo(HaveOccurred())
	body, err := json.Marshal(spec)
	Expect(err).NotTo(HaveOccurred())
	// A known key denotes the same job, so a submission whose answer was lost is sent again.
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

// countEvents returns the number of entries of a kind.
func countEvents(events []worker.Event, kind worker.EventKind) int {
	count := 0
	for _, e := range events {
		if e.Kind == kind {
			count++
		}
	}
	return count
}

// expectStarts waits until a worker has started at least so many tasks.
func (w *workerProcess) expectStarts(count int, bound time.Duration) {
	GinkgoHelper()
	Eventually(func() int { return countEvents(w.events(), worker.EventStart) }).
		WithTimeout(bound).Should(BeNumerically(">=", count), "starts on %s", w.id)
}

// setFaults injects faults into the traffic to a worker.
func (w *workerProcess) setFaults(faults proxy.Faults) {
	GinkgoHelper()
	Expect(w.proxy.SetFaults(faults)).To(Succeed())
}

// refuseConnections cuts the traffic to a worker off, with an error for the sender.
func (w *workerProcess) refuseConnections() {
	GinkgoHelper()
	w.setFaults(proxy.Faults{Refuse: true})
	w.proxy.Cut()
}

// disconnectPlatform cuts an entry instance off from the platform.
func (e *entryProcess) disconnectPlatform() {
	GinkgoHelper()
	Expect(e.platform.SetFaults(proxy.Faults{Refuse: true})).To(Succeed())
	e.platform.Cut()
}

// reconnectPlatform ends cutPlatform.
func (e *entryProcess) reconnectPlatform() {
	GinkgoHelper()
	Expect(e.platform.SetFaults(proxy.Faults{})).To(Succeed())
}

// taskRun is the time in which an attempt of a task ran on a worker. Until is zero if
// it has no end in the journal.
type taskRun struct {
	worker  string
	attempt protocol.TaskAttempt
	from    time.Time
	until   time.Time
}

// overlaps reports whether two runs have a moment in common.
func (r taskRun) overlaps(other taskRun) bool {
	return (other.until.IsZero() || r.from.Before(other.until)) &&
		(r.until.IsZero() || other.from.Before(r.until))
}

// runs returns the runs of each task over the journals of all workers.
func (d *deployment) taskRuns() map[protocol.TaskID][]taskRun {
	GinkgoHelper()
	runs := map[protocol.TaskID][]taskRun{}
	for id, w := range d.workers {
		for _, e := range w.events() {
			switch e.Kind {
			case worker.EventStart:
				runs[e.Task] = append(runs[e.Task], taskRun{worker: id, attempt: e.TaskAttempt, from: e.Time})
			case worker.EventStop, worker.EventFinish:
				setRunEnd(runs[e.Task], id, e)
			}
		}
	}
	return runs
}

func setRunEnd(runs []taskRun, id string, e worker.Event) {
	for i, r := range runs {
		if r.worker == id && r.attempt == e.TaskAttempt && r.until.IsZero() {
			runs[i].until = e.Until
		}
	}
}

// expectNoOverlappingRuns checks that no two runs of a task overlap.
func (d *deployment) expectNoOverlappingRuns() {
	GinkgoHelper()
	for task, runs := range d.taskRuns() {
		for i, a := range runs {
			for _, b := range runs[:i] {
				Expect(a.overlaps(b)).To(BeFalse(), "task %s runs twice at once: %+v and %+v", task, a, b)
			}
		}
	}
}

// countTasksMovedFrom counts the tasks that ran on a worker first and on another one later.
func (d *deployment) countTasksMovedFrom(w *workerProcess) int {
	GinkgoHelper()
	moved := 0
	for _, runs := range d.taskRuns() {
		startedHere, lastStartedElsewhere := time.Time{}, time.Time{}
		for _, r := range runs {
			if r.worker == w.id {
				startedHere = r.from
			} else if r.from.After(lastStartedElsewhere) {
				lastStartedElsewhere = r.from
			}
		}
		if !startedHere.IsZero() && lastStartedElsewhere.After(startedHere) {
			moved++
		}
	}
	return moved
}

// expectTaskMovedFrom waits until a task of an unreachable worker runs elsewhere.
func (d *deployment) expectTaskMovedFrom(w *workerProcess, bound time.Duration) {
	GinkgoHelper()
	Eventually(func() int { return d.countTasksMovedFrom(w) }).WithTimeout(bound).
		Should(BeNumerically(">", 0), "no task of %s was started elsewhere", w.id)
}

// reservedByExecutors returns what the executors that the spec started reserve on a worker.
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

// expectOwnsShard waits until an instance runs its zone's shard.
func (e *entryProcess) expectOwnsShard(bound time.Duration) {
	GinkgoHelper()
	Eventually(func(g Gomega) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		status, err := e.control().Status(ctx)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(status.Shards).NotTo(BeEmpty())
		g.Expect(status.Shards[0].State).To(Equal("Owned"))
	}).WithTimeout(bound).Should(Succeed())
}
