package shard

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
	"github.com/jacinthtrail/jacinthtrail/internal/caller/job"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/placement"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/table"
)

const (
	// storeTimeout bounds a store access, including the look-up of a commit's outcome.
	storeTimeout = 10 * time.Second
	// storeBackoff and maxStoreBackoff are the initial and the maximum delay, without
	// jitter, before the retry of a failed store access.
	storeBackoff    = 250 * time.Millisecond
	maxStoreBackoff = 4 * time.Second
	// scanPageRows is the number of rows that one scan requests.
	scanPageRows = 500
	// maxMovesPerCommit bounds the number of jobs that one transaction moves to another
	// shard.
	maxMovesPerCommit = 25
)

// startStoreAccess starts the next access to the table in the background, if none is in
// progress: a commit of the changes, then a read of the inbox.
func (s *Shard) startStoreAccess(ctx context.Context, now time.Time) {
	if s.storeAccessInFlight || now.Before(s.storeRetryAt) {
		return
	}
	c := s.nextCommit(now)
	scan := !now.Before(s.nextInboxReadAt)
	if c == nil && !scan {
		return
	}
	if scan {
		s.nextInboxReadAt = now.Add(inboxInterval)
	}
	s.storeAccessInFlight = true
	s.group.Go(func() error {
		s.storeCallbacks <- s.accessStore(ctx, c, scan)
		return nil
	})
}

// accessStore commits and reads the inbox, and returns a callback that applies the
// outcome. The callback must run on the shard's goroutine.
func (s *Shard) accessStore(ctx context.Context, c *pendingCommit, scan bool) func() error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if c != nil {
		if err := s.executeCommit(ctx, c); err != nil {
			return func() error { return s.handleCommitError(c, err) }
		}
	}
	var items []inboxItem
	var err error
	if scan {
		items, err = s.readInbox(ctx)
	}
	return func() error {
		if c != nil {
			s.handleCommitted(c)
		}
		if err != nil {
			s.handleStoreError("Inbox", err)
			return nil
		}
		s.storeFailures = 0
		s.processInbox(items)
		return nil
	}
}

func (s *Shard) executeCommit(ctx context.Context, c *pendingCommit) error {
	if s.rowCondition.Key == "" {
		row, isOwner, err := s.Ownership.ReadRow(ctx, s.ID, s.Epoch)
		if err != nil {
			return err
		}
		if !isOwner {
			return ErrSuperseded
		}
		s.rowCondition = row
	}
	c.tx.Conditions = []table.Condition{s.rowCondition}
	_, err := table.CommitResolved(ctx, s.Store, s.Clock, c.tx)
	// An unknown outcome must be resolved before the next commit of this shard, because
	// rows could otherwise be written in the wrong order.
	for errors.Is(err, table.ErrOutcomeUnknown) && ctx.Err() == nil {
		var committed bool
		if _, committed, err = s.Store.Outcome(ctx, c.tx.ID); err == nil && !committed {
			return table.ErrUnavailable
		}
	}
	return err
}

// nextCommit returns the failed commit to retry, or else a commit of the changes since
// the last one. It returns nil if nothing has changed.
func (s *Shard) nextCommit(now time.Time) *pendingCommit {
	if s.failedCommit != nil {
		return s.failedCommit
	}
	c := &pendingCommit{}
	c.tx.ID = table.TransactionID(uuid.NewString())
	s.addMoves(now, c)
	for id := range s.records.dirty {
		if len(c.tx.Writes) >= 2*maxJobsPerCommit {
			break
		}
		if err := s.records.addJobChanges(c, s.ID, id); err != nil {
			s.Log.Error().Err(err).Msg("failed to encode job; its changes are not stored")
			delete(s.records.dirty, id)
		}
	}
	for _, key := range s.records.processedInbox {
		c.tx.Writes = append(c.tx.Writes, table.Write{Key: key, Delete: true})
	}
	c.processedInbox = s.records.processedInbox
	s.records.processedInbox = nil
	s.addWorkerList(c)
	if len(c.tx.Writes) == 0 {
		return nil
	}
	return c
}

// addWorkerList adds the list of workers to the commit if a worker is missing from the
// stored list.
func (s *Shard) addWorkerList(c *pendingCommit) {
	missing := false
	for id, session := range s.sessions {
		if _, ok := s.records.storedWorkers[id]; !ok && !session.isExpired() {
			missing = true
		}
	}
	if !missing {
		return
	}
	rows := []workerRow{}
	c.workers = map[membership.InstanceID]workerRow{}
	for id, session := range s.sessions {
		row := workerRow{ID: id, Address: session.instance.Address}
		rows = append(rows, row)
		c.workers[id] = row
	}
	value, err := json.Marshal(rows)
	if err != nil {
		s.Log.Error().Err(err).Msg("failed to encode the list of workers")
		return
	}
	c.tx.Writes = append(c.tx.Writes, table.Write{Key: WorkersKey(s.ID), Value: value})
}

// addMoves moves jobs without running tasks to a shard of another zone while this zone is
// out of service.
func (s *Shard) addMoves(now time.Time, c *pendingCommit) {
	if !s.Permit.IsOutOfService() {
		return
	}
	for _, id := range s.engine.MovableJobs(maxMovesPerCommit) {
		e, ok := s.records.jobs[id]
		if !ok || e.record.State != job.Queued {
			continue
		}
		target, ok := s.Destinations.Destination(now)
		if !ok {
			s.Counters.Add("Move.NoDestination", 1)
			return
		}
		if err := s.addMove(now, c, e, target); err != nil {
			s.Log.Error().Err(err).Msg("failed to add the move of a job to the commit")
		}
	}
}

func (s *Shard) addMove(now time.Time, c *pendingCommit, e *jobEntry, target worker.ShardID) error {
	id := e.record.ID
	e.record.Moves++
	if err := s.records.addJobChanges(c, target, id); err != nil {
		return err
	}
	if len(e.pendingResults) > 0 {
		// The pending results exceed one result row; the job moves with a later commit.
		last := len(c.tx.Writes) - 1
		c.tx.Writes[last].Key = job.RecordRow(s.ID, id)
		return nil
	}
	location, err := json.Marshal(job.Location{ID: id, Shard: target})
	if err != nil {
		return fmt.Errorf("encode the location of job %s: %w", id, err)
	}
	inboxEntry, err := json.Marshal(job.InboxEntry{Kind: job.InboxJob, Job: id})
	if err != nil {
		return fmt.Errorf("encode an inbox entry for job %s: %w", id, err)
	}
	c.tx.Writes = append(c.tx.Writes,
		table.Write{Key: job.RecordRow(s.ID, id), Delete: true},
		table.Write{Key: job.KeyRow(e.record.Team, e.record.Key), Value: location},
		table.Write{Key: job.InboxRow(target, uuid.NewString()), Value: inboxEntry},
	)
	c.movedJobs = append(c.movedJobs, id)
	// The commit may take effect long before its response arrives, and is retried until it
	// does, so from here on no task of the job may start in this zone, even if the zone
	// returns to service.
	s.engine.CancelJob(now, id)
	return nil
}

// handleCommitted updates the in-memory state after a successful commit.
func (s *Shard) handleCommitted(c *pendingCommit) {
	s.failedCommit = nil
	s.Counters.Add("Store.Commits", 1)
	s.Counters.Add("Store.CommittedResults", int64(len(c.results)))
	for _, result := range c.results {
		if session, ok := s.sessions[result.worker]; ok {
			delete(session.uncommittedResults, result.attempt)
			session.pendingAcknowledgements[result.attempt] = struct{}{}
		}
	}
	for _, key := range c.processedInbox {
		delete(s.records.seenInbox, key)
	}
	if c.workers != nil {
		s.records.storedWorkers = c.workers
	}
	for _, id := range c.movedJobs {
		s.Counters.Add("Move.Done", 1)
		delete(s.records.jobs, id)
	}
	for _, id := range c.endedJobs {
		delete(s.records.jobs, id)
	}
}

// handleCommitError keeps the commit for a retry, unless the shard has another owner.
func (s *Shard) handleCommitError(c *pendingCommit, err error) error {
	if errors.Is(err, ErrSuperseded) {
		return err
	}
	if errors.Is(err, table.ErrConflict) {
		// The ownership logic of this instance also rewrites the row now and then. The
		// retry reads the row again and finds out whether another owner has written it.
		s.rowCondition = table.Condition{}
		c.tx.ID = table.TransactionID(uuid.NewString())
		s.failedCommit = c
		s.Counters.Add("Store.Conflict", 1)
		return nil
	}
	if !errors.Is(err, table.ErrOutcomeUnknown) {
		// The ID of a transaction that did not commit can't be reused, so the retry needs a
		// new one.
		c.tx.ID = table.TransactionID(uuid.NewString())
	}
	s.failedCommit = c
	s.handleStoreError("Commit", err)
	return nil
}

func (s *Shard) handleStoreError(access string, err error) {
	s.Counters.Add("Store.Failed."+access, 1)
	if s.storeFailures == 0 {
		s.Log.Warn().Err(err).Str("Access", access).Msg("table access failed; retrying with backoff")
	}
	s.storeFailures++
	backoff := min(storeBackoff<<min(s.storeFailures-1, 6), maxStoreBackoff)
	// The jitter keeps the shards of an instance from retrying all at once.
	backoff += time.Duration(rand.Int64N(int64(backoff) / 2))
	s.storeRetryAt = s.Clock.Now().Add(backoff)
}

// inboxItem is an inbox entry with the record of its job.
type inboxItem struct {
	key         table.Key
	entry       job.InboxEntry
	record      job.Record
	recordFound bool
}

func (s *Shard) readInbox(ctx context.Context) ([]inboxItem, error) {
	rows, err := s.Store.Scan(ctx, job.InboxPrefix(s.ID), "", scanPageRows)
	if err != nil || len(rows) == 0 {
		return nil, err
	}
	items := make([]inboxItem, len(rows))
	keys := make([]table.Key, len(rows))
	for i, row := range rows {
		items[i].key = row.Key
		if err := json.Unmarshal(row.Value, &items[i].entry); err != nil {
			s.Counters.Add("Inbox.Malformed", 1)
		}
		keys[i] = job.RecordRow(s.ID, items[i].entry.Job)
	}
	recordRows, err := s.Store.Read(ctx, keys...)
	if err != nil {
		return nil, err
	}
	for i, row := range recordRows {
		if row.Version == 0 {
			if err := s.forwardCancel(ctx, items[i].entry); err != nil {
				return nil, err
			}
			continue
		}
		if items[i].record, err = job.DecodeRecord(row); err != nil {
			s.Counters.Add("Inbox.Malformed", 1)
			continue
		}
		items[i].recordFound = true
	}
	return items, nil
}

// forwardCancel forwards a cancellation whose job moved to another shard after the inbox
// entry was written.
func (s *Shard) forwardCancel(ctx context.Context, entry job.InboxEntry) error {
	if entry.Kind != job.InboxCancel {
		return nil
	}
	jobs := job.Repository{Store: s.Store, Clock: s.Clock}
	shard, err := jobs.Locate(ctx, entry.Team, entry.Key)
	if errors.Is(err, job.ErrNotFound) || err == nil && shard == s.ID {
		return nil
	}
	if err != nil {
		return err
	}
	s.Counters.Add("Job.CancelForwarded", 1)
	return jobs.Cancel(ctx, entry.Team, entry.Key)
}

func (s *Shard) processInbox(items []inboxItem) {
	now := s.Clock.Now()
	for _, item := range items {
		if _, seen := s.records.seenInbox[item.key]; seen {
			continue
		}
		s.records.seenInbox[item.key] = struct{}{}
		s.records.processedInbox = append(s.records.processedInbox, item.key)
		switch {
		case item.entry.Kind == job.InboxCancel:
			s.cancelJob(now, item.entry.Job)
		case item.recordFound:
			s.acceptJob(now, item.record)
		}
	}
}

func (s *Shard) cancelJob(now time.Time, id worker.JobID) {
	s.Counters.Add("Job.Cancelled", 1)
	s.engine.CancelJob(now, id)
	s.records.setState(id, job.Cancelled, "")
}

// acceptJob queues a job that a caller submitted or that another shard moved here.
func (s *Shard) acceptJob(now time.Time, record job.Record) {
	if _, known := s.records.jobs[record.ID]; known || record.State != job.Queued {
		return
	}
	s.records.jobs[record.ID] = &jobEntry{record: record}
	queued := s.placementJob(record)
	err := s.engine.AddJob(now, queued)
	var refusal *placement.RefusalError
	if !errors.As(err, &refusal) {
		s.Counters.Add("Job.Accepted", 1)
		return
	}
	switch refusal.Reason {
	case placement.RefusedNoWorkers, placement.RefusedQueueFull:
		// The job is already stored in the table, so it waits instead of being refused.
		if err := s.engine.RestoreJob(now, queued); err == nil {
			return
		}
	}
	s.Counters.Add("Job.Refused."+string(refusal.Reason), 1)
	s.records.setState(record.ID, job.Refused, string(refusal.Reason)+": "+refusal.Detail)
}

func (s *Shard) placementJob(record job.Record) placement.Job {
	converted := placement.Job{
		ID:        record.ID,
		Team:      record.Team,
		Class:     record.Spec.Class,
		Priority:  placement.Priority(record.Spec.Priority),
		Tasks:     record.Spec.Tasks,
		Deadline:  record.Spec.Deadline,
		Gang:      record.Spec.Gang,
		Submitted: record.Submitted,
	}
	for _, done := range record.Done {
		converted.Done = append(converted.Done, placement.TaskRange{First: done.From, Last: done.To - 1})
	}
	for _, class := range s.Configuration.Current().Manifest.Classes {
		if class.Name == record.Spec.Class {
			converted.Resources = class.Resources
			converted.ExpectedDuration = time.Duration(class.ExpectedDuration)
			converted.Checkpointable = class.Checkpointable
		}
	}
	return converted
}
