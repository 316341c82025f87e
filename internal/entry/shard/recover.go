package shard

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
	"github.com/jacinthtrail/jacinthtrail/internal/caller/job"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/chart"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/placement"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/manifest"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/table"
)

// recover loads the shard's jobs and rebuilds the assignment of tasks to workers from the
// workers' responses.
//
// Every worker that an earlier owner may have used must respond, after which it rejects
// the earlier owner, or any lease that the earlier owner could have given it must have
// expired. Until then no task starts, but leases are renewed.
func (s *Shard) recover(ctx context.Context) error {
	s.recoveryStarted = s.Clock.Now()
	s.records = newRecordCache()
	if err := s.loadState(ctx); err != nil {
		return err
	}
	if err := s.collectResponses(ctx); err != nil {
		return err
	}
	now := s.Clock.Now()
	s.engine.SetEpoch(s.Epoch)
	s.applyManifest(now)
	latest := s.latestAttempts()
	s.restoreResults(latest)
	s.restoreWorkers(now)
	s.restoreJobs(now)
	s.restoreTasks(now)
	s.updateSummary()
	s.recovered.Store(true)
	elapsed := s.Clock.Since(s.recoveryStarted)
	s.Counters.Add("Takeover.Recovered", 1)
	s.Counters.Add("Takeover.RecoveryMilliseconds", elapsed.Milliseconds())
	s.Log.Info().Stringer("Shard", s.ID).Uint64("Epoch", uint64(s.Epoch)).Dur("Took", elapsed).
		Int("Jobs", len(s.records.jobs)).Int("Workers", len(s.sessions)).Msg("shard recovered")
	return nil
}

func (s *Shard) loadState(ctx context.Context) error {
	for {
		err := s.tryLoadState(ctx)
		if err == nil {
			return nil
		}
		s.handleStoreError("Recovery", err)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.Clock.After(s.storeRetryAt.Sub(s.Clock.Now())):
		}
	}
}

func (s *Shard) tryLoadState(ctx context.Context) error {
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
		s.records.storedWorkers[row.ID] = row
		if _, known := s.sessions[row.ID]; !known {
			s.sessions[row.ID] = newWorkerSession(membership.Instance{
				ID: row.ID, Kind: membership.Worker, Zone: s.ID.Zone, Address: row.Address,
			})
		}
	}
	return s.loadJobs(ctx)
}

func (s *Shard) loadJobs(ctx context.Context) error {
	after := table.Key("")
	for {
		rows, err := s.Store.Scan(ctx, job.RecordPrefix(s.ID), after, scanPageRows)
		if err != nil {
			return fmt.Errorf("scan the jobs: %w", err)
		}
		for _, row := range rows {
			record, err := job.DecodeRecord(row)
			if err != nil {
				s.Log.Error().Err(err).Msg("skipped a job record that can't be decoded")
				s.Counters.Add("Takeover.DamagedRecord", 1)
				continue
			}
			if record.State == job.Queued {
				s.records.jobs[record.ID] = &jobEntry{record: record}
			}
		}
		if len(rows) < scanPageRows {
			return nil
		}
		after = rows[len(rows)-1].Key
	}
}

// collectResponses syncs with the workers until each has responded or can't run tasks any
// more.
func (s *Shard) collectResponses(ctx context.Context) error {
	ticker := s.Clock.NewTicker(tickInterval)
	defer ticker.Stop()
	snapshot := s.Membership.Snapshot()
	s.updateAddresses(snapshot)
	for {
		now := s.Clock.Now()
		// The loop runs once per response, so it must not iterate over a list of thousands
		// of instances every time.
		if latest := s.Membership.Snapshot(); latest.Revision != snapshot.Revision {
			snapshot = latest
			s.updateAddresses(snapshot)
		}
		if s.allWorkersAccountedFor(now) {
			return nil
		}
		if _, ok := s.Ownership.AuthorityUntil(now); ok {
			s.sendDueSyncs(ctx, now)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.Chan():
		case result := <-s.syncResults:
			if err := s.handleRecoverySyncResult(result); err != nil {
				return err
			}
		}
	}
}

// updateAddresses updates the sessions from the membership list, whose addresses may be
// newer than those in the table.
func (s *Shard) updateAddresses(snapshot membership.Snapshot) {
	for _, instance := range snapshot.Instances {
		if session, known := s.sessions[instance.ID]; known && instance.Kind == membership.Worker {
			session.instance = instance
		}
	}
}

// allWorkersAccountedFor reports whether each worker has responded or can't run tasks any
// more. It doesn't wait for syncs in flight: with many workers, or several unresponsive
// ones, there always is one. A sync with a worker that has not responded yet has no basis,
// so it renews no lease, and its result is handled after recovery.
func (s *Shard) allWorkersAccountedFor(now time.Time) bool {
	// An earlier owner that released the shard may have renewed leases just before.
	lastRenewal := s.Ownership.EarlierOwnersUntil()
	if lastRenewal.Before(s.recoveryStarted) {
		lastRenewal = s.recoveryStarted
	}
	leasesExpired := now.After(leaseExpiry(lastRenewal))
	if leasesExpired {
		return true
	}
	for _, session := range s.sessions {
		if session.recoveryResponse == nil {
			return false
		}
	}
	return true
}

// handleRecoverySyncResult stores a worker's response until all workers have responded.
func (s *Shard) handleRecoverySyncResult(result syncResult) error {
	s.syncsInFlight--
	session := s.sessions[result.id]
	session.inFlight = false
	if result.unsent {
		return nil
	}
	if result.err != nil && result.response.Epoch > s.Epoch {
		return ErrSuperseded
	}
	if result.err != nil && result.response.Counter == 0 {
		s.Counters.Add("Sync.Failed", 1)
		session.applyLeaseEvent(chart.LeaseOnMiss)
		return nil
	}
	session.applyLeaseEvent(chart.LeaseOnAnswer)
	session.basis, session.basisReceivedAt = result.response.Counter, result.receivedAt
	session.incarnation = result.response.Incarnation
	session.capacity = result.response.Capacity
	session.recoveryResponse = &result.response
	return nil
}

func (s *Shard) restoreJobs(now time.Time) {
	for _, e := range s.records.jobs {
		if err := s.engine.RestoreJob(now, s.placementJob(e.record)); err != nil {
			s.Log.Error().Err(err).Msg("failed to restore job into the placement engine")
			s.Counters.Add("Takeover.JobNotRestored", 1)
		}
	}
}

// restoreResults records the results that workers hold. The result of an attempt counts
// only if no later attempt of the task was started.
func (s *Shard) restoreResults(latest map[worker.TaskID]worker.Attempt) {
	for _, session := range s.sessions {
		if session.recoveryResponse == nil {
			continue
		}
		for _, status := range session.recoveryResponse.Tasks {
			switch {
			case status.State == worker.Succeeded && status.Attempt == latest[status.Task]:
				s.recordResult(session, status)
			case status.State.IsFinal():
				session.pendingAcknowledgements[status.TaskAttempt] = struct{}{}
			}
		}
	}
}

// restoreWorkers adds the workers that responded to the engine.
func (s *Shard) restoreWorkers(now time.Time) {
	snapshot := s.Membership.Snapshot()
	s.listedWorkers = s.shardWorkers(snapshot)
	s.workerLoads = executorLoads(snapshot)
	for id, session := range s.sessions {
		if session.recoveryResponse == nil {
			// The worker can't run tasks any more; its first response adds it again.
			session.applyLeaseEvent(chart.LeaseOnExpire)
			continue
		}
		_, listed := s.listedWorkers[id]
		s.updateEngineWorker(now, session, s.workerState(session, listed))
	}
}

// restoreTasks adds the tasks that run on the workers to the engine.
func (s *Shard) restoreTasks(now time.Time) {
	for _, session := range s.sessions {
		if session.recoveryResponse == nil {
			continue
		}
		for _, status := range session.recoveryResponse.Tasks {
			s.restoreTask(now, session, status)
		}
		session.recoveryResponse = nil
	}
}

// latestAttempts returns the highest attempt of each task that workers report.
func (s *Shard) latestAttempts() map[worker.TaskID]worker.Attempt {
	latest := map[worker.TaskID]worker.Attempt{}
	for _, session := range s.sessions {
		if session.recoveryResponse == nil {
			continue
		}
		for _, status := range session.recoveryResponse.Tasks {
			latest[status.Task] = max(latest[status.Task], status.Attempt)
		}
	}
	return latest
}

func (s *Shard) restoreTask(now time.Time, session *workerSession, status worker.TaskStatus) {
	if status.State.IsFinal() {
		return
	}
	session.attempts[status.TaskAttempt] = chart.AttemptRunning
	s.engine.RestoreTask(now, placement.RunningTask{
		TaskAttempt: status.TaskAttempt,
		Worker:      session.instance.ID,
		Class:       manifest.ClassName(status.Class),
		Resources:   status.Resources,
		Observed:    status.Observed,
		Checkpoint:  status.Checkpoint,
		Stopping:    status.State == worker.Checkpointing,
	})
}
