package dispatcher

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/table"
)

// Prefixes of the rows of the shard: table, part and key.
const (
	ownerKey       table.Key = "owner/main/owner"
	estimatesKey   table.Key = "owner/main/estimates"
	fleetKey       table.Key = "owner/main/fleet"
	jobPrefix      table.Key = "job/main/"
	cancelPrefix   table.Key = "cancel/main/"
	progressPrefix table.Key = "progress/main/"
)

// ownerRow names the owner of the shard.
type ownerRow struct {
	Node    membership.InstanceID
	Address string
	Epoch   dispatch.Epoch
	// Sequence rises with each transaction of the owner.
	Sequence int64
	// Released reports that the owner has given the shard back.
	Released bool `json:",omitempty"`
}

// jobRow is an accepted job, or its outcome once it is over.
type jobRow struct {
	Job     *dispatch.Job     `json:",omitempty"`
	Outcome dispatch.JobState `json:",omitempty"`
	// Ended is when the outcome was stored, by the clock of the owner.
	Ended time.Time `json:",omitzero"`
}

func jobKey(id dispatch.JobID) table.Key      { return jobPrefix + table.Key(id) }
func cancelKey(id dispatch.JobID) table.Key   { return cancelPrefix + table.Key(id) }
func progressKey(id dispatch.JobID) table.Key { return progressPrefix + table.Key(id) }

// jobOf returns the id of the job whose row has the key.
func jobOf(key, prefix table.Key) dispatch.JobID {
	return dispatch.JobID(key[len(prefix):])
}

// encode returns the content of a row.
func encode[Content any](content Content) []byte {
	value, err := json.Marshal(content)
	if err != nil {
		// The row types have only fields that can be encoded.
		panic(fmt.Sprintf("dispatcher: encode %T: %v", content, err))
	}
	return value
}

// maxProgressBytes keeps a progress row within what the store takes: 64 KiB before
// it is encoded for the wire.
const maxProgressBytes = 60 << 10

// encodeProgress returns the content of a progress row. A row that would be too large
// goes without checkpoints, which costs only work that is done again.
func encodeProgress(p dispatch.Progress) []byte {
	value := encode(p)
	if len(value) <= maxProgressBytes {
		return value
	}
	steps := slices.Clone(p.Steps)
	for i := range steps {
		steps[i].Checkpoints = nil
	}
	return encode(dispatch.Progress{Steps: steps})
}

// decode reads the content of a row.
func decode[Content any](row table.Row) (Content, error) {
	var content Content
	if err := json.Unmarshal(row.Value, &content); err != nil {
		return content, fmt.Errorf("row %s: %w", row.Key, err)
	}
	return content, nil
}
