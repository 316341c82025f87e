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

// play runs the fixture for some seconds; fails tells which attempts fail, the
// others succeed after three seconds. It returns all decisions.
func (f *fixture) play(seconds int, fails func(Decision) bool) []Decision {
	var all []Decision
	for range seconds {
		for key, d := range f.live {
			if f.now.Sub(f.started[key]) >= 3*time.Second {
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
	bad := workerID(1)
	onBad := func(d Decision) bool { return d.Worker == bad }

	It("quarantines a worker that fails everything and parks no job", func() {
		f := newFixture(6, 4)
		f.addJobs(8, 40)
		all := f.play(60, onBad)
		Expect(ofKind(all, Quarantine)).To(ConsistOf(HaveField("Worker", bad)))
		Expect(ofKind(all, Park)).To(BeEmpty())
	})

	It("readmits a worker after a successful probe", func() {
		f := newFixture(6, 4)
		f.addJobs(8, 200)
		f.play(30, onBad)
		all := f.play(120, func(Decision) bool { return false })
		Expect(ofKind(all, Probe)).To(ConsistOf(HaveField("Worker", bad)))
		Expect(ofKind(all, Readmit)).To(ConsistOf(HaveField("Worker", bad)))
	})

	It("probes a worker only when a task fits beside what runs there", func() {
		f := newFixture(6, 4)
		f.addJobs(8, 200)
		f.play(30, onBad)
		Expect(f.RestoreJob(f.now, testJob("long", 1, 4))).To(Succeed())
		full := running("long/0", 1, 1)
		full.Resources = size(4)
		f.Restore(f.now, full)
		Expect(ofKind(f.play(90, onBad), Probe)).To(BeEmpty())
	})

	It("parks jobs that fail on several good workers and quarantines none", func() {
		f := newFixture(6, 4)
		f.addJobs(8, 40)
		for i := range 4 {
			Expect(f.AddJob(f.now, testJob(fmt.Sprintf("bad%d", i), 2, 1))).To(Succeed())
		}
		all := f.play(90, func(d Decision) bool { return isBad(d.Job) })
		Expect(ofKind(all, Park)).To(HaveLen(4))
		Expect(ofKind(all, Park)).To(HaveEach(HaveField("Job", WithTransform(isBad, BeTrue()))))
		Expect(f.quarantinedCount).To(BeZero())
		x, _ := f.ExplainJob(f.now, "bad0")
		Expect(x.State).To(Equal(StateParked))
		Expect(x.Failures).To(ContainElement(HaveField("Reason", "exit 1")))
	})

	It("tells bad workers from bad jobs when both are there from the start", func() {
		f := newFixture(12, 4)
		for i := range 6 {
			Expect(f.AddJob(f.now, testJob(fmt.Sprintf("bad%d", i), 1, 1))).To(Succeed())
		}
		f.addJobs(8, 60)
		f.play(240, func(d Decision) bool { return isBad(d.Job) || onBad(d) })
		for _, j := range f.jobs {
			Expect(j.parked).To(BeTrue(), "%s", j.ID)
			Expect(isBad(j.ID)).To(BeTrue())
		}
		Expect(f.jobs).To(HaveLen(6))
		Expect(f.quarantinedIDs()).To(ConsistOf(bad))
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

func isBad(id worker.JobID) bool {
	return strings.HasPrefix(string(id), "bad")
}
