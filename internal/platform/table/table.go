// Package table implements a client of the platform's transactional table service, and
// an in-memory table.
package table

import (
	"context"
	"errors"
)

// Errors of a Store. Implementations wrap them, so test for them with errors.Is.
var (
	// ErrConflict reports that a condition of a transaction did not hold. Nothing was
	// written.
	ErrConflict = errors.New("table: a condition does not hold")
	// ErrUnavailable reports that the service is unavailable or can't be reached.
	// Nothing was written.
	ErrUnavailable = errors.New("table: service unavailable")
	// ErrOutcomeUnknown reports that a commit may or may not have taken effect.
	ErrOutcomeUnknown = errors.New("table: outcome of the commit is unknown")
	// ErrInvalid reports a request that is malformed or too large. Nothing was written,
	// and sending the request again would fail again.
	ErrInvalid = errors.New("table: invalid request")
)

// Key identifies a row.
type Key string

// Version is the version of a row. It increases with each write; 0 means that the row
// doesn't exist.
type Version uint64

// TransactionID identifies a transaction, so that its outcome can be looked up if the
// response is lost.
type TransactionID string

// Row is a row and its version. A row that doesn't exist has Version 0 and no value.
type Row struct {
	Key     Key
	Value   []byte
	Version Version
}

// Condition requires a row to have a version; 0 requires that it doesn't exist.
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

// Transaction applies all its writes if all its conditions hold, otherwise none.
type Transaction struct {
	ID         TransactionID
	Conditions []Condition
	Writes     []Write
}

// Result contains the new versions of the rows that a committed transaction wrote.
type Result struct {
	Versions map[Key]Version
}

// Store is the table service.
type Store interface {
	// Read returns one row for each key, in the order of the keys. All rows are read
	// atomically.
	Read(ctx context.Context, keys ...Key) ([]Row, error)
	// Scan returns up to limit rows in key order whose keys start with prefix and sort
	// after the key after.
	Scan(ctx context.Context, prefix, after Key, limit int) ([]Row, error)
	// Commit applies a transaction. It fails with ErrConflict, ErrUnavailable,
	// ErrInvalid or ErrOutcomeUnknown.
	Commit(ctx context.Context, tx Transaction) (Result, error)
	// Outcome reports whether a transaction was committed, and its result. A
	// transaction that it reports as not committed can't be committed later.
	Outcome(ctx context.Context, id TransactionID) (Result, bool, error)
}
