package proof

import (
	"context"
	"fmt"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/time/rate"

	"github.com/jacinthtrail/jacinthtrail/internal/caller/service"
	"github.com/jacinthtrail/jacinthtrail/internal/standin/executor"
	"github.com/jacinthtrail/jacinthtrail/internal/standin/httpserver"
	"github.com/jacinthtrail/jacinthtrail/internal/standin/platform"
	"github.com/jacinthtrail/jacinthtrail/internal/standin/proxy"
)

const (
	// fewSlots and fewConnections are so few that the callers of two instances use all slots.
	// With fewer than 8 slots, so few remain to be lent on demand that a share of them rounds up
	// to all.
	fewSlots       = 8
	fewConnections = 20
	// onDemandSlots is the number of slots that are lent on demand: half of them. Requests can
	// still use these while the base grants of a dead or frozen instance are unavailable.
	onDemandSlots = fewSlots / 2
	// overloadCallers is the number of concurrent callers of an instance. One of them also opens
	// feeds.
	overloadCallers = 7
	// overloadRatePerCaller limits the requests of one caller per second.
	overloadRatePerCaller = 20
	// overloadRequestDuration is the run time of a request, long enough to keep all slots in
	// use.
	overloadRequestDuration = 250 * time.Millisecond
	// relendDelay is the time after which an owner may lend the on-demand slots of a silent
	// holder again: the grant term and the longest request, with 2 % clock drift and
	// 1 % for the time to notice.
	relendDelay = (15*time.Second + deskMaxDuration) * 103 / 100
	// minMoreServed is how many more requests an instance must serve to prove that it still
	// works.
	minMoreServed = 10
)

// overload sends requests and short feeds to an entry instance, more than the executors can run
// at the same time.
type overload struct {
	served atomic.Int64
	stop   func()

	mu sync.Mutex
	// outcomes counts the responses by outcome and reason.
	outcomes map[string]int
}

// startOverload sends requests until stop is called or until the end of the spec. Failed
// requests are expected during a fault and don't count as served.
func startOverload(e *entryProcess) *overload {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	o := &overload{outcomes: map[string]int{}}
	o.stop = func() {
		cancel()
		group.Wait()
	}
	DeferCleanup(o.stop)
	for n := range overloadCallers {
		group.Go(func() { o.run(ctx, e, n) })
	}
	return o
}

func (o *overload) run(ctx context.Context, e *entryProcess, caller int) {
	limiter := rate.NewLimiter(overloadRatePerCaller, 1)
	for n := 0; limiter.Wait(ctx) == nil; n++ {
		request := callerRequest{work: overloadRequestDuration, size: 100, seed: fmt.Sprintf("%s-%d-%d", e.ID, caller, n), timeout: deskMaxDuration}
		// A feed holds a connection but not the slot of its grant, so a caller that always has a
		// feed would keep the slots from being fully used.
		if caller == 0 && n%4 == 0 {
			request.work, request.feed, request.query = 0, true, "feed=true&lines=5&interval=100ms&heartbeat=200ms"
		}
		requestCtx, cancel := context.WithTimeout(ctx, callTimeout)
		reply := e.sendRequest(requestCtx, request)
		cancel()
		o.mu.Lock()
		o.outcomes[string(reply.outcome)+" "+string(reply.reason)]++
		o.mu.Unlock()
		if reply.err == nil && reply.outcome == service.Completed {
			o.served.Add(1)
		}
	}
}

// expectMore waits until at least count more requests were served.
func (o *overload) expectMore(count int64, timeout time.Duration) {
	GinkgoHelper()
	before := o.served.Load()
	Eventually(o.served.Load).WithTimeout(timeout).Should(BeNumerically(">=", before+count), "%s", o)
}

func (o *overload) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return fmt.Sprint(o.outcomes)
}

// startExecutorWithFewSlots starts an executor with few slots and connections.
func (d *deployment) startExecutorWithFewSlots(id, host string, connections int) *executorProcess {
	GinkgoHelper()
	e := &executorProcess{
		id: id, host: host, connections: connections, journal: filepath.Join(d.directory, id+".jsonl"), proxy: newProxy(""),
	}
	var ready httpserver.Ready
	e.process = start(&ready, "standin", "executor", "--id", id, "--zone", zoneA, "--region", "region-"+zoneA,
		"--host", host, "--service", "desk", "--slots", strconv.Itoa(fewSlots),
		"--connections", strconv.Itoa(connections), "--processors", "1000", "--memory", "1000000000",
		"--platform", d.platformAddress, "--announce-address", e.proxy.Address(), "--journal-file", e.journal)
	e.address = ready.Address
	e.proxy.SetTarget(ready.Address)
	d.executors[id] = e
	return e
}

// startZoneWithFewSlots starts a zone of entry instances and an executor with few slots, and
// waits until every instance serves requests.
func startZoneWithFewSlots(entries int) *deployment {
	GinkgoHelper()
	d := startZoneProcesses(entries, 0)
	d.startExecutorWithFewSlots("executor-1", "worker-1", fewConnections)
	d.publishAndAwaitMembers(zoneA, entries)
	for _, e := range d.entries {
		e.expectServed(readyTimeout)
	}
	return d
}

// startOverloadOnAll starts an overload on every entry instance.
func (d *deployment) startOverloadOnAll() map[*entryProcess]*overload {
	all := map[*entryProcess]*overload{}
	for _, e := range d.entries {
		all[e] = startOverload(e)
	}
	return all
}

// maxSlotsInUse returns the highest number of slots in use after a time.
func (e *executorProcess) maxSlotsInUse(after time.Time) (most int) {
	for _, event := range e.events() {
		if event.Time.After(after) {
			most = max(most, event.SlotsInUse)
		}
	}
	return most
}

// expectSlotsInUse waits until at least the given number of slots of each executor is in use at
// once after now. Without such load, the spec would not test the limit.
func (d *deployment) expectSlotsInUse(slots int) {
	GinkgoHelper()
	now := time.Now()
	for id, e := range d.executors {
		Eventually(e.maxSlotsInUse).WithArguments(now).WithTimeout(takeoverTimeout).WithPolling(200*time.Millisecond).
			Should(BeNumerically(">=", slots), "%s has too few slots in use", id)
	}
}

// expectOnDemandSlotsUsedAgain waits until a new owner may lend the on-demand half of the slots
// again, which it does only when no unreported use is possible, and checks that these slots are
// used.
func (d *deployment) expectOnDemandSlotsUsedAgain() {
	GinkgoHelper()
	waitUntilElapsed(time.Now(), relendDelay)
	d.expectSlotsInUse(onDemandSlots)
}

// expectLimitsKept checks that no executor ever exceeded its slots or connections.
func (d *deployment) expectLimitsKept() {
	GinkgoHelper()
	for id, e := range d.executors {
		for _, event := range e.events() {
			Expect(event.Kind).NotTo(Equal(executor.EventViolation), "%s: %+v", id, event)
			Expect(event.SlotsInUse).To(BeNumerically("<=", fewSlots), "%s: %+v", id, event)
			Expect(event.ConnectionsInUse).To(BeNumerically("<=", e.connections), "%s: %+v", id, event)
		}
	}
}

// waitUntilElapsed waits until more than the given time has elapsed since a moment.
func waitUntilElapsed(since time.Time, wait time.Duration) {
	GinkgoHelper()
	Eventually(func() time.Duration { return time.Since(since) }).WithTimeout(2 * wait).Should(BeNumerically(">", wait))
}

var _ = Describe("Executor slots", Label("no-overcommit-slots"), func() {
	// Guards against a successor that lends slots which the dead owner has already lent.
	It("grants stay within the executor's limits when the owner is killed under load", func() {
		d := startZoneWithFewSlots(3)
		loads := d.startOverloadOnAll()
		d.expectSlotsInUse(fewSlots)
		owner := d.expectOwner(zoneA, time.Second)
		d.killEntry(owner)
		loads[owner].stop()
		other := d.expectOwner(zoneA, takeoverTimeout)
		loads[other].expectMore(minMoreServed, takeoverTimeout)
		d.expectOnDemandSlotsUsedAgain()
		d.expectLimitsKept()
	})

	// Guards against grants by an owner that was superseded while it was frozen, and against
	// requests that it runs under its own old grants.
	It("grants stay within the executor's limits when the owner is frozen until its authority expires and thawed under load", func() {
		d := startZoneWithFewSlots(3)
		loads := d.startOverloadOnAll()
		d.expectSlotsInUse(fewSlots)
		owner := d.expectOwner(zoneA, time.Second)
		owner.freeze()
		frozen := time.Now()
		delete(d.entries, string(owner.ID))
		d.expectOwner(zoneA, takeoverTimeout)
		waitUntilElapsed(frozen, relendDelay)
		d.expectSlotsInUse(onDemandSlots)
		owner.thaw()
		loads[owner].expectMore(minMoreServed, takeoverTimeout)
		d.expectOnDemandSlotsUsedAgain()
		d.expectLimitsKept()
	})

	// Guards against requests that a thawed holder starts under grants that expired and were
	// lent to other instances.
	It("grants stay within the executor's limits when a holder is frozen until its grants expire and thawed under load", func() {
		d := startZoneWithFewSlots(3)
		loads := d.startOverloadOnAll()
		d.expectSlotsInUse(fewSlots)
		holder := d.otherEntry(d.expectOwner(zoneA, time.Second))
		holder.freeze()
		waitUntilElapsed(time.Now(), relendDelay)
		d.expectSlotsInUse(onDemandSlots)
		holder.thaw()
		loads[holder].expectMore(minMoreServed, takeoverTimeout)
		d.expectOnDemandSlotsUsedAgain()
		d.expectLimitsKept()
	})

	// Guards against lending a new instance the slots that the dead one still uses.
	It("when a holder is replaced by one with a new id under load", Label("known-red"), func() {
		d := startZoneWithFewSlots(2)
		loads := d.startOverloadOnAll()
		d.expectSlotsInUse(fewSlots)
		holder := d.otherEntry(d.expectOwner(zoneA, time.Second))
		d.killEntry(holder)
		loads[holder].stop()
		replacement := d.startEntry("entry-3", zoneA)
		replacement.expectReady()
		startOverload(replacement).expectMore(minMoreServed, takeoverTimeout+relendDelay)
		d.expectOnDemandSlotsUsedAgain()
		d.expectLimitsKept()
	})

	// Guards against a successor that lends slots for a burst of requests before it knows which
	// slots are lent.
	It("grants stay within the executor's limits when the owner is killed as a burst begins", func() {
		d := startZoneWithFewSlots(3)
		owner := d.expectOwner(zoneA, time.Second)
		loads := d.startOverloadOnAll()
		loads[d.otherEntry(owner)].expectMore(1, takeoverTimeout)
		d.killEntry(owner)
		loads[owner].stop()
		other := d.expectOwner(zoneA, takeoverTimeout)
		loads[other].expectMore(minMoreServed, takeoverTimeout)
		d.expectOnDemandSlotsUsedAgain()
		d.expectLimitsKept()
	})

	// Guards against an owner that stops lending and holders that stop serving during a store
	// outage.
	It("grants stay within the executor's limits during a store outage, and requests are still served", func() {
		d := startZoneWithFewSlots(2)
		loads := d.startOverloadOnAll()
		d.expectSlotsInUse(fewSlots)
		d.setFaults(platform.Faults{Table: platform.ServiceFaults{Outage: true}, Object: platform.ServiceFaults{Outage: true}})
		waitUntilElapsed(time.Now(), relendDelay)
		for _, load := range loads {
			load.expectMore(minMoreServed, 5*time.Second)
		}
		d.setFaults(platform.Faults{})
		d.expectOnDemandSlotsUsedAgain()
		d.expectLimitsKept()
	})

	// Guards against a feed that keeps a connection which the owner lends again after the holder
	// in another zone could not renew its grant.
	It("grants stay within the executor's limits when a holder with feeds is disconnected from the owner", func() {
		d := startPlatform()
		link := newProxy("")
		owner := d.startEntry("entry-1", zoneA, "--announce-peer-address", link.Address())
		link.SetTarget(owner.Peer)
		holder := d.startEntry("entry-2", zoneB)
		// The executor has as many connections as slots, so that a feed that stays open takes
		// the connection of a request.
		d.startExecutorWithFewSlots("executor-1", "worker-1", fewSlots)
		d.publishAndAwaitMembers(zoneA, 1)
		holder.expectServed(readyTimeout)
		first := openFeed(holder, "one", 300, 100*time.Millisecond)
		// Serving a request obtains a slot in advance for the next feed, whose deadline is too
		// short to ask the owner in the other zone.
		holder.expectServed(readyTimeout)
		feeds := []*feed{first, openFeed(holder, "two", 300, 100*time.Millisecond)}
		Expect(link.SetFaults(proxy.Faults{Refuse: true})).To(Succeed())
		link.Cut()
		cut := time.Now()
		load := startOverload(owner)
		startOverload(owner)
		for _, f := range feeds {
			Eventually(f.done).WithTimeout(relendDelay+responseSlack).Should(BeClosed(), "feed %s is still open", f.seed)
		}
		waitUntilElapsed(cut, relendDelay)
		load.expectMore(minMoreServed, takeoverTimeout)
		d.expectSlotsInUse(fewSlots)
		d.expectLimitsKept()
	})
})
