// Package fanin decides which instances of a large deployment read what and call whom, so that
// the load of the store, the owners and the links between regions grows with the number of
// instances and not with its square. In a small deployment every instance does so itself, which
// is faster.
package fanin

import (
	"cmp"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

const (
	// maxSmallInstances and maxSmallShards limit a small deployment.
	maxSmallInstances = 64
	maxSmallShards    = 8
	// silentSeedPatience is how long an instance that isn't a seed leaves the list of workers to the
	// seeds, which need it to choose the number of shards, if none answers, and seedPatience how
	// long it does so otherwise. A seed that has just started knows few of many instances.
	silentSeedPatience = time.Second
	seedPatience       = 3 * time.Second
	// seedSpread and largeSeedSpread are the times over which the other instances begin to read the
	// list if the seeds haven't chosen the number of shards by then. An instance that knows no
	// other one may still be one of many.
	seedSpread      = 4 * time.Second
	largeSeedSpread = 8 * time.Second
	// maxSeedPatience is how long an instance leaves the list to seeds that report that they read it.
	maxSeedPatience = 30 * time.Second
	// claimantCount is the number of instances that claim a shard without an owner at once, and
	// claimStep is how much later each further group of as many instances does.
	claimantCount = 5
	claimStep     = 750 * time.Millisecond
	// maxClaimWait limits how much later an instance claims a shard than the first ones.
	maxClaimWait = 4 * time.Second
)

// IsLarge reports whether a deployment is large, given the number of its shards and the instances
// that are known, 0 if unknown.
func IsLarge(instances, shards int) bool {
	return instances > maxSmallInstances || shards > maxSmallShards
}

// ListReaderDelay returns how long an instance that isn't a seed leaves the list of workers to the
// seeds while none of them reports that it reads the list, given the number of other instances that
// it knows, 0 if no seed has answered.
func ListReaderDelay(self membership.InstanceID, known int) time.Duration {
	switch {
	case known == 0:
		return silentSeedPatience + fraction(seedSpread, string(self))
	case IsLarge(known+1, 0):
		return seedPatience + fraction(largeSeedSpread, string(self))
	}
	return seedPatience
}

// MaxListReaderDelay returns how long after its start an instance that isn't a seed leaves the list
// of workers to the seeds if they read it, but don't choose the number of shards.
func MaxListReaderDelay(self membership.InstanceID) time.Duration {
	return maxSeedPatience + fraction(largeSeedSpread, string(self))
}

// fraction returns a fixed part of a duration for a name, evenly distributed over the names.
func fraction(d time.Duration, name string) time.Duration {
	const steps = 1 << 10
	return d * time.Duration(xxhash.Sum64String(name)%steps) / steps
}

// SeedOfRound returns which of the configured seeds an instance calls in a round. The instances
// begin with different ones, and each calls them in turn.
func SeedOfRound(self membership.InstanceID, round, seeds int) int {
	return int((xxhash.Sum64String(string(self)) + uint64(round)) % uint64(seeds))
}

// Instance is what the decisions need to know of an instance.
type Instance struct {
	Name  membership.InstanceID
	Cores float64
	// Zone is empty if it isn't known.
	Zone membership.Zone
}

// compareFor returns a negative number if a goes before b for a purpose: the stronger one and,
// with equal strength, the one with the lower hash, so that different instances are first for
// different purposes.
func compareFor(purpose string, a, b Instance) int {
	return cmp.Or(
		cmp.Compare(b.Cores, a.Cores),
		cmp.Compare(rank(purpose, a.Name), rank(purpose, b.Name)),
		cmp.Compare(a.Name, b.Name),
	)
}

func rank(purpose string, name membership.InstanceID) uint64 {
	return xxhash.Sum64String(purpose + "/" + string(name))
}

// ClaimWait returns how long an instance leaves a shard without an owner to those that go before
// it, so that not all read the owner's row and try to claim the shard at the same time. It is 0
// for the first ones, which watch the shard.
func ClaimWait(shard string, self Instance, others []Instance) time.Duration {
	before := 0
	for _, other := range others {
		if compareFor(shard, other, self) < 0 {
			before++
		}
	}
	return min(time.Duration(before/claimantCount)*claimStep, maxClaimWait)
}
