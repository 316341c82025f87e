// Package permit keeps an availability zone's right to start tasks.
package permit

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/chart"
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

	mu sync.Mutex
	// state is empty before the first read.
	state    chart.ZoneState
	began    time.Time
	returned time.Time
}

// Observe takes in the zone's row as a read showed it that began at the given time.
// A read that began before the last one changes nothing.
func (p *Permit) Observe(began time.Time, status zone.Status) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.state != "" && began.Before(p.began) {
		return
	}
	p.began = began
	event := chart.ZoneOnBringBack
	if status.IsOut() {
		event = chart.ZoneOnTakeOut
	}
	if before := p.state; p.move(event) == chart.ZoneReturning && before == chart.ZoneOut {
		p.returned = p.Clock.Now()
	}
}

// move changes the state as the chart of zones says and returns it. The lock is
// held.
func (p *Permit) move(event chart.ZoneEvent) chart.ZoneState {
	if p.state == "" {
		p.state = chart.Zone().Initial()
	}
	if next, err := chart.Zone().Next(p.state, event); err == nil {
		p.state = next
	}
	return p.state
}

// StartsUntil returns until when tasks may start, by the clock of this instance.
func (p *Permit) StartsUntil(now time.Time) (time.Time, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	until := p.began.Add(Term)
	if p.state == "" || p.state == chart.ZoneOut || !now.Before(until) {
		return time.Time{}, false
	}
	return until, true
}

// IsOut reports whether the zone was out of service when last seen.
func (p *Permit) IsOut() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state == chart.ZoneOut
}

// Ramp returns the bound on starts per second after a return to service, and 0
// when there is none.
func (p *Permit) Ramp(now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.state != chart.ZoneReturning || p.RampDuration == nil {
		return 0
	}
	length := p.RampDuration()
	passed := now.Sub(p.returned)
	if passed >= length {
		p.move(chart.ZoneOnRamped)
		return 0
	}
	return rampFrom + int(float64(rampTo-rampFrom)*float64(passed)/float64(length))
}
