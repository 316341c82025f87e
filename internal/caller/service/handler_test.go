package service_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/caller/service"
)

var _ = Describe("Handler", func() {
	var h *harness
	BeforeEach(func() { h = newHarness() })
	nonIdempotent := []string{service.HeaderNonIdempotent, "true"}
	withKey := append([]string{service.HeaderKey, "k1"}, nonIdempotent...)

	// Guards against forwarding an incomplete response.
	It("retries after a truncated response", func() {
		h.respond = func(_ context.Context, number int) (*service.Response, error) {
			if number == 1 {
				return truncatedResponse("half")
			}
			return okResponse("whole")
		}
		replies := h.postAsync()
		got := h.advanceUntilReply(time.Millisecond, replies)
		Expect(got.body).To(Equal("whole"))
		Expect(got.response.Header.Get(service.HeaderOutcome)).To(Equal("Completed"))
		Expect(h.counter("Service.Retried.Truncated")).To(Equal(int64(1)))
		Expect(h.slotRequests[1].Exclude).To(HaveLen(1))
		expectReleases(h.releases(), false, true)
	})

	// Guards against a truncated response that looks complete.
	It("aborts the connection when a response is truncated after its start was forwarded", func() {
		h.respond = func(context.Context, int) (*service.Response, error) {
			return truncatedResponse(strings.Repeat("x", 2*service.MaxBufferedBytes))
		}
		_, _, err := h.post("")
		Expect(err).To(HaveOccurred())
		Eventually(func() int64 { return h.counter("Service.Aborted.Truncated") }).Should(Equal(int64(1)))
		Expect(h.attemptCount()).To(Equal(1))
	})

	// Guards against a truncated response that looks complete, since HTTP/1.0 ends a response
	// by closing the connection.
	It("refuses HTTP/1.0 requests", func() {
		request := httptest.NewRequest(http.MethodGet, "/services/chairdesk/check", nil)
		request.Proto, request.ProtoMajor, request.ProtoMinor = "HTTP/1.0", 1, 0
		recorder := httptest.NewRecorder()
		h.handler.ServeHTTP(recorder, request)
		expectOutcome(recorder.Result(), service.NotRun, service.ReasonInvalid)
		Expect(h.attemptCount()).To(BeZero())
	})

	// Guards against running a request twice, such as charging a deposit.
	It("does not retry a non-idempotent request that may have run", func() {
		h.respond = func(context.Context, int) (*service.Response, error) { return failAttempt(service.Unknown) }
		response, _, err := h.post("", nonIdempotent...)
		Expect(err).NotTo(HaveOccurred())
		expectOutcome(response, service.Unknown, "Refused")
		Expect(h.attemptCount()).To(Equal(1))
		expectReleases(h.releases(), false)
		Expect(h.released[0].InDoubtUntil).To(Equal(h.clock.Now().Add(10 * time.Second)))
	})

	// Guards against an executor that can't recognize a repeated request.
	It("forwards the key to the executor", func() {
		h.claimKey = func() (service.ClaimResult, error) { return service.ClaimResult{Claimed: true}, nil }
		h.respond = func(context.Context, int) (*service.Response, error) { return okResponse("whole") }
		_, _, err := h.post("", withKey...)
		Expect(err).NotTo(HaveOccurred())
		Expect(h.headers[0].Get(service.HeaderKey)).To(Equal("k1"))
	})

	It("retries a non-idempotent request that no executor has run", func() {
		h.respond = func(_ context.Context, number int) (*service.Response, error) {
			if number == 1 {
				return failAttempt(service.NotRun)
			}
			return okResponse("lent")
		}
		Expect(h.advanceUntilReply(time.Millisecond, h.postAsync(nonIdempotent...)).body).To(Equal("lent"))
		expectReleases(h.releases(), true, true)
	})

	// Guards against running a request twice.
	It("does not send a request whose key was already claimed", func() {
		h.claimKey = func() (service.ClaimResult, error) { return service.ClaimResult{}, nil }
		response, _, err := h.post("", withKey...)
		Expect(err).NotTo(HaveOccurred())
		expectOutcome(response, service.Unknown, service.ReasonAlreadyStarted)
		Expect(h.attemptCount()).To(BeZero())
		expectReleases(h.releases(), true)
	})

	// Guards against reporting NotRun for a request that may run.
	It("reports the outcome Unknown when it is uncertain whether the key was claimed", func() {
		h.claimKey = func() (service.ClaimResult, error) { return service.ClaimResult{}, io.ErrUnexpectedEOF }
		response, _, err := h.post("", withKey...)
		Expect(err).NotTo(HaveOccurred())
		expectOutcome(response, service.Unknown, service.ReasonKeyUncertain)
		Expect(h.attemptCount()).To(BeZero())
	})

	It("reports the outcome Unknown when a retry is refused after an attempt that may have run", func() {
		h.respond = func(context.Context, int) (*service.Response, error) {
			h.mutex.Lock()
			defer h.mutex.Unlock()
			h.refusal = &service.Refusal{Reason: "Full", RetryAfter: time.Second}
			return failAttempt(service.Unknown)
		}
		got := h.advanceUntilReply(time.Millisecond, h.postAsync())
		expectOutcome(got.response, service.Unknown, "Refused")
	})

	It("refuses a request with a reason and a retry delay, and counts it", func() {
		h.refusal = &service.Refusal{Reason: "Full", RetryAfter: 1500 * time.Millisecond}
		response, _, err := h.post("")
		Expect(err).NotTo(HaveOccurred())
		expectOutcome(response, service.NotRun, "Full")
		Expect(response.Header.Get("Retry-After")).To(Equal("2"))
		Expect(response.Header.Get(service.HeaderRetryAfter)).To(Equal("1.5s"))
		Expect(h.counter("Service.Refused.Full")).To(Equal(int64(1)))
		Expect(h.decisions[0].Manifest).To(BeEquivalentTo(7))
	})

	// Guards against blocking the caller beyond its deadline.
	It("responds at the deadline when the executor doesn't respond", func() {
		h.respond = func(ctx context.Context, _ int) (*service.Response, error) { return blockUntilCancelled(ctx) }
		got := h.advanceUntilReply(50*time.Millisecond, h.postAsync(service.HeaderTimeout, "1s"))
		expectOutcome(got.response, service.Unknown, service.ReasonDeadline)
		Expect(h.slotRequests[0].Deadline.Sub(h.decisions[0].Time)).To(BeNumerically("<=", 0))
		Expect(h.releases()).To(BeEmpty(), "the executor may still respond")
		Expect(h.observations).To(HaveLen(1), "the executor is reported as unresponsive immediately")
		Expect(h.observations[0].Cancelled).To(BeTrue())
		h.clock.Advance(10 * time.Second)
		Eventually(h.releases).Should(HaveLen(1))
		expectReleases(h.releases(), false)
	})

	// Guards against losing capacity to slots that stay in doubt after a timeout.
	It("frees the slot when the response arrives after the deadline", func() {
		answer := make(chan struct{})
		h.respond = func(context.Context, int) (*service.Response, error) {
			<-answer
			return okResponse("late")
		}
		expectOutcome(h.advanceUntilReply(50*time.Millisecond, h.postAsync(service.HeaderTimeout, "1s")).response, service.Unknown, service.ReasonDeadline)
		close(answer)
		Eventually(h.releases).Should(HaveLen(1))
		expectReleases(h.releases(), true)
	})

	It("hedges a slow attempt on another executor", func() {
		h.hedgeDelay = 20 * time.Millisecond
		h.respond = func(ctx context.Context, number int) (*service.Response, error) {
			if number == 1 {
				return blockUntilCancelled(ctx)
			}
			return okResponse("fast")
		}
		Expect(h.advanceUntilReply(5*time.Millisecond, h.postAsync()).body).To(Equal("fast"))
		Expect(h.slotRequests[1].Exclude).To(ConsistOf(BeEquivalentTo("executor-1")))
		Expect(h.slotRequests[1].Immediate).To(BeTrue())
		expectReleases(h.releases(), true)
		h.clock.Advance(10 * time.Second)
		Eventually(h.releases).Should(HaveLen(2))
	})

	// Guards against a retry storm.
	It("does not retry when the retry budget is exhausted", func() {
		h.allowExtra = false
		h.respond = func(context.Context, int) (*service.Response, error) { return failAttempt(service.NotRun) }
		response, _, err := h.post("")
		Expect(err).NotTo(HaveOccurred())
		expectOutcome(response, service.NotRun, "Refused")
		Expect(h.counter("Service.Denied.RetryBudget")).To(Equal(int64(1)))
	})

	It("reports all header errors in one response", func() {
		response, body, err := h.post("", service.HeaderTimeout, "soon", service.HeaderFeed, "yes", service.HeaderKey, "a b", "Jacinthtrail-Timout", "1s")
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusBadRequest))
		var parsed service.ErrorBody
		Expect(json.Unmarshal([]byte(body), &parsed)).To(Succeed())
		Expect(parsed.Findings).To(HaveLen(5))
		expectOutcome(response, service.NotRun, service.ReasonInvalid)
	})

	It("refuses a request whose body exceeds the size limit", func() {
		response, _, err := h.post(strings.Repeat("x", 101))
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusRequestEntityTooLarge))
		expectOutcome(response, service.NotRun, service.ReasonBodyTooLarge)
	})
})
