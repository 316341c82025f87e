package dispatch

import (
	"slices"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// job is a job that isn't finished, or some of whose runs haven't ended.
type job struct {
	Job
	queue Queue
	// addedAt is when this owner learned of the job.
	addedAt time.Time
	// recovered reports that the job was accepted under an earlier owner.
	recovered bool
	// started reports that a task has started.
	started   bool
	cancelled bool
	// outcome is the final state of the job. It is empty while the job isn't finished.
	outcome JobState
	// outcomeStored reports that the outcome is stored.
	outcomeStored bool
	// occurrences has nil for those that aren't open: of a repeated job, an occurrence is opened once it is
	// due, or once a run or an end of it becomes known. unopened counts them.
	occurrences []*occurrence
	unopened    int
	// open counts the occurrences that are open.
	open int
	// memory is what the owner needs for the job while none of its tasks runs, and records the number of
	// records of its tasks.
	memory  resource.Bytes
	records int
	// remainingTasks counts the tasks that haven't succeeded.
	remainingTasks int
	// transfers has the tasks that other shards run.
	transfers map[Shard]*outgoingTransfer
	// activeAttempts counts the attempts that may be running.
	activeAttempts int
	// objective is the target for the duration of the job.
	objective time.Duration
}

// step is a step of one occurrence of a job.
type step struct {
	*Step
	id         StepID
	job        *job
	occurrence *occurrence
	// tasks has the records of the tasks: nil for each that has never been used, and succeeded for those
	// that have succeeded and have no run. unusedTasks counts the first.
	tasks       []*task
	unusedTasks int
	// unused is the state of the tasks that have never been used, and succeeded that of the tasks that have
	// succeeded, nil before there are any.
	unused    task
	succeeded *task
	// remainingTasks counts the tasks that haven't succeeded.
	remainingTasks int
	// seenRunning reports that a run started by an earlier owner was found running.
	seenRunning bool
	// unstarted reports that no earlier owner can have started the step.
	unstarted bool
	// perWorker counts the attempts on each worker.
	perWorker map[*worker]int
	// blockedSince is when a task of the step first found no feasible worker, or zero
	// if one was found since. preemptedAt is when other runs were last stopped to make
	// room for the step.
	blockedSince time.Time
	preemptedAt  time.Time
	// overtakenAt is when a smaller task last started while the step waited for room. missedOn is the worker
	// whose reservation for the step last missed its time. It is empty once the step has a new reservation.
	overtakenAt time.Time
	missedOn    membership.InstanceID
	// urgency is that of the job when the step was last a candidate.
	urgency urgency
	// refusedByReservation reports that the last search found room that is reserved.
	refusedByReservation bool
	// restartsUrgently reports that a task of the step needs an urgent restart in this tick.
	restartsUrgently bool
	// durations are the durations of the tasks that have succeeded.
	durations []time.Duration
	// rack is the rack on which the tasks of a OneRack step are being placed, and noRackSince is when
	// no rack first had room for all of them, or zero.
	rack        Label
	noRackSince time.Time
}

// task is one task of a step.
type task struct {
	id   TaskID
	step *step
	done bool
	// elsewhere reports that another shard runs the task.
	elsewhere bool
	// attempt is the run that may be active, or nil. second is another one, a copy on another worker.
	attempt *attempt
	second  *attempt
	// run is the highest run number used so far, and firstRun the highest one that was used before the
	// task was transferred to this shard.
	run      Run
	firstRun Run
	// failed lists the runs that failed, failedOn the workers that failed the task or
	// were too slow for it.
	failed     []Run
	failedOn   []*worker
	checkpoint Checkpoint
	// restartedAsSlow reports that the task was restarted because its worker seemed
	// slow.
	restartedAsSlow bool
	// replacementMoves counts the moves of a long-running task off workers that were replaced.
	replacementMoves int
	// movedAt is when the task was last moved to another worker.
	movedAt time.Time
	// lastHeldAt is when a worker was last held for the task.
	lastHeldAt time.Time
	// lastRunAt is when the worker of the last run that was active last reported. Starts that a
	// worker refused don't count.
	lastRunAt time.Time
	// deferredSince is when the task, after its last run, began to wait for a worker that
	// doesn't block fillers, or zero if it didn't yet.
	deferredSince time.Time
	// nextSearchAt is the earliest time of the next search for a worker.
	nextSearchAt time.Time
	// down is the downtime of a long-running task, with a zero time while it is at work.
	down downtime
	// notBefore is the earliest time of the next start.
	notBefore time.Time
	// orphans counts the orphans of the task. It doesn't start again while there are any.
	orphans int
	// otherRun is a run of the task that the earlier owner was stopping. The task doesn't start again
	// before otherRunEndsBy.
	otherRun       TaskRun
	otherRunEndsBy time.Time
	// recordedOn has the workers on which the earlier owner recorded a run of the task, and seenRunning
	// reports that a worker has reported the task's only run to this owner.
	recordedOn  []membership.InstanceID
	seenRunning bool
}

func newJob(j Job, q Queue, recovered bool) *job {
	added := &job{Job: j, queue: q, recovered: recovered, memory: j.Memory()}
	added.occurrences = make([]*occurrence, j.Occurrences())
	added.unopened = len(added.occurrences)
	for i := range j.Steps {
		added.remainingTasks += j.Steps[i].Tasks * added.unopened
	}
	if j.Repetitions == 0 {
		added.openOccurrence(0)
	}
	added.objective = time.Duration(q.SlackFactor*float64(added.criticalPath())) + q.TargetLatency
	return added
}

func newStep(j *job, o *occurrence, k, index int) *step {
	count := j.Steps[index].Tasks
	s := &step{
		Step:           &j.Steps[index],
		id:             StepID{j.ID, k, index},
		job:            j,
		occurrence:     o,
		tasks:          make([]*task, count),
		unusedTasks:    count,
		remainingTasks: count,
		perWorker:      map[*worker]int{},
	}
	s.unused = task{id: TaskID{Job: j.ID, Occurrence: k, Step: index}, step: s}
	return s
}

// criticalPath returns the estimated duration of the longest chain of dependent steps.
func (j *job) criticalPath() time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	longest := time.Duration(0)
	for i, s := range j.Steps {
		begin := time.Duration(0)
		for _, dependency := range s.After {
			begin = max(begin, ends[dependency])
		}
		ends[i] = begin + s.Estimate
		longest = max(longest, ends[i])
	}
	return longest
}

// remainingCriticalPath returns the estimated duration of the longest chain of
// unfinished steps in the first unfinished occurrence.
func (j *job) remainingCriticalPath() time.Duration {
	for _, o := range j.occurrences {
		if o == nil {
			if whole := j.criticalPath(); whole > 0 {
				return whole
			}
			continue
		}
		ends := make([]time.Duration, len(o.steps))
		longest := time.Duration(0)
		for i, s := range o.steps {
			begin := time.Duration(0)
			for _, dependency := range s.After {
				begin = max(begin, ends[dependency])
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

// remainingWork returns the estimated work of the tasks that haven't succeeded, in
// processor seconds.
func (j *job) remainingWork() float64 {
	work := float64(j.unopened) * j.work()
	for s := range j.openSteps() {
		work += s.work(s.remainingTasks)
	}
	return work
}

// work returns the estimated work of a number of tasks in processor seconds.
func (s *Step) work(tasks int) float64 {
	return float64(tasks) * float64(s.Resources.Processors) / 1000 * s.Estimate.Seconds()
}

// task returns the record of the task with the ID, or nil if there is no such task or its occurrence has ended.
func (j *job) task(id TaskID) *task {
	if id.Occurrence < 0 || id.Occurrence >= len(j.occurrences) {
		return nil
	}
	if id.Step < 0 || id.Step >= len(j.Steps) || id.Index < 0 || id.Index >= j.Steps[id.Step].Tasks {
		return nil
	}
	o := j.openOccurrence(id.Occurrence)
	if o == endedOccurrence {
		return nil
	}
	return o.steps[id.Step].task(id.Index)
}

// visibleState returns the state that the client sees. An outcome becomes visible only
// once it is stored. A cancellation is visible immediately, because it is stored first.
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

// isReady reports whether all steps that the step depends on have succeeded.
func (s *step) isReady() bool {
	for _, dependency := range s.After {
		if s.occurrence.steps[dependency].remainingTasks > 0 {
			return false
		}
	}
	return true
}

// mayStart reports whether it is the turn of the step: its occurrence is due, and the steps before it
// have ended.
func (s *step) mayStart(now time.Time) bool {
	return !now.Before(s.job.Due(s.id.Occurrence)) && s.isReady()
}

// isWaiting reports whether the task may start once it is the turn of its step.
func (t *task) isWaiting(now time.Time) bool {
	return !t.done && !t.elsewhere && t.attempt == nil && t.orphans == 0 && !now.Before(t.notBefore) && !now.Before(t.otherRunEndsBy)
}

// recordFailure records a failed run and reports whether it was new.
func (t *task) recordFailure(run Run, on *worker) bool {
	if slices.Contains(t.failed, run) {
		return false
	}
	t.failed = append(t.failed, run)
	t.failedOn = append(t.failedOn, on)
	return true
}

// failures returns how often the task has failed. The failure of any task of a gang
// counts as a failure of the whole gang.
func (t *task) failures() int {
	if !t.step.Gang {
		return len(t.failed)
	}
	runs := map[Run]bool{}
	for member := range t.step.records() {
		for _, run := range member.failed {
			runs[run] = true
		}
	}
	return len(runs)
}

// TaskRange is the tasks with the indices First to Last, inclusive.
type TaskRange struct {
	First int
	Last  int
}

// StepProgress is the stored progress of a step of one occurrence.
type StepProgress struct {
	Done        []TaskRange        `json:",omitempty"`
	Failed      map[int][]Run      `json:",omitempty"`
	Checkpoints map[int]Checkpoint `json:",omitempty"`
	// Elsewhere has the tasks that other shards run.
	Elsewhere map[Shard][]TransferredTask `json:",omitempty"`
}

// Progress is the state that must outlive the owner: the ends of runs that workers may
// forget. Steps has one entry for each step of each occurrence, in order.
type Progress struct {
	Steps []StepProgress
}

func (j *job) progress() Progress {
	var p Progress
	for _, o := range j.occurrences {
		for i := range j.Steps {
			switch o {
			case nil:
				p.Steps = append(p.Steps, StepProgress{})
			case endedOccurrence:
				p.Steps = append(p.Steps, StepProgress{Done: []TaskRange{{0, j.Steps[i].Tasks - 1}}})
			default:
				p.Steps = append(p.Steps, o.steps[i].progress())
			}
		}
	}
	return p
}

func (s *step) progress() StepProgress {
	p := StepProgress{Elsewhere: s.storedTransfers()}
	for i := range s.tasks {
		t := s.view(i)
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

// appendIndex adds the next higher index to a list of ranges.
func appendIndex(ranges []TaskRange, index int) []TaskRange {
	if last := len(ranges) - 1; last >= 0 && ranges[last].Last == index-1 {
		ranges[last].Last = index
		return ranges
	}
	return append(ranges, TaskRange{index, index})
}

// restore applies stored progress. Entries that don't match the job are ignored.
func (j *job) restore(p Progress) {
	for at := range p.Steps {
		k, i := at/len(j.Steps), at%len(j.Steps)
		if k >= len(j.occurrences) {
			return
		}
		if o := j.occurrences[k]; o == nil && p.Steps[at].isZero() || o == endedOccurrence {
			continue
		}
		j.openOccurrence(k).steps[i].restore(p.Steps[at])
	}
}

// isZero reports whether nothing of the step is stored.
func (p StepProgress) isZero() bool {
	return len(p.Done) == 0 && len(p.Failed) == 0 && len(p.Checkpoints) == 0 && len(p.Elsewhere) == 0
}

func (s *step) restore(p StepProgress) {
	for _, r := range p.Done {
		for i := max(r.First, 0); i <= r.Last && i < len(s.tasks); i++ {
			s.task(i).succeed()
		}
	}
	for i, runs := range p.Failed {
		if i >= 0 && i < len(s.tasks) {
			s.task(i).failed = slices.Clone(runs)
		}
	}
	for i, saved := range p.Checkpoints {
		if i >= 0 && i < len(s.tasks) {
			s.task(i).checkpoint = saved
		}
	}
	s.restoreTransfers(p.Elsewhere)
	s.job.started = s.job.started || len(p.Done) > 0 || len(p.Failed) > 0 || len(p.Elsewhere) > 0
}

// succeed marks the task as done. Further calls have no effect.
func (t *task) succeed() {
	if t.done {
		return
	}
	t.done = true
	t.step.remainingTasks--
	t.step.occurrence.remainingTasks--
	t.step.job.remainingTasks--
	t.dropRecord()
}
