package placement

import (
	"fmt"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
	"github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/manifest"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/object"
)

// DecisionKind is the kind of a decision.
type DecisionKind string

// Kinds of decisions. Start, Throttle, Evict and Stop are commands to a worker; the
// others change only the state of the engine.
const (
	// Start starts an attempt on a worker, from Checkpoint if it is set.
	Start DecisionKind = "Start"
	// Throttle limits the processors of an attempt to Share.
	Throttle DecisionKind = "Throttle"
	// Evict stops an attempt, after a checkpoint if the task can write one; the task
	// becomes pending again.
	Evict DecisionKind = "Evict"
	// Stop kills an attempt whose job was cancelled or is unknown, or that was superseded.
	Stop DecisionKind = "Stop"
	// Park takes a job out of placement, for example because it failed on several
	// healthy workers.
	Park DecisionKind = "Park"
	// Quarantine takes a worker out of placement on which tasks of several jobs failed.
	Quarantine DecisionKind = "Quarantine"
	// Probe precedes the Start of a single task on a quarantined worker.
	Probe DecisionKind = "Probe"
	// Readmit ends a quarantine, after a successful probe or because jobs were at fault.
	Readmit DecisionKind = "Readmit"
)

// DecisionReason is the reason for a decision.
type DecisionReason string

// Reasons for decisions.
const (
	ReasonFits                  DecisionReason = "Fits"
	ReasonProbe                 DecisionReason = "Probe"
	ReasonGang                  DecisionReason = "Gang"
	ReasonReservation           DecisionReason = "Reservation"
	ReasonBackfill              DecisionReason = "Backfill"
	ReasonUrgent                DecisionReason = "MakesRoomForUrgent"
	ReasonInterference          DecisionReason = "Interference"
	ReasonRecovered             DecisionReason = "ServiceRecovered"
	ReasonOvercommitted         DecisionReason = "UsesMoreThanReserved"
	ReasonGangBroken            DecisionReason = "GangMemberEnded"
	ReasonWorkerLeaves          DecisionReason = "WorkerLeaves"
	ReasonZoneOutOfService      DecisionReason = "ZoneOutOfService"
	ReasonCancelled             DecisionReason = "JobCancelled"
	ReasonSuperseded            DecisionReason = "AttemptSuperseded"
	ReasonFailsOnSeveralWorkers DecisionReason = "FailsOnSeveralWorkers"
	ReasonFailsSeveralJobs      DecisionReason = "FailsTasksOfSeveralJobs"
	ReasonProbeSucceeded        DecisionReason = "ProbeSucceeded"
	ReasonJobsAtFault           DecisionReason = "JobsAtFault"
	ReasonOutgrewWorkers        DecisionReason = "NeedsMoreThanAnyWorkerHas"
	ReasonUnknownJob            DecisionReason = "JobUnknown"
	ReasonAttemptsExceeded      DecisionReason = "AttemptsExceeded"
)

// Facts are the measurements and limits behind a decision. Only those that matter for
// its reason are set.
type Facts struct {
	// Free is the worker's unallocated resources after the decision.
	Free resource.Vector
	// Observed is the usage observed for the class or the attempt.
	Observed resource.Vector
	// Waited is the time from submission, or from the task's last stop, to a start.
	Waited time.Duration
	// Candidates is the number of tasks of a gang that start together.
	Candidates int
	// Service, P99 and Target describe the service that is too slow.
	Service manifest.ServiceName
	P99     time.Duration
	Target  time.Duration
	// Slowdown is the estimated factor by which the class slows the service; 1 means no
	// effect.
	Slowdown float64
	// Failures, Workers and Jobs count the failed attempts and the distinct workers and
	// jobs with failures.
	Failures int
	Workers  int
	Jobs     int
	// Beneficiary is the job for which room is made.
	Beneficiary worker.JobID
	// Message is the reason of the last failure of the worker or job.
	Message string
}

// Decision is a decision of the engine with its reason and facts.
type Decision struct {
	Kind DecisionKind
	worker.TaskAttempt
	Job    worker.JobID
	Class  manifest.ClassName
	Worker membership.InstanceID
	// Resources is the allocation of the attempt on the worker.
	Resources resource.Vector
	// Checkpoint is the object from which a started task resumes, empty for none.
	Checkpoint object.Key
	// Checkpointable reports whether the task can write checkpoints.
	Checkpointable bool
	// Mode is how the attempt is to be stopped.
	Mode worker.StopMode
	// Share is the limit of a throttled attempt in thousandths of its processors.
	Share  int
	Reason DecisionReason
	Facts  Facts
	// Manifest is the manifest version that applied when the decision was made.
	Manifest manifest.Version
}

// RefusalReason is the reason why a job is refused.
type RefusalReason string

// Reasons to refuse a job.
const (
	RefusedInvalid      RefusalReason = "Invalid"
	RefusedDuplicate    RefusalReason = "Duplicate"
	RefusedUnknownTeam  RefusalReason = "UnknownTeam"
	RefusedNoWorkers    RefusalReason = "NoWorkersKnown"
	RefusedFitsNoWorker RefusalReason = "FitsNoWorker"
	RefusedGangTooBig   RefusalReason = "GangFitsNowhere"
	RefusedQuota        RefusalReason = "ExceedsQuota"
	RefusedQueueFull    RefusalReason = "QueueFull"
)

// RefusalError is returned by AddJob and RestoreJob for a job that was not added.
type RefusalError struct {
	Job    worker.JobID
	Reason RefusalReason
	Detail string
}

// Error implements the error interface.
func (e *RefusalError) Error() string {
	return fmt.Sprintf("placement: job %s refused: %s: %s", e.Job, e.Reason, e.Detail)
}

// State is the state of a job or task in an Explanation.
type State string

// States of a job or task.
const (
	StatePending    State = "Pending"
	StateRunning    State = "Running"
	StateStopping   State = "Stopping"
	StateDone       State = "Done"
	StateParked     State = "Parked"
	StateCancelling State = "Cancelling"
)

// WaitReason is the reason why the pending tasks of a job have not started.
type WaitReason string

// Reasons why pending tasks have not started.
const (
	WaitingForTurn         WaitReason = "Turn"
	WaitingForPermit       WaitReason = "StartPermit"
	WaitingForRamp         WaitReason = "Ramp"
	WaitingForQuota        WaitReason = "Quota"
	WaitingForRoom         WaitReason = "Room"
	WaitingForBackoff      WaitReason = "FailureBackoff"
	WaitingForZone         WaitReason = "ZoneOutOfService"
	WaitingForStopping     WaitReason = "EarlierAttemptStops"
	WaitingForRestore      WaitReason = "WorkersNotKnown"
	WaitingForOtherWorkers WaitReason = "OnlyExcludedWorkersFit"
)

// Explanation is the state of a job or task and how it came about.
type Explanation struct {
	Job     worker.JobID
	Task    worker.TaskID
	State   State
	Waiting WaitReason
	// Pending, Running and Done count the tasks of the job.
	Pending int
	Running int
	Done    int
	// QueuedFor is the time since the job was queued or its last stopped task became
	// pending.
	QueuedFor time.Duration
	// Reservation is the worker that is reserved for the job, if any.
	Reservation membership.InstanceID
	// Failures are the last failures of the job, oldest first.
	Failures []Failure
	// Decisions are the last decisions about the job or task, oldest first.
	Decisions []Decision
}

// Failure is a failed attempt.
type Failure struct {
	worker.TaskAttempt
	Worker membership.InstanceID
	At     time.Time
	Reason string
}

// TeamSummary is the usage of a team, including its child teams.
type TeamSummary struct {
	Team      manifest.TeamName
	Running   int
	Queued    int
	Allocated resource.Vector
	Quota     resource.Vector
}

// Summary is an overview of the engine's state.
type Summary struct {
	Workers     int
	Quarantined int
	Capacity    resource.Vector
	// Free is the unallocated resources of available workers.
	Free        resource.Vector
	QueuedJobs  int
	QueuedTasks int
	Running     int
	ParkedJobs  int
	// Teams are sorted by name.
	Teams []TeamSummary
}
