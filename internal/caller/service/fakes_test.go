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

// bench is a handler whose executors, slots and keys are scripted by the test.
type bench struct {
	mutex    sync.Mutex
	server   *httptest.Server
	handler  *service.Handler
	clock    *clockwork.FakeClock
	service  manifest.Service
	send     func(ctx context.Context, number int) (*service.Response, error)
	refuse   *service.Refusal
	begin    func() (service.Started, error)
	extra    bool
	hedge    time.Duration
	sent     int
	headers  []http.Header
	needs    []service.Need
	released []service.SlotUse
	counts   map[string]int64
	seen     []service.Decision
	observed []service.Observation
}

func newBench() *bench {
	b := &bench{clock: clockwork.NewFakeClock(), extra: true, counts: map[string]int64{}}
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

func locked[T any](b *bench, get func() T) T {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return get()
}

func (b *bench) Acquire(_ context.Context, need service.Need) (service.Slot, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.needs = append(b.needs, need)
	if b.refuse != nil {
		return service.Slot{}, b.refuse
	}
	id := membership.InstanceID("executor-" + strconv.Itoa(len(b.needs)))
	return service.Slot{Executor: id, Address: "127.0.0.1:1", Release: b.release}, nil
}

func (b *bench) release(use service.SlotUse) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.released = append(b.released, use)
}

func (b *bench) Do(ctx context.Context, attempt service.Attempt) (*service.Response, error) {
	number := locked(b, func() int {
		b.headers = append(b.headers, attempt.Request.Header)
		b.sent++
		return b.sent
	})
	return b.send(ctx, number)
}

func (b *bench) Begin(context.Context, manifest.ServiceName, string) (service.Started, error) {
	return b.begin()
}

func (b *bench) Current() manifest.Published {
	return manifest.Published{Version: 7, Manifest: manifest.Manifest{Services: []manifest.Service{b.service}}}
}

func (b *bench) Add(name string, delta int64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.counts[name] += delta
}

func (b *bench) Record(decision service.Decision) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.seen = append(b.seen, decision)
}

func (b *bench) Arrived(manifest.Service)         {}
func (b *bench) AllowExtra(manifest.Service) bool { return b.extra }
func (b *bench) HedgeDelay(manifest.Service) (time.Duration, bool) {
	return b.hedge, b.hedge > 0
}

func (b *bench) Observe(_ manifest.Service, _ membership.InstanceID, seen service.Observation) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.observed = append(b.observed, seen)
}

// ask sends a request; each pair of values is a header.
func (b *bench) ask(body string, headers ...string) (*http.Response, string, error) {
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

// askLater sends a request whose answer the test awaits later.
func (b *bench) askLater(headers ...string) <-chan reply {
	replies := make(chan reply, 1)
	var group sync.WaitGroup
	DeferCleanup(group.Wait)
	group.Go(func() {
		defer GinkgoRecover()
		response, body, err := b.ask("", headers...)
		replies <- reply{response, body, err}
	})
	return replies
}

func (b *bench) sentCount() int { return locked(b, func() int { return b.sent }) }
func (b *bench) uses() []service.SlotUse {
	return locked(b, func() []service.SlotUse { return append([]service.SlotUse(nil), b.released...) })
}

func (b *bench) count(name string) int64 { return locked(b, func() int64 { return b.counts[name] }) }

// advance moves the clock until the reply is there, in a bounded number of steps.
func (b *bench) advance(step time.Duration, replies <-chan reply) reply {
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

func ok(body string) (*service.Response, error) {
	return &service.Response{StatusCode: http.StatusOK, Body: io.NopCloser(bytes.NewBufferString(body))}, nil
}

// broken is an answer that ends early after some bytes.
func broken(body string) (*service.Response, error) {
	rest := io.MultiReader(bytes.NewBufferString(body), failing{})
	return &service.Response{StatusCode: http.StatusOK, Body: io.NopCloser(rest)}, nil
}

type failing struct{}

func (failing) Read([]byte) (int, error) { return 0, errors.New("ends early") }

func failed(class service.Outcome) (*service.Response, error) {
	return nil, &service.SendError{Class: class, Reason: "Refused"}
}

func silent(ctx context.Context) (*service.Response, error) {
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

func expectDone(uses []service.SlotUse, done ...bool) {
	GinkgoHelper()
	Expect(uses).To(HaveLen(len(done)))
	for i, use := range uses {
		Expect(use.Done).To(Equal(done[i]), "slot %d", i)
	}
}
