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
	// yieldsToShortTasks reports that short tasks of the same priority go first.
	yieldsToShortTasks bool
	// valueDensity is the worth of the job for each second of work that is left.
	valueDensity float64
}

// candidates returns the steps with waiting tasks in the order in which they may start.
func (e *Engine) candidates(now time.Time) []candidate {
	var list []candidate
	for _, j := range e.jobs {
		if j.outcome != "" || j.cancelled {
			continue
		}
		first := len(list)
		list = j.appendWaiting(now, list, e.mustWait(now, j))
		if len(list) == first {
			continue
		}
		u, density := j.urgency(now), e.valueDensity(j)
		for i := range list[first:] {
			list[first+i].urgency, list[first+i].valueDensity = u, density
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
			if mustWait && !s.unstarted {
				continue
			}
			if s.remainingTasks > 0 && s.hasWaiting(now) && s.isReady() {
				list = append(list, candidate{step: s, yieldsToShortTasks: s.yieldsToShortTasks(now)})
			}
		}
	}
	return list
}

// maxYieldTime is how long a long-running step that waits for room lets short tasks go first.
// The platform counts a task as lost that doesn't run 9 s after its last run, with room for
// it in the last 3 s, and short tasks that come and go always leave some.
const maxYieldTime = 3 * time.Second

// yieldsToShortTasks reports whether the step lets short tasks go first, since they take room only for
// a moment. How long a gang has waited isn't known.
func (s *step) yieldsToShortTasks(now time.Time) bool {
	return s.LongRunning && !s.Gang && (s.blockedSince.IsZero() || now.Sub(s.blockedSince) < maxYieldTime)
}

// compareYields puts candidates that yield last.
func compareYields(a, b candidate) int {
	switch {
	case a.yieldsToShortTasks == b.yieldsToShortTasks:
		return 0
	case a.yieldsToShortTasks:
		return 1
	}
	return -1
}

func compareCandidates(a, b candidate) int {
	return cmp.Or(
		cmp.Compare(a.step.job.queue.Priority, b.step.job.queue.Priority),
		cmp.Compare(a.urgency, b.urgency),
		compareYields(a, b),
		cmp.Compare(b.valueDensity, a.valueDensity),
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
	ready := now.Sub(j.Accepted) + j.remainingCriticalPath()
	switch {
	case ready <= j.objective:
		return inTime
	case ready <= uselessFactor*j.objective:
		return late
	default:
		return overdue
	}
}

const (
	// fixedValueShare is the part of a job's worth that doesn't grow with its work.
	fixedValueShare = 0.3
	// minRelativeWork keeps the density of nearly finished jobs finite.
	minRelativeWork = 0.05
)

// valueDensity returns the worth of a job for each unit of work that is left, so that
// short jobs and those that are nearly complete come first when there is too much
// to do. Work is measured against the mean of the queue.
func (e *Engine) valueDensity(j *job) float64 {
	mean := e.meanWork[j.Queue]
	if mean <= 0 {
		return 1
	}
	worth := fixedValueShare + (1-fixedValueShare)*j.work()/mean
	return worth / max(j.remainingWork()/mean, minRelativeWork)
}

// meanWorkSmoothing is the weight of a new job in the mean work of its queue.
const meanWorkSmoothing = 0.05

// updateMeanWork keeps the mean work of the jobs of a queue.
func (e *Engine) updateMeanWork(j *job) {
	mean, known := e.meanWork[j.Queue]
	if !known {
		mean = j.work()
	}
	e.meanWork[j.Queue] = mean + meanWorkSmoothing*(j.work()-mean)
}
