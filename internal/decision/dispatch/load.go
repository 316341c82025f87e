package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/balance"
)

// Demand returns the resources that a job needs.
func (j *Job) Demand() balance.Demand {
	var d balance.Demand
	for i := range j.Steps {
		s := &j.Steps[i]
		s.addDemand(&d, s.Tasks)
	}
	return d
}

// addDemand adds the demand of a number of tasks of the step.
func (s *Step) addDemand(d *balance.Demand, tasks int) {
	switch {
	case s.LongRunning:
		d.LongRunning += s.Reserved().Processors * resource.MilliProcessors(tasks)
	case s.Filler:
		d.FillerWork += processorTime(s.work(tasks))
	default:
		d.ReservingWork += processorTime(s.work(tasks))
	}
}

// startedProcessors returns the processors that the long-running tasks of the job need which run or ran
// before.
func (j *job) startedProcessors() resource.MilliProcessors {
	started := resource.MilliProcessors(0)
	if !j.Steps[0].LongRunning {
		return started
	}
	for s := range j.openSteps() {
		tasks := s.count(func(t *task) bool { return t.attempt != nil || !t.downSince().IsZero() })
		started += s.Resources.Processors * resource.MilliProcessors(tasks)
	}
	return started
}

// tasksElsewhere returns the number of tasks that other shards run.
func (s *step) tasksElsewhere() int {
	if len(s.job.transfers) == 0 && len(s.job.Transferred) == 0 {
		return 0
	}
	return s.count(func(t *task) bool { return t.elsewhere })
}

// remainingDemand returns the demand of the tasks of this shard that haven't succeeded.
func (j *job) remainingDemand() balance.Demand {
	var d balance.Demand
	for i := range j.Steps {
		j.Steps[i].addDemand(&d, j.Steps[i].Tasks*j.unopened)
	}
	for s := range j.openSteps() {
		s.addDemand(&d, s.remainingTasks-s.tasksElsewhere())
	}
	return d
}

// Load returns the shard's capacity and its remaining work. Work without remaining
// value is excluded, because it runs only on capacity that nothing else needs.
func (e *Engine) Load(now time.Time) balance.Load {
	var l balance.Load
	for _, w := range e.sortedWorkers {
		if w.mayBeAvailable(now) && !e.isQuarantined(now, w) && !e.zonesOutOfService[w.Zone] {
			l.Capacity += w.Capacity.Processors
		}
	}
	l.Rooms = e.rooms(now)
	for _, j := range e.jobs {
		if j.outcome == "" && j.urgency(now) != overdue {
			l = l.Add(j.remainingDemand())
			l.Started += j.startedProcessors()
		}
	}
	return l
}

// maxRooms limits the workers whose room is reported to other shards.
const maxRooms = 8

// rooms returns the workers with the most room for long-running tasks of other shards that are down.
// Such tasks go before short ones, whose room counts as free.
func (e *Engine) rooms(now time.Time) []balance.Room {
	if e.recovering || len(e.urgentRestarts) > 0 {
		return nil
	}
	var rooms []balance.Room
	for _, w := range e.sortedWorkers {
		if w.schedulable && len(w.orphans) == 0 && !w.hold.isActive(now) {
			rooms = append(rooms, balance.Room{Service: string(w.Service), Free: w.free().Add(w.shortTaskResources())})
		}
	}
	slices.SortStableFunc(rooms, func(a, b balance.Room) int {
		return cmp.Compare(b.Free.Processors, a.Free.Processors)
	})
	return slices.Clone(rooms[:min(maxRooms, len(rooms))])
}

// mayBeAvailable reports whether the worker is available, or hasn't been polled yet.
func (w *worker) mayBeAvailable(now time.Time) bool {
	return w.isAvailable(now) || (!w.reported && w.listed && !w.Draining && w.missedPolls == 0)
}

// processorTime converts processor seconds to a duration.
func processorTime(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}

// Unstarted returns up to limit jobs that have waited for at least the given time
// without any task ever being started, longest waiting first.
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

// Withdraw removes a job of which no task was ever started, and reports whether it did.
func (e *Engine) Withdraw(now time.Time, id JobID) bool {
	j := e.jobs[id]
	if j == nil || e.recovering || !j.isUnstarted() || len(j.transfers) > 0 || len(j.Transferred) > 0 {
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
	j.eachRecord(func(t *task) { started = started || t.run > 0 || t.attempt != nil || t.done })
	return !started
}
