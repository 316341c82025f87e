package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

const (
	simulationStep = 50 * time.Millisecond
	// authorityTerm is how long an owner that can't reach the store acts after its last transaction.
	authorityTerm = 2400 * time.Millisecond
	// claimDelay is the time after the last transaction of a silent owner at which it is replaced.
	claimDelay = time.Second
	// entryTerm is how long a disconnected worker remains listed.
	entryTerm = 2500 * time.Millisecond
	// maxLateStart is how late a start without an answer may be executed.
	maxLateStart = 15 * time.Second
)

// simulatedWorker is a worker that obeys fences, leases and stops as the platform promises.
type simulatedWorker struct {
	info     dispatch.WorkerInfo
	clock    time.Duration
	rate     float64
	highest  dispatch.Fence
	leaseEnd time.Duration
	// runs are active. A run is listed from listedAt on, and no longer once it is being stopped.
	runs map[dispatch.TaskID]*simulatedRun
	// blocked has the highest run of each task that was stopped or has ended.
	blocked  map[dispatch.TaskID]dispatch.Run
	ended    []simulatedEnd
	endCount int64
	// cutAt is when the worker was disconnected, and cutUntil when owners reach it again. gone reports that it
	// has left permanently.
	cutAt    time.Time
	cutUntil time.Time
	gone     bool
	// hiddenUntil is when owners from an epoch on reach the worker. Earlier ones reach it.
	hiddenUntil time.Time
	hiddenFrom  dispatch.Epoch
}

type simulatedRun struct {
	run      dispatch.Run
	listedAt time.Time
	// stopAt is when a run that is being stopped ends, or zero.
	stopAt time.Time
	doneAt time.Time
	kind   dispatch.EndKind
}

type simulatedEnd struct {
	dispatch.End
	at time.Time
	// lapsed reports that the lease of the worker expired before the end was acknowledged.
	lapsed bool
}

// simulatedOwner is an owner with its engine.
type simulatedOwner struct {
	engine *dispatch.Engine
	epoch  dispatch.Epoch
	// storedAt is the time of its last transaction.
	storedAt time.Time
	cut      bool
	dead     bool
	polling  map[membership.InstanceID]bool
}

// takeoverSimulation simulates takeovers with a few workers, and records each task that runs twice.
type takeoverSimulation struct {
	random  *rand.Rand
	now     time.Time
	workers map[membership.InstanceID]*simulatedWorker
	owners  []*simulatedOwner
	// events are messages in transit and other future actions.
	events []simulatedEvent
	// jobs, progress, fleet, stopping and record are in the store. recordEpoch is that of the last two.
	jobs        []dispatch.Job
	progress    map[dispatch.JobID]dispatch.Progress
	outcomes    map[dispatch.JobID]bool
	fleet       []dispatch.WorkerInfo
	stopping    []dispatch.StoppingRun
	record      *dispatch.RecoveryRecord
	recordEpoch dispatch.Epoch
	// claimAt is when the next owner claims the shard, or zero.
	claimAt time.Time
	// usesRecords reports whether the builds of the owners know of records.
	usesRecords func() bool
	// starts has the times at which each task was started.
	starts   map[dispatch.TaskID][]time.Time
	started  int
	faults   []string
	notedEnd map[dispatch.TaskID]time.Time
}

type simulatedEvent struct {
	at time.Time
	do func()
}

func newTakeoverSimulation(seed uint64, workers int) *takeoverSimulation {
	w := &takeoverSimulation{
		random: rand.New(rand.NewPCG(seed, 1)), now: startTime, workers: map[membership.InstanceID]*simulatedWorker{},
		progress: map[dispatch.JobID]dispatch.Progress{}, outcomes: map[dispatch.JobID]bool{},
		starts: map[dispatch.TaskID][]time.Time{}, notedEnd: map[dispatch.TaskID]time.Time{},
	}
	w.usesRecords = func() bool { return true }
	for i := range workers {
		w.addWorker(i)
	}
	return w
}

func (w *takeoverSimulation) addWorker(i int) {
	id := membership.InstanceID(fmt.Sprintf("w%d", i))
	w.workers[id] = &simulatedWorker{
		info: dispatch.WorkerInfo{ID: id, Address: string(id), Service: "pool", Zone: "z", Capacity: cores(4)},
		rate: 0.98 + 0.02*w.random.Float64(), runs: map[dispatch.TaskID]*simulatedRun{}, blocked: map[dispatch.TaskID]dispatch.Run{},
	}
}

// sortedWorkers returns the workers in a fixed order, so that a seed always plays the same.
func (w *takeoverSimulation) sortedWorkers() []*simulatedWorker {
	list := make([]*simulatedWorker, 0, len(w.workers))
	for _, worker := range w.workers {
		list = append(list, worker)
	}
	slices.SortFunc(list, func(a, b *simulatedWorker) int {
		if a.info.ID < b.info.ID {
			return -1
		}
		return 1
	})
	return list
}

// after schedules an action after a delay.
func (w *takeoverSimulation) after(d time.Duration, do func()) {
	w.events = append(w.events, simulatedEvent{w.now.Add(d), do})
}

// delay returns how long a message takes.
func (w *takeoverSimulation) delay() time.Duration {
	return time.Duration(w.random.IntN(80)) * time.Millisecond
}

func (w *takeoverSimulation) chance(p float64) bool {
	return w.random.Float64() < p
}

func (w *takeoverSimulation) owner() *simulatedOwner {
	if len(w.owners) == 0 {
		return nil
	}
	return w.owners[len(w.owners)-1]
}

// step advances the time.
func (w *takeoverSimulation) step() {
	w.now = w.now.Add(simulationStep)
	for _, worker := range w.sortedWorkers() {
		w.advanceWorker(worker)
	}
	due := []simulatedEvent{}
	w.events = slices.DeleteFunc(w.events, func(e simulatedEvent) bool {
		if e.at.After(w.now) {
			return false
		}
		due = append(due, e)
		return true
	})
	slices.SortStableFunc(due, func(a, b simulatedEvent) int { return a.at.Compare(b.at) })
	for _, e := range due {
		e.do()
	}
	if !w.claimAt.IsZero() && !w.now.Before(w.claimAt) {
		w.claim()
	}
	for _, o := range w.owners {
		w.advanceOwner(o)
	}
}

// advanceWorker ends the runs that are done, were stopped or have lost their lease.
func (w *takeoverSimulation) advanceWorker(x *simulatedWorker) {
	x.clock += time.Duration(float64(simulationStep) * x.rate)
	if x.gone {
		return
	}
	lapsed := x.clock >= x.leaseEnd
	for _, id := range sortedTasks(x.runs) {
		r := x.runs[id]
		switch {
		case lapsed:
			x.end(w.now, id, dispatch.EndLeaseExpired)
		case !r.stopAt.IsZero():
			if !w.now.Before(r.stopAt) {
				x.end(w.now, id, dispatch.EndStopped)
			}
		case !r.doneAt.IsZero() && !w.now.Before(r.doneAt):
			x.end(w.now, id, r.kind)
		}
	}
	for i := range x.ended {
		x.ended[i].lapsed = x.ended[i].lapsed || lapsed
	}
}

func sortedTasks[Value any](m map[dispatch.TaskID]Value) []dispatch.TaskID {
	ids := make([]dispatch.TaskID, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b dispatch.TaskID) int {
		if a.String() < b.String() {
			return -1
		}
		return 1
	})
	return ids
}

func (x *simulatedWorker) end(now time.Time, id dispatch.TaskID, kind dispatch.EndKind) {
	r := x.runs[id]
	delete(x.runs, id)
	x.blocked[id] = max(x.blocked[id], r.run)
	x.endCount++
	x.ended = append(x.ended, simulatedEnd{End: dispatch.End{Number: x.endCount, TaskRun: dispatch.TaskRun{Task: id, Run: r.run}, Kind: kind}, at: now})
}

// accepts reports whether the worker executes a command.
func (x *simulatedWorker) accepts(f dispatch.Fence, lease time.Duration) bool {
	if f < x.highest {
		return false
	}
	x.highest = f
	x.leaseEnd = max(x.leaseEnd, min(lease, x.clock+maxLease))
	return true
}

// reaches reports whether a message of an owner reaches a worker.
func (w *takeoverSimulation) reaches(o *simulatedOwner, x *simulatedWorker) bool {
	return x != nil && !x.gone && !w.now.Before(x.cutUntil) && (o.epoch < x.hiddenFrom || !w.now.Before(x.hiddenUntil))
}

// start executes a start command on a worker.
func (w *takeoverSimulation) start(x *simulatedWorker, c dispatch.Command) dispatch.StartResult {
	switch r := x.runs[c.Task]; {
	case c.Fence < x.highest:
		return dispatch.StartStaleEpoch
	case r != nil && r.run == c.Run:
		return dispatch.StartAccepted
	case r != nil || c.Run <= x.blocked[c.Task]:
		return dispatch.StartOldRun
	case c.Lease <= x.clock:
		return dispatch.StartLeaseExpired
	}
	x.accepts(c.Fence, c.Lease)
	w.checkStart(x, c)
	r := &simulatedRun{run: c.Run, listedAt: w.now.Add(simulationStep)}
	if c.Task.Job[0] != 'l' {
		r.doneAt = w.now.Add(time.Duration(200+w.random.IntN(2500)) * time.Millisecond)
		r.kind = dispatch.EndDone
		if w.chance(0.1) {
			r.kind = dispatch.EndFailed
		}
	}
	x.runs[c.Task] = r
	w.started++
	w.starts[c.Task] = append(w.starts[c.Task], w.now)
	return dispatch.StartAccepted
}

// checkStart notes a task that starts while another run of it is active or after it has succeeded.
func (w *takeoverSimulation) checkStart(on *simulatedWorker, c dispatch.Command) {
	for _, x := range w.sortedWorkers() {
		if r := x.runs[c.Task]; r != nil && !x.gone && x.clock < x.leaseEnd {
			w.fault("run %d of %s starts on %s while run %d is on %s", c.Run, c.Task, on.info.ID, r.run, x.info.ID)
		}
	}
	if at, noted := w.notedEnd[c.Task]; noted {
		w.fault("run %d of %s starts on %s although it succeeded at %s", c.Run, c.Task, on.info.ID, at.Sub(startTime))
	}
}

func (w *takeoverSimulation) fault(format string, arguments ...any) {
	w.faults = append(w.faults, fmt.Sprintf("%s: ", w.now.Sub(startTime))+fmt.Sprintf(format, arguments...))
}

// poll executes a poll on a worker.
func (w *takeoverSimulation) poll(x *simulatedWorker, p dispatch.Poll) (dispatch.Report, bool) {
	if !x.accepts(p.Fence, p.Lease) {
		return dispatch.Report{}, false
	}
	r := dispatch.Report{Incarnation: 1, Clock: x.clock}
	for _, id := range sortedTasks(x.runs) {
		if run := x.runs[id]; run.stopAt.IsZero() && !w.now.Before(run.listedAt) {
			r.Running = append(r.Running, dispatch.RunningTask{TaskRun: dispatch.TaskRun{Task: id, Run: run.run}, Percent: 100})
		}
	}
	x.ended = slices.DeleteFunc(x.ended, func(e simulatedEnd) bool {
		if e.Number > p.LastStoredEnd {
			return false
		}
		w.noteEnd(e)
		return true
	})
	for _, e := range x.ended {
		r.Ended = append(r.Ended, e.End)
	}
	return r, true
}

// noteEnd is called when an end has been acknowledged. No start may have followed a success.
func (w *takeoverSimulation) noteEnd(e simulatedEnd) {
	if e.Kind != dispatch.EndDone || e.lapsed {
		return
	}
	w.notedEnd[e.Task] = e.at
	for _, at := range w.starts[e.Task] {
		if at.After(e.at) {
			w.fault("%s was started at %s after it had succeeded at %s", e.Task, at.Sub(startTime), e.at.Sub(startTime))
		}
	}
}
