package placement

import (
	"sort"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
	"github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/interference"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/manifest"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

const (
	// processorSlackDivisor lets a task use 1/16 more processors than allocated before
	// its allocation grows. Samples fluctuate, and processors, unlike memory, can be
	// shared when they run short.
	processorSlackDivisor = 16
	// idleRatioDecay is the factor by which each sample without requests lowers the
	// latency ratio of a service.
	idleRatioDecay = 0.9
	// minSampleRequests is the number of requests below which the p99 of a sample is
	// ignored.
	minSampleRequests = 10
)

// RecordUsageSample records a usage sample of a worker and corrects overcommitment and
// interference.
func (e *Engine) RecordUsageSample(now time.Time, id membership.InstanceID, sample worker.UsageSample) {
	n := e.nodesByID[id]
	if n == nil {
		return
	}
	end := now.Add(-sample.Age)
	e.observeInterference(now, end, sample)
	e.updateLatencyRatios(now, n, end, sample)
	grown := e.updateUsage(now, n, sample)
	e.relieveOvercommit(now, n, grown)
	e.correctInterference(now, n, end.Add(-sample.Period), end)
	e.reindex(now, n)
}

// observeInterference updates the latency model with the services and tasks that
// ran during the sample's period.
func (e *Engine) observeInterference(_, end time.Time, sample worker.UsageSample) {
	usage := make([]interference.Usage, 0, len(sample.Tasks))
	for _, t := range sample.Tasks {
		usage = append(usage, interference.Usage{
			Class:      manifest.ClassName(t.Class),
			Processors: float64(t.Observed.Processors) / 1000,
		})
	}
	for _, executor := range sample.Executors {
		name := manifest.ServiceName(executor.Service)
		e.latencyModel.Observe(end, interference.Observation{
			Service:  name,
			Rate:     float64(executor.Requests) / max(sample.Period.Seconds(), 0.001),
			Requests: executor.Requests,
			P99:      executor.P99,
			Target:   time.Duration(e.services[name].Target),
			Usage:    usage,
		})
	}
}

// updateLatencyRatios records the worst ratio of p99 to target of each service, and the
// predicted rise from tasks that started too late to show in the sample.
func (e *Engine) updateLatencyRatios(now time.Time, n *node, end time.Time, sample worker.UsageSample) {
	for i := range n.services {
		s := &n.services[i]
		ratio, p99 := worstLatencyRatio(sample, s.name, time.Duration(e.services[s.name].Target))
		if p99 == 0 {
			s.latencyRatio *= idleRatioDecay
		} else {
			s.latencyRatio, s.p99 = ratio, p99
		}
		s.pendingLogRise = 0
		for _, a := range n.attempts {
			if a.started.After(end) {
				s.pendingLogRise += e.predictedLogRise(now, s.name, a.className(), a.allocated)
			}
		}
	}
}

// worstLatencyRatio returns the highest ratio of p99 to target among the executors of a
// service, and that p99. Both are zero without enough requests.
func worstLatencyRatio(sample worker.UsageSample, name manifest.ServiceName, target time.Duration) (float64, time.Duration) {
	worst, p99 := 0.0, time.Duration(0)
	for _, executor := range sample.Executors {
		if manifest.ServiceName(executor.Service) != name || executor.Requests < minSampleRequests || target <= 0 {
			continue
		}
		if ratio := executor.P99.Seconds() / target.Seconds(); ratio > worst {
			worst, p99 = ratio, executor.P99
		}
	}
	return worst, p99
}

// updateUsage raises allocations and usage factors to the observed usage. It returns
// the attempt whose allocation grew most, or nil.
func (e *Engine) updateUsage(now time.Time, n *node, sample worker.UsageSample) *attempt {
	var mostGrown *attempt
	var largestGrowth resource.Vector
	for _, t := range sample.Tasks {
		a := e.findAttempt(t.TaskAttempt)
		if a == nil || a.node != n {
			continue
		}
		observed := t.Observed
		if observed.Processors <= a.allocated.Processors+a.allocated.Processors/processorSlackDivisor {
			observed.Processors = min(observed.Processors, a.allocated.Processors)
		}
		before := a.allocated
		e.raiseAllocation(now, a, observed)
		if a.job != nil {
			a.job.recordUsage(observed)
		}
		if growth := a.allocated.Sub(before); !growth.IsZero() && (mostGrown == nil || largerGrowth(growth, largestGrowth)) {
			mostGrown, largestGrowth = a, growth
		}
	}
	return mostGrown
}

// largerGrowth reports whether a grew more than b, in memory first, then in processors.
func largerGrowth(a, b resource.Vector) bool {
	if a.Memory != b.Memory {
		return a.Memory > b.Memory
	}
	return a.Processors > b.Processors
}

// relieveOvercommit evicts attempts in the order of evictionCost until the worker is no
// longer overcommitted. It becomes overcommitted when tasks use more than was allocated
// to them or when more executors are placed on the instance.
func (e *Engine) relieveOvercommit(now time.Time, n *node, grown *attempt) {
	if (resource.Vector{}).FitsIn(n.free().Add(n.stopping)) {
		return
	}
	victims := make([]*attempt, 0, len(n.attempts))
	for _, a := range n.attempts {
		if !a.stopping {
			victims = append(victims, a)
		}
	}
	sort.Slice(victims, func(i, k int) bool {
		if a, b := evictionCost(victims[i], grown), evictionCost(victims[k], grown); a != b {
			return a < b
		}
		return victims[i].number > victims[k].number
	})
	for _, a := range victims {
		shortage := resource.Vector{}.Sub(n.free().Add(n.stopping))
		if shortage.FitsIn(resource.Vector{}) {
			return
		}
		if reducesShortage(a.allocated, shortage) {
			n.lastEviction = now
			e.evict(now, a, ReasonOvercommitted, Facts{Observed: a.peakUsage, Free: n.free()})
		}
	}
}

// evictionCost ranks attempts by the harm of evicting them: orphans and preemptible
// tasks, which lose nothing, come first, then the attempt that grew, then other normal
// tasks and last urgent ones.
func evictionCost(a, grown *attempt) int {
	switch {
	case a.job == nil:
		return 0
	case a.preemptible():
		if a == grown {
			return 1
		}
		return 2
	case a == grown:
		return 3
	case a.job.Priority != Urgent:
		return 4
	}
	return 5
}

// correctInterference throttles, evicts or unthrottles at most one attempt per
// measurement lag.
func (e *Engine) correctInterference(now time.Time, n *node, start, end time.Time) {
	worst := -1
	for i, s := range n.services {
		if worst < 0 || s.latencyRatio > n.services[worst].latencyRatio {
			worst = i
		}
	}
	if worst < 0 {
		return
	}
	s := n.services[worst]
	action := n.interferenceController.Next(start, s.latencyRatio)
	if action == interference.Wait {
		return
	}
	attempts, candidates := e.interferenceCandidates(now, n, s.name, end)
	facts := Facts{Service: s.name, P99: s.p99, Target: time.Duration(e.services[s.name].Target)}
	if action == interference.Lift {
		if i, ok := interference.CandidateToUnthrottle(candidates); ok {
			e.throttle(now, n, attempts[i], 1000, ReasonRecovered, facts)
		}
		return
	}
	i, evict, ok := interference.WorstCandidate(candidates)
	if !ok {
		return
	}
	a := attempts[i]
	cores := float64(a.allocated.Processors) / 1000
	facts.Slowdown = e.latencyModel.Slowdown(now, interference.Pair{Service: s.name, Class: a.className()}, cores)
	if !evict {
		e.throttle(now, n, a, interference.ThrottledShare, ReasonInterference, facts)
		return
	}
	n.lastEviction = now
	e.evict(now, a, ReasonInterference, facts)
	n.interferenceController.RecordAction(now)
}

// interferenceCandidates returns the attempts of a worker that may be throttled or
// evicted and that started before the end of the sample, with their contributions to the
// slowdown of a service.
func (e *Engine) interferenceCandidates(now time.Time, n *node, service manifest.ServiceName, end time.Time) ([]*attempt, []interference.Candidate) {
	var attempts []*attempt
	var candidates []interference.Candidate
	for _, a := range n.attempts {
		if a.stopping || a.job == nil || a.started.After(end) {
			continue
		}
		if e.exemptFromCorrection(now, a, service) {
			continue
		}
		cores := float64(a.allocated.Processors) / 1000 * float64(a.share) / 1000
		attempts = append(attempts, a)
		candidates = append(candidates, interference.Candidate{
			Contribution: e.latencyModel.Coefficient(now, interference.Pair{Service: service, Class: a.className()}) * cores,
			Share:        int(a.share),
			Protected:    !a.preemptible(),
		})
	}
	return attempts, candidates
}

// exemptFromCorrection reports whether a task is left alone because its job is due and
// the service has enough of its error budget left.
func (e *Engine) exemptFromCorrection(now time.Time, a *attempt, service manifest.ServiceName) bool {
	return a.share == 1000 && a.job.due(now) && e.ratioLimit(now, service, a.job) == dueRatioLimit
}

func (e *Engine) throttle(now time.Time, n *node, a *attempt, share int, reason DecisionReason, facts Facts) {
	a.share = int16(share)
	d := e.attemptDecision(Throttle, a, reason)
	d.Facts = facts
	e.record(d)
	n.interferenceController.RecordAction(now)
}
