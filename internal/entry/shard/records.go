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

// maxJobsPerCommit bounds the number of jobs whose changes one transaction writes.
const maxJobsPerCommit = 100

// maxResultBytesPerCommit bounds the size of a job's results in one result row. A larger
// single result still gets its own row.
const maxResultBytesPerCommit = 256 << 10

// recordCache holds the shard's rows of the table in memory, including changes that are
// not yet committed.
type recordCache struct {
	jobs map[worker.JobID]*jobEntry
	// dirty holds the jobs with uncommitted changes.
	dirty map[worker.JobID]struct{}
	// processedInbox lists processed inbox entries for the next commit to delete.
	processedInbox []table.Key
	// seenInbox holds inbox entries that must not be processed again.
	seenInbox map[table.Key]struct{}
	// storedWorkers holds the workers that the row at WorkersKey lists.
	storedWorkers map[membership.InstanceID]workerRow
}

// jobEntry is a job's record with the results that are not yet in the table.
type jobEntry struct {
	record         job.Record
	pendingResults []job.TaskResult
}

func newRecordCache() recordCache {
	return recordCache{
		jobs:          map[worker.JobID]*jobEntry{},
		dirty:         map[worker.JobID]struct{}{},
		seenInbox:     map[table.Key]struct{}{},
		storedWorkers: map[membership.InstanceID]workerRow{},
	}
}

func (r *recordCache) payload(id worker.JobID) ([]byte, object.Key) {
	if e, ok := r.jobs[id]; ok {
		return e.record.Spec.Payload, e.record.PayloadKey
	}
	return nil, ""
}

// addResult queues a result for the next commit. To prevent duplicates, it returns false
// if the task already has a result or the job is no longer in the shard.
func (r *recordCache) addResult(id worker.JobID, result job.TaskResult) bool {
	e, ok := r.jobs[id]
	if !ok || e.record.Done.Contains(result.Index) {
		return false
	}
	e.record.Done = e.record.Done.Add(result.Index)
	e.pendingResults = append(e.pendingResults, result)
	if e.record.State == job.Queued && e.record.Done.Len() == e.record.Spec.Tasks {
		e.record.State = job.Succeeded
	}
	r.dirty[id] = struct{}{}
	return true
}

func (r *recordCache) setState(id worker.JobID, state job.State, reason string) {
	e, ok := r.jobs[id]
	if !ok || e.record.State.IsFinal() {
		return
	}
	e.record.State = state
	e.record.Reason = reason
	r.dirty[id] = struct{}{}
}

func (r *recordCache) parkJob(id worker.JobID, reason string) {
	r.setState(id, job.Parked, reason)
}

// pendingCommit is a transaction with the in-memory changes to apply after it commits.
type pendingCommit struct {
	tx             table.Transaction
	results        []committedResult
	processedInbox []table.Key
	workers        map[membership.InstanceID]workerRow
	movedJobs      []worker.JobID
	endedJobs      []worker.JobID
}

// committedResult identifies a result that is in the table after the commit.
type committedResult struct {
	worker  membership.InstanceID
	attempt worker.TaskAttempt
}

// addJobChanges adds a job's pending results and its record to the commit. The record is
// written to the row of the given shard. On an error, nothing is added and the results stay
// pending.
func (r *recordCache) addJobChanges(c *pendingCommit, shard worker.ShardID, id worker.JobID) error {
	e := r.jobs[id]
	count := e.resultBatchSize()
	batch, remaining := e.pendingResults[:count:count], e.pendingResults[count:]
	record := e.record
	record.Done = committedTasks(record.Done, remaining)
	if record.State == job.Succeeded && record.Done.Len() < record.Spec.Tasks {
		record.State = job.Queued
	}
	var writes []table.Write
	if len(batch) > 0 {
		value, err := json.Marshal(batch)
		if err != nil {
			return fmt.Errorf("encode results of job %s: %w", id, err)
		}
		writes = append(writes, table.Write{Key: job.ResultRow(id, record.Flushes), Value: value})
		record.Flushes++
	}
	value, err := json.Marshal(record)
	if err != nil {
		return fmt.Errorf("encode job %s: %w", id, err)
	}
	writes = append(writes, table.Write{Key: job.RecordRow(shard, id), Value: value})
	c.tx.Writes = append(c.tx.Writes, writes...)
	e.pendingResults, e.record.Flushes = remaining, record.Flushes
	for _, result := range batch {
		c.results = append(c.results, committedResult{result.Worker, worker.TaskAttempt{
			Task: job.NewTaskID(id, result.Index), Attempt: result.Attempt,
		}})
	}
	if len(e.pendingResults) == 0 {
		delete(r.dirty, id)
		if record.State.IsFinal() {
			c.endedJobs = append(c.endedJobs, id)
		}
	}
	return nil
}

// resultBatchSize returns how many pending results fit the size limit of a row.
func (e *jobEntry) resultBatchSize() int {
	size, count := 0, 0
	for count < len(e.pendingResults) && (count == 0 || size+len(e.pendingResults[count].Result) <= maxResultBytesPerCommit) {
		size += len(e.pendingResults[count].Result)
		count++
	}
	return count
}

// committedTasks returns the completed tasks without those whose results are still
// pending.
func committedTasks(completed job.Ranges, pendingResults []job.TaskResult) job.Ranges {
	if len(pendingResults) == 0 {
		return append(job.Ranges(nil), completed...)
	}
	pending := make(map[int]struct{}, len(pendingResults))
	for _, result := range pendingResults {
		pending[result.Index] = struct{}{}
	}
	var done job.Ranges
	for _, span := range completed {
		for i := span.From; i < span.To; i++ {
			if _, ok := pending[i]; !ok {
				done = done.Add(i)
			}
		}
	}
	return done
}
