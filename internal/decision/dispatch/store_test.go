package dispatch_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
)

// While ends arrive faster than a transaction can store the jobs that they change, workers must
// still get their ends acknowledged. Otherwise they answer every poll at once with a growing list
// of ends, and the polls take the processor time that the transactions need.
var _ = Describe("The ends that workers report", func() {
	const (
		jobs     = 6
		limit    = 2
		interval = 100 * time.Millisecond
	)

	It("are acknowledged although there is always more to store than fits in a transaction", func() {
		h := newHarness(1, 1)
		h.workers["w0"].info.Capacity = cores(jobs)
		h.listWorkers()
		// Each job has one task at a time, so that every end changes another job.
		steps := make([]dispatch.Step, 40)
		for i := range steps {
			steps[i] = batchStep(1)
			if i > 0 {
				steps[i].After = []int{i - 1}
			}
		}
		for i := range jobs {
			h.submit(dispatch.JobID(fmt.Sprintf("j%d", i)), steps...)
		}
		step := func() {
			h.now = h.now.Add(interval)
			h.workers["w0"].clock += interval
			h.pollWorkers()
			h.tick()
			batch := h.engine.TakeBatch(limit)
			h.engine.MarkStored(h.now, batch)
		}
		for range 5 {
			step()
		}
		acknowledged := int64(0)
		for range 20 {
			w := h.workers["w0"]
			for id := range w.running {
				h.endRun("w0", id, dispatch.EndDone)
			}
			step()
			Expect(h.engine.HasUnstored()).To(BeTrue())
			p, _ := h.engine.Poll(h.now, "w0")
			acknowledged = p.LastStoredEnd
		}
		Expect(acknowledged).To(BeNumerically(">=", h.workers["w0"].endCount/2))
	})

	// endAll starts one task of each job and lets all of them end in one report. Nothing is stored.
	endAll := func() *harness {
		h := newHarness(1, 1)
		h.workers["w0"].info.Capacity = cores(jobs)
		h.listWorkers()
		h.advance(interval)
		for i := range jobs {
			h.submit(dispatch.JobID(fmt.Sprintf("j%d", i)), batchStep(1))
		}
		h.tick()
		Expect(h.starts).To(HaveLen(jobs))
		for _, c := range h.starts {
			h.endRun(c.Worker, c.Task, dispatch.EndDone)
		}
		h.pollWorkers()
		return h
	}
	acknowledged := func(h *harness) int64 {
		p, _ := h.engine.Poll(h.now, "w0")
		return p.LastStoredEnd
	}

	It("aren't acknowledged before all jobs that they change are stored", func() {
		h := endAll()
		for range jobs/limit - 1 {
			h.engine.MarkStored(h.now, h.engine.TakeBatch(limit))
			Expect(acknowledged(h)).To(BeZero())
		}
		h.engine.MarkStored(h.now, h.engine.TakeBatch(limit))
		Expect(acknowledged(h)).To(BeEquivalentTo(jobs))
	})

	It("aren't acknowledged because later transactions succeed after one failed", func() {
		h := endAll()
		h.engine.MarkStored(h.now, h.engine.TakeBatch(limit))
		h.engine.RequeueBatch(h.engine.TakeBatch(limit))
		for range jobs/limit - 2 {
			h.engine.MarkStored(h.now, h.engine.TakeBatch(limit))
			Expect(acknowledged(h)).To(BeZero())
		}
		h.engine.MarkStored(h.now, h.engine.TakeBatch(limit))
		Expect(acknowledged(h)).To(BeEquivalentTo(jobs))
	})
})
