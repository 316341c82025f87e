package shard

import (
	"encoding/json"
	"fmt"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
	"github.com/jacinthtrail/jacinthtrail/internal/caller/job"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/object"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/table"
)

// maxJobsPerCommit bounds the jobs whose changes one transaction carries.
const maxJobsPerCommit = 100

// maxResultBytesPerCommit bounds the results of a job in one result row.
const maxResultBytesPerCommit = 256 << 10

// records has the shard's jobs as they are, or will be, in the table.
type records struct {
	jobs  map[worker.JobID]*entry
	dirty map[worker.JobID]struct{}
	// processed lists the inbox entries that were taken in; the next commit deletes them.
	processed []table.Key
	// handled holds the inbox entries that must not be taken in again.
	handled map[table.Key]struct{}
	// workers holds the workers in the row WorkersKey.
	workers map[membership.InstanceID]workerRow
}

// entry is a job's record and the results that are not yet in the table.
type entry struct {
	record  job.Record
	pending []job.TaskResult
}

func newRecords() records {
	return records{
		jobs:    map[worker.JobID]*entry{},
		dirty:   map[worker.JobID]struct{}{},
		handled: map[table.Key]struct{}{},
		workers: map[membership.InstanceID]workerRow{},
	}
}

func (r *records) payload(id worker.JobID) ([]byte, object.Key) {
	if e, ok := r.jobs[id]; ok {
		return e.record.Spec.Payload, e.record.PayloadKey
	}
	return nil, ""
}

// finished keeps a result for the next commit. It returns false if the task's
// result is already recorded or its job is gone, so that nothing is recorded twice.
func (r *records) finished(id worker.JobID, result job.TaskResult) bool {
	e, ok := r.jobs[id]
	if !ok || e.record.Done.Contains(result.Index) {
		return false
	}
	e.record.Done = e.record.Done.Add(result.Index)
	e.pending = append(e.pending, result)
	if e.record.State == job.Queued && e.record.Done.Len() == e.record.Spec.Tasks {
		e.record.State = job.Succeeded
	}
	r.dirty[id] = struct{}{}
	return true
}

func (r *records) setState(id worker.JobID, state job.State, reason string) {
	e, ok := r.jobs[id]
	if !ok || e.record.State.IsFinal() {
		return
	}
	e.record.State = state
	e.record.Reason = reason
	r.dirty[id] = struct{}{}
}

func (r *records) park(id worker.JobID, reason string) {
	r.setState(id, job.Parked, reason)
}

// commit is a transaction and what it settles once it has taken effect.
type commit struct {
	tx        table.Transaction
	results   []settled
	processed []table.Key
	workers   map[membership.InstanceID]workerRow
	moved     []worker.JobID
	ended     []worker.JobID
}

// settled names a result that is in the table after the commit.
type settled struct {
	worker  membership.InstanceID
	attempt worker.TaskAttempt
}

// addJob adds a job's changes to the commit, written to the record row of the
// given shard.
func (r *records) addJob(c *commit, shard worker.ShardID, id worker.JobID) error {
	e := r.jobs[id]
	batch := e.takeResults()
	if len(batch) > 0 {
		value, err := json.Marshal(batch)
		if err != nil {
			return fmt.Errorf("encode results of job %s: %w", id, err)
		}
		c.tx.Writes = append(c.tx.Writes, table.Write{Key: job.ResultRow(id, e.record.Flushes), Value: value})
		e.record.Flushes++
	}
	for _, result := range batch {
		c.results = append(c.results, settled{result.Worker, worker.TaskAttempt{
			Task: job.TaskIDOf(id, result.Index), Attempt: result.Attempt,
		}})
	}
	written := e.record
	written.Done = e.recorded()
	if written.State == job.Succeeded && written.Done.Len() < written.Spec.Tasks {
		written.State = job.Queued
	}
	value, err := json.Marshal(written)
	if err != nil {
		return fmt.Errorf("encode job %s: %w", id, err)
	}
	c.tx.Writes = append(c.tx.Writes, table.Write{Key: job.RecordRow(shard, id), Value: value})
	if len(e.pending) == 0 {
		delete(r.dirty, id)
		if written.State.IsFinal() {
			c.ended = append(c.ended, id)
		}
	}
	return nil
}

// takeResults takes pending results up to the limit of a row.
func (e *entry) takeResults() []job.TaskResult {
	size, n := 0, 0
	for n < len(e.pending) && (n == 0 || size+len(e.pending[n].Result) <= maxResultBytesPerCommit) {
		size += len(e.pending[n].Result)
		n++
	}
	batch := e.pending[:n:n]
	e.pending = e.pending[n:]
	return batch
}

// recorded returns the done tasks without those whose results are still pending.
func (e *entry) recorded() job.Ranges {
	if len(e.pending) == 0 {
		return append(job.Ranges(nil), e.record.Done...)
	}
	waiting := make(map[int]struct{}, len(e.pending))
	for _, result := range e.pending {
		waiting[result.Index] = struct{}{}
	}
	var done job.Ranges
	for _, x := range e.record.Done {
		for i := x.From; i < x.To; i++ {
			if _, ok := waiting[i]; !ok {
				done = done.Add(i)
			}
		}
	}
	return done
}
