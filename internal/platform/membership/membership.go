// Package membership implements a client of the platform's membership service, which
// lists the live and leaving instances. The list may lag behind their actual state.
package membership

import (
	"context"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
)

// InstanceID identifies an instance for its lifetime. A replacement instance gets a new
// id.
type InstanceID string

// Zone is the name of an availability zone.
type Zone string

// Region is the name of a region, which has one or more availability zones.
type Region string

// Rack is the name of a rack in an availability zone.
type Rack string

// Kind is what runs on an instance.
type Kind string

// Kinds of instances.
const (
	Entry    Kind = "Entry"
	Worker   Kind = "Worker"
	Executor Kind = "Executor"
)

// State is the state of a listed instance.
type State string

// States of an instance. An instance that has left is no longer listed.
const (
	Live    State = "Live"
	Leaving State = "Leaving"
)

// Instance is an instance as listed by the membership service.
type Instance struct {
	ID     InstanceID
	Kind   Kind
	State  State
	Zone   Zone
	Region Region
	Rack   Rack
	// Address is a host:port: for an entry instance the address for its peers, for a
	// worker that of the control protocol, for an executor that for requests.
	Address string
	// OperatorAddress is the host:port of an entry instance's operator API.
	OperatorAddress string
	// Host is the worker on whose instance an executor runs.
	Host InstanceID
	// Service is the name of the service that an executor provides.
	Service string
	// Capacity is the total capacity of a worker's instance, or the resources that an
	// executor reserves on its host.
	Capacity resource.Vector
	// Slots and Connections limit an executor's concurrent requests and connections.
	Slots       int
	Connections int
}

// Snapshot is the list at a point in time. A higher revision is newer.
type Snapshot struct {
	Revision  uint64
	Instances []Instance
}

// Lister reads the current list.
type Lister interface {
	// ListAfter returns the list, or reports that its revision is unchanged.
	ListAfter(ctx context.Context, revision uint64) (snapshot Snapshot, changed bool, err error)
}
