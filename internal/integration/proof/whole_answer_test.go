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

// longMaxDuration is a MaxDuration far above the time within which a request must give up.
const longMaxDuration = 20 * time.Second

// giveUpTimeout is the time within which an instance must give up on a request that no executor
// responds to: each attempt has its own timeouts.
const giveUpTimeout = service.MaxAttempts * (deskFirstByteTimeout + deskIdleTimeout)

// setLongMaxDuration lets requests last up to longMaxDuration unless the instance gives up
// earlier.
func setLongMaxDuration(desk *manifest.Service) {
	desk.MaxDuration = manifest.Duration(longMaxDuration)
}

// sendThroughBoth sends each request through both entry instances, all concurrently.
func (d *deployment) sendThroughBoth(requests ...callerRequest) []reply {
	entries := []*entryProcess{d.entry("entry-1"), d.entry("entry-2")}
	return runConcurrently(2*len(requests), func(i int) reply {
		a := requests[i/2]
		a.seed = fmt.Sprintf("%s-%d", a.seed, i)
		return entries[i%2].sendRequest(context.Background(), a)
	})
}

// expectGivenUp checks that no request got a complete response and that all ended within a time
// limit.
func expectGivenUp(timeout time.Duration, replies ...reply) {
	GinkgoHelper()
	expectNoCorruptResponses(replies...)
	expectRetryAfter(replies...)
	for _, r := range replies {
		Expect(r.complete()).To(BeFalse(), "%s", r)
		Expect(r.duration).To(BeNumerically("<", timeout+responseSlack), "%s", r)
	}
}

var _ = Describe("An entry instance", Label("whole-answer"), func() {
	// Guards against a truncated response that looks complete, for lengths on both sides of the
	// number of bytes that are buffered for a retry.
	It("never shows a truncated response as complete when the executor dies while sending", func() {
		d := startDeskZone(2)
		const size = 300_000
		var requests []callerRequest
		for _, deathOffset := range []int{0, 1, service.MaxBufferedBytes - 1, service.MaxBufferedBytes, service.MaxBufferedBytes + 1, 200_000, size - 1} {
			for _, chunked := range []bool{false, true} {
				requests = append(requests, callerRequest{size: size, seed: "die", query: fmt.Sprintf("dieAfter=%d&chunked=%t", deathOffset, chunked)})
			}
		}
		// Without the final chunk the client can't tell that it received the last byte.
		requests = append(requests, callerRequest{size: size, seed: "end", query: fmt.Sprintf("dieAfter=%d&chunked=true", size)})
		requests = append(requests, callerRequest{size: 100, seed: "short", query: "dieAfter=100&chunked=true"})
		requests = append(requests, callerRequest{seed: "feed", feed: true, query: "feed=true&interval=10ms&dieAfter=100"})
		for _, a := range requests {
			expectGivenUp(deskMaxDuration, d.sendThroughBoth(a)...)
		}
		d.stopTraffic()
	})

	// Guards against a retry that mixes parts of two responses, and against a truncation that is
	// hidden because the proxy closes the connection in an orderly way.
	It("never shows a truncated response as complete when the connection to the executor is cut", func() {
		d := startDeskZone(2)
		for _, after := range []int64{1, 100, 300, 5_000, service.MaxBufferedBytes, 100_000} {
			Expect(d.executors["executor-1"].proxy.SetFaults(proxy.Faults{CutAfter: after})).To(Succeed())
			replies := d.sendThroughBoth(callerRequest{size: 10, seed: "a"}, callerRequest{size: 60_000, seed: "b"}, callerRequest{size: 200_000, seed: "c"},
				callerRequest{size: 200_000, seed: "d", query: "chunked=true"}, callerRequest{size: 60_000, seed: "e", nonIdempotent: true})
			expectNoCorruptResponses(replies...)
			expectRetryAfter(replies...)
		}
		d.stopTraffic()
		d.expectOutcomesMatchJournals()
	})

	// Guards against mistaking a crash of the executor for the end of its responses.
	It("never shows a truncated response as complete when the executor is killed", func() {
		d := startDeskZone(1)
		d.publishDeskSettings(func(desk *manifest.Service) {
			setLongMaxDuration(desk)
			desk.IdleTimeout = manifest.Duration(longMaxDuration)
		})
		allReplies := make(chan []reply, 1)
		done := runInBackground(func() reply {
			allReplies <- d.sendThroughBoth(callerRequest{size: 150_000, seed: "a", query: "silentAfter=100000"},
				callerRequest{size: 150_000, seed: "b", query: "silentAfter=100000&chunked=true"},
				callerRequest{seed: "c", feed: true, query: "feed=true&interval=10ms"})
			return reply{}
		})
		e := d.executors["executor-1"]
		Eventually(e.bytesToEntries).WithTimeout(deskMaxDuration).Should(BeNumerically(">", 4*100_000))
		killed := time.Now()
		e.kill()
		awaitReply(done)
		replies := <-allReplies
		expectGivenUp(killed.Sub(replies[0].startedAt), replies...)
		d.stopTraffic()
	})

	// Guards against a crash of the entry instance that looks like the end of a response.
	It("never shows a truncated response as complete when it is killed itself", func() {
		d := startDeskZone(1)
		allReplies := make(chan []reply, 1)
		e := d.entry("entry-1")
		requests := []callerRequest{
			{size: 150_000, seed: "a", query: "silentAfter=100000"},
			{size: 150_000, seed: "b", query: "silentAfter=100000&chunked=true"},
			{seed: "c", feed: true, query: "feed=true&interval=10ms"},
		}
		done := runInBackground(func() reply {
			allReplies <- runConcurrently(len(requests), func(i int) reply { return e.sendRequest(context.Background(), requests[i]) })
			return reply{}
		})
		Eventually(d.executors["executor-1"].bytesToEntries).WithTimeout(deskMaxDuration).Should(BeNumerically(">", 2*100_000))
		e.kill()
		awaitReply(done)
		for _, r := range <-allReplies {
			Expect(r.err).To(HaveOccurred(), "%s", r)
			Expect(r.corrupt).To(BeFalse(), "%s", r)
		}
		d.stopTraffic()
	})

	// Guards against truncated responses to HTTP/1.0 clients, for which the end of the
	// connection is the end of a response without a length.
	It("never shows a truncated response as complete to an HTTP/1.0 client", func() {
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
			Expect(err).To(HaveOccurred(), "a truncated response looks complete")
		}
		d.stopTraffic()
	})

	// Guards against swapping responses between requests on reused connections, also when
	// callers disconnect before their response is complete.
	DescribeTable("gives each of many callers the complete response to its own request",
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

	// Guards against requests that wait on a dead connection until their deadline, and against
	// reusing dead connections.
	DescribeTable("gives up on silent connections within the timeouts and dials new ones",
		func(nonIdempotent bool, timeout time.Duration) {
			d := startDeskZone(2)
			d.publishDeskSettings(setLongMaxDuration)
			requests := []callerRequest{{size: 100, seed: "warm"}, {size: 100, seed: "warm"}, {size: 100, seed: "warm"}}
			d.sendThroughBoth(requests...)
			for _, e := range d.executors {
				e.proxy.SilenceExisting()
			}
			for i := range requests {
				requests[i].nonIdempotent = nonIdempotent
			}
			replies := d.sendThroughBoth(requests...)
			expectNoCorruptResponses(replies...)
			expectRetryAfter(replies...)
			for _, r := range replies {
				Expect(r.duration).To(BeNumerically("<", timeout+responseSlack), "%s", r)
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

	// Guards against a retry that uses its attempts for one silent connection after the other.
	It("retries on a new connection when all open connections to the only executor are silent", func() {
		d := startDeskZone(1)
		d.publishDeskSettings(setLongMaxDuration)
		e := d.entry("entry-1")
		for range 10 {
			// Four concurrent requests leave several idle connections and earn retry budget.
			runConcurrently(4, func(int) reply {
				return e.sendRequest(context.Background(), callerRequest{size: 10, seed: "warm", work: 5 * time.Millisecond})
			})
		}
		d.executors["executor-1"].proxy.SilenceExisting()
		r := e.sendRequest(context.Background(), callerRequest{size: 10, seed: "again"})
		Expect(r.complete()).To(BeTrue(), "%s", r)
		Expect(r.duration).To(BeNumerically("<", deskFirstByteTimeout+responseSlack), "%s", r)
		d.cutExecutorConnections()
		d.stopTraffic()
	})

	// Guards against holding requests until shortly before their deadline.
	It("gives up within the timeouts on executors that do not respond", func() {
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

	// Guards against latency estimates of silent executors that hold requests until their
	// deadline although slots are free, also long after the executors respond again.
	It("serves requests with short deadlines immediately when silent executors respond again", func() {
		const timeout = time.Second
		d := startDeskZone(2)
		d.publishDeskSettings(func(desk *manifest.Service) { desk.FirstByteTimeout = manifest.Duration(2 * timeout) })
		for i := range 40 {
			// The run times differ, so that the tail latency is well above the mean.
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
				Expect(r.duration).To(BeNumerically("<", timeout/2), "was held before its refusal: %s", r)
			}
		}
		d.stopTraffic()
		d.expectOutcomesMatchJournals(replies...)
	})

	// Guards against responses that stall after their beginning.
	It("gives up within the idle timeout on a response that stalls", func() {
		d := startDeskZone(2)
		d.publishDeskSettings(setLongMaxDuration)
		for _, stallOffset := range []int{10, service.MaxBufferedBytes + 1000} {
			query := fmt.Sprintf("silentAfter=%d", stallOffset)
			expectGivenUp(deskFirstByteTimeout+deskIdleTimeout, d.sendThroughBoth(callerRequest{size: 200_000, seed: "once", query: query, nonIdempotent: true})...)
			expectGivenUp(giveUpTimeout, d.sendThroughBoth(callerRequest{size: 200_000, seed: "pause", query: query})...)
		}
		expectGivenUp(deskFirstByteTimeout+deskIdleTimeout, d.sendThroughBoth(callerRequest{seed: "feed", feed: true, query: "feed=true&interval=10ms&silentAfter=50"})...)
		d.stopTraffic()
	})
})

// bytesToEntries counts the bytes that the executor sent to the entry instances.
func (e *executorProcess) bytesToEntries() int64 {
	_, toClient := e.proxy.Bytes()
	return toClient
}

// sendFromManyCallers sends requests with random run times and sizes concurrently on keep-alive
// connections. Some callers disconnect before their response is complete.
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
