package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// RecoveryRecord lists the workers that may have runs, so that the next owner needn't wait for all workers to
// report theirs. An owner makes it when it releases its shard, and starts nothing afterwards. Workers that
// aren't in it have no run.
type RecoveryRecord struct {
	Workers []RecordedWorker
	// EarlierOwnerActsFor is how much longer the owner before may act, and NewJobsDelay how much longer
	// new jobs must wait for that. Both are 0 unless the shard is released soon after a takeover.
	EarlierOwnerActsFor time.Duration `json:",omitempty"`
	NewJobsDelay        time.Duration `json:",omitempty"`
}

// RecordedWorker is a worker on which runs may be active, or with ends that aren't stored.
type RecordedWorker struct {
	ID   membership.InstanceID
	Runs []TaskRun `json:",omitempty"`
	// Stopping has further runs, those that are being stopped. The worker needn't list them until they have
	// ended.
	Stopping []TaskRun `json:",omitempty"`
	// AnyRun reports that the worker hasn't listed its runs to the owner, which doesn't know them.
	AnyRun bool `json:",omitempty"`
	// ExpireIn is the time after which no run can be active if the worker stays silent.
	ExpireIn time.Duration
	// Incarnation is the process of the worker for which that holds also if it answers, 0 if it isn't known.
	Incarnation int64 `json:",omitempty"`
}

// recordedWorker is the entry of a worker in the earlier owner's record.
type recordedWorker struct {
	runs   []TaskRun
	anyRun bool
	// leasesExpireAt is when no recorded run can be active any more if the worker doesn't answer.
	leasesExpireAt time.Time
	// incarnation is the process of the worker to which leasesExpireAt applies, 0 if none.
	incarnation int64
}

// recordedRun is a task with a run that the earlier owner recorded on a worker.
type recordedRun struct {
	task   TaskID
	worker membership.InstanceID
}

// Release makes the engine start nothing and renew no leases, and returns the record for the next owner.
// The result is false if this owner itself doesn't know yet on which workers there may be runs.
func (e *Engine) Release(now time.Time) (RecoveryRecord, bool) {
	e.released = true
	if e.recovering && !e.workersListed {
		return RecoveryRecord{}, false
	}
	var record RecoveryRecord
	if e.recovering {
		record.EarlierOwnerActsFor = max(e.earlierOwnerActsUntil.Sub(now), 0)
		record.NewJobsDelay = max(e.newJobsStartAt.Sub(now), 0)
	}
	for _, id := range e.recordableWorkers() {
		if r := e.recordWorker(now, id); r.AnyRun || len(r.Runs)+len(r.Stopping) > 0 {
			record.Workers = append(record.Workers, r)
		}
	}
	return record, true
}

// Resume revokes a release that wasn't stored.
func (e *Engine) Resume() {
	e.released = false
}

// recordableWorkers returns the known workers and those in the record of the earlier owner.
func (e *Engine) recordableWorkers() []membership.InstanceID {
	ids := e.Workers()
	for _, id := range slices.Sorted(maps.Keys(e.recorded)) {
		if e.workers[id] == nil {
			ids = append(ids, id)
		}
	}
	return ids
}

// recordWorker returns what the next owner must know of a worker.
func (e *Engine) recordWorker(now time.Time, id membership.InstanceID) RecordedWorker {
	r := RecordedWorker{ID: id}
	runs := map[TaskRun]bool{}
	until := now
	if w := e.workers[id]; w != nil {
		w.addPossibleRuns(now, runs)
		r.Stopping = w.stoppingRuns(now)
		slices.SortFunc(r.Stopping, compareTaskRuns)
		until = e.possibleRunsExpireAt(now, w)
		if w.fenced {
			r.Incarnation = w.incarnation
		}
	}
	if e.recovering && e.mayHaveEarlierRuns(now, id) {
		earlier := e.recorded[id]
		r.AnyRun = !e.hasRecord || earlier.anyRun
		for _, run := range earlier.runs {
			runs[run] = true
		}
		r.Incarnation = cmp.Or(r.Incarnation, earlier.incarnation)
		until = latest(latest(until, e.earlierRunsExpireAt(id)), earlier.leasesExpireAt)
	}
	for _, run := range r.Stopping {
		delete(runs, run)
	}
	r.Runs = slices.SortedFunc(maps.Keys(runs), compareTaskRuns)
	r.ExpireIn = max(until.Sub(now), 0)
	return r
}

// affectsRecovery reports whether the next owner must know of an end before it starts the task again: because
// the task is done, an attempt counts as failed, or a checkpoint was saved.
func (e *Engine) affectsRecovery(end End) bool {
	if t := e.findTask(end.Task); t != nil && t.step.LongRunning {
		return false
	}
	return end.Kind == EndDone || end.Kind == EndFailed || end.Checkpoint != ""
}

// addPossibleRuns adds the owner's runs that may be active on the worker, and those with an end that isn't
// stored yet and affects the recovery.
func (w *worker) addPossibleRuns(now time.Time, runs map[TaskRun]bool) {
	for _, a := range w.runs {
		runs[a.taskRun()] = true
	}
	for r, at := range w.unansweredStarts {
		if now.Sub(at) <= maxStartDelay {
			runs[r] = true
		}
	}
	for _, end := range w.unstoredEnds {
		runs[end.TaskRun] = true
	}
}

// possibleRunsExpireAt returns when none of the possible runs of a worker can be active any more, and the
// next owner needn't wait longer for an end, if the worker is silent from now on.
func (e *Engine) possibleRunsExpireAt(now time.Time, w *worker) time.Time {
	until := w.leasesExpireAt()
	if len(w.unstoredEnds) > 0 || len(w.unansweredStarts) > 0 || len(w.orphans) > 0 || len(w.awaitedStops) > 0 {
		until = latest(until, now.Add(e.longestRunWithoutRenewal(w)))
	}
	for _, a := range w.runs {
		if !a.listed {
			until = latest(until, a.startedBy().Add(e.longestRunWithoutRenewal(w)))
		}
	}
	if !until.After(now) && !w.hasLostRuns(now) {
		// After a pause of this owner the worker may still list the ends of its runs.
		until = now.Add(maxLeaseDuration(e.options.LeaseTerm) + leaseEndMargin)
	}
	return until
}

// RecoverFrom applies the record that the earlier owner made when it released the shard. The jobs and
// workers must have been added, and Recover must have been called.
func (e *Engine) RecoverFrom(now time.Time, record RecoveryRecord) {
	e.hasRecord = true
	e.recorded = make(map[membership.InstanceID]recordedWorker, len(record.Workers))
	e.recordedRuns = map[JobID][]recordedRun{}
	e.earlierOwnerActsUntil = now.Add(record.EarlierOwnerActsFor)
	e.newJobsStartAt = now.Add(record.NewJobsDelay)
	runs := 0
	var stopping []StoppingRun
	for _, r := range record.Workers {
		expireAt := now.Add(r.ExpireIn)
		possible := slices.Concat(r.Runs, r.Stopping)
		e.recorded[r.ID] = recordedWorker{
			runs: possible, anyRun: r.AnyRun, leasesExpireAt: expireAt, incarnation: r.Incarnation,
		}
		for _, run := range possible {
			e.recordedRuns[run.Task.Job] = append(e.recordedRuns[run.Task.Job], recordedRun{run.Task, r.ID})
		}
		for _, run := range r.Stopping {
			stopping = append(stopping, StoppingRun{run, r.ID})
		}
		runs += len(possible)
	}
	e.AwaitStops(now, stopping)
	for _, j := range e.jobs {
		e.addRecordedRuns(j)
	}
	e.count("Recovery.FromRecord")
	e.record(now, Decision{Event: "RecoveryRecordUsed", Evidence: &Evidence{Runs: runs}})
}

// addRecordedRuns notes the recorded runs of a job's tasks.
func (e *Engine) addRecordedRuns(j *job) {
	for _, run := range e.recordedRuns[j.ID] {
		if t := j.task(run.task); t != nil {
			t.recordedOn = append(t.recordedOn, run.worker)
		}
	}
}

// forgetRecord drops the record of the earlier owner at the end of the recovery.
func (e *Engine) forgetRecord() {
	e.hasRecord, e.recorded, e.recordedRuns = false, nil, nil
	for _, j := range e.jobs {
		j.eachRecord(func(t *task) { t.recordedOn = nil })
	}
}

func compareTaskRuns(a, b TaskRun) int {
	return cmp.Or(
		cmp.Compare(a.Task.Job, b.Task.Job), cmp.Compare(a.Task.Occurrence, b.Task.Occurrence),
		cmp.Compare(a.Task.Step, b.Task.Step), cmp.Compare(a.Task.Index, b.Task.Index), cmp.Compare(a.Run, b.Run),
	)
}

func latest(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}
