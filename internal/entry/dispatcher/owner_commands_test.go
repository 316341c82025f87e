package dispatcher

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/counter"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// endedWorkers answer every poll at once with the same end.
type endedWorkers struct {
	Workers
	polls chan dispatch.Poll
}

func (w *endedWorkers) Poll(_ context.Context, _ membership.InstanceID, p dispatch.Poll) (dispatch.Report, error) {
	w.polls <- p
	end := dispatch.End{Number: 1, TaskRun: dispatch.TaskRun{Task: dispatch.TaskID{Job: "j"}, Run: 1}, Kind: dispatch.EndDone}
	return dispatch.Report{Incarnation: 1, Ended: []dispatch.End{end}}, nil
}

// Guards against an owner that polls workers for ends that it has, 25 times a second each, and has no
// processor time left to store them (amagasa-kyushu-grown, trouble-2).
var _ = Describe("Polls of a worker whose ends aren't stored", func() {
	// poll polls a worker that lists an end for a number of intervals, and returns the number of polls.
	// The end is one of the given job, and is never stored, or stored in the first interval.
	poll := func(intervals int, job dispatch.JobID, stored bool) int {
		GinkgoHelper()
		clock := clockwork.NewFakeClock()
		workers := &endedWorkers{polls: make(chan dispatch.Poll, intervals+1)}
		n := New(Options{Name: "a", Clock: clock, Workers: workers, Counters: &counter.Set{}})
		o := newOwner(newShard(n, 0, 1), ownerRow{Node: "a", Epoch: 1}, 7, func() {})
		ctx, cancel := context.WithCancel(context.Background())
		o.ctx = ctx
		o.engine.SetWorkers(clock.Now(), []dispatch.WorkerInfo{{ID: "w"}})
		o.engine.AddJob(clock.Now(), dispatch.Job{ID: job, Steps: []dispatch.Step{{Tasks: 1}}}, dispatch.Progress{}, false)
		var group errgroup.Group
		group.Go(func() error { return o.pollWorker("w") })
		for range intervals {
			// The only timer is that of the next poll.
			blocked, stop := context.WithTimeout(ctx, 10*time.Second)
			Expect(clock.BlockUntilContext(blocked, 1)).To(Succeed())
			stop()
			if stored {
				o.withEngine(func(now time.Time, e *dispatch.Engine) { e.MarkStored(now, e.TakeBatch(1)) })
			}
			clock.Advance(unstoredPollInterval)
		}
		Eventually(func() error { return clock.BlockUntilContext(ctx, 1) }, 10*time.Second).Should(Succeed())
		cancel()
		Expect(group.Wait()).To(Succeed())
		return len(workers.polls)
	}

	It("are sent five times less often than the ends may be stored", func() {
		Expect(poll(20, "j", false)).To(Equal(1 + 20/maxUnstoredIntervals))
	})

	It("go on at once when the ends are stored", func() {
		Expect(poll(20, "j", true)).To(Equal(1 + 20))
	})

	It("go on if the ends change nothing that must be stored", func() {
		Expect(poll(20, "other", false)).To(Equal(1 + 20))
	})
})
