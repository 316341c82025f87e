package platform

import (
	"errors"
	"fmt"
	"time"
)

// Limits of faults.
const (
	MaxDelay         = time.Minute
	MaxMembershipLag = 10 * time.Minute
)

var errUnavailable = errors.New("outage")

// Faults are the faults that are switched on. Durations are in nanoseconds in
// JSON.
type Faults struct {
	Table      ServiceFaults
	Object     ServiceFaults
	Membership ServiceFaults
	// MembershipLag makes the list show its state of that long ago, up to
	// MaxMembershipLag.
	MembershipLag time.Duration
	// MembershipFrozen makes the list show its state at the time of the switch.
	MembershipFrozen bool
}

// ServiceFaults are the faults of one service.
type ServiceFaults struct {
	// Outage refuses every request as unavailable. Instances stay listed during an
	// outage of the membership list and for an announcement term after it.
	Outage bool
	// Delay precedes the effect of each request, up to MaxDelay. A request takes
	// effect even if its caller stops waiting.
	Delay time.Duration
	// LoseAcknowledgements cuts the connection in place of the answer to a write,
	// after the write took effect.
	LoseAcknowledgements bool
}

func (f Faults) validate() error {
	for _, service := range []ServiceFaults{f.Table, f.Object, f.Membership} {
		if service.Delay < 0 || service.Delay > MaxDelay {
			return fmt.Errorf("%w: delay %v, want 0 to %v", errInvalid, service.Delay, MaxDelay)
		}
	}
	if f.MembershipLag < 0 || f.MembershipLag > MaxMembershipLag {
		return fmt.Errorf("%w: membership lag %v, want 0 to %v", errInvalid, f.MembershipLag, MaxMembershipLag)
	}
	return nil
}

func (f Faults) of(service service) ServiceFaults {
	switch service {
	case tableService:
		return f.Table
	case objectService:
		return f.Object
	default:
		return f.Membership
	}
}

// SetFaults replaces the faults. It fails if a duration is out of range.
func (s *Server) SetFaults(faults Faults) error {
	if err := faults.validate(); err != nil {
		return err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = faults
	s.list.setFaults(s.clock.Now(), faults)
	return nil
}

// Faults returns the faults that are switched on.
func (s *Server) Faults() Faults {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.faults
}

// admit waits for the delay of a service and fails if it has an outage then.
func (s *Server) admit(service service) error {
	if delay := s.Faults().of(service).Delay; delay > 0 {
		timer := s.clock.NewTimer(delay)
		defer timer.Stop()
		select {
		case <-timer.Chan():
		case <-s.closed:
			return errUnavailable
		}
	}
	if s.Faults().of(service).Outage {
		return errUnavailable
	}
	return nil
}
