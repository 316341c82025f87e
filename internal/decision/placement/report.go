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
	// processorSlack is the part, one in so many, by which a task may use more
	// processors than reserved before its reservation grows. Samples jitter, and a
	// processor, unlike memory, is shared when it runs short.
	processorSlack = 16
	// quietDecay moves the ratio of a service without requests towards zero.
	quietDecay = 0.9
	// minRequests below which the p99 of a sample is not acted on.
	minRequests = 10
)

// Report enters a worker's usage sample.
func (e *Engine) Report(now time.Time, id membership.InstanceID, sample worker.UsageSample) {
	n := e.workers[id]
	if n == nil {
		return
	}
	end := now.Add(-sample.Age)
	e.observe(now, end, sample)
	e.enterRatios(now, n, end, sample)
	grown := e.enterUse(now, n, sample)
	e.relieve(now, n, grown)
	e.correct(now, n, end.Add(-sample.Period), end)
	e.reindex(now, n)
}

// observe teaches the table with the tasks that ran in the sample's period.
func (e *Engine) observe(_, end time.Time, sample worker.UsageSample) {
	usage := make([]interference.Usage, 0, len(sample.Tasks))
	for _, t := range sample.Tasks {
		usage = append(usage, interference.Usage{
			Class:      manifest.ClassName(t.Class),
			Processors: float64(t.Observed.Processors) / 1000,
		})
	}
	for _, x := range sample.Executors {
		name := manifest.ServiceName(x.Service)
		e.table.Observe(end, interference.Observation{
			Service:  name,
			Rate:     float64(x.Requests) / max(sample.Period.Seconds(), 0.001),
			Requests: x.Requests,
			P99:      x.P99,
			Target:   time.Duration(e.services[name].Target),
			Usage:    usage,
		})
	}
}

// enterRatios notes the worst p99 against the target of each service, and which
// tasks started too late to be part of it.
func (e *Engine) enterRatios(now time.Time, n *node, end time.Time, sample worker.UsageSample) {
	for i := range n.services {
		s := &n.services[i]
		ratio, p99 := worstRatio(sample, s.name, time.Duration(e.services[s.name].Target))
		if p99 == 0 {
			s.ratio *= quietDecay
		} else {
			s.ratio, s.p99 = ratio, p99
		}
		s.pending = 0
		for _, a := range n.attempts {
			if a.started.After(end) {
				s.pending += e.riseOf(now, s.name, a.class(), a.reserve)
			}
		}
	}
}

func worstRatio(sample worker.UsageSample, name manifest.ServiceName, target time.Duration) (float64, time.Duration) {
	worst, p99 := 0.0, time.Duration(0)
	for _, x := range sample.Executors {
		if manifest.ServiceName(x.Service) != name || x.Requests < minRequests || target <= 0 {
			continue
		}
		if ratio := x.P99.Seconds() / target.Seconds(); ratio > worst {
			worst, p99 = ratio, x.P99
		}
	}
	return worst, p99
}

// enterUse raises reservations and learned sizes to what was seen. It returns the
// attempt that grew most, or nil.
func (e *Engine) enterUse(now time.Time, n *node, sample worker.UsageSample) *attempt {
	var most *attempt
	var by resource.Vector
	for _, t := range sample.Tasks {
		a := e.find(t.TaskAttempt)
		if a == nil || a.node != n {
			continue
		}
		observed := t.Observed
		if observed.Processors <= a.reserve.Processors+a.reserve.Processors/processorSlack {
			observed.Processors = min(observed.Processors, a.reserve.Processors)
		}
		before := a.reserve
		e.grow(now, a, observed)
		if a.job != nil {
			a.job.seen(observed)
		}
		if more := a.reserve.Sub(before); !more.IsZero() && (most == nil || helpsMore(more, by)) {
			most, by = a, more
		}
	}
	return most
}

func helpsMore(a, b resource.Vector) bool {
	if a.Memory != b.Memory {
		return a.Memory > b.Memory
	}
	return a.Processors > b.Processors
}

// relieve evicts until the worker is no longer overcommitted by tasks that use
// more than they reserved or by executors that came later. Tasks that lose
// nothing go first, then the one that grew.
func (e *Engine) relieve(now time.Time, n *node, grown *attempt) {
	if (resource.Vector{}).FitsIn(n.free().Add(n.stopping)) {
		return
	}
	victims := make([]*attempt, 0, len(n.attempts))
	for _, a := range n.attempts {
		if !a.stopping {
			victims = append(victims, a)
		}
	}
	sort.Slice(victims, func(x, y int) bool {
		if a, b := loss(victims[x], grown), loss(victims[y], grown); a != b {
			return a < b
		}
		return victims[x].number > victims[y].number
	})
	for _, a := range victims {
		lacking := resource.Vector{}.Sub(n.free().Add(n.stopping))
		if lacking.FitsIn(resource.Vector{}) {
			return
		}
		if helps(a.reserve, lacking) {
			n.evicted = now
			e.evict(now, a, ReasonOvercommitted, Facts{Observed: a.observed, Free: n.free()})
		}
	}
}

// loss orders attempts by what their eviction costs.
func loss(a, grown *attempt) int {
	switch {
	case a.job == nil:
		return 0
	case a.evictable():
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

// correct takes at most one step against interference for each measurement lag.
func (e *Engine) correct(now time.Time, n *node, start, end time.Time) {
	worst := -1
	for i, s := range n.services {
		if worst < 0 || s.ratio > n.services[worst].ratio {
			worst = i
		}
	}
	if worst < 0 {
		return
	}
	s := n.services[worst]
	action := n.control.Next(start, s.ratio)
	if action == interference.Wait {
		return
	}
	attempts, candidates := e.suspects(now, n, s.name, end)
	facts := Facts{Service: s.name, P99: s.p99, Target: time.Duration(e.services[s.name].Target)}
	if action == interference.Lift {
		if i, ok := interference.Relent(candidates); ok {
			e.throttle(now, n, attempts[i], 1000, ReasonRecovered, facts)
		}
		return
	}
	i, evict, ok := interference.Blame(candidates)
	if !ok {
		return
	}
	a := attempts[i]
	cores := float64(a.reserve.Processors) / 1000
	facts.Slowdown = e.table.Slowdown(now, interference.Pair{Service: s.name, Class: a.class()}, cores)
	if !evict {
		e.throttle(now, n, a, interference.ThrottledShare, ReasonInterference, facts)
		return
	}
	n.evicted = now
	e.evict(now, a, ReasonInterference, facts)
	n.control.Acted(now)
}

// suspects returns the attempts of a worker that ran before the end of the sample
// with their part in the slowdown of a service.
func (e *Engine) suspects(now time.Time, n *node, service manifest.ServiceName, end time.Time) ([]*attempt, []interference.Candidate) {
	var attempts []*attempt
	var candidates []interference.Candidate
	for _, a := range n.attempts {
		if a.stopping || a.job == nil || a.started.After(end) {
			continue
		}
		if e.spared(now, a, service) {
			continue
		}
		cores := float64(a.reserve.Processors) / 1000 * float64(a.share) / 1000
		attempts = append(attempts, a)
		candidates = append(candidates, interference.Candidate{
			Contribution: e.table.Coefficient(now, interference.Pair{Service: service, Class: a.class()}) * cores,
			Share:        int(a.share),
			Protected:    !a.evictable(),
		})
	}
	return attempts, candidates
}

// spared reports whether a task is left alone because its job is due and the
// service has enough of its error budget left.
func (e *Engine) spared(now time.Time, a *attempt, service manifest.ServiceName) bool {
	return a.share == 1000 && a.job.due(now) && e.limit(now, service, a.job) == dueRatio
}

func (e *Engine) throttle(now time.Time, n *node, a *attempt, share int, reason Reason, facts Facts) {
	a.share = int16(share)
	d := e.about(Throttle, a, reason)
	d.Facts = facts
	e.emit(d)
	n.control.Acted(now)
}
