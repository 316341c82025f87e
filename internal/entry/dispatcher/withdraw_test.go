package dispatcher

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/jacinthtrail/jacinthtrail/internal/caller/queue"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/counter"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/table"
)

// failingStore answers reads and transactions with fixed errors, and counts the transactions.
type failingStore struct {
	Store
	readErr, commitErr error
	commits            int
	// stored is the value of each row, if there is any.
	stored []byte
}

func (s *failingStore) Read(_ context.Context, key table.Key) (table.Row, error) {
	if s.stored != nil {
		return table.Row{Key: key, Value: s.stored, Version: 1}, s.readErr
	}
	return table.Row{Key: key}, s.readErr
}

func (s *failingStore) Commit(context.Context, table.Transaction) (table.Version, error) {
	s.commits++
	return 0, s.commitErr
}

// newOwnerWithStore returns an owner that has loaded the stored jobs.
func newOwnerWithStore(store Store) *owner {
	n := New(Options{Name: "a", Clock: clockwork.NewRealClock(), Store: store, Counters: &counter.Set{}})
	o := newOwner(newShard(n, 0, 1), ownerRow{Node: "a", Epoch: 2, Sequence: 4}, 7, func() {})
	o.ctx = context.Background()
	o.loaded = true
	return o
}

// Guards against answers with an unknown outcome, after which callers may not retry, for jobs that were in no
// transaction: while the store was unavailable, all jobs that waited for the current transaction got this
// answer.
var _ = Describe("A submission that waits for the owner's next transaction", func() {
	const timeout = 20 * time.Millisecond
	var o *owner

	await := func(s *submission) error {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		return o.awaitStored(ctx, s)
	}
	newWaiting := func(id dispatch.JobID) *submission {
		s, err := newSubmission(dispatch.Job{ID: id}, nil)
		Expect(err).NotTo(HaveOccurred())
		return s
	}

	BeforeEach(func() { o = newOwnerWithStore(&failingStore{}) })

	It("is withdrawn and not stored when its time is over", func() {
		Expect(await(newWaiting("j"))).To(MatchError(errNotAccepted))
		Expect(o.takeUpdate().submissions).To(BeEmpty())
	})

	It("is withdrawn when the owner stops", func() {
		stopped, stop := context.WithCancel(context.Background())
		stop()
		o.ctx = stopped
		Expect(o.awaitStored(context.Background(), newWaiting("j"))).To(MatchError(errNotAccepted))
	})

	It("is accepted if the owner has learned of its job meanwhile", func() {
		waiting := newWaiting("j")
		o.submissions = append(o.submissions, waiting)
		o.engine.AddJob(o.now(), dispatch.Job{ID: "j", Steps: []dispatch.Step{{Tasks: 1}}}, dispatch.Progress{}, false)
		o.withdraw(func(*submission) bool { return true })
		Expect(waiting.done).To(Receive(BeNil()))
	})

	// Guards against a job that never runs: the engine has dropped it because it was to move to another shard,
	// but its row is still stored in this one.
	It("returns a job that was to move to another shard to the engine", func() {
		job := dispatch.Job{ID: "j", Steps: []dispatch.Step{{Tasks: 1}}}
		o = newOwnerWithStore(&failingStore{stored: encode(jobRow{Job: &job})})
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		o.node.group, o.node.groupContext = errgroup.WithContext(ctx)
		other := shardID(0)
		move, err := newSubmission(job, &other)
		Expect(err).NotTo(HaveOccurred())
		o.submissions = append(o.submissions, move)
		o.withdraw(func(*submission) bool { return true })
		Eventually(func() bool {
			o.lock.Lock()
			defer o.lock.Unlock()
			return o.engine.HasJob("j")
		}).Should(BeTrue())
	})

	It("has an unknown outcome once a transaction includes it", func() {
		taken := newWaiting("j")
		o.submissions = append(o.submissions, taken)
		Expect(o.takeUpdate().submissions).To(ConsistOf(taken))
		o.withdraw(func(*submission) bool { return true })
		Expect(taken.done).NotTo(Receive())
	})

	It("has an unknown outcome while a transaction may store the same job for an earlier request", func() {
		o.submissions = append(o.submissions, newWaiting("j"))
		o.takeUpdate()
		Expect(await(newWaiting("j"))).To(MatchError(queue.ErrOutcomeUnknown))
	})

	It("is withdrawn at once when the store is lost while the transaction before it is repeated", func() {
		store := &failingStore{commitErr: table.ErrOutcomeUnknown, readErr: table.ErrUnavailable}
		o = newOwnerWithStore(store)
		taken, waiting := newWaiting("first"), newWaiting("second")
		o.submissions = append(o.submissions, taken)
		u := o.takeUpdate()
		o.submissions = append(o.submissions, waiting)
		ctx, cancel := context.WithTimeout(context.Background(), storeRetryDelay*lostAfterFailures*2)
		defer cancel()
		o.ctx = ctx
		_, _, err := o.commit(ctx, u.transaction(o.shard.partition.ownerKey()), u.next)
		Expect(err).To(HaveOccurred())
		Expect(waiting.done).To(Receive(MatchError(errNotAccepted)))
		Expect(taken.done).NotTo(Receive())
	})
})

// Guards against an unknown outcome for a job that an instance stores itself, if a read before the
// transaction would have shown that the store is unavailable.
var _ = Describe("A job that an instance stores without the owner", func() {
	storeJob := func(store Store) error {
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		defer cancel()
		return newOwnerWithStore(store).shard.storeJob(ctx, dispatch.Job{ID: "j"})
	}

	It("is refused without a transaction if the store doesn't answer a read", func() {
		store := &failingStore{readErr: table.ErrUnavailable, commitErr: table.ErrOutcomeUnknown}
		var refusal *queue.Refusal
		Expect(storeJob(store)).To(BeAssignableToTypeOf(refusal))
		Expect(store.commits).To(BeZero())
	})

	It("is refused if the store refuses the transaction", func() {
		var refusal *queue.Refusal
		Expect(storeJob(&failingStore{commitErr: table.ErrUnavailable})).To(BeAssignableToTypeOf(refusal))
	})

	It("has an unknown outcome if the answer to the transaction was lost", func() {
		Expect(storeJob(&failingStore{commitErr: table.ErrOutcomeUnknown})).To(MatchError(queue.ErrOutcomeUnknown))
	})
})
