package interference_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/interference"
)

var _ = Describe("Odds", func() {
	now := time.Date(2026, 1, 5, 4, 0, 0, 0, time.UTC)
	pair := interference.Pair{Service: "serve", Class: "fill"}
	estimate := func(p float64) []interference.Estimate {
		return []interference.Estimate{{Pair: pair, Probability: p}}
	}

	// Guards against owners of shards that each find out by themselves, at the cost of
	// their serving tasks, what another one knows.
	It("take over what others know and they don't", func() {
		var o interference.Odds
		o.Merge(now, estimate(0.9))
		Expect(o.Probability(now, pair)).To(BeNumerically("~", 0.9, 0.01))
		later := now.Add(time.Second)
		o.Merge(later, estimate(0.3))
		Expect(o.Probability(later, pair)).To(BeNumerically(">", 0.85))
	})

	// Guards against old estimates that hide what was just seen.
	It("keep what they have just seen", func() {
		var o interference.Odds
		beside := []interference.Neighbor{{Pair: pair, Share: 1}}
		for i := range 4 {
			o.Observe(now.Add(time.Duration(i)*time.Second), 0.2, beside)
		}
		seen := now.Add(4 * time.Second)
		o.Merge(seen, estimate(0.98))
		Expect(o.Probability(seen, pair)).To(BeNumerically("<", 0.1))
	})

	// Guards against two owners that keep an estimate alive between them, so that a pair
	// is never tried again.
	It("don't keep an estimate alive that goes back and forth", func() {
		var a, b interference.Odds
		a.Merge(now, estimate(0.95))
		for second := range 120 {
			at := now.Add(time.Duration(second) * time.Second)
			b.Merge(at, a.Estimates(at))
			a.Merge(at, b.Estimates(at))
		}
		Expect(a.Probability(now.Add(2*time.Minute), pair)).To(BeNumerically("<", 0.4))
	})
})
