package dispatch

import "time"

const (
	// maxLostFillers is the part of the filler demand, weighed by scarcity, from which a
	// serving task doesn't go at once to a worker that it would close to these fillers.
	maxLostFillers = 0.5
	// betterWorkerWait is how long such a task waits for another worker, counted from the
	// end of its last run. The platform counts a task as lost that doesn't run 9 s after
	// its last run, with room for it twice over in the last 3 s.
	betterWorkerWait = 5 * time.Second
	// roomWait is how long it waits at least, or if it never ran, once there is room twice
	// over.
	roomWait = 1500 * time.Millisecond
)

// waitsForBetter reports whether a serving task should wait for a worker that it doesn't
// close to scarce fillers, and tries to get it one. A serving task is worth far less
// than the fillers that it keeps away.
func (e *Engine) waitsForBetter(now time.Time, t *task, n *node) bool {
	if t.step.Target <= 0 || e.recovering || !e.closesToFillers(now, n, t.step.Image) {
		return false
	}
	if t.deferredAt.IsZero() {
		t.deferredAt = now
	}
	if !now.Before(e.deferredUntil(now, t)) {
		e.count("Task.ClosesWorker")
		return false
	}
	if now.Sub(t.heldAt) > holdTime && e.exchange(now, t, n) {
		e.count("Task.Exchanged")
	}
	return true
}

// deferredUntil returns until when a task waits for a better worker.
func (e *Engine) deferredUntil(now time.Time, t *task) time.Time {
	if !e.hasRoomTwice(now, t) {
		return t.deferredAt.Add(betterWorkerWait)
	}
	until := t.deferredAt.Add(roomWait)
	if later := t.downSince.Add(betterWorkerWait); t.run > 0 && later.After(until) {
		return later
	}
	return until
}

// hasRoomTwice reports whether the workers have room for two such tasks.
func (e *Engine) hasRoomTwice(now time.Time, t *task) bool {
	twice := t.step.Reserved().Add(t.step.Reserved())
	room := 0
	for _, n := range e.fleet {
		if !e.mayRun(now, t, n) {
			continue
		}
		room++
		if room > 1 || twice.FitsIn(n.free()) {
			return true
		}
	}
	return false
}

// closesToFillers reports whether a task of the image would keep much of the demand for
// fillers off a worker that takes them now.
func (e *Engine) closesToFillers(now time.Time, n *node, serving Image) bool {
	return n.images[serving] == 0 && e.lostDemand(now, n, serving) >= maxLostFillers
}

// exchange moves a serving task that keeps no fillers away to the worker with room, so
// that the waiting task gets its place. Almost full workers leave no other way.
func (e *Engine) exchange(now time.Time, t *task, room *node) bool {
	for _, n := range e.fleet {
		if n == room || !e.mayHold(now, t, n) || e.closesToFillers(now, n, t.step.Image) {
			continue
		}
		for _, a := range n.runs {
			if e.mayExchange(now, t, a, room) {
				a.task.movedAt = now
				n.holdTask(now, t, a.task.step)
				room.holdTask(now, a.task, t.step)
				e.stop(now, a, "changes places with a task that would keep fillers away")
				return true
			}
		}
	}
	return false
}

// mayExchange reports whether a run can go to the worker with room, and leaves enough for
// the waiting task.
func (e *Engine) mayExchange(now time.Time, t *task, a *attempt, room *node) bool {
	s := a.task.step
	return s.Target > 0 && a.mayMove(now) &&
		t.step.Reserved().FitsIn(a.node.free().Add(a.reserved)) && a.reserved.FitsIn(room.free()) &&
		e.mayHold(now, a.task, room) && !e.closesToFillers(now, room, s.Image)
}

// maxStrays is the number of tasks of an image up to which it is worth to clear a worker
// of them.
const maxStrays = 2

// swapStray exchanges a serving task that keeps fillers off its worker with one that
// doesn't, and reports whether it did.
func (e *Engine) swapStray(now time.Time) bool {
	closes := e.closures(now)
	for _, n := range e.fleet {
		if !n.isSound(now) {
			continue
		}
		for _, a := range n.runs {
			s := a.task.step
			if s.Target <= 0 || n.images[s.Image] > maxStrays || !closes[n][s.Image] || !a.mayMove(now) {
				continue
			}
			if b := e.swapFor(now, a, closes); b != nil {
				a.task.movedAt, b.task.movedAt = now, now
				n.holdTask(now, b.task, s)
				b.node.holdTask(now, a.task, b.task.step)
				e.stop(now, a, "keeps fillers off its worker")
				e.stop(now, b, "changes places with a task that keeps fillers away")
				return true
			}
		}
	}
	return false
}

// swapFor returns a serving task on another worker that can change places with a run, nil
// for none. The other worker is one that the run doesn't close, or that as many tasks of
// its image close already.
func (e *Engine) swapFor(now time.Time, a *attempt, closes map[*node]map[Image]bool) *attempt {
	image := a.task.step.Image
	for _, n := range e.fleet {
		if n == a.node || !e.mayHold(now, a.task, n) || n.images[image] < a.node.images[image] && closes[n][image] {
			continue
		}
		for _, b := range n.runs {
			if e.maySwap(now, a, b) {
				return b
			}
		}
	}
	return nil
}

// maySwap reports whether two serving tasks fit each other's places, and whether that
// opens the worker of the first one.
func (e *Engine) maySwap(now time.Time, a, b *attempt) bool {
	s := b.task.step
	return s.Target > 0 && s.Image != a.task.step.Image && b.mayMove(now) &&
		a.reserved.FitsIn(b.node.free().Add(b.reserved)) && b.reserved.FitsIn(a.node.free().Add(a.reserved)) &&
		e.mayHold(now, b.task, a.node) && e.lostWithout(now, a.node, s.Image, a.task.step.Image) < maxLostFillers/2
}

// closures tells for each worker which serving images keep, or would keep, much of the
// demand for fillers off it.
func (e *Engine) closures(now time.Time) map[*node]map[Image]bool {
	images := map[Image]bool{}
	for _, n := range e.fleet {
		for image := range n.images {
			images[image] = true
		}
	}
	closes := make(map[*node]map[Image]bool, len(e.fleet))
	for _, n := range e.fleet {
		closes[n] = make(map[Image]bool, len(images))
		for image := range images {
			closes[n][image] = e.lostDemand(now, n, image) >= maxLostFillers
		}
	}
	return closes
}
