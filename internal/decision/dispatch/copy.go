package dispatch

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/mechanism"
)

const (
	// copyInterval is the time between two searches for runs to copy.
	copyInterval = 250 * time.Millisecond
	// copyGainFactor times the expected duration of a copy is the remaining time above which a run is copied. A
	// copy uses room twice, so it should save at least as much as it takes.
	copyGainFactor = 2.0
	// copyOverhead is the time that the start of a copy takes in addition to its work.
	copyOverhead = 300 * time.Millisecond
	// runsPerCopy limits the copies that run at the same time: at most one for this many runs.
	runsPerCopy = 20
	// minCopies is the number of copies that may run however few other runs there are.
	minCopies = 2
	// maxCopySearches limits the searches for workers in one pass.
	maxCopySearches = 8
	// minJudgedCopies is the number of ended copies from which their success counts, and minCopySuccess the
	// share of them that must have been the first to succeed.
	minJudgedCopies = 10
	minCopySuccess  = 0.25
)

// copyRecord counts the copies whose task has succeeded. The zero value is ready to use.
type copyRecord struct {
	won   int
	ended int
}

// add records that a task with two runs has succeeded.
func (r *copyRecord) add(copyWon bool) {
	r.ended++
	if copyWon {
		r.won++
	}
	if r.ended > 4*minJudgedCopies {
		r.won, r.ended = r.won/2, r.ended/2
	}
}

// areUseful reports whether copies are worth their room even if nothing points to the worker as the cause. If
// tasks take long on every worker, the first run nearly always succeeds first.
func (r *copyRecord) areUseful() bool {
	return r.ended < minJudgedCopies || float64(r.won) >= minCopySuccess*float64(r.ended)
}

// copyCandidate is a run of which a copy would end sooner.
type copyCandidate struct {
	attempt   *attempt
	remaining time.Duration
	gain      time.Duration
}

// startCopies starts second runs of tasks that are expected to end much later than a copy would, where their
// step allows copies, and returns their number. Copies use room that no task waits for, within a budget, the
// ones that gain most first.
func (e *Engine) startCopies(now time.Time, limit int) int {
	if now.Sub(e.copiesCheckedAt) < copyInterval || e.recovering || e.isDisabled(mechanism.SecondCopies) {
		return 0
	}
	e.copiesCheckedAt = now
	started, searches := 0, 0
	budget := min(limit, e.copyBudget())
	awaited := map[pool]bool{}
	for _, c := range e.copyCandidates(now) {
		if started >= budget || searches >= maxCopySearches {
			break
		}
		p := pool{c.attempt.task.step.job.queue.Service, c.attempt.task.step.job.queue.Priority}
		if _, known := awaited[p]; !known {
			awaited[p] = e.isRoomAwaited(now, p)
		}
		if awaited[p] {
			continue
		}
		searches++
		if e.startCopy(now, c) {
			started++
		}
	}
	return started
}

// pool is the tasks that compete for the same workers with the same priority.
type pool struct {
	service  ServiceName
	priority int
}

// copyBudget returns how many more copies may run.
func (e *Engine) copyBudget() int {
	runs, copies := 0, 0
	for _, w := range e.sortedWorkers {
		for _, a := range w.runs {
			if a.task.step.LongRunning || a.task.step.Filler {
				continue
			}
			runs++
			if a.isCopy() {
				copies++
			}
		}
	}
	return max(minCopies, runs/runsPerCopy) - copies
}

// isRoomAwaited reports whether a task of the pool, or of a more urgent one, waits for room that a copy would
// take.
func (e *Engine) isRoomAwaited(now time.Time, p pool) bool {
	for _, j := range e.jobs {
		if j.outcome != "" || j.cancelled || j.queue.Service != p.service || j.queue.Priority > p.priority {
			continue
		}
		for other := range j.openSteps() {
			if !other.Filler && !other.blockedSince.IsZero() && other.hasWaiting(now) && other.mayStart(now) {
				return true
			}
		}
	}
	return false
}

// copyCandidates returns the runs worth a copy, the ones that gain most first.
func (e *Engine) copyCandidates(now time.Time) []copyCandidate {
	var list []copyCandidate
	for _, j := range e.jobs {
		if j.outcome != "" || j.cancelled || j.activeAttempts == 0 || j.urgency(now) == overdue {
			continue
		}
		for s := range j.openSteps() {
			list = e.appendCopyCandidates(now, s, list)
		}
	}
	slices.SortFunc(list, func(a, b copyCandidate) int {
		return cmp.Or(
			cmp.Compare(a.attempt.task.step.job.queue.Priority, b.attempt.task.step.job.queue.Priority),
			cmp.Compare(b.gain, a.gain),
			cmp.Compare(a.attempt.task.id.String(), b.attempt.task.id.String()),
		)
	})
	return list
}

func (e *Engine) appendCopyCandidates(now time.Time, s *step, list []copyCandidate) []copyCandidate {
	if !s.allowsCopies() || s.remainingTasks == 0 || len(s.perWorker) == 0 {
		return list
	}
	duration := e.copyDuration(s)
	for t := range s.records() {
		a := t.attempt
		if a == nil || a.phase != running || t.second != nil || t.done || now.Before(t.notBefore) || t.nextFailureIsLast() {
			continue
		}
		end, known := e.expectedEnd(now, a)
		remaining := end.Sub(now)
		if !known || remaining <= time.Duration(copyGainFactor*float64(duration)) || !e.mayCopy(now, a) {
			continue
		}
		list = append(list, copyCandidate{attempt: a, remaining: remaining, gain: remaining - duration})
	}
	return list
}

// nextFailureIsLast reports whether another failed run fails the job. A copy must not do that while the first
// run might succeed.
func (t *task) nextFailureIsLast() bool {
	limit := t.step.job.queue.MaxAttempts
	return limit > 0 && t.failures()+1 >= limit
}

// allowsCopies reports whether two runs of a task of the step may be active at the same time.
func (s *step) allowsCopies() bool {
	return s.Speculative && !s.Gang && !s.LongRunning && !s.Filler
}

// copyDuration returns how long a copy is expected to take.
func (e *Engine) copyDuration(s *step) time.Duration {
	typical, estimated := s.typicalDuration()
	if estimated {
		typical = e.expectedDuration(s)
	}
	return typical + copyOverhead
}

// mayCopy reports whether a run that is expected to take long is worth a copy: its worker may be the cause,
// or copies have been useful.
func (e *Engine) mayCopy(now time.Time, a *attempt) bool {
	return now.Sub(a.progressAt) > minHungTime || a.worker.slowdown > minSlowWorkerRatio || a.worker.isFaulty(now) || e.copies.areUseful()
}

// startCopy starts a copy on another worker, and reports whether one has room.
func (e *Engine) startCopy(now time.Time, c copyCandidate) bool {
	t := c.attempt.task
	w := e.chooseWorkerAmong(now, t, func(w *worker) bool {
		return w != c.attempt.worker && !w.hold.isActive(now) && w.slowdown <= minSlowWorkerRatio
	})
	if w == nil {
		return false
	}
	a := e.start(now, t, w, e.nextRun(t))
	a.startedAsCopy = true
	e.count("Task.Copies")
	e.record(now, Decision{
		Event: "TaskCopied", Task: a.taskRun(), Worker: w.ID,
		Reason: fmt.Sprintf("run %d on %s is expected to go on for %s", c.attempt.run, c.attempt.worker.ID, c.remaining.Round(time.Millisecond)),
	})
	return true
}

// isCopy reports whether the attempt is the second run of its task.
func (a *attempt) isCopy() bool {
	return a.task.second == a
}

// addAttempt records a run of the task, as a copy if there is another one.
func (t *task) addAttempt(a *attempt) {
	if t.attempt == nil {
		t.attempt = a
		return
	}
	t.second = a
}

// removeAttempt removes a run of the task. A remaining second run takes its place.
func (t *task) removeAttempt(a *attempt) {
	switch a {
	case t.attempt:
		t.attempt, t.second = t.second, nil
	case t.second:
		t.second = nil
	}
}

// stopAttempts stops all runs of the task.
func (e *Engine) stopAttempts(now time.Time, t *task, reason string) {
	for _, a := range []*attempt{t.attempt, t.second} {
		if a != nil {
			e.stop(now, a, reason)
		}
	}
}

// recordCopyResult records whether the copy of a task was the first to succeed. The first run may have been
// stopped meanwhile.
func (e *Engine) recordCopyResult(a *attempt) {
	if a.task.done || a.task.second == nil && !a.startedAsCopy {
		return
	}
	e.copies.add(a.startedAsCopy)
	if a.startedAsCopy {
		e.count("Task.CopiesWon")
	}
}

// hasMostProgress reports whether no other run of the task has made more progress. Only checkpoints of such a
// run are stored.
func (a *attempt) hasMostProgress() bool {
	for _, other := range []*attempt{a.task.attempt, a.task.second} {
		if other != nil && other.percent > a.percent {
			return false
		}
	}
	return true
}

// mayAdoptCopy reports whether a run that an earlier owner started as a copy is kept beside the other one.
func (e *Engine) mayAdoptCopy(t *task, w *worker) bool {
	return t.step.allowsCopies() && t.second == nil && t.attempt.worker != w && !t.done && !e.isDisabled(mechanism.SecondCopies)
}
