package executor

import (
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// EventKind is the kind of event that a journal entry records.
type EventKind string

// Kinds of journal entries. A request with an entry Started ran; one with an entry
// NotRun or Lost didn't.
const (
	EventAccepted   EventKind = "Accepted"
	EventStarted    EventKind = "Started"
	EventFinished   EventKind = "Finished"
	EventNotRun     EventKind = "NotRun"
	EventUnanswered EventKind = "Lost"
	EventViolation  EventKind = "Violation"
	EventState      EventKind = "State"
)

// Reasons in journal entries.
const (
	// ReasonSlots marks a request that arrived when every slot was in use.
	ReasonSlots = "Slots"
	// ReasonConnections marks a request that exceeds Executor.Connections.
	ReasonConnections = "Connections"
	// ReasonLeaving marks a request that arrived at a leaving executor.
	ReasonLeaving = "Leaving"
	// ReasonSilent marks a request that stays unanswered because the executor or the
	// connection is silent.
	ReasonSilent = "Silent"
	// ReasonRequestBody marks a request whose body was incomplete or too large.
	ReasonRequestBody = "RequestCut"
	// ReasonConnectionCut marks a response that was cut off as its request asked.
	ReasonConnectionCut = "Died"
	// ReasonCallerDisconnected marks a response whose receiver disconnected before its end.
	ReasonCallerDisconnected = "CallerLeft"
)

// Event is an entry of an executor's journal.
type Event struct {
	Time     time.Time
	Kind     EventKind
	Executor membership.InstanceID
	Request  string
	Key      string
	Path     string
	Feed     bool
	// Received and Sent are the numbers of body bytes of the request and of the response.
	Received int64
	Sent     int64
	// SlotsInUse and ConnectionsInUse include the request itself until it finishes.
	SlotsInUse       int
	ConnectionsInUse int
	// OpenConnections is the number of open TCP connections, including idle ones, on which
	// a request has arrived.
	OpenConnections int
	State           membership.State
	Reason          string
}
