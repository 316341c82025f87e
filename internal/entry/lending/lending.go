// Package lending lends the slots and connections of a shard's executors to entry
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
	// interval is the time between looks at the membership list, fences and recalls.
	interval = 500 * time.Millisecond
	// forgetExecutor is how long an executor that is no longer listed stays in the
	// ledger. It is longer than a base grant and the longest request of an hour,
	// because the list may drop an executor that still works.
	forgetExecutor = 75 * time.Minute
)

// Authority tells whether the owner may lend.
type Authority interface {
	// Exclusive returns until when this owner, and no earlier one, may lend.
	Exclusive(now time.Time) (until time.Time, ok bool)
}

// Peers reaches the other entry instances, and this one.
type Peers interface {
	// Holders lists the entry instances that may hold grants, this one included.
	Holders() []membership.InstanceID
	// Members lists the entry instances of the zone that get base grants, sorted.
	Members() []membership.InstanceID
	Fence(ctx context.Context, holder membership.InstanceID, request grant.FenceRequest) (slots.FenceReport, error)
	Recall(ctx context.Context, holder membership.InstanceID, request grant.RecallRequest) (grant.RecallAnswer, error)
}

// Membership is the cached list of instances.
type Membership interface {
	Snapshot() membership.Snapshot
}

// Configuration is the manifest in force.
type Configuration interface {
	Current() manifest.Published
}

// Counters counts events by name.
type Counters interface {
	Add(name string, delta int64)
}

// Owner lends for one shard at one epoch. All fields must be set before Run.
type Owner struct {
	Shard         worker.ShardID
	Epoch         worker.Epoch
	Authority     Authority
	Peers         Peers
	Membership    Membership
	Configuration Configuration
	Counters      Counters
	Clock         clockwork.Clock

	mu     sync.Mutex
	ledger *slots.Ledger
	// seen is when each executor was last listed.
	seen   map[membership.InstanceID]time.Time
	fenced map[membership.InstanceID]bool
}

// Run keeps the ledger until ctx ends.
func (o *Owner) Run(ctx context.Context) {
	ticker := o.Clock.NewTicker(interval)
	defer ticker.Stop()
	for {
		o.step(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
	}
}

func (o *Owner) step(ctx context.Context) {
	now := o.Clock.Now()
	if _, ok := o.Authority.Exclusive(now); !ok {
		return
	}
	o.refresh(now)
	o.fence(ctx)
	o.recall(ctx)
}

// refresh takes in the membership list. The first time it opens the ledger: from
// then on no earlier owner lends.
func (o *Owner) refresh(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.ledger == nil {
		// The first owner of a shard has no predecessors whose grants could be out.
		o.ledger = slots.NewLedger(now, o.Epoch, slots.DefaultTerms(), o.Epoch == 1)
		o.seen = map[membership.InstanceID]time.Time{}
		o.fenced = map[membership.InstanceID]bool{}
	}
	current := o.Configuration.Current().Manifest
	durations := map[string]time.Duration{}
	for _, s := range current.Services {
		durations[string(s.Name)] = time.Duration(s.MaxDuration)
	}
	for _, instance := range o.Membership.Snapshot().Instances {
		longest, declared := durations[instance.Service]
		if instance.Kind != membership.Executor || instance.Zone != o.Shard.Zone || !declared {
			continue
		}
		if shard.IndexOf(instance.Host, current.Limits.ShardsPerZone) != o.Shard.Index {
			continue
		}
		o.seen[instance.ID] = now
		o.ledger.SetExecutor(slots.Executor{
			ID: instance.ID, Service: instance.Service, MaxDuration: longest,
			Capacity: slots.Amount{Slots: instance.Slots, Connections: instance.Connections},
			Leaving:  instance.State == membership.Leaving,
		})
	}
	for id, last := range o.seen {
		if now.Sub(last) > forgetExecutor {
			o.ledger.RemoveExecutor(id)
			delete(o.seen, id)
		}
	}
}

// fence tells every entry instance about this owner, and takes in what it holds.
func (o *Owner) fence(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	for _, holder := range o.Peers.Holders() {
		o.mu.Lock()
		done := o.fenced[holder]
		o.mu.Unlock()
		if done {
			continue
		}
		group.Go(func() { o.fenceHolder(ctx, holder) })
	}
}

func (o *Owner) fenceHolder(ctx context.Context, holder membership.InstanceID) {
	report, err := o.Peers.Fence(ctx, holder, grant.FenceRequest{Shard: o.Shard, Epoch: o.Epoch})
	if err != nil {
		o.Counters.Add("Lending.FenceFailed", 1)
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.fenced[holder] = true
	if !o.ledger.Restore(o.Clock.Now(), report) {
		o.Counters.Add("Lending.ReportOverCapacity", 1)
	}
}

// recall takes back the grants that should be elsewhere.
func (o *Owner) recall(ctx context.Context) {
	o.mu.Lock()
	recalls := o.ledger.Recalls(o.Clock.Now(), o.Peers.Members())
	o.mu.Unlock()
	byHolder := map[membership.InstanceID][]slots.GrantID{}
	for _, g := range recalls {
		byHolder[g.Holder] = append(byHolder[g.Holder], g.ID)
	}
	var group sync.WaitGroup
	defer group.Wait()
	for holder, ids := range byHolder {
		group.Go(func() { o.recallFrom(ctx, holder, ids) })
	}
}

func (o *Owner) recallFrom(ctx context.Context, holder membership.InstanceID, ids []slots.GrantID) {
	o.Counters.Add("Lending.Recalled", int64(len(ids)))
	answer, err := o.Peers.Recall(ctx, holder, grant.RecallRequest{Shard: o.Shard, Epoch: o.Epoch, IDs: ids})
	if err != nil {
		o.Counters.Add("Lending.RecallFailed", 1)
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, keep := range answer.Kept {
		o.ledger.Return(holder, keep)
	}
}

// Acquire serves a holder. It fails with entry.CodeNotOwner while this owner may
// not lend or the holder has not yet answered the fence.
func (o *Owner) Acquire(request grant.AcquireRequest) (grant.AcquireAnswer, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.Clock.Now()
	if _, ok := o.Authority.Exclusive(now); !ok || o.ledger == nil || !o.fenced[request.Holder] {
		o.Counters.Add("Lending.RefusedNotOwner", 1)
		return grant.AcquireAnswer{}, entry.Errorf(entry.CodeNotOwner, "%s does not lend now", o.Shard)
	}
	answer := grant.AcquireAnswer{Epoch: o.Epoch}
	answer.Renewed = o.ledger.Renew(now, request.Holder, request.Renewals)
	members := o.Peers.Members()
	if request.Base && slices.Contains(members, request.Holder) {
		answer.Grants = o.ledger.AcquireBase(now, request.Holder, members)
	}
	for _, want := range request.Wants {
		want.Holder = request.Holder
		answer.Grants = append(answer.Grants, o.ledger.Acquire(now, want)...)
	}
	o.Counters.Add("Lending.Granted", int64(len(answer.Grants)))
	return answer, nil
}
