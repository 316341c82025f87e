// Package shard runs one shard of an availability zone's workers while this entry
// instance owns it. It recovers the assignment of tasks to workers from the workers
// themselves, carries out the decisions of the placement engine, renews the workers'
// leases and stores task results.
package shard

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/placement"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/manifest"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/table"
)

// Durations and limits of leases and syncs.
const (
	// LeaseTerm is how long a worker may run its tasks without a lease renewal.
	LeaseTerm = 8 * time.Second
	// MaxStopTime is the longest time that a worker takes to stop its tasks after its
	// lease has expired.
	MaxStopTime = 2 * time.Second
	// MaxClockDriftPercent is the largest rate error of a clock. Two clocks may drift in
	// opposite directions.
	MaxClockDriftPercent = 1
	// SyncInterval is the time between syncs with a worker that has no pending commands.
	// It allows three attempts to renew a lease within its term.
	SyncInterval = 2 * time.Second
	// minSyncInterval is the shortest time between syncs with a worker that runs short
	// tasks. It is also the delay before a failed sync is retried, so that retries don't
	// crowd out syncs with other workers.
	minSyncInterval = 250 * time.Millisecond
	// syncsPerTaskDuration is the number of syncs within the expected duration of a task.
	syncsPerTaskDuration = 4
	// syncTimeout bounds the wait for a worker's response.
	syncTimeout = 1500 * time.Millisecond
	// tickInterval is the time between runs of the placement engine.
	tickInterval = 100 * time.Millisecond
	// inboxInterval is the time between reads of the shard's inbox.
	inboxInterval = 500 * time.Millisecond
	// summaryInterval is the time between updates of the summary that heartbeats report.
	summaryInterval = 500 * time.Millisecond
	// maxSyncsInFlight bounds the number of concurrent syncs.
	maxSyncsInFlight = 128
)

// ErrSuperseded is returned when another entry instance owns the shard at a higher
// epoch.
var ErrSuperseded = errors.New("shard: superseded by another owner")

// Ownership reports what this instance may do as the owner of the shard. It is queried
// from several goroutines, right before each sync or commit.
type Ownership interface {
	// AuthorityUntil returns the time until which the owner may sync with workers, by the
	// owner's clock. ok is false if it may not.
	AuthorityUntil(now time.Time) (until time.Time, ok bool)
	// EarlierOwnersUntil returns the time from which no earlier owner can renew leases.
	EarlierOwnersUntil() time.Time
	// ReadRow reads the shard's ownership row and reports whether it names this owner.
	// Commits are conditional on the version of the row, so a superseded owner can't
	// write.
	ReadRow(ctx context.Context, id worker.ShardID, epoch worker.Epoch) (row table.Condition, isOwner bool, err error)
}

// Permit reports whether tasks may start in the shard's availability zone.
type Permit interface {
	// StartsUntil returns the time until which tasks may start, by the clock of this
	// instance. ok is false if none may start.
	StartsUntil(now time.Time) (until time.Time, ok bool)
	// IsOutOfService reports whether the zone is known to be out of service.
	IsOutOfService() bool
	// StartRateLimit returns the maximum number of starts per second after a return to
	// service, or 0 for no limit.
	StartRateLimit(now time.Time) int
}

// Destinations selects shards for the jobs of a zone that is taken out of service.
type Destinations interface {
	// Destination returns a shard in another zone that is in service.
	Destination(now time.Time) (worker.ShardID, bool)
}

// Membership is the cached list of instances.
type Membership interface {
	Snapshot() membership.Snapshot
}

// Configuration provides the manifest in force.
type Configuration interface {
	Current() manifest.Published
}

// Counters counts events by name.
type Counters interface {
	Add(name string, delta int64)
}

// Recorder stores placement decisions, so that they can be explained later.
type Recorder interface {
	RecordDecision(at time.Time, d placement.Decision)
}

// Shard manages the workers and jobs of a shard that this instance owns. All exported
// fields except Log must be set. Run may be called only once.
type Shard struct {
	ID    worker.ShardID
	Epoch worker.Epoch

	Ownership     Ownership
	Permit        Permit
	Destinations  Destinations
	Membership    Membership
	Configuration Configuration
	Store         table.Store
	Workers       worker.Syncer
	Counters      Counters
	Recorder      Recorder
	Clock         clockwork.Clock
	Log           zerolog.Logger

	engine  placement.Engine
	summary atomic.Pointer[placement.Summary]
	// recovered is set once recovery is complete.
	recovered       atomic.Bool
	recoveryStarted time.Time
	// rowCondition is the condition of commits on the ownership row. Its key is empty until
	// the row is read, and again after a conflict.
	rowCondition    table.Condition
	nextSummaryAt   time.Time
	sessions        map[membership.InstanceID]*workerSession
	records         recordCache
	manifestVersion manifest.Version
	inspectRequests chan func()
	syncResults     chan syncResult
	storeCallbacks  chan func() error
	group           *errgroup.Group
	// expectedDurations is the expected duration of the tasks of each class.
	expectedDurations map[manifest.ClassName]time.Duration
	syncsInFlight     int
	// failedCommit is a commit that failed and must be retried before any other.
	failedCommit        *pendingCommit
	storeAccessInFlight bool
	// evacuating reports whether the engine was told to evacuate the shard.
	evacuating      bool
	storeFailures   int
	storeRetryAt    time.Time
	nextInboxReadAt time.Time
	// listedWorkers and workerLoads are derived from the membership list at seenRevision.
	seenRevision  uint64
	listedWorkers map[membership.InstanceID]membership.Instance
	workerLoads   map[membership.InstanceID]executorLoad
	stopped       chan struct{}
}

// New initializes the internal state of s and returns it. Run and Inspect may be called
// afterwards.
func New(s *Shard) *Shard {
	s.sessions = map[membership.InstanceID]*workerSession{}
	s.inspectRequests = make(chan func())
	s.syncResults = make(chan syncResult, maxSyncsInFlight)
	s.storeCallbacks = make(chan func() error, 1)
	s.stopped = make(chan struct{})
	return s
}

// Run recovers the shard and manages it until ctx is canceled, in which case it returns
// nil, or until another owner supersedes this one.
func (s *Shard) Run(ctx context.Context) error {
	defer close(s.stopped)
	group, ctx := errgroup.WithContext(ctx)
	s.group = group
	group.Go(func() error { return s.loop(ctx) })
	err := group.Wait()
	if err != nil && ctx.Err() != nil && errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

func (s *Shard) loop(ctx context.Context) error {
	if err := s.recover(ctx); err != nil {
		return err
	}
	ticker := s.Clock.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.Chan():
			s.tick(ctx)
		case result := <-s.syncResults:
			if err := s.handleSyncResult(result); err != nil {
				return err
			}
		case callback := <-s.storeCallbacks:
			s.storeAccessInFlight = false
			if err := callback(); err != nil {
				return err
			}
		case inspect := <-s.inspectRequests:
			inspect()
		}
	}
}

// tick updates the engine's inputs, applies its decisions and starts the syncs and store
// accesses that are due.
func (s *Shard) tick(ctx context.Context) {
	now := s.Clock.Now()
	s.applyManifest(now)
	s.refreshWorkers(now)
	_, permitted := s.Permit.StartsUntil(now)
	_, authorized := s.Ownership.AuthorityUntil(now)
	s.engine.SetStartPermit(now, placement.StartPermit{Allowed: permitted && authorized, MaxStartsPerSecond: s.Permit.StartRateLimit(now)})
	s.updateEvacuation(now)
	for _, decision := range s.engine.Tick(now) {
		s.applyDecision(now, decision)
	}
	if authorized {
		s.sendDueSyncs(ctx, now)
	}
	s.startStoreAccess(ctx, now)
	if !now.Before(s.nextSummaryAt) {
		s.nextSummaryAt = now.Add(summaryInterval)
		s.updateSummary()
	}
}

func (s *Shard) updateSummary() {
	summary := s.engine.Summary()
	s.summary.Store(&summary)
}

// Summary returns the state of the shard, which may be older by about summaryInterval.
func (s *Shard) Summary() placement.Summary {
	if summary := s.summary.Load(); summary != nil {
		return *summary
	}
	return placement.Summary{}
}

// HasRecovered reports whether the shard has recovered its jobs and running tasks.
func (s *Shard) HasRecovered() bool {
	return s.recovered.Load()
}

// updateEvacuation tells the engine when the zone goes out of service or returns.
func (s *Shard) updateEvacuation(now time.Time) {
	if out := s.Permit.IsOutOfService(); out != s.evacuating {
		s.evacuating = out
		s.engine.SetEvacuating(now, out)
	}
}

func (s *Shard) applyManifest(now time.Time) {
	current := s.Configuration.Current()
	if current.Version != s.manifestVersion {
		s.manifestVersion = current.Version
		s.engine.ApplyManifest(now, current)
		s.engine.SetQuotaShare(quotaShare(current.Manifest))
		s.expectedDurations = map[manifest.ClassName]time.Duration{}
		for _, class := range current.Manifest.Classes {
			s.expectedDurations[class.Name] = time.Duration(class.ExpectedDuration)
		}
	}
}

// fullQuotaShare is the quota share, in thousandths, of the only shard of an installation.
const fullQuotaShare = 1000

// quotaShare returns the share of each team's quota that a shard may use, in thousandths.
// Shards don't know each other's usage, so each gets an equal share.
func quotaShare(m manifest.Manifest) int {
	shards := max(1, len(m.Zones)) * max(1, m.Limits.ShardsPerZone)
	return max(1, fullQuotaShare/shards)
}

// applyDecision turns a decision into commands for its worker or into a change of a job
// record.
func (s *Shard) applyDecision(now time.Time, d placement.Decision) {
	s.Counters.Add("Decision."+string(d.Kind)+"."+string(d.Reason), 1)
	s.Recorder.RecordDecision(now, d)
	switch d.Kind {
	case placement.Park:
		s.records.parkJob(d.Job, string(d.Reason)+": "+d.Facts.Message)
		return
	case placement.Quarantine, placement.Readmit:
		s.Log.Info().Str("Worker", string(d.Worker)).Str("Reason", string(d.Reason)).Msg(string(d.Kind))
		return
	case placement.Probe:
		return
	}
	session, known := s.sessions[d.Worker]
	if !known {
		s.Counters.Add("Decision.WorkerUnknown", 1)
		return
	}
	session.queueCommand(s, d)
}

// Inspect calls f with the placement engine on the shard's own goroutine. It returns
// false without calling f if the shard has stopped or ctx is canceled first.
func (s *Shard) Inspect(ctx context.Context, f func(*placement.Engine)) bool {
	finished := make(chan struct{})
	inspect := func() {
		f(&s.engine)
		close(finished)
	}
	select {
	case s.inspectRequests <- inspect:
	case <-s.stopped:
		return false
	case <-ctx.Done():
		return false
	}
	<-finished
	return true
}

// leaseExpiry returns the time after which no task can run under a lease that is based
// on a response received at receivedAt.
func leaseExpiry(receivedAt time.Time) time.Time {
	return receivedAt.Add(LeaseTerm*(100+MaxClockDriftPercent)/(100-MaxClockDriftPercent) + MaxStopTime)
}

func (s *Shard) String() string {
	return fmt.Sprintf("%s at epoch %d", s.ID, s.Epoch)
}
