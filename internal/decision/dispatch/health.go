package dispatch

import (
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/mechanism"
)

const (
	// failureWindow is how long a failed run counts against its worker.
	failureWindow = 6 * time.Second
	// quarantineFailures is the number of different jobs that must fail on a worker
	// within failureWindow, without a success, for the worker to be quarantined. Such a
	// worker fails everything that it starts.
	quarantineFailures = 2
	// quarantineDuration is how long a quarantined worker gets no new tasks.
	quarantineDuration = 5 * time.Second
)

// health is the recent failure history of a worker.
type health struct {
	failedJobs       map[JobID]time.Time
	quarantinedUntil time.Time
}

// recordEnd records that a run succeeded or failed.
func (h *health) recordEnd(now time.Time, id JobID, failed bool) {
	if !failed {
		clear(h.failedJobs)
		return
	}
	if h.failedJobs == nil {
		h.failedJobs = map[JobID]time.Time{}
	}
	h.failedJobs[id] = now
	for other, at := range h.failedJobs {
		if now.Sub(at) > failureWindow {
			delete(h.failedJobs, other)
		}
	}
	if len(h.failedJobs) >= quarantineFailures {
		h.quarantinedUntil = now.Add(quarantineDuration)
	}
}

// isQuarantined reports whether the worker gets no new tasks.
func (h *health) isQuarantined(now time.Time) bool {
	return now.Before(h.quarantinedUntil)
}

// isQuarantined reports whether a worker gets no new tasks because it fails everything.
func (e *Engine) isQuarantined(now time.Time, w *worker) bool {
	return w.health.isQuarantined(now) && !e.isDisabled(mechanism.Quarantine)
}

// failures returns the number of jobs that failed on the worker recently, with no
// success since.
func (h *health) failures(now time.Time) int {
	recent := 0
	for _, at := range h.failedJobs {
		if now.Sub(at) <= failureWindow {
			recent++
		}
	}
	return recent
}
