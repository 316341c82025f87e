// Package ownership decides which entry instance of an availability zone may act
// for a shard. It does no I/O: facts and the current time go in, actions come out.
//
// A Group is one instance's view of the member set of its availability zone and of
// the zone's shards; a Node is its view of one shard. Neither is safe for concurrent
// use. Times are those of the instance's own monotonic clock, and only differences
// are used.
//
// Why no two instances act for a shard at once. An owner acts only under a table
// read that began less than Authority ago, or with a promise from every member that
// it knows of. A claim ends the first after Authority. It ends the second when the
// claimant's own promise is needed and withheld, or a member whose promise is needed
// knows the claim. Members that joined after the previous owner's claim may be
// unknown to it, hence the extra waits of Node.readyAt.
package ownership

import "time"

// Terms are the durations of the ownership protocol.
type Terms struct {
	// Authority is how long a table read or a promise lets an owner act, from the
	// moment at which the request was sent.
	Authority time.Duration
	// Isolation is how long after its last table confirmation an owner may go on by
	// promises.
	Isolation time.Duration
	// Suspicion is the silence after which an owner is taken for dead.
	Suspicion time.Duration
	// OwnerRead and MemberRead are the times between table reads.
	OwnerRead, MemberRead time.Duration
	// PromiseAfter is the age of the table confirmation from which an owner asks for
	// promises. Asking earlier would delay the takeover from a dead owner, because a
	// member with an unexpired promise does not claim.
	PromiseAfter time.Duration
	// Stagger is the time between the claims of members of successive rank.
	Stagger time.Duration
	// Retry is the time between failed writes.
	Retry time.Duration
	// Drop is the silence after which a member that is no longer listed by the
	// platform is removed from the member set.
	Drop time.Duration
	// Rebalance is how long another member must be preferred before an owner hands
	// its shard over.
	Rebalance time.Duration
	// Drift bounds the error of the rate of each clock.
	Drift float64
}

// DefaultTerms returns the terms of the design.
func DefaultTerms() Terms {
	return Terms{
		Authority:    5 * time.Second,
		Isolation:    10 * time.Minute,
		Suspicion:    3 * time.Second,
		OwnerRead:    time.Second,
		MemberRead:   5 * time.Second,
		PromiseAfter: 2 * time.Second,
		Stagger:      time.Second,
		Retry:        time.Second,
		Drop:         30 * time.Second,
		Rebalance:    time.Minute,
		Drift:        0.01,
	}
}

// wait returns how long to wait by this instance's clock until d has passed by the
// clock of every other instance. Both clocks may be off, in opposite directions.
func (t Terms) wait(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + t.Drift) / (1 - t.Drift))
}
