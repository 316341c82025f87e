// Package lending grants slots and connections of a shard's executors to entry
// instances while this instance owns the shard.
package lending

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/slots"
	"github.com/jacinthtrail/jacinthtrail/internal/entry/shard"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/manifest"
	"github.com/jacinthtrail/jacinthtrail/internal/peer/entry"
	"github.com/jacinthtrail/jacinthtrail/internal/peer/grant"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

const (
	// refreshInterval is the time between updates from the membership list, each followed
	// by fence requests and recalls.
	refreshInterval = 500 * time.Millisecond
	// executorRetention is how long the allocator keeps an executor that is no longer
	// listed. The list may drop an executor that still works, so the time exceeds the term
	// of a base grant plus a MaxDuration of an hour.
	executorRetention = 75 * time.Minute
)

// Authority reports whether the shard's owner may grant slots.
type Authority interface {
	// ExclusiveUntil returns until when this owner is the only one that may grant slots.
	// ok is false if it may not now.
	ExclusiveUntil(now time.Time) (until time.Time, ok bool)
}

// Peers sends calls to the entry instances, this one included.
type Peers interface {
	// Holders lists the entry instances that may hold grants, this one included.
	Holders() []membership.InstanceID
	// Members lists the entry instances of the zone that get base grants, sorted.
	Members() []membership.InstanceID
	// Fence tells a holder the owner's epoch and returns the grants that it holds.
	Fence(ctx context.Context, holder membership.InstanceID, request grant.FenceRequest) (slots.FenceReport, error)
	// Recall takes grants back from a holder and returns the amounts that stay in use.
	Recall(ctx context.Context, holder membership.InstanceID, request grant.RecallRequest) (grant.RecallAnswer, error)
}

// Membership provides the cached list of instances.
type Membership interface {
	Snapshot() membership.Snapshot
}

// Configuration provides the manifest in force.
type Configuration interface {
	Current() manifest.Published
}

// Counters counts events by name.
type Counters interface {
	Add(name string, delta int64)
}

// GrantServer grants the slots of one shard's executors during one epoch of its
// ownership. All exported fields must be set before Run.
type GrantServer struct {
	Shard         worker.ShardID
	Epoch         worker.Epoch
	Authority     Authority
	Peers         Peers
	Membership    Membership
	Configuration Configuration
	Counters      Counters
	Clock         clockwork.Clock

	mu        sync.Mutex
	allocator *slots.Allocator
	// lastListed is when each executor was last in the membership list.
	lastListed    map[membership.InstanceID]time.Time
	fencedHolders map[membership.InstanceID]bool
}

// Run follows the membership list, fences holders and recalls grants until ctx ends.
func (s *GrantServer) Run(ctx context.Context) {
	ticker := s.Clock.NewTicker(refreshInterval)
	defer ticker.Stop()
	for {
		s.runOnce(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
	}
}

func (s *GrantServer) runOnce(ctx context.Context) {
	now := s.Clock.Now()
	if _, ok := s.Authority.ExclusiveUntil(now); !ok {
		return
	}
	s.refreshExecutors(now)
	s.fenceHolders(ctx)
	s.recallGrants(ctx)
}

// refreshExecutors updates the executors from the membership list. The first call creates
// the allocator: the caller has checked that no earlier owner grants slots any more.
func (s *GrantServer) refreshExecutors(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.allocator == nil {
		// The first owner of a shard has no predecessor with grants that could still be held.
		s.allocator = slots.NewAllocator(now, s.Epoch, slots.DefaultConfig(), s.Epoch == 1)
		s.lastListed = map[membership.InstanceID]time.Time{}
		s.fencedHolders = map[membership.InstanceID]bool{}
	}
	current := s.Configuration.Current().Manifest
	durations := map[string]time.Duration{}
	for _, service := range current.Services {
		durations[string(service.Name)] = time.Duration(service.MaxDuration)
	}
	for _, instance := range s.Membership.Snapshot().Instances {
		maxDuration, declared := durations[instance.Service]
		if instance.Kind != membership.Executor || instance.Zone != s.Shard.Zone || !declared {
			continue
		}
		if shard.IndexOf(instance.Host, current.Limits.ShardsPerZone) != s.Shard.Index {
			continue
		}
		s.lastListed[instance.ID] = now
		s.allocator.SetExecutor(slots.Executor{
			ID: instance.ID, Service: instance.Service, MaxDuration: maxDuration,
			Capacity: slots.Amount{Slots: instance.Slots, Connections: instance.Connections},
			Leaving:  instance.State == membership.Leaving,
		})
	}
	for id, last := range s.lastListed {
		if now.Sub(last) > executorRetention {
			s.allocator.RemoveExecutor(id)
			delete(s.lastListed, id)
		}
	}
}

// fenceHolders tells every entry instance that hasn't answered yet about this owner, and
// records the grants that they hold.
func (s *GrantServer) fenceHolders(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	for _, holder := range s.Peers.Holders() {
		s.mu.Lock()
		done := s.fencedHolders[holder]
		s.mu.Unlock()
		if done {
			continue
		}
		group.Go(func() { s.fenceAndRestore(ctx, holder) })
	}
}

func (s *GrantServer) fenceAndRestore(ctx context.Context, holder membership.InstanceID) {
	report, err := s.Peers.Fence(ctx, holder, grant.FenceRequest{Shard: s.Shard, Epoch: s.Epoch})
	if err != nil {
		s.Counters.Add("Lending.FenceFailed", 1)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fencedHolders[holder] = true
	if !s.allocator.Restore(s.Clock.Now(), report) {
		s.Counters.Add("Lending.ReportOverCapacity", 1)
	}
}

// recallGrants takes back grants early, such as those of leaving executors and those that
// exceed their holder's share.
func (s *GrantServer) recallGrants(ctx context.Context) {
	s.mu.Lock()
	recalls := s.allocator.GrantsToRecall(s.Clock.Now(), s.Peers.Members())
	s.mu.Unlock()
	byHolder := map[membership.InstanceID][]slots.GrantID{}
	for _, g := range recalls {
		byHolder[g.Holder] = append(byHolder[g.Holder], g.ID)
	}
	var group sync.WaitGroup
	defer group.Wait()
	for holder, ids := range byHolder {
		group.Go(func() { s.recallFrom(ctx, holder, ids) })
	}
}

func (s *GrantServer) recallFrom(ctx context.Context, holder membership.InstanceID, ids []slots.GrantID) {
	s.Counters.Add("Lending.Recalled", int64(len(ids)))
	answer, err := s.Peers.Recall(ctx, holder, grant.RecallRequest{Shard: s.Shard, Epoch: s.Epoch, IDs: ids})
	if err != nil {
		s.Counters.Add("Lending.RecallFailed", 1)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, keep := range answer.Kept {
		s.allocator.Return(holder, keep)
	}
}

// Acquire renews a holder's grants and gives it new ones. It fails with
// entry.CodeNotOwner while this owner may not grant slots or the holder hasn't yet
// answered the fence request.
func (s *GrantServer) Acquire(request grant.AcquireRequest) (grant.AcquireAnswer, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	if _, ok := s.Authority.ExclusiveUntil(now); !ok || s.allocator == nil || !s.fencedHolders[request.Holder] {
		s.Counters.Add("Lending.RefusedNotOwner", 1)
		return grant.AcquireAnswer{}, entry.Errorf(entry.CodeNotOwner, "the owner of %s can't grant slots at the moment", s.Shard)
	}
	answer := grant.AcquireAnswer{Epoch: s.Epoch}
	answer.Renewed = s.allocator.Renew(now, request.Holder, request.Renewals)
	members := s.Peers.Members()
	if request.Base && slices.Contains(members, request.Holder) {
		answer.Grants = s.allocator.AcquireBase(now, request.Holder, members)
	}
	for _, want := range request.Wants {
		want.Holder = request.Holder
		answer.Grants = append(answer.Grants, s.allocator.Acquire(now, want)...)
	}
	s.Counters.Add("Lending.Granted", int64(len(answer.Grants)))
	return answer, nil
}
