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

// Policy places the tasks of one availability zone. *placement.Engine is one.
type Policy interface {
	Configure(now time.Time, published manifest.Published)
	SetWorker(now time.Time, w placement.Worker)
	AddJob(now time.Time, job placement.Job) error
	CancelJob(now time.Time, id worker.JobID) bool
	TaskEnded(now time.Time, end placement.TaskEnd)
	Report(now time.Time, id membership.InstanceID, sample worker.UsageSample)
	Allow(now time.Time, permit placement.StartPermit)
	Evacuate(now time.Time, on bool)
	Movable(limit int) []worker.JobID
	Tick(now time.Time) []placement.Decision
}

// PolicyName names a policy.
type PolicyName string

// Policies. The baselines take the declared sizes and know no interference.
const (
	Engine   PolicyName = "engine"
	FirstFit PolicyName = "first-fit"
	BestFit  PolicyName = "best-fit"
)

// Policies are all names, the engine first.
var Policies = []PolicyName{Engine, FirstFit, BestFit}

func newPolicy(name PolicyName) Policy {
	if name == Engine {
		e := &placement.Engine{}
		e.SetEpoch(1)
		return e
	}
	return &baseline{best: name == BestFit, running: map[worker.TaskAttempt]*given{}}
}

// baseline starts jobs in order of arrival, urgent ones first, and skips those
// that don't fit. It retries failures at once.
type baseline struct {
	best       bool
	workers    []*placement.Worker
	queue      []*queued
	running    map[worker.TaskAttempt]*given
	permit     bool
	evacuating bool
	sequence   worker.Attempt
	stops      []placement.Decision
}

type queued struct {
	placement.Job
	pending []int
	running int
}

type given struct {
	job    *queued
	index  int
	worker *placement.Worker
}

// Configure does nothing: the baseline has no quotas.
func (b *baseline) Configure(time.Time, manifest.Published) {}

// SetWorker adds a worker. Reserved is then what is in use.
func (b *baseline) SetWorker(_ time.Time, w placement.Worker) { b.workers = append(b.workers, &w) }

// AddJob queues a job.
func (b *baseline) AddJob(_ time.Time, job placement.Job) error {
	q := &queued{Job: job}
	for i := range job.Tasks {
		if !slices.ContainsFunc(job.Done, func(r placement.TaskRange) bool { return r.First <= i && i <= r.Last }) {
			q.pending = append(q.pending, i)
		}
	}
	b.queue = append(b.queue, q)
	slices.SortStableFunc(b.queue, func(x, y *queued) int { return urgency(x) - urgency(y) })
	return nil
}

func urgency(q *queued) int {
	if q.Priority == placement.Urgent {
		return 0
	}
	return 1
}

// CancelJob forgets a job and stops its tasks in the next Tick.
func (b *baseline) CancelJob(_ time.Time, id worker.JobID) bool {
	before := len(b.queue)
	b.queue = slices.DeleteFunc(b.queue, func(q *queued) bool { return q.ID == id })
	for attempt, g := range b.running {
		if g.job.ID == id {
			b.stops = append(b.stops, placement.Decision{Kind: placement.Stop, TaskAttempt: attempt, Worker: g.worker.ID})
		}
	}
	return len(b.queue) < before
}

// TaskEnded frees what the task had and queues it again unless it succeeded.
func (b *baseline) TaskEnded(_ time.Time, end placement.TaskEnd) {
	g := b.running[end.TaskAttempt]
	if g == nil {
		return
	}
	delete(b.running, end.TaskAttempt)
	g.worker.Reserved = g.worker.Reserved.Sub(g.job.Resources)
	g.job.running--
	if end.Outcome != placement.Succeeded {
		g.job.pending = append(g.job.pending, g.index)
	}
	if g.job.running == 0 && len(g.job.pending) == 0 {
		b.CancelJob(time.Time{}, g.job.ID)
	}
}

// Report ignores the sample.
func (b *baseline) Report(time.Time, membership.InstanceID, worker.UsageSample) {}

// Allow sets whether tasks may start.
func (b *baseline) Allow(_ time.Time, permit placement.StartPermit) { b.permit = permit.Starts }

// Evacuate stops everything in the next Tick.
func (b *baseline) Evacuate(_ time.Time, on bool) { b.evacuating = on }

// Movable returns idle jobs in order of arrival.
func (b *baseline) Movable(limit int) []worker.JobID {
	var ids []worker.JobID
	for _, q := range b.queue {
		if q.running == 0 && len(ids) < limit {
			ids = append(ids, q.ID)
		}
	}
	return ids
}

// Tick starts what fits.
func (b *baseline) Tick(time.Time) []placement.Decision {
	out := b.stops
	b.stops = nil
	if b.evacuating {
		for attempt, g := range b.running {
			out = append(out, placement.Decision{Kind: placement.Evict, TaskAttempt: attempt, Worker: g.worker.ID})
		}
	}
	slices.SortFunc(out, func(x, y placement.Decision) int { return int(x.Attempt) - int(y.Attempt) })
	if !b.permit || b.evacuating {
		return out
	}
	for _, q := range b.queue {
		if q.Gang && b.slots(q.Resources) < len(q.pending) {
			continue
		}
		for len(q.pending) > 0 {
			w := b.pick(q.Resources)
			if w == nil {
				break
			}
			out = append(out, b.start(q, w))
		}
	}
	return out
}

func (b *baseline) start(q *queued, w *placement.Worker) placement.Decision {
	index := q.pending[0]
	q.pending = q.pending[1:]
	q.running++
	b.sequence++
	w.Reserved = w.Reserved.Add(q.Resources)
	attempt := worker.TaskAttempt{Task: worker.TaskID(string(q.ID) + "/" + strconv.Itoa(index)), Attempt: b.sequence}
	b.running[attempt] = &given{q, index, w}
	return placement.Decision{Kind: placement.Start, TaskAttempt: attempt, Job: q.ID, Worker: w.ID, Resources: q.Resources, Checkpoint: "last"}
}

func (b *baseline) pick(need resource.Vector) *placement.Worker {
	var found *placement.Worker
	for _, w := range b.workers {
		free := w.Capacity.Sub(w.Reserved)
		if !need.FitsIn(free) {
			continue
		}
		if !b.best {
			return w
		}
		if found == nil || free.Processors < found.Capacity.Processors-found.Reserved.Processors {
			found = w
		}
	}
	return found
}

func (b *baseline) slots(need resource.Vector) int {
	total := 0
	for _, w := range b.workers {
		for free := w.Capacity.Sub(w.Reserved); need.FitsIn(free); free = free.Sub(need) {
			total++
		}
	}
	return total
}
