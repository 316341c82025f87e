package dispatcher

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/counter"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/table"
)

// faultyStore is a store in memory that can lose answers, and that can reject or fail transactions with a
// recovery record.
type faultyStore struct {
	memoryStore
	loseAnswer   bool
	recordError  error
	recordWrites int
}

func (s *faultyStore) Commit(ctx context.Context, tx table.Transaction) (table.Version, error) {
	hasRecord := slices.ContainsFunc(tx.Writes, func(w table.Write) bool { return strings.HasPrefix(string(w.Key), "recovery/") })
	if hasRecord {
		s.recordWrites++
		if s.recordError != nil {
			return 0, s.recordError
		}
	}
	version, err := s.memoryStore.Commit(ctx, tx)
	if err == nil && s.loseAnswer {
		s.loseAnswer = false
		return 0, table.ErrOutcomeUnknown
	}
	return version, err
}

// Snapshot implements Store.
func (s *faultyStore) Snapshot(_ context.Context, prefix table.Key) ([]table.Row, table.Version, error) {
	s.lock.Lock()
	defer s.lock.Unlock()
	var rows []table.Row
	for _, key := range slices.Sorted(maps.Keys(s.rows)) {
		if strings.HasPrefix(string(key), string(prefix)) {
			rows = append(rows, s.rows[key])
		}
	}
	return rows, s.version, nil
}

// recordOf returns a record with runs on a number of workers.
func recordOf(workers, runs int) dispatch.RecoveryRecord {
	record := dispatch.RecoveryRecord{EarlierOwnerActsFor: time.Second, NewJobsDelay: 2 * time.Second}
	for i := range workers {
		w := dispatch.RecordedWorker{ID: membership.InstanceID(fmt.Sprintf("i-%010x", i*7919)), ExpireIn: 4 * time.Second}
		for k := range runs {
			task := dispatch.TaskID{Job: dispatch.JobID(fmt.Sprintf("%016x", uint64(i*runs+k)/7*0x9e3779b97f4a7c15)), Index: k % 7}
			w.Runs = append(w.Runs, dispatch.TaskRun{Task: task, Run: dispatch.Run(1000*k + 1)})
		}
		record.Workers = append(record.Workers, w)
	}
	return record
}

// BenchmarkRecordPages measures the encoding of the record of 2,000 runs on 200 workers.
func BenchmarkRecordPages(b *testing.B) {
	record := recordOf(200, 10)
	size := 0
	for b.Loop() {
		pages, err := recordPages(1001, record)
		if err != nil {
			b.Fatal(err)
		}
		size = 0
		for _, page := range pages {
			size += len(page)
		}
	}
	b.ReportMetric(float64(size), "bytes")
}

var _ = Describe("The rows of a recovery record", func() {
	const shard = partition("s0")
	rowsOf := func(pages [][]byte) map[table.Key]table.Row {
		rows := map[table.Key]table.Row{}
		for i, page := range pages {
			rows[shard.recordKey(i)] = table.Row{Key: shard.recordKey(i), Value: page, Version: 1}
		}
		return rows
	}
	encodePages := func(record dispatch.RecoveryRecord) [][]byte {
		GinkgoHelper()
		pages, err := recordPages(1001, record)
		Expect(err).NotTo(HaveOccurred())
		for _, page := range pages {
			Expect(len(page)).To(BeNumerically("<=", maxListBytes))
		}
		return pages
	}
	expectNone := func(rows map[table.Key]table.Row, epoch dispatch.Epoch) {
		GinkgoHelper()
		_, found, err := shard.decodeRecord(rows, epoch)
		Expect(err).NotTo(HaveOccurred())
		Expect(found).To(BeFalse())
	}

	DescribeTable("return the record to the next owner", func(record dispatch.RecoveryRecord) {
		decoded, found, err := shard.decodeRecord(rowsOf(encodePages(record)), 2001)
		Expect(err).NotTo(HaveOccurred())
		Expect(found).To(BeTrue())
		Expect(decoded).To(Equal(record))
	},
		Entry("without runs", dispatch.RecoveryRecord{}),
		Entry("with a few runs", recordOf(3, 2)),
		Entry("with 10,000 runs", recordOf(1000, 10)),
	)

	It("are none for a later owner, or for one of an earlier build", func() {
		rows := rowsOf(encodePages(recordOf(3, 2)))
		expectNone(rows, 3001)
		expectNone(rows, 1001)
		expectNone(rows, 2002)
	})

	It("are ignored if one is missing or belongs to another record", func() {
		pages := encodePages(recordOf(1000, 10))
		Expect(len(pages)).To(BeNumerically(">", 1))
		expectNone(rowsOf(pages[:len(pages)-1]), 2001)
		other, err := recordPages(1, recordOf(1000, 10))
		Expect(err).NotTo(HaveOccurred())
		pages[1] = other[1]
		expectNone(rowsOf(pages), 2001)
	})

	It("are ignored if they can't be decoded", func() {
		_, found, err := shard.decodeRecord(rowsOf([][]byte{[]byte("{}")}), 2001)
		Expect(err).To(HaveOccurred())
		Expect(found).To(BeFalse())
	})

	It("aren't written if there would be too many", func() {
		_, err := recordPages(1001, recordOf(20000, 10))
		Expect(err).To(HaveOccurred())
	})
})

var _ = Describe("A shard that gets a new owner", func() {
	const run = dispatch.Run(1)
	task := dispatch.TaskID{Job: "0123456789abcdef"}
	idle := dispatch.TaskID{Job: "fedcba9876543210"}

	var store *faultyStore
	var counters *counter.Set
	var workers []dispatch.WorkerInfo
	BeforeEach(func() {
		store = &faultyStore{memoryStore: memoryStore{rows: map[table.Key]table.Row{}}}
		counters = &counter.Set{}
		workers = nil
		for _, id := range []membership.InstanceID{"w0", "w1"} {
			capacity := resource.Vector{Processors: 4000, Memory: 1 << 30}
			workers = append(workers, dispatch.WorkerInfo{ID: id, Address: string(id), Service: "pool", Capacity: capacity})
		}
	})

	// claim makes an owner of the epoch claim the shard and load what is stored.
	claim := func(epoch dispatch.Epoch) *owner {
		GinkgoHelper()
		n := New(Options{
			Name: "a", Clock: clockwork.NewRealClock(), Store: store, Counters: counters,
			LeaseTerm: 4 * time.Second, MaxLease: 10 * time.Second,
		})
		s := newShard(n, 0, 1)
		row := ownerRow{Node: "a", Epoch: epoch, Sequence: 1}
		version, err := store.Commit(context.Background(), table.Transaction{Writes: []table.Write{{Key: s.partition.ownerKey(), Value: encode(row)}}})
		Expect(err).NotTo(HaveOccurred())
		o := newOwner(s, row, version, func() {})
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		DeferCleanup(cancel)
		o.start(ctx)
		_, err = o.recoverJobs(ctx)
		Expect(err).NotTo(HaveOccurred())
		o.engine.SetWorkers(o.now(), workers)
		return o
	}
	report := func(o *owner, id membership.InstanceID, running ...dispatch.RunningTask) {
		o.engine.Poll(o.now(), id)
		o.engine.Observe(o.now(), id, dispatch.Report{Incarnation: 1, Clock: time.Minute, Running: running})
	}
	// started returns the tasks that the owner starts within a moment, in which only w0 answers.
	started := func(o *owner) []dispatch.TaskID {
		var ids []dispatch.TaskID
		for range 8 {
			report(o, "w0")
			o.engine.PollFailed(o.now(), "w1")
			o.engine.Tick(o.now())
			for _, c := range o.engine.TakeCommands() {
				ids = append(ids, c.Task)
			}
			time.Sleep(30 * time.Millisecond)
		}
		return ids
	}
	// storeJobs stores two accepted jobs of one task each.
	storeJobs := func() {
		GinkgoHelper()
		var writes []table.Write
		for _, id := range []dispatch.JobID{task.Job, idle.Job} {
			job := dispatch.Job{ID: id, Queue: "q", Settings: dispatch.Queue{Service: "pool"}, Accepted: time.Now(), Steps: []dispatch.Step{
				{Tasks: 1, Resources: resource.Vector{Processors: 1000, Memory: 1 << 20}, Estimate: time.Minute},
			}}
			writes = append(writes, table.Write{Key: partition("s0").jobKey(id), Value: encode(jobRow{Job: &job})})
		}
		_, err := store.Commit(context.Background(), table.Transaction{Writes: writes})
		Expect(err).NotTo(HaveOccurred())
	}
	// own makes the first owner claim the shard and see the first job's task running on w1. The other job isn't
	// known to it.
	own := func() *owner {
		GinkgoHelper()
		storeJobs()
		o := claim(1)
		report(o, "w0")
		report(o, "w1", dispatch.RunningTask{TaskRun: dispatch.TaskRun{Task: task, Run: run}})
		return o
	}
	// release makes an owner store the release, as often as it takes.
	release := func(o *owner) {
		GinkgoHelper()
		o.releaseRequested.Store(true)
		for range 3 {
			Expect(o.writeBatch(o.ctx)).To(Succeed())
			if o.released.Load() {
				return
			}
		}
		Fail("the shard wasn't released")
	}

	It("delays only the task of a recorded run after a release", func() {
		release(own())
		Expect(started(claim(1001))).To(ConsistOf(idle))
		Expect(counters.Value("Recovery.FromRecord")).To(Equal(int64(1)))
	})

	It("delays only the task of a recorded run after a release whose answer was lost", func() {
		o := own()
		store.loseAnswer = true
		release(o)
		Expect(started(claim(1001))).To(ConsistOf(idle))
	})

	It("delays all tasks if the owner was killed before the release", func() {
		own()
		Expect(started(claim(1001))).To(BeEmpty())
	})

	It("delays all tasks if an owner in between made no record", func() {
		release(own())
		claim(1001)
		Expect(started(claim(2001))).To(BeEmpty())
	})

	It("delays all tasks if an owner in between was of an earlier build", func() {
		release(own())
		claim(2)
		Expect(started(claim(1002))).To(BeEmpty())
	})

	It("is released without a record if the store rejects that", func() {
		o := own()
		store.recordError = table.ErrInvalid
		release(o)
		Expect(store.recordWrites).To(Equal(1))
		Expect(started(claim(1001))).To(BeEmpty())
	})

	It("keeps its owner if the release wasn't stored", func() {
		o := own()
		store.recordError = table.ErrUnavailable
		o.releaseRequested.Store(true)
		Expect(o.writeBatch(o.ctx)).To(Succeed())
		Expect(o.released.Load()).To(BeFalse())
		p, _ := o.engine.Poll(o.now(), "w0")
		Expect(p.Lease).NotTo(BeZero())
		store.recordError = nil
		release(o)
		Expect(started(claim(1001))).To(ConsistOf(idle))
	})

	It("leaves no rows of a longer record", func() {
		o := own()
		store.rows[o.shard.partition.recordKey(1)] = table.Row{Key: o.shard.partition.recordKey(1), Value: []byte("x"), Version: 1}
		o.recordRows = 2
		release(o)
		Expect(store.rows).To(HaveKey(o.shard.partition.recordKey(0)))
		Expect(store.rows).NotTo(HaveKey(o.shard.partition.recordKey(1)))
	})
})
