package dispatcher

import (
	"context"
	"fmt"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
	"github.com/jacinthtrail/jacinthtrail/internal/caller/queue"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/counter"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/table"
)

// unreadableStore is a store in memory that can stop answering reads.
type unreadableStore struct {
	faultyStore
	readError error
}

func (s *unreadableStore) Read(ctx context.Context, key table.Key) (table.Row, error) {
	if s.readError != nil {
		return table.Row{}, s.readError
	}
	return s.faultyStore.Read(ctx, key)
}

// reportingWorkers answer every poll with the same report.
type reportingWorkers struct {
	Workers
	report dispatch.Report
}

func (w *reportingWorkers) Poll(context.Context, membership.InstanceID, dispatch.Poll) (dispatch.Report, error) {
	return w.report, nil
}

// wideJob is a job that isn't small.
func wideJob(n int) dispatch.Job {
	return dispatch.Job{
		ID: dispatch.JobID(fmt.Sprintf("%016x", n)), Queue: "q", Accepted: time.Date(2026, 1, 5, 4, 0, n, 0, time.UTC),
		Steps: []dispatch.Step{{Tasks: 2400, Resources: resource.Vector{Processors: 1000}, Estimate: time.Second}},
	}
}

// Guards against owners that run out of memory with the shards that they take over, and against tasks that
// run twice or not at all because their job isn't in memory.
var _ = Describe("An owner that takes over more jobs than fit", func() {
	const jobs = 40
	var (
		store   *unreadableStore
		workers *reportingWorkers
		node    *Node
		o       *owner
	)
	one := wideJob(0)
	limit := dispatch.MemoryLimit(one.Memory() * jobs / 2)

	loaded := func(id dispatch.JobID) bool {
		o.lock.Lock()
		defer o.lock.Unlock()
		return o.engine.HasJob(id)
	}
	// firstUnloaded returns the ID of the oldest job that isn't loaded.
	firstUnloaded := func() dispatch.JobID {
		GinkgoHelper()
		for n := range jobs {
			if id := wideJob(n).ID; !loaded(id) {
				return id
			}
		}
		Fail("all jobs are loaded")
		return ""
	}
	// loadOnce makes one check for jobs that can be loaded.
	loadOnce := func() {
		for range maxLoadedJobs {
			if id, found := o.nextToLoad(); !found || !o.loadStored(o.ctx, id) {
				return
			}
		}
	}
	// poll polls a worker once, which reports a run of a job or its end.
	poll := func(r dispatch.Report) {
		GinkgoHelper()
		workers.report = r
		workers.report.Incarnation, workers.report.Clock = 1, time.Second
		_, err := o.pollOnce("w", dispatch.Poll{})
		Expect(err).NotTo(HaveOccurred())
	}
	runOf := func(id dispatch.JobID) dispatch.TaskRun {
		return dispatch.TaskRun{Task: dispatch.TaskID{Job: id, Index: 7}, Run: 1}
	}

	BeforeEach(func() {
		store = &unreadableStore{faultyStore: faultyStore{memoryStore: memoryStore{rows: map[table.Key]table.Row{}}}}
		workers = &reportingWorkers{}
		node = New(Options{Name: "a", Clock: clockwork.NewRealClock(), Store: store, Workers: workers, Counters: &counter.Set{}, JobMemory: limit, MaxLease: 6 * time.Second, LeaseTerm: 4 * time.Second})
		node.setLayout(layoutRow{Shards: 1})
		s := node.allShards()[0]
		for n := range jobs {
			j := wideJob(n)
			_, err := store.Commit(context.Background(), table.Transaction{Writes: []table.Write{{Key: s.partition.jobKey(j.ID), Value: encode(jobRow{Job: &j})}}})
			Expect(err).NotTo(HaveOccurred())
		}
		o = newOwner(s, ownerRow{Node: "a", Epoch: 1001}, 0, func() {})
		group, ctx := errgroup.WithContext(context.Background())
		o.group, o.ctx = group, ctx
		s.owned.Store(o)
		o.engine.SetWorkers(o.now(), []dispatch.WorkerInfo{{ID: "w", Address: "w", Capacity: resource.Vector{Processors: 8000}}})
		_, err := o.recoverJobs(ctx)
		Expect(err).NotTo(HaveOccurred())
	})

	It("loads what fits and answers for the others", func() {
		Expect(len(o.unloaded)).To(And(BeNumerically(">", 0), BeNumerically("<", jobs)))
		o.updateJobMemory()
		Expect(node.usedJobMemory()).To(BeNumerically("<=", resource.Bytes(limit)))
		pending, err := o.pending("q")
		Expect(err).NotTo(HaveOccurred())
		Expect(pending.Pending).To(Equal(jobs))
		for n := range jobs {
			Expect(o.state(wideJob(n).ID)).To(Equal(stateAnswer{Known: true, State: dispatch.Queued}))
			Expect(o.accept(context.Background(), wideJob(n))).To(Succeed())
		}
		Expect(o.takeUpdate().submissions).To(BeEmpty())
	})

	It("refuses a large job before it is stored, and accepts a small one", func() {
		var refusal *queue.Refusal
		Expect(o.accept(context.Background(), wideJob(jobs))).To(BeAssignableToTypeOf(refusal))
		small := dispatch.Job{ID: "small", Queue: "q", Steps: []dispatch.Step{{Tasks: 1}}}
		Expect(o.admit(context.Background(), &small)).To(Succeed())
	})

	It("takes no jobs of other shards, and doesn't offer its room to them", func() {
		moved := wideJob(jobs)
		Expect(o.acceptTransfer(context.Background(), transferSender{Epoch: 1}, moved)).To(MatchError(errNotAccepted))
		answer, err := node.handleHello(context.Background(), helloRequest{})
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.IsOwner).To(BeTrue())
		Expect(answer.Load.Capacity).To(BeZero())
		node.JobMemory = 0
		answer, err = node.handleHello(context.Background(), helloRequest{})
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Load.Capacity).NotTo(BeZero())
	})

	It("keeps a run of a job that isn't loaded", func() {
		id := firstUnloaded()
		poll(dispatch.Report{Running: []dispatch.RunningTask{{TaskRun: runOf(id)}}})
		Expect(loaded(id)).To(BeTrue())
		Expect(o.engine.TakeCommands()).To(BeEmpty())
		Expect(o.state(id).State).To(Equal(dispatch.Running))
	})

	It("stores the end of a run of a job that isn't loaded", func() {
		id := firstUnloaded()
		poll(dispatch.Report{Ended: []dispatch.End{{Number: 1, TaskRun: runOf(id), Kind: dispatch.EndDone}}})
		batch := o.engine.TakeBatch(1)
		Expect(batch.Updates).To(HaveLen(1))
		Expect(batch.Updates[0].ID).To(Equal(id))
		Expect(batch.Updates[0].Progress.Steps[0].Done).To(Equal([]dispatch.TaskRange{{First: 7, Last: 7}}))
	})

	It("ignores a report with runs of jobs that can't be loaded yet", func() {
		id := firstUnloaded()
		store.readError = table.ErrUnavailable
		poll(dispatch.Report{Ended: []dispatch.End{{Number: 1, TaskRun: runOf(id), Kind: dispatch.EndDone}}})
		Expect(o.engine.HasUnstoredEnds("w")).To(BeFalse())
		store.readError = nil
		poll(dispatch.Report{Ended: []dispatch.End{{Number: 1, TaskRun: runOf(id), Kind: dispatch.EndDone}}})
		Expect(o.engine.HasUnstoredEnds("w")).To(BeTrue())
	})

	It("ends a cancelled job that isn't loaded", func() {
		id := firstUnloaded()
		Expect(node.Cancel(context.Background(), id)).To(Succeed())
		o.applyCancel(id)
		loadOnce()
		Expect(o.state(id).State).To(Equal(dispatch.Cancelled))
	})

	It("loads the others, the oldest first, as jobs end", func() {
		for len(o.unloaded) > 0 {
			before, oldest := len(o.unloaded), firstUnloaded()
			for n := range jobs {
				if id := wideJob(n).ID; loaded(id) {
					o.engine.Cancel(o.now(), id)
				}
			}
			o.engine.MarkStored(o.now(), o.engine.TakeBatch(jobs))
			loadOnce()
			Expect(len(o.unloaded)).To(BeNumerically("<", before))
			Expect(loaded(oldest)).To(BeTrue())
		}
	})

	It("keeps the outcome of a row, but not the job", func() {
		j := wideJob(0)
		key := o.shard.partition.jobKey(j.ID)
		Expect(o.trimJobRow(table.Row{Key: key, Value: encode(jobRow{Job: &j}), Version: 1}).Value).To(BeEmpty())
		finished := table.Row{Key: o.shard.partition.jobKey("finished"), Value: encode(jobRow{Outcome: dispatch.Completed}), Version: 1}
		Expect(o.trimJobRow(finished)).To(Equal(finished))
	})
})
