package dispatcher

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/caller/queue"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
	"github.com/jacinthtrail/jacinthtrail/internal/peer/entry"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/table"
)

const (
	// ownerCallTimeout limits a call to the owner. The store can answer the same question.
	ownerCallTimeout = 350 * time.Millisecond
	// relayTimeout limits a call that a peer carries out on behalf of this instance.
	relayTimeout = 1500 * time.Millisecond
	// shortRetryAfter is when a caller should retry after a failure that has just begun.
	shortRetryAfter = time.Second
	// longRetryAfter replaces shortRetryAfter once the failure has lasted longer than
	// longRetryAfter.
	longRetryAfter = 2 * time.Second
	// notifyAttempts limits the attempts to notify the owner of a stored row. The owner
	// also watches the rows.
	notifyAttempts = 4
	// notifyRetryDelay is the delay between two such attempts.
	notifyRetryDelay = 300 * time.Millisecond
)

// Reasons for refusals.
const (
	RefusedStoreUnavailable = "StoreUnavailable"
	// RefusedStarting is the reason when the instance doesn't know the shards yet.
	RefusedStarting = "Starting"
	// RefusedOwnerUnreachable is the reason when the shard's owner doesn't answer.
	RefusedOwnerUnreachable = "OwnerUnreachable"
	// RefusedTooManyQueries is the reason when a state query has to wait for others for too long.
	RefusedTooManyQueries = "TooManyQueries"
)

// Submit stores a job and returns once it is stored. It returns a *queue.Refusal if the
// job wasn't accepted and never will be, and queue.ErrOutcomeUnknown if that is not
// known.
func (n *Node) Submit(ctx context.Context, j dispatch.Job) error {
	s, err := n.shardOfJob(j.ID)
	if err != nil {
		return err
	}
	// A job that can't be stored is refused here, before it waits for the owner.
	if _, err := encodeJob(jobRow{Job: &j}); err != nil {
		return err
	}
	start := n.Clock.Now()
	version := n.configurationVersion()
	err = s.submit(ctx, j)
	took := n.Clock.Now().Sub(start)
	n.Latencies.Observe("Latency.Accept", took)
	if err == nil {
		n.RoutineLog.Info().Str("Event", "JobAccepted").Str("Job", string(j.ID)).Str("Queue", string(j.Queue)).
			Int64("Version", int64(version)).Dur("Took", took).Send()
	}
	return err
}

// submit has the owner store the job. If that fails, it stores the job from this
// instance, and if that fails too, it relays the job to a peer.
func (s *shard) submit(ctx context.Context, j dispatch.Job) error {
	n := s.node
	ownerErr := s.submitWhenOwned(ctx, j)
	if ownerErr == nil {
		n.Counters.Add("Submit.ByOwner", 1)
		return nil
	}
	var refusal *queue.Refusal
	if errors.As(ownerErr, &refusal) {
		return ownerErr
	}
	err := s.storeJob(ctx, j)
	switch {
	case errors.Is(err, errAlreadyStored):
		return nil
	case isCancelledRefusal(err):
		// The owner can't store the job any more either.
		return err
	case errors.As(err, &refusal) && !refusal.Permanent:
		err = s.relay(ctx, relaySubmitMethod, submittedRequest{j}, err)
	case err == nil:
		n.Counters.Add("Submit.Here", 1)
		s.notifyOwner(submittedMethod, submittedRequest{j}, func(o *owner) { o.addStoredJob(j) })
	}
	if errors.As(err, &refusal) && errors.Is(ownerErr, queue.ErrOutcomeUnknown) {
		// The owner may still store the job, so it must not be reported as refused.
		return queue.ErrOutcomeUnknown
	}
	return err
}

// errAlreadyStored reports that the job was stored before.
var errAlreadyStored = errors.New("dispatcher: the job is already stored")

// storeJob stores a job from this instance. It fails with errAlreadyStored if the job
// was stored before, and with a *queue.Refusal if it was cancelled before. The row is read
// first: if the store doesn't answer that, the job can be refused, while the outcome of a
// transaction without an answer would be unknown.
func (s *shard) storeJob(ctx context.Context, j dispatch.Job) error {
	n := s.node
	if outage, lost := n.store.lostFor(); lost {
		return storeRefusal(outage)
	}
	row, err := encodeJob(jobRow{Job: &j})
	if err != nil {
		return err
	}
	switch stored, err := n.read(ctx, s.partition.jobKey(j.ID)); {
	case err != nil:
		outage, _ := n.store.lostFor()
		return storeRefusal(outage)
	case stored.Version != 0:
		return n.existingRow(stored)
	}
	tx := table.Transaction{
		Conditions: []table.Condition{{Key: s.partition.jobKey(j.ID)}},
		Writes:     []table.Write{{Key: s.partition.jobKey(j.ID), Value: row}},
	}
	outcomeUnknown := false
	for {
		_, err := n.commit(ctx, tx)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, table.ErrConflict):
			// The row exists, so an earlier request or attempt has stored the job, or it was cancelled.
			// The owner already knows the job or will see the row in its watch. Another notification
			// could restart a job that has finished.
			if stored, err := n.read(ctx, s.partition.jobKey(j.ID)); err == nil && stored.Version != 0 {
				return n.existingRow(stored)
			}
			outcomeUnknown = true
		case errors.Is(err, table.ErrInvalid):
			return notStorable()
		case errors.Is(err, table.ErrUnavailable) && !outcomeUnknown:
			outage, _ := n.store.lostFor()
			return storeRefusal(outage)
		default:
			outcomeUnknown = true
		}
		n.Counters.Add("Submit.StoreRetries", 1)
		if !n.sleep(ctx, storeRetryDelay) {
			n.Counters.Add("Submit.OutcomeUnknown", 1)
			return queue.ErrOutcomeUnknown
		}
	}
}

// storeRefusal returns the refusal for a call that needs the store, given how long the
// store has been lost.
func storeRefusal(outage time.Duration) error {
	retryAfter := shortRetryAfter
	if outage > longRetryAfter {
		retryAfter = longRetryAfter
	}
	return &queue.Refusal{Reason: RefusedStoreUnavailable, RetryAfter: retryAfter}
}

// relay has a peer with access to the store carry out a call. It returns the error
// refused if no peer does.
func (s *shard) relay(ctx context.Context, method string, request any, refused error) error {
	n := s.node
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	for _, address := range s.relayAddresses() {
		_, err := entry.Call[any, emptyAnswer](ctx, n.Peers, address, method, request)
		code := entry.CodeOf(err)
		switch {
		case err == nil:
			n.Counters.Add("Relay.Done", 1)
			return nil
		case code == entry.CodeNotFound:
			return queue.ErrUnknownJob
		case code == entry.CodeDeadline, errors.Is(err, entry.ErrNoResponse):
			n.Counters.Add("Relay.OutcomeUnknown", 1)
			return queue.ErrOutcomeUnknown
		}
	}
	n.Counters.Add("Relay.Refused", 1)
	return refused
}

// maxRelayPeers limits the peers that are asked to carry out one call.
const maxRelayPeers = 2

func (s *shard) relayAddresses() []string {
	var addresses []string
	ownerAddress, known := s.ownerAddress()
	if known && ownerAddress != s.node.PeerAddress {
		addresses = append(addresses, ownerAddress)
	}
	for _, address := range s.node.peerAddresses() {
		if address != ownerAddress && address != s.node.PeerAddress && len(addresses) < maxRelayPeers {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// notifyOwner notifies the owner of a stored row in the background. If this instance
// is the owner, it calls applyLocally instead of sending the request. An owner that isn't
// notified reads the row later.
func (s *shard) notifyOwner(method string, request any, applyLocally func(*owner)) {
	n := s.node
	n.background(func(ctx context.Context) error {
		for range notifyAttempts {
			if o := s.owned.Load(); o != nil {
				applyLocally(o)
				return nil
			}
			if s.sendNotification(ctx, method, request) || !n.sleep(ctx, notifyRetryDelay) {
				return nil
			}
		}
		n.Counters.Add("Owner.NotifyFailed", 1)
		return nil
	})
}

func (s *shard) sendNotification(ctx context.Context, method string, request any) bool {
	_, err := callOwner[any, emptyAnswer](ctx, s, method, request)
	return err == nil
}

// addStoredJob adds a job that an instance stored without the owner.
func (o *owner) addStoredJob(j dispatch.Job) {
	o.withEngine(func(now time.Time, _ *dispatch.Engine) {
		if o.loaded && !o.knows(j.ID) && !o.storing[j.ID] {
			o.addOrDefer(now, j, dispatch.Progress{}, false)
		}
	})
}

func (o *owner) applyCancel(id dispatch.JobID) {
	o.withEngine(func(now time.Time, _ *dispatch.Engine) { o.cancelJob(now, id) })
}

// state returns the state of a job, if the owner knows it.
func (o *owner) state(id dispatch.JobID) stateAnswer {
	o.lock.Lock()
	defer o.lock.Unlock()
	if m := o.moved[id]; m != nil {
		return stateAnswer{Known: true, Moved: &m.target, Stored: m.stored}
	}
	if u := o.unloaded[id]; u != nil {
		return stateAnswer{Known: true, State: u.state()}
	}
	state, known := o.engine.State(id)
	return stateAnswer{Known: known, State: state}
}

// State returns the state of a job. It fails with queue.ErrUnknownJob, or with a
// *queue.Refusal if neither the owner nor the store can be reached.
func (n *Node) State(ctx context.Context, id dispatch.JobID) (dispatch.JobState, error) {
	s, err := n.shardOfJob(id)
	if err != nil {
		return "", err
	}
	return s.state(ctx, id)
}

// state asks the owner of the shard, and reads the rows if the owner doesn't know the
// job or doesn't answer.
func (s *shard) state(ctx context.Context, id dispatch.JobID) (dispatch.JobState, error) {
	if answer, err := s.stateFromOwner(ctx, id); err == nil && answer.Known {
		if answer.Moved != nil {
			return s.movedState(ctx, id, *answer.Moved, answer.Stored)
		}
		return answer.State, nil
	}
	row, err := s.readForState(ctx, id)
	var refusal *queue.Refusal
	if errors.As(err, &refusal) {
		return "", err
	}
	if err != nil {
		outage, _ := s.node.store.lostFor()
		return "", storeRefusal(outage)
	}
	if row.Version == 0 {
		return "", queue.ErrUnknownJob
	}
	content, err := decode[jobRow](row)
	if err != nil {
		return "", err
	}
	switch {
	case content.Tombstone:
		return "", queue.ErrUnknownJob
	case content.Moved != nil:
		return s.movedState(ctx, id, *content.Moved, content.Job == nil)
	case content.Outcome != "":
		return content.Outcome, nil
	}
	return s.stateOfUnfinished(ctx, id)
}

// readForState reads the row of a job. It returns a *queue.Refusal if too many queries read at the same time.
func (s *shard) readForState(ctx context.Context, id dispatch.JobID) (table.Row, error) {
	if err := s.node.stateReads.Acquire(ctx, 1); err != nil {
		return table.Row{}, &queue.Refusal{Reason: RefusedTooManyQueries, RetryAfter: shortRetryAfter}
	}
	defer s.node.stateReads.Release(1)
	s.node.Counters.Add("State.FromStore", 1)
	return s.node.read(ctx, s.partition.jobKey(id))
}

// movedState asks the shard that a job was moved to. That shard may not have the job
// yet.
func (s *shard) movedState(ctx context.Context, id dispatch.JobID, to shardID, stored bool) (dispatch.JobState, error) {
	target, err := s.node.shardByID(to)
	if err != nil || to == s.id {
		return "", fmt.Errorf("job %s was moved to %v: %w", id, to, queue.ErrUnknownJob)
	}
	state, err := target.state(ctx, id)
	if errors.Is(err, queue.ErrUnknownJob) && !stored {
		return dispatch.Queued, nil
	}
	return state, err
}

// stateOfUnfinished derives the state of a job without an outcome from its other rows.
func (s *shard) stateOfUnfinished(ctx context.Context, id dispatch.JobID) (dispatch.JobState, error) {
	cancelRow, err := s.node.read(ctx, s.partition.cancelKey(id))
	if err != nil {
		return "", storeRefusal(0)
	}
	if cancelRow.Version != 0 {
		return dispatch.Cancelled, nil
	}
	progressRow, err := s.node.read(ctx, s.partition.progressKey(id))
	if err != nil {
		return "", storeRefusal(0)
	}
	if progressRow.Version != 0 {
		return dispatch.Running, nil
	}
	return dispatch.Queued, nil
}

func (s *shard) stateFromOwner(ctx context.Context, id dispatch.JobID) (stateAnswer, error) {
	if o := s.owned.Load(); o != nil {
		return o.state(id), nil
	}
	return callOwner[jobRequest, stateAnswer](ctx, s, stateMethod, jobRequest{s.id, id})
}

// callOwner calls a method of the shard's owner.
func callOwner[Request, Answer any](ctx context.Context, s *shard, method string, request Request) (Answer, error) {
	var zero Answer
	address, known := s.ownerAddress()
	if !known {
		return zero, entry.ErrNotSent
	}
	ctx, cancel := context.WithTimeout(ctx, ownerCallTimeout)
	defer cancel()
	n := s.node
	start := n.Clock.Now()
	answer, err := entry.Call[Request, Answer](ctx, n.Peers, address, method, request)
	n.Latencies.Observe("Latency.AskOwner", n.Clock.Now().Sub(start))
	return answer, err
}

// Cancel stores the cancellation of a job. It fails with queue.ErrUnknownJob if the job isn't stored and won't
// be for tombstoneRetention, a *queue.Refusal or queue.ErrOutcomeUnknown.
func (n *Node) Cancel(ctx context.Context, id dispatch.JobID) error {
	s, err := n.shardOfJob(id)
	if err != nil {
		return err
	}
	return s.cancel(ctx, id)
}

// cancel stores a cancellation from this instance, or relays it to a peer if that is
// refused.
func (s *shard) cancel(ctx context.Context, id dispatch.JobID) error {
	err := s.storeCancel(ctx, id)
	var refusal *queue.Refusal
	if errors.As(err, &refusal) && refusal.Reason == RefusedStoreUnavailable {
		err = s.relay(ctx, relayCancelMethod, jobRequest{s.id, id}, err)
	}
	if err == nil {
		s.notifyOwner(cancelledMethod, jobRequest{s.id, id}, func(o *owner) { o.applyCancel(id) })
	}
	return err
}

func (s *shard) storeCancel(ctx context.Context, id dispatch.JobID) error {
	n := s.node
	for {
		err := s.tryStoreCancel(ctx, id)
		if !errors.Is(err, table.ErrConflict) && !errors.Is(err, table.ErrOutcomeUnknown) {
			return err
		}
		n.Counters.Add("Cancel.StoreRetries", 1)
		if !n.sleep(ctx, storeRetryDelay) {
			return queue.ErrOutcomeUnknown
		}
	}
}

// tryStoreCancel stores a cancellation unless the job has finished. If the job isn't known, it stores a
// tombstone in the home shard.
func (s *shard) tryStoreCancel(ctx context.Context, id dispatch.JobID) error {
	n := s.node
	if outage, lost := n.store.lostFor(); lost {
		return storeRefusal(outage)
	}
	row, err := n.read(ctx, s.partition.jobKey(id))
	if err != nil {
		return storeRefusal(0)
	}
	switch {
	case row.Version == 0 && shardOf(string(id), s.count) == s.id:
		return s.storeTombstone(ctx, id)
	case row.Version == 0:
		return queue.ErrUnknownJob
	}
	content, err := decode[jobRow](row)
	if err != nil {
		return err
	}
	if content.Tombstone {
		return queue.ErrUnknownJob
	}
	if content.Moved != nil && content.Job == nil {
		target, err := n.shardByID(*content.Moved)
		if err != nil || target == s {
			return queue.ErrUnknownJob
		}
		return target.tryStoreCancel(ctx, id)
	}
	if content.Outcome != "" {
		return nil
	}
	_, err = n.commit(ctx, table.Transaction{
		Conditions: []table.Condition{{Key: s.partition.jobKey(id), Version: row.Version}},
		Writes:     []table.Write{{Key: s.partition.cancelKey(id), Value: []byte("{}")}},
	})
	if errors.Is(err, table.ErrUnavailable) {
		return storeRefusal(0)
	}
	return err
}
