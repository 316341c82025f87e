package shard

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
	"github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
	"github.com/jacinthtrail/jacinthtrail/internal/caller/job"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/placement"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/manifest"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/table"
	standin "github.com/jacinthtrail/jacinthtrail/internal/standin/worker"
)

// BenchmarkRecoveryOfFleet measures the time that a new owner takes to load the jobs and
// to recover the running tasks from stand-in workers in the same process, in ms per
// recovery. It excludes the network and the encoding of syncs.
func BenchmarkRecoveryOfFleet(b *testing.B) {
	for _, workers := range []int{50, 200, 1000} {
		for _, tasks := range []int{10, 100} {
			b.Run(fmt.Sprintf("workers=%d/tasks=%d", workers, tasks), func(b *testing.B) {
				benchmarkFleetRecovery(b, workers, tasks)
			})
		}
	}
}

func benchmarkFleetRecovery(b *testing.B, workers, tasks int) {
	f := newFleet(b, workers, tasks)
	var elapsed time.Duration
	for epoch := worker.Epoch(2); b.Loop(); epoch++ {
		started := time.Now()
		if running := f.recoverShard(b, epoch); running != workers*tasks {
			b.Fatalf("recovered %d tasks, want %d", running, workers*tasks)
		}
		elapsed += time.Since(started)
		b.StopTimer()
		f.renewLeases(b, epoch)
		b.StartTimer()
	}
	b.ReportMetric(float64(elapsed.Microseconds())/1000/float64(b.N), "ms/recovery")
}

// fleet is a zone of stand-in workers that run long tasks, one job per worker. It also
// provides the membership list, manifest and table for a shard.
type fleet struct {
	workers  map[string]*standin.Worker
	snapshot membership.Snapshot
	store    table.Memory
}

// fleetShardID is the shard of the fleet.
var fleetShardID = worker.ShardID{Zone: "zone-a"}

const fleetClass = "build"

func newFleet(tb testing.TB, workers, tasks int) *fleet {
	f := &fleet{workers: map[string]*standin.Worker{}, snapshot: membership.Snapshot{Revision: 1}}
	capacity := resource.Vector{Processors: 1 << 20, Memory: 1 << 40}
	var rows []workerRow
	var writes []table.Write
	for n := range workers {
		id := membership.InstanceID("worker-" + strconv.Itoa(n))
		address := string(id)
		f.workers[address] = &standin.Worker{ID: id, Capacity: capacity, Incarnation: "first"}
		f.snapshot.Instances = append(f.snapshot.Instances, membership.Instance{
			ID: id, Kind: membership.Worker, State: membership.Live, Zone: fleetShardID.Zone, Address: address, Capacity: capacity,
		})
		rows = append(rows, workerRow{ID: id, Address: address})
		record := job.Record{
			ID: job.NewID("rotas", job.CallerKey(id)), Team: "rotas", Key: job.CallerKey(id), State: job.Queued,
			Spec: job.Spec{Class: fleetClass, Priority: job.Normal, Tasks: tasks},
		}
		writes = append(writes, encodedWrite(tb, job.RecordRow(fleetShardID, record.ID), record))
		f.startTasks(tb, f.workers[address], record.ID, tasks)
	}
	writes = append(writes, encodedWrite(tb, WorkersKey(fleetShardID), rows))
	_, err := f.store.Commit(context.Background(), table.Transaction{ID: "setup", Writes: writes})
	requireNoError(tb, err)
	return f
}

func encodedWrite(tb testing.TB, key table.Key, value any) table.Write {
	content, err := json.Marshal(value)
	requireNoError(tb, err)
	return table.Write{Key: key, Value: content}
}

func requireNoError(tb testing.TB, err error) {
	if err != nil {
		tb.Fatal(err)
	}
}

// startTasks starts tasks on a worker on behalf of an owner at epoch 1.
func (f *fleet) startTasks(tb testing.TB, w *standin.Worker, id worker.JobID, tasks int) {
	payload, err := json.Marshal(standin.Payload{Work: time.Hour})
	requireNoError(tb, err)
	request := f.renewalRequest(tb, w, 1)
	request.StartWithin = time.Hour
	for index := range tasks {
		request.Start = append(request.Start, worker.StartTask{
			TaskAttempt: worker.TaskAttempt{Task: job.NewTaskID(id, index), Attempt: 1},
			Class:       fleetClass, Resources: resource.Vector{Processors: 100, Memory: 1 << 20}, Payload: payload,
		})
	}
	_, err = w.Sync(request)
	requireNoError(tb, err)
}

// renewalRequest returns a sync request that renews the worker's lease, based on a
// response that it gets from the worker.
func (f *fleet) renewalRequest(tb testing.TB, w *standin.Worker, epoch worker.Epoch) worker.SyncRequest {
	response, err := w.Sync(worker.SyncRequest{Shard: fleetShardID, Epoch: epoch})
	requireNoError(tb, err)
	return worker.SyncRequest{
		Shard: fleetShardID, Epoch: epoch, Basis: response.Counter, Incarnation: response.Incarnation, LeaseTerm: time.Hour,
	}
}

// renewLeases renews the leases of all workers, so that they last until the next recovery.
func (f *fleet) renewLeases(b *testing.B, epoch worker.Epoch) {
	for _, w := range f.workers {
		_, err := w.Sync(f.renewalRequest(b, w, epoch))
		requireNoError(b, err)
	}
}

// recoverShard runs the shard at the given epoch until it has recovered, and returns the
// number of running tasks that it found.
func (f *fleet) recoverShard(b *testing.B, epoch worker.Epoch) int {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	recovered := make(recoveredSignal, 1)
	s := New(&Shard{
		ID: fleetShardID, Epoch: epoch, Ownership: denyStarts{}, Permit: denyStarts{}, Destinations: denyStarts{},
		Membership: f, Configuration: f, Store: &f.store, Workers: f, Counters: recovered, Recorder: denyStarts{},
		Clock: clockwork.NewRealClock(),
	})
	var group errgroup.Group
	group.Go(func() error { return s.Run(ctx) })
	<-recovered
	running := s.Summary().Running
	cancel()
	requireNoError(b, group.Wait())
	return running
}

// Sync passes a request to the worker at the given address.
func (f *fleet) Sync(_ context.Context, address string, request worker.SyncRequest) (worker.SyncResponse, error) {
	return f.workers[address].Sync(request)
}

// Snapshot returns the membership list of the workers.
func (f *fleet) Snapshot() membership.Snapshot {
	return f.snapshot
}

// Current returns a manifest that defines the class and the team of the tasks.
func (f *fleet) Current() manifest.Published {
	return manifest.Published{Version: 1, Manifest: manifest.Manifest{
		Limits:  manifest.Limits{ShardsPerZone: 1},
		Teams:   []manifest.Team{{Name: "rotas", Weight: 1, Quota: resource.Vector{Processors: 1 << 40, Memory: 1 << 50}}},
		Classes: []manifest.Class{{Name: fleetClass, Team: "rotas", Resources: resource.Vector{Processors: 100, Memory: 1 << 20}}},
	}}
}

// recoveredSignal receives a value when a shard has recovered.
type recoveredSignal chan struct{}

// Add sends to the channel when the shard counts a recovery.
func (r recoveredSignal) Add(name string, _ int64) {
	if name == "Takeover.Recovered" {
		r <- struct{}{}
	}
}

// denyStarts has authority over the shard but permits no starts.
type denyStarts struct{}

func (denyStarts) AuthorityUntil(now time.Time) (time.Time, bool) { return now.Add(time.Hour), true }

func (denyStarts) EarlierOwnersUntil() time.Time { return time.Time{} }

func (denyStarts) ReadRow(context.Context, worker.ShardID, worker.Epoch) (table.Condition, bool, error) {
	return table.Condition{Key: "shard/zone-a/0"}, true, nil
}

func (denyStarts) StartsUntil(time.Time) (time.Time, bool) { return time.Time{}, false }

func (denyStarts) IsOutOfService() bool { return false }

func (denyStarts) StartRateLimit(time.Time) int { return 0 }

func (denyStarts) Destination(time.Time) (worker.ShardID, bool) { return worker.ShardID{}, false }

func (denyStarts) RecordDecision(time.Time, placement.Decision) {}
