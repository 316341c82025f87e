package dispatch

import (
	"slices"
	"time"
)

// job is a job that isn't over, or whose runs haven't all ended.
type job struct {
	Job
	queue Queue
	// addedAt is when this owner learned of the job.
	addedAt time.Time
	// recovered jobs were accepted before this owner began.
	recovered bool
	// started reports that a task has started.
	started   bool
	cancelled bool
	// outcome is the decided outcome, empty while there is none.
	outcome JobState
	// outcomeStored reports that the outcome is outcomeStored.
	outcomeStored bool
	occurrences   [][]*step
	// remainingTasks counts the tasks that haven't succeeded.
	remainingTasks int
	// activeAttempts counts the attempts that may be running.
	activeAttempts int
	objective      time.Duration
}

// step is a step of one occurrence of a job.
type step struct {
	*Step
	id    StepID
	job   *job
	tasks []*task
	// remainingTasks counts the tasks that haven't succeeded.
	remainingTasks int
	// seenRunning reports that a run of an earlier owner was found at work.
	seenRunning bool
	// unstarted steps can't have been begun by an earlier owner.
	unstarted bool
	// perWorker counts the attempts on each worker.
	perWorker map[*node]int
	// blockedSince is when a task first found no room, zero after one did; preemptedAt is
	// when room was last made for the step.
	blockedSince time.Time
	preemptedAt  time.Time
	// durations are those of the tasks that have succeeded.
	durations []time.Duration
	// rack is where the tasks of a OneRack step run.
	rack Label
}

// task is one task of a step.
type task struct {
	id   TaskID
	step *step
	done bool
	// attempt is the run that may be going on, nil for none.
	attempt *attempt
	// run is the highest run that was used.
	run Run
	// failed lists the runs that failed.
	failed     []Run
	failedOn   []*node
	checkpoint Checkpoint
	// restartedAsSlow reports that the task was restarted because its worker seemed slow.
	restartedAsSlow bool
	// movedAt is when the task was last moved to make room for fillers.
	movedAt time.Time
	// lastHeldAt is when a worker was last held for the task.
	lastHeldAt time.Time
	// lastReportAt is when the worker of the last run was last heard of.
	lastReportAt time.Time
	// deferredSince is when the task first waited for a worker that fillers don't need; zero
	// since it started.
	deferredSince time.Time
	// nextSearchAt is when a worker is next looked for.
	nextSearchAt time.Time
	// notBefore delays the next start.
	notBefore time.Time
}

func newJob(j Job, q Queue, recovered bool) *job {
	added := &job{Job: j, queue: q, recovered: recovered}
	for k := range j.Occurrences() {
		steps := make([]*step, len(j.Steps))
		for i := range j.Steps {
			steps[i] = newStep(added, k, i)
			added.remainingTasks += steps[i].remainingTasks
		}
		added.occurrences = append(added.occurrences, steps)
	}
	added.objective = time.Duration(q.SlackFactor*float64(added.criticalPath())) + q.TargetLatency
	return added
}

func newStep(j *job, occurrence, index int) *step {
	s := &step{
		Step:           &j.Steps[index],
		id:             StepID{j.ID, occurrence, index},
		job:            j,
		remainingTasks: j.Steps[index].Tasks,
		perWorker:      map[*node]int{},
	}
	s.tasks = make([]*task, s.remainingTasks)
	for i := range s.tasks {
		s.tasks[i] = &task{id: TaskID{j.ID, occurrence, index, i}, step: s}
	}
	return s
}

// criticalPath returns the estimated duration of the steps that follow each other.
func (j *job) criticalPath() time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	longest := time.Duration(0)
	for i, s := range j.Steps {
		begin := time.Duration(0)
		for _, before := range s.After {
			begin = max(begin, ends[before])
		}
		ends[i] = begin + s.Estimate
		longest = max(longest, ends[i])
	}
	return longest
}

// remainingCriticalPath returns the estimated duration of the unfinished steps that follow
// each other in the first unfinished occurrence.
func (j *job) remainingCriticalPath() time.Duration {
	for _, steps := range j.occurrences {
		ends := make([]time.Duration, len(steps))
		longest := time.Duration(0)
		for i, s := range steps {
			begin := time.Duration(0)
			for _, before := range s.After {
				begin = max(begin, ends[before])
			}
			ends[i] = begin
			if s.remainingTasks > 0 {
				ends[i] += s.Estimate
			}
			longest = max(longest, ends[i])
		}
		if longest > 0 {
			return longest
		}
	}
	return 0
}

// work returns the estimated work of one occurrence in processor seconds.
func (j *job) work() float64 {
	work := 0.0
	for i := range j.Steps {
		work += j.Steps[i].work(j.Steps[i].Tasks)
	}
	return work
}

// remainingWork returns the estimated work of the tasks that haven't succeeded.
func (j *job) remainingWork() float64 {
	work := 0.0
	for _, steps := range j.occurrences {
		for _, s := range steps {
			work += s.work(s.remainingTasks)
		}
	}
	return work
}

// work returns the estimated work of a number of tasks in processor seconds.
func (s *Step) work(tasks int) float64 {
	return float64(tasks) * float64(s.Resources.Processors) / 1000 * s.Estimate.Seconds()
}

func (j *job) eachTask(visit func(*task)) {
	for _, steps := range j.occurrences {
		for _, s := range steps {
			for _, t := range s.tasks {
				visit(t)
			}
		}
	}
}

// task returns the task with the id, nil if there is none.
func (j *job) task(id TaskID) *task {
	if id.Occurrence < 0 || id.Occurrence >= len(j.occurrences) {
		return nil
	}
	steps := j.occurrences[id.Occurrence]
	if id.Step < 0 || id.Step >= len(steps) {
		return nil
	}
	tasks := steps[id.Step].tasks
	if id.Index < 0 || id.Index >= len(tasks) {
		return nil
	}
	return tasks[id.Index]
}

func (j *job) visibleState() JobState {
	switch {
	case j.outcomeStored:
		return j.outcome
	case j.cancelled:
		return Cancelled
	case j.started:
		return Running
	default:
		return Queued
	}
}

// deadline returns when the job should be complete.
func (j *job) deadline() time.Time {
	return j.Accepted.Add(j.objective)
}

// isReady reports whether the earlier steps have all succeeded.
func (s *step) isReady() bool {
	steps := s.job.occurrences[s.id.Occurrence]
	for _, before := range s.After {
		if steps[before].remainingTasks > 0 {
			return false
		}
	}
	return true
}

// isWaiting reports whether the task may start.
func (t *task) isWaiting(now time.Time) bool {
	return !t.done && t.attempt == nil && !now.Before(t.notBefore)
}

// noteFailure counts a failed run once and reports whether it was new.
func (t *task) noteFailure(run Run, on *node) bool {
	if slices.Contains(t.failed, run) {
		return false
	}
	t.failed = append(t.failed, run)
	t.failedOn = append(t.failedOn, on)
	return true
}

// failures returns how often the task has failed. A gang fails as a whole, whichever
// of its tasks fails.
func (t *task) failures() int {
	if !t.step.Gang {
		return len(t.failed)
	}
	runs := map[Run]bool{}
	for _, member := range t.step.tasks {
		for _, run := range member.failed {
			runs[run] = true
		}
	}
	return len(runs)
}

// TaskRange is the tasks with the indices First to Last, both included.
type TaskRange struct {
	First int
	Last  int
}

// StepProgress is the stored progress of a step of one occurrence.
type StepProgress struct {
	Done        []TaskRange        `json:",omitempty"`
	Failed      map[int][]Run      `json:",omitempty"`
	Checkpoints map[int]Checkpoint `json:",omitempty"`
}

// Progress is what must outlast the owner: the ends that workers may forget.
// Steps has one entry for each step of each occurrence, in order.
type Progress struct {
	Steps []StepProgress
}

func (j *job) progress() Progress {
	var p Progress
	for _, steps := range j.occurrences {
		for _, s := range steps {
			p.Steps = append(p.Steps, s.progress())
		}
	}
	return p
}

func (s *step) progress() StepProgress {
	var p StepProgress
	for i, t := range s.tasks {
		if t.done {
			p.Done = appendIndex(p.Done, i)
			continue
		}
		if len(t.failed) > 0 {
			if p.Failed == nil {
				p.Failed = map[int][]Run{}
			}
			p.Failed[i] = slices.Clone(t.failed)
		}
		if t.checkpoint != "" {
			if p.Checkpoints == nil {
				p.Checkpoints = map[int]Checkpoint{}
			}
			p.Checkpoints[i] = t.checkpoint
		}
	}
	return p
}

func appendIndex(ranges []TaskRange, index int) []TaskRange {
	if last := len(ranges) - 1; last >= 0 && ranges[last].Last == index-1 {
		ranges[last].Last = index
		return ranges
	}
	return append(ranges, TaskRange{index, index})
}

// restore enters stored progress. Entries that don't fit the job are left out.
func (j *job) restore(p Progress) {
	at := 0
	for _, steps := range j.occurrences {
		for _, s := range steps {
			if at < len(p.Steps) {
				s.restore(p.Steps[at])
			}
			at++
		}
	}
}

func (s *step) restore(p StepProgress) {
	for _, r := range p.Done {
		for i := max(r.First, 0); i <= r.Last && i < len(s.tasks); i++ {
			s.tasks[i].succeed()
		}
	}
	for i, runs := range p.Failed {
		if i >= 0 && i < len(s.tasks) {
			s.tasks[i].failed = slices.Clone(runs)
		}
	}
	for i, saved := range p.Checkpoints {
		if i >= 0 && i < len(s.tasks) {
			s.tasks[i].checkpoint = saved
		}
	}
	s.job.started = s.job.started || len(p.Done) > 0 || len(p.Failed) > 0
}

// succeed counts the task as done, once.
func (t *task) succeed() {
	if t.done {
		return
	}
	t.done = true
	t.step.remainingTasks--
	t.step.job.remainingTasks--
}
