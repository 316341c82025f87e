package dispatcher

import (
	"time"
)

// suspensionTolerance is the largest increase that isn't treated as a suspension,
// because the two compared clocks may differ slightly.
const suspensionTolerance = 150 * time.Millisecond

// suspension detects that the machine was suspended. The monotonic clock doesn't count
// that time, so every computed age would be too small.
type suspension struct {
	known bool
	total time.Duration
}

// hasGrown reports whether the total time that the machine has been suspended has grown
// by more than suspensionTolerance since it last returned true. The first call only
// records the total.
func (s *suspension) hasGrown(total time.Duration) bool {
	grown := s.known && total-s.total > suspensionTolerance
	if !s.known || grown {
		s.known, s.total = true, total
	}
	return grown
}

// checkSuspension withdraws the owner's authority after a suspension until a
// transaction confirms that no other instance has replaced it.
func (o *owner) checkSuspension(now time.Time) {
	if o.node.SuspendedTime == nil || !o.suspension.hasGrown(o.node.SuspendedTime()) {
		return
	}
	o.node.Counters.Add("Owner.Suspended", 1)
	o.node.Log.Warn().Int64("Epoch", int64(o.epoch)).Msg("the machine was suspended")
	o.lock.Lock()
	defer o.lock.Unlock()
	o.authority = authority{storedAt: now.Add(-2 * authorityTerm)}
	o.requestWrite()
}
