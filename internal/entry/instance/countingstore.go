package instance

import (
	"context"

	"github.com/jacinthtrail/jacinthtrail/internal/operator/counter"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/table"
)

// countingStore counts this instance's accesses to the table, which all instances share.
type countingStore struct {
	table.Store
	counters *counter.Set
}

// Read counts the read and forwards it to the store.
func (s countingStore) Read(ctx context.Context, keys ...table.Key) ([]table.Row, error) {
	s.counters.Add("Table.Reads", 1)
	return s.Store.Read(ctx, keys...)
}

// Scan counts the scan and forwards it to the store.
func (s countingStore) Scan(ctx context.Context, prefix, after table.Key, limit int) ([]table.Row, error) {
	s.counters.Add("Table.Scans", 1)
	return s.Store.Scan(ctx, prefix, after, limit)
}

// Commit counts the commit and forwards it to the store.
func (s countingStore) Commit(ctx context.Context, tx table.Transaction) (table.Result, error) {
	s.counters.Add("Table.Commits", 1)
	return s.Store.Commit(ctx, tx)
}
