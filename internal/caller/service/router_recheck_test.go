package service_test

import (
	"context"
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

// busyAndFreeHoldings has slots on two executors, a free one on the first and a busy one on
// the second.
type busyAndFreeHoldings struct{}

func (busyAndFreeHoldings) Candidates(manifest.ServiceName) []admission.Candidate {
	return []admission.Candidate{{Executor: "a", Slots: 1}, {Executor: "b", Slots: 1, InUse: 1}}
}

func (busyAndFreeHoldings) Take(_ manifest.ServiceName, id membership.InstanceID, _ bool) (service.Slot, bool) {
	return service.Slot{Executor: id, Release: func(service.SlotUse) {}}, true
}

func (busyAndFreeHoldings) Asked(manifest.ServiceName) bool { return false }

func (busyAndFreeHoldings) Wanted(manifest.ServiceName, int) {}

var _ = Describe("Router with an avoided executor", func() {
	// Guards against waiting requests that are dropped although an executor is due for a
	// probe. If the last request in flight ends before the probe delay, no freed slot
	// triggers another check.
	It("serves a waiting request when the probe delay has passed", func() {
		clock := clockwork.NewFakeClock()
		governor := &service.AdmissionGovernor{Clock: clock}
		chairdesk := manifest.Service{Name: "chairdesk"}
		for range 3 {
			governor.Observe(chairdesk, "a", service.Observation{Outcome: service.NotRun})
		}
		router := service.NewRouter(governor, busyAndFreeHoldings{}, clock)
		slots := make(chan service.Slot, 1)
		ctx, cancel := context.WithCancel(context.Background())
		var group sync.WaitGroup
		DeferCleanup(group.Wait)
		DeferCleanup(cancel)
		waitCtx, stopWaiting := context.WithTimeout(ctx, timerWaitTimeout)
		group.Go(func() {
			defer stopWaiting()
			slot, _ := router.Acquire(ctx, service.SlotRequest{
				Service: "chairdesk", Deadline: clock.Now().Add(time.Minute),
			})
			slots <- slot
		})
		// Longer than the first probe delay, much shorter than the deadline.
		for range 20 {
			if clock.BlockUntilContext(waitCtx, 1) != nil {
				break
			}
			clock.Advance(50 * time.Millisecond)
		}
		Eventually(slots).Should(Receive(HaveField("Executor", membership.InstanceID("a"))))
	})
})
