package worker

import (
	"time"

	protocol "github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// maxSamples is the number of usage samples that are kept for an owner that does
// not ask. Older ones describe a state that no longer holds.
const maxSamples = 16

// usage measures the worker in periods. It is guarded by the worker's mutex.
type usage struct {
	begin     time.Time
	executors map[membership.InstanceID]protocol.ExecutorUsage
	samples   []sample
}

type sample struct {
	end   time.Time
	usage protocol.UsageSample
}

// sample closes the present period if it is over.
func (u *usage) sample(now time.Time, period time.Duration, tasks []*task) {
	if u.begin.IsZero() {
		u.begin = now
		return
	}
	elapsed := now.Sub(u.begin)
	if elapsed < period {
		return
	}
	closed := protocol.UsageSample{Period: elapsed}
	for _, t := range tasks {
		if t.loaded && t.ran.After(u.begin) {
			closed.Tasks = append(closed.Tasks, t.taskUsage(elapsed))
		}
	}
	for _, executor := range u.executors {
		closed.Executors = append(closed.Executors, executor)
	}
	u.executors = nil
	u.begin = now
	u.samples = append(u.samples, sample{end: now, usage: closed})
	if len(u.samples) > maxSamples {
		u.samples = u.samples[1:]
	}
}

// taskUsage describes the task over a period and begins the next one.
func (t *task) taskUsage(period time.Duration) protocol.TaskUsage {
	made := t.done - t.sampled
	t.sampled = t.done
	used := protocol.TaskUsage{TaskAttempt: t.start.TaskAttempt, Class: t.start.Class, Observed: t.use()}
	if t.payload.Work > 0 {
		used.Rate = float64(made) / float64(t.payload.Work) * 1000 / period.Seconds()
	}
	return used
}

// take removes and returns the samples whose periods ended at least lag ago.
func (u *usage) take(now time.Time, lag time.Duration) []protocol.UsageSample {
	var taken []protocol.UsageSample
	for len(u.samples) > 0 && now.Sub(u.samples[0].end) >= lag {
		first := u.samples[0]
		first.usage.Age = now.Sub(first.end)
		taken = append(taken, first.usage)
		u.samples = u.samples[1:]
	}
	return taken
}

// ReportExecutor adds what an executor on this instance measured in the present
// period. A later report of the same executor replaces it.
func (w *Worker) ReportExecutor(report protocol.ExecutorUsage) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.usage.executors == nil {
		w.usage.executors = make(map[membership.InstanceID]protocol.ExecutorUsage)
	}
	w.usage.executors[report.Executor] = report
}
