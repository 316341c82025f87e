package chart

import "sync"

// LeaseState is the shard owner's view of the lease that it gives to a worker.
type LeaseState string

// States in charts/lease.json.
const (
	// LeaseAbsent means that the worker has not answered a sync of this owner yet.
	LeaseAbsent LeaseState = "Absent"
	LeaseHeld   LeaseState = "Held"
	// LeaseLate means that the last sync got no answer.
	LeaseLate LeaseState = "Late"
	// LeaseUnreachable means that two syncs in a row got no answer. The worker gets no
	// new tasks; its present tasks may still run.
	LeaseUnreachable LeaseState = "Unreachable"
	// LeaseEnded means that the lease has expired, so no task can still run on the worker.
	LeaseEnded LeaseState = "Ended"
)

// LeaseEvent is an event in charts/lease.json.
type LeaseEvent string

// Events in charts/lease.json.
const (
	LeaseOnAnswer LeaseEvent = "Answer"
	LeaseOnMiss   LeaseEvent = "Miss"
	LeaseOnExpire LeaseEvent = "Expire"
)

var loadLease = sync.OnceValue(embeddedLoader[LeaseState, LeaseEvent]("lease"))

// Lease returns the state machine of a worker's lease.
func Lease() Machine[LeaseState, LeaseEvent] {
	return loadLease()
}
