package dispatcher

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"github.com/jacinthtrail/jacinthtrail/internal/operator/counter"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/table"
)

// monitoredStore counts the calls to the store and tracks whether it answers.
type monitoredStore struct {
	Store
	clock    clockwork.Clock
	counters *counter.Set
	// latencies may be nil.
	latencies *counter.Histograms
	log       zerolog.Logger

	lock sync.Mutex
	// failures counts the unanswered calls since the last answer.
	failures int
	// lostAt is when the store was found to be lost, zero while it answers.
	lostAt time.Time
	// calledAt is when a call last ended.
	calledAt time.Time
}

// lostAfterFailures is the number of consecutive failures after which the store counts
// as lost. A single lost answer isn't enough.
const lostAfterFailures = 2

// Read returns a row.
func (s *monitoredStore) Read(ctx context.Context, key table.Key) (table.Row, error) {
	start := s.clock.Now()
	row, err := s.Store.Read(ctx, key)
	s.latencies.Observe("Latency.StoreRead", s.clock.Now().Sub(start))
	s.recordResult("Read", err)
	return row, err
}

// Commit applies a transaction.
func (s *monitoredStore) Commit(ctx context.Context, tx table.Transaction) (table.Version, error) {
	start := s.clock.Now()
	version, err := s.Store.Commit(ctx, tx)
	s.latencies.Observe("Latency.StoreCommit", s.clock.Now().Sub(start))
	s.recordResult("Commit", err)
	return version, err
}

// Snapshot returns all rows under a prefix.
func (s *monitoredStore) Snapshot(ctx context.Context, prefix table.Key) ([]table.Row, table.Version, error) {
	rows, version, err := s.Store.Snapshot(ctx, prefix)
	s.recordResult("Snapshot", err)
	return rows, version, err
}

// Pages calls visit with all rows under a prefix, page by page if the store can return them so.
func (s *monitoredStore) Pages(ctx context.Context, prefix table.Key, visit func([]table.Row)) (table.Version, error) {
	reader, ok := s.Store.(table.PageReader)
	if !ok {
		rows, version, err := s.Snapshot(ctx, prefix)
		visit(rows)
		return version, err
	}
	version, err := reader.Pages(ctx, prefix, visit)
	s.recordResult("Snapshot", err)
	return version, err
}

// Watch returns the changes under a prefix.
func (s *monitoredStore) Watch(ctx context.Context, prefix table.Key, after table.Version, wait time.Duration) ([]table.Change, table.Version, error) {
	changes, version, err := s.Store.Watch(ctx, prefix, after, wait)
	s.recordResult("Watch", err)
	return changes, version, err
}

func (s *monitoredStore) recordResult(call string, err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	s.counters.Add("Store."+call, 1)
	unanswered := errors.Is(err, table.ErrUnavailable) || errors.Is(err, table.ErrOutcomeUnknown)
	if unanswered {
		s.counters.Add("Store."+call+"Failed", 1)
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	now := s.clock.Now()
	s.calledAt = now
	if unanswered {
		s.failures++
		if s.failures == lostAfterFailures {
			s.lostAt = now
			s.log.Warn().Err(err).Str("Call", call).Msg("store lost")
		}
		return
	}
	if s.failures >= lostAfterFailures {
		s.log.Info().Dur("After", now.Sub(s.lostAt)).Msg("store regained")
	}
	s.failures, s.lostAt = 0, time.Time{}
}

// lostFor returns how long the store has been lost, and whether it is lost. While it is, the
// mirror of the operator's rows keeps calling it and so detects when it answers again.
func (s *monitoredStore) lostFor() (time.Duration, bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.lostAt.IsZero() {
		return 0, false
	}
	return s.clock.Now().Sub(s.lostAt), true
}

// lastCallAt returns when a call to the store last ended.
func (s *monitoredStore) lastCallAt() time.Time {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.calledAt
}
