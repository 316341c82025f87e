package dispatcher

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/table"
)

// Guards against a row that is too large for the store. The owner would retry the
// rejected transaction forever.
var _ = Describe("encodeProgress", func() {
	const largestJob = 2500

	largest := func() dispatch.Progress {
		step := dispatch.StepProgress{Failed: map[int][]dispatch.Run{}, Checkpoints: map[int]dispatch.Checkpoint{}}
		for i := range largestJob {
			step.Failed[i] = []dispatch.Run{1001}
			step.Checkpoints[i] = "00000bb87a21d94b"
		}
		return dispatch.Progress{Steps: []dispatch.StepProgress{step}}
	}

	It("omits the checkpoints of the largest job so that it fits into a row", func() {
		value := encodeProgress(largest())
		Expect(len(value)).To(BeNumerically("<=", 64<<10))
		p, err := decode[dispatch.Progress](table.Row{Value: value})
		Expect(err).NotTo(HaveOccurred())
		Expect(p.Steps[0].Failed).To(HaveLen(largestJob))
	})

	It("keeps the checkpoints of ordinary jobs", func() {
		p := dispatch.Progress{Steps: []dispatch.StepProgress{{Checkpoints: map[int]dispatch.Checkpoint{1: "c"}}}}
		decoded, err := decode[dispatch.Progress](table.Row{Value: encodeProgress(p)})
		Expect(err).NotTo(HaveOccurred())
		Expect(decoded).To(Equal(p))
	})
})
