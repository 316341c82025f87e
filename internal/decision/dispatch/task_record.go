package dispatch

import (
	"iter"
	"time"
)

// The tasks of a step that have never been used are all alike, and so are those that have succeeded. A step
// keeps records only of the others, so that a large step, most of whose tasks wait for room, costs little.

// task returns the record of a task, which may be changed.
func (s *step) task(index int) *task {
	switch t := s.tasks[index]; {
	case t == nil:
		return s.addRecord(index, s.unused)
	case t == s.succeeded:
		return s.addRecord(index, *s.succeeded)
	default:
		return t
	}
}

func (s *step) addRecord(index int, initial task) *task {
	if s.tasks[index] == nil {
		s.unusedTasks--
	}
	t := &initial
	t.id.Index = index
	s.tasks[index] = t
	s.job.records++
	return t
}

// view returns the state of a task, which must not be changed or kept. Only records have the index of their
// task.
func (s *step) view(index int) *task {
	if t := s.tasks[index]; t != nil {
		return t
	}
	return &s.unused
}

// views returns the states of all tasks in the order of their indices, as view does.
func (s *step) views() iter.Seq[*task] {
	return func(yield func(*task) bool) {
		for i := range s.tasks {
			if !yield(s.view(i)) {
				return
			}
		}
	}
}

// records returns the tasks that have a record, in the order of their indices.
func (s *step) records() iter.Seq[*task] {
	return func(yield func(*task) bool) {
		if s.unusedTasks == len(s.tasks) {
			return
		}
		for _, t := range s.tasks {
			if t != nil && t != s.succeeded && !yield(t) {
				return
			}
		}
	}
}

// count returns the number of tasks that haven't succeeded and match.
func (s *step) count(matches func(*task) bool) int {
	count := 0
	if s.unusedTasks > 0 && matches(&s.unused) {
		count = s.unusedTasks
	}
	for t := range s.records() {
		if !t.done && matches(t) {
			count++
		}
	}
	return count
}

// eachAlike calls change with the state of the unused tasks and with each record.
func (s *step) eachAlike(change func(*task)) {
	change(&s.unused)
	for t := range s.records() {
		change(t)
	}
}

// isRecord reports whether the state is that of a single task.
func (t *task) isRecord() bool {
	return t != &t.step.unused && t != t.step.succeeded
}

// dropRecord drops the record of a task that has succeeded and has no run.
func (t *task) dropRecord() {
	if !t.done || t.attempt != nil || t.second != nil || t.orphans > 0 {
		return
	}
	s := t.step
	if s.succeeded == nil {
		s.succeeded = &task{id: s.unused.id, step: s, done: true}
	}
	if s.tasks[t.id.Index] == t {
		s.tasks[t.id.Index] = s.succeeded
		s.job.records--
	}
	s.job.dropOccurrence(s.id.Occurrence)
}

// occurrence is one of the times that the steps of a job run.
type occurrence struct {
	steps []*step
	// remainingTasks counts the tasks that haven't succeeded.
	remainingTasks int
}

// ended replaces an occurrence all of whose tasks have succeeded.
var ended = &occurrence{}

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
		case o == ended:
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
	if j.Repetitions == 0 || o == ended || o.remainingTasks > 0 {
		return
	}
	for _, s := range o.steps {
		for range s.records() {
			return
		}
	}
	j.occurrences[k] = ended
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

// eachRecord calls visit with each task that has a record.
func (j *job) eachRecord(visit func(*task)) {
	for s := range j.openSteps() {
		for t := range s.records() {
			visit(t)
		}
	}
}
