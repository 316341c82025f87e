package dispatcher

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/counter"
)

// fencingWorkers refuse all commands because of their fence.
type fencingWorkers struct {
	Workers
	starts int
	// beforeRefusal is called before a start is refused.
	beforeRefusal func()
	startAnswers  []dispatch.StartResult
}

func (w *fencingWorkers) Start(context.Context, dispatch.Command) dispatch.StartResult {
	w.beforeRefusal()
	w.starts++
	return w.startAnswers[w.starts-1]
}

func (w *fencingWorkers) Stop(context.Context, dispatch.Command) error { return ErrStaleEpoch }

// Guards against an owner that gives up its shard because a command of its own with a higher fence, sent
// after the worker had restarted, has overtaken an earlier one.
var _ = Describe("A command that a worker refuses because of its fence", func() {
	var workers *fencingWorkers
	var o *owner
	var start dispatch.Command
	restart := func() {
		o.withEngine(func(now time.Time, e *dispatch.Engine) { e.Observe(now, "w", dispatch.Report{Incarnation: 2}) })
	}
	BeforeEach(func() {
		workers = &fencingWorkers{beforeRefusal: func() {}, startAnswers: []dispatch.StartResult{dispatch.StartStaleEpoch}}
		n := New(Options{Name: "a", Clock: clockwork.NewRealClock(), Workers: workers, Counters: &counter.Set{}})
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		DeferCleanup(cancel)
		o = newOwner(newShard(n, 0, 1), ownerRow{Node: "a", Epoch: 1}, 7, cancel)
		o.start(ctx)
		o.engine.SetWorkers(o.now(), []dispatch.WorkerInfo{{ID: "w", Service: "s"}})
		o.engine.AddJob(o.now(), dispatch.Job{ID: "j", Settings: dispatch.Queue{Service: "s"}, Steps: []dispatch.Step{{Tasks: 1}}}, dispatch.Progress{}, false)
		o.engine.Poll(o.now(), "w")
		o.engine.Observe(o.now(), "w", dispatch.Report{Incarnation: 1})
		o.engine.Tick(o.now())
		commands := o.engine.TakeCommands()
		Expect(commands).To(HaveLen(1))
		start = commands[0]
	})

	It("ends the ownership if the owner has no higher fence", func() {
		Expect(o.sendCommand(o.ctx, start)).To(MatchError(errSuperseded))
	})

	It("is a start that wasn't executed if the owner has a higher fence", func() {
		workers.beforeRefusal = restart
		Expect(o.startTask(o.ctx, start)).To(Equal(dispatch.StartRestarted))
		Expect(o.ctx.Err()).NotTo(HaveOccurred())
	})

	It("is a start without an answer if an earlier attempt got none", func() {
		workers.startAnswers = []dispatch.StartResult{dispatch.StartUnanswered, dispatch.StartStaleEpoch}
		workers.beforeRefusal = func() {
			if workers.starts == 1 {
				restart()
			}
		}
		Expect(o.startTask(o.ctx, start)).To(Equal(dispatch.StartUnanswered))
		Expect(workers.starts).To(Equal(2))
	})

	It("doesn't end the ownership if it is a stop and the owner has a higher fence", func() {
		stop := dispatch.Command{Worker: "w", TaskRun: start.TaskRun, Stop: true, Fence: start.Fence}
		restart()
		Expect(o.sendCommand(o.ctx, stop)).To(Succeed())
		Expect(o.ctx.Err()).NotTo(HaveOccurred())
		stop.Fence++
		Expect(o.sendCommand(o.ctx, stop)).To(MatchError(errSuperseded))
	})
})
