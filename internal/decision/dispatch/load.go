package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/balance"
)

// Demand returns what a job needs.
func (j *Job) Demand() balance.Demand {
	var d balance.Demand
	for i := range j.Steps {
		s := &j.Steps[i]
		s.addDemand(&d, s.Tasks)
	}
	return d
}

// addDemand adds what a number of tasks of the step need.
func (s *Step) addDemand(d *balance.Demand, tasks int) {
	switch {
	case s.LongRunning:
		d.Lasting += s.Reserved().Processors * resource.MilliProcessors(tasks)
	case s.Filler:
		d.Filling += processorTime(s.work(tasks))
	default:
		d.Reserving += processorTime(s.work(tasks))
	}
}

// remainingDemand returns what the tasks that haven't succeeded need.
func (j *job) remainingDemand() balance.Demand {
	var d balance.Demand
	for _, steps := range j.occurrences {
		for _, s := range steps {
			s.addDemand(&d, s.remainingTasks)
		}
	}
	return d
}

// Load returns what the shard has and what it has to do. Work that is worth nothing any
// more is done with what is left over and doesn't count.
func (e *Engine) Load(now time.Time) balance.Load {
	var l balance.Load
	for _, n := range e.sortedWorkers {
		if n.mayBeAvailable(now) && !n.health.isQuarantined(now) && !e.zonesOutOfService[n.Zone] {
			l.Capacity += n.Capacity.Processors
		}
	}
	for _, j := range e.jobs {
		if j.outcome == "" && j.urgency(now) != overdue {
			l = l.Add(j.remainingDemand())
		}
	}
	return l
}

// mayBeAvailable reports whether the worker is sound, or hasn't been asked yet.
func (n *node) mayBeAvailable(now time.Time) bool {
	return n.isAvailable(now) || (!n.reported && n.listed && !n.Draining && n.missedPolls == 0)
}

// processorTime converts processor seconds.
func processorTime(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}

// Unstarted returns jobs that have waited for the given time and of which nothing was
// ever started, the longest waiting first, up to a limit.
func (e *Engine) Unstarted(now time.Time, wait time.Duration, limit int) []Job {
	if e.recovering || e.suspended {
		return nil
	}
	var list []Job
	for _, j := range e.jobs {
		if now.Sub(j.addedAt) >= wait && j.isUnstarted() {
			list = append(list, j.Job)
		}
	}
	slices.SortFunc(list, func(a, b Job) int {
		return cmp.Or(a.Accepted.Compare(b.Accepted), cmp.Compare(a.ID, b.ID))
	})
	return list[:min(limit, len(list))]
}

// Withdraw forgets a job of which nothing was ever started, and reports whether it did.
func (e *Engine) Withdraw(now time.Time, id JobID) bool {
	j := e.jobs[id]
	if j == nil || e.recovering || !j.isUnstarted() {
		return false
	}
	delete(e.jobs, id)
	delete(e.dirty, id)
	e.record(now, Decision{Event: "JobWithdrawn", Job: id})
	return true
}

// isUnstarted reports whether no start command was ever sent for the job.
func (j *job) isUnstarted() bool {
	if j.started || j.cancelled || j.outcome != "" || j.Repetitions > 0 {
		return false
	}
	started := false
	j.eachTask(func(t *task) { started = started || t.run > 0 || t.attempt != nil || t.done })
	return !started
}
