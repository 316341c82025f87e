package dispatcher

import (
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/table"
)

// Guards against the row of a new job that can't be encoded, or that the store rejects. The former ended
// the process, the latter stopped all writes of the shard.
var _ = Describe("encodeJob", func() {
	expectRefused := func(j dispatch.Job) {
		GinkgoHelper()
		_, err := encodeJob(jobRow{Job: &j})
		Expect(err).To(MatchError(ContainSubstring(RefusedNotStorable)))
		Expect(err).To(HaveField("Permanent", true))
	}

	It("takes the largest job of ordinary steps", func() {
		j := dispatch.Job{ID: "00000bb87a21d94b", Spec: strings.Repeat("&", 4000), Repetitions: 1, FirstRun: time.Now()}
		for i := range 64 {
			j.Steps = append(j.Steps, dispatch.Step{
				Tasks: 2500, Estimate: time.Hour, After: []int{i}, Requires: "rack-1-10", PreferredRack: "rack-1-10", Image: "image-of-a-step", MaxPerWorker: 10,
			})
		}
		row, err := encodeJob(jobRow{Job: &j})
		Expect(err).NotTo(HaveOccurred())
		decoded, err := decode[jobRow](table.Row{Value: row})
		Expect(err).NotTo(HaveOccurred())
		Expect(decoded.Job.Spec).To(Equal(j.Spec))
	})

	It("refuses a job that is too large for a row", func() {
		expectRefused(dispatch.Job{Steps: []dispatch.Step{{Image: dispatch.Image(strings.Repeat("x", 60<<10))}}})
	})

	It("refuses a job with a time that has no form in JSON", func() {
		expectRefused(dispatch.Job{FirstRun: time.Date(275760, time.September, 13, 0, 0, 0, 0, time.UTC)})
	})
})
