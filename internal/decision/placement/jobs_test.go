package placement

import (
	"errors"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
)

func expectRefusal(err error, reason RefusalReason) {
	GinkgoHelper()
	var refusal *RefusalError
	Expect(errors.As(err, &refusal)).To(BeTrue(), "%v", err)
	Expect(refusal.Reason).To(Equal(reason))
}

var _ = Describe("Jobs", func() {
	DescribeTable("refuses jobs with the reason", func(change func(*Job), reason RefusalReason) {
		f := newFixture(2, 8)
		job := testJob("j", 1, 1)
		change(&job)
		expectRefusal(f.AddJob(f.now, job), reason)
		Expect(f.Summary().QueuedJobs).To(BeZero())
	},
		Entry("job without tasks", func(j *Job) { j.Tasks = 0 }, RefusedInvalid),
		Entry("job of an unknown team", func(j *Job) { j.Team = "nobody" }, RefusedUnknownTeam),
		Entry("job whose tasks fit no worker", func(j *Job) { j.Resources = coresAndMemory(9) }, RefusedFitsNoWorker),
		Entry("gang that does not fit on all workers together", func(j *Job) { j.Gang, j.Tasks, j.Resources = true, 3, coresAndMemory(5) }, RefusedGangTooBig),
		Entry("job over the quota of its team", func(j *Job) { j.Team, j.Resources = "small", coresAndMemory(5) }, RefusedQuota),
		Entry("urgent job over the urgent quota of its team", func(j *Job) { j.Team, j.Priority, j.Resources = "small", Urgent, coresAndMemory(3) }, RefusedQuota),
	)

	It("never exceeds the quota of a team", func() {
		f := newFixture(4, 8)
		job := testJob("j", 9, 1)
		job.Team = "small"
		Expect(f.AddJob(f.now, job)).To(Succeed())
		Expect(f.step(time.Second)).To(HaveLen(4))
		explanation, _ := f.ExplainJob(f.now, "j")
		Expect(explanation.Waiting).To(Equal(WaitingForQuota))
	})

	It("starts an urgent job within 2.2 s by evicting normal tasks", func() {
		f := newFixture(2, 4)
		Expect(f.AddJob(f.now, testJob("normal", 20, 1))).To(Succeed())
		f.step(time.Second)
		urgent := testJob("urgent", 3, 2)
		urgent.Priority = Urgent
		Expect(f.AddJob(f.now, urgent)).To(Succeed())
		evictions := f.step(100 * time.Millisecond)
		Expect(ofKind(evictions, Evict)).To(HaveLen(6))
		f.now = f.now.Add(time.Second)
		f.confirmStops(evictions)
		starts := ofKind(f.step(100*time.Millisecond), Start)
		Expect(starts).To(HaveLen(3))
		Expect(starts).To(HaveEach(HaveField("Job", worker.JobID("urgent"))))
	})

	It("starts a large task within two minutes despite a queue of small tasks", func() {
		f := newFixture(3, 4)
		expectStartDespiteSmallTasks(f, testJob("large", 1, 4))
	})

	It("starts a gang within two minutes despite a queue of small tasks", func() {
		f := newFixture(3, 4)
		gang := testJob("gang", 4, 2)
		gang.Gang = true
		expectStartDespiteSmallTasks(f, gang)
	})

	It("restarts a whole gang from its checkpoints when a member is lost", func() {
		f := newFixture(3, 4)
		gang := testJob("gang", 3, 2)
		gang.Gang = true
		Expect(f.AddJob(f.now, gang)).To(Succeed())
		firstRun := f.step(time.Second)
		Expect(firstRun).To(HaveLen(3))
		f.end(firstRun[0], Lost)
		evictions := f.step(time.Second)
		Expect(ofKind(evictions, Evict)).To(HaveLen(2))
		Expect(ofKind(evictions, Start)).To(BeEmpty())
		f.confirmStops(evictions)
		secondRun := f.step(time.Second)
		Expect(secondRun).To(HaveLen(3))
		Expect(secondRun).To(HaveEach(HaveField("Checkpoint", Not(BeEmpty()))))
	})

	It("allocates the observed resources when a job uses more than it declares", func() {
		f := newFixture(1, 8)
		Expect(f.AddJob(f.now, testJob("j", 20, 1))).To(Succeed())
		for _, d := range f.step(time.Second) {
			f.RecordUsageSample(f.now, d.Worker, worker.UsageSample{Tasks: []worker.TaskUsage{{TaskAttempt: d.TaskAttempt, Class: "build", Observed: coresAndMemory(2)}}})
		}
		Expect(f.nodesByID[workerID(0)].free().Processors).To(BeNumerically("<", 0))
		f.confirmStops(f.step(time.Second))
		Expect(f.live).To(HaveLen(4), "tasks that fit at the observed size stay")
		Expect(f.demand(f.jobs["j"]).Processors).To(BeNumerically(">", 1900))
	})

	It("limits the stops per tick when many jobs are cancelled", func() {
		f := newFixture(400, 16)
		for i := range 10 {
			Expect(f.AddJob(f.now, testJob(fmt.Sprint(i), 600, 1))).To(Succeed())
		}
		for range 10 {
			f.step(100 * time.Millisecond)
		}
		Expect(f.live).To(HaveLen(6000))
		for i := range 10 {
			f.CancelJob(f.now, worker.JobID(fmt.Sprint(i)))
		}
		stopped := 0
		for range 6 {
			stops := f.step(100 * time.Millisecond)
			Expect(len(stops)).To(BeNumerically("<=", maxStopsPerTick))
			stopped += len(stops)
			f.confirmStops(stops)
		}
		Expect(stopped).To(Equal(6000))
		Expect(f.Summary()).To(And(HaveField("QueuedJobs", 0), HaveField("Running", 0), HaveField("QueuedTasks", 0)))
	})

	// Guards against a tick whose work grows with what one worker runs, which delays the
	// renewal of leases.
	It("limits the evictions per tick when workers with many tasks leave", func() {
		const workers, tasks = 4, 1000
		f := newFixture(workers, tasks)
		Expect(f.AddJob(f.now, testJob("j", workers*tasks, 1))).To(Succeed())
		for range 10 {
			f.step(100 * time.Millisecond)
		}
		Expect(f.live).To(HaveLen(workers * tasks))
		for i := range workers {
			leaving := testWorker(i, tasks)
			leaving.State = WorkerLeaving
			f.SetWorker(f.now, leaving)
		}
		evicted := 0
		for range 10 {
			stops := f.step(100 * time.Millisecond)
			Expect(len(stops)).To(BeNumerically("<=", maxStopsPerTick))
			evicted += len(stops)
		}
		Expect(evicted).To(Equal(workers * tasks))
	})

	It("explains why a job waits and what was decided about it", func() {
		f := newFixture(1, 4)
		Expect(f.AddJob(f.now, testJob("j", 2, 3))).To(Succeed())
		f.step(time.Second)
		explanation, ok := f.ExplainJob(f.now, "j")
		Expect(ok).To(BeTrue())
		Expect(explanation).To(And(HaveField("Waiting", WaitingForRoom), HaveField("Running", 1), HaveField("Pending", 1)))
		Expect(explanation.Decisions).To(ContainElement(And(HaveField("Kind", Start), HaveField("Manifest", BeNumerically("==", 7)))))
		explanation, ok = f.ExplainTask(f.now, "j/1")
		Expect(ok).To(BeTrue())
		Expect(explanation.State).To(Equal(StatePending))
	})
})

// expectStartDespiteSmallTasks fills the workers with small tasks that end one after
// the other and expects the job to start within two minutes.
func expectStartDespiteSmallTasks(f *fixture, job Job) {
	GinkgoHelper()
	Expect(f.AddJob(f.now, testJob("small", 5000, 1))).To(Succeed())
	f.step(time.Second)
	Expect(f.AddJob(f.now, job)).To(Succeed())
	for range 120 {
		for _, d := range ofKind(f.step(time.Second), Start) {
			if d.Job == job.ID {
				return
			}
		}
		oldest := Decision{}
		for key, d := range f.live {
			if oldest.Attempt == 0 || key.Attempt < oldest.Attempt {
				oldest = d
			}
		}
		f.end(oldest, Succeeded)
	}
	Fail(fmt.Sprintf("job %s did not start within two minutes", job.ID))
}
