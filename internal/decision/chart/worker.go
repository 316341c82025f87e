package chart

import "sync"

// WorkerState is the health of a worker. It decides whether the worker gets tasks.
type WorkerState string

// States in charts/worker.json.
const (
	WorkerHealthy     WorkerState = "Healthy"
	WorkerQuarantined WorkerState = "Quarantined"
	// WorkerProbing means that a quarantined worker runs one task as a trial. If the
	// task succeeds, the worker gets tasks again.
	WorkerProbing WorkerState = "Probing"
)

// WorkerEvent is an event in charts/worker.json.
type WorkerEvent string

// Events in charts/worker.json.
const (
	WorkerOnQuarantine WorkerEvent = "Condemn"
	WorkerOnProbe      WorkerEvent = "Probe"
	WorkerOnProbeFail  WorkerEvent = "ProbeFail"
	WorkerOnReadmit    WorkerEvent = "Readmit"
)

var loadWorker = sync.OnceValue(embeddedLoader[WorkerState, WorkerEvent]("worker"))

// Worker returns the state machine of a worker's health.
func Worker() Machine[WorkerState, WorkerEvent] {
	return loadWorker()
}
