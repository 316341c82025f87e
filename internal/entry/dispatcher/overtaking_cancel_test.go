package dispatcher

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/jacinthtrail/jacinthtrail/internal/caller/queue"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/counter"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/table"
)

// lateStore is a store in memory that answers no transaction with a job while it delays them, and performs
// them later, if their conditions hold then.
type lateStore struct {
	faultyStore
	lateLock sync.Mutex
	delaying bool
	delayed  []table.Transaction
}

func newLateStore() *lateStore {
	return &lateStore{faultyStore: faultyStore{memoryStore: memoryStore{rows: map[table.Key]table.Row{}}}}
}

func (s *lateStore) Commit(ctx context.Context, tx table.Transaction) (table.Version, error) {
	s.lateLock.Lock()
	defer s.lateLock.Unlock()
	for _, w := range tx.Writes {
		// The cancellations of these specs are shorter than any job.
		if isJob := strings.HasPrefix(string(w.Key), "job/") && strings.Contains(string(w.Value), `"Spec"`); s.delaying && isJob {
			s.delayed = append(s.delayed, tx)
			return 0, table.ErrOutcomeUnknown
		}
	}
	return s.faultyStore.Commit(ctx, tx)
}

func (s *lateStore) setDelaying(delaying bool) {
	s.lateLock.Lock()
	defer s.lateLock.Unlock()
	s.delaying = delaying
}

// performDelayed performs the delayed transactions.
func (s *lateStore) performDelayed() {
	s.lateLock.Lock()
	defer s.lateLock.Unlock()
	for _, tx := range s.delayed {
		_, _ = s.faultyStore.Commit(context.Background(), tx)
	}
	s.delayed = nil
}

// instancePair is an instance that owns the only shard, and another one, on the same store.
type instancePair struct {
	store        *lateStore
	owner, other *Node
	group        *errgroup.Group
}

func newInstancePair() *instancePair {
	GinkgoHelper()
	p := &instancePair{store: newLateStore()}
	instance := func(name membership.InstanceID) *Node {
		n := New(Options{Name: name, Clock: clockwork.NewRealClock(), Store: p.store, Counters: &counter.Set{}})
		n.setLayout(layoutRow{Shards: 1})
		return n
	}
	p.owner, p.other = instance("a"), instance("b")
	p.takeOver(p.owner, 1)
	return p
}

// takeOver makes an instance the owner of the shard until the spec ends.
func (p *instancePair) takeOver(n *Node, epoch dispatch.Epoch) *owner {
	GinkgoHelper()
	s := n.allShards()[0]
	row := ownerRow{Node: n.Name, Epoch: epoch}
	version, err := p.store.Commit(context.Background(), table.Transaction{Writes: []table.Write{{Key: s.partition.ownerKey(), Value: encode(row)}}})
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	o := newOwner(s, row, version, cancel)
	o.group, o.ctx = errgroup.WithContext(ctx)
	_, err = o.recoverJobs(o.ctx)
	Expect(err).NotTo(HaveOccurred())
	s.owned.Store(o)
	o.group.Go(func() error { return o.runWriter(o.ctx) })
	DeferCleanup(func() {
		s.owned.Store(nil)
		cancel()
		_ = o.group.Wait()
	})
	return o
}

func (p *instancePair) hasJob(id dispatch.JobID) bool {
	o := p.owner.allShards()[0].owned.Load()
	o.lock.Lock()
	defer o.lock.Unlock()
	return o.engine.HasJob(id)
}

// expectNeverAdded expects that the owner doesn't get to know the job, even if it reads the job's row.
func (p *instancePair) expectNeverAdded(id dispatch.JobID) {
	GinkgoHelper()
	o := p.owner.allShards()[0].owned.Load()
	o.addIfStored(id)
	Expect(p.hasJob(id)).To(BeFalse())
}

// expectRefused expects that a job is refused for good.
func expectRefused(err error) {
	GinkgoHelper()
	var refusal *queue.Refusal
	Expect(errors.As(err, &refusal)).To(BeTrue(), "%v", err)
}

// Guards against a job that runs after its cancellation was answered with "no such job": the submission was on
// its way, or stored by a transaction that the store performed after the cancellation (review case 13).
var _ = Describe("A cancellation that overtakes the submission of its job", func() {
	const callTimeout = 3 * time.Second
	var p *instancePair
	job := dispatch.Job{ID: "00000000000000aa", Queue: "q", Spec: "text", Steps: []dispatch.Step{{Tasks: 1}}}

	callContext := func() context.Context {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		DeferCleanup(cancel)
		return ctx
	}
	expectUnknown := func(n *Node) {
		GinkgoHelper()
		Expect(n.Cancel(callContext(), job.ID)).To(MatchError(queue.ErrUnknownJob))
		_, err := n.State(callContext(), job.ID)
		Expect(err).To(MatchError(queue.ErrUnknownJob))
	}

	BeforeEach(func() { p = newInstancePair() })

	DescribeTable("keeps the job from being stored", func(submitted, cancelled func() *Node) {
		expectUnknown(cancelled())
		expectRefused(submitted().Submit(callContext(), job))
		p.expectNeverAdded(job.ID)
		expectUnknown(p.owner)
		expectUnknown(p.other)
	},
		Entry("by the owner, cancelled at another instance", func() *Node { return p.owner }, func() *Node { return p.other }),
		Entry("by another instance, cancelled at the owner", func() *Node { return p.other }, func() *Node { return p.owner }),
		Entry("by the owner, cancelled there", func() *Node { return p.owner }, func() *Node { return p.owner }),
	)

	DescribeTable("keeps the store from performing a late transaction with the job", func(submitted, cancelled func() *Node) {
		p.store.setDelaying(true)
		ctx, cancel := context.WithTimeout(context.Background(), 2500*time.Millisecond)
		defer cancel()
		Expect(submitted().Submit(ctx, job)).To(MatchError(queue.ErrOutcomeUnknown))
		expectUnknown(cancelled())
		p.store.setDelaying(false)
		p.store.performDelayed()
		p.expectNeverAdded(job.ID)
		expectRefused(submitted().Submit(callContext(), job))
		expectUnknown(p.owner)
	},
		Entry("of the owner", func() *Node { return p.owner }, func() *Node { return p.other }),
		Entry("of another instance", func() *Node { return p.other }, func() *Node { return p.owner }),
	)

	It("is known to the next owner", func() {
		expectUnknown(p.other)
		p.takeOver(p.owner, 1001)
		expectRefused(p.owner.Submit(callContext(), job))
		p.expectNeverAdded(job.ID)
	})
})
