package chart

import "sync"

// AttemptState is the shard owner's view of a task attempt that it assigned to a worker.
type AttemptState string

// States in charts/attempt.json.
const (
	// AttemptQueued means that the start waits for the next sync with the worker.
	AttemptQueued AttemptState = "Queued"
	// AttemptInDoubt means that the start was sent, but the worker has not confirmed
	// it. The attempt may or may not be running.
	AttemptInDoubt AttemptState = "InDoubt"
	// AttemptRunning means that the worker has reported the attempt.
	AttemptRunning AttemptState = "Running"
	AttemptEnded   AttemptState = "Ended"
)

// AttemptEvent is an event in charts/attempt.json.
type AttemptEvent string

// Events in charts/attempt.json.
const (
	AttemptOnSend AttemptEvent = "Send"
	// AttemptOnSendBack means that the worker did not carry out the request that
	// contained the start.
	AttemptOnSendBack AttemptEvent = "SendBack"
	AttemptOnConfirm  AttemptEvent = "Confirm"
	AttemptOnEnd      AttemptEvent = "End"
)

var loadAttempt = sync.OnceValue(embeddedLoader[AttemptState, AttemptEvent]("attempt"))

// Attempt returns the state machine of a task attempt.
func Attempt() Machine[AttemptState, AttemptEvent] {
	return loadAttempt()
}
