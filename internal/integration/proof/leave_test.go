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
	// leavingLimit is the documented time after which a backend server that the membership list
	// shows as leaving gets no new work.
	leavingLimit = 5 * time.Second
	// membershipLag is the lag of the membership list in the specs that delay it.
	membershipLag = 4 * time.Second
	// listPollInterval is the time between two polls of the membership list.
	listPollInterval = 20 * time.Millisecond
	// longTaskDuration is the run time of a task that can't finish before it is stopped.
	longTaskDuration = 12 * time.Second
	// batchTimeout is the time within which all jobs of a spec finish, several times what one
	// worker needs for them.
	batchTimeout = 2 * time.Minute
)

// announceLeaving makes a simulated backend server announce that it is leaving.
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

// expectListedAsLeaving waits until the membership list shows an instance as leaving. It returns
// the time of the last poll that did not, so that time limits start no later than the listing.
func (d *deployment) expectListedAsLeaving(id string, timeout time.Duration) time.Time {
	GinkgoHelper()
	lastNotListed := time.Now()
	Eventually(func() bool {
		began := time.Now()
		if d.listedState(id) == membership.Leaving {
			return true
		}
		lastNotListed = began
		return false
	}).WithTimeout(timeout).WithPolling(listPollInterval).Should(BeTrue(), "%s is not shown as leaving in the membership list", id)
	return lastNotListed
}

// expectNoLateRequests waits past leavingLimit and checks that no request reached the executor
// after it. Instances under load avoid an executor that refuses requests, whether it is leaving
// or not, so an instance without load gets a load of its own after the limit.
func (e *executorProcess) expectNoLateRequests(listedAt time.Time, currentLoad *load, unloaded *entryProcess) {
	GinkgoHelper()
	Eventually(time.Now).WithTimeout(2 * leavingLimit).Should(BeTemporally(">", listedAt.Add(leavingLimit)))
	laterLoad := startLoad(unloaded)
	for _, l := range []*load{currentLoad, laterLoad} {
		l.expectMore(100, 2*leavingLimit)
		l.expectNoneInterrupted()
	}
	for _, event := range e.events() {
		if event.Kind == executor.EventAccepted || event.Kind == executor.EventNotRun {
			Expect(event.Time).To(BeTemporally("<=", listedAt.Add(leavingLimit)), "%+v", event)
		}
	}
}

// expectDrained checks that no task started on the worker after leavingLimit, that its long
// tasks were stopped in time, that a task was checkpointed and that no task is left on the
// worker.
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

// openFeedsOnExecutor opens feeds, and returns them and an executor that serves one of them.
func (d *deployment) openFeedsOnExecutor(entry *entryProcess) (*executorProcess, []*feed) {
	GinkgoHelper()
	var feeds []*feed
	for n := range 4 {
		feeds = append(feeds, openFeed(entry, "roster-"+strconv.Itoa(n), 2*feedLines, feedInterval))
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

// expectExecutorLeaves makes an executor with a feed leave under load and checks that it drains.
// The functions are called before and after it announces that it is leaving.
func expectExecutorLeaves(beforeLeaving, afterLeaving func(*deployment)) {
	GinkgoHelper()
	d := startZoneWithExecutors(2)
	entry := d.entry("entry-1")
	requestLoad := startLoad(entry)
	requestLoad.expectMore(50, loadStartTimeout)
	leaving, feeds := d.openFeedsOnExecutor(entry)
	beforeLeaving(d)
	announceLeaving(leaving.address)
	afterLeaving(d)
	listedAt := d.expectListedAsLeaving(leaving.id, readyTimeout)
	leaving.expectNoLateRequests(listedAt, requestLoad, d.entry("entry-2"))
	for _, f := range feeds {
		f.expectComplete(readyTimeout + 2*feedLines*feedInterval)
	}
	d.expectNoCallerLeft()
}

// expectWorkerLeaves makes a worker with running tasks leave while many tasks are queued, and
// checks that it drains. The functions are called before and after it announces that it is
// leaving.
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

// awaitWorkerWithLongTask waits until a worker has started a task of the long job, and returns
// the worker.
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

// startedLongTask reports whether the worker has started a task of the long job.
func (w *workerProcess) startedLongTask() bool {
	for _, event := range w.events() {
		if event.Kind == worker.EventStart && isOfLongJob(event) {
			return true
		}
	}
	return false
}

// isOfLongJob reports whether an event belongs to a task of the long job.
func isOfLongJob(event worker.Event) bool {
	return strings.HasPrefix(string(event.Task), string(job.NewID("rotas", "long")))
}

func noFault(*deployment) {}

// delayMembershipList makes the membership list show a past state.
func delayMembershipList(d *deployment) { d.setFaults(platform.Faults{MembershipLag: membershipLag}) }

// failMembershipList makes the membership list unavailable.
func failMembershipList(d *deployment) {
	d.setFaults(platform.Faults{Membership: platform.ServiceFaults{Outage: true}})
}

// restoreMembershipList ends the outage of the membership list after a request was served
// without the list.
func restoreMembershipList(d *deployment) {
	d.entry("entry-1").expectServed(time.Second)
	d.setFaults(platform.Faults{})
}

// delayWorkerTraffic delays all traffic of the workers, so that task starts wait until the
// previous sync has ended.
func delayWorkerTraffic(d *deployment) {
	for _, w := range d.workers {
		flow := proxy.Flow{Delay: 250 * time.Millisecond}
		Expect(w.proxy.SetFaults(proxy.Faults{ToServer: flow, ToClient: flow})).To(Succeed())
	}
}

// killOwner kills the owner of the shard.
func killOwner(d *deployment) {
	owner := d.expectOwner(zoneA, takeoverTimeout)
	owner.kill()
	delete(d.entries, string(owner.ID))
}

var _ = Describe("A leaving backend server", Label("backend-leave"), func() {
	// Guards against sending requests to an executor that refuses them, and against feeds that
	// end when the executor announces that it is leaving.
	DescribeTable("gets no requests after the time limit",
		expectExecutorLeaves,
		Entry("under load", noFault, noFault),
		Entry("while the membership list lags", delayMembershipList, noFault),
		Entry("after an outage of the membership list", failMembershipList, restoreMembershipList),
	)

	// Guards against starting tasks on a worker that is about to stop, and against tasks that
	// are left on it.
	DescribeTable("gets no tasks after the time limit, and its tasks finish on other workers",
		expectWorkerLeaves,
		Entry("with a long queue", noFault, noFault),
		Entry("while the membership list lags", delayMembershipList, noFault),
		Entry("after an outage of the membership list", failMembershipList, restoreMembershipList),
		Entry("when the traffic to workers is slow", delayWorkerTraffic, noFault),
		Entry("when the shard's owner dies", noFault, killOwner),
	)
})
