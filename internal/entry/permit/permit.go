// Package permit keeps an availability zone's right to start tasks.
package permit

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/jacinthtrail/jacinthtrail/internal/operator/zone"
)

// Term is how long a read of the zone's row allows starts, from the beginning of
// the read. With the clock drift and the worker's own check it keeps every start
// within 3 s of the zone being taken out.
const Term = 2500 * time.Millisecond

// Ramp after a return to service, in starts per second.
const (
	rampFrom = 10
	rampTo   = 500
)

// Permit is the right of one availability zone to start tasks. It is safe for
// concurrent use.
type Permit struct {
	// Clock is read when a return to service is seen.
	Clock clockwork.Clock
	// RampDuration returns the length of the ramp after a return to service.
	RampDuration func() time.Duration

	mu       sync.Mutex
	known    bool
	status   zone.Status
	began    time.Time
	returned time.Time
}

// Observe takes in the zone's row as a read showed it that began at the given time.
func (p *Permit) Observe(began time.Time, status zone.Status) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.known && began.Before(p.began) {
		return
	}
	if p.known && p.status.IsOut() && !status.IsOut() {
		p.returned = p.Clock.Now()
	}
	p.known = true
	p.status = status
	p.began = began
}

// StartsUntil returns until when tasks may start, by the clock of this instance.
func (p *Permit) StartsUntil(now time.Time) (time.Time, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	until := p.began.Add(Term)
	if !p.known || p.status.IsOut() || !now.Before(until) {
		return time.Time{}, false
	}
	return until, true
}

// IsOut reports whether the zone was out of service when last seen.
func (p *Permit) IsOut() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.known && p.status.IsOut()
}

// Ramp returns the bound on starts per second after a return to service, and 0
// when there is none.
func (p *Permit) Ramp(now time.Time) int {
	p.mu.Lock()
	returned := p.returned
	p.mu.Unlock()
	if returned.IsZero() || p.RampDuration == nil {
		return 0
	}
	length := p.RampDuration()
	passed := now.Sub(returned)
	if passed >= length {
		return 0
	}
	return rampFrom + int(float64(rampTo-rampFrom)*float64(passed)/float64(length))
}
