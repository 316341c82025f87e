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

// expiringPermit permits starts when the engine decides, but has expired when they are
// sent.
type expiringPermit struct {
	denyStarts
}

func (expiringPermit) StartsUntil(time.Time) (time.Time, bool) { return time.Time{}, true }

// countingFleet counts the lease renewals and task starts that are sent to a fleet.
type countingFleet struct {
	*fleet
	renewals atomic.Int64
	starts   atomic.Int64
}

func (f *countingFleet) Sync(ctx context.Context, address string, request worker.SyncRequest) (worker.SyncResponse, error) {
	f.starts.Add(int64(len(request.Start)))
	if request.Basis != 0 {
		f.renewals.Add(1)
	}
	return f.fleet.Sync(ctx, address, request)
}

// withheldStartCounter counts the starts that were left out of syncs because the permit
// had expired.
type withheldStartCounter struct {
	count atomic.Int64
}

func (w *withheldStartCounter) Add(name string, delta int64) {
	if name == "Start.Withheld.NoPermit" {
		w.count.Add(delta)
	}
}

var _ = Describe("Shard without a start permit", func() {
	// Guards against a start that waits for a permit and thereby delays every lease
	// renewal and stop for its worker.
	It("continues to renew the leases of running tasks", func() {
		f := newFleet(GinkgoTB(), 1, 2)
		queued := job.Record{
			ID: "queued", Team: "rotas", Key: "queued", State: job.Queued,
			Spec: job.Spec{Class: fleetClass, Priority: job.Normal, Tasks: 1},
		}
		_, err := f.store.Commit(context.Background(), table.Transaction{
			ID: "queued", Writes: []table.Write{encodedWrite(GinkgoTB(), job.RecordRow(fleetShardID, queued.ID), queued)},
		})
		Expect(err).NotTo(HaveOccurred())
		countedWorkers, withheld := &countingFleet{fleet: f}, &withheldStartCounter{}
		s := New(&Shard{
			ID: fleetShardID, Epoch: 2, Ownership: denyStarts{}, Permit: expiringPermit{}, Destinations: denyStarts{},
			Membership: f, Configuration: f, Store: &f.store, Workers: countedWorkers, Counters: withheld, Recorder: denyStarts{},
			Clock: clockwork.NewRealClock(),
		})
		ctx, cancel := context.WithCancel(context.Background())
		var group errgroup.Group
		group.Go(func() error { return s.Run(ctx) })
		Eventually(countedWorkers.renewals.Load).WithTimeout(LeaseTerm).Should(BeNumerically(">=", 3))
		cancel()
		Expect(group.Wait()).To(Succeed())
		Expect(countedWorkers.starts.Load()).To(BeZero())
		Expect(withheld.count.Load()).To(BeNumerically(">", 0), "no start was withheld")
	})
})
