package worker

import (
	"fmt"
	"time"

	protocol "github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
)

// Reasons for which a worker refuses a command.
const (
	// ReasonOtherAttempt refuses a start while another attempt of the task runs.
	ReasonOtherAttempt = "OtherAttemptRunning"
	// ReasonOldAttempt refuses a start whose attempt isn't higher than the task's last
	// started one.
	ReasonOldAttempt = "OldAttempt"
	// ReasonUnknownTask refuses a stop or throttle of a task that the worker doesn't have.
	ReasonUnknownTask = "UnknownTask"
	// ReasonNotFinal refuses the acknowledgement of a task that isn't in a final state.
	ReasonNotFinal = "NotFinal"
	// ReasonStartExpired refuses a start that arrives more than StartWithin after the
	// response that its request is based on.
	ReasonStartExpired = "StartExpired"
	// ReasonBadShare refuses a throttle whose share is outside 0 to 1000.
	ReasonBadShare = "BadShare"
)

func invalidRequest(reason string) error {
	return fmt.Errorf("%w: %s", protocol.ErrInvalid, reason)
}

// executeCommands executes the commands of an accepted sync request. Stops come before
// starts, so that one request can replace a task without an overcommit.
func (w *Worker) executeCommands(now time.Time, request protocol.SyncRequest) []protocol.Refusal {
	var refusals []protocol.Refusal
	addRefusal := func(attempt protocol.TaskAttempt, reason string) {
		if reason == "" {
			return
		}
		w.recordRefusal(now, attempt, reason)
		refusals = append(refusals, protocol.Refusal{TaskAttempt: attempt, Reason: reason})
	}
	for _, attempt := range request.Acknowledge {
		addRefusal(attempt, w.acknowledgeTask(attempt))
	}
	for _, stop := range request.Stop {
		addRefusal(stop.TaskAttempt, w.stopTask(now, stop))
	}
	for _, throttle := range request.Throttle {
		addRefusal(throttle.TaskAttempt, w.throttleTask(throttle))
	}
	for _, start := range request.Start {
		if now.Sub(w.sentAt) > request.StartWithin {
			addRefusal(start.TaskAttempt, ReasonStartExpired)
			continue
		}
		addRefusal(start.TaskAttempt, w.startTask(now, start))
	}
	return refusals
}

func (w *Worker) findTask(attempt protocol.TaskAttempt) *task {
	for _, t := range w.tasks {
		if t.start.TaskAttempt == attempt {
			return t
		}
	}
	return nil
}

// acknowledgeTask removes a task in a final state. A task that is unknown has been
// removed before.
func (w *Worker) acknowledgeTask(attempt protocol.TaskAttempt) (refusal string) {
	for i, t := range w.tasks {
		if t.start.TaskAttempt != attempt {
			continue
		}
		if !t.state.IsFinal() {
			return ReasonNotFinal
		}
		w.tasks = append(w.tasks[:i], w.tasks[i+1:]...)
		return ""
	}
	return ""
}

func (w *Worker) stopTask(now time.Time, stop protocol.StopTask) (refusal string) {
	t := w.findTask(stop.TaskAttempt)
	switch {
	case t == nil:
		return ReasonUnknownTask
	case t.state.IsFinal():
	case stop.Mode == protocol.StopKill:
		w.stopNow(now, t, string(protocol.StopKill))
	case t.state == protocol.Running:
		w.checkpointAndStop(now, t, string(protocol.StopCheckpoint), now.Add(w.stopTime()))
	}
	return ""
}

func (w *Worker) throttleTask(command protocol.ThrottleTask) (refusal string) {
	t := w.findTask(command.TaskAttempt)
	if t == nil {
		return ReasonUnknownTask
	}
	if command.Share < 0 || command.Share > fullShare {
		return ReasonBadShare
	}
	t.share = command.Share
	return ""
}

func (w *Worker) startTask(now time.Time, start protocol.StartTask) (refusal string) {
	if w.findTask(start.TaskAttempt) != nil {
		return ""
	}
	for _, t := range w.tasks {
		if t.start.Task == start.Task && !t.state.IsFinal() {
			return ReasonOtherAttempt
		}
	}
	if start.Attempt <= w.latestAttempts[start.Task] {
		return ReasonOldAttempt
	}
	if w.latestAttempts == nil {
		w.latestAttempts = make(map[protocol.TaskID]protocol.Attempt)
	}
	w.latestAttempts[start.Task] = start.Attempt
	t := newTask(start, now)
	w.tasks = append(w.tasks, t)
	w.recordTask(now, EventStart, t)
	w.recordOvercommit(now, t)
	w.loadTask(now, t)
	return ""
}

func (w *Worker) recordOvercommit(now time.Time, t *task) {
	reserved, _ := w.resourcesInUse()
	if !reserved.FitsIn(w.Capacity) {
		w.recordTask(now, EventOvercommit, t)
	}
}
