package chart

import "sync"

// OwnershipState is the state of an entry instance's ownership of one shard.
type OwnershipState string

// States in charts/ownership.json.
const (
	OwnershipUnowned    OwnershipState = "Unowned"
	OwnershipClaiming   OwnershipState = "Claiming"
	OwnershipWaiting    OwnershipState = "Waiting"
	OwnershipRecovering OwnershipState = "Recovering"
	OwnershipOwned      OwnershipState = "Owned"
	OwnershipSuspended  OwnershipState = "Suspended"
	OwnershipReleasing  OwnershipState = "Releasing"
)

// OwnershipEvent is an event in charts/ownership.json.
type OwnershipEvent string

// Events in charts/ownership.json.
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

var loadOwnership = sync.OnceValue(embeddedLoader[OwnershipState, OwnershipEvent]("ownership"))

// Ownership returns the state machine of an entry instance's ownership of one shard.
func Ownership() Machine[OwnershipState, OwnershipEvent] {
	return loadOwnership()
}
