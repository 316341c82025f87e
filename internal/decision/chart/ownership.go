package chart

import "sync"

// OwnershipState is a state of an entry instance towards one shard.
type OwnershipState string

// States of charts/ownership.json.
const (
	OwnershipUnowned    OwnershipState = "Unowned"
	OwnershipClaiming   OwnershipState = "Claiming"
	OwnershipWaiting    OwnershipState = "Waiting"
	OwnershipRecovering OwnershipState = "Recovering"
	OwnershipOwned      OwnershipState = "Owned"
	OwnershipSuspended  OwnershipState = "Suspended"
	OwnershipReleasing  OwnershipState = "Releasing"
)

// OwnershipEvent is an event of charts/ownership.json.
type OwnershipEvent string

// Events of charts/ownership.json.
const (
	OwnershipOnClaim     OwnershipEvent = "Claim"
	OwnershipOnClaimWon  OwnershipEvent = "ClaimWon"
	OwnershipOnClaimLost OwnershipEvent = "ClaimLost"
	OwnershipOnAuthorize OwnershipEvent = "Authorize"
	OwnershipOnSupersede OwnershipEvent = "Supersede"
	OwnershipOnRelease   OwnershipEvent = "Release"
	OwnershipOnRecover   OwnershipEvent = "Recover"
	OwnershipOnSuspend   OwnershipEvent = "Suspend"
	OwnershipOnReleased  OwnershipEvent = "Released"
)

var loadOwnership = sync.OnceValue(mustEmbedded[OwnershipState, OwnershipEvent]("ownership"))

// Ownership returns the machine of an entry instance towards one shard.
func Ownership() Machine[OwnershipState, OwnershipEvent] {
	return loadOwnership()
}
