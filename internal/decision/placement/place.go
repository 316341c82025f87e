package placement

import (
	"container/heap"
	"math"
	"slices"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/interference"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/manifest"
)

const (
	// maxLanesPerTick bounds the lanes that one tick looks at; the next tick goes on
	// behind them.
	maxLanesPerTick = 2048
	// chunk is the number of tasks that one turn of a team starts.
	chunk = 8
	// levelCost is the cost of one level of pressure for work that can't be evicted cheaply.
	levelCost = 0.1
	// likelyCost moves checkpointable work to, and other work away from, workers
	// where eviction is likely. It is the rise of 2.5 processors of an unknown pair.
	likelyCost = 0.05
	// negligible is the rise of the logarithm of p99 that is lost in the noise.
	negligible = 0.01
	// acceleratorCost keeps work that needs no accelerators off workers that have some.
	acceleratorCost = 10
)

type rankedGroup struct {
	group *group
	cost  float64
}

// turn is a team that may start something in this tick.
type turn struct {
	team  *team
	share float64
	lanes []*lane
}

type turnHeap []*turn

func (h turnHeap) Len() int { return len(h) }

func (h turnHeap) Less(a, b int) bool {
	if h[a].share != h[b].share {
		return h[a].share < h[b].share
	}
	return h[a].team.name < h[b].team.name
}

func (h turnHeap) Swap(a, b int) { h[a], h[b] = h[b], h[a] }

// Push implements heap.Interface.
func (h *turnHeap) Push(x any) { *h = append(*h, x.(*turn)) }

// Pop implements heap.Interface.
func (h *turnHeap) Pop() any {
	old := *h
	last := len(old) - 1
	t := old[last]
	*h = old[:last]
	return t
}

// placeAll starts tasks of a priority. The team with the smallest share of the
// shard is next, and within it the lane whose first job is due soonest.
func (e *Engine) placeAll(now time.Time, priority Priority) {
	turns := e.turns(priority)
	heap.Init(&turns)
	for len(turns) > 0 && e.searches < maxSearchesPerTick && e.mayStart(1) {
		t := turns[0]
		l := t.next()
		if l == nil {
			heap.Pop(&turns)
			continue
		}
		if !e.placeSome(now, l) {
			t.lanes = slices.DeleteFunc(t.lanes, func(other *lane) bool { return other == l })
		}
		t.share = t.team.share(e.capacity)
		heap.Fix(&turns, 0)
	}
}

// turns collects the teams with queued jobs of a priority.
func (e *Engine) turns(priority Priority) turnHeap {
	var turns turnHeap
	seen := 0
	for i := range e.order {
		if seen >= maxLanesPerTick {
			e.nextTeam = (e.nextTeam + i) % len(e.order)
			break
		}
		t := e.order[(e.nextTeam+i)%len(e.order)]
		var lanes []*lane
		for _, l := range t.lanes {
			if l.key.priority == priority && len(l.jobs) > 0 {
				lanes = append(lanes, l)
			}
		}
		seen += len(lanes)
		if len(lanes) > 0 {
			turns = append(turns, &turn{team: t, share: t.share(e.capacity), lanes: lanes})
		}
	}
	return turns
}

// next returns the lane whose first job is due soonest.
func (t *turn) next() *lane {
	var best *lane
	for _, l := range t.lanes {
		if len(l.jobs) == 0 {
			continue
		}
		if best == nil || l.jobs[0].before(best.jobs[0]) {
			best = l
		}
	}
	return best
}

// placeSome starts some tasks of a lane's first job. It reports whether the lane
// may have more to start in this tick.
func (e *Engine) placeSome(now time.Time, l *lane) bool {
	j := l.jobs[0]
	if j.Gang {
		return e.placeGang(now, j)
	}
	for range chunk {
		need := e.need(j)
		if !j.team.allows(need, j.Priority) {
			j.waiting = WaitingForQuota
			return false
		}
		if !e.mayStart(1) {
			j.waiting = WaitingForRamp
			return false
		}
		n := e.search(now, j, need)
		if n == nil {
			return e.noRoom(now, j, need)
		}
		e.start(now, j, n, need, ReasonFits, Facts{})
		if j.pending() == 0 {
			break
		}
	}
	return len(l.jobs) > 0
}

// noRoom makes room for a job that fits no worker now. It reports whether the
// lane may go on with another job.
func (e *Engine) noRoom(now time.Time, j *job, need resource.Vector) bool {
	j.waiting = WaitingForRoom
	e.makeRoom(now, j, need)
	if !e.avoids(j) {
		return false
	}
	// The job avoids the workers that failed it; others of its lane don't.
	j.waiting = WaitingForExclusion
	e.sleep(now, j, jobRest)
	return len(j.lane.jobs) > 0
}

// sleep takes a job out of its lane for a while.
func (e *Engine) sleep(now time.Time, j *job, d time.Duration) {
	j.notBefore = now.Add(d)
	j.dequeue()
	e.enqueue(now, j)
}

// search returns the best worker for a task of the job, or nil.
func (e *Engine) search(now time.Time, j *job, need resource.Vector) *node {
	cores := float64(need.Processors) / 1000
	avoid := e.avoids(j)
	accept := func(n *node) bool {
		return !(avoid && slices.Contains(j.evidence.failedOn, n.ID)) && e.tolerates(now, n, j, cores)
	}
	for _, r := range e.rank(now, j, need, cores) {
		if n := e.byFree.find(r.group, need, accept); n != nil {
			return n
		}
	}
	e.searches++
	return nil
}

// rank orders the groups of workers that could take a task, best first.
func (e *Engine) rank(now time.Time, j *job, need resource.Vector, cores float64) []rankedGroup {
	ranked := e.ranked[:0]
	for _, g := range e.byFree.groups {
		if g.count == 0 || int64(g.key.accelerators) < min(int64(need.Accelerators), maxAcceleratorsKey) {
			continue
		}
		cost := e.cost(now, g.key, j, cores)
		if math.IsInf(cost, 1) {
			continue
		}
		if need.Accelerators == 0 && g.key.accelerators > 0 {
			cost += acceleratorCost
		}
		at := len(ranked)
		for at > 0 && ranked[at-1].cost > cost {
			at--
		}
		ranked = slices.Insert(ranked, at, rankedGroup{g, cost})
	}
	e.ranked = ranked
	return ranked
}

// cost estimates the harm of a task on the workers of a group. It is infinite
// where no worker of the group could tolerate the task.
func (e *Engine) cost(now time.Time, key groupKey, j *job, cores float64) float64 {
	services := e.sets.sets[key.set]
	total, highest, limit := 0.0, 0.0, highRatio
	for _, service := range services {
		limit = max(limit, e.limit(now, service, j))
		rise := e.rise(now, interference.Pair{Service: service, Class: j.Class}) * cores
		total += rise
		highest = max(highest, rise)
	}
	if j.Priority != Urgent && highest >= negligible && levelFloor[key.level]*math.Exp(highest) >= limit {
		return math.Inf(1)
	}
	likely := len(services) > 0 || key.volatile
	switch {
	case j.Checkpointable && j.Priority != Urgent:
		if likely {
			total -= likelyCost
		}
	case likely:
		total += likelyCost + levelCost*float64(key.level)
	}
	return total
}

// limitKey tells jobs that are due from others.
type limitKey struct {
	service manifest.ServiceName
	due     bool
}

// limit is the predicted p99 against the target up to which normal tasks start.
// Jobs that are due may use more of the error budget than others.
func (e *Engine) limit(now time.Time, name manifest.ServiceName, j *job) float64 {
	key := limitKey{name, j.due(now)}
	if known, ok := e.ratios[key]; ok {
		return known
	}
	budget, relaxed := relaxedBudget, relaxedRatio
	if key.due {
		budget, relaxed = dueBudget, dueRatio
	}
	limit := highRatio
	if e.table.MayExplore(now, name, e.services[name].ErrorBudget*budget/100) {
		limit = relaxed
	}
	if e.ratios == nil {
		e.ratios = map[limitKey]float64{}
	}
	e.ratios[key] = limit
	return limit
}

// due reports whether the job has to start soon to meet its deadline. Its tasks
// may need several rounds, hence dueRounds times the run time.
func (j *job) due(now time.Time) bool {
	return !j.latest.IsZero() && now.Add(dueRounds*j.Deadline.Sub(j.latest)).After(j.Deadline)
}

// tolerates reports whether no service on the worker that the task slows down is
// expected to come near its target. Urgent work is tolerated everywhere and goes where it does least harm.
func (e *Engine) tolerates(now time.Time, n *node, j *job, cores float64) bool {
	if j.Priority == Urgent {
		return true
	}
	for _, s := range n.services {
		rise := e.rise(now, interference.Pair{Service: s.name, Class: j.Class}) * cores
		if rise >= negligible && s.predicted()*math.Exp(rise) >= e.limit(now, s.name, j) {
			return false
		}
	}
	return true
}

// rise is the coefficient of a pair for this tick: the expected one, or the
// cautious bound while the service has used up its error budget.
func (e *Engine) rise(now time.Time, pair interference.Pair) float64 {
	if known, ok := e.rises[pair]; ok {
		return known
	}
	rise := e.table.Coefficient(now, pair)
	if !e.table.MayExplore(now, pair.Service, e.services[pair.Service].ErrorBudget) {
		rise = e.table.Bound(now, pair)
	}
	if e.rises == nil {
		e.rises = map[interference.Pair]float64{}
	}
	e.rises[pair] = rise
	return rise
}

// avoids reports whether a job avoids the workers on which it failed.
func (e *Engine) avoids(j *job) bool {
	failed := len(j.evidence.failedOn)
	return failed > 0 && failed < len(e.fleet)-e.quarantined
}

// start puts the job's next pending task on a worker.
func (e *Engine) start(now time.Time, j *job, n *node, need resource.Vector, reason Reason, facts Facts) *attempt {
	index := j.take()
	a := &attempt{index: index, number: e.nextAttempt(), reserve: need, started: now, share: 1000}
	j.team.add(0, -1)
	if j.lane != nil {
		j.lane.started = now
	}
	if j.pending() == 0 {
		j.dequeue()
	}
	for i := range n.services {
		n.services[i].pending += e.riseOf(now, n.services[i].name, j.Class, need)
	}
	e.run(now, j, n, a)
	e.starts++
	if e.permit.Ramp > 0 {
		e.tokens--
	}
	d := e.about(Start, a, reason)
	d.Facts = facts
	d.Facts.Free = n.free()
	d.Facts.Waited = now.Sub(j.queuedAt)
	if need != j.Resources {
		d.Facts.Observed = need
	}
	e.emit(d)
	return a
}

func (e *Engine) riseOf(now time.Time, service manifest.ServiceName, class manifest.ClassName, need resource.Vector) float64 {
	return e.rise(now, interference.Pair{Service: service, Class: class}) * float64(need.Processors) / 1000
}

// forgetRise takes back the predicted rise of an attempt that ends before a
// sample shows it.
func (e *Engine) forgetRise(n *node, a *attempt, now time.Time) {
	for i := range n.services {
		s := &n.services[i]
		s.pending = max(0, s.pending-e.riseOf(now, s.name, a.class(), a.reserve))
	}
}
