package dispatch

import (
	"cmp"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/balance"
)

const (
	// refuseFactor times the age at which a job earns nothing more is the least age at
	// its expected end for it to be refused: estimates err, and a job that might still
	// be of use is better late than refused.
	refuseFactor = 1.5
	// minRetry and maxRetry bound when a refused caller should come back.
	minRetry = time.Second
	maxRetry = 30 * time.Second
	// misfitRetry is when the caller of a job that fits no worker should come back:
	// other workers may have come by then.
	misfitRetry = 30 * time.Second
)

// Admission tells whether a new job may be accepted.
type Admission struct {
	// Refused is the reason for a refusal, empty for none.
	Refused string
	// RetryAfter is when the caller should come back.
	RetryAfter time.Duration
}

// Reasons for refusals.
const (
	// RefusedMisfit is for a job with a task that no worker could take if it were empty.
	RefusedMisfit = "FitsNoWorker"
	// RefusedOverload is for a job that would end when it is of no use any more.
	RefusedOverload = "Overloaded"
)

// Admit decides whether to accept a new job. What certainly can't be served is refused
// at once; in doubt a job is accepted.
func (e *Engine) Admit(now time.Time, accepted Job) Admission {
	if e.recovering || e.suspended || !e.workersListed {
		return Admission{}
	}
	q := e.queueOf(&accepted)
	if !e.fitsSomewhere(&accepted, q.Service) {
		return Admission{RefusedMisfit, misfitRetry}
	}
	if accepted.Repetitions > 0 || accepted.Steps[0].LongRunning {
		return Admission{}
	}
	j := newJob(accepted, q, false)
	useful := uselessFactor * j.objective
	wait := e.expectedWait(now, j)
	if wait+j.criticalPath() <= time.Duration(refuseFactor*float64(useful)) {
		return Admission{}
	}
	return Admission{RefusedOverload, min(max(wait+j.criticalPath()-j.objective, minRetry), maxRetry)}
}

// fitsSomewhere reports whether for each step there is a worker that could take a task
// of it if it were empty. Workers that are leaving or silent count: others of their kind
// come back.
func (e *Engine) fitsSomewhere(j *Job, service ServiceName) bool {
	known := false
	for i := range j.Steps {
		s := &j.Steps[i]
		fits := false
		for _, n := range e.sortedWorkers {
			if n.Service != service {
				continue
			}
			known = true
			fits = fits || (s.Reserved().FitsIn(n.Capacity) && (s.Requires == "" || n.hasLabel(s.Requires)))
		}
		if known && !fits {
			return false
		}
	}
	return true
}

// expectedWait returns how long the work that goes before a job keeps the processors
// busy that it could use.
func (e *Engine) expectedWait(now time.Time, j *job) time.Duration {
	ahead := e.Load(now)
	if ahead.Capacity <= 0 {
		// Without sound workers nothing can be told; they may be back soon.
		return 0
	}
	ahead.Reserving, ahead.Filling = 0, 0
	density := e.valueDensity(j)
	for _, other := range e.jobs {
		if other.outcome == "" && !other.Steps[0].LongRunning && other.urgency(now) != overdue && e.goesBefore(now, other, j, density) {
			d := other.remainingDemand()
			ahead = ahead.Add(balance.Demand{Reserving: d.Reserving, Filling: d.Filling})
		}
	}
	return ahead.Wait(j.Demand())
}

// goesBefore reports whether the tasks of a job start before those of a new one.
func (e *Engine) goesBefore(now time.Time, other, j *job, density float64) bool {
	return cmp.Or(
		cmp.Compare(other.queue.Priority, j.queue.Priority),
		cmp.Compare(other.urgency(now), inTime),
		cmp.Compare(density, e.valueDensity(other)),
	) <= 0
}
