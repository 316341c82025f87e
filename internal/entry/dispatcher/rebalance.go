package dispatcher

import (
	"context"
	"time"
)

const (
	// loadDelayPerShard is the extra delay before a claim for each unit of relative load
	// by which the instance would exceed the least loaded instance. A strong instance that
	// would get its second shard must wait longer than maxLatencyDelay, the delay of an
	// equally strong instance with a slow connection to the store.
	loadDelayPerShard = 600 * time.Millisecond
	// maxLoadDelay limits the delay of a claim that depends on the load.
	maxLoadDelay = 800 * time.Millisecond
	// maxClaimJitter distributes the shards over instances with equal loads: each pair of
	// instance and shard gets one of claimJitterSteps fixed delays below this limit.
	maxClaimJitter   = 60 * time.Millisecond
	claimJitterSteps = 16
	// rebalanceInterval is the time between two checks whether another instance should own
	// one of the shards.
	rebalanceInterval = 5 * time.Second
	// rebalanceCooldown is the minimum time between two releases, because the other
	// instance may not be able to claim the shard.
	rebalanceCooldown = 30 * time.Second
	// minRebalanceGain is how much lower the relative load of another instance, with one
	// more shard, must be for this instance to release a shard. The value is below the
	// gain when an instance of twice the mean strength releases one of two shards. A
	// smaller gain isn't worth a release, which leaves the shard without an owner for a
	// moment.
	minRebalanceGain = 0.45
)

// relativeLoad returns the number of an instance's shards relative to its share of
// processors. It is 1 for an instance with the mean share and one shard.
func relativeLoad(shards int, cores, meanCores float64) float64 {
	if cores <= 0 || meanCores <= 0 {
		return float64(shards)
	}
	return float64(shards) * meanCores / cores
}

// leastRelativeLoad returns the lowest relative load that any of the instances would
// have with one more shard. It returns false if there are no instances.
func leastRelativeLoad(others []peer, meanCores float64) (float64, bool) {
	least, found := 0.0, false
	for _, p := range others {
		if load := relativeLoad(p.Owned+1, p.Cores, meanCores); !found || load < least {
			least, found = load, true
		}
	}
	return least, found
}

// loadDelay returns how long an instance that owns some shards waits before it claims
// another one, so that a stronger or less loaded instance can claim it first.
func loadDelay(owned int, cores float64, others []peer) time.Duration {
	mean := meanCores(cores, others)
	ownLoad := relativeLoad(owned+1, cores, mean)
	leastLoad, found := leastRelativeLoad(others, mean)
	if !found {
		leastLoad = relativeLoad(1, cores, mean)
	}
	return min(time.Duration(max(ownLoad-leastLoad, 0)*float64(loadDelayPerShard)), maxLoadDelay)
}

// shouldRelease reports whether an instance should release one of its shards to another
// instance.
func shouldRelease(owned int, cores float64, others []peer) bool {
	mean := meanCores(cores, others)
	leastLoad, found := leastRelativeLoad(others, mean)
	return owned > 0 && found && relativeLoad(owned, cores, mean)-leastLoad >= minRebalanceGain
}

// meanCores returns the mean share of processors of an instance and its peers.
func meanCores(own float64, others []peer) float64 {
	total, count := own, 1
	for _, p := range others {
		if p.Cores > 0 {
			total += p.Cores
			count++
		}
	}
	return total / float64(count)
}

// claimLoadDelay returns the load-dependent delay before this instance claims the shard,
// plus jitter.
func (s *shard) claimLoadDelay() time.Duration {
	n := s.node
	delay := loadDelay(n.ownedOrClaiming(), n.Cores, n.livePeers())
	if s.count > 1 {
		delay += maxClaimJitter * time.Duration(shardOf(string(n.Name)+string(s.partition), claimJitterSteps)) / claimJitterSteps
	}
	return delay
}

// ownedOrClaiming returns the number of shards that this instance owns or is about to
// claim. It is called during a claim, and doesn't count that one.
func (n *Node) ownedOrClaiming() int {
	return len(n.ownedShards()) + int(n.claimsInProgress.Load()) - 1
}

// runRebalancing releases shards while other instances have a lower relative load.
func (n *Node) runRebalancing(ctx context.Context) error {
	var releasedAt time.Time
	return n.every(ctx, rebalanceInterval, func() {
		owned := n.ownedShards()
		now := n.Clock.Now()
		if n.draining.Load() || now.Sub(releasedAt) < rebalanceCooldown || !shouldRelease(len(owned), n.Cores, n.livePeers()) {
			return
		}
		releasedAt = now
		n.Counters.Add("Owner.Rebalanced", 1)
		last := owned[len(owned)-1]
		last.setEndReason("another instance has a lower relative load")
		last.releaseShard()
	})
}
