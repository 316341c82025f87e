package chart

import "sync"

// WorkerState is a state of a worker's health.
type WorkerState string

// States of charts/worker.json.
const (
	WorkerHealthy     WorkerState = "Healthy"
	WorkerSuspect     WorkerState = "Suspect"
	WorkerUnreachable WorkerState = "Unreachable"
	WorkerQuarantined WorkerState = "Quarantined"
	WorkerProbing     WorkerState = "Probing"
	WorkerLeaving     WorkerState = "Leaving"
	WorkerGone        WorkerState = "Gone"
)

// WorkerEvent is an event of charts/worker.json.
type WorkerEvent string

// Events of charts/worker.json.
const (
	WorkerOnAnswer       WorkerEvent = "Answer"
	WorkerOnMiss         WorkerEvent = "Miss"
	WorkerOnCondemn      WorkerEvent = "Condemn"
	WorkerOnLeave        WorkerEvent = "Leave"
	WorkerOnRemove       WorkerEvent = "Remove"
	WorkerOnExpire       WorkerEvent = "Expire"
	WorkerOnProbe        WorkerEvent = "Probe"
	WorkerOnProbeSucceed WorkerEvent = "ProbeSucceed"
	WorkerOnProbeFail    WorkerEvent = "ProbeFail"
)

var loadWorker = sync.OnceValue(mustEmbedded[WorkerState, WorkerEvent]("worker"))

// Worker returns the machine of a worker's health.
func Worker() Machine[WorkerState, WorkerEvent] {
	return loadWorker()
}
