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
)

const (
	// transferBatch limits the tasks that are transferred to other shards in one check, because these
	// report their loads only from time to time.
	transferBatch = 16
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

// transferredJob is a job of another shard with the tasks that this shard runs.
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
		if !o.isMovedHere(c.Task.Job) {
			o.transferTask(c, loads)
		}
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
		return o.accept(ctx, j)
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
	if err := o.accept(ctx, stored.job()); err != nil {
		return emptyAnswer{}, entry.Errorf(entry.CodeUnavailable, "the transfer isn't known to be stored: %v", err)
	}
	return emptyAnswer{}, nil
}

// cancelTransfer forwards the cancellation of a job to a shard that runs tasks of it. The outcome of the
// job is stored only afterwards, so that a later owner forwards the cancellation too.
func (o *owner) cancelTransfer(id dispatch.JobID, to shardID) {
	target, err := o.node.shardByID(to)
	if err != nil {
		return
	}
	var unknownSince time.Time
	for {
		ctx, cancel := context.WithTimeout(o.ctx, relayTimeout)
		err := target.cancel(ctx, id)
		cancel()
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
