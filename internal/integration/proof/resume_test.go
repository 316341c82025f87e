package proof

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	protocol "github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
	"github.com/jacinthtrail/jacinthtrail/internal/caller/job"
	"github.com/jacinthtrail/jacinthtrail/internal/standin/platform"
	"github.com/jacinthtrail/jacinthtrail/internal/standin/proxy"
	"github.com/jacinthtrail/jacinthtrail/internal/standin/worker"
)

// evictionTimeout is the time within which an urgent job evicts running tasks: the documented
// 2.2 s until urgent work starts, the stop time and a failed sync.
const evictionTimeout = 10 * time.Second

// taskHistory summarizes the journal entries of a task.
type taskHistory struct {
	starts, stops, finishes int
	// checkpointed is the highest progress that an event of a checkpoint reported.
	checkpointed time.Duration
	// awaitsResume reports that the task started again after a checkpoint and has not yet
	// resumed from it.
	awaitsResume bool
}

// expectResumedOnce checks that each stopped task started again once, resumed from its last
// checkpoint and finished once.
func (d *deployment) expectResumedOnce(tasks int) {
	GinkgoHelper()
	d.expectNoOverlappingRuns()
	histories := map[protocol.TaskID]*taskHistory{}
	for _, e := range d.workerEventsInOrder() {
		h := histories[e.Task]
		if h == nil {
			h = &taskHistory{}
			histories[e.Task] = h
		}
		h.addEvent(e)
	}
	delete(histories, "")
	Expect(histories).To(HaveLen(tasks))
	for task, h := range histories {
		Expect(h.finishes).To(Equal(1), "task %s finished %d times", task, h.finishes)
		Expect(h.starts).To(Equal(h.stops+1), "task %s: %+v", task, *h)
	}
}

func (h *taskHistory) addEvent(e worker.Event) {
	GinkgoHelper()
	switch e.Kind {
	case worker.EventStart:
		h.starts++
		h.awaitsResume = h.checkpointed > 0
	case worker.EventStop:
		h.stops++
	case worker.EventFinish:
		h.finishes++
		Expect(h.awaitsResume).To(BeFalse(), "did not resume from its checkpoint: %+v", e)
	case worker.EventCheckpoint:
		h.checkpointed = max(h.checkpointed, e.Progress)
	case worker.EventResume:
		h.awaitsResume = false
		Expect(e.Progress).To(BeNumerically(">=", h.checkpointed-checkpointProgressSlack), "%+v", e)
	}
}

// checkpointProgressSlack is the progress that a task can make while its checkpoint is written:
// the event reports the progress after the write, the checkpoint contains the progress before
// it.
const checkpointProgressSlack = time.Second

// workerEventsInOrder returns the journal entries of all workers ordered by time.
func (d *deployment) workerEventsInOrder() []worker.Event {
	GinkgoHelper()
	var events []worker.Event
	for _, w := range d.workers {
		events = append(events, w.events()...)
	}
	slices.SortStableFunc(events, func(a, b worker.Event) int { return a.Time.Compare(b.Time) })
	return events
}

// evictWithUrgentJob fills two workers with long tasks and then submits an urgent job that
// evicts some of them. It returns once a long task was stopped.
func (d *deployment) evictWithUrgentJob(entry *entryProcess, beforeUrgentJob func()) {
	GinkgoHelper()
	entry.submitWithRetry("long", evictedTasks, longTask)
	d.expectTotalStarts(evictedTasks)
	d.expectEvents(worker.EventCheckpoint, evictedTasks, taskStartTimeout)
	beforeUrgentJob()
	spec := job.Spec{Class: "build", Priority: job.Urgent, Tasks: urgentTasks}
	entry.submitSpecWithRetry("urgent", spec, worker.Payload{Work: 2 * time.Second, Result: "built"})
	d.expectEvents(worker.EventStop, 1, evictionTimeout)
}

const (
	evictedTasks = 2 * tasksPerWorker
	urgentTasks  = 3
)

// expectEvents waits until the journals of all workers together have at least count entries of a
// kind.
func (d *deployment) expectEvents(kind worker.EventKind, count int, timeout time.Duration) {
	GinkgoHelper()
	Eventually(func() int {
		return countEvents(d.workerEventsInOrder(), kind)
	}).WithTimeout(timeout).Should(BeNumerically(">=", count), "events %s", kind)
}

// expectEvictedTasksFinish waits until both jobs of evictWithUrgentJob have succeeded and checks
// the journals.
func (d *deployment) expectEvictedTasksFinish(entry *entryProcess) {
	GinkgoHelper()
	entry.expectSucceeded("urgent", urgentTasks, jobFinishTimeout)
	entry.expectSucceeded("long", evictedTasks, jobFinishTimeout)
	d.expectResumedOnce(evictedTasks + urgentTasks)
}

var _ = Describe("An evicted task", Label("resume-once"), func() {
	// Guards against a successor that loses an evicted task or starts it twice.
	It("resumes exactly once when the owner is killed between the checkpoint and the restart", func() {
		d := startReadyZone(2, 2)
		owner := d.expectOwner(zoneA, time.Second)
		other := d.otherEntry(owner)
		d.evictWithUrgentJob(owner, func() {})
		d.killEntry(owner)
		d.expectEvictedTasksFinish(other)
	})

	// Guards against a task that starts from the beginning because its checkpoint can't be read,
	// and against a task that is never started again.
	It("resumes exactly once after an outage of the checkpoint store", func() {
		d := startReadyZone(1, 2)
		d.evictWithUrgentJob(d.entry("entry-1"), func() {
			d.setFaults(platform.Faults{Object: platform.ServiceFaults{Outage: true}})
		})
		d.expectEvents(worker.EventStop, urgentTasks, evictionTimeout)
		d.setFaults(platform.Faults{})
		d.expectEvictedTasksFinish(d.entry("entry-1"))
	})

	// Guards against counting an eviction twice when the worker reports it again because the
	// response to its first report was lost.
	It("resumes exactly once when the reports of its eviction are lost and repeated", func() {
		d := startReadyZone(1, 2)
		d.evictWithUrgentJob(d.entry("entry-1"), func() {
			for _, w := range d.workers {
				w.setFaults(proxy.Faults{ToClient: proxy.Flow{Silence: true}})
			}
		})
		for _, w := range d.workers {
			w.proxy.Cut()
			w.setFaults(proxy.Faults{})
		}
		d.expectEvictedTasksFinish(d.entry("entry-1"))
	})
})
