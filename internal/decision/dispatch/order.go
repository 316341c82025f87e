package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// urgency orders steps; lower values come first.
type urgency int

const (
	// inTime jobs can still meet their objective.
	inTime urgency = iota
	// late jobs can't, but are still worth something.
	late
	// overdue jobs are worth nothing; they are finished with what is left over.
	overdue
)

// candidate is a step with tasks that may start.
type candidate struct {
	step    *step
	urgency urgency
	// yields reports that short tasks of the same priority go first.
	yields bool
	// density is the worth of the job for each second of work that is left.
	density float64
}

// candidates returns the steps with waiting tasks in the order in which they may start.
func (e *Engine) candidates(now time.Time) []candidate {
	var list []candidate
	for _, j := range e.jobs {
		if j.ending != "" || j.cancelled {
			continue
		}
		first := len(list)
		list = j.appendWaiting(now, list, e.mustWait(now, j))
		if len(list) == first {
			continue
		}
		u, density := j.urgency(now), e.density(j)
		for i := range list[first:] {
			list[first+i].urgency, list[first+i].density = u, density
		}
	}
	slices.SortFunc(list, compareCandidates)
	return list
}

// appendWaiting appends the steps of the job that have tasks to start; while runs of an
// earlier owner may go on unseen, only those that it can't have begun.
func (j *job) appendWaiting(now time.Time, list []candidate, mustWait bool) []candidate {
	for k, steps := range j.occurrences {
		if now.Before(j.Due(k)) {
			continue
		}
		for _, s := range steps {
			if mustWait && !s.unbegun {
				continue
			}
			if s.left > 0 && s.hasWaiting(now) && s.ready() {
				list = append(list, candidate{step: s, yields: s.yields(now)})
			}
		}
	}
	return list
}

// yieldTime is how long a long-running step that waits for room lets short tasks go first.
// The platform counts a task as lost that doesn't run 9 s after its last run, with room for
// it in the last 3 s, and short tasks that come and go always leave some.
const yieldTime = 3 * time.Second

// yields reports whether the step lets short tasks go first, since they take room only for
// a moment. How long a gang has waited isn't known.
func (s *step) yields(now time.Time) bool {
	return s.LongRunning && !s.Gang && (s.blockedAt.IsZero() || now.Sub(s.blockedAt) < yieldTime)
}

// compareYielding puts candidates that yield last.
func compareYielding(a, b candidate) int {
	switch {
	case a.yields == b.yields:
		return 0
	case a.yields:
		return 1
	}
	return -1
}

func compareCandidates(a, b candidate) int {
	return cmp.Or(
		cmp.Compare(a.step.job.queue.Priority, b.step.job.queue.Priority),
		cmp.Compare(a.urgency, b.urgency),
		compareYielding(a, b),
		cmp.Compare(b.density, a.density),
		a.step.job.deadline().Compare(b.step.job.deadline()),
		cmp.Compare(a.step.id.Job, b.step.id.Job),
		cmp.Compare(a.step.id.Occurrence, b.step.id.Occurrence),
		cmp.Compare(a.step.id.Step, b.step.id.Step),
	)
}

// urgency tells what a job is still worth, by what is left of its longest chain.
func (j *job) urgency(now time.Time) urgency {
	if j.Steps[0].LongRunning || j.Repetitions > 0 {
		return inTime
	}
	ready := now.Sub(j.Accepted) + j.remainingChain()
	switch {
	case ready <= j.objective:
		return inTime
	case ready <= lateFactor*j.objective:
		return late
	default:
		return overdue
	}
}

const (
	// fixedWorth is the part of a job's worth that doesn't grow with its work.
	fixedWorth = 0.3
	// leastWork keeps the density of nearly finished jobs finite.
	leastWork = 0.05
)

// density returns the worth of a job for each unit of work that is left, so that
// short jobs and those that are nearly complete come first when there is too much
// to do. Work is measured against the mean of the queue.
func (e *Engine) density(j *job) float64 {
	mean := e.meanWork[j.Queue]
	if mean <= 0 {
		return 1
	}
	worth := fixedWorth + (1-fixedWorth)*j.work()/mean
	return worth / max(j.remainingWork()/mean, leastWork)
}

// meanWorkWeight is the weight of a new job in the mean work of its queue.
const meanWorkWeight = 0.05

// learnWork keeps the mean work of the jobs of a queue.
func (e *Engine) learnWork(j *job) {
	mean, known := e.meanWork[j.Queue]
	if !known {
		mean = j.work()
	}
	e.meanWork[j.Queue] = mean + meanWorkWeight*(j.work()-mean)
}
