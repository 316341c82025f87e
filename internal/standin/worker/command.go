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
	// ReasonOldAttempt refuses a start that is not later than one that was seen.
	ReasonOldAttempt = "OldAttempt"
	// ReasonUnknownTask refuses a stop or throttle of a task that is not held.
	ReasonUnknownTask = "UnknownTask"
	// ReasonNotFinal refuses the acknowledgement of a task that still runs.
	ReasonNotFinal = "NotFinal"
	// ReasonStartExpired refuses a start that came later than StartWithin allows.
	ReasonStartExpired = "StartExpired"
	// ReasonBadShare refuses a throttle outside 0 to 1000.
	ReasonBadShare = "BadShare"
)

func invalid(reason string) error {
	return fmt.Errorf("%w: %s", protocol.ErrInvalid, reason)
}

// carryOut executes the commands of an accepted sync. Stops come before starts, so
// that one sync can replace a task without an overcommit.
func (w *Worker) carryOut(now time.Time, request protocol.SyncRequest) []protocol.Refusal {
	var refusals []protocol.Refusal
	note := func(attempt protocol.TaskAttempt, reason string) {
		if reason == "" {
			return
		}
		w.refuse(now, attempt, reason)
		refusals = append(refusals, protocol.Refusal{TaskAttempt: attempt, Reason: reason})
	}
	for _, attempt := range request.Acknowledge {
		note(attempt, w.acknowledge(attempt))
	}
	for _, stop := range request.Stop {
		note(stop.TaskAttempt, w.stop(now, stop))
	}
	for _, throttle := range request.Throttle {
		note(throttle.TaskAttempt, w.throttle(throttle))
	}
	for _, start := range request.Start {
		if now.Sub(w.sent) > request.StartWithin {
			note(start.TaskAttempt, ReasonStartExpired)
			continue
		}
		note(start.TaskAttempt, w.start(now, start))
	}
	return refusals
}

func (w *Worker) find(attempt protocol.TaskAttempt) *task {
	for _, t := range w.tasks {
		if t.start.TaskAttempt == attempt {
			return t
		}
	}
	return nil
}

// acknowledge forgets a final task. An unknown one was forgotten before.
func (w *Worker) acknowledge(attempt protocol.TaskAttempt) (refusal string) {
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

func (w *Worker) stop(now time.Time, stop protocol.StopTask) (refusal string) {
	t := w.find(stop.TaskAttempt)
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

func (w *Worker) throttle(throttle protocol.ThrottleTask) (refusal string) {
	t := w.find(throttle.TaskAttempt)
	if t == nil {
		return ReasonUnknownTask
	}
	if throttle.Share < 0 || throttle.Share > fullShare {
		return ReasonBadShare
	}
	t.share = throttle.Share
	return ""
}

func (w *Worker) start(now time.Time, start protocol.StartTask) (refusal string) {
	if w.find(start.TaskAttempt) != nil {
		return ""
	}
	for _, t := range w.tasks {
		if t.start.Task == start.Task && !t.state.IsFinal() {
			return ReasonOtherAttempt
		}
	}
	if start.Attempt <= w.latest[start.Task] {
		return ReasonOldAttempt
	}
	if w.latest == nil {
		w.latest = make(map[protocol.TaskID]protocol.Attempt)
	}
	w.latest[start.Task] = start.Attempt
	t := newTask(start, now)
	w.tasks = append(w.tasks, t)
	w.recordTask(now, EventStart, t)
	w.recordOvercommit(now, t)
	w.load(now, t)
	return ""
}

func (w *Worker) recordOvercommit(now time.Time, t *task) {
	reserved, _ := w.inUse()
	if !reserved.FitsIn(w.Capacity) {
		w.recordTask(now, EventOvercommit, t)
	}
}
