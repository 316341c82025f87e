package placement

import (
	"fmt"
	"math"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/manifest"
)

func runningTask(task string, attempt int, workerIndex int) RunningTask {
	return RunningTask{
		TaskAttempt: worker.TaskAttempt{Task: worker.TaskID(task), Attempt: worker.Attempt(attempt)},
		Worker:      workerID(workerIndex), Class: "build", Resources: coresAndMemory(1),
	}
}

var _ = Describe("Placement in a shard", func() {
	It("starts nothing without a start permit", func() {
		f := newFixture(1, 4)
		f.SetStartPermit(f.now, StartPermit{})
		f.addJobs(1, 2)
		Expect(f.step(time.Second)).To(BeEmpty())
		explanation, _ := f.ExplainJob(f.now, "good0")
		Expect(explanation.Waiting).To(Equal(WaitingForPermit))
	})

	It("limits starts per second to the ramp of the start permit", func() {
		f := newFixture(8, 16)
		f.SetStartPermit(f.now, StartPermit{Allowed: true, MaxStartsPerSecond: 10})
		f.addJobs(1, 100)
		started := 0
		for range 30 {
			started += len(ofKind(f.step(100*time.Millisecond), Start))
		}
		Expect(started).To(BeNumerically("~", 30, 2))
	})

	It("evicts all tasks in deadline order and lists their jobs as movable during an evacuation", func() {
		f := newFixture(4, 4)
		for i, hours := range []int{9, 0, 2, 5} {
			job := testJob(fmt.Sprintf("j%d", i), 1, 4)
			if hours > 0 {
				job.Deadline = testStart.Add(time.Duration(hours) * time.Hour)
			}
			Expect(f.AddJob(f.now, job)).To(Succeed())
		}
		f.step(time.Second)
		f.SetEvacuating(f.now, true)
		stops := f.step(time.Second)
		Expect(jobsOf(stops)).To(Equal([]worker.JobID{"j2", "j3", "j0", "j1"}))
		Expect(f.MovableJobs(9)).To(BeEmpty())
		f.confirmStops(stops)
		Expect(f.MovableJobs(2)).To(Equal([]worker.JobID{"j2", "j3"}))
		f.CancelJob(f.now, "j2")
		Expect(f.MovableJobs(9)).To(Equal([]worker.JobID{"j3", "j0", "j1"}))
		f.SetEvacuating(f.now, false)
		Expect(ofKind(f.step(time.Second), Start)).To(HaveLen(3))
	})

	It("moves the usage of a team to its new parent and scales quotas by the quota share", func() {
		f := newFixture(4, 8)
		f.addJobs(1, 6)
		f.step(time.Second)
		published := testManifest()
		published.Manifest.Teams = append(published.Manifest.Teams, manifest.Team{Name: "other", Quota: coresAndMemory(7), UrgentQuota: coresAndMemory(7)})
		published.Manifest.Teams[1].Parent = "other"
		f.ApplyManifest(f.now, published)
		Expect(f.teams["all"].used).To(BeZero())
		Expect(f.teams["other"].used).To(Equal(coresAndMemory(6)))
		f.SetQuotaShare(500)
		Expect(f.teams["small"].quota).To(Equal(coresAndMemory(2)))
		Expect(f.AddJob(f.now, testJob("late", 1, 1))).To(Succeed())
		Expect(f.step(time.Second)).To(BeEmpty(), "the quota of the new parent is used up")
	})

	It("takes over running tasks and gives new attempts higher numbers", func() {
		f := newFixture(2, 4)
		Expect(f.RestoreJob(f.now, testJob("j", 3, 1))).To(Succeed())
		f.RestoreTask(f.now, runningTask("j/1", 2<<32+5, 0))
		starts := f.step(time.Second)
		Expect(starts).To(HaveLen(2))
		Expect(starts).To(HaveEach(HaveField("Attempt", BeNumerically(">", 2<<32+5))))
		Expect(starts).NotTo(ContainElement(HaveField("Task", worker.TaskID("j/1"))))
	})

	It("evicts tasks that are restored on a leaving worker", func() {
		f := newFixture(1, 4)
		leaving := testWorker(0, 4)
		leaving.State = WorkerLeaving
		f.SetWorker(f.now, leaving)
		f.step(time.Second)
		Expect(f.RestoreJob(f.now, testJob("j", 1, 1))).To(Succeed())
		f.RestoreTask(f.now, runningTask("j/0", 5, 0))
		Expect(f.step(time.Second)).To(ConsistOf(HaveField("Reason", ReasonWorkerLeaves)))
	})

	It("restarts a gang of which a takeover found only some members running", func() {
		f := newFixture(2, 4)
		gang := testJob("gang", 2, 3)
		gang.Gang = true
		Expect(f.RestoreJob(f.now, gang)).To(Succeed())
		f.RestoreTask(f.now, runningTask("gang/0", 5, 0))
		Expect(f.step(time.Second)).To(BeEmpty())
		f.confirmStops(f.step(partialGangTimeout))
		f.end(Decision{TaskAttempt: runningTask("gang/0", 5, 0).TaskAttempt, Worker: workerID(0)}, Evicted)
		f.step(gangRetryDelay)
		Expect(f.Summary().Running).To(Equal(2))
	})

	It("never assigns an attempt number twice", func() {
		f := newFixture(1, 4)
		f.addJobs(1, 2)
		f.SetEpoch(2)
		f.attemptSequence = math.MaxUint32 - 1
		Expect(f.step(time.Second)).To(ConsistOf(HaveField("Attempt", worker.Attempt(4<<32-1))))
		f.SetEpoch(4)
		Expect(f.step(time.Second)).To(ConsistOf(HaveField("Attempt", worker.Attempt(4<<32+1))))
	})

	It("kills the lower-numbered of two attempts of a task and tasks of unknown jobs", func() {
		f := newFixture(2, 4)
		Expect(f.RestoreJob(f.now, testJob("j", 1, 1))).To(Succeed())
		f.RestoreTask(f.now, runningTask("j/0", 5, 0))
		f.RestoreTask(f.now, runningTask("j/0", 6, 1))
		f.RestoreTask(f.now, runningTask("gone/0", 9, 1))
		stops := f.step(time.Second)
		Expect(stops).To(ConsistOf(
			And(HaveField("Kind", Stop), HaveField("Reason", ReasonSuperseded), HaveField("Attempt", worker.Attempt(5))),
			And(HaveField("Kind", Stop), HaveField("Reason", ReasonUnknownJob), HaveField("Attempt", worker.Attempt(9))),
		))
	})

	It("restarts the tasks of a removed worker elsewhere, but not those of an unreachable one", func() {
		f := newFixture(2, 4)
		f.addJobs(1, 1)
		first := f.step(time.Second)[0]
		lost := testWorker(int(first.Worker[1]-'0'), 4)
		lost.State = WorkerUnreachable
		f.SetWorker(f.now, lost)
		Expect(f.step(time.Minute)).To(BeEmpty())
		f.RemoveWorker(f.now, lost.ID)
		Expect(f.step(time.Second)).To(ConsistOf(And(HaveField("Kind", Start), HaveField("Task", first.Task), HaveField("Worker", Not(Equal(lost.ID))))))
	})

	It("evicts the tasks of a leaving worker", func() {
		f := newFixture(1, 4)
		f.addJobs(1, 2)
		f.step(time.Second)
		leaving := testWorker(0, 4)
		leaving.State = WorkerLeaving
		f.SetWorker(f.now, leaving)
		Expect(f.step(time.Second)).To(HaveEach(And(HaveField("Kind", Evict), HaveField("Reason", ReasonWorkerLeaves))))
	})

	It("starts only due jobs when a service is near its target, and does not throttle them", func() {
		f := newFixture(1, 16)
		w := testWorker(0, 16)
		w.Services = []manifest.ServiceName{"chairdesk"}
		f.SetWorker(f.now, w)
		f.now = f.now.Add(time.Second)
		f.RecordUsageSample(f.now, w.ID, sampleWithP99(Decision{}, 50*time.Millisecond))
		later, due := testJob("later", 1, 1), testJob("due", 1, 1)
		due.Deadline = testStart.Add(5 * time.Minute)
		Expect(f.AddJob(f.now, later)).To(Succeed())
		Expect(f.AddJob(f.now, due)).To(Succeed())
		started := f.step(time.Second)
		Expect(jobsOf(started)).To(Equal([]worker.JobID{"due"}))
		for range 4 {
			f.now = f.now.Add(time.Second)
			f.RecordUsageSample(f.now, w.ID, sampleWithP99(started[0], 60*time.Millisecond))
			Expect(f.step(0)).To(BeEmpty())
		}
	})

	It("throttles, then evicts the task that slows a service, in one step per measurement lag", func() {
		f := newFixture(1, 16)
		w := testWorker(0, 16)
		w.Services = []manifest.ServiceName{"chairdesk"}
		f.SetWorker(f.now, w)
		Expect(f.AddJob(f.now, testJob("noisy", 1, 4))).To(Succeed())
		noisy := f.step(time.Second)[0]
		kinds := []DecisionKind{}
		for range 8 {
			f.now = f.now.Add(time.Second)
			f.RecordUsageSample(f.now, w.ID, sampleWithP99(noisy, 80*time.Millisecond))
			decisions := f.step(0)
			Expect(len(decisions)).To(BeNumerically("<=", 1))
			for _, d := range decisions {
				kinds = append(kinds, d.Kind)
			}
		}
		Expect(kinds).To(Equal([]DecisionKind{Throttle, Evict}))
	})
})

// sampleWithP99 returns a usage sample that covers one second and is two seconds old.
func sampleWithP99(d Decision, p99 time.Duration) worker.UsageSample {
	return worker.UsageSample{
		Age: 2 * time.Second, Period: time.Second,
		Executors: []worker.ExecutorUsage{{Executor: "x", Service: "chairdesk", Requests: 500, P99: p99}},
		Tasks:     []worker.TaskUsage{{TaskAttempt: d.TaskAttempt, Class: "build", Observed: coresAndMemory(4)}},
	}
}

func jobsOf(decisions []Decision) []worker.JobID {
	var ids []worker.JobID
	for _, d := range decisions {
		ids = append(ids, d.Job)
	}
	return ids
}
