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

// watchedWriter calls a function before the write that ends at a byte of the body.
type watchedWriter struct {
	*httptest.ResponseRecorder
	atByte map[int]func()
}

func (w *watchedWriter) Write(p []byte) (int, error) {
	end := w.Body.Len() + len(p)
	if check, ok := w.atByte[end]; ok {
		check()
		delete(w.atByte, end)
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

	must := func(ctx context.Context, query string) *http.Response {
		GinkgoHelper()
		response, err := get(ctx, query)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(response.Body.Close)
		return response
	}

	count := func(kind executor.EventKind, reason string) int {
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

	DescribeTable("answers with the content of the request",
		func(ctx SpecContext, query, seed string, size int64, length int64) {
			response := must(ctx, query)
			Expect(response.ContentLength).To(Equal(length))
			Expect(response.Header.Get(protocol.RequestHeader)).To(Equal("r1"))
			Expect(executor.VerifyContent(response.Body, seed, size)).To(Succeed())
		},
		Entry("empty", "", "r1", int64(0), int64(0)),
		Entry("with a length", "size=100000&work=1ms", "r1", int64(100000), int64(100000)),
		Entry("chunked", "size=100&chunked=true", "r1", int64(100), int64(-1)),
		Entry("with a seed of the caller", "size=100&seed=s", "s", int64(100), int64(100)),
	)

	It("tells the content of another answer and a gap", func() {
		Expect(executor.VerifyContent(executor.Content("a", 100), "b", 100)).NotTo(Succeed())
		Expect(executor.VerifyContent(executor.Content("a", 99), "a", 100)).NotTo(Succeed())
		whole, _ := io.ReadAll(executor.Content("a", 101))
		Expect(executor.VerifyContent(strings.NewReader(string(whole[1:])), "a", 100)).NotTo(Succeed())
	})

	DescribeTable("cuts an answer off", func(ctx SpecContext, query string) {
		response := must(ctx, query)
		n, err := io.Copy(io.Discard, response.Body)
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
		Expect(n).To(BeEquivalentTo(10))
		Eventually(ctx, func() int { return count(executor.EventFinished, executor.ReasonDied) }).Should(Equal(1))
	},
		Entry("with a length", "size=100&dieAfter=10"),
		Entry("chunked", "size=100&dieAfter=10&chunked=true"),
	)

	It("goes silent after the bytes that are asked for", func(ctx SpecContext) {
		bounded, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
		defer cancel()
		n, err := io.Copy(io.Discard, must(bounded, "size=100&silentAfter=10").Body)
		Expect(err).To(MatchError(context.DeadlineExceeded))
		Expect(n).To(BeEquivalentTo(10))
	})

	It("feeds lines, holds a connection for them but no slot", func(ctx SpecContext) {
		feed := must(ctx, "feed=true&interval=1ms&heartbeat=1ms")
		lines := bufio.NewScanner(feed.Body)
		Eventually(ctx, func() string { lines.Scan(); return lines.Text() }).Should(Equal("r1 1"))
		Expect(must(ctx, "").StatusCode).To(Equal(http.StatusOK))
		Expect(count(executor.EventViolation, executor.ReasonConnections)).To(Equal(1))
		Expect(count(executor.EventViolation, executor.ReasonSlots)).To(BeZero())
	})

	It("refuses without running when no slot is free, and records it", func(ctx SpecContext) {
		var group errgroup.Group
		held, release := context.WithCancel(ctx)
		group.Go(func() error { _, err := get(held, "silentAfter=0"); return err })
		Eventually(ctx, func() int { return count(executor.EventStarted, "") }).Should(Equal(1))
		expectNotRun(must(ctx, ""))
		Expect(count(executor.EventViolation, executor.ReasonSlots)).To(Equal(1))
		release()
		Expect(group.Wait()).To(MatchError(context.Canceled))
		Expect(count(executor.EventStarted, "")).To(Equal(1))
	})

	It("frees its slot before the last byte, after which the slot is used again", func() {
		out := &watchedWriter{ResponseRecorder: httptest.NewRecorder()}
		out.atByte = map[int]func(){
			99999:  func() { Expect(count(executor.EventFinished, "")).To(BeZero()) },
			100000: func() { Expect(count(executor.EventFinished, "")).To(Equal(1)) },
		}
		e.Handler().ServeHTTP(out, httptest.NewRequest(http.MethodGet, "/any?size=100000", nil))
		Expect(out.atByte).To(BeEmpty())
	})

	It("refuses and announces it when it is leaving", func(ctx SpecContext) {
		request, err := http.NewRequestWithContext(ctx, http.MethodPut, server.URL+"/state", strings.NewReader(`"Leaving"`))
		Expect(err).NotTo(HaveOccurred())
		_, err = server.Client().Do(request)
		Expect(err).NotTo(HaveOccurred())
		expectNotRun(must(ctx, ""))
		Expect(e.Describe(membership.Instance{}).State).To(Equal(membership.Leaving))
	})

	It("silences open connections for good while new ones work", func(ctx SpecContext) {
		Expect(io.ReadAll(must(ctx, "size=0").Body)).To(BeEmpty())
		e.SetFaults(executor.Faults{SilenceOpen: true})
		bounded, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
		defer cancel()
		_, err := get(bounded, "")
		Expect(err).To(MatchError(context.DeadlineExceeded))
		Expect(must(ctx, "").StatusCode).To(Equal(http.StatusOK))
		Expect(count(executor.EventLost, executor.ReasonSilent)).To(Equal(1))
	})

	It("reports its p99 latency once", func(ctx SpecContext) {
		e.SetFaults(executor.Faults{SlowFactor: 10})
		must(ctx, "work=2ms")
		Eventually(ctx, func() time.Duration { return e.Usage().P99 }).Should(BeNumerically(">=", 20*time.Millisecond))
		Expect(e.Usage().Requests).To(BeZero())
	})

	It("reports every fault of a query", func(ctx SpecContext) {
		response := must(ctx, "size=-1&work=x")
		Expect(response).To(And(HaveHTTPStatus(400), HaveHTTPBody(And(ContainSubstring("size"), ContainSubstring("work")))))
	})
})
