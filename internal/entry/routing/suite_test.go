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

type emptyList struct{}

func (emptyList) Snapshot() membership.Snapshot { return membership.Snapshot{} }

type noManifest struct{}

func (noManifest) Current() manifest.Published { return manifest.Published{} }

func testHoldings() *Holdings {
	return &Holdings{Membership: emptyList{}, Configuration: noManifest{}, Clock: clockwork.NewFakeClock(), Kick: func() {}}
}

var _ = Describe("ClearWants", func() {
	// Guards against a deadlock under overload: admission lists candidates with its
	// state locked, and the number that waits comes from that state.
	It("asks for the number that waits without its lock", func() {
		h := testHoldings()
		h.Wanted("chairdesk", 3)
		h.ClearWants(func(string) int {
			h.Candidates("chairdesk")
			return 0
		})
		Expect(h.HasWants()).To(BeFalse())
	})

	// Guards against a request that waits while nobody asks for a slot for it.
	It("keeps a want that arises meanwhile", func() {
		h := testHoldings()
		h.Wanted("chairdesk", 1)
		h.ClearWants(func(string) int {
			h.Wanted("chairdesk", 1)
			return 0
		})
		Expect(h.HasWants()).To(BeTrue())
	})
})
