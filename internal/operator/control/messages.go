// Package control has the HTTP API that operators' commands use, and its client.
package control

import (
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/operator/manifest"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/zone"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// PublishAnswer tells where a published manifest is in force.
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

// PeerStatus is what an entry instance knows of another one, or of itself.
type PeerStatus struct {
	ID       membership.InstanceID
	Zone     membership.Zone
	Manifest manifest.Version
	// Silent is the time since the instance was last heard.
	Silent time.Duration
	// Shards are those that the instance reports to own.
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
	// NotReady tells why the instance isn't ready.
	NotReady string `json:",omitempty"`
	Shards   []ShardStatus
	Peers    []PeerStatus
	// MembershipAge is the time since the membership list was last read.
	MembershipAge time.Duration
}

// Kind is the kind of thing that is explained.
type Kind string

// Kinds of explanations.
const (
	Task    Kind = "task"
	Job     Kind = "job"
	Request Kind = "request"
)

// Event is a decision or an event in the life of a task, job or request.
type Event struct {
	At       time.Time
	Instance membership.InstanceID
	What     string
	Reason   string
	// Manifest is the version in force at the time.
	Manifest manifest.Version
	// Facts is what the decision rested on, as JSON.
	Facts any `json:",omitempty"`
}

// ExplainAnswer lists what is known of a task, job or request, oldest first.
type ExplainAnswer struct {
	Kind   Kind
	ID     string
	State  string `json:",omitempty"`
	Events []Event
}

// ErrorAnswer is the body of an answer that refuses a request.
type ErrorAnswer struct {
	Reason   string
	Message  string
	Findings manifest.Findings `json:",omitempty"`
}
