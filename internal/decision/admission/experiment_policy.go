package admission

import (
	"strconv"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// randomInstance sends each request to a random executor, without admission control.
type randomInstance struct {
	sim *simulation
}

func (inst *randomInstance) arrive(r *simulatedRequest) {
	sim := inst.sim
	sim.executors[sim.random.IntN(len(sim.executors))].serve(func(bool) { sim.stats.recordAnswer(r, sim.now) })
}

// fixedShareInstance has an equal share of each executor's slots and a FIFO queue. free
// lists the executor of each free slot.
type fixedShareInstance struct {
	sim     *simulation
	free    []int
	backlog []*simulatedRequest
}

func newFixedShareInstance(sim *simulation) *fixedShareInstance {
	inst := &fixedShareInstance{sim: sim}
	for executor := range sim.Executors {
		for range sim.SlotsPerExecutor / sim.Instances {
			inst.free = append(inst.free, executor)
		}
	}
	return inst
}

func (inst *fixedShareInstance) arrive(r *simulatedRequest) {
	inst.backlog = append(inst.backlog, r)
	inst.serveNext()
}

func (inst *fixedShareInstance) serveNext() {
	if len(inst.free) == 0 || len(inst.backlog) == 0 {
		return
	}
	sim := inst.sim
	index := sim.random.IntN(len(inst.free))
	executor := inst.free[index]
	inst.free[index] = inst.free[len(inst.free)-1]
	inst.free = inst.free[:len(inst.free)-1]
	r := inst.backlog[0]
	inst.backlog = inst.backlog[1:]
	sim.executors[executor].serve(func(bool) {
		sim.stats.recordAnswer(r, sim.now)
		inst.free = append(inst.free, executor)
		inst.serveNext()
	})
}

// demandPool is the half of the slots that is granted on demand. free counts the free
// slots of each executor.
type demandPool struct {
	free         []int
	nextExecutor int
}

func newDemandPool(sim *simulation) *demandPool {
	p := &demandPool{free: make([]int, sim.Executors)}
	for i := range p.free {
		p.free[i] = sim.SlotsPerExecutor - sim.SlotsPerExecutor/2
	}
	return p
}

// acquire takes up to count slots, spread over the executors, and returns the executor of
// each.
func (p *demandPool) acquire(count int) []int {
	var taken []int
	for misses := 0; len(taken) < count && misses < len(p.free); p.nextExecutor++ {
		index := p.nextExecutor % len(p.free)
		if p.free[index] == 0 {
			misses++
			continue
		}
		misses = 0
		p.free[index]--
		taken = append(taken, index)
	}
	return taken
}

// admissionInstance is an entry instance that uses Controller for admission control.
type admissionInstance struct {
	sim        *simulation
	pool       *demandPool
	controller Controller
	candidates []Candidate
	// demandSlots counts the slots of each executor that come from the pool.
	demandSlots  []int
	grantPending bool
	waiting      map[string]*simulatedRequest
}

// spareSlots is how many slots an instance requests in addition to one for each waiting
// request.
const spareSlots = 4

func newAdmissionInstance(sim *simulation, pool *demandPool, index int) *admissionInstance {
	inst := &admissionInstance{sim: sim, pool: pool, demandSlots: make([]int, sim.Executors), waiting: map[string]*simulatedRequest{}}
	base := sim.SlotsPerExecutor / 2
	for executor := range sim.Executors {
		c := Candidate{Executor: membership.InstanceID(strconv.Itoa(executor))}
		for slot := range base {
			if (executor*base+slot)%sim.Instances == index {
				c.Slots++
			}
		}
		inst.candidates = append(inst.candidates, c)
	}
	sim.scheduleEvery(sim.ReturnInterval, inst.returnIdleSlots)
	return inst
}

func (inst *admissionInstance) request(r *simulatedRequest) Request {
	return Request{ID: r.id, Deadline: time.Unix(0, 0).Add(r.deadline)}
}

func (inst *admissionInstance) arrive(r *simulatedRequest) {
	sim := inst.sim
	inst.controller.RetryBudget.Credit(sim.RetryShare)
	decision := inst.controller.Admit(sim.currentTime(), inst.request(r), inst.candidates)
	switch decision.Action {
	case Serve:
		inst.send(r, decision.Choice, true)
	case Wait:
		inst.waiting[r.id] = r
		inst.requestGrant()
		sim.schedule(r.deadline-decision.RequiredTime-sim.now+time.Nanosecond, inst.expire)
	default:
		inst.requestGrant()
		sim.stats.recordRefusal(r, sim.now, false)
	}
}

func (inst *admissionInstance) expire() {
	for _, id := range inst.controller.Expire(inst.sim.currentTime()) {
		inst.sim.stats.recordRefusal(inst.waiting[id], inst.sim.now, true)
		delete(inst.waiting, id)
	}
}

// send sends a request to an executor. If hedge is set, it sends a second copy to another
// executor after the hedge delay.
func (inst *admissionInstance) send(r *simulatedRequest, choice Choice, hedge bool) {
	sim := inst.sim
	index, _ := strconv.Atoi(string(choice.Executor))
	inst.candidates[index].InUse++
	start := sim.now
	observed := false
	sim.executors[index].serve(func(answered bool) {
		inst.candidates[index].InUse--
		if !observed || answered {
			inst.observe(choice, sim.now-start, !answered, false)
		}
		if answered {
			sim.stats.recordAnswer(r, sim.now)
		}
		inst.serveWaiting()
	})
	// The caller is told at its deadline that there is no response. The extra nanosecond
	// makes such requests count as late.
	sim.schedule(r.deadline-sim.now+time.Nanosecond, func() {
		if !r.done {
			observed = true
			inst.observe(choice, sim.now-start, true, true)
		}
		sim.stats.recordAnswer(r, sim.now)
	})
	if delay, ok := inst.controller.HedgeDelay(sim.currentTime(), sim.HedgePercentile); ok && hedge {
		sim.schedule(delay, func() { inst.hedge(r, choice) })
	}
}

func (inst *admissionInstance) observe(choice Choice, took time.Duration, failed, cancelled bool) {
	inst.controller.Observe(inst.sim.currentTime(), choice.Executor, Observation{Duration: took, Failed: failed, Cancelled: cancelled})
}

func (inst *admissionInstance) hedge(r *simulatedRequest, first Choice) {
	if r.done {
		return
	}
	request := inst.request(r)
	request.Immediate = true
	request.Exclude = []membership.InstanceID{first.Executor}
	decision := inst.controller.Admit(inst.sim.currentTime(), request, inst.candidates)
	if decision.Action != Serve || !inst.controller.RetryBudget.Spend() {
		return
	}
	inst.sim.stats.recordHedge(r)
	inst.send(r, decision.Choice, false)
}

// serveWaiting drops expired requests and sends waiting ones to free slots.
func (inst *admissionInstance) serveWaiting() {
	inst.expire()
	for {
		id, choice, ok := inst.controller.Next(inst.sim.currentTime(), inst.candidates)
		if !ok {
			return
		}
		r := inst.waiting[id]
		delete(inst.waiting, id)
		inst.send(r, choice, true)
	}
}

// requestGrant requests a demand grant unless a request for one is pending.
func (inst *admissionInstance) requestGrant() {
	if inst.grantPending {
		return
	}
	inst.grantPending = true
	inst.sim.schedule(inst.sim.GrantDelay, func() {
		inst.grantPending = false
		for _, executor := range inst.pool.acquire(inst.controller.WaitingCount() + spareSlots) {
			inst.demandSlots[executor]++
			inst.candidates[executor].Slots++
		}
		inst.serveWaiting()
	})
}

// returnIdleSlots returns the slots of demand grants that are not in use to the pool.
func (inst *admissionInstance) returnIdleSlots() {
	for i := range inst.candidates {
		c := &inst.candidates[i]
		idle := min(inst.demandSlots[i], c.Slots-c.InUse)
		inst.demandSlots[i] -= idle
		c.Slots -= idle
		inst.pool.free[i] += idle
	}
}
