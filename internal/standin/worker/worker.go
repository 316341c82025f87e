// Package worker is a stand-in for a worker: it speaks the control protocol and
// simulates the tasks that it is told to run.
//
// The worker enforces the fencing of a shard: it rejects sync requests that have a
// superseded epoch or whose basis isn't its last response, and it stops every task
// when its lease ends. It doesn't check its capacity: it starts tasks beyond it when
// told to, and records the overcommit in its journal.
package worker

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
	protocol "github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/object"
	"github.com/jacinthtrail/jacinthtrail/internal/standin/journal"
)

// Defaults for the time settings of a Worker that are zero.
const (
	// DefaultStopTime bounds the time to stop a task, including its last checkpoint.
	// The owner of a shard relies on this bound (its MaxStopTime) when it waits for an
	// unreachable worker.
	DefaultStopTime = 2 * time.Second
	// DefaultUsageLag is the minimum age of a usage sample when it is reported.
	DefaultUsageLag = 2 * time.Second
	// DefaultUsagePeriod is the period that a usage sample covers.
	DefaultUsagePeriod = time.Second
	// DefaultTick is the interval at which Run advances the simulated tasks. It
	// bounds how late a task stops after the end of its lease.
	DefaultTick = 20 * time.Millisecond
)

// Faults are the faults injected into a worker. The zero value is a healthy worker.
type Faults struct {
	// FailEverything makes each task fail once its payload is loaded.
	FailEverything bool
	// SlowFactor divides the speed of tasks; 0 means 1.
	SlowFactor float64
	// Hang blocks sync requests until the fault is cleared.
	Hang bool
}

// Worker is a simulated worker. ID and Capacity must be set before its first use.
// It is safe for concurrent use.
type Worker struct {
	ID       membership.InstanceID
	Capacity resource.Vector
	// Clock measures leases and task run times; nil means the system clock.
	Clock clockwork.Clock
	// ObjectStore holds payloads and checkpoints; nil means an unavailable store.
	ObjectStore object.Store
	// Incarnation identifies this worker process; it changes with each restart.
	Incarnation string
	// FirstCounter is the counter of the first response; 0 means 1. A worker that
	// restarts at its old address sets it above all counters of its earlier
	// incarnations, so that a delayed sync request to one of them is rejected.
	FirstCounter protocol.Counter
	StopTime     time.Duration
	UsageLag     time.Duration
	UsagePeriod  time.Duration
	Tick         time.Duration
	// Journal receives an Event for everything that checks of safety need.
	Journal journal.Journal[Event]

	mu       sync.Mutex
	shard    protocol.ShardID
	epoch    protocol.Epoch
	counter  protocol.Counter
	sentAt   time.Time
	leaseEnd time.Time
	tasks    []*task
	// latestAttempts has the highest started attempt of each task. It is kept after
	// the acknowledgement so that no old attempt starts again.
	latestAttempts map[protocol.TaskID]protocol.Attempt
	faults         Faults
	state          membership.State
	// hangEnded is closed when Faults.Hang is cleared; nil if the worker doesn't hang.
	hangEnded  chan struct{}
	usage      usageRecorder
	storeCalls sync.WaitGroup
}

// Sync executes a request as protocol.Syncer documents it. Its errors are
// protocol.ErrStaleEpoch, protocol.ErrStaleBasis (the response is then valid) and
// protocol.ErrInvalid.
func (w *Worker) Sync(request protocol.SyncRequest) (protocol.SyncResponse, error) {
	if err := validateSync(request); err != nil {
		return protocol.SyncResponse{}, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.clock().Now()
	w.advance(now)
	if request.Epoch < w.epoch {
		// The counter doesn't change: it would invalidate the basis of the new owner,
		// which a superseded owner must not disturb.
		w.recordRefusal(now, protocol.TaskAttempt{}, string(protocol.ConflictEpoch))
		return w.newResponse(now), protocol.ErrStaleEpoch
	}
	if request.Basis == 0 {
		w.recordEpoch(now, request)
		w.incrementCounter(now)
		return w.newResponse(now), nil
	}
	if !w.isBasisCurrent(now, request) {
		w.recordRefusal(now, protocol.TaskAttempt{}, string(protocol.ConflictBasis))
		// A new counter ensures that no other sync request in flight is accepted after
		// the owner has learned the worker's state from this response.
		w.incrementCounter(now)
		return w.newResponse(now), protocol.ErrStaleBasis
	}
	w.leaseEnd = w.sentAt.Add(request.LeaseTerm)
	refusals := w.executeCommands(now, request)
	w.advance(now)
	w.incrementCounter(now)
	response := w.newResponse(now)
	response.Refusals = refusals
	response.Usage = w.usage.takeSamples(now, w.usageLag())
	return response, nil
}

func validateSync(request protocol.SyncRequest) error {
	commandCount := len(request.Start) + len(request.Stop) + len(request.Throttle) + len(request.Acknowledge)
	if request.Basis == 0 && commandCount > 0 {
		return invalidRequest("commands require a basis")
	}
	if request.Basis != 0 && request.LeaseTerm <= 0 {
		return invalidRequest("a basis requires a positive lease term")
	}
	return nil
}

// recordEpoch stores the epoch and shard of a new owner. The lease doesn't change:
// the new owner must be able to take over the running tasks.
func (w *Worker) recordEpoch(now time.Time, request protocol.SyncRequest) {
	if request.Epoch == w.epoch && request.Shard == w.shard {
		return
	}
	w.epoch = request.Epoch
	w.shard = request.Shard
	w.record(now, Event{Kind: EventEpoch})
}

// isBasisCurrent reports whether the request's basis is the last response and that
// response is younger than the lease term. A new owner must first have set its epoch
// with a request without a basis.
func (w *Worker) isBasisCurrent(now time.Time, request protocol.SyncRequest) bool {
	return request.Epoch == w.epoch &&
		request.Basis == w.counter &&
		request.Incarnation == w.Incarnation &&
		now.Sub(w.sentAt) < request.LeaseTerm
}

// incrementCounter assigns the next counter to the response sent now.
func (w *Worker) incrementCounter(now time.Time) {
	if w.counter == 0 && w.FirstCounter > 0 {
		w.counter = w.FirstCounter - 1
	}
	w.counter++
	w.sentAt = now
}

func (w *Worker) newResponse(now time.Time) protocol.SyncResponse {
	response := protocol.SyncResponse{
		Epoch:       w.epoch,
		Counter:     w.counter,
		Incarnation: w.Incarnation,
		Capacity:    w.Capacity,
		Tasks:       make([]protocol.TaskStatus, 0, len(w.tasks)),
	}
	for _, t := range w.tasks {
		t.advance(now, w.slowFactor())
		response.Tasks = append(response.Tasks, t.status())
	}
	return response
}

// Run advances the simulated tasks with the clock until ctx ends. Without it, they
// advance only when a sync request arrives or Advance is called.
func (w *Worker) Run(ctx context.Context) error {
	ticker := w.clock().NewTicker(durationOrDefault(w.Tick, DefaultTick))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
			w.Advance()
		}
	}
}

// Advance advances the simulated tasks to the clock's current time.
func (w *Worker) Advance() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(w.clock().Now())
}

// WaitForStore returns when no read or write of the object store is in progress. It must not
// be called concurrently with Sync.
func (w *Worker) WaitForStore() {
	w.storeCalls.Wait()
}

// SetFaults replaces the worker's faults.
func (w *Worker) SetFaults(faults Faults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(w.clock().Now())
	w.faults = faults
	if w.hangEnded != nil && !faults.Hang {
		close(w.hangEnded)
		w.hangEnded = nil
	}
	if w.hangEnded == nil && faults.Hang {
		w.hangEnded = make(chan struct{})
	}
}

// SetState replaces the state that the worker announces. Its tasks continue.
func (w *Worker) SetState(state membership.State) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.state = state
}

// Describe returns the instance with the worker's current state filled in.
func (w *Worker) Describe(instance membership.Instance) membership.Instance {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.state != "" {
		instance.State = w.state
	}
	return instance
}

// waitUntilHangEnds returns when the worker doesn't hang, or with the error of ctx.
func (w *Worker) waitUntilHangEnds(ctx context.Context) error {
	w.mu.Lock()
	hangEnded := w.hangEnded
	w.mu.Unlock()
	if hangEnded == nil {
		return ctx.Err()
	}
	select {
	case <-hangEnded:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (w *Worker) clock() clockwork.Clock {
	if w.Clock == nil {
		return systemClock
	}
	return w.Clock
}

var systemClock = clockwork.NewRealClock()

func (w *Worker) stopTime() time.Duration {
	return durationOrDefault(w.StopTime, DefaultStopTime)
}

func (w *Worker) usageLag() time.Duration {
	return durationOrDefault(w.UsageLag, DefaultUsageLag)
}

func (w *Worker) slowFactor() float64 {
	if w.faults.SlowFactor <= 0 {
		return 1
	}
	return w.faults.SlowFactor
}

func durationOrDefault(value, defaultValue time.Duration) time.Duration {
	if value > 0 {
		return value
	}
	return defaultValue
}

func (w *Worker) record(now time.Time, event Event) {
	event.Time = now
	event.Worker = w.ID
	event.Incarnation = w.Incarnation
	event.Shard = w.shard
	event.Epoch = w.epoch
	event.InUse, event.ObservedInUse = w.resourcesInUse()
	event.Capacity = w.Capacity
	w.Journal.Add(event)
}

func (w *Worker) recordTask(now time.Time, kind EventKind, t *task) {
	w.record(now, Event{
		Kind:        kind,
		Until:       t.progressedTo,
		TaskAttempt: t.start.TaskAttempt,
		State:       t.state,
		Progress:    t.workDone,
		Work:        t.payload.Work,
		Checkpoint:  t.checkpoint,
		Resources:   t.start.Resources,
		Reason:      t.reason,
	})
}

func (w *Worker) recordRefusal(now time.Time, attempt protocol.TaskAttempt, reason string) {
	w.record(now, Event{Kind: EventRefusal, TaskAttempt: attempt, Reason: reason})
}

func (w *Worker) resourcesInUse() (reserved, observed resource.Vector) {
	for _, t := range w.tasks {
		if !t.state.IsFinal() {
			reserved = reserved.Add(t.start.Resources)
			observed = observed.Add(t.currentUse())
		}
	}
	return reserved, observed
}
