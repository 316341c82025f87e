package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/mechanism"
)

// urgency classifies a job by whether it can still meet its objective. Steps of jobs
// with lower values start first.
type urgency int

const (
	// inTime jobs can still meet their objective.
	inTime urgency = iota
	// late jobs can no longer meet it, but completing them still has value.
	late
	// overdue jobs have no value any more. They run only on capacity that nothing else
	// needs.
	overdue
)

// candidate is a step with tasks that may start.
type candidate struct {
	step    *step
	urgency urgency
	// yieldsToShortTasks reports that short tasks of the same priority and urgency go
	// first.
	yieldsToShortTasks bool
	// valueDensity is the value of the job per unit of remaining work.
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
		list = e.appendWaiting(now, list, j)
		if len(list) == first {
			continue
		}
		u, density := j.urgency(now), e.valueDensity(j)
		if e.isDisabled(mechanism.UrgencyClasses) {
			u = inTime
		}
		for i := range list[first:] {
			c := &list[first+i]
			c.urgency, c.valueDensity, c.step.urgency = u, density, u
			c.yieldsToShortTasks = c.yieldsToShortTasks && !e.isDisabled(mechanism.YieldToShortTasks)
		}
	}
	slices.SortFunc(list, compareCandidates)
	return list
}

// appendWaiting appends the steps of the job that have tasks to start.
func (e *Engine) appendWaiting(now time.Time, list []candidate, j *job) []candidate {
	j.openDue(now)
	for k, o := range j.occurrences {
		if o == nil || o == endedOccurrence || now.Before(j.Due(k)) {
			continue
		}
		for _, s := range o.steps {
			if s.remainingTasks > 0 && e.hasStartable(now, s) && s.isReady() {
				list = append(list, candidate{step: s, yieldsToShortTasks: s.yieldsToShortTasks(now)})
			}
		}
	}
	return list
}

// maxYieldTime is how long a long-running step that waits for room lets short tasks go
// first. The platform counts a task as lost if it doesn't run for 9 s after its last
// run while there was room for it in the last 3 s, and short tasks that come and go
// always leave some room.
const maxYieldTime = 3 * time.Second

// yieldsToShortTasks reports whether the step lets short tasks go first, because they
// occupy room only briefly. Gangs never yield, because how long they have waited isn't
// recorded.
func (s *step) yieldsToShortTasks(now time.Time) bool {
	return s.LongRunning && !s.Gang && (s.blockedSince.IsZero() || now.Sub(s.blockedSince) < maxYieldTime)
}

// compareYields sorts candidates that yield to short tasks last.
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

// urgency derives the urgency of a job from its age and the remaining critical path.
func (j *job) urgency(now time.Time) urgency {
	if j.Steps[0].LongRunning || j.Repetitions > 0 {
		return inTime
	}
	expectedAge := now.Sub(j.Accepted) + j.remainingCriticalPath()
	switch {
	case expectedAge <= j.objective:
		return inTime
	case expectedAge <= overdueFactor*j.objective:
		return late
	default:
		return overdue
	}
}

const (
	// fixedValueShare is the share of a job's value that doesn't grow with its work.
	fixedValueShare = 0.3
	// minRelativeWork keeps the value density of nearly finished jobs finite.
	minRelativeWork = 0.05
)

// valueDensity returns the value of the job per unit of remaining work, so that short
// jobs and nearly complete ones come first under overload. Work is measured relative to
// the mean of the queue.
func (e *Engine) valueDensity(j *job) float64 {
	mean := e.meanWork[j.Queue]
	if mean <= 0 || e.isDisabled(mechanism.ValueDensity) {
		return 1
	}
	value := fixedValueShare + (1-fixedValueShare)*j.work()/mean
	return value / max(j.remainingWork()/mean, minRelativeWork)
}

// meanWorkSmoothing is the weight of a new job in the mean work of its queue.
const meanWorkSmoothing = 0.05

// updateMeanWork updates the mean work of the jobs of the queue with a new job.
func (e *Engine) updateMeanWork(j *job) {
	mean, known := e.meanWork[j.Queue]
	if !known {
		mean = j.work()
	}
	e.meanWork[j.Queue] = mean + meanWorkSmoothing*(j.work()-mean)
}
