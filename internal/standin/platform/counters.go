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

// Counters has the number of requests to each service, including refused ones.
type Counters struct {
	Table      ServiceCounters
	Object     ServiceCounters
	Membership ServiceCounters
}

// ServiceCounters has the number of reads and writes of a service.
type ServiceCounters struct {
	Reads  Count
	Writes Count
}

// Count is a number of requests.
type Count struct {
	// Total is the number since the stand-in started.
	Total uint64
	// LastSecond is the number in the last complete second.
	LastSecond uint64
	// PeakSecond is the highest number in any second.
	PeakSecond uint64
}

// requestCounters counts requests by service and access.
type requestCounters struct {
	clock    clockwork.Clock
	mutex    sync.Mutex
	counters [serviceCount][accessCount]requestCounter
}

func (c *requestCounters) count(service service, access access) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.counters[service][access].add(c.clock.Now())
}

// Counters returns the number of requests received so far.
func (s *Server) Counters() Counters {
	return Counters{
		Table:      s.requests.serviceCounters(tableService),
		Object:     s.requests.serviceCounters(objectService),
		Membership: s.requests.serviceCounters(membershipService),
	}
}

func (c *requestCounters) serviceCounters(service service) ServiceCounters {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := c.clock.Now()
	counters := &c.counters[service]
	return ServiceCounters{Reads: counters[read].countAt(now), Writes: counters[write].countAt(now)}
}

// requestCounter counts requests in total and per second.
type requestCounter struct {
	count         Count
	currentSecond int64 // Unix time
	currentCount  uint64
}

func (c *requestCounter) add(now time.Time) {
	c.advance(now)
	c.currentCount++
	c.count.Total++
	c.count.PeakSecond = max(c.count.PeakSecond, c.currentCount)
}

func (c *requestCounter) countAt(now time.Time) Count {
	c.advance(now)
	return c.count
}

func (c *requestCounter) advance(now time.Time) {
	switch second := now.Unix(); second - c.currentSecond {
	case 0:
		return
	case 1:
		c.count.LastSecond = c.currentCount
	default:
		c.count.LastSecond = 0
	}
	c.currentSecond, c.currentCount = now.Unix(), 0
}
