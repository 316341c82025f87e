package placement

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/manifest"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

var workerCounts = []int{50, 500, 5000, 20000}

// benchEngine returns an engine whose workers host a service and are three quarters
// full.
func benchEngine(workers int) *fixture {
	f := newFixture(0, 0)
	for i := range workers {
		w := testWorker(i, 16)
		w.Reserved = coresAndMemory(2)
		w.Services = []manifest.ServiceName{"chairdesk"}
		f.SetWorker(f.now, w)
	}
	f.fillWithTasks(workers * 10)
	return f
}

// fillWithTasks adds the given number of tasks in jobs of 500 and waits until all run.
func (f *fixture) fillWithTasks(tasks int) {
	for i := len(f.jobs); tasks > 0; i++ {
		count := min(tasks, 500)
		if err := f.AddJob(f.now, testJob(fmt.Sprintf("fill%d", i), count, 1)); err != nil {
			panic(err)
		}
		tasks -= count
	}
	for f.Summary().QueuedTasks > 0 {
		for _, d := range f.step(100 * time.Millisecond) {
			f.TaskStarted(f.now, d.TaskAttempt)
		}
	}
}

// BenchmarkStart measures a decision to start one task: a job is added, a tick starts
// its task and the task ends.
func BenchmarkStart(b *testing.B) {
	for _, workers := range workerCounts {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			f := benchEngine(workers)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				f.startAndEndTasks(b, i, 1)
			}
		})
	}
}

// BenchmarkStartBatch measures ticks that start 800 tasks each, the peak of 8,000
// starts per second at ten ticks per second. It reports the time per start.
func BenchmarkStartBatch(b *testing.B) {
	const batch = 800
	for _, workers := range workerCounts[1:] {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			f := benchEngine(workers)
			for i := 0; b.Loop(); i++ {
				f.startAndEndTasks(b, i, batch)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*batch), "ns/start")
		})
	}
}

// startAndEndTasks adds a job, starts all its tasks in one tick and ends them.
func (f *fixture) startAndEndTasks(b *testing.B, i, tasks int) {
	job := testJob(fmt.Sprintf("b%d", i), tasks, 1)
	if err := f.AddJob(f.now, job); err != nil {
		b.Fatal(err)
	}
	f.now = f.now.Add(100 * time.Millisecond)
	decisions := f.Tick(f.now)
	if len(decisions) != tasks {
		b.Fatalf("got %d decisions, want one start for each of %d tasks", len(decisions), tasks)
	}
	for _, d := range decisions {
		f.TaskEnded(f.now, TaskEnd{TaskAttempt: d.TaskAttempt, Worker: d.Worker, Outcome: Succeeded})
	}
}

// BenchmarkUrgent measures making room for an urgent task when all workers are full: a
// tick that evicts tasks, the end of these tasks and a tick that starts the urgent one.
func BenchmarkUrgent(b *testing.B) {
	for _, workers := range workerCounts {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			f := benchEngine(workers)
			f.fillWithTasks(workers * 4)
			for i := 0; b.Loop(); i++ {
				job := testJob(fmt.Sprintf("u%d", i), 1, 2)
				job.Priority = Urgent
				if err := f.AddJob(f.now, job); err != nil {
					b.Fatal(err)
				}
				f.confirmStops(f.step(100 * time.Millisecond))
				starts := ofKind(f.step(100*time.Millisecond), Start)
				if len(starts) == 0 || starts[0].Job != job.ID {
					b.Fatalf("got %d starts, want the urgent job first", len(starts))
				}
				f.end(starts[0], Succeeded)
				f.step(100 * time.Millisecond)
			}
		})
	}
}

// BenchmarkBlocked measures a tick with full workers and a long queue.
func BenchmarkBlocked(b *testing.B) {
	for _, queue := range []int{100, 10_000, 100_000} {
		b.Run(fmt.Sprintf("queue=%d", queue), func(b *testing.B) {
			f := benchEngine(5000)
			for i := range queue {
				job := testJob(fmt.Sprintf("q%d", i), 1, 9+i%5)
				if err := f.AddJob(f.now, job); err != nil {
					b.Fatal(err)
				}
			}
			for b.Loop() {
				f.now = f.now.Add(100 * time.Millisecond)
				f.Tick(f.now)
			}
		})
	}
}

// BenchmarkRestore measures restoring one task that was found running on a worker.
func BenchmarkRestore(b *testing.B) {
	var f *fixture
	var tasks []RunningTask
	for b.Loop() {
		if len(tasks) == 0 {
			b.StopTimer()
			f, tasks = engineWithRunningTasks()
			b.StartTimer()
		}
		f.RestoreTask(f.now, tasks[0])
		tasks = tasks[1:]
	}
}

// engineWithRunningTasks returns an engine with workers and jobs, and 200,000 running
// tasks to restore.
func engineWithRunningTasks() (*fixture, []RunningTask) {
	f := newFixture(20_000, 16)
	var tasks []RunningTask
	for i := range 400 {
		id := fmt.Sprintf("j%d", i)
		if err := f.RestoreJob(f.now, testJob(id, 500, 1)); err != nil {
			panic(err)
		}
		for k := range 500 {
			tasks = append(tasks, runningTask(fmt.Sprintf("%s/%d", id, k), len(tasks)+1, len(tasks)%20_000))
		}
	}
	return f, tasks
}

// BenchmarkReport measures a usage sample of the worker with the most tasks, 14.
func BenchmarkReport(b *testing.B) {
	f := benchEngine(500)
	n := slices.MaxFunc(f.nodes, func(a, b *node) int { return len(a.attempts) - len(b.attempts) })
	sample := worker.UsageSample{
		Period:    time.Second,
		Executors: []worker.ExecutorUsage{{Service: "chairdesk", Requests: 100, P99: 20 * time.Millisecond}},
	}
	for _, a := range n.attempts {
		sample.Tasks = append(sample.Tasks, worker.TaskUsage{TaskAttempt: worker.TaskAttempt{Task: a.taskID(), Attempt: a.number}, Class: "build", Observed: coresAndMemory(1)})
	}
	for b.Loop() {
		f.now = f.now.Add(time.Second)
		f.RecordUsageSample(f.now, n.ID, sample)
	}
}

// BenchmarkConfigure measures a manifest change on a shard with running tasks, 220
// teams and 1000 classes.
func BenchmarkConfigure(b *testing.B) {
	f := benchEngine(1333)
	published := testManifest()
	for i := range 220 {
		name := manifest.TeamName(fmt.Sprintf("team%d", i))
		published.Manifest.Teams = append(published.Manifest.Teams, manifest.Team{Name: name, Parent: "all", Quota: coresAndMemory(100)})
	}
	for i := range 1000 {
		published.Manifest.Classes = append(published.Manifest.Classes, manifest.Class{Name: manifest.ClassName(fmt.Sprintf("class%d", i))})
	}
	for b.Loop() {
		published.Version++
		f.ApplyManifest(f.now, published)
	}
}

// BenchmarkState reports the memory per worker and per running task in bytes.
func BenchmarkState(b *testing.B) {
	const workers, tasks = 20_000, 200_000
	for b.Loop() {
		start := heapBytes()
		f := newFixture(0, 0)
		for i := range workers {
			f.SetWorker(f.now, testWorker(i, 16))
		}
		empty := heapBytes()
		f.fillWithTasks(tasks)
		f.live, f.startedAt = nil, nil
		full := heapBytes()
		b.ReportMetric(float64(empty-start)/workers, "B/worker")
		b.ReportMetric(float64(full-empty)/tasks, "B/task")
		f.RemoveWorker(f.now, membership.InstanceID("keeps the engine alive"))
	}
}

func heapBytes() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
