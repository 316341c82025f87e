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

// runningShard is a shard that this instance runs during one epoch of its ownership.
type runningShard struct {
	*shard.Shard
	grantServer *lending.GrantServer
	cancel      context.CancelFunc
	done        chan struct{}
}

func (r *runningShard) stop() {
	r.cancel()
	<-r.done
}

func (i *Instance) startShard(ctx context.Context, id worker.ShardID, shardView *ownership.ShardView, epoch worker.Epoch) *runningShard {
	ctx, cancel := context.WithCancel(ctx)
	running := &runningShard{
		Shard: shard.New(&shard.Shard{
			ID:            id,
			Epoch:         epoch,
			Ownership:     shardAuthority{i, shardView},
			Permit:        &i.zones.permit,
			Destinations:  i.shardSelector(),
			Membership:    i.membership,
			Configuration: &i.config,
			Store:         i.store,
			Workers:       i.workerSyncer,
			Counters:      i.counters,
			Recorder:      decisionRecorder{i},
			Clock:         i.clock,
			Log:           i.log,
		}),
		grantServer: &lending.GrantServer{
			Shard: id, Epoch: epoch, Authority: shardAuthority{i, shardView}, Peers: grantHolderPeers{i},
			Membership: i.membership, Configuration: &i.config, Counters: i.counters, Clock: i.clock,
		},
		cancel: cancel,
		done:   make(chan struct{}),
	}
	i.counters.Add("Takeover.Started", 1)
	i.ownership.goroutines.Go(func() {
		var grantServers sync.WaitGroup
		grantServers.Go(func() { running.grantServer.Run(ctx) })
		err := running.Run(ctx)
		cancel()
		grantServers.Wait()
		i.handleShardEnd(id, running, err)
	})
	return running
}

func (i *Instance) handleShardEnd(id worker.ShardID, running *runningShard, err error) {
	i.ownership.mu.Lock()
	defer i.ownership.mu.Unlock()
	if i.ownership.running[id] == running {
		delete(i.ownership.running, id)
	}
	i.ownership.lastEnded[id] = running.Epoch
	if errors.Is(err, shard.ErrSuperseded) {
		i.counters.Add("Takeover.Superseded", 1)
	}
	i.log.Info().Err(err).Stringer("Shard", id).Uint64("Epoch", uint64(running.Epoch)).Msg("shard stopped")
	close(running.done)
}

// runningShards returns the shards that run on this instance, sorted by index.
func (i *Instance) runningShards() []*runningShard {
	i.ownership.mu.Lock()
	defer i.ownership.mu.Unlock()
	shards := make([]*runningShard, 0, len(i.ownership.running))
	for _, running := range i.ownership.running {
		shards = append(shards, running)
	}
	sort.Slice(shards, func(a, b int) bool { return shards[a].ID.Index < shards[b].ID.Index })
	return shards
}

// shardReports returns the reports for heartbeats on the shards that finished recovery.
func (i *Instance) shardReports() []heartbeat.ShardReport {
	var reports []heartbeat.ShardReport
	for _, running := range i.runningShards() {
		if !running.HasRecovered() {
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

// shardStatuses returns the status of the shards that run on this instance, for operators.
func (i *Instance) shardStatuses(context.Context) []control.ShardStatus {
	var statuses []control.ShardStatus
	for _, running := range i.runningShards() {
		summary := running.Summary()
		i.ownership.mu.Lock()
		state := i.ownership.zoneView.Shard(running.ID).State()
		i.ownership.mu.Unlock()
		statuses = append(statuses, control.ShardStatus{
			Shard: running.ID.String(), Epoch: uint64(running.Epoch), State: string(state),
			Workers: summary.Workers, QueuedTasks: summary.QueuedTasks, Running: summary.Running, ParkedJobs: summary.ParkedJobs,
		})
	}
	return statuses
}
