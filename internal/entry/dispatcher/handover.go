package dispatcher

import (
	"context"
	"errors"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/caller/queue"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/table"
)

const (
	// handOverPause is the time before a hand-over without success is tried again.
	handOverPause = 200 * time.Millisecond
	// sweepInterval is the time between two looks for moved jobs that are forgotten.
	sweepInterval = 20 * time.Second
	// sweepBatch bounds the jobs that are asked for in one look.
	sweepBatch = 50
)

// movedJob is a job that the shard of its id has given to another shard. The choice is
// stored with the acceptance and never changes, so that a repeated submission, a
// cancellation or a question finds the job by its id.
type movedJob struct {
	to    shardID
	queue dispatch.QueueName
	// stored reports that the other shard has the job, since at.
	stored bool
	at     time.Time
	// cancelling reports that a cancellation is being passed on.
	cancelling bool
}

// move notes that a job goes to another shard, and hands it over unless that is done.
// The lock must be held.
func (o *owner) move(j *dispatch.Job, id dispatch.JobID, to shardID, at time.Time) {
	if o.moved[id] != nil {
		return
	}
	m := &movedJob{to: to, stored: j == nil, at: at}
	o.moved[id] = m
	if j == nil {
		return
	}
	m.queue = j.Queue
	o.node.Counters.Add("Job.Moved", 1)
	o.RecordDecision(o.now(), dispatch.Decision{Event: "JobMoved", Job: id, Reason: to.String()})
	o.group.Go(func() error { o.handOver(*j, to); return nil })
	if o.early[id] {
		delete(o.early, id)
		o.passCancel(id)
	}
}

// handOver lets the other shard store a job, however often that must be tried: it may
// have stored it when no answer arrives.
func (o *owner) handOver(j dispatch.Job, to shardID) {
	target, err := o.node.shardByID(to)
	if err != nil {
		o.node.Log.Error().Err(err).Str("Job", string(j.ID)).Msg("a job was given to an unknown shard")
		return
	}
	for {
		err := target.submitToOwner(o.ctx, j)
		if err == nil {
			break
		}
		o.node.Counters.Add("Job.MoveRetries", 1)
		if !o.sleep(handOverPause) {
			return
		}
	}
	o.lock.Lock()
	defer o.lock.Unlock()
	m := o.moved[j.ID]
	m.stored, m.at = true, o.now()
	o.chores = append(o.chores, table.Write{
		Key: o.shard.part.jobKey(j.ID), Value: encode(jobRow{Moved: &to, Ended: m.at.UTC()}),
	})
	o.wake()
}

// pendingMoved returns the number of jobs of a queue that the other shards don't have
// yet. The lock must be held.
func (o *owner) pendingMoved(name dispatch.QueueName) int {
	pending := 0
	for _, m := range o.moved {
		if !m.stored && !m.cancelling && m.queue == name {
			pending++
		}
	}
	return pending
}

// passCancel passes the cancellation of a moved job on. The lock must be held.
func (o *owner) passCancel(id dispatch.JobID) {
	m := o.moved[id]
	if m == nil || m.cancelling {
		return
	}
	m.cancelling = true
	o.group.Go(func() error { o.cancelMoved(id, m.to); return nil })
}

func (o *owner) cancelMoved(id dispatch.JobID, to shardID) {
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
		// An unknown job is on its way to the other shard.
		if !o.sleep(handOverPause) {
			return
		}
	}
	o.lock.Lock()
	defer o.lock.Unlock()
	o.chores = append(o.chores, table.Write{Key: o.shard.part.cancelKey(id), Delete: true})
	o.wake()
}

// takeChores returns writes that can wait, up to a number. The lock must be held.
func (o *owner) takeChores(limit int) []table.Write {
	count := min(max(limit, 0), len(o.chores))
	taken := o.chores[:count:count]
	o.chores = o.chores[count:]
	return taken
}

// sweepMoved forgets moved jobs that the other shard has forgotten.
func (o *owner) sweepMoved(ctx context.Context) error {
	return o.node.every(ctx, sweepInterval, func() {
		for id, to := range o.oldMoved() {
			o.forgetMoved(ctx, id, to)
		}
	})
}

// oldMoved returns jobs that were moved so long ago that they may be forgotten.
func (o *owner) oldMoved() map[dispatch.JobID]shardID {
	o.lock.Lock()
	defer o.lock.Unlock()
	old := map[dispatch.JobID]shardID{}
	for id, m := range o.moved {
		if len(old) == sweepBatch {
			break
		}
		if m.stored && o.now().Sub(m.at) > outcomeMemory {
			old[id] = m.to
		}
	}
	return old
}

func (o *owner) forgetMoved(ctx context.Context, id dispatch.JobID, to shardID) {
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
	o.chores = append(o.chores, table.Write{Key: o.shard.part.jobKey(id), Delete: true})
	o.wake()
}
