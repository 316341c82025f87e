package proof

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/caller/service"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/manifest"
	"github.com/jacinthtrail/jacinthtrail/internal/standin/executor"
	"github.com/jacinthtrail/jacinthtrail/internal/standin/proxy"
)

// longMaxDuration is a MaxDuration that is far above what giving up may take.
const longMaxDuration = 20 * time.Second

// giveUpTimeout is the time in which a request that no executor answers must be given
// up: each attempt has its own bound.
const giveUpTimeout = service.MaxAttempts * (deskFirstByteTimeout + deskIdleTimeout)

// setLongMaxDuration makes requests last until patientDuration unless they are given up.
func setLongMaxDuration(desk *manifest.Service) {
	desk.MaxDuration = manifest.Duration(longMaxDuration)
}

// sendThroughBoth sends each request through both entry instances at once.
func (d *deployment) sendThroughBoth(requests ...callerRequest) []reply {
	entries := []*entryProcess{d.entry("entry-1"), d.entry("entry-2")}
	return runConcurrently(2*len(requests), func(i int) reply {
		a := requests[i/2]
		a.seed = fmt.Sprintf("%s-%d", a.seed, i)
		return entries[i%2].sendRequest(context.Background(), a)
	})
}

// expectGivenUp checks that the requests got no whole answer and that all were
// answered or aborted within a bound.
func expectGivenUp(bound time.Duration, replies ...reply) {
	GinkgoHelper()
	expectNoCorruptResponses(replies...)
	expectRetryAfter(replies...)
	for _, r := range replies {
		Expect(r.complete()).To(BeFalse(), "%s", r)
		Expect(r.took).To(BeNumerically("<", bound+responseSlack), "%s", r)
	}
}

var _ = Describe("Whole answers", Label("whole-answer"), func() {
	// Guards against an answer that looks complete but ended early, on both sides of
	// the bytes that are buffered for a retry.
	It("never passes on an answer as complete when the executor dies within it", func() {
		d := startDeskZone(2)
		const size = 300_000
		var asks []callerRequest
		for _, at := range []int{0, 1, service.MaxBuffered - 1, service.MaxBuffered, service.MaxBuffered + 1, 200_000, size - 1} {
			for _, chunked := range []bool{false, true} {
				asks = append(asks, callerRequest{size: size, seed: "die", query: fmt.Sprintf("dieAfter=%d&chunked=%t", at, chunked)})
			}
		}
		// Without the end of the chunks the last byte doesn't show that it is the last.
		asks = append(asks, callerRequest{size: size, seed: "end", query: fmt.Sprintf("dieAfter=%d&chunked=true", size)})
		asks = append(asks, callerRequest{size: 100, seed: "short", query: "dieAfter=100&chunked=true"})
		asks = append(asks, callerRequest{seed: "feed", feed: true, query: "feed=true&interval=10ms&dieAfter=100"})
		for _, a := range asks {
			expectGivenUp(deskMaxDuration, d.sendThroughBoth(a)...)
		}
		d.stopTraffic()
	})

	// Guards against a retry that mixes the parts of two answers, and against a cut that
	// the proxy's end of the stream hides.
	It("never passes on an answer as complete when the connection is cut within it", func() {
		d := startDeskZone(2)
		for _, after := range []int64{1, 100, 300, 5_000, service.MaxBuffered, 100_000} {
			Expect(d.executors["executor-1"].proxy.SetFaults(proxy.Faults{CutAfter: after})).To(Succeed())
			replies := d.sendThroughBoth(callerRequest{size: 10, seed: "a"}, callerRequest{size: 60_000, seed: "b"}, callerRequest{size: 200_000, seed: "c"},
				callerRequest{size: 200_000, seed: "d", query: "chunked=true"}, callerRequest{size: 60_000, seed: "e", nonIdempotent: true})
			expectNoCorruptResponses(replies...)
			expectRetryAfter(replies...)
		}
		d.stopTraffic()
		d.expectOutcomesMatchJournals()
	})

	// Guards against a crash of the executor that looks like the end of its answers.
	It("never passes on an answer as complete when the executor is killed within it", func() {
		d := startDeskZone(1)
		d.publishDeskSettings(func(desk *manifest.Service) {
			setLongMaxDuration(desk)
			desk.IdleTimeout = manifest.Duration(longMaxDuration)
		})
		answers := make(chan []reply, 1)
		done := runInBackground(func() reply {
			answers <- d.sendThroughBoth(callerRequest{size: 150_000, seed: "a", query: "silentAfter=100000"},
				callerRequest{size: 150_000, seed: "b", query: "silentAfter=100000&chunked=true"},
				callerRequest{seed: "c", feed: true, query: "feed=true&interval=10ms"})
			return reply{}
		})
		e := d.executors["executor-1"]
		Eventually(e.bytesToEntries).WithTimeout(deskMaxDuration).Should(BeNumerically(">", 4*100_000))
		killed := time.Now()
		e.kill()
		awaitReply(done)
		replies := <-answers
		expectGivenUp(killed.Sub(replies[0].began), replies...)
		d.stopTraffic()
	})

	// Guards against a crash of the entry instance that looks like the end of an answer.
	It("never passes on an answer as complete when the entry instance is killed within it", func() {
		d := startDeskZone(1)
		sent := make(chan []reply, 1)
		e := d.entry("entry-1")
		asks := []callerRequest{
			{size: 150_000, seed: "a", query: "silentAfter=100000"},
			{size: 150_000, seed: "b", query: "silentAfter=100000&chunked=true"},
			{seed: "c", feed: true, query: "feed=true&interval=10ms"},
		}
		done := runInBackground(func() reply {
			sent <- runConcurrently(len(asks), func(i int) reply { return e.sendRequest(context.Background(), asks[i]) })
			return reply{}
		})
		Eventually(d.executors["executor-1"].bytesToEntries).WithTimeout(deskMaxDuration).Should(BeNumerically(">", 2*100_000))
		e.kill()
		awaitReply(done)
		for _, r := range <-sent {
			Expect(r.err).To(HaveOccurred(), "%s", r)
			Expect(r.corrupt).To(BeFalse(), "%s", r)
		}
		d.stopTraffic()
	})

	// Guards against callers of HTTP/1.0, to whom the end of the connection is the end of
	// an answer without a length.
	It("never passes on an answer as complete to a caller of HTTP/1.0", func() {
		d := startDeskZone(1)
		conn, err := net.Dial("tcp", d.entry("entry-1").Caller)
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		_, err = io.WriteString(conn, "GET /services/desk/check?size=300000&seed=old&chunked=true&dieAfter=200000 HTTP/1.0\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		Expect(conn.SetReadDeadline(time.Now().Add(deskMaxDuration + responseSlack))).To(Succeed())
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		if response.Header.Get(service.HeaderOutcome) == string(service.Completed) {
			_, err = io.Copy(io.Discard, response.Body)
			Expect(err).To(HaveOccurred(), "an answer that was cut off looks complete")
		}
		d.stopTraffic()
	})

	// Guards against answers that are swapped between requests on reused connections,
	// also when callers leave in the middle of theirs.
	DescribeTable("gives each of many callers the whole answer to its own request",
		func(seed uint64) {
			random := rand.New(rand.NewPCG(seed, 0))
			AddReportEntry(fmt.Sprintf("seed %d", seed))
			d := startDeskZone(2)
			d.setExecutorProxyFaults(proxy.Faults{ToClient: proxy.Flow{Delay: 30 * time.Millisecond}})
			replies := d.sendFromManyCallers(random, 200)
			AddReportEntry("replies", fmt.Sprint(countByOutcome(replies)))
			expectNoCorruptResponses(replies...)
			expectRetryAfter(replies...)
			whole := 0
			for _, r := range replies {
				if r.complete() {
					whole++
				}
			}
			Expect(whole).To(BeNumerically(">", len(replies)/2), "%v", countByOutcome(replies))
			d.stopTraffic()
			d.expectOutcomesMatchJournals(replies...)
		},
		Entry("seed 1", uint64(1)), Entry("seed 2", uint64(2)), Entry("seed 3", uint64(3)),
	)

	// Guards against requests that wait on a dead connection until their deadline, and
	// against dead connections that are used again.
	DescribeTable("gives up on silent connections at once and dials new ones",
		func(nonIdempotent bool, bound time.Duration) {
			d := startDeskZone(2)
			d.publishDeskSettings(setLongMaxDuration)
			asks := []callerRequest{{size: 100, seed: "warm"}, {size: 100, seed: "warm"}, {size: 100, seed: "warm"}}
			d.sendThroughBoth(asks...)
			for _, e := range d.executors {
				e.proxy.SilenceExisting()
			}
			for i := range asks {
				asks[i].nonIdempotent = nonIdempotent
			}
			replies := d.sendThroughBoth(asks...)
			expectNoCorruptResponses(replies...)
			expectRetryAfter(replies...)
			for _, r := range replies {
				Expect(r.took).To(BeNumerically("<", bound+responseSlack), "%s", r)
			}
			for _, e := range d.entries {
				e.expectServed(deskFirstByteTimeout + responseSlack)
			}
			d.cutExecutorConnections()
			d.stopTraffic()
			d.expectOutcomesMatchJournals(replies...)
		},
		Entry("for idempotent requests", false, giveUpTimeout),
		Entry("for non-idempotent requests", true, deskFirstByteTimeout),
	)

	// Guards against retries that spend their attempts on further silent connections,
	// one after the other.
	It("retries on a new connection when all open ones to the only executor are silent", func() {
		d := startDeskZone(1)
		d.publishDeskSettings(setLongMaxDuration)
		e := d.entry("entry-1")
		for range 10 {
			// Four at once leave several idle connections and pay for retries.
			runConcurrently(4, func(int) reply {
				return e.sendRequest(context.Background(), callerRequest{size: 10, seed: "warm", work: 5 * time.Millisecond})
			})
		}
		d.executors["executor-1"].proxy.SilenceExisting()
		r := e.sendRequest(context.Background(), callerRequest{size: 10, seed: "again"})
		Expect(r.complete()).To(BeTrue(), "%s", r)
		Expect(r.took).To(BeNumerically("<", deskFirstByteTimeout+responseSlack), "%s", r)
		d.cutExecutorConnections()
		d.stopTraffic()
	})

	// Guards against holding requests until near their deadline.
	It("gives up at once on executors that answer nothing", func() {
		d := startDeskZone(2)
		d.publishDeskSettings(setLongMaxDuration)
		for _, e := range d.executors {
			e.setExecutorFaults(executor.Faults{Silent: true})
		}
		replies := d.sendThroughBoth(callerRequest{size: 100, seed: "silent"})
		expectGivenUp(giveUpTimeout, replies...)
		replies = d.sendThroughBoth(callerRequest{size: 100, seed: "once", nonIdempotent: true})
		expectGivenUp(deskFirstByteTimeout, replies...)
		for _, e := range d.executors {
			e.setExecutorFaults(executor.Faults{})
		}
		for _, e := range d.entries {
			e.expectServed(readyTimeout)
		}
		d.stopTraffic()
	})

	// Guards against latency estimates of silent executors that hold requests beside free
	// slots until their deadline, also long after the executors answer again.
	It("serves requests with short deadlines at once when silent executors answer again", func() {
		const timeout = time.Second
		d := startDeskZone(2)
		d.publishDeskSettings(func(desk *manifest.Service) { desk.FirstByteTimeout = manifest.Duration(2 * timeout) })
		for i := range 40 {
			// Run times differ, so that the tail of the latency is well above its mean.
			d.sendThroughBoth(callerRequest{size: 10, seed: "warm", work: time.Duration(5+i%5/4*45) * time.Millisecond})
		}
		for _, e := range d.executors {
			e.setExecutorFaults(executor.Faults{Silent: true})
		}
		var replies []reply
		for range 8 {
			replies = append(replies, d.sendThroughBoth(callerRequest{size: 10, seed: "a", timeout: timeout}, callerRequest{size: 10, seed: "b", timeout: timeout})...)
		}
		for _, e := range d.executors {
			e.setExecutorFaults(executor.Faults{})
		}
		for _, e := range d.entries {
			Eventually(func() service.Outcome {
				r := e.sendRequest(context.Background(), callerRequest{size: 10, seed: "again", nonIdempotent: true, timeout: timeout})
				replies = append(replies, r)
				return r.outcome
			}).WithTimeout(deskMaxDuration + responseSlack).Should(Equal(service.Completed))
		}
		for _, r := range replies {
			if r.outcome == service.NotRun {
				Expect(r.took).To(BeNumerically("<", timeout/2), "was held before its refusal: %s", r)
			}
		}
		d.stopTraffic()
		d.expectOutcomesMatchJournals(replies...)
	})

	// Guards against answers that pause for good after their beginning.
	It("gives up within the idle bound on an answer that pauses for good", func() {
		d := startDeskZone(2)
		d.publishDeskSettings(setLongMaxDuration)
		for _, at := range []int{10, service.MaxBuffered + 1000} {
			query := fmt.Sprintf("silentAfter=%d", at)
			expectGivenUp(deskFirstByteTimeout+deskIdleTimeout, d.sendThroughBoth(callerRequest{size: 200_000, seed: "once", query: query, nonIdempotent: true})...)
			expectGivenUp(giveUpTimeout, d.sendThroughBoth(callerRequest{size: 200_000, seed: "pause", query: query})...)
		}
		expectGivenUp(deskFirstByteTimeout+deskIdleTimeout, d.sendThroughBoth(callerRequest{seed: "feed", feed: true, query: "feed=true&interval=10ms&silentAfter=50"})...)
		d.stopTraffic()
	})
})

// bytesToEntries counts the bytes that went to the entry instances.
func (e *executorProcess) bytesToEntries() int64 {
	_, toClient := e.proxy.Bytes()
	return toClient
}

// sendFromManyCallers sends requests of random run times and sizes at once on kept
// connections. Some callers leave in between.
func (d *deployment) sendFromManyCallers(random *rand.Rand, n int) []reply {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: n}}
	DeferCleanup(client.CloseIdleConnections)
	entries := []*entryProcess{d.entry("entry-1"), d.entry("entry-2")}
	type caller struct {
		callerRequest
		timeout time.Duration
	}
	callers := make([]caller, n)
	for i := range callers {
		callers[i] = caller{timeout: deskMaxDuration + responseSlack, callerRequest: callerRequest{
			work: time.Duration(random.Int64N(int64(100 * time.Millisecond))), size: random.Int64N(200_000),
			seed: fmt.Sprintf("caller-%d", i), query: fmt.Sprintf("chunked=%t", random.IntN(2) == 0), client: client,
		}}
		if random.IntN(10) == 0 {
			callers[i].timeout = time.Duration(random.Int64N(int64(200 * time.Millisecond)))
		}
	}
	return runConcurrently(n, func(i int) reply {
		ctx, cancel := context.WithTimeout(context.Background(), callers[i].timeout)
		defer cancel()
		return entries[i%2].sendRequest(ctx, callers[i].callerRequest)
	})
}
