package dispatcher

import (
	"time"
)

// suspensionSlack is the difference of two clocks that is no suspension.
const suspensionSlack = 150 * time.Millisecond

// suspension notices that the machine was suspended: the steady clock doesn't count
// that time, so that every age would be too small.
type suspension struct {
	known bool
	total time.Duration
}

// noticed takes the time for which the machine has been suspended since its start
// and reports whether it has grown.
func (s *suspension) noticed(total time.Duration) bool {
	grown := s.known && total-s.total > suspensionSlack
	if !s.known || grown {
		s.known, s.total = true, total
	}
	return grown
}

// checkSuspension takes away the owner's authority after a suspension, until a
// transaction proves that nobody has replaced it meanwhile.
func (o *owner) checkSuspension(now time.Time) {
	if o.node.Suspended == nil || !o.suspension.noticed(o.node.Suspended()) {
		return
	}
	o.node.Counters.Add("Owner.Suspended", 1)
	o.node.Log.Warn().Int64("Epoch", int64(o.epoch)).Msg("the machine was suspended")
	o.lock.Lock()
	defer o.lock.Unlock()
	o.authority = authority{storedAt: now.Add(-2 * authorityTerm)}
	o.requestWrite()
}
