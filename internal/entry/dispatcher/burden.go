package dispatcher

import "time"

const (
	// burdenStep is how much later an instance claims a shard for each mean instance's
	// load of one shard that it would carry too much.
	burdenStep = 250 * time.Millisecond
	// maxBurdenDelay bounds that delay.
	maxBurdenDelay = 800 * time.Millisecond
	// spreadDelay spreads the claims of instances that are alike over shards.
	spreadDelay = 60 * time.Millisecond
)

// burden is the load of an instance with a number of shards: 1 for an instance of mean
// strength with one shard.
func burden(shards int, cores, meanCores float64) float64 {
	if cores <= 0 || meanCores <= 0 {
		return float64(shards)
	}
	return float64(shards) * meanCores / cores
}

// claimDelay returns how long an instance waits before it claims a further shard, so
// that a stronger or less loaded one comes first.
func claimDelay(owned int, cores, meanCores float64) time.Duration {
	surplus := max(burden(owned+1, cores, meanCores)-1, 0)
	return min(time.Duration(surplus*float64(burdenStep)), maxBurdenDelay)
}

// burdenDelay returns that delay for this instance and shard.
func (s *shard) burdenDelay() time.Duration {
	n := s.node
	delay := claimDelay(len(n.ownedShards()), n.Cores, n.meanCores())
	if s.count > 1 {
		delay += spreadDelay * time.Duration(shardOf(string(n.Name)+string(s.part), spreadSteps)) / spreadSteps
	}
	return delay
}

// spreadSteps is the number of different delays that spread claims.
const spreadSteps = 16

// meanCores returns the mean share of processors of the known instances.
func (n *Node) meanCores() float64 {
	total, count := n.Cores, 1
	for _, p := range n.others() {
		if p.Cores > 0 {
			total += p.Cores
			count++
		}
	}
	return total / float64(count)
}
