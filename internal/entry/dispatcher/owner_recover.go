package dispatcher

import (
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/interference"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/table"
)

// recoverJobs loads the stored jobs and returns the mirror that follows them. The
// rows are read at the same time, because the store may be slow.
func (o *owner) recoverJobs(ctx context.Context) (*table.Mirror, error) {
	store := &o.node.store
	var cancels, progress []table.Row
	var group errgroup.Group
	group.Go(func() error { return o.recoverEstimates(ctx) })
	group.Go(func() error { return o.recoverFleet(ctx) })
	group.Go(func() (err error) {
		cancels, _, err = store.Snapshot(ctx, o.shard.partition.cancelPrefix())
		return err
	})
	group.Go(func() (err error) {
		progress, _, err = store.Snapshot(ctx, o.shard.partition.progressPrefix())
		return err
	})
	if err := group.Wait(); err != nil {
		return nil, err
	}
	stored, err := o.decodeProgress(progress)
	if err != nil {
		return nil, err
	}
	mirror := o.mirrorJobs(stored)
	if err := mirror.Load(ctx); err != nil {
		return nil, err
	}
	o.applyCancels(rowsByKey(cancels))
	o.lock.Lock()
	defer o.lock.Unlock()
	o.loaded = true
	if o.epoch > 1 {
		now := o.now()
		o.engine.Recover(now, remainingAuthority(now, o.previousAuthorityAt))
	}
	return mirror, nil
}

// remainingAuthority bounds how much longer an earlier owner may act that last proved its
// authority at a time. Without that time it may have done so just now. The result is
// negative when it had to rest before now.
func remainingAuthority(now, proof time.Time) time.Duration {
	if proof.IsZero() || proof.After(now) {
		return authorityTerm
	}
	return authorityTerm - now.Sub(proof)
}

func (o *owner) decodeProgress(rows []table.Row) (map[dispatch.JobID]dispatch.Progress, error) {
	stored := make(map[dispatch.JobID]dispatch.Progress, len(rows))
	for _, row := range rows {
		p, err := decode[dispatch.Progress](row)
		if err != nil {
			return nil, err
		}
		stored[jobIDOf(row.Key, o.shard.partition.progressPrefix())] = p
	}
	return stored, nil
}

// mirrorJobs follows the accepted jobs. Those of the first look were accepted under
// an earlier owner.
func (o *owner) mirrorJobs(stored map[dispatch.JobID]dispatch.Progress) *table.Mirror {
	recovered := false
	return o.node.mirror("Jobs", o.shard.partition.jobPrefix(), jobsWatchInterval, func(rows map[table.Key]table.Row) {
		o.applyJobs(rows, stored, !recovered)
		recovered = true
	})
}

// recoverEstimates takes over what the earlier owner learned about images.
func (o *owner) recoverEstimates(ctx context.Context) error {
	row, err := o.node.read(ctx, o.shard.partition.estimatesKey())
	if err != nil || row.Version == 0 {
		return err
	}
	list, err := decode[[]interference.Estimate](row)
	if err != nil {
		o.node.Log.Error().Err(err).Msg("left out unreadable estimates")
		return nil
	}
	o.withEngine(func(now time.Time, e *dispatch.Engine) { e.RestoreEstimates(now, list) })
	return nil
}

// recoverFleet enters the workers that the earlier owner used, so that those that the
// list lacks are asked as well.
func (o *owner) recoverFleet(ctx context.Context) error {
	rows, _, err := o.node.store.Snapshot(ctx, o.shard.partition.fleetPrefix())
	if err != nil {
		return err
	}
	o.lock.Lock()
	defer o.lock.Unlock()
	for _, row := range rows {
		list, err := decode[[]dispatch.WorkerInfo](row)
		if err != nil {
			return err
		}
		o.engine.RememberWorkers(o.now(), list)
	}
	// The rows of the earlier owner are written anew or removed.
	o.fleet = make([][]byte, len(rows))
	return nil
}

// applyJobs adds the jobs that the engine doesn't know yet.
func (o *owner) applyJobs(rows map[table.Key]table.Row, stored map[dispatch.JobID]dispatch.Progress, recovered bool) {
	o.withEngine(func(now time.Time, e *dispatch.Engine) {
		for key, row := range rows {
			id := jobIDOf(key, o.shard.partition.jobPrefix())
			if o.knows(id) || o.storing[id] {
				continue
			}
			content, err := decode[jobRow](row)
			if err != nil {
				o.node.Log.Error().Err(err).Msg("unreadable job row")
				o.node.Counters.Add("Jobs.RowsUnreadable", 1)
				continue
			}
			switch {
			case content.Moved != nil:
				o.addMoved(content.Job, id, *content.Moved, content.Ended)
			case content.Outcome != "" && now.Sub(content.Ended) > outcomeRetention:
				o.expiredJobs[id] = true
			case content.Outcome != "":
				e.AddFinished(now, id, content.Outcome)
			case content.Job != nil:
				o.addJob(now, *content.Job, stored[id], recovered)
			}
		}
	})
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

func (o *owner) mirrorWorkers() *table.Mirror {
	return o.node.mirror("Workers", o.node.Catalog.WorkersPrefix(), workersWatchInterval, o.applyWorkers)
}

func (o *owner) applyWorkers(rows map[table.Key]table.Row) {
	list, err := o.node.Catalog.Workers(rows)
	if err != nil {
		o.node.Counters.Add("Workers.RowsLeftOut", 1)
	}
	list = slices.DeleteFunc(list, func(w dispatch.WorkerInfo) bool { return !o.shard.hasWorker(w.ID) })
	var ids []membership.InstanceID
	o.withEngine(func(now time.Time, e *dispatch.Engine) {
		e.SetWorkers(now, list)
		for _, id := range e.Workers() {
			if !o.polledWorkers[id] {
				o.polledWorkers[id] = true
				ids = append(ids, id)
			}
		}
	})
	for _, id := range ids {
		o.group.Go(func() error { return o.pollWorker(id) })
	}
}
