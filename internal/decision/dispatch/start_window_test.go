package dispatch_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/mechanism"
)

// Guards against owners that replace each other without end: each sent its backlog of starts at once,
// hadn't the processor time to read the answers before they timed out, and stored nothing meanwhile
// (review case 7).
var _ = Describe("The starts in flight of an owner with a backlog", func() {
	const tick = 25 * time.Millisecond

	newBacklog := func(disabled mechanism.Set) *harness {
		h := newHarnessWithout(disabled, 1, 300)
		h.listWorkers()
		h.advance(0)
		h.submit("j", batchStep(1500))
		return h
	}
	// playSlowOwner plays an owner that reads at most so many answers in a tick, and returns how many of
	// its starts were answered in time and how many weren't.
	playSlowOwner := func(h *harness, answersPerTick, ticks int) (answered, unanswered int) {
		type sent struct {
			dispatch.Command
			at time.Time
		}
		var waiting []sent
		for range ticks {
			h.now = h.now.Add(tick)
			h.engine.Tick(h.now)
			for _, c := range h.engine.TakeCommands() {
				if c.Start != nil {
					waiting = append(waiting, sent{c, h.now})
				}
			}
			for range min(answersPerTick, len(waiting)) {
				c := waiting[0]
				waiting = waiting[1:]
				result := dispatch.StartAccepted
				if h.now.Sub(c.at) > c.AnswerTimeout {
					h.engine.MayRetryStart(h.now, c.Worker, c.TaskRun)
					result = dispatch.StartUnanswered
					unanswered++
				} else {
					answered++
				}
				h.engine.StartAnswered(h.now, c.Worker, c.TaskRun, result)
			}
		}
		return answered, unanswered
	}

	It("are as many as it reads the answers of in time", func() {
		answered, unanswered := playSlowOwner(newBacklog(0), 5, 80)
		Expect(unanswered).To(BeNumerically("<", answered/10))
		Expect(answered).To(BeNumerically(">", 300))
		_, unlimited := playSlowOwner(newBacklog(mechanism.Of(mechanism.StartWindow)), 5, 80)
		Expect(unlimited).To(BeNumerically(">", 100))
	})

	It("become more if the answers arrive in time", func() {
		h := newBacklog(0)
		first, most := 0, 0
		for range 40 {
			h.now = h.now.Add(tick)
			h.engine.Tick(h.now)
			commands := h.engine.TakeCommands()
			if first == 0 {
				first = len(commands)
			}
			most = max(most, len(commands))
			for _, c := range commands {
				h.engine.StartAnswered(h.now, c.Worker, c.TaskRun, dispatch.StartAccepted)
			}
		}
		Expect(first).To(Equal(12))
		Expect(most).To(Equal(128))
		Expect(h.starts).To(BeEmpty())
	})

	It("are never none, however many got no answer", func() {
		h := newBacklog(0)
		for range 40 {
			h.now = h.now.Add(tick)
			h.engine.Tick(h.now)
			for _, c := range h.engine.TakeCommands() {
				if c.Start != nil {
					h.engine.MayRetryStart(h.now, c.Worker, c.TaskRun)
					h.engine.StartAnswered(h.now, c.Worker, c.TaskRun, dispatch.StartUnanswered)
				}
			}
		}
		h.engine.Tick(h.now)
		Expect(h.engine.TakeCommands()).To(ContainElement(HaveField("Start", Not(BeNil()))))
	})

	It("may be those of a gang that is larger than the limit", func() {
		h := newHarness(1, 10)
		h.listWorkers()
		h.advance(0)
		gang := batchStep(30)
		gang.Gang = true
		h.submit("j", gang)
		h.advance(0)
		Expect(h.starts).To(HaveLen(30))
	})
})
