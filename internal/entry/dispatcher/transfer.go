package dispatcher

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/caller/queue"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/balance"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
	"github.com/jacinthtrail/jacinthtrail/internal/peer/entry"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/table"
)

const (
	// transferBatch limits the tasks that are transferred to other shards in one check, because these
	// report their loads only from time to time.
	transferBatch = 8
	// transferSettleTime is how long the target of a transfer must not know the job until the transfer
	// counts as never carried out. It covers a call whose answer was lost and the store's retries.
	transferSettleTime = 5 * time.Second
)

// transferRequest asks the owner of a shard to run tasks of a job whose own shard has no room for them.
type transferRequest struct {
	Shard  shardID
	Sender transferSender
	Job    dispatch.Job
	Tasks  []dispatch.TransferredTask
}

// endTransferRequest asks the owner of a shard to stop the tasks of a job that were transferred to it.
type endTransferRequest struct {
	Shard  shardID
	Sender transferSender
	ID     dispatch.JobID
}

// transferSender is the owner that transfers tasks.
type transferSender struct {
	Shard shardID
	Epoch dispatch.Epoch
}

// transferredJob is the row of a job of another shard with the tasks that this shard runs.
type transferredJob struct {
	Job   dispatch.Job
	Tasks []dispatch.TransferredTask
}

// job returns the job for the engine.
func (t *transferredJob) job() dispatch.Job {
	j := t.Job
	j.Transferred = t.Tasks
	return j
}

// transferTasks transfers long-running tasks that are down for long to shards that have more room. It
// does nothing while instances are alive that don't know transfers, since they could take this shard
// over and run the tasks too.
func (o *owner) transferTasks() {
	_, lost := o.node.store.lostFor()
	if lost || slices.ContainsFunc(o.node.livePeers(), func(p peer) bool { return !p.Transfers }) {
		return
	}
	o.lock.Lock()
	candidates := o.engine.TransferCandidates(o.now(), transferBatch)
	o.lock.Unlock()
	if len(candidates) == 0 {
		return
	}
	loads := o.knownLoads()
	for _, c := range candidates {
		o.transferTask(c, loads)
	}
	o.requestWrite()
}

// transferTask transfers a task if a shard with room is known, and updates the loads.
func (o *owner) transferTask(c dispatch.TransferCandidate, loads []balance.Load) {
	need := balance.Room{Service: string(c.Service), Free: c.Resources}
	chosen, found := balance.ChooseForRestart(int(o.shard.id), need, loads)
	if !found {
		return
	}
	take := func(l balance.Load) balance.Load { return l.TakeRoom(need) }
	loads[o.shard.id] = loads[o.shard.id].Sub(need.Demand())
	loads[chosen] = take(loads[chosen])
	o.node.allShards()[chosen].changeKnownLoad(take)
	o.lock.Lock()
	defer o.lock.Unlock()
	o.engine.TransferTask(o.now(), c.Task, dispatch.Shard(chosen))
}

// sender identifies this owner to the targets of its transfers.
func (o *owner) sender() transferSender {
	return transferSender{o.shard.id, o.epoch}
}

// errStaleSender reports that a transfer comes from an owner that was replaced.
var errStaleSender = errors.New("dispatcher: the sender of the transfer was replaced")

// checkSender rejects an owner of another shard that is known to be replaced: the next owner may have
// ended its transfers. The lock must not be held.
func (o *owner) checkSender(from transferSender) error {
	s, err := o.node.shardByID(from.Shard)
	if err != nil {
		return err
	}
	known := s.currentView().owner.Epoch
	o.lock.Lock()
	defer o.lock.Unlock()
	if from.Epoch < max(known, o.senderEpochs[from.Shard]) {
		return errStaleSender
	}
	o.senderEpochs[from.Shard] = from.Epoch
	return nil
}

// deliverTransfer has the target shard store a transfer. It retries until the target confirms or the job
// is cancelled.
func (o *owner) deliverTransfer(t dispatch.Transfer) {
	target, err := o.node.shardByID(shardID(t.To))
	if err != nil {
		o.node.Log.Error().Err(err).Str("Job", string(t.Job.ID)).Msg("tasks were transferred to an unknown shard")
		return
	}
	for {
		o.lock.Lock()
		ended, mayAct := o.engine.HasEnded(t.Job.ID), !o.authorityLost
		o.lock.Unlock()
		if ended || mayAct && target.submitTransfer(o.ctx, o.sender(), t.Job) == nil {
			return
		}
		o.node.Counters.Add("Task.TransferRetries", 1)
		if !o.sleep(handOverRetryDelay) {
			return
		}
	}
}

// submitTransfer has the shard's owner store the tasks of a job that were transferred to it.
func (s *shard) submitTransfer(ctx context.Context, from transferSender, j dispatch.Job) error {
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	if o := s.owned.Load(); o != nil {
		return o.acceptTransfer(ctx, from, j)
	}
	address, known := s.ownerAddress()
	if !known || s.currentView().storeLost {
		return errNotAccepted
	}
	request := transferRequest{Shard: s.id, Sender: from, Job: j, Tasks: j.Transferred}
	_, err := entry.Call[transferRequest, emptyAnswer](ctx, s.node.Peers, address, transferMethod, request)
	return err
}

func (n *Node) handleTransfer(ctx context.Context, r transferRequest) (emptyAnswer, error) {
	o, err := n.localOwner(r.Shard)
	if err != nil {
		return emptyAnswer{}, err
	}
	stored := transferredJob{r.Job, r.Tasks}
	if err := o.acceptTransfer(ctx, r.Sender, stored.job()); err != nil {
		return emptyAnswer{}, entry.Errorf(entry.CodeUnavailable, "the transfer isn't known to be stored: %v", err)
	}
	return emptyAnswer{}, nil
}

// acceptTransfer stores tasks that were transferred to this shard in the next transaction.
func (o *owner) acceptTransfer(ctx context.Context, from transferSender, j dispatch.Job) error {
	if _, lost := o.node.store.lostFor(); lost || o.releaseRequested.Load() {
		return errNotAccepted
	}
	if !o.node.mayLoad(j.Memory()) {
		return errNotAccepted
	}
	if err := o.checkSender(from); err != nil {
		return err
	}
	waiting, err := newSubmission(j, nil)
	if err != nil {
		return err
	}
	return o.awaitStored(ctx, waiting)
}

// addTransferred adds the tasks that were transferred to this shard under an earlier owner.
func (o *owner) addTransferred(rows []table.Row, progress map[dispatch.JobID]dispatch.Progress) error {
	o.lock.Lock()
	defer o.lock.Unlock()
	for _, row := range rows {
		content, err := decode[transferredJob](row)
		if err != nil {
			return err
		}
		o.engine.AddJob(o.now(), content.job(), progress[content.Job.ID], true)
	}
	return nil
}

// cancelTransfer has a shard that runs tasks of a cancelled job stop them. The outcome of the job is
// stored only afterwards, so that a later owner does the same.
func (o *owner) cancelTransfer(id dispatch.JobID, to shardID) {
	target, err := o.node.shardByID(to)
	if err != nil {
		return
	}
	var unknownSince time.Time
	for {
		err := target.endTransfer(o.ctx, o.sender(), id)
		now := o.now()
		switch {
		case !errors.Is(err, queue.ErrUnknownJob):
			unknownSince = time.Time{}
		case unknownSince.IsZero():
			unknownSince = now
		}
		if err == nil || !unknownSince.IsZero() && now.Sub(unknownSince) >= transferSettleTime {
			break
		}
		if !o.sleep(handOverRetryDelay) {
			return
		}
	}
	o.withEngine(func(_ time.Time, e *dispatch.Engine) { e.EndTransfer(id, dispatch.Shard(to)) })
	o.requestWrite()
}

// errEndNotStored reports that the end of transferred tasks isn't stored yet.
var errEndNotStored = errors.New("dispatcher: the end of the transferred tasks isn't stored yet")

// endTransfer cancels tasks of a job that were transferred to the shard. It returns nil once that is
// stored, and queue.ErrUnknownJob if the shard has no tasks of the job.
func (s *shard) endTransfer(ctx context.Context, from transferSender, id dispatch.JobID) error {
	ctx, cancel := context.WithTimeout(ctx, ownerCallTimeout)
	defer cancel()
	if o := s.owned.Load(); o != nil {
		return o.endTransfer(from, id)
	}
	_, err := callOwner[endTransferRequest, emptyAnswer](ctx, s, endTransferMethod, endTransferRequest{s.id, from, id})
	if entry.CodeOf(err) == entry.CodeNotFound {
		return queue.ErrUnknownJob
	}
	return err
}

func (n *Node) handleEndTransfer(_ context.Context, r endTransferRequest) (emptyAnswer, error) {
	o, err := n.localOwner(r.Shard)
	if err != nil {
		return emptyAnswer{}, err
	}
	err = o.endTransfer(r.Sender, r.ID)
	if errors.Is(err, errEndNotStored) || errors.Is(err, errStaleSender) {
		return emptyAnswer{}, entry.Errorf(entry.CodeUnavailable, "%v", err)
	}
	return emptyAnswer{}, relayError(err)
}

func (o *owner) endTransfer(from transferSender, id dispatch.JobID) error {
	if err := o.checkSender(from); err != nil {
		return err
	}
	defer o.requestEngineRun()
	defer o.requestWrite()
	o.lock.Lock()
	defer o.lock.Unlock()
	if !o.loaded || o.authorityLost || o.isStoring(id) {
		return errEndNotStored
	}
	stored, known := o.engine.CancelTransferred(o.now(), id)
	switch {
	case stored:
		return nil
	case known:
		return errEndNotStored
	}
	return queue.ErrUnknownJob
}

// isStoring reports whether a job waits to be stored or is being stored. The lock must be held.
func (o *owner) isStoring(id dispatch.JobID) bool {
	return o.storing[id] || slices.ContainsFunc(o.submissions, func(s *submission) bool { return s.job.ID == id })
}
