package chart

import "sync"

// LeaseState is a state of a worker's lease as the owner bounds it.
type LeaseState string

// States of charts/lease.json.
const (
	LeaseAbsent   LeaseState = "Absent"
	LeaseHeld     LeaseState = "Held"
	LeaseExpiring LeaseState = "Expiring"
	LeaseEnded    LeaseState = "Ended"
)

// LeaseEvent is an event of charts/lease.json.
type LeaseEvent string

// Events of charts/lease.json.
const (
	LeaseOnNamed  LeaseEvent = "Named"
	LeaseOnMissed LeaseEvent = "Missed"
	LeaseOnReturn LeaseEvent = "Return"
	LeaseOnExpire LeaseEvent = "Expire"
)

var loadLease = sync.OnceValue(mustEmbedded[LeaseState, LeaseEvent]("lease"))

// Lease returns the machine of a worker's lease as the owner bounds it.
func Lease() Machine[LeaseState, LeaseEvent] {
	return loadLease()
}
