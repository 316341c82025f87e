package dispatch

import (
	"slices"
	"strings"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/interference"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// Counters counts events by name.
type Counters interface {
	Add(name string, delta int64)
}

// Latencies keeps durations by name.
type Latencies interface {
	Observe(name string, latency time.Duration)
}

// Recorder keeps decisions, so that they can be explained later.
type Recorder interface {
	RecordDecision(now time.Time, d Decision)
}

// Decision explains an act of the engine or a change of what it believes.
type Decision struct {
	// Event is what happened, such as "TaskStarted".
	Event  string
	Task   TaskRun
	Job    JobID
	Worker membership.InstanceID
	Reason string
	// Age of the worker's report on which the decision rests.
	Age time.Duration
	// Took is the age of a job at its end, Objective what it should be at most.
	Took      time.Duration
	Objective time.Duration
}

// Options are the settings of an Engine.
type Options struct {
	Epoch Epoch
	// LeaseTerm is how long a worker goes on without a renewal.
	LeaseTerm time.Duration
	// RemoteFactor is how much longer a task takes away from its preferred rack.
	RemoteFactor float64
	Counters     Counters
	// Latencies may be nil.
	Latencies Latencies
	Recorder  Recorder
}

// Engine places the tasks of one shard. It must be used by one goroutine at a time.
type Engine struct {
	options           Options
	queues            map[QueueName]Queue
	zonesOutOfService map[membership.Zone]bool
	workers           map[membership.InstanceID]*node
	// sortedWorkers has the workers in the order of their ids, so that decisions repeat.
	sortedWorkers    []*node
	jobs             map[JobID]*job
	finished         map[JobID]finishedJob
	dirty            map[JobID]*job
	commands         []Command
	interferenceOdds interference.Odds
	// recordedInterference has the last recorded verdict of each pair: whether it disturbs.
	recordedInterference map[interference.Pair]bool
	// trialRuns counts the fillers that began lately, by pair.
	trialRuns map[interference.Pair]int
	// recoveryEnds is when the leases that an earlier owner gave have ended.
	recoveryEnds time.Time
	recovering   bool
	// suspended reports that another owner may have taken over.
	suspended bool
	// newJobsStartAt is when jobs may start that were accepted after the takeover.
	newJobsStartAt time.Time
	// workersRevision rises whenever the workers or what is known of them may have changed.
	workersRevision int
	// workersListed reports that the list of workers is known.
	workersListed  bool
	tickets        map[StepID]*stepTickets
	adviceRequests []AdviceRequest
	// meanWork is the mean work of the jobs of each queue, in processor seconds.
	meanWork            map[QueueName]float64
	stragglersCheckedAt time.Time
	// forcedFillers counts the fillers that run although they found no worker.
	forcedFillers int
	// starvationCheckedAt is when starving fillers were last looked for, starveDue whether this tick
	// does.
	starvationCheckedAt time.Time
	starvationCheckDue  bool
	// interferenceCheckedAt is when fillers were last looked at that disturb.
	interferenceCheckedAt time.Time
	// holdsCheckedAt is when workers were last looked for to be held.
	holdsCheckedAt time.Time
	// servingMovedAt is when a serving task was last moved.
	servingMovedAt time.Time
	// swapCheckedAt is when serving tasks were last looked for that may change places.
	swapCheckedAt time.Time
	// exchangeCheckedAt is when a place was last looked for that a waiting serving task could
	// take over.
	exchangeCheckedAt time.Time
	// partnerCursor and strayCursor are where the next searches for serving tasks begin.
	partnerCursor  int
	blockingCursor int
	// fillerDemand is the share of each filler image in what jobs ask for.
	fillerDemand map[Image]float64
	scarcity     scarcity
	startAnswers answers
	// unplaceable has the shapes of tasks that found no worker in this tick.
	unplaceable map[shape]resource.Vector
}

// finishedJob is the stored outcome of a job.
type finishedJob struct {
	outcome JobState
	at      time.Time
}

// New returns an Engine without workers and jobs.
func New(options Options) *Engine {
	return &Engine{
		options:           options,
		queues:            map[QueueName]Queue{},
		zonesOutOfService: map[membership.Zone]bool{},
		workers:           map[membership.InstanceID]*node{},
		jobs:              map[JobID]*job{},
		finished:          map[JobID]finishedJob{},
		dirty:             map[JobID]*job{},
		tickets:           map[StepID]*stepTickets{},

		meanWork:             map[QueueName]float64{},
		recordedInterference: map[interference.Pair]bool{},
		trialRuns:            map[interference.Pair]int{},
		unplaceable:          map[shape]resource.Vector{},
	}
}

// Suspend lets the engine rest while another owner may have taken over: it starts
// nothing, renews no leases and draws no conclusions from silence, since the other
// owner may keep the runs on silent workers going.
func (e *Engine) Suspend(now time.Time, rest bool) {
	if e.suspended == rest {
		return
	}
	e.suspended = rest
	event := "AuthorityRegained"
	if rest {
		event = "AuthorityLost"
	}
	e.record(now, Decision{Event: event})
}

// SetQueues puts a configuration of the queues in force.
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

// SetZonesOut puts the set of zones in force in which nothing may start.
func (e *Engine) SetZonesOut(zones map[membership.Zone]bool) {
	e.zonesOutOfService = zones
}

// RememberWorkers enters the workers that an earlier owner used. Those that the list
// lacks may still run tasks, so recovery waits for them too.
func (e *Engine) RememberWorkers(now time.Time, list []WorkerInfo) {
	e.workersRevision++
	for _, info := range list {
		if e.workers[info.ID] != nil {
			continue
		}
		n := newNode(info, now)
		n.listed, n.unlistedAt = false, now
		e.workers[info.ID] = n
		e.insert(n)
	}
}

// FleetRevision tells whether UsedWorkers may have changed.
func (e *Engine) FleetRevision() int {
	return e.workersRevision
}

// UsedWorkers returns the workers on which something may run.
func (e *Engine) UsedWorkers() []WorkerInfo {
	list := make([]WorkerInfo, 0, len(e.sortedWorkers))
	for _, n := range e.sortedWorkers {
		list = append(list, n.WorkerInfo)
	}
	return list
}

// SetWorkers replaces the list of workers. Workers that are no longer listed get
// nothing new and are forgotten when nothing can run on them any more.
func (e *Engine) SetWorkers(now time.Time, list []WorkerInfo) {
	e.workersListed = true
	e.workersRevision++
	listed := make(map[membership.InstanceID]bool, len(list))
	for _, info := range list {
		listed[info.ID] = true
		n := e.workers[info.ID]
		if n == nil {
			n = newNode(info, now)
			e.workers[info.ID] = n
			e.insert(n)
			e.record(now, Decision{Event: "WorkerJoined", Worker: info.ID})
		}
		if info.Draining && !n.Draining {
			n.drainingAt = now
			e.record(now, Decision{Event: "WorkerDraining", Worker: info.ID})
		}
		// What answers at the former address says nothing about a new one.
		n.replaced = n.replaced && n.Address == info.Address
		n.WorkerInfo = info
		n.listed = true
	}
	for id, n := range e.workers {
		if !listed[id] && n.listed {
			n.listed = false
			n.unlistedAt = now
			e.record(now, Decision{Event: "WorkerUnlisted", Worker: id})
		}
	}
}

func (e *Engine) insert(n *node) {
	at, _ := slices.BinarySearchFunc(e.sortedWorkers, n, compareNodes)
	e.sortedWorkers = slices.Insert(e.sortedWorkers, at, n)
}

func compareNodes(a, b *node) int {
	return strings.Compare(string(a.ID), string(b.ID))
}

// Workers returns the ids of all workers that must be polled.
func (e *Engine) Workers() []membership.InstanceID {
	ids := make([]membership.InstanceID, len(e.sortedWorkers))
	for i, n := range e.sortedWorkers {
		ids[i] = n.ID
	}
	return ids
}

// AddJob enters a job, with its stored progress if it was accepted under an
// earlier owner. A job that is known already is left as it is.
func (e *Engine) AddJob(now time.Time, j Job, stored Progress, recovered bool) {
	if _, known := e.jobs[j.ID]; known {
		return
	}
	if _, known := e.finished[j.ID]; known {
		return
	}
	added := newJob(j, e.queueOf(&j), recovered)
	added.addedAt = now
	e.updateMeanWork(added)
	e.updateFillerDemand(added)
	added.restore(stored)
	e.jobs[j.ID] = added
	e.record(now, Decision{Event: "JobAdded", Job: j.ID, Reason: string(j.Queue), Objective: added.objective})
	e.completeIfDone(now, added)
}

// queueOf returns the configuration of a job's queue, or what it was when the job was
// accepted if it is no longer configured.
func (e *Engine) queueOf(j *Job) Queue {
	if q, configured := e.queues[j.Queue]; configured {
		return q
	}
	return j.Settings
}

// AddFinished enters the stored outcome of a job that ended under an earlier owner,
// so that a repeated submission doesn't run it again.
func (e *Engine) AddFinished(now time.Time, id JobID, outcome JobState) {
	if !e.Knows(id) {
		e.finished[id] = finishedJob{outcome, now}
	}
}

// Knows reports whether the engine has the job or its outcome.
func (e *Engine) Knows(id JobID) bool {
	_, live := e.jobs[id]
	_, over := e.finished[id]
	return live || over
}

// Cancel stops a job whose cancellation is stored.
func (e *Engine) Cancel(now time.Time, id JobID) {
	j := e.jobs[id]
	if j == nil || j.cancelled {
		return
	}
	j.cancelled = true
	e.finish(now, j, Cancelled, "cancelled by the client")
}

// State returns the state of a job, and false for one that the engine doesn't know.
func (e *Engine) State(id JobID) (JobState, bool) {
	if done, known := e.finished[id]; known {
		return done.outcome, true
	}
	j := e.jobs[id]
	if j == nil {
		return "", false
	}
	return j.visibleState(), true
}

// Pending returns the number of jobs of a queue that have started no task.
func (e *Engine) Pending(name QueueName) int {
	pending := 0
	for _, j := range e.jobs {
		if j.Queue == name && !j.started && j.outcome == "" {
			pending++
		}
	}
	return pending
}

// finish decides the outcome of a job and stops what still runs.
func (e *Engine) finish(now time.Time, j *job, state JobState, reason string) {
	if j.outcome != "" {
		return
	}
	j.outcome = state
	e.markDirty(j)
	e.record(now, Decision{
		Event: "Job" + string(state), Job: j.ID, Reason: reason,
		Took: now.Sub(j.Accepted), Objective: j.objective,
	})
	e.count("Job." + string(state))
	j.eachTask(func(t *task) {
		if t.attempt != nil {
			e.stop(now, t.attempt, "job ended")
		}
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

// TakeCommands returns the commands that were decided since the last call.
func (e *Engine) TakeCommands() []Command {
	taken := e.commands
	e.commands = nil
	return taken
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
