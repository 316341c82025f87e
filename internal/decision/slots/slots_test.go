package slots

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

var start = time.Unix(1000, 0)

// newTestAllocator returns the allocator of a first owner with executors of 8 slots and 64
// connections each.
func newTestAllocator(executors int) *Allocator {
	a := NewAllocator(start, 1, DefaultConfig(), true)
	for i := range executors {
		a.SetExecutor(Executor{ID: membership.InstanceID(fmt.Sprint("executor-", i)), Service: "s", Capacity: Amount{8, 64}, MaxDuration: time.Second})
	}
	return a
}

func totalSlots(grants []Grant) int {
	total := 0
	for _, g := range grants {
		total += g.Amount.Slots
	}
	return total
}

func request(holder membership.InstanceID, slots, waiting int) Request {
	return Request{Holder: holder, Service: "s", Want: Amount{slots, slots}, Waiting: waiting}
}

var _ = Describe("Allocator", func() {
	// Guards against a busy holder getting no more slots than an idle one.
	It("grants in proportion to the number of waiting requests", func() {
		a := newTestAllocator(10)
		a.Acquire(start, request("b", 0, 29))
		Expect(totalSlots(a.Acquire(start, request("a", 40, 9)))).To(Equal(10))
		Expect(totalSlots(a.Acquire(start, request("b", 40, 29)))).To(Equal(30))
	})

	// Guards against losing the remainder when the base capacity doesn't divide evenly
	// between the members.
	It("grants the whole base capacity", func() {
		a := newTestAllocator(10)
		members := []membership.InstanceID{"a", "b", "c", "d", "e", "f", "g"}
		total := 0
		for _, id := range members {
			total += totalSlots(a.AcquireBase(start, id, members))
		}
		Expect(total).To(Equal(40))
	})

	// Guards against a new instance never getting a slot: it refuses requests that it
	// can't serve, so fewer wait there than at the other instances.
	It("recalls a slot for a holder that has none", func() {
		a, h := newTestAllocator(1), NewHolder("a")
		Expect(h.AddGrants(start, 1, a.Acquire(start, request("a", 4, 5)))).To(Succeed())
		Expect(a.Acquire(start, request("b", 1, 1))).To(BeEmpty())
		recalls := a.GrantsToRecall(start, nil)
		Expect(recalls).To(HaveLen(1))
		keep, _ := h.Recall(recalls[0].ID)
		a.Return("a", keep)
		Expect(totalSlots(a.Acquire(start, request("a", 4, 5)))).To(Equal(3))
		Expect(totalSlots(a.Acquire(start, request("b", 1, 1)))).To(Equal(1))
		Expect(a.GrantsToRecall(start, nil)).To(BeEmpty())
	})

	// Guards against ending a feed because its executor is leaving.
	It("recalls grants of a leaving executor and then renews only what is in use", func() {
		a, h := newTestAllocator(1), NewHolder("a")
		Expect(h.AddGrants(start, 1, a.Acquire(start, request("a", 4, 1)))).To(Succeed())
		_, ok := h.Acquire(start, []membership.InstanceID{"executor-0"}, true)
		Expect(ok).To(BeTrue())
		a.SetExecutor(Executor{ID: "executor-0", Service: "s", Leaving: true})
		Expect(a.Renew(start, "a", h.Renewals(start))).To(BeEmpty())
		recalls := a.GrantsToRecall(start, []membership.InstanceID{"a"})
		Expect(recalls).To(HaveLen(1))
		keep, held := h.Recall(recalls[0].ID)
		Expect(held).To(BeTrue())
		Expect(keep.Amount).To(Equal(Amount{1, 1}))
		Expect(a.Renew(start, "a", h.Renewals(start))).To(HaveLen(1))
		_, ok = h.Acquire(start, []membership.InstanceID{"executor-0"}, false)
		Expect(ok).To(BeFalse())
	})
})

var _ = Describe("Holder", func() {
	// Guards against offering an executor that can't take a request, because its free
	// slot and its free connection belong to different grants.
	It("offers only slots with a connection and returns the slot of a feed", func() {
		h := NewHolder("a")
		Expect(h.AddGrants(start, 1, []Grant{
			{ID: GrantID{1, 1}, Executor: "e", Holder: "a", Kind: Demand, Amount: Amount{1, 1}, Term: time.Second},
			{ID: GrantID{1, 2}, Executor: "e", Holder: "a", Kind: Demand, Amount: Amount{0, 1}, Term: time.Second},
		})).To(Succeed())
		use, _ := h.Acquire(start, []membership.InstanceID{"e"}, true)
		h.ReleaseFeedSlot(use)
		Expect(h.Free(start, "e")).To(Equal(Amount{}))
		h.TrimUnpaired()
		Expect(h.Renewals(start)[0].Amount).To(Equal(Amount{0, 1}))
	})

	// Guards against messages of a superseded owner changing grants.
	It("refuses lower epochs after a fence and reports feeds in the fence", func() {
		a, h := newTestAllocator(1), NewHolder("a")
		grants := a.Acquire(start, request("a", 2, 0))
		Expect(h.AddGrants(start, 1, grants)).To(Succeed())
		use, _ := h.Acquire(start, []membership.InstanceID{"executor-0"}, true)
		h.ReleaseFeedSlot(use)
		report, err := h.Fence(start.Add(time.Minute), 2)
		Expect(err).NotTo(HaveOccurred())
		Expect(report.Grants).To(HaveLen(1))
		Expect(report.Grants[0].Amount).To(Equal(Amount{0, 1}))
		Expect(h.AddGrants(start, 1, grants)).To(MatchError(ErrStaleEpoch))
		Expect(h.ExtendGrants(start, 1, []GrantID{grants[0].ID})).To(MatchError(ErrStaleEpoch))
	})
})

func BenchmarkAcquire(b *testing.B) {
	a := newTestAllocator(1000)
	now := start
	for b.Loop() {
		now = now.Add(10 * time.Millisecond)
		a.Acquire(now, request("a", 16, 4))
	}
}

func BenchmarkAcquireRelease(b *testing.B) {
	a, h := newTestAllocator(1), NewHolder("a")
	_ = h.AddGrants(start, 1, a.Acquire(start, request("a", 4, 0)))
	candidates := []membership.InstanceID{"executor-0"}
	for b.Loop() {
		use, _ := h.Acquire(start, candidates, false)
		h.Release(use)
	}
}
