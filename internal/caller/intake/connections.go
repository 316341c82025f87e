package intake

import "time"

// phase is what a connection is doing.
type phase int32

const (
	// phaseIdle is a connection of which no request has begun to arrive.
	phaseIdle phase = iota
	phaseHeader
	phaseBody
	phaseWriting
	// phaseHandling is a connection whose request is being handled. It isn't closed for another.
	phaseHandling
)

// minPhaseTime is how long a connection may be in a phase even if another caller needs its place.
// An idle connection may be closed at once.
const minPhaseTime = time.Second

var phaseNames = map[phase]string{phaseIdle: "Idle", phaseHeader: "Header", phaseBody: "Body", phaseWriting: "Writing", phaseHandling: "Handling"}

// activity is what a connection has been doing since when.
type activity struct {
	phase phase
	since time.Time
}

// selectConnection returns the index of the connection to close when a port has no place for a
// new one: the one that is idle for longest, or else the one that has been receiving or
// sending the same part for longest. It returns -1 if none may be closed.
func selectConnection(now time.Time, all []activity) int {
	selected := -1
	for i, a := range all {
		if a.phase == phaseHandling || a.phase != phaseIdle && now.Sub(a.since) < minPhaseTime {
			continue
		}
		if selected < 0 || a.isCloseableBefore(all[selected]) {
			selected = i
		}
	}
	return selected
}

func (a activity) isCloseableBefore(b activity) bool {
	if (a.phase == phaseIdle) != (b.phase == phaseIdle) {
		return a.phase == phaseIdle
	}
	return a.since.Before(b.since)
}
