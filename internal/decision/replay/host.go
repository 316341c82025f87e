package replay

import (
	"math"
	"slices"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
	"github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/placement"
)

// hostRate returns the request rate at a host's executor. While the first zone is
// out of service, the second one serves its requests too.
func (sim *simulation) hostRate(h *host) float64 {
	switch {
	case !sim.zoneOut:
		return sim.requestRate
	case h.zone == 0:
		return 0
	}
	return 2 * sim.requestRate
}

// runHost simulates the service and the tasks of a host for one step.
func (sim *simulation) runHost(h *host) {
	rate := sim.hostRate(h)
	usedCores := float64(sim.Reserved.Processors) / 1000 * min(0.4*rate/referenceRate, 1)
	interference, memory := 0.0, sim.Reserved.Memory
	for _, t := range h.tasks {
		taskCores := float64(t.job.True.Processors) / 1000 * t.share
		usedCores += taskCores
		interference += taskCores * trueSlowdowns[t.job.Class] * max(sim.noiseFactors[t.job.Class], 1)
		memory += t.job.True.Memory
	}
	oversubscription := max(usedCores/(float64(sim.Capacity.Processors)/1000), 1)
	ratio := latencyRatio(rate, interference, oversubscription)
	h.meanRatio += ratio * stepLength.Seconds() / samplePeriod.Seconds()
	sim.weightedRatios += rate * math.Pow(ratio, tailExponent)
	sim.weightedLate += rate * lateShare(ratio)
	sim.totalRate += rate
	if memory > sim.Capacity.Memory {
		sim.endTask(h, h.tasks[len(h.tasks)-1], placement.Failed, "out of memory")
	}
	for _, t := range slices.Clone(h.tasks) {
		sim.runTask(h, t, oversubscription)
	}
}

func (sim *simulation) runTask(h *host, t *task, oversubscription float64) {
	progress := stepLength.Seconds() * t.share / oversubscription
	t.doneSeconds += progress
	sim.addWork(progress * float64(t.job.True.Processors) / 1000)
	switch {
	case !t.stopAt.IsZero() && !sim.now.Before(t.stopAt):
		sim.endTask(h, t, placement.Evicted, "")
	case (h.fails || t.job.Fails) && sim.now.Sub(t.started) >= failureDelay:
		sim.endTask(h, t, placement.Failed, "exit status 1")
	case t.doneSeconds >= time.Duration(t.job.Duration).Seconds():
		sim.endTask(h, t, placement.Succeeded, "")
	}
}

// endTask removes a task from its host and reports its end to the policy. Work since
// the last checkpoint is lost unless the task succeeded or wrote a checkpoint.
func (sim *simulation) endTask(h *host, t *task, outcome placement.Outcome, reason string) {
	h.tasks = slices.DeleteFunc(h.tasks, func(other *task) bool { return other == t })
	j := t.job
	cores := float64(j.True.Processors) / 1000
	switch {
	case outcome == placement.Succeeded:
		sim.completeTask(t)
	case outcome == placement.Evicted && j.Checkpointable:
		j.checkpoints[t.index] = t.doneSeconds
	default:
		lost := (t.doneSeconds - j.checkpoints[t.index]) * cores
		sim.report.LostWork += lost
		sim.addWork(-lost)
	}
	if outcome == placement.Failed {
		sim.report.Failures++
	}
	sim.policies[h.zone].TaskEnded(sim.now, placement.TaskEnd{TaskAttempt: t.TaskAttempt, Worker: h.id, Outcome: outcome, Reason: reason, Observed: j.True})
}

// addWork adds completed work, in processor seconds; a negative amount is work that
// was lost and must be done again.
func (sim *simulation) addWork(work float64) {
	sim.report.Work += work
	if sim.zoneOut {
		sim.report.AwayWork += work
	}
}

// completeTask records the success of a task, and the end of its job if it was the
// last one.
func (sim *simulation) completeTask(t *task) {
	j := t.job
	if j.finished[t.index] {
		sim.report.Duplicates++
		return
	}
	j.finished[t.index] = true
	sim.report.Finished++
	if len(j.finished) < j.Tasks {
		return
	}
	if j.Deadline > 0 && sim.now.Sub(sim.start) > time.Duration(j.Deadline) {
		sim.report.LateJobs++
	}
	delete(sim.jobs, j.ID)
}

// recordSample ends the sample period of a host. The policy receives the sample
// sampleAge later.
func (sim *simulation) recordSample(h *host) {
	rate := sim.hostRate(h)
	noise := math.Exp(noiseDeviation * sim.random.NormFloat64())
	p99 := time.Duration(h.meanRatio * noise * float64(sim.Target))
	h.meanRatio = 0
	usage := worker.UsageSample{Age: sampleAge, Period: samplePeriod}
	if rate > 0 {
		usage.Executors = []worker.ExecutorUsage{{
			Executor: h.id, Service: string(sim.Service), Requests: int(rate * samplePeriod.Seconds()), P99: p99,
		}}
	}
	for _, t := range h.tasks {
		observed := t.job.True
		observed.Processors = resource.MilliProcessors(float64(observed.Processors) * t.share)
		usage.Tasks = append(usage.Tasks, worker.TaskUsage{TaskAttempt: t.TaskAttempt, Class: string(t.job.Class), Observed: observed})
	}
	sim.samples = append(sim.samples, sample{sim.now.Add(sampleAge), h, usage})
}
