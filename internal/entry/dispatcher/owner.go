package dispatcher

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/jacinthtrail/jacinthtrail/internal/caller/queue"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/interference"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/table"
)

const (
	// decideInterval is the longest time between two runs of the engine.
	decideInterval = 50 * time.Millisecond
	// decidePause lets reports that arrive together be decided on together.
	decidePause = 8 * time.Millisecond
	// workersPause is the least time between two looks at the list of workers.
	workersPause = 300 * time.Millisecond
	// jobsPause is the least time between two looks at the accepted jobs. The
	// instances also tell of them at once.
	jobsPause = 400 * time.Millisecond
	// outcomeMemory is how long the outcome of a job can be asked for, twice the time
	// that the platform requires. It also bounds how late a submission may be repeated.
	outcomeMemory = 4 * time.Minute
	// storeLostAfter is the time without a stored transaction after which the owner
	// says that it can't reach the store.
	storeLostAfter = 1200 * time.Millisecond
)

var (
	errSuperseded = errors.New("dispatcher: superseded by another owner")
	errReleased   = errors.New("dispatcher: the shard was released")
)

// owner runs the shard while this instance owns it.
type owner struct {
	node   *Node
	epoch  dispatch.Epoch
	ctx    context.Context
	cancel context.CancelFunc
	kicked chan struct{}
	dirty  chan struct{}
	group  *errgroup.Group

	lock   sync.Mutex
	engine *dispatch.Engine
	// loaded reports that the stored jobs are in the engine.
	loaded    bool
	polled    map[membership.InstanceID]bool
	row       ownerRow
	version   table.Version
	authority authority
	// suspended reports that the owner may have been replaced and rests.
	suspended bool
	// fleet is the row of the workers in use as it was last written.
	fleet []byte
	// submissions are jobs that wait to be stored.
	submissions []*submission
	// expired has the rows of outcomes that nobody asks for any more, with their versions.
	expired map[dispatch.JobID]table.Version
	// estimated is when the estimates were last written.
	estimated time.Time
	why       string
	release   atomic.Bool
}

func newOwner(n *Node, row ownerRow, version table.Version, cancel context.CancelFunc) *owner {
	o := &owner{
		node: n, epoch: row.Epoch, cancel: cancel, row: row, version: version, authority: authority{stored: n.Clock.Now()},
		kicked: make(chan struct{}, 1),
		dirty:  make(chan struct{}, 1),
		polled: map[membership.InstanceID]bool{},

		expired: map[dispatch.JobID]table.Version{},
	}
	o.engine = dispatch.New(dispatch.Options{
		Epoch: row.Epoch, LeaseTerm: n.LeaseTerm, RemoteFactor: n.RemoteFactor, MaxHarm: n.MaxHarm,
		Counters: n.Counters, Latencies: n.Latencies, Recorder: o,
	})
	return o
}

// run recovers the jobs and dispatches them until ctx ends or the shard is lost.
func (o *owner) run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	o.group, o.ctx = group, ctx
	if c := o.node.config.Load(); c != nil {
		o.configure(c)
	}
	jobs, err := o.recoverJobs(ctx)
	if err != nil {
		return fmt.Errorf("recover jobs: %w", err)
	}
	group.Go(func() error { return o.mirrorWorkers().Run(ctx) })
	group.Go(func() error { return jobs.Run(ctx) })
	group.Go(func() error { return o.mirrorCancels().Run(ctx) })
	group.Go(func() error { return o.decide(ctx) })
	group.Go(func() error { return o.confirmAuthority(ctx) })
	group.Go(func() error { return o.write(ctx) })
	return group.Wait()
}

// RecordDecision logs a decision of the engine.
func (o *owner) RecordDecision(_ time.Time, d dispatch.Decision) {
	log := &o.node.Log
	if isRoutine(d) {
		log = &o.node.Routine
	}
	line := log.Info().Str("Event", d.Event).Int64("Epoch", int64(o.epoch))
	if d.Job != "" {
		line = line.Str("Job", string(d.Job))
	}
	if d.Task.Task.Job != "" {
		line = line.Str("Task", d.Task.Task.String()).Int64("Run", int64(d.Task.Run))
	}
	if d.Worker != "" {
		line = line.Str("Worker", string(d.Worker))
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
	line.Send()
}

// isRoutine reports whether a decision is part of the ordinary course of a task.
func isRoutine(d dispatch.Decision) bool {
	switch d.Event {
	case "TaskStart":
		return d.Reason == string(dispatch.StartAccepted)
	case "TaskEnded":
		return d.Reason == string(dispatch.EndDone)
	case "TaskStopping", "TaskAdopted":
		return true
	}
	return false
}

// with runs f with the engine and then lets it decide.
func (o *owner) with(f func(now time.Time, e *dispatch.Engine)) {
	o.lock.Lock()
	f(o.node.Clock.Now(), o.engine)
	o.lock.Unlock()
	o.kick()
}

func (o *owner) kick() {
	select {
	case o.kicked <- struct{}{}:
	default:
	}
}

func (o *owner) configure(c *queue.Configuration) {
	o.with(func(_ time.Time, e *dispatch.Engine) {
		e.SetQueues(c.Queues)
		e.SetZonesOut(c.ZonesOut)
	})
}

// recoverJobs loads the stored jobs and returns the mirror that follows them.
func (o *owner) recoverJobs(ctx context.Context) (*table.Mirror, error) {
	store := &o.node.store
	cancels, _, err := store.Snapshot(ctx, cancelPrefix)
	if err != nil {
		return nil, err
	}
	progress, _, err := store.Snapshot(ctx, progressPrefix)
	if err != nil {
		return nil, err
	}
	stored := make(map[dispatch.JobID]dispatch.Progress, len(progress))
	for _, row := range progress {
		p, err := decode[dispatch.Progress](row)
		if err != nil {
			return nil, err
		}
		stored[jobOf(row.Key, progressPrefix)] = p
	}
	if err := o.recoverEstimates(ctx); err != nil {
		return nil, err
	}
	if err := o.recoverFleet(ctx); err != nil {
		return nil, err
	}
	recovered := false
	mirror := &table.Mirror{
		Watcher: store, Prefix: jobPrefix, Clock: o.node.Clock, Wait: watchTime, Pause: jobsPause,
		Failed: func(error) { o.node.Counters.Add("Jobs.WatchFailed", 1) },
	}
	mirror.Apply = func(rows map[table.Key]table.Row) {
		o.applyJobs(rows, stored, !recovered)
		recovered = true
	}
	if err := mirror.Load(ctx); err != nil {
		return nil, err
	}
	o.applyCancels(keysOf(cancels))
	o.lock.Lock()
	o.loaded = true
	if o.epoch > 1 {
		o.engine.Recover(o.node.Clock.Now(), authorityTerm)
	}
	o.lock.Unlock()
	return mirror, nil
}

// recoverEstimates takes over what the earlier owner learned about images.
func (o *owner) recoverEstimates(ctx context.Context) error {
	row, err := o.node.read(ctx, estimatesKey)
	if err != nil || row.Version == 0 {
		return err
	}
	list, err := decode[[]interference.Estimate](row)
	if err != nil {
		o.node.Log.Error().Err(err).Msg("left out unreadable estimates")
		return nil
	}
	o.with(func(now time.Time, e *dispatch.Engine) { e.RestoreEstimates(now, list) })
	return nil
}

// recoverFleet enters the workers that the earlier owner used, so that those that
// the list lacks are asked as well.
func (o *owner) recoverFleet(ctx context.Context) error {
	row, err := o.node.read(ctx, fleetKey)
	if err != nil || row.Version == 0 {
		return err
	}
	list, err := decode[[]dispatch.WorkerInfo](row)
	if err != nil {
		return err
	}
	o.lock.Lock()
	defer o.lock.Unlock()
	o.engine.RememberWorkers(o.node.Clock.Now(), list)
	return nil
}

// applyJobs adds the jobs that the engine doesn't know yet.
func (o *owner) applyJobs(rows map[table.Key]table.Row, stored map[dispatch.JobID]dispatch.Progress, recovered bool) {
	o.with(func(now time.Time, e *dispatch.Engine) {
		for key, row := range rows {
			id := jobOf(key, jobPrefix)
			if e.Knows(id) {
				continue
			}
			content, err := decode[jobRow](row)
			if err != nil {
				o.node.Log.Error().Err(err).Msg("unreadable job row")
				o.node.Counters.Add("Jobs.RowsUnreadable", 1)
				continue
			}
			switch {
			case content.Outcome != "" && now.Sub(content.Ended) > outcomeMemory:
				o.expired[id] = row.Version
			case content.Outcome != "":
				e.AddFinished(now, id, content.Outcome)
			case content.Job != nil:
				e.AddJob(now, *content.Job, stored[id], recovered)
			}
		}
	})
}

func keysOf(rows []table.Row) map[table.Key]table.Row {
	byKey := make(map[table.Key]table.Row, len(rows))
	for _, r := range rows {
		byKey[r.Key] = r
	}
	return byKey
}

func (o *owner) applyCancels(rows map[table.Key]table.Row) {
	o.with(func(now time.Time, e *dispatch.Engine) {
		for key := range rows {
			e.Cancel(now, jobOf(key, cancelPrefix))
		}
	})
}

func (o *owner) mirrorCancels() *table.Mirror {
	return &table.Mirror{
		Watcher: &o.node.store, Prefix: cancelPrefix, Clock: o.node.Clock, Wait: watchTime, Pause: jobsPause,
		Apply:  o.applyCancels,
		Failed: func(error) { o.node.Counters.Add("Cancels.WatchFailed", 1) },
	}
}

func (o *owner) mirrorWorkers() *table.Mirror {
	return &table.Mirror{
		Watcher: &o.node.store, Prefix: o.node.Catalog.WorkersPrefix(), Clock: o.node.Clock,
		Wait: watchTime, Pause: workersPause,
		Apply:  o.applyWorkers,
		Failed: func(error) { o.node.Counters.Add("Workers.WatchFailed", 1) },
	}
}

func (o *owner) applyWorkers(rows map[table.Key]table.Row) {
	list, err := o.node.Catalog.Workers(rows)
	if err != nil {
		o.node.Counters.Add("Workers.RowsLeftOut", 1)
	}
	var ids []membership.InstanceID
	o.with(func(now time.Time, e *dispatch.Engine) {
		e.SetWorkers(now, list)
		for _, id := range e.Workers() {
			if !o.polled[id] {
				o.polled[id] = true
				ids = append(ids, id)
			}
		}
	})
	for _, id := range ids {
		o.group.Go(func() error { return o.pollWorker(id) })
	}
}

// currentRow returns the owner's row as it was last written.
func (o *owner) currentRow() ownerRow {
	o.lock.Lock()
	defer o.lock.Unlock()
	row := o.row
	row.Released = row.Released || o.release.Load()
	return row
}

func (o *owner) storeLost() bool {
	o.lock.Lock()
	defer o.lock.Unlock()
	return o.node.Clock.Now().Sub(o.authority.stored) > storeLostAfter
}

// load returns what callers should be told.
func (o *owner) load() load {
	return load{}
}

// supersede ends the ownership, which another instance has taken over.
func (o *owner) supersede(why string) {
	o.note(why)
	o.node.Counters.Add("Owner.Superseded", 1)
	o.cancel()
}

// note keeps the first reason for the end of the ownership.
func (o *owner) note(why string) {
	o.lock.Lock()
	defer o.lock.Unlock()
	if o.why == "" {
		o.why = why
	}
}

func (o *owner) reason() string {
	o.lock.Lock()
	defer o.lock.Unlock()
	return o.why
}

// releaseShard gives the shard back with the next transaction.
func (o *owner) releaseShard() {
	o.note("released")
	o.release.Store(true)
	o.wake()
}
