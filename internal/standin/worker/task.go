package worker

import (
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
	protocol "github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/object"
)

// Payload describes what a simulated task does. It is JSON in StartTask.Payload or in
// the object StartTask.PayloadKey.
type Payload struct {
	// Work is the run time of the task without throttling on a worker without faults.
	Work time.Duration
	// Observed is the task's actual resource use; zero means its declared resources.
	Observed resource.Vector
	// Fail makes the task fail with FailReason when its work is done.
	Fail       bool
	FailReason string
	// CheckpointEvery is the time between checkpoints; 0 means only on stop.
	CheckpointEvery time.Duration
	Result          string
}

// Checkpoint is the content of a checkpoint object.
type Checkpoint struct {
	protocol.TaskAttempt
	Done time.Duration
}

// fullShare is the processor share of an unthrottled task, in thousandths.
const fullShare = 1000

// task is one attempt of a task on the worker. It is guarded by the worker's mutex.
type task struct {
	start   protocol.StartTask
	payload Payload
	state   protocol.TaskState
	// loaded is set once the payload and the checkpoint to resume from have been read.
	loaded bool
	// workDone is the work completed up to the time progressedTo.
	workDone     time.Duration
	progressedTo time.Time
	share        int

	checkpoint       object.Key
	checkpointedWork time.Duration
	nextCheckpoint   time.Time
	// writingCheckpoint is set while a checkpoint write is in progress. There is at most
	// one per task, so that an older checkpoint can't overwrite a newer one.
	writingCheckpoint bool

	// sampledWork is workDone at the end of the last usage period.
	sampledWork time.Duration

	stopDeadline time.Time
	reason       string
	result       []byte
}

func newTask(start protocol.StartTask, now time.Time) *task {
	return &task{
		start:        start,
		state:        protocol.Running,
		progressedTo: now,
		share:        fullShare,
		checkpoint:   start.Checkpoint,
	}
}

// begin sets the task's payload and the work that is saved in its checkpoint.
func (t *task) begin(payload Payload, done time.Duration, now time.Time) {
	t.payload = payload
	t.workDone = done
	t.checkpointedWork = done
	t.sampledWork = done
	t.progressedTo = now
	t.nextCheckpoint = now.Add(payload.CheckpointEvery)
	t.loaded = true
}

// advance adds the work done up to now, at the task's share divided by slowFactor.
func (t *task) advance(now time.Time, slowFactor float64) {
	if t.state != protocol.Running || !now.After(t.progressedTo) {
		return
	}
	elapsed := now.Sub(t.progressedTo)
	t.progressedTo = now
	if !t.loaded {
		return
	}
	rate := float64(t.share) / fullShare / slowFactor
	t.workDone = min(t.workDone+time.Duration(float64(elapsed)*rate), t.payload.Work)
}

func (t *task) isComplete() bool {
	return t.state == protocol.Running && t.loaded && t.workDone >= t.payload.Work
}

// complete sets the final state of a task whose work is done.
func (t *task) complete() {
	if t.payload.Fail {
		t.fail(t.payload.FailReason)
		return
	}
	t.state = protocol.Succeeded
	t.result = []byte(t.payload.Result)
}

func (t *task) fail(reason string) {
	t.state = protocol.Failed
	t.reason = reason
}

// canCheckpoint reports whether the task writes checkpoints and has progressed since
// the last one.
func (t *task) canCheckpoint() bool {
	return t.loaded && t.start.CheckpointTo != "" && t.workDone > t.checkpointedWork
}

func (t *task) isCheckpointDue(now time.Time) bool {
	return t.state == protocol.Running && t.payload.CheckpointEvery > 0 && !t.writingCheckpoint &&
		t.canCheckpoint() && !now.Before(t.nextCheckpoint)
}

// currentUse returns the resources that the task uses now.
func (t *task) currentUse() resource.Vector {
	if t.state.IsFinal() {
		return resource.Vector{}
	}
	return t.runningUse()
}

// runningUse returns the resources that the task uses while it runs. A throttled task
// uses fewer processors.
func (t *task) runningUse() resource.Vector {
	use := t.payload.Observed
	if use.IsZero() {
		use = t.start.Resources
	}
	use.Processors = use.Processors * resource.MilliProcessors(t.share) / fullShare
	return use
}

// progress returns the completed share of the work in thousandths. Only a task that
// succeeded reports 1000.
func (t *task) progress() int {
	if t.state == protocol.Succeeded {
		return 1000
	}
	if t.payload.Work <= 0 {
		return 0
	}
	return min(999, int(float64(t.workDone)/float64(t.payload.Work)*1000))
}

func (t *task) status() protocol.TaskStatus {
	return protocol.TaskStatus{
		TaskAttempt: t.start.TaskAttempt,
		Class:       t.start.Class,
		State:       t.state,
		Resources:   t.start.Resources,
		Observed:    t.currentUse(),
		Progress:    t.progress(),
		Result:      t.result,
		Reason:      t.reason,
		Checkpoint:  t.checkpoint,
	}
}
