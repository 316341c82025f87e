package proof

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/caller/job"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
	"github.com/jacinthtrail/jacinthtrail/internal/standin/executor"
	"github.com/jacinthtrail/jacinthtrail/internal/standin/platform"
	"github.com/jacinthtrail/jacinthtrail/internal/standin/proxy"
	"github.com/jacinthtrail/jacinthtrail/internal/standin/worker"
)

const (
	// leavingLimit is the stated time after which a backend server that the membership
	// list shows as leaving gets no new work.
	leavingLimit = 5 * time.Second
	// membershipLag is the lag of the list in the specs that have one.
	membershipLag = 4 * time.Second
	// listPollInterval is the time between looks at the membership list.
	listPollInterval = 20 * time.Millisecond
	// longTaskDuration is the run time of a task that can't end by itself before it is stopped.
	longTaskDuration = 12 * time.Second
	// batchTimeout is the time for all batch work of a spec, several times what one
	// worker needs for it.
	batchTimeout = 2 * time.Minute
)

// announceLeaving makes a stand-in announce that it is leaving.
func announceLeaving(address string) {
	GinkgoHelper()
	body, err := json.Marshal(membership.Leaving)
	Expect(err).NotTo(HaveOccurred())
	request, err := http.NewRequest(http.MethodPut, "http://"+address+"/state", bytes.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	response, err := http.DefaultClient.Do(request)
	Expect(err).NotTo(HaveOccurred())
	Expect(response.Body.Close()).To(Succeed())
	Expect(response.StatusCode).To(BeNumerically("<", 300))
}

// expectListedAsLeaving waits until the membership list shows an instance as leaving, and
// returns a time before that at which it did not.
func (d *deployment) expectListedAsLeaving(id string, bound time.Duration) time.Time {
	GinkgoHelper()
	lastNotListed := time.Now()
	Eventually(func() bool {
		began := time.Now()
		if d.listedState(id) == membership.Leaving {
			return true
		}
		lastNotListed = began
		return false
	}).WithTimeout(bound).WithPolling(listPollInterval).Should(BeTrue(), "%s in the membership list", id)
	return lastNotListed
}

// expectNoLateRequests waits past the bound and checks that no request reached the
// executor after it. An instance with a load avoids an executor that refuses
// requests, leaving or not, so one that had no load gets its own after the bound.
func (e *executorProcess) expectNoLateRequests(listedAt time.Time, currentLoad *load, unloaded *entryProcess) {
	GinkgoHelper()
	Eventually(time.Now).WithTimeout(2 * leavingLimit).Should(BeTemporally(">", listedAt.Add(leavingLimit)))
	late := startLoad(unloaded)
	for _, l := range []*load{currentLoad, late} {
		l.expectMore(100, 2*leavingLimit)
		l.expectNoneInterrupted()
	}
	for _, event := range e.events() {
		if event.Kind == executor.EventAccepted || event.Kind == executor.EventNotRun {
			Expect(event.Time).To(BeTemporally("<=", listedAt.Add(leavingLimit)), "%+v", event)
		}
	}
}

// expectDrained checks that nothing started on the worker after the bound, that no
// long task ended there, and that all tasks were stopped.
func (w *workerProcess) expectDrained(listedAt time.Time) {
	GinkgoHelper()
	running := map[worker.Event]bool{}
	checkpoints := 0
	for _, event := range w.events() {
		key := worker.Event{TaskAttempt: event.TaskAttempt}
		switch event.Kind {
		case worker.EventStart, worker.EventResume:
			Expect(event.Time).To(BeTemporally("<=", listedAt.Add(leavingLimit)), "%+v", event)
			running[key] = true
		case worker.EventCheckpoint:
			checkpoints++
		case worker.EventStop, worker.EventFinish, worker.EventLeaseExpiry:
			delete(running, key)
			if isOfLongJob(event) {
				Expect(event.Kind).To(Equal(worker.EventStop), "%+v", event)
				Expect(event.Time).To(BeTemporally("<=", listedAt.Add(leavingLimit+worker.DefaultStopTime)), "%+v", event)
			}
		}
	}
	Expect(running).To(BeEmpty())
	Expect(checkpoints).To(BeNumerically(">", 0), "no task was checkpointed")
}

// openFeedsOnExecutor opens feeds until one is on an executor, and returns both.
func (d *deployment) openFeedsOnExecutor(through *entryProcess) (*executorProcess, []*feed) {
	GinkgoHelper()
	var feeds []*feed
	for n := range 4 {
		feeds = append(feeds, openFeed(through, "roster-"+strconv.Itoa(n), 2*feedLines, feedInterval))
	}
	for _, e := range d.executors {
		for _, event := range e.events() {
			if event.Kind == executor.EventAccepted && event.Feed {
				return e, feeds
			}
		}
	}
	Fail("no executor has a feed")
	return nil, nil
}

// expectExecutorLeaves makes an executor with a feed leave under load. Around is called
// before and after it announces that it leaves.
func expectExecutorLeaves(beforeLeaving, afterLeaving func(*deployment)) {
	GinkgoHelper()
	d := startZoneWithExecutors(2)
	through := d.entry("entry-1")
	calls := startLoad(through)
	calls.expectMore(50, loadStartTimeout)
	leaving, feeds := d.openFeedsOnExecutor(through)
	beforeLeaving(d)
	announceLeaving(leaving.address)
	afterLeaving(d)
	listedAt := d.expectListedAsLeaving(leaving.id, readyTimeout)
	leaving.expectNoLateRequests(listedAt, calls, d.entry("entry-2"))
	for _, f := range feeds {
		f.expectComplete(readyTimeout + 2*feedLines*feedInterval)
	}
	d.expectNoCallerLeft()
}

// expectWorkerLeaves makes a worker leave that has running tasks and a long queue.
func expectWorkerLeaves(beforeLeaving, afterLeaving func(*deployment)) {
	GinkgoHelper()
	d := startZoneWithExecutors(2)
	owner := d.expectOwner(zoneA, takeoverTimeout)
	owner.submit("long", 2, payload{Work: longTaskDuration, Result: "built"})
	owner.submit("queue", 20, payload{Work: 300 * time.Millisecond, Result: "built"})
	leaving := d.awaitWorkerWithLongTask()
	beforeLeaving(d)
	announceLeaving(leaving.address)
	afterLeaving(d)
	listedAt := d.expectListedAsLeaving(leaving.id, readyTimeout)
	for _, e := range d.entries {
		e.expectSucceeded("queue", 20, batchTimeout)
		e.expectSucceeded("long", 2, batchTimeout)
	}
	leaving.expectDrained(listedAt)
}

// awaitWorkerWithLongTask waits until a worker has a task of the long job, and returns it.
func (d *deployment) awaitWorkerWithLongTask() *workerProcess {
	GinkgoHelper()
	var found *workerProcess
	Eventually(func() *workerProcess {
		for _, w := range d.workers {
			if w.startedLongTask() {
				found = w
			}
		}
		return found
	}).WithTimeout(readyTimeout).ShouldNot(BeNil())
	return found
}

// startedLongTask reports whether a task of the long job was started.
func (w *workerProcess) startedLongTask() bool {
	for _, event := range w.events() {
		if event.Kind == worker.EventStart && isOfLongJob(event) {
			return true
		}
	}
	return false
}

// isOfLongJob reports whether an event is about a task of the long job.
func isOfLongJob(event worker.Event) bool {
	return strings.HasPrefix(string(event.Task), string(job.NewID("rotas", "long")))
}

func noFault(*deployment) {}

// delayMembershipList makes the membership list show an earlier state.
func delayMembershipList(d *deployment) { d.setFaults(platform.Faults{MembershipLag: membershipLag}) }

// failMembershipList makes the membership list unavailable.
func failMembershipList(d *deployment) {
	d.setFaults(platform.Faults{Membership: platform.ServiceFaults{Outage: true}})
}

// restoreMembershipList ends the outage of the list after the work went on without it.
func restoreMembershipList(d *deployment) {
	d.entry("entry-1").expectServed(time.Second)
	d.setFaults(platform.Faults{})
}

// delayWorkerTraffic delays all traffic of the workers, so that starts wait for the end of
// the sync before them.
func delayWorkerTraffic(d *deployment) {
	for _, w := range d.workers {
		flow := proxy.Flow{Delay: 250 * time.Millisecond}
		Expect(w.proxy.SetFaults(proxy.Faults{ToServer: flow, ToClient: flow})).To(Succeed())
	}
}

// killOwner ends the shard's owner.
func killOwner(d *deployment) {
	owner := d.expectOwner(zoneA, takeoverTimeout)
	owner.kill()
	delete(d.entries, string(owner.ID))
}

var _ = Describe("A leaving backend server", Label("backend-leave"), func() {
	// Guards against requests that are sent to an executor that will refuse them, and
	// against a feed that ends with the announcement.
	DescribeTable("gets no requests after the bound",
		expectExecutorLeaves,
		Entry("under load", noFault, noFault),
		Entry("while the membership list lags", delayMembershipList, noFault),
		Entry("when the membership list was down", failMembershipList, restoreMembershipList),
	)

	// Guards against tasks that start on a worker that is about to go, and against
	// tasks that are left on it.
	DescribeTable("gets no tasks after the bound, and its tasks finish elsewhere",
		expectWorkerLeaves,
		Entry("with a long queue", noFault, noFault),
		Entry("while the membership list lags", delayMembershipList, noFault),
		Entry("when the membership list was down", failMembershipList, restoreMembershipList),
		Entry("when its path is slow", delayWorkerTraffic, noFault),
		Entry("when the shard's owner dies", noFault, killOwner),
	)
})
