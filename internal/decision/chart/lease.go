package chart

import "sync"

// LeaseState is what an owner knows of the lease that it gives to a worker.
type LeaseState string

// States of charts/lease.json.
const (
	// LeaseAbsent means that the worker has not answered this owner yet.
	LeaseAbsent LeaseState = "Absent"
	LeaseHeld   LeaseState = "Held"
	// LeaseLate means that one sync had no answer.
	LeaseLate LeaseState = "Late"
	// LeaseUnreachable workers get no new tasks; their tasks may still run.
	LeaseUnreachable LeaseState = "Unreachable"
	// LeaseEnded means that nothing can run on the worker any more.
	LeaseEnded LeaseState = "Ended"
)

// LeaseEvent is an event of charts/lease.json.
type LeaseEvent string

// Events of charts/lease.json.
const (
	LeaseOnAnswer LeaseEvent = "Answer"
	LeaseOnMiss   LeaseEvent = "Miss"
	LeaseOnExpire LeaseEvent = "Expire"
)

var loadLease = sync.OnceValue(mustEmbedded[LeaseState, LeaseEvent]("lease"))

// Lease returns the machine of a worker's lease.
func Lease() Machine[LeaseState, LeaseEvent] {
	return loadLease()
}
