package dispatcher

import (
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/balance"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/mechanism"
)

const (
	// loadMaxAge is how long the load that an owner reported stays valid.
	loadMaxAge = 1500 * time.Millisecond
	// loadCacheTime is how long the load of an owned shard is cached.
	loadCacheTime = 200 * time.Millisecond
)

// load returns the load of the shard. The value may be up to loadCacheTime old.
func (o *owner) load() balance.Load {
	o.lock.Lock()
	defer o.lock.Unlock()
	if now := o.now(); now.Sub(o.cachedLoadAt) >= loadCacheTime {
		o.cachedLoad, o.cachedLoadAt = o.engine.Load(now), now
	}
	return o.cachedLoad
}

// knownLoad returns the load that the shard's owner last reported. It returns the zero
// value if the report is too old or the owner may not be able to store jobs.
func (s *shard) knownLoad(now time.Time) balance.Load {
	if o := s.owned.Load(); o != nil {
		return o.load()
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.view.storeLost || s.view.owner.Released || now.Sub(s.view.answeredAt) > loadMaxAge {
		return balance.Load{}
	}
	return s.view.load
}

// balancesShards reports whether jobs may go to another shard than their home shard.
func (o *owner) balancesShards() bool {
	return o.shard.count > 1 && !o.node.Disabled.Has(mechanism.ShardBalance)
}

// chooseShard returns the shard for a new job. A job that was moved here from its home
// shard stays.
func (o *owner) chooseShard(j *dispatch.Job) shardID {
	current := o.shard.id
	if !o.balancesShards() || o.isMovedHere(j.ID) {
		return current
	}
	demand := j.Demand()
	chosen := shardID(balance.Choose(int(current), demand, o.knownLoads()))
	o.node.allShards()[chosen].addExpectedLoad(demand)
	return chosen
}

// isMovedHere reports whether a job was moved to this shard from its home shard, the
// shard that the job's ID hashes to.
func (o *owner) isMovedHere(id dispatch.JobID) bool {
	return shardOf(string(id), o.shard.count) != o.shard.id
}

// knownLoads returns the loads of all shards.
func (o *owner) knownLoads() []balance.Load {
	now := o.now()
	shards := o.node.allShards()
	loads := make([]balance.Load, len(shards))
	for i, s := range shards {
		loads[i] = s.knownLoad(now)
	}
	return loads
}

// addExpectedLoad adds a job to the known load of the shard until its owner reports a
// new load.
func (s *shard) addExpectedLoad(d balance.Demand) {
	s.changeKnownLoad(func(l balance.Load) balance.Load { return l.Add(d) })
}

// changeKnownLoad changes the known load of the shard until its owner reports a new load.
func (s *shard) changeKnownLoad(change func(balance.Load) balance.Load) {
	if o := s.owned.Load(); o != nil {
		o.lock.Lock()
		defer o.lock.Unlock()
		o.cachedLoad = change(o.cachedLoad)
		return
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	s.view.load = change(s.view.load)
}
