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
	// drainBound is the --drain-timeout of the entry instances.
	drainBound = 20 * time.Second
	// balancerCheck is the time between a balancer's looks at an instance; a stopping
	// instance must be unready by then.
	balancerCheck = time.Second
	// loadStart bounds the time in which a load must be served.
	loadStart = 10 * time.Second
	// handOverBound is the lease term of the workers: with a later successor the tasks
	// would stop.
	handOverBound = shard.LeaseTerm
	// handedOverWork is the run time of a task that needs both owners.
	handedOverWork = 15 * time.Second
	// feedLines and feedInterval make a feed outlast a stop without feeds.
	feedLines    = 30
	feedInterval = 200 * time.Millisecond
)

// stopZone starts a zone with so many entry instances, two workers and an executor
// on each.
func stopZone(entries int) *deployment {
	GinkgoHelper()
	d := deploy()
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
		e.expectServed(readyBound)
	}
	d.expectOwner(zoneA, takeoverBound)
	return d
}

// events returns the journal of an executor.
func (e *executorProcess) events() []executor.Event {
	GinkgoHelper()
	return readJournal[executor.Event](e.journal)
}

// expectStopped waits until the process has ended without an error.
func (p *process) expectStopped(asked time.Time) {
	GinkgoHelper()
	Eventually(p.session).WithTimeout(max(drainBound-time.Since(asked), time.Second)).Should(gexec.Exit(0), "%s", p.log)
	AddReportEntry("stopped after", time.Since(asked).Round(time.Millisecond).String())
}

// expectNoneLeft checks that no executor lost the receiver of an answer.
func (d *deployment) expectNoneLeft() {
	GinkgoHelper()
	for id, e := range d.executors {
		for _, event := range e.events() {
			Expect(event.Reason).NotTo(Equal(executor.ReasonCallerLeft), "%s: %+v", id, event)
			Expect(event.Kind).NotTo(Equal(executor.EventViolation), "%s: %+v", id, event)
		}
	}
}

// expectNoLeaseExpired checks that the workers always had an owner.
func (d *deployment) expectNoLeaseExpired() {
	GinkgoHelper()
	for id, w := range d.workers {
		for _, event := range w.events() {
			Expect(event.Kind).NotTo(Equal(worker.EventLeaseExpiry), "%s: %+v", id, event)
		}
	}
}

// expectHandedOver waits until one of the remaining instances runs the shard, which
// must be before the stop ends.
func (d *deployment) expectHandedOver(asked time.Time, while *feed) {
	GinkgoHelper()
	d.expectOwner(zoneA, max(handOverBound-time.Since(asked), 0))
	Expect(while.isOpen()).To(BeTrue(), "the stop ended before the shard was handed over")
}

// stop asks an instance for a planned stop and takes it out of the deployment.
func (d *deployment) stop(e *entryProcess) time.Time {
	asked := time.Now()
	e.terminate()
	delete(d.entries, string(e.ID))
	return asked
}

// look asks for a job that doesn't end soon, and returns the status of the answer,
// which comes after the wait.
func (e *entryProcess) look(key string, wait time.Duration) <-chan string {
	result := make(chan string, 1)
	var group sync.WaitGroup
	group.Go(func() {
		response, err := http.Get(fmt.Sprintf("http://%s/jobs/rotas/%s?wait=%s", e.Caller, key, wait))
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

var _ = Describe("A planned stop", Label("graceful-stop"), func() {
	// Guards against requests and feeds that end with their instance.
	It("cuts off nothing of the shard's owner under load", func() {
		d := stopZone(2)
		owner := d.expectOwner(zoneA, takeoverBound)
		owner.submit("batch", 6, payload{Work: handedOverWork, Result: "built"})
		calls := startLoad(owner)
		calls.expectMore(50, loadStart)
		roster := openFeed(owner, "roster", 2*feedLines, feedInterval)
		asked := d.stop(owner)
		d.expectHandedOver(asked, roster)
		roster.expectWhole(drainBound)
		owner.expectStopped(asked)
		calls.expectNoneCut()
		d.expectNoneLeft()
		for _, e := range d.entries {
			e.expectServed(time.Second)
			e.expectSucceeded("batch", 6, takeoverBound+2*handedOverWork)
		}
		d.expectNoLeaseExpired()
	})

	// Guards against a balancer that sends new requests to an instance that refuses them.
	It("first makes the instance unready while its requests go on", func() {
		d := stopZone(2)
		e := d.entry("entry-1")
		roster := openFeed(e, "roster", feedLines, feedInterval)
		asked := d.stop(e)
		Eventually(e.ready).WithTimeout(balancerCheck).WithPolling(20 * time.Millisecond).
			Should(Equal(http.StatusServiceUnavailable))
		Expect(roster.isOpen()).To(BeTrue())
		Eventually(d.listedState).WithArguments("entry-1").WithTimeout(balancerCheck).Should(Equal(membership.Leaving))
		status, outcome, _ := e.request("/check?work=5ms", nil)
		Expect([]any{status, outcome}).To(Or(Equal([]any{http.StatusOK, "Completed"}),
			Equal([]any{http.StatusServiceUnavailable, "NotRun"})))
		Expect(roster.isOpen()).To(BeTrue())
		roster.expectWhole(drainBound)
		e.expectStopped(asked)
		d.expectNoneLeft()
	})

	// Guards against a shard that goes to an instance that is stopping too.
	It("of two instances at once hands the shard to the third", func() {
		d := stopZone(3)
		owner := d.expectOwner(zoneA, takeoverBound)
		owner.submit("batch", 6, payload{Work: handedOverWork, Result: "built"})
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
		for _, calls := range loads {
			calls.expectMore(20, loadStart)
		}
		asked := time.Now()
		for _, e := range stopping {
			d.stop(e)
		}
		d.expectHandedOver(asked, rosters[0])
		for _, roster := range rosters {
			roster.expectWhole(drainBound)
		}
		for n, e := range stopping {
			e.expectStopped(asked)
			loads[n].expectNoneCut()
		}
		d.expectNoneLeft()
		for _, e := range d.entries {
			e.expectServed(time.Second)
			e.expectSucceeded("batch", 6, takeoverBound+2*handedOverWork)
		}
		d.expectNoLeaseExpired()
	})

	// Guards against a stop that waits for the store, or that cuts requests meanwhile.
	It("ends in time while the store is down", func() {
		d := stopZone(2)
		owner := d.expectOwner(zoneA, takeoverBound)
		owner.submit("batch", 4, payload{Work: 3 * time.Second, Result: "built"})
		calls := startLoad(owner)
		calls.expectMore(20, loadStart)
		roster := openFeed(owner, "roster", feedLines, feedInterval)
		d.setFaults(storeDown)
		asked := d.stop(owner)
		Eventually(owner.ready).WithTimeout(balancerCheck).Should(Equal(http.StatusServiceUnavailable))
		roster.expectWhole(drainBound)
		owner.expectStopped(asked)
		calls.expectNoneCut()
		d.expectNoneLeft()
		for _, e := range d.entries {
			e.expectServed(time.Second)
		}
		d.setFaults(platform.Faults{})
		for _, e := range d.entries {
			e.expectSucceeded("batch", 4, takeoverBound+2*handedOverWork)
		}
	})

	// Guards against a stop that counts only service requests as in flight.
	It("answers a look at a job that waits for its end", func() {
		d := stopZone(2)
		e := d.entry("entry-1")
		e.submit("long", 1, payload{Work: time.Minute, Result: "built"})
		answer := e.look("long", 12*time.Second)
		Consistently(answer).WithTimeout(time.Second).ShouldNot(Receive())
		asked := d.stop(e)
		Eventually(answer).WithTimeout(drainBound).Should(Receive(Equal("200 OK")))
		e.expectStopped(asked)
	})
})

// listedState returns the state of an instance in the membership list.
func (d *deployment) listedState(id string) membership.State {
	for _, instance := range d.listed() {
		if string(instance.ID) == id {
			return instance.State
		}
	}
	return ""
}
