package placement

import (
	"slices"
	"sort"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
)

const (
	// holdAfter is how long a job waits for room before workers are held free for
	// it. Small tasks would otherwise take every gap before it is large enough.
	holdAfter = 60 * time.Second
	// evictAfter is how long a normal job waits before others are evicted from the
	// workers that are held for it.
	evictAfter = 5 * time.Minute
	// urgentHold bounds the time for which a worker is held for an urgent job; after
	// it another worker is tried.
	urgentHold = 10 * time.Second
	// holdShare bounds the workers held for normal jobs, gangs excepted, to one in so many.
	holdShare = 20
	// holdChecks bounds the workers that are looked at for one hold.
	holdChecks = 128
)

// hold keeps a worker free for a job.
type hold struct {
	node  *node
	job   *job
	since time.Time
	// want is the number of the job's tasks that are to start on the worker.
	want int
}

// makeRoom holds a worker for a job that fits nowhere, and for an urgent job
// evicts normal checkpointable work there.
func (e *Engine) makeRoom(now time.Time, j *job, need resource.Vector) {
	if j.Priority == Urgent {
		e.makeUrgentRoom(now, j, need)
		return
	}
	if j.held > 0 || j.waited(now) < holdAfter || len(e.holds) >= max(len(e.fleet)/holdShare, 1) {
		return
	}
	if n := e.emptiest(now, j, need); n != nil {
		e.holdFor(now, j, n, 1)
	}
}

// makeUrgentRoom holds workers for all tasks that have none yet.
func (e *Engine) makeUrgentRoom(now time.Time, j *job, need resource.Vector) {
	for j.held < j.pending() && e.victims < maxVictimsPerTick {
		n := e.searchPotential(now, j, need)
		if n == nil {
			return
		}
		want := max(capacityFor(n.room(byPotential), need, j.pending()-j.held), 1)
		e.holdFor(now, j, n, want)
		e.clearFor(now, n, j, multiply(need, want))
	}
}

// searchPotential returns a worker with room once normal work is evicted.
func (e *Engine) searchPotential(now time.Time, j *job, need resource.Vector) *node {
	avoid := e.avoids(j)
	accept := func(n *node) bool {
		return !(avoid && slices.Contains(j.evidence.failedOn, n.ID))
	}
	e.searches++
	cores := float64(need.Processors) / 1000
	var best *node
	lowest := 0.0
	for _, g := range e.byPotential.groups {
		cost := e.cost(now, g.key, j, cores)
		if g.count == 0 || best != nil && cost >= lowest {
			continue
		}
		if n := e.byPotential.find(g, need, accept); n != nil {
			best, lowest = n, cost
		}
	}
	return best
}

// clearFor evicts normal checkpointable tasks until need fits, the shortest run
// first since it loses least.
func (e *Engine) clearFor(now time.Time, n *node, j *job, need resource.Vector) {
	victims := make([]*attempt, 0, len(n.attempts))
	for _, a := range n.attempts {
		if a.evictable() && a.job != j {
			victims = append(victims, a)
		}
	}
	sort.Slice(victims, func(x, y int) bool { return victims[x].number > victims[y].number })
	for _, a := range victims {
		lacking := need.Sub(n.free().Add(n.stopping))
		if lacking.FitsIn(resource.Vector{}) {
			return
		}
		if !helps(a.reserve, lacking) {
			continue
		}
		n.evicted = now
		e.evict(now, a, ReasonUrgent, Facts{Beneficiary: j.ID, Free: n.free()})
		e.victims++
	}
}

// helps reports whether an amount has something of what is lacking.
func helps(amount, lacking resource.Vector) bool {
	return lacking.Processors > 0 && amount.Processors > 0 ||
		lacking.Memory > 0 && amount.Memory > 0 ||
		lacking.Accelerators > 0 && amount.Accelerators > 0
}

// emptiest returns the worker that lacks least for a task: the one with the most
// room among those that are large enough.
func (e *Engine) emptiest(now time.Time, j *job, need resource.Vector) *node {
	checks := 0
	avoid := e.avoids(j)
	suits := func(n *node) bool {
		return need.FitsIn(n.usable()) && n.offered(now) && !(avoid && slices.Contains(j.evidence.failedOn, n.ID))
	}
	var best *node
	e.byPotential.largest(func(n *node) bool {
		checks++
		if suits(n) {
			best = n
		}
		return best == nil && checks < holdChecks
	})
	if best != nil {
		return best
	}
	for range min(holdChecks, len(e.fleet)) {
		e.nextNode++
		n := e.fleet[e.nextNode%len(e.fleet)]
		if suits(n) && (best == nil || best.free().Processors < n.free().Processors) {
			best = n
		}
	}
	return best
}

// holdsStill reports whether a gang still waits on the workers it holds.
func (e *Engine) holdsStill(j *job) bool {
	return e.jobs[j.ID] == j && !j.parked && !j.cancelled && len(j.running) == 0
}

func (e *Engine) holdFor(now time.Time, j *job, n *node, want int) {
	h := &hold{node: n, job: j, since: now, want: want}
	n.hold = h
	j.held += want
	e.holds = append(e.holds, h)
	e.reindex(now, n)
}

func (e *Engine) release(now time.Time, h *hold) {
	h.node.hold = nil
	h.job.held -= h.want
	h.want = 0
	e.holds = slices.DeleteFunc(e.holds, func(other *hold) bool { return other == h })
	e.reindex(now, h.node)
}

func (e *Engine) releaseAll(now time.Time, j *job) {
	for _, h := range slices.Clone(e.holds) {
		if h.job == j {
			e.release(now, h)
		}
	}
	if e.gang == j {
		e.gang = nil
	}
}

// serveHolds starts tasks on the workers that are held for them.
func (e *Engine) serveHolds(now time.Time) {
	for _, h := range slices.Clone(e.holds) {
		if h.node.hold != h {
			continue
		}
		if e.ended(now, h) {
			e.release(now, h)
			continue
		}
		if h.job.Gang {
			continue
		}
		e.serve(now, h)
	}
}

// ended reports whether a hold has no purpose any more.
func (e *Engine) ended(now time.Time, h *hold) bool {
	j := h.job
	if e.jobs[j.ID] != j || j.cancelled || j.parked || j.pending() == 0 || j.Gang && len(j.running) > 0 {
		return true
	}
	if !e.need(j).FitsIn(h.node.usable()) {
		return true
	}
	return j.Priority == Urgent && !j.Gang && now.Sub(h.since) > urgentHold
}

func (e *Engine) serve(now time.Time, h *hold) {
	j, n := h.job, h.node
	need := e.need(j)
	for h.want > 0 && j.pending() > 0 && need.FitsIn(n.free()) {
		if !j.team.allows(need, j.Priority) || !e.mayStart(1) || now.Before(j.notBefore) {
			return
		}
		h.want--
		j.held--
		e.start(now, j, n, need, ReasonReservation, Facts{})
	}
	if h.want == 0 || j.pending() == 0 {
		e.release(now, h)
		return
	}
	if j.Priority != Urgent && j.waited(now) > evictAfter {
		e.clearFor(now, n, j, need)
	}
}

// holdForGang holds workers until the gang fits on them. Only one gang at a time
// holds workers, the one that asked first, so that two never wait for each other.
func (e *Engine) holdForGang(now time.Time, j *job, need resource.Vector) {
	if e.gang != nil && e.gang != j && e.holdsStill(e.gang) {
		return
	}
	waited := j.waited(now)
	if j.Priority != Urgent && waited < holdAfter {
		return
	}
	e.gang = j
	for j.held < j.pending() {
		n := e.emptiest(now, j, need)
		if n == nil {
			break
		}
		e.holdFor(now, j, n, max(capacityFor(n.usable(), need, j.pending()-j.held), 1))
	}
	if j.Priority != Urgent && waited < evictAfter {
		return
	}
	for _, h := range e.holds {
		if h.job == j && e.victims < maxVictimsPerTick {
			e.clearFor(now, h.node, j, multiply(need, h.want))
		}
	}
}
