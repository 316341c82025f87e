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
	// ownershipInterval is the time between ticks of the ownership logic.
	ownershipInterval = 100 * time.Millisecond
	// releaseTimeout limits the release of the shards at a planned stop. Shards that aren't
	// released by then are taken over by the peers as if their owner had died.
	releaseTimeout = 10 * time.Second
	// ownershipWriteTimeout limits one write of a shard row or the member set row, and the
	// check before a release that the table can be reached.
	ownershipWriteTimeout = 4 * time.Second
)

// ownershipState is the ownership of the zone's shards as this instance knows it, and the
// shards that run on it.
type ownershipState struct {
	mu         sync.Mutex
	zoneView   *ownership.ZoneView
	shardViews map[worker.ShardID]*ownership.ShardView
	running    map[worker.ShardID]*runningShard
	// lastEnded has the last epoch of each shard that has stopped, so that the shard isn't
	// started again at that epoch.
	lastEnded   map[worker.ShardID]worker.Epoch
	pollPending bool
	goroutines  sync.WaitGroup
}

// shardAuthority adapts the ownership view of a shard to shard.Ownership and
// lending.Authority.
type shardAuthority struct {
	*Instance
	shardView *ownership.ShardView
}

// AuthorityUntil returns until when the owner may sync with workers, and whether it may
// now.
func (a shardAuthority) AuthorityUntil(now time.Time) (time.Time, bool) {
	a.ownership.mu.Lock()
	defer a.ownership.mu.Unlock()
	return a.shardView.LeaseRenewal(now)
}

// ExclusiveUntil returns until when this owner is the only one that may grant slots, and
// whether it may now.
func (a shardAuthority) ExclusiveUntil(now time.Time) (time.Time, bool) {
	a.ownership.mu.Lock()
	defer a.ownership.mu.Unlock()
	return a.shardView.Authority(now)
}

// EarlierOwnersUntil returns the time from which no earlier owner can renew leases.
func (a shardAuthority) EarlierOwnersUntil() time.Time {
	a.ownership.mu.Lock()
	defer a.ownership.mu.Unlock()
	return a.shardView.EarlierOwnersUntil()
}

// ReadRow reads the shard's row. It returns the condition that the row is unchanged since,
// and reports whether the row names this instance as the owner at the epoch.
func (a shardAuthority) ReadRow(ctx context.Context, id worker.ShardID, epoch worker.Epoch) (table.Condition, bool, error) {
	rows, err := a.store.Read(ctx, shardKey(id))
	if err != nil {
		return table.Condition{}, false, err
	}
	row, err := decodeRow[ownership.ShardRow](rows[0])
	if err != nil {
		return table.Condition{}, false, err
	}
	isOwner := row.Owner == a.settings.ID && row.Epoch == epoch && !row.Released
	return table.Condition{Key: rows[0].Key, Version: rows[0].Version}, isOwner, nil
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

// shardIDs returns the shards of this zone. There are none before a manifest is loaded.
func (i *Instance) shardIDs() []worker.ShardID {
	count := i.config.Current().Manifest.Limits.ShardsPerZone
	ids := make([]worker.ShardID, count)
	for index := range ids {
		ids[index] = worker.ShardID{Zone: i.settings.Zone, Index: index}
	}
	return ids
}

func (i *Instance) initOwnership() {
	i.ownership.zoneView = ownership.NewZoneView(i.settings.ID, ownership.DefaultConfig())
	i.ownership.shardViews = map[worker.ShardID]*ownership.ShardView{}
	i.ownership.running = map[worker.ShardID]*runningShard{}
	i.ownership.lastEnded = map[worker.ShardID]worker.Epoch{}
}

// runOwnership ticks the ownership logic until ctx ends, then stops the shards.
func (i *Instance) runOwnership(ctx context.Context) error {
	ticker := i.clock.NewTicker(ownershipInterval)
	defer ticker.Stop()
	defer i.ownership.goroutines.Wait()
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

// tickOwnership ticks the ownership logic, performs the resulting actions, and starts or
// stops shards.
func (i *Instance) tickOwnership(ctx context.Context) {
	ids := i.shardIDs()
	i.ownership.mu.Lock()
	defer i.ownership.mu.Unlock()
	now := i.clock.Now()
	i.ownership.zoneView.SetUnlisted(i.unlistedMembers())
	if write, due := i.ownership.zoneView.Tick(now); due {
		i.ownership.goroutines.Go(func() { i.writeMembers(ctx, write) })
	}
	for _, id := range ids {
		shardView := i.ownership.zoneView.Shard(id)
		i.ownership.shardViews[id] = shardView
		for _, action := range shardView.Tick(now) {
			i.performAction(ctx, id, shardView, action)
		}
		i.reconcileRunningShard(ctx, id, shardView)
	}
}

// unlistedMembers returns the members that the platform no longer lists.
func (i *Instance) unlistedMembers() []membership.InstanceID {
	snapshot, _, known := i.membership.view.Latest()
	if !known {
		return nil
	}
	listed := map[membership.InstanceID]bool{}
	for _, instance := range snapshot.Instances {
		listed[instance.ID] = true
	}
	var unlisted []membership.InstanceID
	for _, member := range i.ownership.zoneView.Members().Members {
		if !listed[member.ID] {
			unlisted = append(unlisted, member.ID)
		}
	}
	return unlisted
}

// performAction carries out an action of the ownership logic. The caller must hold
// i.ownership.mu.
func (i *Instance) performAction(ctx context.Context, id worker.ShardID, shardView *ownership.ShardView, action ownership.Action) {
	i.counters.Add("Ownership."+string(action.Kind), 1)
	switch action.Kind {
	case ownership.Read:
		i.requestPoll(ctx)
	case ownership.Claim, ownership.Settle:
		i.ownership.goroutines.Go(func() { i.writeShard(ctx, id, shardView, action) })
	case ownership.Release:
		running := i.ownership.running[id]
		i.ownership.goroutines.Go(func() { i.releaseShard(context.WithoutCancel(ctx), id, shardView, running, action) })
	default:
		owner, epoch := shardView.Owner()
		i.log.Info().Stringer("Shard", id).Str("Owner", string(owner)).Uint64("Epoch", uint64(epoch)).Msg(string(action.Kind))
	}
}

// releaseShard stops a running shard and writes its release to the table. While the table
// can't be reached the shard keeps running, because no other instance could claim it and
// feeds need its grants.
func (i *Instance) releaseShard(ctx context.Context, id worker.ShardID, shardView *ownership.ShardView, running *runningShard, action ownership.Action) {
	if running != nil {
		readCtx, cancel := context.WithTimeout(ctx, ownershipWriteTimeout)
		_, err := i.store.Read(readCtx, shardKey(id))
		cancel()
		if err != nil {
			i.counters.Add("Ownership.ReleasePutOff", 1)
			i.ownership.mu.Lock()
			defer i.ownership.mu.Unlock()
			shardView.WriteResult(i.clock.Now(), action, ownership.NotWritten, 0)
			return
		}
		running.stop()
	}
	i.writeShard(ctx, id, shardView, action)
}

// reconcileRunningShard starts or cancels the run of a shard to match its ownership, and
// reports its recovery to the ownership logic. The caller must hold i.ownership.mu.
func (i *Instance) reconcileRunningShard(ctx context.Context, id worker.ShardID, shardView *ownership.ShardView) {
	epoch := shardView.Epoch()
	running := i.ownership.running[id]
	if running != nil && running.Epoch != epoch {
		running.cancel()
		return
	}
	if running != nil {
		if running.HasRecovered() {
			shardView.RecoveryDone()
		}
		return
	}
	if epoch != 0 && epoch > i.ownership.lastEnded[id] && shardView.State() != chart.OwnershipReleasing {
		i.ownership.running[id] = i.startShard(ctx, id, shardView, epoch)
	}
}

// requestPoll starts a read of the table unless a requested one is pending. The caller must
// hold i.ownership.mu.
func (i *Instance) requestPoll(ctx context.Context) {
	if i.ownership.pollPending {
		return
	}
	i.ownership.pollPending = true
	i.ownership.goroutines.Go(func() { i.pollTable(ctx) })
}

// handleTableRead passes the result of a table read to the ownership logic.
func (i *Instance) handleTableRead(view tableView) {
	members, err := decodeRow[ownership.MemberSet](view.memberSetRow)
	if err != nil {
		i.log.Error().Err(err).Msg("failed to decode the member set")
		return
	}
	i.ownership.mu.Lock()
	defer i.ownership.mu.Unlock()
	i.ownership.pollPending = false
	now := i.clock.Now()
	for j, id := range view.shardIDs {
		shardView := i.ownership.zoneView.Shard(id)
		row, err := decodeRow[ownership.ShardRow](view.shardRows[j])
		if err != nil {
			i.log.Error().Err(err).Msg("failed to decode a shard's ownership")
			shardView.ReadFailed()
			continue
		}
		shardView.TableRead(now, ownership.TableRead{
			Began: view.startedAt, Shard: row, ShardVersion: view.shardRows[j].Version,
			Members: members, MembersVersion: view.memberSetRow.Version,
		})
	}
}

func (i *Instance) handleTableError() {
	i.ownership.mu.Lock()
	defer i.ownership.mu.Unlock()
	i.ownership.pollPending = false
	for _, shardView := range i.ownership.shardViews {
		shardView.ReadFailed()
	}
}

// writeShard writes a shard's row on the conditions of an action, and passes the outcome to
// the ownership logic.
func (i *Instance) writeShard(ctx context.Context, id worker.ShardID, shardView *ownership.ShardView, action ownership.Action) {
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
	i.ownership.mu.Lock()
	defer i.ownership.mu.Unlock()
	shardView.WriteResult(i.clock.Now(), action, outcome, version)
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

func (i *Instance) writeMembers(ctx context.Context, write ownership.MemberSetWrite) {
	value, err := json.Marshal(write.Set)
	if err == nil {
		i.commitOwnership(ctx, table.Transaction{
			ID:         table.TransactionID(uuid.NewString()),
			Conditions: []table.Condition{{Key: i.membersKey(), Version: write.Version}},
			Writes:     []table.Write{{Key: i.membersKey(), Value: value}},
		}, i.membersKey())
	}
	i.ownership.mu.Lock()
	defer i.ownership.mu.Unlock()
	i.ownership.zoneView.MembersWritten(i.clock.Now())
}

// releaseShards releases all shards and waits until they are released, so that the peers
// can claim them, or until releaseTimeout is over.
func (i *Instance) releaseShards(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	i.ownership.mu.Lock()
	i.ownership.zoneView.Leave()
	i.ownership.mu.Unlock()
	ticker := i.clock.NewTicker(ownershipInterval)
	defer ticker.Stop()
	for !i.allShardsReleased() {
		select {
		case <-ctx.Done():
			i.counters.Add("Ownership.ReleaseTimedOut", 1)
			return
		case <-ticker.Chan():
		}
	}
}

func (i *Instance) allShardsReleased() bool {
	i.ownership.mu.Lock()
	defer i.ownership.mu.Unlock()
	for _, shardView := range i.ownership.shardViews {
		if shardView.Epoch() != 0 {
			return false
		}
	}
	return true
}

// ownershipHeartbeat returns the ownership part of a heartbeat.
func (i *Instance) ownershipHeartbeat() ownership.Heartbeat {
	i.ownership.mu.Lock()
	defer i.ownership.mu.Unlock()
	return i.ownership.zoneView.Heartbeat(i.clock.Now())
}

// handleOwnershipHeartbeat processes the ownership part of a heartbeat and returns the
// answer. The answer is empty for heartbeats from other zones.
func (i *Instance) handleOwnershipHeartbeat(now time.Time, message heartbeat.Heartbeat) ownership.HeartbeatAnswer {
	if message.From.Zone != i.settings.Zone {
		return ownership.HeartbeatAnswer{}
	}
	i.ownership.mu.Lock()
	defer i.ownership.mu.Unlock()
	return i.ownership.zoneView.HandleHeartbeat(now, message.Ownership)
}

// handleOwnershipAnswer passes the answer to the ownership part of a heartbeat to the
// ownership logic. Answers from other zones are empty and ignored.
func (i *Instance) handleOwnershipAnswer(sent time.Time, answer ownership.HeartbeatAnswer) {
	if answer.From == "" {
		return
	}
	i.ownership.mu.Lock()
	defer i.ownership.mu.Unlock()
	i.ownership.zoneView.HandleAnswer(i.clock.Now(), sent, answer)
}
