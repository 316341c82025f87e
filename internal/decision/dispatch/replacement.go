package dispatch

import (
	"fmt"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/forecast"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/mechanism"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/replacement"
)

const (
	// leavingSoonCost applies to workers that will be replaced, for tasks that would be stopped then.
	// leavingSoonCheckpointCost applies to tasks that save their work.
	leavingSoonCost           = 2.0
	leavingSoonCheckpointCost = 0.5
	// anyDestinationTime is the time before a worker leaves from which its long-running tasks move to any
	// worker with room. Until then only arriving workers are considered, from which they needn't move again.
	anyDestinationTime = 4 * time.Second
	// workersPerMove limits the long-running tasks that move at the same time: at most one in this many
	// workers.
	workersPerMove = 12
)

// reasonWorkSaved is the reason for stopping a checkpointing run shortly before its worker leaves.
const reasonWorkSaved = "its worker leaves; the run saves its work and resumes on another worker"

// replacements tracks replacements of many workers.
type replacements struct {
	detector replacement.Detector
	// underWay reports that one is under way, as of the current tick.
	underWay bool
	// moves counts the long-running tasks that are moving, and moveLimit limits them.
	moves     int
	moveLimit int
	// longestDrain has, by service, the longest remaining time that a draining worker has reported.
	longestDrain map[ServiceName]time.Duration
}

// observeReplacements applies a list of workers.
func (e *Engine) observeReplacements(now time.Time, list []WorkerInfo) {
	if e.isDisabled(mechanism.Replacement) {
		return
	}
	entries := make([]replacement.Worker, 0, len(list))
	for i := range list {
		entries = append(entries, replacementEntry(&list[i]))
		e.replacements.recordDrainTime(&list[i])
	}
	e.recordReplacements(now, e.replacements.detector.Observe(now, entries))
}

func replacementEntry(info *WorkerInfo) replacement.Worker {
	entry := replacement.Worker{
		ID: string(info.ID), Pool: replacement.Pool(info.Service), Version: replacement.Version(info.Version), Draining: info.Draining,
	}
	if info.RegisteredIncarnation > 0 {
		entry.Born = time.UnixMilli(info.RegisteredIncarnation)
	}
	return entry
}

func (r *replacements) recordDrainTime(info *WorkerInfo) {
	if !info.Draining {
		return
	}
	if r.longestDrain == nil {
		r.longestDrain = map[ServiceName]time.Duration{}
	}
	r.longestDrain[info.Service] = max(r.longestDrain[info.Service], info.Remaining)
}

func (e *Engine) recordReplacements(now time.Time, events []replacement.Event) {
	for _, event := range events {
		d := Decision{Event: "ReplacementBegan", Reason: describeReplacement(event), Took: event.Took}
		if event.Ended {
			d.Event = "ReplacementEnded"
		} else {
			e.count("Replacement.Detected")
		}
		e.record(now, d)
	}
}

func describeReplacement(event replacement.Event) string {
	if event.From == event.To {
		return fmt.Sprintf("workers of %s are replaced under version %q", event.Pool, event.To)
	}
	return fmt.Sprintf("workers of %s with version %q are replaced by ones with %q", event.Pool, event.From, event.To)
}

// updateReplacements marks the workers that will be replaced, once a tick because each search for a worker
// checks all of them.
func (e *Engine) updateReplacements(now time.Time) {
	r := &e.replacements
	e.recordReplacements(now, r.detector.Expire(now))
	before := r.underWay
	r.underWay = r.detector.IsAnyUnderWay()
	if !before && !r.underWay {
		return
	}
	r.moves, r.moveLimit = 0, min(e.startLimit(), len(e.sortedWorkers)/workersPerMove+1)
	for _, w := range e.sortedWorkers {
		w.leavesSoon = e.isBeingReplaced(w) && !r.detector.IsArriving(replacement.Pool(w.Service), string(w.ID))
		if w.hold.moved && w.hold.isActive(now) {
			r.moves++
		}
	}
}

// isBeingReplaced reports whether workers like this one are being replaced.
func (e *Engine) isBeingReplaced(w *worker) bool {
	return e.replacements.underWay && e.replacements.detector.IsUnderWay(replacement.Pool(w.Service))
}

// leavingCost returns the cost of placing a task of the step on a worker that will be replaced. It is 0 for
// tasks that are expected to end while such a worker drains.
func (e *Engine) leavingCost(s *step) float64 {
	switch {
	case !e.replacements.underWay:
		return 0
	case s.LongRunning:
		return leavingSoonCost
	case e.expectedDuration(s) <= e.replacements.longestDrain[s.job.queue.Service]:
		return 0
	case s.Checkpointing:
		return leavingSoonCheckpointCost
	}
	return leavingSoonCost
}

// moveOffReplaced is like moveOff for a worker that is being replaced and has reported when it leaves.
func (e *Engine) moveOffReplaced(now time.Time, a *attempt) bool {
	s := a.task.step
	switch {
	case s.Gang:
		return false
	case s.LongRunning:
		return e.moveLongRunningOffReplaced(now, a)
	case s.Checkpointing && e.isAboutToLeave(now, a.worker):
		return e.saveBeforeLeaving(now, a)
	case !now.Add(e.remainingTime(now, a)).After(a.worker.leavesAt.Add(-drainMargin)):
		a.moveAvoided = a.moveAvoided || a.outlastsWorker(now)
		return false
	case s.Checkpointing:
		return e.saveBeforeLeaving(now, a)
	case e.chooseWorker(now, a.task) == nil:
		return false
	}
	e.stop(now, a, reasonDraining)
	return true
}

// remainingTime returns the time after which a run is expected to have ended. A run that went on from a
// checkpoint has only the rest of the work to do.
func (e *Engine) remainingTime(now time.Time, a *attempt) time.Duration {
	if projected := a.projectedDuration(); projected > 0 {
		return max(projected*time.Duration(100-a.percent)/100-now.Sub(a.progressAt), 0)
	}
	end, known := e.expectedEnd(now, a)
	if !known {
		return forecast.MaxDuration
	}
	return end.Sub(now)
}

// saveBeforeLeaving stops a checkpointing run, which then saves its work, when its worker is about to leave.
// Until then the run continues and may end.
func (e *Engine) saveBeforeLeaving(now time.Time, a *attempt) bool {
	if !e.isAboutToLeave(now, a.worker) {
		a.moveAvoided = true
		return false
	}
	e.count("Replacement.Saved")
	e.stop(now, a, reasonWorkSaved)
	return true
}

// moveLongRunningOffReplaced moves a long-running task to an arriving worker with room that isn't held for
// anything else and, shortly before its own worker leaves, to any. No more tasks move at once than can start
// at once, and none while too many of its step are unavailable. When the worker is about to leave, the task
// is stopped regardless.
func (e *Engine) moveLongRunningOffReplaced(now time.Time, a *attempt) bool {
	s := a.task.step
	if e.replacements.moves < e.replacements.moveLimit && !s.hasWaiting(now) && s.mayBecomeUnavailable(a) {
		if to := e.chooseReplacement(now, a); to != nil {
			e.replacements.moves++
			e.countMove(a.task)
			e.move(now, a, to, nil, reasonDraining)
			return true
		}
	}
	if !e.isAboutToLeave(now, a.worker) {
		return false
	}
	e.countMove(a.task)
	e.stop(now, a, reasonDraining)
	return true
}

// chooseReplacement returns the worker to which a task of a leaving worker can move, or nil.
func (e *Engine) chooseReplacement(now time.Time, a *attempt) *worker {
	mayLeaveSoon := !now.Before(a.worker.leavesAt.Add(-anyDestinationTime))
	return e.chooseWorkerAmong(now, a.task, func(w *worker) bool {
		return w != a.worker && !w.hold.isActive(now) && (mayLeaveSoon || !w.leavesSoon)
	})
}

// mayBecomeUnavailable reports whether the run may be stopped without exceeding the step's MaxUnavailable.
func (s *step) mayBecomeUnavailable(a *attempt) bool {
	return s.MaxUnavailable == 0 || !a.isAvailable() || s.unavailable() < s.MaxUnavailable
}

// unavailable returns the number of the step's tasks in this shard without an available run.
func (s *step) unavailable() int {
	return s.count(func(t *task) bool {
		return !t.elsewhere && (t.attempt == nil || !t.attempt.isAvailable())
	})
}

// isAvailable reports whether the run of a long-running task has started up and isn't being stopped.
func (a *attempt) isAvailable() bool {
	return a.phase == running && a.percent >= startedUpPercent
}

// countMove counts the move of a long-running task off a worker that leaves.
func (e *Engine) countMove(t *task) {
	t.replacementMoves++
	if t.replacementMoves > 1 {
		e.count("Replacement.MovedAgain")
		return
	}
	e.count("Replacement.MovedOnce")
}

// countAvoidedMove counts a run that ended on its worker although it would have been moved without the
// mechanism.
func (e *Engine) countAvoidedMove(a *attempt) {
	if a.moveAvoided {
		e.count("Replacement.MovesAvoided")
	}
}
