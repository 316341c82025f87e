package dispatcher

import (
	"context"
	"errors"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"github.com/jacinthtrail/jacinthtrail/internal/caller/queue"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/table"
)

// A cancellation may overtake the submission of its job: the submission may be on its way, or in a transaction
// without an answer that the store performs seconds later. A job that is cancelled before it is stored gets a
// tombstone, a row in place of its own. Each transaction that stores a new job requires that the job has no
// row, so it fails from then on.

const (
	// RefusedCancelled is the reason for the refusal of a job that was cancelled before it was stored.
	RefusedCancelled = "CancelledBefore"
	// RefusedTooManyUnknown is the reason for the refusal of a cancellation of an unknown job, when there are
	// too many of them.
	RefusedTooManyUnknown = "TooManyUnknownCancels"
)

const (
	// tombstoneRetention is how long a tombstone is kept, which limits how late a submission of its job may
	// be stored.
	tombstoneRetention = outcomeRetention
	// tombstonesPerSecond limits the tombstones that all instances together store, which take writes that
	// the owners need. tombstoneBurst is what one instance may store at once.
	tombstonesPerSecond = 40
	tombstoneBurst      = 50
	// tombstoneReads limits the rows that an owner reads at the same time after a conflict.
	tombstoneReads = 8
)

// tombstoneLimit limits the tombstones that an instance stores. The zero value is ready to use.
type tombstoneLimit struct {
	limiter *rate.Limiter
}

// allow reports whether one of the given number of instances may store another tombstone.
func (l *tombstoneLimit) allow(now time.Time, instances int) bool {
	share := rate.Limit(float64(tombstonesPerSecond) / float64(max(instances, 1)))
	if l.limiter == nil {
		l.limiter = rate.NewLimiter(share, tombstoneBurst)
	}
	if l.limiter.Limit() != share {
		l.limiter.SetLimitAt(now, share)
	}
	return l.limiter.AllowN(now, 1)
}

// mayStoreTombstone reports whether this instance may store another tombstone.
func (n *Node) mayStoreTombstone() bool {
	instances := len(n.livePeers()) + 1
	n.lock.Lock()
	defer n.lock.Unlock()
	return n.tombstones.allow(n.Clock.Now(), instances)
}

// storeTombstone makes sure that a job without a row is never stored. It fails with queue.ErrUnknownJob once
// that is certain, with a *queue.Refusal, or as the commit does.
func (s *shard) storeTombstone(ctx context.Context, id dispatch.JobID) error {
	n := s.node
	if !n.mayStoreTombstone() {
		return &queue.Refusal{Reason: RefusedTooManyUnknown, RetryAfter: shortRetryAfter}
	}
	tombstone := jobRow{Tombstone: true, Outcome: dispatch.Cancelled, Ended: n.Clock.Now().UTC()}
	_, err := n.commit(ctx, table.Transaction{
		Conditions: []table.Condition{{Key: s.partition.jobKey(id)}},
		Writes:     []table.Write{{Key: s.partition.jobKey(id), Value: encode(tombstone)}},
	})
	switch {
	case errors.Is(err, table.ErrUnavailable):
		return storeRefusal(0)
	case err != nil:
		return err
	}
	n.Counters.Add("Cancel.Tombstones", 1)
	n.Log.Info().Str("Event", "CancelledBeforeStored").Str("Job", string(id)).Send()
	return queue.ErrUnknownJob
}

// cancelledRefusal returns the refusal of a job that was cancelled before it was stored.
func cancelledRefusal(now, cancelled time.Time) *queue.Refusal {
	remaining := tombstoneRetention - now.Sub(cancelled)
	return &queue.Refusal{Reason: RefusedCancelled, RetryAfter: min(max(remaining, shortRetryAfter), tombstoneRetention)}
}

// isCancelledRefusal reports whether a job was refused because it was cancelled before it was stored.
func isCancelledRefusal(err error) bool {
	var refusal *queue.Refusal
	return errors.As(err, &refusal) && refusal.Reason == RefusedCancelled
}

// existingRow returns the result of the submission of a job that has the row: errAlreadyStored, or the refusal
// for a tombstone.
func (n *Node) existingRow(row table.Row) error {
	content, err := decode[jobRow](row)
	if err != nil {
		return err
	}
	if content.Tombstone {
		return cancelledRefusal(n.Clock.Now(), content.Ended)
	}
	n.Counters.Add("Submit.Repeated", 1)
	return errAlreadyStored
}

// errRowExists reports that a new job of a transaction has a row, so that nothing was written.
var errRowExists = errors.New("dispatcher: a new job has a row")

// handleExisting decides the submissions of an update that wasn't stored because one of its new jobs has a row:
// another instance has stored the job, or its cancellation. The rest of the update is kept.
func (o *owner) handleExisting(ctx context.Context, u update) {
	o.node.Counters.Add("Store.RowExists", 1)
	rows := make([]table.Row, len(u.submissions))
	var group errgroup.Group
	group.SetLimit(tombstoneReads)
	for i, s := range u.submissions {
		group.Go(func() (err error) {
			rows[i], err = o.node.read(ctx, o.shard.partition.jobKey(s.job.ID))
			return err
		})
	}
	failed := group.Wait() != nil
	o.lock.Lock()
	var undecided []*submission
	for i, s := range u.submissions {
		if failed || !s.isNew() || rows[i].Version == 0 || !o.decideExisting(s, rows[i]) {
			undecided = append(undecided, s)
		}
	}
	u.submissions = undecided
	o.requeueWithSubmissions(u)
	o.lock.Unlock()
	if failed {
		o.sleep(storeRetryDelay)
	}
	o.requestWrite()
	o.requestEngineRun()
}

// decideExisting ends a submission whose job has a row. It reports false if the row is about to be deleted. The
// lock must be held.
func (o *owner) decideExisting(s *submission, row table.Row) bool {
	delete(o.storing, s.job.ID)
	now := o.now()
	o.applyJob(now, row, dispatch.Progress{}, false, o.addOrDefer)
	if o.expiredJobs[s.job.ID] {
		return false
	}
	if cancelled, found := o.tombstones[s.job.ID]; found {
		s.done <- cancelledRefusal(now, cancelled)
		return true
	}
	s.done <- nil
	return true
}

// refuseCancelled returns the refusal of a job that was cancelled before it was stored, or nil.
func (o *owner) refuseCancelled(id dispatch.JobID) error {
	o.lock.Lock()
	defer o.lock.Unlock()
	if cancelled, found := o.tombstones[id]; found {
		return cancelledRefusal(o.now(), cancelled)
	}
	return nil
}

// expireTombstones has the tombstones deleted that are kept no longer.
func (o *owner) expireTombstones() {
	o.lock.Lock()
	defer o.lock.Unlock()
	now := o.now()
	for id, cancelled := range o.tombstones {
		if now.Sub(cancelled) > tombstoneRetention {
			delete(o.tombstones, id)
			o.expiredJobs[id] = true
		}
	}
	if len(o.expiredJobs) > 0 {
		o.requestWrite()
	}
}
