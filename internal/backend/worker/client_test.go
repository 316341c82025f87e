package worker_test

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
)

func serve(handler http.HandlerFunc) string {
	GinkgoHelper()
	server := httptest.NewServer(handler)
	DeferCleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func respondWith(status int, conflict worker.Conflict) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(worker.ConflictHeader, string(conflict))
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(worker.SyncResponse{Epoch: 7, Counter: 3})
	}
}

var _ = Describe("Client", func() {
	var client *worker.Client

	BeforeEach(func() {
		transport := worker.NewTransport()
		DeferCleanup(transport.CloseIdleConnections)
		client = &worker.Client{Transport: transport, Timeout: time.Second}
	})

	DescribeTable("maps the status of a response to an error",
		func(ctx SpecContext, status int, conflict worker.Conflict, want error, wantResponse bool) {
			response, err := client.Sync(ctx, serve(respondWith(status, conflict)), worker.SyncRequest{Epoch: 6})
			Expect(errors.Is(err, want)).To(BeTrue(), "error %v", err)
			Expect(response.Epoch == 7).To(Equal(wantResponse))
		},
		Entry("done", 200, worker.Conflict(""), nil, true),
		Entry("conflict of a stale epoch", 409, worker.ConflictEpoch, worker.ErrStaleEpoch, true),
		Entry("conflict of a stale basis", 409, worker.ConflictBasis, worker.ErrStaleBasis, true),
		Entry("conflict of an unknown kind", 409, worker.Conflict(""), worker.ErrUnreachable, false),
		Entry("malformed", 400, worker.Conflict(""), worker.ErrInvalid, false),
		Entry("broken", 500, worker.Conflict(""), worker.ErrUnreachable, false),
	)

	It("fails on a response beyond the size limit", func(ctx SpecContext) {
		address := serve(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write(make([]byte, worker.MaxResponseBytes+1))
		})
		_, err := client.Sync(ctx, address, worker.SyncRequest{})
		Expect(err).To(MatchError(worker.ErrUnreachable))
	})

	It("does not send a request beyond the size limit", func(ctx SpecContext) {
		request := worker.SyncRequest{Start: []worker.StartTask{{Payload: make([]byte, worker.MaxRequestBytes)}}}
		_, err := client.Sync(ctx, "127.0.0.1:1", request)
		Expect(err).To(MatchError(worker.ErrInvalid))
	})

	It("replaces an unresponsive connection so that the next sync succeeds", func(ctx SpecContext) {
		var requests atomic.Int32
		connections := make(chan string, 2)
		address := serve(func(w http.ResponseWriter, r *http.Request) {
			connections <- r.RemoteAddr
			_, _ = io.Copy(io.Discard, r.Body)
			if requests.Add(1) == 1 {
				<-r.Context().Done()
				return
			}
			respondWith(200, "")(w, r)
		})
		syncCtx, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		defer cancel()
		_, err := client.Sync(syncCtx, address, worker.SyncRequest{})
		Expect(err).To(MatchError(worker.ErrUnreachable))
		_, err = client.Sync(ctx, address, worker.SyncRequest{})
		Expect(err).NotTo(HaveOccurred())
		Expect(<-connections).NotTo(Equal(<-connections))
	})

	It("reuses a working connection", func(ctx SpecContext) {
		connections := make(chan string, 2)
		address := serve(func(w http.ResponseWriter, r *http.Request) {
			connections <- r.RemoteAddr
			respondWith(200, "")(w, r)
		})
		for range 2 {
			_, err := client.Sync(ctx, address, worker.SyncRequest{})
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(<-connections).To(Equal(<-connections))
	})
})
