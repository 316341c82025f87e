package dispatcher

import (
	"context"
	"errors"
	"slices"
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
	// ownerWaitTimeout is how long a submission waits for the shard to get an owner. Nobody
	// would start the job earlier, and many transactions at once would hold up the
	// claim while the store is slow.
	ownerWaitTimeout = 1500 * time.Millisecond
	// ownerRetryDelay is the time between two looks for an owner.
	ownerRetryDelay = 150 * time.Millisecond
	// maxSubmissions bounds the jobs that wait to be stored by the owner.
	maxSubmissions = 512
	// maxBatchSubmissions bounds the jobs in one transaction, whose size is limited.
	maxBatchSubmissions = 36
)

// submission is a job that waits to be stored by the owner.
type submission struct {
	job dispatch.Job
	// target is the shard to which the job is given, nil if it stays.
	target *shardID
	// done receives nil once the job is stored, or errNotTaken if it never will be.
	done chan error
}

// errNotAccepted reports that the owner didn't take a job and won't store it.
var errNotAccepted = errors.New("dispatcher: the owner took no job")

// submitWhenOwned passes a job to the owner, and waits for one if there is none.
func (s *shard) submitWhenOwned(ctx context.Context, j dispatch.Job) error {
	n := s.node
	deadline := n.Clock.Now().Add(ownerWaitTimeout)
	for {
		err := s.submitToOwner(ctx, j)
		_, lost := n.store.lostFor()
		if !errors.Is(err, errNotAccepted) || lost || n.Clock.Now().After(deadline) {
			return err
		}
		n.Counters.Add("Submit.WaitedForOwner", 1)
		if !n.sleep(ctx, ownerRetryDelay) {
			return err
		}
	}
}

// submitToOwner lets the owner store a job with its next transaction: one writer
// stores many jobs at once, which matters most while the store is slow. It fails
// with errNotTaken, a *queue.Refusal, or queue.ErrOutcomeUnknown.
func (s *shard) submitToOwner(ctx context.Context, j dispatch.Job) error {
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	if o := s.owned.Load(); o != nil {
		return o.accept(ctx, j)
	}
	address, known := s.ownerAddress()
	if !known || s.currentView().storeLost {
		return errNotAccepted
	}
	answer, err := entry.Call[acceptRequest, acceptAnswer](ctx, s.node.Peers, address, acceptMethod, acceptRequest{s.id, j})
	switch {
	case err == nil && answer.Refused != "":
		return admissionRefusal(dispatch.Admission{Refused: answer.Refused, RetryAfter: answer.RetryAfter})
	case err == nil:
		return nil
	case errors.Is(err, entry.ErrNotSent), entry.CodeOf(err) == entry.CodeNotOwner,
		entry.CodeOf(err) == entry.CodeUnavailable, entry.CodeOf(err) == entry.CodeBusy:
		return errNotAccepted
	default:
		return queue.ErrOutcomeUnknown
	}
}

func (n *Node) handleAccept(ctx context.Context, r acceptRequest) (acceptAnswer, error) {
	o, err := n.owning(r.Shard)
	if err != nil {
		return acceptAnswer{}, err
	}
	err = o.accept(ctx, r.Job)
	var refusal *queue.Refusal
	switch {
	case errors.As(err, &refusal):
		return acceptAnswer{Refused: refusal.Reason, RetryAfter: refusal.RetryAfter}, nil
	case errors.Is(err, errNotAccepted):
		return acceptAnswer{}, entry.Errorf(entry.CodeUnavailable, "the owner takes no jobs")
	case err != nil:
		return acceptAnswer{}, entry.Errorf(entry.CodeDeadline, "the outcome is unknown")
	}
	return acceptAnswer{}, nil
}

// admissionRefusal returns the refusal of a job that can't be served.
func admissionRefusal(a dispatch.Admission) error {
	return &queue.Refusal{Reason: a.Refused, RetryAfter: a.RetryAfter, Overload: a.Refused == dispatch.RefusedOverload}
}

// admit decides whether a new job can be served. Before it is refused, its row is looked
// for: another instance may have stored it for an earlier try of the caller.
func (o *owner) admit(ctx context.Context, j *dispatch.Job) error {
	o.lock.Lock()
	admission := dispatch.Admission{}
	if !o.isForeign(j.ID) && !o.isStoredOrWaiting(j.ID) {
		admission = o.engine.Admit(o.now(), *j)
	}
	o.lock.Unlock()
	if admission.Refused == "" {
		return nil
	}
	row, err := o.node.read(ctx, o.shard.partition.jobKey(j.ID))
	if err != nil || row.Version != 0 {
		return nil
	}
	return admissionRefusal(admission)
}

// isStoredOrWaiting reports whether the job is stored, or about to be. The lock must be held.
func (o *owner) isStoredOrWaiting(id dispatch.JobID) bool {
	return !o.loaded || o.knows(id) || o.storing[id] ||
		slices.ContainsFunc(o.submissions, func(s *submission) bool { return s.job.ID == id })
}

// accept stores a job with the next transaction, unless it is known.
func (o *owner) accept(ctx context.Context, j dispatch.Job) error {
	if _, lost := o.node.store.lostFor(); lost || o.releaseRequested.Load() {
		return errNotAccepted
	}
	if err := o.admit(ctx, &j); err != nil {
		return err
	}
	waiting := &submission{job: j, done: make(chan error, 1)}
	if chosen := o.chooseShard(&j); chosen != o.shard.id {
		waiting.target = &chosen
	}
	o.lock.Lock()
	known := o.knows(j.ID)
	full := !o.loaded || len(o.submissions) >= maxSubmissions
	if !known && !full {
		o.submissions = append(o.submissions, waiting)
	}
	o.lock.Unlock()
	switch {
	case known:
		return nil
	case full:
		return errNotAccepted
	}
	o.requestWrite()
	select {
	case err := <-waiting.done:
		return err
	case <-ctx.Done():
	case <-o.ctx.Done():
	}
	return queue.ErrOutcomeUnknown
}

// knows reports whether the job or its outcome is known. The lock must be held.
func (o *owner) knows(id dispatch.JobID) bool {
	return o.engine.Knows(id) || o.moved[id] != nil
}

// takeSubmissions returns jobs to store in the next transaction. One that has become
// known since it was taken in is stored already, and may be over: writing it again would
// replace its outcome. A second one of the same job waits until the first is known, since
// another shard may have been chosen for it. The lock must be held.
func (o *owner) takeSubmissions() []*submission {
	var taken, left []*submission
	for _, next := range o.submissions {
		switch {
		case o.knows(next.job.ID):
			next.done <- nil
		case len(taken) == maxBatchSubmissions || o.storing[next.job.ID]:
			left = append(left, next)
		default:
			o.storing[next.job.ID] = true
			taken = append(taken, next)
		}
	}
	o.submissions = left
	return taken
}

// submissionWrites returns the rows of new jobs.
func (o *owner) submissionWrites(list []*submission) []table.Write {
	writes := make([]table.Write, 0, len(list))
	for _, s := range list {
		writes = append(writes, table.Write{Key: o.shard.partition.jobKey(s.job.ID), Value: encode(jobRow{Job: &s.job, Moved: s.target})})
	}
	return writes
}

// completeSubmissions adds jobs that are stored, and answers their callers. The lock
// must be held.
func (o *owner) completeSubmissions(now time.Time, list []*submission) {
	for _, s := range list {
		delete(o.storing, s.job.ID)
		if s.target != nil {
			o.addMoved(&s.job, s.job.ID, *s.target, now)
		} else {
			o.addJob(now, s.job, dispatch.Progress{}, false)
		}
		s.done <- nil
	}
}

// rejectSubmissions answers the callers of jobs that this owner certainly didn't store.
// Other instances may have stored them meanwhile.
func (o *owner) rejectSubmissions(list []*submission) {
	o.lock.Lock()
	defer o.lock.Unlock()
	for _, s := range list {
		delete(o.storing, s.job.ID)
		s.done <- errNotAccepted
		o.group.Go(func() error { o.addIfStored(s.job.ID); return nil })
	}
}

// addIfStored enters a job if another instance has stored it. The feed tells of it only
// once, while it may have been about to be stored here.
func (o *owner) addIfStored(id dispatch.JobID) {
	key := o.shard.partition.jobKey(id)
	for {
		row, err := o.node.read(o.ctx, key)
		if err == nil {
			if row.Version != 0 {
				o.applyJobs(map[table.Key]table.Row{key: row}, nil, false)
			}
			return
		}
		if !o.sleep(storeRetryDelay) {
			return
		}
	}
}
