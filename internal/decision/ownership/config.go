// Package ownership decides which entry instance of an availability zone may act for a
// shard. It does no I/O: callers pass messages and the current time, and carry out the
// returned actions.
//
// A ZoneView is one instance's view of the member set of its availability zone and of the
// zone's shards; a ShardView is its view of one shard. Neither is safe for concurrent use.
// Times are those of the instance's own monotonic clock, and only differences between
// them are used.
//
// At most one instance has authority over a shard at a time. An owner has authority
// only while its last table read began less than AuthorityTerm ago, or while it has a
// current promise from every member that it knows of. After a claim by another instance,
// the previous owner loses the authority from table reads within AuthorityTerm, because
// later reads show the claim. It loses the authority from promises if it needs the
// promise of the claimant, which the claimant withholds, or that of a member that knows
// of the claim. It may not know members that joined after its own claim, so
// ShardView.readyAt makes such a member wait longer when it claims the shard.
package ownership

import "time"

// Config holds the durations of the ownership protocol.
type Config struct {
	// AuthorityTerm is how long a table read or a promise gives an owner authority,
	// counted from when the request was sent.
	AuthorityTerm time.Duration
	// MaxIsolation is how long an owner may keep authority by promises alone, counted
	// from the start of its last confirming table read, which is the last one that showed
	// its own epoch.
	MaxIsolation time.Duration
	// SuspicionTimeout is the time without a sign of activity after which an owner is
	// assumed to have failed.
	SuspicionTimeout time.Duration
	// OwnerReadInterval and MemberReadInterval are the times between table reads of
	// owners and of other members.
	OwnerReadInterval, MemberReadInterval time.Duration
	// PromiseRequestAge is how long after the start of its last confirming table read an owner
	// begins to request promises. Requesting them earlier would delay a takeover after the
	// owner's failure, because a member does not claim until its promise has expired.
	PromiseRequestAge time.Duration
	// ClaimStagger is the delay between the claims of candidates of successive rank.
	ClaimStagger time.Duration
	// WriteRetryDelay is the delay after a write until the next one.
	WriteRetryDelay time.Duration
	// MemberRemovalTimeout is the silence after which a member that the platform no
	// longer lists is removed from the member set.
	MemberRemovalTimeout time.Duration
	// RebalanceDelay is how long another member must be preferred for a shard before
	// the owner releases it.
	RebalanceDelay time.Duration
	// MaxClockDrift is the largest relative error of the rate of each clock.
	MaxClockDrift float64
}

// DefaultConfig returns the configuration for production use.
func DefaultConfig() Config {
	return Config{
		AuthorityTerm:        5 * time.Second,
		MaxIsolation:         10 * time.Minute,
		SuspicionTimeout:     3 * time.Second,
		OwnerReadInterval:    time.Second,
		MemberReadInterval:   5 * time.Second,
		PromiseRequestAge:    2 * time.Second,
		ClaimStagger:         time.Second,
		WriteRetryDelay:      time.Second,
		MemberRemovalTimeout: 30 * time.Second,
		RebalanceDelay:       time.Minute,
		MaxClockDrift:        0.01,
	}
}

// waitWithDrift returns how long to wait by this instance's clock until d has passed by
// the clock of every other instance. The two clocks may be off in opposite directions.
func (c Config) waitWithDrift(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + c.MaxClockDrift) / (1 - c.MaxClockDrift))
}
