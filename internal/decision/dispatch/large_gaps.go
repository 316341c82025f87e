package dispatch

import (
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/mechanism"
)

// largeTaskRetention is for how long after a large task was passed smaller ones leave large gaps.
const largeTaskRetention = 5 * time.Second

// largeTasks has the largest tasks of each service that were passed by smaller ones lately.
type largeTasks map[ServiceName]largeTask

type largeTask struct {
	processors resource.MilliProcessors
	passedAt   time.Time
}

// note records that a step was passed by smaller tasks.
func (l largeTasks) note(now time.Time, s *step) {
	known := l[s.job.queue.Service]
	need := s.Reserved().Processors
	if now.Sub(known.passedAt) > largeTaskRetention || need >= known.processors {
		l[s.job.queue.Service] = largeTask{need, now}
	}
}

// leavesLargeGaps reports whether the step's tasks go where serving tasks leave the least room, because larger
// ones have found none lately.
func (e *Engine) leavesLargeGaps(now time.Time, s *step) bool {
	large, known := e.largeTasks[s.job.queue.Service]
	return known && now.Sub(large.passedAt) <= largeTaskRetention && s.Resources.Processors < large.processors &&
		!e.isDisabled(mechanism.LargeGaps)
}
