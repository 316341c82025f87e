package proof

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"github.com/jacinthtrail/jacinthtrail/internal/entry/shard"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
	"github.com/jacinthtrail/jacinthtrail/internal/standin/executor"
	"github.com/jacinthtrail/jacinthtrail/internal/standin/platform"
	"github.com/jacinthtrail/jacinthtrail/internal/standin/worker"
)

const (
	// drainTimeout is the --drain-timeout of the entry instances.
	drainTimeout = 20 * time.Second
	// balancerCheckInterval is the interval of a load balancer's health checks. A stopping
	// instance must be unready within this time.
	balancerCheckInterval = time.Second
	// loadStartTimeout is the time within which the first requests of a load must be served.
	loadStartTimeout = 10 * time.Second
	// handoverTimeout is the lease term of the workers. If the successor takes over later, the
	// tasks are stopped.
	handoverTimeout = shard.LeaseTerm
	// handoverTaskDuration is the run time of a task that outlasts the handover.
	handoverTaskDuration = 15 * time.Second
	// feedLines and feedInterval make a feed last longer than a stop without feeds.
	feedLines    = 30
	feedInterval = 200 * time.Millisecond
)

// startZoneWithExecutors starts a zone with the given number of entry instances, and two workers
// with an executor on each.
func startZoneWithExecutors(entries int) *deployment {
	GinkgoHelper()
	d := startPlatform()
	for n := range entries {
		d.startEntry(fmt.Sprintf("entry-%d", n+1), zoneA)
	}
	for _, n := range []string{"1", "2"} {
		d.startWorker("worker-"+n, zoneA)
		d.startExecutor("executor-"+n, zoneA, "worker-"+n)
	}
	d.publish(d.entry("entry-1"))
	for _, e := range d.entries {
		e.expectReady()
		e.expectServed(readyTimeout)
	}
	d.expectOwner(zoneA, takeoverTimeout)
	return d
}

// events returns the journal entries of the executor.
func (e *executorProcess) events() []executor.Event {
	GinkgoHelper()
	return readJournal[executor.Event](e.journal)
}

// expectCleanExit waits until the process has exited with status 0.
func (p *process) expectCleanExit(requestedAt time.Time) {
	GinkgoHelper()
	Eventually(p.session).WithTimeout(max(drainTimeout-time.Since(requestedAt), time.Second)).Should(gexec.Exit(0), "%s", p.log)
	AddReportEntry("stopped after", time.Since(requestedAt).Round(time.Millisecond).String())
}

// expectNoCallerLeft checks that no executor lost the entry instance that it sent a response to.
func (d *deployment) expectNoCallerLeft() {
	GinkgoHelper()
	for id, e := range d.executors {
		for _, event := range e.events() {
			Expect(event.Reason).NotTo(Equal(executor.ReasonCallerDisconnected), "%s: %+v", id, event)
			Expect(event.Kind).NotTo(Equal(executor.EventViolation), "%s: %+v", id, event)
		}
	}
}

// expectNoLeaseExpired checks that no lease of a worker expired, so that the workers always had
// an owner.
func (d *deployment) expectNoLeaseExpired() {
	GinkgoHelper()
	for id, w := range d.workers {
		for _, event := range w.events() {
			Expect(event.Kind).NotTo(Equal(worker.EventLeaseExpiry), "%s: %+v", id, event)
		}
	}
}

// expectHandover waits until one of the remaining instances owns the shard, which must happen
// before the stop ends.
func (d *deployment) expectHandover(requestedAt time.Time, openFeed *feed) {
	GinkgoHelper()
	d.expectOwner(zoneA, max(handoverTimeout-time.Since(requestedAt), 0))
	Expect(openFeed.isOpen()).To(BeTrue(), "the stop ended before the shard was handed over")
}

// stopEntry asks an instance to stop gracefully and removes it from the deployment.
func (d *deployment) stopEntry(e *entryProcess) time.Time {
	requestedAt := time.Now()
	e.terminate()
	delete(d.entries, string(e.ID))
	return requestedAt
}

// waitForJob sends a long-polling request for an unfinished job and returns the status of the
// response, which is sent after the wait.
func (e *entryProcess) waitForJob(jobKey string, wait time.Duration) <-chan string {
	result := make(chan string, 1)
	var group sync.WaitGroup
	group.Go(func() {
		response, err := http.Get(fmt.Sprintf("http://%s/jobs/rotas/%s?wait=%s", e.Caller, jobKey, wait))
		if err != nil {
			result <- err.Error()
			return
		}
		defer response.Body.Close()
		if _, err := io.ReadAll(response.Body); err != nil {
			result <- err.Error()
			return
		}
		result <- response.Status
	})
	return result
}

var _ = Describe("A graceful stop", Label("graceful-stop"), func() {
	// Guards against requests and feeds that are cut off when their instance stops.
	It("cuts off no request or feed of the shard's owner under load", func() {
		d := startZoneWithExecutors(2)
		owner := d.expectOwner(zoneA, takeoverTimeout)
		owner.submit("batch", 6, payload{Work: handoverTaskDuration, Result: "built"})
		requestLoad := startLoad(owner)
		requestLoad.expectMore(50, loadStartTimeout)
		roster := openFeed(owner, "roster", 2*feedLines, feedInterval)
		stopRequestedAt := d.stopEntry(owner)
		d.expectHandover(stopRequestedAt, roster)
		roster.expectComplete(drainTimeout)
		owner.expectCleanExit(stopRequestedAt)
		requestLoad.expectNoneInterrupted()
		d.expectNoCallerLeft()
		for _, e := range d.entries {
			e.expectServed(time.Second)
			e.expectSucceeded("batch", 6, takeoverTimeout+2*handoverTaskDuration)
		}
		d.expectNoLeaseExpired()
	})

	// Guards against a load balancer that sends new requests to an instance that refuses them.
	It("makes the instance unready while open feeds continue", func() {
		d := startZoneWithExecutors(2)
		e := d.entry("entry-1")
		roster := openFeed(e, "roster", feedLines, feedInterval)
		stopRequestedAt := d.stopEntry(e)
		Eventually(e.readyStatus).WithTimeout(balancerCheckInterval).WithPolling(20 * time.Millisecond).
			Should(Equal(http.StatusServiceUnavailable))
		Expect(roster.isOpen()).To(BeTrue())
		Eventually(d.listedState).WithArguments("entry-1").WithTimeout(balancerCheckInterval).Should(Equal(membership.Leaving))
		status, outcome, _ := e.request("/check?work=5ms", nil)
		Expect([]any{status, outcome}).To(Or(Equal([]any{http.StatusOK, "Completed"}),
			Equal([]any{http.StatusServiceUnavailable, "NotRun"})))
		Expect(roster.isOpen()).To(BeTrue())
		roster.expectComplete(drainTimeout)
		e.expectCleanExit(stopRequestedAt)
		d.expectNoCallerLeft()
	})

	// Guards against handing a shard over to an instance that is stopping too.
	It("hands the shard to a running instance when two instances stop at the same time", func() {
		d := startZoneWithExecutors(3)
		owner := d.expectOwner(zoneA, takeoverTimeout)
		owner.submit("batch", 6, payload{Work: handoverTaskDuration, Result: "built"})
		var other *entryProcess
		for _, e := range d.entries {
			if e != owner {
				other = e
			}
		}
		stopping := []*entryProcess{owner, other}
		var loads []*load
		var rosters []*feed
		for _, e := range stopping {
			loads = append(loads, startLoad(e))
			rosters = append(rosters, openFeed(e, "roster-"+string(e.ID), 2*feedLines, feedInterval))
		}
		for _, requestLoad := range loads {
			requestLoad.expectMore(20, loadStartTimeout)
		}
		stopRequestedAt := time.Now()
		for _, e := range stopping {
			d.stopEntry(e)
		}
		d.expectHandover(stopRequestedAt, rosters[0])
		for _, roster := range rosters {
			roster.expectComplete(drainTimeout)
		}
		for n, e := range stopping {
			e.expectCleanExit(stopRequestedAt)
			loads[n].expectNoneInterrupted()
		}
		d.expectNoCallerLeft()
		for _, e := range d.entries {
			e.expectServed(time.Second)
			e.expectSucceeded("batch", 6, takeoverTimeout+2*handoverTaskDuration)
		}
		d.expectNoLeaseExpired()
	})

	// Guards against a stop that waits for the store, or that cuts off requests during the
	// outage.
	It("ends in time during a store outage", func() {
		d := startZoneWithExecutors(2)
		owner := d.expectOwner(zoneA, takeoverTimeout)
		owner.submit("batch", 4, payload{Work: 3 * time.Second, Result: "built"})
		requestLoad := startLoad(owner)
		requestLoad.expectMore(20, loadStartTimeout)
		roster := openFeed(owner, "roster", feedLines, feedInterval)
		d.setFaults(storeOutage)
		stopRequestedAt := d.stopEntry(owner)
		Eventually(owner.readyStatus).WithTimeout(balancerCheckInterval).Should(Equal(http.StatusServiceUnavailable))
		roster.expectComplete(drainTimeout)
		owner.expectCleanExit(stopRequestedAt)
		requestLoad.expectNoneInterrupted()
		d.expectNoCallerLeft()
		for _, e := range d.entries {
			e.expectServed(time.Second)
		}
		d.setFaults(platform.Faults{})
		for _, e := range d.entries {
			e.expectSucceeded("batch", 4, takeoverTimeout+2*handoverTaskDuration)
		}
	})

	// Guards against a stop that counts only service requests as in flight.
	It("responds to a long-polling request for a job before the instance exits", func() {
		d := startZoneWithExecutors(2)
		e := d.entry("entry-1")
		e.submit("long", 1, payload{Work: time.Minute, Result: "built"})
		jobStatus := e.waitForJob("long", 12*time.Second)
		Consistently(jobStatus).WithTimeout(time.Second).ShouldNot(Receive())
		stopRequestedAt := d.stopEntry(e)
		Eventually(jobStatus).WithTimeout(drainTimeout).Should(Receive(Equal("200 OK")))
		e.expectCleanExit(stopRequestedAt)
	})
})

// listedState returns the state of an instance in the membership list.
func (d *deployment) listedState(id string) membership.State {
	for _, instance := range d.listInstances() {
		if string(instance.ID) == id {
			return instance.State
		}
	}
	return ""
}
