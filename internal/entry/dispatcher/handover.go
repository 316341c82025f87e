package dispatcher

import (
	"context"
	"errors"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
	"github.com/jacinthtrail/jacinthtrail/internal/caller/queue"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/table"
)

const (
	// handOverRetryDelay is the delay before a failed handover is retried.
	handOverRetryDelay = 200 * time.Millisecond
	// movedCheckInterval is the time between two checks for moved jobs whose records can
	// be removed.
	movedCheckInterval = 20 * time.Second
	// movedCheckBatch limits the moved jobs that are checked at a time.
	movedCheckBatch = 50
)

// movedJob is a job that its home shard has moved to another shard. The target is
// stored with the job and never changes, so that a repeated submission, a cancellation
// or a state request finds the job by its ID.
type movedJob struct {
	target shardID
	queue  dispatch.QueueName
	// memory is what the job takes until the target has stored it.
	memory resource.Bytes
	// stored reports that the target shard has stored the job, at storedAt.
	stored   bool
	storedAt time.Time
	// cancelling reports that a cancellation is being forwarded.
	cancelling bool
}

// addMoved records that a job moves to another shard, and starts the handover. The job
// is nil if the handover is complete. The lock must be held.
func (o *owner) addMoved(j *dispatch.Job, id dispatch.JobID, to shardID, storedAt time.Time) {
	if o.moved[id] != nil {
		return
	}
	m := &movedJob{target: to, stored: j == nil, storedAt: storedAt}
	o.moved[id] = m
	if j == nil {
		return
	}
	m.queue, m.memory = j.Queue, j.Memory()
	o.node.Counters.Add("Job.Moved", 1)
	o.RecordDecision(o.now(), dispatch.Decision{Event: "JobMoved", Job: id, Reason: to.String()})
	o.group.Go(func() error { o.handOver(*j, to); return nil })
	if o.earlyCancels[id] {
		delete(o.earlyCancels, id)
		o.forwardCancel(id)
	}
}

// handOver has the target shard store a job. It retries until the target confirms,
// since the target may have stored the job even if no answer arrives.
func (o *owner) handOver(j dispatch.Job, to shardID) {
	target, err := o.node.shardByID(to)
	if err != nil {
		o.node.Log.Error().Err(err).Str("Job", string(j.ID)).Msg("a job was moved to an unknown shard")
		return
	}
	for {
		err := target.submitToOwner(o.ctx, j)
		if err == nil {
			break
		}
		o.node.Counters.Add("Job.MoveRetries", 1)
		if !o.sleep(handOverRetryDelay) {
			return
		}
	}
	o.lock.Lock()
	defer o.lock.Unlock()
	m := o.moved[j.ID]
	m.stored, m.storedAt, m.memory = true, o.now(), 0
	o.deferredWrites = append(o.deferredWrites, table.Write{
		Key: o.shard.partition.jobKey(j.ID), Value: encode(jobRow{Moved: &to, Ended: m.storedAt.UTC()}),
	})
	o.requestWrite()
}

// pendingMoved returns the number of jobs of a queue that their target shards haven't
// stored yet. The lock must be held.
func (o *owner) pendingMoved(name dispatch.QueueName) int {
	pending := 0
	for _, m := range o.moved {
		if !m.stored && !m.cancelling && m.queue == name {
			pending++
		}
	}
	return pending
}

// forwardCancel forwards the cancellation of a moved job to its target shard. The lock
// must be held.
func (o *owner) forwardCancel(id dispatch.JobID) {
	m := o.moved[id]
	if m == nil || m.cancelling {
		return
	}
	m.cancelling = true
	o.group.Go(func() error { o.cancelInTarget(id, m.target); return nil })
}

func (o *owner) cancelInTarget(id dispatch.JobID, to shardID) {
	target, err := o.node.shardByID(to)
	if err != nil {
		return
	}
	for {
		ctx, cancel := context.WithTimeout(o.ctx, relayTimeout)
		err := target.cancel(ctx, id)
		cancel()
		if err == nil {
			break
		}
		// If the target doesn't know the job, the handover isn't complete yet.
		if !o.sleep(handOverRetryDelay) {
			return
		}
	}
	o.lock.Lock()
	defer o.lock.Unlock()
	o.deferredWrites = append(o.deferredWrites, table.Write{Key: o.shard.partition.cancelKey(id), Delete: true})
	o.requestWrite()
}

// takeDeferredWrites removes and returns up to limit deferred writes. The lock must be
// held.
func (o *owner) takeDeferredWrites(limit int) []table.Write {
	count := min(max(limit, 0), len(o.deferredWrites))
	taken := o.deferredWrites[:count:count]
	o.deferredWrites = o.deferredWrites[count:]
	return taken
}

// expireMovedJobs removes moved jobs that the target shard no longer knows.
func (o *owner) expireMovedJobs(ctx context.Context) error {
	return o.node.every(ctx, movedCheckInterval, func() {
		o.expireTombstones()
		for id, to := range o.expiredMoves() {
			o.removeIfUnknown(ctx, id, to)
		}
	})
}

// expiredMoves returns jobs that were moved so long ago that they may be removed.
func (o *owner) expiredMoves() map[dispatch.JobID]shardID {
	o.lock.Lock()
	defer o.lock.Unlock()
	expired := map[dispatch.JobID]shardID{}
	for id, m := range o.moved {
		if len(expired) == movedCheckBatch {
			break
		}
		if m.stored && o.now().Sub(m.storedAt) > outcomeRetention {
			expired[id] = m.target
		}
	}
	return expired
}

func (o *owner) removeIfUnknown(ctx context.Context, id dispatch.JobID, to shardID) {
	target, err := o.node.shardByID(to)
	if err != nil {
		return
	}
	if _, err := target.state(ctx, id); !errors.Is(err, queue.ErrUnknownJob) {
		return
	}
	o.lock.Lock()
	defer o.lock.Unlock()
	delete(o.moved, id)
	o.deferredWrites = append(o.deferredWrites, table.Write{Key: o.shard.partition.jobKey(id), Delete: true})
	o.requestWrite()
}
