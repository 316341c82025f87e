package dispatch

import (
	"slices"
	"time"
)

const (
	// uselessFactor times the objective is the age at which a job earns nothing more.
	uselessFactor = 3
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
	e.updateSchedulable(now)
	e.repeatStops(now)
	e.forgetFinished(now)
	e.drainWorkers(now)
	e.findStragglers(now)
	e.updateScarcity(now)
	e.startTasks(now)
	e.controlInterference(now)
	e.consolidate(now)
	e.defragment(now)
}

// dropSilentWorkers gives up the runs whose leases have ended, and forgets workers
// that are neither listed nor running anything.
func (e *Engine) dropSilentWorkers(now time.Time) {
	e.sortedWorkers = slices.DeleteFunc(e.sortedWorkers, func(n *node) bool {
		if n.missedPolls > 0 && n.reported && len(n.runs) > 0 && now.After(n.leasesExpireAt()) {
			e.loseRuns(now, n, "lease ended")
		}
		if n.hasLeft() {
			e.loseRuns(now, n, "worker left")
		}
		if n.listed || len(n.runs) > 0 || now.Sub(n.unlistedAt) < maxReportAge {
			return false
		}
		if e.recovering && !n.reported && !n.replaced {
			return false
		}
		if n.missedPolls == 0 && now.Sub(n.lastReportAt) < maxReportAge {
			return false
		}
		delete(e.workers, n.ID)
		e.workersRevision++
		e.record(now, Decision{Event: "WorkerForgotten", Worker: n.ID})
		return true
	})
}

func (e *Engine) repeatStops(now time.Time) {
	for _, n := range e.sortedWorkers {
		for _, a := range n.runs {
			if a.phase == stopping && now.Sub(a.stopSentAt) >= stopRetryInterval {
				e.sendStop(now, a)
			}
		}
	}
}

func (e *Engine) forgetFinished(now time.Time) {
	for id, done := range e.finished {
		if now.Sub(done.at) > finishedJobRetention {
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
	e.scheduleStarvationCheck(now)
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
	// longRunning tasks may take workers that are held for them.
	longRunning bool
	image       Image
	requires    Label
}

// isUnplaceable reports whether a task of the same shape that needs no more found no
// worker in this tick.
func (e *Engine) isUnplaceable(s *step) bool {
	least, failed := e.unplaceable[s.shape()]
	return failed && least.FitsIn(s.Resources)
}

func (s *step) shape() shape {
	own := shape{service: s.job.queue.Service, filler: s.Filler, longRunning: s.LongRunning, requires: s.Requires}
	if s.Filler {
		own.image = s.Image
	}
	return own
}

// recordUnplaceable remembers that a task found no worker, unless a rule of its own
// step is the cause.
func (e *Engine) recordUnplaceable(now time.Time, s *step) {
	if s.MaxPerWorker > 0 || s.OneRack || s.job.queue.Advised || e.isExcludedFromHold(now, s) {
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
	if !placeable && !e.mayForceStart(now, s) {
		e.noteBlockedStep(now, s)
		return 0
	}
	started := 0
	for _, t := range s.tasks {
		if started >= limit {
			break
		}
		if !t.isWaiting(now) || now.Before(t.nextSearchAt) {
			continue
		}
		var n *node
		if placeable {
			n = e.chooseWorker(now, t)
		}
		if n == nil {
			if e.forceStart(now, t) {
				started++
				continue
			}
			e.recordUnplaceable(now, s)
			e.noteBlocked(now, t)
			break
		}
		if e.waitsForBetter(now, t, n) {
			continue
		}
		s.blockedSince = time.Time{}
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
		n := e.chooseWorker(now, t)
		if n == nil {
			for _, a := range placed {
				a.worker.remove(a, now)
				a.task.run = a.previousRun
			}
			s.rack = ""
			return 0
		}
		t.checkpoint = saved
		a := newAttempt(t, run, n, now)
		a.previousRun = t.run
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
	n, t := a.worker, a.task
	e.commands = append(e.commands, Command{
		Worker: n.ID, Address: n.Address, TaskRun: TaskRun{t.id, a.run},
		Start: &Start{Spec: t.step.job.Spec, Checkpoint: t.checkpoint, Ticket: e.ticket(now, t.step, n)},
		Lease: n.renewLease(now, e.options.LeaseTerm), Patience: e.startAnswers.patience(),
	})
	e.count("Task.Starts")
}
