package replay

import (
	"slices"
	"strconv"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
	"github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/placement"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/manifest"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// Policy places the tasks of one availability zone. *placement.Engine implements it.
type Policy interface {
	ApplyManifest(now time.Time, published manifest.Published)
	SetWorker(now time.Time, w placement.Worker)
	AddJob(now time.Time, job placement.Job) error
	CancelJob(now time.Time, id worker.JobID) bool
	TaskEnded(now time.Time, end placement.TaskEnd)
	RecordUsageSample(now time.Time, id membership.InstanceID, sample worker.UsageSample)
	SetStartPermit(now time.Time, permit placement.StartPermit)
	SetEvacuating(now time.Time, on bool)
	MovableJobs(limit int) []worker.JobID
	Tick(now time.Time) []placement.Decision
}

// PolicyName is the name of a policy.
type PolicyName string

// Policy names. The baselines first-fit and best-fit rely on the declared resources
// and don't consider interference.
const (
	Engine   PolicyName = "engine"
	FirstFit PolicyName = "first-fit"
	BestFit  PolicyName = "best-fit"
)

// PolicyNames lists all policies, the engine first.
var PolicyNames = []PolicyName{Engine, FirstFit, BestFit}

func newPolicy(name PolicyName) Policy {
	if name == Engine {
		e := &placement.Engine{}
		e.SetEpoch(1)
		return e
	}
	return &baseline{bestFit: name == BestFit, running: map[worker.TaskAttempt]*assignment{}}
}

// baseline is first-fit or best-fit placement. It starts jobs in order of arrival,
// urgent ones first, and skips those that don't fit. It retries failed tasks without
// delay.
type baseline struct {
	bestFit       bool
	workers       []*placement.Worker
	queue         []*queuedJob
	running       map[worker.TaskAttempt]*assignment
	startsAllowed bool
	evacuating    bool
	lastAttempt   worker.Attempt
	pendingStops  []placement.Decision
}

type queuedJob struct {
	placement.Job
	// pending has the indexes of the tasks that wait for a worker.
	pending []int
	running int
}

// assignment is a task that was started on a worker.
type assignment struct {
	job    *queuedJob
	index  int
	worker *placement.Worker
}

// ApplyManifest ignores the manifest, because the baseline has no quotas.
func (b *baseline) ApplyManifest(time.Time, manifest.Published) {}

// SetWorker adds a worker. From then on its Reserved includes the resources of the
// tasks that run on it.
func (b *baseline) SetWorker(_ time.Time, w placement.Worker) { b.workers = append(b.workers, &w) }

// AddJob queues a job.
func (b *baseline) AddJob(_ time.Time, job placement.Job) error {
	q := &queuedJob{Job: job}
	for i := range job.Tasks {
		if !slices.ContainsFunc(job.Done, func(r placement.TaskRange) bool { return r.First <= i && i <= r.Last }) {
			q.pending = append(q.pending, i)
		}
	}
	b.queue = append(b.queue, q)
	slices.SortStableFunc(b.queue, func(x, y *queuedJob) int { return priorityRank(x) - priorityRank(y) })
	return nil
}

func priorityRank(q *queuedJob) int {
	if q.Priority == placement.Urgent {
		return 0
	}
	return 1
}

// CancelJob removes a job. The next Tick stops its tasks.
func (b *baseline) CancelJob(_ time.Time, id worker.JobID) bool {
	before := len(b.queue)
	b.queue = slices.DeleteFunc(b.queue, func(q *queuedJob) bool { return q.ID == id })
	for attempt, a := range b.running {
		if a.job.ID == id {
			b.pendingStops = append(b.pendingStops, placement.Decision{Kind: placement.Stop, TaskAttempt: attempt, Worker: a.worker.ID})
		}
	}
	return len(b.queue) < before
}

// TaskEnded frees the resources of the task and queues it again unless it succeeded.
func (b *baseline) TaskEnded(_ time.Time, end placement.TaskEnd) {
	a := b.running[end.TaskAttempt]
	if a == nil {
		return
	}
	delete(b.running, end.TaskAttempt)
	a.worker.Reserved = a.worker.Reserved.Sub(a.job.Resources)
	a.job.running--
	if end.Outcome != placement.Succeeded {
		a.job.pending = append(a.job.pending, a.index)
	}
	if a.job.running == 0 && len(a.job.pending) == 0 {
		// The job has ended, so CancelJob only removes it from the queue.
		b.CancelJob(time.Time{}, a.job.ID)
	}
}

// RecordUsageSample ignores the sample.
func (b *baseline) RecordUsageSample(time.Time, membership.InstanceID, worker.UsageSample) {}

// SetStartPermit sets whether tasks may start. It ignores the ramp.
func (b *baseline) SetStartPermit(_ time.Time, permit placement.StartPermit) {
	b.startsAllowed = permit.Allowed
}

// SetEvacuating sets whether each Tick evicts all running tasks.
func (b *baseline) SetEvacuating(_ time.Time, on bool) { b.evacuating = on }

// MovableJobs returns jobs without running tasks, urgent ones first, then in order of
// arrival.
func (b *baseline) MovableJobs(limit int) []worker.JobID {
	var ids []worker.JobID
	for _, q := range b.queue {
		if q.running == 0 && len(ids) < limit {
			ids = append(ids, q.ID)
		}
	}
	return ids
}

// Tick stops the tasks of canceled jobs, evicts all running tasks while the zone is
// evacuated, and otherwise starts the tasks that fit if starts are allowed.
func (b *baseline) Tick(time.Time) []placement.Decision {
	decisions := b.pendingStops
	b.pendingStops = nil
	if b.evacuating {
		for attempt, a := range b.running {
			decisions = append(decisions, placement.Decision{Kind: placement.Evict, TaskAttempt: attempt, Worker: a.worker.ID})
		}
	}
	slices.SortFunc(decisions, func(x, y placement.Decision) int { return int(x.Attempt) - int(y.Attempt) })
	if !b.startsAllowed || b.evacuating {
		return decisions
	}
	for _, q := range b.queue {
		if q.Gang && b.countFitting(q.Resources) < len(q.pending) {
			continue
		}
		for len(q.pending) > 0 {
			w := b.pickWorker(q.Resources)
			if w == nil {
				break
			}
			decisions = append(decisions, b.startTask(q, w))
		}
	}
	return decisions
}

func (b *baseline) startTask(q *queuedJob, w *placement.Worker) placement.Decision {
	index := q.pending[0]
	q.pending = q.pending[1:]
	q.running++
	b.lastAttempt++
	w.Reserved = w.Reserved.Add(q.Resources)
	attempt := worker.TaskAttempt{Task: worker.TaskID(string(q.ID) + "/" + strconv.Itoa(index)), Attempt: b.lastAttempt}
	b.running[attempt] = &assignment{q, index, w}
	return placement.Decision{Kind: placement.Start, TaskAttempt: attempt, Job: q.ID, Worker: w.ID, Resources: q.Resources, Checkpoint: "last"}
}

// pickWorker returns the first worker with enough free resources, or with bestFit the
// one with the fewest free processors; nil if the task fits nowhere.
func (b *baseline) pickWorker(need resource.Vector) *placement.Worker {
	var found *placement.Worker
	for _, w := range b.workers {
		free := w.Capacity.Sub(w.Reserved)
		if !need.FitsIn(free) {
			continue
		}
		if !b.bestFit {
			return w
		}
		if found == nil || free.Processors < found.Capacity.Processors-found.Reserved.Processors {
			found = w
		}
	}
	return found
}

// countFitting returns how many tasks that each need these resources fit on the workers
// together.
func (b *baseline) countFitting(need resource.Vector) int {
	total := 0
	for _, w := range b.workers {
		for free := w.Capacity.Sub(w.Reserved); need.FitsIn(free); free = free.Sub(need) {
			total++
		}
	}
	return total
}
