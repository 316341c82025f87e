package routing

import (
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/admission"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/manifest"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// Share is a Hand with a fixed share of each executor in the same availability
// zone: its slots divided by the number of entry instances there.
type Share struct {
	Zone       membership.Zone
	Membership interface{ Snapshot() membership.Snapshot }

	inUse map[membership.InstanceID]int
}

// Candidates returns the executors of a service in the zone.
func (s *Share) Candidates(_ time.Time, name manifest.ServiceName) []admission.Candidate {
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
func (s *Share) Take(_ time.Time, _ manifest.ServiceName, executor membership.InstanceID) (Use, string, bool) {
	for _, instance := range s.Membership.Snapshot().Instances {
		if instance.ID != executor {
			continue
		}
		if s.inUse == nil {
			s.inUse = map[membership.InstanceID]int{}
		}
		s.inUse[executor]++
		return &shareUse{share: s, executor: executor}, instance.Address, true
	}
	return nil, "", false
}

// Wants does nothing: the share is fixed.
func (s *Share) Wants(manifest.ServiceName, int) {}

// shareUse is a slot of the share in use.
type shareUse struct {
	share    *Share
	executor membership.InstanceID
	returned bool
}

// FirstByte gives the slot of a feed back.
func (u *shareUse) FirstByte(time.Time) {
	if !u.returned {
		u.returned = true
		u.share.inUse[u.executor]--
	}
}

// End gives the slot back.
func (u *shareUse) End(now time.Time, _ bool, _ time.Time) {
	u.FirstByte(now)
}
