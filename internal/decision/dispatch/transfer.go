package dispatch

import (
	"fmt"
	"slices"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
)

// transferDowntime is the time without a run after which a long-running task may be transferred to
// another shard. By then its own shard has tried to restart it urgently.
const transferDowntime = urgentDowntime + time.Second

// Shard is the number of a shard in the deployment, starting from 0.
type Shard int

// TransferredTask is a long-running task that was transferred from the shard of its job to another
// shard, which runs it until the job ends.
type TransferredTask struct {
	Index int
	// Run is the highest run number that was used before the transfer.
	Run Run
	// Down is how long the task had been without a run when it was transferred.
	Down       time.Duration
	Checkpoint Checkpoint `json:",omitempty"`
}

// TransferCandidate is a task that another shard may run.
type TransferCandidate struct {
	Task    TaskID
	Service ServiceName
	// Resources are what the task reserves.
	Resources resource.Vector
}

// Transfer asks another shard to run tasks of a job. All tasks of the job that were transferred to that
// shard are in Job.Transferred.
type Transfer struct {
	Job Job
	To  Shard
}

// TransferCandidates returns up to limit tasks that have been down for long and found no room in this
// shard, in the order in which they went down. Left out are tasks that another shard transferred here,
// those whose constraints relate them to other tasks of their step, and those that need a label or a
// ticket, because the loads of other shards don't tell which workers have them.
func (e *Engine) TransferCandidates(now time.Time, limit int) []TransferCandidate {
	if e.recovering || e.suspended {
		return nil
	}
	var list []TransferCandidate
	for _, t := range e.urgentRestarts {
		if len(list) == limit {
			break
		}
		if t.isWaiting(now) && t.isDownFor(now, transferDowntime) && t.step.isTransferable() {
			list = append(list, TransferCandidate{t.id, t.step.job.queue.Service, t.step.Reserved()})
		}
	}
	return list
}

// isTransferable reports whether another shard may run tasks of the step.
func (s *step) isTransferable() bool {
	j := s.job
	return len(j.Transferred) == 0 && len(j.Steps) == 1 && j.Occurrences() == 1 &&
		s.LongRunning && !s.Gang && !s.OneRack && s.Requires == "" && !j.queue.NeedsAdvice
}

// TransferTask gives a task up, so that another shard can run it until the job ends. The transfer is
// returned by TakeTransfers once it is stored.
func (e *Engine) TransferTask(now time.Time, id TaskID, to Shard) {
	t := e.findTask(id)
	if t == nil || !t.isWaiting(now) || t.step.job.outcome != "" {
		return
	}
	j := t.step.job
	if j.transfers == nil {
		j.transfers = map[Shard]*outgoingTransfer{}
	}
	if j.transfers[to] == nil {
		j.transfers[to] = &outgoingTransfer{}
	}
	out := j.transfers[to]
	out.tasks = append(out.tasks, TransferredTask{
		Index: id.Index, Run: e.nextRun(t) - 1, Down: now.Sub(t.downSince()), Checkpoint: t.checkpoint,
	})
	e.record(now, Decision{
		Event: "TaskTransferred", Task: TaskRun{id, t.run}, Worker: t.down.worker, Took: now.Sub(t.downSince()),
		Reason: fmt.Sprintf("no room; shard %d has room", to),
	})
	e.count("Task.Transferred")
	t.leave()
	j.started = true
	e.markDirty(j)
}

// leave marks the task as one that another shard runs.
func (t *task) leave() {
	t.elsewhere, t.down, t.lastRunAt = true, downtime{}, time.Time{}
}

// outgoingTransfer is the transfer of tasks of a job to another shard.
type outgoingTransfer struct {
	tasks []TransferredTask
	// issued is the number of tasks in the transfer that TakeTransfers returned last.
	issued int
}

// TakeTransfers returns the transfers that were stored since the last call.
func (e *Engine) TakeTransfers() []Transfer {
	transfers := e.transfers
	e.transfers = nil
	return transfers
}

// issueTransfers issues the transfers of the job that are in its stored progress.
func (e *Engine) issueTransfers(j *job, stored Progress) {
	if len(stored.Steps) == 0 {
		return
	}
	for to, tasks := range stored.Steps[0].Elsewhere {
		out := j.transfers[to]
		if out == nil || len(tasks) <= out.issued {
			continue
		}
		out.issued = len(tasks)
		transferred := j.Job
		transferred.Transferred = slices.Clone(tasks)
		e.transfers = append(e.transfers, Transfer{transferred, to})
	}
}

// storedTransfers returns the transfers to store with the progress of the step.
func (s *step) storedTransfers() map[Shard][]TransferredTask {
	if len(s.job.transfers) == 0 {
		return nil
	}
	stored := map[Shard][]TransferredTask{}
	for to, out := range s.job.transfers {
		stored[to] = slices.Clone(out.tasks)
	}
	return stored
}

// restoreTransfers applies the stored transfers of the step.
func (s *step) restoreTransfers(stored map[Shard][]TransferredTask) {
	for to, tasks := range stored {
		if s.job.transfers == nil {
			s.job.transfers = map[Shard]*outgoingTransfer{}
		}
		s.job.transfers[to] = &outgoingTransfer{tasks: slices.Clone(tasks)}
		for _, moved := range tasks {
			if moved.Index >= 0 && moved.Index < len(s.tasks) {
				s.task(moved.Index).leave()
			}
		}
	}
}

// TransferTargets returns the shards that run tasks of a job.
func (e *Engine) TransferTargets(id JobID) []Shard {
	j := e.jobs[id]
	if j == nil {
		return nil
	}
	targets := make([]Shard, 0, len(j.transfers))
	for to := range j.transfers {
		targets = append(targets, to)
	}
	slices.Sort(targets)
	return targets
}

// HasEnded reports whether a job was cancelled, has ended or isn't known.
func (e *Engine) HasEnded(id JobID) bool {
	j := e.jobs[id]
	return j == nil || j.outcome != ""
}

// EndTransfer records that another shard has the cancellation of a job, or never got tasks of it. Only
// then the outcome of the job may be stored, which removes its transfers.
func (e *Engine) EndTransfer(id JobID, to Shard) {
	j := e.jobs[id]
	if j == nil || j.outcome == "" {
		return
	}
	delete(j.transfers, to)
	e.markDirty(j)
}

// CancelTransferred cancels the tasks of a job that were transferred to this shard. It reports whether
// their end is stored, and whether the job is known at all.
func (e *Engine) CancelTransferred(now time.Time, id JobID) (stored, known bool) {
	j := e.jobs[id]
	if j == nil || len(j.Transferred) == 0 {
		_, finished := e.finishedJobs[id]
		return finished, finished
	}
	e.Cancel(now, id)
	return j.outcomeStored, true
}

// awaitsTransfers reports whether the outcome of the job can't be stored yet, because other shards may
// run tasks of it.
func (j *job) awaitsTransfers() bool {
	return j.outcome != "" && len(j.transfers) > 0
}

// dropUnissuedTransfers forgets the transfers that no other shard was told of.
func (j *job) dropUnissuedTransfers() {
	for to, out := range j.transfers {
		if out.issued == 0 {
			delete(j.transfers, to)
		}
	}
}

// HasTasks reports whether the engine has the job or its outcome and, if tasks of it are transferred to
// this shard, all of these.
func (e *Engine) HasTasks(j *Job) bool {
	known := e.jobs[j.ID]
	if known == nil || known.outcome != "" || len(known.Transferred) == 0 {
		return e.HasJob(j.ID)
	}
	for _, moved := range j.Transferred {
		if !slices.ContainsFunc(known.Transferred, func(own TransferredTask) bool { return own.Index == moved.Index }) {
			return false
		}
	}
	return true
}

// takeTransferred adds the tasks of a job that were transferred to this shard and that don't run here
// yet.
func (j *job) takeTransferred(now time.Time, tasks []TransferredTask) {
	s := j.openOccurrence(0).steps[0]
	j.Transferred, j.started = tasks, true
	for _, moved := range tasks {
		if moved.Index < 0 || moved.Index >= len(s.tasks) || !s.view(moved.Index).elsewhere {
			continue
		}
		t := s.task(moved.Index)
		t.elsewhere, t.run, t.firstRun = false, moved.Run, moved.Run
		if t.checkpoint == "" {
			t.checkpoint = moved.Checkpoint
		}
		t.lastRunAt = now.Add(-moved.Down)
		t.down = downtime{since: t.lastRunAt, reason: reasonTransferred}
	}
}
