package dispatch

import (
	"slices"
	"strings"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/forecast"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/interference"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/mechanism"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// Counters counts events by name.
type Counters interface {
	Add(name string, delta int64)
}

// Latencies collects durations by name.
type Latencies interface {
	Observe(name string, latency time.Duration)
}

// Recorder records decisions so that they can be explained later.
type Recorder interface {
	RecordDecision(now time.Time, d Decision)
}

// Decision describes an action of the engine or a change in its view of the system.
type Decision struct {
	// Event is the kind of decision, such as "TaskStart".
	Event  string
	Task   TaskRun
	Job    JobID
	Worker membership.InstanceID
	Reason string
	// Age is the age of the worker report on which the decision is based.
	Age time.Duration
	// Took is the age of a job at its end. Objective is the target for it.
	Took      time.Duration
	Objective time.Duration
	// SlackFactor and TargetLatency are those of the queue of an added job. Objective
	// follows from them and the client's estimates.
	SlackFactor   float64
	TargetLatency time.Duration
	// WorkerVersion is that of a worker that joined.
	WorkerVersion WorkerVersion
	// Evidence is set if the decision is about runs that may be active.
	Evidence *Evidence
	// LongDowntime is set if the decision is about a task that is down for long.
	LongDowntime *LongDowntime
	// Reservation is set if the decision is about a reservation.
	Reservation *ReservationRoom
	// ShardRoom is set if the decision records the room of the shard.
	ShardRoom *ShardRoom
}

// Options configures an Engine.
type Options struct {
	Epoch Epoch
	// LeaseTerm is how long a worker continues its runs without a renewal.
	LeaseTerm time.Duration
	// MaxLease is the longest lease that a worker grants, whatever lease end it is sent.
	MaxLease time.Duration
	// StopTimeout is how long a worker may take to stop a run.
	StopTimeout time.Duration
	// RemoteDurationFactor is how many times longer a task takes away from its preferred rack.
	RemoteDurationFactor float64
	// Disabled are the parts of the policy that aren't used.
	Disabled mechanism.Set
	Counters Counters
	// Latencies may be nil.
	Latencies Latencies
	Recorder  Recorder
}

// Engine schedules the tasks of one shard. It isn't safe for concurrent use.
type Engine struct {
	options           Options
	queues            map[QueueName]Queue
	zonesOutOfService map[membership.Zone]bool
	workers           map[membership.InstanceID]*worker
	// sortedWorkers has the workers in the order of their IDs, so that decisions are
	// reproducible.
	sortedWorkers []*worker
	// restarts counts the restarts of each worker that this owner has noticed. Workers that are
	// forgotten keep theirs, as they may come back.
	restarts     map[membership.InstanceID]int
	jobs         map[JobID]*job
	finishedJobs map[JobID]finishedJob
	earlyEnds    earlyEnds
	// dirty has the jobs whose state isn't stored yet.
	dirty map[JobID]*job
	// endsToAcknowledge has the ends that workers may forget once all jobs in awaitedUpdates are
	// stored. It is nil before they are next collected.
	endsToAcknowledge map[membership.InstanceID]lastReportedEnd
	awaitedUpdates    map[JobID]*job
	// storing reports that a batch with updates is on its way to the store.
	storing                   bool
	commands                  []Command
	interferenceProbabilities interference.Probabilities
	// recordedInterference has the last recorded decision for each pair: whether the
	// filler image interferes with the serving image.
	recordedInterference map[interference.Pair]bool
	// unloadedTails has the lowest tail latency of each serving image.
	unloadedTails map[Image]unloadedTail
	// trialRuns counts the recently started fillers by pair.
	trialRuns map[interference.Pair]int
	// recoveryEnds is when all leases that an earlier owner granted have expired.
	recoveryEnds time.Time
	recovering   bool
	// earlierOwnerActsUntil is when the earlier owner can no longer act.
	earlierOwnerActsUntil time.Time
	// hasRecord reports that the earlier owner recorded where there may be runs, and recorded has the
	// workers in that record, and recordedRuns its runs by job.
	hasRecord    bool
	recorded     map[membership.InstanceID]recordedWorker
	recordedRuns map[JobID][]recordedRun
	// awaitsAnyRun reports that a worker may have unknown runs of any recovered task, as of the last tick.
	awaitsAnyRun bool
	// released is true once the record for the next owner was made.
	released bool
	// suspended is true while another owner may have taken over.
	suspended bool
	// newJobsStartAt is when jobs that were accepted after the takeover may start.
	newJobsStartAt time.Time
	// workersRevision increases whenever the workers or their properties may have
	// changed.
	workersRevision int
	// workersListed reports that the platform's list of workers has been received.
	workersListed  bool
	tickets        map[StepID]*stepTickets
	adviceRequests []AdviceRequest
	// meanWork is the mean work of the jobs of each queue, in processor seconds.
	meanWork map[QueueName]float64
	// durations has the run times that this owner has learned.
	durations           forecast.Durations
	stragglersCheckedAt time.Time
	// copiesCheckedAt is when runs to copy were last searched for, and copies counts the outcomes of copies.
	copiesCheckedAt time.Time
	copies          copyRecord
	// forcedFillers counts the running fillers that were started although no worker was
	// feasible.
	forcedFillers int
	// starvationCheckedAt is when starving fillers were last looked for.
	// starvationCheckDue reports whether the current tick looks for them.
	starvationCheckedAt time.Time
	starvationCheckDue  bool
	// interferenceCheckedAt is when fillers were last checked for interference.
	interferenceCheckedAt time.Time
	// holdsCheckedAt is when workers were last searched for one to hold for a waiting
	// task.
	holdsCheckedAt time.Time
	// transfers has the stored transfers that TakeTransfers returns next.
	transfers []Transfer
	// urgentRestarts has the tasks that needed an urgent restart when the current tick began.
	urgentRestarts []*task
	// longDowntimesCheckedAt is when long-running tasks that are down for long were last
	// looked for.
	longDowntimesCheckedAt time.Time
	// shardRoomRecordedAt is when the room of the shard was last recorded.
	shardRoomRecordedAt time.Time
	// servingMovedAt is when a serving task was last moved.
	servingMovedAt time.Time
	// swapCheckedAt is when serving tasks that could swap workers were last searched
	// for.
	swapCheckedAt time.Time
	// exchangeCheckedAt is when a running serving task that could make way for a
	// waiting one was last searched for.
	exchangeCheckedAt time.Time
	// partnerCursor and blockingCursor are the workers at which the next searches for
	// serving tasks to move begin.
	partnerCursor  int
	blockingCursor int
	// fillerDemand is the share of each filler image in the filler steps of new jobs, as
	// a moving average.
	fillerDemand map[Image]float64
	scarcity     scarcity
	startAnswers startAnswers
	replacements replacements
	// reservations keeps room for large tasks, and largeTasks has those that found none recently.
	reservations reservations
	largeTasks   largeTasks
	// stepsWithHold has the steps for whose tasks a worker is held.
	stepsWithHold map[*step]bool
	// unplaceable has the shapes of tasks for which no worker was found in this tick,
	// with the smallest resources that didn't fit.
	unplaceable map[shape]resource.Vector
}

// finishedJob is the stored outcome of a job.
type finishedJob struct {
	outcome JobState
	at      time.Time
}

// New returns an Engine without workers or jobs.
func New(options Options) *Engine {
	return &Engine{
		options:           options,
		queues:            map[QueueName]Queue{},
		zonesOutOfService: map[membership.Zone]bool{},
		workers:           map[membership.InstanceID]*worker{},
		restarts:          map[membership.InstanceID]int{},
		jobs:              map[JobID]*job{},
		finishedJobs:      map[JobID]finishedJob{},
		dirty:             map[JobID]*job{},
		tickets:           map[StepID]*stepTickets{},

		meanWork:             map[QueueName]float64{},
		recordedInterference: map[interference.Pair]bool{},
		trialRuns:            map[interference.Pair]int{},
		unloadedTails:        map[Image]unloadedTail{},
		unplaceable:          map[shape]resource.Vector{},
		stepsWithHold:        map[*step]bool{},
		largeTasks:           largeTasks{},
	}
}

// SetSuspended pauses the engine while another owner may have taken over. A suspended engine
// starts nothing, renews no leases and doesn't treat silent workers as lost, since the
// other owner may be renewing the leases of their runs.
func (e *Engine) SetSuspended(now time.Time, suspended bool) {
	if e.suspended == suspended {
		return
	}
	e.suspended = suspended
	event := "AuthorityRegained"
	if suspended {
		event = "AuthorityLost"
	}
	e.record(now, Decision{Event: event})
}

// SetQueues applies a configuration of the queues.
func (e *Engine) SetQueues(queues map[QueueName]Queue) {
	for name, q := range queues {
		e.queues[name] = q
	}
	for _, j := range e.jobs {
		if q, known := queues[j.Queue]; known {
			j.queue = q
		}
	}
}

// Services returns the services of all queues that were configured, and of the known jobs.
func (e *Engine) Services() map[ServiceName]bool {
	services := map[ServiceName]bool{}
	for _, q := range e.queues {
		services[q.Service] = true
	}
	for _, j := range e.jobs {
		services[j.queue.Service] = true
	}
	return services
}

// SetZonesOutOfService sets the availability zones that are out of service. Nothing starts in
// them.
func (e *Engine) SetZonesOutOfService(zones map[membership.Zone]bool) {
	e.zonesOutOfService = zones
}

// AddPreviousWorkers adds the workers that an earlier owner used. Workers missing from the
// platform's list may still run tasks, so recovery waits for them too.
func (e *Engine) AddPreviousWorkers(now time.Time, list []WorkerInfo) {
	e.workersRevision++
	for _, info := range list {
		if e.workers[info.ID] != nil {
			continue
		}
		w := newWorker(info, now)
		w.listed, w.unlistedAt = false, now
		e.workers[info.ID] = w
		e.insertWorker(w)
	}
}

// WorkersRevision returns a number that changes whenever UsedWorkers may have changed.
func (e *Engine) WorkersRevision() int {
	return e.workersRevision
}

// UsedWorkers returns the workers on which tasks may be running.
func (e *Engine) UsedWorkers() []WorkerInfo {
	list := make([]WorkerInfo, 0, len(e.sortedWorkers))
	for _, w := range e.sortedWorkers {
		list = append(list, w.WorkerInfo)
	}
	return list
}

// SetWorkers replaces the list of workers. A worker that is no longer listed gets no
// new tasks and is forgotten once nothing can be running on it.
func (e *Engine) SetWorkers(now time.Time, list []WorkerInfo) {
	e.workersListed = true
	e.workersRevision++
	listed := make(map[membership.InstanceID]bool, len(list))
	for _, info := range list {
		listed[info.ID] = true
		w := e.workers[info.ID]
		if w == nil {
			w = newWorker(info, now)
			e.workers[info.ID] = w
			e.insertWorker(w)
			e.record(now, Decision{Event: "WorkerJoined", Worker: info.ID, WorkerVersion: info.Version})
		}
		if info.Draining && !w.Draining {
			e.record(now, Decision{Event: "WorkerDraining", Worker: info.ID})
		}
		w.updateLeaveTime(now, &info)
		// An answer from the previous address says nothing about the worker at the new
		// one.
		w.replaced = w.replaced && w.Address == info.Address
		w.WorkerInfo = info
		w.listed = true
	}
	for id, w := range e.workers {
		if !listed[id] && w.listed {
			w.listed = false
			w.unlistedAt = now
			e.record(now, Decision{Event: "WorkerUnlisted", Worker: id})
		}
	}
	e.observeReplacements(now, list)
}

func (e *Engine) insertWorker(w *worker) {
	at, _ := slices.BinarySearchFunc(e.sortedWorkers, w, compareWorkers)
	e.sortedWorkers = slices.Insert(e.sortedWorkers, at, w)
}

func compareWorkers(a, b *worker) int {
	return strings.Compare(string(a.ID), string(b.ID))
}

// Workers returns the IDs of all workers that must be polled.
func (e *Engine) Workers() []membership.InstanceID {
	ids := make([]membership.InstanceID, len(e.sortedWorkers))
	for i, w := range e.sortedWorkers {
		ids[i] = w.ID
	}
	return ids
}

// AddJob adds a job, with its stored progress if it was accepted under an earlier
// owner. Of a job that is already known it adds only tasks that were transferred to this shard since.
func (e *Engine) AddJob(now time.Time, j Job, stored Progress, recovered bool) {
	if known := e.jobs[j.ID]; known != nil {
		if !e.HasTasks(&j) {
			known.takeTransferred(now, j.Transferred)
		}
		return
	}
	if _, known := e.finishedJobs[j.ID]; known {
		return
	}
	added := newJob(j, e.queueOf(&j), recovered)
	e.updateMeanWork(added)
	e.updateFillerDemand(added)
	added.restore(stored)
	added.beginDowntimes(now)
	if len(j.Transferred) > 0 {
		for s := range added.openSteps() {
			s.eachAlike((*task).leave)
		}
		added.takeTransferred(now, j.Transferred)
	}
	e.jobs[j.ID] = added
	e.addRecordedRuns(added)
	e.issueTransfers(added, stored)
	e.record(now, Decision{
		Event: "JobAdded", Job: j.ID, Reason: string(j.Queue), Objective: added.objective,
		SlackFactor: added.queue.SlackFactor, TargetLatency: added.queue.TargetLatency,
	})
	e.applyEarlyEnds(now, j.ID)
	e.completeIfDone(now, added)
}

// queueOf returns the configuration of a job's queue, or the settings stored with the
// job if the queue is no longer configured.
func (e *Engine) queueOf(j *Job) Queue {
	if q, configured := e.queues[j.Queue]; configured {
		return q
	}
	return j.Settings
}

// AddFinished adds the stored outcome of a job that ended under an earlier owner, so
// that a repeated submission doesn't run it again.
func (e *Engine) AddFinished(now time.Time, id JobID, outcome JobState) {
	if !e.HasJob(id) {
		e.finishedJobs[id] = finishedJob{outcome, now}
	}
}

// HasJob reports whether the engine has the job or its outcome.
func (e *Engine) HasJob(id JobID) bool {
	_, unfinished := e.jobs[id]
	_, finished := e.finishedJobs[id]
	return unfinished || finished
}

// Cancel ends a job whose cancellation is stored.
func (e *Engine) Cancel(now time.Time, id JobID) {
	j := e.jobs[id]
	if j == nil || j.cancelled {
		return
	}
	j.cancelled = true
	e.finish(now, j, Cancelled, "cancelled by the client")
}

// State returns the state of a job. The result is false if the engine doesn't know the
// job.
func (e *Engine) State(id JobID) (JobState, bool) {
	if done, known := e.finishedJobs[id]; known {
		return done.outcome, true
	}
	j := e.jobs[id]
	if j == nil {
		return "", false
	}
	return j.visibleState(), true
}

// Pending returns the number of jobs of a queue that haven't started any task.
func (e *Engine) Pending(name QueueName) int {
	pending := 0
	for _, j := range e.jobs {
		if j.Queue == name && !j.started && j.outcome == "" {
			pending++
		}
	}
	return pending
}

// finish sets the outcome of a job and stops its remaining runs.
func (e *Engine) finish(now time.Time, j *job, state JobState, reason string) {
	if j.outcome != "" {
		return
	}
	j.outcome = state
	j.dropUnissuedTransfers()
	e.markDirty(j)
	e.record(now, Decision{
		Event: "Job" + string(state), Job: j.ID, Reason: reason,
		Took: now.Sub(j.Accepted), Objective: j.objective,
	})
	e.count("Job." + string(state))
	j.eachRecord(func(t *task) {
		e.stopAttempts(now, t, "job ended")
	})
}

func (e *Engine) completeIfDone(now time.Time, j *job) {
	if j.outcome == "" && j.remainingTasks == 0 {
		e.finish(now, j, Completed, "all tasks succeeded")
	}
}

func (e *Engine) markDirty(j *job) {
	e.dirty[j.ID] = j
}

// TakeCommands returns the commands that were issued since the last call, none once the engine is
// released: the next owner couldn't know of them.
func (e *Engine) TakeCommands() []Command {
	if e.released {
		return nil
	}
	commands := e.commands
	e.commands = nil
	return commands
}

func (e *Engine) isDisabled(m mechanism.Mechanism) bool {
	return e.options.Disabled.Has(m)
}

func (e *Engine) count(name string) {
	if e.options.Counters != nil {
		e.options.Counters.Add(name, 1)
	}
}

func (e *Engine) observe(name string, latency time.Duration) {
	if e.options.Latencies != nil {
		e.options.Latencies.Observe(name, latency)
	}
}

func (e *Engine) record(now time.Time, d Decision) {
	if e.options.Recorder != nil {
		e.options.Recorder.RecordDecision(now, d)
	}
}
