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

// syncResult is what became of a sync.
type syncResult struct {
	id       membership.InstanceID
	request  worker.SyncRequest
	response worker.SyncResponse
	err      error
	// unsent reports that the request never left, because the authority had ended.
	unsent bool
	// withheld has the starts that were left out because the permit had ended.
	withheld []worker.StartTask
	at       time.Time
}

// sendSyncs sends the syncs that are due, as many as fit.
func (s *Shard) sendSyncs(ctx context.Context, now time.Time) {
	for id, l := range s.links {
		if s.running >= maxSyncs {
			s.Counters.Add("Sync.Deferred", 1)
			return
		}
		if l.isDue(now) {
			s.sendSync(ctx, now, id, l)
		}
	}
}

func (s *Shard) sendSync(ctx context.Context, now time.Time, id membership.InstanceID, l *link) {
	s.dropStopped(now, l)
	request := l.take(s)
	l.inFlight = true
	l.lastSync = now
	if request.Basis != 0 {
		l.bound = leaseBound(l.basisAt)
	}
	s.running++
	basisAt, address := l.basisAt, l.instance.Address
	s.group.Go(func() error {
		s.synced <- s.sync(ctx, id, address, basisAt, request)
		return nil
	})
}

// sync checks the rights to act right before the request leaves, since the
// process may have been frozen since the decision.
func (s *Shard) sync(ctx context.Context, id membership.InstanceID, address string, basisAt time.Time, request worker.SyncRequest) syncResult {
	result := syncResult{id: id, request: request}
	now := s.Clock.Now()
	if _, ok := s.Ownership.Authority(now); !ok {
		result.unsent = true
		return result
	}
	if len(request.Start) > 0 {
		until, ok := s.Permit.StartsUntil(now)
		if ok && until.After(basisAt) {
			request.StartWithin = until.Sub(basisAt)
		} else {
			// The rest must leave: it renews leases and stops tasks of a zone that is out.
			result.withheld, request.Start = request.Start, nil
		}
		result.request = request
	}
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	result.response, result.err = s.Workers.Sync(ctx, address, request)
	result.at = s.Clock.Now()
	return result
}

func (s *Shard) handleSync(result syncResult) error {
	s.running--
	l, known := s.links[result.id]
	if !known {
		return nil
	}
	l.inFlight = false
	s.returnStarts(l, result.withheld, "NoPermit")
	switch {
	case result.unsent:
		s.Counters.Add("Sync.NoRight", 1)
		l.restore(result.request)
		return nil
	case errors.Is(result.err, worker.ErrStaleEpoch) && result.response.Epoch > s.Epoch:
		return ErrSuperseded
	case errors.Is(result.err, worker.ErrStaleBasis):
		s.Counters.Add("Sync.StaleBasis", 1)
		l.restore(result.request)
	case result.err != nil:
		s.syncFailed(l, result)
		return nil
	default:
		for _, attempt := range result.request.Acknowledge {
			delete(l.acknowledge, attempt)
		}
	}
	s.takeAnswer(l, result)
	return nil
}

// syncFailed handles a sync without an answer. Its starts stay in doubt; stops
// and throttles are sent again, since they may be repeated.
func (s *Shard) syncFailed(l *link, result syncResult) {
	s.Counters.Add("Sync.Failed", 1)
	before := l.lease
	l.moveLease(chart.LeaseOnMiss)
	l.stop = append(result.request.Stop, l.stop...)
	l.throttle = append(result.request.Throttle, l.throttle...)
	if l.lease == chart.LeaseUnreachable && before != l.lease {
		s.Log.Warn().Str("Worker", string(result.id)).Err(result.err).Msg("worker is unreachable")
		s.returnUnsent(l)
	}
}

// returnUnsent gives the starts that never left back to the engine.
func (s *Shard) returnUnsent(l *link) {
	s.returnStarts(l, l.start, "WorkerUnreachable")
	l.start = nil
}

// returnStarts gives starts that never left back to the engine.
func (s *Shard) returnStarts(l *link, starts []worker.StartTask, reason string) {
	now := s.Clock.Now()
	for _, start := range starts {
		s.Counters.Add("Start.Withheld."+reason, 1)
		l.moveAttempt(start.TaskAttempt, chart.AttemptOnEnd)
		s.engine.TaskEnded(now, placement.TaskEnd{
			TaskAttempt: start.TaskAttempt, Worker: l.instance.ID,
			Outcome: placement.Refused, Reason: reason,
		})
	}
}
