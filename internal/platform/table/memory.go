package table

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
)

// Memory is a Store that keeps its rows in memory. The zero value is an empty table.
//
// The outcome of a transaction id is final: a transaction that conflicted, or that
// Outcome reported as not committed, fails with ErrConflict whenever it is sent again.
// Outcomes are kept for the lifetime of the table.
type Memory struct {
	// OnCommit, if set, is called for each committed transaction, in commit order and
	// while the table is locked. It must not call methods of the table.
	OnCommit func(tx Transaction, result Result)

	mutex       sync.Mutex
	lastVersion Version
	keys        []Key // sorted, for Scan
	rows        map[Key]Row
	outcomes    map[TransactionID]outcome
}

type outcome struct {
	committed bool
	result    Result
}

// Read returns one row for each key. All rows are read atomically.
func (m *Memory) Read(ctx context.Context, keys ...Key) ([]Row, error) {
	if err := checkContext(ctx); err != nil {
		return nil, err
	}
	if err := validateKeys(keys); err != nil {
		return nil, err
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	rows := make([]Row, 0, len(keys))
	for _, key := range keys {
		rows = append(rows, m.row(key))
	}
	return rows, nil
}

// Scan returns up to limit rows in key order. All rows are read atomically. It fails
// with ErrInvalid if limit is less than 1.
func (m *Memory) Scan(ctx context.Context, prefix, after Key, limit int) ([]Row, error) {
	if err := checkContext(ctx); err != nil {
		return nil, err
	}
	if limit < 1 {
		return nil, fmt.Errorf("%w: scan limit is %d, want at least 1", ErrInvalid, limit)
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	first, found := slices.BinarySearch(m.keys, max(prefix, after))
	if found && after >= prefix {
		first++
	}
	var rows []Row
	for _, key := range m.keys[first:] {
		if len(rows) == limit || !strings.HasPrefix(string(key), string(prefix)) {
			break
		}
		rows = append(rows, m.row(key))
	}
	return rows, nil
}

// Commit applies a transaction. If a transaction with the same id has an outcome
// already, Commit returns that outcome instead.
func (m *Memory) Commit(ctx context.Context, tx Transaction) (Result, error) {
	if err := checkContext(ctx); err != nil {
		return Result{}, err
	}
	if err := tx.Validate(); err != nil {
		return Result{}, err
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if previous, ok := m.outcomes[tx.ID]; ok {
		return previous.response(tx.ID)
	}
	if err := m.checkConditions(tx.Conditions); err != nil {
		m.recordOutcome(tx.ID, outcome{})
		return Result{}, err
	}
	result := m.apply(tx.Writes)
	m.recordOutcome(tx.ID, outcome{committed: true, result: result})
	if m.OnCommit != nil {
		m.OnCommit(tx, result.clone())
	}
	return result.clone(), nil
}

// Outcome reports whether a transaction was committed. If it was not, it never will be.
func (m *Memory) Outcome(ctx context.Context, id TransactionID) (Result, bool, error) {
	if err := checkContext(ctx); err != nil {
		return Result{}, false, err
	}
	if id == "" || len(id) > MaxKeyBytes {
		return Result{}, false, fmt.Errorf("%w: transaction id of %d bytes", ErrInvalid, len(id))
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	previous, ok := m.outcomes[id]
	if !ok {
		m.recordOutcome(id, outcome{})
	}
	return previous.result.clone(), previous.committed, nil
}

func checkContext(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return nil
}

func (m *Memory) row(key Key) Row {
	row, ok := m.rows[key]
	if !ok {
		return Row{Key: key}
	}
	row.Value = bytes.Clone(row.Value)
	return row
}

func (m *Memory) checkConditions(conditions []Condition) error {
	for _, condition := range conditions {
		if version := m.rows[condition.Key].Version; version != condition.Version {
			return fmt.Errorf("%w: row %q has version %d, want %d", ErrConflict, condition.Key, version, condition.Version)
		}
	}
	return nil
}

func (m *Memory) apply(writes []Write) Result {
	// All rows share one counter, so that a row that is deleted and created again never
	// repeats a version.
	m.lastVersion++
	result := Result{Versions: make(map[Key]Version, len(writes))}
	for _, write := range writes {
		if write.Delete {
			m.remove(write.Key)
			result.Versions[write.Key] = 0
			continue
		}
		m.put(Row{Key: write.Key, Value: bytes.Clone(write.Value), Version: m.lastVersion})
		result.Versions[write.Key] = m.lastVersion
	}
	return result
}

func (m *Memory) put(row Row) {
	if m.rows == nil {
		m.rows = map[Key]Row{}
	}
	if index, found := slices.BinarySearch(m.keys, row.Key); !found {
		m.keys = slices.Insert(m.keys, index, row.Key)
	}
	m.rows[row.Key] = row
}

func (m *Memory) remove(key Key) {
	if index, found := slices.BinarySearch(m.keys, key); found {
		m.keys = slices.Delete(m.keys, index, index+1)
	}
	delete(m.rows, key)
}

func (m *Memory) recordOutcome(id TransactionID, o outcome) {
	if m.outcomes == nil {
		m.outcomes = map[TransactionID]outcome{}
	}
	m.outcomes[id] = o
}

func (o outcome) response(id TransactionID) (Result, error) {
	if !o.committed {
		return Result{}, fmt.Errorf("%w: transaction %q is already settled as not committed", ErrConflict, id)
	}
	return o.result.clone(), nil
}

func (r Result) clone() Result {
	return Result{Versions: maps.Clone(r.Versions)}
}
