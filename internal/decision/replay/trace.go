// Package replay runs recorded facts through placement policies under a simulated
// clock and reports what came of them. It knows the true slowdown of pairs, which
// the policies have to find out from lagging samples.
package replay

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
	"github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/placement"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/manifest"
)

// Kind of a record.
type Kind string

// Kinds of records with the types of their facts.
const (
	KindSetup  Kind = "Setup"  // Setup, always first
	KindLoad   Kind = "Load"   // Load
	KindSubmit Kind = "Submit" // Submit
	KindCancel Kind = "Cancel" // Cancel
	KindFault  Kind = "Fault"  // Fault
	KindNoise  Kind = "Noise"  // Noise
	KindZone   Kind = "Zone"   // Zone
)

// maxLine bounds a line of a trace in bytes.
const maxLine = 64 << 10

// Record is a line of a trace: a fact at a time from the start of the trace.
type Record struct {
	At   manifest.Duration
	Kind Kind
	Fact json.RawMessage
}

// Setup describes the fleet, split evenly over two availability zones, and the
// outcome that the engine has to reach.
type Setup struct {
	User     User
	Length   manifest.Duration
	Workers  int
	Capacity resource.Vector
	Reserved resource.Vector
	Service  manifest.ServiceName
	Target   manifest.Duration
	Outcome  Outcome
}

// Outcome is what a trace demands of the engine. Zero values demand nothing but
// in the lists, which must match.
type Outcome struct {
	// MaxLateShare bounds the late answers, 0 to 1.
	MaxLateShare float64
	// MinFinished bounds the finished tasks from below.
	MinFinished int
	// MinAwayWork bounds the work completed while a zone is away, in processor seconds.
	MinAwayWork float64
	// MaxUrgentWait bounds the time from the submission to the start of urgent tasks.
	MaxUrgentWait manifest.Duration
	Quarantined   []int
	Parked        []worker.JobID
	Refused       []worker.JobID
}

// Load sets the request rate for each executor, in requests per second.
type Load struct{ Rate float64 }

// Submit is a job. True is what its tasks really use, Duration how long they run
// with it; Fails makes each of them fail.
type Submit struct {
	ID             worker.JobID
	Class          manifest.ClassName
	Priority       placement.Priority
	Tasks          int
	Declared       resource.Vector
	True           resource.Vector
	Expected       manifest.Duration
	Duration       manifest.Duration
	Deadline       manifest.Duration
	Gang           bool
	Checkpointable bool
	Fails          bool
}

// Cancel withdraws a job.
type Cancel struct{ ID worker.JobID }

// Fault makes a worker fail each task that it starts, or ends that.
type Fault struct {
	Worker int
	Fails  bool
}

// Noise multiplies the true slowdown by a class.
type Noise struct {
	Class  manifest.ClassName
	Factor float64
}

// Zone takes the first availability zone out of service or brings it back.
type Zone struct{ Out bool }

// Read reads a trace from JSON lines. Errors name the line.
func Read(r io.Reader) ([]Record, error) {
	var records []Record
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for line := 1; scanner.Scan(); line++ {
		var record Record
		if err := json.Unmarshal(scanner.Bytes(), &record); err != nil {
			return nil, fmt.Errorf("line %d: %w", line, err)
		}
		records = append(records, record)
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("read trace: %w", err)
	}
	if len(records) == 0 || records[0].Kind != KindSetup {
		return nil, fmt.Errorf("line 1: a trace begins with a %s record", KindSetup)
	}
	return records, nil
}

// Write writes a trace as JSON lines.
func Write(w io.Writer, records []Record) error {
	encoder := json.NewEncoder(w)
	for _, record := range records {
		if err := encoder.Encode(record); err != nil {
			return fmt.Errorf("write trace: %w", err)
		}
	}
	return nil
}

func fact[T any](record Record) (T, error) {
	var value T
	if err := json.Unmarshal(record.Fact, &value); err != nil {
		return value, fmt.Errorf("%s at %s: %w", record.Kind, time.Duration(record.At), err)
	}
	return value, nil
}
