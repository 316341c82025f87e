package dispatcher

import (
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/fanin"
)

// claimWaitMaxAge is how long the place of this instance among those that may claim a shard is
// kept. It changes only with the known instances.
const claimWaitMaxAge = 500 * time.Millisecond

// isClaimant reports whether this instance is among the first to claim the shard.
func (s *shard) isClaimant() bool {
	return s.currentClaimWait() == 0
}

// currentClaimWait returns how long this instance leaves the shard to others when it has no owner.
func (s *shard) currentClaimWait() time.Duration {
	now := s.node.Clock.Now()
	s.lock.Lock()
	wait, fresh := s.claimWait, !s.claimWaitAt.IsZero() && now.Sub(s.claimWaitAt) < claimWaitMaxAge
	s.lock.Unlock()
	if fresh {
		return wait
	}
	wait = fanin.ClaimWait(string(s.partition), s.node.faninInstance(), s.node.faninInstances())
	s.lock.Lock()
	defer s.lock.Unlock()
	s.claimWait, s.claimWaitAt = wait, now
	return wait
}

// mayClaim reports whether this instance may read the owner's row to claim the shard. In a
// large deployment only a few instances do so at once, and others when these haven't claimed it
// for a while, and none does before it has met the others.
func (s *shard) mayClaim() bool {
	if !s.node.isLarge() {
		return true
	}
	if s.node.meetingPeers.Load() {
		return false
	}
	wait := s.currentClaimWait()
	return wait == 0 || s.vacantFor() >= wait
}

// vacantFor returns for how long the shard has seemed to need another owner.
func (s *shard) vacantFor() time.Duration {
	needsOwner := s.isLongSilent()
	now := s.node.Clock.Now()
	s.lock.Lock()
	defer s.lock.Unlock()
	switch {
	case !needsOwner:
		s.vacantSince = time.Time{}
		return 0
	case s.vacantSince.IsZero():
		s.vacantSince = now
	}
	return now.Sub(s.vacantSince)
}

// isLongSilent reports whether the shard may need another owner, as seen by an instance that
// calls the owner only every few ticks.
func (s *shard) isLongSilent() bool {
	current := s.currentView()
	silentFor := s.node.Clock.Now().Sub(current.answeredAt)
	return current.storeLost || current.owner.Released || silentFor > nonWatcherTicks*helloInterval+ownerSilentAfter
}
