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

// Memory is a Store that lives in the process. The zero value is an empty table.
//
// The outcome of a transaction id is final: a transaction that conflicted or that
// Outcome reported as not committed fails with ErrConflict whenever it is sent
// again. Outcomes are kept for the life of the table.
type Memory struct {
	// OnCommit, if set, is called for each transaction that takes effect, in commit
	// order and with the table locked. It must not call the table.
	OnCommit func(tx Transaction, result Result)

	mutex    sync.Mutex
	last     Version
	keys     []Key // sorted, for Scan
	rows     map[Key]Row
	outcomes map[TransactionID]outcome
}

type outcome struct {
	committed bool
	result    Result
}

// Read returns one row for each key, all read at one moment.
func (m *Memory) Read(ctx context.Context, keys ...Key) ([]Row, error) {
	if err := ready(ctx); err != nil {
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

// Scan returns up to limit rows in key order, all read at one moment. A limit
// below 1 is ErrInvalid.
func (m *Memory) Scan(ctx context.Context, prefix, after Key, limit int) ([]Row, error) {
	if err := ready(ctx); err != nil {
		return nil, err
	}
	if limit < 1 {
		return nil, fmt.Errorf("%w: scan limit %d", ErrInvalid, limit)
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

// Commit applies a transaction, or returns the result of the one with its id.
func (m *Memory) Commit(ctx context.Context, tx Transaction) (Result, error) {
	if err := ready(ctx); err != nil {
		return Result{}, err
	}
	if err := tx.Validate(); err != nil {
		return Result{}, err
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if known, ok := m.outcomes[tx.ID]; ok {
		return known.answer(tx.ID)
	}
	if err := m.check(tx.Conditions); err != nil {
		m.settle(tx.ID, outcome{})
		return Result{}, err
	}
	result := m.apply(tx.Writes)
	m.settle(tx.ID, outcome{committed: true, result: result})
	if m.OnCommit != nil {
		m.OnCommit(tx, result.clone())
	}
	return result.clone(), nil
}

// Outcome reports whether a transaction was committed. If not, it never will be.
func (m *Memory) Outcome(ctx context.Context, id TransactionID) (Result, bool, error) {
	if err := ready(ctx); err != nil {
		return Result{}, false, err
	}
	if id == "" || len(id) > MaxKey {
		return Result{}, false, fmt.Errorf("%w: transaction id of %d bytes", ErrInvalid, len(id))
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	known, ok := m.outcomes[id]
	if !ok {
		m.settle(id, outcome{})
	}
	return known.result.clone(), known.committed, nil
}

func ready(ctx context.Context) error {
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

func (m *Memory) check(conditions []Condition) error {
	for _, condition := range conditions {
		if version := m.rows[condition.Key].Version; version != condition.Version {
			return fmt.Errorf("%w: row %q has version %d, want %d", ErrConflict, condition.Key, version, condition.Version)
		}
	}
	return nil
}

func (m *Memory) apply(writes []Write) Result {
	// One counter for all rows keeps a row that is deleted and made again from
	// repeating a version.
	m.last++
	result := Result{Versions: make(map[Key]Version, len(writes))}
	for _, write := range writes {
		if write.Delete {
			m.remove(write.Key)
			result.Versions[write.Key] = 0
			continue
		}
		m.put(Row{Key: write.Key, Value: bytes.Clone(write.Value), Version: m.last})
		result.Versions[write.Key] = m.last
	}
	return result
}

func (m *Memory) put(row Row) {
	if m.rows == nil {
		m.rows = map[Key]Row{}
	}
	if at, found := slices.BinarySearch(m.keys, row.Key); !found {
		m.keys = slices.Insert(m.keys, at, row.Key)
	}
	m.rows[row.Key] = row
}

func (m *Memory) remove(key Key) {
	if at, found := slices.BinarySearch(m.keys, key); found {
		m.keys = slices.Delete(m.keys, at, at+1)
	}
	delete(m.rows, key)
}

func (m *Memory) settle(id TransactionID, o outcome) {
	if m.outcomes == nil {
		m.outcomes = map[TransactionID]outcome{}
	}
	m.outcomes[id] = o
}

func (o outcome) answer(id TransactionID) (Result, error) {
	if !o.committed {
		return Result{}, fmt.Errorf("%w: transaction %q is already settled as not committed", ErrConflict, id)
	}
	return o.result.clone(), nil
}

func (r Result) clone() Result {
	return Result{Versions: maps.Clone(r.Versions)}
}
