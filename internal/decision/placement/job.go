package placement

import (
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
	"github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/manifest"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/object"
)

// Priority of a job.
type Priority string

// Priorities. The zero value counts as Normal.
const (
	Urgent Priority = "Urgent"
	Normal Priority = "Normal"
)

// TaskRange is the tasks with the indices First to Last, both included.
type TaskRange struct {
	First int
	Last  int
}

// Job is a batch job as it is placed.
type Job struct {
	ID       worker.JobID
	Team     manifest.TeamName
	Class    manifest.ClassName
	Priority Priority
	// Tasks is the number of tasks; their indices run from 0.
	Tasks int
	// Resources is what each task declares to need.
	Resources        resource.Vector
	ExpectedDuration time.Duration
	// Deadline is zero for none.
	Deadline time.Time
	// Gang jobs start all their tasks together or none.
	Gang           bool
	Checkpointable bool
	Submitted      time.Time
	// Done lists the tasks that have finished.
	Done []TaskRange
	// Checkpoints has the last checkpoint of unfinished tasks by index.
	Checkpoints map[int]object.Key
}

// WorkerState is the state of a worker as its caller sees it.
type WorkerState string

// States of a worker. The zero value counts as Available.
const (
	// Available workers get new tasks.
	Available WorkerState = "Available"
	// Unreachable workers get no new tasks and keep those that they may be running.
	Unreachable WorkerState = "Unreachable"
	// Leaving workers get no new tasks; their tasks checkpoint and stop.
	Leaving WorkerState = "Leaving"
)

// Worker describes a worker.
type Worker struct {
	ID   membership.InstanceID
	Zone membership.Zone
	Rack membership.Rack
	// Capacity is all of the instance.
	Capacity resource.Vector
	// Reserved is what the executors on the instance need; tasks never get it.
	Reserved resource.Vector
	// Services are those that the executors on the instance serve.
	Services []manifest.ServiceName
	State    WorkerState
}

// RunningTask is a task that a new owner found on a worker.
type RunningTask struct {
	worker.TaskAttempt
	Worker    membership.InstanceID
	Class     manifest.ClassName
	Resources resource.Vector
	Observed  resource.Vector
	// Checkpoint is the last complete checkpoint, empty for none.
	Checkpoint object.Key
	// Stopping reports that the task was already told to stop.
	Stopping bool
}

// Outcome tells how an attempt ended.
type Outcome string

// Outcomes of an attempt.
const (
	// Succeeded attempts finish their task.
	Succeeded Outcome = "Succeeded"
	// Failed attempts count against the job and the worker.
	Failed Outcome = "Failed"
	// Evicted attempts stopped because they were told to, or their lease ended.
	Evicted Outcome = "Evicted"
	// Lost attempts were on a worker that is gone or has restarted.
	Lost Outcome = "Lost"
	// Refused attempts were never started by the worker. They count against neither side.
	Refused Outcome = "Refused"
)

// TaskEnd reports that an attempt no longer uses its worker's resources.
type TaskEnd struct {
	worker.TaskAttempt
	Worker  membership.InstanceID
	Outcome Outcome
	Reason  string
	// Checkpoint is the last complete checkpoint; empty keeps the one known before.
	Checkpoint object.Key
	// Observed is the peak of what the attempt used, zero if unknown. A failure of an
	// attempt that outgrew its reservation speaks against neither job nor worker.
	Observed resource.Vector
}

// StartPermit tells whether tasks may start.
type StartPermit struct {
	Starts bool
	// Ramp bounds the starts per second after a return to service; 0 is unbounded.
	Ramp int
}
