// Package replay runs recorded traces through placement policies under a simulated
// clock and reports the results. The simulation knows how much each task class slows
// the service down; the policies have to estimate it from delayed usage samples.
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

// Kind is the kind of a record.
type Kind string

// Kinds of records, each with the type of its Fact.
const (
	KindSetup  Kind = "Setup"  // Setup, always first
	KindLoad   Kind = "Load"   // Load
	KindSubmit Kind = "Submit" // Submit
	KindCancel Kind = "Cancel" // Cancel
	KindFault  Kind = "Fault"  // Fault
	KindNoise  Kind = "Noise"  // Noise
	KindZone   Kind = "Zone"   // Zone
)

// maxLineBytes limits the length of a trace line.
const maxLineBytes = 64 << 10

// Record is a line of a trace: an event and the time from the start of the trace at
// which it happens.
type Record struct {
	At   manifest.Duration
	Kind Kind
	Fact json.RawMessage
}

// Setup describes the workers, split evenly over two availability zones, and the
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

// Outcome is the result that a trace requires of the engine. A limit of zero
// requires nothing. The lists must match exactly, also empty ones.
type Outcome struct {
	// MaxLateShare is the largest share of late answers, 0 to 1.
	MaxLateShare float64
	// MinFinished is the smallest number of finished tasks.
	MinFinished int
	// MinAwayWork is the least work completed while a zone is out of service, in
	// processor seconds.
	MinAwayWork float64
	// MaxUrgentWait is the longest time from submission to start of an urgent task.
	MaxUrgentWait manifest.Duration
	// Quarantined has the indexes of the workers.
	Quarantined []int
	Parked      []worker.JobID
	Refused     []worker.JobID
}

// Load sets the request rate for each executor, in requests per second.
type Load struct{ Rate float64 }

// Submit submits a job. Declared is what its tasks reserve and Expected how long they
// are declared to run; True is what they really use and Duration how long they run with it.
// Fails makes each of them fail.
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

// Cancel cancels a job.
type Cancel struct{ ID worker.JobID }

// Fault makes all tasks of a worker fail, or lets them succeed again.
type Fault struct {
	Worker int
	Fails  bool
}

// Noise multiplies the true slowdown that tasks of a class cause by Factor.
type Noise struct {
	Class  manifest.ClassName
	Factor float64
}

// Zone takes the first availability zone out of service or brings it back.
type Zone struct{ Out bool }

// Read reads a trace from JSON lines. Errors give the line number.
func Read(r io.Reader) ([]Record, error) {
	var records []Record
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
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

// decodeFact decodes the Fact of a record. Errors give the record's kind and time.
func decodeFact[T any](record Record) (T, error) {
	var fact T
	if err := json.Unmarshal(record.Fact, &fact); err != nil {
		return fact, fmt.Errorf("%s at %s: %w", record.Kind, time.Duration(record.At), err)
	}
	return fact, nil
}
