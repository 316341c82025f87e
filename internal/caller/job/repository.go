package job

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/manifest"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/object"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/table"
)

// ErrNotFound reports that the team has no job with the key.
var ErrNotFound = errors.New("job: not found")

const (
	// maxMoveAttempts bounds the attempts of a lookup or a cancellation while the job
	// moves to other shards.
	maxMoveAttempts = 3
	// maxSubmitAttempts bounds the attempts of a submission while an expired tombstone is deleted.
	maxSubmitAttempts = 3
)

// maxInlinePayload is the largest payload in bytes that is stored in a record. Larger
// ones go to the object store, because a shard's owner loads all records of the shard
// into memory.
const maxInlinePayload = 16 << 10

// Repository reads and writes jobs in the table, and large payloads in the object
// store.
type Repository struct {
	Store   table.Store
	Objects object.Store
	Clock   clockwork.Clock
	// Tombstones limits the tombstones that this instance stores. It may be nil.
	Tombstones Limiter
}

// Submit stores a job and notifies the owner of its shard. If the team already has a
// job with the key, Submit changes nothing and returns that job with created false. It fails with
// ErrCancelledBefore if the job was cancelled before.
func (r Repository) Submit(ctx context.Context, record Record, shard worker.ShardID) (stored Record, created bool, err error) {
	if record, err = r.storePayload(ctx, record); err != nil {
		return Record{}, false, err
	}
	for range maxSubmitAttempts {
		tx, err := submissionTransaction(record, shard)
		if err != nil {
			return Record{}, false, err
		}
		_, err = table.CommitResolved(ctx, r.Store, r.Clock, tx)
		if err == nil {
			return record, true, nil
		}
		if !errors.Is(err, table.ErrConflict) {
			return Record{}, false, fmt.Errorf("submit job %s: %w", record.ID, err)
		}
		stored, err = r.Find(ctx, record.Team, record.Key)
		if !errors.Is(err, ErrNotFound) {
			return stored, false, err
		}
		if err := r.checkTombstone(ctx, record.Team, record.Key); err != nil {
			return Record{}, false, err
		}
	}
	return Record{}, false, fmt.Errorf("submit job %s: %w", record.ID, table.ErrUnavailable)
}

// storePayload moves a large payload to the object store. The object's key contains
// the digest of the payload, so that a repeated submission with another payload
// doesn't overwrite the payload of the accepted job.
func (r Repository) storePayload(ctx context.Context, record Record) (Record, error) {
	if len(record.Spec.Payload) <= maxInlinePayload {
		return record, nil
	}
	digest := sha256.Sum256(record.Spec.Payload)
	key := object.Key("payload/" + string(record.ID) + "/" + hex.EncodeToString(digest[:]))
	if err := r.Objects.Put(ctx, key, record.Spec.Payload); err != nil {
		return record, fmt.Errorf("store the payload of job %s: %w", record.ID, err)
	}
	record.Spec.Payload, record.PayloadKey = nil, key
	return record, nil
}

func submissionTransaction(record Record, shard worker.ShardID) (table.Transaction, error) {
	recordJSON, err := json.Marshal(record)
	if err != nil {
		return table.Transaction{}, fmt.Errorf("encode job %s: %w", record.ID, err)
	}
	locationJSON, err := json.Marshal(Location{ID: record.ID, Shard: shard})
	if err != nil {
		return table.Transaction{}, fmt.Errorf("encode the location of job %s: %w", record.ID, err)
	}
	entryJSON, err := json.Marshal(InboxEntry{Kind: InboxJob, Job: record.ID, Team: record.Team, Key: record.Key})
	if err != nil {
		return table.Transaction{}, fmt.Errorf("encode an inbox entry for job %s: %w", record.ID, err)
	}
	id := uuid.NewString()
	return table.Transaction{
		ID:         table.TransactionID(id),
		Conditions: []table.Condition{{Key: KeyRow(record.Team, record.Key)}, {Key: tombstoneRow(record.Team, record.Key)}},
		Writes: []table.Write{
			{Key: KeyRow(record.Team, record.Key), Value: locationJSON},
			{Key: RecordRow(shard, record.ID), Value: recordJSON},
			{Key: InboxRow(shard, id), Value: entryJSON},
		},
	}, nil
}

// Locate returns the shard of a team's job. It fails with ErrNotFound if there is none.
func (r Repository) Locate(ctx context.Context, team manifest.TeamName, key CallerKey) (worker.ShardID, error) {
	location, _, err := r.locate(ctx, team, key)
	return location.Shard, err
}

// locate returns the location of a job's record and the version of the location's row.
func (r Repository) locate(ctx context.Context, team manifest.TeamName, key CallerKey) (Location, table.Version, error) {
	rows, err := r.Store.Read(ctx, KeyRow(team, key))
	if err != nil {
		return Location{}, 0, fmt.Errorf("look up job %s/%s: %w", team, key, err)
	}
	if rows[0].Version == 0 {
		return Location{}, 0, fmt.Errorf("%w: team %s has no job %q", ErrNotFound, team, key)
	}
	var location Location
	if err := json.Unmarshal(rows[0].Value, &location); err != nil {
		return Location{}, 0, fmt.Errorf("decode row %s: %w", rows[0].Key, err)
	}
	return location, rows[0].Version, nil
}

// Find returns the record of a team's job. It fails with ErrNotFound if there is none.
func (r Repository) Find(ctx context.Context, team manifest.TeamName, key CallerKey) (Record, error) {
	for range maxMoveAttempts {
		location, _, err := r.locate(ctx, team, key)
		if err != nil {
			return Record{}, err
		}
		rows, err := r.Store.Read(ctx, RecordRow(location.Shard, location.ID))
		if err != nil {
			return Record{}, fmt.Errorf("read job %s: %w", location.ID, err)
		}
		if rows[0].Version != 0 {
			return DecodeRecord(rows[0])
		}
		// The job moved to another shard between the two reads, so look it up again.
	}
	return Record{}, fmt.Errorf("read job %s/%s: %w", team, key, table.ErrUnavailable)
}

// Cancel notifies the owner of the job's shard to cancel the job. Cancelling a job
// that has ended changes nothing. It fails with ErrNotFound if the team has no job with the key, and none is
// stored for TombstoneRetention.
func (r Repository) Cancel(ctx context.Context, team manifest.TeamName, key CallerKey) error {
	for range maxMoveAttempts {
		location, version, err := r.locate(ctx, team, key)
		if errors.Is(err, ErrNotFound) {
			storeErr := r.storeTombstone(ctx, team, key)
			switch {
			case errors.Is(storeErr, table.ErrConflict):
				continue
			case storeErr != nil:
				return storeErr
			}
			return err
		}
		if err != nil {
			return err
		}
		entryJSON, err := json.Marshal(InboxEntry{Kind: InboxCancel, Job: location.ID, Team: team, Key: key})
		if err != nil {
			return fmt.Errorf("encode an inbox entry for job %s: %w", location.ID, err)
		}
		id := uuid.NewString()
		_, err = table.CommitResolved(ctx, r.Store, r.Clock, table.Transaction{
			ID: table.TransactionID(id),
			// The condition fails if the job has moved, because the entry would be in the
			// inbox of the wrong shard.
			Conditions: []table.Condition{{Key: KeyRow(team, key), Version: version}},
			Writes:     []table.Write{{Key: InboxRow(location.Shard, id), Value: entryJSON}},
		})
		if errors.Is(err, table.ErrConflict) {
			continue
		}
		if err != nil {
			return fmt.Errorf("cancel job %s: %w", location.ID, err)
		}
		return nil
	}
	return fmt.Errorf("cancel job %s/%s: it moved to another shard on every attempt: %w", team, key, table.ErrUnavailable)
}

// Results returns the recorded results of a job in the order in which they were stored.
func (r Repository) Results(ctx context.Context, id worker.JobID) ([]TaskResult, error) {
	var results []TaskResult
	lastKey := table.Key("")
	for {
		rows, err := r.Store.Scan(ctx, ResultPrefix(id), lastKey, resultPageSize)
		if err != nil {
			return nil, fmt.Errorf("read the results of job %s: %w", id, err)
		}
		for _, row := range rows {
			var batch []TaskResult
			if err := json.Unmarshal(row.Value, &batch); err != nil {
				return nil, fmt.Errorf("decode row %s: %w", row.Key, err)
			}
			results = append(results, batch...)
		}
		if len(rows) < resultPageSize {
			return results, nil
		}
		lastKey = rows[len(rows)-1].Key
	}
}

// resultPageSize is the maximum number of result rows that one scan returns.
const resultPageSize = 100
