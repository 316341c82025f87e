package diagnosis

import (
	"slices"
	"strings"
	"time"
)

// maxRunFactor limits how long a run counts, as a multiple of the median of its step: a
// run that took longer was on a slow worker, which is no part of the work.
const maxRunFactor = 1.5

// objectiveOfWork returns the objective that follows from how long the tasks took. The
// objective in the log rests on the client's estimates, which may be off by half. It returns
// the one in the log if the job hasn't completed or the queue's settings aren't logged.
func (h *jobHistory) objectiveOfWork() time.Duration {
	if h.state != "Completed" || h.slackFactor <= 0 {
		return h.objective
	}
	work := h.criticalPath()
	if work <= 0 {
		return h.objective
	}
	return time.Duration(h.slackFactor*float64(work)) + h.targetLatency
}

// stepRuns are the successful runs of a step.
type stepRuns struct {
	durations      []time.Duration
	started, ended time.Time
}

// longest returns the duration of the longest run, limited by maxRunFactor.
func (s *stepRuns) longest() time.Duration {
	slices.Sort(s.durations)
	median := s.durations[(len(s.durations)-1)/2]
	return min(s.durations[len(s.durations)-1], time.Duration(maxRunFactor*float64(median)))
}

// criticalPath returns the duration of the longest chain of steps. A step that began after
// all runs of an earlier one had ended counts as dependent on it.
func (h *jobHistory) criticalPath() time.Duration {
	byStep := map[string]*stepRuns{}
	for _, r := range h.runs {
		if r.endReason != "Done" {
			continue
		}
		key := r.task[:max(strings.LastIndex(r.task, "/"), 0)]
		s := byStep[key]
		if s == nil {
			s = &stepRuns{started: r.started, ended: r.ended}
			byStep[key] = s
		}
		s.durations = append(s.durations, r.ended.Sub(r.started))
		if r.ended.After(s.ended) {
			s.ended = r.ended
		}
	}
	steps := make([]*stepRuns, 0, len(byStep))
	for _, s := range byStep {
		steps = append(steps, s)
	}
	slices.SortFunc(steps, func(a, b *stepRuns) int { return a.started.Compare(b.started) })
	paths := make([]time.Duration, len(steps))
	longest := time.Duration(0)
	for i, s := range steps {
		for k, earlier := range steps[:i] {
			if !s.started.Before(earlier.ended) {
				paths[i] = max(paths[i], paths[k])
			}
		}
		paths[i] += s.longest()
		longest = max(longest, paths[i])
	}
	return longest
}
