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
	DescribeTable("are refused with the reason", func(change func(*Job), reason RefusalReason) {
		f := newFixture(2, 8)
		job := testJob("j", 1, 1)
		change(&job)
		expectRefusal(f.AddJob(f.now, job), reason)
		Expect(f.Summary().QueuedJobs).To(BeZero())
	},
		Entry("without tasks", func(j *Job) { j.Tasks = 0 }, RefusedInvalid),
		Entry("of an unknown team", func(j *Job) { j.Team = "nobody" }, RefusedUnknownTeam),
		Entry("that fit no worker", func(j *Job) { j.Resources = size(9) }, RefusedFitsNowhere),
		Entry("whose gang fits no set of workers", func(j *Job) { j.Gang, j.Tasks, j.Resources = true, 3, size(5) }, RefusedGangTooBig),
		Entry("over the quota", func(j *Job) { j.Team, j.Resources = "small", size(5) }, RefusedQuota),
		Entry("over the urgent quota", func(j *Job) { j.Team, j.Priority, j.Resources = "small", Urgent, size(3) }, RefusedQuota),
	)

	It("never exceed the quota of their team", func() {
		f := newFixture(4, 8)
		job := testJob("j", 9, 1)
		job.Team = "small"
		Expect(f.AddJob(f.now, job)).To(Succeed())
		Expect(f.step(time.Second)).To(HaveLen(4))
		x, _ := f.ExplainJob(f.now, "j")
		Expect(x.Waiting).To(Equal(WaitingForQuota))
	})

	It("start within 2.2 s when urgent, in the place of normal work", func() {
		f := newFixture(2, 4)
		Expect(f.AddJob(f.now, testJob("normal", 20, 1))).To(Succeed())
		f.step(time.Second)
		urgent := testJob("urgent", 3, 2)
		urgent.Priority = Urgent
		Expect(f.AddJob(f.now, urgent)).To(Succeed())
		evictions := f.step(100 * time.Millisecond)
		Expect(ofKind(evictions, Evict)).To(HaveLen(6))
		f.now = f.now.Add(time.Second)
		f.obey(evictions)
		starts := ofKind(f.step(100*time.Millisecond), Start)
		Expect(starts).To(HaveLen(3))
		Expect(starts).To(HaveEach(HaveField("Job", worker.JobID("urgent"))))
	})

	It("start at last when large, though small ones take every gap", func() {
		f := newFixture(3, 4)
		expectStartAmongSmall(f, testJob("large", 1, 4))
	})

	It("start at last when a gang, though small ones take every gap", func() {
		f := newFixture(3, 4)
		gang := testJob("gang", 4, 2)
		gang.Gang = true
		expectStartAmongSmall(f, gang)
	})

	It("resume a whole gang from its checkpoints when a member ends", func() {
		f := newFixture(3, 4)
		gang := testJob("gang", 3, 2)
		gang.Gang = true
		Expect(f.AddJob(f.now, gang)).To(Succeed())
		first := f.step(time.Second)
		Expect(first).To(HaveLen(3))
		f.end(first[0], Lost)
		broken := f.step(time.Second)
		Expect(ofKind(broken, Evict)).To(HaveLen(2))
		Expect(ofKind(broken, Start)).To(BeEmpty())
		f.obey(broken)
		again := f.step(time.Second)
		Expect(again).To(HaveLen(3))
		Expect(again).To(HaveEach(HaveField("Checkpoint", Not(BeEmpty()))))
	})

	It("reserve what their class was seen to use", func() {
		f := newFixture(1, 8)
		Expect(f.AddJob(f.now, testJob("j", 20, 1))).To(Succeed())
		for _, d := range f.step(time.Second) {
			f.Report(f.now, d.Worker, worker.UsageSample{Tasks: []worker.TaskUsage{{TaskAttempt: d.TaskAttempt, Class: "build", Observed: size(2)}}})
		}
		Expect(f.nodesByID[workerID(0)].free().Processors).To(BeNumerically("<", 0))
		f.obey(f.step(time.Second))
		Expect(f.live).To(HaveLen(4), "those that fit at the observed size stay")
		Expect(f.demand(f.jobs["j"]).Processors).To(BeNumerically(">", 1900))
	})

	It("are cancelled with bounded work per tick", func() {
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
			f.obey(stops)
		}
		Expect(stopped).To(Equal(6000))
		Expect(f.Summary()).To(And(HaveField("QueuedJobs", 0), HaveField("Running", 0), HaveField("QueuedTasks", 0)))
	})

	It("tell why they wait and what was decided", func() {
		f := newFixture(1, 4)
		Expect(f.AddJob(f.now, testJob("j", 2, 3))).To(Succeed())
		f.step(time.Second)
		x, ok := f.ExplainJob(f.now, "j")
		Expect(ok).To(BeTrue())
		Expect(x).To(And(HaveField("Waiting", WaitingForRoom), HaveField("Running", 1), HaveField("Pending", 1)))
		Expect(x.Decisions).To(ContainElement(And(HaveField("Kind", Start), HaveField("Manifest", BeNumerically("==", 7)))))
		x, ok = f.ExplainTask(f.now, "j/1")
		Expect(ok).To(BeTrue())
		Expect(x.State).To(Equal(StatePending))
	})
})

// expectStartAmongSmall fills the workers with small tasks that end one after the
// other, and expects that the job starts within two minutes.
func expectStartAmongSmall(f *fixture, job Job) {
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
