package worker

import (
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
	protocol "github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/object"
)

// EventKind is the kind of event that a journal entry records.
type EventKind string

// Kinds of journal entries.
const (
	EventStart       EventKind = "Start"
	EventResume      EventKind = "Resume"
	EventCheckpoint  EventKind = "Checkpoint"
	EventStop        EventKind = "Stop"
	EventFinish      EventKind = "Finish"
	EventLeaseExpiry EventKind = "LeaseExpiry"
	EventRefusal     EventKind = "Refusal"
	EventOvercommit  EventKind = "Overcommit"
	EventEpoch       EventKind = "Epoch"
)

// Event is an entry of a worker's journal.
type Event struct {
	// Time is the worker's clock time when the entry was added.
	Time time.Time
	// Until is the time up to which the task made progress. It is earlier than Time if
	// the worker was paused past the end of its lease, or if the task was writing a
	// checkpoint in between.
	Until       time.Time
	Kind        EventKind
	Worker      membership.InstanceID
	Incarnation string
	protocol.TaskAttempt
	Shard protocol.ShardID
	Epoch protocol.Epoch
	// State is the task's state after the event.
	State protocol.TaskState
	// Progress is the completed part of Work.
	Progress   time.Duration
	Work       time.Duration
	Checkpoint object.Key
	// Resources is what the task reserves, InUse is what all tasks in a non-final state
	// reserve after the event, and ObservedInUse is what those tasks actually use.
	Resources     resource.Vector
	InUse         resource.Vector
	ObservedInUse resource.Vector
	Capacity      resource.Vector
	Reason        string
}
