package shard

import (
	"context"
	"errors"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/chart"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/placement"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// syncResult is the outcome of a sync.
type syncResult struct {
	id       membership.InstanceID
	request  worker.SyncRequest
	response worker.SyncResponse
	err      error
	// unsent reports that the request was not sent, because the owner's authority had ended.
	unsent bool
	// withheldStarts holds the starts that were left out of the request because the
	// permit had expired.
	withheldStarts []worker.StartTask
	receivedAt     time.Time
}

// sendDueSyncs starts the syncs that are due, up to maxSyncsInFlight.
func (s *Shard) sendDueSyncs(ctx context.Context, now time.Time) {
	for id, session := range s.sessions {
		if s.syncsInFlight >= maxSyncsInFlight {
			s.Counters.Add("Sync.Deferred", 1)
			return
		}
		if session.isSyncDue(now) {
			s.sendSync(ctx, now, id, session)
		}
	}
}

func (s *Shard) sendSync(ctx context.Context, now time.Time, id membership.InstanceID, session *workerSession) {
	s.dropStoppedStarts(now, session)
	request := session.takeRequest(s)
	session.inFlight = true
	session.lastSyncAt = now
	if request.Basis != 0 {
		session.leaseExpiry = leaseExpiry(session.basisReceivedAt)
	}
	s.syncsInFlight++
	basisReceivedAt, address := session.basisReceivedAt, session.instance.Address
	s.group.Go(func() error {
		s.syncResults <- s.performSync(ctx, id, address, basisReceivedAt, request)
		return nil
	})
}

// performSync sends a sync request and returns its outcome. It checks the authority and
// the permit right before sending, because the process may have been paused since the
// decision.
func (s *Shard) performSync(ctx context.Context, id membership.InstanceID, address string, basisReceivedAt time.Time, request worker.SyncRequest) syncResult {
	result := syncResult{id: id, request: request}
	now := s.Clock.Now()
	if _, ok := s.Ownership.AuthorityUntil(now); !ok {
		result.unsent = true
		return result
	}
	if len(request.Start) > 0 {
		until, ok := s.Permit.StartsUntil(now)
		if ok && until.After(basisReceivedAt) {
			request.StartWithin = until.Sub(basisReceivedAt)
		} else {
			// The rest of the request must be sent: it renews the lease and stops tasks
			// of a zone that is out of service.
			result.withheldStarts, request.Start = request.Start, nil
		}
		result.request = request
	}
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	result.response, result.err = s.Workers.Sync(ctx, address, request)
	result.receivedAt = s.Clock.Now()
	return result
}

func (s *Shard) handleSyncResult(result syncResult) error {
	s.syncsInFlight--
	session, known := s.sessions[result.id]
	if !known {
		return nil
	}
	session.inFlight = false
	s.returnStarts(session, result.withheldStarts, "NoPermit")
	switch {
	case result.unsent:
		s.Counters.Add("Sync.NoRight", 1)
		session.requeueCommands(result.request)
		return nil
	case errors.Is(result.err, worker.ErrStaleEpoch) && result.response.Epoch > s.Epoch:
		return ErrSuperseded
	case errors.Is(result.err, worker.ErrStaleBasis):
		s.Counters.Add("Sync.StaleBasis", 1)
		session.requeueCommands(result.request)
	case result.err != nil:
		s.handleSyncError(session, result)
		return nil
	default:
		for _, attempt := range result.request.Acknowledge {
			delete(session.pendingAcknowledgements, attempt)
		}
	}
	s.handleResponse(session, result)
	return nil
}

// handleSyncError handles a sync without a response. Its starts stay in doubt. Stops and
// throttles are idempotent and are sent again.
func (s *Shard) handleSyncError(session *workerSession, result syncResult) {
	s.Counters.Add("Sync.Failed", 1)
	previous := session.leaseState
	session.applyLeaseEvent(chart.LeaseOnMiss)
	session.pendingStops = append(result.request.Stop, session.pendingStops...)
	session.pendingThrottles = append(result.request.Throttle, session.pendingThrottles...)
	if session.leaseState == chart.LeaseUnreachable && previous != session.leaseState {
		s.Log.Warn().Str("Worker", string(result.id)).Err(result.err).Msg("worker is unreachable")
		s.returnQueuedStarts(session)
	}
}

// returnQueuedStarts reports to the engine that the queued starts, which were never sent,
// were refused.
func (s *Shard) returnQueuedStarts(session *workerSession) {
	s.returnStarts(session, session.pendingStarts, "WorkerUnreachable")
	session.pendingStarts = nil
}

// returnStarts reports to the engine that starts that were never sent were refused.
func (s *Shard) returnStarts(session *workerSession, starts []worker.StartTask, reason string) {
	now := s.Clock.Now()
	for _, start := range starts {
		s.Counters.Add("Start.Withheld."+reason, 1)
		session.applyAttemptEvent(start.TaskAttempt, chart.AttemptOnEnd)
		s.engine.TaskEnded(now, placement.TaskEnd{
			TaskAttempt: start.TaskAttempt, Worker: session.instance.ID,
			Outcome: placement.Refused, Reason: reason,
		})
	}
}
