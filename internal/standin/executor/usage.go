package executor

import (
	"slices"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
)

// maxLatencies bounds the number of latencies kept between two calls of Usage.
const maxLatencies = 1 << 16

// recordLatency adds the latency of a request.
func (e *Executor) recordLatency(latency time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.latencies) < maxLatencies {
		e.latencies = append(e.latencies, latency)
	}
}

// Usage returns the number of requests and their p99 latency since the last call,
// for the worker on the executor's instance. Feeds and responses that were cut off don't
// count.
func (e *Executor) Usage() worker.ExecutorUsage {
	e.mu.Lock()
	latencies := e.latencies
	e.latencies = nil
	e.mu.Unlock()
	usage := worker.ExecutorUsage{Executor: e.ID, Service: e.Service, Requests: len(latencies)}
	if len(latencies) > 0 {
		slices.Sort(latencies)
		usage.P99 = latencies[(len(latencies)*99+99)/100-1]
	}
	return usage
}
