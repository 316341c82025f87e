package dispatcher

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/jacinthtrail/jacinthtrail/internal/caller/queue"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/balance"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/table"
)

const (
	// maxEngineInterval is the longest time between two runs of the engine.
	maxEngineInterval = 50 * time.Millisecond
	// engineBatchDelay is the pause after a run of the engine, so that the next run
	// handles all events that arrive in the meantime.
	engineBatchDelay = 25 * time.Millisecond
	// workersWatchInterval is the minimum time between two reads of the list of workers.
	workersWatchInterval = 300 * time.Millisecond
	// jobsWatchInterval is the minimum time between two reads of the accepted jobs. In
	// addition, the instances notify the owner of new jobs at once.
	jobsWatchInterval = 400 * time.Millisecond
	// outcomeRetention is how long the outcome of a job is kept, twice the time that the
	// platform requires. It also limits how late a submission may be repeated.
	outcomeRetention = 4 * time.Minute
	// storeLostAfter is the time without a stored transaction after which the owner
	// reports that it can't reach the store.
	storeLostAfter = 1200 * time.Millisecond
)

var (
	errSuperseded = errors.New("dispatcher: superseded by another owner")
	errReleased   = errors.New("dispatcher: the shard was released")
)

// owner runs a shard while this instance owns it.
type owner struct {
	node   *Node
	shard  *shard
	epoch  dispatch.Epoch
	ctx    context.Context
	cancel context.CancelFunc
	// engineDue wakes runEngine, and writeDue wakes runWriter.
	engineDue chan struct{}
	writeDue  chan struct{}
	group     *errgroup.Group

	lock   sync.Mutex
	engine *dispatch.Engine
	// loaded reports that the stored jobs are in the engine.
	loaded bool
	// polledWorkers has the workers for which pollWorker is running.
	polledWorkers map[membership.InstanceID]bool
	// row is the owner's row as last written, and version its version.
	row        ownerRow
	version    table.Version
	authority  authority
	suspension suspension
	// authorityLost reports that the engine is suspended because the owner may have been
	// replaced.
	authorityLost bool
	// fleet has the last written rows of the workers in use, and workersRevision the
	// engine's revision of them.
	fleet           [][]byte
	workersRevision int
	// recordRows is the number of rows that have recovery records of earlier owners. recordRejected
	// reports that the store rejected a transaction with the record of this one.
	recordRows     int
	recordRejected bool
	// workerList is the platform's list of workers.
	workerList workerList
	// previousAuthorityAt is when the previous owner last confirmed its ownership, zero if
	// unknown.
	previousAuthorityAt time.Time
	// submissions are jobs that wait to be stored.
	submissions []*submission
	// storing has the jobs whose acceptance is being stored.
	storing map[dispatch.JobID]bool
	// moved has the jobs that this shard has moved to other shards.
	moved map[dispatch.JobID]*movedJob
	// senderEpochs has the highest epoch of each other shard whose owner has transferred tasks to this
	// one, or has ended transfers.
	senderEpochs map[shardID]dispatch.Epoch
	// unloaded has the stored jobs for which there was no memory.
	unloaded map[dispatch.JobID]*unloadedJob
	// jobMemory is what the jobs of the shard take, as of the last run of the engine, in bytes.
	jobMemory atomic.Int64
	// tombstones has the jobs that were cancelled before they were stored, with the time of that.
	tombstones map[dispatch.JobID]time.Time
	// earlyCancels has the jobs whose cancellation became known before the jobs did.
	earlyCancels map[dispatch.JobID]bool
	// deferredWrites are writes that aren't urgent.
	deferredWrites []table.Write
	cachedLoad     balance.Load
	cachedLoadAt   time.Time
	// partLimit limits the parts of the next update.
	partLimit partLimit
	// expiredJobs has the finished jobs whose rows can be deleted.
	expiredJobs map[dispatch.JobID]bool
	// estimatesWrittenAt is when the estimates were last written.
	estimatesWrittenAt time.Time
	endReason          string
	// releaseRequested requests the release of the shard, and released reports that it is
	// stored. The error of run doesn't show this, because another goroutine may see the
	// end of the context first.
	releaseRequested atomic.Bool
	released         atomic.Bool
}

func newOwner(s *shard, row ownerRow, version table.Version, cancel context.CancelFunc) *owner {
	n := s.node
	o := &owner{
		node: n, shard: s, epoch: row.Epoch, cancel: cancel, row: row, version: version, authority: authority{storedAt: n.Clock.Now()},
		engineDue:     make(chan struct{}, 1),
		writeDue:      make(chan struct{}, 1),
		polledWorkers: map[membership.InstanceID]bool{},

		expiredJobs:  map[dispatch.JobID]bool{},
		storing:      map[dispatch.JobID]bool{},
		moved:        map[dispatch.JobID]*movedJob{},
		unloaded:     map[dispatch.JobID]*unloadedJob{},
		senderEpochs: map[shardID]dispatch.Epoch{},
		earlyCancels: map[dispatch.JobID]bool{},
		tombstones:   map[dispatch.JobID]time.Time{},
	}
	o.engine = dispatch.New(dispatch.Options{
		Epoch: row.Epoch, LeaseTerm: n.LeaseTerm, MaxLease: n.MaxLease, StopTimeout: n.StopTimeout, RemoteDurationFactor: n.RemoteDurationFactor,
		Disabled: n.Disabled, Counters: n.Counters, Latencies: n.Latencies, Recorder: o,
	})
	return o
}

// run recovers the jobs and dispatches them until ctx ends or the shard is lost.
func (o *owner) run(ctx context.Context) error {
	group, ctx := o.start(ctx)
	// The writer starts before the jobs are loaded: another instance would replace an
	// owner that doesn't write heartbeats.
	group.Go(func() error { return o.runWriter(ctx) })
	group.Go(func() error { return o.confirmAuthority(ctx) })
	group.Go(func() error { return o.loadJobs(ctx) })
	return group.Wait()
}

// start creates the owner's group of goroutines and applies the configuration in force.
func (o *owner) start(ctx context.Context) (*errgroup.Group, context.Context) {
	o.group, o.ctx = errgroup.WithContext(ctx)
	o.configure()
	return o.group, o.ctx
}

// loadJobs recovers the jobs and starts the goroutines that dispatch them.
func (o *owner) loadJobs(ctx context.Context) error {
	jobs, err := o.recoverJobs(ctx)
	if err != nil {
		return fmt.Errorf("recover jobs: %w", err)
	}
	o.group.Go(func() error { return o.mirrorWorkers().Run(ctx) })
	o.group.Go(func() error { return jobs.Run(ctx) })
	o.group.Go(func() error { return o.mirrorCancels().Run(ctx) })
	o.group.Go(func() error { return o.runEngine(ctx) })
	o.group.Go(func() error { return o.expireMovedJobs(ctx) })
	o.group.Go(func() error { return o.runReassignment(ctx) })
	o.group.Go(func() error { return o.exchangeEstimates(ctx) })
	o.group.Go(func() error { return o.loadDeferred(ctx) })
	return nil
}

// RecordDecision logs a decision of the engine.
func (o *owner) RecordDecision(_ time.Time, d dispatch.Decision) {
	log := &o.node.Log
	if isRoutine(d) {
		log = &o.node.RoutineLog
	}
	line := log.WithLevel(levelOf(d)).Str("Event", d.Event).Int("Shard", int(o.shard.id)).Int64("Epoch", int64(o.epoch))
	if d.Job != "" {
		line = line.Str("Job", string(d.Job))
	}
	if d.Task.Task.Job != "" {
		line = line.Str("Task", d.Task.Task.String()).Int64("Run", int64(d.Task.Run))
	}
	if d.Worker != "" {
		line = line.Str("Worker", string(d.Worker))
	}
	if d.WorkerVersion != "" {
		line = line.Str("WorkerVersion", string(d.WorkerVersion))
	}
	if d.Reason != "" {
		line = line.Str("Reason", d.Reason)
	}
	if d.Age > 0 {
		line = line.Dur("Age", d.Age)
	}
	if d.Took > 0 {
		line = line.Dur("Took", d.Took)
	}
	if d.Objective > 0 {
		line = line.Dur("Objective", d.Objective)
	}
	if d.SlackFactor > 0 {
		line = line.Float64("SlackFactor", d.SlackFactor).Dur("TargetLatency", d.TargetLatency)
	}
	if d.Evidence != nil {
		line = addEvidence(line, d.Evidence)
	}
	if d.LongDowntime != nil {
		line = addLongDowntime(line, d.LongDowntime)
	}
	if d.Reservation != nil {
		line = addReservation(line, d.Reservation)
	}
	if d.ShardRoom != nil {
		line = addShardRoom(line, d.ShardRoom)
	}
	line.Send()
}

// addEvidence adds the fields of the evidence that are known.
func addEvidence(line *zerolog.Event, ev *dispatch.Evidence) *zerolog.Event {
	if ev.Phase != "" {
		line = line.Str("Phase", ev.Phase)
	}
	for _, age := range []struct {
		name  string
		value time.Duration
	}{
		{"PollAge", ev.PollAge},
		{"ReportAge", ev.ReportAge},
		{"AnswerAge", ev.AnswerAge},
		{"MissingFor", ev.MissingFor},
		{"LeaseExpiresIn", ev.LeaseExpiresIn},
		{"Clock", ev.Clock},
		{"EarlierClock", ev.EarlierClock},
	} {
		if age.value != 0 {
			line = line.Dur(age.name, age.value)
		}
	}
	if ev.EarlierIncarnation != 0 {
		line = line.Int64("EarlierIncarnation", ev.EarlierIncarnation)
	}
	return line.Int64("Incarnation", ev.Incarnation).Int("Runs", ev.Runs)
}

// addLongDowntime adds the fields of a task that is down for long.
func addLongDowntime(line *zerolog.Event, d *dispatch.LongDowntime) *zerolog.Event {
	line = line.Str("Awaits", string(d.Awaits)).
		Int64("Processors", int64(d.Resources.Processors)).Int64("Memory", int64(d.Resources.Memory))
	if d.Resources.Accelerators > 0 {
		line = line.Int64("Accelerators", int64(d.Resources.Accelerators))
	}
	return line.Int("UnavailableWithRoom", d.UnavailableWithRoom).Int("WaitingTasks", d.WaitingTasks)
}

// addReservation adds the fields of a reservation.
func addReservation(line *zerolog.Event, r *dispatch.ReservationRoom) *zerolog.Event {
	return line.Int("Tasks", r.Tasks).Dur("ExpectedIn", r.ExpectedIn).
		Int64("Processors", int64(r.Resources.Processors)).Int64("Memory", int64(r.Resources.Memory))
}

// addShardRoom adds the fields of the room of a shard.
func addShardRoom(line *zerolog.Event, r *dispatch.ShardRoom) *zerolog.Event {
	return line.Int("Workers", r.Workers).Int("Unavailable", r.Unavailable).
		Interface("Capacity", r.Capacity).Interface("Reserved", r.Reserved).
		Interface("Free", r.Free).Interface("UnavailableFree", r.UnavailableFree).
		Int("TasksDown", r.TasksDown).Dur("LongestDowntime", r.LongestDowntime)
}

// levelOf returns the level of a decision in the log. Runs that are given up although they may be
// active are warnings, so that their lines are kept where a log is cut short.
func levelOf(d dispatch.Decision) zerolog.Level {
	switch d.Event {
	case "TaskLost", "TaskOrphan", "WorkerReplaced", "WorkerRestarted":
		return zerolog.WarnLevel
	}
	return zerolog.InfoLevel
}

// isRoutine reports whether a decision is part of the normal course of a task.
func isRoutine(d dispatch.Decision) bool {
	switch d.Event {
	case "TaskStart":
		return d.Reason == string(dispatch.StartAccepted)
	case "TaskEnded":
		return d.Reason == string(dispatch.EndDone)
	case "TaskStopping", "TaskAdopted", "ReservationMade", "ReservationMet", "ReservationMissed":
		return true
	}
	return false
}

// withEngine calls f with the engine and then requests a run of the engine.
func (o *owner) withEngine(f func(now time.Time, e *dispatch.Engine)) {
	o.lock.Lock()
	f(o.now(), o.engine)
	o.lock.Unlock()
	o.requestEngineRun()
}

func (o *owner) now() time.Time {
	return o.node.Clock.Now()
}

func (o *owner) requestEngineRun() {
	select {
	case o.engineDue <- struct{}{}:
	default:
	}
}

// configure applies the configuration in force, if there is one. It reads it under the lock,
// so that of several calls at the same time the last one applies the newest.
func (o *owner) configure() {
	var version queue.Version
	o.withEngine(func(_ time.Time, e *dispatch.Engine) {
		if c := o.node.config.Load(); c != nil {
			version = c.Version
			e.SetQueues(c.Queues)
			e.SetZonesOutOfService(c.ZonesOut)
		}
	})
	o.useListedWorkers()
	if version != 0 {
		o.node.Log.Info().Str("Event", "ShardConfigured").Int("Shard", int(o.shard.id)).Int64("Epoch", int64(o.epoch)).
			Int64("Version", int64(version)).Send()
	}
}

// currentRow returns the owner's row as last written, marked as released if a release
// was requested.
func (o *owner) currentRow() ownerRow {
	o.lock.Lock()
	defer o.lock.Unlock()
	row := o.row
	row.Released = row.Released || o.releaseRequested.Load()
	return row
}

func (o *owner) storeLost() bool {
	o.lock.Lock()
	defer o.lock.Unlock()
	return o.now().Sub(o.authority.storedAt) > storeLostAfter
}

// supersede ends the ownership because another instance has taken over.
func (o *owner) supersede(reason string) {
	o.setEndReason(reason)
	o.node.Counters.Add("Owner.Superseded", 1)
	o.cancel()
}

// setEndReason records why the ownership ends. Only the first reason is kept.
func (o *owner) setEndReason(reason string) {
	o.lock.Lock()
	defer o.lock.Unlock()
	if o.endReason == "" {
		o.endReason = reason
	}
}

func (o *owner) reason() string {
	o.lock.Lock()
	defer o.lock.Unlock()
	return o.endReason
}

// releaseShard releases the shard in the next transaction.
func (o *owner) releaseShard() {
	o.setEndReason("released")
	o.releaseRequested.Store(true)
	o.requestWrite()
}
