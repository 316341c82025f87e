package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/mechanism"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

const (
	flowSeed = 11
	flowTick = 50 * time.Millisecond
	// meanSmallTask is the mean estimate of the small tasks, in seconds.
	meanSmallTask = 0.6
)

// flow simulates a steady flow of small jobs that occupies most of the workers.
type flow struct {
	*harness
	random *rand.Rand
	// unit is the size of the smallest task in processors.
	unit float64
	// rate is the number of small jobs a second, and due those that are to be submitted.
	rate, due float64
	// similar makes all small tasks need two units, else they need one to three.
	similar bool
	// wrongEstimates makes tasks take 0.1 to 1.9 times their estimate, and 3 % seven times as long.
	wrongEstimates bool
	durations      map[dispatch.TaskRun]time.Duration
	startedAt      map[dispatch.TaskRun]time.Time
	submittedAt    map[dispatch.JobID]time.Time
	estimates      map[dispatch.JobID]time.Duration
	// waits has the time from the submission to the first start of each job.
	waits map[dispatch.JobID]time.Duration
}

// newFlow returns a flow that takes a share of the processors of the workers.
func newFlow(disabled mechanism.Set, workers int, processors, load float64) *flow {
	f := &flow{
		harness: newHarnessWithout(disabled, 1, workers), random: rand.New(rand.NewPCG(flowSeed, flowSeed)),
		unit: processors / 16, durations: map[dispatch.TaskRun]time.Duration{}, startedAt: map[dispatch.TaskRun]time.Time{},
		submittedAt: map[dispatch.JobID]time.Time{}, estimates: map[dispatch.JobID]time.Duration{},
		waits: map[dispatch.JobID]time.Duration{},
	}
	f.engine.SetQueues(map[dispatch.QueueName]dispatch.Queue{
		batchQueue: {Name: batchQueue, Service: "pool", SlackFactor: 3, TargetLatency: 5 * time.Second},
	})
	for _, w := range f.workers {
		w.info.Capacity = cores(processors)
	}
	meanWork := 2 * f.unit * meanSmallTask
	f.rate = load * float64(workers) * processors / meanWork
	f.listWorkers()
	f.advance(flowTick)
	return f
}

// enter submits a job at the present time.
func (f *flow) enter(id dispatch.JobID, s dispatch.Step) {
	f.submittedAt[id], f.estimates[id] = f.now, s.Estimate
	f.submit(id, s)
}

// play lets small jobs arrive and runs end for a time.
func (f *flow) play(total time.Duration) {
	for at := time.Duration(0); at < total; at += flowTick {
		for f.due += f.rate * flowTick.Seconds(); f.due >= 1; f.due-- {
			f.enter(dispatch.JobID(fmt.Sprintf("small-%d", len(f.submittedAt))), dispatch.Step{
				Tasks: 1, Resources: cores(f.unit * f.smallUnits()), Image: "small",
				Estimate: time.Duration((0.5 + f.random.Float64()) * meanSmallTask * float64(time.Second)),
			})
		}
		f.step()
	}
}

// smallUnits returns the size of the next small task.
func (f *flow) smallUnits() float64 {
	if f.similar {
		return 2
	}
	return float64(1 + f.random.IntN(3))
}

// step advances the time by a tick, ends the runs that are due and reports the progress of the others.
func (f *flow) step() {
	for _, id := range f.engine.Workers() {
		f.progress(id)
	}
	f.advance(flowTick)
	for _, w := range f.workers {
		for id := range w.running {
			if _, known := f.waits[id.Job]; !known {
				f.waits[id.Job] = f.now.Sub(f.submittedAt[id.Job])
			}
		}
	}
}

func (f *flow) progress(id membership.InstanceID) {
	w := f.workers[id]
	if w == nil {
		return
	}
	var tasks []dispatch.TaskID
	for task := range w.running {
		tasks = append(tasks, task)
	}
	slices.SortFunc(tasks, func(a, b dispatch.TaskID) int { return strings.Compare(a.String(), b.String()) })
	for _, task := range tasks {
		run := w.running[task]
		if _, known := f.durations[run.TaskRun]; !known {
			f.durations[run.TaskRun], f.startedAt[run.TaskRun] = f.duration(f.estimates[task.Job]), f.now
		}
		elapsed := f.now.Sub(f.startedAt[run.TaskRun])
		if elapsed >= f.durations[run.TaskRun] {
			f.endRun(id, task, dispatch.EndDone)
			continue
		}
		run.Percent = int(100 * elapsed / f.durations[run.TaskRun])
	}
}

// duration returns how long a run really takes.
func (f *flow) duration(estimate time.Duration) time.Duration {
	if !f.wrongEstimates {
		return estimate
	}
	if f.random.Float64() < 0.03 {
		return 7 * estimate
	}
	return time.Duration((0.1 + 1.8*f.random.Float64()) * float64(estimate))
}

// meanSmallWait returns the mean wait of the small jobs that have started.
func (f *flow) meanSmallWait() time.Duration {
	sum, count := time.Duration(0), 0
	for id, wait := range f.waits {
		if id != "large" {
			sum, count = sum+wait, count+1
		}
	}
	return sum / time.Duration(max(count, 1))
}

// largeWait returns how long the job "large" waited for its first start, or has waited so far.
func (f *flow) largeWait() time.Duration {
	if wait, started := f.waits["large"]; started {
		return wait
	}
	return f.now.Sub(f.submittedAt["large"])
}

// largeStep returns a step of tasks that need most of a worker.
func (f *flow) largeStep(tasks int) dispatch.Step {
	return dispatch.Step{Tasks: tasks, Resources: cores(13 * f.unit), Image: "large", Estimate: time.Second}
}

// playLarge runs a flow into which a large job is submitted after a while.
func playLarge(f *flow, s dispatch.Step) *flow {
	f.play(5 * time.Second)
	f.enter("large", s)
	f.play(15 * time.Second)
	return f
}

var _ = Describe("Reservations", func() {
	const (
		workers = 12
		load    = 0.97
		// maxLargeWait is the longest permitted wait of a large job: the slack of its queue.
		maxLargeWait = 5 * time.Second
		// maxSmallLoss is the permitted increase of the mean wait of small jobs.
		maxSmallLoss = 150 * time.Millisecond
	)
	off := mechanism.Of(mechanism.Reservations)

	DescribeTable("bound the wait of a large task beside a steady flow of small ones",
		func(processors float64, wrongEstimates bool) {
			without := newFlow(off, workers, processors, load)
			without.wrongEstimates = wrongEstimates
			playLarge(without, without.largeStep(1))
			with := newFlow(0, workers, processors, load)
			with.wrongEstimates = wrongEstimates
			playLarge(with, with.largeStep(1))
			GinkgoWriter.Println("large", without.largeWait(), with.largeWait(), "small", without.meanSmallWait(), with.meanSmallWait(), with.counts)
			Expect(without.largeWait()).To(BeNumerically(">", maxLargeWait), "the load doesn't make large tasks wait")
			Expect(with.largeWait()).To(BeNumerically("<=", maxLargeWait))
			Expect(with.meanSmallWait()).To(BeNumerically("<=", without.meanSmallWait()+maxSmallLoss))
			Expect(with.counts["Reservation.Met"]).To(BeNumerically(">", 0))
			Expect(without.counts["Reservation.Made"]).To(BeZero())
		},
		Entry("on workers of 16 processors", 16.0, false),
		Entry("on workers of 64 processors", 64.0, false),
		Entry("on workers of 16 processors with wrong estimates", 16.0, true),
		Entry("on workers of 64 processors with wrong estimates", 64.0, true),
	)

	// Guards against reservations that only leave room idle, because no waiting task is much larger than others.
	It("change no decision where tasks are of similar size", func() {
		play := func(disabled mechanism.Set) *flow {
			f := newFlow(disabled, workers, 16, 1.2)
			f.similar, f.wrongEstimates = true, true
			f.play(15 * time.Second)
			return f
		}
		with, without := play(0), play(off)
		Expect(len(without.starts)).To(BeNumerically(">", 1000))
		Expect(with.starts).To(Equal(without.starts))
		Expect(with.counts["Reservation.Made"]).To(BeZero())
	})
})
