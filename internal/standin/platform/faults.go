package platform

import (
	"errors"
	"fmt"
	"time"
)

// Limits on the durations of faults.
const (
	MaxDelay         = time.Minute
	MaxMembershipLag = 10 * time.Minute
)

var errUnavailable = errors.New("outage")

// Faults are the faults injected into the services. Durations are in nanoseconds in
// JSON.
type Faults struct {
	Table      ServiceFaults
	Object     ServiceFaults
	Membership ServiceFaults
	// MembershipLag is the age of the membership list that callers see, up to
	// MaxMembershipLag.
	MembershipLag time.Duration
	// MembershipFrozen makes callers see the membership list as it was when the fault
	// was set.
	MembershipFrozen bool
}

// ServiceFaults are the faults of one service.
type ServiceFaults struct {
	// Outage refuses every request with the reason Unavailable. During an outage of the
	// membership list and for an announcement term after it, instances stay listed.
	Outage bool
	// Delay is added before each request takes effect, up to MaxDelay. A request takes
	// effect even if its caller stops waiting.
	Delay time.Duration
	// LoseAcknowledgements closes the connection instead of responding to a write,
	// after the write has taken effect.
	LoseAcknowledgements bool
}

func (f Faults) validate() error {
	for _, service := range []ServiceFaults{f.Table, f.Object, f.Membership} {
		if service.Delay < 0 || service.Delay > MaxDelay {
			return fmt.Errorf("%w: delay %v is outside 0 to %v", errInvalid, service.Delay, MaxDelay)
		}
	}
	if f.MembershipLag < 0 || f.MembershipLag > MaxMembershipLag {
		return fmt.Errorf("%w: membership lag %v is outside 0 to %v", errInvalid, f.MembershipLag, MaxMembershipLag)
	}
	return nil
}

func (f Faults) forService(service service) ServiceFaults {
	switch service {
	case tableService:
		return f.Table
	case objectService:
		return f.Object
	default:
		return f.Membership
	}
}

// SetFaults replaces the faults. It returns an error if a duration is out of range.
func (s *Server) SetFaults(faults Faults) error {
	if err := faults.validate(); err != nil {
		return err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = faults
	s.instances.setFaults(s.clock.Now(), faults)
	return nil
}

// Faults returns the faults that are set.
func (s *Server) Faults() Faults {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.faults
}

// delayOrRefuse waits for the delay of a service. It returns an error if the service
// has an outage after the delay.
func (s *Server) delayOrRefuse(service service) error {
	if delay := s.Faults().forService(service).Delay; delay > 0 {
		timer := s.clock.NewTimer(delay)
		defer timer.Stop()
		select {
		case <-timer.Chan():
		case <-s.closed:
			return errUnavailable
		}
	}
	if s.Faults().forService(service).Outage {
		return errUnavailable
	}
	return nil
}
