package dispatcher

import (
	"context"
	"errors"

	"github.com/jacinthtrail/jacinthtrail/internal/caller/queue"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/table"
)

// RefusedNotStorable is the reason for the refusal of a job that the store doesn't take.
const RefusedNotStorable = "NotStorable"

// notStorable returns the refusal of a job that the store doesn't take, however often it is submitted.
func notStorable() error {
	return &queue.Refusal{Reason: RefusedNotStorable, Permanent: true}
}

// partLimit limits the parts of an update while the store rejects transactions as invalid: one part
// that is invalid, or all of them together, would keep the others from being stored. The zero value
// limits nothing.
type partLimit struct {
	// limit is the maximum number of parts, 0 for no limit.
	limit int
}

// max returns the maximum number of parts of the next update.
func (l *partLimit) max() int {
	if l.limit == 0 {
		return maxBatchEntries
	}
	return l.limit
}

// lower halves the limit after the store has rejected an update with that many parts.
func (l *partLimit) lower(parts int) {
	l.limit = max(parts/2, 1)
}

// raise doubles the limit after an update was stored.
func (l *partLimit) raise() {
	l.limit *= 2
	if l.limit >= maxBatchEntries {
		l.limit = 0
	}
}

// handleRejected handles an update that the store rejects as invalid. It certainly wasn't stored. Its
// parts are tried again in smaller updates, until the one that is invalid is alone and is dropped.
func (o *owner) handleRejected(ctx context.Context, u update, cause error) error {
	o.node.Counters.Add("Store.Rejected", 1)
	o.node.Log.Error().Str("Event", "UpdateRejected").Int("Shard", int(o.shard.id)).Int64("Epoch", int64(o.epoch)).
		Int("Parts", u.parts).Int("Writes", len(u.writes)).Err(cause).Send()
	if o.dropRecord(u) {
		return nil
	}
	switch u.parts {
	case 0:
		o.requeue(u)
		o.sleep(storeRetryDelay)
		return nil
	case 1:
		return o.dropIfInvalid(ctx, u)
	}
	o.lock.Lock()
	defer o.lock.Unlock()
	o.requeueWithSubmissions(u)
	o.partLimit.lower(u.parts)
	o.requestWrite()
	return nil
}

// dropRecord omits the recovery record from now on if the rejected update may have had it, and reports
// whether it did. The rest of the update is kept.
func (o *owner) dropRecord(u update) bool {
	o.lock.Lock()
	defer o.lock.Unlock()
	if !u.next.Released || o.recordRejected {
		return false
	}
	o.recordRejected = true
	o.requeueWithSubmissions(u)
	o.requestWrite()
	return true
}

// requeueWithSubmissions keeps all changes of an update that the store has rejected for a later one.
// The lock must be held.
func (o *owner) requeueWithSubmissions(u update) {
	o.requeueChanges(u)
	for _, s := range u.submissions {
		delete(o.storing, s.job.ID)
	}
	o.submissions = append(u.submissions, o.submissions...)
}

// dropIfInvalid drops the only part of a rejected update if the store accepts the owner's row without
// it. Otherwise the store rejects everything for a while, and the part is kept.
func (o *owner) dropIfInvalid(ctx context.Context, rejected update) error {
	heartbeat := o.heartbeatOnly(rejected)
	written, sent, err := o.commit(ctx, heartbeat.transaction(o.shard.partition.ownerKey()), heartbeat.next)
	if errors.Is(err, table.ErrInvalid) || errors.Is(err, table.ErrUnavailable) {
		o.requeue(rejected)
		o.sleep(storeRetryDelay)
		return nil
	}
	if err != nil {
		return err
	}
	o.applyStored(heartbeat, written, sent)
	o.dropRejected(rejected)
	o.requestWrite()
	o.requestEngineRun()
	return nil
}

// heartbeatOnly returns a rejected update without its parts.
func (o *owner) heartbeatOnly(rejected update) update {
	o.lock.Lock()
	defer o.lock.Unlock()
	u := update{next: rejected.next, version: o.version, fleet: o.fleet, workersRevision: o.workersRevision}
	u.next.Released = false
	return u
}

// dropRejected gives up the only part of an update, which the store doesn't take. A new job is refused,
// and a job whose progress can't be stored fails, since a later owner would run its tasks again. The
// others cost no more than knowledge that the owner learns anew.
func (o *owner) dropRejected(u update) {
	o.lock.Lock()
	defer o.lock.Unlock()
	o.node.Counters.Add("Store.RejectedParts", 1)
	line := o.node.Log.Error().Str("Event", "RejectedPartDropped").Int("Shard", int(o.shard.id)).Int64("Epoch", int64(o.epoch))
	for _, s := range u.submissions {
		line = line.Str("Job", string(s.job.ID))
		delete(o.storing, s.job.ID)
		s.done <- notStorable()
	}
	for _, j := range u.batch.Updates {
		line = line.Str("Job", string(j.ID))
	}
	o.engine.DropRejected(o.now(), u.batch)
	o.workersRevision = u.workersRevision
	for _, w := range u.writes {
		line = line.Str("Key", string(w.Key)).Int("Bytes", len(w.Value))
	}
	line.Send()
}
