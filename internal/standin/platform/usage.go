package platform

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

type service int

const (
	tableService service = iota
	objectService
	membershipService
	serviceCount
)

type access int

const (
	read access = iota
	write
	accessCount
)

// Counters count the requests to each service, refused ones included.
type Counters struct {
	Table      ServiceCounters
	Object     ServiceCounters
	Membership ServiceCounters
}

// ServiceCounters count the requests to a service.
type ServiceCounters struct {
	Reads  Count
	Writes Count
}

// Count counts requests.
type Count struct {
	// Total is the number since the start.
	Total uint64
	// LastSecond is the number in the last whole second.
	LastSecond uint64
	// PeakSecond is the largest number in one second.
	PeakSecond uint64
}

// usage counts requests by service and access.
type usage struct {
	clock  clockwork.Clock
	mutex  sync.Mutex
	meters [serviceCount][accessCount]meter
}

func (u *usage) count(service service, access access) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.meters[service][access].add(u.clock.Now())
}

// Counters returns the number of requests so far.
func (s *Server) Counters() Counters {
	return Counters{
		Table:      s.usage.counters(tableService),
		Object:     s.usage.counters(objectService),
		Membership: s.usage.counters(membershipService),
	}
}

func (u *usage) counters(service service) ServiceCounters {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	now := u.clock.Now()
	meters := &u.meters[service]
	return ServiceCounters{Reads: meters[read].at(now), Writes: meters[write].at(now)}
}

// meter counts requests by second.
type meter struct {
	count   Count
	second  int64 // Unix time of current
	current uint64
}

func (m *meter) add(now time.Time) {
	m.advance(now)
	m.current++
	m.count.Total++
	m.count.PeakSecond = max(m.count.PeakSecond, m.current)
}

func (m *meter) at(now time.Time) Count {
	m.advance(now)
	return m.count
}

func (m *meter) advance(now time.Time) {
	switch second := now.Unix(); second - m.second {
	case 0:
		return
	case 1:
		m.count.LastSecond = m.current
	default:
		m.count.LastSecond = 0
	}
	m.second, m.current = now.Unix(), 0
}
