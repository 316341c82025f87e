package dispatch_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/mechanism"
)

const (
	burstWorkers = 30
	// servingShare is the share of the processors that long-running tasks reserve.
	servingShare = 0.85
	// burstFactor is how many times more jobs arrive during a burst.
	burstFactor = 1.7
	burstTick   = 40 * time.Millisecond
	burstLength = 12 * time.Second
	// lateValue is the share of its value that a late job has.
	lateValue = 0.15
	// largeTask is the size from which tasks count as large, in processors.
	largeTask = 3
)

// burstJob is a job of tasks that are alike.
type burstJob struct {
	step      dispatch.Step
	duration  time.Duration
	objective time.Duration
	submitted time.Time
	ended     time.Time
	done      int
}

// value returns what the job is worth if it ends in time.
func (j *burstJob) value() float64 {
	return 0.3 + 0.7*float64(j.step.Tasks)*float64(j.step.Resources.Processors)/1000*j.step.Estimate.Seconds()/11.5
}

// isInTime reports whether the job has ended within a multiple of its objective.
func (j *burstJob) isInTime(factor time.Duration) bool {
	return !j.ended.IsZero() && j.ended.Sub(j.submitted) <= factor*j.objective
}

// burst plays jobs of short tasks beside long-running ones that leave them pieces of each worker.
type burst struct {
	*harness
	random  *rand.Rand
	jobs    map[dispatch.JobID]*burstJob
	started map[dispatch.TaskRun]time.Time
	// rate is the number of jobs a second.
	rate float64
}

func newBurst(disabled mechanism.Set, seed uint64, load float64) *burst {
	b := &burst{
		harness: newHarnessWithout(disabled, 1, burstWorkers), random: rand.New(rand.NewPCG(seed, seed)),
		jobs: map[dispatch.JobID]*burstJob{}, started: map[dispatch.TaskRun]time.Time{},
	}
	b.engine.SetQueues(map[dispatch.QueueName]dispatch.Queue{
		batchQueue: {Name: batchQueue, Service: "pool", SlackFactor: 1.5, TargetLatency: 300 * time.Millisecond},
	})
	total, used := 0.0, 0.0
	for i := range burstWorkers {
		size := []float64{16, 16, 24}[i%3]
		b.workers[workerID(i)].info.Capacity = cores(size)
		total += size
	}
	b.listWorkers()
	b.advance(0)
	for i := 0; used < servingShare*total; i++ {
		size := b.logNormal(3.2, 0.25, 5.1)
		used += size
		b.submit(dispatch.JobID(fmt.Sprintf("serving-%d", i)), longRunningStep(1, size))
	}
	b.advanceStartedUp(2 * time.Second)
	b.rate = load * (total - used) / (9.5 * 1.9 * 0.64)
	return b
}

// logNormal returns a random number with a mean and a relative spread, up to a limit.
func (b *burst) logNormal(mean, spread, limit float64) float64 {
	variance := math.Log(1 + spread*spread)
	return min(mean*math.Exp(math.Sqrt(variance)*b.random.NormFloat64()-variance/2), limit)
}

// play lets jobs arrive, with a burst in the middle, and those that have begun end.
func (b *burst) play() *burst {
	due := 0.0
	for at := time.Duration(0); at < burstLength+5*time.Second; at += burstTick {
		rate := b.rate
		if at > burstLength/3 && at < burstLength/2 {
			rate *= burstFactor
		}
		if at < burstLength {
			due += rate * burstTick.Seconds()
		}
		for ; due >= 1; due-- {
			b.arrive()
		}
		b.advance(burstTick)
		for i := range burstWorkers {
			b.progress(b.workers[workerID(i)])
		}
	}
	return b
}

func (b *burst) arrive() {
	duration := b.logNormal(0.64, 0.5, 1.6)
	estimate := duration * (0.5 + b.random.Float64())
	j := &burstJob{submitted: b.now, duration: seconds(duration), objective: seconds(1.5*estimate + 0.3)}
	j.step = dispatch.Step{
		Tasks: int(max(b.logNormal(9.5, 0.8, 57), 1)), Resources: cores(b.logNormal(1.9, 0.45, 5.8)),
		Estimate: seconds(estimate), Image: "short",
	}
	j.step.Resources.Memory = gigabyte / 8
	id := dispatch.JobID(fmt.Sprintf("job-%d", len(b.jobs)))
	b.jobs[id] = j
	b.submit(id, j.step)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// progress reports the progress of the runs on a worker and ends those that are done.
func (b *burst) progress(w *fakeWorker) {
	var done []dispatch.TaskID
	for task, run := range w.running {
		j := b.jobs[task.Job]
		if j == nil {
			run.Percent, run.Measurement = 100, 1
			continue
		}
		if _, known := b.started[run.TaskRun]; !known {
			b.started[run.TaskRun] = b.now
		}
		elapsed := b.now.Sub(b.started[run.TaskRun])
		if run.Percent = int(100 * elapsed / j.duration); elapsed >= j.duration {
			done = append(done, task)
		}
	}
	slices.SortFunc(done, func(a, b dispatch.TaskID) int { return strings.Compare(a.String(), b.String()) })
	for _, task := range done {
		j := b.jobs[task.Job]
		b.endRun(w.info.ID, task, dispatch.EndDone)
		if j.done++; j.done == j.step.Tasks {
			j.ended = b.now
		}
	}
}

// served returns the share of the jobs' value that they had at their ends, and the share of the jobs of
// large tasks that ended in time.
func (b *burst) served() (value, largeInTime float64) {
	possible, large, inTime := 0.0, 0.0, 0.0
	for _, j := range b.jobs {
		possible += j.value()
		isLarge := j.step.Resources.Processors >= largeTask*1000
		if isLarge {
			large++
		}
		switch {
		case j.isInTime(1):
			value += j.value()
			if isLarge {
				inTime++
			}
		case j.isInTime(3):
			value += lateValue * j.value()
		}
	}
	return value / possible, inTime / max(large, 1)
}

// Guards callers in bursts beside long-running tasks: small tasks went where most room was, and broke each
// gap into pieces that tasks of ordinary size didn't fit in.
var _ = Describe("Small tasks while larger ones find no room", func() {
	const (
		seeds = 10
		load  = 0.9
		// maxLoss is what large tasks may lose by the first rule, and all jobs by the second one. The mean of
		// the seeds is exact to about as much.
		maxLoss = 0.01
	)
	// play returns the means of served over several seeds.
	play := func(disabled mechanism.Set) (value, largeInTime float64) {
		for seed := range uint64(seeds) {
			v, large := newBurst(disabled, seed, load).play().served()
			value += v / seeds
			largeInTime += large / seeds
		}
		return value, largeInTime
	}

	It("go where they leave least room, which serves the jobs better, and lose little to reservations", func() {
		valueBefore, largeBefore := play(mechanism.Of(mechanism.Reservations, mechanism.LargeGaps))
		value, large := play(mechanism.Of(mechanism.Reservations))
		valueWithBoth, largeWithBoth := play(0)
		GinkgoWriter.Printf("value %.3f, %.3f, %.3f; large in time %.3f, %.3f, %.3f\n",
			valueBefore, value, valueWithBoth, largeBefore, large, largeWithBoth)
		Expect(value).To(BeNumerically(">", valueBefore))
		Expect(large).To(BeNumerically(">=", largeBefore-maxLoss))
		Expect(valueWithBoth).To(BeNumerically(">=", value-maxLoss))
	})
})
