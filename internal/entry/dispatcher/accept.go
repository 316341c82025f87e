package dispatcher

import (
	"context"
	"errors"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/caller/queue"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
	"github.com/jacinthtrail/jacinthtrail/internal/peer/entry"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/table"
)

const (
	// acceptTimeout bounds the wait for the owner to store a job. Its transaction may
	// have to wait for the one before it.
	acceptTimeout = 1500 * time.Millisecond
	// ownerWait is how long a submission waits for the shard to get an owner. Nobody
	// would start the job earlier, and many transactions at once would hold up the
	// claim while the store is slow.
	ownerWait = 1500 * time.Millisecond
	// ownerRetry is the time between two looks for an owner.
	ownerRetry = 150 * time.Millisecond
	// maxSubmissions bounds the jobs that wait to be stored by the owner.
	maxSubmissions = 512
	// submissionsPerBatch bounds the jobs in one transaction, whose size is limited.
	submissionsPerBatch = 40
)

// submission is a job that waits to be stored by the owner.
type submission struct {
	job dispatch.Job
	// done receives nil once the job is stored, or errNotTaken if it never will be.
	done chan error
}

// errNotTaken reports that the owner didn't take a job and won't store it.
var errNotTaken = errors.New("dispatcher: the owner took no job")

// submitWhenOwned passes a job to the owner, and waits for one if there is none.
func (n *Node) submitWhenOwned(ctx context.Context, j dispatch.Job) error {
	deadline := n.Clock.Now().Add(ownerWait)
	for {
		err := n.submitToOwner(ctx, j)
		_, lost := n.store.lostFor()
		if !errors.Is(err, errNotTaken) || lost || n.Clock.Now().After(deadline) {
			return err
		}
		n.Counters.Add("Submit.WaitedForOwner", 1)
		select {
		case <-ctx.Done():
			return err
		case <-n.Clock.After(ownerRetry):
		}
	}
}

// submitToOwner lets the owner store a job with its next transaction: one writer
// stores many jobs at once, which matters most while the store is slow. It fails
// with errNotTaken, or queue.ErrOutcomeUnknown.
func (n *Node) submitToOwner(ctx context.Context, j dispatch.Job) error {
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	if o := n.owned.Load(); o != nil {
		return o.accept(ctx, j)
	}
	address, known := n.ownerAddress()
	if !known || n.currentView().storeLost {
		return errNotTaken
	}
	_, err := entry.Call[submittedRequest, emptyAnswer](ctx, n.Peers, address, acceptMethod, submittedRequest{j})
	switch {
	case err == nil:
		return nil
	case errors.Is(err, entry.ErrNotSent), entry.CodeOf(err) == entry.CodeNotOwner,
		entry.CodeOf(err) == entry.CodeUnavailable, entry.CodeOf(err) == entry.CodeBusy:
		return errNotTaken
	default:
		return queue.ErrOutcomeUnknown
	}
}

func (n *Node) answerAccept(ctx context.Context, r submittedRequest) (emptyAnswer, error) {
	o, err := n.owning()
	if err != nil {
		return emptyAnswer{}, err
	}
	err = o.accept(ctx, r.Job)
	switch {
	case errors.Is(err, errNotTaken):
		return emptyAnswer{}, entry.Errorf(entry.CodeUnavailable, "the owner takes no jobs")
	case err != nil:
		return emptyAnswer{}, entry.Errorf(entry.CodeDeadline, "the outcome is unknown")
	}
	return emptyAnswer{}, nil
}

// accept stores a job with the next transaction, unless it is known.
func (o *owner) accept(ctx context.Context, j dispatch.Job) error {
	if _, lost := o.node.store.lostFor(); lost || o.release.Load() {
		return errNotTaken
	}
	o.lock.Lock()
	known := o.engine.Knows(j.ID)
	full := !o.loaded || len(o.submissions) >= maxSubmissions
	waiting := &submission{j, make(chan error, 1)}
	if !known && !full {
		o.submissions = append(o.submissions, waiting)
	}
	o.lock.Unlock()
	switch {
	case known:
		return nil
	case full:
		return errNotTaken
	}
	o.wake()
	select {
	case err := <-waiting.done:
		return err
	case <-ctx.Done():
	case <-o.ctx.Done():
	}
	return queue.ErrOutcomeUnknown
}

// takeSubmissions returns jobs to store in the next transaction. One that has become
// known since it was taken in is stored already, and may be over: writing it again would
// replace its outcome. The lock must be held.
func (o *owner) takeSubmissions() []*submission {
	var taken []*submission
	for len(o.submissions) > 0 && len(taken) < submissionsPerBatch {
		next := o.submissions[0]
		o.submissions = o.submissions[1:]
		if o.engine.Knows(next.job.ID) {
			next.done <- nil
			continue
		}
		taken = append(taken, next)
	}
	return taken
}

// writesOfSubmissions returns the rows of new jobs.
func writesOfSubmissions(list []*submission) []table.Write {
	writes := make([]table.Write, 0, len(list))
	for _, s := range list {
		writes = append(writes, table.Write{Key: jobKey(s.job.ID), Value: encode(jobRow{Job: &s.job})})
	}
	return writes
}

// enterSubmissions adds jobs that are stored, and answers their callers. The lock
// must be held.
func (o *owner) enterSubmissions(now time.Time, list []*submission) {
	for _, s := range list {
		o.engine.AddJob(now, s.job, dispatch.Progress{}, false)
		s.done <- nil
	}
}

// dropSubmissions answers the callers of jobs that were certainly not stored.
func dropSubmissions(list []*submission) {
	for _, s := range list {
		s.done <- errNotTaken
	}
}
