package proof

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/caller/claim"
	"github.com/jacinthtrail/jacinthtrail/internal/caller/service"
	"github.com/jacinthtrail/jacinthtrail/internal/caller/ticket"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
	"github.com/jacinthtrail/jacinthtrail/internal/standin/platform"
	"github.com/jacinthtrail/jacinthtrail/internal/standin/proxy"
)

// lateRunWindow is how long after the end of all traffic a refused request must not run.
const lateRunWindow = time.Second

// expectRefusalsNeverRan ends the traffic and checks the replies against the journals. It checks
// the journals again for a while, since a request may reach an executor late.
func (d *deployment) expectRefusalsNeverRan(replies ...reply) {
	GinkgoHelper()
	AddReportEntry("replies", fmt.Sprint(countByOutcome(replies)))
	expectRetryAfter(replies...)
	expectNoCorruptResponses(replies...)
	d.stopTraffic()
	d.expectOutcomesMatchJournals(replies...)
	Consistently(func(g Gomega) {
		ran := map[string]bool{}
		for _, run := range d.requestRuns() {
			ran[run.Request] = true
		}
		for _, r := range replies {
			g.Expect(r.outcome == service.NotRun && ran[r.request]).To(BeFalse(), "ran after its refusal: %s", r)
		}
	}).WithTimeout(lateRunWindow).Should(Succeed())
}

// expectOutcome checks the outcome and the reason of a reply.
func (r reply) expectOutcome(outcome service.Outcome, reasons ...service.Reason) {
	GinkgoHelper()
	Expect(r.outcome).To(Equal(outcome), "%s", r)
	Expect(r.reason).To(BeElementOf(reasons), "%s", r)
}

// stalledBody returns a request body that stalls after 100 bytes.
func stalledBody() io.Reader {
	reader, writer := io.Pipe()
	var group sync.WaitGroup
	group.Go(func() { _, _ = writer.Write(make([]byte, 100)) })
	DeferCleanup(func() {
		_ = reader.Close()
		group.Wait()
	})
	return reader
}

// mixedRequests returns n requests with a body, by turns non-idempotent and idempotent.
func mixedRequests(n, body int, template callerRequest) []callerRequest {
	requests := make([]callerRequest, n)
	for i := range requests {
		requests[i] = template
		requests[i].nonIdempotent = i%2 == 0
		requests[i].seed = fmt.Sprintf("mixed-%d", i)
		requests[i].body = bytes.NewReader(make([]byte, body))
	}
	return requests
}

// sendEachOnce sends all requests concurrently, each once and by turns through the two
// instances.
func (d *deployment) sendEachOnce(requests []callerRequest) []reply {
	entries := []*entryProcess{d.entry("entry-1"), d.entry("entry-2")}
	return runConcurrently(len(requests), func(i int) reply { return entries[i%2].sendRequest(context.Background(), requests[i]) })
}

// sendAndInterrupt sends requests and calls interrupt once minBytes more bytes were forwarded to
// the executors, or once all requests have a response, since some faults let no request through.
func (d *deployment) sendAndInterrupt(requests []callerRequest, minBytes int64, interrupt func()) []reply {
	GinkgoHelper()
	before := d.bytesToExecutors()
	replies := make(chan []reply, 1)
	var group sync.WaitGroup
	group.Go(func() { replies <- d.sendEachOnce(requests) })
	Eventually(func() bool { return len(replies) > 0 || d.bytesToExecutors() >= before+minBytes }).
		WithTimeout(deskMaxDuration + responseSlack).Should(BeTrue())
	interrupt()
	group.Wait()
	return <-replies
}

var _ = Describe("A request that was refused with the outcome NotRun", Label("true-refusal"), func() {
	// Guards against reporting NotRun with a reason that can occur after bytes were sent to an
	// executor.
	It("never runs for any refusal reason of the entry instance", func() {
		d := startDeskZone(2)
		e := d.entry("entry-1")
		try := func(a callerRequest, reasons ...service.Reason) reply {
			GinkgoHelper()
			r := e.sendRequest(context.Background(), a)
			r.expectOutcome(service.NotRun, reasons...)
			return r
		}
		replies := []reply{
			try(callerRequest{timeout: -time.Second}, service.ReasonInvalid),
			try(callerRequest{path: "/services/none/check"}, service.ReasonUnknownService),
			try(callerRequest{body: bytes.NewReader(make([]byte, 2<<20))}, service.ReasonBodyTooLarge),
			try(callerRequest{body: stalledBody(), timeout: 100 * time.Millisecond}, service.ReasonBodyUnreadable),
			try(callerRequest{timeout: time.Microsecond}, service.ReasonDeadline, "DeadlineTooShort", "Overload"),
			try(callerRequest{key: "not/a-ticket"}, ticket.ReasonFormat),
		}
		d.setFaults(platform.Faults{Table: platform.ServiceFaults{Outage: true}})
		replies = append(replies, try(callerRequest{key: callerMadeKey(d)}, claim.ReasonStoreDown))
		d.setFaults(platform.Faults{})
		d.setExecutorProxyFaults(proxy.Faults{Refuse: true})
		d.cutExecutorConnections()
		replies = append(replies, try(callerRequest{nonIdempotent: true}, "Dial"))
		d.setExecutorProxyFaults(proxy.Faults{})
		d.expectRefusalsNeverRan(replies...)
	})

	// Guards against wrong refusals when a leaving executor refuses a request that another
	// executor runs.
	It("never runs when executors refuse requests", func() {
		d := startDeskZone(2)
		d.executors["executor-1"].setExecutorState(membership.Leaving)
		replies := d.sendAndInterrupt(mixedRequests(20, 10, callerRequest{work: 100 * time.Millisecond, size: 100}), 100, d.cutExecutorConnections)
		d.executors["executor-2"].setExecutorState(membership.Leaving)
		last := d.sendEachOnce(mixedRequests(10, 10, callerRequest{size: 100}))
		for _, r := range last {
			Expect(r.outcome).To(Equal(service.NotRun), "%s", r)
		}
		d.expectRefusalsNeverRan(append(replies, last...)...)
	})

	// Guards against refusing a request because its instance is stopping although the request
	// runs.
	It("never runs when its instance drains, and requests in flight are completed", func() {
		d := startDeskZone(2)
		// Without the unready delay, the instance drains while the request below is in flight.
		e := d.startEntry("entry-3", zoneA, "--unready-delay", "0s")
		e.expectReady()
		e.expectServed(readyTimeout)
		key := callerMadeKey(d)
		pending := d.sendInBackground("entry-3", callerRequest{key: key, work: deskFirstByteTimeout / 2, size: 100, seed: key})
		d.expectKeyRunning(key)
		e.terminate()
		var replies []reply
		Eventually(func() bool {
			r := e.sendRequest(context.Background(), callerRequest{nonIdempotent: true, size: 100, seed: "drain"})
			replies = append(replies, r)
			return r.reason == service.ReasonDraining
		}).WithTimeout(deskMaxDuration).Should(BeTrue(), "no request was refused as draining")
		r := awaitReply(pending)
		Expect(r.complete()).To(BeTrue(), "%s", r)
		d.expectRefusalsNeverRan(append(replies, r)...)
	})

	// Guards against classifying a failure by the stage that the sender reached instead of by
	// the bytes that may have been sent.
	It("never runs when connections are cut at any stage of a request", func() {
		d := startDeskZone(2)
		var replies []reply
		stage := func(name string, faults proxy.Faults, requests []callerRequest, minBytes int64, interrupt func()) {
			GinkgoHelper()
			By(name)
			d.setExecutorProxyFaults(faults)
			replies = append(replies, d.sendAndInterrupt(requests, minBytes, interrupt)...)
			d.setExecutorProxyFaults(proxy.Faults{})
			d.cutExecutorConnections()
		}
		smallRequest := callerRequest{size: 100}
		noInterrupt := func() {}
		stage("dial", proxy.Faults{Refuse: true}, mixedRequests(10, 10, smallRequest), 0, d.cutExecutorConnections)
		for range 10 {
			stage("idle connections", proxy.Faults{}, mixedRequests(8, 10, smallRequest), 0, d.cutExecutorConnections)
		}
		stage("headers", proxy.Faults{ToServer: proxy.Flow{Rate: 400}}, mixedRequests(10, 10, smallRequest), 20, d.cutExecutorConnections)
		stage("body", proxy.Faults{ToServer: proxy.Flow{Rate: 200 << 10}}, mixedRequests(8, 200<<10, smallRequest), 20<<10, d.cutExecutorConnections)
		stage("before the answer", proxy.Faults{}, mixedRequests(8, 10, callerRequest{work: 300 * time.Millisecond, size: 100}), 1000, d.cutExecutorConnections)
		stage("head of the answer", proxy.Faults{CutAfter: 20}, mixedRequests(8, 10, smallRequest), 0, noInterrupt)
		stage("body of the answer", proxy.Faults{CutAfter: 5_000}, mixedRequests(8, 10, callerRequest{size: 200_000}), 0, noInterrupt)
		stage("silence", proxy.Faults{ToServer: proxy.Flow{Silence: true}}, mixedRequests(8, 10, smallRequest), 0, noInterrupt)
		d.expectRefusalsNeverRan(replies...)
	})

	// Guards against refusing a request at its deadline while it is on its way to an executor.
	It("never runs when requests reach the executor after their deadline", func() {
		d := startDeskZone(2)
		d.setExecutorProxyFaults(proxy.Faults{ToServer: proxy.Flow{Delay: 500 * time.Millisecond}})
		replies := d.sendEachOnce(mixedRequests(8, 10, callerRequest{size: 100, timeout: 200 * time.Millisecond}))
		// Waits for a late run, so that closing the connections doesn't drop requests in
		// transit.
		Eventually(func() int { return len(d.unansweredRuns(replies)) }).WithTimeout(deskMaxDuration).
			Should(BeNumerically(">", 0), "no request arrived late: %v", replies)
		d.expectRefusalsNeverRan(replies...)
	})

	// Guards against a request that is sent although its claim was abandoned in the queue.
	It("never runs when the commit of its start record takes longer than the deadline", func() {
		d := startDeskZone(2)
		d.setFaults(platform.Faults{Table: platform.ServiceFaults{Delay: 300 * time.Millisecond}})
		requests := mixedRequests(24, 10, callerRequest{size: 100})
		for i := range requests {
			requests[i].key = callerMadeKey(d)
			requests[i].timeout = time.Duration(i+1) * 50 * time.Millisecond
		}
		replies := d.sendEachOnce(requests)
		d.setFaults(platform.Faults{})
		Expect(countByOutcome(replies)["Completed"]).To(BeNumerically("<", len(replies)), "every request completed although commits were slow")
		d.expectRefusalsNeverRan(replies...)
		d.expectAtMostOnce(replies...)
	})

	// Guards against refusals under overload after a slot was already taken.
	DescribeTable("never runs under overload with cut connections and store faults",
		func(seed uint64) {
			random := rand.New(rand.NewPCG(seed, 0))
			AddReportEntry(fmt.Sprintf("seed %d", seed))
			d := startDeskZone(2)
			var replies []reply
			for range 4 {
				requests := mixedRequests(150, 10, callerRequest{})
				for i := range requests {
					requests[i].work = time.Duration(random.Int64N(int64(100 * time.Millisecond)))
					requests[i].size = random.Int64N(100_000)
					requests[i].timeout = time.Millisecond + time.Duration(random.Int64N(int64(500*time.Millisecond)))
					if requests[i].nonIdempotent && random.IntN(4) == 0 {
						requests[i].key = callerMadeKey(d)
					}
				}
				outage := random.IntN(2) == 0
				d.setFaults(platform.Faults{Table: platform.ServiceFaults{Outage: outage, LoseAcknowledgements: !outage}})
				d.setExecutorProxyFaults(proxy.Faults{CutAfter: random.Int64N(200_000), ToServer: proxy.Flow{Delay: time.Duration(random.Int64N(int64(50 * time.Millisecond)))}})
				replies = append(replies, d.sendAndInterrupt(requests, 1000, d.cutExecutorConnections)...)
				d.setFaults(platform.Faults{})
				d.setExecutorProxyFaults(proxy.Faults{})
			}
			refused := 0
			for _, r := range replies {
				if r.outcome == service.NotRun {
					refused++
				}
			}
			Expect(refused).To(BeNumerically(">", 0))
			d.expectRefusalsNeverRan(replies...)
			d.expectAtMostOnce()
		},
		Entry("seed 1", uint64(1)), Entry("seed 2", uint64(2)), Entry("seed 3", uint64(3)),
	)
})

// unansweredRuns returns the replies with an outcome other than Completed whose request ran.
func (d *deployment) unansweredRuns(replies []reply) []reply {
	GinkgoHelper()
	ran := map[string]bool{}
	for _, run := range d.requestRuns() {
		ran[run.Request] = true
	}
	var late []reply
	for _, r := range replies {
		if r.outcome != service.Completed && ran[r.request] {
			late = append(late, r)
		}
	}
	return late
}
