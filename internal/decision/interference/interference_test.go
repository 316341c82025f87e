package interference

import (
	"math"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/operator/manifest"
)

var begin = time.Date(2026, 1, 5, 4, 0, 0, 0, time.UTC)

const seed = 11

// observeMixes feeds the model samples of mixes of a loud and a quiet class, whose true
// coefficients are 0.1 and 0, with 10% noise. It returns the time of the last sample.
func observeMixes(model *LatencyModel, samples int) time.Time {
	random := rand.New(rand.NewPCG(seed, seed))
	now := begin
	for range samples {
		now = now.Add(time.Second)
		loud, quiet := float64(random.IntN(5)), float64(random.IntN(5))
		rate := 20 + 100*random.Float64()
		p99 := 0.02 * (1 + rate/200) * math.Exp(0.1*loud+0.1*random.NormFloat64())
		model.Observe(now, Observation{
			Service: "lend", Rate: rate, Requests: 200, Target: 50 * time.Millisecond,
			P99:   time.Duration(p99 * float64(time.Second)),
			Usage: []Usage{{"loud", loud}, {"quiet", quiet}},
		})
	}
	return now
}

var _ = Describe("LatencyModel", func() {
	loud, quiet := Pair{"lend", "loud"}, Pair{"lend", "quiet"}

	It("separates the classes of a mix", func() {
		model := &LatencyModel{}
		now := observeMixes(model, 400)
		Expect(model.Coefficient(now, loud)).To(BeNumerically("~", 0.1, 0.03))
		Expect(model.Coefficient(now, quiet)).To(BeNumerically("~", 0, 0.02))
		Expect(model.Slowdown(now, loud, 4)).To(BeNumerically("~", 1.5, 0.2))
	})

	It("uses the prior for unknown pairs and decays estimates towards it", func() {
		model := &LatencyModel{}
		Expect(model.Coefficient(begin, loud)).To(Equal(priorCoefficient))
		now := observeMixes(model, 400)
		deviation := model.UpperBound(now, loud) - model.Coefficient(now, loud)
		later := now.Add(10 * coefficientHalfLife)
		Expect(model.Coefficient(later, loud)).To(BeNumerically("~", priorCoefficient, 0.001))
		Expect(model.UpperBound(later, loud) - model.Coefficient(later, loud)).To(BeNumerically(">", 2*deviation))
	})

	It("stops exploration while the share of late answers exceeds the error budget", func() {
		model := &LatencyModel{}
		slow := Observation{Service: "lend", Rate: 10, Requests: 100, P99: 100 * time.Millisecond, Target: 50 * time.Millisecond}
		Expect(model.ExplorationAllowed(begin, "lend", 10)).To(BeTrue())
		for i := range 600 {
			model.Observe(begin.Add(time.Duration(i)*time.Second), slow)
		}
		Expect(model.ExplorationAllowed(begin.Add(10*time.Minute), "lend", 10)).To(BeFalse())
		Expect(model.ExplorationAllowed(begin.Add(2*time.Hour), "lend", 10)).To(BeTrue())
	})

	It("ignores samples with too few requests", func() {
		model := &LatencyModel{}
		model.Observe(begin, Observation{Service: "lend", Requests: 3, P99: time.Hour, Target: time.Second})
		Expect(model.LateShare(begin, manifest.ServiceName("lend"))).To(BeZero())
	})
})

var _ = Describe("Controller", func() {
	at := func(seconds int) time.Time { return begin.Add(time.Duration(seconds) * time.Second) }

	It("ignores samples that began before its last action", func() {
		c := Controller{}
		Expect(c.Next(at(0), 1.5)).To(Equal(Restrict))
		c.RecordAction(at(3))
		Expect(c.Next(at(2), 1.5)).To(Equal(Wait))
		Expect(c.Next(at(3), 1.5)).To(Equal(Restrict))
	})

	It("does not act on one noisy sample near the target", func() {
		c := Controller{}
		Expect(c.Next(at(0), 1.1)).To(Equal(Wait))
		Expect(c.Next(at(1), 0.9)).To(Equal(Wait))
		Expect(c.Next(at(2), 1.1)).To(Equal(Wait))
		Expect(c.Next(at(3), 1.1)).To(Equal(Restrict))
	})

	It("lifts only after consecutive samples below the lower threshold", func() {
		c := Controller{}
		Expect(c.Next(at(0), 0.9)).To(Equal(Wait))
		Expect(c.Next(at(1), 0.7)).To(Equal(Wait))
		Expect(c.Next(at(2), 0.9)).To(Equal(Wait))
		Expect(c.Next(at(3), 0.7)).To(Equal(Wait))
		Expect(c.Next(at(4), 0.7)).To(Equal(Lift))
	})
})

var _ = DescribeTable("WorstCandidate", func(candidates []Candidate, index int, evict, ok bool) {
	gotIndex, gotEvict, found := WorstCandidate(candidates)
	Expect(found).To(Equal(ok))
	if ok {
		Expect([]any{gotIndex, gotEvict}).To(Equal([]any{index, evict}))
	}
},
	Entry("ignores tasks without a measurable contribution", []Candidate{{0.001, 1000, false}}, 0, false, false),
	Entry("throttles the task with the largest contribution first", []Candidate{{0.1, 1000, false}, {0.3, 1000, false}}, 1, false, true),
	Entry("evicts a throttled task that still has the largest contribution", []Candidate{{0.1, 1000, false}, {0.3, ThrottledShare, false}}, 1, true, true),
	Entry("never evicts a protected task", []Candidate{{0.3, ThrottledShare, true}}, 0, false, false),
)
