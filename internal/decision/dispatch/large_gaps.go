package dispatch

import (
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/mechanism"
)

// largeTaskRetention is how long after a large task was last overtaken smaller ones are placed so that they
// leave large gaps.
const largeTaskRetention = 5 * time.Second

// largeTasks has, by service, the largest task that smaller ones overtook recently.
type largeTasks map[ServiceName]largeTask

type largeTask struct {
	processors  resource.MilliProcessors
	overtakenAt time.Time
}

// note records that smaller tasks overtook a step.
func (l largeTasks) note(now time.Time, s *step) {
	known := l[s.job.queue.Service]
	need := s.Reserved().Processors
	if now.Sub(known.overtakenAt) > largeTaskRetention || need >= known.processors {
		l[s.job.queue.Service] = largeTask{need, now}
	}
}

// leavesLargeGaps reports whether the step's tasks prefer the workers on which serving tasks leave the least
// room, because larger tasks found none recently.
func (e *Engine) leavesLargeGaps(now time.Time, s *step) bool {
	large, known := e.largeTasks[s.job.queue.Service]
	return known && now.Sub(large.overtakenAt) <= largeTaskRetention && s.Resources.Processors < large.processors &&
		!e.isDisabled(mechanism.LargeGaps)
}
