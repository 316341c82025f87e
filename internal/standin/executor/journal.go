package executor

import (
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// EventKind tells what a journal entry records.
type EventKind string

// Kinds of journal entries. A request that is Started ran; one that is NotRun or
// Lost did not.
const (
	EventAccepted  EventKind = "Accepted"
	EventStarted   EventKind = "Started"
	EventFinished  EventKind = "Finished"
	EventNotRun    EventKind = "NotRun"
	EventLost      EventKind = "Lost"
	EventViolation EventKind = "Violation"
	EventState     EventKind = "State"
)

// Reasons in journal entries.
const (
	// ReasonSlots marks a request that arrived when every slot was in use.
	ReasonSlots = "Slots"
	// ReasonConnections marks a request that uses more connections than there are.
	ReasonConnections = "Connections"
	// ReasonLeaving marks a request that arrived at a leaving executor.
	ReasonLeaving = "Leaving"
	// ReasonSilent marks a request that a silent connection swallowed.
	ReasonSilent = "Silent"
	// ReasonRequestCut marks a request whose body ended early or was too large.
	ReasonRequestCut = "RequestCut"
	// ReasonDied marks an answer that was cut off on purpose.
	ReasonDied = "Died"
	// ReasonCallerLeft marks an answer that its receiver did not wait for.
	ReasonCallerLeft = "CallerLeft"
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
	// Received and Sent count body bytes of the request and of the answer.
	Received int64
	Sent     int64
	// SlotsInUse and ConnectionsInUse include the request itself until it finished.
	SlotsInUse       int
	ConnectionsInUse int
	// OpenConnections counts the TCP connections that carried a request, idle or not.
	OpenConnections int
	State           membership.State
	Reason          string
}
