package shard

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/chart"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/placement"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/counter"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// authorizedOwner has authority over the shard.
type authorizedOwner struct{ Ownership }

func (authorizedOwner) AuthorityUntil(now time.Time) (time.Time, bool) {
	return now.Add(time.Minute), true
}

// openPermit permits task starts.
type openPermit struct{ Permit }

func (openPermit) StartsUntil(now time.Time) (time.Time, bool) { return now.Add(time.Minute), true }

var _ = Describe("Sync with a worker", func() {
	started := worker.TaskAttempt{Task: "job/1", Attempt: 1}
	stopped := worker.TaskAttempt{Task: "job/2", Attempt: 2}

	// Guards against a task that runs to its end on a leaving worker, or after its job was
	// cancelled, because the worker handled its stop before its start.
	It("omits both start and stop of a task that is stopped before it was sent", func(ctx SpecContext) {
		sent := make(chan worker.SyncRequest, 1)
		s := New(&Shard{
			Ownership: authorizedOwner{}, Permit: openPermit{}, Counters: &counter.Set{}, Clock: clockwork.NewRealClock(),
			Workers: syncRecorder(func(request worker.SyncRequest) { sent <- request }),
		})
		s.group = &errgroup.Group{}
		session := newWorkerSession(membership.Instance{ID: "worker-1"})
		session.basis, session.basisReceivedAt = 1, s.Clock.Now()
		for _, attempt := range []worker.TaskAttempt{started, stopped} {
			session.queueCommand(s, placement.Decision{Kind: placement.Start, TaskAttempt: attempt})
		}
		session.queueCommand(s, placement.Decision{Kind: placement.Evict, TaskAttempt: stopped, Mode: worker.StopCheckpoint})
		s.sendSync(ctx, s.Clock.Now(), "worker-1", session)
		request := <-sent
		Expect(request.Start).To(HaveLen(1))
		Expect(request.Start[0].TaskAttempt).To(Equal(started))
		Expect(request.Stop).To(BeEmpty())
		Expect(session.attempts).To(Equal(map[worker.TaskAttempt]chart.AttemptState{started: chart.AttemptInDoubt}))
		Expect(s.group.Wait()).To(Succeed())
	})
})

// syncRecorder records sync requests and returns no response.
type syncRecorder func(worker.SyncRequest)

func (f syncRecorder) Sync(_ context.Context, _ string, request worker.SyncRequest) (worker.SyncResponse, error) {
	f(request)
	return worker.SyncResponse{}, worker.ErrUnreachable
}
