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

// CallerKey is the name that the caller gives to a job. It is unique within a team.
type CallerKey string

// Priority of a job.
type Priority string

// Priorities. Urgent jobs start first, within their team's urgent quota.
const (
	Normal Priority = "Normal"
	Urgent Priority = "Urgent"
)

// Spec is the specification of a job that a caller submits.
type Spec struct {
	Class    manifest.ClassName
	Priority Priority
	// Tasks is the number of tasks, 1 or more.
	Tasks int
	// Gang requires that all tasks start together.
	Gang bool
	// Deadline is when the job should have finished; the zero time means no deadline.
	Deadline time.Time
	// Payload is passed to each task. It is empty in a Record whose payload is in the
	// object store.
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
	// Manifest is the manifest version that was in force when the job was accepted.
	Manifest manifest.Version
	// PayloadKey is the key of the object with the payload, empty if Spec holds it.
	PayloadKey object.Key
	// Done holds the indexes of the tasks whose results are recorded.
	Done Ranges
	// Flushes is the number of result rows of the job.
	Flushes int
	// Reason says why the job is parked.
	Reason string
	// Moves is the number of times that the job moved to another shard.
	Moves int
}

// TaskResult is the recorded result of a task.
type TaskResult struct {
	Index   int
	Attempt worker.Attempt
	Worker  membership.InstanceID
	Result  []byte
}

// InboxKind is the type of change that an inbox entry reports.
type InboxKind string

// Kinds of inbox entries.
const (
	InboxJob    InboxKind = "Job"
	InboxCancel InboxKind = "Cancel"
)

// InboxEntry notifies the owner of a shard of a change to one of its jobs.
type InboxEntry struct {
	Kind InboxKind
	Job  worker.JobID
	// Team and Key identify the job to its caller.
	Team manifest.TeamName
	Key  CallerKey
}

// Location is the value of the row of a caller key. It says where the job's record is
// stored.
type Location struct {
	ID    worker.JobID
	Shard worker.ShardID
}

// jobIDBytes is the length of a job id in bytes before hexadecimal encoding.
const jobIDBytes = 16

// NewID derives a job's id from its team and caller key, so that a repeated submission
// has the same id.
func NewID(team manifest.TeamName, key CallerKey) worker.JobID {
	// The length of the team name makes the hashed text of ("a", "b:c") differ from
	// that of ("a:b", "c").
	sum := sha256.Sum256(fmt.Appendf(nil, "%d:%s:%s", len(team), team, key))
	return worker.JobID(hex.EncodeToString(sum[:jobIDBytes]))
}

// NewTaskID returns the id of a job's task.
func NewTaskID(id worker.JobID, index int) worker.TaskID {
	return worker.TaskID(string(id) + "/" + strconv.Itoa(index))
}

// ParseTaskID returns the job id and the index in a task id.
func ParseTaskID(id worker.TaskID) (worker.JobID, int, error) {
	jobID, indexText, found := strings.Cut(string(id), "/")
	index, err := strconv.Atoi(indexText)
	if !found || err != nil || index < 0 {
		return "", 0, fmt.Errorf("%q is not a task id of the form <job id>/<index>", id)
	}
	return worker.JobID(jobID), index, nil
}

// KeyRow returns the key of the row that maps a caller key to its job.
func KeyRow(team manifest.TeamName, key CallerKey) table.Key {
	return table.Key(fmt.Sprintf("key/%s/%s", team, key))
}

// RecordPrefix returns the prefix of the keys of a shard's job records.
func RecordPrefix(shard worker.ShardID) table.Key {
	return table.Key(fmt.Sprintf("job/%s/", shard))
}

// RecordRow returns the key of the row with a job's record.
func RecordRow(shard worker.ShardID, id worker.JobID) table.Key {
	return RecordPrefix(shard) + table.Key(id)
}

// InboxPrefix returns the prefix of the keys of a shard's inbox entries.
func InboxPrefix(shard worker.ShardID) table.Key {
	return table.Key(fmt.Sprintf("inbox/%s/", shard))
}

// InboxRow returns the key of the row with an inbox entry.
func InboxRow(shard worker.ShardID, entry string) table.Key {
	return InboxPrefix(shard) + table.Key(entry)
}

// ResultPrefix returns the prefix of the keys of a job's result rows.
func ResultPrefix(id worker.JobID) table.Key {
	return table.Key(fmt.Sprintf("result/%s/", id))
}

// ResultRow returns the key of the result row that a flush of a job wrote.
func ResultRow(id worker.JobID, flush int) table.Key {
	return ResultPrefix(id) + table.Key(fmt.Sprintf("%08d", flush))
}

// DecodeRecord decodes the record in a job's row.
func DecodeRecord(row table.Row) (Record, error) {
	var record Record
	if err := json.Unmarshal(row.Value, &record); err != nil {
		return Record{}, fmt.Errorf("decode row %s: %w", row.Key, err)
	}
	return record, nil
}
