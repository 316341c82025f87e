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
	var b *bench
	BeforeEach(func() { b = newBench() })
	once := []string{service.HeaderNonIdempotent, "true"}
	keyed := append([]string{service.HeaderKey, "k1"}, once...)

	It("retries a truncated answer, against passing on half an answer", func() {
		b.send = func(_ context.Context, number int) (*service.Response, error) {
			if number == 1 {
				return broken("half")
			}
			return ok("whole")
		}
		replies := b.askLater()
		got := b.advance(time.Millisecond, replies)
		Expect(got.body).To(Equal("whole"))
		Expect(got.response.Header.Get(service.HeaderOutcome)).To(Equal("Completed"))
		Expect(b.count("Service.Retried.Truncated")).To(Equal(int64(1)))
		Expect(b.needs[1].Exclude).To(HaveLen(1))
		expectDone(b.uses(), false, true)
	})

	It("aborts the connection once bytes went out, against an answer that looks complete", func() {
		b.send = func(context.Context, int) (*service.Response, error) {
			return broken(strings.Repeat("x", 2*service.MaxBuffered))
		}
		_, _, err := b.ask("")
		Expect(err).To(HaveOccurred())
		Eventually(func() int64 { return b.count("Service.Aborted.Truncated") }).Should(Equal(int64(1)))
		Expect(b.sentCount()).To(Equal(1))
	})

	It("refuses HTTP/1.0, against an answer whose cut looks like its end", func() {
		request := httptest.NewRequest(http.MethodGet, "/services/chairdesk/check", nil)
		request.Proto, request.ProtoMajor, request.ProtoMinor = "HTTP/1.0", 1, 0
		recorder := httptest.NewRecorder()
		b.handler.ServeHTTP(recorder, request)
		expectOutcome(recorder.Result(), service.NotRun, service.ReasonInvalid)
		Expect(b.sentCount()).To(BeZero())
	})

	It("sends a non-idempotent request once, against charging a deposit twice", func() {
		b.send = func(context.Context, int) (*service.Response, error) { return failed(service.Unknown) }
		response, _, err := b.ask("", once...)
		Expect(err).NotTo(HaveOccurred())
		expectOutcome(response, service.Unknown, "Refused")
		Expect(b.sentCount()).To(Equal(1))
		expectDone(b.uses(), false)
		Expect(b.released[0].InDoubtUntil).To(Equal(b.clock.Now().Add(10 * time.Second)))
	})

	It("tells the executor the key, against an executor that can't know a repetition", func() {
		b.begin = func() (service.Started, error) { return service.Started{First: true}, nil }
		b.send = func(context.Context, int) (*service.Response, error) { return ok("whole") }
		_, _, err := b.ask("", keyed...)
		Expect(err).NotTo(HaveOccurred())
		Expect(b.headers[0].Get(service.HeaderKey)).To(Equal("k1"))
	})

	It("repeats a non-idempotent request that no executor ran", func() {
		b.send = func(_ context.Context, number int) (*service.Response, error) {
			if number == 1 {
				return failed(service.NotRun)
			}
			return ok("lent")
		}
		Expect(b.advance(time.Millisecond, b.askLater(once...)).body).To(Equal("lent"))
		expectDone(b.uses(), true, true)
	})

	It("does not send a request whose key was started, against a second run", func() {
		b.begin = func() (service.Started, error) { return service.Started{}, nil }
		response, _, err := b.ask("", keyed...)
		Expect(err).NotTo(HaveOccurred())
		expectOutcome(response, service.Unknown, service.ReasonAlreadyStarted)
		Expect(b.sentCount()).To(BeZero())
		expectDone(b.uses(), true)
	})

	It("says unknown for an uncertain claim, against a false refusal", func() {
		b.begin = func() (service.Started, error) { return service.Started{}, io.ErrUnexpectedEOF }
		response, _, err := b.ask("", keyed...)
		Expect(err).NotTo(HaveOccurred())
		expectOutcome(response, service.Unknown, service.ReasonKeyUncertain)
		Expect(b.sentCount()).To(BeZero())
	})

	It("says unknown when a retry is refused after an attempt that may have run", func() {
		b.send = func(context.Context, int) (*service.Response, error) {
			b.mutex.Lock()
			defer b.mutex.Unlock()
			b.refuse = &service.Refusal{Reason: "Full", RetryAfter: time.Second}
			return failed(service.Unknown)
		}
		got := b.advance(time.Millisecond, b.askLater())
		expectOutcome(got.response, service.Unknown, "Refused")
	})

	It("refuses at once with the reason, the time to retry and a counter", func() {
		b.refuse = &service.Refusal{Reason: "Full", RetryAfter: 1500 * time.Millisecond}
		response, _, err := b.ask("")
		Expect(err).NotTo(HaveOccurred())
		expectOutcome(response, service.NotRun, "Full")
		Expect(response.Header.Get("Retry-After")).To(Equal("2"))
		Expect(response.Header.Get(service.HeaderRetryAfter)).To(Equal("1.5s"))
		Expect(b.count("Service.Refused.Full")).To(Equal(int64(1)))
		Expect(b.seen[0].Manifest).To(BeEquivalentTo(7))
	})

	It("answers at the deadline although the executor is silent, against holding a caller", func() {
		b.send = func(ctx context.Context, _ int) (*service.Response, error) { return silent(ctx) }
		got := b.advance(50*time.Millisecond, b.askLater(service.HeaderTimeout, "1s"))
		expectOutcome(got.response, service.Unknown, service.ReasonDeadline)
		Expect(b.needs[0].Deadline.Sub(b.seen[0].Time)).To(BeNumerically("<=", 0))
		Expect(b.uses()).To(BeEmpty(), "the executor may still answer")
		Expect(b.observed).To(HaveLen(1), "the executor counts as silent at once")
		Expect(b.observed[0].Cancelled).To(BeTrue())
		b.clock.Advance(10 * time.Second)
		Eventually(b.uses).Should(HaveLen(1))
		expectDone(b.uses(), false)
	})

	It("frees the slot of an answer that is too late, against losing capacity to timeouts", func() {
		answer := make(chan struct{})
		b.send = func(context.Context, int) (*service.Response, error) {
			<-answer
			return ok("late")
		}
		expectOutcome(b.advance(50*time.Millisecond, b.askLater(service.HeaderTimeout, "1s")).response, service.Unknown, service.ReasonDeadline)
		close(answer)
		Eventually(b.uses).Should(HaveLen(1))
		expectDone(b.uses(), true)
	})

	It("hedges a slow attempt on another executor within the budget", func() {
		b.hedge = 20 * time.Millisecond
		b.send = func(ctx context.Context, number int) (*service.Response, error) {
			if number == 1 {
				return silent(ctx)
			}
			return ok("fast")
		}
		Expect(b.advance(5*time.Millisecond, b.askLater()).body).To(Equal("fast"))
		Expect(b.needs[1].Exclude).To(ConsistOf(BeEquivalentTo("executor-1")))
		Expect(b.needs[1].Immediate).To(BeTrue())
		expectDone(b.uses(), true)
		b.clock.Advance(10 * time.Second)
		Eventually(b.uses).Should(HaveLen(2))
	})

	It("does not retry past the budget, against a retry storm", func() {
		b.extra = false
		b.send = func(context.Context, int) (*service.Response, error) { return failed(service.NotRun) }
		response, _, err := b.ask("")
		Expect(err).NotTo(HaveOccurred())
		expectOutcome(response, service.NotRun, "Refused")
		Expect(b.count("Service.Denied.RetryBudget")).To(Equal(int64(1)))
	})

	It("reports every fault of the headers together", func() {
		response, body, err := b.ask("", service.HeaderTimeout, "soon", service.HeaderFeed, "yes", service.HeaderKey, "a b", "Jacinthtrail-Timout", "1s")
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusBadRequest))
		var parsed service.ErrorBody
		Expect(json.Unmarshal([]byte(body), &parsed)).To(Succeed())
		Expect(parsed.Findings).To(HaveLen(5))
		expectOutcome(response, service.NotRun, service.ReasonInvalid)
	})

	It("refuses a body over the limit", func() {
		response, _, err := b.ask(strings.Repeat("x", 101))
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusRequestEntityTooLarge))
		expectOutcome(response, service.NotRun, service.ReasonBodyTooLarge)
	})
})
