package dispatcher

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/caller/queue"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/counter"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/table"
)

// strictStore keeps rows, and rejects transactions with rows or sums of rows that are too large.
type strictStore struct {
	Store
	maxRow, maxTransaction int
	rejectsAll             bool
	version                table.Version
	rows                   map[table.Key][]byte
	rejected               int
}

func (s *strictStore) Commit(_ context.Context, tx table.Transaction) (table.Version, error) {
	sum := 0
	for _, w := range tx.Writes {
		sum += len(w.Value)
		if len(w.Value) > s.maxRow || sum > s.maxTransaction || s.rejectsAll {
			s.rejected++
			return 0, fmt.Errorf("%w: %s has %d bytes", table.ErrInvalid, w.Key, len(w.Value))
		}
	}
	for _, w := range tx.Writes {
		delete(s.rows, w.Key)
		if !w.Delete {
			s.rows[w.Key] = w.Value
		}
	}
	s.version++
	return s.version, nil
}

// Guards against a row that keeps all others of the shard from being stored. The owner repeated the
// rejected transaction, and so did each successor, until the row was gone.
var _ = Describe("An update that the store rejects", func() {
	const jobs = 30

	var store *strictStore
	var o *owner
	BeforeEach(func() {
		store = &strictStore{maxRow: 4 << 10, maxTransaction: 64 << 10, rows: map[table.Key][]byte{}}
		n := New(Options{Name: "a", Clock: clockwork.NewRealClock(), Store: store, Counters: &counter.Set{}})
		o = newOwner(newShard(n, 0, 1), ownerRow{Node: "a", Epoch: 1}, 0, func() {})
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		DeferCleanup(cancel)
		o.start(ctx)
		o.loaded = true
	})

	submit := func(id, spec string) *submission {
		s, err := newSubmission(dispatch.Job{ID: dispatch.JobID(id), Spec: spec, Steps: []dispatch.Step{{Tasks: 1}}}, nil)
		Expect(err).NotTo(HaveOccurred())
		o.submissions = append(o.submissions, s)
		return s
	}
	// submitMany submits sound jobs and returns a function that expects them to be stored.
	submitMany := func(spec string) (expectStored func()) {
		list := make([]*submission, jobs)
		for i := range list {
			list[i] = submit(fmt.Sprintf("job-%d", i), spec)
		}
		return func() {
			GinkgoHelper()
			for _, s := range list {
				Expect(s.done).To(Receive(BeNil()))
				Expect(store.rows).To(HaveKey(o.shard.partition.jobKey(s.job.ID)))
			}
		}
	}
	writeBatches := func(count int) {
		GinkgoHelper()
		for range count {
			Expect(o.writeBatch(o.ctx)).To(Succeed())
		}
	}

	It("loses only the list of workers if that is too large", func() {
		expectStored := submitMany("")
		label := dispatch.Label(strings.Repeat("x", store.maxRow))
		o.engine.SetWorkers(o.now(), []dispatch.WorkerInfo{{ID: membership.InstanceID("w"), Labels: []dispatch.Label{label}}})
		writeBatches(2 * jobs)
		expectStored()
		rejected := store.rejected
		writeBatches(jobs)
		Expect(store.rejected).To(Equal(rejected), "the list was tried again")
	})

	It("refuses only the job that is too large", func() {
		expectStored := submitMany("")
		large := submit("large", strings.Repeat("x", store.maxRow))
		writeBatches(2 * jobs)
		expectStored()
		var err error
		Expect(large.done).To(Receive(&err))
		var refusal *queue.Refusal
		Expect(err).To(BeAssignableToTypeOf(refusal))
		Expect(err).To(HaveField("Permanent", true))
		Expect(o.isStoring("large")).To(BeFalse())
	})

	It("fails only the job whose progress is too large", func() {
		failed := map[int][]dispatch.Run{}
		for i := range 1000 {
			failed[i] = []dispatch.Run{dispatch.Run(i) * 7919}
		}
		progress := dispatch.Progress{Steps: []dispatch.StepProgress{{Failed: failed}}}
		o.engine.AddJob(o.now(), dispatch.Job{ID: "large", Steps: []dispatch.Step{{Tasks: 1000}}}, progress, true)
		o.engine.RequeueBatch(dispatch.Batch{Updates: []dispatch.Update{{ID: "large"}}})
		store.maxRow = 2 << 10
		expectStored := submitMany("")
		writeBatches(2 * jobs)
		expectStored()
		Expect(o.state("large")).To(HaveField("State", dispatch.Failed))
		Expect(string(store.rows[o.shard.partition.jobKey("large")])).To(ContainSubstring(string(dispatch.Failed)))
	})

	It("stores sound parts that are too large together", func() {
		expectStored := submitMany(strings.Repeat("x", 3<<10))
		writeBatches(2 * jobs)
		expectStored()
	})

	It("keeps its parts while the store rejects everything", func() {
		store.rejectsAll = true
		o.deferredWrites = []table.Write{{Key: o.shard.partition.jobKey("old"), Delete: true}}
		writeBatches(4)
		store.rejectsAll = false
		Expect(o.deferredWrites).To(HaveLen(1))
		store.rows[o.shard.partition.jobKey("old")] = []byte("{}")
		writeBatches(1)
		Expect(store.rows).NotTo(HaveKey(o.shard.partition.jobKey("old")))
	})
})
