// Package shard runs one shard of an availability zone's workers while this entry
// instance owns it: it recovers who runs what from the workers, lets the
// placement engine decide, keeps the workers' leases and records results.
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

// Terms of leases and syncs.
const (
	// LeaseTerm is how long a worker runs its tasks without a renewal.
	LeaseTerm = 8 * time.Second
	// StopTime bounds the time that a worker takes to stop its tasks after its lease ended.
	StopTime = 2 * time.Second
	// DriftPercent bounds the error of the rate of each clock. Two clocks may be off in
	// opposite directions.
	DriftPercent = 1
	// SyncInterval is the time between syncs of a worker without commands. It
	// leaves three tries within a lease.
	SyncInterval = 2 * time.Second
	// minSyncInterval bounds the syncs of workers that run short tasks, and is the time
	// before a failed sync is repeated, which leaves room for the others.
	minSyncInterval = 250 * time.Millisecond
	// syncsPerTask is how often a task is looked at in its expected duration.
	syncsPerTask = 4
	// syncTimeout bounds the wait for a worker's answer.
	syncTimeout = 1500 * time.Millisecond
	// tickInterval is the time between runs of the placement engine.
	tickInterval = 100 * time.Millisecond
	// inboxInterval is the time between reads of the shard's inbox.
	inboxInterval = 500 * time.Millisecond
	// summaryInterval is the time between summaries for heartbeats.
	summaryInterval = 500 * time.Millisecond
	// maxSyncs bounds the syncs in flight at once.
	maxSyncs = 128
)

// ErrSuperseded reports that another entry instance owns the shard at a higher
// epoch.
var ErrSuperseded = errors.New("shard: superseded by another owner")

// Ownership tells what the owner may do. It is asked right before each act, from
// several goroutines.
type Ownership interface {
	// Authority returns until when the owner may sync with workers, by its own clock.
	Authority(now time.Time) (until time.Time, ok bool)
	// OthersUntil returns when no earlier owner can renew leases any more.
	OthersUntil() time.Time
	// Row reads the shard's row and reports whether it names this owner. Commits are
	// conditional on the row, so that a superseded owner writes nothing.
	Row(ctx context.Context, id worker.ShardID, epoch worker.Epoch) (row table.Condition, mine bool, err error)
}

// Permit tells whether tasks may start in the shard's availability zone.
type Permit interface {
	// StartsUntil returns until when tasks may start, by the clock of this instance.
	StartsUntil(now time.Time) (until time.Time, ok bool)
	// IsOut reports whether the zone is known to be out of service.
	IsOut() bool
	// Ramp bounds the starts per second after a return to service; 0 is unbounded.
	Ramp(now time.Time) int
}

// Destinations chooses shards for the jobs of a zone that is taken out.
type Destinations interface {
	// Destination returns a shard in another zone that is in service.
	Destination(now time.Time) (worker.ShardID, bool)
}

// Membership is the cached list of instances.
type Membership interface {
	Snapshot() membership.Snapshot
}

// Configuration is the manifest in force.
type Configuration interface {
	Current() manifest.Published
}

// Counters counts events by name.
type Counters interface {
	Add(name string, delta int64)
}

// Recorder keeps decisions, so that they can be explained later.
type Recorder interface {
	RecordDecision(at time.Time, d placement.Decision)
}

// Shard runs an owned shard. All fields but Log must be set; Run may be called
// once.
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
	recovered atomic.Bool
	began     time.Time
	// row is the condition of commits; its key is empty before the first one.
	row       table.Condition
	summaryAt time.Time
	links     map[membership.InstanceID]*link
	records   records
	version   manifest.Version
	requests  chan func()
	synced    chan syncResult
	stored    chan func() error
	group     *errgroup.Group
	// expected has the expected duration of each class.
	expected map[manifest.ClassName]time.Duration
	// running counts the syncs in flight.
	running int
	// unsettled is a commit that failed and is tried again before any other.
	unsettled *commit
	storing   bool
	// evacuating is whether the engine was told to empty the shard.
	evacuating bool
	failures   int
	retryAt    time.Time
	inboxAt    time.Time
	// listed and loads are derived from the membership list at seenRevision.
	seenRevision uint64
	listed       map[membership.InstanceID]membership.Instance
	loads        map[membership.InstanceID]load
	done         chan struct{}
}

// New returns s ready to Run and to answer Inspect.
func New(s *Shard) *Shard {
	s.links = map[membership.InstanceID]*link{}
	s.requests = make(chan func())
	s.synced = make(chan syncResult, maxSyncs)
	s.stored = make(chan func() error, 1)
	s.done = make(chan struct{})
	return s
}

// Run recovers the shard and runs it until ctx ends, which is no error, or until
// the shard is superseded.
func (s *Shard) Run(ctx context.Context) error {
	defer close(s.done)
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
		case result := <-s.synced:
			if err := s.handleSync(result); err != nil {
				return err
			}
		case apply := <-s.stored:
			s.storing = false
			if err := apply(); err != nil {
				return err
			}
		case request := <-s.requests:
			request()
		}
	}
}

// tick takes in the facts that changed, runs the engine and sends what is due.
func (s *Shard) tick(ctx context.Context) {
	now := s.Clock.Now()
	s.configure(now)
	s.refreshWorkers(now)
	_, permitted := s.Permit.StartsUntil(now)
	_, authorized := s.Ownership.Authority(now)
	s.engine.Allow(now, placement.StartPermit{Starts: permitted && authorized, Ramp: s.Permit.Ramp(now)})
	s.evacuate(now)
	for _, decision := range s.engine.Tick(now) {
		s.apply(now, decision)
	}
	if authorized {
		s.sendSyncs(ctx, now)
	}
	s.store(ctx, now)
	if !now.Before(s.summaryAt) {
		s.summaryAt = now.Add(summaryInterval)
		s.summarize()
	}
}

func (s *Shard) summarize() {
	summary := s.engine.Summary()
	s.summary.Store(&summary)
}

// Summary returns the state of the shard as of about summaryInterval ago.
func (s *Shard) Summary() placement.Summary {
	if summary := s.summary.Load(); summary != nil {
		return *summary
	}
	return placement.Summary{}
}

// Recovered reports whether the shard knows who runs what.
func (s *Shard) Recovered() bool {
	return s.recovered.Load()
}

// evacuate tells the engine when the zone leaves or returns.
func (s *Shard) evacuate(now time.Time) {
	if out := s.Permit.IsOut(); out != s.evacuating {
		s.evacuating = out
		s.engine.Evacuate(now, out)
	}
}

func (s *Shard) configure(now time.Time) {
	current := s.Configuration.Current()
	if current.Version != s.version {
		s.version = current.Version
		s.engine.Configure(now, current)
		s.engine.SetQuotaShare(quotaShare(current.Manifest))
		s.expected = map[manifest.ClassName]time.Duration{}
		for _, class := range current.Manifest.Classes {
			s.expected[class.Name] = time.Duration(class.ExpectedDuration)
		}
	}
}

// wholeQuota is the quota share, in thousandths, of a shard that is alone.
const wholeQuota = 1000

// quotaShare returns the part of each team's quota that a shard may use. The shards
// don't know each other's use, so each has an equal part.
func quotaShare(m manifest.Manifest) int {
	shards := max(1, len(m.Zones)) * max(1, m.Limits.ShardsPerZone)
	return max(1, wholeQuota/shards)
}

// apply turns a decision into commands for its worker or changes of records.
func (s *Shard) apply(now time.Time, d placement.Decision) {
	s.Counters.Add("Decision."+string(d.Kind)+"."+string(d.Reason), 1)
	s.Recorder.RecordDecision(now, d)
	switch d.Kind {
	case placement.Park:
		s.records.park(d.Job, string(d.Reason)+": "+d.Facts.Message)
		return
	case placement.Quarantine, placement.Readmit:
		s.Log.Info().Str("Worker", string(d.Worker)).Str("Reason", string(d.Reason)).Msg(string(d.Kind))
		return
	case placement.Probe:
		return
	}
	l, known := s.links[d.Worker]
	if !known {
		s.Counters.Add("Decision.WorkerUnknown", 1)
		return
	}
	l.command(s, d)
}

// Inspect runs f on the shard's own goroutine with its engine. It reports false
// if the shard has stopped or ctx ended first.
func (s *Shard) Inspect(ctx context.Context, f func(*placement.Engine)) bool {
	finished := make(chan struct{})
	request := func() {
		f(&s.engine)
		close(finished)
	}
	select {
	case s.requests <- request:
	case <-s.done:
		return false
	case <-ctx.Done():
		return false
	}
	<-finished
	return true
}

// leaseBound returns when nothing can run any more on a worker under a lease that
// builds on an answer received at r.
func leaseBound(r time.Time) time.Time {
	return r.Add(LeaseTerm*(100+DriftPercent)/(100-DriftPercent) + StopTime)
}

func (s *Shard) String() string {
	return fmt.Sprintf("%s at epoch %d", s.ID, s.Epoch)
}
