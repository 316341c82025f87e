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

	It("resumes a task with the progress of its checkpoint", func() {
		f.startTasks(startCommand("a", 1, longTask))
		f.advance(30 * time.Second)
		f.sync(stopRequest("a", 1, protocol.StopCheckpoint))
		status := f.tasksAfterStoreCalls()[0]
		Expect(status.State).To(Equal(protocol.Stopped))
		resumed := startCommand("a", 2, longTask)
		resumed.Checkpoint = status.Checkpoint
		f.startTasks(resumed)
		f.tasksAfterStoreCalls()
		Expect(f.advance(10 * time.Second).Tasks[1].Progress).To(Equal(400))
		Expect(f.countEvents(worker.EventResume)).To(Equal(1))
	})

	It("saves the latest progress when a task is stopped during a periodic checkpoint", func() {
		f.store.putGate = make(chan struct{})
		f.startTasks(startCommand("a", 1, worker.Payload{Work: 100 * time.Second, CheckpointEvery: 5 * time.Second}))
		f.advance(5 * time.Second)
		f.clock.Advance(time.Second)
		f.sync(stopRequest("a", 1, protocol.StopCheckpoint))
		close(f.store.putGate)
		Expect(f.tasksAfterStoreCalls()[0].State).To(Equal(protocol.Stopped))
		Expect(f.store.savedWork("checkpoint/a")).To(Equal(6 * time.Second))
	})

	It("writes the checkpoints of all tasks that one sync request stops", func() {
		f.startTasks(startCommand("a", 1, longTask), startCommand("b", 1, longTask))
		f.advance(3 * time.Second)
		request := stopRequest("a", 1, protocol.StopCheckpoint)
		request.Stop = append(request.Stop, stopRequest("b", 1, protocol.StopCheckpoint).Stop...)
		f.sync(request)
		f.tasksAfterStoreCalls()
		for _, key := range []object.Key{"checkpoint/a", "checkpoint/b"} {
			Expect(f.store.savedWork(key)).To(Equal(3 * time.Second))
		}
	})

	expectStoppedWithoutCheckpoint := func(status protocol.TaskStatus) {
		GinkgoHelper()
		Expect(status.State).To(Equal(protocol.Stopped))
		Expect(status.Checkpoint).To(BeEmpty())
	}

	It("keeps a task running when checkpoints fail, and reports none when it is stopped", func() {
		f.store.unavailable = true
		f.startTasks(startCommand("a", 1, worker.Payload{Work: 100 * time.Second, CheckpointEvery: time.Second}))
		f.advance(5 * time.Second)
		Expect(f.tasksAfterStoreCalls()[0].State).To(Equal(protocol.Running))
		f.sync(stopRequest("a", 1, protocol.StopCheckpoint))
		expectStoppedWithoutCheckpoint(f.tasksAfterStoreCalls()[0])
	})

	It("stops a task after the stop time when its checkpoint write hangs", func() {
		f.store.putGate = make(chan struct{})
		f.startTasks(startCommand("a", 1, longTask))
		f.advance(5 * time.Second)
		f.sync(stopRequest("a", 1, protocol.StopCheckpoint))
		f.clock.Advance(worker.DefaultStopTime)
		expectStoppedWithoutCheckpoint(f.sync(protocol.SyncRequest{}).Tasks[0])
	})

	It("starts a task from the beginning when its checkpoint doesn't exist", func() {
		missing := startCommand("a", 1, longTask)
		missing.Checkpoint = "checkpoint/none"
		f.startTasks(missing)
		status := f.tasksAfterStoreCalls()[0]
		Expect(status.State).To(Equal(protocol.Running))
		Expect(status.Progress).To(BeZero())
	})

	It("fails a task whose payload object doesn't exist", func() {
		missing := startCommand("a", 1, longTask)
		missing.PayloadKey = "payload/none"
		f.startTasks(missing)
		Expect(f.tasksAfterStoreCalls()[0].Reason).To(Equal(worker.ReasonPayloadNotFound))
	})

	It("returns a task to the owner as stopped when its checkpoint can't be read", func() {
		command := startCommand("a", 1, longTask)
		command.Checkpoint = "checkpoint/none"
		f.worker.ObjectStore = nil
		command.TaskAttempt = taskAttempt("b", 1)
		f.startTasks(command)
		status := f.tasksAfterStoreCalls()[0]
		Expect(status.State).To(Equal(protocol.Stopped))
		Expect(status.Checkpoint).To(Equal(command.Checkpoint))
	})
})
