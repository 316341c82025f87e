package ownership

import (
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/chart"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// Authority returns until when this instance may act for the shard, and whether it may
// act now. The owner calls it right before each such operation.
func (s *ShardView) Authority(now time.Time) (time.Time, bool) {
	if s.epoch == 0 || s.state == chart.OwnershipReleasing || now.Before(s.readyAt()) {
		return time.Time{}, false
	}
	until := s.confirmedAsOf.Add(s.config.AuthorityTerm)
	if promised := s.promisedUntil(); promised.After(until) {
		until = promised
	}
	return until, now.Before(until)
}

// readyAt returns the time from which no earlier owner can have authority.
func (s *ShardView) readyAt() time.Time {
	if s.row.Settled {
		return time.Time{}
	}
	term := s.config.waitWithDrift(s.config.AuthorityTerm)
	// Table reads that begin after the claim no longer confirm an earlier owner.
	ready := s.claimConfirmedAt.Add(term)
	// An earlier owner may rely on this instance's last promise until it expires.
	if !s.lastPromisedAt.IsZero() {
		ready = later(ready, s.lastPromisedAt.Add(term))
	}
	joined, _ := s.claimSet.Joined(s.zone.self)
	if joined <= s.row.Base || s.promiseRequired || !s.row.EarlierPromising {
		return ready
	}
	// This instance joined after an earlier owner's claim, so that owner may not know
	// that it needs this instance's promise. Wait until its isolation limit, or until
	// the last promise of an earlier member that knows of the claim has expired.
	earlierEnd := s.claimConfirmedAt.Add(s.config.waitWithDrift(s.config.MaxIsolation))
	if promiseEnd := s.earlierMemberAnsweredAt.Add(term); !s.earlierMemberAnsweredAt.IsZero() && promiseEnd.Before(earlierEnd) {
		earlierEnd = promiseEnd
	}
	return later(ready, earlierEnd)
}

// EarlierOwnersUntil returns the time from which no earlier owner has authority, as far
// as is known now. Timeouts for unreachable workers start at this time.
func (s *ShardView) EarlierOwnersUntil() time.Time {
	return s.readyAt()
}

// promisedUntil returns until when the promises of all other members last. It returns
// the zero time if a promise is missing or if there is no other member.
func (s *ShardView) promisedUntil() time.Time {
	required := s.requiredMembers()
	if len(required) == 0 || !s.row.Promising {
		return time.Time{}
	}
	until := s.confirmedAsOf.Add(s.config.MaxIsolation)
	for _, id := range required {
		sent, promised := s.promises[id]
		if !promised {
			return time.Time{}
		}
		if end := sent.Add(s.config.AuthorityTerm); end.Before(until) {
			until = end
		}
	}
	return until
}

// requiredMembers returns the members whose promises this owner needs: those of the
// last table read that confirmed this owner's epoch, and those in newer sets from
// peers. Members that are missing from a peer's newer set stay required, because they
// may have claimed the shard before they were removed.
func (s *ShardView) requiredMembers() []membership.InstanceID {
	var ids []membership.InstanceID
	for _, m := range s.confirmedSet.Members {
		if m.ID != s.zone.self {
			ids = append(ids, m.ID)
		}
	}
	for id := range s.additionalMembers {
		if _, member := s.confirmedSet.Joined(id); !member && id != s.zone.self {
			ids = append(ids, id)
		}
	}
	return ids
}

// addNewestMembers adds the members of the newest known set to the required ones.
func (s *ShardView) addNewestMembers() {
	newest := s.zone.newestSet
	if newest.Revision <= s.confirmedSet.Revision || newest.Revision <= s.additionalRevision {
		return
	}
	if s.additionalMembers == nil {
		s.additionalMembers = map[membership.InstanceID]bool{}
	}
	for _, m := range newest.Members {
		s.additionalMembers[m.ID] = true
	}
	s.additionalRevision = newest.Revision
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// LeaseRenewal returns until when this instance may renew the leases of workers that have
// accepted its epoch, and whether it may do so now. It doesn't wait for the end of
// earlier owners: a worker that accepted this epoch refuses theirs, and a renewal
// starts no task. If it waited, the leases of the failed owner's tasks would expire
// meanwhile.
func (s *ShardView) LeaseRenewal(now time.Time) (time.Time, bool) {
	if s.epoch == 0 || s.state == chart.OwnershipReleasing {
		return time.Time{}, false
	}
	until := later(s.confirmedAsOf.Add(s.config.AuthorityTerm), s.promisedUntil())
	return until, now.Before(until)
}
