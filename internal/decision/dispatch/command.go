package dispatch

import (
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// stop asks the worker to end a run. The capacity stays reserved until the end
// is listed.
func (e *Engine) stop(now time.Time, a *attempt, reason string) {
	if a.phase == starting {
		a.stopPending = true
		return
	}
	if a.phase == stopping {
		return
	}
	a.phase = stopping
	e.record(now, Decision{Event: "TaskStopping", Task: a.taskRun(), Worker: a.worker.ID, Reason: reason})
	e.count("Task.Stopping")
	e.sendStop(now, a)
}

func (e *Engine) sendStop(now time.Time, a *attempt) {
	a.stopSentAt = now
	e.commandStop(a.worker, a.taskRun())
}

// commandStop sends a stop, also of a run that isn't in the ledger of its worker.
func (e *Engine) commandStop(n *node, r TaskRun) {
	e.commands = append(e.commands, Command{Worker: n.ID, Address: n.Address, TaskRun: r, Stop: true})
}

// earlierLife is how far a clock in an answer may be ahead of the last report. One that
// is further ahead belongs to an earlier life of the worker.
const earlierLife = 5 * time.Second

// Stopped notes that a worker accepted a stop command at the given time of its clock.
func (e *Engine) Stopped(id membership.InstanceID, r TaskRun, clock time.Duration) {
	a := e.findAttempt(id, r)
	if a == nil || a.phase != stopping || a.stopAcceptedClock != 0 || clock > a.worker.reportedClock+earlierLife {
		return
	}
	a.stopAcceptedClock = clock
}

func (e *Engine) findAttempt(id membership.InstanceID, r TaskRun) *attempt {
	n := e.workers[id]
	if n == nil {
		return nil
	}
	a := n.runs[r.Task]
	if a == nil || a.run != r.Run {
		return nil
	}
	return a
}

// Started takes over the answer to a start command.
func (e *Engine) Started(now time.Time, id membership.InstanceID, r TaskRun, result StartResult, clock time.Duration) {
	a := e.findAttempt(id, r)
	if a == nil || a.phase != starting {
		return
	}
	e.count("Start." + string(result))
	e.record(now, Decision{Event: "TaskStart", Task: r, Worker: id, Reason: string(result), Age: now.Sub(a.sentAt)})
	switch result {
	case StartAccepted:
		a.phase, a.acceptedClock = running, clock
		if a.restarted {
			// The answer may be of the earlier life, which had another clock.
			a.acceptedClock = a.worker.estimatedClock(now)
		}
		e.observe("Latency.StartCommand", now.Sub(a.sentAt))
		e.startAnswers.note(min(now.Sub(a.sentAt), mostPatience), true)
		if j := a.task.step.job; !j.started {
			j.started = true
			e.observe("Latency.FirstStart", now.Sub(j.Due(a.task.id.Occurrence)))
		}
	case StartUnanswered:
		a.phase = unconfirmed
		a.worker.recordUnansweredStart(now, r)
	default:
		e.startRefused(now, a, result)
		return
	}
	if a.stopPending {
		e.stop(now, a, "no longer wanted")
	}
}

// MayRepeatStart notes that a start got no answer, and reports whether it may be sent again:
// it is still wanted, and nothing suggests that the worker can't be reached.
func (e *Engine) MayRepeatStart(now time.Time, id membership.InstanceID, r TaskRun) bool {
	a := e.findAttempt(id, r)
	if a == nil || a.phase != starting {
		return false
	}
	a.worker.recordUnansweredStart(now, r)
	e.startAnswers.note(e.startAnswers.patience(), false)
	return !e.suspended && !a.stopPending && !a.restarted && a.worker.missedPolls == 0 && e.startAnswers.takeRepeat()
}

const (
	// noRoomPause lets the worker's next report show what takes its room.
	noRoomPause = 400 * time.Millisecond
	// unhealthyPause is how long a worker that refuses all starts is left alone.
	unhealthyPause = 2 * time.Second
	// invalidPause keeps a command that a worker can't read from being repeated at once.
	invalidPause = time.Second
)

// startRefused frees the capacity of a run that was not started.
func (e *Engine) startRefused(now time.Time, a *attempt, result StartResult) {
	e.releaseRun(now, a)
	switch result {
	case StartNoRoom:
		a.worker.avoidUntil = now.Add(noRoomPause)
	case StartUnhealthy, StartRestarted:
		a.worker.avoidUntil = now.Add(unhealthyPause)
	case StartInvalid:
		a.task.notBefore = now.Add(invalidPause)
	case StartNoTicket:
		e.dropTicket(a.task.step.id, a.worker)
	}
}
