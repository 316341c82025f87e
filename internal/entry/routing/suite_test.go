package routing

import (
	"testing"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/operator/manifest"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

func TestRouting(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "routing")
}

type emptyMembership struct{}

func (emptyMembership) Snapshot() membership.Snapshot { return membership.Snapshot{} }

type emptyConfiguration struct{}

func (emptyConfiguration) Current() manifest.Published { return manifest.Published{} }

func newEmptySlotPool() *SlotPool {
	return &SlotPool{Membership: emptyMembership{}, Configuration: emptyConfiguration{}, Clock: clockwork.NewFakeClock(), OnShortage: func() {}}
}

var _ = Describe("UpdateShortages", func() {
	// Guards against a deadlock under overload: admission lists the candidates while its
	// state is locked, and the number of waiting requests comes from the same state.
	It("gets the number of waiting requests without holding its own lock", func() {
		p := newEmptySlotPool()
		p.ReportShortage("chairdesk", 3)
		p.UpdateShortages(func(string) int {
			p.Candidates("chairdesk")
			return 0
		})
		Expect(p.HasShortages()).To(BeFalse())
	})

	// Guards against a waiting request for which no owner is asked for a slot.
	It("keeps a shortage that is reported during the update", func() {
		p := newEmptySlotPool()
		p.ReportShortage("chairdesk", 1)
		p.UpdateShortages(func(string) int {
			p.ReportShortage("chairdesk", 1)
			return 0
		})
		Expect(p.HasShortages()).To(BeTrue())
	})
})
