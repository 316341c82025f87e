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

// Kind of a decision.
type Kind string

// Kinds of decisions. Start, Throttle, Evict and Stop are commands to a worker;
// the others change only the engine's state and are reported.
const (
	// Start starts an attempt on a worker, from Checkpoint if it is set.
	Start Kind = "Start"
	// Throttle limits an attempt to Share.
	Throttle Kind = "Throttle"
	// Evict checkpoints and stops an attempt; its task becomes pending again.
	Evict Kind = "Evict"
	// Stop kills an attempt whose job was cancelled or parked.
	Stop Kind = "Stop"
	// Park sets a job aside that fails on several good workers.
	Park Kind = "Park"
	// Quarantine takes a worker out of placement that fails several jobs.
	Quarantine Kind = "Quarantine"
	// Probe lets a quarantined worker have one task, whose Start follows.
	Probe Kind = "Probe"
	// Readmit ends a quarantine after a successful probe.
	Readmit Kind = "Readmit"
)

// Reason of a decision.
type Reason string

// Reasons of decisions.
const (
	ReasonFits             Reason = "Fits"
	ReasonProbe            Reason = "Probe"
	ReasonGang             Reason = "Gang"
	ReasonReservation      Reason = "Reservation"
	ReasonUrgent           Reason = "MakesRoomForUrgent"
	ReasonInterference     Reason = "Interference"
	ReasonRecovered        Reason = "ServiceRecovered"
	ReasonOvercommitted    Reason = "UsesMoreThanReserved"
	ReasonGangBroken       Reason = "GangMemberEnded"
	ReasonWorkerLeaves     Reason = "WorkerLeaves"
	ReasonZoneOut          Reason = "ZoneOutOfService"
	ReasonCancelled        Reason = "JobCancelled"
	ReasonSuperseded       Reason = "AttemptSuperseded"
	ReasonFailsEverywhere  Reason = "FailsOnSeveralWorkers"
	ReasonFailsEverything  Reason = "FailsTasksOfSeveralJobs"
	ReasonProbeSucceeded   Reason = "ProbeSucceeded"
	ReasonJobsAtFault      Reason = "JobsAtFault"
	ReasonOutgrewWorkers   Reason = "NeedsMoreThanAnyWorkerHas"
	ReasonUnknownJob       Reason = "JobUnknown"
	ReasonAttemptsExceeded Reason = "AttemptsExceeded"
)

// Facts are the measurements and limits on which a decision rests. Only those
// that matter for its reason are set.
type Facts struct {
	// Free is what the worker has left after the decision.
	Free resource.Vector
	// Observed is what the class or the attempt was seen to use.
	Observed resource.Vector
	// Waited is the time from submission, or from the last stop, to a start.
	Waited time.Duration
	// Candidates is the number of workers that were considered.
	Candidates int
	// Service, P99 and Target describe the service that is too slow.
	Service manifest.ServiceName
	P99     time.Duration
	Target  time.Duration
	// Slowdown is the estimated factor by which the class slows the service; 1 is none.
	Slowdown float64
	// Failures, Workers and Jobs count the failed attempts and the distinct workers
	// and jobs in which they happened.
	Failures int
	Workers  int
	Jobs     int
	// Beneficiary is the job for which room is made.
	Beneficiary worker.JobID
	// Message is the last failure reason of a worker.
	Message string
}

// Decision is what the engine decided, with the reason and the facts.
type Decision struct {
	Kind Kind
	worker.TaskAttempt
	Job    worker.JobID
	Class  manifest.ClassName
	Worker membership.InstanceID
	// Resources is what the attempt reserves on the worker.
	Resources resource.Vector
	// Checkpoint is the object from which a started task resumes, empty for none.
	Checkpoint object.Key
	// Checkpointable reports whether the task can write checkpoints.
	Checkpointable bool
	// Mode is how an attempt is stopped.
	Mode worker.StopMode
	// Share is the limit of a throttled attempt in thousandths of its processors.
	Share  int
	Reason Reason
	Facts  Facts
	// Manifest is the version in force when the decision was made.
	Manifest manifest.Version
}

// RefusalReason tells why a job is refused.
type RefusalReason string

// Reasons to refuse a job.
const (
	RefusedInvalid     RefusalReason = "Invalid"
	RefusedDuplicate   RefusalReason = "Duplicate"
	RefusedUnknownTeam RefusalReason = "UnknownTeam"
	RefusedNoWorkers   RefusalReason = "NoWorkersKnown"
	RefusedFitsNowhere RefusalReason = "FitsNoWorker"
	RefusedGangTooBig  RefusalReason = "GangFitsNowhere"
	RefusedQuota       RefusalReason = "ExceedsQuota"
	RefusedQueueFull   RefusalReason = "QueueFull"
)

// RefusalError is returned by AddJob. Nothing of the job was kept.
type RefusalError struct {
	Job    worker.JobID
	Reason RefusalReason
	Detail string
}

// Error describes the refusal.
func (e *RefusalError) Error() string {
	return fmt.Sprintf("placement: job %s is refused: %s: %s", e.Job, e.Reason, e.Detail)
}

// State of a job or task in an Explanation.
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

// Waiting tells why the pending tasks of a job have not started.
type Waiting string

// Reasons to wait.
const (
	WaitingForTurn      Waiting = "Turn"
	WaitingForPermit    Waiting = "StartPermit"
	WaitingForRamp      Waiting = "Ramp"
	WaitingForQuota     Waiting = "Quota"
	WaitingForRoom      Waiting = "Room"
	WaitingForBackoff   Waiting = "FailureBackoff"
	WaitingForZone      Waiting = "ZoneOutOfService"
	WaitingForStopping  Waiting = "EarlierAttemptStops"
	WaitingForRestore   Waiting = "WorkersNotKnown"
	WaitingForExclusion Waiting = "OnlyExcludedWorkersFit"
)

// Explanation tells what became of a job or task and why.
type Explanation struct {
	Job     worker.JobID
	Task    worker.TaskID
	State   State
	Waiting Waiting
	// Pending, Running and Done count the tasks of the job.
	Pending int
	Running int
	Done    int
	// Queued is the time since the job or its last stopped task became pending.
	Queued time.Duration
	// Reservation names the worker that is kept free for the job, if any.
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

// TeamSummary counts what a team uses, children included.
type TeamSummary struct {
	Team     manifest.TeamName
	Running  int
	Queued   int
	Reserved resource.Vector
	Quota    resource.Vector
}

// Summary describes the engine's state.
type Summary struct {
	Workers     int
	Quarantined int
	Capacity    resource.Vector
	// Free is what available workers have left.
	Free        resource.Vector
	QueuedJobs  int
	QueuedTasks int
	Running     int
	ParkedJobs  int
	// Teams are sorted by name.
	Teams []TeamSummary
}
