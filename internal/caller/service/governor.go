package service

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/admission"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/manifest"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// AdmissionGovernor is a Governor that keeps an admission.Controller for each service. A
// slot source shares that state through WithState. The zero value with a Clock is ready to
// use.
type AdmissionGovernor struct {
	Clock    clockwork.Clock
	mutex    sync.Mutex
	services map[manifest.ServiceName]*admission.Controller
}

// WithState calls fn with the state of a service while holding the lock. service must be
// in the manifest, since the state of a name is never removed.
func (g *AdmissionGovernor) WithState(service manifest.ServiceName, fn func(now time.Time, state *admission.Controller)) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	state := g.services[service]
	if state == nil {
		if g.services == nil {
			g.services = map[manifest.ServiceName]*admission.Controller{}
		}
		state = &admission.Controller{}
		g.services[service] = state
	}
	fn(g.Clock.Now(), state)
}

// CreditRetryBudget adds the share of one request to the retry budget of a service.
func (g *AdmissionGovernor) CreditRetryBudget(service manifest.Service) {
	g.WithState(service.Name, func(_ time.Time, state *admission.Controller) {
		state.RetryBudget.Credit(service.RetryShare)
	})
}

// AllowExtraAttempt takes one retry or hedge from the retry budget and reports whether
// there was one.
func (g *AdmissionGovernor) AllowExtraAttempt(service manifest.Service) (allowed bool) {
	g.WithState(service.Name, func(_ time.Time, state *admission.Controller) {
		allowed = state.RetryBudget.Spend()
	})
	return allowed
}

// HedgeDelay returns the delay before a hedge, or false for no hedge.
func (g *AdmissionGovernor) HedgeDelay(service manifest.Service) (delay time.Duration, ok bool) {
	g.WithState(service.Name, func(now time.Time, state *admission.Controller) {
		delay, ok = state.HedgeDelay(now, service.HedgePercentile)
	})
	return delay, ok
}

// Observe records the result of an attempt on an executor.
func (g *AdmissionGovernor) Observe(service manifest.Service, executor membership.InstanceID, observation Observation) {
	g.WithState(service.Name, func(now time.Time, state *admission.Controller) {
		state.Observe(now, executor, admission.Observation{
			Duration:  observation.Duration,
			Failed:    observation.Outcome != Completed,
			Cancelled: observation.Cancelled,
			Timeout:   observation.Timeout,
		})
	})
}
