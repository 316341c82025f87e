// Package table speaks to the platform's transactional table service.
package table

import (
	"context"
	"errors"
)

// Errors of a Store. Implementations wrap them, so test with errors.Is.
var (
	// ErrConflict reports that a condition of a transaction did not hold. Nothing was written.
	ErrConflict = errors.New("table: a condition does not hold")
	// ErrUnavailable reports that the service refused or could not be reached. Nothing was written.
	ErrUnavailable = errors.New("table: service unavailable")
	// ErrOutcomeUnknown reports that a commit may or may not have taken effect.
	ErrOutcomeUnknown = errors.New("table: outcome of the commit is unknown")
	// ErrInvalid reports a malformed or too large request. Nothing was written, and
	// sending the request again can't help.
	ErrInvalid = errors.New("table: invalid request")
)

// Key names a row.
type Key string

// Version of a row. It rises with each write; 0 stands for an absent row.
type Version uint64

// TransactionID identifies a transaction, so that its outcome can be looked up
// after a lost answer.
type TransactionID string

// Row is a row with the version at which it was read. An absent row has
// Version 0 and no value.
type Row struct {
	Key     Key
	Value   []byte
	Version Version
}

// Condition requires a row to be at a version; 0 requires that it is absent.
type Condition struct {
	Key     Key
	Version Version
}

// Write sets or deletes a row.
type Write struct {
	Key    Key
	Value  []byte
	Delete bool
}

// Transaction applies all its writes if all its conditions hold, else none.
type Transaction struct {
	ID         TransactionID
	Conditions []Condition
	Writes     []Write
}

// Result lists the versions that a committed transaction gave to its rows.
type Result struct {
	Versions map[Key]Version
}

// Store is the table service.
type Store interface {
	// Read returns one row for each key, in order, all read at one moment.
	Read(ctx context.Context, keys ...Key) ([]Row, error)
	// Scan returns up to limit rows whose keys start with prefix and sort after the key after.
	Scan(ctx context.Context, prefix, after Key, limit int) ([]Row, error)
	// Commit applies a transaction. It fails with ErrConflict, ErrUnavailable or ErrOutcomeUnknown.
	Commit(ctx context.Context, tx Transaction) (Result, error)
	// Outcome reports whether a transaction was committed, and its result. A
	// transaction that Outcome reported as not committed can't commit later.
	Outcome(ctx context.Context, id TransactionID) (Result, bool, error)
}
