package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/interference"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/mechanism"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/manifest"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

const benchSeed = 7

func serviceName(i int) manifest.ServiceName { return manifest.ServiceName(fmt.Sprintf("serve-%d", i)) }

func className(i int) manifest.ClassName { return manifest.ClassName(fmt.Sprintf("fill-%d", i)) }

// newLoadedHarness returns a harness at full load: serving tasks on all workers and a backlog
// of fillers of nine images. Fillers interfere in about a third of the pairs of images.
func newLoadedHarness(workers, backlog int) *harness {
	random := rand.New(rand.NewPCG(benchSeed, benchSeed))
	h := newHarness(1, workers)
	for _, w := range h.workers {
		w.info.Capacity = cores(16)
	}
	h.listWorkers()
	var learned []interference.Estimate
	for serving := range 5 {
		for filler := range 9 {
			p := 0.02
			if random.IntN(3) == 0 {
				p = 0.9
			}
			learned = append(learned, interference.Estimate{Pair: interference.Pair{
				Service: serviceName(serving), Class: className(filler),
			}, Probability: p})
		}
	}
	for i := range workers {
		step := servingStep(4)
		step.Image = dispatch.Image(serviceName(i % 5))
		step.MaxPerWorker = 0
		h.submit(dispatch.JobID(fmt.Sprintf("serving-%d", i)), step)
	}
	for range 5 {
		h.advance(200 * time.Millisecond)
	}
	h.engine.RestoreEstimates(h.now, learned)
	for i := range backlog {
		h.submit(dispatch.JobID(fmt.Sprintf("fill-%d", i)), fillerStep(8, dispatch.Image(className(i%9))))
	}
	for range 5 {
		h.advance(200 * time.Millisecond)
	}
	return h
}

// BenchmarkTick measures a tick with a backlog of fillers for which there is no room.
func BenchmarkTick(b *testing.B) {
	for _, workers := range []int{48, 400} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			h := newLoadedHarness(workers, 3*workers)
			for b.Loop() {
				h.now = h.now.Add(10 * time.Millisecond)
				h.engine.Tick(h.now)
				h.engine.TakeCommands()
			}
		})
	}
}

// BenchmarkRelease measures the recovery record of an owner that releases its shard.
func BenchmarkRelease(b *testing.B) {
	for _, workers := range []int{48, 400} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			h := newLoadedHarness(workers, 3*workers)
			for b.Loop() {
				h.engine.Release(h.now)
			}
		})
	}
}

// BenchmarkRecoveringTick measures a decision while a recorded worker hasn't listed its runs.
func BenchmarkRecoveringTick(b *testing.B) {
	for _, workers := range []int{48, 400} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			h := newLoadedHarness(workers, 3*workers)
			record, _ := h.engine.Release(h.now)
			h.engine.Resume()
			h.engine.Recover(h.now, time.Hour)
			for i := range record.Workers {
				record.Workers[i].ExpireIn = time.Hour
			}
			record.Workers = append(record.Workers, dispatch.RecordedWorker{ID: "gone", ExpireIn: time.Hour})
			h.engine.RecoverFrom(h.now, record)
			for b.Loop() {
				h.now = h.now.Add(10 * time.Millisecond)
				h.engine.Tick(h.now)
				h.engine.TakeCommands()
			}
		})
	}
}

// newFullHarness returns a harness whose workers are full of short tasks that don't end, with a backlog of
// tasks of several sizes, so that the largest have reservations.
func newFullHarness(disabled mechanism.Set, workers, backlog int) *harness {
	random := rand.New(rand.NewPCG(benchSeed, benchSeed))
	h := newHarnessWithout(disabled, 1, workers)
	h.engine.SetQueues(map[dispatch.QueueName]dispatch.Queue{
		batchQueue: {Name: batchQueue, Service: "pool", SlackFactor: 100, TargetLatency: time.Hour},
	})
	for _, w := range h.workers {
		w.info.Capacity = cores(16.5)
	}
	h.listWorkers()
	h.advance(0)
	submit := func(name string, count int) {
		for i := range count {
			h.submit(dispatch.JobID(fmt.Sprintf("%s-%d", name, i)), dispatch.Step{
				Tasks: 4, Resources: cores(float64(1 + random.IntN(6))), Image: "short",
				Estimate: time.Duration(100+random.IntN(9900)) * time.Millisecond,
			})
		}
	}
	submit("running", 2*workers)
	for started := -1; started < len(h.starts); {
		started = len(h.starts)
		h.advance(200 * time.Millisecond)
	}
	submit("waiting", backlog)
	h.submit("passing", dispatch.Step{Tasks: 1, Resources: cores(0.1), Estimate: time.Second})
	h.advance(200 * time.Millisecond)
	return h
}

// BenchmarkTickFull measures a tick with a backlog of tasks for which there is no room, with and without
// reservations for them.
func BenchmarkTickFull(b *testing.B) {
	for name, disabled := range map[string]mechanism.Set{"on": 0, "off": mechanism.Of(mechanism.Reservations)} {
		for _, workers := range []int{48, 400} {
			b.Run(fmt.Sprintf("reservations=%s/workers=%d", name, workers), func(b *testing.B) {
				h := newFullHarness(disabled, workers, workers)
				passing := 0
				for b.Loop() {
					h.now = h.now.Add(10 * time.Millisecond)
					if passing++; passing%10 == 0 {
						h.submit(dispatch.JobID(fmt.Sprintf("passing-%d", passing)), dispatch.Step{Tasks: 1, Resources: cores(0.001), Estimate: time.Second})
					}
					if passing%100 == 0 {
						b.StopTimer()
						h.pollWorkers()
						b.StartTimer()
					}
					h.engine.Tick(h.now)
					h.engine.TakeCommands()
				}
				b.ReportMetric(float64(h.counts["Reservation.Made"]), "made")
			})
		}
	}
}

// BenchmarkObserve measures the processing of a worker's report.
func BenchmarkObserve(b *testing.B) {
	h := newLoadedHarness(48, 144)
	w := h.workers["w0"]
	r := dispatch.Report{Incarnation: w.incarnation}
	for _, run := range w.running {
		r.Running = append(r.Running, *run)
	}
	for b.Loop() {
		w.clock += time.Millisecond
		r.Clock = w.clock
		h.engine.Observe(h.now, "w0", r)
	}
}

// BenchmarkTickReplacing measures a tick like BenchmarkTick while the workers are being replaced, and
// SetWorkers then: a tenth of the workers drain, and as many have arrived.
func BenchmarkTickReplacing(b *testing.B) {
	for _, workers := range []int{48, 400} {
		h := newLoadedHarness(workers, 3*workers)
		for i := range workers / 10 {
			arriving := newFakeWorker(membership.InstanceID(fmt.Sprintf("x%d", i)), 16)
			h.workers[arriving.info.ID] = arriving
			w := h.workers[membership.InstanceID(fmt.Sprintf("w%d", i))]
			h.listWorkers()
			w.info.Draining, w.info.Remaining = true, time.Hour
			h.listWorkers()
		}
		h.advance(200 * time.Millisecond)
		if h.counts["Replacement.Detected"] != 1 {
			b.Fatal("no replacement is under way")
		}
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			for b.Loop() {
				h.now = h.now.Add(time.Millisecond)
				h.engine.Tick(h.now)
				h.engine.TakeCommands()
			}
		})
		b.Run(fmt.Sprintf("list/workers=%d", workers), func(b *testing.B) {
			for b.Loop() {
				h.listWorkers()
			}
		})
	}
}

// BenchmarkTickWaitingTasks measures a tick with 200 jobs of 2,400 long-running tasks that wait for room,
// accepted by this owner or by an earlier one.
func BenchmarkTickWaitingTasks(b *testing.B) {
	for name, recovered := range map[string]bool{"Accepted": false, "Recovered": true} {
		b.Run(name, func(b *testing.B) {
			h := newHarness(2, 12)
			h.listWorkers()
			addWideJobs(h, 200, recovered)
			for range 100 {
				h.advance(100 * time.Millisecond)
			}
			for b.Loop() {
				h.now = h.now.Add(25 * time.Millisecond)
				h.tick()
			}
		})
	}
}

// BenchmarkTickWaitingGangs measures a tick with 60 gangs of 2,000 tasks for which there is no room.
func BenchmarkTickWaitingGangs(b *testing.B) {
	h := newHarness(1, 100)
	h.listWorkers()
	h.advance(100 * time.Millisecond)
	for n := range 60 {
		gang := batchStep(2000)
		gang.Gang = true
		h.submit(dispatch.JobID(fmt.Sprintf("%016x", n)), gang)
	}
	for range 10 {
		h.advance(100 * time.Millisecond)
	}
	for b.Loop() {
		h.now = h.now.Add(25 * time.Millisecond)
		h.tick()
	}
}
