// Package routing has the slots of executors that this entry instance has in hand,
// and sends requests to executors.
package routing

import (
	"sync"

	"github.com/jacinthtrail/jacinthtrail/internal/caller/service"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/admission"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/manifest"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// Share has a fixed share of each executor in the same availability zone: its
// slots divided by the number of entry instances there. It implements
// service.Holdings.
type Share struct {
	Zone       membership.Zone
	Membership interface{ Snapshot() membership.Snapshot }

	mu    sync.Mutex
	inUse map[membership.InstanceID]int
}

// Candidates returns the executors of a service in the zone.
func (s *Share) Candidates(name manifest.ServiceName) []admission.Candidate {
	s.mu.Lock()
	defer s.mu.Unlock()
	snapshot := s.Membership.Snapshot()
	entries := 0
	for _, instance := range snapshot.Instances {
		if instance.Kind == membership.Entry && instance.Zone == s.Zone {
			entries++
		}
	}
	var candidates []admission.Candidate
	for _, instance := range snapshot.Instances {
		if instance.Kind != membership.Executor || instance.Service != string(name) || instance.Zone != s.Zone {
			continue
		}
		if instance.State == membership.Leaving || entries == 0 {
			continue
		}
		candidates = append(candidates, admission.Candidate{
			Executor: instance.ID, Slots: instance.Slots / entries, InUse: s.inUse[instance.ID],
		})
	}
	return candidates
}

// Take takes a slot of the share.
func (s *Share) Take(_ manifest.ServiceName, executor membership.InstanceID, _ bool) (service.Slot, bool) {
	for _, instance := range s.Membership.Snapshot().Instances {
		if instance.ID == executor {
			s.use(executor, 1)
			put := sync.OnceFunc(func() { s.use(executor, -1) })
			return service.Slot{
				Executor: executor, Address: instance.Address, FirstByte: put,
				Release: func(service.SlotUse) { put() },
			}, true
		}
	}
	return service.Slot{}, false
}

func (s *Share) use(executor membership.InstanceID, change int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inUse == nil {
		s.inUse = map[membership.InstanceID]int{}
	}
	s.inUse[executor] += change
}

// Wanted does nothing: the share is fixed.
func (s *Share) Wanted(manifest.ServiceName, int) {}
