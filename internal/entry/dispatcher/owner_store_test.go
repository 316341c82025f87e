package dispatcher

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/operator/counter"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/table"
)

// forgetfulStore carries out the first transaction and loses its answer.
type forgetfulStore struct {
	Store
	row   table.Row
	tries []time.Time
}

func (s *forgetfulStore) Commit(_ context.Context, tx table.Transaction) (table.Version, error) {
	s.tries = append(s.tries, time.Now())
	if len(s.tries) > 1 {
		return 0, table.ErrConflict
	}
	write := tx.Writes[len(tx.Writes)-1]
	s.row = table.Row{Key: write.Key, Value: write.Value, Version: 8}
	return 0, table.ErrOutcomeUnknown
}

func (s *forgetfulStore) Read(context.Context, table.Key) (table.Row, error) {
	return s.row, nil
}

// Guards against two owners that act at once: one that reads its own row after a lost answer
// writes nothing, so that a successor counts its authority from the row's last change.
var _ = Describe("An owner whose answer from the store was lost", func() {
	It("counts its authority from the first try, against the time at which it learned of it", func() {
		store := &forgetfulStore{}
		n := New(Options{Name: "a", Clock: clockwork.NewRealClock(), Store: store, Counters: &counter.Set{}})
		o := newOwner(newShard(n, 0, 1), ownerRow{Node: "a", Epoch: 2, Sequence: 4}, 7, func() {})
		o.ctx = context.Background()
		u := o.takeUpdate()
		version, sent, err := o.commit(o.ctx, u.transaction(o.shard.partition.ownerKey()), u.next)
		Expect(err).NotTo(HaveOccurred())
		Expect(version).To(Equal(table.Version(8)))
		Expect(store.tries).To(HaveLen(2))
		Expect(sent).To(BeTemporally("<=", store.tries[0]))
	})
})

// Guards against an owner that is replaced while it reads the stored jobs, and its
// successor as well, without end (grown amagasa-kyushu, scale-2: ten owners in 17 s): its
// row stayed as it was, since it wrote nothing before it had read all.
var _ = Describe("An owner that loads", func() {
	It("beats, and stores nothing else", func() {
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
