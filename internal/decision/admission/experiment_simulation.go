package admission

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"
)

// simulatedRequest is a request with its times since the start of the simulation.
type simulatedRequest struct {
	id        string
	arrivedAt time.Duration
	deadline  time.Duration
	done      bool
}

// event is a function to run at a simulated time. sequence orders events at the same time.
type event struct {
	at       time.Duration
	sequence int
	run      func()
}

type eventHeap []event

func (q eventHeap) Len() int { return len(q) }

func (q eventHeap) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
}

func (q eventHeap) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventHeap) Push(x any) { *q = append(*q, x.(event)) }

func (q *eventHeap) Pop() any {
	last := len(*q) - 1
	x := (*q)[last]
	*q = (*q)[:last]
	return x
}

// simulation is the state of a discrete-event simulation of one policy at one load.
type simulation struct {
	Experiment
	now       time.Duration
	sequence  int
	events    eventHeap
	random    *rand.Rand
	executors []*simulatedExecutor
	stats     runStats
	requests  int
}

// simulatedExecutor serves as many requests at once as it has slots and queues the rest.
type simulatedExecutor struct {
	sim      *simulation
	slowdown float64
	running  int
	backlog  []func()
	// connectionLost means that one connection has stopped responding. The first request
	// that happens to use it gets no response.
	connectionLost bool
}

func newSimulation(e Experiment) *simulation {
	sim := &simulation{Experiment: e, random: rand.New(rand.NewPCG(e.Seed, 1))}
	sim.stats = runStats{latencies: newHistogram(), measuredFrom: e.Warmup}
	for range e.Executors {
		sim.executors = append(sim.executors, &simulatedExecutor{sim: sim, slowdown: 1})
	}
	sim.executors[0].slowdown = e.SlowFactor
	sim.scheduleEvery(time.Second, func() { sim.executors[1].connectionLost = true })
	return sim
}

// schedule runs a function after a delay in simulated time.
func (sim *simulation) schedule(delay time.Duration, run func()) {
	sim.sequence++
	heap.Push(&sim.events, event{at: sim.now + delay, sequence: sim.sequence, run: run})
}

// scheduleEvery runs a function periodically until arrivals end.
func (sim *simulation) scheduleEvery(period time.Duration, run func()) {
	sim.schedule(period, func() {
		run()
		if sim.now < sim.Warmup+sim.MeasuredDuration {
			sim.scheduleEvery(period, run)
		}
	})
}

func (sim *simulation) run() {
	for len(sim.events) > 0 {
		next := heap.Pop(&sim.events).(event)
		sim.now = next.at
		next.run()
	}
}

func (sim *simulation) currentTime() time.Time {
	return time.Unix(0, 0).Add(sim.now)
}

// scheduleArrivals schedules the next arrival, which in turn schedules the one after it.
func (sim *simulation) scheduleArrivals(rate float64, instances []entryInstance) {
	sim.schedule(seconds(sim.random.ExpFloat64()/rate), func() {
		if sim.now >= sim.Warmup+sim.MeasuredDuration {
			return
		}
		sim.requests++
		r := &simulatedRequest{id: requestID(sim.requests), arrivedAt: sim.now, deadline: sim.now + sim.RequestTimeout}
		sim.stats.recordArrival(r)
		instances[sim.pickInstance(sim.random)].arrive(r)
		sim.scheduleArrivals(rate, instances)
	})
}

// requestID encodes a number as a four-byte string.
func requestID(n int) string {
	return string([]byte{byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n)})
}

// serve calls done(true) when the executor has responded. On an unresponsive connection
// it calls done(false) after MaxDuration.
func (e *simulatedExecutor) serve(done func(answered bool)) {
	sim := e.sim
	if e.connectionLost && sim.random.IntN(sim.ConnectionsPerExecutor) == 0 {
		e.connectionLost = false
		sim.schedule(sim.MaxDuration, func() { done(false) })
		return
	}
	e.enqueue(func() { done(true) })
}

func (e *simulatedExecutor) enqueue(done func()) {
	if e.running >= e.sim.SlotsPerExecutor {
		e.backlog = append(e.backlog, done)
		return
	}
	e.running++
	e.sim.schedule(e.serviceTime(), func() {
		e.running--
		done()
		if len(e.backlog) > 0 && e.running < e.sim.SlotsPerExecutor {
			next := e.backlog[0]
			e.backlog = e.backlog[1:]
			e.enqueue(next)
		}
	})
}

// serviceTime returns a random, log-normal service time with mean MeanServiceTime times
// slowdown.
func (e *simulatedExecutor) serviceTime() time.Duration {
	sim := e.sim
	spread := math.Exp(sim.Sigma*sim.random.NormFloat64() - sim.Sigma*sim.Sigma/2)
	return seconds(sim.MeanServiceTime.Seconds() * e.slowdown * spread)
}
