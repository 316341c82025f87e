// Package zone stores whether each availability zone is in service.
package zone

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"

	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/table"
)

// Service is whether an availability zone is in service.
type Service string

// Values of Service.
const (
	InService    Service = "In"
	OutOfService Service = "Out"
)

// Errors of a Repository.
var (
	// ErrConflict reports a concurrent change of the zone by another operator.
	ErrConflict = errors.New("another operator changed the availability zone first")
	// ErrUnchanged reports that the zone is already in the requested state.
	ErrUnchanged = errors.New("the availability zone already is in this state")
)

// Status is the value of a zone's row. The zero value stands for a zone that was never
// taken out of service.
type Status struct {
	Service Service
	// Change is the id of the change that set this status.
	Change string
	// At is the time of the change by the clock of the entry instance that made it.
	At time.Time
	// By is the operator who asked for the change.
	By string
}

// OutOfService reports whether the zone is out of service.
func (s Status) OutOfService() bool {
	return s.Service == OutOfService
}

// Key returns the table key of a zone's row.
func Key(name membership.Zone) table.Key {
	return table.Key("zone/" + string(name))
}

// Decode decodes the status in a zone's row. If the row is absent, the zone is in service.
func Decode(row table.Row) (Status, error) {
	if row.Version == 0 {
		return Status{Service: InService}, nil
	}
	var status Status
	if err := json.Unmarshal(row.Value, &status); err != nil {
		return Status{}, fmt.Errorf("decode row %s: %w", row.Key, err)
	}
	return status, nil
}

// Repository reads and writes the rows of zones.
type Repository struct {
	Store table.Store
	Clock clockwork.Clock
}

// List returns the status of each zone, in the order of the names.
func (r Repository) List(ctx context.Context, names []membership.Zone) ([]Status, error) {
	keys := make([]table.Key, len(names))
	for i, name := range names {
		keys[i] = Key(name)
	}
	rows, err := r.Store.Read(ctx, keys...)
	if err != nil {
		return nil, fmt.Errorf("read the availability zones: %w", err)
	}
	statuses := make([]Status, len(rows))
	for i, row := range rows {
		if statuses[i], err = Decode(row); err != nil {
			return nil, err
		}
	}
	return statuses, nil
}

// Set takes a zone out of service or returns it to service. It fails with ErrUnchanged if
// the zone is already in the state. If another operator changes the zone at the same time,
// it fails with ErrConflict and returns that change's status.
func (r Repository) Set(ctx context.Context, name membership.Zone, to Service, author string) (Status, error) {
	rows, err := r.Store.Read(ctx, Key(name))
	if err != nil {
		return Status{}, fmt.Errorf("read availability zone %s: %w", name, err)
	}
	current, err := Decode(rows[0])
	if err != nil {
		return Status{}, err
	}
	if current.Service == to {
		return current, fmt.Errorf("%w: %s has been %s since change %s by %q", ErrUnchanged, name, to, current.Change, current.By)
	}
	next := Status{Service: to, Change: uuid.NewString(), At: r.Clock.Now().UTC(), By: author}
	value, err := json.Marshal(next)
	if err != nil {
		return Status{}, fmt.Errorf("encode the status of availability zone %s: %w", name, err)
	}
	_, err = table.CommitResolved(ctx, r.Store, r.Clock, table.Transaction{
		ID:         table.TransactionID(next.Change),
		Conditions: []table.Condition{{Key: Key(name), Version: rows[0].Version}},
		Writes:     []table.Write{{Key: Key(name), Value: value}},
	})
	if errors.Is(err, table.ErrConflict) {
		return r.concurrentChangeError(ctx, name)
	}
	if err != nil {
		return Status{}, fmt.Errorf("write availability zone %s: %w", name, err)
	}
	return next, nil
}

// concurrentChangeError returns the status that a concurrent change has set, and an
// ErrConflict that describes the change.
func (r Repository) concurrentChangeError(ctx context.Context, name membership.Zone) (Status, error) {
	statuses, err := r.List(ctx, []membership.Zone{name})
	if err != nil {
		return Status{}, fmt.Errorf("%w: %s", ErrConflict, name)
	}
	current := statuses[0]
	return current, fmt.Errorf("%w: %s is now %s by %q, change %s", ErrConflict, name, current.Service, current.By, current.Change)
}
