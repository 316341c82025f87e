package placement

import (
	"slices"
	"sort"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/reservation"
)

const (
	// reserveAfter is how long a job waits for room before workers are reserved for it.
	// Without reservations, small tasks would fill every gap before it is large enough.
	reserveAfter = 60 * time.Second
	// preemptAfter is how long a job with normal priority waits before tasks of other
	// jobs are evicted from the workers reserved for it.
	preemptAfter = 5 * time.Minute
	// maxUrgentReservation is how long a worker stays reserved for an urgent job before
	// another worker is tried.
	maxUrgentReservation = 10 * time.Second
	// maxReservedDivisor limits the workers reserved for normal jobs, gangs excepted,
	// to 1/20 of all.
	maxReservedDivisor = 20
	// maxReservationChecks limits the workers that are examined for one reservation.
	maxReservationChecks = 128
)

// nodeReservation keeps a worker free for a job.
type nodeReservation struct {
	node  *node
	job   *job
	since time.Time
	// tasks is the number of the job's tasks that are still to start on the worker.
	tasks int
	// planned is the plan by the forecast, or nil for a worker that was chosen without one.
	planned *reservation.Reservation
}

// makeRoom reserves a worker for a job that fits nowhere. For an urgent job it also
// evicts checkpointable tasks with normal priority there.
func (e *Engine) makeRoom(now time.Time, j *job, demand resource.Vector) {
	if j.Priority == Urgent {
		e.makeRoomForUrgent(now, j, demand)
		return
	}
	if j.reservedTasks > 0 || len(e.reservations) >= max(len(e.nodes)/maxReservedDivisor, 1) {
		return
	}
	if e.reserveByForecast(now, j, demand, 1) || j.waitTime(now) < reserveAfter {
		return
	}
	if n := e.mostFreeNode(now, j, demand); n != nil {
		e.reserve(now, j, n, 1)
	}
}

// makeRoomForUrgent reserves workers for all pending tasks that have no reservation
// yet.
func (e *Engine) makeRoomForUrgent(now time.Time, j *job, demand resource.Vector) {
	for j.reservedTasks < j.pending() && e.preemptionsThisTick < maxPreemptionsPerTick {
		n := e.findPreemptible(now, j, demand)
		if n == nil {
			return
		}
		tasks := max(countFits(n.roomFor(indexByPreemption), demand, j.pending()-j.reservedTasks), 1)
		e.reserve(now, j, n, tasks)
		e.preemptFor(now, n, j, multiply(demand, tasks))
	}
}

// findPreemptible returns a worker that has room once its preemptible tasks are
// evicted.
func (e *Engine) findPreemptible(now time.Time, j *job, demand resource.Vector) *node {
	avoid := e.avoidsFailedWorkers(j)
	accept := func(n *node) bool {
		return !(avoid && slices.Contains(j.failureHistory.failedOn, n.ID))
	}
	e.searchesThisTick++
	cores := float64(demand.Processors) / 1000
	var best *node
	lowest := 0.0
	for _, g := range e.preemptionIndex.groups {
		cost := e.groupCost(now, g.key, j, cores)
		if g.count == 0 || best != nil && cost >= lowest {
			continue
		}
		if n := e.preemptionIndex.findTightest(g, demand, accept); n != nil {
			best, lowest = n, cost
		}
	}
	return best
}

// preemptFor evicts preemptible tasks from a worker until demand fits, the most
// recently started first because they lose the least work.
func (e *Engine) preemptFor(now time.Time, n *node, j *job, demand resource.Vector) {
	victims := make([]*attempt, 0, len(n.attempts))
	for _, a := range n.attempts {
		if a.preemptible() && a.job != j {
			victims = append(victims, a)
		}
	}
	sort.Slice(victims, func(i, k int) bool { return victims[i].number > victims[k].number })
	for _, a := range victims {
		shortage := demand.Sub(n.free().Add(n.stopping))
		if shortage.FitsIn(resource.Vector{}) {
			return
		}
		if !reducesShortage(a.allocated, shortage) {
			continue
		}
		n.lastEviction = now
		e.evict(now, a, ReasonUrgent, Facts{Beneficiary: j.ID, Free: n.free()})
		e.preemptionsThisTick++
	}
}

// reducesShortage reports whether freeing amount would reduce the shortage of any
// resource.
func reducesShortage(amount, shortage resource.Vector) bool {
	return shortage.Processors > 0 && amount.Processors > 0 ||
		shortage.Memory > 0 && amount.Memory > 0 ||
		shortage.Accelerators > 0 && amount.Accelerators > 0
}

// mostFreeNode returns the worker with the most free resources among those large enough
// for a task, from a limited number of checks.
func (e *Engine) mostFreeNode(now time.Time, j *job, demand resource.Vector) *node {
	checks := 0
	suits := func(n *node) bool { return e.suitsReservation(now, n, j, demand) }
	var best *node
	e.preemptionIndex.visitLargestFirst(func(n *node) bool {
		checks++
		if suits(n) {
			best = n
		}
		return best == nil && checks < maxReservationChecks
	})
	if best != nil {
		return best
	}
	for range min(maxReservationChecks, len(e.nodes)) {
		e.nextNode++
		n := e.nodes[e.nextNode%len(e.nodes)]
		if suits(n) && (best == nil || best.free().Processors < n.free().Processors) {
			best = n
		}
	}
	return best
}

// suitsReservation reports whether a worker may be reserved for a task of the job.
func (e *Engine) suitsReservation(now time.Time, n *node, j *job, demand resource.Vector) bool {
	return demand.FitsIn(n.allocatable()) && n.acceptsTasks(now) &&
		!(e.avoidsFailedWorkers(j) && slices.Contains(j.failureHistory.failedOn, n.ID))
}

// needsReservations reports whether a gang is still waiting for the workers reserved
// for it.
func (e *Engine) needsReservations(j *job) bool {
	return e.jobs[j.ID] == j && !j.parked && !j.cancelled && len(j.running) == 0
}

func (e *Engine) reserve(now time.Time, j *job, n *node, tasks int) *nodeReservation {
	r := &nodeReservation{node: n, job: j, since: now, tasks: tasks}
	n.reservation = r
	j.reservedTasks += tasks
	e.reservations = append(e.reservations, r)
	e.reindex(now, n)
	return r
}

func (e *Engine) release(now time.Time, r *nodeReservation) {
	r.node.reservation = nil
	r.job.reservedTasks -= r.tasks
	r.tasks = 0
	e.reservations = slices.DeleteFunc(e.reservations, func(other *nodeReservation) bool { return other == r })
	e.reindex(now, r.node)
}

// giveUp releases a reservation that can't be used, and those of the other members of a gang that were
// planned with it.
func (e *Engine) giveUp(now time.Time, r *nodeReservation) {
	if !r.job.Gang || r.planned == nil {
		e.release(now, r)
		return
	}
	for _, other := range slices.Clone(e.reservations) {
		if other.job == r.job && other.planned != nil {
			e.release(now, other)
		}
	}
}

func (e *Engine) releaseAll(now time.Time, j *job) {
	for _, r := range slices.Clone(e.reservations) {
		if r.job == j {
			e.release(now, r)
		}
	}
	if e.reservingGang == j {
		e.reservingGang = nil
	}
}

// startOnReservations starts tasks on the workers reserved for them.
func (e *Engine) startOnReservations(now time.Time) {
	for _, r := range slices.Clone(e.reservations) {
		if r.node.reservation != r {
			continue
		}
		if e.reservationObsolete(now, r) {
			e.giveUp(now, r)
			continue
		}
		if r.job.Gang {
			continue
		}
		e.startOnReserved(now, r)
	}
}

// reservationObsolete reports whether a reservation serves no purpose any more.
func (e *Engine) reservationObsolete(now time.Time, r *nodeReservation) bool {
	j := r.job
	if e.jobs[j.ID] != j || j.cancelled || j.parked || j.pending() == 0 || j.Gang && len(j.running) > 0 {
		return true
	}
	if !e.demand(j).FitsIn(r.node.allocatable()) {
		return true
	}
	if r.planned != nil && e.reviewReservation(now, r.planned, r.node) {
		return true
	}
	return j.Priority == Urgent && !j.Gang && now.Sub(r.since) > maxUrgentReservation
}

// startOnReserved starts the job's tasks on its reserved worker as far as they fit, and
// preempts others if the job has waited too long.
func (e *Engine) startOnReserved(now time.Time, r *nodeReservation) {
	j, n := r.job, r.node
	demand := e.demand(j)
	for r.tasks > 0 && j.pending() > 0 && demand.FitsIn(n.free()) {
		if !j.team.quotaAllows(demand, j.Priority) || !e.mayStart(1) || now.Before(j.notBefore) {
			return
		}
		r.tasks--
		j.reservedTasks--
		e.startTask(now, j, n, demand, ReasonReservation, Facts{})
	}
	if r.tasks == 0 || j.pending() == 0 {
		e.release(now, r)
		return
	}
	if j.Priority != Urgent && j.waitTime(now) > preemptAfter && e.preemptionsThisTick < maxPreemptionsPerTick {
		e.preemptFor(now, n, j, demand)
	}
}

// reserveForGang reserves workers until the gang fits on them. Only one gang at a time
// may reserve workers, the first that asked, so that two gangs never wait for each
// other.
func (e *Engine) reserveForGang(now time.Time, j *job, demand resource.Vector) {
	if e.reservingGang != nil && e.reservingGang != j && e.needsReservations(e.reservingGang) {
		return
	}
	waited := j.waitTime(now)
	if j.Priority != Urgent && waited < reserveAfter {
		if j.reservedTasks == 0 && e.reserveByForecast(now, j, demand, j.pending()) {
			e.reservingGang = j
		}
		return
	}
	e.reservingGang = j
	for j.reservedTasks < j.pending() {
		n := e.mostFreeNode(now, j, demand)
		if n == nil {
			break
		}
		e.reserve(now, j, n, max(countFits(n.allocatable(), demand, j.pending()-j.reservedTasks), 1))
	}
	if j.Priority != Urgent && waited < preemptAfter {
		return
	}
	for _, r := range e.reservations {
		if r.job == j && e.preemptionsThisTick < maxPreemptionsPerTick {
			e.preemptFor(now, r.node, j, multiply(demand, r.tasks))
		}
	}
}
