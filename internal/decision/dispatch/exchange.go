package dispatch

import "time"

const (
	// maxLostFillers is the part of the filler demand, weighed by scarcity, from which a
	// serving task doesn't go at once to a worker that it would close to these fillers.
	maxLostFillers = 0.5
	// scarceFrom is the scarcity from which a filler image counts for that: two of three
	// workers take it. Fillers that run nearly anywhere need no worker kept for them.
	scarceFrom = 1.5
	// betterWorkerWait is how long such a task waits for another worker, counted from the
	// end of its last run. The platform counts a task as lost that doesn't run 9 s after
	// its last run, with room for it twice over in the last 3 s.
	betterWorkerWait = 5 * time.Second
	// roomWait is how long it waits at least, or if it never ran, once there is room twice
	// over.
	roomWait = 1500 * time.Millisecond
	// deferInterval is the time between two looks for a worker for such a task.
	deferInterval = 150 * time.Millisecond
	// exchangeInterval is the time between two searches for a task that changes places
	// with one that waits.
	exchangeInterval = 100 * time.Millisecond
	// maxPartners bounds the workers and tasks that a search looks at, maxStrayWorkers the
	// workers that are looked at for a task to swap, so that a search takes a few
	// milliseconds however large the deployment is. The next one goes on from there.
	maxPartners     = 600
	maxStrayWorkers = 100
	// maxStrayTries bounds the strays for which a search looks for a partner.
	maxStrayTries = 8
	// maxStrays is the number of tasks of an image up to which it is worth to clear a
	// worker of them.
	maxStrays = 2
)

// waitsForBetter reports whether a serving task should wait for a worker that it doesn't
// close to scarce fillers, and tries to get it one. A serving task is worth far less
// than the fillers that it keeps away.
func (e *Engine) waitsForBetter(now time.Time, t *task, n *node) bool {
	if t.step.Target <= 0 || e.recovering || !e.closesToFillers(now, n, t.step.Image) {
		return false
	}
	if t.deferredSince.IsZero() {
		t.deferredSince = now
	}
	if !e.mayDefer(now, t) {
		e.count("Task.ClosesWorker")
		return false
	}
	t.nextSearchAt = now.Add(deferInterval)
	if now.Sub(t.lastHeldAt) > holdDuration && now.Sub(e.exchangeCheckedAt) >= exchangeInterval {
		e.exchangeCheckedAt = now
		if e.exchange(now, t, n) {
			e.count("Task.Exchanged")
		}
	}
	return true
}

// mayDefer reports whether a task may go on waiting for a better worker.
func (e *Engine) mayDefer(now time.Time, t *task) bool {
	switch waited := now.Sub(t.deferredSince); {
	case waited < roomWait, t.run > 0 && now.Sub(t.lastReportAt) < betterWorkerWait:
		return true
	case waited >= betterWorkerWait:
		return false
	}
	return !e.hasRoomTwice(now, t)
}

// hasRoomTwice reports whether the workers have room for two such tasks.
func (e *Engine) hasRoomTwice(now time.Time, t *task) bool {
	twice := t.step.Reserved().Add(t.step.Reserved())
	room := 0
	for _, n := range e.sortedWorkers {
		if !e.mayPlace(now, t, n) {
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
	return n.servingImages[serving] == 0 && e.closes(now, n, serving)
}

// closes reports whether the tasks of a serving image, or one more of them, alone keep much
// of the demand for scarce fillers off a worker.
func (e *Engine) closes(now time.Time, n *node, serving Image) bool {
	return e.lostWithout(now, n, serving, serving, scarceFrom) >= maxLostFillers
}

// exchange moves a serving task that keeps no fillers away to the worker with room, so
// that the waiting task gets its place. Almost full workers leave no other way.
func (e *Engine) exchange(now time.Time, t *task, room *node) bool {
	budget := maxPartners
	a := e.partner(&budget, func(n *node) bool {
		return n != room && e.mayHold(now, t, n) && !e.closesToFillers(now, n, t.step.Image)
	}, func(a *attempt) bool { return e.mayExchange(now, t, a, room) })
	if a == nil {
		return false
	}
	e.displace(now, a, t, room, t.step, "changes places with a task that would keep fillers away")
	return true
}

// mayExchange reports whether a run can go to the worker with room, and leaves enough for
// the waiting task.
func (e *Engine) mayExchange(now time.Time, t *task, a *attempt, room *node) bool {
	return t.step.Reserved().FitsIn(a.worker.free().Add(a.reserved)) && a.reserved.FitsIn(room.free()) &&
		!e.closesToFillers(now, room, a.task.step.Image) && e.mayHold(now, a.task, room) && a.mayMove(now)
}

// partner returns the first serving task that suits on a worker that suits, nil for none
// within the budget of workers and tasks to look at.
func (e *Engine) partner(budget *int, eligible func(*node) bool, matches func(*attempt) bool) *attempt {
	for range e.sortedWorkers {
		if *budget--; *budget < 0 {
			return nil
		}
		e.partnerCursor = (e.partnerCursor + 1) % len(e.sortedWorkers)
		n := e.sortedWorkers[e.partnerCursor]
		if len(n.servingImages) == 0 || !eligible(n) {
			continue
		}
		for _, a := range n.runs {
			if a.task.step.Target <= 0 {
				continue
			}
			*budget--
			if matches(a) {
				return a
			}
		}
	}
	return nil
}

// swapStray exchanges a serving task that keeps fillers off its worker with one that
// doesn't, and reports whether it did.
func (e *Engine) swapStray(now time.Time) bool {
	budget := maxPartners
	for range maxStrayTries {
		a := e.nextStray(now)
		if a == nil || budget <= 0 {
			return false
		}
		if b := e.swapPartner(now, &budget, a); b != nil {
			e.swap(now, a, b)
			return true
		}
	}
	return false
}

// swapPartner returns a serving task that can change places with a stray, nil for none.
// Its worker is one that the stray doesn't close, or that as many of its kind close already.
func (e *Engine) swapPartner(now time.Time, budget *int, a *attempt) *attempt {
	image := a.task.step.Image
	return e.partner(budget, func(n *node) bool {
		return n != a.worker && (n.servingImages[image] >= a.worker.servingImages[image] || !e.closesToFillers(now, n, image)) &&
			e.mayHold(now, a.task, n)
	}, func(b *attempt) bool { return e.maySwap(now, a, b) })
}

func (e *Engine) swap(now time.Time, a, b *attempt) {
	e.displace(now, a, b.task, b.worker, b.task.step, "keeps fillers off its worker")
	b.task.movedAt = now
	e.stop(now, b, "changes places with a task that keeps fillers away")
}

// nextStray returns the next serving task that, with at most one other, keeps fillers off
// its worker; nil for none.
func (e *Engine) nextStray(now time.Time) *attempt {
	for range min(len(e.sortedWorkers), maxStrayWorkers) {
		e.blockingCursor = (e.blockingCursor + 1) % len(e.sortedWorkers)
		n := e.sortedWorkers[e.blockingCursor]
		if len(n.servingImages) < 2 || !n.isAvailable(now) {
			continue
		}
		for image, count := range n.servingImages {
			if count > maxStrays || !e.closes(now, n, image) {
				continue
			}
			if a := n.findMovableOf(now, image); a != nil {
				return a
			}
		}
	}
	return nil
}

// findMovableOf returns a serving task of an image that may move, nil for none.
func (n *node) findMovableOf(now time.Time, image Image) *attempt {
	for _, a := range n.runs {
		if a.task.step.Target > 0 && a.task.step.Image == image && a.mayMove(now) {
			return a
		}
	}
	return nil
}

// maySwap reports whether two serving tasks fit each other's places, and whether that
// opens the worker of the first one.
func (e *Engine) maySwap(now time.Time, a, b *attempt) bool {
	s := b.task.step
	return s.Image != a.task.step.Image &&
		a.reserved.FitsIn(b.worker.free().Add(b.reserved)) && b.reserved.FitsIn(a.worker.free().Add(a.reserved)) &&
		e.mayHold(now, b.task, a.worker) && b.mayMove(now) &&
		e.lostWithout(now, a.worker, s.Image, a.task.step.Image, scarceFrom) < maxLostFillers/2
}
