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
	// ownerTimeout bounds a question to the owner; the store can answer it as well.
	ownerTimeout = 350 * time.Millisecond
	// relayTimeout bounds a call that a peer carries out at the store.
	relayTimeout = 1500 * time.Millisecond
	// pendingMemory is how long a count of pending jobs may be repeated.
	pendingMemory = 1500 * time.Millisecond
	// shortRetry is when a caller should come back after a trouble that has just begun.
	shortRetry = time.Second
	// longRetry is the same for a trouble that lasts.
	longRetry = 2 * time.Second
	// notifyTries bounds the calls that tell the owner of a job. The owner also
	// follows the rows.
	notifyTries = 4
	// notifyPause is the time between such calls.
	notifyPause = 300 * time.Millisecond
)

// Reasons of refusals.
const (
	RefusedStore = "StoreUnavailable"
)

// Submit stores a job and returns once that is done. It returns a *queue.Refusal
// if the job isn't accepted and never will be, and queue.ErrOutcomeUnknown if that
// is not known.
func (n *Node) Submit(ctx context.Context, j dispatch.Job) error {
	began := n.Clock.Now()
	err := n.submit(ctx, j)
	took := n.Clock.Now().Sub(began)
	n.Latencies.Observe("Latency.Accept", took)
	if err == nil {
		n.Routine.Info().Str("Event", "JobAccepted").Str("Job", string(j.ID)).Str("Queue", string(j.Queue)).
			Dur("Took", took).Send()
	}
	return err
}

// submit lets the owner store the job, else stores it from here, else lets a peer.
func (n *Node) submit(ctx context.Context, j dispatch.Job) error {
	ownerErr := n.submitWhenOwned(ctx, j)
	if ownerErr == nil {
		n.Counters.Add("Submit.ByOwner", 1)
		return nil
	}
	err := n.submitHere(ctx, j)
	if errors.Is(err, errRepeated) {
		return nil
	}
	var refusal *queue.Refusal
	if errors.As(err, &refusal) {
		err = n.relay(ctx, relaySubmit, submittedRequest{j}, err)
	} else if err == nil {
		n.Counters.Add("Submit.Here", 1)
		n.notify(submittedMethod, submittedRequest{j}, func(o *owner) { o.submitted(j) })
	}
	if errors.As(err, &refusal) && errors.Is(ownerErr, queue.ErrOutcomeUnknown) {
		// The owner may still store the job, so it can't be called refused.
		return queue.ErrOutcomeUnknown
	}
	return err
}

// errRepeated reports that the job was stored before.
var errRepeated = errors.New("dispatcher: the job is stored already")

// submitHere stores a job from this instance. It fails with errRepeated if that was
// done before.
func (n *Node) submitHere(ctx context.Context, j dispatch.Job) error {
	if age, lost := n.store.lostFor(); lost {
		return storeRefusal(age)
	}
	tx := table.Transaction{
		Conditions: []table.Condition{{Key: jobKey(j.ID)}},
		Writes:     []table.Write{{Key: jobKey(j.ID), Value: encode(jobRow{Job: &j})}},
	}
	unknown := false
	for {
		_, err := n.commit(ctx, tx)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, table.ErrConflict):
			// The row exists: an earlier request or try has stored the job. The owner
			// knows of it, or follows the rows; telling it again could revive a job that is over.
			n.Counters.Add("Submit.Repeated", 1)
			return errRepeated
		case errors.Is(err, table.ErrInvalid):
			return err
		case errors.Is(err, table.ErrUnavailable) && !unknown:
			lost, _ := n.store.lostFor()
			return storeRefusal(lost)
		default:
			unknown = true
		}
		n.Counters.Add("Submit.StoreRetries", 1)
		select {
		case <-ctx.Done():
			n.Counters.Add("Submit.OutcomeUnknown", 1)
			return queue.ErrOutcomeUnknown
		case <-n.Clock.After(storeRetryPause):
		}
	}
}

func storeRefusal(lost time.Duration) error {
	retry := shortRetry
	if lost > longRetry {
		retry = longRetry
	}
	return &queue.Refusal{Reason: RefusedStore, RetryAfter: retry}
}

// relay lets a peer that reaches the store carry out a call. It returns refused
// if no peer does.
func (n *Node) relay(ctx context.Context, method string, request any, refused error) error {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	for _, address := range n.relayAddresses() {
		_, err := entry.Call[any, emptyAnswer](ctx, n.Peers, address, method, request)
		code := entry.CodeOf(err)
		switch {
		case err == nil:
			n.Counters.Add("Relay.Done", 1)
			return nil
		case code == entry.CodeNotFound:
			return queue.ErrUnknownJob
		case code == entry.CodeDeadline, errors.Is(err, entry.ErrNoAnswer):
			n.Counters.Add("Relay.OutcomeUnknown", 1)
			return queue.ErrOutcomeUnknown
		}
	}
	n.Counters.Add("Relay.Refused", 1)
	return refused
}

// maxRelays bounds the peers that are asked for one call.
const maxRelays = 2

func (n *Node) relayAddresses() []string {
	var list []string
	first, known := n.ownerAddress()
	if known && first != n.PeerAddress {
		list = append(list, first)
	}
	for _, address := range n.peerAddresses() {
		if address != first && address != n.PeerAddress && len(list) < maxRelays {
			list = append(list, address)
		}
	}
	return list
}

// notify tells the owner of a stored row, in the background.
func (n *Node) notify(method string, request any, local func(*owner)) {
	n.background(func() error {
		for range notifyTries {
			if o := n.owned.Load(); o != nil {
				local(o)
				return nil
			}
			if n.notifyOwner(method, request) {
				return nil
			}
			<-n.Clock.After(notifyPause)
		}
		n.Counters.Add("Owner.NotifyFailed", 1)
		return nil
	})
}

func (n *Node) notifyOwner(method string, request any) bool {
	_, err := askOwner[any, emptyAnswer](context.Background(), n, method, request)
	return err == nil
}

// submitted enters a stored job.
func (o *owner) submitted(j dispatch.Job) {
	o.with(func(now time.Time, e *dispatch.Engine) {
		if o.loaded {
			e.AddJob(now, j, dispatch.Progress{}, false)
		}
	})
}

func (o *owner) cancelled(id dispatch.JobID) {
	o.with(func(now time.Time, e *dispatch.Engine) { e.Cancel(now, id) })
}

// state returns the state of a job, if the owner knows it.
func (o *owner) state(id dispatch.JobID) stateAnswer {
	o.lock.Lock()
	defer o.lock.Unlock()
	state, known := o.engine.State(id)
	return stateAnswer{known, state}
}

// State returns the state of a job. It fails with queue.ErrUnknownJob, or with a
// *queue.Refusal if neither the owner nor the store can be asked.
func (n *Node) State(ctx context.Context, id dispatch.JobID) (dispatch.JobState, error) {
	if answer, err := n.ownerState(ctx, id); err == nil && answer.Known {
		return answer.State, nil
	}
	n.Counters.Add("State.FromStore", 1)
	row, err := n.read(ctx, jobKey(id))
	if err != nil {
		lost, _ := n.store.lostFor()
		return "", storeRefusal(lost)
	}
	if row.Version == 0 {
		return "", queue.ErrUnknownJob
	}
	content, err := decode[jobRow](row)
	if err != nil {
		return "", err
	}
	if content.Outcome != "" {
		return content.Outcome, nil
	}
	return n.storedState(ctx, id)
}

// storedState derives the state of a job that isn't over from its other rows.
func (n *Node) storedState(ctx context.Context, id dispatch.JobID) (dispatch.JobState, error) {
	cancel, err := n.read(ctx, cancelKey(id))
	if err != nil {
		return "", storeRefusal(0)
	}
	if cancel.Version != 0 {
		return dispatch.Cancelled, nil
	}
	progress, err := n.read(ctx, progressKey(id))
	if err != nil {
		return "", storeRefusal(0)
	}
	if progress.Version != 0 {
		return dispatch.Running, nil
	}
	return dispatch.Queued, nil
}

func (n *Node) ownerState(ctx context.Context, id dispatch.JobID) (stateAnswer, error) {
	if o := n.owned.Load(); o != nil {
		return o.state(id), nil
	}
	return askOwner[jobRequest, stateAnswer](ctx, n, stateMethod, jobRequest{id})
}

// askOwner calls a method of the owner.
func askOwner[Request, Answer any](ctx context.Context, n *Node, method string, request Request) (Answer, error) {
	var none Answer
	address, known := n.ownerAddress()
	if !known {
		return none, entry.ErrNotSent
	}
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	began := n.Clock.Now()
	answer, err := entry.Call[Request, Answer](ctx, n.Peers, address, method, request)
	n.Latencies.Observe("Latency.AskOwner", n.Clock.Now().Sub(began))
	return answer, err
}

// Cancel stores the cancellation of a job. It fails with queue.ErrUnknownJob, a
// *queue.Refusal or queue.ErrOutcomeUnknown.
func (n *Node) Cancel(ctx context.Context, id dispatch.JobID) error {
	err := n.cancelHere(ctx, id)
	var refusal *queue.Refusal
	if errors.As(err, &refusal) {
		err = n.relay(ctx, relayCancel, jobRequest{id}, err)
	}
	if err == nil {
		n.notify(cancelledMethod, jobRequest{id}, func(o *owner) { o.cancelled(id) })
	}
	return err
}

func (n *Node) cancelHere(ctx context.Context, id dispatch.JobID) error {
	for {
		err := n.cancelOnce(ctx, id)
		if !errors.Is(err, table.ErrConflict) && !errors.Is(err, table.ErrOutcomeUnknown) {
			return err
		}
		n.Counters.Add("Cancel.StoreRetries", 1)
		select {
		case <-ctx.Done():
			return queue.ErrOutcomeUnknown
		case <-n.Clock.After(storeRetryPause):
		}
	}
}

// cancelOnce stores a cancellation, unless the job is over by then.
func (n *Node) cancelOnce(ctx context.Context, id dispatch.JobID) error {
	if age, lost := n.store.lostFor(); lost {
		return storeRefusal(age)
	}
	row, err := n.read(ctx, jobKey(id))
	if err != nil {
		return storeRefusal(0)
	}
	if row.Version == 0 {
		return queue.ErrUnknownJob
	}
	content, err := decode[jobRow](row)
	if err != nil {
		return err
	}
	if content.Outcome != "" {
		return nil
	}
	_, err = n.commit(ctx, table.Transaction{
		Conditions: []table.Condition{{Key: jobKey(id), Version: row.Version}},
		Writes:     []table.Write{{Key: cancelKey(id), Value: []byte("{}")}},
	})
	if errors.Is(err, table.ErrUnavailable) {
		return storeRefusal(0)
	}
	return err
}

// Pending returns the number of accepted jobs of a queue that have started no task.
func (n *Node) Pending(ctx context.Context, name dispatch.QueueName) (int, error) {
	answer, err := n.ownerPending(ctx, name)
	n.lock.Lock()
	defer n.lock.Unlock()
	now := n.Clock.Now()
	if err == nil {
		n.pending[name] = pendingCount{answer.Pending, now}
		return answer.Pending, nil
	}
	if known, ok := n.pending[name]; ok && now.Sub(known.at) < pendingMemory {
		return known.jobs, nil
	}
	return 0, &queue.Refusal{Reason: "OwnerUnreachable", RetryAfter: shortRetry}
}

func (n *Node) ownerPending(ctx context.Context, name dispatch.QueueName) (pendingAnswer, error) {
	if o := n.owned.Load(); o != nil {
		return o.pending(name)
	}
	return askOwner[pendingRequest, pendingAnswer](ctx, n, pendingMethod, pendingRequest{name})
}

// pending counts jobs once the stored ones are loaded.
func (o *owner) pending(name dispatch.QueueName) (pendingAnswer, error) {
	o.lock.Lock()
	defer o.lock.Unlock()
	if !o.loaded {
		return pendingAnswer{}, entry.Errorf(entry.CodeUnavailable, "the owner is still reading the stored jobs")
	}
	return pendingAnswer{o.engine.Pending(name)}, nil
}
