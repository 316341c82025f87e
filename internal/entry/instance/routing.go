package instance

import (
	"context"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/executor"
	"github.com/jacinthtrail/jacinthtrail/internal/caller/service"
	"github.com/jacinthtrail/jacinthtrail/internal/entry/routing"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/control"
)

// slots is the instance's part of the routing of service requests.
type slots struct {
	*Instance
	router   *service.Router
	governor service.AdmissionGovernor
}

func newSlots(i *Instance) *slots {
	s := &slots{Instance: i}
	s.governor.Clock = i.clock
	s.router = service.NewRouter(&s.governor, &routing.Share{Zone: i.settings.Zone, Membership: i.members}, i.clock)
	return s
}

func (s *slots) run(context.Context) error {
	return nil
}

func (s *slots) registerMethods() {}

func (s *slots) returnAll(context.Context) {}

// serviceHandler returns the handler of service requests.
func (i *Instance) serviceHandler() *service.Handler {
	return service.NewHandler(service.Config{
		Slots:     i.slots.router,
		Sender:    routing.Sender{Client: &executor.Client{Clock: i.clock}},
		Manifests: &i.config,
		Governor:  &i.slots.governor,
		Keys:      service.KeyRouter{Tickets: i.ticketClaimer(), CallerMade: i.claims},
		Counters:  i.counters,
		Recorder:  recorder{i},
		Clock:     i.clock,
	})
}

// Record keeps a decision about a service request for Explain.
func (r recorder) Record(d service.Decision) {
	r.explanations.Add(control.Request, d.Request, control.Event{
		At: d.Time.UTC(), Instance: r.settings.ID, What: d.Action, Reason: string(d.Reason),
		Manifest: d.Manifest, Facts: d.Facts,
	})
}
