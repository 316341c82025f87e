package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/mechanism"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

const (
	replayTick = 100 * time.Millisecond
	// startupTime is how long a long-running task takes to start up.
	startupTime = 500 * time.Millisecond
	// replacementGap is the time between two workers, arrivalLead how long the new one is there before the
	// earlier one drains, and leaveTime how long that one stays.
	replacementGap = 800 * time.Millisecond
	arrivalLead    = 500 * time.Millisecond
	leaveTime      = 11 * time.Second
	// entryInterval is the time between two entries of a draining worker.
	entryInterval = 1500 * time.Millisecond
)

// replay replaces the workers of a loaded pool one after the other.
type replay struct {
	*harness
	// size is the number of workers at the beginning.
	size      int
	random    *rand.Rand
	durations map[dispatch.TaskID]time.Duration
	startedAt map[dispatch.TaskRun]time.Time
	leavesAt  map[membership.InstanceID]time.Time
	// wasAvailable has the long-running tasks that have started up, and moves how often each was stopped.
	wasAvailable map[dispatch.TaskID]bool
	moves        map[dispatch.TaskID]int
	stopsSeen    int
	// downtime is the time that long-running tasks were without a run, and lost the run time of work that wasn't
	// saved.
	downtime, lost time.Duration
	// failing is the first letter of the workers that fail what they start.
	failing        string
	maxUnavailable int
	batches        int
}

const (
	// workersPerJob is the number of workers for a long-running job.
	workersPerJob = 3.2
	replayTasks   = 14
	replayWorkers = 70
	// detectedAfter is the number of replaced workers after which the replacement is certainly detected.
	detectedAfter = 4
	// replayLimit is MaxUnavailable of the long-running steps.
	replayLimit = 2
)

func newReplay(disabled mechanism.Set, workers int) *replay {
	r := &replay{
		harness: newHarnessWithout(disabled, 1, workers), size: workers, random: rand.New(rand.NewPCG(benchSeed, benchSeed)),
		durations: map[dispatch.TaskID]time.Duration{}, startedAt: map[dispatch.TaskRun]time.Time{},
		leavesAt: map[membership.InstanceID]time.Time{}, wasAvailable: map[dispatch.TaskID]bool{}, moves: map[dispatch.TaskID]int{},
	}
	for _, w := range r.workers {
		w.info.Capacity, w.info.Version = cores(16), "v1"
	}
	r.listWorkers()
	r.step()
	for i := range r.jobs() {
		s := longRunningStep(replayTasks, 2)
		s.MaxUnavailable = replayLimit
		r.submit(dispatch.JobID(fmt.Sprintf("watch-%d", i)), s)
	}
	r.play(5 * time.Second)
	return r
}

// jobs returns the number of the long-running jobs of the replay.
func (r *replay) jobs() int {
	return int(float64(r.size) / workersPerJob)
}

// play advances the replay. Short jobs arrive all the time.
func (r *replay) play(d time.Duration) {
	for range int(d / replayTick) {
		r.step()
	}
}

func (r *replay) step() {
	if r.random.IntN(100) < r.size {
		s := batchStep(6)
		s.Resources, s.Estimate, s.Checkpointing = cores(2), 2*time.Second, r.batches%2 == 0
		id := dispatch.JobID(fmt.Sprintf("batch-%d", r.batches))
		r.batches++
		for i := range s.Tasks {
			r.durations[dispatch.TaskID{Job: id, Index: i}] = r.duration(s.Estimate)
		}
		r.submit(id, s)
	}
	r.leave()
	r.progress()
	r.advance(replayTick)
	r.measure()
}

// duration returns the run time of a task: estimates are wrong by up to a half, and some tasks run seven
// times as long.
func (r *replay) duration(estimate time.Duration) time.Duration {
	factor := 0.5 + r.random.Float64()
	if r.random.IntN(33) == 0 {
		factor = 7
	}
	return time.Duration(factor * float64(estimate))
}

// progress advances the runs, and ends those that have done their work.
func (r *replay) progress() {
	for id, w := range r.workers {
		for _, task := range sortedTasks(w.running) {
			run := w.running[task]
			if r.startedAt[run.TaskRun].IsZero() {
				r.startedAt[run.TaskRun] = r.now
			}
			if r.failing != "" && string(id[:1]) == r.failing {
				r.endRun(id, task, dispatch.EndFailed)
				continue
			}
			total, short := r.durations[task]
			if !short {
				total = startupTime
			}
			run.Percent = min(int(100*r.now.Sub(r.startedAt[run.TaskRun])/total), 100)
			if short && run.Percent == 100 {
				r.endRun(id, task, dispatch.EndDone)
			}
		}
	}
}

// leave removes the workers whose time is over, with what runs on them, and renews the entries of those that
// drain.
func (r *replay) leave() {
	changed := false
	for id, at := range r.leavesAt {
		w := r.workers[id]
		left := at.Sub(r.now)
		if w == nil {
			continue
		}
		if left <= 0 {
			for task, run := range w.running {
				if _, short := r.durations[task]; short {
					r.lost += r.now.Sub(r.startedAt[run.TaskRun])
				}
			}
			delete(r.workers, id)
			changed = true
			continue
		}
		if left%entryInterval == 0 {
			w.info.Remaining, changed = left, true
		}
	}
	if changed {
		r.listWorkers()
	}
}

// replace replaces workers from a number on, one after the other.
func (r *replay) replace(from, to int, version dispatch.WorkerVersion) {
	for i := from; i < to; i++ {
		id := membership.InstanceID(fmt.Sprintf("x%d", i))
		r.workers[id] = newFakeWorker(id, 16)
		r.workers[id].info.Version, r.workers[id].info.RegisteredIncarnation = version, r.now.UnixMilli()
		r.workers[id].incarnation = r.now.UnixMilli()
		r.listWorkers()
		r.play(arrivalLead)
		old := membership.InstanceID(fmt.Sprintf("w%d", i))
		r.workers[old].info.Draining, r.workers[old].info.Remaining = true, leaveTime
		r.leavesAt[old] = r.now.Add(leaveTime)
		r.listWorkers()
		r.play(replacementGap - arrivalLead)
	}
}

func (r *replay) measure() {
	for _, c := range r.stops[r.stopsSeen:] {
		if _, short := r.durations[c.Task]; !short {
			r.moves[c.Task]++
		} else if !r.checkpoints(c.Task) {
			r.lost += r.now.Sub(r.startedAt[c.TaskRun])
		}
	}
	r.stopsSeen = len(r.stops)
	unavailable := map[dispatch.JobID]int{}
	for i := range r.jobs() {
		for k := range replayTasks {
			r.measureTask(dispatch.TaskID{Job: dispatch.JobID(fmt.Sprintf("watch-%d", i)), Index: k}, unavailable)
		}
	}
	for _, count := range unavailable {
		r.maxUnavailable = max(r.maxUnavailable, count)
	}
}

// checkpoints reports whether a short task saves its work when it is stopped.
func (r *replay) checkpoints(task dispatch.TaskID) bool {
	number := 0
	_, err := fmt.Sscanf(string(task.Job), "batch-%d", &number)
	Expect(err).NotTo(HaveOccurred())
	return number%2 == 0
}

func (r *replay) measureTask(task dispatch.TaskID, unavailable map[dispatch.JobID]int) {
	for _, w := range r.workers {
		if run := w.running[task]; run != nil && run.Percent == 100 {
			r.wasAvailable[task] = true
			return
		}
	}
	if r.wasAvailable[task] {
		r.downtime += replayTick
		unavailable[task.Job]++
	}
}

// movedAgain returns the number of long-running tasks that were stopped more than once.
func (r *replay) movedAgain() int {
	count := 0
	for _, moves := range r.moves {
		if moves > 1 {
			count++
		}
	}
	return count
}

// moved returns the number of stops of long-running tasks.
func (r *replay) moved() int {
	sum := 0
	for _, moves := range r.moves {
		sum += moves
	}
	return sum
}

// playReplacement replaces half of the workers of a pool.
func playReplacement(disabled mechanism.Set, version dispatch.WorkerVersion) *replay {
	r := newReplay(disabled, replayWorkers)
	r.replace(0, detectedAfter, version)
	r.play(2 * time.Second)
	r.maxUnavailable = 0
	r.replace(detectedAfter, replayWorkers/2, version)
	r.play(leaveTime + 2*time.Second)
	GinkgoWriter.Printf("disabled %v: %d moves, %d tasks moved again, down %s, lost %s, at most %d unavailable, %v\n",
		disabled.Names(), r.moved(), r.movedAgain(), r.downtime, r.lost, r.maxUnavailable, r.counts)
	return r
}

// Guards against long-running tasks that move to workers which drain next, and against work that is lost
// although its worker remains long enough, while half of a pool is replaced.
var _ = Describe("The replacement of many workers", func() {
	for _, version := range []dispatch.WorkerVersion{"v2", "v1"} {
		It("moves fewer tasks more than once and loses less work, from v1 to "+string(version), func() {
			off := playReplacement(mechanism.Of(mechanism.Replacement), version)
			on := playReplacement(0, version)
			Expect(on.counts["Replacement.Detected"]).To(Equal(int64(1)))
			Expect(off.counts["Replacement.Detected"]).To(BeZero())
			Expect(on.counts["Replacement.MovedAgain"]).To(BeZero())
			Expect(on.movedAgain()).To(BeNumerically("<", off.movedAgain()))
			Expect(on.downtime).To(BeNumerically("<=", off.downtime))
			Expect(on.lost).To(BeNumerically("<=", off.lost))
			Expect(on.maxUnavailable).To(BeNumerically("<=", replayLimit))
		})
	}
})

// expectDetected expects that a number of replacements were detected and have ended.
func (h *harness) expectDetected(began, ended int) {
	GinkgoHelper()
	count := map[string]int{}
	for _, d := range h.decisions {
		count[d.Event]++
	}
	Expect(count["ReplacementBegan"]).To(Equal(began))
	Expect(count["ReplacementEnded"]).To(Equal(ended))
}

// beginReplacement lets three workers of the pool be replaced, none of which has room for a task.
func (h *harness) beginReplacement() {
	GinkgoHelper()
	for i := range 3 {
		old := newFakeWorker(membership.InstanceID(fmt.Sprintf("old-%d", i)), 0)
		old.info.Version = "v1"
		h.workers[old.info.ID] = old
	}
	h.listWorkers()
	for i := range 3 {
		next := newFakeWorker(membership.InstanceID(fmt.Sprintf("new-%d", i)), 0)
		next.info.Version = "v2"
		h.workers[next.info.ID] = next
		h.workers[membership.InstanceID(fmt.Sprintf("old-%d", i))].info.Draining = true
	}
	h.listWorkers()
	h.expectDetected(1, 0)
}

// expectOn expects that the tasks of a job run on workers of one kind only: "x" for arriving workers, "w" for
// the earlier ones.
func (h *harness) expectOn(id dispatch.JobID, tasks int, kind string) {
	GinkgoHelper()
	on := h.workersOf(id)
	Expect(on).To(HaveLen(tasks))
	for _, w := range on {
		Expect(string(w)).To(HavePrefix(kind))
	}
}

var _ = Describe("A replacement that is interrupted", func() {
	// newLoad is a long-running job of one task that comes while workers are being replaced.
	newLoad := func(r *replay, id dispatch.JobID) {
		r.submit(id, longRunningStep(4, 2))
		r.play(2 * time.Second)
	}

	It("ends once no worker leaves or arrives for a while", func() {
		r := newReplay(0, 24)
		r.replace(0, 6, "v2")
		newLoad(r, "during")
		r.expectOn("during", 4, "x")
		r.expectDetected(1, 0)
		r.play(leaveTime + 10*time.Second)
		r.expectDetected(1, 1)
	})

	It("uses the earlier workers if the arriving ones fail what they start", func() {
		r := newReplay(mechanism.Of(mechanism.Stragglers), 24)
		r.failing = "x"
		r.replace(0, 8, "v2")
		r.play(4 * time.Second)
		r.submit("during", longRunningStep(4, 2))
		r.play(6 * time.Second)
		r.expectOn("during", 4, "w")
	})

	It("is detected by a new owner from the list alone", func() {
		r := newReplay(0, 24)
		r.replace(0, 8, "v1")
		r.engine = dispatch.New(dispatch.Options{Epoch: 2, LeaseTerm: leaseTerm, StopTimeout: stopTimeout, Counters: r, Recorder: r})
		r.engine.SetQueues(map[dispatch.QueueName]dispatch.Queue{batchQueue: {Name: batchQueue, Service: "pool", SlackFactor: 2}})
		r.listWorkers()
		r.expectDetected(2, 0)
		r.play(3 * time.Second)
		newLoad(r, "during")
		r.expectOn("during", 4, "x")
	})

	It("stops nothing on a draining worker that falls silent, and starts its tasks again on arriving ones", func() {
		r := newReplay(0, 24)
		r.replace(0, 5, "v2")
		r.submit("single", longRunningStep(1, 2))
		r.play(2 * time.Second)
		on := r.workersOf("single")[0]
		stopped := func() int {
			return len(slices.DeleteFunc(slices.Clone(r.stops), func(c dispatch.Command) bool { return c.Worker != on }))
		}
		r.workers[on].silent, r.workers[on].info.Draining, r.workers[on].info.Remaining = true, true, leaveTime
		r.listWorkers()
		r.play(replayTick)
		before := stopped()
		r.replace(5, 10, "v2")
		delete(r.workers, on)
		r.listWorkers()
		r.play(leaveTime)
		Expect(stopped()).To(Equal(before))
		r.expectOn("single", 1, "x")
	})
})

// Guards against a policy for replacements that changes decisions while no replacement is under way.
var _ = Describe("A pool that isn't being replaced", func() {
	// play lets four of sixteen workers drain, with a long-running task each.
	play := func(disabled mechanism.Set) (commands []string) {
		h := newHarnessWithout(disabled, 1, 16)
		h.listWorkers()
		h.advance(0)
		for i := range 12 {
			h.submit(dispatch.JobID(fmt.Sprintf("watch-%02d", i)), longRunningStep(1, 4))
			h.advanceStartedUp(200 * time.Millisecond)
		}
		for i := range 4 {
			w := h.workers[membership.InstanceID(fmt.Sprintf("w%d", i))]
			w.info.Draining, w.info.Remaining = true, leaveTime
			h.listWorkers()
			h.submit(dispatch.JobID(fmt.Sprintf("batch-%d", i)), batchStep(2))
			h.advanceStartedUp(time.Second)
		}
		h.advanceStartedUp(leaveTime)
		for _, c := range slices.Concat(h.starts, h.stops) {
			commands = append(commands, fmt.Sprintf("%v on %s, stop %v", c.TaskRun, c.Worker, c.Stop))
		}
		return commands
	}

	It("is scheduled as without the mechanism", func() {
		Expect(play(0)).To(Equal(play(mechanism.Of(mechanism.Replacement))))
	})
})
