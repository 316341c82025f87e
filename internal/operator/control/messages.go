// Package control implements the operator API over HTTP, and the client of it that the
// operators' commands use.
package control

import (
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/operator/manifest"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/zone"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// PublishAnswer lists the instances on which a published manifest is in force.
type PublishAnswer struct {
	Version manifest.Version
	InForce []membership.InstanceID
	// Missing lists the entry instances that did not report the version in time.
	Missing []membership.InstanceID
}

// ZoneAnswer describes an availability zone.
type ZoneAnswer struct {
	Name   membership.Zone
	Region membership.Region
	Status zone.Status
}

// PeerStatus is the status of an entry instance as seen by another one or by itself.
type PeerStatus struct {
	ID       membership.InstanceID
	Zone     membership.Zone
	Manifest manifest.Version
	// Silent is the time since the last heartbeat of the instance.
	Silent time.Duration
	// Shards lists the shards that the instance reports as its own.
	Shards []string
}

// ShardStatus describes a shard that the instance owns.
type ShardStatus struct {
	Shard       string
	Epoch       uint64
	State       string
	Workers     int
	QueuedTasks int
	Running     int
	ParkedJobs  int
}

// StatusAnswer describes an entry instance.
type StatusAnswer struct {
	ID       membership.InstanceID
	Zone     membership.Zone
	Region   membership.Region
	Manifest manifest.Version
	Ready    bool
	// NotReady says why the instance isn't ready.
	NotReady string `json:",omitempty"`
	Shards   []ShardStatus
	Peers    []PeerStatus
	// MembershipAge is the time since the last successful read of the membership list.
	MembershipAge time.Duration
}

// Kind is the type of object that Explain reports on.
type Kind string

// Kinds of objects that Explain reports on.
const (
	Task    Kind = "task"
	Job     Kind = "job"
	Request Kind = "request"
)

// Event is a recorded event or decision about a task, job or request.
type Event struct {
	At       time.Time
	Instance membership.InstanceID
	What     string
	Reason   string
	// Manifest is the manifest version that was in force at the time.
	Manifest manifest.Version
	// Facts holds the inputs of the decision, as JSON.
	Facts any `json:",omitempty"`
}

// ExplainAnswer holds the state of a task, job or request and its recorded events, oldest
// first.
type ExplainAnswer struct {
	Kind   Kind
	ID     string
	State  string `json:",omitempty"`
	Events []Event
}

// ErrorAnswer is the body of an answer with an error status.
type ErrorAnswer struct {
	Reason   string
	Message  string
	Findings manifest.Findings `json:",omitempty"`
}
