package dispatch

import (
	"cmp"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/balance"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/mechanism"
)

const (
	// refuseFactor is multiplied by the age after which completing a job has no value.
	// A job is refused if its expected age at its end exceeds the product: estimates
	// are inaccurate, and it is better to complete a job late than to refuse one that
	// might still have had value.
	refuseFactor = 1.5
	// minRetryAfter and maxRetryAfter limit the delay after which a refused client
	// should retry.
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
	// fitsNoWorkerRetry is the delay after which the client should retry a job that
	// fits no worker. Other workers may have joined by then.
	fitsNoWorkerRetry = 30 * time.Second
	// memoryRetry is the delay after which the client should retry a job for which there is no memory. Other
	// jobs may have ended by then.
	memoryRetry = 5 * time.Second
)

// Admission is the decision whether a new job is accepted.
type Admission struct {
	// Refused is the reason for a refusal. It is empty if the job is accepted.
	Refused string
	// RetryAfter is the delay after which the client should retry.
	RetryAfter time.Duration
}

// Reasons for refusals.
const (
	// RefusedFitsNoWorker is for a job with a task that doesn't fit on any worker, even an
	// empty one.
	RefusedFitsNoWorker = "FitsNoWorker"
	// RefusedOverload is for a job that would complete only when it has no value any
	// more.
	RefusedOverload = "Overloaded"
	// RefusedMemory is for a job that would take more memory than the instance has for accepted jobs.
	RefusedMemory = "JobMemory"
)

// Admit decides whether to accept a new job. A job that certainly can't be served is
// refused immediately. In case of doubt a job is accepted.
func (e *Engine) Admit(now time.Time, proposed Job) Admission {
	if e.recovering || e.suspended || !e.workersListed {
		return Admission{}
	}
	q := e.queueOf(&proposed)
	if !e.fitsSomewhere(&proposed, q.Service) {
		return Admission{RefusedFitsNoWorker, fitsNoWorkerRetry}
	}
	if proposed.Repetitions > 0 || proposed.Steps[0].LongRunning || e.isDisabled(mechanism.OverloadRefusal) {
		return Admission{}
	}
	j := newJob(proposed, q, false)
	maxUsefulAge := overdueFactor * j.objective
	wait := e.expectedWait(now, j)
	if wait+j.criticalPath() <= time.Duration(refuseFactor*float64(maxUsefulAge)) {
		return Admission{}
	}
	return Admission{RefusedOverload, min(max(wait+j.criticalPath()-j.objective, minRetryAfter), maxRetryAfter)}
}

// AdmitMemory decides whether there is memory for a new job on an instance whose jobs need the given memory.
func AdmitMemory(limit MemoryLimit, used resource.Bytes, proposed *Job) Admission {
	if limit.Accepts(used, proposed.Memory()) {
		return Admission{}
	}
	return Admission{RefusedMemory, memoryRetry}
}

// fitsSomewhere reports whether for each step there is a worker that could run one of
// its tasks if the worker were empty. Draining and silent workers count, because
// similar workers usually come back. It returns true if no worker of the service is
// known.
func (e *Engine) fitsSomewhere(j *Job, service ServiceName) bool {
	known := false
	for i := range j.Steps {
		s := &j.Steps[i]
		fits := false
		for _, w := range e.sortedWorkers {
			if w.Service != service {
				continue
			}
			known = true
			fits = fits || (s.Reserved().FitsIn(w.Capacity) && (s.Requires == "" || w.hasLabel(s.Requires)))
		}
		if known && !fits {
			return false
		}
	}
	return true
}

// expectedWait returns how long work that starts before the job occupies the processors
// that the job could use.
func (e *Engine) expectedWait(now time.Time, j *job) time.Duration {
	ahead := e.Load(now)
	if ahead.Capacity <= 0 {
		// Without available workers the wait is unknown. They may be back soon.
		return 0
	}
	ahead.ReservingWork, ahead.FillerWork = 0, 0
	density := e.valueDensity(j)
	for _, other := range e.jobs {
		if other.outcome == "" && !other.Steps[0].LongRunning && other.urgency(now) != overdue && e.startsBefore(now, other, j, density) {
			d := other.remainingDemand()
			ahead = ahead.Add(balance.Demand{ReservingWork: d.ReservingWork, FillerWork: d.FillerWork})
		}
	}
	return ahead.Wait(j.Demand())
}

// startsBefore reports whether the tasks of a job start before those of a new one with
// the given value density.
func (e *Engine) startsBefore(now time.Time, other, j *job, density float64) bool {
	return cmp.Or(
		cmp.Compare(other.queue.Priority, j.queue.Priority),
		cmp.Compare(other.urgency(now), inTime),
		cmp.Compare(density, e.valueDensity(other)),
	) <= 0
}
