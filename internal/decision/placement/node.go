package placement

import (
	"math"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
	"github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/interference"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/manifest"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/object"
)

// The indices of workers.
const (
	// byFree is by what is free now.
	byFree = iota
	// byPotential adds what the eviction of normal checkpointable tasks frees.
	byPotential
	indices
)

const (
	// unknownRatio is the p99 against the target that is assumed before a sample.
	unknownRatio = 0.5
	// highRatio is the predicted p99 against the target from which no normal task
	// starts. The margin of a fifth covers the rise of the load within a sample's lag.
	highRatio = 0.8
	// relaxedRatio takes its place while the late share of the service is below
	// relaxedBudget percent of its error budget.
	relaxedRatio  = 0.95
	relaxedBudget = 50
	// dueRatio and dueBudget are the same for jobs whose deadline is near. Their tasks
	// are not throttled either while the budget lasts.
	dueRatio  = 1.2
	dueBudget = 80
	// dueRounds is the number of run times before the deadline at which a job is due.
	// Over four seeds of the rota rush 26 jobs are late with 5, 23 with 8, 22 with 12.
	dueRounds = 8
	// volatileFor is how long a worker counts as one where eviction is likely.
	volatileFor = 10 * time.Minute
)

// attempt is a task on a worker.
type attempt struct {
	job  *job
	node *node
	// index is that of the task in its job.
	index int32
	// inNode and inJob are the positions in the lists of the node and the job.
	inNode  int32
	inJob   int32
	share   int16
	number  worker.Attempt
	reserve resource.Vector
	// observed is the peak of what was seen.
	observed resource.Vector
	started  time.Time
	stopping bool
	killed   bool
	probe    bool
	// trial attempts count in the trials of their worker's health.
	trial bool
	// orphan names the task of an attempt whose job is unknown.
	orphan worker.TaskID
}

// evictable reports whether urgent work may take the attempt's place.
func (a *attempt) evictable() bool {
	return a.job != nil && !a.stopping && a.job.Checkpointable && a.job.Priority != Urgent
}

func (a *attempt) task() worker.TaskID {
	if a.job == nil {
		return a.orphan
	}
	return a.job.task(a.index)
}

func (a *attempt) checkpoint() object.Key {
	if a.job == nil {
		return ""
	}
	return a.job.checkpoints[a.index]
}

func (a *attempt) class() manifest.ClassName {
	if a.job == nil {
		return ""
	}
	return a.job.Class
}

// serviceState is how a service fares on a worker.
type serviceState struct {
	name manifest.ServiceName
	// ratio is the last p99 against the target.
	ratio float64
	p99   time.Duration
	// pending is the predicted rise of the logarithm of p99 by what started since.
	pending float64
}

func (s serviceState) predicted() float64 {
	return s.ratio * math.Exp(s.pending)
}

// node is a worker with its ledger.
type node struct {
	Worker
	set      int32
	services []serviceState
	// used is what the attempts reserve, evictable the part that could be evicted,
	// stopping the part that was told to stop.
	used      resource.Vector
	evictable resource.Vector
	stopping  resource.Vector
	attempts  []*attempt
	slots     [indices]slot
	order     int
	hold      *hold
	control   interference.Control
	health    health
	// evicted is when a task was last evicted here for want of room or for interference.
	evicted time.Time
}

// usable is what tasks may have in all.
func (n *node) usable() resource.Vector {
	return n.Capacity.Sub(n.Reserved)
}

// free is what tasks may have now. Components are negative while tasks use more
// than they had reserved.
func (n *node) free() resource.Vector {
	return n.usable().Sub(n.used)
}

// room is what the index with the number which counts as room.
func (n *node) room(which int) resource.Vector {
	if which == byPotential {
		return n.free().Add(n.evictable)
	}
	return n.free()
}

// worst is the highest predicted p99 against the target of the services.
func (n *node) worst() float64 {
	worst := 0.0
	for _, s := range n.services {
		worst = max(worst, s.predicted())
	}
	return worst
}

// level is worst in five steps, so that an index can group by it.
func (n *node) level() uint8 {
	worst := n.worst()
	switch {
	case worst < levelFloor[1]:
		return 0
	case worst < levelFloor[2]:
		return 1
	case worst < levelFloor[3]:
		return 2
	case worst < levelFloor[4]:
		return 3
	}
	return 4
}

// levelFloor is the smallest ratio of a level.
var levelFloor = [5]float64{0, 0.5, 0.65, highRatio, relaxedRatio}

func (n *node) key(now time.Time) groupKey {
	return groupKey{
		set:          n.set,
		level:        n.level(),
		volatile:     !n.evicted.IsZero() && now.Sub(n.evicted) < volatileFor,
		accelerators: uint8(min(max(n.free().Accelerators, 0), maxAcceleratorsKey)),
	}
}

// offered reports whether tasks may start on the worker in the ordinary way.
func (n *node) offered(now time.Time) bool {
	if n.State == Unreachable || n.State == Leaving {
		return false
	}
	h := &n.health
	if h.quarantined() || now.Before(h.until) || h.failures > 0 && h.trials > 0 {
		return false
	}
	return n.hold == nil
}

// reindex moves the worker to where its state belongs.
func (e *Engine) reindex(now time.Time, n *node) {
	if n.gone() || !n.offered(now) {
		e.byFree.remove(n)
		e.byPotential.remove(n)
		return
	}
	key := n.key(now)
	e.byFree.put(n, key, n.free())
	e.byPotential.put(n, key, n.room(byPotential))
}

func (n *node) gone() bool {
	return n.order < 0
}

// attach enters an attempt in the ledger.
func (e *Engine) attach(now time.Time, n *node, a *attempt) {
	a.node = n
	a.inNode = int32(len(n.attempts))
	n.attempts = append(n.attempts, a)
	n.used = n.used.Add(a.reserve)
	e.count(a, n, 1)
	if n.health.failures > 0 {
		a.trial = true
		n.health.trials++
	}
	e.reindex(now, n)
}

// detach takes an attempt out of the ledger.
func (e *Engine) detach(now time.Time, a *attempt) {
	n := a.node
	e.count(a, n, -1)
	n.used = n.used.Sub(a.reserve)
	last := len(n.attempts) - 1
	n.attempts[a.inNode] = n.attempts[last]
	n.attempts[a.inNode].inNode = a.inNode
	n.attempts[last] = nil
	n.attempts = n.attempts[:last]
	if a.trial {
		n.health.trials--
	}
	a.node = nil
	e.reindex(now, n)
}

// count adds an attempt to, or takes it from, the sums of what could be evicted
// and what is stopping.
func (e *Engine) count(a *attempt, n *node, sign int) {
	amount := a.reserve
	if sign < 0 {
		amount = resource.Vector{}.Sub(a.reserve)
	}
	if a.evictable() {
		n.evictable = n.evictable.Add(amount)
	}
	if a.stopping {
		n.stopping = n.stopping.Add(amount)
	}
}

// grow raises what an attempt reserves to what it was seen to use.
func (e *Engine) grow(now time.Time, a *attempt, observed resource.Vector) {
	a.observed = a.observed.Max(observed)
	reserve := a.reserve.Max(observed)
	if reserve == a.reserve {
		return
	}
	n := a.node
	e.count(a, n, -1)
	more := reserve.Sub(a.reserve)
	a.reserve = reserve
	n.used = n.used.Add(more)
	e.count(a, n, 1)
	if a.job != nil {
		a.job.team.charge(more, a.job.Priority)
	}
	e.reindex(now, n)
}

// markStopping notes that an attempt was told to stop.
func (e *Engine) markStopping(now time.Time, a *attempt) {
	if a.stopping {
		return
	}
	e.count(a, a.node, -1)
	a.stopping = true
	e.count(a, a.node, 1)
	e.reindex(now, a.node)
}

// SetWorker adds a worker or changes what is known about it.
func (e *Engine) SetWorker(now time.Time, w Worker) {
	n := e.workers[w.ID]
	if n == nil {
		if e.workers == nil {
			e.workers = map[membership.InstanceID]*node{}
			e.byPotential.which = byPotential
		}
		n = &node{order: len(e.fleet)}
		e.workers[w.ID] = n
		e.fleet = append(e.fleet, n)
	} else {
		e.forgetShape(n)
	}
	left := n.State != Leaving && w.State == Leaving
	n.Worker = w
	e.learnShape(n)
	e.setServices(n)
	if n.hold != nil && n.State != "" && n.State != Available {
		e.release(now, n.hold)
	}
	e.reindex(now, n)
	if left {
		e.leaving = append(e.leaving, n)
	}
	e.relieve(now, n, nil)
}

// RemoveWorker forgets a worker; its tasks become pending again. It must only be
// called once nothing can run on the worker any more.
func (e *Engine) RemoveWorker(now time.Time, id membership.InstanceID) {
	n := e.workers[id]
	if n == nil {
		return
	}
	if n.hold != nil {
		e.release(now, n.hold)
	}
	for len(n.attempts) > 0 {
		a := n.attempts[len(n.attempts)-1]
		e.end(now, a, TaskEnd{Outcome: Lost, Reason: "the worker is gone"})
	}
	e.byFree.remove(n)
	e.byPotential.remove(n)
	e.forgetShape(n)
	if n.health.quarantined() {
		e.quarantined--
	}
	last := len(e.fleet) - 1
	e.fleet[n.order] = e.fleet[last]
	e.fleet[n.order].order = n.order
	e.fleet[last] = nil
	e.fleet = e.fleet[:last]
	n.order = -1
	delete(e.workers, id)
}

// learnShape counts the usable sizes, so that a job that fits no worker is
// recognised without a look at every worker.
func (e *Engine) learnShape(n *node) {
	if e.shapes == nil {
		e.shapes = map[resource.Vector]int{}
	}
	e.shapes[n.usable()]++
	e.capacity = e.capacity.Add(n.usable())
}

func (e *Engine) forgetShape(n *node) {
	shape := n.usable()
	e.shapes[shape]--
	if e.shapes[shape] == 0 {
		delete(e.shapes, shape)
	}
	e.capacity = e.capacity.Sub(shape)
}
