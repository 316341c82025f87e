package replay

import (
	"math"
	"slices"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
	"github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/placement"
)

// hostRate is the request rate at a host's executor. While a zone is away the
// other one gets its requests.
func (l *loop) hostRate(h *host) float64 {
	switch {
	case !l.away:
		return l.rate
	case h.zone == 0:
		return 0
	}
	return 2 * l.rate
}

// runHost runs the service and the tasks of a host for one step.
func (l *loop) runHost(h *host) {
	rate := l.hostRate(h)
	used := float64(l.Reserved.Processors) / 1000 * min(0.4*rate/referenceRate, 1)
	pressure, memory := 0.0, l.Reserved.Memory
	for _, t := range h.tasks {
		busy := float64(t.job.True.Processors) / 1000 * t.share
		used += busy
		pressure += busy * slowdowns[t.job.Class] * max(l.noise[t.job.Class], 1)
		memory += t.job.True.Memory
	}
	crowding := max(used/(float64(l.Capacity.Processors)/1000), 1)
	ratio := latency(rate, pressure, crowding)
	h.ratio += ratio * step.Seconds() / samplePeriod.Seconds()
	l.ratios += rate * math.Pow(ratio, tail)
	l.lates += rate * late(ratio)
	l.weights += rate
	if memory > l.Capacity.Memory {
		l.end(h, h.tasks[len(h.tasks)-1], placement.Failed, "out of memory")
	}
	for _, t := range slices.Clone(h.tasks) {
		l.runTask(h, t, crowding)
	}
}

func (l *loop) runTask(h *host, t *task, crowding float64) {
	progress := step.Seconds() * t.share / crowding
	t.done += progress
	l.gain(progress * float64(t.job.True.Processors) / 1000)
	switch {
	case !t.stopping.IsZero() && !l.now.Before(t.stopping):
		l.end(h, t, placement.Evicted, "")
	case (h.fails || t.job.Fails) && l.now.Sub(t.started) >= failTime:
		l.end(h, t, placement.Failed, "exit status 1")
	case t.done >= time.Duration(t.job.Duration).Seconds():
		l.end(h, t, placement.Succeeded, "")
	}
}

// end takes a task off its host and tells the policy.
func (l *loop) end(h *host, t *task, outcome placement.Outcome, reason string) {
	h.tasks = slices.DeleteFunc(h.tasks, func(other *task) bool { return other == t })
	j := t.job
	cores := float64(j.True.Processors) / 1000
	switch {
	case outcome == placement.Succeeded:
		l.complete(t)
	case outcome == placement.Evicted && j.Checkpointable:
		j.saved[t.index] = t.done
	default:
		lost := (t.done - j.saved[t.index]) * cores
		l.report.LostWork += lost
		l.gain(-lost)
	}
	if outcome == placement.Failed {
		l.report.Failures++
	}
	l.policies[h.zone].TaskEnded(l.now, placement.TaskEnd{TaskAttempt: t.TaskAttempt, Worker: h.id, Outcome: outcome, Reason: reason, Observed: j.True})
}

// gain counts work that was done, or with a negative amount must be done again.
func (l *loop) gain(work float64) {
	l.report.Work += work
	if l.away {
		l.report.AwayWork += work
	}
}

func (l *loop) complete(t *task) {
	j := t.job
	if j.finished[t.index] {
		l.report.Duplicates++
		return
	}
	j.finished[t.index] = true
	l.report.Finished++
	if len(j.finished) < j.Tasks {
		return
	}
	if j.Deadline > 0 && l.now.Sub(l.start) > time.Duration(j.Deadline) {
		l.report.LateJobs++
	}
	delete(l.jobs, j.ID)
}

// measure ends the sample period of a host. The sample arrives sampleAge later.
func (l *loop) measure(h *host) {
	rate := l.hostRate(h)
	noise := math.Exp(noiseDeviation * l.random.NormFloat64())
	p99 := time.Duration(h.ratio * noise * float64(l.Target))
	h.ratio = 0
	u := worker.UsageSample{Age: sampleAge, Period: samplePeriod}
	if rate > 0 {
		u.Executors = []worker.ExecutorUsage{{
			Executor: h.id, Service: string(l.Service), Requests: int(rate * samplePeriod.Seconds()), P99: p99,
		}}
	}
	for _, t := range h.tasks {
		observed := t.job.True
		observed.Processors = resource.MilliProcessors(float64(observed.Processors) * t.share)
		u.Tasks = append(u.Tasks, worker.TaskUsage{TaskAttempt: t.TaskAttempt, Class: string(t.job.Class), Observed: observed})
	}
	l.samples = append(l.samples, sample{l.now.Add(sampleAge), h, u})
}
