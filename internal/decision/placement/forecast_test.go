package placement

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/mechanism"
)

// smallDuration is the mean estimate of the small tasks.
const smallDuration = 20 * time.Second

// smallFlow keeps the workers of a fixture full of small tasks.
type smallFlow struct {
	*fixture
	random *rand.Rand
	// wrongEstimates makes tasks take 0.1 to 1.9 times their estimate, and 3 % seven times as long.
	wrongEstimates bool
	estimates      map[worker.JobID]time.Duration
	durations      map[worker.TaskAttempt]time.Duration
	submitted      int
	// smallDone counts the small tasks that have ended.
	smallDone int
	// largeStartedAt is the start of the job "large", or zero.
	largeStartedAt time.Time
}

func newSmallFlow(disabled mechanism.Set) *smallFlow {
	f := &smallFlow{
		fixture: newFixture(10, 16), random: rand.New(rand.NewPCG(5, 5)), durations: map[worker.TaskAttempt]time.Duration{}, estimates: map[worker.JobID]time.Duration{},
	}
	f.SetDisabled(disabled)
	return f
}

// play lets small tasks come and go for a time.
func (f *smallFlow) play(total time.Duration) {
	for end := f.now.Add(total); f.now.Before(end); {
		for f.Summary().QueuedTasks < 20 {
			f.submitted++
			job := testJob(fmt.Sprintf("small-%d", f.submitted), 1, 1+f.random.IntN(3))
			job.Submitted = f.now
			job.ExpectedDuration = time.Duration((0.5 + f.random.Float64()) * float64(smallDuration))
			f.estimates[job.ID] = job.ExpectedDuration
			Expect(f.AddJob(f.now, job)).To(Succeed())
		}
		f.confirmStops(f.step(500 * time.Millisecond))
		f.endDue()
	}
}

func (f *smallFlow) endDue() {
	live := slices.SortedFunc(maps.Values(f.live), func(a, b Decision) int { return cmp.Compare(a.Attempt, b.Attempt) })
	for _, d := range live {
		id := d.TaskAttempt
		if d.Job == "large" && f.largeStartedAt.IsZero() {
			f.largeStartedAt = f.now
		}
		if _, known := f.durations[id]; !known {
			f.durations[id] = f.duration(f.estimates[d.Job])
		}
		if f.now.Sub(f.startedAt[id]) >= f.durations[id] {
			f.end(d, Succeeded)
			f.smallDone++
		}
	}
}

// duration returns how long a task really takes.
func (f *smallFlow) duration(estimate time.Duration) time.Duration {
	switch {
	case !f.wrongEstimates:
		return estimate
	case f.random.Float64() < 0.03:
		return 7 * estimate
	}
	return time.Duration((0.1 + 1.8*f.random.Float64()) * float64(estimate))
}

// largeWait submits a large job after a while and returns how long it waits, two minutes at most.
func (f *smallFlow) largeWait() time.Duration {
	GinkgoHelper()
	f.play(time.Minute)
	submitted := f.now
	large := testJob("large", 1, 14)
	large.Submitted, large.Class = f.now, "large"
	f.estimates[large.ID] = large.ExpectedDuration
	Expect(f.AddJob(f.now, large)).To(Succeed())
	f.play(2 * time.Minute)
	if f.largeStartedAt.IsZero() {
		return 2 * time.Minute
	}
	return f.largeStartedAt.Sub(submitted)
}

var _ = Describe("Reservations from the forecast", func() {
	off := mechanism.Of(mechanism.Reservations)

	DescribeTable("start a large job sooner beside a steady flow of small ones", func(wrongEstimates bool) {
		without, with := newSmallFlow(off), newSmallFlow(0)
		without.wrongEstimates, with.wrongEstimates = wrongEstimates, wrongEstimates
		late, soon := without.largeWait(), with.largeWait()
		GinkgoWriter.Println(late, soon, without.smallDone, with.smallDone)
		Expect(late).To(BeNumerically(">=", reserveAfter), "the load doesn't make large jobs wait")
		Expect(soon).To(BeNumerically("<", reserveAfter))
		Expect(with.smallDone).To(BeNumerically(">=", without.smallDone*95/100))
	},
		Entry("with right estimates", false),
		Entry("with wrong estimates", true),
	)

	// waitForReservation is how long a job waits until a worker is reserved for it, with the ticks around that.
	const waitForReservation = forecastReserveAfter + 2*time.Second

	// pass lets small tasks start and end for a while.
	pass := func(f *fixture, total time.Duration) {
		for end := f.now.Add(total); f.now.Before(end); {
			Expect(f.AddJob(f.now, testJob(fmt.Sprintf("passing at %s", f.now), 1, 1))).To(Succeed())
			for _, d := range ofKind(f.step(time.Second), Start) {
				f.end(d, Succeeded)
			}
		}
	}
	// reserve fills two workers and lets small tasks overtake a job until a worker is reserved for it.
	reserve := func(disabled mechanism.Set) *fixture {
		f := newFixture(2, 16)
		f.SetDisabled(disabled)
		Expect(f.AddJob(f.now, testJob("busy", 2, 12))).To(Succeed())
		f.step(time.Second)
		large := testJob("large", 1, 16)
		large.Submitted = f.now
		Expect(f.AddJob(f.now, large)).To(Succeed())
		pass(f, waitForReservation)
		Expect(f.reservations).To(HaveLen(1))
		return f
	}
	// fill submits two tasks of four processors, one for each worker.
	fill := func(f *fixture, expected time.Duration) []Decision {
		job := testJob("fill", 2, 4)
		job.ExpectedDuration = expected
		Expect(f.AddJob(f.now, job)).To(Succeed())
		return ofKind(f.step(time.Second), Start)
	}

	It("admit a small task only if it is expected to end before the room is needed", func() {
		Expect(fill(reserve(0), 10*time.Second)).To(ContainElement(HaveField("Reason", ReasonBackfill)))
		Expect(fill(reserve(0), time.Hour)).To(HaveLen(1))
		Expect(fill(reserve(mechanism.Of(mechanism.Backfill)), 10*time.Second)).To(HaveLen(1))
	})

	It("are made for all members of a gang, and are released together", func() {
		f := newFixture(3, 16)
		Expect(f.AddJob(f.now, testJob("busy", 3, 12))).To(Succeed())
		busy := ofKind(f.step(time.Second), Start)
		gang := testJob("gang", 2, 16)
		gang.Gang = true
		Expect(f.AddJob(f.now, gang)).To(Succeed())
		pass(f, waitForReservation)
		Expect(f.reservations).To(HaveLen(2))
		lost := f.reservations[0].node.Worker
		lost.State = WorkerLeaving
		f.SetWorker(f.now, lost)
		Expect(f.reservations).To(BeEmpty())
		for _, d := range busy {
			if d.Worker != lost.ID {
				f.end(d, Succeeded)
			}
		}
		starts := ofKind(f.step(time.Second), Start)
		starts = append(starts, ofKind(f.step(time.Second), Start)...)
		Expect(starts).To(ConsistOf(HaveField("Job", worker.JobID("gang")), HaveField("Job", worker.JobID("gang"))))
	})

	It("move to another worker when theirs leaves", func() {
		f := reserve(0)
		leaving := f.reservations[0].node
		lost := leaving.Worker
		lost.State = WorkerLeaving
		f.SetWorker(f.now, lost)
		pass(f, waitForReservation)
		Expect(f.reservations).To(HaveLen(1))
		Expect(f.reservations[0].node).NotTo(Equal(leaving))
	})

	It("are made again when the running tasks take longer than expected", func() {
		f := reserve(0)
		made := f.reservations[0].planned.MadeAt
		pass(f, 2*time.Minute)
		Expect(f.reservations).To(HaveLen(1))
		Expect(f.reservations[0].planned.MadeAt).To(BeTemporally(">", made))
	})
})
