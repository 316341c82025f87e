package dispatch

import (
	"iter"
	"time"
)

// occurrence is one of the times that the steps of a job run.
type occurrence struct {
	steps []*step
	// remainingTasks counts the tasks that haven't succeeded.
	remainingTasks int
}

// endedOccurrence replaces an occurrence all of whose tasks have succeeded.
var endedOccurrence = &occurrence{}

// maxIdleSteps limits the steps of a repeated job that are kept for occurrences that are due and of which
// nothing runs. The first such occurrence may have more.
const maxIdleSteps = 64

// openOccurrence returns an occurrence with its steps, none if it has ended.
func (j *job) openOccurrence(k int) *occurrence {
	if j.occurrences[k] != nil {
		return j.occurrences[k]
	}
	o := &occurrence{steps: make([]*step, len(j.Steps))}
	j.occurrences[k] = o
	j.unopened--
	j.open++
	for i := range j.Steps {
		o.steps[i] = newStep(j, o, k, i)
		o.remainingTasks += j.Steps[i].Tasks
	}
	if !j.addedAt.IsZero() {
		o.beginDowntimes(j.addedAt)
	}
	return o
}

// openDue opens the occurrences that are due, as far as maxIdleSteps allows.
func (j *job) openDue(now time.Time) {
	if j.unopened == 0 {
		return
	}
	idle := 0
	for k, o := range j.occurrences {
		switch {
		case o == endedOccurrence:
		case now.Before(j.Due(k)):
			return
		case o != nil && o.isActive():
		case o == nil && idle > 0 && idle+len(j.Steps) > maxIdleSteps:
			return
		default:
			j.openOccurrence(k)
			idle += len(j.Steps)
		}
	}
}

// isActive reports whether a run of the occurrence may be active.
func (o *occurrence) isActive() bool {
	for _, s := range o.steps {
		if len(s.perWorker) > 0 {
			return true
		}
	}
	return false
}

// dropOccurrence drops the steps of an occurrence of a repeated job once all its tasks have succeeded and no
// run is active.
func (j *job) dropOccurrence(k int) {
	o := j.occurrences[k]
	if j.Repetitions == 0 || o == endedOccurrence || o.remainingTasks > 0 {
		return
	}
	for _, s := range o.steps {
		for range s.records() {
			return
		}
	}
	j.occurrences[k] = endedOccurrence
	j.open--
}

// openSteps returns the steps of the occurrences that are open.
func (j *job) openSteps() iter.Seq[*step] {
	return func(yield func(*step) bool) {
		for _, o := range j.occurrences {
			if o == nil {
				continue
			}
			for _, s := range o.steps {
				if !yield(s) {
					return
				}
			}
		}
	}
}
