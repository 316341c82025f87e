package dispatcher

import (
	"github.com/cespare/xxhash/v2"

	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// watchesClosely reports whether this instance looks at the owner at each tick: it
// belongs to the watchers of the shard, owns another shard and needs to know the load,
// or has to find the owner first.
func (s *shard) watchesClosely() bool {
	current := s.currentView()
	if current.owner.Address == "" || current.owner.Released || len(s.node.ownedShards()) > 0 {
		return true
	}
	if s.node.Clock.Now().Sub(current.heard) > distantTicks*helloInterval+silentAfter {
		return true
	}
	return isWatcher(s.partition, s.node.Name, s.node.otherNames())
}

// isWatcher reports whether an instance is among the watchers of a shard, given the
// others. Rendezvous hashing chooses others for each shard, and replaces only those
// that are gone.
func isWatcher(shard partition, name membership.InstanceID, others []membership.InstanceID) bool {
	own := watchRank(shard, name)
	before := 0
	for _, other := range others {
		if watchRank(shard, other) < own {
			before++
		}
	}
	return before < watchers
}

func watchRank(shard partition, name membership.InstanceID) uint64 {
	return xxhash.Sum64String(string(shard) + "/" + string(name))
}
