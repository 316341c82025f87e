package service

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/admission"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/manifest"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// AdmissionGovernor is a Governor that decides by package admission. A slot
// source shares its state through With. The zero value with a Clock is ready.
type AdmissionGovernor struct {
	Clock    clockwork.Clock
	mutex    sync.Mutex
	services map[manifest.ServiceName]*admission.Service
}

// With calls use with the state of a service, which is locked meanwhile. Only
// names of services of the manifest may be passed, since each keeps its state.
func (g *AdmissionGovernor) With(service manifest.ServiceName, use func(now time.Time, state *admission.Service)) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	state := g.services[service]
	if state == nil {
		if g.services == nil {
			g.services = map[manifest.ServiceName]*admission.Service{}
		}
		state = &admission.Service{}
		g.services[service] = state
	}
	use(g.Clock.Now(), state)
}

// Arrived credits the retry budget of a service with one request.
func (g *AdmissionGovernor) Arrived(service manifest.Service) {
	g.With(service.Name, func(_ time.Time, state *admission.Service) {
		state.RetryBudget.Credit(service.RetryShare)
	})
}

// AllowExtra takes one retry or hedge from the budget.
func (g *AdmissionGovernor) AllowExtra(service manifest.Service) (allowed bool) {
	g.With(service.Name, func(_ time.Time, state *admission.Service) {
		allowed = state.RetryBudget.Spend()
	})
	return allowed
}

// HedgeDelay returns how long to wait before a hedge, and false for no hedge.
func (g *AdmissionGovernor) HedgeDelay(service manifest.Service) (delay time.Duration, ok bool) {
	g.With(service.Name, func(now time.Time, state *admission.Service) {
		delay, ok = state.HedgeDelay(now, service.HedgePercentile)
	})
	return delay, ok
}

// Observe reports how an attempt on an executor ended.
func (g *AdmissionGovernor) Observe(service manifest.Service, executor membership.InstanceID, seen Observation) {
	g.With(service.Name, func(now time.Time, state *admission.Service) {
		state.Observe(now, executor, admission.Observation{
			Duration:  seen.Took,
			Failed:    seen.Outcome != Completed,
			Cancelled: seen.Cancelled,
			Timeout:   seen.Limit,
		})
	})
}
