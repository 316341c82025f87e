// Package slots decides which entry instance may use which slots and connections of
// the executors of a shard. It does no I/O: facts and the current time go in.
//
// A Ledger is the owner's account, a Holder the share of one entry instance. Neither
// is safe for concurrent use. Times are those of the instance's own monotonic clock.
//
// A holder counts the term of a grant from when it sent its request, the owner from
// when it granted, so the holder's term ends first. The owner counts a grant as used
// until its term and the longest request under it are over.
package slots

import (
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// Terms are the durations and limits of the grant protocol.
type Terms struct {
	// Grant and Base are the terms of demand grants and base grants. Demand grants
	// outlast a takeover (3 s of suspicion and 5 s of authority), because half of the
	// slots would be idle until the successor lends them again.
	Grant, Base time.Duration
	// Drift bounds the error of the rate of each clock.
	Drift float64
	// MaxGrants bounds the grants made by one call.
	MaxGrants int
	// MaxScan bounds the executors that one call looks at.
	MaxScan int
}

// DefaultTerms returns the terms of the design.
func DefaultTerms() Terms {
	return Terms{
		Grant:     15 * time.Second,
		Base:      10 * time.Minute,
		Drift:     0.01,
		MaxGrants: 16,
		MaxScan:   64,
	}
}

// term returns the term of a kind of grant.
func (t Terms) term(kind Kind) time.Duration {
	if kind == Base {
		return t.Base
	}
	return t.Grant
}

// wait returns how long to wait by this instance's clock until d has passed by every
// other clock.
func (t Terms) wait(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + t.Drift) / (1 - t.Drift))
}

// Kind of a grant.
type Kind string

// Kinds of grants. Base grants keep requests running when the owner is gone; demand
// grants follow the load.
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

func (a Amount) least(b Amount) Amount {
	return Amount{min(a.Slots, b.Slots), min(a.Connections, b.Connections)}
}

// orNone returns the amount with negative parts set to zero.
func (a Amount) orNone() Amount {
	return Amount{max(a.Slots, 0), max(a.Connections, 0)}
}

func (a Amount) isZero() bool {
	return a == Amount{}
}

// GrantID identifies a grant by the epoch under which it was made and a number.
type GrantID struct {
	Epoch  worker.Epoch
	Number uint64
}

// Grant lends part of an executor to an entry instance.
type Grant struct {
	ID       GrantID
	Executor membership.InstanceID
	Holder   membership.InstanceID
	Kind     Kind
	Amount   Amount
	// Term counts from when the holder sent the request that made or renewed the grant.
	Term time.Duration
	// MaxDuration is the longest request of the executor's service.
	MaxDuration time.Duration
}

// Keep says how much of a grant its holder keeps. Sent twice or late, it does no harm.
type Keep struct {
	ID     GrantID
	Amount Amount
}

// Renewal asks to extend a grant of which the holder keeps an amount.
type Renewal struct {
	Keep
	// Recalled reports that the holder starts nothing more under the grant.
	Recalled bool
}

// FenceReport is a holder's answer to a fence: its grants, each with what is not expired
// or still in use, requests in flight and feeds included.
type FenceReport struct {
	Holder membership.InstanceID
	Grants []Grant
}

// Executor is an executor of the shard.
type Executor struct {
	ID          membership.InstanceID
	Service     string
	Capacity    Amount
	MaxDuration time.Duration
	// Leaving executors get no new and no renewed grants.
	Leaving bool
}

// half returns the part of the capacity that is lent as a kind.
func (e Executor) half(kind Kind) Amount {
	base := Amount{e.Capacity.Slots / 2, e.Capacity.Connections / 2}
	if kind == Base {
		return base
	}
	return e.Capacity.minus(base)
}
