// Package dispatch schedules the tasks of jobs on workers and decides when a task is
// stopped or slowed down.
//
// An Engine receives events together with the current time and returns commands. It
// does no I/O, reads no clock and starts no goroutine, so the same code runs in the
// owner of a shard, in a replay and in a benchmark. A run counts against the capacity
// of its worker from the start command until the worker reports its end, restarts or
// has lost its lease, so a lost message never frees capacity.
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

// Image identifies the program that the tasks of a step run.
type Image string

// WorkerVersion is the version of a worker's software. It is empty if the worker didn't report it.
type WorkerVersion string

// Label is a property of a worker that a step can require.
type Label string

// Checkpoint is the token of the saved work of a task. It is empty if there is none.
type Checkpoint string

// Ticket is the permission of the placement policy to run a step on a worker.
type Ticket string

// Run numbers the runs of a task, starting at 1. It increases with each start.
type Run int64

// Epoch numbers the successive owners of a shard, starting at 1.
type Epoch int64

// FencesPerEpoch is the number of fences that each owner may use for a worker. The epochs of successive
// owners differ by it.
const FencesPerEpoch = 1000

// Next returns the epoch of the owner after that of this epoch, 0 if there was none.
func (e Epoch) Next() Epoch {
	if e == 0 {
		return 1
	}
	return e + FencesPerEpoch
}

// Precedes reports whether the other epoch is that of the next owner. The epochs of owners of earlier
// builds differ by 1.
func (e Epoch) Precedes(other Epoch) bool {
	return other == e.Next() || other == e+1
}

// Fence orders the commands to a worker. Workers ignore commands that carry a lower fence than one they
// have seen since they started. It begins at the owner's epoch and increases when the worker restarts:
// the new process has seen none, and would execute commands to the earlier process that arrive late.
type Fence int64

// TaskID identifies a task of one occurrence of a job.
type TaskID struct {
	Job        JobID
	Occurrence int
	Step       int
	Index      int
}

// String returns the ID in the form job/occurrence/step/index, for logs.
func (id TaskID) String() string {
	return fmt.Sprintf("%s/%d/%d/%d", id.Job, id.Occurrence, id.Step, id.Index)
}

// StepID identifies a step of one occurrence of a job.
type StepID struct {
	Job        JobID
	Occurrence int
	Step       int
}

// TaskRun identifies one run of a task.
type TaskRun struct {
	Task TaskID
	Run  Run
}

// Step is a set of identical tasks of a job.
type Step struct {
	Tasks     int
	Resources resource.Vector
	// Estimate is the client's rough estimate of the duration of a task.
	Estimate time.Duration `json:",omitempty"`
	// After lists the indices of earlier steps whose tasks must all have succeeded
	// before this step starts.
	After []int `json:",omitempty"`
	// Checkpointing tasks save their work periodically.
	Checkpointing bool `json:",omitempty"`
	// Gang tasks make progress only while all tasks of the step run.
	Gang bool `json:",omitempty"`
	// OneRack tasks take several times longer when they are spread over several racks.
	OneRack bool `json:",omitempty"`
	// Requires is a label that the worker must have. Empty means no requirement.
	Requires Label `json:",omitempty"`
	// PreferredRack is the rack on which the tasks run fastest. Empty means no
	// preference.
	PreferredRack Label `json:",omitempty"`
	// MaxPerWorker limits the tasks of the step on one worker. 0 means no limit.
	MaxPerWorker int `json:",omitempty"`
	// Speculative tasks may run in several copies at the same time.
	Speculative bool `json:",omitempty"`
	// LongRunning tasks run until the job is cancelled.
	LongRunning bool  `json:",omitempty"`
	Image       Image `json:",omitempty"`
	// Target is the upper limit for the tail latency of a serving task, which answers
	// requests. It is 0 for all other tasks.
	Target time.Duration `json:",omitempty"`
	// Filler tasks are batch tasks that use processors which other tasks leave idle.
	// Their processors aren't reserved.
	Filler bool `json:",omitempty"`
	// MaxUnavailable limits the long-running tasks of the step that commands may take
	// down at the same time. 0 means no limit.
	MaxUnavailable int `json:",omitempty"`
}

// Reserved returns the resources that a task reserves on its worker.
func (s *Step) Reserved() resource.Vector {
	reserved := s.Resources
	if s.Filler {
		reserved.Processors = 0
	}
	return reserved
}

// Job is an accepted job.
type Job struct {
	ID    JobID
	Queue QueueName
	// Settings are the queue's settings at the time the job was accepted. They apply if
	// the queue is no longer configured.
	Settings Queue
	Spec     string
	Steps    []Step
	Accepted time.Time
	// Repetitions is how often the steps run. 0 means once and immediately.
	Repetitions int           `json:",omitempty"`
	FirstRun    time.Time     `json:",omitzero"`
	Interval    time.Duration `json:",omitempty"`
	// Transferred has the tasks that the job's own shard has transferred to this one. If there are
	// any, this shard runs only these. They are stored in a row of their own.
	Transferred []TransferredTask `json:"-"`
}

// Occurrences returns how often the steps run.
func (j *Job) Occurrences() int {
	return max(j.Repetitions, 1)
}

// Due returns the earliest time at which an occurrence may start.
func (j *Job) Due(occurrence int) time.Time {
	if j.Repetitions == 0 {
		return j.Accepted
	}
	// The product of occurrence and interval may be longer than any duration, 292 years.
	seconds := int64(occurrence) * int64(j.Interval/time.Second)
	rest := time.Duration(occurrence) * (j.Interval % time.Second)
	return time.Unix(j.FirstRun.Unix()+seconds, int64(j.FirstRun.Nanosecond())).In(j.FirstRun.Location()).Add(rest)
}

// Queue is the configuration of a queue.
type Queue struct {
	Name    QueueName
	Service ServiceName
	// Priority orders the queues; 0 is the most urgent.
	Priority int
	// MaxAttempts is the number of failed runs of a task after which its job fails. 0
	// means no limit.
	MaxAttempts int
	// SlackFactor and TargetLatency give the target duration of a job: SlackFactor
	// times the duration of its critical path, plus TargetLatency.
	SlackFactor   float64
	TargetLatency time.Duration
	// NeedsAdvice means that the queue's tasks need a ticket from the placement policy for
	// each worker.
	NeedsAdvice bool `json:"Advised"`
}

// WorkerInfo describes a worker as the platform lists it.
type WorkerInfo struct {
	ID       membership.InstanceID
	Address  string
	Service  ServiceName
	Zone     membership.Zone
	Labels   []Label
	Capacity resource.Vector
	// RegisteredIncarnation is the process of the worker that made the entry, 0 if it didn't tell.
	RegisteredIncarnation int64         `json:",omitempty"`
	Version               WorkerVersion `json:",omitempty"`
	// Draining workers get no new tasks.
	Draining bool
	// Remaining is the minimum time for which a draining worker stays available, counted from when its entry
	// was written. It is 0 if the worker didn't report it.
	Remaining time.Duration
}

// JobState is the state of a job as the client sees it.
type JobState string

// States of a job.
const (
	Queued    JobState = "Queued"
	Running   JobState = "Running"
	Completed JobState = "Completed"
	Failed    JobState = "Failed"
	Cancelled JobState = "Cancelled"
)

// IsFinal reports whether the state can no longer change.
func (s JobState) IsFinal() bool {
	return s == Completed || s == Failed || s == Cancelled
}

// EndKind describes how a run ended.
type EndKind string

// Kinds of ends.
const (
	EndDone    EndKind = "Done"
	EndFailed  EndKind = "Failed"
	EndStopped EndKind = "Stopped"
	// EndLeaseExpired means that the worker ended the run because its lease expired.
	EndLeaseExpired EndKind = "Lapsed"
	// EndGangBroken means that the run ended because another member of its gang ended.
	EndGangBroken EndKind = "Broken"
	// EndGangTimeout means that the other members of the gang didn't start in time.
	EndGangTimeout EndKind = "Alone"
)

// RunningTask is a running task in a worker's report.
type RunningTask struct {
	TaskRun
	Checkpoint Checkpoint
	// Percent is the progress. 100 means for a long-running task that it has started
	// up.
	Percent int
	// Measurement is the tail latency in milliseconds for a serving task, and the
	// processors in use, in thousandths, for any other task.
	Measurement int
}

// End is the end of a run in a worker's report.
type End struct {
	// Number counts the ends that the worker has reported, starting at 1.
	Number int64
	TaskRun
	Kind       EndKind
	Checkpoint Checkpoint
}

// Report is the status that a worker reports.
type Report struct {
	// Incarnation identifies the worker process by its start time. It is 0 if the worker didn't
	// tell.
	Incarnation int64
	// Clock is the worker's monotonic clock. It may be read some time after the lists.
	Clock   time.Duration
	Running []RunningTask
	// Ended has the first ends that aren't stored. MoreEnds reports that there may be further
	// ones.
	Ended    []End
	MoreEnds bool
}

// StartResult is the answer of a worker to a start command.
type StartResult string

// Results of a start command.
const (
	StartAccepted StartResult = "Accepted"
	// StartNoRoom means that the task doesn't fit in the worker's free capacity.
	StartNoRoom StartResult = "NoRoom"
	// StartOldRun means that the worker has already stopped or ended this run or a
	// later one.
	StartOldRun StartResult = "OldRun"
	// StartLeaseExpired means that the lease in the command had expired on arrival.
	StartLeaseExpired StartResult = "Late"
	// StartStaleEpoch means that the worker has seen a higher fence.
	StartStaleEpoch StartResult = "Fenced"
	// StartNoTicket means that the ticket isn't valid.
	StartNoTicket StartResult = "NoTicket"
	// StartUnhealthy means that the worker currently refuses all starts.
	StartUnhealthy StartResult = "Unhealthy"
	// StartRestarted means that the worker has restarted since it was listed.
	StartRestarted StartResult = "Restarted"
	// StartInvalid means that the worker couldn't parse the command.
	StartInvalid StartResult = "Invalid"
	// StartUnanswered means that no answer arrived, so the outcome is unknown.
	StartUnanswered StartResult = "Unanswered"
)

// MaxCommandTime limits the time from the first attempt to send a command to the end of the last one.
const MaxCommandTime = 1200 * time.Millisecond

// Command is a request to a worker. Exactly one of Start, Stop and Pace is set.
type Command struct {
	Worker  membership.InstanceID
	Address string
	TaskRun
	Start *Start
	Stop  bool
	Pace  *int
	Fence Fence
	// Incarnation is the worker's incarnation, as known when a stop command was issued.
	Incarnation int64
	// Lease is the time on the worker's clock at which the leases of its runs expire
	// unless they are renewed.
	Lease time.Duration
	// AnswerTimeout is how long to wait for the answer to a start before it may be retried.
	AnswerTimeout time.Duration
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
	Fence   Fence
	// Lease is the time on the worker's clock until which its runs may continue. 0
	// renews no lease.
	Lease time.Duration
	// LastStoredEnd is the number of the last end that is stored.
	LastStoredEnd int64
	// Wait is how long the worker may wait for a run to end before it answers.
	Wait time.Duration
}
