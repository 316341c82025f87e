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

// harness is a handler whose executors, slots and keys are scripted by the test.
type harness struct {
	mutex        sync.Mutex
	server       *httptest.Server
	handler      *service.Handler
	clock        *clockwork.FakeClock
	service      manifest.Service
	respond      func(ctx context.Context, number int) (*service.Response, error)
	refusal      *service.Refusal
	claimKey     func() (service.Started, error)
	allowExtra   bool
	hedgeDelay   time.Duration
	attempts     int
	headers      []http.Header
	slotRequests []service.SlotRequest
	released     []service.SlotUse
	counters     map[string]int64
	decisions    []service.Decision
	observations []service.Observation
}

func newHarness() *harness {
	b := &harness{clock: clockwork.NewFakeClock(), allowExtra: true, counters: map[string]int64{}}
	b.service = manifest.Service{
		Name: "chairdesk", MaxDuration: manifest.Duration(10 * time.Second),
		MaxFeedDuration: manifest.Duration(time.Minute), MaxBody: 100,
	}
	b.handler = service.NewHandler(service.Config{
		Slots: b, Sender: b, Manifests: b, Keys: b, Governor: b, Counters: b, Recorder: b, Clock: b.clock,
	})
	b.server = httptest.NewServer(b.handler)
	DeferCleanup(b.server.Close)
	return b
}

func locked[T any](b *harness, get func() T) T {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return get()
}

func (b *harness) Acquire(_ context.Context, need service.SlotRequest) (service.Slot, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.slotRequests = append(b.slotRequests, need)
	if b.refusal != nil {
		return service.Slot{}, b.refusal
	}
	id := membership.InstanceID("executor-" + strconv.Itoa(len(b.slotRequests)))
	return service.Slot{Executor: id, Address: "127.0.0.1:1", Release: b.release}, nil
}

func (b *harness) release(use service.SlotUse) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.released = append(b.released, use)
}

func (b *harness) Do(ctx context.Context, attempt service.Attempt) (*service.Response, error) {
	number := locked(b, func() int {
		b.headers = append(b.headers, attempt.Request.Header)
		b.attempts++
		return b.attempts
	})
	return b.respond(ctx, number)
}

func (b *harness) Begin(context.Context, manifest.ServiceName, string) (service.Started, error) {
	return b.claimKey()
}

func (b *harness) Current() manifest.Published {
	return manifest.Published{Version: 7, Manifest: manifest.Manifest{Services: []manifest.Service{b.service}}}
}

func (b *harness) Add(name string, delta int64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.counters[name] += delta
}

func (b *harness) Record(decision service.Decision) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.decisions = append(b.decisions, decision)
}

func (b *harness) CreditRetryBudget(manifest.Service)      {}
func (b *harness) AllowExtraAttempt(manifest.Service) bool { return b.allowExtra }
func (b *harness) HedgeDelay(manifest.Service) (time.Duration, bool) {
	return b.hedgeDelay, b.hedgeDelay > 0
}

func (b *harness) Observe(_ manifest.Service, _ membership.InstanceID, seen service.Observation) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.observations = append(b.observations, seen)
}

// post sends a request; each pair of values is a header.
func (b *harness) post(body string, headers ...string) (*http.Response, string, error) {
	request, err := http.NewRequest(http.MethodPost, b.server.URL+"/services/chairdesk/swap", bytes.NewBufferString(body))
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

type reply struct {
	response *http.Response
	body     string
	err      error
}

// postAsync sends a request whose answer the test awaits later.
func (b *harness) postAsync(headers ...string) <-chan reply {
	replies := make(chan reply, 1)
	var group sync.WaitGroup
	DeferCleanup(group.Wait)
	group.Go(func() {
		defer GinkgoRecover()
		response, body, err := b.post("", headers...)
		replies <- reply{response, body, err}
	})
	return replies
}

func (b *harness) attemptCount() int { return locked(b, func() int { return b.attempts }) }
func (b *harness) releases() []service.SlotUse {
	return locked(b, func() []service.SlotUse { return append([]service.SlotUse(nil), b.released...) })
}

func (b *harness) counter(name string) int64 {
	return locked(b, func() int64 { return b.counters[name] })
}

// advanceUntilReply moves the clock until the reply is there, in a bounded number of steps.
func (b *harness) advanceUntilReply(step time.Duration, replies <-chan reply) reply {
	var got reply
	Eventually(func() bool {
		select {
		case got = <-replies:
			return true
		default:
			b.clock.Advance(step)
			return false
		}
	}, 5*time.Second, time.Millisecond).Should(BeTrue())
	return got
}

func okResponse(body string) (*service.Response, error) {
	return &service.Response{StatusCode: http.StatusOK, Body: io.NopCloser(bytes.NewBufferString(body))}, nil
}

// truncatedResponse is an answer that ends early after some bytes.
func truncatedResponse(body string) (*service.Response, error) {
	rest := io.MultiReader(bytes.NewBufferString(body), failingReader{})
	return &service.Response{StatusCode: http.StatusOK, Body: io.NopCloser(rest)}, nil
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, errors.New("ends early") }

func failAttempt(class service.Outcome) (*service.Response, error) {
	return nil, &service.SendError{Class: class, Reason: "Refused"}
}

func blockUntilCancelled(ctx context.Context) (*service.Response, error) {
	<-ctx.Done()
	return nil, &service.SendError{Class: service.Unknown, Reason: "Silent"}
}

func expectOutcome(response *http.Response, outcome service.Outcome, reason service.Reason) {
	GinkgoHelper()
	Expect(response.Header.Get(service.HeaderOutcome)).To(Equal(string(outcome)))
	Expect(response.Header.Get(service.HeaderReason)).To(Equal(string(reason)))
	Expect(response.Header.Get(service.HeaderRetryAfter)).NotTo(BeEmpty())
	Expect(response.Header.Get("Retry-After")).NotTo(BeEmpty())
}

func expectReleases(uses []service.SlotUse, done ...bool) {
	GinkgoHelper()
	Expect(uses).To(HaveLen(len(done)))
	for i, use := range uses {
		Expect(use.Done).To(Equal(done[i]), "slot %d", i)
	}
}
