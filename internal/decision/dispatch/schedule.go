package dispatch

import (
	"slices"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/mechanism"
)

const (
	// overdueFactor times the objective is the age after which completing a job has no
	// value.
	overdueFactor = 3
	// maxStartsPerTick limits the starts in one tick, so that reports are processed in
	// between.
	maxStartsPerTick = 128
	// maxDeferredTasks limits the tasks of a step that wait for a better worker at the same time.
	maxDeferredTasks = 32
)

// Tick advances the engine to the given time and starts the tasks that can start.
func (e *Engine) Tick(now time.Time) {
	if e.suspended || e.released {
		return
	}
	e.endRecovery(now)
	e.dropSilentWorkers(now)
	e.updateSchedulable(now)
	e.updateReplacements(now)
	e.retryStops(now)
	e.forgetFinishedJobs(now)
	e.findStragglers(now)
	e.updateScarcity(now)
	clear(e.unplaceable)
	e.beginReservations(now)
	limit := min(maxStartsPerTick, e.startLimit())
	started := e.startMovedTasks(now)
	started += e.startUrgentRestarts(now, limit-started)
	e.drainWorkers(now)
	started += e.startTasks(now, limit-started)
	e.startCopies(now, limit-started)
	e.reserveRoom(now)
	e.recordLongDowntimes(now)
	e.recordShardRoom(now)
	e.controlInterference(now)
	e.consolidate(now)
	e.defragment(now)
}

// startLimit returns how many starts may be sent in this tick.
func (e *Engine) startLimit() int {
	if e.isDisabled(mechanism.StartWindow) {
		return maxStartsPerTick
	}
	return e.startAnswers.window.free()
}

// dropSilentWorkers gives up runs whose leases have expired, and forgets workers that
// are neither listed nor running anything. A worker that is missing from the platform's
// list may be running: its entry also expires while it is only cut off. Workers are also kept while a
// recovery waits for them, and while a late start may be executed on them.
func (e *Engine) dropSilentWorkers(now time.Time) {
	e.sortedWorkers = slices.DeleteFunc(e.sortedWorkers, func(w *worker) bool {
		if (len(w.runs) > 0 || len(w.orphans) > 0) && w.hasLostRuns(now) {
			e.loseExpiredRuns(now, w)
			w.dropOrphans()
		}
		if w.listed || len(w.runs) > 0 || len(w.orphans) > 0 || now.Sub(w.unlistedAt) < maxReportAge {
			return false
		}
		if e.recovering && e.mayHaveUnlistedRuns(now, w) || w.mayExecuteLateStart(now) {
			return false
		}
		if w.missedPolls == 0 && now.Sub(w.lastReportAt) < maxReportAge {
			return false
		}
		delete(e.workers, w.ID)
		e.workersRevision++
		e.record(now, Decision{Event: "WorkerForgotten", Worker: w.ID})
		return true
	})
}

func (e *Engine) retryStops(now time.Time) {
	for _, w := range e.sortedWorkers {
		for _, a := range w.runs {
			if a.phase == stopping && !a.stopAccepted && now.Sub(a.stopSentAt) >= stopRetryInterval {
				e.sendStop(now, a)
			}
		}
	}
}

func (e *Engine) forgetFinishedJobs(now time.Time) {
	e.earlyEnds.expire(now)
	for id, done := range e.finishedJobs {
		if now.Sub(done.at) > finishedJobRetention {
			delete(e.finishedJobs, id)
		}
	}
}

// startTasks starts up to limit of the tasks that may start, in the order of the candidates, and returns
// their number.
func (e *Engine) startTasks(now time.Time, limit int) int {
	e.countTrialRuns(now)
	e.countForcedFillers()
	e.scheduleStarvationCheck(now)
	started := 0
	for _, c := range e.candidates(now) {
		if started >= limit {
			break
		}
		started += e.startStep(now, c.step, limit-started)
	}
	return started
}

// shape is the set of properties that decide whether any worker is feasible for a task.
type shape struct {
	service ServiceName
	filler  bool
	// longRunning tasks may use workers that are held for them.
	longRunning bool
	image       Image
	requires    Label
}

// isUnplaceable reports whether no worker was found in this tick for a task of the same
// shape that needs no more resources, and none is held for the step.
func (e *Engine) isUnplaceable(s *step) bool {
	if e.stepsWithHold[s] || e.reservations.holders[s.holder()] != nil {
		return false
	}
	smallest, failed := e.unplaceable[s.shape()]
	return failed && smallest.FitsIn(s.Resources) || e.isRefused(s)
}

func (s *step) shape() shape {
	own := shape{service: s.job.queue.Service, filler: s.Filler, longRunning: s.LongRunning, requires: s.Requires}
	if s.Filler {
		own.image = s.Image
	}
	return own
}

// recordUnplaceable records that no worker was found for a task, unless a constraint
// specific to its step may be the cause.
func (e *Engine) recordUnplaceable(now time.Time, s *step) {
	if s.MaxPerWorker > 0 || s.OneRack || s.job.queue.NeedsAdvice || e.isExcludedFromHold(now, s) {
		return
	}
	if s.refusedByReservation {
		if s.PreferredRack == "" {
			e.noteRefused(s)
		}
		return
	}
	smallest, failed := e.unplaceable[s.shape()]
	if !failed || s.Resources.FitsIn(smallest) {
		e.unplaceable[s.shape()] = s.Resources
	}
}

func (s *step) hasWaiting(now time.Time) bool {
	return s.some(func(t *task) bool { return t.isWaiting(now) })
}

// mayStart reports whether the task waits, and no unknown run of it may be active.
func (e *Engine) mayStart(now time.Time, t *task) bool {
	return t.isWaiting(now) && !e.mustAwaitRecovery(now, t)
}

// hasStartable reports whether a task of the step may start.
func (e *Engine) hasStartable(now time.Time, s *step) bool {
	return s.some(func(t *task) bool { return e.mayStart(now, t) })
}

// startStep starts up to limit waiting tasks of a step and returns their number.
func (e *Engine) startStep(now time.Time, s *step, limit int) int {
	started := 0
	if s.Gang {
		started = e.startGang(now, s)
	} else {
		started = e.startSingly(now, s, limit)
	}
	if s.job.queue.NeedsAdvice && s.hasWaiting(now) {
		e.askAdvice(now, s)
	}
	return started
}

// startSingly starts up to limit waiting tasks of a step that isn't a gang and returns
// their number.
func (e *Engine) startSingly(now time.Time, s *step, limit int) int {
	placeable := !e.isUnplaceable(s)
	if !placeable && !e.mayForceStart(now, s) {
		e.handleBlockedStep(now, s)
		return 0
	}
	started := 0
	deferred := 0
	for i := range s.tasks {
		if started >= limit {
			break
		}
		t := s.view(i)
		if !e.mayStart(now, t) {
			continue
		}
		if now.Before(t.nextSearchAt) {
			deferred++
			continue
		}
		if !t.isRecord() && deferred >= maxDeferredTasks {
			break
		}
		t = s.task(i)
		var w *worker
		if placeable {
			w = e.chooseWorker(now, t)
		}
		if w == nil {
			if e.forceStart(now, t) {
				started++
				continue
			}
			e.recordUnplaceable(now, s)
			e.handleBlocked(now, t)
			break
		}
		if e.deferForBetterWorker(now, t, w) {
			deferred++
			continue
		}
		s.blockedSince = time.Time{}
		e.start(now, t, w, e.nextRun(t))
		started++
	}
	return started
}

// runsPerEpoch separates the run numbers of successive owners, so that a new owner
// never reuses the number of a run that it doesn't know.
const runsPerEpoch = 1000

// nextRun returns the number of the task's next run. It is higher than any that another shard used
// before it transferred the task.
func (e *Engine) nextRun(t *task) Run {
	return max(t.run, t.firstRun+Run(e.options.Epoch-1)*runsPerEpoch) + 1
}

func (e *Engine) start(now time.Time, t *task, w *worker, run Run) *attempt {
	a := newAttempt(t, run, w, now)
	w.add(a)
	if t.step.Filler {
		e.addTrialRun(w, t.step.Image)
	}
	e.noteStart(now, a)
	e.sendStart(now, a)
	return a
}

func (e *Engine) sendStart(now time.Time, a *attempt) {
	w, t := a.worker, a.task
	e.commands = append(e.commands, Command{
		Worker: w.ID, Address: w.Address, TaskRun: TaskRun{t.id, a.run},
		Start: &Start{Spec: t.step.job.Spec, Checkpoint: t.checkpoint, Ticket: e.ticket(now, t.step, w)},
		Fence: e.fence(w), Lease: w.renewLease(now, e.options.LeaseTerm), AnswerTimeout: e.startAnswers.timeout(),
	})
	e.startAnswers.window.inFlight++
	e.count("Task.Starts")
}
