// Package dispatcher dispatches jobs on an entry instance. Every instance serves
// callers. Each shard is owned by one instance, which runs the dispatch engine for it.
//
// The owner is the instance that the shard's owner row names. It writes the row in each
// of its transactions, and each transaction is conditional on the row's version, so an
// owner that was replaced can't write any more. Each new owner has a higher epoch than
// the previous one, and a worker rejects calls with a lower epoch than it has seen.
package dispatcher

import (
	"context"
	"errors"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"github.com/jacinthtrail/jacinthtrail/internal/caller/queue"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/mechanism"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/counter"
	"github.com/jacinthtrail/jacinthtrail/internal/peer/entry"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/table"
)

// Store is the platform's table service.
type Store interface {
	table.Watcher
	// Read returns a row. The version is 0 if the row doesn't exist.
	Read(ctx context.Context, key table.Key) (table.Row, error)
	// Commit applies a transaction. It fails with table.ErrConflict, table.ErrUnavailable
	// or table.ErrOutcomeUnknown.
	Commit(ctx context.Context, tx table.Transaction) (table.Version, error)
}

// Workers sends commands to workers.
type Workers interface {
	Start(ctx context.Context, c dispatch.Command) dispatch.StartResult
	// Stop returns when the worker has accepted the command; the run may end later. It fails
	// with ErrStaleEpoch.
	Stop(ctx context.Context, c dispatch.Command) error
	// Pace sets the speed of a run, in percent of its full speed. It fails with
	// ErrStaleEpoch.
	Pace(ctx context.Context, c dispatch.Command) error
	// Poll renews leases and returns the worker's report. It fails with ErrStaleEpoch or
	// ErrWorkerReplaced.
	Poll(ctx context.Context, id membership.InstanceID, p dispatch.Poll) (dispatch.Report, error)
}

// ErrStaleEpoch reports that a worker rejected a call because it has seen a higher fence.
// The call had no effect.
var ErrStaleEpoch = errors.New("dispatcher: the worker has seen a higher epoch")

// ErrWorkerReplaced reports that another worker answers at the address. The expected worker
// and all its tasks have ended.
var ErrWorkerReplaced = errors.New("dispatcher: another worker answers at the address")

// Policy is the service that decides which workers may run a step.
type Policy interface {
	// Advise returns the workers that may run the step, and how long the tickets are
	// valid.
	Advise(ctx context.Context, r dispatch.AdviceRequest) ([]dispatch.Grant, time.Duration, error)
}

// Catalog decodes the rows that the operator and the workers have written to the store.
type Catalog interface {
	// OperatorPrefix and WorkersPrefix are the key prefixes of these rows.
	OperatorPrefix() table.Key
	WorkersPrefix() table.Key
	// Operator returns the configuration, and an error that describes rows that were
	// skipped.
	Operator(rows map[table.Key]table.Row) (queue.Configuration, error)
	// Workers returns the workers, and an error that describes rows that were skipped.
	Workers(rows map[table.Key]table.Row) ([]dispatch.WorkerInfo, error)
	// SameWorker reports whether two values of a worker's row say the same of the worker, so that
	// the later one is only a heartbeat.
	SameWorker(earlier, later []byte) bool
}

// Options are the settings and dependencies of a Node.
type Options struct {
	// Name identifies the entry instance for its lifetime.
	Name membership.InstanceID
	// Zone is the availability zone of the entry instance.
	Zone membership.Zone
	// PeerAddress is the address at which other instances reach this one.
	PeerAddress string
	// Seeds are the peer addresses to contact first.
	Seeds []string
	// IsSeed reports that other instances contact this one first.
	IsSeed bool
	// Cores is the instance's share of processors. Stronger instances own more shards. 0
	// means unknown.
	Cores float64
	// LeaseTerm is how long a worker continues without a lease renewal.
	LeaseTerm time.Duration
	// MaxLease is the longest lease that a worker grants.
	MaxLease time.Duration
	// JobMemory limits the memory that the jobs of this instance's shards take. 0 means no limit.
	JobMemory dispatch.MemoryLimit
	// ChangeBound is how soon a change in the store must take effect on this instance. 0 means
	// table.DefaultChangeBound.
	ChangeBound time.Duration
	// StopTimeout and RemoteDurationFactor are passed to dispatch.Options.
	StopTimeout          time.Duration
	RemoteDurationFactor float64

	Store   Store
	Workers Workers
	Catalog Catalog
	// Disabled are the parts of the scheduling policy that aren't used.
	Disabled mechanism.Set
	// Policy is nil if there is no placement policy.
	Policy   Policy
	Peers    *entry.Client
	Counters *counter.Set
	// SuspendedTime returns the total time that the machine has been suspended since it
	// started. It is nil if that can't be measured.
	SuspendedTime func() time.Duration
	// Latencies may be nil.
	Latencies *counter.Histograms
	Clock     clockwork.Clock
	// Log is for state changes, RoutineLog for the normal course of each task.
	Log        zerolog.Logger
	RoutineLog zerolog.Logger
}
