// Package executor is a stand-in for an executor, a backend server of a service.
// It serves any path; the query of a request sets the behavior of the response. Its
// journal records the requests that ran and the use of its slots and connections.
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

// Faults are the faults injected into an executor. The zero value is a healthy executor.
type Faults struct {
	// SlowFactor multiplies the run time of requests; 0 means 1.
	SlowFactor float64
	// Silent leaves every request that arrives while it is set unanswered.
	Silent bool
	// SilenceOpen makes the connections that are open when it is set permanently silent;
	// new connections work.
	SilenceOpen bool
}

// Executor is a simulated executor. ID must be set before its first use, and
// Slots and Connections unless they are unlimited. It is safe for concurrent use.
type Executor struct {
	ID      membership.InstanceID
	Service string
	// Slots is the number of requests that may run at once; 0 means unlimited.
	Slots int
	// Connections is the number of requests and feeds that may be in flight; 0 means
	// unlimited. More are served, and recorded as violations.
	Connections int
	// Clock measures run times and intervals; nil means the system clock.
	Clock clockwork.Clock
	// Journal receives an Event for everything that checks of safety need.
	Journal journal.Journal[Event]

	mu               sync.Mutex
	state            membership.State
	faults           Faults
	slotsInUse       int
	connectionsInUse int
	openConnections  map[net.Conn]*connection
	latencies        []time.Duration
}

// connection is a TCP connection to the executor, guarded by the executor's mutex.
type connection struct {
	// carriedRequest is set once a request has arrived on the connection.
	carriedRequest bool
	silent         bool
}

// SetState replaces the executor's state. A leaving executor runs no new requests;
// those in flight continue.
func (e *Executor) SetState(state membership.State) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state = state
	e.record(Event{Kind: EventState})
}

// SetFaults replaces the executor's faults. A request that arrived while the executor or
// its connection was silent is never answered, not even after the fault is cleared.
func (e *Executor) SetFaults(faults Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = faults
	if !faults.SilenceOpen {
		return
	}
	for _, c := range e.openConnections {
		c.silent = true
	}
}

// Describe returns the instance with the executor's current state filled in.
func (e *Executor) Describe(instance membership.Instance) membership.Instance {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.state != "" {
		instance.State = e.state
	}
	return instance
}

// admission is the decision about a request that has arrived.
type admission string

const (
	admitted   admission = "Admitted"
	refused    admission = "Refused"
	unanswered admission = "Swallowed"
)

// admit takes a slot and a connection for the request if it can run. The caller must
// call finish for an admitted request.
func (e *Executor) admit(r *request, c *connection) admission {
	e.mu.Lock()
	defer e.mu.Unlock()
	if c != nil {
		c.carriedRequest = true
	}
	switch {
	case e.isSilentLocked(c):
		e.recordRequest(EventUnanswered, r, ReasonSilent)
		return unanswered
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

// start records that the request runs and returns the factor to multiply its run time by.
func (e *Executor) start(r *request) (slowFactor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.recordRequest(EventStarted, r, "")
	if e.faults.SlowFactor <= 0 {
		return 1
	}
	return e.faults.SlowFactor
}

// releaseSlot frees the slot of a feed. It is called right before the first byte.
func (e *Executor) releaseSlot(r *request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.releaseSlotLocked(r)
}

func (e *Executor) releaseSlotLocked(r *request) {
	if r.holdsSlot {
		r.holdsSlot = false
		e.slotsInUse--
	}
}

// finish releases the slot and the connection that the request still holds. Further
// calls have no effect.
func (e *Executor) finish(r *request, reason string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.finished {
		return
	}
	r.finished = true
	e.releaseSlotLocked(r)
	e.connectionsInUse--
	e.recordRequest(EventFinished, r, reason)
}

// isSilent reports whether the connection, or the whole executor, is silent.
func (e *Executor) isSilent(c *connection) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.isSilentLocked(c)
}

func (e *Executor) isSilentLocked(c *connection) bool {
	return e.faults.Silent || c != nil && c.silent
}

// addConnection registers a new connection.
func (e *Executor) addConnection(c net.Conn) *connection {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.openConnections == nil {
		e.openConnections = make(map[net.Conn]*connection)
	}
	e.openConnections[c] = &connection{}
	return e.openConnections[c]
}

// trackConnection removes closed connections. It is the server's ConnState callback.
func (e *Executor) trackConnection(c net.Conn, state http.ConnState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(e.openConnections, c)
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
		Received: r.receivedBytes, Sent: r.sentBytes, Reason: reason,
	})
}

func (e *Executor) record(event Event) {
	event.Time = e.clock().Now()
	event.Executor = e.ID
	event.SlotsInUse = e.slotsInUse
	event.ConnectionsInUse = e.connectionsInUse
	event.State = e.state
	for _, c := range e.openConnections {
		if c.carriedRequest {
			event.OpenConnections++
		}
	}
	e.Journal.Add(event)
}
