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

// busyAndFreeSlotPool has slots on two executors, a free one on the first and a busy one on
// the second.
type busyAndFreeSlotPool struct{}

func (busyAndFreeSlotPool) Candidates(manifest.ServiceName) []admission.Candidate {
	return []admission.Candidate{{Executor: "a", Slots: 1}, {Executor: "b", Slots: 1, InUse: 1}}
}

func (busyAndFreeSlotPool) Acquire(_ manifest.ServiceName, id membership.InstanceID, _ bool) (service.Slot, bool) {
	return service.Slot{Executor: id, Release: func(service.SlotRelease) {}}, true
}

func (busyAndFreeSlotPool) RequestPending(manifest.ServiceName) bool { return false }

func (busyAndFreeSlotPool) ReportShortage(manifest.ServiceName, int) {}

var _ = Describe("SlotRouter with an avoided executor", func() {
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
		router := service.NewSlotRouter(governor, busyAndFreeSlotPool{}, clock)
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
