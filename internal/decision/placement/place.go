package placement

import (
	"container/heap"
	"math"
	"slices"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
	"github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/interference"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/manifest"
)

const (
	// maxQueuesPerTick limits the queues that one tick examines; the next tick
	// continues after them.
	maxQueuesPerTick = 2048
	// maxTasksPerTurn is the number of tasks that a team starts before the next team's
	// turn.
	maxTasksPerTurn = 8
	// pressureLevelCost is the cost of one pressure level for tasks that are not
	// checkpointable or are urgent.
	pressureLevelCost = 0.1
	// evictionLikelyCost attracts checkpointable tasks to workers where eviction is
	// likely and keeps other tasks away. It equals the predicted rise of ln(p99) for
	// 2.5 processors of a class whose effect on a service is unknown.
	evictionLikelyCost = 0.05
	// negligibleLogRise is a rise of ln(p99) that is indistinguishable from noise.
	negligibleLogRise = 0.01
	// acceleratorCost keeps tasks that need no accelerators off workers that have some.
	acceleratorCost = 10
)

type rankedGroup struct {
	group *nodeGroup
	cost  float64
}

// teamTurn is a team that may start tasks in this tick.
type teamTurn struct {
	team   *team
	share  float64
	queues []*jobQueue
}

type teamTurnHeap []*teamTurn

func (h teamTurnHeap) Len() int { return len(h) }

func (h teamTurnHeap) Less(a, b int) bool {
	if h[a].share != h[b].share {
		return h[a].share < h[b].share
	}
	return h[a].team.name < h[b].team.name
}

func (h teamTurnHeap) Swap(a, b int) { h[a], h[b] = h[b], h[a] }

// Push implements heap.Interface.
func (h *teamTurnHeap) Push(x any) { *h = append(*h, x.(*teamTurn)) }

// Pop implements heap.Interface.
func (h *teamTurnHeap) Pop() any {
	old := *h
	last := len(old) - 1
	t := old[last]
	*h = old[:last]
	return t
}

// placeTasks starts tasks of a priority. The team with the smallest weighted share of
// the shard is next; within a team it is the queue whose first job has the earliest
// effective deadline.
func (e *Engine) placeTasks(now time.Time, priority Priority) {
	turns := e.teamTurns(priority)
	heap.Init(&turns)
	for len(turns) > 0 && e.searchesThisTick < maxSearchesPerTick && e.mayStart(1) {
		turn := turns[0]
		queue := turn.nextQueue()
		if queue == nil {
			heap.Pop(&turns)
			continue
		}
		if !e.placeFromQueue(now, queue) {
			turn.queues = slices.DeleteFunc(turn.queues, func(other *jobQueue) bool { return other == queue })
		}
		turn.share = turn.team.weightedShare(e.totalAllocatable)
		heap.Fix(&turns, 0)
	}
}

// teamTurns returns the teams with queued jobs of a priority.
func (e *Engine) teamTurns(priority Priority) teamTurnHeap {
	var turns teamTurnHeap
	queueCount := 0
	for i := range e.teamList {
		if queueCount >= maxQueuesPerTick {
			e.nextTeam = (e.nextTeam + i) % len(e.teamList)
			break
		}
		t := e.teamList[(e.nextTeam+i)%len(e.teamList)]
		var queues []*jobQueue
		for _, queue := range t.queues {
			if queue.key.priority == priority && len(queue.jobs) > 0 {
				queues = append(queues, queue)
			}
		}
		queueCount += len(queues)
		if len(queues) > 0 {
			turns = append(turns, &teamTurn{team: t, share: t.weightedShare(e.totalAllocatable), queues: queues})
		}
	}
	return turns
}

// nextQueue returns the queue whose first job has the earliest effective deadline.
func (t *teamTurn) nextQueue() *jobQueue {
	var best *jobQueue
	for _, queue := range t.queues {
		if len(queue.jobs) == 0 {
			continue
		}
		if best == nil || queue.jobs[0].before(best.jobs[0]) {
			best = queue
		}
	}
	return best
}

// placeFromQueue starts tasks of a queue's first job. It reports whether the queue may
// have more to start in this tick.
func (e *Engine) placeFromQueue(now time.Time, queue *jobQueue) bool {
	j := queue.jobs[0]
	if j.Gang {
		return e.placeGang(now, j)
	}
	for range maxTasksPerTurn {
		demand := e.demand(j)
		if !j.team.quotaAllows(demand, j.Priority) {
			j.waitReason = WaitingForQuota
			return false
		}
		if !e.mayStart(1) {
			j.waitReason = WaitingForRamp
			return false
		}
		n := e.findNode(now, j, demand)
		if n != nil {
			e.startTask(now, j, n, demand, ReasonFits, Facts{})
		} else if !e.startBackfill(now, j, demand) {
			return e.handleNoRoom(now, j, demand)
		}
		if j.pending() == 0 {
			break
		}
	}
	return len(queue.jobs) > 0
}

// startBackfill starts a task on a worker that is reserved for a larger one, and reports whether it did.
func (e *Engine) startBackfill(now time.Time, j *job, demand resource.Vector) bool {
	n, planned := e.backfill(now, j, demand)
	if n == nil {
		return false
	}
	start := e.reservationStart(now, j, demand)
	admission := planned.Admit(start)
	e.startTask(now, j, n, demand, ReasonBackfill, Facts{Beneficiary: worker.JobID(planned.Holder.Job)})
	planned.Occupy(start, admission)
	return true
}

// handleNoRoom makes room for a job that fits no worker now. It reports whether the
// queue may continue with another job.
func (e *Engine) handleNoRoom(now time.Time, j *job, demand resource.Vector) bool {
	j.waitReason = WaitingForRoom
	e.makeRoom(now, j, demand)
	if !e.avoidsFailedWorkers(j) {
		return false
	}
	// The job avoids the workers on which it failed; the other jobs of its queue don't.
	j.waitReason = WaitingForOtherWorkers
	e.postpone(now, j, jobBackoff)
	return len(j.queue.jobs) > 0
}

// postpone takes a job out of its queue for the duration d.
func (e *Engine) postpone(now time.Time, j *job, d time.Duration) {
	j.notBefore = now.Add(d)
	j.dequeue()
	e.enqueue(now, j)
}

// findNode returns the best worker for a task of the job, or nil.
func (e *Engine) findNode(now time.Time, j *job, demand resource.Vector) *node {
	cores := float64(demand.Processors) / 1000
	avoid := e.avoidsFailedWorkers(j)
	accept := func(n *node) bool {
		return !(avoid && slices.Contains(j.failureHistory.failedOn, n.ID)) && e.tolerates(now, n, j, cores)
	}
	for _, r := range e.rankGroups(now, j, demand, cores) {
		if n := e.freeIndex.findTightest(r.group, demand, accept); n != nil {
			return n
		}
	}
	e.searchesThisTick++
	return nil
}

// rankGroups returns the groups of workers that could take a task, lowest cost first.
func (e *Engine) rankGroups(now time.Time, j *job, demand resource.Vector, cores float64) []rankedGroup {
	ranked := e.rankBuffer[:0]
	for _, g := range e.freeIndex.groups {
		if g.count == 0 || int64(g.key.accelerators) < min(int64(demand.Accelerators), maxKeyAccelerators) {
			continue
		}
		cost := e.groupCost(now, g.key, j, cores)
		if math.IsInf(cost, 1) {
			continue
		}
		if demand.Accelerators == 0 && g.key.accelerators > 0 {
			cost += acceleratorCost
		}
		position := len(ranked)
		for position > 0 && ranked[position-1].cost > cost {
			position--
		}
		ranked = slices.Insert(ranked, position, rankedGroup{g, cost})
	}
	e.rankBuffer = ranked
	return ranked
}

// groupCost estimates the harm that a task does on the workers of a group. It is
// infinite if no worker of the group can tolerate the task.
func (e *Engine) groupCost(now time.Time, key groupKey, j *job, cores float64) float64 {
	services := e.serviceSets.sets[key.serviceSetID]
	total, highest, limit := 0.0, 0.0, startRatioLimit
	for _, service := range services {
		limit = max(limit, e.ratioLimit(now, service, j))
		rise := e.logRisePerProcessor(now, interference.Pair{Service: service, Class: j.Class}) * cores
		total += rise
		highest = max(highest, rise)
	}
	if j.Priority != Urgent && highest >= negligibleLogRise && minLevelRatios[key.pressureLevel]*math.Exp(highest) >= limit {
		return math.Inf(1)
	}
	evictionLikely := len(services) > 0 || key.recentlyEvicted
	switch {
	case j.Checkpointable && j.Priority != Urgent:
		if evictionLikely {
			total -= evictionLikelyCost
		}
	case evictionLikely:
		total += evictionLikelyCost + pressureLevelCost*float64(key.pressureLevel)
	}
	return total
}

// ratioLimitKey distinguishes jobs that are due from others.
type ratioLimitKey struct {
	service manifest.ServiceName
	due     bool
}

// ratioLimit returns the ratio of predicted p99 to target below which normal tasks
// start. Jobs that are due may use more of the error budget than others.
func (e *Engine) ratioLimit(now time.Time, name manifest.ServiceName, j *job) float64 {
	key := ratioLimitKey{name, j.due(now)}
	if cached, ok := e.ratioLimitCache[key]; ok {
		return cached
	}
	budget, relaxed := relaxedBudgetPercent, relaxedRatioLimit
	if key.due {
		budget, relaxed = dueBudgetPercent, dueRatioLimit
	}
	limit := startRatioLimit
	if e.latencyModel.ExplorationAllowed(now, name, e.services[name].ErrorBudget*budget/100) {
		limit = relaxed
	}
	if e.ratioLimitCache == nil {
		e.ratioLimitCache = map[ratioLimitKey]float64{}
	}
	e.ratioLimitCache[key] = limit
	return limit
}

// due reports whether the job has to start soon to meet its deadline. Its tasks may
// need several rounds, so it is due dueRunTimes times the run time before the deadline.
func (j *job) due(now time.Time) bool {
	return !j.latestStart.IsZero() && now.Add(dueRunTimes*j.Deadline.Sub(j.latestStart)).After(j.Deadline)
}

// tolerates reports whether all services on the worker that the task slows down are
// expected to stay below their ratio limit. Urgent tasks are tolerated everywhere and
// go where they do the least harm.
func (e *Engine) tolerates(now time.Time, n *node, j *job, cores float64) bool {
	if j.Priority == Urgent {
		return true
	}
	for _, s := range n.services {
		rise := e.logRisePerProcessor(now, interference.Pair{Service: s.name, Class: j.Class}) * cores
		if rise >= negligibleLogRise && s.predictedRatio()*math.Exp(rise) >= e.ratioLimit(now, s.name, j) {
			return false
		}
	}
	return true
}

// logRisePerProcessor returns the rise of ln(p99) of a service per processor of a
// class: the expected coefficient, or its cautious bound while the service has used up
// its error budget.
func (e *Engine) logRisePerProcessor(now time.Time, pair interference.Pair) float64 {
	if cached, ok := e.coefficientCache[pair]; ok {
		return cached
	}
	coefficient := e.latencyModel.Coefficient(now, pair)
	if !e.latencyModel.ExplorationAllowed(now, pair.Service, e.services[pair.Service].ErrorBudget) {
		coefficient = e.latencyModel.UpperBound(now, pair)
	}
	if e.coefficientCache == nil {
		e.coefficientCache = map[interference.Pair]float64{}
	}
	e.coefficientCache[pair] = coefficient
	return coefficient
}

// avoidsFailedWorkers reports whether a job avoids the workers on which it failed. It
// does so while there are other workers that are not quarantined.
func (e *Engine) avoidsFailedWorkers(j *job) bool {
	failed := len(j.failureHistory.failedOn)
	return failed > 0 && failed < len(e.nodes)-e.quarantinedCount
}

// startTask starts the job's next pending task on a worker.
func (e *Engine) startTask(now time.Time, j *job, n *node, demand resource.Vector, reason DecisionReason, facts Facts) *attempt {
	index := j.takeNextPending()
	a := &attempt{index: index, number: e.nextAttemptNumber(), allocated: demand, started: now, share: 1000}
	j.team.addTaskCounts(0, -1)
	if j.queue != nil {
		j.queue.lastStart = now
	}
	if j.pending() == 0 {
		j.dequeue()
	}
	for i := range n.services {
		n.services[i].pendingLogRise += e.predictedLogRise(now, n.services[i].name, j.Class, demand)
	}
	e.addAttempt(now, j, n, a)
	e.startsThisTick++
	e.noteStartSize(now, demand)
	if e.startPermit.MaxStartsPerSecond > 0 {
		e.startTokens--
	}
	d := e.attemptDecision(Start, a, reason)
	d.Facts = facts
	d.Facts.Free = n.free()
	d.Facts.Waited = now.Sub(j.queuedAt)
	if demand != j.Resources {
		d.Facts.Observed = demand
	}
	e.record(d)
	return a
}

// predictedLogRise returns the predicted rise of ln(p99) of a service if demand is
// allocated to a task of a class.
func (e *Engine) predictedLogRise(now time.Time, service manifest.ServiceName, class manifest.ClassName, demand resource.Vector) float64 {
	return e.logRisePerProcessor(now, interference.Pair{Service: service, Class: class}) * float64(demand.Processors) / 1000
}

// subtractLogRise removes the predicted rise of an attempt that ends before a sample
// shows it.
func (e *Engine) subtractLogRise(n *node, a *attempt, now time.Time) {
	for i := range n.services {
		s := &n.services[i]
		s.pendingLogRise = max(0, s.pendingLogRise-e.predictedLogRise(now, s.name, a.className(), a.allocated))
	}
}
