package placement

import (
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// simulate runs the engine for the given number of seconds and returns all decisions.
// Attempts for which fails returns true fail at once, the others succeed after three
// seconds.
func (f *fixture) simulate(seconds int, fails func(Decision) bool) []Decision {
	var all []Decision
	for range seconds {
		for key, d := range f.live {
			if f.now.Sub(f.startedAt[key]) >= 3*time.Second {
				f.end(d, Succeeded)
			}
		}
		decisions := f.step(time.Second)
		all = append(all, decisions...)
		for _, d := range ofKind(decisions, Start) {
			if fails(d) {
				f.end(d, Failed)
			}
		}
	}
	return all
}

func (f *fixture) addJobs(count, tasks int) {
	for i := range count {
		Expect(f.AddJob(f.now, testJob(fmt.Sprintf("good%d", i), tasks, 1))).To(Succeed())
	}
}

var _ = Describe("Evidence", func() {
	faultyWorker := workerID(1)
	onFaultyWorker := func(d Decision) bool { return d.Worker == faultyWorker }

	It("quarantines a worker on which every task fails, without parking jobs", func() {
		f := newFixture(6, 4)
		f.addJobs(8, 40)
		all := f.simulate(60, onFaultyWorker)
		Expect(ofKind(all, Quarantine)).To(ConsistOf(HaveField("Worker", faultyWorker)))
		Expect(ofKind(all, Park)).To(BeEmpty())
	})

	It("readmits a quarantined worker after a successful probe", func() {
		f := newFixture(6, 4)
		f.addJobs(8, 200)
		f.simulate(30, onFaultyWorker)
		all := f.simulate(120, func(Decision) bool { return false })
		Expect(ofKind(all, Probe)).To(ConsistOf(HaveField("Worker", faultyWorker)))
		Expect(ofKind(all, Readmit)).To(ConsistOf(HaveField("Worker", faultyWorker)))
	})

	It("probes a quarantined worker only when a task fits beside the running ones", func() {
		f := newFixture(6, 4)
		f.addJobs(8, 200)
		f.simulate(30, onFaultyWorker)
		Expect(f.RestoreJob(f.now, testJob("long", 1, 4))).To(Succeed())
		full := runningTask("long/0", 1, 1)
		full.Resources = coresAndMemory(4)
		f.RestoreTask(f.now, full)
		Expect(ofKind(f.simulate(90, onFaultyWorker), Probe)).To(BeEmpty())
	})

	It("parks jobs that fail on several healthy workers, without quarantining workers", func() {
		f := newFixture(6, 4)
		f.addJobs(8, 40)
		for i := range 4 {
			Expect(f.AddJob(f.now, testJob(fmt.Sprintf("bad%d", i), 2, 1))).To(Succeed())
		}
		all := f.simulate(90, func(d Decision) bool { return isBadJob(d.Job) })
		Expect(ofKind(all, Park)).To(HaveLen(4))
		Expect(ofKind(all, Park)).To(HaveEach(HaveField("Job", WithTransform(isBadJob, BeTrue()))))
		Expect(f.quarantinedCount).To(BeZero())
		explanation, _ := f.ExplainJob(f.now, "bad0")
		Expect(explanation.State).To(Equal(StateParked))
		Expect(explanation.Failures).To(ContainElement(HaveField("Reason", "exit 1")))
	})

	It("distinguishes faulty workers from faulty jobs when both are present from the start", func() {
		f := newFixture(12, 4)
		for i := range 6 {
			Expect(f.AddJob(f.now, testJob(fmt.Sprintf("bad%d", i), 1, 1))).To(Succeed())
		}
		f.addJobs(8, 60)
		f.simulate(240, func(d Decision) bool { return isBadJob(d.Job) || onFaultyWorker(d) })
		for _, j := range f.jobs {
			Expect(j.parked).To(BeTrue(), "%s", j.ID)
			Expect(isBadJob(j.ID)).To(BeTrue())
		}
		Expect(f.jobs).To(HaveLen(6))
		Expect(f.quarantinedIDs()).To(ConsistOf(faultyWorker))
	})
})

func (f *fixture) quarantinedIDs() []membership.InstanceID {
	var ids []membership.InstanceID
	for _, n := range f.nodes {
		if n.health.quarantined() {
			ids = append(ids, n.ID)
		}
	}
	return ids
}

func isBadJob(id worker.JobID) bool {
	return strings.HasPrefix(string(id), "bad")
}
