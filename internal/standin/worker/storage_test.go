package worker_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	protocol "github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/object"
	"github.com/jacinthtrail/jacinthtrail/internal/standin/worker"
)

var _ = Describe("Checkpoints", func() {
	var f *fixture

	BeforeEach(func() {
		f = newFixture()
	})

	It("resume the work where it was left", func() {
		f.start(start("a", 1, long))
		f.pass(30 * time.Second)
		f.sync(stop("a", 1, protocol.StopCheckpoint))
		status := f.settle()[0]
		Expect(status.State).To(Equal(protocol.Stopped))
		again := start("a", 2, long)
		again.Checkpoint = status.Checkpoint
		f.start(again)
		f.settle()
		Expect(f.pass(10 * time.Second).Tasks[1].Progress).To(Equal(400))
		Expect(f.count(worker.EventResume)).To(Equal(1))
	})

	It("do not lose progress when a stop meets a periodic write", func() {
		f.store.gate = make(chan struct{})
		f.start(start("a", 1, worker.Payload{Work: 100 * time.Second, CheckpointEvery: 5 * time.Second}))
		f.pass(5 * time.Second)
		f.clock.Advance(time.Second)
		f.sync(stop("a", 1, protocol.StopCheckpoint))
		close(f.store.gate)
		Expect(f.settle()[0].State).To(Equal(protocol.Stopped))
		Expect(f.store.saved("checkpoint/a")).To(Equal(6 * time.Second))
	})

	It("of several tasks at once are all written", func() {
		f.start(start("a", 1, long), start("b", 1, long))
		f.pass(3 * time.Second)
		request := stop("a", 1, protocol.StopCheckpoint)
		request.Stop = append(request.Stop, stop("b", 1, protocol.StopCheckpoint).Stop...)
		f.sync(request)
		f.settle()
		for _, key := range []object.Key{"checkpoint/a", "checkpoint/b"} {
			Expect(f.store.saved(key)).To(Equal(3 * time.Second))
		}
	})

	expectStoppedWithout := func(status protocol.TaskStatus) {
		GinkgoHelper()
		Expect(status.State).To(Equal(protocol.Stopped))
		Expect(status.Checkpoint).To(BeEmpty())
	}

	It("that fail do not stop the task, and a stop then reports none", func() {
		f.store.down = true
		f.start(start("a", 1, worker.Payload{Work: 100 * time.Second, CheckpointEvery: time.Second}))
		f.pass(5 * time.Second)
		Expect(f.settle()[0].State).To(Equal(protocol.Running))
		f.sync(stop("a", 1, protocol.StopCheckpoint))
		expectStoppedWithout(f.settle()[0])
	})

	It("that hang hold up the stop for the stop time only", func() {
		f.store.gate = make(chan struct{})
		f.start(start("a", 1, long))
		f.pass(5 * time.Second)
		f.sync(stop("a", 1, protocol.StopCheckpoint))
		f.clock.Advance(worker.DefaultStopTime)
		expectStoppedWithout(f.sync(protocol.SyncRequest{}).Tasks[0])
	})

	It("that are missing start the task from the beginning", func() {
		missing := start("a", 1, long)
		missing.Checkpoint = "checkpoint/none"
		f.start(missing)
		status := f.settle()[0]
		Expect(status.State).To(Equal(protocol.Running))
		Expect(status.Progress).To(BeZero())
	})

	It("do not stand in for a missing payload", func() {
		missing := start("a", 1, long)
		missing.PayloadKey = "payload/none"
		f.start(missing)
		Expect(f.settle()[0].Reason).To(Equal(worker.ReasonNoObject))
	})

	It("that are unreachable hand the task back", func() {
		missing := start("a", 1, long)
		missing.Checkpoint = "checkpoint/none"
		f.worker.ObjectStore = nil
		missing.TaskAttempt = attempt("b", 1)
		f.start(missing)
		status := f.settle()[0]
		Expect(status.State).To(Equal(protocol.Stopped))
		Expect(status.Checkpoint).To(Equal(missing.Checkpoint))
	})
})
