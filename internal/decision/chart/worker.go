package chart

import "sync"

// WorkerState tells whether a worker gets tasks.
type WorkerState string

// States of charts/worker.json.
const (
	WorkerHealthy     WorkerState = "Healthy"
	WorkerQuarantined WorkerState = "Quarantined"
	// WorkerProbing workers get one task to show that they can run tasks again.
	WorkerProbing WorkerState = "Probing"
)

// WorkerEvent is an event of charts/worker.json.
type WorkerEvent string

// Events of charts/worker.json.
const (
	WorkerOnCondemn   WorkerEvent = "Condemn"
	WorkerOnProbe     WorkerEvent = "Probe"
	WorkerOnProbeFail WorkerEvent = "ProbeFail"
	WorkerOnReadmit   WorkerEvent = "Readmit"
)

var loadWorker = sync.OnceValue(mustEmbedded[WorkerState, WorkerEvent]("worker"))

// Worker returns the machine of a worker's health.
func Worker() Machine[WorkerState, WorkerEvent] {
	return loadWorker()
}
