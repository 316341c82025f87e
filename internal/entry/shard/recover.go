package shard

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
	"github.com/jacinthtrail/jacinthtrail/internal/caller/job"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/placement"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/manifest"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/table"
)

// recover loads the shard's jobs and rebuilds from the workers who runs what.
//
// Every worker that an earlier owner may have used must answer, which also shuts
// the earlier owner out there, or the lease that the earlier owner could still
// have given it must have ended. Until then nothing starts; leases are renewed.
func (s *Shard) recover(ctx context.Context) error {
	s.began = s.Clock.Now()
	s.records = newRecords()
	if err := s.loadRows(ctx); err != nil {
		return err
	}
	if err := s.collectAnswers(ctx); err != nil {
		return err
	}
	now := s.Clock.Now()
	s.engine.SetEpoch(s.Epoch)
	s.configure(now)
	latest := s.latestAttempts()
	s.restoreResults(latest)
	s.restoreWorkers(now)
	s.restoreJobs(now)
	s.restoreTasks(now)
	s.summarize()
	s.recovered.Store(true)
	took := s.Clock.Since(s.began)
	s.Counters.Add("Takeover.Recovered", 1)
	s.Counters.Add("Takeover.RecoveryMilliseconds", took.Milliseconds())
	s.Log.Info().Stringer("Shard", s.ID).Uint64("Epoch", uint64(s.Epoch)).Dur("Took", took).
		Int("Jobs", len(s.records.jobs)).Int("Workers", len(s.links)).Msg("shard recovered")
	return nil
}

func (s *Shard) loadRows(ctx context.Context) error {
	for {
		err := s.tryLoadRows(ctx)
		if err == nil {
			return nil
		}
		s.storeFailed("Recovery", err)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.Clock.After(s.retryAt.Sub(s.Clock.Now())):
		}
	}
}

func (s *Shard) tryLoadRows(ctx context.Context) error {
	rows, err := s.Store.Read(ctx, WorkersKey(s.ID))
	if err != nil {
		return fmt.Errorf("read the list of workers: %w", err)
	}
	var workers []workerRow
	if rows[0].Version != 0 {
		if err := json.Unmarshal(rows[0].Value, &workers); err != nil {
			return fmt.Errorf("row %s: %w", rows[0].Key, err)
		}
	}
	for _, row := range workers {
		s.records.workers[row.ID] = row
		if _, known := s.links[row.ID]; !known {
			s.links[row.ID] = newLink(membership.Instance{
				ID: row.ID, Kind: membership.Worker, Zone: s.ID.Zone, Address: row.Address,
			})
		}
	}
	return s.loadRecords(ctx)
}

func (s *Shard) loadRecords(ctx context.Context) error {
	after := table.Key("")
	for {
		rows, err := s.Store.Scan(ctx, job.RecordPrefix(s.ID), after, scanPage)
		if err != nil {
			return fmt.Errorf("scan the jobs: %w", err)
		}
		for _, row := range rows {
			record, err := job.DecodeRecord(row)
			if err != nil {
				s.Log.Error().Err(err).Msg("job record is damaged")
				s.Counters.Add("Takeover.DamagedRecord", 1)
				continue
			}
			if record.State == job.Queued {
				s.records.jobs[record.ID] = &entry{record: record}
			}
		}
		if len(rows) < scanPage {
			return nil
		}
		after = rows[len(rows)-1].Key
	}
}

// collectAnswers syncs with the workers until each has answered or can't run
// anything any more.
func (s *Shard) collectAnswers(ctx context.Context) error {
	ticker := s.Clock.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		now := s.Clock.Now()
		s.updateAddresses()
		if s.allAccounted(now) {
			return nil
		}
		if _, ok := s.Ownership.Authority(now); ok {
			s.sendSyncs(ctx, now)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.Chan():
		case result := <-s.synced:
			if err := s.keepAnswer(result); err != nil {
				return err
			}
		}
	}
}

// updateAddresses takes over addresses from the membership list, which may be
// newer than those in the table. It is called for each answer, so it looks only at a
// list that has changed.
func (s *Shard) updateAddresses() {
	snapshot := s.Membership.Snapshot()
	if snapshot.Revision == s.addressRevision {
		return
	}
	s.addressRevision = snapshot.Revision
	for id, instance := range s.shardWorkers(snapshot) {
		if l, known := s.links[id]; known {
			l.instance = instance
		}
	}
}

func (s *Shard) allAccounted(now time.Time) bool {
	// An earlier owner that released the shard may have renewed leases just before.
	others := s.Ownership.OthersUntil()
	if others.Before(s.began) {
		others = s.began
	}
	waitedOut := now.After(leaseBound(others))
	for _, l := range s.links {
		if l.inFlight || l.last == nil && !waitedOut {
			return false
		}
	}
	return true
}

// keepAnswer keeps a worker's answer until all are there.
func (s *Shard) keepAnswer(result syncResult) error {
	s.running--
	l := s.links[result.id]
	l.inFlight = false
	if result.unsent {
		return nil
	}
	if result.err != nil && result.response.Epoch > s.Epoch {
		return ErrSuperseded
	}
	if result.err != nil && result.response.Counter == 0 {
		s.Counters.Add("Sync.Failed", 1)
		l.failures++
		return nil
	}
	l.failures = 0
	l.basis, l.basisAt = result.response.Counter, result.at
	l.incarnation = result.response.Incarnation
	l.capacity = result.response.Capacity
	l.last = &result.response
	return nil
}

func (s *Shard) restoreJobs(now time.Time) {
	for _, e := range s.records.jobs {
		if err := s.engine.RestoreJob(now, s.describe(e.record)); err != nil {
			s.Log.Error().Err(err).Msg("job can't be restored")
			s.Counters.Add("Takeover.JobNotRestored", 1)
		}
	}
}

// restoreResults takes the results that workers hold. A finished attempt counts
// only if no later attempt of its task was started.
func (s *Shard) restoreResults(latest map[worker.TaskID]worker.Attempt) {
	for _, l := range s.links {
		if l.last == nil {
			continue
		}
		for _, status := range l.last.Tasks {
			switch {
			case status.State == worker.Succeeded && status.Attempt == latest[status.Task]:
				s.recordResult(l, status)
			case status.State.IsFinal():
				l.acknowledge[status.TaskAttempt] = struct{}{}
			}
		}
	}
}

// restoreWorkers enters the workers.
func (s *Shard) restoreWorkers(now time.Time) {
	snapshot := s.Membership.Snapshot()
	s.listed = s.shardWorkers(snapshot)
	s.loads = executorLoads(snapshot)
	for id, l := range s.links {
		if l.last == nil {
			// Nothing can run there any more; the first answer readmits the worker.
			l.gone = true
			continue
		}
		_, listed := s.listed[id]
		s.setWorker(now, l, s.workerState(l, listed))
	}
}

// restoreTasks enters the tasks that the workers run.
func (s *Shard) restoreTasks(now time.Time) {
	for _, l := range s.links {
		if l.last == nil {
			continue
		}
		for _, status := range l.last.Tasks {
			s.restoreTask(now, l, status)
		}
		l.last = nil
	}
}

// latestAttempts returns the highest attempt of each task that a worker holds.
func (s *Shard) latestAttempts() map[worker.TaskID]worker.Attempt {
	latest := map[worker.TaskID]worker.Attempt{}
	for _, l := range s.links {
		if l.last == nil {
			continue
		}
		for _, status := range l.last.Tasks {
			latest[status.Task] = max(latest[status.Task], status.Attempt)
		}
	}
	return latest
}

func (s *Shard) restoreTask(now time.Time, l *link, status worker.TaskStatus) {
	if status.State.IsFinal() {
		return
	}
	l.attempts[status.TaskAttempt] = confirmed
	s.engine.Restore(now, placement.RunningTask{
		TaskAttempt: status.TaskAttempt,
		Worker:      l.instance.ID,
		Class:       manifest.ClassName(status.Class),
		Resources:   status.Resources,
		Observed:    status.Observed,
		Checkpoint:  status.Checkpoint,
		Stopping:    status.State == worker.Checkpointing,
	})
}
