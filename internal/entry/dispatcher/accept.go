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
	// acceptTimeout limits how long a submission waits for the owner to store the job. The
	// owner's previous transaction may have to finish first.
	acceptTimeout = 1500 * time.Millisecond
	// withdrawTimeout is how long a submission waits to be included in a transaction. It is shorter than
	// acceptTimeout, so that a peer learns of a withdrawal in time.
	withdrawTimeout = 1200 * time.Millisecond
	// ownerWaitTimeout is how long a submission waits for the shard to get an owner before
	// the job is stored without one. Without an owner the job can't start anyway, and many
	// concurrent transactions would delay the claim of the shard while the store is slow.
	ownerWaitTimeout = 1500 * time.Millisecond
	// ownerRetryDelay is the delay before a submission is sent to the owner again.
	ownerRetryDelay = 150 * time.Millisecond
	// maxSubmissions limits the jobs that wait for the owner to store them.
	maxSubmissions = 512
	// maxBatchSubmissions limits the new jobs in one transaction, because the store limits
	// its size.
	maxBatchSubmissions = 36
)

// submission is a job that waits for the owner to store it.
type submission struct {
	job dispatch.Job
	// row is the encoded row of the job.
	row []byte
	// moves reports that the job is stored and moves to another shard.
	moves bool
	// target is the shard that the job moves to, nil if it stays in its home shard.
	target *shardID
	// done receives nil once the job is stored, or an error if the owner will never store it:
	// errNotAccepted, or a *queue.Refusal.
	done chan error
}

// newSubmission returns the submission of a job that moves to the target shard, or stays if the target
// is nil. It fails with a *queue.Refusal if the store doesn't take such a job.
func newSubmission(j dispatch.Job, target *shardID) (*submission, error) {
	var row []byte
	var err error
	if len(j.Transferred) > 0 {
		row, err = encodeJob(transferredJob{j, j.Transferred})
	} else {
		row, err = encodeJob(jobRow{Job: &j, Moved: target})
	}
	return &submission{job: j, row: row, target: target, done: make(chan error, 1)}, err
}

// isNew reports whether the job must not have a row before it is stored.
func (s *submission) isNew() bool {
	return !s.moves && len(s.job.Transferred) == 0
}

// errNotAccepted reports that the owner didn't accept a job and won't store it.
var errNotAccepted = errors.New("dispatcher: the owner didn't accept the job")

// submitWhenOwned has the shard's owner store a job. If there is no owner, it waits
// for one.
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

// submitToOwner has the owner store a job in its next transaction. A single writer can
// store many jobs in one transaction, which matters most while the store is slow. It
// fails with errNotAccepted, a *queue.Refusal, or queue.ErrOutcomeUnknown.
func (s *shard) submitToOwner(ctx context.Context, j dispatch.Job) error {
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	if o := s.owned.Load(); o != nil {
		return o.accept(ctx, j)
	}
	address, known := s.ownerAddress()
	switch {
	case !known:
		return errNotAccepted
	case s.currentView().storeLost:
		return s.confirmStored(ctx, j.ID)
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

// confirmStored asks an owner that can't store jobs whether it knows that a job is stored. It fails
// with errNotAccepted.
func (s *shard) confirmStored(ctx context.Context, id dispatch.JobID) error {
	answer, err := s.stateFromOwner(ctx, id)
	if err != nil || !answer.Known {
		return errNotAccepted
	}
	return nil
}

func (n *Node) handleAccept(ctx context.Context, r acceptRequest) (acceptAnswer, error) {
	o, err := n.localOwner(r.Shard)
	if err != nil {
		return acceptAnswer{}, err
	}
	err = o.accept(ctx, r.Job)
	var refusal *queue.Refusal
	switch {
	case errors.As(err, &refusal):
		return acceptAnswer{Refused: refusal.Reason, RetryAfter: refusal.RetryAfter}, nil
	case errors.Is(err, errNotAccepted):
		return acceptAnswer{}, entry.Errorf(entry.CodeUnavailable, "the owner doesn't accept jobs")
	case err != nil:
		return acceptAnswer{}, entry.Errorf(entry.CodeDeadline, "the outcome is unknown")
	}
	return acceptAnswer{}, nil
}

// admissionRefusal returns the refusal for a job that the owner doesn't accept.
func admissionRefusal(a dispatch.Admission) error {
	return &queue.Refusal{
		Reason: a.Refused, RetryAfter: a.RetryAfter,
		Overload: a.Refused == dispatch.RefusedOverload, Permanent: a.Refused == RefusedNotStorable,
	}
}

// admit runs admission control for a new job. Before it refuses the job, it reads the
// job's row, because another instance may have stored the job for an earlier attempt of
// the caller.
func (o *owner) admit(ctx context.Context, j *dispatch.Job) error {
	o.lock.Lock()
	admission := dispatch.Admission{}
	if !o.isMovedHere(j.ID) && !o.isStoredOrWaiting(j.ID) {
		o.updateJobMemory()
		admission = dispatch.AdmitMemory(o.node.JobMemory, o.node.usedJobMemory(), j)
		if admission.Refused == "" {
			admission = o.engine.Admit(o.now(), *j)
		}
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

// isStoredOrWaiting reports whether the job is stored or waits to be stored. It returns
// true for any job until the stored jobs are loaded. The lock must be held.
func (o *owner) isStoredOrWaiting(id dispatch.JobID) bool {
	return !o.loaded || o.knows(id) || o.isStoring(id)
}

// accept stores a job in the next transaction unless the owner already knows it.
func (o *owner) accept(ctx context.Context, j dispatch.Job) error {
	if o.isStored(&j) {
		return nil
	}
	if err := o.refuseCancelled(j.ID); err != nil {
		return err
	}
	if _, lost := o.node.store.lostFor(); lost || o.releaseRequested.Load() {
		return errNotAccepted
	}
	if o.isMovedHere(j.ID) && !o.node.mayLoad(j.Memory()) {
		return errNotAccepted
	}
	if err := o.admit(ctx, &j); err != nil {
		return err
	}
	var target *shardID
	if chosen := o.chooseShard(&j); chosen != o.shard.id {
		target = &chosen
	}
	waiting, err := newSubmission(j, target)
	if err != nil {
		return err
	}
	return o.awaitStored(ctx, waiting)
}

// awaitStored stores a submission in the next transaction unless the owner already knows the job. It fails
// with errNotAccepted if no transaction has taken the submission in time, and with queue.ErrOutcomeUnknown if
// the outcome of one that has isn't known yet.
func (o *owner) awaitStored(ctx context.Context, waiting *submission) error {
	o.lock.Lock()
	known := o.covers(&waiting.job)
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
	if decided, err := o.awaitOutcome(ctx, waiting, o.node.Clock.After(withdrawTimeout)); decided {
		return err
	}
	o.withdraw(func(s *submission) bool { return s == waiting })
	if decided, err := o.awaitOutcome(ctx, waiting, nil); decided {
		return err
	}
	return queue.ErrOutcomeUnknown
}

// awaitOutcome waits until the outcome of a submission is known, ctx or the owner ends, or the timeout is
// over. It reports whether the outcome is known, and the error of the submission.
func (o *owner) awaitOutcome(ctx context.Context, s *submission, timeout <-chan time.Time) (decided bool, err error) {
	select {
	case err := <-s.done:
		return true, err
	case <-ctx.Done():
	case <-o.ctx.Done():
	case <-timeout:
	}
	select {
	case err := <-s.done:
		return true, err
	default:
		return false, nil
	}
}

// withdraw rejects the matching submissions that no transaction includes yet. It keeps those of a job that
// the current transaction may store. A job that was to move to another shard is already stored, so it is
// returned to the engine.
func (o *owner) withdraw(matches func(*submission) bool) {
	for _, id := range o.withdrawMatching(matches) {
		o.node.background(func(context.Context) error {
			o.addIfStored(id)
			return nil
		})
	}
}

// withdrawMatching removes the submissions for withdraw, and returns their jobs, which the watch may have
// ignored.
func (o *owner) withdrawMatching(matches func(*submission) bool) []dispatch.JobID {
	o.lock.Lock()
	defer o.lock.Unlock()
	var withdrawn []dispatch.JobID
	o.submissions = slices.DeleteFunc(o.submissions, func(s *submission) bool {
		if !matches(s) || o.storing[s.job.ID] {
			return false
		}
		if o.covers(&s.job) {
			s.done <- nil
			return true
		}
		o.node.Counters.Add("Submit.Withdrawn", 1)
		s.done <- errNotAccepted
		withdrawn = append(withdrawn, s.job.ID)
		return true
	})
	return withdrawn
}

// knows reports whether the job or its outcome is known. The lock must be held.
func (o *owner) knows(id dispatch.JobID) bool {
	return o.engine.HasJob(id) || o.moved[id] != nil || o.unloaded[id] != nil
}

// covers reports whether the job or its outcome is known. Of a job with tasks that were transferred to
// this shard, all of these must be known. The lock must be held.
func (o *owner) covers(j *dispatch.Job) bool {
	if len(j.Transferred) > 0 {
		return o.engine.HasTasks(j)
	}
	return o.knows(j.ID)
}

// isStored reports whether the job or its outcome is known to be stored.
func (o *owner) isStored(j *dispatch.Job) bool {
	o.lock.Lock()
	defer o.lock.Unlock()
	return o.loaded && o.covers(j)
}

// takeSubmissions returns up to limit jobs to store in the next transaction. A job that has
// become known since it was queued is already stored and may have finished; writing it
// again would overwrite its outcome. A second submission of the same job waits until
// the first one is stored, because a different shard may have been chosen for it. A job whose
// expired row is still to be deleted waits as well. The lock must be held.
func (o *owner) takeSubmissions(limit int) []*submission {
	var taken, remaining []*submission
	for _, next := range o.submissions {
		switch {
		case o.covers(&next.job):
			next.done <- nil
		case len(taken) >= limit || o.storing[next.job.ID] || o.expiredJobs[next.job.ID]:
			remaining = append(remaining, next)
		default:
			o.storing[next.job.ID] = true
			taken = append(taken, next)
		}
	}
	o.submissions = remaining
	return taken
}

// submissionConditions returns the conditions that keep a transaction from storing a new job that another
// instance has stored, or that was cancelled.
func (o *owner) submissionConditions(list []*submission) []table.Condition {
	var conditions []table.Condition
	for _, s := range list {
		if s.isNew() {
			conditions = append(conditions, table.Condition{Key: o.shard.partition.jobKey(s.job.ID)})
		}
	}
	return conditions
}

// submissionWrites returns the writes for the rows of new jobs.
func (o *owner) submissionWrites(list []*submission) []table.Write {
	writes := make([]table.Write, 0, len(list))
	for _, s := range list {
		key := o.shard.partition.jobKey(s.job.ID)
		if len(s.job.Transferred) > 0 {
			key = o.shard.partition.transferKey(s.job.ID)
		}
		writes = append(writes, table.Write{Key: key, Value: s.row})
	}
	return writes
}

// completeSubmissions adds the stored jobs to the engine and reports success to their
// callers. The lock must be held.
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

// rejectSubmissions tells the callers that this owner certainly didn't store their
// jobs. Other instances may have stored them in the meantime.
func (o *owner) rejectSubmissions(list []*submission) {
	o.lock.Lock()
	defer o.lock.Unlock()
	for _, s := range list {
		delete(o.storing, s.job.ID)
		s.done <- errNotAccepted
		o.group.Go(func() error { o.addIfStored(s.job.ID); return nil })
	}
}

// addIfStored adds a job if another instance has stored it. The watch reports each row
// only once, and ignores jobs that this owner is storing at that time.
func (o *owner) addIfStored(id dispatch.JobID) {
	key := o.shard.partition.jobKey(id)
	for {
		row, err := o.node.read(o.ctx, key)
		if err == nil {
			if row.Version != 0 {
				o.applyJobs(map[table.Key]table.Row{key: row})
			}
			return
		}
		if !o.sleep(storeRetryDelay) {
			return
		}
	}
}
