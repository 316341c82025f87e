package executor_test

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	protocol "github.com/jacinthtrail/jacinthtrail/internal/backend/executor"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
	"github.com/jacinthtrail/jacinthtrail/internal/standin/executor"
)

// callbackRecorder calls a function before the write that ends at a given byte of the body.
type callbackRecorder struct {
	*httptest.ResponseRecorder
	beforeByte map[int]func()
}

func (w *callbackRecorder) Write(p []byte) (int, error) {
	end := w.Body.Len() + len(p)
	if callback, ok := w.beforeByte[end]; ok {
		callback()
		delete(w.beforeByte, end)
	}
	return w.ResponseRecorder.Write(p)
}

var _ = Describe("Executor", func() {
	var (
		e      *executor.Executor
		server *httptest.Server
	)

	BeforeEach(func() {
		e = &executor.Executor{ID: "e", Slots: 1, Connections: 1}
		server = httptest.NewUnstartedServer(nil)
		server.Config = e.Server()
		server.Start()
		DeferCleanup(server.Close)
		DeferCleanup(server.CloseClientConnections)
	})

	get := func(ctx context.Context, query string) (*http.Response, error) {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, server.URL+"//any?"+query, nil)
		if err != nil {
			return nil, err
		}
		request.Header.Set(protocol.RequestHeader, "r1")
		request.Header.Set(protocol.KeyHeader, "k1")
		return server.Client().Do(request)
	}

	mustGet := func(ctx context.Context, query string) *http.Response {
		GinkgoHelper()
		response, err := get(ctx, query)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(response.Body.Close)
		return response
	}

	countEvents := func(kind executor.EventKind, reason string) int {
		n := 0
		for _, event := range e.Journal.Entries() {
			if event.Kind == kind && event.Reason == reason {
				n++
			}
		}
		return n
	}

	expectNotRun := func(response *http.Response) {
		GinkgoHelper()
		Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(response.Header.Get(protocol.StatusHeader)).To(Equal(protocol.StatusNotRun))
	}

	DescribeTable("responds with the content that the request asks for",
		func(ctx SpecContext, query, seed string, size int64, length int64) {
			response := mustGet(ctx, query)
			Expect(response.ContentLength).To(Equal(length))
			Expect(response.Header.Get(protocol.RequestHeader)).To(Equal("r1"))
			Expect(executor.VerifyContent(response.Body, seed, size)).To(Succeed())
		},
		Entry("empty", "", "r1", int64(0), int64(0)),
		Entry("with a length", "size=100000&work=1ms", "r1", int64(100000), int64(100000)),
		Entry("chunked", "size=100&chunked=true", "r1", int64(100), int64(-1)),
		Entry("with the caller's seed", "size=100&seed=s", "s", int64(100), int64(100)),
	)

	It("detects the content of another response, a missing end and a gap", func() {
		Expect(executor.VerifyContent(executor.Content("a", 100), "b", 100)).NotTo(Succeed())
		Expect(executor.VerifyContent(executor.Content("a", 99), "a", 100)).NotTo(Succeed())
		whole, _ := io.ReadAll(executor.Content("a", 101))
		Expect(executor.VerifyContent(strings.NewReader(string(whole[1:])), "a", 100)).NotTo(Succeed())
	})

	DescribeTable("cuts off a response after the requested bytes", func(ctx SpecContext, query string) {
		response := mustGet(ctx, query)
		n, err := io.Copy(io.Discard, response.Body)
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
		Expect(n).To(BeEquivalentTo(10))
		Eventually(ctx, func() int { return countEvents(executor.EventFinished, executor.ReasonConnectionCut) }).Should(Equal(1))
	},
		Entry("with a length", "size=100&dieAfter=10"),
		Entry("chunked", "size=100&dieAfter=10&chunked=true"),
	)

	It("goes silent after the requested bytes", func(ctx SpecContext) {
		bounded, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
		defer cancel()
		n, err := io.Copy(io.Discard, mustGet(bounded, "size=100&silentAfter=10").Body)
		Expect(err).To(MatchError(context.DeadlineExceeded))
		Expect(n).To(BeEquivalentTo(10))
	})

	It("sends the lines of a feed and holds a connection but no slot", func(ctx SpecContext) {
		feed := mustGet(ctx, "feed=true&interval=1ms&heartbeat=1ms")
		lines := bufio.NewScanner(feed.Body)
		Eventually(ctx, func() string { lines.Scan(); return lines.Text() }).Should(Equal("r1 1"))
		Expect(mustGet(ctx, "").StatusCode).To(Equal(http.StatusOK))
		Expect(countEvents(executor.EventViolation, executor.ReasonConnections)).To(Equal(1))
		Expect(countEvents(executor.EventViolation, executor.ReasonSlots)).To(BeZero())
	})

	It("refuses a request without running it when no slot is free, and records a violation", func(ctx SpecContext) {
		var group errgroup.Group
		held, release := context.WithCancel(ctx)
		group.Go(func() error { _, err := get(held, "silentAfter=0"); return err })
		Eventually(ctx, func() int { return countEvents(executor.EventStarted, "") }).Should(Equal(1))
		expectNotRun(mustGet(ctx, ""))
		Expect(countEvents(executor.EventViolation, executor.ReasonSlots)).To(Equal(1))
		release()
		Expect(group.Wait()).To(MatchError(context.Canceled))
		Expect(countEvents(executor.EventStarted, "")).To(Equal(1))
	})

	It("frees the slot before the last byte, so that the receiver can use it again", func() {
		out := &callbackRecorder{ResponseRecorder: httptest.NewRecorder()}
		out.beforeByte = map[int]func(){
			99999:  func() { Expect(countEvents(executor.EventFinished, "")).To(BeZero()) },
			100000: func() { Expect(countEvents(executor.EventFinished, "")).To(Equal(1)) },
		}
		e.Handler().ServeHTTP(out, httptest.NewRequest(http.MethodGet, "/any?size=100000", nil))
		Expect(out.beforeByte).To(BeEmpty())
	})

	It("refuses requests when it is leaving and describes itself as leaving", func(ctx SpecContext) {
		request, err := http.NewRequestWithContext(ctx, http.MethodPut, server.URL+"/state", strings.NewReader(`"Leaving"`))
		Expect(err).NotTo(HaveOccurred())
		_, err = server.Client().Do(request)
		Expect(err).NotTo(HaveOccurred())
		expectNotRun(mustGet(ctx, ""))
		Expect(e.Describe(membership.Instance{}).State).To(Equal(membership.Leaving))
	})

	It("silences open connections permanently while new ones work", func(ctx SpecContext) {
		Expect(io.ReadAll(mustGet(ctx, "size=0").Body)).To(BeEmpty())
		e.SetFaults(executor.Faults{SilenceOpen: true})
		bounded, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
		defer cancel()
		_, err := get(bounded, "")
		Expect(err).To(MatchError(context.DeadlineExceeded))
		Expect(mustGet(ctx, "").StatusCode).To(Equal(http.StatusOK))
		Expect(countEvents(executor.EventUnanswered, executor.ReasonSilent)).To(Equal(1))
	})

	It("reports the p99 latency of the requests since the last report", func(ctx SpecContext) {
		e.SetFaults(executor.Faults{SlowFactor: 10})
		mustGet(ctx, "work=2ms")
		Eventually(ctx, func() time.Duration { return e.Usage().P99 }).Should(BeNumerically(">=", 20*time.Millisecond))
		Expect(e.Usage().Requests).To(BeZero())
	})

	It("reports all invalid parameters of a query", func(ctx SpecContext) {
		response := mustGet(ctx, "size=-1&work=x")
		Expect(response).To(And(HaveHTTPStatus(400), HaveHTTPBody(And(ContainSubstring("size"), ContainSubstring("work")))))
	})
})
