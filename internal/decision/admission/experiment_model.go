package admission

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"
)

// simulated is a request of the experiment.
type simulated struct {
	id       string
	arrived  time.Duration
	deadline time.Duration
	over     bool
}

// event runs at a simulated time.
type event struct {
	at       time.Duration
	sequence int
	run      func()
}

type events []event

func (q events) Len() int { return len(q) }

func (q events) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
}

func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *events) Push(x any) { *q = append(*q, x.(event)) }

func (q *events) Pop() any {
	last := len(*q) - 1
	x := (*q)[last]
	*q = (*q)[:last]
	return x
}

// model is the simulated time, the executors and what was measured.
type model struct {
	Experiment
	now       time.Duration
	sequence  int
	events    events
	random    *rand.Rand
	executors []*modelExecutor
	seen      tally
	requests  int
}

// modelExecutor serves requests in its slots and queues the rest.
type modelExecutor struct {
	model   *model
	factor  float64
	running int
	backlog []func()
	silent  bool
}

func newModel(e Experiment) *model {
	m := &model{Experiment: e, random: rand.New(rand.NewPCG(e.Seed, 1))}
	m.seen = tally{latencies: newHistogram(), from: e.Warmup}
	for range e.Executors {
		m.executors = append(m.executors, &modelExecutor{model: m, factor: 1})
	}
	m.executors[0].factor = e.SlowFactor
	m.every(time.Second, func() { m.executors[1].silent = true })
	return m
}

// after schedules run.
func (m *model) after(delay time.Duration, run func()) {
	m.sequence++
	heap.Push(&m.events, event{at: m.now + delay, sequence: m.sequence, run: run})
}

// every schedules run until the last arrival.
func (m *model) every(period time.Duration, run func()) {
	m.after(period, func() {
		run()
		if m.now < m.Warmup+m.Measured {
			m.every(period, run)
		}
	})
}

func (m *model) run() {
	for len(m.events) > 0 {
		next := heap.Pop(&m.events).(event)
		m.now = next.at
		next.run()
	}
}

func (m *model) clock() time.Time {
	return time.Unix(0, 0).Add(m.now)
}

// arrivals schedules the requests one after the other.
func (m *model) arrivals(rate float64, instances []entry) {
	m.after(seconds(m.random.ExpFloat64()/rate), func() {
		if m.now >= m.Warmup+m.Measured {
			return
		}
		m.requests++
		r := &simulated{id: requestID(m.requests), arrived: m.now, deadline: m.now + m.Deadline}
		m.seen.arrived(r)
		instances[m.pick(m.random)].arrive(r)
		m.arrivals(rate, instances)
	})
}

// requestID writes a number compactly.
func requestID(n int) string {
	return string([]byte{byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n)})
}

// serve runs done when the executor has answered. A silent connection never
// answers, and done runs after MaxDuration with false.
func (x *modelExecutor) serve(done func(answered bool)) {
	m := x.model
	if x.silent && m.random.IntN(m.Connections) == 0 {
		x.silent = false
		m.after(m.MaxDuration, func() { done(false) })
		return
	}
	x.enqueue(func() { done(true) })
}

func (x *modelExecutor) enqueue(done func()) {
	if x.running >= x.model.SlotsPerExecutor {
		x.backlog = append(x.backlog, done)
		return
	}
	x.running++
	x.model.after(x.serviceTime(), func() {
		x.running--
		done()
		if len(x.backlog) > 0 && x.running < x.model.SlotsPerExecutor {
			next := x.backlog[0]
			x.backlog = x.backlog[1:]
			x.enqueue(next)
		}
	})
}

// serviceTime is log-normal with mean MeanService.
func (x *modelExecutor) serviceTime() time.Duration {
	m := x.model
	spread := math.Exp(m.Sigma*m.random.NormFloat64() - m.Sigma*m.Sigma/2)
	return seconds(m.MeanService.Seconds() * x.factor * spread)
}
