package instance

import (
	"context"

	"github.com/jacinthtrail/jacinthtrail/internal/operator/counter"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/table"
)

// countedStore counts the accesses to the table, which all instances share.
type countedStore struct {
	table.Store
	counters *counter.Set
}

// Read counts and passes on.
func (s countedStore) Read(ctx context.Context, keys ...table.Key) ([]table.Row, error) {
	s.counters.Add("Table.Reads", 1)
	return s.Store.Read(ctx, keys...)
}

// Scan counts and passes on.
func (s countedStore) Scan(ctx context.Context, prefix, after table.Key, limit int) ([]table.Row, error) {
	s.counters.Add("Table.Scans", 1)
	return s.Store.Scan(ctx, prefix, after, limit)
}

// Commit counts and passes on.
func (s countedStore) Commit(ctx context.Context, tx table.Transaction) (table.Result, error) {
	s.counters.Add("Table.Commits", 1)
	return s.Store.Commit(ctx, tx)
}
