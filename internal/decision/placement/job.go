package placement

import (
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
	"github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/manifest"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/object"
)

// Priority is the priority of a job.
type Priority string

// Priorities. The zero value means Normal.
const (
	Urgent Priority = "Urgent"
	Normal Priority = "Normal"
)

// TaskRange is the range of tasks with the indexes First to Last, both inclusive.
type TaskRange struct {
	First int
	Last  int
}

// Job describes a batch job to be placed.
type Job struct {
	ID       worker.JobID
	Team     manifest.TeamName
	Class    manifest.ClassName
	Priority Priority
	// Tasks is the number of tasks; their indexes start at 0.
	Tasks int
	// Resources is what each task declares that it needs.
	Resources        resource.Vector
	ExpectedDuration time.Duration
	// Deadline is the time by which the job should be complete; zero means none.
	Deadline time.Time
	// Gang jobs start all their tasks together or none.
	Gang           bool
	Checkpointable bool
	Submitted      time.Time
	// Done lists the tasks that are already complete.
	Done []TaskRange
	// Checkpoints maps the indexes of unfinished tasks to their last checkpoints.
	Checkpoints map[int]object.Key
}

// WorkerState is the state of a worker as reported by the caller of the engine.
type WorkerState string

// Worker states. The zero value means WorkerAvailable.
const (
	// WorkerAvailable workers get new tasks.
	WorkerAvailable WorkerState = "Available"
	// WorkerUnreachable workers get no new tasks and keep those that may still be running
	// there.
	WorkerUnreachable WorkerState = "Unreachable"
	// WorkerLeaving workers get no new tasks; their tasks are checkpointed and stopped.
	WorkerLeaving WorkerState = "Leaving"
)

// Worker describes a worker.
type Worker struct {
	ID   membership.InstanceID
	Zone membership.Zone
	Rack membership.Rack
	// Capacity is the total resources of the instance.
	Capacity resource.Vector
	// Reserved is what the executors on the instance need; it is never allocated to
	// tasks.
	Reserved resource.Vector
	// Services are the services of the executors on the instance.
	Services []manifest.ServiceName
	State    WorkerState
}

// RunningTask is a task that the new owner of a shard found running on a worker.
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

// Outcome is how an attempt ended.
type Outcome string

// Outcomes of an attempt.
const (
	// Succeeded attempts completed their task.
	Succeeded Outcome = "Succeeded"
	// Failed attempts count against both the job and the worker.
	Failed Outcome = "Failed"
	// Evicted attempts stopped because they were told to or because their lease
	// expired.
	Evicted Outcome = "Evicted"
	// Lost attempts were on a worker that is gone or has restarted.
	Lost Outcome = "Lost"
	// Refused attempts were never started by the worker. They count against neither the
	// job nor the worker.
	Refused Outcome = "Refused"
)

// TaskEnd reports that an attempt no longer uses the resources of its worker.
type TaskEnd struct {
	worker.TaskAttempt
	Worker  membership.InstanceID
	Outcome Outcome
	Reason  string
	// Checkpoint is the last complete checkpoint; empty keeps the one that is known.
	Checkpoint object.Key
	// Observed is the attempt's peak usage, zero if unknown. The failure of an attempt
	// that used more than was allocated to it counts against neither the job nor the
	// worker.
	Observed resource.Vector
}

// StartPermit controls whether and how fast tasks may start.
type StartPermit struct {
	Allowed bool
	// MaxStartsPerSecond limits the starts per second after a return to service; 0 means
	// no limit.
	MaxStartsPerSecond int
}
