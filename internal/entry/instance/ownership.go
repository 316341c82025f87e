package instance

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/chart"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/ownership"
	"github.com/jacinthtrail/jacinthtrail/internal/peer/heartbeat"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/table"
)

const (
	// ownershipInterval is the time between runs of the ownership logic.
	ownershipInterval = 100 * time.Millisecond
	// releaseTimeout bounds the release of the shards at a planned stop; after it
	// the peers take the shards over as from a dead owner.
	releaseTimeout = 10 * time.Second
	// ownershipWriteTimeout bounds a write of an ownership row.
	ownershipWriteTimeout = 4 * time.Second
)

// owned has the ownership of the zone's shards and the shards that run here.
type owned struct {
	mu      sync.Mutex
	group   *ownership.Group
	nodes   map[worker.ShardID]*ownership.Node
	running map[worker.ShardID]*runningShard
	// ended is the last epoch of each shard whose run has ended, so that it isn't
	// started again.
	ended   map[worker.ShardID]worker.Epoch
	polling bool
	writes  sync.WaitGroup
}

// right adapts the rights of an ownership node to a shard.
type right struct {
	*Instance
	node *ownership.Node
}

// Authority returns until when the shard may sync with workers.
func (r right) Authority(now time.Time) (time.Time, bool) {
	r.owned.mu.Lock()
	defer r.owned.mu.Unlock()
	return r.node.Renewal(now)
}

// ExclusiveUntil returns until when this owner, and no earlier one, may lend slots.
func (r right) ExclusiveUntil(now time.Time) (time.Time, bool) {
	r.owned.mu.Lock()
	defer r.owned.mu.Unlock()
	return r.node.Authority(now)
}

// OthersUntil returns when no earlier owner can renew leases any more.
func (r right) OthersUntil() time.Time {
	r.owned.mu.Lock()
	defer r.owned.mu.Unlock()
	return r.node.EndOfPrevious()
}

// Row returns the condition that the shard's row still is what this owner wrote,
// and reports whether the row names this owner at the epoch.
func (r right) Row(ctx context.Context, id worker.ShardID, epoch worker.Epoch) (table.Condition, bool, error) {
	rows, err := r.store.Read(ctx, shardKey(id))
	if err != nil {
		return table.Condition{}, false, err
	}
	row, err := decodeRow[ownership.ShardRow](rows[0])
	if err != nil {
		return table.Condition{}, false, err
	}
	mine := row.Owner == r.settings.ID && row.Epoch == epoch && !row.Released
	return table.Condition{Key: rows[0].Key, Version: rows[0].Version}, mine, nil
}

func shardKey(id worker.ShardID) table.Key {
	return table.Key("shard/" + id.String())
}

func (i *Instance) membersKey() table.Key {
	return table.Key("members/" + string(i.settings.Zone))
}

func decodeRow[T any](row table.Row) (T, error) {
	var value T
	if row.Version == 0 {
		return value, nil
	}
	if err := json.Unmarshal(row.Value, &value); err != nil {
		return value, fmt.Errorf("row %s: %w", row.Key, err)
	}
	return value, nil
}

// shardIDs returns the shards of this zone. Without a manifest there are none.
func (i *Instance) shardIDs() []worker.ShardID {
	count := i.config.Current().Manifest.Limits.ShardsPerZone
	ids := make([]worker.ShardID, count)
	for index := range ids {
		ids[index] = worker.ShardID{Zone: i.settings.Zone, Index: index}
	}
	return ids
}

func (i *Instance) initOwnership() {
	i.owned.group = ownership.NewGroup(i.settings.ID, ownership.DefaultTerms())
	i.owned.nodes = map[worker.ShardID]*ownership.Node{}
	i.owned.running = map[worker.ShardID]*runningShard{}
	i.owned.ended = map[worker.ShardID]worker.Epoch{}
}

// runOwnership runs the ownership logic until ctx ends, then stops the shards.
func (i *Instance) runOwnership(ctx context.Context) error {
	ticker := i.clock.NewTicker(ownershipInterval)
	defer ticker.Stop()
	defer i.owned.writes.Wait()
	defer i.stopShards()
	for {
		i.tickOwnership(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
		}
	}
}

func (i *Instance) stopShards() {
	for _, running := range i.runningShards() {
		running.stop()
	}
}

// tickOwnership lets the ownership logic decide and carries out what it asks for.
func (i *Instance) tickOwnership(ctx context.Context) {
	ids := i.shardIDs()
	i.owned.mu.Lock()
	defer i.owned.mu.Unlock()
	now := i.clock.Now()
	i.owned.group.SetGone(i.goneMembers())
	if write, due := i.owned.group.Tick(now); due {
		i.owned.writes.Go(func() { i.writeMembers(ctx, write) })
	}
	for _, id := range ids {
		node := i.owned.group.Node(id)
		i.owned.nodes[id] = node
		for _, action := range node.Tick(now) {
			i.act(ctx, id, node, action)
		}
		i.follow(ctx, id, node)
	}
}

// goneMembers returns the members that the platform no longer lists.
func (i *Instance) goneMembers() []membership.InstanceID {
	snapshot, _, known := i.members.view.Latest()
	if !known {
		return nil
	}
	listed := map[membership.InstanceID]bool{}
	for _, instance := range snapshot.Instances {
		listed[instance.ID] = true
	}
	var gone []membership.InstanceID
	for _, member := range i.owned.group.Members().Members {
		if !listed[member.ID] {
			gone = append(gone, member.ID)
		}
	}
	return gone
}

// act carries out an action of a node. The lock is held.
func (i *Instance) act(ctx context.Context, id worker.ShardID, node *ownership.Node, action ownership.Action) {
	i.counters.Add("Ownership."+string(action.Kind), 1)
	switch action.Kind {
	case ownership.Read:
		i.requestPoll(ctx)
	case ownership.Claim, ownership.Settle:
		i.owned.writes.Go(func() { i.writeShard(ctx, id, node, action) })
	case ownership.Release:
		running := i.owned.running[id]
		i.owned.writes.Go(func() { i.releaseShard(context.WithoutCancel(ctx), id, node, running, action) })
	default:
		owner, epoch := node.Owner()
		i.log.Info().Stringer("Shard", id).Str("Owner", string(owner)).Uint64("Epoch", uint64(epoch)).Msg(string(action.Kind))
	}
}

// releaseShard stops the run of a shard and writes its release. While the table can't
// be reached the shard runs on, because nobody could claim it and feeds need its grants.
func (i *Instance) releaseShard(ctx context.Context, id worker.ShardID, node *ownership.Node, running *runningShard, action ownership.Action) {
	if running != nil {
		probe, cancel := context.WithTimeout(ctx, ownershipWriteTimeout)
		_, err := i.store.Read(probe, shardKey(id))
		cancel()
		if err != nil {
			i.counters.Add("Ownership.ReleasePutOff", 1)
			i.owned.mu.Lock()
			defer i.owned.mu.Unlock()
			node.WriteResult(i.clock.Now(), action, ownership.NotWritten, 0)
			return
		}
		running.stop()
	}
	i.writeShard(ctx, id, node, action)
}

// follow starts or stops the run of a shard as its ownership says. The lock is held.
func (i *Instance) follow(ctx context.Context, id worker.ShardID, node *ownership.Node) {
	epoch := node.Epoch()
	running := i.owned.running[id]
	if running != nil && running.Epoch != epoch {
		running.cancel()
		return
	}
	if running != nil {
		if running.Recovered() {
			node.Recovered()
		}
		return
	}
	if epoch != 0 && epoch > i.owned.ended[id] && node.State() != chart.OwnershipReleasing {
		i.owned.running[id] = i.startShard(ctx, id, node, epoch)
	}
}

// requestPoll reads the table soon, unless a read is under way. The lock is held.
func (i *Instance) requestPoll(ctx context.Context) {
	if i.owned.polling {
		return
	}
	i.owned.polling = true
	i.owned.writes.Go(func() { i.pollTable(ctx) })
}

// tableRead gives a read of the table to the ownership logic.
func (i *Instance) tableRead(view tableView) {
	members, err := decodeRow[ownership.MemberSet](view.members)
	if err != nil {
		i.log.Error().Err(err).Msg("ownership row is damaged")
		return
	}
	i.owned.mu.Lock()
	defer i.owned.mu.Unlock()
	i.owned.polling = false
	now := i.clock.Now()
	for j, id := range view.shardIDs {
		node := i.owned.group.Node(id)
		row, err := decodeRow[ownership.ShardRow](view.shards[j])
		if err != nil {
			i.log.Error().Err(err).Msg("ownership row is damaged")
			node.ReadFailed()
			continue
		}
		node.TableRead(now, ownership.TableRead{
			Began: view.began, Shard: row, ShardVersion: view.shards[j].Version,
			Members: members, MembersVersion: view.members.Version,
		})
	}
}

func (i *Instance) tableFailed() {
	i.owned.mu.Lock()
	defer i.owned.mu.Unlock()
	i.owned.polling = false
	for _, node := range i.owned.nodes {
		node.ReadFailed()
	}
}

// writeShard carries out a conditional write of a shard's row.
func (i *Instance) writeShard(ctx context.Context, id worker.ShardID, node *ownership.Node, action ownership.Action) {
	outcome, version := ownership.NotWritten, table.Version(0)
	value, err := json.Marshal(action.Row)
	if err == nil {
		tx := table.Transaction{
			ID:         table.TransactionID(uuid.NewString()),
			Conditions: []table.Condition{{Key: shardKey(id), Version: action.ShardVersion}},
			Writes:     []table.Write{{Key: shardKey(id), Value: value}},
		}
		if action.Kind == ownership.Claim {
			tx.Conditions = append(tx.Conditions, table.Condition{Key: i.membersKey(), Version: action.MembersVersion})
		}
		outcome, version = i.commitOwnership(ctx, tx, shardKey(id))
	}
	i.owned.mu.Lock()
	defer i.owned.mu.Unlock()
	node.WriteResult(i.clock.Now(), action, outcome, version)
}

func (i *Instance) commitOwnership(ctx context.Context, tx table.Transaction, key table.Key) (ownership.Outcome, table.Version) {
	ctx, cancel := context.WithTimeout(ctx, ownershipWriteTimeout)
	defer cancel()
	result, err := table.CommitResolved(ctx, i.store, i.clock, tx)
	switch {
	case err == nil:
		return ownership.Written, result.Versions[key]
	case errors.Is(err, table.ErrOutcomeUnknown):
		i.counters.Add("Ownership.OutcomeUnknown", 1)
		return ownership.Unknown, 0
	}
	i.counters.Add("Ownership.NotWritten", 1)
	return ownership.NotWritten, 0
}

func (i *Instance) writeMembers(ctx context.Context, write ownership.MembersWrite) {
	value, err := json.Marshal(write.Set)
	if err == nil {
		i.commitOwnership(ctx, table.Transaction{
			ID:         table.TransactionID(uuid.NewString()),
			Conditions: []table.Condition{{Key: i.membersKey(), Version: write.Version}},
			Writes:     []table.Write{{Key: i.membersKey(), Value: value}},
		}, i.membersKey())
	}
	i.owned.mu.Lock()
	defer i.owned.mu.Unlock()
	i.owned.group.MembersWritten(i.clock.Now())
}

// releaseShards hands the shards on and waits until the peers may claim them.
func (i *Instance) releaseShards(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	i.owned.mu.Lock()
	i.owned.group.Leave()
	i.owned.mu.Unlock()
	ticker := i.clock.NewTicker(ownershipInterval)
	defer ticker.Stop()
	for !i.released() {
		select {
		case <-ctx.Done():
			i.counters.Add("Ownership.ReleaseTimedOut", 1)
			return
		case <-ticker.Chan():
		}
	}
}

func (i *Instance) released() bool {
	i.owned.mu.Lock()
	defer i.owned.mu.Unlock()
	for _, node := range i.owned.nodes {
		if node.Epoch() != 0 {
			return false
		}
	}
	return true
}

// ownershipHeartbeat returns the ownership part of a heartbeat.
func (i *Instance) ownershipHeartbeat() ownership.Heartbeat {
	i.owned.mu.Lock()
	defer i.owned.mu.Unlock()
	return i.owned.group.Heartbeat(i.clock.Now())
}

// receiveOwnership answers the ownership part of a heartbeat from the same zone.
func (i *Instance) receiveOwnership(now time.Time, message heartbeat.Heartbeat) ownership.HeartbeatAnswer {
	if message.From.Zone != i.settings.Zone {
		return ownership.HeartbeatAnswer{}
	}
	i.owned.mu.Lock()
	defer i.owned.mu.Unlock()
	return i.owned.group.Received(now, message.Ownership)
}

// ownershipAnswered takes in the answer to the ownership part of a heartbeat.
func (i *Instance) ownershipAnswered(sent time.Time, answer ownership.HeartbeatAnswer) {
	if answer.From == "" {
		return
	}
	i.owned.mu.Lock()
	defer i.owned.mu.Unlock()
	i.owned.group.Answered(i.clock.Now(), sent, answer)
}
