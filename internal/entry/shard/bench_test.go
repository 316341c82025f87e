package shard

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
	"github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
	"github.com/jacinthtrail/jacinthtrail/internal/caller/job"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/placement"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/counter"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/manifest"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/process"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/table"
)

const (
	// benchWarmup is the time before a measurement, until tasks end at the rate at which
	// they start.
	benchWarmup = 4 * time.Second
	// benchMeasurePeriod is the length of a measurement.
	benchMeasurePeriod = 6 * time.Second
	// benchTaskDuration is the run time of a task.
	benchTaskDuration = 2 * time.Second
	// benchStartsPerWorkerSecond is the number of task starts per worker and second, from
	// 8,000 starts per second over 20,000 workers.
	benchStartsPerWorkerSecond = 0.4
	// benchTasksPerWorker is the number of running tasks per worker, from 200,000 batch
	// tasks over 20,000 workers.
	benchTasksPerWorker = 10
	// benchTasksPerJob is the number of tasks of a job; 8,000 starts per second are 40 jobs
	// per second.
	benchTasksPerJob = 200
)

var (
	benchWorkerCounts  = []int{50, 500, 1333}
	benchShardID       = worker.ShardID{Zone: "kzn-dbn"}
	benchTaskResources = resource.Vector{Processors: 1000, Memory: 1e9}
)

// fakeWorkers simulates workers in memory. The tasks that it starts end after
// benchTaskDuration.
type fakeWorkers struct {
	mu      sync.Mutex
	workers map[string]*fakeWorker
	syncs   int
	starts  int
	bytes   int
}

type fakeWorker struct {
	counter worker.Counter
	// tasks holds the time at which each task ends; a task with the zero time never ends.
	tasks map[worker.TaskAttempt]time.Time
}

// Sync applies the starts and acknowledgements and returns the tasks of the worker.
func (f *fakeWorkers) Sync(_ context.Context, address string, request worker.SyncRequest) (worker.SyncResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	w := f.workers[address]
	w.counter++
	f.syncs++
	f.starts += len(request.Start)
	for _, start := range request.Start {
		w.tasks[start.TaskAttempt] = now.Add(benchTaskDuration)
	}
	for _, attempt := range request.Acknowledge {
		delete(w.tasks, attempt)
	}
	response := worker.SyncResponse{
		Epoch: request.Epoch, Counter: w.counter, Incarnation: "one",
		Capacity: resource.Vector{Processors: 16000, Memory: 60e9},
	}
	for attempt, end := range w.tasks {
		status := worker.TaskStatus{TaskAttempt: attempt, Class: "rota-build", State: worker.Running, Resources: benchTaskResources, Observed: benchTaskResources}
		if !end.IsZero() && now.After(end) {
			status.State, status.Result = worker.Succeeded, []byte("rota")
		}
		response.Tasks = append(response.Tasks, status)
	}
	return response, nil
}

func (f *fakeWorkers) counts() (syncs, starts int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.syncs, f.starts
}

// countingTable counts a shard's accesses to the table.
type countingTable struct {
	table.Memory
	mu                   sync.Mutex
	commits, rows, reads int
}

// Commit counts the transaction and its rows, and commits it.
func (c *countingTable) Commit(ctx context.Context, tx table.Transaction) (table.Result, error) {
	c.mu.Lock()
	c.commits++
	c.rows += len(tx.Writes)
	c.mu.Unlock()
	return c.Memory.Commit(ctx, tx)
}

// Read counts and performs a read.
func (c *countingTable) Read(ctx context.Context, keys ...table.Key) ([]table.Row, error) {
	c.mu.Lock()
	c.reads++
	c.mu.Unlock()
	return c.Memory.Read(ctx, keys...)
}

// Scan counts a scan as a read and performs it.
func (c *countingTable) Scan(ctx context.Context, prefix, after table.Key, limit int) ([]table.Row, error) {
	c.mu.Lock()
	c.reads++
	c.mu.Unlock()
	return c.Memory.Scan(ctx, prefix, after, limit)
}

func (c *countingTable) counts() (commits, rows, reads int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.commits, c.rows, c.reads
}

// allowAll has authority over the shard and permits all starts.
type allowAll struct{ started time.Time }

func (allowAll) AuthorityUntil(now time.Time) (time.Time, bool) { return now.Add(time.Minute), true }

// EarlierOwnersUntil returns a time in the past, as for the first owner.
func (a allowAll) EarlierOwnersUntil() time.Time { return a.started.Add(-time.Hour) }

func (allowAll) ReadRow(context.Context, worker.ShardID, worker.Epoch) (table.Condition, bool, error) {
	return table.Condition{Key: "shard/row"}, true, nil
}

func (allowAll) StartsUntil(now time.Time) (time.Time, bool) { return now.Add(time.Minute), true }
func (allowAll) IsOutOfService() bool                        { return false }
func (allowAll) StartRateLimit(time.Time) int                { return 0 }

func (allowAll) Destination(time.Time) (worker.ShardID, bool) { return worker.ShardID{}, false }

func (allowAll) RecordDecision(time.Time, placement.Decision) {}

type staticMembership membership.Snapshot

func (m staticMembership) Snapshot() membership.Snapshot { return membership.Snapshot(m) }

type staticConfiguration manifest.Published

func (c staticConfiguration) Current() manifest.Published { return manifest.Published(c) }

func benchManifest() staticConfiguration {
	large := resource.Vector{Processors: 1e9, Memory: 1e15}
	return staticConfiguration{Version: 1, Manifest: manifest.Defaults(manifest.Manifest{
		Zones:   []manifest.Zone{{Name: benchShardID.Zone, Region: "kzn"}},
		Classes: []manifest.Class{{Name: "rota-build", Team: "clerks", Resources: benchTaskResources, ExpectedDuration: manifest.Duration(benchTaskDuration)}},
		Teams:   []manifest.Team{{Name: "clerks", Quota: large, UrgentQuota: large}},
		Limits:  manifest.Limits{ShardsPerZone: 1},
	})}
}

// benchHarness is a shard with in-memory workers and an in-memory table.
type benchHarness struct {
	*Shard
	workers       *fakeWorkers
	store         *countingTable
	started       time.Time
	group         *errgroup.Group
	stop          context.CancelFunc
	submittedJobs int
}

// startBenchHarness starts a shard that recovers the given number of running tasks from
// each worker.
func startBenchHarness(b *testing.B, workers, running int) *benchHarness {
	members := staticMembership{Revision: 1}
	h := &benchHarness{workers: &fakeWorkers{workers: map[string]*fakeWorker{}}, store: &countingTable{}}
	rows := []workerRow{}
	for i := range workers {
		id := membership.InstanceID(fmt.Sprintf("worker-kzn-dbn-%d", i))
		members.Instances = append(members.Instances, membership.Instance{
			ID: id, Kind: membership.Worker, State: membership.Live, Zone: benchShardID.Zone, Address: string(id),
			Capacity: resource.Vector{Processors: 16000, Memory: 60e9},
		})
		rows = append(rows, workerRow{ID: id, Address: string(id)})
		h.workers.workers[string(id)] = &fakeWorker{counter: 1, tasks: map[worker.TaskAttempt]time.Time{}}
	}
	h.insertRow(b, WorkersKey(benchShardID), rows)
	h.addRunningJob(b, rows, running)
	clock := clockwork.NewRealClock()
	h.Shard = New(&Shard{
		ID: benchShardID, Epoch: 2, Ownership: allowAll{clock.Now()}, Permit: allowAll{}, Destinations: allowAll{}, Recorder: allowAll{},
		Membership: members, Configuration: benchManifest(), Store: h.store, Workers: h.workers,
		Counters: &counter.Set{}, Clock: clock,
	})
	ctx, stop := context.WithCancel(context.Background())
	h.stop, h.group, h.started = stop, &errgroup.Group{}, clock.Now()
	h.group.Go(func() error { return h.Run(ctx) })
	return h
}

// addRunningJob adds a job to the table whose tasks already run on the workers.
func (h *benchHarness) addRunningJob(b *testing.B, rows []workerRow, running int) {
	if running == 0 {
		return
	}
	id := h.insertJob(b, "running", running*len(rows))
	for i := range running * len(rows) {
		attempt := worker.TaskAttempt{Task: job.NewTaskID(id, i), Attempt: 1<<32 + 1}
		h.workers.workers[rows[i%len(rows)].Address].tasks[attempt] = time.Time{}
	}
}

func (h *benchHarness) insertJob(b *testing.B, key job.CallerKey, tasks int) worker.JobID {
	id := job.NewID("clerks", key)
	h.insertRow(b, job.RecordRow(benchShardID, id), job.Record{
		ID: id, Team: "clerks", Key: key, State: job.Queued, Submitted: time.Now(),
		Spec: job.Spec{Class: "rota-build", Priority: job.Normal, Tasks: tasks, Payload: json.RawMessage(`{"Week":"2026-W50"}`)},
	})
	return id
}

// insertRow writes a row without counting the commit.
func (h *benchHarness) insertRow(b *testing.B, key table.Key, value any) {
	content, err := json.Marshal(value)
	if err != nil {
		b.Fatal(err)
	}
	tx := table.Transaction{ID: table.TransactionID(key), Writes: []table.Write{{Key: key, Value: content}}}
	if _, err := h.store.Memory.Commit(context.Background(), tx); err != nil {
		b.Fatal(err)
	}
}

// submitJob adds a job to the shard's inbox.
func (h *benchHarness) submitJob(b *testing.B) {
	h.submittedJobs++
	id := h.insertJob(b, job.CallerKey(fmt.Sprintf("job-%d", h.submittedJobs)), benchTasksPerJob)
	h.insertRow(b, job.InboxRow(benchShardID, string(id)), job.InboxEntry{Kind: job.InboxJob, Job: id})
}

func (h *benchHarness) awaitRecovery() time.Duration {
	for !h.HasRecovered() {
		runtime.Gosched()
		<-h.Clock.After(time.Millisecond)
	}
	return h.Clock.Since(h.started)
}

func (h *benchHarness) close(b *testing.B) {
	h.stop()
	if err := h.group.Wait(); err != nil {
		b.Fatal(err)
	}
}

// submitAtRate submits jobs at a rate in tasks per second for a period.
func (h *benchHarness) submitAtRate(b *testing.B, rate float64, period time.Duration) {
	if rate == 0 {
		<-h.Clock.After(period)
		return
	}
	ticker := h.Clock.NewTicker(time.Duration(float64(time.Second) * benchTasksPerJob / rate))
	defer ticker.Stop()
	for end := h.Clock.Now().Add(period); h.Clock.Now().Before(end); <-ticker.Chan() {
		h.submitJob(b)
	}
}

// BenchmarkShard measures the processor time, syncs, task starts and table accesses of a
// shard per second of real time: with idle workers, with workers that run tasks, and with
// starts at the rate of the installation size expected in two years. It excludes the
// encoding of syncs. One iteration takes 10 s, so it needs -benchtime 1x.
func BenchmarkShard(b *testing.B) {
	for _, workers := range benchWorkerCounts {
		b.Run(fmt.Sprintf("workers=%d/idle", workers), func(b *testing.B) { benchmarkLoad(b, workers, 0, 0) })
		b.Run(fmt.Sprintf("workers=%d/running", workers), func(b *testing.B) { benchmarkLoad(b, workers, benchTasksPerWorker, 0) })
		b.Run(fmt.Sprintf("workers=%d/starting", workers), func(b *testing.B) { benchmarkLoad(b, workers, 0, benchStartsPerWorkerSecond) })
	}
}

func benchmarkLoad(b *testing.B, workers, running int, startsPerWorker float64) {
	for range b.N {
		h := startBenchHarness(b, workers, running)
		rate := startsPerWorker * float64(workers)
		h.awaitRecovery()
		h.submitAtRate(b, rate, benchWarmup)
		processorBefore, started := process.CPUTime(), h.Clock.Now()
		syncsBefore, startsBefore := h.workers.counts()
		commitsBefore, rowsBefore, readsBefore := h.store.counts()
		h.submitAtRate(b, rate, benchMeasurePeriod)
		processor, seconds := process.CPUTime()-processorBefore, h.Clock.Since(started).Seconds()
		syncsAfter, startsAfter := h.workers.counts()
		commitsAfter, rowsAfter, readsAfter := h.store.counts()
		h.close(b)
		b.ReportMetric(100*processor.Seconds()/seconds, "core-%")
		b.ReportMetric(float64(syncsAfter-syncsBefore)/seconds, "syncs/s")
		b.ReportMetric(float64(startsAfter-startsBefore)/seconds, "starts/s")
		b.ReportMetric(float64(processor.Microseconds())/float64(syncsAfter-syncsBefore), "cpu-µs/sync")
		b.ReportMetric(float64(commitsAfter-commitsBefore)/seconds, "commits/s")
		b.ReportMetric(float64(rowsAfter-rowsBefore)/seconds, "rows/s")
		b.ReportMetric(float64(readsAfter-readsBefore)/seconds, "reads/s")
	}
}

// BenchmarkRecovery measures the time and the processor time until a new owner has
// recovered the jobs and running tasks of a shard, and the heap that the shard then uses.
func BenchmarkRecovery(b *testing.B) {
	for _, workers := range benchWorkerCounts {
		for _, running := range []int{0, benchTasksPerWorker} {
			b.Run(fmt.Sprintf("workers=%d/tasks=%d", workers, running), func(b *testing.B) { benchmarkTakeover(b, workers, running) })
		}
	}
}

func benchmarkTakeover(b *testing.B, workers, running int) {
	for range b.N {
		processorBefore := process.CPUTime()
		h := startBenchHarness(b, workers, running)
		elapsed := h.awaitRecovery()
		b.ReportMetric(float64((process.CPUTime()-processorBefore).Microseconds())/float64(workers), "cpu-µs/worker")
		b.ReportMetric(float64(elapsed.Milliseconds()), "ms/takeover")
		<-h.Clock.After(2 * SyncInterval)
		heapWithShard := process.HeapBytes()
		h.close(b)
		h.Shard = nil
		heapWithoutShard := process.HeapBytes()
		b.ReportMetric(float64(heapWithShard-heapWithoutShard)/float64(workers), "B/worker")
		runtime.KeepAlive(h)
	}
}
