package dispatcher

import (
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/balance"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
)

const (
	// loadMemory is how long what an owner said of its load counts.
	loadMemory = 1500 * time.Millisecond
	// loadInterval is the time between two counts of the own load.
	loadInterval = 200 * time.Millisecond
)

// load returns the load of the shard, counted lately.
func (o *owner) load() balance.Load {
	o.lock.Lock()
	defer o.lock.Unlock()
	if now := o.now(); now.Sub(o.cachedLoadAt) >= loadInterval {
		o.cachedLoad, o.cachedLoadAt = o.engine.Load(now), now
	}
	return o.cachedLoad
}

// knownLoad returns the load of the shard as its owner told it, the zero value if that
// is too long ago or the owner may not be able to store jobs.
func (s *shard) knownLoad(now time.Time) balance.Load {
	if o := s.owned.Load(); o != nil {
		return o.load()
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.view.storeLost || s.view.owner.Released || now.Sub(s.view.heard) > loadMemory {
		return balance.Load{}
	}
	return s.view.load
}

// chooseShard returns the shard that is to get a new job. A job that another shard gave
// to this one stays.
func (o *owner) chooseShard(j *dispatch.Job) shardID {
	own := o.shard.id
	if o.shard.count == 1 || o.isForeign(j.ID) {
		return own
	}
	demand := j.Demand()
	chosen := shardID(balance.Choose(int(own), demand, o.knownLoads()))
	o.node.allShards()[chosen].expect(demand)
	return chosen
}

// isForeign reports whether the id of a job belongs to another shard, which gave the job
// to this one.
func (o *owner) isForeign(id dispatch.JobID) bool {
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

// expect adds a job to the known load of the shard until its owner tells a new one.
func (s *shard) expect(d balance.Demand) {
	if o := s.owned.Load(); o != nil {
		o.lock.Lock()
		defer o.lock.Unlock()
		o.cachedLoad = o.cachedLoad.Add(d)
		return
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	s.view.load = s.view.load.Add(d)
}
