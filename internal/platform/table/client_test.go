package table_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/platform/table"
)

func serve(handler http.HandlerFunc) string {
	server := httptest.NewServer(handler)
	DeferCleanup(server.Close)
	return server.Listener.Addr().String()
}

func respondWith(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}
}

func abortConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func truncateBody(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "100")
	_, _ = w.Write([]byte(`{"Versions":{}}`))
}

func closedAddress() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	Expect(listener.Close()).To(Succeed())
	return listener.Addr().String()
}

var _ = Describe("Client", func() {
	// Guards against reporting a commit that may have taken effect as not written.
	DescribeTable("classifies a failed commit",
		func(ctx SpecContext, handler http.HandlerFunc, class error) {
			client := table.Client{Address: serve(handler)}
			_, err := client.Commit(ctx, newTransaction("a", "k", "1"))
			Expect(err).To(MatchError(class))
		},
		Entry("conflict", respondWith(409, `{"Reason":"Conflict"}`), table.ErrConflict),
		Entry("service unavailable", respondWith(503, `{"Reason":"Unavailable"}`), table.ErrUnavailable),
		Entry("invalid", respondWith(400, `{"Reason":"Invalid"}`), table.ErrInvalid),
		Entry("error response of a gateway", respondWith(503, "no backend"), table.ErrOutcomeUnknown),
		Entry("malformed response", respondWith(200, "{"), table.ErrOutcomeUnknown),
		Entry("connection lost", http.HandlerFunc(abortConnection), table.ErrOutcomeUnknown),
		Entry("truncated response", http.HandlerFunc(truncateBody), table.ErrOutcomeUnknown),
	)

	It("reports a refused connection as not written", func(ctx SpecContext) {
		_, err := table.Client{Address: closedAddress()}.Commit(ctx, newTransaction("a", "k", "1"))
		Expect(err).To(MatchError(table.ErrUnavailable))
		Expect(err).NotTo(MatchError(table.ErrOutcomeUnknown))
	})

	// Guards against a large answer that never arrives over a full link, because each call for it
	// ends after a fixed time.
	It("receives an answer that takes longer than the timeout but keeps arriving", func(ctx SpecContext) {
		const (
			timeout = time.Second
			parts   = 10
			pause   = 150 * time.Millisecond
		)
		client := table.Client{Timeout: timeout, Address: serve(func(w http.ResponseWriter, _ *http.Request) {
			for range parts {
				_, _ = w.Write([]byte(" "))
				w.(http.Flusher).Flush()
				time.Sleep(pause)
			}
			_, _ = w.Write([]byte(`{"Versions":{"k":1}}`))
		})}
		result, err := client.Commit(ctx, newTransaction("a", "k", "1"))
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Versions).To(HaveKeyWithValue(table.Key("k"), table.Version(1)))
	})

	It("stops waiting for an unresponsive service after the timeout", func(ctx SpecContext) {
		release := make(chan struct{})
		address := serve(func(http.ResponseWriter, *http.Request) { <-release })
		defer close(release)
		client := table.Client{Address: address, Timeout: 20 * time.Millisecond}
		_, err := client.Commit(ctx, newTransaction("a", "k", "1"))
		Expect(err).To(MatchError(table.ErrOutcomeUnknown))
		Expect(err).To(MatchError(context.DeadlineExceeded))
	})
})

// lossyStore loses the response to every commit, and the request too if loseRequests is
// set. The first failedLookups look-ups of an outcome fail.
type lossyStore struct {
	table.Memory
	loseRequests  bool
	failedLookups int
	commits       int
}

func (l *lossyStore) Commit(ctx context.Context, tx table.Transaction) (table.Result, error) {
	l.commits++
	if !l.loseRequests {
		_, _ = l.Memory.Commit(ctx, tx)
	}
	return table.Result{}, table.ErrOutcomeUnknown
}

func (l *lossyStore) Outcome(ctx context.Context, id table.TransactionID) (table.Result, bool, error) {
	if l.failedLookups > 0 {
		l.failedLookups--
		return table.Result{}, false, table.ErrUnavailable
	}
	return l.Memory.Outcome(ctx, id)
}

var _ = Describe("CommitResolved", func() {
	resolve := func(ctx context.Context, store *lossyStore) (table.Result, error) {
		result, err := table.CommitResolved(ctx, store, clockwork.NewRealClock(), newTransaction("a", "k", "1"))
		Expect(store.commits).To(Equal(1), "the transaction must be sent exactly once")
		return result, err
	}

	It("finds a commit whose response was lost, after failed look-ups", func(ctx SpecContext) {
		result, err := resolve(ctx, &lossyStore{failedLookups: 2})
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Versions).To(HaveKey(table.Key("k")))
	})

	It("reports a lost request as not written", func(ctx SpecContext) {
		_, err := resolve(ctx, &lossyStore{loseRequests: true})
		Expect(err).To(MatchError(table.ErrUnavailable))
		Expect(err).NotTo(MatchError(table.ErrOutcomeUnknown))
	})

	It("reports an unknown outcome if the context ends before a look-up succeeds", func(ctx SpecContext) {
		deadlineCtx, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
		defer cancel()
		_, err := resolve(deadlineCtx, &lossyStore{failedLookups: 1000})
		Expect(err).To(MatchError(table.ErrOutcomeUnknown))
	})
})
