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
	// storeTimeout bounds a commit, with the look-up of its outcome.
	storeTimeout = 10 * time.Second
	// storeBackoff and maxStoreBackoff bound the wait after a failed store access.
	storeBackoff    = 250 * time.Millisecond
	maxStoreBackoff = 4 * time.Second
	// scanPage is the number of rows that one scan asks for.
	scanPage = 500
	// maxMovesPerCommit bounds the jobs that one transaction moves.
	maxMovesPerCommit = 25
)

// store starts the next access to the table, one at a time: a commit of what has
// changed, then a read of the inbox.
func (s *Shard) store(ctx context.Context, now time.Time) {
	if s.storing || now.Before(s.retryAt) {
		return
	}
	c := s.nextCommit(now)
	scan := !now.Before(s.inboxAt)
	if c == nil && !scan {
		return
	}
	if scan {
		s.inboxAt = now.Add(inboxInterval)
	}
	s.storing = true
	s.group.Go(func() error {
		s.stored <- s.access(ctx, c, scan)
		return nil
	})
}

// access does the I/O and returns what the loop then applies.
func (s *Shard) access(ctx context.Context, c *commit, scan bool) func() error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if c != nil {
		if err := s.commit(ctx, c); err != nil {
			return func() error { return s.commitFailed(c, err) }
		}
	}
	var entries []inboxItem
	var err error
	if scan {
		entries, err = s.readInbox(ctx)
	}
	return func() error {
		if c != nil {
			s.committed(c)
		}
		if err != nil {
			s.storeFailed("Inbox", err)
			return nil
		}
		s.failures = 0
		s.takeInbox(entries)
		return nil
	}
}

func (s *Shard) commit(ctx context.Context, c *commit) error {
	if s.row.Key == "" {
		row, mine, err := s.Ownership.Row(ctx, s.ID, s.Epoch)
		if err != nil {
			return err
		}
		if !mine {
			return ErrSuperseded
		}
		s.row = row
	}
	c.tx.Conditions = []table.Condition{s.row}
	_, err := table.CommitResolved(ctx, s.Store, s.Clock, c.tx)
	// An outcome that is still unknown must be settled before another commit of
	// this shard, because the rows would otherwise be written in the wrong order.
	for errors.Is(err, table.ErrOutcomeUnknown) && ctx.Err() == nil {
		var done bool
		if _, done, err = s.Store.Outcome(ctx, c.tx.ID); err == nil && !done {
			return table.ErrUnavailable
		}
	}
	return err
}

// nextCommit collects what has changed. It returns nil if nothing has.
func (s *Shard) nextCommit(now time.Time) *commit {
	if s.unsettled != nil {
		return s.unsettled
	}
	c := &commit{}
	c.tx.ID = table.TransactionID(uuid.NewString())
	s.addMoves(now, c)
	for id := range s.records.dirty {
		if len(c.tx.Writes) >= 2*maxJobsPerCommit {
			break
		}
		if err := s.records.addJob(c, s.ID, id); err != nil {
			s.Log.Error().Err(err).Msg("job can't be recorded")
			delete(s.records.dirty, id)
		}
	}
	for _, key := range s.records.processed {
		c.tx.Writes = append(c.tx.Writes, table.Write{Key: key, Delete: true})
	}
	c.processed = s.records.processed
	s.records.processed = nil
	s.addWorkers(c)
	if len(c.tx.Writes) == 0 {
		return nil
	}
	return c
}

// addWorkers writes the list of workers if a worker is not yet in it.
func (s *Shard) addWorkers(c *commit) {
	missing := false
	for id, l := range s.links {
		if _, ok := s.records.workers[id]; !ok && !l.isGone() {
			missing = true
		}
	}
	if !missing {
		return
	}
	rows := []workerRow{}
	c.workers = map[membership.InstanceID]workerRow{}
	for id, l := range s.links {
		row := workerRow{ID: id, Address: l.instance.Address}
		rows = append(rows, row)
		c.workers[id] = row
	}
	value, err := json.Marshal(rows)
	if err != nil {
		s.Log.Error().Err(err).Msg("the list of workers can't be encoded")
		return
	}
	c.tx.Writes = append(c.tx.Writes, table.Write{Key: WorkersKey(s.ID), Value: value})
}

// addMoves hands jobs without running tasks on to a shard of another zone while
// this zone is out of service.
func (s *Shard) addMoves(now time.Time, c *commit) {
	if !s.Permit.IsOut() {
		return
	}
	for _, id := range s.engine.Movable(maxMovesPerCommit) {
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
			s.Log.Error().Err(err).Msg("job can't be moved")
		}
	}
}

func (s *Shard) addMove(now time.Time, c *commit, e *entry, target worker.ShardID) error {
	id := e.record.ID
	e.record.Moves++
	if err := s.records.addJob(c, target, id); err != nil {
		return err
	}
	if len(e.pending) > 0 {
		// More results than fit a row wait; the job moves with a later commit.
		last := len(c.tx.Writes) - 1
		c.tx.Writes[last].Key = job.RecordRow(s.ID, id)
		return nil
	}
	location, err := json.Marshal(job.Location{ID: id, Shard: target})
	if err != nil {
		return fmt.Errorf("encode the location of job %s: %w", id, err)
	}
	notice, err := json.Marshal(job.InboxEntry{Kind: job.InboxJob, Job: id})
	if err != nil {
		return fmt.Errorf("encode an inbox entry for job %s: %w", id, err)
	}
	c.tx.Writes = append(c.tx.Writes,
		table.Write{Key: job.RecordRow(s.ID, id), Delete: true},
		table.Write{Key: job.KeyRow(e.record.Team, e.record.Key), Value: location},
		table.Write{Key: job.InboxRow(target, uuid.NewString()), Value: notice},
	)
	c.moved = append(c.moved, id)
	// The commit may take effect long before its answer, and is tried until it does, so
	// from here on nothing of the job may start in this zone even if the zone returns.
	s.engine.CancelJob(now, id)
	return nil
}

// committed settles what a commit carried.
func (s *Shard) committed(c *commit) {
	s.unsettled = nil
	s.Counters.Add("Store.Commits", 1)
	s.Counters.Add("Store.CommittedResults", int64(len(c.results)))
	for _, result := range c.results {
		if l, ok := s.links[result.worker]; ok {
			delete(l.recording, result.attempt)
			l.acknowledge[result.attempt] = struct{}{}
		}
	}
	for _, key := range c.processed {
		delete(s.records.handled, key)
	}
	if c.workers != nil {
		s.records.workers = c.workers
	}
	for _, id := range c.moved {
		s.Counters.Add("Move.Done", 1)
		delete(s.records.jobs, id)
	}
	for _, id := range c.ended {
		delete(s.records.jobs, id)
	}
}

// commitFailed keeps the commit for another try, unless the shard is lost.
func (s *Shard) commitFailed(c *commit, err error) error {
	if errors.Is(err, ErrSuperseded) {
		return err
	}
	if errors.Is(err, table.ErrConflict) {
		// The ownership logic rewrites the row of its own shard now and then; the next
		// try reads it again and finds out whether another owner did.
		s.row = table.Condition{}
		c.tx.ID = table.TransactionID(uuid.NewString())
		s.unsettled = c
		s.Counters.Add("Store.Conflict", 1)
		return nil
	}
	if !errors.Is(err, table.ErrOutcomeUnknown) {
		// An id whose transaction did not commit is closed, so the next try needs a new one.
		c.tx.ID = table.TransactionID(uuid.NewString())
	}
	s.unsettled = c
	s.storeFailed("Commit", err)
	return nil
}

func (s *Shard) storeFailed(what string, err error) {
	s.Counters.Add("Store.Failed."+what, 1)
	if s.failures == 0 {
		s.Log.Warn().Err(err).Str("Access", what).Msg("the table can't be reached")
	}
	s.failures++
	backoff := min(storeBackoff<<min(s.failures-1, 6), maxStoreBackoff)
	// The jitter keeps the shards of an instance from returning all at once.
	backoff += time.Duration(rand.Int64N(int64(backoff) / 2))
	s.retryAt = s.Clock.Now().Add(backoff)
}

// inboxItem is an inbox entry with the record that it speaks of.
type inboxItem struct {
	key    table.Key
	entry  job.InboxEntry
	record job.Record
	found  bool
}

func (s *Shard) readInbox(ctx context.Context) ([]inboxItem, error) {
	rows, err := s.Store.Scan(ctx, job.InboxPrefix(s.ID), "", scanPage)
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
	found, err := s.Store.Read(ctx, keys...)
	if err != nil {
		return nil, err
	}
	for i, row := range found {
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
		items[i].found = true
	}
	return items, nil
}

// forwardCancel passes a cancellation on whose job moved to another shard after the
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

func (s *Shard) takeInbox(items []inboxItem) {
	now := s.Clock.Now()
	for _, item := range items {
		if _, taken := s.records.handled[item.key]; taken {
			continue
		}
		s.records.handled[item.key] = struct{}{}
		s.records.processed = append(s.records.processed, item.key)
		switch {
		case item.entry.Kind == job.InboxCancel:
			s.cancel(now, item.entry.Job)
		case item.found:
			s.accept(now, item.record)
		}
	}
}

func (s *Shard) cancel(now time.Time, id worker.JobID) {
	s.Counters.Add("Job.Cancelled", 1)
	s.engine.CancelJob(now, id)
	s.records.setState(id, job.Cancelled, "")
}

// accept queues a job that callers submitted or another shard handed on.
func (s *Shard) accept(now time.Time, record job.Record) {
	if _, known := s.records.jobs[record.ID]; known || record.State != job.Queued {
		return
	}
	s.records.jobs[record.ID] = &entry{record: record}
	description := s.describe(record)
	err := s.engine.AddJob(now, description)
	var refusal *placement.RefusalError
	if !errors.As(err, &refusal) {
		s.Counters.Add("Job.Accepted", 1)
		return
	}
	switch refusal.Reason {
	case placement.RefusedNoWorkers, placement.RefusedQueueFull:
		// The job is already durable, so it waits rather than being refused.
		if err := s.engine.RestoreJob(now, description); err == nil {
			return
		}
	}
	s.Counters.Add("Job.Refused."+string(refusal.Reason), 1)
	s.records.setState(record.ID, job.Refused, string(refusal.Reason)+": "+refusal.Detail)
}

func (s *Shard) describe(record job.Record) placement.Job {
	described := placement.Job{
		ID:        record.ID,
		Team:      record.Team,
		Class:     record.Spec.Class,
		Priority:  placement.Priority(record.Spec.Priority),
		Tasks:     record.Spec.Tasks,
		Deadline:  record.Spec.Deadline,
		Gang:      record.Spec.Gang,
		Submitted: record.Submitted,
	}
	for _, x := range record.Done {
		described.Done = append(described.Done, placement.TaskRange{First: x.From, Last: x.To - 1})
	}
	for _, class := range s.Configuration.Current().Manifest.Classes {
		if class.Name == record.Spec.Class {
			described.Resources = class.Resources
			described.ExpectedDuration = time.Duration(class.ExpectedDuration)
			described.Checkpointable = class.Checkpointable
		}
	}
	return described
}
