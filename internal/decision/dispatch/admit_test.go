package dispatch_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
)

var _ = Describe("Admission", func() {
	job := func(id dispatch.JobID, steps ...dispatch.Step) dispatch.Job {
		return dispatch.Job{ID: id, Queue: batchQueue, Steps: steps}
	}
	work := func(n int, estimate time.Duration) dispatch.Step {
		return dispatch.Step{Tasks: n, Resources: cores(1), Estimate: estimate}
	}
	ready := func() *harness {
		h := newHarness(1, 2)
		h.listWorkers()
		h.advance(0)
		return h
	}

	// Guards against jobs that wait forever for a worker that doesn't exist.
	It("immediately refuses a job with a task that fits no worker", func() {
		h := ready()
		large := dispatch.Step{Tasks: 1, Resources: cores(7)}
		Expect(h.engine.Admit(h.now, job("j", work(1, time.Second), large)).Refused).To(Equal(dispatch.RefusedFitsNoWorker))
		labelled := work(1, time.Second)
		labelled.Requires = "gpu"
		Expect(h.engine.Admit(h.now, job("j", labelled)).Refused).To(Equal(dispatch.RefusedFitsNoWorker))
		h.workers["w0"].info.Labels = []dispatch.Label{"gpu"}
		h.listWorkers()
		Expect(h.engine.Admit(h.now, job("j", labelled)).Refused).To(BeEmpty())
	})

	// Guards against accepting a job in a burst that keeps its caller waiting for nothing: with
	// 12 processors and work for 50 s ahead of it, the job has value for only 12 s.
	It("refuses a job that would complete too late to have value, and says when to retry", func() {
		h := ready()
		for i := range 10 {
			h.submit(dispatch.JobID(fmt.Sprintf("first%d", i)), work(30, 2*time.Second))
		}
		h.advance(0)
		refused := h.engine.Admit(h.now, job("j", work(60, 2*time.Second)))
		Expect(refused.Refused).To(Equal(dispatch.RefusedOverload))
		Expect(refused.RetryAfter).To(BeNumerically(">", 20*time.Second))
		Expect(refused.RetryAfter).To(BeNumerically("<=", 30*time.Second))
	})

	It("accepts a small job, because it starts before larger ones", func() {
		h := ready()
		for i := range 10 {
			h.submit(dispatch.JobID(fmt.Sprintf("first%d", i)), work(30, 2*time.Second))
		}
		h.advance(0)
		Expect(h.engine.Admit(h.now, job("j", work(1, 2*time.Second))).Refused).To(BeEmpty())
	})

	// Guards against refusals by an owner that doesn't know the available capacity yet.
	It("accepts every job while it doesn't know the workers", func() {
		h := newHarness(2, 1)
		large := job("j", dispatch.Step{Tasks: 1, Resources: cores(7)})
		Expect(h.engine.Admit(h.now, large).Refused).To(BeEmpty())
		h.engine.Recover(h.now, 0)
		h.listWorkers()
		Expect(h.engine.Admit(h.now, large).Refused).To(BeEmpty())
		h.advance(time.Second)
		h.advance(time.Second)
		Expect(h.engine.Admit(h.now, large).Refused).To(Equal(dispatch.RefusedFitsNoWorker))
	})
})
