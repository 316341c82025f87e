package shard

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
	"github.com/jacinthtrail/jacinthtrail/internal/caller/job"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/table"
)

// returningZone is a zone that is out of service until returned is set.
type returningZone struct {
	denyStarts
	returned atomic.Bool
}

func (z *returningZone) IsOutOfService() bool { return !z.returned.Load() }

func (z *returningZone) StartsUntil(now time.Time) (time.Time, bool) {
	return now.Add(time.Second), z.returned.Load()
}

func (z *returningZone) Destination(time.Time) (worker.ShardID, bool) {
	return worker.ShardID{Zone: "zone-b"}, true
}

// blockingStore delays the response to a commit that deletes rows until it is released.
type blockingStore struct {
	table.Store
	committed chan struct{}
	release   chan struct{}
}

func (s *blockingStore) Commit(ctx context.Context, tx table.Transaction) (table.Result, error) {
	result, err := s.Store.Commit(ctx, tx)
	for _, write := range tx.Writes {
		if write.Delete {
			s.committed <- struct{}{}
			<-s.release
			break
		}
	}
	return result, err
}

var _ = Describe("Shard that moves a job to another zone", func() {
	// Guards against task starts when the zone returns to service after the move has been
	// committed but before the response arrives: the other zone may already run the task.
	It("starts no task of the job once the move may be committed", func() {
		f := newFleet(GinkgoTB(), 1, 0)
		queued := job.Record{
			ID: "queued", Team: "rotas", Key: "queued", State: job.Queued,
			Spec: job.Spec{Class: fleetClass, Priority: job.Normal, Tasks: 4},
		}
		setup := table.Transaction{ID: "queued", Writes: []table.Write{
			encodedWrite(GinkgoTB(), job.RecordRow(fleetShardID, queued.ID), queued), {Key: "shard/zone-a/0"},
		}}
		result, err := f.store.Commit(context.Background(), setup)
		Expect(err).NotTo(HaveOccurred())
		z := &returningZone{}
		store := &blockingStore{Store: &f.store, committed: make(chan struct{}, 1), release: make(chan struct{})}
		countedWorkers := &countingFleet{fleet: f}
		s := New(&Shard{
			ID: fleetShardID, Epoch: 2, Ownership: versionedOwnership{version: result.Versions["shard/zone-a/0"]}, Permit: z,
			Destinations: z, Membership: f, Configuration: f, Store: store, Workers: countedWorkers,
			Counters: &withheldStartCounter{}, Recorder: denyStarts{}, Clock: clockwork.NewRealClock(),
		})
		ctx, cancel := context.WithCancel(context.Background())
		var group errgroup.Group
		group.Go(func() error { return s.Run(ctx) })
		Eventually(store.committed).WithTimeout(LeaseTerm).Should(Receive())
		z.returned.Store(true)
		Consistently(countedWorkers.starts.Load).WithTimeout(time.Second).Should(BeZero())
		close(store.release)
		cancel()
		Expect(group.Wait()).To(Succeed())
	})
})

var _ = Describe("Shard that has moved a job away", func() {
	// Guards against a lost cancellation when the job moves after the caller's request
	// looked up its shard but before the owner reads the inbox.
	It("forwards a cancellation to the job's new shard", func(ctx SpecContext) {
		f := newFleet(GinkgoTB(), 0, 0)
		destination := worker.ShardID{Zone: "zone-b"}
		jobs := job.Repository{Store: &f.store, Clock: clockwork.NewRealClock()}
		record := job.Record{ID: job.NewID("rotas", "week"), Team: "rotas", Key: "week", State: job.Queued}
		_, _, err := jobs.Submit(ctx, record, destination)
		Expect(err).NotTo(HaveOccurred())
		s := New(&Shard{ID: fleetShardID, Store: &f.store, Clock: clockwork.NewRealClock(), Counters: &withheldStartCounter{}})
		entry := job.InboxEntry{Kind: job.InboxCancel, Job: record.ID, Team: "rotas", Key: "week"}
		_, err = f.store.Commit(ctx, table.Transaction{ID: "cancel", Writes: []table.Write{
			encodedWrite(GinkgoTB(), job.InboxRow(fleetShardID, "cancel"), entry),
		}})
		Expect(err).NotTo(HaveOccurred())
		_, err = s.readInbox(ctx)
		Expect(err).NotTo(HaveOccurred())
		rows, err := f.store.Scan(ctx, job.InboxPrefix(destination), "", 10)
		Expect(err).NotTo(HaveOccurred())
		Expect(rows).To(HaveLen(2), "the submission and the cancellation")
	})
})

// versionedOwnership requires a given version of the ownership row for commits.
type versionedOwnership struct {
	denyStarts
	version table.Version
}

func (o versionedOwnership) ReadRow(context.Context, worker.ShardID, worker.Epoch) (table.Condition, bool, error) {
	return table.Condition{Key: "shard/zone-a/0", Version: o.version}, true, nil
}
