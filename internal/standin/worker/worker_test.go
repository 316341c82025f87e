package worker_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
	protocol "github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
	"github.com/jacinthtrail/jacinthtrail/internal/standin/worker"
)

var longTask = worker.Payload{Work: 100 * time.Second}

var _ = Describe("Worker", func() {
	var f *fixture

	BeforeEach(func() {
		f = newFixture()
	})

	expectStartRejected := func(request protocol.SyncRequest, want error) {
		GinkgoHelper()
		request.LeaseTerm = leaseTerm
		request.Start = []protocol.StartTask{startCommand("late", 1, longTask)}
		answer, err := f.worker.Sync(request)
		Expect(err).To(MatchError(want))
		Expect(answer.Tasks).To(BeEmpty())
		Expect(f.countEvents(worker.EventStart)).To(BeZero())
	}

	Describe("fencing", func() {
		It("rejects a superseded epoch and keeps the new owner's basis valid", func() {
			f.epoch, f.basis = 2, 0
			f.sync(protocol.SyncRequest{})
			expectStartRejected(protocol.SyncRequest{Epoch: 1, Basis: f.basis}, protocol.ErrStaleEpoch)
			f.sync(protocol.SyncRequest{})
		})

		It("rejects a delayed duplicate of an accepted sync request", func() {
			old := f.basis
			f.sync(protocol.SyncRequest{})
			expectStartRejected(protocol.SyncRequest{Epoch: 1, Basis: old}, protocol.ErrStaleBasis)
		})

		It("rejects commands with a higher epoch that no request without a basis has set", func() {
			expectStartRejected(protocol.SyncRequest{Epoch: 2, Basis: f.basis}, protocol.ErrStaleBasis)
		})

		It("rejects a basis as old as the lease term and accepts a younger one", func() {
			f.clock.Advance(leaseTerm - 1)
			f.sync(protocol.SyncRequest{})
			f.clock.Advance(leaseTerm)
			expectStartRejected(protocol.SyncRequest{Epoch: 1, Basis: f.basis}, protocol.ErrStaleBasis)
		})

		It("rejects commands without a basis", func() {
			_, err := f.worker.Sync(protocol.SyncRequest{Epoch: 1, Start: []protocol.StartTask{{}}})
			Expect(err).To(MatchError(protocol.ErrInvalid))
		})

		It("numbers its first response with FirstCounter", func() {
			restarted := &worker.Worker{FirstCounter: 1000, Clock: f.clock}
			answer, err := restarted.Sync(protocol.SyncRequest{Epoch: 1})
			Expect(err).NotTo(HaveOccurred())
			Expect(answer.Counter).To(BeEquivalentTo(1000))
		})
	})

	Describe("lease", func() {
		BeforeEach(func() {
			f.startTasks(startCommand("a", 1, longTask))
		})

		It("expires LeaseTerm after the response that is the basis was sent", func() {
			f.clock.Advance(2 * time.Second)
			f.sync(protocol.SyncRequest{})
			f.clock.Advance(leaseTerm - 2*time.Second - 1)
			f.worker.Advance()
			Expect(f.countEvents(worker.EventLeaseExpiry)).To(BeZero())
			f.clock.Advance(1)
			f.worker.Advance()
			Expect(f.countEvents(worker.EventLeaseExpiry)).To(Equal(1))
		})

		It("checkpoints and stops every task when it expires", func() {
			f.clock.Advance(leaseTerm)
			f.worker.Advance()
			f.worker.WaitForStore()
			Expect(f.store.savedWork("checkpoint/a")).To(Equal(leaseTerm))
			f.basis = 0
			status := f.tasksAfterStoreCalls()[0]
			Expect(status.State).To(Equal(protocol.Stopped))
			Expect(status.Reason).To(Equal(worker.ReasonLeaseExpired))
			Expect(status.Checkpoint).To(BeEquivalentTo("checkpoint/a"))
		})

		It("isn't renewed by a sync request without a basis", func() {
			f.clock.Advance(leaseTerm - 1)
			f.basis = 0
			f.sync(protocol.SyncRequest{})
			f.clock.Advance(1)
			f.worker.Advance()
			Expect(f.countEvents(worker.EventLeaseExpiry)).To(Equal(1))
		})

		It("adds no progress and writes no checkpoint if the worker was paused past its end", func() {
			f.clock.Advance(time.Hour)
			f.worker.Advance()
			f.worker.WaitForStore()
			events := f.worker.Journal.Entries()
			last := events[len(events)-1]
			Expect(last.Kind).To(Equal(worker.EventStop))
			Expect(last.Progress).To(Equal(leaseTerm))
			Expect(last.Time.Sub(last.Until)).To(Equal(time.Hour - leaseTerm))
			Expect(f.store.putCalls).To(BeZero())
		})
	})

	Describe("starts", func() {
		It("accepts a repeated start and refuses a second running attempt or an old one", func() {
			f.startTasks(startCommand("a", 2, longTask))
			Expect(f.startTasks(startCommand("a", 2, longTask)).Refusals).To(BeEmpty())
			Expect(f.startTasks(startCommand("a", 3, longTask)).Refusals[0].Reason).To(Equal(worker.ReasonOtherAttempt))
			f.sync(stopRequest("a", 2, protocol.StopKill))
			f.sync(protocol.SyncRequest{Acknowledge: []protocol.TaskAttempt{taskAttempt("a", 2)}})
			Expect(f.startTasks(startCommand("a", 2, longTask)).Refusals[0].Reason).To(Equal(worker.ReasonOldAttempt))
			Expect(f.startTasks(startCommand("a", 3, longTask)).Refusals).To(BeEmpty())
			Expect(f.countEvents(worker.EventStart)).To(Equal(2))
		})

		It("starts tasks beyond the capacity and records the overcommit", func() {
			Expect(f.startTasks(startCommand("a", 1, longTask), startCommand("b", 1, longTask), startCommand("c", 1, longTask)).Refusals).To(BeEmpty())
			Expect(f.countEvents(worker.EventOvercommit)).To(Equal(1))
		})

		It("frees the resources of a finished task before it is acknowledged", func() {
			f.startTasks(startCommand("a", 1, worker.Payload{Work: time.Second}), startCommand("b", 1, longTask))
			Expect(f.advance(time.Second).Tasks).To(HaveLen(2))
			f.startTasks(startCommand("c", 1, longTask))
			Expect(f.countEvents(worker.EventOvercommit)).To(BeZero())
		})
	})

	Describe("tasks", func() {
		It("reports the result of a task that succeeded until it is acknowledged", func() {
			f.startTasks(startCommand("a", 1, worker.Payload{Work: 3 * time.Second, Result: "rota"}))
			Expect(f.advance(2 * time.Second).Tasks[0].Progress).To(Equal(666))
			status := f.advance(time.Second).Tasks[0]
			Expect(status.State).To(Equal(protocol.Succeeded))
			Expect(status.Progress).To(Equal(1000))
			Expect(string(status.Result)).To(Equal("rota"))
			acknowledged := f.sync(protocol.SyncRequest{Acknowledge: []protocol.TaskAttempt{taskAttempt("a", 1)}})
			Expect(acknowledged.Tasks).To(BeEmpty())
		})

		It("reports the reason of a task that failed", func() {
			f.startTasks(startCommand("a", 1, worker.Payload{Work: time.Second, Fail: true, FailReason: "no input"}))
			status := f.advance(time.Second).Tasks[0]
			Expect(status.State).To(Equal(protocol.Failed))
			Expect(status.Reason).To(Equal("no input"))
		})

		It("slows down throttled tasks and those of a slow worker", func() {
			f.startTasks(startCommand("a", 1, worker.Payload{Work: 100 * time.Second}))
			f.sync(protocol.SyncRequest{Throttle: []protocol.ThrottleTask{{TaskAttempt: taskAttempt("a", 1), Share: 500}}})
			Expect(f.advance(20 * time.Second).Tasks[0].Progress).To(Equal(100))
			f.worker.SetFaults(worker.Faults{SlowFactor: 2})
			Expect(f.advance(20 * time.Second).Tasks[0].Progress).To(Equal(150))
		})

		It("fails every task under the fault FailEverything", func() {
			f.worker.SetFaults(worker.Faults{FailEverything: true})
			f.startTasks(startCommand("a", 1, longTask))
			Expect(f.tasksAfterStoreCalls()[0].State).To(Equal(protocol.Failed))
		})
	})

	It("reports a usage sample after the usage lag, with the tasks that ran in its period", func() {
		f.startTasks(startCommand("a", 1, worker.Payload{Work: 10 * time.Second, Observed: resource.Vector{Processors: 1700}}))
		f.worker.ReportExecutor(protocol.ExecutorUsage{Executor: "e", P99: time.Second})
		f.clock.Advance(time.Second)
		Expect(f.sync(protocol.SyncRequest{}).Usage).To(BeEmpty())
		f.clock.Advance(2 * time.Second)
		usage := f.sync(protocol.SyncRequest{}).Usage
		Expect(usage).To(HaveLen(1))
		Expect(usage[0].Age).To(Equal(2 * time.Second))
		Expect(usage[0].Executors).To(HaveLen(1))
		Expect(usage[0].Tasks[0].Rate).To(BeNumerically("~", 100, 0.1))
		Expect(usage[0].Tasks[0].Observed.Processors).To(BeEquivalentTo(1700))
	})

	It("doesn't answer sync requests while it hangs and follows the client's protocol", func(ctx SpecContext) {
		server := httptest.NewServer(f.worker.Handler())
		DeferCleanup(server.Close)
		address := strings.TrimPrefix(server.URL, "http://")
		client := &protocol.Client{}
		f.worker.SetFaults(worker.Faults{Hang: true})
		bounded, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		defer cancel()
		_, err := client.Sync(bounded, address, protocol.SyncRequest{Epoch: 1})
		Expect(err).To(MatchError(protocol.ErrUnreachable))
		f.worker.SetFaults(worker.Faults{})
		_, err = client.Sync(ctx, address, protocol.SyncRequest{Epoch: 5})
		Expect(err).NotTo(HaveOccurred())
		_, err = client.Sync(ctx, address, protocol.SyncRequest{Epoch: 4})
		Expect(err).To(MatchError(protocol.ErrStaleEpoch))
		response, err := http.Get(server.URL + "/journal")
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		Expect(response).To(HaveHTTPBody(ContainSubstring(`"Reason":"StaleEpoch"`)))
	})
})
