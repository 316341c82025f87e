package dispatcher

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
)

// Guards against running a cancelled job. The cancellation arrived by a call before the
// watch reported the job, and was not reported again.
var _ = Describe("A cancellation", func() {
	It("a cancellation that arrives before its job cancels the job", func() {
		now := time.Date(2026, 1, 5, 4, 0, 0, 0, time.UTC)
		o := &owner{engine: dispatch.New(dispatch.Options{Epoch: 1}), earlyCancels: map[dispatch.JobID]bool{}}
		o.cancelJob(now, "j")
		o.addJob(now, dispatch.Job{ID: "j", Steps: []dispatch.Step{{Tasks: 1}}}, dispatch.Progress{}, false)
		state, known := o.engine.State("j")
		Expect(known).To(BeTrue())
		Expect(state).To(Equal(dispatch.Cancelled))
		Expect(o.earlyCancels).To(BeEmpty())
	})
})
