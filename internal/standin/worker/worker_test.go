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

var long = worker.Payload{Work: 100 * time.Second}

var _ = Describe("Worker", func() {
	var f *fixture

	BeforeEach(func() {
		f = newFixture()
	})

	expectRefused := func(request protocol.SyncRequest, want error) {
		GinkgoHelper()
		request.LeaseTerm = leaseTerm
		request.Start = []protocol.StartTask{start("late", 1, long)}
		answer, err := f.worker.Sync(request)
		Expect(err).To(MatchError(want))
		Expect(answer.Tasks).To(BeEmpty())
		Expect(f.count(worker.EventStart)).To(BeZero())
	}

	Describe("fencing", func() {
		It("refuses a superseded epoch without disturbing the new owner", func() {
			f.epoch, f.basis = 2, 0
			f.sync(protocol.SyncRequest{})
			expectRefused(protocol.SyncRequest{Epoch: 1, Basis: f.basis}, protocol.ErrStaleEpoch)
			f.sync(protocol.SyncRequest{})
		})

		It("refuses a delayed duplicate of an accepted sync", func() {
			old := f.basis
			f.sync(protocol.SyncRequest{})
			expectRefused(protocol.SyncRequest{Epoch: 1, Basis: old}, protocol.ErrStaleBasis)
		})

		It("refuses a higher epoch that was not raised before", func() {
			expectRefused(protocol.SyncRequest{Epoch: 2, Basis: f.basis}, protocol.ErrStaleBasis)
		})

		It("refuses a basis as old as the lease term and accepts a younger one", func() {
			f.clock.Advance(leaseTerm - 1)
			f.sync(protocol.SyncRequest{})
			f.clock.Advance(leaseTerm)
			expectRefused(protocol.SyncRequest{Epoch: 1, Basis: f.basis}, protocol.ErrStaleBasis)
		})

		It("refuses commands without a basis", func() {
			_, err := f.worker.Sync(protocol.SyncRequest{Epoch: 1, Start: []protocol.StartTask{{}}})
			Expect(err).To(MatchError(protocol.ErrInvalid))
		})

		It("starts counting above earlier incarnations", func() {
			restarted := &worker.Worker{FirstCounter: 1000, Clock: f.clock}
			answer, err := restarted.Sync(protocol.SyncRequest{Epoch: 1})
			Expect(err).NotTo(HaveOccurred())
			Expect(answer.Counter).To(BeEquivalentTo(1000))
		})
	})

	Describe("lease", func() {
		BeforeEach(func() {
			f.start(start("a", 1, long))
		})

		It("ends LeaseTerm after the answer named by the basis was sent", func() {
			f.clock.Advance(2 * time.Second)
			f.sync(protocol.SyncRequest{})
			f.clock.Advance(leaseTerm - 2*time.Second - 1)
			f.worker.Advance()
			Expect(f.count(worker.EventLeaseExpiry)).To(BeZero())
			f.clock.Advance(1)
			f.worker.Advance()
			Expect(f.count(worker.EventLeaseExpiry)).To(Equal(1))
		})

		It("checkpoints and stops every task at its end", func() {
			f.clock.Advance(leaseTerm)
			f.worker.Advance()
			f.worker.Wait()
			Expect(f.store.saved("checkpoint/a")).To(Equal(leaseTerm))
			f.basis = 0
			status := f.settle()[0]
			Expect(status.State).To(Equal(protocol.Stopped))
			Expect(status.Reason).To(Equal(worker.ReasonLeaseExpired))
			Expect(status.Checkpoint).To(BeEquivalentTo("checkpoint/a"))
		})

		It("is not renewed by a sync without a basis", func() {
			f.clock.Advance(leaseTerm - 1)
			f.basis = 0
			f.sync(protocol.SyncRequest{})
			f.clock.Advance(1)
			f.worker.Advance()
			Expect(f.count(worker.EventLeaseExpiry)).To(Equal(1))
		})

		It("counts no progress and writes nothing if the worker was paused past its end", func() {
			f.clock.Advance(time.Hour)
			f.worker.Advance()
			f.worker.Wait()
			events := f.worker.Journal.Entries()
			last := events[len(events)-1]
			Expect(last.Kind).To(Equal(worker.EventStop))
			Expect(last.Progress).To(Equal(leaseTerm))
			Expect(last.Time.Sub(last.Until)).To(Equal(time.Hour - leaseTerm))
			Expect(f.store.puts).To(BeZero())
		})
	})

	Describe("starts", func() {
		It("treats a known attempt as done, a running other one and an old one as refused", func() {
			f.start(start("a", 2, long))
			Expect(f.start(start("a", 2, long)).Refusals).To(BeEmpty())
			Expect(f.start(start("a", 3, long)).Refusals[0].Reason).To(Equal(worker.ReasonOtherAttempt))
			f.sync(stop("a", 2, protocol.StopKill))
			f.sync(protocol.SyncRequest{Acknowledge: []protocol.TaskAttempt{attempt("a", 2)}})
			Expect(f.start(start("a", 2, long)).Refusals[0].Reason).To(Equal(worker.ReasonOldAttempt))
			Expect(f.start(start("a", 3, long)).Refusals).To(BeEmpty())
			Expect(f.count(worker.EventStart)).To(Equal(2))
		})

		It("carries out an overcommit and records it", func() {
			Expect(f.start(start("a", 1, long), start("b", 1, long), start("c", 1, long)).Refusals).To(BeEmpty())
			Expect(f.count(worker.EventOvercommit)).To(Equal(1))
		})

		It("frees the resources of a final task that is not acknowledged", func() {
			f.start(start("a", 1, worker.Payload{Work: time.Second}), start("b", 1, long))
			Expect(f.pass(time.Second).Tasks).To(HaveLen(2))
			f.start(start("c", 1, long))
			Expect(f.count(worker.EventOvercommit)).To(BeZero())
		})
	})

	Describe("tasks", func() {
		It("succeed with their result and stay until acknowledged", func() {
			f.start(start("a", 1, worker.Payload{Work: 3 * time.Second, Result: "rota"}))
			Expect(f.pass(2 * time.Second).Tasks[0].Progress).To(Equal(666))
			status := f.pass(time.Second).Tasks[0]
			Expect(status.State).To(Equal(protocol.Succeeded))
			Expect(status.Progress).To(Equal(1000))
			Expect(string(status.Result)).To(Equal("rota"))
			acknowledged := f.sync(protocol.SyncRequest{Acknowledge: []protocol.TaskAttempt{attempt("a", 1)}})
			Expect(acknowledged.Tasks).To(BeEmpty())
		})

		It("fail with their reason", func() {
			f.start(start("a", 1, worker.Payload{Work: time.Second, Fail: true, FailReason: "no input"}))
			status := f.pass(time.Second).Tasks[0]
			Expect(status.State).To(Equal(protocol.Failed))
			Expect(status.Reason).To(Equal("no input"))
		})

		It("slow down under a throttle and a slow worker", func() {
			f.start(start("a", 1, worker.Payload{Work: 100 * time.Second}))
			f.sync(protocol.SyncRequest{Throttle: []protocol.ThrottleTask{{TaskAttempt: attempt("a", 1), Share: 500}}})
			Expect(f.pass(20 * time.Second).Tasks[0].Progress).To(Equal(100))
			f.worker.SetFaults(worker.Faults{SlowFactor: 2})
			Expect(f.pass(20 * time.Second).Tasks[0].Progress).To(Equal(150))
		})

		It("all fail on a worker that fails everything", func() {
			f.worker.SetFaults(worker.Faults{FailEverything: true})
			f.start(start("a", 1, long))
			Expect(f.settle()[0].State).To(Equal(protocol.Failed))
		})
	})

	It("reports usage only after the lag, with the tasks that ran then", func() {
		f.start(start("a", 1, worker.Payload{Work: 10 * time.Second, Observed: resource.Vector{Processors: 1700}}))
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

	It("leaves syncs unanswered while it hangs and speaks the client's protocol", func(ctx SpecContext) {
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
