package dispatcher

import (
	"github.com/cespare/xxhash/v2"

	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// checksEveryTick reports whether this instance checks the owner at each tick. It does
// so if it is one of the watchers of the shard, if it owns another shard and so needs
// to know the load, or if it has to find the owner first.
func (s *shard) checksEveryTick() bool {
	if s.node.isLarge() {
		return len(s.node.ownedShards()) > 0 || s.isClaimant()
	}
	current := s.currentView()
	if current.owner.Address == "" || current.owner.Released || len(s.node.ownedShards()) > 0 {
		return true
	}
	if s.node.Clock.Now().Sub(current.answeredAt) > nonWatcherTicks*helloInterval+ownerSilentAfter {
		return true
	}
	return isWatcher(s.partition, s.node.Name, s.node.livePeerNames())
}

// isWatcher reports whether an instance is among the watchers of a shard, given the
// other instances. Rendezvous hashing chooses different watchers for each shard, and
// replaces only watchers that are gone.
func isWatcher(shard partition, name membership.InstanceID, others []membership.InstanceID) bool {
	ownRank := watcherRank(shard, name)
	lowerRanks := 0
	for _, other := range others {
		if watcherRank(shard, other) < ownRank {
			lowerRanks++
		}
	}
	return lowerRanks < watcherCount
}

func watcherRank(shard partition, name membership.InstanceID) uint64 {
	return xxhash.Sum64String(string(shard) + "/" + string(name))
}
