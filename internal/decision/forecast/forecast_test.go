package forecast

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
)

func TestForecast(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Forecast")
}

var class = Class{Queue: "urgent", Image: "a"}

// learned returns Durations that have observed runs with the ratios of run time to estimate.
func learned(ratios ...float64) *Durations {
	d := &Durations{}
	for _, r := range ratios {
		d.Observe(class, time.Second, time.Duration(r*float64(time.Second)))
	}
	return d
}

var _ = Describe("Durations", func() {
	It("uses the estimate of a class with too few run times", func() {
		Expect(learned(3, 3).Expected(class, time.Second)).To(Equal(time.Second))
	})

	It("corrects an estimate by the median of its class", func() {
		Expect(learned(2, 2, 2, 7, 1).Expected(class, 2*time.Second)).To(Equal(4 * time.Second))
	})

	It("keeps only the latest run times of a class", func() {
		d := learned(9, 9, 9, 9, 9)
		for range maxSamples {
			d.Observe(class, time.Second, time.Second)
		}
		Expect(d.Quantile(class, time.Second, 1)).To(Equal(time.Second))
	})

	It("prefers the speed of a run to the run times of its class", func() {
		r := Run{Class: class, Estimate: time.Second, Elapsed: time.Second, Projected: 3 * time.Second}
		Expect(learned(2, 2, 2, 2, 2).Remaining(r)).To(Equal(2 * time.Second))
	})

	It("expects a run that has taken longer than most of its class to take as long as the rest", func() {
		r := Run{Class: class, Estimate: time.Second, Elapsed: 3 * time.Second}
		Expect(learned(1, 1, 1, 1, 1, 1, 7).Remaining(r)).To(Equal(4 * time.Second))
	})

	It("expects a run of an unknown class to end by its estimate, and later to take twice as long as so far", func() {
		d := learned()
		run := func(elapsed time.Duration) Run { return Run{Class: class, Estimate: 4 * time.Second, Elapsed: elapsed} }
		Expect(d.Remaining(run(3 * time.Second))).To(Equal(time.Second))
		Expect(d.Remaining(run(5 * time.Second))).To(Equal(5 * time.Second))
	})

	It("expects a run that has taken longer than all of its class to take twice as long as so far", func() {
		r := Run{Class: class, Estimate: time.Second, Elapsed: 8 * time.Second}
		Expect(learned(1, 1, 1, 1, 1, 1, 7).Remaining(r)).To(Equal(8 * time.Second))
	})
})

var _ = Describe("Room", func() {
	now := time.Unix(1000, 0)
	cores := func(n resource.MilliProcessors) resource.Vector { return resource.Vector{Processors: 1000 * n} }
	room := func() *Room {
		r := &Room{Free: cores(1), Releases: []Release{
			{At: now.Add(4 * time.Second), Amount: cores(4)},
			{At: now.Add(time.Second), Amount: cores(2)},
		}}
		r.Sort()
		return r
	}

	It("fits an amount as soon as enough has become free", func() {
		at, fits := room().EarliestFit(now, cores(4))
		Expect(fits).To(BeTrue())
		Expect(at).To(Equal(now.Add(4 * time.Second)))
	})

	It("fits an amount at once if it is free", func() {
		at, fits := room().EarliestFit(now, cores(1))
		Expect(fits).To(BeTrue())
		Expect(at).To(Equal(now))
	})

	It("never fits more than the worker has", func() {
		_, fits := room().EarliestFit(now, cores(8))
		Expect(fits).To(BeFalse())
	})

	It("adds the releases up to a time to the free capacity", func() {
		Expect(room().FreeAt(now.Add(time.Second))).To(Equal(cores(3)))
	})
})
