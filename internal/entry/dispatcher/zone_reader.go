package dispatcher

import (
	"cmp"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// zoneReader returns the instance from which an instance of a zone reads the operator's rows: the
// strongest one, because it sends them to all others, and with equal strength the one with the
// lowest hash. It returns false if that is the instance itself. Only instances for which mayRead
// returns true are considered.
func zoneReader(zone membership.Zone, self peer, others []peer, mayRead func(peer) bool) (peer, bool) {
	best := self
	for _, p := range others {
		if mayRead(p) && compareReaders(zone, p, best) < 0 {
			best = p
		}
	}
	return best, best.Name != self.Name
}

// compareReaders returns a negative number if a zone should rather read from a than from b.
func compareReaders(zone membership.Zone, a, b peer) int {
	return cmp.Or(
		cmp.Compare(b.Cores, a.Cores),
		cmp.Compare(readerRank(zone, a.Name), readerRank(zone, b.Name)),
		cmp.Compare(a.Name, b.Name),
	)
}

func readerRank(zone membership.Zone, name membership.InstanceID) uint64 {
	return xxhash.Sum64String(string(zone) + "/" + string(name))
}
