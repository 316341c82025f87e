// Package worker is a stand-in for a worker: it speaks the control protocol and
// simulates the tasks that it is told to run.
//
// The worker is the fence of a shard. It refuses superseded epochs and syncs that
// don't build on its last answer, and it stops every task when its lease ends. It
// carries out an overcommit that it is told to do and records it in its journal.
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

// Times of a worker that a Worker's zero settings stand for.
const (
	// DefaultStopTime bounds the stop of a task including its checkpoint. It is the
	// StopTime on which the owner's wait for an unreachable worker relies.
	DefaultStopTime = 2 * time.Second
	// DefaultUsageLag is the age at which a usage sample is first reported.
	DefaultUsageLag = 2 * time.Second
	// DefaultUsagePeriod is the length of the period of a usage sample.
	DefaultUsagePeriod = time.Second
	// DefaultTick is how often Run lets simulated time pass. It bounds how late a
	// task stops after the end of its lease.
	DefaultTick = 20 * time.Millisecond
)

// Faults are what is wrong with a worker. The zero value is a healthy worker.
type Faults struct {
	// FailEverything makes each task fail as soon as it runs.
	FailEverything bool
	// SlowFactor divides the speed of tasks; 0 means 1.
	SlowFactor float64
	// Hang leaves sync requests unanswered until it is lifted.
	Hang bool
}

// Worker is a simulated worker. ID and Capacity must be set before its first use.
// It is safe for concurrent use.
type Worker struct {
	ID       membership.InstanceID
	Capacity resource.Vector
	// Clock measures leases and runs; nil means the system clock.
	Clock clockwork.Clock
	// ObjectStore holds payloads and checkpoints; nil means that it is unavailable.
	ObjectStore object.Store
	// Incarnation names this worker process; it changes with each restart.
	Incarnation string
	// FirstCounter is the counter of the first answer; 0 means 1. A worker that
	// restarts under its old address sets it above all counters of its earlier
	// incarnations, so that a delayed sync to one of them is refused.
	FirstCounter protocol.Counter
	StopTime     time.Duration
	UsageLag     time.Duration
	UsagePeriod  time.Duration
	Tick         time.Duration
	// Journal receives an Event for everything that bears on safety.
	Journal journal.Journal[Event]

	mu       sync.Mutex
	shard    protocol.ShardID
	epoch    protocol.Epoch
	counter  protocol.Counter
	sent     time.Time
	leaseEnd time.Time
	tasks    []*task
	// latest is the highest attempt that was started of each task, kept after the
	// acknowledgement so that no old attempt starts again.
	latest map[protocol.TaskID]protocol.Attempt
	faults Faults
	state  membership.State
	// healed is closed when Hang is lifted.
	healed chan struct{}
	usage  usage
	work   sync.WaitGroup
}

// Sync carries out a request as Syncer documents it. Its errors are
// protocol.ErrStaleEpoch, protocol.ErrStaleBasis (the answer is then valid) and
// protocol.ErrInvalid.
func (w *Worker) Sync(request protocol.SyncRequest) (protocol.SyncResponse, error) {
	if err := validate(request); err != nil {
		return protocol.SyncResponse{}, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.clock().Now()
	w.advance(now)
	if request.Epoch < w.epoch {
		// The counter stays as it is: a deposed owner must not disturb its successor.
		w.refuse(now, protocol.TaskAttempt{}, string(protocol.ConflictEpoch))
		return w.answer(now), protocol.ErrStaleEpoch
	}
	if request.Basis == 0 {
		w.raise(now, request)
		w.count(now)
		return w.answer(now), nil
	}
	if !w.buildsOnLast(now, request) {
		w.refuse(now, protocol.TaskAttempt{}, string(protocol.ConflictBasis))
		// A new counter ensures that no other sync in flight is accepted after the
		// owner has learned the state from this answer.
		w.count(now)
		return w.answer(now), protocol.ErrStaleBasis
	}
	w.leaseEnd = w.sent.Add(request.LeaseTerm)
	refusals := w.carryOut(now, request)
	w.advance(now)
	w.count(now)
	answer := w.answer(now)
	answer.Refusals = refusals
	answer.Usage = w.usage.take(now, w.usageLag())
	return answer, nil
}

func validate(request protocol.SyncRequest) error {
	commands := len(request.Start) + len(request.Stop) + len(request.Throttle) + len(request.Acknowledge)
	if request.Basis == 0 && commands > 0 {
		return invalid("commands without a basis")
	}
	if request.Basis != 0 && request.LeaseTerm <= 0 {
		return invalid("a basis without a lease term")
	}
	return nil
}

// raise records the epoch and shard of an owner. The lease runs on: the owner must
// be able to take over the running tasks.
func (w *Worker) raise(now time.Time, request protocol.SyncRequest) {
	if request.Epoch == w.epoch && request.Shard == w.shard {
		return
	}
	w.epoch = request.Epoch
	w.shard = request.Shard
	w.record(now, Event{Kind: EventEpoch})
}

// buildsOnLast reports whether the request names the last answer and that answer is
// younger than the lease term. An owner must have raised the epoch before.
func (w *Worker) buildsOnLast(now time.Time, request protocol.SyncRequest) bool {
	return request.Epoch == w.epoch &&
		request.Basis == w.counter &&
		request.Incarnation == w.Incarnation &&
		now.Sub(w.sent) < request.LeaseTerm
}

// count numbers the answer that is sent now.
func (w *Worker) count(now time.Time) {
	if w.counter == 0 && w.FirstCounter > 0 {
		w.counter = w.FirstCounter - 1
	}
	w.counter++
	w.sent = now
}

func (w *Worker) answer(now time.Time) protocol.SyncResponse {
	answer := protocol.SyncResponse{
		Epoch:       w.epoch,
		Counter:     w.counter,
		Incarnation: w.Incarnation,
		Capacity:    w.Capacity,
		Tasks:       make([]protocol.TaskStatus, 0, len(w.tasks)),
	}
	for _, t := range w.tasks {
		t.run(now, w.slowFactor())
		answer.Tasks = append(answer.Tasks, t.status())
	}
	return answer
}

// Run lets simulated time pass until ctx ends. Without it, time passes only when
// a sync arrives or Advance is called.
func (w *Worker) Run(ctx context.Context) error {
	ticker := w.clock().NewTicker(orDefault(w.Tick, DefaultTick))
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

// Advance lets simulated time pass up to the present.
func (w *Worker) Advance() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(w.clock().Now())
}

// Wait returns when no read or write of the object store is under way. It must not
// be called together with Sync.
func (w *Worker) Wait() {
	w.work.Wait()
}

// SetFaults replaces the worker's faults.
func (w *Worker) SetFaults(faults Faults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(w.clock().Now())
	w.faults = faults
	if w.healed != nil && !faults.Hang {
		close(w.healed)
		w.healed = nil
	}
	if w.healed == nil && faults.Hang {
		w.healed = make(chan struct{})
	}
}

// SetState replaces the state that the worker announces. It goes on with its tasks.
func (w *Worker) SetState(state membership.State) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.state = state
}

// Describe returns the instance with the worker's present state filled in.
func (w *Worker) Describe(instance membership.Instance) membership.Instance {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.state != "" {
		instance.State = w.state
	}
	return instance
}

// awaitHealed returns when the worker does not hang, or with the error of ctx.
func (w *Worker) awaitHealed(ctx context.Context) error {
	w.mu.Lock()
	healed := w.healed
	w.mu.Unlock()
	if healed == nil {
		return ctx.Err()
	}
	select {
	case <-healed:
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
	return orDefault(w.StopTime, DefaultStopTime)
}

func (w *Worker) usageLag() time.Duration {
	return orDefault(w.UsageLag, DefaultUsageLag)
}

func (w *Worker) slowFactor() float64 {
	if w.faults.SlowFactor <= 0 {
		return 1
	}
	return w.faults.SlowFactor
}

func orDefault(value, otherwise time.Duration) time.Duration {
	if value > 0 {
		return value
	}
	return otherwise
}

func (w *Worker) record(now time.Time, event Event) {
	event.Time = now
	event.Worker = w.ID
	event.Incarnation = w.Incarnation
	event.Shard = w.shard
	event.Epoch = w.epoch
	event.InUse, event.ObservedInUse = w.inUse()
	event.Capacity = w.Capacity
	w.Journal.Add(event)
}

func (w *Worker) recordTask(now time.Time, kind EventKind, t *task) {
	w.record(now, Event{
		Kind:        kind,
		Until:       t.ran,
		TaskAttempt: t.start.TaskAttempt,
		State:       t.state,
		Progress:    t.done,
		Work:        t.payload.Work,
		Checkpoint:  t.checkpoint,
		Resources:   t.start.Resources,
		Reason:      t.reason,
	})
}

func (w *Worker) refuse(now time.Time, attempt protocol.TaskAttempt, reason string) {
	w.record(now, Event{Kind: EventRefusal, TaskAttempt: attempt, Reason: reason})
}

func (w *Worker) inUse() (reserved, observed resource.Vector) {
	for _, t := range w.tasks {
		if !t.state.IsFinal() {
			reserved = reserved.Add(t.start.Resources)
			observed = observed.Add(t.observed())
		}
	}
	return reserved, observed
}
