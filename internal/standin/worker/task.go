package worker

import (
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
	protocol "github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/object"
)

// Payload is what a simulated task does, as JSON in StartTask.Payload or in the
// object PayloadKey.
type Payload struct {
	// Work is the run time of the task at its full share on an undisturbed instance.
	Work time.Duration
	// Observed is what the task really uses; zero means what it declared.
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

// fullShare is the share of an unthrottled task, in thousandths.
const fullShare = 1000

// task is one start of a task on the worker. It is guarded by the worker's mutex.
type task struct {
	start   protocol.StartTask
	payload Payload
	state   protocol.TaskState
	// loaded is set once the payload and the checkpoint to resume from are known.
	loaded bool
	// done is the work done up to the time ran.
	done  time.Duration
	ran   time.Time
	share int

	checkpoint     object.Key
	checkpointed   time.Duration
	nextCheckpoint time.Time
	// writing is set while a checkpoint write is under way. There is at most one per
	// task, so that an older one can't overwrite a newer one.
	writing bool

	// sampled is the work done at the end of the last usage period.
	sampled time.Duration

	stopDeadline time.Time
	reason       string
	result       []byte
}

func newTask(start protocol.StartTask, now time.Time) *task {
	return &task{
		start:      start,
		state:      protocol.Running,
		ran:        now,
		share:      fullShare,
		checkpoint: start.Checkpoint,
	}
}

// load sets what the task does and where it resumes.
func (t *task) load(payload Payload, done time.Duration, now time.Time) {
	t.payload = payload
	t.done = done
	t.checkpointed = done
	t.sampled = done
	t.ran = now
	t.nextCheckpoint = now.Add(payload.CheckpointEvery)
	t.loaded = true
}

// run counts progress up to now at the task's share, divided by slowFactor.
func (t *task) run(now time.Time, slowFactor float64) {
	if t.state != protocol.Running || !now.After(t.ran) {
		return
	}
	elapsed := now.Sub(t.ran)
	t.ran = now
	if !t.loaded {
		return
	}
	rate := float64(t.share) / fullShare / slowFactor
	t.done = min(t.done+time.Duration(float64(elapsed)*rate), t.payload.Work)
}

func (t *task) isComplete() bool {
	return t.state == protocol.Running && t.loaded && t.done >= t.payload.Work
}

// finish makes the task final once its work is done.
func (t *task) finish() {
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

// canCheckpoint reports whether a checkpoint would keep progress that the last one
// lacks.
func (t *task) canCheckpoint() bool {
	return t.loaded && t.start.CheckpointTo != "" && t.done > t.checkpointed
}

func (t *task) isCheckpointDue(now time.Time) bool {
	return t.state == protocol.Running && t.payload.CheckpointEvery > 0 && !t.writing &&
		t.canCheckpoint() && !now.Before(t.nextCheckpoint)
}

// observed is what the task uses now.
func (t *task) observed() resource.Vector {
	if t.state.IsFinal() {
		return resource.Vector{}
	}
	return t.use()
}

// use is what the task uses while it runs. A throttled task uses less of its
// processors.
func (t *task) use() resource.Vector {
	use := t.payload.Observed
	if use.IsZero() {
		use = t.start.Resources
	}
	use.Processors = use.Processors * resource.MilliProcessors(t.share) / fullShare
	return use
}

// progress is in thousandths; only a task that succeeded reports the whole.
func (t *task) progress() int {
	if t.state == protocol.Succeeded {
		return 1000
	}
	if t.payload.Work <= 0 {
		return 0
	}
	return min(999, int(float64(t.done)/float64(t.payload.Work)*1000))
}

func (t *task) status() protocol.TaskStatus {
	return protocol.TaskStatus{
		TaskAttempt: t.start.TaskAttempt,
		Class:       t.start.Class,
		State:       t.state,
		Resources:   t.start.Resources,
		Observed:    t.observed(),
		Progress:    t.progress(),
		Result:      t.result,
		Reason:      t.reason,
		Checkpoint:  t.checkpoint,
	}
}
