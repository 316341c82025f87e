package dispatch_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
)

// Guards against occurrences that start at once: their due time lay more than 292 years, the longest
// duration, after the first one and was in the past.
var _ = Describe("The due time of an occurrence", func() {
	const year = 365 * 24 * time.Hour

	It("may be centuries after the first one", func() {
		j := dispatch.Job{FirstRun: startTime, Repetitions: 1024, Interval: year + 250*time.Millisecond}
		for occurrence := 1; occurrence < j.Repetitions; occurrence++ {
			before, due := j.Due(occurrence-1), j.Due(occurrence)
			Expect(due.Sub(before)).To(Equal(j.Interval))
		}
		Expect(j.Due(1000).Year()).To(Equal(startTime.Year() + 999))
	})

	It("may be beyond the year 9999", func() {
		j := dispatch.Job{FirstRun: startTime, Repetitions: 1024, Interval: 1<<63 - 1}
		Expect(j.Due(1023).Year()).To(BeNumerically(">", 290_000))
	})
})
