package dispatcher

import (
	"context"
	"fmt"
	"slices"
	"sync"
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

// memoryStore keeps rows in memory.
type memoryStore struct {
	Store
	lock    sync.Mutex
	rows    map[table.Key]table.Row
	version table.Version
}

// Read implements Store.
func (s *memoryStore) Read(_ context.Context, key table.Key) (table.Row, error) {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.rows[key], nil
}

// Commit implements Store.
func (s *memoryStore) Commit(_ context.Context, tx table.Transaction) (table.Version, error) {
	s.lock.Lock()
	defer s.lock.Unlock()
	for _, c := range tx.Conditions {
		if s.rows[c.Key].Version != c.Version {
			return 0, table.ErrConflict
		}
	}
	s.version++
	for _, w := range tx.Writes {
		if w.Delete {
			delete(s.rows, w.Key)
			continue
		}
		s.rows[w.Key] = table.Row{Key: w.Key, Value: w.Value, Version: s.version}
	}
	return s.version, nil
}

// readRow returns the content of a row, or the zero value if there is none.
func readRow[Content any](s *memoryStore, key table.Key) Content {
	var content Content
	row, err := s.Read(context.Background(), key)
	Expect(err).NotTo(HaveOccurred())
	if row.Version == 0 {
		return content
	}
	content, err = decode[Content](row)
	Expect(err).NotTo(HaveOccurred())
	return content
}

// Guards against a long-running task that stays down in a full shard, and against one that runs on in
// the shard to which it was transferred after its job was cancelled.
var _ = Describe("A long-running task that is down in a full shard", func() {
	const stepLimit = 5 * time.Second
	var (
		store  *memoryStore
		node   *Node
		owners []*owner
		job    dispatch.Job
	)

	// addOwner adds an owner of a shard with some workers, which may have reported to it. Its transactions
	// are stored while the spec runs.
	addOwner := func(ctx context.Context, group *errgroup.Group, id shardID, workers int, reported bool) {
		s := node.allShards()[id]
		ctx, cancel := context.WithCancel(ctx)
		o := newOwner(s, ownerRow{Node: node.Name, Epoch: 1}, 0, cancel)
		o.group, o.ctx, o.loaded = group, ctx, true
		var list []dispatch.WorkerInfo
		for i := range workers {
			list = append(list, dispatch.WorkerInfo{
				ID: membership.InstanceID(fmt.Sprintf("w%d-%d", id, i)), Service: "pool", Capacity: resource.Vector{Processors: 1000},
			})
		}
		o.engine.SetQueues(map[dispatch.QueueName]dispatch.Queue{"q": {Name: "q", Service: "pool"}})
		o.engine.SetWorkers(o.now(), list)
		if reported {
			for _, w := range list {
				o.engine.Observe(o.now(), w.ID, dispatch.Report{Incarnation: 1, Clock: time.Second})
			}
			o.engine.Tick(o.now())
		}
		s.owned.Store(o)
		owners = append(owners, o)
		group.Go(func() error {
			_ = o.runWriter(ctx)
			return nil
		})
	}
	// outcomeOf returns the stored outcome of the job in a shard.
	outcomeOf := func(o *owner) func() dispatch.JobState {
		return func() dispatch.JobState {
			return readRow[jobRow](store, o.shard.partition.jobKey(job.ID)).Outcome
		}
	}
	// transferredTo returns the tasks of the job that were transferred to a shard.
	transferredTo := func(o *owner) transferredJob {
		return readRow[transferredJob](store, o.shard.partition.transferKey(job.ID))
	}
	hasJob := func(o *owner) func() bool {
		return func() bool {
			o.lock.Lock()
			defer o.lock.Unlock()
			return o.engine.HasJob(job.ID)
		}
	}
	isCancelled := func(o *owner) func() bool {
		return func() bool {
			o.lock.Lock()
			defer o.lock.Unlock()
			state, _ := o.engine.State(job.ID)
			return state == dispatch.Cancelled
		}
	}
	// tickOwner runs the engine of the first owner and delivers its transfers.
	tickOwner := func(group *errgroup.Group) {
		o := owners[0]
		o.lock.Lock()
		o.engine.Tick(o.now())
		transfers := o.engine.TakeTransfers()
		o.lock.Unlock()
		for _, t := range transfers {
			group.Go(func() error {
				o.deliverTransfer(t)
				return nil
			})
		}
	}

	BeforeEach(func() {
		ctx, cancel := context.WithCancel(context.Background())
		group, ctx := errgroup.WithContext(ctx)
		DeferCleanup(func() {
			cancel()
			Expect(group.Wait()).To(Succeed())
		})
		store, owners = &memoryStore{rows: map[table.Key]table.Row{}}, nil
		node = New(Options{Name: "n", Clock: clockwork.NewRealClock(), Store: store, Counters: &counter.Set{}})
		node.group, node.groupContext = group, ctx
		shards := []*shard{newShard(node, 0, 2), newShard(node, 1, 2)}
		node.shards.Store(&shards)
		addOwner(ctx, group, 0, 1, false)
		addOwner(ctx, group, 1, 10, true)

		job = dispatch.Job{Queue: "q", Steps: []dispatch.Step{{
			Tasks: 2, Resources: resource.Vector{Processors: 1000}, LongRunning: true,
		}}}
		for n := 0; job.ID == "" || shardOf(string(job.ID), 2) != 0; n++ {
			job.ID = dispatch.JobID(fmt.Sprintf("j%d", n))
		}
		o := owners[0]
		key := o.shard.partition.jobKey(job.ID)
		store.rows[key] = table.Row{Key: key, Value: encode(jobRow{Job: &job}), Version: 1}
		o.lock.Lock()
		o.engine.AddJob(o.now().Add(-time.Minute), job, dispatch.Progress{}, true)
		o.engine.Tick(o.now())
		o.lock.Unlock()
		o.transferTasks()
		Eventually(func() []int {
			tickOwner(group)
			var tasks []int
			for _, task := range transferredTo(owners[1]).Tasks {
				tasks = append(tasks, task.Index)
			}
			return tasks
		}, stepLimit).Should(ConsistOf(0, 1))
	})

	It("is stored by a shard with more room, in a row that an earlier build doesn't take for a job", func() {
		Expect(transferredTo(owners[1]).Job.ID).To(Equal(job.ID))
		Expect(readRow[jobRow](store, owners[1].shard.partition.jobKey(job.ID))).To(BeZero())
		Eventually(hasJob(owners[1]), stepLimit).Should(BeTrue())
	})

	It("is cancelled there before the outcome of its job is stored", func() {
		Eventually(hasJob(owners[1]), stepLimit).Should(BeTrue())
		owners[0].applyCancel(job.ID)
		Eventually(outcomeOf(owners[0]), stepLimit).Should(Equal(dispatch.Cancelled))
		Expect(transferredTo(owners[1])).To(BeZero())
		Expect(isCancelled(owners[1])()).To(BeTrue())
	})

	It("is known to the next owner of the other shard", func() {
		rows := []table.Row{{Key: "transfer", Value: encode(transferredTo(owners[1]))}}
		next := newOwner(owners[1].shard, ownerRow{Node: node.Name, Epoch: 2}, 1, func() {})
		Expect(next.addTransferred(rows, nil)).To(Succeed())
		Expect(hasJob(next)()).To(BeTrue())
	})

	// Guards against a transfer that is taken for known, and never carried out, because the other shard
	// once moved the whole job here.
	It("is taken back by the shard that moved its job here", func() {
		o := owners[1]
		other := job
		other.ID += "y"
		other.Transferred = []dispatch.TransferredTask{{Index: 1, Run: 2, Down: time.Minute}}
		o.lock.Lock()
		o.moved[other.ID] = &movedJob{target: 0, stored: true}
		o.lock.Unlock()
		Expect(o.acceptTransfer(o.ctx, owners[0].sender(), other)).To(Succeed())
		Expect(readRow[transferredJob](store, o.shard.partition.transferKey(other.ID)).Tasks).To(Equal(other.Transferred))
		o.lock.Lock()
		defer o.lock.Unlock()
		Expect(o.engine.HasTasks(&other)).To(BeTrue())
	})

	// expectStays adds a job like the first one, with a change, and expects that its tasks aren't
	// transferred.
	expectStays := func(change func(*dispatch.Step)) {
		GinkgoHelper()
		o := owners[0]
		other := job
		other.ID, other.Steps = job.ID+"x", slices.Clone(job.Steps)
		change(&other.Steps[0])
		o.lock.Lock()
		o.engine.AddJob(o.now().Add(-time.Minute), other, dispatch.Progress{}, true)
		o.engine.Tick(o.now())
		o.lock.Unlock()
		o.transferTasks()
		o.lock.Lock()
		defer o.lock.Unlock()
		Expect(o.engine.TransferTargets(other.ID)).To(BeEmpty())
	}
	unchanged := func(*dispatch.Step) {}

	It("stays while an instance is alive that doesn't know transfers", func() {
		node.recordPeers([]peer{{Name: "earlier build"}})
		expectStays(unchanged)
	})

	// Guards against tasks that no shard starts, because the transfer can't be stored.
	It("stays while the store is away", func() {
		for range lostAfterFailures {
			node.store.recordResult("Read", table.ErrUnavailable)
		}
		expectStays(unchanged)
	})

	DescribeTable("stays if no worker of the other shard is known to be able to run it", expectStays,
		Entry("for lack of a label", func(s *dispatch.Step) { s.Requires = "gpu" }),
		Entry("for lack of accelerators", func(s *dispatch.Step) { s.Resources.Accelerators = 1 }),
		Entry("for lack of a large enough worker", func(s *dispatch.Step) { s.Resources.Processors = 2000 }),
	)

	// Guards against tasks of a cancelled job that run for good: their transfer was still being stored when
	// their end was asked for, or came from an owner that was replaced.
	Describe("after its job was cancelled", func() {
		late := func() dispatch.Job {
			j := job
			j.ID += "z"
			j.Transferred = []dispatch.TransferredTask{{Index: 0, Run: 1, Down: time.Minute}}
			return j
		}

		It("isn't reported as unknown while its transfer is stored", func() {
			o, j := owners[1], late()
			o.lock.Lock()
			o.storing[j.ID] = true
			o.lock.Unlock()
			Expect(o.endTransfer(owners[0].sender(), j.ID)).To(MatchError(errEndNotStored))
		})

		It("isn't taken from an owner that was replaced", func() {
			o, j := owners[1], late()
			next := transferSender{Shard: 0, Epoch: owners[0].epoch + 1}
			Expect(o.endTransfer(next, j.ID)).To(MatchError(queue.ErrUnknownJob))
			Expect(o.acceptTransfer(o.ctx, owners[0].sender(), j)).To(MatchError(errStaleSender))
			Expect(o.acceptTransfer(o.ctx, next, j)).To(Succeed())
		})
	})
})
