// Package slots decides which entry instance may use which slots and connections of the
// executors of a shard. It does no I/O: callers pass messages and the current time.
//
// An Allocator is the shard owner's record of all grants; a Holder manages the grants of
// one entry instance. Neither is safe for concurrent use. Each uses the monotonic clock
// of its own instance.
//
// A holder counts the term of a grant from when it sent its request, the owner from
// when it granted, so the term ends at the holder first. The owner counts a grant as
// used until its term and then its MaxDuration, the longest allowed duration of a request,
// have passed.
package slots

import (
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// Config holds the durations and limits of the grant protocol.
type Config struct {
	// DemandTerm and BaseTerm are the durations of demand grants and base grants. Demand
	// grants outlast a takeover (3 s until the owner is suspected, then 5 s until its
	// authority has ended). Otherwise half of the slots would be idle until the
	// successor grants them again.
	DemandTerm, BaseTerm time.Duration
	// MaxClockDrift is the largest relative error of the rate of each clock.
	MaxClockDrift float64
	// MaxGrantsPerCall limits the grants that one call makes or recalls.
	MaxGrantsPerCall int
	// MaxExecutorsPerCall limits the executors that one call examines.
	MaxExecutorsPerCall int
}

// DefaultConfig returns the configuration for production use.
func DefaultConfig() Config {
	return Config{
		DemandTerm:          15 * time.Second,
		BaseTerm:            10 * time.Minute,
		MaxClockDrift:       0.01,
		MaxGrantsPerCall:    16,
		MaxExecutorsPerCall: 64,
	}
}

// term returns the duration of a kind of grant.
func (c Config) term(kind Kind) time.Duration {
	if kind == Base {
		return c.BaseTerm
	}
	return c.DemandTerm
}

// waitWithDrift returns how long to wait by this instance's clock until d has passed by
// every other clock.
func (c Config) waitWithDrift(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + c.MaxClockDrift) / (1 - c.MaxClockDrift))
}

// Kind is the kind of a grant.
type Kind string

// Kinds of grants. Base grants keep requests running while the shard has no owner;
// demand grants follow the load.
const (
	Base   Kind = "Base"
	Demand Kind = "Demand"
)

// Amount is a number of slots and connections.
type Amount struct {
	Slots       int
	Connections int
}

func (a Amount) plus(b Amount) Amount {
	return Amount{a.Slots + b.Slots, a.Connections + b.Connections}
}

func (a Amount) minus(b Amount) Amount {
	return Amount{a.Slots - b.Slots, a.Connections - b.Connections}
}

// minimum returns the smaller number of slots and of connections.
func (a Amount) minimum(b Amount) Amount {
	return Amount{min(a.Slots, b.Slots), min(a.Connections, b.Connections)}
}

// clampToZero returns the amount with negative numbers replaced by zero.
func (a Amount) clampToZero() Amount {
	return Amount{max(a.Slots, 0), max(a.Connections, 0)}
}

func (a Amount) isZero() bool {
	return a == Amount{}
}

// GrantID identifies a grant by the owner's epoch and a number that is unique within
// it.
type GrantID struct {
	Epoch  worker.Epoch
	Number uint64
}

// Grant assigns slots and connections of an executor to an entry instance for a term.
type Grant struct {
	ID       GrantID
	Executor membership.InstanceID
	Holder   membership.InstanceID
	Kind     Kind
	Amount   Amount
	// Term counts from when the holder sent the request that the grant or its renewal
	// answers.
	Term time.Duration
	// MaxDuration is the longest allowed duration of a request to the executor's
	// service.
	MaxDuration time.Duration
}

// KeptAmount tells the owner how much of a grant its holder keeps. It only lowers the
// amount, so a repeated or late message does no harm.
type KeptAmount struct {
	ID     GrantID
	Amount Amount
}

// Renewal asks to extend a grant, of which the holder keeps an amount.
type Renewal struct {
	KeptAmount
	// Recalled reports that the holder starts no new requests under the grant.
	Recalled bool
}

// FenceReport is a holder's answer to a fence. It lists the holder's grants; of an
// expired grant, it lists the amount still in use, including requests in flight and
// feeds.
type FenceReport struct {
	Holder membership.InstanceID
	Grants []Grant
}

// Executor describes an executor of the shard.
type Executor struct {
	ID          membership.InstanceID
	Service     string
	Capacity    Amount
	MaxDuration time.Duration
	// Leaving executors get no new grants, and their grants are not renewed except for
	// what is in use after a recall.
	Leaving bool
}

// capacityOf returns the half of the capacity that is reserved for a kind of grant.
func (e Executor) capacityOf(kind Kind) Amount {
	base := Amount{e.Capacity.Slots / 2, e.Capacity.Connections / 2}
	if kind == Base {
		return base
	}
	return e.Capacity.minus(base)
}
