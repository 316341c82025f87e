package instance

import (
	"context"
	"errors"
	"sort"
	"sync"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/ownership"
	"github.com/jacinthtrail/jacinthtrail/internal/entry/lending"
	"github.com/jacinthtrail/jacinthtrail/internal/entry/shard"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/control"
	"github.com/jacinthtrail/jacinthtrail/internal/peer/heartbeat"
)

// runningShard is a shard that this instance runs at an epoch.
type runningShard struct {
	*shard.Shard
	lending *lending.GrantServer
	cancel  context.CancelFunc
	done    chan struct{}
}

func (r *runningShard) stop() {
	r.cancel()
	<-r.done
}

func (i *Instance) startShard(ctx context.Context, id worker.ShardID, node *ownership.Node, epoch worker.Epoch) *runningShard {
	ctx, cancel := context.WithCancel(ctx)
	running := &runningShard{
		Shard: shard.New(&shard.Shard{
			ID:            id,
			Epoch:         epoch,
			Ownership:     right{i, node},
			Permit:        &i.zones.permit,
			Destinations:  i.destinations(),
			Membership:    i.members,
			Configuration: &i.config,
			Store:         i.store,
			Workers:       i.workers,
			Counters:      i.counters,
			Recorder:      recorder{i},
			Clock:         i.clock,
			Log:           i.log,
		}),
		lending: &lending.GrantServer{
			Shard: id, Epoch: epoch, Authority: right{i, node}, Peers: lendingPeers{i},
			Membership: i.members, Configuration: &i.config, Counters: i.counters, Clock: i.clock,
		},
		cancel: cancel,
		done:   make(chan struct{}),
	}
	i.counters.Add("Takeover.Started", 1)
	i.owned.writes.Go(func() {
		var lends sync.WaitGroup
		lends.Go(func() { running.lending.Run(ctx) })
		err := running.Run(ctx)
		cancel()
		lends.Wait()
		i.shardEnded(id, running, err)
	})
	return running
}

func (i *Instance) shardEnded(id worker.ShardID, running *runningShard, err error) {
	i.owned.mu.Lock()
	defer i.owned.mu.Unlock()
	if i.owned.running[id] == running {
		delete(i.owned.running, id)
	}
	i.owned.ended[id] = running.Epoch
	if errors.Is(err, shard.ErrSuperseded) {
		i.counters.Add("Takeover.Superseded", 1)
	}
	i.log.Info().Err(err).Stringer("Shard", id).Uint64("Epoch", uint64(running.Epoch)).Msg("shard stopped")
	close(running.done)
}

// runningShards returns the shards that run here, sorted.
func (i *Instance) runningShards() []*runningShard {
	i.owned.mu.Lock()
	defer i.owned.mu.Unlock()
	shards := make([]*runningShard, 0, len(i.owned.running))
	for _, running := range i.owned.running {
		shards = append(shards, running)
	}
	sort.Slice(shards, func(a, b int) bool { return shards[a].ID.Index < shards[b].ID.Index })
	return shards
}

// shardReports describes the recovered shards for heartbeats.
func (i *Instance) shardReports() []heartbeat.ShardReport {
	var reports []heartbeat.ShardReport
	for _, running := range i.runningShards() {
		if !running.Recovered() {
			continue
		}
		summary := running.Summary()
		reports = append(reports, heartbeat.ShardReport{
			Shard: running.ID, Epoch: running.Epoch, Free: summary.Free,
			QueuedTasks: summary.QueuedTasks, Running: summary.Running,
		})
	}
	return reports
}

// shardStatuses describes the shards that run here to operators.
func (i *Instance) shardStatuses(context.Context) []control.ShardStatus {
	var statuses []control.ShardStatus
	for _, running := range i.runningShards() {
		summary := running.Summary()
		i.owned.mu.Lock()
		state := i.owned.group.Node(running.ID).State()
		i.owned.mu.Unlock()
		statuses = append(statuses, control.ShardStatus{
			Shard: running.ID.String(), Epoch: uint64(running.Epoch), State: string(state),
			Workers: summary.Workers, QueuedTasks: summary.QueuedTasks, Running: summary.Running, ParkedJobs: summary.ParkedJobs,
		})
	}
	return statuses
}
