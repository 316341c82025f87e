// Package worker implements a client of the control protocol of workers, which run
// batch tasks under leases.
//
// A sync request is POST <address>/sync with a SyncRequest as JSON. The worker fences
// off superseded owners: it keeps the highest epoch that it has seen and rejects lower
// ones with status 409 and a SyncResponse that contains the higher epoch.
package worker

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/object"
)

// Errors of a Client. Implementations wrap them, so test with errors.Is.
var (
	// ErrStaleEpoch reports that the worker has seen a higher epoch. The request had no
	// effect.
	ErrStaleEpoch = errors.New("worker: epoch is superseded")
	// ErrStaleBasis reports that the request is based on a response that is not the
	// worker's latest or is older than the lease term. The request had no effect.
	ErrStaleBasis = errors.New("worker: request is based on an outdated response")
	// ErrUnreachable reports that no usable response was received. The request may have
	// taken effect.
	ErrUnreachable = errors.New("worker: unreachable")
)

// ShardID identifies a shard, which is a part of an availability zone's workers.
type ShardID struct {
	Zone  membership.Zone
	Index int
}

// String returns the shard as zone/index.
func (s ShardID) String() string {
	return fmt.Sprintf("%s/%d", s.Zone, s.Index)
}

// Epoch is the epoch of a shard's owner. It increases with each new owner.
type Epoch uint64

// Counter numbers the responses of a worker, starting at 1 or higher. A response to a
// superseded epoch repeats the latest number. A worker that restarts under its old
// address starts above its earlier counters, so that it rejects delayed syncs.
type Counter uint64

// JobID identifies a job.
type JobID string

// TaskID identifies a task of a job, as "<job id>/<index>".
type TaskID string

// Attempt numbers the starts of a task, starting at 1. Each later start has a higher
// number, regardless of the shard's owner.
type Attempt uint64

// TaskAttempt identifies one start of a task.
type TaskAttempt struct {
	Task    TaskID
	Attempt Attempt
}

// StartTask tells a worker to start a task. If Checkpoint is set, the task resumes from
// that object, or starts from the beginning if the object doesn't exist. If the worker
// can't read the object for another reason, it rejects the command.
type StartTask struct {
	TaskAttempt
	Class      string
	Resources  resource.Vector
	Payload    []byte
	PayloadKey object.Key
	Checkpoint object.Key
	// CheckpointTo is the object to which the task writes its checkpoint, or empty if
	// the task doesn't support checkpoints.
	CheckpointTo object.Key
}

// StopMode is the way in which a task is stopped.
type StopMode string

// Ways to stop a task.
const (
	// StopCheckpoint writes a checkpoint before it stops the task.
	StopCheckpoint StopMode = "Checkpoint"
	// StopKill stops the task immediately.
	StopKill StopMode = "Kill"
)

// StopTask tells a worker to stop a task.
type StopTask struct {
	TaskAttempt
	Mode StopMode
}

// ThrottleTask limits a task to a share of its reserved processors. Share is in
// thousandths; 1000 removes the limit.
type ThrottleTask struct {
	TaskAttempt
	Share int
}

// SyncRequest renews the lease of all tasks on a worker and carries commands.
//
// Basis is the counter of the response on which the request is based. The lease lasts
// for LeaseTerm from the moment at which the worker sent that response. A request with
// a Basis of 0 renews nothing and must not contain commands; it only raises the epoch
// and returns the worker's state. Otherwise Incarnation must be that of the response,
// because a restarted worker may count from the beginning.
//
// The worker rejects starts if more than StartWithin has passed since it sent the
// response with the counter Basis, so that a delayed request can't start a task after
// the sender has lost the right to start it.
type SyncRequest struct {
	Shard       ShardID
	Epoch       Epoch
	Basis       Counter
	Incarnation string
	LeaseTerm   time.Duration
	StartWithin time.Duration
	Start       []StartTask
	Stop        []StopTask
	Throttle    []ThrottleTask
	Acknowledge []TaskAttempt
}

// TaskState is the state of a task on a worker.
type TaskState string

// States of a task on a worker. The worker keeps tasks that are Stopped, Succeeded or
// Failed until they are acknowledged.
const (
	Running       TaskState = "Running"
	Checkpointing TaskState = "Checkpointing"
	Stopped       TaskState = "Stopped"
	Succeeded     TaskState = "Succeeded"
	Failed        TaskState = "Failed"
)

// IsFinal reports whether the task has ended and no longer uses the worker's resources.
func (s TaskState) IsFinal() bool {
	return s == Stopped || s == Succeeded || s == Failed
}

// TaskStatus describes a task on a worker.
type TaskStatus struct {
	TaskAttempt
	Class     string
	State     TaskState
	Resources resource.Vector
	Observed  resource.Vector
	// Progress is the finished part of the task, in thousandths.
	Progress int
	Result   []byte
	Reason   string
	// Checkpoint is the latest complete checkpoint, or empty if there is none.
	Checkpoint object.Key
}

// Refusal reports a command that the worker rejected.
type Refusal struct {
	TaskAttempt
	Reason string
}

// ExecutorUsage describes an executor's requests during the period of a sample.
type ExecutorUsage struct {
	Executor membership.InstanceID
	Service  string
	Requests int
	P99      time.Duration
}

// TaskUsage describes a batch task's resource usage during the period of a sample.
type TaskUsage struct {
	TaskAttempt
	Class    string
	Observed resource.Vector
	// Rate is the progress of the task, in thousandths per second.
	Rate float64
}

// UsageSample is a worker's measurement over a past period. Executors and Tasks are
// those that ran during the period.
type UsageSample struct {
	// Age is the time from the end of the period to the response.
	Age       time.Duration
	Period    time.Duration
	Executors []ExecutorUsage
	Tasks     []TaskUsage
}

// SyncResponse is a worker's response to a sync. Tasks lists all tasks on the worker.
type SyncResponse struct {
	Epoch   Epoch
	Counter Counter
	// Incarnation changes when the worker process restarts. A restarted worker has no
	// tasks.
	Incarnation string
	Capacity    resource.Vector
	Tasks       []TaskStatus
	Refusals    []Refusal
	Usage       []UsageSample
}

// Syncer sends sync requests to workers. Sync fails with ErrStaleEpoch, ErrStaleBasis
// or ErrUnreachable. With the first two, the response is valid and contains the
// worker's epoch, counter and tasks.
type Syncer interface {
	Sync(ctx context.Context, address string, request SyncRequest) (SyncResponse, error)
}
