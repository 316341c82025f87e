package dispatch

import (
	"slices"
	"time"
)

const (
	// lateFactor times the objective is the age at which a job earns nothing more.
	lateFactor = 3
	// maxStartsPerTick bounds the starts that are decided at once, so that reports
	// are read in between.
	maxStartsPerTick = 128
)

// Tick notes the passing of time and starts what can start.
func (e *Engine) Tick(now time.Time) {
	if e.suspended {
		return
	}
	e.endRecovery(now)
	e.dropSilentWorkers(now)
	e.noteOpenWorkers(now)
	e.repeatStops(now)
	e.forgetFinished(now)
	e.emptyLeavingWorkers(now)
	e.findStragglers(now)
	e.countScarcity(now)
	e.startTasks(now)
	e.controlHarm(now)
	e.consolidate(now)
	e.makeRoom(now)
}

// dropSilentWorkers gives up the runs whose leases have ended, and forgets workers
// that are neither listed nor running anything.
func (e *Engine) dropSilentWorkers(now time.Time) {
	e.fleet = slices.DeleteFunc(e.fleet, func(n *node) bool {
		if n.misses > 0 && n.heard && len(n.runs) > 0 && now.After(n.lapsesAt()) {
			e.loseRuns(now, n, "lease ended")
		}
		if n.hasLeft() {
			e.loseRuns(now, n, "worker left")
		}
		if n.listed || len(n.runs) > 0 || now.Sub(n.unlistedAt) < heardWithin {
			return false
		}
		if e.recovering && !n.heard && !n.replaced {
			return false
		}
		if n.misses == 0 && now.Sub(n.heardAt) < heardWithin {
			return false
		}
		delete(e.workers, n.ID)
		e.fleetRevision++
		e.record(now, Decision{Event: "WorkerForgotten", Worker: n.ID})
		return true
	})
}

func (e *Engine) repeatStops(now time.Time) {
	for _, n := range e.fleet {
		for _, a := range n.runs {
			if a.phase == stopping && now.Sub(a.stopSent) >= stopRepeat {
				e.sendStop(now, a)
			}
		}
	}
}

func (e *Engine) forgetFinished(now time.Time) {
	for id, done := range e.finished {
		if now.Sub(done.at) > forgetFinished {
			delete(e.finished, id)
		}
	}
}

func (e *Engine) startTasks(now time.Time) {
	candidates := e.candidates(now)
	left := maxStartsPerTick
	clear(e.unplaceable)
	e.countTrials(now)
	e.countForced()
	e.lookForStarving(now)
	for _, c := range candidates {
		if left <= 0 {
			return
		}
		left -= e.startStep(now, c.step, left)
	}
}

// shape is what decides whether any worker can take a task.
type shape struct {
	service ServiceName
	filler  bool
	// lasting tasks may take workers that are held for them.
	lasting  bool
	image    Image
	requires Label
}

// isUnplaceable reports whether a task of the same shape that needs no more found no
// worker in this tick.
func (e *Engine) isUnplaceable(s *step) bool {
	least, failed := e.unplaceable[s.shape()]
	return failed && least.FitsIn(s.Resources)
}

func (s *step) shape() shape {
	own := shape{service: s.job.queue.Service, filler: s.Filler, lasting: s.LongRunning, requires: s.Requires}
	if s.Filler {
		own.image = s.Image
	}
	return own
}

// noteUnplaceable remembers that a task found no worker, unless a rule of its own
// step is the cause.
func (e *Engine) noteUnplaceable(now time.Time, s *step) {
	if s.MaxPerWorker > 0 || s.OneRack || s.job.queue.Advised || e.isKeptOff(now, s) {
		return
	}
	least, failed := e.unplaceable[s.shape()]
	if !failed || s.Resources.FitsIn(least) {
		e.unplaceable[s.shape()] = s.Resources
	}
}

func (s *step) hasWaiting(now time.Time) bool {
	for _, t := range s.tasks {
		if t.isWaiting(now) {
			return true
		}
	}
	return false
}

// startStep starts waiting tasks of a step, at most limit, and returns their number.
func (e *Engine) startStep(now time.Time, s *step, limit int) int {
	started := 0
	if s.Gang {
		started = e.startGang(now, s)
	} else {
		started = e.startSingly(now, s, limit)
	}
	if s.job.queue.Advised && s.hasWaiting(now) {
		e.askAdvice(now, s)
	}
	return started
}

func (e *Engine) startSingly(now time.Time, s *step, limit int) int {
	placeable := !e.isUnplaceable(s)
	if !placeable && !e.mayForce(now, s) {
		e.noteBlockedStep(now, s)
		return 0
	}
	started := 0
	for _, t := range s.tasks {
		if started >= limit {
			break
		}
		if !t.isWaiting(now) || now.Before(t.lookAt) {
			continue
		}
		var n *node
		if placeable {
			n = e.choose(now, t)
		}
		if n == nil {
			if e.startStarving(now, t) {
				started++
				continue
			}
			e.noteUnplaceable(now, s)
			e.noteBlocked(now, t)
			break
		}
		if e.waitsForBetter(now, t, n) {
			continue
		}
		s.blockedAt = time.Time{}
		e.start(now, t, n, e.nextRun(t))
		started++
	}
	return started
}

// startGang starts all tasks of a step together, or none.
func (e *Engine) startGang(now time.Time, s *step) int {
	run := Run(0)
	for _, t := range s.tasks {
		if !t.isWaiting(now) {
			return 0
		}
		run = max(run, e.nextRun(t))
	}
	saved := Checkpoint("")
	for _, t := range s.tasks {
		if t.checkpoint != "" {
			saved = t.checkpoint
		}
	}
	var placed []*attempt
	for _, t := range s.tasks {
		n := e.choose(now, t)
		if n == nil {
			for _, a := range placed {
				a.node.remove(a, now)
				a.task.run = a.earlier
			}
			s.rack = ""
			return 0
		}
		t.checkpoint = saved
		a := newAttempt(t, run, n, now)
		a.earlier = t.run
		n.add(a)
		placed = append(placed, a)
		if s.OneRack && s.rack == "" {
			s.rack = rackOf(n)
		}
	}
	s.rack = ""
	for _, a := range placed {
		e.sendStart(now, a)
	}
	return len(placed)
}

// runsPerEpoch separates the runs of successive owners, so that a new owner never
// repeats the number of a run that it doesn't know.
const runsPerEpoch = 1000

// nextRun returns the number of the task's next start.
func (e *Engine) nextRun(t *task) Run {
	return max(t.run, Run(e.options.Epoch-1)*runsPerEpoch) + 1
}

func (e *Engine) start(now time.Time, t *task, n *node, run Run) *attempt {
	a := newAttempt(t, run, n, now)
	n.add(a)
	if t.step.Filler {
		e.addTrial(n, t.step.Image)
	}
	e.sendStart(now, a)
	return a
}

func (e *Engine) sendStart(now time.Time, a *attempt) {
	n, t := a.node, a.task
	e.commands = append(e.commands, Command{
		Worker: n.ID, Address: n.Address, TaskRun: TaskRun{t.id, a.run},
		Start: &Start{Spec: t.step.job.Spec, Checkpoint: t.checkpoint, Ticket: e.ticket(now, t.step, n)},
		Lease: n.renewal(now, e.options.LeaseTerm), Patience: e.answers.patience(),
	})
	e.count("Task.Starts")
}
