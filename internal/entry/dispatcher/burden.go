package dispatcher

import (
	"context"
	"time"
)

const (
	// loadDelayPerShard is how much later an instance claims a shard for each shard of a mean
	// instance that it would carry more than the least burdened one. A second shard on a
	// strong instance has to outweigh maxClaimDelay, with which an equally strong one far
	// from the store claims it.
	loadDelayPerShard = 600 * time.Millisecond
	// maxLoadDelay bounds that delay.
	maxLoadDelay = 800 * time.Millisecond
	// maxClaimJitter spreads the claims of instances that are alike over shards, in
	// spreadSteps different delays.
	maxClaimJitter   = 60 * time.Millisecond
	claimJitterSteps = 16
	// rebalanceInterval is the time between two looks whether another instance should
	// own one of the shards.
	rebalanceInterval = 5 * time.Second
	// rebalanceCooldown is the least time between two releases: the other instance may not be
	// able to claim the shard.
	rebalanceCooldown = 30 * time.Second
	// minRebalanceGain is by how many shards of a mean instance another one must be less
	// burdened, with one shard more, for a shard to be released: less than what an
	// instance of twice the mean strength saves that has two shards. Each release leaves
	// the shard without an owner for a moment.
	minRebalanceGain = 0.45
)

// relativeLoad is the load of an instance with a number of shards: 1 for an instance of mean
// strength with one shard.
func relativeLoad(shards int, cores, meanCores float64) float64 {
	if cores <= 0 || meanCores <= 0 {
		return float64(shards)
	}
	return float64(shards) * meanCores / cores
}

// leastRelativeLoad returns the burden of the least burdened of some instances if it got one
// shard more, and false for no instances.
func leastRelativeLoad(others []peer, meanCores float64) (float64, bool) {
	least, found := 0.0, false
	for _, p := range others {
		if b := relativeLoad(p.Owned+1, p.Cores, meanCores); !found || b < least {
			least, found = b, true
		}
	}
	return least, found
}

// loadDelay returns how long an instance with a number of shards waits before it claims
// a further one, so that a stronger or less loaded one comes first.
func loadDelay(owned int, cores float64, others []peer) time.Duration {
	mean := meanCores(cores, others)
	own := relativeLoad(owned+1, cores, mean)
	least, found := leastRelativeLoad(others, mean)
	if !found {
		least = relativeLoad(1, cores, mean)
	}
	return min(time.Duration(max(own-least, 0)*float64(loadDelayPerShard)), maxLoadDelay)
}

// shouldRelease reports whether an instance should give one of its shards to another.
func shouldRelease(owned int, cores float64, others []peer) bool {
	mean := meanCores(cores, others)
	least, found := leastRelativeLoad(others, mean)
	return owned > 0 && found && relativeLoad(owned, cores, mean)-least >= minRebalanceGain
}

// meanCores returns the mean share of processors of an instance and others.
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

// claimLoadDelay returns the delay of a claim for this instance and shard.
func (s *shard) claimLoadDelay() time.Duration {
	n := s.node
	delay := loadDelay(n.ownedOrClaiming(), n.Cores, n.others())
	if s.count > 1 {
		delay += maxClaimJitter * time.Duration(shardOf(string(n.Name)+string(s.partition), claimJitterSteps)) / claimJitterSteps
	}
	return delay
}

// ownedOrClaiming returns the number of shards that this instance owns or is about to claim.
func (n *Node) ownedOrClaiming() int {
	return len(n.ownedShards()) + int(n.claimsInProgress.Load()) - 1
}

// runRebalancing releases shards while other instances carry less.
func (n *Node) runRebalancing(ctx context.Context) error {
	var released time.Time
	return n.every(ctx, rebalanceInterval, func() {
		owned := n.ownedShards()
		now := n.Clock.Now()
		if n.draining.Load() || now.Sub(released) < rebalanceCooldown || !shouldRelease(len(owned), n.Cores, n.others()) {
			return
		}
		released = now
		n.Counters.Add("Owner.Rebalanced", 1)
		last := owned[len(owned)-1]
		last.setEndReason("another instance carries less")
		last.releaseShard()
	})
}
