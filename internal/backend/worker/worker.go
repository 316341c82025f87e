// Package worker speaks the control protocol of workers, which run batch tasks
// under leases.
//
// A sync request is POST <address>/sync with a SyncRequest as JSON. The worker is
// the fence: it keeps the highest epoch that it has seen and refuses lower ones
// with status 409 and a SyncResponse that names the higher epoch.
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
	// ErrStaleEpoch reports that the worker has seen a higher epoch. Nothing was done.
	ErrStaleEpoch = errors.New("worker: the epoch is superseded")
	// ErrStaleBasis reports that the request built on an answer that is not the
	// worker's last or is older than the lease term. Nothing was done.
	ErrStaleBasis = errors.New("worker: the basis is out of date")
	// ErrUnreachable reports that no answer came. The request may have been carried out.
	ErrUnreachable = errors.New("worker: unreachable")
)

// ShardID names a shard of an availability zone's workers.
type ShardID struct {
	Zone  membership.Zone
	Index int
}

// String returns the shard as zone/index.
func (s ShardID) String() string {
	return fmt.Sprintf("%s/%d", s.Zone, s.Index)
}

// Epoch of a shard's owner. It rises with each new owner.
type Epoch uint64

// Counter numbers the answers of a worker, from 1 or higher. An answer to a
// superseded epoch repeats the last one. A worker that restarts under its old
// address begins above its earlier counters, so that no delayed sync fits.
type Counter uint64

// JobID identifies a job.
type JobID string

// TaskID identifies a task of a job as "<job id>/<index>".
type TaskID string

// Attempt numbers the starts of a task, from 1. It is higher for each later start,
// under whichever owner.
type Attempt uint64

// TaskAttempt names one start of a task.
type TaskAttempt struct {
	Task    TaskID
	Attempt Attempt
}

// StartTask asks a worker to start a task. If Checkpoint is set the task resumes
// from that object; an object that doesn't exist stands for the beginning. A
// worker that can't read it for another reason refuses the start.
type StartTask struct {
	TaskAttempt
	Class      string
	Resources  resource.Vector
	Payload    []byte
	PayloadKey object.Key
	Checkpoint object.Key
	// CheckpointTo is where the task writes its checkpoint; empty if it can't.
	CheckpointTo object.Key
}

// StopMode tells how a task is stopped.
type StopMode string

// Modes of stopping a task.
const (
	// StopCheckpoint writes a checkpoint first, then stops.
	StopCheckpoint StopMode = "Checkpoint"
	// StopKill stops at once.
	StopKill StopMode = "Kill"
)

// StopTask asks a worker to stop a task.
type StopTask struct {
	TaskAttempt
	Mode StopMode
}

// ThrottleTask limits a task to a share of its reserved processors. Share is in
// thousandths; 1000 lifts the limit.
type ThrottleTask struct {
	TaskAttempt
	Share int
}

// SyncRequest renews the lease of all tasks on a worker and carries commands.
//
// The lease runs LeaseTerm from the moment at which the worker sent the answer
// with the counter Basis. A Basis of 0 renews nothing and must carry no commands;
// it raises the epoch and asks for the state. Otherwise Incarnation must be that of
// the answer, since a restarted worker may count from the beginning.
//
// Starts are refused when more than StartWithin has passed since the worker sent
// the answer with the counter Basis, so that a delayed request can't start a task
// after the sender's right to start it has ended.
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

// States of a task on a worker. Stopped, Succeeded and Failed are kept until they
// are acknowledged.
const (
	Running       TaskState = "Running"
	Checkpointing TaskState = "Checkpointing"
	Stopped       TaskState = "Stopped"
	Succeeded     TaskState = "Succeeded"
	Failed        TaskState = "Failed"
)

// IsFinal reports whether the task no longer uses the worker's resources.
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
	// Progress is in thousandths of the whole task.
	Progress int
	Result   []byte
	Reason   string
	// Checkpoint is the last complete checkpoint, empty if there is none.
	Checkpoint object.Key
}

// Refusal reports a command that the worker did not carry out.
type Refusal struct {
	TaskAttempt
	Reason string
}

// ExecutorUsage describes an executor over a sample's period.
type ExecutorUsage struct {
	Executor membership.InstanceID
	Service  string
	Requests int
	P99      time.Duration
}

// TaskUsage describes a batch task over a sample's period.
type TaskUsage struct {
	TaskAttempt
	Class    string
	Observed resource.Vector
	// Rate is the progress made, in thousandths of a task per second.
	Rate float64
}

// UsageSample is what a worker measured some time ago. Executors and Tasks are
// those that ran during the period.
type UsageSample struct {
	// Age is the time from the end of the period to the answer.
	Age       time.Duration
	Period    time.Duration
	Executors []ExecutorUsage
	Tasks     []TaskUsage
}

// SyncResponse is a worker's answer. Tasks lists every task that the worker holds.
type SyncResponse struct {
	Epoch   Epoch
	Counter Counter
	// Incarnation changes when the worker process restarts; it then holds no tasks.
	Incarnation string
	Capacity    resource.Vector
	Tasks       []TaskStatus
	Refusals    []Refusal
	Usage       []UsageSample
}

// Syncer sends sync requests to the worker at an address. It fails with
// ErrStaleEpoch, ErrStaleBasis or ErrUnreachable; with the first two the response
// is valid and carries the worker's epoch, counter and tasks.
type Syncer interface {
	Sync(ctx context.Context, address string, request SyncRequest) (SyncResponse, error)
}
