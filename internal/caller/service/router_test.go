package service_test

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/caller/service"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/admission"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/manifest"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// fakeHoldings is one executor with one slot.
type fakeHoldings struct {
	mutex   sync.Mutex
	inUse   int
	waiting int
	// noSlots means that no slot is in hand, requestPending that the owner has yet to answer.
	noSlots, requestPending bool
}

func (h *fakeHoldings) Candidates(manifest.ServiceName) []admission.Candidate {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.noSlots {
		return nil
	}
	return []admission.Candidate{{Executor: "a", Slots: 1, InUse: h.inUse}}
}

func (h *fakeHoldings) Take(manifest.ServiceName, membership.InstanceID, bool) (service.Slot, bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.inUse++
	return service.Slot{Executor: "a", Release: func(service.SlotUse) {
		h.mutex.Lock()
		defer h.mutex.Unlock()
		h.inUse--
	}}, true
}

func (h *fakeHoldings) Wanted(_ manifest.ServiceName, waiting int) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.waiting = waiting
}

func (h *fakeHoldings) Asked(manifest.ServiceName) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.requestPending
}

func (h *fakeHoldings) set(none, asked bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.noSlots, h.requestPending = none, asked
}

func (h *fakeHoldings) counts() [2]int {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return [2]int{h.inUse, h.waiting}
}

// countingClock counts the timers that are created.
type countingClock struct {
	*clockwork.FakeClock
	created int
}

func (c *countingClock) NewTimer(d time.Duration) clockwork.Timer {
	c.created++
	return c.FakeClock.NewTimer(d)
}

// timerWaitTimeout bounds the real time until a request under test waits for its timer.
const timerWaitTimeout = 10 * time.Second

// awaitTimer returns once one timer of the clock is waited for.
func awaitTimer(clock *clockwork.FakeClock) {
	GinkgoHelper()
	ctx, cancel := context.WithTimeout(context.Background(), timerWaitTimeout)
	defer cancel()
	Expect(clock.BlockUntilContext(ctx, 1)).To(Succeed())
}

var _ = Describe("Router", func() {
	var clock *clockwork.FakeClock
	var held *fakeHoldings
	var router *service.Router
	var first service.Slot
	chairdesk := manifest.Service{Name: "chairdesk"}
	acquire := func(ctx context.Context, timeout time.Duration) (service.Slot, error) {
		return router.Acquire(ctx, service.SlotRequest{Service: "chairdesk", Deadline: clock.Now().Add(timeout)})
	}
	// background acquires in the background.
	background := func(ctx context.Context, timeout time.Duration) <-chan error {
		errs := make(chan error, 1)
		ctx, cancel := context.WithCancel(ctx)
		var group sync.WaitGroup
		DeferCleanup(group.Wait)
		// The request ends with the test, also after a failure.
		DeferCleanup(cancel)
		group.Go(func() {
			_, err := acquire(ctx, timeout)
			errs <- err
		})
		return errs
	}
	// later does so with little time, and returns once the request waits.
	later := func(ctx context.Context) <-chan error {
		errs := background(ctx, 100*time.Millisecond)
		Eventually(held.counts).Should(Equal([2]int{1, 1}))
		return errs
	}
	expectRefused := func(errs <-chan error, reason admission.Reason) {
		GinkgoHelper()
		var err error
		Eventually(errs).Should(Receive(&err))
		var refusal *service.Refusal
		Expect(errors.As(err, &refusal)).To(BeTrue())
		Expect(refusal.Reason).To(BeEquivalentTo(reason))
	}

	BeforeEach(func() {
		clock = clockwork.NewFakeClock()
		held = &fakeHoldings{}
		governor := &service.AdmissionGovernor{Clock: clock}
		for range 100 {
			governor.Observe(chairdesk, "a", service.Observation{Duration: 20 * time.Millisecond, Outcome: service.Completed})
		}
		router = service.NewRouter(governor, held, clock)
		var err error
		first, err = acquire(context.Background(), 100*time.Millisecond)
		Expect(err).NotTo(HaveOccurred())
	})

	It("hands a freed slot to the request that waits", func() {
		waiting := later(context.Background())
		first.Release(service.SlotUse{Done: true})
		Eventually(waiting).Should(Receive(BeNil()))
		Expect(held.counts()[0]).To(Equal(1))
	})

	It("refuses a waiting request as soon as it can't be in time, against holding it to its deadline", func() {
		waiting := later(context.Background())
		awaitTimer(clock)
		clock.Advance(85 * time.Millisecond)
		expectRefused(waiting, admission.Dropped)
	})

	// advance moves the clock on by so many looks at the slots in hand.
	advance := func(looks int) {
		GinkgoHelper()
		for range looks {
			awaitTimer(clock)
			clock.Advance(20 * time.Millisecond)
		}
	}

	// Guards against refusals on a busy machine, where an owner takes longer to answer.
	It("waits for the owner's answer, against refusing what a grant under way serves", func() {
		held.set(true, true)
		slots := background(context.Background(), 2*time.Second)
		advance(9)
		// It has asked again and waits, so that the next step of the clock is for that wait.
		awaitTimer(clock)
		Expect(slots).NotTo(Receive())
		held.set(false, false)
		first.Release(service.SlotUse{Done: true})
		advance(1)
		Eventually(slots).Should(Receive(BeNil()))
	})

	// Guards against a step of the clock that fires a timer of the arrival in place of
	// the wait for the owner, so that the request waits for ever.
	It("sets no timer for a request that is decided on at arrival", func() {
		timers := &countingClock{FakeClock: clock}
		router.Clock = timers
		held.set(true, false)
		_, err := router.Acquire(context.Background(), service.SlotRequest{
			Service: "chairdesk", Deadline: clock.Now().Add(time.Second), Immediate: true,
		})
		Expect(err).To(HaveOccurred())
		Expect(timers.created).To(BeZero())
	})

	It("refuses once the owner has answered that there is none, against waiting in vain", func() {
		held.set(true, false)
		slots := background(context.Background(), 2*time.Second)
		advance(5)
		expectRefused(slots, admission.NoSlots)
	})

	It("forgets a request whose caller left, against a slot that nobody frees", func() {
		ctx, cancel := context.WithCancel(context.Background())
		waiting := later(ctx)
		cancel()
		Eventually(waiting).Should(Receive(MatchError(context.Canceled)))
		first.Release(service.SlotUse{Done: true})
		Expect(held.counts()[0]).To(BeZero())
	})
})
