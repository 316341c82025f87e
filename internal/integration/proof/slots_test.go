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
	// fewSlots and narrowConnections are so few that the callers of two instances
	// fill the slots. Fewer slots than 8 leave so few to lend on demand that a share of
	// them rounds up to all.
	fewSlots       = 8
	fewConnections = 20
	// onDemandSlots is what requests can still use while the base grants of a dead or frozen
	// instance are lost: the half that is lent on demand.
	onDemandSlots = fewSlots / 2
	// overloadCallers is the number of callers of an instance, one of them with some feeds.
	overloadCallers = 7
	// overloadRatePerCaller bounds the requests of one caller per second.
	overloadRatePerCaller = 20
	// overloadRequestDuration is the run time of a request, long enough to keep slots full.
	overloadRequestDuration = 250 * time.Millisecond
	// relendDelay is when an owner may lend again what was lent on demand to a holder
	// that is silent: the grant term and the longest request, with 2 % clock drift.
	relendDelay = (15*time.Second + deskMaxDuration) * 103 / 100
	// minMoreServed is how many more requests an instance must serve to show that it goes on.
	minMoreServed = 10
)

// overload sends requests and short feeds to an entry instance, more than the
// executors can take at once. The load is that of the specs of this file.
type overload struct {
	served atomic.Int64
	stop   func()

	mu sync.Mutex
	// outcomes counts the answers by outcome and reason.
	outcomes map[string]int
}

// startOverload begins to send until halt or the end of the spec. Requests that fail are part
// of a failure and not counted.
func startOverload(e *entryProcess) *overload {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	p := &overload{outcomes: map[string]int{}}
	p.stop = func() {
		cancel()
		group.Wait()
	}
	DeferCleanup(p.stop)
	for n := range overloadCallers {
		group.Go(func() { p.run(ctx, e, n) })
	}
	return p
}

func (p *overload) run(ctx context.Context, e *entryProcess, caller int) {
	limiter := rate.NewLimiter(overloadRatePerCaller, 1)
	for n := 0; limiter.Wait(ctx) == nil; n++ {
		a := callerRequest{work: overloadRequestDuration, size: 100, seed: fmt.Sprintf("%s-%d-%d", e.ID, caller, n), timeout: deskMaxDuration}
		// A feed leaves the slot of its grant unused while it holds the connection, so a
		// caller that always has one would keep the slots from being full.
		if caller == 0 && n%4 == 0 {
			a.work, a.feed, a.query = 0, true, "feed=true&lines=5&interval=100ms&heartbeat=200ms"
		}
		sending, cancel := context.WithTimeout(ctx, callTimeout)
		r := e.sendRequest(sending, a)
		cancel()
		p.mu.Lock()
		p.outcomes[string(r.outcome)+" "+string(r.reason)]++
		p.mu.Unlock()
		if r.err == nil && r.outcome == service.Completed {
			p.served.Add(1)
		}
	}
}

// expectMore waits until so many more requests were served.
func (p *overload) expectMore(count int64, bound time.Duration) {
	GinkgoHelper()
	before := p.served.Load()
	Eventually(p.served.Load).WithTimeout(bound).Should(BeNumerically(">=", before+count), "%s", p)
}

func (p *overload) String() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return fmt.Sprint(p.outcomes)
}

// startExecutorWithFewSlots starts an executor with few slots and connections.
func (d *deployment) startExecutorWithFewSlots(id, host string, connections int) *executorProcess {
	GinkgoHelper()
	e := &executorProcess{id: id, host: host, journal: filepath.Join(d.directory, id+".jsonl"), proxy: newProxy("")}
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
// returns with every instance serving.
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

// startOverloadOnAll sends to every instance.
func (d *deployment) startOverloadOnAll() map[*entryProcess]*overload {
	all := map[*entryProcess]*overload{}
	for _, e := range d.entries {
		all[e] = startOverload(e)
	}
	return all
}

// maxSlotsInUse returns the most slots in use after a time.
func (e *executorProcess) maxSlotsInUse(after time.Time) (most int) {
	for _, event := range e.events() {
		if event.Time.After(after) {
			most = max(most, event.SlotsInUse)
		}
	}
	return most
}

// expectSlotsInUse waits until so many slots of each executor are in use at once after now:
// without load, nothing shows that the bound holds.
func (d *deployment) expectSlotsInUse(slots int) {
	GinkgoHelper()
	now := time.Now()
	for id, e := range d.executors {
		Eventually(e.maxSlotsInUse).WithArguments(now).WithTimeout(takeoverTimeout).WithPolling(200*time.Millisecond).
			Should(BeNumerically(">=", slots), "%s has too little load", id)
	}
}

// expectOnDemandSlotsUsedAgain lets the load go on until a new owner lends the half on demand again,
// which it does only once nothing unreported can be in use, and checks that it is used.
func (d *deployment) expectOnDemandSlotsUsedAgain() {
	GinkgoHelper()
	waitUntilElapsed(time.Now(), relendDelay)
	d.expectSlotsInUse(onDemandSlots)
}

// expectLimitsKept checks that no executor ever was above its slots or connections.
func (d *deployment) expectLimitsKept() {
	GinkgoHelper()
	for id, e := range d.executors {
		for _, event := range e.events() {
			Expect(event.Kind).NotTo(Equal(executor.EventViolation), "%s: %+v", id, event)
			Expect(event.SlotsInUse).To(BeNumerically("<=", fewSlots), "%s: %+v", id, event)
			Expect(event.ConnectionsInUse).To(BeNumerically("<=", fewConnections), "%s: %+v", id, event)
		}
	}
}

// waitUntilElapsed waits until a time has passed.
func waitUntilElapsed(since time.Time, wait time.Duration) {
	GinkgoHelper()
	Eventually(func() time.Duration { return time.Since(since) }).WithTimeout(2 * wait).Should(BeNumerically(">", wait))
}

var _ = Describe("No executor is overcommitted", Label("no-overcommit-slots"), func() {
	// Guards against a successor that lends what the dead owner has lent.
	It("when the owner is killed under load", func() {
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

	// Guards against grants by an owner that was superseded while it was frozen, and
	// against requests under grants that it held.
	It("when the owner is frozen past its authority and thawed under load", func() {
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

	// Guards against requests that a thawed holder starts under grants that ran out
	// and were lent to others.
	It("when a holder is frozen past its grants and thawed under load", func() {
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

	// Guards against a new instance that is lent what the dead one has in use.
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

	// Guards against a successor that meets the demand of a burst before it knows what
	// is lent.
	It("when the owner is killed as a burst begins", func() {
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

	// Guards against an owner that stops to lend, and holders that stop to serve,
	// while the store is away.
	It("when the store is away and the owner alive, and requests go on", func() {
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

	// Guards against a feed that keeps a connection which the owner lends again, when
	// its holder in another zone can't renew.
	It("when the holder of feeds is cut from the owner", func() {
		d := startPlatform()
		link := newProxy("")
		owner := d.startEntry("entry-1", zoneA, "--announce-peer-address", link.Address())
		link.SetTarget(owner.Peer)
		holder := d.startEntry("entry-2", zoneB)
		// As many connections as slots, so that a feed that goes on takes what a request
		// needs.
		d.startExecutorWithFewSlots("executor-1", "worker-1", fewSlots)
		d.publishAndAwaitMembers(zoneA, 1)
		holder.expectServed(readyTimeout)
		first := openFeed(holder, "one", 300, 100*time.Millisecond)
		// A request fetches a slot for the next feed, which has no time to reach so far.
		holder.expectServed(readyTimeout)
		feeds := []*feed{first, openFeed(holder, "two", 300, 100*time.Millisecond)}
		Expect(link.SetFaults(proxy.Faults{Refuse: true})).To(Succeed())
		link.Cut()
		cut := time.Now()
		load := startOverload(owner)
		startOverload(owner)
		for _, f := range feeds {
			Eventually(f.done).WithTimeout(relendDelay+responseSlack).Should(BeClosed(), "feed %s goes on", f.seed)
		}
		waitUntilElapsed(cut, relendDelay)
		load.expectMore(minMoreServed, takeoverTimeout)
		d.expectSlotsInUse(fewSlots)
		d.expectLimitsKept()
	})
})
