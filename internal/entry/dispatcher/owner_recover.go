package dispatcher

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/interference"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/table"
)

// recoverJobs loads the stored jobs and returns the mirror that watches them. It reads
// the rows concurrently, because the store may be slow.
func (o *owner) recoverJobs(ctx context.Context) (*table.Mirror, error) {
	store := &o.node.store
	var cancelRows, progressRows, transferRows []table.Row
	var stopping []dispatch.StoppingRun
	var record dispatch.RecoveryRecord
	var hasRecord bool
	var group errgroup.Group
	group.Go(func() error { return o.recoverEstimates(ctx) })
	group.Go(func() error { return o.recoverFleet(ctx) })
	group.Go(func() (err error) {
		stopping, err = o.readStopping(ctx)
		return err
	})
	group.Go(func() (err error) {
		record, hasRecord, err = o.readRecord(ctx)
		return err
	})
	group.Go(func() (err error) {
		cancelRows, _, err = store.Snapshot(ctx, o.shard.partition.cancelPrefix())
		return err
	})
	group.Go(func() (err error) {
		progressRows, _, err = store.Snapshot(ctx, o.shard.partition.progressPrefix())
		return err
	})
	group.Go(func() (err error) {
		transferRows, _, err = store.Snapshot(ctx, o.shard.partition.transferPrefix())
		return err
	})
	if err := group.Wait(); err != nil {
		return nil, err
	}
	progress, err := o.decodeProgress(progressRows)
	if err != nil {
		return nil, err
	}
	mirror := o.mirrorJobs(progress)
	if err := mirror.Load(ctx); err != nil {
		return nil, err
	}
	if err := o.addTransferred(transferRows, progress); err != nil {
		return nil, err
	}
	o.applyCancels(rowsByKey(cancelRows))
	o.lock.Lock()
	defer o.lock.Unlock()
	o.loaded = true
	if o.epoch > 1 {
		now := o.now()
		o.engine.Recover(now, remainingAuthority(now, o.previousAuthorityAt))
		o.engine.AwaitStops(now, stopping)
		if hasRecord {
			o.engine.RecoverFrom(now, record)
		}
	}
	return mirror, nil
}

// remainingAuthority returns an upper bound for how much longer a previous owner may
// act, given when it last confirmed its ownership. If that time is unknown, it may have
// been just now. The result is negative if the previous owner had to stop before now.
func remainingAuthority(now, lastConfirmed time.Time) time.Duration {
	if lastConfirmed.IsZero() || lastConfirmed.After(now) {
		return authorityTerm
	}
	return authorityTerm - now.Sub(lastConfirmed)
}

func (o *owner) decodeProgress(rows []table.Row) (map[dispatch.JobID]dispatch.Progress, error) {
	progress := make(map[dispatch.JobID]dispatch.Progress, len(rows))
	for _, row := range rows {
		p, err := decodeProgress(row)
		if err != nil {
			return nil, err
		}
		progress[jobIDOf(row.Key, o.shard.partition.progressPrefix())] = p
	}
	return progress, nil
}

// mirrorJobs returns a mirror of the accepted jobs. The jobs of the first read were
// accepted under a previous owner.
func (o *owner) mirrorJobs(progress map[dispatch.JobID]dispatch.Progress) *table.Mirror {
	recovered := false
	mirror := o.node.mirror("Jobs", o.shard.partition.jobPrefix(), jobsWatchInterval, func(rows map[table.Key]table.Row) {
		o.applyJobs(rows)
		recovered, progress = true, nil
	})
	mirror.Trim = func(r table.Row) table.Row {
		o.withEngine(func(now time.Time, _ *dispatch.Engine) {
			o.applyJob(now, r, progress[jobIDOf(r.Key, o.shard.partition.jobPrefix())], !recovered, o.addOrDefer)
			r = o.trimJobRow(r)
		})
		return r
	}
	return mirror
}

// recoverEstimates restores the interference estimates of the previous owner.
func (o *owner) recoverEstimates(ctx context.Context) error {
	row, err := o.node.read(ctx, o.shard.partition.estimatesKey())
	if err != nil || row.Version == 0 {
		return err
	}
	estimates, err := decode[[]interference.Estimate](row)
	if err != nil {
		o.node.Log.Error().Err(err).Msg("ignored estimates that can't be decoded")
		return nil
	}
	o.withEngine(func(now time.Time, e *dispatch.Engine) { e.RestoreEstimates(now, estimates) })
	return nil
}

// readStopping returns the runs that the previous owner was stopping when it released the shard.
func (o *owner) readStopping(ctx context.Context) ([]dispatch.StoppingRun, error) {
	row, err := o.node.read(ctx, o.shard.partition.stoppingKey())
	if err != nil || row.Version == 0 {
		return nil, err
	}
	stopping, err := decode[stoppingRow](row)
	if err != nil {
		o.node.Log.Error().Err(err).Msg("ignored a list of stopping runs that can't be decoded")
		return nil, nil
	}
	if !stopping.Epoch.Precedes(o.epoch) {
		return nil, nil
	}
	return stopping.Runs, nil
}

// recoverFleet adds the workers that the previous owner used, so that workers missing
// from the list are polled as well.
func (o *owner) recoverFleet(ctx context.Context) error {
	rows, _, err := o.node.store.Snapshot(ctx, o.shard.partition.fleetPrefix())
	if err != nil {
		return err
	}
	o.lock.Lock()
	defer o.lock.Unlock()
	for _, row := range rows {
		workers, err := decode[[]dispatch.WorkerInfo](row)
		if err != nil {
			return err
		}
		o.engine.AddPreviousWorkers(o.now(), workers)
	}
	// The rows of the previous owner are all rewritten or deleted.
	o.fleet = make([][]byte, len(rows))
	return nil
}

// applyJobs adds the jobs that the engine doesn't know yet, none of which was accepted under an earlier owner.
func (o *owner) applyJobs(rows map[table.Key]table.Row) {
	o.withEngine(func(now time.Time, _ *dispatch.Engine) {
		for _, row := range rows {
			o.applyJob(now, row, dispatch.Progress{}, false, o.addOrDefer)
		}
	})
}

// applyJob adds a job that the engine doesn't know yet, or its outcome, from its row. An unfinished job is
// added by add. The lock must be held.
func (o *owner) applyJob(
	now time.Time, row table.Row, progress dispatch.Progress, recovered bool,
	add func(time.Time, dispatch.Job, dispatch.Progress, bool),
) {
	id := jobIDOf(row.Key, o.shard.partition.jobPrefix())
	if len(row.Value) == 0 || o.knows(id) || o.storing[id] {
		return
	}
	content, err := decode[jobRow](row)
	if err != nil {
		o.node.Log.Error().Err(err).Msg("can't decode a job row")
		o.node.Counters.Add("Jobs.RowsUnreadable", 1)
		return
	}
	switch {
	case content.Moved != nil:
		o.addMoved(content.Job, id, *content.Moved, content.Ended)
	case content.Outcome != "" && now.Sub(content.Ended) > outcomeRetention:
		o.expiredJobs[id] = true
	case content.Tombstone:
		o.tombstones[id] = content.Ended
	case content.Outcome != "":
		o.engine.AddFinished(now, id, content.Outcome)
	case content.Job != nil:
		add(now, *content.Job, progress, recovered)
	}
}

func rowsByKey(rows []table.Row) map[table.Key]table.Row {
	byKey := make(map[table.Key]table.Row, len(rows))
	for _, r := range rows {
		byKey[r.Key] = r
	}
	return byKey
}

func (o *owner) applyCancels(rows map[table.Key]table.Row) {
	o.withEngine(func(now time.Time, _ *dispatch.Engine) {
		for key := range rows {
			id := jobIDOf(key, o.shard.partition.cancelPrefix())
			o.cancelJob(now, id)
		}
	})
}

func (o *owner) mirrorCancels() *table.Mirror {
	return o.node.mirror("Cancels", o.shard.partition.cancelPrefix(), jobsWatchInterval, o.applyCancels)
}
