package dispatcher

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/table"
)

const (
	// heartbeatInterval is the longest time between two transactions of the owner.
	heartbeatInterval = 400 * time.Millisecond
	// writeBatchDelay is the delay before a transaction that collects further updates.
	writeBatchDelay = 15 * time.Millisecond
	// maxBatchJobs limits the updated jobs in a transaction. Each takes up to three of the
	// 100 entries that the store allows, in addition to new jobs and the owner's own rows.
	maxBatchJobs = 18
	// maxBatchEntries limits the writes and conditions in a transaction without the owner's own rows.
	maxBatchEntries = 95
	// estimatesInterval is the time between two writes of the interference estimates.
	estimatesInterval = 2 * time.Second
	// storeRetryDelay is the delay before a failed transaction is sent again.
	storeRetryDelay = 150 * time.Millisecond
)

// requestWrite triggers a transaction.
func (o *owner) requestWrite() {
	select {
	case o.writeDue <- struct{}{}:
	default:
	}
}

// runWriter stores the changes of the engine, and writes heartbeats when there are
// none.
func (o *owner) runWriter(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-o.writeDue:
			if !o.sleep(writeBatchDelay) {
				return ctx.Err()
			}
		case <-o.node.Clock.After(heartbeatInterval):
		}
		if err := o.writeBatch(ctx); err != nil {
			return err
		}
		if o.released.Load() {
			o.cancel()
			return errReleased
		}
	}
}

// update is the content of one transaction of the owner.
type update struct {
	next    ownerRow
	version table.Version
	writes  []table.Write
	// conditions are those of new jobs.
	conditions     []table.Condition
	batch          dispatch.Batch
	submissions    []*submission
	expired        []dispatch.JobID
	deferredWrites []table.Write
	// fleet has the rows of the workers in use at a revision of the engine.
	fleet           [][]byte
	workersRevision int
	// parts is the number of changes that could be stored without each other, limit at most. Each job,
	// write of a list and deferred write is one.
	parts int
	limit int
}

// takeUpdate collects what is to be stored. Until the stored jobs are loaded, this is
// only the owner's row, as a heartbeat: what the engine knows by then must not
// overwrite what a previous owner has stored.
func (o *owner) takeUpdate() update {
	o.lock.Lock()
	defer o.lock.Unlock()
	u := update{next: o.row, version: o.version, fleet: o.fleet, workersRevision: o.workersRevision}
	u.next.Sequence++
	u.next.Released = o.releaseRequested.Load()
	if !o.loaded {
		return u
	}
	now := o.now()
	u.limit = o.partLimit.max()
	if u.next.Released {
		o.addRelease(&u, now)
	}
	o.addJobs(&u, now)
	o.addEstimates(&u, now)
	o.addExpired(&u)
	o.addDeferred(&u)
	o.addFleet(&u)
	return u
}

// entries returns the number of entries that the transaction has besides the owner's row.
func (u *update) entries() int {
	return len(u.writes) + len(u.conditions)
}

// room returns how many more parts the update may have.
func (u *update) room() int {
	return u.limit - u.parts
}

// addJobs adds the changes of jobs and the new jobs. The lock must be held.
func (o *owner) addJobs(u *update, now time.Time) {
	u.batch = o.engine.TakeBatch(min(maxBatchJobs, u.room()))
	u.parts += len(u.batch.Updates)
	u.writes = append(u.writes, o.batchWrites(u.batch, now)...)
	// Each new job has a write and a condition.
	u.submissions = o.takeSubmissions(min(maxBatchSubmissions, u.room(), (maxBatchEntries-u.entries())/2))
	u.parts += len(u.submissions)
	u.writes = append(u.writes, o.submissionWrites(u.submissions)...)
	u.conditions = o.submissionConditions(u.submissions)
}

// addEstimates adds the interference estimates if it is time for them. The lock must be held.
func (o *owner) addEstimates(u *update, now time.Time) {
	if now.Sub(o.estimatesWrittenAt) < estimatesInterval || u.room() <= 0 {
		return
	}
	o.estimatesWrittenAt = now
	value := encode(fittingPrefix(o.engine.Estimates(now)))
	u.writes = append(u.writes, table.Write{Key: o.shard.partition.estimatesKey(), Value: value})
	u.parts++
}

// addExpired adds the removal of finished jobs. The lock must be held.
func (o *owner) addExpired(u *update) {
	for id := range o.expiredJobs {
		if u.entries() >= maxBatchEntries || u.room() <= 0 {
			return
		}
		delete(o.expiredJobs, id)
		u.expired = append(u.expired, id)
		u.writes = append(u.writes, table.Write{Key: o.shard.partition.jobKey(id), Delete: true})
		u.parts++
	}
}

// addDeferred adds deferred writes. The lock must be held.
func (o *owner) addDeferred(u *update) {
	u.deferredWrites = o.takeDeferredWrites(min(maxBatchEntries-u.entries(), u.room()))
	u.writes = append(u.writes, u.deferredWrites...)
	u.parts += len(u.deferredWrites)
}

// addFleet adds the list of workers in use if it has changed. The lock must be held.
func (o *owner) addFleet(u *update) {
	revision := o.engine.WorkersRevision()
	if revision == o.workersRevision || u.room() <= 0 {
		return
	}
	u.fleet, u.workersRevision = fleetPages(o.engine.UsedWorkers()), revision
	u.writes = append(u.writes, o.shard.partition.fleetWrites(o.fleet, u.fleet)...)
	u.parts++
}

// transaction returns the transaction that stores the update. The store rejects it if
// the owner was replaced.
func (u *update) transaction(ownerKey table.Key) table.Transaction {
	return table.Transaction{
		Conditions: append([]table.Condition{{Key: ownerKey, Version: u.version}}, u.conditions...),
		Writes:     append(u.writes, table.Write{Key: ownerKey, Value: encode(u.next)}),
	}
}

func (o *owner) writeBatch(ctx context.Context) error {
	u := o.takeUpdate()
	written, sent, err := o.commit(ctx, u.transaction(o.shard.partition.ownerKey()), u.next)
	switch {
	case errors.Is(err, table.ErrInvalid):
		return o.handleRejected(ctx, u, err)
	case errors.Is(err, errRowExists):
		o.handleExisting(ctx, u)
		return nil
	case errors.Is(err, table.ErrUnavailable):
		o.requeue(u)
		o.sleep(storeRetryDelay)
		return nil
	case err != nil:
		return err
	}
	o.released.Store(u.next.Released)
	if o.applyStored(u, written, sent) {
		o.requestWrite()
	}
	o.requestEngineRun()
	return nil
}

// requeue keeps an update that was certainly not stored for a later transaction.
func (o *owner) requeue(u update) {
	o.lock.Lock()
	o.requeueChanges(u)
	o.lock.Unlock()
	o.rejectSubmissions(u.submissions)
}

// requeueChanges keeps the changes of an update, other than new jobs, for a later transaction. If it was
// to release the shard, the engine goes on until then. The lock must be held.
func (o *owner) requeueChanges(u update) {
	o.engine.Resume()
	o.engine.RequeueBatch(u.batch)
	o.deferredWrites = append(o.deferredWrites, u.deferredWrites...)
	for _, id := range u.expired {
		o.expiredJobs[id] = true
	}
}

// applyStored applies a stored update, and reports whether there is more to store.
func (o *owner) applyStored(u update, written table.Version, sent time.Time) bool {
	others := o.node.livePeerNames()
	o.lock.Lock()
	defer o.lock.Unlock()
	now := o.now()
	o.row, o.version, o.fleet, o.workersRevision = u.next, written, u.fleet, u.workersRevision
	o.partLimit.raise()
	o.authority.recordTransaction(sent, others)
	o.engine.MarkStored(now, u.batch)
	o.completeSubmissions(now, u.submissions)
	return o.engine.HasUnstored() || len(o.submissions) > 0 || len(o.deferredWrites) > 0
}

// batchWrites returns the writes for the job updates of a batch.
func (o *owner) batchWrites(b dispatch.Batch, now time.Time) []table.Write {
	var writes []table.Write
	for _, u := range b.Updates {
		if u.Outcome != "" && u.OtherShard {
			// The job's own shard has its outcome.
			writes = append(writes,
				table.Write{Key: o.shard.partition.transferKey(u.ID), Delete: true},
				table.Write{Key: o.shard.partition.progressKey(u.ID), Delete: true})
			continue
		}
		if u.Outcome == "" {
			writes = append(writes, table.Write{Key: o.shard.partition.progressKey(u.ID), Value: encodeProgress(u.Progress)})
			continue
		}
		writes = append(writes,
			table.Write{Key: o.shard.partition.jobKey(u.ID), Value: encode(jobRow{Outcome: u.Outcome, Ended: now.UTC()})},
			table.Write{Key: o.shard.partition.progressKey(u.ID), Delete: true})
		if u.Outcome == dispatch.Cancelled {
			writes = append(writes, table.Write{Key: o.shard.partition.cancelKey(u.ID), Delete: true})
		}
	}
	return writes
}

// commit applies a transaction, and repeats it until its outcome is known. It also
// returns when the attempt that confirmed the ownership was sent. If several attempts
// may have taken effect, that is the time of the first one: the row hasn't changed
// since, so a successor counts the authority from then on. It fails with
// table.ErrUnavailable if certainly nothing was written, with errRowExists if nothing was written because a
// new job has a row, and with table.ErrInvalid if the store would reject each further attempt as well.
func (o *owner) commit(ctx context.Context, tx table.Transaction, next ownerRow) (table.Version, time.Time, error) {
	notWritten, firstSent := true, o.now()
	for {
		sent := o.now()
		version, err := o.node.commit(ctx, tx)
		if err == nil {
			return version, sent, nil
		}
		if ctx.Err() != nil {
			return 0, sent, ctx.Err()
		}
		if errors.Is(err, table.ErrConflict) {
			version, err = o.resolveConflict(ctx, next, tx.Conditions[0].Version)
			if err == nil || errors.Is(err, errSuperseded) || errors.Is(err, errRowExists) {
				return version, firstSent, err
			}
		}
		if errors.Is(err, table.ErrInvalid) {
			return 0, sent, err
		}
		o.node.Counters.Add("Store.CommitRetries", 1)
		notWritten = notWritten && errors.Is(err, table.ErrUnavailable)
		if notWritten {
			return 0, sent, err
		}
		if _, lost := o.node.store.lostFor(); lost {
			o.withdraw(func(*submission) bool { return true })
		}
		if !o.sleep(storeRetryDelay) {
			return 0, sent, ctx.Err()
		}
	}
}

// resolveConflict finds out whether an earlier attempt of the transaction took effect,
// or another owner has taken over. It fails with errRowExists if the owner's row still has the version from
// before.
func (o *owner) resolveConflict(ctx context.Context, next ownerRow, before table.Version) (table.Version, error) {
	row, err := o.node.read(ctx, o.shard.partition.ownerKey())
	if err != nil {
		return 0, err
	}
	if row.Version == before {
		return 0, errRowExists
	}
	stored, err := decode[ownerRow](row)
	if err != nil {
		return 0, err
	}
	if stored == next {
		return row.Version, nil
	}
	o.supersede(fmt.Sprintf("the owner row names %s at epoch %d", stored.Node, stored.Epoch))
	return 0, errSuperseded
}
