package service_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/caller/service"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/manifest"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// harness runs a handler on a test server and fakes all of its dependencies.
type harness struct {
	mutex        sync.Mutex
	server       *httptest.Server
	handler      *service.Handler
	clock        *clockwork.FakeClock
	service      manifest.Service
	respond      func(ctx context.Context, number int) (*service.Response, error)
	refusal      *service.Refusal
	claimKey     func() (service.ClaimResult, error)
	allowExtra   bool
	hedgeDelay   time.Duration
	attempts     int
	headers      []http.Header
	slotRequests []service.SlotRequest
	released     []service.SlotRelease
	counters     map[string]int64
	decisions    []service.Decision
	observations []service.Observation
}

func newHarness() *harness {
	h := &harness{clock: clockwork.NewFakeClock(), allowExtra: true, counters: map[string]int64{}}
	h.service = manifest.Service{
		Name: "chairdesk", MaxDuration: manifest.Duration(10 * time.Second),
		MaxFeedDuration: manifest.Duration(time.Minute), MaxBody: 100,
	}
	h.handler = service.NewHandler(service.Config{
		SlotSource: h, Sender: h, Manifests: h, Keys: h, Governor: h, Counters: h, Recorder: h, Clock: h.clock,
	})
	h.server = httptest.NewServer(h.handler)
	DeferCleanup(h.server.Close)
	return h
}

// locked returns the result of get, called with the lock held.
func locked[T any](h *harness, get func() T) T {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return get()
}

func (h *harness) Acquire(_ context.Context, request service.SlotRequest) (service.Slot, error) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.slotRequests = append(h.slotRequests, request)
	if h.refusal != nil {
		return service.Slot{}, h.refusal
	}
	id := membership.InstanceID("executor-" + strconv.Itoa(len(h.slotRequests)))
	return service.Slot{Executor: id, Address: "127.0.0.1:1", Release: h.release}, nil
}

func (h *harness) release(use service.SlotRelease) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.released = append(h.released, use)
}

func (h *harness) Do(ctx context.Context, attempt service.Attempt) (*service.Response, error) {
	number := locked(h, func() int {
		h.headers = append(h.headers, attempt.Request.Header)
		h.attempts++
		return h.attempts
	})
	return h.respond(ctx, number)
}

func (h *harness) Claim(context.Context, manifest.ServiceName, string) (service.ClaimResult, error) {
	return h.claimKey()
}

func (h *harness) Current() manifest.Published {
	return manifest.Published{Version: 7, Manifest: manifest.Manifest{Services: []manifest.Service{h.service}}}
}

func (h *harness) Add(name string, delta int64) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.counters[name] += delta
}

func (h *harness) Record(decision service.Decision) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.decisions = append(h.decisions, decision)
}

func (h *harness) CreditRetryBudget(manifest.Service)      {}
func (h *harness) AllowExtraAttempt(manifest.Service) bool { return h.allowExtra }
func (h *harness) HedgeDelay(manifest.Service) (time.Duration, bool) {
	return h.hedgeDelay, h.hedgeDelay > 0
}

func (h *harness) Observe(_ manifest.Service, _ membership.InstanceID, observation service.Observation) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.observations = append(h.observations, observation)
}

// post sends a request. headers alternates between names and values.
func (h *harness) post(body string, headers ...string) (*http.Response, string, error) {
	request, err := http.NewRequest(http.MethodPost, h.server.URL+"/services/chairdesk/swap", bytes.NewBufferString(body))
	Expect(err).NotTo(HaveOccurred())
	for i := 0; i < len(headers); i += 2 {
		request.Header.Add(headers[i], headers[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, "", err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return response, string(content), err
}

// reply is the result of postAsync.
type reply struct {
	response *http.Response
	body     string
	err      error
}

// postAsync sends a request in the background.
func (h *harness) postAsync(headers ...string) <-chan reply {
	replies := make(chan reply, 1)
	var group sync.WaitGroup
	DeferCleanup(group.Wait)
	group.Go(func() {
		defer GinkgoRecover()
		response, body, err := h.post("", headers...)
		replies <- reply{response, body, err}
	})
	return replies
}

func (h *harness) attemptCount() int { return locked(h, func() int { return h.attempts }) }
func (h *harness) releases() []service.SlotRelease {
	return locked(h, func() []service.SlotRelease { return append([]service.SlotRelease(nil), h.released...) })
}

func (h *harness) counter(name string) int64 {
	return locked(h, func() int64 { return h.counters[name] })
}

// advanceUntilReply advances the clock in steps until the reply arrives, for at most 5 s of
// real time.
func (h *harness) advanceUntilReply(step time.Duration, replies <-chan reply) reply {
	var got reply
	Eventually(func() bool {
		select {
		case got = <-replies:
			return true
		default:
			h.clock.Advance(step)
			return false
		}
	}, 5*time.Second, time.Millisecond).Should(BeTrue())
	return got
}

func okResponse(body string) (*service.Response, error) {
	return &service.Response{StatusCode: http.StatusOK, Body: io.NopCloser(bytes.NewBufferString(body))}, nil
}

// truncatedResponse returns a response that fails after body.
func truncatedResponse(body string) (*service.Response, error) {
	rest := io.MultiReader(bytes.NewBufferString(body), failingReader{})
	return &service.Response{StatusCode: http.StatusOK, Body: io.NopCloser(rest)}, nil
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, errors.New("response is truncated") }

// failAttempt returns the error of a failed attempt.
func failAttempt(outcome service.Outcome) (*service.Response, error) {
	return nil, &service.SendError{Outcome: outcome, Reason: "Refused"}
}

// blockUntilCancelled behaves like an executor that never responds.
func blockUntilCancelled(ctx context.Context) (*service.Response, error) {
	<-ctx.Done()
	return nil, &service.SendError{Outcome: service.Unknown, Reason: "Silent"}
}

func expectOutcome(response *http.Response, outcome service.Outcome, reason service.Reason) {
	GinkgoHelper()
	Expect(response.Header.Get(service.HeaderOutcome)).To(Equal(string(outcome)))
	Expect(response.Header.Get(service.HeaderReason)).To(Equal(string(reason)))
	Expect(response.Header.Get(service.HeaderRetryAfter)).NotTo(BeEmpty())
	Expect(response.Header.Get("Retry-After")).NotTo(BeEmpty())
}

// expectReleases checks SlotRelease.ExecutorDone of the released slots, in order.
func expectReleases(releases []service.SlotRelease, done ...bool) {
	GinkgoHelper()
	Expect(releases).To(HaveLen(len(done)))
	for i, release := range releases {
		Expect(release.ExecutorDone).To(Equal(done[i]), "slot %d", i)
	}
}
