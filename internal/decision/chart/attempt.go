package chart

import "sync"

// AttemptState is what an owner knows of an attempt that it gave to a worker.
type AttemptState string

// States of charts/attempt.json.
const (
	// AttemptQueued attempts wait for the next sync.
	AttemptQueued AttemptState = "Queued"
	// AttemptInDoubt attempts were sent; the worker may or may not have started them.
	AttemptInDoubt AttemptState = "InDoubt"
	// AttemptRunning attempts were in an answer of the worker.
	AttemptRunning AttemptState = "Running"
	AttemptEnded   AttemptState = "Ended"
)

// AttemptEvent is an event of charts/attempt.json.
type AttemptEvent string

// Events of charts/attempt.json.
const (
	AttemptOnSend AttemptEvent = "Send"
	// AttemptOnSendBack means that the request with the start was not carried out.
	AttemptOnSendBack AttemptEvent = "SendBack"
	AttemptOnConfirm  AttemptEvent = "Confirm"
	AttemptOnEnd      AttemptEvent = "End"
)

var loadAttempt = sync.OnceValue(mustEmbedded[AttemptState, AttemptEvent]("attempt"))

// Attempt returns the machine of an attempt.
func Attempt() Machine[AttemptState, AttemptEvent] {
	return loadAttempt()
}
