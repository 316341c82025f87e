package dispatch

import "iter"

// The tasks of a step that have never been used are all alike, and so are those that have succeeded. A step
// keeps records only of the others, so that a large step, most of whose tasks wait for room, costs little.

// task returns the record of a task, which may be changed.
func (s *step) task(index int) *task {
	shared := s.view(index)
	if shared.isRecord() {
		return shared
	}
	if shared == &s.unused {
		s.unusedTasks--
	}
	t := *shared
	t.id.Index = index
	s.tasks[index] = &t
	s.job.records++
	return &t
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

// some reports whether any task that hasn't succeeded matches.
func (s *step) some(matches func(*task) bool) bool {
	if s.unusedTasks > 0 && matches(&s.unused) {
		return true
	}
	for t := range s.records() {
		if !t.done && matches(t) {
			return true
		}
	}
	return false
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

// eachRecord calls visit with each task that has a record.
func (j *job) eachRecord(visit func(*task)) {
	for s := range j.openSteps() {
		for t := range s.records() {
			visit(t)
		}
	}
}
