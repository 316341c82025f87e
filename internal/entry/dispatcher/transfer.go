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
	Shard shardID
	Job   dispatch.Job
	Tasks []dispatch.TransferredTask
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
	if slices.ContainsFunc(o.node.livePeers(), func(p peer) bool { return !p.Transfers }) {
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

// transferTask transfers a task if a shard with more room is known, and updates the loads.
func (o *owner) transferTask(c dispatch.TransferCandidate, loads []balance.Load) {
	demand := balance.Demand{LongRunning: c.Processors, Started: c.Processors}
	chosen, found := balance.ChooseForRestart(int(o.shard.id), demand, loads)
	if !found {
		return
	}
	loads[o.shard.id], loads[chosen] = loads[o.shard.id].Sub(demand), loads[chosen].Add(demand)
	o.node.allShards()[chosen].addExpectedLoad(demand)
	o.lock.Lock()
	defer o.lock.Unlock()
	o.engine.TransferTask(o.now(), c.Task, dispatch.Shard(chosen))
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
		cancelled := o.engine.IsCancelled(t.Job.ID)
		o.lock.Unlock()
		if cancelled || target.submitTransfer(o.ctx, t.Job) == nil {
			return
		}
		o.node.Counters.Add("Task.TransferRetries", 1)
		if !o.sleep(handOverRetryDelay) {
			return
		}
	}
}

// submitTransfer has the shard's owner store the tasks of a job that were transferred to it.
func (s *shard) submitTransfer(ctx context.Context, j dispatch.Job) error {
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	if o := s.owned.Load(); o != nil {
		return o.acceptTransfer(ctx, j)
	}
	address, known := s.ownerAddress()
	if !known || s.currentView().storeLost {
		return errNotAccepted
	}
	request := transferRequest{Shard: s.id, Job: j, Tasks: j.Transferred}
	_, err := entry.Call[transferRequest, emptyAnswer](ctx, s.node.Peers, address, transferMethod, request)
	return err
}

func (n *Node) handleTransfer(ctx context.Context, r transferRequest) (emptyAnswer, error) {
	o, err := n.localOwner(r.Shard)
	if err != nil {
		return emptyAnswer{}, err
	}
	stored := transferredJob{r.Job, r.Tasks}
	if err := o.acceptTransfer(ctx, stored.job()); err != nil {
		return emptyAnswer{}, entry.Errorf(entry.CodeUnavailable, "the transfer isn't known to be stored: %v", err)
	}
	return emptyAnswer{}, nil
}

// acceptTransfer stores tasks that were transferred to this shard in the next transaction.
func (o *owner) acceptTransfer(ctx context.Context, j dispatch.Job) error {
	if _, lost := o.node.store.lostFor(); lost || o.releaseRequested.Load() {
		return errNotAccepted
	}
	return o.awaitStored(ctx, &submission{job: j, done: make(chan error, 1)})
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
		err := target.endTransfer(o.ctx, id)
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
func (s *shard) endTransfer(ctx context.Context, id dispatch.JobID) error {
	ctx, cancel := context.WithTimeout(ctx, ownerCallTimeout)
	defer cancel()
	if o := s.owned.Load(); o != nil {
		return o.endTransfer(id)
	}
	_, err := callOwner[jobRequest, emptyAnswer](ctx, s, endTransferMethod, jobRequest{s.id, id})
	if entry.CodeOf(err) == entry.CodeNotFound {
		return queue.ErrUnknownJob
	}
	return err
}

func (n *Node) handleEndTransfer(_ context.Context, r jobRequest) (emptyAnswer, error) {
	o, err := n.localOwner(r.Shard)
	if err != nil {
		return emptyAnswer{}, err
	}
	err = o.endTransfer(r.ID)
	if errors.Is(err, errEndNotStored) {
		return emptyAnswer{}, entry.Errorf(entry.CodeUnavailable, "%v", err)
	}
	return emptyAnswer{}, relayError(err)
}

func (o *owner) endTransfer(id dispatch.JobID) error {
	o.lock.Lock()
	loaded := o.loaded
	stored, known := false, false
	if loaded {
		stored, known = o.engine.CancelTransferred(o.now(), id)
	}
	o.lock.Unlock()
	o.requestEngineRun()
	o.requestWrite()
	switch {
	case stored:
		return nil
	case loaded && !known:
		return queue.ErrUnknownJob
	}
	return errEndNotStored
}
