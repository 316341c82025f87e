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

// Way of sharing the slots of executors between entry instances.
type Way string

// Ways that an Experiment compares.
const (
	// Grants lends slots with the Ledger and the Holder of this package.
	Grants Way = "grants"
	// FixedShare gives each entry instance an equal part of each executor.
	FixedShare Way = "fixed share"
	// Hop passes each request through the owner, which has all slots.
	Hop Way = "hop"
)

// Case is a situation that an Experiment runs each way in.
type Case struct {
	Name string
	// Skew is the share of the requests that arrive at the first entry instance; 0 is
	// an even share.
	Skew float64
	// OwnerDies kills the owner in the middle of the run. The owner is not one of the
	// measured entry instances, so that only its part as an owner is lost.
	OwnerDies bool
}

// Experiment compares ways of sharing slots in simulated time. Requests wait first
// in, first out and are given up at their deadline.
type Experiment struct {
	Seed      uint64
	Entries   int
	Executors int
	// Load is the offered load as a share of the executors' capacity.
	Load     float64
	Service  time.Duration
	Deadline time.Duration
	// RoundTrip is the time of a call between entry instances and its answer.
	RoundTrip time.Duration
	// Takeover is the time from the owner's death until its successor lends.
	Takeover time.Duration
	Duration time.Duration
	Cases    []Case
}

// DefaultExperiment has the sizes of a present deployment.
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

// Row is the result of one way in one case.
type Row struct {
	Case Case
	Way  Way
	// P50, P99 and P999 are of the requests that were answered.
	P50, P99, P999 time.Duration
	// InTime is the share of all requests that were answered by their deadline.
	InTime float64
	// MostInUse is the highest number of slots of one executor in use.
	MostInUse int
}

// Run runs every case in every way.
func (e Experiment) Run() []Row {
	var rows []Row
	for _, c := range e.Cases {
		for _, way := range []Way{Grants, FixedShare, Hop} {
			rows = append(rows, newTrial(e, c, way).run())
		}
	}
	return rows
}

const (
	experimentSlots       = 8
	experimentConnections = 64
	experimentService     = "service"
	// experimentMaxDuration is the longest request in the experiment's ledger.
	experimentMaxDuration = 2 * time.Second
	// renewEvery is the time between renewals of grants.
	renewEvery = time.Second
)

// event is something that happens at a time.
type event struct {
	at  time.Duration
	run func()
}

// agenda is a heap of events.
type agenda []event

func (a agenda) Len() int           { return len(a) }
func (a agenda) Less(i, j int) bool { return a[i].at < a[j].at }
func (a agenda) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)        { *a = append(*a, x.(event)) }
func (a *agenda) Pop() any {
	last := len(*a) - 1
	x := (*a)[last]
	*a = (*a)[:last]
	return x
}

// trial is one run of an experiment.
type trial struct {
	Experiment
	c      Case
	way    Way
	random *rand.Rand
	now    time.Duration
	agenda agenda

	names   []membership.InstanceID
	inUse   map[membership.InstanceID]int
	entries []*entry
	ledger  *Ledger
	// dead reports that the owner has died and has no successor yet.
	dead     bool
	latency  *hdrhistogram.Histogram
	arrived  int
	inTime   int
	mostUsed int
}

// entry is an entry instance with its waiting requests.
type entry struct {
	trial   *trial
	id      membership.InstanceID
	holder  *Holder
	share   map[membership.InstanceID]int
	waiting []time.Duration
	asking  bool
}

func newTrial(e Experiment, c Case, way Way) *trial {
	t := &trial{
		Experiment: e, c: c, way: way, random: rand.New(rand.NewPCG(e.Seed, 0)),
		inUse:   map[membership.InstanceID]int{},
		latency: hdrhistogram.New(1, time.Minute.Microseconds(), 3),
	}
	for n := range e.Executors {
		t.names = append(t.names, membership.InstanceID(fmt.Sprintf("executor-%d", n)))
	}
	for n := range e.Entries {
		id := membership.InstanceID(fmt.Sprintf("entry-%d", n))
		t.entries = append(t.entries, &entry{trial: t, id: id, holder: NewHolder(id), share: map[membership.InstanceID]int{}})
	}
	t.ledger = t.newLedger(1)
	return t
}

// clock turns simulated time into the time of ledgers and holders.
func (t *trial) clock() time.Time {
	return time.Unix(0, 0).Add(time.Hour + t.now)
}

func (t *trial) newLedger(epoch worker.Epoch) *Ledger {
	l := NewLedger(t.clock(), epoch, DefaultTerms(), epoch == 1)
	for _, id := range t.names {
		l.SetExecutor(Executor{
			ID: id, Service: experimentService, MaxDuration: experimentMaxDuration,
			Capacity: Amount{Slots: experimentSlots, Connections: experimentConnections},
		})
	}
	return l
}

func (t *trial) after(d time.Duration, run func()) {
	heap.Push(&t.agenda, event{t.now + d, run})
}

func (t *trial) run() Row {
	for _, e := range t.entries {
		t.after(0, e.renew)
	}
	// Grants settle for a second before requests come.
	t.after(time.Second, t.arrive)
	if t.c.OwnerDies {
		t.after(t.Duration/2, t.kill)
	}
	for len(t.agenda) > 0 {
		next := heap.Pop(&t.agenda).(event)
		if next.at > t.Duration {
			break
		}
		t.now = next.at
		next.run()
	}
	return Row{
		Case: t.c, Way: t.way, InTime: float64(t.inTime) / float64(max(t.arrived, 1)), MostInUse: t.mostUsed,
		P50:  time.Duration(t.latency.ValueAtQuantile(50)) * time.Microsecond,
		P99:  time.Duration(t.latency.ValueAtQuantile(99)) * time.Microsecond,
		P999: time.Duration(t.latency.ValueAtQuantile(99.9)) * time.Microsecond,
	}
}

// kill ends the owner. Its successor takes what the holders report.
func (t *trial) kill() {
	t.dead = true
	t.after(t.Takeover, func() {
		t.dead = false
		t.ledger = t.newLedger(2)
		for _, e := range t.entries {
			if report, err := e.holder.Fence(t.clock(), 2); err == nil {
				t.ledger.Restore(t.clock(), report)
			}
			e.serve()
		}
	})
}

// arrive lets a request arrive and plans the next one.
func (t *trial) arrive() {
	capacity := float64(t.Executors*experimentSlots) / t.Service.Seconds()
	t.after(time.Duration(t.random.ExpFloat64()/(t.Load*capacity)*float64(time.Second)), t.arrive)
	t.arrived++
	e := t.entries[0]
	if t.random.Float64() >= t.c.Skew {
		e = t.entries[t.random.IntN(t.Entries)]
	}
	e.waiting = append(e.waiting, t.now)
	e.serve()
}

// serve starts waiting requests while slots are free.
func (e *entry) serve() {
	for len(e.waiting) > 0 {
		arrived := e.waiting[0]
		if e.trial.now-arrived > e.trial.Deadline {
			e.waiting = e.waiting[1:]
			continue
		}
		release, ok := e.take()
		if !ok {
			e.ask()
			return
		}
		e.waiting = e.waiting[1:]
		e.trial.start(arrived, func() {
			release()
			e.serve()
		})
	}
}

// start runs a request on an executor.
func (t *trial) start(arrived time.Duration, done func()) {
	work := time.Duration(t.random.ExpFloat64() * float64(t.Service))
	hop := time.Duration(0)
	if t.way == Hop {
		hop = t.RoundTrip
	}
	t.after(work+hop, func() {
		took := t.now - arrived
		if took <= t.Deadline {
			t.inTime++
		}
		// The histogram covers a minute, and the deadline is far below.
		_ = t.latency.RecordValue(took.Microseconds())
		done()
	})
}

// take takes a slot of the least used executor that this way allows.
func (e *entry) take() (release func(), ok bool) {
	t := e.trial
	best, found := membership.InstanceID(""), false
	for _, id := range t.names {
		if (!found || t.inUse[id] < t.inUse[best]) && e.mayUse(id) {
			best, found = id, true
		}
	}
	if !found {
		return nil, false
	}
	var use *Use
	if t.way == Grants {
		if use, ok = e.holder.Take(t.clock(), []membership.InstanceID{best}, false); !ok {
			return nil, false
		}
	}
	t.inUse[best]++
	e.share[best]++
	t.mostUsed = max(t.mostUsed, t.inUse[best])
	return func() {
		t.inUse[best]--
		e.share[best]--
		if use != nil {
			e.holder.Put(use)
		}
		if t.way == Hop {
			t.serveOthers()
		}
	}, true
}

func (e *entry) mayUse(id membership.InstanceID) bool {
	t := e.trial
	switch t.way {
	case FixedShare:
		return e.share[id] < experimentSlots/t.Entries
	case Hop:
		return !t.dead && t.inUse[id] < experimentSlots
	}
	return e.holder.Free(t.clock(), id).Slots > 0
}

// serveOthers serves one waiting request of any entry instance.
func (t *trial) serveOthers() {
	for _, e := range t.entries {
		if len(e.waiting) > 0 {
			t.after(0, e.serve)
			return
		}
	}
}

// ask asks the owner for more slots, one request at a time.
func (e *entry) ask() {
	t := e.trial
	if t.way != Grants || e.asking || t.dead {
		return
	}
	e.asking = true
	e.exchange(min(len(e.waiting), 64), func() {
		e.asking = false
		e.serve()
	})
}

// renew renews the grants each second, trims what is idle and asks for base grants.
func (e *entry) renew() {
	t := e.trial
	t.after(renewEvery, e.renew)
	if t.way != Grants || t.dead {
		return
	}
	if len(e.waiting) == 0 {
		e.holder.TrimDemand(Amount{Slots: 1, Connections: 1})
	}
	e.exchange(0, e.serve)
}

// exchange is one request for grants and its answer.
func (e *entry) exchange(want int, then func()) {
	t := e.trial
	sent := t.clock()
	renewals := e.holder.Renewals(sent)
	t.after(t.RoundTrip/2, func() {
		now, ledger := t.clock(), t.ledger
		renewed := ledger.Renew(now, e.id, renewals)
		grants := ledger.AcquireBase(now, e.id, t.members())
		if want > 0 {
			grants = append(grants, ledger.Acquire(now, Request{
				Holder: e.id, Service: experimentService, Waiting: want, Want: Amount{Slots: want, Connections: want},
			})...)
		}
		epoch := ledger.epoch
		t.after(t.RoundTrip/2, func() {
			// An answer of the dead owner is refused after the fence, as it should be.
			_ = e.holder.Renewed(sent, epoch, renewed)
			_ = e.holder.Granted(sent, epoch, grants)
			e.holder.Tick(t.clock())
			then()
		})
	})
}

func (t *trial) members() []membership.InstanceID {
	ids := make([]membership.InstanceID, len(t.entries))
	for i, e := range t.entries {
		ids[i] = e.id
	}
	return ids
}
