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

// fakeSlotPool has one slot on one executor.
type fakeSlotPool struct {
	mutex   sync.Mutex
	inUse   int
	waiting int
	// noSlots takes the slot away. requestPending means that the owner has yet to answer a
	// request for slots.
	noSlots, requestPending bool
}

func (p *fakeSlotPool) Candidates(manifest.ServiceName) []admission.Candidate {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.noSlots {
		return nil
	}
	return []admission.Candidate{{Executor: "a", Slots: 1, InUse: p.inUse}}
}

func (p *fakeSlotPool) Acquire(manifest.ServiceName, membership.InstanceID, bool) (service.Slot, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.inUse++
	return service.Slot{Executor: "a", Release: func(service.SlotRelease) {
		p.mutex.Lock()
		defer p.mutex.Unlock()
		p.inUse--
	}}, true
}

func (p *fakeSlotPool) ReportShortage(_ manifest.ServiceName, waiting int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.waiting = waiting
}

func (p *fakeSlotPool) RequestPending(manifest.ServiceName) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.requestPending
}

func (p *fakeSlotPool) set(noSlots, requestPending bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.noSlots, p.requestPending = noSlots, requestPending
}

// counts returns the slots in use and the waiting requests.
func (p *fakeSlotPool) counts() [2]int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return [2]int{p.inUse, p.waiting}
}

// countingClock counts the timers created with NewTimer.
type countingClock struct {
	*clockwork.FakeClock
	created int
}

func (c *countingClock) NewTimer(d time.Duration) clockwork.Timer {
	c.created++
	return c.FakeClock.NewTimer(d)
}

// timerWaitTimeout is how long a test waits, in real time, for the request under test to
// wait on a timer.
const timerWaitTimeout = 10 * time.Second

// awaitTimer waits until something waits on a timer of the clock.
func awaitTimer(clock *clockwork.FakeClock) {
	GinkgoHelper()
	ctx, cancel := context.WithTimeout(context.Background(), timerWaitTimeout)
	defer cancel()
	Expect(clock.BlockUntilContext(ctx, 1)).To(Succeed())
}

var _ = Describe("SlotRouter", func() {
	var clock *clockwork.FakeClock
	var pool *fakeSlotPool
	var router *service.SlotRouter
	var firstSlot service.Slot
	chairdesk := manifest.Service{Name: "chairdesk"}
	acquire := func(ctx context.Context, timeout time.Duration) (service.Slot, error) {
		return router.Acquire(ctx, service.SlotRequest{Service: "chairdesk", Deadline: clock.Now().Add(timeout)})
	}
	// acquireAsync acquires a slot in the background. The request is cancelled at the end of
	// the test, including after a failure.
	acquireAsync := func(ctx context.Context, timeout time.Duration) <-chan error {
		errs := make(chan error, 1)
		ctx, cancel := context.WithCancel(ctx)
		var group sync.WaitGroup
		DeferCleanup(group.Wait)
		DeferCleanup(cancel)
		group.Go(func() {
			_, err := acquire(ctx, timeout)
			errs <- err
		})
		return errs
	}
	// acquireQueued acquires a slot with a short timeout and returns once the request is
	// waiting.
	acquireQueued := func(ctx context.Context) <-chan error {
		errs := acquireAsync(ctx, 100*time.Millisecond)
		Eventually(pool.counts).Should(Equal([2]int{1, 1}))
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
		pool = &fakeSlotPool{}
		governor := &service.AdmissionGovernor{Clock: clock}
		for range 100 {
			governor.Observe(chairdesk, "a", service.Observation{Duration: 20 * time.Millisecond, Outcome: service.Completed})
		}
		router = service.NewSlotRouter(governor, pool, clock)
		var err error
		firstSlot, err = acquire(context.Background(), 100*time.Millisecond)
		Expect(err).NotTo(HaveOccurred())
	})

	It("assigns a freed slot to a waiting request", func() {
		result := acquireQueued(context.Background())
		firstSlot.Release(service.SlotRelease{ExecutorDone: true})
		Eventually(result).Should(Receive(BeNil()))
		Expect(pool.counts()[0]).To(Equal(1))
	})

	// Guards against keeping the request in the queue until its deadline.
	It("refuses a waiting request as soon as it can no longer meet its deadline", func() {
		result := acquireQueued(context.Background())
		awaitTimer(clock)
		clock.Advance(85 * time.Millisecond)
		expectRefused(result, admission.Dropped)
	})

	// advance lets that many retry intervals pass for a request that finds no slots.
	advance := func(retries int) {
		GinkgoHelper()
		for range retries {
			awaitTimer(clock)
			clock.Advance(20 * time.Millisecond)
		}
	}

	// Guards against refusing a request although a grant for it is on its way. On a busy
	// machine an owner takes longer to answer.
	It("waits until the owner has answered a request for slots", func() {
		pool.set(true, true)
		result := acquireAsync(context.Background(), 2*time.Second)
		advance(9)
		// The request has retried and waits again, so the next advance ends that wait.
		awaitTimer(clock)
		Expect(result).NotTo(Receive())
		pool.set(false, false)
		firstSlot.Release(service.SlotRelease{ExecutorDone: true})
		advance(1)
		Eventually(result).Should(Receive(BeNil()))
	})

	// Guards against a request that waits forever, because advancing the fake clock fires a
	// timer set on arrival instead of the one for the retry interval.
	It("creates no timer for a request that is served or refused immediately", func() {
		timers := &countingClock{FakeClock: clock}
		router.Clock = timers
		pool.set(true, false)
		_, err := router.Acquire(context.Background(), service.SlotRequest{
			Service: "chairdesk", Deadline: clock.Now().Add(time.Second), Immediate: true,
		})
		Expect(err).To(HaveOccurred())
		Expect(timers.created).To(BeZero())
	})

	// Guards against waiting for slots that don't exist.
	It("refuses a request once the owner has answered that there are no slots", func() {
		pool.set(true, false)
		result := acquireAsync(context.Background(), 2*time.Second)
		advance(5)
		expectRefused(result, admission.NoSlots)
	})

	// Guards against assigning a slot to a cancelled request, which never frees it.
	It("removes a cancelled request from the queue", func() {
		ctx, cancel := context.WithCancel(context.Background())
		result := acquireQueued(ctx)
		cancel()
		Eventually(result).Should(Receive(MatchError(context.Canceled)))
		firstSlot.Release(service.SlotRelease{ExecutorDone: true})
		Expect(pool.counts()[0]).To(BeZero())
	})
})
