// Package executor is a stand-in for an executor, a backend server of a service.
// It serves any path; the query of a request asks for the answer's behavior. It
// keeps a journal of what ran and of its slots and connections.
package executor

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
	"github.com/jacinthtrail/jacinthtrail/internal/standin/journal"
)

// Faults are what is wrong with an executor. The zero value is a healthy one.
type Faults struct {
	// SlowFactor multiplies the run time of requests; 0 means 1.
	SlowFactor float64
	// Silent swallows every request while it is set.
	Silent bool
	// SilenceOpen makes the connections that are open now silent for good; new ones
	// work.
	SilenceOpen bool
}

// Executor is a simulated executor. ID must be set before its first use, and
// Slots and Connections unless they are unlimited. It is safe for concurrent use.
type Executor struct {
	ID      membership.InstanceID
	Service string
	// Slots is the number of requests that run at once; 0 means unlimited.
	Slots int
	// Connections is the number of requests and feeds in flight; 0 means unlimited.
	// More are served and recorded as violations.
	Connections int
	// Clock measures run times and intervals; nil means the system clock.
	Clock clockwork.Clock
	// Journal receives an Event for everything that bears on safety.
	Journal journal.Journal[Event]

	mu               sync.Mutex
	state            membership.State
	faults           Faults
	slotsInUse       int
	connectionsInUse int
	open             map[net.Conn]*connection
	latencies        []time.Duration
}

// connection is a TCP connection to the executor, guarded by the executor's mutex.
type connection struct {
	// used is set once the connection carried a request.
	used   bool
	silent bool
}

// SetState replaces the executor's state. A leaving executor runs no new requests;
// those in flight go on.
func (e *Executor) SetState(state membership.State) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state = state
	e.record(Event{Kind: EventState})
}

// SetFaults replaces the executor's faults. A request that was swallowed is never
// answered, not even when the fault is lifted.
func (e *Executor) SetFaults(faults Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = faults
	if !faults.SilenceOpen {
		return
	}
	for _, c := range e.open {
		c.silent = true
	}
}

// Describe returns the instance with the executor's present state filled in.
func (e *Executor) Describe(instance membership.Instance) membership.Instance {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.state != "" {
		instance.State = e.state
	}
	return instance
}

// admission is the decision about a request that arrived.
type admission string

const (
	admitted  admission = "Admitted"
	refused   admission = "Refused"
	swallowed admission = "Swallowed"
)

// admit takes a slot and a connection for the request if it can run. An admitted
// request must leave.
func (e *Executor) admit(r *request, c *connection) admission {
	e.mu.Lock()
	defer e.mu.Unlock()
	if c != nil {
		c.used = true
	}
	switch {
	case e.silent(c):
		e.recordRequest(EventLost, r, ReasonSilent)
		return swallowed
	case e.state == membership.Leaving:
		e.recordRequest(EventNotRun, r, ReasonLeaving)
		return refused
	case e.Slots > 0 && e.slotsInUse >= e.Slots:
		e.recordRequest(EventViolation, r, ReasonSlots)
		e.recordRequest(EventNotRun, r, ReasonSlots)
		return refused
	}
	e.slotsInUse++
	e.connectionsInUse++
	r.holdsSlot = true
	e.recordRequest(EventAccepted, r, "")
	if e.Connections > 0 && e.connectionsInUse > e.Connections {
		e.recordRequest(EventViolation, r, ReasonConnections)
	}
	return admitted
}

// begin records that the request runs and returns the factor of its run time.
func (e *Executor) begin(r *request) (slowFactor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.recordRequest(EventStarted, r, "")
	if e.faults.SlowFactor <= 0 {
		return 1
	}
	return e.faults.SlowFactor
}

// releaseSlot frees the slot of a feed, right before its first byte.
func (e *Executor) releaseSlot(r *request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.freeSlot(r)
}

func (e *Executor) freeSlot(r *request) {
	if r.holdsSlot {
		r.holdsSlot = false
		e.slotsInUse--
	}
}

// leave frees what the request still holds. Later calls do nothing.
func (e *Executor) leave(r *request, reason string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.left {
		return
	}
	r.left = true
	e.freeSlot(r)
	e.connectionsInUse--
	e.recordRequest(EventFinished, r, reason)
}

// isSilent reports whether the connection, or the whole executor, is silent.
func (e *Executor) isSilent(c *connection) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.silent(c)
}

func (e *Executor) silent(c *connection) bool {
	return e.faults.Silent || c != nil && c.silent
}

// connect registers a new connection.
func (e *Executor) connect(c net.Conn) *connection {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.open == nil {
		e.open = make(map[net.Conn]*connection)
	}
	e.open[c] = &connection{}
	return e.open[c]
}

// track follows the connections of a server as its ConnState.
func (e *Executor) track(c net.Conn, state http.ConnState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(e.open, c)
	}
}

func (e *Executor) clock() clockwork.Clock {
	if e.Clock == nil {
		return systemClock
	}
	return e.Clock
}

var systemClock = clockwork.NewRealClock()

func (e *Executor) recordRequest(kind EventKind, r *request, reason string) {
	e.record(Event{
		Kind: kind, Request: r.id, Key: r.key, Path: r.path, Feed: r.behavior.feed,
		Received: r.received, Sent: r.sent, Reason: reason,
	})
}

func (e *Executor) record(event Event) {
	event.Time = e.clock().Now()
	event.Executor = e.ID
	event.SlotsInUse = e.slotsInUse
	event.ConnectionsInUse = e.connectionsInUse
	event.State = e.state
	for _, c := range e.open {
		if c.used {
			event.OpenConnections++
		}
	}
	e.Journal.Add(event)
}
