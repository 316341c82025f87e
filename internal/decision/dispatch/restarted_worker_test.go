package dispatch_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// Guards against tasks on a worker that can't run them: a worker had started again under its id as another
// kind, and was told for 0.15 s, until its new entry was read, to start tasks by the labels of the earlier
// process (review case 14).
var _ = Describe("A worker that has started again under its id", func() {
	const first, second = 1_000, 2_000
	const id = membership.InstanceID("w0")
	var h *harness

	// restart makes the worker answer as a new process, whose entry isn't in the list yet.
	restart := func() {
		w := h.workers[id]
		w.incarnation, w.clock = second, time.Second
		w.running, w.ended, w.endCount = map[dispatch.TaskID]*dispatch.RunningTask{}, nil, 0
	}
	// listAs lists the worker as a process of the given kind.
	listAs := func(incarnation int64, kind dispatch.Label) {
		w := h.workers[id]
		w.info.RegisteredIncarnation, w.info.Labels = incarnation, []dispatch.Label{kind}
		h.listWorkers()
	}
	submitRequiring := func(job dispatch.JobID, kind dispatch.Label) {
		step := batchStep(1)
		step.Requires = kind
		h.submit(job, step)
	}
	advance := func() {
		for range 10 {
			h.advance(100 * time.Millisecond)
		}
	}

	BeforeEach(func() {
		h = newHarness(1, 1)
		h.workers[id].incarnation = first
		listAs(first, "b")
		h.advance(100 * time.Millisecond)
		h.advance(100 * time.Millisecond)
		restart()
		h.advance(100 * time.Millisecond)
	})

	It("gets no tasks by the entry of its earlier process", func() {
		submitRequiring("j", "b")
		advance()
		Expect(h.starts).To(BeEmpty())
		listAs(second, "a")
		advance()
		Expect(h.starts).To(BeEmpty())
	})

	It("gets tasks by its own entry", func() {
		submitRequiring("j", "a")
		advance()
		Expect(h.starts).To(BeEmpty())
		listAs(second, "a")
		advance()
		Expect(h.starts).To(HaveLen(1))
	})

	It("gets tasks by an entry that doesn't tell its process", func() {
		listAs(0, "b")
		submitRequiring("j", "b")
		advance()
		Expect(h.starts).To(HaveLen(1))
	})
})
