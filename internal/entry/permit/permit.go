// Package permit decides whether tasks may start in an availability zone, from reads of
// the zone's row in the table.
package permit

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/chart"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/zone"
)

// Validity is how long a read of the zone's row permits starts, counted from the start of
// the read. Including clock drift and the worker's own check, no task starts more than 3 s
// after the zone is taken out of service.
const Validity = 2500 * time.Millisecond

// Limits at the start and the end of the ramp after a return to service, in starts per
// second.
const (
	rampInitialRate = 10
	rampFinalRate   = 500
)

// Permit tracks whether tasks may start in one availability zone, and how many per second.
// It is safe for concurrent use.
type Permit struct {
	// Clock gives the time at which a return to service is observed.
	Clock clockwork.Clock
	// RampDuration returns the length of the ramp after a return to service. If it is nil,
	// there is no ramp.
	RampDuration func() time.Duration

	mu sync.Mutex
	// state is the state of the zone, or empty before the first read.
	state           chart.ZoneState
	lastReadStarted time.Time
	returnedAt      time.Time
}

// Observe updates the permit from a read of the zone's row that started at readStarted.
// It ignores a read that started before the one last observed.
func (p *Permit) Observe(readStarted time.Time, status zone.Status) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.state != "" && readStarted.Before(p.lastReadStarted) {
		return
	}
	p.lastReadStarted = readStarted
	event := chart.ZoneOnBringBack
	if status.OutOfService() {
		event = chart.ZoneOnTakeOut
	}
	if previous := p.state; p.applyEvent(event) == chart.ZoneReturning && previous == chart.ZoneOut {
		p.returnedAt = p.Clock.Now()
	}
}

// applyEvent applies the transition of the zone state chart for event and returns the new
// state. An event that has no transition in the current state is ignored. The caller must
// hold p.mu.
func (p *Permit) applyEvent(event chart.ZoneEvent) chart.ZoneState {
	if p.state == "" {
		p.state = chart.Zone().Initial()
	}
	if next, err := chart.Zone().Next(p.state, event); err == nil {
		p.state = next
	}
	return p.state
}

// StartsUntil returns the time until which tasks may start, by the clock of this instance.
// The result is false if none may start.
func (p *Permit) StartsUntil(now time.Time) (time.Time, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	until := p.lastReadStarted.Add(Validity)
	if p.state == "" || p.state == chart.ZoneOut || !now.Before(until) {
		return time.Time{}, false
	}
	return until, true
}

// IsOutOfService reports whether the zone was out of service at the last read.
func (p *Permit) IsOutOfService() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state == chart.ZoneOut
}

// StartRateLimit returns the maximum number of starts per second after a return to
// service, or 0 if there is no limit.
func (p *Permit) StartRateLimit(now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.state != chart.ZoneReturning || p.RampDuration == nil {
		return 0
	}
	rampDuration := p.RampDuration()
	elapsed := now.Sub(p.returnedAt)
	if elapsed >= rampDuration {
		p.applyEvent(chart.ZoneOnRampComplete)
		return 0
	}
	return rampInitialRate + int(float64(rampFinalRate-rampInitialRate)*float64(elapsed)/float64(rampDuration))
}
