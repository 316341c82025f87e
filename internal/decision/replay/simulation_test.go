package replay

import (
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/placement"
)

// Guards against a panic that ends a replay without a report.
var _ = ginkgo.Describe("A start on a worker that isn't in the trace", func() {
	ginkgo.It("is refused", func() {
		sim := newSimulation(Setup{User: "u"}, Engine)
		sim.jobs["j"] = &jobState{}
		Expect(func() {
			sim.applyDecision(0, placement.Decision{
				Kind: placement.Start, Job: "j", Worker: "gone", TaskAttempt: worker.TaskAttempt{Task: "j/0", Attempt: 1},
			})
		}).NotTo(Panic())
	})
})
