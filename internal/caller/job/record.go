// Package job accepts batch jobs from callers and keeps their records in the
// table.
package job

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/manifest"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/object"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/table"
)

// CallerKey is the caller's own name for a job; it is unique within a team.
type CallerKey string

// Priority of a job.
type Priority string

// Priorities. Urgent jobs start first, within their team's urgent quota.
const (
	Normal Priority = "Normal"
	Urgent Priority = "Urgent"
)

// Spec is what a caller submits.
type Spec struct {
	Class    manifest.ClassName
	Priority Priority
	// Tasks is the number of tasks, 1 or more.
	Tasks int
	// Gang requires that all tasks start together.
	Gang bool
	// Deadline is when the job should be finished; the zero time is no deadline.
	Deadline time.Time
	// Payload is given to each task. In a Record it is empty if it is in the object
	// store.
	Payload json.RawMessage
}

// State of a job.
type State string

// States of a job.
const (
	Queued    State = "Queued"
	Succeeded State = "Succeeded"
	Parked    State = "Parked"
	Cancelled State = "Cancelled"
	Refused   State = "Refused"
)

// IsFinal reports whether no task of the job will start any more.
func (s State) IsFinal() bool {
	return s == Succeeded || s == Cancelled || s == Refused
}

// Record is the durable state of a job.
type Record struct {
	ID        worker.JobID
	Team      manifest.TeamName
	Key       CallerKey
	Spec      Spec
	State     State
	Submitted time.Time
	// Manifest is the version under which the job was accepted.
	Manifest manifest.Version
	// PayloadKey is the object that has the payload, empty if Spec has it.
	PayloadKey object.Key
	// Done has the indexes of the tasks whose results are recorded.
	Done Ranges
	// Flushes is the number of result rows of the job.
	Flushes int
	// Reason tells why the job is parked.
	Reason string
	// Moves counts the shards that handed the job on.
	Moves int
}

// TaskResult is the recorded result of a task.
type TaskResult struct {
	Index   int
	Attempt worker.Attempt
	Worker  membership.InstanceID
	Result  []byte
}

// InboxKind tells what an inbox entry asks a shard's owner to do.
type InboxKind string

// Kinds of inbox entries.
const (
	InboxJob    InboxKind = "Job"
	InboxCancel InboxKind = "Cancel"
)

// InboxEntry tells the owner of a shard about a change to one of its jobs.
type InboxEntry struct {
	Kind InboxKind
	Job  worker.JobID
	// Team and Key name the job to its caller.
	Team manifest.TeamName
	Key  CallerKey
}

// Location is the content of a caller key's row: where the job's record is.
type Location struct {
	ID    worker.JobID
	Shard worker.ShardID
}

// jobIDBytes is the length of a job id before it is written in hexadecimal.
const jobIDBytes = 16

// NewID returns the id of a team's job with a key. The same key gives the same id.
func NewID(team manifest.TeamName, key CallerKey) worker.JobID {
	// The length keeps ("ab", "c") and ("a", "bc") apart.
	sum := sha256.Sum256(fmt.Appendf(nil, "%d:%s:%s", len(team), team, key))
	return worker.JobID(hex.EncodeToString(sum[:jobIDBytes]))
}

// TaskIDOf returns the id of a job's task.
func TaskIDOf(id worker.JobID, index int) worker.TaskID {
	return worker.TaskID(string(id) + "/" + strconv.Itoa(index))
}

// SplitTaskID returns the job and the index of a task.
func SplitTaskID(id worker.TaskID) (worker.JobID, int, error) {
	name, number, found := strings.Cut(string(id), "/")
	index, err := strconv.Atoi(number)
	if !found || err != nil || index < 0 {
		return "", 0, fmt.Errorf("%q is not a task id of the form <job id>/<index>", id)
	}
	return worker.JobID(name), index, nil
}

// KeyRow returns the key of the row that maps a caller key to its job.
func KeyRow(team manifest.TeamName, key CallerKey) table.Key {
	return table.Key(fmt.Sprintf("key/%s/%s", team, key))
}

// RecordPrefix returns the prefix of the rows of a shard's jobs.
func RecordPrefix(shard worker.ShardID) table.Key {
	return table.Key(fmt.Sprintf("job/%s/", shard))
}

// RecordRow returns the key of a job's record.
func RecordRow(shard worker.ShardID, id worker.JobID) table.Key {
	return RecordPrefix(shard) + table.Key(id)
}

// InboxPrefix returns the prefix of a shard's inbox.
func InboxPrefix(shard worker.ShardID) table.Key {
	return table.Key(fmt.Sprintf("inbox/%s/", shard))
}

// InboxRow returns the key of an inbox entry.
func InboxRow(shard worker.ShardID, entry string) table.Key {
	return InboxPrefix(shard) + table.Key(entry)
}

// ResultPrefix returns the prefix of a job's result rows.
func ResultPrefix(id worker.JobID) table.Key {
	return table.Key(fmt.Sprintf("result/%s/", id))
}

// ResultRow returns the key of a job's result row with a flush number.
func ResultRow(id worker.JobID, flush int) table.Key {
	return ResultPrefix(id) + table.Key(fmt.Sprintf("%08d", flush))
}

// DecodeRecord returns the content of a job's row.
func DecodeRecord(row table.Row) (Record, error) {
	var record Record
	if err := json.Unmarshal(row.Value, &record); err != nil {
		return Record{}, fmt.Errorf("row %s: %w", row.Key, err)
	}
	return record, nil
}
