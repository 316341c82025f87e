package slots

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// Strategy is a way to share the slots of executors between entry instances.
type Strategy string

// Strategies that an Experiment compares.
const (
	// Grants uses the Allocator and the Holder of this package.
	Grants Strategy = "grants"
	// FixedShare gives each entry instance an equal share of each executor.
	FixedShare Strategy = "fixed share"
	// ViaOwner sends each request through the owner, which has all slots.
	ViaOwner Strategy = "hop"
)

// Case is a situation in which an Experiment runs each strategy.
type Case struct {
	Name string
	// Skew is the share of the requests that arrive at the first entry instance; with
	// 0, all arrive evenly spread.
	Skew float64
	// OwnerDies stops the owner in the middle of the run. The owner is not one of the
	// measured entry instances, so only its work as owner is lost.
	OwnerDies bool
}

// Experiment compares strategies in simulated time. Requests wait in FIFO order and are
// dropped at their deadline.
type Experiment struct {
	Seed      uint64
	Entries   int
	Executors int
	// Load is the offered load as a share of the executors' capacity.
	Load     float64
	Service  time.Duration
	Deadline time.Duration
	// RoundTrip is the time of a call between entry instances, including the answer.
	RoundTrip time.Duration
	// Takeover is the time from the owner's failure until its successor makes grants.
	Takeover time.Duration
	Duration time.Duration
	Cases    []Case
}

// DefaultExperiment has the sizes of a current deployment.
func DefaultExperiment(seed uint64) Experiment {
	return Experiment{
		Seed: seed, Entries: 8, Executors: 50, Load: 0.7,
		Service: 20 * time.Millisecond, Deadline: 150 * time.Millisecond,
		RoundTrip: 2 * time.Millisecond, Takeover: 8 * time.Second, Duration: 30 * time.Second,
		Cases: []Case{
			{Name: "even"},
			{Name: "skewed", Skew: 0.4},
			{Name: "owner dies", OwnerDies: true},
			{Name: "skewed, owner dies", Skew: 0.4, OwnerDies: true},
		},
	}
}

// Row is the result of one strategy in one case.
type Row struct {
	Case Case
	Way  Strategy
	// P50, P99 and P999 are latencies of the answered requests.
	P50, P99, P999 time.Duration
	// InTime is the share of all requests that were answered by their deadline.
	InTime float64
	// MostInUse is the highest number of slots in use on one executor.
	MostInUse int
}

// Run runs every case with every strategy.
func (e Experiment) Run() []Row {
	var rows []Row
	for _, scenario := range e.Cases {
		for _, strategy := range []Strategy{Grants, FixedShare, ViaOwner} {
			rows = append(rows, newSimulation(e, scenario, strategy).run())
		}
	}
	return rows
}

const (
	experimentSlots       = 8
	experimentConnections = 64
	experimentService     = "service"
	// experimentMaxDuration is the longest allowed duration of a request.
	experimentMaxDuration = 2 * time.Second
	renewInterval         = time.Second
)

// event is a function to run at a simulated time.
type event struct {
	at  time.Duration
	run func()
}

// eventQueue is a heap of events, ordered by time.
type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	x := (*q)[last]
	*q = (*q)[:last]
	return x
}

// simulation is the run of one case with one strategy.
type simulation struct {
	Experiment
	scenario Case
	strategy Strategy
	random   *rand.Rand
	now      time.Duration
	queue    eventQueue

	executors []membership.InstanceID
	inUse     map[membership.InstanceID]int
	entries   []*entry
	allocator *Allocator
	// ownerDown reports that the owner has stopped and has no successor yet.
	ownerDown bool
	latency   *hdrhistogram.Histogram
	arrived   int
	inTime    int
	mostInUse int
}

// entry is a simulated entry instance with the arrival times of its waiting requests.
type entry struct {
	simulation *simulation
	id         membership.InstanceID
	holder     *Holder
	inUse      map[membership.InstanceID]int
	waiting    []time.Duration
	acquiring  bool
}

func newSimulation(e Experiment, scenario Case, strategy Strategy) *simulation {
	s := &simulation{
		Experiment: e, scenario: scenario, strategy: strategy, random: rand.New(rand.NewPCG(e.Seed, 0)),
		inUse:   map[membership.InstanceID]int{},
		latency: hdrhistogram.New(1, time.Minute.Microseconds(), 3),
	}
	for n := range e.Executors {
		s.executors = append(s.executors, membership.InstanceID(fmt.Sprintf("executor-%d", n)))
	}
	for n := range e.Entries {
		id := membership.InstanceID(fmt.Sprintf("entry-%d", n))
		s.entries = append(s.entries, &entry{simulation: s, id: id, holder: NewHolder(id), inUse: map[membership.InstanceID]int{}})
	}
	s.allocator = s.newAllocator(1)
	return s
}

// clock returns the simulated time as used by allocators and holders.
func (s *simulation) clock() time.Time {
	return time.Unix(0, 0).Add(time.Hour + s.now)
}

func (s *simulation) newAllocator(epoch worker.Epoch) *Allocator {
	a := NewAllocator(s.clock(), epoch, DefaultConfig(), epoch == 1)
	for _, id := range s.executors {
		a.SetExecutor(Executor{
			ID: id, Service: experimentService, MaxDuration: experimentMaxDuration,
			Capacity: Amount{Slots: experimentSlots, Connections: experimentConnections},
		})
	}
	return a
}

func (s *simulation) schedule(d time.Duration, run func()) {
	heap.Push(&s.queue, event{s.now + d, run})
}

func (s *simulation) run() Row {
	for _, e := range s.entries {
		s.schedule(0, e.renew)
	}
	// The first requests arrive after a second, when the base grants are made.
	s.schedule(time.Second, s.addRequest)
	if s.scenario.OwnerDies {
		s.schedule(s.Duration/2, s.stopOwner)
	}
	for len(s.queue) > 0 {
		next := heap.Pop(&s.queue).(event)
		if next.at > s.Duration {
			break
		}
		s.now = next.at
		next.run()
	}
	return Row{
		Case: s.scenario, Way: s.strategy, InTime: float64(s.inTime) / float64(max(s.arrived, 1)), MostInUse: s.mostInUse,
		P50:  time.Duration(s.latency.ValueAtQuantile(50)) * time.Microsecond,
		P99:  time.Duration(s.latency.ValueAtQuantile(99)) * time.Microsecond,
		P999: time.Duration(s.latency.ValueAtQuantile(99.9)) * time.Microsecond,
	}
}

// stopOwner stops the owner. Its successor restores the grants that the holders report.
func (s *simulation) stopOwner() {
	s.ownerDown = true
	s.schedule(s.Takeover, func() {
		s.ownerDown = false
		s.allocator = s.newAllocator(2)
		for _, e := range s.entries {
			if report, err := e.holder.Fence(s.clock(), 2); err == nil {
				s.allocator.Restore(s.clock(), report)
			}
			e.serve()
		}
	})
}

// addRequest adds a request to an entry instance and schedules the next one.
func (s *simulation) addRequest() {
	capacity := float64(s.Executors*experimentSlots) / s.Service.Seconds()
	s.schedule(time.Duration(s.random.ExpFloat64()/(s.Load*capacity)*float64(time.Second)), s.addRequest)
	s.arrived++
	e := s.entries[0]
	if s.random.Float64() >= s.scenario.Skew {
		e = s.entries[s.random.IntN(s.Entries)]
	}
	e.waiting = append(e.waiting, s.now)
	e.serve()
}

// serve starts waiting requests while slots are free, and drops those past their
// deadline.
func (e *entry) serve() {
	for len(e.waiting) > 0 {
		arrived := e.waiting[0]
		if e.simulation.now-arrived > e.simulation.Deadline {
			e.waiting = e.waiting[1:]
			continue
		}
		release, ok := e.takeSlot()
		if !ok {
			e.acquireSlots()
			return
		}
		e.waiting = e.waiting[1:]
		e.simulation.start(arrived, func() {
			release()
			e.serve()
		})
	}
}

// start simulates the work of a request on an executor.
func (s *simulation) start(arrived time.Duration, done func()) {
	work := time.Duration(s.random.ExpFloat64() * float64(s.Service))
	forwarding := time.Duration(0)
	if s.strategy == ViaOwner {
		forwarding = s.RoundTrip
	}
	s.schedule(work+forwarding, func() {
		took := s.now - arrived
		if took <= s.Deadline {
			s.inTime++
		}
		// The histogram covers a minute, far more than the deadline, so this can't fail.
		_ = s.latency.RecordValue(took.Microseconds())
		done()
	})
}

// takeSlot takes a slot of the least used executor that the strategy allows.
func (e *entry) takeSlot() (release func(), ok bool) {
	s := e.simulation
	best, found := membership.InstanceID(""), false
	for _, id := range s.executors {
		if (!found || s.inUse[id] < s.inUse[best]) && e.mayUse(id) {
			best, found = id, true
		}
	}
	if !found {
		return nil, false
	}
	var use *Use
	if s.strategy == Grants {
		if use, ok = e.holder.Acquire(s.clock(), []membership.InstanceID{best}, false); !ok {
			return nil, false
		}
	}
	s.inUse[best]++
	e.inUse[best]++
	s.mostInUse = max(s.mostInUse, s.inUse[best])
	return func() {
		s.inUse[best]--
		e.inUse[best]--
		if use != nil {
			e.holder.Release(use)
		}
		if s.strategy == ViaOwner {
			s.serveOthers()
		}
	}, true
}

// mayUse reports whether the strategy allows the entry instance to use a slot of an
// executor now.
func (e *entry) mayUse(id membership.InstanceID) bool {
	s := e.simulation
	switch s.strategy {
	case FixedShare:
		return e.inUse[id] < experimentSlots/s.Entries
	case ViaOwner:
		return !s.ownerDown && s.inUse[id] < experimentSlots
	}
	return e.holder.Free(s.clock(), id).Slots > 0
}

// serveOthers makes the first entry instance with waiting requests serve them.
func (s *simulation) serveOthers() {
	for _, e := range s.entries {
		if len(e.waiting) > 0 {
			s.schedule(0, e.serve)
			return
		}
	}
}

// acquireSlots requests more slots from the owner. At most one such request is in
// flight.
func (e *entry) acquireSlots() {
	s := e.simulation
	if s.strategy != Grants || e.acquiring || s.ownerDown {
		return
	}
	e.acquiring = true
	e.exchange(min(len(e.waiting), 64), func() {
		e.acquiring = false
		e.serve()
	})
}

// renew renews the grants each second, gives back idle demand grants and requests base
// grants.
func (e *entry) renew() {
	s := e.simulation
	s.schedule(renewInterval, e.renew)
	if s.strategy != Grants || s.ownerDown {
		return
	}
	if len(e.waiting) == 0 {
		e.holder.TrimDemand(Amount{Slots: 1, Connections: 1})
	}
	e.exchange(0, e.serve)
}

// exchange simulates one request for grants and its answer, and then calls done.
func (e *entry) exchange(want int, done func()) {
	s := e.simulation
	sent := s.clock()
	renewals := e.holder.Renewals(sent)
	s.schedule(s.RoundTrip/2, func() {
		now, allocator := s.clock(), s.allocator
		renewed := allocator.Renew(now, e.id, renewals)
		grants := allocator.AcquireBase(now, e.id, s.members())
		if want > 0 {
			grants = append(grants, allocator.Acquire(now, Request{
				Holder: e.id, Service: experimentService, Waiting: want, Want: Amount{Slots: want, Connections: want},
			})...)
		}
		epoch := allocator.epoch
		s.schedule(s.RoundTrip/2, func() {
			// Errors are expected: an answer of the stopped owner is refused after the fence.
			_ = e.holder.ExtendGrants(sent, epoch, renewed)
			_ = e.holder.AddGrants(sent, epoch, grants)
			e.holder.Tick(s.clock())
			done()
		})
	})
}

func (s *simulation) members() []membership.InstanceID {
	ids := make([]membership.InstanceID, len(s.entries))
	for i, e := range s.entries {
		ids[i] = e.id
	}
	return ids
}
