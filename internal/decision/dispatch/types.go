// Package dispatch decides which task of a job runs on which worker, and when a
// task is stopped or slowed down.
//
// An Engine is told facts with the current time and returns commands. It does no
// I/O, reads no clock and starts no goroutine, so the same code runs in the owner
// of a shard, in a replay and in a benchmark. The ledger of a worker counts an
// attempt from the start command until the worker lists its end, restarts or has
// lost its lease, so that a lost message never frees anything.
package dispatch

import (
	"fmt"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// JobID identifies a job. The client chooses it.
type JobID string

// QueueName names a queue of jobs.
type QueueName string

// ServiceName names a pool of workers.
type ServiceName string

// Image names the program that the tasks of a step run.
type Image string

// Label is a property of a worker that a step can require.
type Label string

// Checkpoint is the token of saved work of a task; empty for none.
type Checkpoint string

// Ticket is the permission of a placement policy to run a step on a worker.
type Ticket string

// Run numbers the starts of a task, from 1. It rises with each start.
type Run int64

// Epoch numbers the owners of a shard, from 1. Workers ignore commands of lower epochs.
type Epoch int64

// TaskID identifies a task of one occurrence of a job.
type TaskID struct {
	Job        JobID
	Occurrence int
	Step       int
	Index      int
}

// String returns the id in the form job/occurrence/step/index, for logs.
func (id TaskID) String() string {
	return fmt.Sprintf("%s/%d/%d/%d", id.Job, id.Occurrence, id.Step, id.Index)
}

// StepID identifies a step of one occurrence of a job.
type StepID struct {
	Job        JobID
	Occurrence int
	Step       int
}

// TaskRun names one start of a task.
type TaskRun struct {
	Task TaskID
	Run  Run
}

// Step is a set of equal tasks of a job.
type Step struct {
	Tasks     int
	Resources resource.Vector
	// Estimate is the client's rough idea of the duration of a task.
	Estimate time.Duration `json:",omitempty"`
	// After lists earlier steps, all of whose tasks must have succeeded first.
	After []int `json:",omitempty"`
	// Checkpointing tasks save their work from time to time.
	Checkpointing bool `json:",omitempty"`
	// Gang tasks work only while all of them run.
	Gang bool `json:",omitempty"`
	// OneRack tasks run several times longer when they are spread over racks.
	OneRack bool `json:",omitempty"`
	// Requires is a label that a worker must have; empty for none.
	Requires Label `json:",omitempty"`
	// PreferredRack is the rack on which the tasks are fastest; empty for none.
	PreferredRack Label `json:",omitempty"`
	// MaxPerWorker bounds the tasks of the step on one worker; 0 is unbounded.
	MaxPerWorker int `json:",omitempty"`
	// Speculative tasks may run in several copies at once.
	Speculative bool `json:",omitempty"`
	// LongRunning tasks run until the job is cancelled.
	LongRunning bool  `json:",omitempty"`
	Image       Image `json:",omitempty"`
	// Target bounds the tail latency of the answers of a serving task; 0 for
	// tasks that serve nobody.
	Target time.Duration `json:",omitempty"`
	// Filler tasks use the processors that others leave idle; their processors
	// aren't reserved.
	Filler bool `json:",omitempty"`
	// MaxUnavailable bounds the long-running tasks that may be down at once
	// because of commands; 0 is unbounded.
	MaxUnavailable int `json:",omitempty"`
}

// Reserved returns what a task takes from the capacity of its worker.
func (s *Step) Reserved() resource.Vector {
	reserved := s.Resources
	if s.Filler {
		reserved.Processors = 0
	}
	return reserved
}

// Job is a job as it was accepted.
type Job struct {
	ID    JobID
	Queue QueueName
	// Settings are those of the queue when the job was accepted. They hold when the
	// queue is no longer configured.
	Settings Queue
	Spec     string
	Steps    []Step
	Accepted time.Time
	// Repetitions is how often the steps run; 0 stands for once, at once.
	Repetitions int           `json:",omitempty"`
	FirstRun    time.Time     `json:",omitzero"`
	Interval    time.Duration `json:",omitempty"`
}

// Occurrences returns how often the steps run.
func (j *Job) Occurrences() int {
	return max(j.Repetitions, 1)
}

// Due returns when an occurrence may begin.
func (j *Job) Due(occurrence int) time.Time {
	if j.Repetitions == 0 {
		return j.Accepted
	}
	return j.FirstRun.Add(time.Duration(occurrence) * j.Interval)
}

// Queue is the configuration of a queue.
type Queue struct {
	Name    QueueName
	Service ServiceName
	// Priority 0 comes first.
	Priority int
	// MaxAttempts bounds the failed runs of a task.
	MaxAttempts int
	// SlackFactor times the longest chain of steps plus TargetLatency is the
	// objective for the duration of a job.
	SlackFactor   float64
	TargetLatency time.Duration
	// Advised queues need the permission of the placement policy for each worker.
	Advised bool
}

// WorkerInfo describes a worker as the platform lists it.
type WorkerInfo struct {
	ID       membership.InstanceID
	Address  string
	Service  ServiceName
	Zone     membership.Zone
	Labels   []Label
	Capacity resource.Vector
	// Draining workers get no new tasks.
	Draining bool
	// Remaining is the least time that a draining worker stays.
	Remaining time.Duration
}

// JobState is the state of a job as its client sees it.
type JobState string

// States of a job.
const (
	Queued    JobState = "Queued"
	Running   JobState = "Running"
	Completed JobState = "Completed"
	Failed    JobState = "Failed"
	Cancelled JobState = "Cancelled"
)

// IsFinal reports whether the state can't change any more.
func (s JobState) IsFinal() bool {
	return s == Completed || s == Failed || s == Cancelled
}

// EndKind tells how a run ended.
type EndKind string

// Kinds of ends.
const (
	EndDone    EndKind = "Done"
	EndFailed  EndKind = "Failed"
	EndStopped EndKind = "Stopped"
	// EndLapsed runs lost their lease.
	EndLapsed EndKind = "Lapsed"
	// EndBroken runs ended with another member of their gang.
	EndBroken EndKind = "Broken"
	// EndAlone runs waited in vain for the other members of their gang.
	EndAlone EndKind = "Alone"
)

// RunningTask is a run in the report of a worker.
type RunningTask struct {
	TaskRun
	Checkpoint Checkpoint
	// Percent is the progress; a long-running task is at work at 100.
	Percent int
	// Measure is the tail latency in milliseconds of a serving task, and the
	// processors in use, in thousandths, of any other.
	Measure int
}

// End is the end of a run in the report of a worker.
type End struct {
	// Number counts the ends of a worker, from 1.
	Number int64
	TaskRun
	Kind       EndKind
	Checkpoint Checkpoint
}

// Report is what a worker says of itself.
type Report struct {
	// Born is the start of the worker process.
	Born int64
	// Clock is the steady clock of the worker.
	Clock   time.Duration
	Running []RunningTask
	Ended   []End
}

// StartResult tells what a worker answered to a start command.
type StartResult string

// Results of a start command.
const (
	StartAccepted StartResult = "Accepted"
	// StartNoRoom reports that the task doesn't fit.
	StartNoRoom StartResult = "NoRoom"
	// StartOldRun reports that the worker has stopped or ended that run or a later one.
	StartOldRun StartResult = "OldRun"
	// StartLate reports that the lease in the command had ended already.
	StartLate StartResult = "Late"
	// StartFenced reports that the worker has seen a higher epoch.
	StartFenced StartResult = "Fenced"
	// StartNoTicket reports that the ticket isn't valid.
	StartNoTicket StartResult = "NoTicket"
	// StartUnhealthy reports that the worker refuses all starts for now.
	StartUnhealthy StartResult = "Unhealthy"
	// StartRestarted reports that the worker has restarted since it was listed.
	StartRestarted StartResult = "Restarted"
	// StartInvalid reports that the worker can't read the command.
	StartInvalid StartResult = "Invalid"
	// StartUnanswered reports that the outcome is unknown.
	StartUnanswered StartResult = "Unanswered"
)

// Command asks a worker for something. Exactly one of Start, Stop and Pace is set.
type Command struct {
	Worker  membership.InstanceID
	Address string
	TaskRun
	Start *Start
	Stop  bool
	Pace  *int
	// Lease is the time on the worker's clock at which its runs end unless renewed.
	Lease time.Duration
	// Patience is how long to wait for the answer to a start before it may be sent again.
	Patience time.Duration
}

// Start is the content of a start command.
type Start struct {
	Spec       string
	Checkpoint Checkpoint
	Ticket     Ticket
}

// Poll is the content of the next status request to a worker.
type Poll struct {
	Address string
	// Lease is the time on the worker's clock until which its runs may go on; 0
	// renews nothing.
	Lease time.Duration
	// Observed is the highest number of an end that is stored.
	Observed int64
	// Wait is how long the worker may wait for an end before it answers.
	Wait time.Duration
}
