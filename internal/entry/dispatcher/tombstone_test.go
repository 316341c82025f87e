package dispatcher

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/caller/queue"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/counter"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/table"
)

// Guards against cancellations of unknown jobs that fill the store, and against ones that are reported as done
// although their row isn't stored.
var _ = Describe("The tombstone of a job that isn't known", func() {
	const crowd = 500
	shard := partition("s0")
	var store *lateStore
	var clock *clockwork.FakeClock
	var n *Node

	useStore := func(s Store) {
		n = New(Options{Name: "a", Clock: clock, Store: s, Counters: &counter.Set{}})
		n.setLayout(layoutRow{Shards: 1})
	}
	cancelOnce := func(id dispatch.JobID) error {
		return n.allShards()[0].tryStoreCancel(context.Background(), id)
	}
	reasonOf := func(err error) string {
		var refusal *queue.Refusal
		if !errors.As(err, &refusal) {
			return ""
		}
		return refusal.Reason
	}

	BeforeEach(func() {
		clock, store = clockwork.NewFakeClock(), newLateStore()
		useStore(store)
	})

	It("is stored at a limited rate, and what is beyond is refused", func() {
		answers := map[string]int{}
		for i := range crowd {
			answers[reasonOf(cancelOnce(dispatch.JobID(fmt.Sprintf("%016x", i))))]++
		}
		Expect(answers).To(Equal(map[string]int{"": tombstoneBurst, RefusedTooManyUnknown: crowd - tombstoneBurst}))
		Expect(store.rows).To(HaveLen(tombstoneBurst))
		clock.Advance(time.Second)
		Expect(cancelOnce("later")).To(MatchError(queue.ErrUnknownJob))
	})

	It("is stored at a rate that all instances share", func() {
		var alone, shared tombstoneLimit
		now := clock.Now()
		stored := func(l *tombstoneLimit, instances int) int {
			count := 0
			for i := range 10 * tombstonesPerSecond {
				if l.allow(now.Add(time.Duration(i)*time.Second/tombstonesPerSecond), instances) {
					count++
				}
			}
			return count
		}
		Expect(stored(&alone, 1)).To(Equal(10 * tombstonesPerSecond))
		Expect(stored(&shared, 10)).To(BeNumerically("<=", tombstoneBurst+tombstonesPerSecond))
	})

	It("isn't stored again for a second cancellation, and none is stored for a known job", func() {
		Expect(cancelOnce("j")).To(MatchError(queue.ErrUnknownJob))
		version := store.version
		Expect(cancelOnce("j")).To(MatchError(queue.ErrUnknownJob))
		Expect(store.version).To(Equal(version))
		store.rows[shard.jobKey("known")] = table.Row{Key: shard.jobKey("known"), Value: encode(jobRow{Job: &dispatch.Job{ID: "known"}}), Version: 3}
		Expect(cancelOnce("known")).To(Succeed())
		Expect(store.rows[shard.cancelKey("known")].Version).NotTo(BeZero())
	})

	It("isn't reported as stored without an answer of the store", func() {
		useStore(&failingStore{commitErr: table.ErrOutcomeUnknown})
		Expect(cancelOnce("j")).To(MatchError(table.ErrOutcomeUnknown))
		useStore(&failingStore{commitErr: table.ErrUnavailable})
		Expect(reasonOf(cancelOnce("j"))).To(Equal(RefusedStoreUnavailable))
		useStore(&failingStore{readErr: table.ErrUnavailable})
		Expect(reasonOf(cancelOnce("j"))).To(Equal(RefusedStoreUnavailable))
	})

	It("isn't stored in a shard that isn't the home of the job", func() {
		n.setLayout(layoutRow{Shards: 2})
		home := shardOf("j", 2)
		Expect(n.allShards()[1-home].tryStoreCancel(context.Background(), "j")).To(MatchError(queue.ErrUnknownJob))
		Expect(store.rows).To(BeEmpty())
	})
})

// Guards against an owner that gives up its shard, or stops storing jobs, because one of the new jobs of its
// transaction has a row.
var _ = Describe("An owner whose transaction has a new job with a row", func() {
	var p *instancePair
	var o *owner
	var clock *clockwork.FakeClock

	submit := func(id dispatch.JobID) *submission {
		GinkgoHelper()
		s, err := newSubmission(dispatch.Job{ID: id, Queue: "q", Spec: "text", Steps: []dispatch.Step{{Tasks: 1}}}, nil)
		Expect(err).NotTo(HaveOccurred())
		o.submissions = append(o.submissions, s)
		return s
	}
	put := func(id dispatch.JobID, content jobRow) {
		GinkgoHelper()
		key := o.shard.partition.jobKey(id)
		_, err := p.store.Commit(context.Background(), table.Transaction{Writes: []table.Write{{Key: key, Value: encode(content)}}})
		Expect(err).NotTo(HaveOccurred())
	}
	write := func(times int) {
		GinkgoHelper()
		for range times {
			Expect(o.writeBatch(o.ctx)).To(Succeed())
		}
	}

	BeforeEach(func() {
		clock = clockwork.NewFakeClock()
		p = &instancePair{store: newLateStore()}
		p.owner = New(Options{Name: "a", Clock: clock, Store: p.store, Counters: &counter.Set{}})
		p.owner.setLayout(layoutRow{Shards: 1})
		s := p.owner.allShards()[0]
		o = newOwner(s, ownerRow{Node: "a", Epoch: 1}, 0, func() {})
		o.ctx, o.loaded = context.Background(), true
		s.owned.Store(o)
	})

	It("refuses the cancelled one, and stores the others", func() {
		put("cancelled", jobRow{Tombstone: true, Outcome: dispatch.Cancelled, Ended: clock.Now()})
		cancelled, other := submit("cancelled"), submit("other")
		write(2)
		var err error
		Expect(cancelled.done).To(Receive(&err))
		Expect(isCancelledRefusal(err)).To(BeTrue(), "%v", err)
		Expect(other.done).To(Receive(BeNil()))
		Expect(p.hasJob("other")).To(BeTrue())
		Expect(p.hasJob("cancelled")).To(BeFalse())
		Expect(o.reason()).To(BeEmpty())
	})

	It("takes one that another instance has stored as stored, without its content", func() {
		put("j", jobRow{Outcome: dispatch.Completed, Ended: clock.Now()})
		s := submit("j")
		write(2)
		Expect(s.done).To(Receive(BeNil()))
		Expect(o.state("j").State).To(Equal(dispatch.Completed))
	})

	It("deletes a tombstone after its retention, and stores the job then", func() {
		put("j", jobRow{Tombstone: true, Outcome: dispatch.Cancelled, Ended: clock.Now()})
		o.addIfStored("j")
		Expect(isCancelledRefusal(o.accept(o.ctx, dispatch.Job{ID: "j"}))).To(BeTrue())
		clock.Advance(tombstoneRetention + time.Second)
		o.expireTombstones()
		s := submit("j")
		write(1)
		Expect(s.done).NotTo(Receive())
		write(1)
		Expect(s.done).To(Receive(BeNil()))
		Expect(p.hasJob("j")).To(BeTrue())
	})

	It("keeps its transactions within the entries that the store allows", func() {
		for i := range maxBatchJobs {
			id := dispatch.JobID(fmt.Sprintf("ended-%d", i))
			o.engine.AddJob(clock.Now(), dispatch.Job{ID: id, Steps: []dispatch.Step{{Tasks: 1}}}, dispatch.Progress{}, false)
			o.engine.Cancel(clock.Now(), id)
		}
		for i := range 2 * maxBatchSubmissions {
			submit(dispatch.JobID(fmt.Sprintf("new-%d", i)))
		}
		u := o.takeUpdate()
		tx := u.transaction(o.shard.partition.ownerKey())
		Expect(len(tx.Conditions) + len(tx.Writes)).To(BeNumerically("<=", 100))
		Expect(u.submissions).NotTo(BeEmpty())
	})
})
