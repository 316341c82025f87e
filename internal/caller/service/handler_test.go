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
	var b *harness
	BeforeEach(func() { b = newHarness() })
	once := []string{service.HeaderNonIdempotent, "true"}
	keyed := append([]string{service.HeaderKey, "k1"}, once...)

	It("retries a truncated answer, against passing on half an answer", func() {
		b.respond = func(_ context.Context, number int) (*service.Response, error) {
			if number == 1 {
				return truncatedResponse("half")
			}
			return okResponse("whole")
		}
		replies := b.postAsync()
		got := b.advanceUntilReply(time.Millisecond, replies)
		Expect(got.body).To(Equal("whole"))
		Expect(got.response.Header.Get(service.HeaderOutcome)).To(Equal("Completed"))
		Expect(b.counter("Service.Retried.Truncated")).To(Equal(int64(1)))
		Expect(b.slotRequests[1].Exclude).To(HaveLen(1))
		expectReleases(b.releases(), false, true)
	})

	It("aborts the connection once bytes went out, against an answer that looks complete", func() {
		b.respond = func(context.Context, int) (*service.Response, error) {
			return truncatedResponse(strings.Repeat("x", 2*service.MaxBuffered))
		}
		_, _, err := b.post("")
		Expect(err).To(HaveOccurred())
		Eventually(func() int64 { return b.counter("Service.Aborted.Truncated") }).Should(Equal(int64(1)))
		Expect(b.attemptCount()).To(Equal(1))
	})

	It("refuses HTTP/1.0, against an answer whose cut looks like its end", func() {
		request := httptest.NewRequest(http.MethodGet, "/services/chairdesk/check", nil)
		request.Proto, request.ProtoMajor, request.ProtoMinor = "HTTP/1.0", 1, 0
		recorder := httptest.NewRecorder()
		b.handler.ServeHTTP(recorder, request)
		expectOutcome(recorder.Result(), service.NotRun, service.ReasonInvalid)
		Expect(b.attemptCount()).To(BeZero())
	})

	It("sends a non-idempotent request once, against charging a deposit twice", func() {
		b.respond = func(context.Context, int) (*service.Response, error) { return failAttempt(service.Unknown) }
		response, _, err := b.post("", once...)
		Expect(err).NotTo(HaveOccurred())
		expectOutcome(response, service.Unknown, "Refused")
		Expect(b.attemptCount()).To(Equal(1))
		expectReleases(b.releases(), false)
		Expect(b.released[0].InDoubtUntil).To(Equal(b.clock.Now().Add(10 * time.Second)))
	})

	It("tells the executor the key, against an executor that can't know a repetition", func() {
		b.claimKey = func() (service.Started, error) { return service.Started{First: true}, nil }
		b.respond = func(context.Context, int) (*service.Response, error) { return okResponse("whole") }
		_, _, err := b.post("", keyed...)
		Expect(err).NotTo(HaveOccurred())
		Expect(b.headers[0].Get(service.HeaderKey)).To(Equal("k1"))
	})

	It("repeats a non-idempotent request that no executor ran", func() {
		b.respond = func(_ context.Context, number int) (*service.Response, error) {
			if number == 1 {
				return failAttempt(service.NotRun)
			}
			return okResponse("lent")
		}
		Expect(b.advanceUntilReply(time.Millisecond, b.postAsync(once...)).body).To(Equal("lent"))
		expectReleases(b.releases(), true, true)
	})

	It("does not send a request whose key was started, against a second run", func() {
		b.claimKey = func() (service.Started, error) { return service.Started{}, nil }
		response, _, err := b.post("", keyed...)
		Expect(err).NotTo(HaveOccurred())
		expectOutcome(response, service.Unknown, service.ReasonAlreadyStarted)
		Expect(b.attemptCount()).To(BeZero())
		expectReleases(b.releases(), true)
	})

	It("says unknown for an uncertain claim, against a false refusal", func() {
		b.claimKey = func() (service.Started, error) { return service.Started{}, io.ErrUnexpectedEOF }
		response, _, err := b.post("", keyed...)
		Expect(err).NotTo(HaveOccurred())
		expectOutcome(response, service.Unknown, service.ReasonKeyUncertain)
		Expect(b.attemptCount()).To(BeZero())
	})

	It("says unknown when a retry is refused after an attempt that may have run", func() {
		b.respond = func(context.Context, int) (*service.Response, error) {
			b.mutex.Lock()
			defer b.mutex.Unlock()
			b.refusal = &service.Refusal{Reason: "Full", RetryAfter: time.Second}
			return failAttempt(service.Unknown)
		}
		got := b.advanceUntilReply(time.Millisecond, b.postAsync())
		expectOutcome(got.response, service.Unknown, "Refused")
	})

	It("refuses at once with the reason, the time to retry and a counter", func() {
		b.refusal = &service.Refusal{Reason: "Full", RetryAfter: 1500 * time.Millisecond}
		response, _, err := b.post("")
		Expect(err).NotTo(HaveOccurred())
		expectOutcome(response, service.NotRun, "Full")
		Expect(response.Header.Get("Retry-After")).To(Equal("2"))
		Expect(response.Header.Get(service.HeaderRetryAfter)).To(Equal("1.5s"))
		Expect(b.counter("Service.Refused.Full")).To(Equal(int64(1)))
		Expect(b.decisions[0].Manifest).To(BeEquivalentTo(7))
	})

	It("answers at the deadline although the executor is silent, against holding a caller", func() {
		b.respond = func(ctx context.Context, _ int) (*service.Response, error) { return blockUntilCancelled(ctx) }
		got := b.advanceUntilReply(50*time.Millisecond, b.postAsync(service.HeaderTimeout, "1s"))
		expectOutcome(got.response, service.Unknown, service.ReasonDeadline)
		Expect(b.slotRequests[0].Deadline.Sub(b.decisions[0].Time)).To(BeNumerically("<=", 0))
		Expect(b.releases()).To(BeEmpty(), "the executor may still answer")
		Expect(b.observations).To(HaveLen(1), "the executor counts as silent at once")
		Expect(b.observations[0].Cancelled).To(BeTrue())
		b.clock.Advance(10 * time.Second)
		Eventually(b.releases).Should(HaveLen(1))
		expectReleases(b.releases(), false)
	})

	It("frees the slot of an answer that is too late, against losing capacity to timeouts", func() {
		answer := make(chan struct{})
		b.respond = func(context.Context, int) (*service.Response, error) {
			<-answer
			return okResponse("late")
		}
		expectOutcome(b.advanceUntilReply(50*time.Millisecond, b.postAsync(service.HeaderTimeout, "1s")).response, service.Unknown, service.ReasonDeadline)
		close(answer)
		Eventually(b.releases).Should(HaveLen(1))
		expectReleases(b.releases(), true)
	})

	It("hedges a slow attempt on another executor within the budget", func() {
		b.hedgeDelay = 20 * time.Millisecond
		b.respond = func(ctx context.Context, number int) (*service.Response, error) {
			if number == 1 {
				return blockUntilCancelled(ctx)
			}
			return okResponse("fast")
		}
		Expect(b.advanceUntilReply(5*time.Millisecond, b.postAsync()).body).To(Equal("fast"))
		Expect(b.slotRequests[1].Exclude).To(ConsistOf(BeEquivalentTo("executor-1")))
		Expect(b.slotRequests[1].Immediate).To(BeTrue())
		expectReleases(b.releases(), true)
		b.clock.Advance(10 * time.Second)
		Eventually(b.releases).Should(HaveLen(2))
	})

	It("does not retry past the budget, against a retry storm", func() {
		b.allowExtra = false
		b.respond = func(context.Context, int) (*service.Response, error) { return failAttempt(service.NotRun) }
		response, _, err := b.post("")
		Expect(err).NotTo(HaveOccurred())
		expectOutcome(response, service.NotRun, "Refused")
		Expect(b.counter("Service.Denied.RetryBudget")).To(Equal(int64(1)))
	})

	It("reports every fault of the headers together", func() {
		response, body, err := b.post("", service.HeaderTimeout, "soon", service.HeaderFeed, "yes", service.HeaderKey, "a b", "Jacinthtrail-Timout", "1s")
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusBadRequest))
		var parsed service.ErrorBody
		Expect(json.Unmarshal([]byte(body), &parsed)).To(Succeed())
		Expect(parsed.Findings).To(HaveLen(5))
		expectOutcome(response, service.NotRun, service.ReasonInvalid)
	})

	It("refuses a body over the limit", func() {
		response, _, err := b.post(strings.Repeat("x", 101))
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusRequestEntityTooLarge))
		expectOutcome(response, service.NotRun, service.ReasonBodyTooLarge)
	})
})
