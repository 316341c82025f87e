package dispatch_test

import (
	"fmt"
	"math/rand/v2"
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

// Guards against running a task again that is done: a crash of the owner loses what isn't stored,
// and workers have forgotten the ends that were acknowledged.
var _ = Describe("The ends that were acknowledged", func() {
	It("are all stored, whatever transactions fail and whatever ends arrive in between", func() {
		for seed := range uint64(300) {
			random := rand.New(rand.NewPCG(seed, 1))
			h := newHarness(1, 2)
			h.listWorkers()
			h.advance(100 * time.Millisecond)
			for i := range 12 {
				h.submit(dispatch.JobID(fmt.Sprintf("j%02d", i)), batchStep(4))
			}
			stored := map[dispatch.TaskID]bool{}
			completed := map[dispatch.JobID]bool{}
			for range 60 {
				h.now = h.now.Add(100 * time.Millisecond)
				for _, w := range h.workers {
					w.clock += 100 * time.Millisecond
				}
				h.pollWorkers()
				h.tick()
				b := h.engine.TakeBatch(1 + random.IntN(3))
				for id, w := range h.workers {
					for task := range w.running {
						if random.IntN(3) == 0 {
							h.endRun(id, task, dispatch.EndDone)
						}
					}
				}
				h.pollWorkers()
				if random.IntN(3) == 0 {
					h.engine.RequeueBatch(b)
				} else {
					for _, u := range b.Updates {
						completed[u.ID] = completed[u.ID] || u.Outcome != ""
						for _, s := range u.Progress.Steps {
							for _, r := range s.Done {
								for i := r.First; i <= r.Last; i++ {
									stored[dispatch.TaskID{Job: u.ID, Index: i}] = true
								}
							}
						}
					}
					h.engine.MarkStored(h.now, b)
				}
				for id, w := range h.workers {
					p, _ := h.engine.Poll(h.now, id)
					h.engine.Observe(h.now, id, w.report(p))
					for _, end := range w.ended {
						// The end of a run that was stopped changes nothing that must be stored.
						if end.Number <= p.LastStoredEnd && end.Kind == dispatch.EndDone {
							Expect(stored[end.Task] || completed[end.Task.Job]).To(BeTrue(), "seed %d, end %v", seed, end)
						}
					}
				}
			}
		}
	})
})
