// Package dispatcher runs the dispatch of jobs on an entry instance. Every instance
// answers callers; one of them owns the shard and runs the dispatch engine.
//
// The owner is the instance that the shard's owner row names. It writes the row
// with each of its transactions, and every transaction is conditional on the row's
// version, so that an owner that was replaced writes nothing more. Workers ignore
// commands of lower epochs.
package dispatcher

import (
	"context"
	"errors"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"github.com/jacinthtrail/jacinthtrail/internal/caller/queue"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/counter"
	"github.com/jacinthtrail/jacinthtrail/internal/peer/entry"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/table"
)

// Store is the platform's table service.
type Store interface {
	table.Watcher
	// Read returns a row; an absent one has version 0.
	Read(ctx context.Context, key table.Key) (table.Row, error)
	// Commit applies a transaction. It fails with table.ErrConflict,
	// table.ErrUnavailable or table.ErrOutcomeUnknown.
	Commit(ctx context.Context, tx table.Transaction) (table.Version, error)
}

// Workers sends commands to workers under an epoch.
type Workers interface {
	Start(ctx context.Context, epoch dispatch.Epoch, c dispatch.Command) (dispatch.StartResult, time.Duration)
	// Stop returns the worker's clock. It fails with ErrFenced.
	Stop(ctx context.Context, epoch dispatch.Epoch, c dispatch.Command) (time.Duration, error)
	Pace(ctx context.Context, epoch dispatch.Epoch, c dispatch.Command) error
	// Poll renews leases and returns the worker's report. It fails with ErrFenced or
	// ErrReplaced.
	Poll(ctx context.Context, epoch dispatch.Epoch, id membership.InstanceID, p dispatch.Poll) (dispatch.Report, error)
}

// ErrFenced reports that a worker has seen a higher epoch. Nothing was done.
var ErrFenced = errors.New("dispatcher: the worker has seen a higher epoch")

// ErrReplaced reports that another worker answers at the address. The one that was asked
// for has ended, with all that ran on it.
var ErrReplaced = errors.New("dispatcher: another worker answers at the address")

// Policy is the service that knows which workers may run a step.
type Policy interface {
	// Advise returns the workers that may run the step, and how long the tickets hold.
	Advise(ctx context.Context, r dispatch.AdviceRequest) ([]dispatch.Grant, time.Duration, error)
}

// Catalog reads what the operator and the workers have written to the store.
type Catalog interface {
	// OperatorPrefix and WorkersPrefix begin the keys of those rows.
	OperatorPrefix() table.Key
	WorkersPrefix() table.Key
	// Operator returns the configuration, and what is wrong with rows that were left out.
	Operator(rows map[table.Key]table.Row) (queue.Configuration, error)
	// Workers returns the workers, and what is wrong with rows that were left out.
	Workers(rows map[table.Key]table.Row) ([]dispatch.WorkerInfo, error)
}

// Options are the settings and dependencies of a Node.
type Options struct {
	// Name identifies the entry instance for its lifetime.
	Name membership.InstanceID
	// PeerAddress is where other instances reach this one.
	PeerAddress string
	// Seeds are peer addresses to ask first.
	Seeds []string
	// Cores is the instance's share of processors. Stronger instances own more shards;
	// 0 is unknown.
	Cores float64
	// LeaseTerm is how long a worker goes on without a renewal.
	LeaseTerm time.Duration
	// RemoteFactor is that of dispatch.Options.
	RemoteFactor float64

	Store   Store
	Workers Workers
	Catalog Catalog
	// Policy is nil where there is none.
	Policy   Policy
	Peers    *entry.Client
	Counters *counter.Set
	// Suspended returns for how long the machine has been suspended since its start;
	// nil if that can't be told.
	Suspended func() time.Duration
	// Latencies may be nil.
	Latencies *counter.Histograms
	Clock     clockwork.Clock
	// Log is for changes of state, Routine for the ordinary course of each task.
	Log     zerolog.Logger
	Routine zerolog.Logger
}
