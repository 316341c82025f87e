package dispatcher

import (
	"fmt"
	"math/rand/v2"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/table"
)

// Guards against a row that is too large for the store. The owner retried the rejected transaction
// forever, as did each of its successors, so that nothing else of the shard was stored.
var _ = Describe("encodeProgress", func() {
	const (
		// largestJob is the number of tasks of the largest job, in all steps and occurrences.
		largestJob = 2500
		// maxRow is the limit of the store for a row, in bytes.
		maxRow = 64 << 10
	)
	random := rand.New(rand.NewPCG(1, 1))
	checkpoint := func() dispatch.Checkpoint { return dispatch.Checkpoint(fmt.Sprintf("%016x", random.Uint64())) }
	// runs returns the numbers of runs that failed under different owners.
	runs := func(count int) []dispatch.Run {
		var list []dispatch.Run
		for range count {
			list = append(list, dispatch.Run(1000*random.Int64N(50)+random.Int64N(10)))
		}
		return list
	}
	// expectFits expects a row that the store takes, and returns what a later owner reads from it.
	expectFits := func(p dispatch.Progress) dispatch.Progress {
		GinkgoHelper()
		value := encodeProgress(p)
		Expect(len(value)).To(BeNumerically("<=", maxRow))
		decoded, err := decodeProgress(table.Row{Value: value})
		Expect(err).NotTo(HaveOccurred())
		return decoded
	}
	// oneStep returns the progress of a job with a single step, all of whose tasks have failed.
	oneStep := func(failures int) dispatch.Progress {
		step := dispatch.StepProgress{Failed: map[int][]dispatch.Run{}, Checkpoints: map[int]dispatch.Checkpoint{}}
		for i := range largestJob {
			step.Failed[i] = runs(failures)
			step.Checkpoints[i] = checkpoint()
		}
		return dispatch.Progress{Steps: []dispatch.StepProgress{step}}
	}

	It("fits into a row if many steps with a single task are done", func() {
		var p dispatch.Progress
		for range largestJob {
			p.Steps = append(p.Steps, dispatch.StepProgress{Done: []dispatch.TaskRange{{}}})
		}
		Expect(expectFits(p)).To(Equal(p))
	})

	It("fits into a row if the single task of many steps has failed or saved its work", func() {
		var p dispatch.Progress
		for i := range largestJob {
			step := dispatch.StepProgress{Failed: map[int][]dispatch.Run{0: runs(2)}}
			if i%2 == 0 {
				step.Checkpoints = map[int]dispatch.Checkpoint{0: checkpoint()}
			}
			p.Steps = append(p.Steps, step)
		}
		Expect(expectFits(p)).To(Equal(p))
	})

	It("fits into a row if every second task of a step is done", func() {
		var step dispatch.StepProgress
		for i := 0; i < largestJob; i += 2 {
			step.Done = append(step.Done, dispatch.TaskRange{First: i, Last: i})
		}
		p := dispatch.Progress{Steps: []dispatch.StepProgress{step}}
		Expect(expectFits(p)).To(Equal(p))
	})

	It("omits the checkpoints of the largest job so that it fits into a row", func() {
		p := oneStep(8)
		decoded := expectFits(p)
		Expect(decoded.Steps[0].Failed).To(Equal(p.Steps[0].Failed))
		Expect(decoded.Steps[0].Checkpoints).To(BeEmpty())
	})

	It("keeps the checkpoints of ordinary jobs, in the form that earlier builds read", func() {
		p := dispatch.Progress{Steps: []dispatch.StepProgress{{Checkpoints: map[int]dispatch.Checkpoint{1: "c"}}}}
		decoded, err := decode[dispatch.Progress](table.Row{Value: encodeProgress(p)})
		Expect(err).NotTo(HaveOccurred())
		Expect(decoded).To(Equal(p))
	})

	It("fails to decode a damaged row", func() {
		_, err := decodeProgress(table.Row{Key: "progress/s0/x", Value: gzipMagic})
		Expect(err).To(MatchError(ContainSubstring("progress/s0/x")))
	})
})
