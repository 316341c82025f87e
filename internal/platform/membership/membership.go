// Package membership speaks to the platform's list of live and leaving
// instances. The list lags behind the instances.
package membership

import (
	"context"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
)

// InstanceID identifies an instance for its lifetime. A replacement has a new id.
type InstanceID string

// Zone names an availability zone.
type Zone string

// Region names a region; it holds one or more availability zones.
type Region string

// Rack names a rack within an availability zone.
type Rack string

// Kind tells what runs on an instance.
type Kind string

// Kinds of instances.
const (
	Entry    Kind = "Entry"
	Worker   Kind = "Worker"
	Executor Kind = "Executor"
)

// State of an instance in the list.
type State string

// States of an instance. One that is gone is no longer listed.
const (
	Live    State = "Live"
	Leaving State = "Leaving"
)

// Instance is an entry of the list.
type Instance struct {
	ID     InstanceID
	Kind   Kind
	State  State
	Zone   Zone
	Region Region
	Rack   Rack
	// Address is host:port: the peer address of an entry instance, the control
	// address of a worker, the request address of an executor.
	Address string
	// OperatorAddress is the host:port of an entry instance's operator API.
	OperatorAddress string
	// Host is the worker on whose instance an executor runs.
	Host InstanceID
	// Service is the service that an executor serves.
	Service string
	// Capacity is all of a worker's instance, or what an executor reserves on its host.
	Capacity resource.Vector
	// Slots and Connections are the limits of an executor.
	Slots       int
	Connections int
}

// Snapshot is the list at one moment. A higher revision is newer.
type Snapshot struct {
	Revision  uint64
	Instances []Instance
}

// Lister returns the current list.
type Lister interface {
	// ListAfter returns the list, or reports that it still has the revision.
	ListAfter(ctx context.Context, revision uint64) (snapshot Snapshot, changed bool, err error)
}
