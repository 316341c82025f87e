package dispatch

import (
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/mechanism"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// stop tells the worker to end a run. The capacity stays reserved until the worker
// reports the end.
func (e *Engine) stop(now time.Time, a *attempt, reason string) {
	if a.phase == starting {
		a.stopPending = true
		return
	}
	if a.phase == stopping {
		return
	}
	a.phase = stopping
	a.task.beginDowntime(now, a.worker, reason)
	e.record(now, Decision{Event: "TaskStopping", Task: a.taskRun(), Worker: a.worker.ID, Reason: reason})
	e.count("Task.Stopping")
	e.sendStop(now, a)
}

func (e *Engine) sendStop(now time.Time, a *attempt) {
	a.stopSentAt = now
	e.issueStopCommand(a.worker, a.taskRun())
}

// issueStopCommand issues a stop command. The run need not be in the engine's records.
func (e *Engine) issueStopCommand(w *worker, r TaskRun) {
	e.commands = append(e.commands, Command{
		Worker: w.ID, Address: w.Address, TaskRun: r, Stop: true, Fence: e.fence(w), Incarnation: w.incarnation,
	})
}

// StopAccepted records that a worker accepted a stop command. An answer to a command that was
// issued to an earlier incarnation of the worker doesn't count.
func (e *Engine) StopAccepted(now time.Time, id membership.InstanceID, r TaskRun, incarnation int64) {
	a := e.findAttempt(id, r)
	if a == nil || a.phase != stopping || a.stopAccepted || incarnation != a.worker.incarnation {
		return
	}
	a.stopAccepted, a.missingSince = true, time.Time{}
	a.settle(now)
}

// settle records that the answer to the last start or stop command for the run has arrived.
func (a *attempt) settle(now time.Time) {
	a.settledPoll, a.answeredAt = a.worker.polls, now
}

func (e *Engine) findAttempt(id membership.InstanceID, r TaskRun) *attempt {
	w := e.workers[id]
	if w == nil {
		return nil
	}
	a := w.runs[r.Task]
	if a == nil || a.run != r.Run {
		return nil
	}
	return a
}

// StartAnswered processes the answer to a start command.
func (e *Engine) StartAnswered(now time.Time, id membership.InstanceID, r TaskRun, result StartResult) {
	e.startAnswers.window.inFlight--
	a := e.findAttempt(id, r)
	if a == nil || a.phase != starting {
		return
	}
	e.count("Start." + string(result))
	e.record(now, Decision{Event: "TaskStart", Task: r, Worker: id, Reason: string(result), Age: now.Sub(a.sentAt)})
	switch result {
	case StartAccepted:
		a.phase, a.confirmed = running, true
		a.settle(now)
		e.observe("Latency.StartCommand", now.Sub(a.sentAt))
		e.startAnswers.record(min(now.Sub(a.sentAt), maxAnswerTimeout), true)
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

// MayRetryStart records that a start got no answer, and reports whether it may be sent
// again: the run is still wanted, there is no sign that the worker is unreachable, and
// the retry budget isn't exhausted.
func (e *Engine) MayRetryStart(now time.Time, id membership.InstanceID, r TaskRun) bool {
	a := e.findAttempt(id, r)
	if a == nil || a.phase != starting {
		return false
	}
	a.worker.recordUnansweredStart(now, r)
	e.startAnswers.record(e.startAnswers.timeout(), false)
	return !e.suspended && !e.released && !e.isDisabled(mechanism.StartRetries) && !a.stopPending && !a.restarted && a.worker.missedPolls == 0 && e.startAnswers.takeRetry()
}

const (
	// noRoomPause allows the worker's next report to show what occupies its capacity.
	noRoomPause = 400 * time.Millisecond
	// unhealthyPause is how long a worker that refuses all starts gets none.
	unhealthyPause = 2 * time.Second
	// invalidPause delays the retry of a command that a worker couldn't parse.
	invalidPause = time.Second
)

// startRefused frees the capacity of a run that wasn't started.
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
