package dispatcher

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/table"
)

const (
	// unloadedInterval is the time between two checks for stored jobs that can be loaded.
	unloadedInterval = 500 * time.Millisecond
	// maxLoadedJobs limits the jobs that one check loads, because each needs three reads of the store.
	maxLoadedJobs = 16
	// loadTimeout limits the time for which a worker's report waits for jobs to be loaded.
	loadTimeout = time.Second
	// unloadedMemory is what an owner needs for a job that isn't loaded.
	unloadedMemory resource.Bytes = 256
)

// unloadedJob is a stored job that stays in the store, because the jobs of the instance take all the memory
// that they may. It is loaded once there is memory again, or as soon as it was cancelled or a worker reports
// one of its runs.
type unloadedJob struct {
	queue    dispatch.QueueName
	accepted time.Time
	memory   resource.Bytes
	// recovered reports that the job was accepted under an earlier owner, and started that a task has started.
	recovered, started bool
	// wanted reports that the job is loaded in any case.
	wanted bool
}

// state returns the state that the client sees.
func (u *unloadedJob) state() dispatch.JobState {
	if u.started {
		return dispatch.Running
	}
	return dispatch.Queued
}

// updateJobMemory updates what the jobs of the shard take. The lock must be held.
func (o *owner) updateJobMemory() {
	used := o.engine.Memory() + unloadedMemory*resource.Bytes(len(o.unloaded))
	for _, s := range o.submissions {
		used += s.job.Memory()
	}
	for _, m := range o.moved {
		used += m.memory
	}
	o.jobMemory.Store(int64(used))
}

// usedJobMemory returns what the jobs of all shards of this instance take.
func (n *Node) usedJobMemory() resource.Bytes {
	used := resource.Bytes(0)
	for _, o := range n.ownedShards() {
		used += resource.Bytes(o.jobMemory.Load())
	}
	return used
}

// mayLoad reports whether this instance may load a stored job that takes the given memory.
func (n *Node) mayLoad(memory resource.Bytes) bool {
	return n.JobMemory.Loads(n.usedJobMemory(), memory)
}

// addOrDefer adds a stored job to the engine, or leaves it in the store if there is no memory for it. The lock
// must be held.
func (o *owner) addOrDefer(now time.Time, j dispatch.Job, progress dispatch.Progress, recovered bool) {
	memory := j.Memory()
	if o.node.mayLoad(memory) {
		// The next run of the engine counts the job anew.
		o.jobMemory.Add(int64(memory))
		o.addJob(now, j, progress, recovered)
		return
	}
	o.jobMemory.Add(int64(unloadedMemory))
	o.unloaded[j.ID] = &unloadedJob{
		queue: j.Queue, accepted: j.Accepted, memory: memory, recovered: recovered, started: len(progress.Steps) > 0,
		wanted: o.earlyCancels[j.ID],
	}
	o.node.Counters.Add("Jobs.NotLoaded", 1)
	if len(o.unloaded) == 1 {
		o.node.Log.Warn().Str("Event", "JobNotLoaded").Int("Shard", int(o.shard.id)).Int64("Epoch", int64(o.epoch)).
			Str("Job", string(j.ID)).Int64("Memory", int64(memory)).Int64("UsedMemory", int64(o.node.usedJobMemory())).
			Int64("MemoryLimit", int64(o.node.JobMemory)).Send()
	}
}

// trimJobRow returns what the mirror keeps of the row of a job: an outcome, by which the row is deleted later,
// but not the job of which the owner knows. The lock must be held.
func (o *owner) trimJobRow(r table.Row) table.Row {
	id := jobIDOf(r.Key, o.shard.partition.jobPrefix())
	if !o.engine.HasEnded(id) || o.unloaded[id] != nil || o.moved[id] != nil {
		r.Value = nil
	}
	return r
}

// pendingUnloaded returns the number of jobs of a queue that aren't loaded and of which no task has started.
// The lock must be held.
func (o *owner) pendingUnloaded(name dispatch.QueueName) int {
	pending := 0
	for _, u := range o.unloaded {
		if u.queue == name && !u.started {
			pending++
		}
	}
	return pending
}

// loadDeferred loads jobs that aren't loaded as memory becomes free.
func (o *owner) loadDeferred(ctx context.Context) error {
	return o.node.every(ctx, unloadedInterval, func() {
		for range maxLoadedJobs {
			id, found := o.nextToLoad()
			if !found || !o.loadStored(ctx, id) {
				return
			}
		}
	})
}

// nextToLoad returns the job to load next: one that is wanted, or else the oldest if there is memory for it.
func (o *owner) nextToLoad() (dispatch.JobID, bool) {
	o.lock.Lock()
	defer o.lock.Unlock()
	var next dispatch.JobID
	var best *unloadedJob
	for id, u := range o.unloaded {
		if u.wanted {
			return id, true
		}
		if best == nil || u.accepted.Before(best.accepted) || u.accepted.Equal(best.accepted) && id < next {
			next, best = id, u
		}
	}
	if best == nil {
		return "", false
	}
	o.updateJobMemory()
	return next, o.node.mayLoad(best.memory)
}

// loadReported loads the jobs of which a worker reports runs and that aren't loaded, whatever they take: the
// engine would stop these runs, and forget how they ended. It reports whether all are loaded. If that takes
// too long, the next poll goes on, so that the leases of the worker are renewed in between.
func (o *owner) loadReported(r dispatch.Report) bool {
	ctx, cancel := context.WithTimeout(o.ctx, loadTimeout)
	defer cancel()
	for _, id := range o.unloadedIn(r) {
		if !o.loadStored(ctx, id) {
			return false
		}
	}
	return true
}

// unloadedIn returns the jobs of which a report has runs and that aren't loaded, each once.
func (o *owner) unloadedIn(r dispatch.Report) []dispatch.JobID {
	o.lock.Lock()
	defer o.lock.Unlock()
	if len(o.unloaded) == 0 {
		return nil
	}
	ids := map[dispatch.JobID]bool{}
	add := func(run dispatch.TaskRun) {
		if o.unloaded[run.Task.Job] != nil {
			ids[run.Task.Job] = true
		}
	}
	for _, run := range r.Running {
		add(run.TaskRun)
	}
	for _, end := range r.Ended {
		add(end.TaskRun)
	}
	return slices.Sorted(maps.Keys(ids))
}

// loadStored reads a job that isn't loaded and adds it to the engine. It reports whether that succeeded.
func (o *owner) loadStored(ctx context.Context, id dispatch.JobID) bool {
	p := o.shard.partition
	var rows [3]table.Row
	for i, key := range []table.Key{p.jobKey(id), p.progressKey(id), p.cancelKey(id)} {
		row, err := o.node.read(ctx, key)
		if err != nil {
			o.node.Counters.Add("Jobs.LoadRetries", 1)
			return false
		}
		rows[i] = row
	}
	jobRow, progressRow, cancelRow := rows[0], rows[1], rows[2]
	var progress dispatch.Progress
	if progressRow.Version != 0 {
		var err error
		if progress, err = decodeProgress(progressRow); err != nil {
			o.node.Log.Error().Err(err).Str("Job", string(id)).Msg("can't decode the progress of a job")
			return false
		}
	}
	o.withEngine(func(now time.Time, _ *dispatch.Engine) {
		u := o.unloaded[id]
		if u == nil {
			return
		}
		delete(o.unloaded, id)
		o.node.Counters.Add("Jobs.LoadedLater", 1)
		if cancelRow.Version != 0 {
			o.earlyCancels[id] = true
		}
		o.applyJob(now, jobRow, progress, u.recovered, o.addJob)
		o.updateJobMemory()
	})
	return true
}
