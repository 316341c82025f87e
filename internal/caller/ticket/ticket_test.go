package ticket

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/caller/service"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// peersFunc is a Peers that calls a function.
type peersFunc func(ctx context.Context, t Ticket) (Answer, error)

func (p peersFunc) ClaimTicket(ctx context.Context, _ membership.InstanceID, t Ticket) (Answer, error) {
	return p(ctx, t)
}

type discardCounters struct{}

func (discardCounters) Add(string, int64) {}

func issue(h *Home, count int) []Ticket {
	GinkgoHelper()
	tickets, err := h.Issue(count)
	Expect(err).NotTo(HaveOccurred())
	return tickets
}

func expectRefusal(err error, reason service.Reason) {
	GinkgoHelper()
	var refusal *service.Refusal
	Expect(errors.As(err, &refusal)).To(BeTrue(), "%v", err)
	Expect(refusal.Reason).To(Equal(reason))
}

func expectNoRefusal(err error) {
	GinkgoHelper()
	Expect(err).To(HaveOccurred())
	var refusal *service.Refusal
	Expect(errors.As(err, &refusal)).To(BeFalse(), "a claim with an unknown outcome must not be reported as a refusal")
}

var _ = Describe("Home", func() {
	var clock *clockwork.FakeClock
	var home *Home
	BeforeEach(func() {
		clock = clockwork.NewFakeClock()
		home = NewHome("entry-1", clock)
	})

	It("grants only one of many concurrent claims, so that no request runs twice", func() {
		t := issue(home, 100)[77]
		var granted atomic.Int64
		var claims sync.WaitGroup
		for range 32 {
			claims.Go(func() {
				if home.Claim(t) == Granted {
					granted.Add(1)
				}
			})
		}
		claims.Wait()
		Expect(granted.Load()).To(BeEquivalentTo(1))
	})

	It("remembers a claim for the whole window and answers that the ticket expired afterwards", func() {
		t, unused := issue(home, 2)[0], issue(home, 1)[0]
		Expect(home.Claim(t)).To(Equal(Granted))
		clock.Advance(Window)
		Expect(home.Claim(t)).To(Equal(AlreadyClaimed))
		clock.Advance(batchDuration)
		Expect(home.Claim(t)).To(Equal(Expired))
		Expect(home.Claim(unused)).To(Equal(Expired))
	})

	It("does not grant tickets that it never issued or that an earlier run issued", func() {
		t := issue(home, 1)[0]
		Expect(NewHome("entry-1", clock).Claim(t)).To(Equal(OtherIncarnation))
		t.Number = 5
		Expect(home.Claim(t)).To(Equal(Expired))
	})

	It("limits the unexpired tickets and issues new ones after some expire", func() {
		home.maxLive = 100
		issue(home, 60)
		clock.Advance(time.Minute)
		issue(home, 40)
		_, err := home.Issue(1)
		Expect(err).To(MatchError(ErrFull))
		clock.Advance(Window)
		issue(home, 60)
		Expect(home.batches).To(HaveLen(2))
	})
})

var _ = Describe("Claimer", func() {
	var home *Home
	begin := func(p peersFunc, key string) (service.ClaimResult, error) {
		clock := clockwork.NewFakeClock()
		claimer := Claimer{Home: NewHome("entry-2", clock), Peers: p, Clock: clock}
		return claimer.Claim(context.Background(), "kasa-lend", key)
	}
	BeforeEach(func() { home = NewHome("entry-1", clockwork.NewFakeClock()) })
	atHome := func(_ context.Context, t Ticket) (Answer, error) { return home.Claim(t), nil }

	It("claims a ticket only once at its home", func() {
		key := issue(home, 1)[0].String()
		Expect(begin(atHome, key)).To(Equal(service.ClaimResult{Claimed: true}))
		Expect(begin(atHome, key)).To(Equal(service.ClaimResult{Reason: ReasonAlreadyClaimed}))
	})

	It("fails without a refusal when the answer of the home is lost, because the home may have granted the claim", func() {
		key := issue(home, 1)[0].String()
		_, err := begin(func(_ context.Context, t Ticket) (Answer, error) {
			home.Claim(t)
			return "", errors.New("connection reset")
		}, key)
		expectNoRefusal(err)
		Expect(begin(atHome, key)).To(Equal(service.ClaimResult{Reason: ReasonAlreadyClaimed}))
	})

	It("fails without a refusal when the home has restarted", func() {
		t := issue(home, 1)[0]
		home = NewHome("entry-1", clockwork.NewFakeClock())
		_, err := begin(atHome, t.String())
		expectNoRefusal(err)
	})

	It("gives up after the timeout when the home does not answer, so that a silent connection does not block the request", func() {
		clock := clockwork.NewFakeClock()
		claimer := Claimer{Home: NewHome("entry-2", clock), Clock: clock}
		claimer.Peers = peersFunc(func(ctx context.Context, _ Ticket) (Answer, error) {
			clock.Advance(DefaultTimeout)
			<-ctx.Done()
			return "", ctx.Err()
		})
		_, err := claimer.Claim(context.Background(), "kasa-lend", issue(home, 1)[0].String())
		expectNoRefusal(err)
	})

	It("refuses a malformed ticket, and reports a ticket that was never issued as expired", func() {
		_, err := begin(atHome, "entry-1/x/07")
		expectRefusal(err, ReasonFormat)
		t := issue(home, 1)[0]
		t.Number = 9
		started, err := begin(atHome, t.String())
		Expect(err).NotTo(HaveOccurred())
		Expect(started).To(Equal(service.ClaimResult{Reason: ReasonExpired}))
	})
})

var _ = Describe("POST /tickets", func() {
	post := func(target string) *httptest.ResponseRecorder {
		handler := Handler{Home: NewHome("entry-1", clockwork.NewFakeClock()), Counters: discardCounters{}}
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, target, http.NoBody))
		return recorder
	}

	It("issues distinct tickets that Parse accepts", func() {
		var issued Issued
		Expect(json.Unmarshal(post("/tickets?count=1000").Body.Bytes(), &issued)).To(Succeed())
		numbers := map[uint64]bool{}
		for _, text := range issued.Tickets {
			t, err := Parse(text)
			Expect(err).NotTo(HaveOccurred())
			numbers[t.Number] = true
		}
		Expect(numbers).To(HaveLen(1000))
	})

	DescribeTable("refuses a request with an invalid count or parameter", func(target string) {
		recorder := post(target)
		Expect(recorder.Code).To(Equal(http.StatusBadRequest))
		Expect(recorder.Header().Get(service.HeaderOutcome)).To(Equal("NotRun"))
	},
		Entry("zero", "/tickets?count=0"), Entry("a count above the maximum", "/tickets?count=1001"),
		Entry("a count that is not a number", "/tickets?count=x"), Entry("an unknown parameter", "/tickets?cuont=1"),
	)
})
