package dispatch

import "time"

const (
	// failureMemory is how long a failed run speaks against its worker.
	failureMemory = 6 * time.Second
	// suspiciousFailures of different jobs in failureMemory without a success mark a
	// worker that fails all that it starts.
	suspiciousFailures = 2
	// quarantine is how long such a worker gets nothing new.
	quarantine = 5 * time.Second
)

// health is the recent record of a worker.
type health struct {
	jobs  map[JobID]time.Time
	until time.Time
}

// noteEnd enters the end of a run by itself.
func (h *health) noteEnd(now time.Time, id JobID, failed bool) {
	if !failed {
		clear(h.jobs)
		return
	}
	if h.jobs == nil {
		h.jobs = map[JobID]time.Time{}
	}
	h.jobs[id] = now
	for other, at := range h.jobs {
		if now.Sub(at) > failureMemory {
			delete(h.jobs, other)
		}
	}
	if len(h.jobs) >= suspiciousFailures {
		h.until = now.Add(quarantine)
	}
}

// isQuarantined reports whether the worker gets nothing new.
func (h *health) isQuarantined(now time.Time) bool {
	return now.Before(h.until)
}

// failures returns the number of jobs that recently failed here and no success since.
func (h *health) failures(now time.Time) int {
	recent := 0
	for _, at := range h.jobs {
		if now.Sub(at) <= failureMemory {
			recent++
		}
	}
	return recent
}
