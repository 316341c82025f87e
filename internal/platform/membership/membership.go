// Package membership implements a client of the platform's membership service, which
// lists the live and leaving instances. The list may lag behind their actual state.
package membership

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"

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
	// LeftOut says for each entry that was left out, because it can't be an instance, what is
	// wrong with it.
	LeftOut []string `json:"-"`
}

// UnmarshalJSON decodes a list and leaves out entries that can't be instances. Only if an
// entry has a field of another type are the entries decoded one by one, because lists can
// have 20 MB.
func (s *Snapshot) UnmarshalJSON(data []byte) error {
	type fields Snapshot
	var decoded fields
	err := json.Unmarshal(data, &decoded)
	*s = Snapshot(decoded)
	if err != nil {
		if err := s.decodeEach(data); err != nil {
			return err
		}
	}
	s.Instances = slices.DeleteFunc(s.Instances, func(i Instance) bool {
		err := i.Validate()
		if err != nil {
			s.LeftOut = append(s.LeftOut, err.Error())
		}
		return err != nil
	})
	return nil
}

// decodeEach decodes the entries one by one.
func (s *Snapshot) decodeEach(data []byte) error {
	var list struct {
		Revision  uint64
		Instances []json.RawMessage
	}
	if err := json.Unmarshal(data, &list); err != nil {
		return err
	}
	*s = Snapshot{Revision: list.Revision}
	for _, entry := range list.Instances {
		var instance Instance
		if err := json.Unmarshal(entry, &instance); err != nil {
			s.LeftOut = append(s.LeftOut, fmt.Sprintf("instance %q: %v", instance.ID, err))
			continue
		}
		s.Instances = append(s.Instances, instance)
	}
	return nil
}

// Lister reads the current list.
type Lister interface {
	// ListAfter returns the list, or reports that its revision is unchanged.
	ListAfter(ctx context.Context, revision uint64) (snapshot Snapshot, changed bool, err error)
}
