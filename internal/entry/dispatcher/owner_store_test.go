package dispatcher

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/counter"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/table"
)

// lostAnswerStore commits the first transaction but loses its answer.
type lostAnswerStore struct {
	Store
	row      table.Row
	attempts []time.Time
}

func (s *lostAnswerStore) Commit(_ context.Context, tx table.Transaction) (table.Version, error) {
	s.attempts = append(s.attempts, time.Now())
	if len(s.attempts) > 1 {
		return 0, table.ErrConflict
	}
	write := tx.Writes[len(tx.Writes)-1]
	s.row = table.Row{Key: write.Key, Value: write.Value, Version: 8}
	return 0, table.ErrOutcomeUnknown
}

func (s *lostAnswerStore) Read(context.Context, table.Key) (table.Row, error) {
	return s.row, nil
}

// Guards against two owners that act at the same time. An owner that finds its own row
// after a lost answer writes nothing, so a successor counts the owner's authority from
// the last change of the row.
var _ = Describe("An owner whose answer from the store was lost", func() {
	It("the owner counts its authority from the first attempt, not from when it learned the outcome", func() {
		store := &lostAnswerStore{}
		n := New(Options{Name: "a", Clock: clockwork.NewRealClock(), Store: store, Counters: &counter.Set{}})
		o := newOwner(newShard(n, 0, 1), ownerRow{Node: "a", Epoch: 2, Sequence: 4}, 7, func() {})
		o.ctx = context.Background()
		u := o.takeUpdate()
		version, sent, err := o.commit(o.ctx, u.transaction(o.shard.partition.ownerKey()), u.next)
		Expect(err).NotTo(HaveOccurred())
		Expect(version).To(Equal(table.Version(8)))
		Expect(store.attempts).To(HaveLen(2))
		Expect(sent).To(BeTemporally("<=", store.attempts[0]))
	})
})

// Guards against endless takeovers while owners load the stored jobs. An owner wrote
// nothing until it had read all jobs, so its row looked stale and it was replaced, as
// was each successor: ten owners in 17 s.
var _ = Describe("An owner that loads the stored jobs", func() {
	It("an owner writes only heartbeats until the stored jobs are loaded", func() {
		n := New(Options{Name: "a", Clock: clockwork.NewFakeClock()})
		o := newOwner(newShard(n, 0, 1), ownerRow{Node: "a", Epoch: 2, Sequence: 4}, 7, func() {})
		o.deferredWrites = []table.Write{{Key: "job/s0/x", Delete: true}}
		o.expiredJobs["y"] = true
		u := o.takeUpdate()
		Expect(u.next.Sequence).To(Equal(int64(5)))
		Expect(u.writes).To(BeEmpty())
		tx := u.transaction("owner/s0/owner")
		Expect(tx.Conditions).To(Equal([]table.Condition{{Key: "owner/s0/owner", Version: 7}}))
		Expect(tx.Writes).To(HaveLen(1))

		o.loaded = true
		u = o.takeUpdate()
		Expect(len(u.writes)).To(BeNumerically(">=", 3))
		Expect(o.deferredWrites).To(BeEmpty())
		o.requeue(u)
		Expect(o.deferredWrites).To(HaveLen(1))
	})
})

// Guards against two runs of a task at once around a planned stop: the next owner doesn't know which
// runs are being stopped, and their workers needn't list them.
var _ = Describe("The runs that an owner is stopping", func() {
	stopping := []dispatch.StoppingRun{{TaskRun: dispatch.TaskRun{Task: dispatch.TaskID{Job: "j"}, Run: 1}, Worker: "w"}}
	row := table.Row{Version: 1, Value: encode(stoppingRow{Epoch: 2, Runs: stopping})}
	newOwnerOf := func(epoch dispatch.Epoch) *owner {
		n := New(Options{Name: "a", Clock: clockwork.NewRealClock(), Store: &lostAnswerStore{row: row}, Counters: &counter.Set{}})
		return newOwner(newShard(n, 0, 1), ownerRow{Node: "a", Epoch: epoch}, 7, func() {})
	}

	It("are stored when it releases its shard", func() {
		o := newOwnerOf(2)
		o.loaded = true
		o.releaseRequested.Store(true)
		u := o.takeUpdate()
		Expect(u.writes).To(ContainElement(HaveField("Key", o.shard.partition.stoppingKey())))
	})

	It("are read by the next owner, and by no later one", func() {
		Expect(newOwnerOf(3).readStopping(context.Background())).To(Equal(stopping))
		Expect(newOwnerOf(4).readStopping(context.Background())).To(BeEmpty())
	})
})
