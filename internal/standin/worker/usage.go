package worker

import (
	"time"

	protocol "github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// maxUsageSamples is the number of usage samples kept while no owner sends a sync
// request. Older samples are out of date.
const maxUsageSamples = 16

// usageRecorder records the worker's usage in periods. It is guarded by the worker's
// mutex.
type usageRecorder struct {
	periodStart time.Time
	executors   map[membership.InstanceID]protocol.ExecutorUsage
	recorded    []recordedSample
}

type recordedSample struct {
	end    time.Time
	sample protocol.UsageSample
}

// recordPeriod adds a sample of the current period if the period has ended, and begins
// the next one.
func (u *usageRecorder) recordPeriod(now time.Time, period time.Duration, tasks []*task) {
	if u.periodStart.IsZero() {
		u.periodStart = now
		return
	}
	elapsed := now.Sub(u.periodStart)
	if elapsed < period {
		return
	}
	sample := protocol.UsageSample{Period: elapsed}
	for _, t := range tasks {
		if t.loaded && t.progressedTo.After(u.periodStart) {
			sample.Tasks = append(sample.Tasks, t.takeUsage(elapsed))
		}
	}
	for _, executor := range u.executors {
		sample.Executors = append(sample.Executors, executor)
	}
	u.executors = nil
	u.periodStart = now
	u.recorded = append(u.recorded, recordedSample{end: now, sample: sample})
	if len(u.recorded) > maxUsageSamples {
		u.recorded = u.recorded[1:]
	}
}

// takeUsage returns the task's usage over a period and begins the next period.
func (t *task) takeUsage(period time.Duration) protocol.TaskUsage {
	progress := t.workDone - t.sampledWork
	t.sampledWork = t.workDone
	usage := protocol.TaskUsage{TaskAttempt: t.start.TaskAttempt, Class: t.start.Class, Observed: t.runningUse()}
	if t.payload.Work > 0 {
		usage.Rate = float64(progress) / float64(t.payload.Work) * 1000 / period.Seconds()
	}
	return usage
}

// takeSamples removes and returns the samples whose periods ended at least lag ago.
func (u *usageRecorder) takeSamples(now time.Time, lag time.Duration) []protocol.UsageSample {
	var taken []protocol.UsageSample
	for len(u.recorded) > 0 && now.Sub(u.recorded[0].end) >= lag {
		first := u.recorded[0]
		first.sample.Age = now.Sub(first.end)
		taken = append(taken, first.sample)
		u.recorded = u.recorded[1:]
	}
	return taken
}

// ReportExecutor records the usage of an executor on this instance for the current
// period. A later report of the same executor replaces it.
func (w *Worker) ReportExecutor(report protocol.ExecutorUsage) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.usage.executors == nil {
		w.usage.executors = make(map[membership.InstanceID]protocol.ExecutorUsage)
	}
	w.usage.executors[report.Executor] = report
}
