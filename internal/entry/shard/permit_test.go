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

// endedPermit allows starts when the engine decides, but has ended when they leave.
type endedPermit struct {
	benchRights
}

func (endedPermit) StartsUntil(time.Time) (time.Time, bool) { return time.Time{}, true }

// renewals counts the syncs that renew a lease on their way to a fleet.
type renewals struct {
	*fleet
	count  atomic.Int64
	starts atomic.Int64
}

func (r *renewals) Sync(ctx context.Context, address string, request worker.SyncRequest) (worker.SyncResponse, error) {
	r.starts.Add(int64(len(request.Start)))
	if request.Basis != 0 {
		r.count.Add(1)
	}
	return r.fleet.Sync(ctx, address, request)
}

// withheld counts the starts that were left out of syncs.
type withheld struct {
	count atomic.Int64
}

func (w *withheld) Add(name string, delta int64) {
	if name == "Start.Withheld.NoPermit" {
		w.count.Add(delta)
	}
}

var _ = Describe("A shard whose permit ends", func() {
	// Guards against a start that waits for a permit and keeps back every renewal and
	// stop of its worker.
	It("goes on renewing the leases of running tasks", func() {
		f := newFleet(GinkgoTB(), 1, 2)
		queued := job.Record{
			ID: "queued", Team: "rotas", Key: "queued", State: job.Queued,
			Spec: job.Spec{Class: benchClass, Priority: job.Normal, Tasks: 1},
		}
		_, err := f.store.Commit(context.Background(), table.Transaction{
			ID: "queued", Writes: []table.Write{encoded(GinkgoTB(), job.RecordRow(fleetShard, queued.ID), queued)},
		})
		Expect(err).NotTo(HaveOccurred())
		counted, left := &renewals{fleet: f}, &withheld{}
		s := New(&Shard{
			ID: fleetShard, Epoch: 2, Ownership: benchRights{}, Permit: endedPermit{}, Destinations: benchRights{},
			Membership: f, Configuration: f, Store: &f.store, Workers: counted, Counters: left, Recorder: benchRights{},
			Clock: clockwork.NewRealClock(),
		})
		ctx, cancel := context.WithCancel(context.Background())
		var group errgroup.Group
		group.Go(func() error { return s.Run(ctx) })
		Eventually(counted.count.Load).WithTimeout(LeaseTerm).Should(BeNumerically(">=", 3))
		cancel()
		Expect(group.Wait()).To(Succeed())
		Expect(counted.starts.Load()).To(BeZero())
		Expect(left.count.Load()).To(BeNumerically(">", 0), "no start was under way")
	})
})
