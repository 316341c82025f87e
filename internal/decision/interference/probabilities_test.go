package interference_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/interference"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/manifest"
)

var _ = Describe("Probabilities", func() {
	now := time.Date(2026, 1, 5, 4, 0, 0, 0, time.UTC)
	pair := interference.Pair{Service: "serve", Class: "fill"}
	estimate := func(p float64) []interference.Estimate {
		return []interference.Estimate{{Pair: pair, Probability: p}}
	}

	// Guards against each shard owner learning separately, at the cost of its serving
	// tasks, that a pair interferes when another owner already knows it.
	It("adopts another instance's estimates of unknown pairs", func() {
		var ps interference.Probabilities
		ps.Merge(now, estimate(0.9))
		Expect(ps.Probability(now, pair)).To(BeNumerically("~", 0.9, 0.01))
		later := now.Add(time.Second)
		ps.Merge(later, estimate(0.3))
		Expect(ps.Probability(later, pair)).To(BeNumerically(">", 0.85))
	})

	// Guards against an outdated estimate of another instance replacing what a recent
	// local sample showed.
	It("keeps estimates from recent local samples", func() {
		var ps interference.Probabilities
		neighbors := []interference.Neighbor{{Pair: pair, Share: 1}}
		for i := range 4 {
			ps.Observe(now.Add(time.Duration(i)*time.Second), 0.2, neighbors)
		}
		later := now.Add(4 * time.Second)
		ps.Merge(later, estimate(0.98))
		Expect(ps.Probability(later, pair)).To(BeNumerically("<", 0.1))
	})

	// Guards against two owners that refresh an estimate by exchanging it, so that it
	// never decays and the pair is never tried again.
	It("decays estimates that two instances exchange repeatedly", func() {
		var a, b interference.Probabilities
		a.Merge(now, estimate(0.95))
		for second := range 120 {
			at := now.Add(time.Duration(second) * time.Second)
			b.Merge(at, a.Estimates(at))
			a.Merge(at, b.Estimates(at))
		}
		Expect(a.Probability(now.Add(2*time.Minute), pair)).To(BeNumerically("<", 0.4))
	})

	// Guards against a list that grows with each pair of images that callers have ever named.
	It("lists the estimates furthest from the prior first, and forgets those that have decayed to it", func() {
		var ps interference.Probabilities
		for i, p := range []float64{0.3, 0.95, 0.25, 0.02} {
			ps.Merge(now, []interference.Estimate{{Pair: interference.Pair{Service: "s", Class: manifest.ClassName(rune('a' + i))}, Probability: p}})
		}
		var listed []manifest.ClassName
		for _, e := range ps.Estimates(now) {
			listed = append(listed, e.Pair.Class)
		}
		Expect(listed).To(Equal([]manifest.ClassName{"b", "d", "a"}))
		Expect(ps.Estimates(now.Add(time.Hour))).To(BeEmpty())
	})
})
