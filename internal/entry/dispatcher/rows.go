package dispatcher

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/table"
)

// partition builds the row keys of one shard. The rows of a shard are in the same part
// of the store, so that one transaction can cover them.
type partition string

func (p partition) ownerKey() table.Key       { return p.key("owner", "owner") }
func (p partition) estimatesKey() table.Key   { return p.key("owner", "estimates") }
func (p partition) stoppingKey() table.Key    { return p.key("owner", "stopping") }
func (p partition) recordPrefix() table.Key   { return p.key("recovery", "") }
func (p partition) fleetPrefix() table.Key    { return p.key("fleet", "") }
func (p partition) jobPrefix() table.Key      { return p.key("job", "") }
func (p partition) cancelPrefix() table.Key   { return p.key("cancel", "") }
func (p partition) progressPrefix() table.Key { return p.key("progress", "") }
func (p partition) transferPrefix() table.Key { return p.key("transfer", "") }

func (p partition) jobKey(id dispatch.JobID) table.Key    { return p.key("job", string(id)) }
func (p partition) cancelKey(id dispatch.JobID) table.Key { return p.key("cancel", string(id)) }
func (p partition) recordKey(page int) table.Key          { return p.key("recovery", strconv.Itoa(page)) }

func (p partition) fleetKey(page int) table.Key             { return p.key("fleet", strconv.Itoa(page)) }
func (p partition) progressKey(id dispatch.JobID) table.Key { return p.key("progress", string(id)) }
func (p partition) transferKey(id dispatch.JobID) table.Key { return p.key("transfer", string(id)) }

// key returns the key of a row: table, part, and key within the part.
func (p partition) key(tableName, key string) table.Key {
	return table.Key(tableName + "/" + string(p) + "/" + key)
}

// ownerRow names the owner of a shard.
type ownerRow struct {
	Node    membership.InstanceID
	Address string
	Epoch   dispatch.Epoch
	// Sequence increases with each transaction of the owner.
	Sequence int64
	// Released reports that the owner has released the shard.
	Released bool `json:",omitempty"`
}

// stoppingRow has the runs that an owner was stopping when it released the shard.
type stoppingRow struct {
	Epoch dispatch.Epoch
	Runs  []dispatch.StoppingRun
}

const (
	// maxStoppingRuns limits the runs in a stoppingRow.
	maxStoppingRuns = 400
	// maxListBytes keeps a row that has a list below the limit of the store.
	maxListBytes = 48 << 10
)

// fittingPrefix returns the first items of a list, as many as fit in a row.
func fittingPrefix[Item any](list []Item) []Item {
	size := 0
	for i, item := range list {
		size += len(encode(item)) + len(",")
		if size > maxListBytes {
			return list[:i]
		}
	}
	return list
}

// jobRow is an accepted job, or its outcome once it has finished.
type jobRow struct {
	Job     *dispatch.Job     `json:",omitempty"`
	Outcome dispatch.JobState `json:",omitempty"`
	// Tombstone reports that the job was cancelled before it was stored, at Ended. To earlier builds it is a
	// cancelled job.
	Tombstone bool `json:",omitempty"`
	// Moved is the shard that the job moves to, nil if it stays. Job is omitted once that
	// shard has stored it.
	Moved *shardID `json:",omitempty"`
	// Ended is when the outcome was stored or Job was omitted, by the owner's clock, or that of the instance
	// that stored a tombstone.
	Ended time.Time `json:",omitzero"`
}

// jobIDOf returns the ID of the job whose row has the key.
func jobIDOf(key, prefix table.Key) dispatch.JobID {
	return dispatch.JobID(key[len(prefix):])
}

// encodeJob returns the value of the row of a job that a caller hands in, which may have any content. It
// fails with a *queue.Refusal if the store doesn't take such a row.
func encodeJob[Row jobRow | transferredJob](row Row) ([]byte, error) {
	value, err := json.Marshal(row)
	if err != nil || len(value) > maxJobBytes {
		return nil, notStorable()
	}
	return value, nil
}

// encode returns the value of a row.
func encode[Content any](content Content) []byte {
	value, err := json.Marshal(content)
	if err != nil {
		// All rows but those of jobs consist of fields that can be encoded.
		panic(fmt.Sprintf("dispatcher: encode %T: %v", content, err))
	}
	return value
}

// maxJobBytes keeps the row of a job below the limit of the store, also with the tasks that are
// transferred to another shard.
const maxJobBytes = 48 << 10

// decode decodes the value of a row.
func decode[Content any](row table.Row) (Content, error) {
	var content Content
	if err := json.Unmarshal(row.Value, &content); err != nil {
		return content, fmt.Errorf("row %s: %w", row.Key, err)
	}
	return content, nil
}
