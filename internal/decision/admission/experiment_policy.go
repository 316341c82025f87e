package admission

import (
	"strconv"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// randomEntry has no slots and no admission.
type randomEntry struct {
	model *model
}

func (n *randomEntry) arrive(r *simulated) {
	m := n.model
	m.executors[m.random.IntN(len(m.executors))].serve(func(bool) { m.seen.answer(r, m.now) })
}

// fixedEntry has an equal share of each executor's slots and a queue in order of
// arrival.
type fixedEntry struct {
	model   *model
	free    []int
	backlog []*simulated
}

func newFixedEntry(m *model) *fixedEntry {
	n := &fixedEntry{model: m}
	for executor := range m.Executors {
		for range m.SlotsPerExecutor / m.Instances {
			n.free = append(n.free, executor)
		}
	}
	return n
}

func (n *fixedEntry) arrive(r *simulated) {
	n.backlog = append(n.backlog, r)
	n.next()
}

func (n *fixedEntry) next() {
	if len(n.free) == 0 || len(n.backlog) == 0 {
		return
	}
	m := n.model
	index := m.random.IntN(len(n.free))
	executor := n.free[index]
	n.free[index] = n.free[len(n.free)-1]
	n.free = n.free[:len(n.free)-1]
	r := n.backlog[0]
	n.backlog = n.backlog[1:]
	m.executors[executor].serve(func(bool) {
		m.seen.answer(r, m.now)
		n.free = append(n.free, executor)
		n.next()
	})
}

// pool is the half of the slots that is lent on demand.
type pool struct {
	free []int
	next int
}

func newPool(m *model) *pool {
	p := &pool{free: make([]int, m.Executors)}
	for i := range p.free {
		p.free[i] = m.SlotsPerExecutor - m.SlotsPerExecutor/2
	}
	return p
}

// take lends up to count slots, spread over the executors.
func (p *pool) take(count int) []int {
	var taken []int
	for misses := 0; len(taken) < count && misses < len(p.free); p.next++ {
		index := p.next % len(p.free)
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

// admissionEntry is an entry instance that uses Service.
type admissionEntry struct {
	model      *model
	pool       *pool
	service    Service
	candidates []Candidate
	// demand counts the slots of each executor that are from the pool.
	demand  []int
	asking  bool
	waiting map[string]*simulated
}

// grantSpare is how many slots an instance asks for beyond its waiting requests.
const grantSpare = 4

func newAdmissionEntry(m *model, p *pool, index int) *admissionEntry {
	n := &admissionEntry{model: m, pool: p, demand: make([]int, m.Executors), waiting: map[string]*simulated{}}
	base := m.SlotsPerExecutor / 2
	for executor := range m.Executors {
		c := Candidate{Executor: membership.InstanceID(strconv.Itoa(executor))}
		for slot := range base {
			if (executor*base+slot)%m.Instances == index {
				c.Slots++
			}
		}
		n.candidates = append(n.candidates, c)
	}
	m.every(m.ReturnEvery, n.returnIdle)
	return n
}

func (n *admissionEntry) request(r *simulated) Request {
	return Request{ID: r.id, Deadline: time.Unix(0, 0).Add(r.deadline)}
}

func (n *admissionEntry) arrive(r *simulated) {
	m := n.model
	n.service.Budget.Arrived(m.RetryShare)
	verdict := n.service.Arrive(m.clock(), n.request(r), n.candidates)
	switch verdict.Action {
	case Serve:
		n.send(r, verdict.Choice, true)
	case Wait:
		n.waiting[r.id] = r
		n.ask()
		m.after(r.deadline-verdict.Need-m.now+time.Nanosecond, n.expire)
	default:
		n.ask()
		m.seen.refuse(r, m.now, false)
	}
}

func (n *admissionEntry) expire() {
	for _, id := range n.service.Expire(n.model.clock()) {
		n.model.seen.refuse(n.waiting[id], n.model.now, true)
		delete(n.waiting, id)
	}
}

// send serves a request and hedges it once.
func (n *admissionEntry) send(r *simulated, choice Choice, hedge bool) {
	m := n.model
	index, _ := strconv.Atoi(string(choice.Executor))
	n.candidates[index].InUse++
	start := m.now
	observed := false
	m.executors[index].serve(func(answered bool) {
		n.candidates[index].InUse--
		if !observed || answered {
			n.observe(choice, m.now-start, !answered, false)
		}
		if answered {
			m.seen.answer(r, m.now)
		}
		n.next()
	})
	// The caller gets its answer at the deadline, shortly after which it is late.
	m.after(r.deadline-m.now+time.Nanosecond, func() {
		if !r.over {
			observed = true
			n.observe(choice, m.now-start, true, true)
		}
		m.seen.answer(r, m.now)
	})
	if delay, ok := n.service.HedgeDelay(m.clock(), m.HedgePercentile); ok && hedge {
		m.after(delay, func() { n.hedge(r, choice) })
	}
}

func (n *admissionEntry) observe(choice Choice, took time.Duration, failed, cancelled bool) {
	n.service.Observe(n.model.clock(), choice.Executor, Observation{Took: took, Failed: failed, Cancelled: cancelled})
}

func (n *admissionEntry) hedge(r *simulated, first Choice) {
	if r.over {
		return
	}
	request := n.request(r)
	request.Immediate = true
	request.Exclude = []membership.InstanceID{first.Executor}
	verdict := n.service.Arrive(n.model.clock(), request, n.candidates)
	if verdict.Action != Serve || !n.service.Budget.Take() {
		return
	}
	n.model.seen.hedge(r)
	n.send(r, verdict.Choice, false)
}

// next serves waiting requests from free slots.
func (n *admissionEntry) next() {
	n.expire()
	for {
		id, choice, ok := n.service.Next(n.model.clock(), n.candidates)
		if !ok {
			return
		}
		r := n.waiting[id]
		delete(n.waiting, id)
		n.send(r, choice, true)
	}
}

// ask requests a demand grant, one at a time.
func (n *admissionEntry) ask() {
	if n.asking {
		return
	}
	n.asking = true
	n.model.after(n.model.GrantDelay, func() {
		n.asking = false
		for _, executor := range n.pool.take(n.service.Waiting() + grantSpare) {
			n.demand[executor]++
			n.candidates[executor].Slots++
		}
		n.next()
	})
}

// returnIdle gives back demand grants that are not in use.
func (n *admissionEntry) returnIdle() {
	for i := range n.candidates {
		c := &n.candidates[i]
		idle := min(n.demand[i], c.Slots-c.InUse)
		n.demand[i] -= idle
		c.Slots -= idle
		n.pool.free[i] += idle
	}
}
