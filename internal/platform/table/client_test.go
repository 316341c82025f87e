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

func answer(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}
}

func cutOff(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func truncate(w http.ResponseWriter, _ *http.Request) {
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
	// A commit that may have taken effect must never be reported as not written.
	DescribeTable("classifies a failed commit",
		func(ctx SpecContext, handler http.HandlerFunc, class error) {
			client := table.Client{Address: serve(handler)}
			_, err := client.Commit(ctx, set("a", "k", "1"))
			Expect(err).To(MatchError(class))
		},
		Entry("conflict", answer(409, `{"Reason":"Conflict"}`), table.ErrConflict),
		Entry("service unavailable", answer(503, `{"Reason":"Unavailable"}`), table.ErrUnavailable),
		Entry("invalid", answer(400, `{"Reason":"Invalid"}`), table.ErrInvalid),
		Entry("error of a gateway", answer(503, "no backend"), table.ErrOutcomeUnknown),
		Entry("unreadable answer", answer(200, "{"), table.ErrOutcomeUnknown),
		Entry("connection cut", http.HandlerFunc(cutOff), table.ErrOutcomeUnknown),
		Entry("answer cut short", http.HandlerFunc(truncate), table.ErrOutcomeUnknown),
	)

	It("reports a refused connection as not written", func(ctx SpecContext) {
		_, err := table.Client{Address: closedAddress()}.Commit(ctx, set("a", "k", "1"))
		Expect(err).To(MatchError(table.ErrUnavailable))
		Expect(err).NotTo(MatchError(table.ErrOutcomeUnknown))
	})

	It("bounds the wait for a silent service", func(ctx SpecContext) {
		silent := make(chan struct{})
		address := serve(func(http.ResponseWriter, *http.Request) { <-silent })
		defer close(silent)
		client := table.Client{Address: address, Timeout: 20 * time.Millisecond}
		_, err := client.Commit(ctx, set("a", "k", "1"))
		Expect(err).To(MatchError(table.ErrOutcomeUnknown))
		Expect(err).To(MatchError(context.DeadlineExceeded))
	})
})

// lossy loses the answer to every commit and fails the first look-ups.
type lossy struct {
	table.Memory
	loseRequest bool
	failures    int
	commits     int
}

func (l *lossy) Commit(ctx context.Context, tx table.Transaction) (table.Result, error) {
	l.commits++
	if !l.loseRequest {
		_, _ = l.Memory.Commit(ctx, tx)
	}
	return table.Result{}, table.ErrOutcomeUnknown
}

func (l *lossy) Outcome(ctx context.Context, id table.TransactionID) (table.Result, bool, error) {
	if l.failures > 0 {
		l.failures--
		return table.Result{}, false, table.ErrUnavailable
	}
	return l.Memory.Outcome(ctx, id)
}

var _ = Describe("CommitResolved", func() {
	resolve := func(ctx context.Context, store *lossy) (table.Result, error) {
		result, err := table.CommitResolved(ctx, store, clockwork.NewRealClock(), set("a", "k", "1"))
		Expect(store.commits).To(Equal(1), "the transaction is sent once")
		return result, err
	}

	It("finds a commit whose answer was lost, after failed look-ups", func(ctx SpecContext) {
		result, err := resolve(ctx, &lossy{failures: 2})
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Versions).To(HaveKey(table.Key("k")))
	})

	It("reports a lost request as not written", func(ctx SpecContext) {
		_, err := resolve(ctx, &lossy{loseRequest: true})
		Expect(err).To(MatchError(table.ErrUnavailable))
		Expect(err).NotTo(MatchError(table.ErrOutcomeUnknown))
	})

	It("keeps the outcome unknown when the context ends first", func(ctx SpecContext) {
		bounded, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
		defer cancel()
		_, err := resolve(bounded, &lossy{failures: 1000})
		Expect(err).To(MatchError(table.ErrOutcomeUnknown))
	})
})
