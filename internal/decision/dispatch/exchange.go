package dispatch

import (
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/mechanism"
)

const (
	// maxBlockedDemand is the share of the filler demand, weighted by scarcity, at
	// which a worker counts as blocked for fillers. A serving task whose placement
	// would block that much waits for a better worker first.
	maxBlockedDemand = 0.5
	// minScarcity is the scarcity from which a filler image counts towards blocked
	// demand: at 1.5, two of three workers accept it. Fillers that run nearly anywhere
	// don't need workers kept available for them.
	minScarcity = 1.5
	// maxBetterWorkerWait is how long a serving task that would block fillers waits for
	// a better worker, measured from the end of its last run. The platform counts a task
	// as lost if it doesn't run for 9 s after its last run while there was room for it
	// twice over in the last 3 s.
	maxBetterWorkerWait = 5 * time.Second
	// minBetterWorkerWait is the minimum wait, counted from when a worker with room was first
	// found. A task that never ran waits no longer than this once the workers have room for
	// two such tasks.
	minBetterWorkerWait = 1500 * time.Millisecond
	// deferredSearchInterval is the time between two searches for a worker for a
	// deferred task.
	deferredSearchInterval = 150 * time.Millisecond
	// exchangeInterval is the time between two searches for a running task to exchange
	// with a waiting one.
	exchangeInterval = 100 * time.Millisecond
	// maxPartnerSearch limits the workers and tasks that one search examines, and
	// maxBlockingSearch the workers examined for a task to swap, so that a search takes
	// a few milliseconds however large the deployment is. The next search continues
	// where the last one stopped.
	maxPartnerSearch  = 600
	maxBlockingSearch = 100
	// maxSwapAttempts limits the blocking tasks for which one search looks for a
	// partner.
	maxSwapAttempts = 8
	// maxBlockingTasks is the maximum number of tasks of an image on a worker for which
	// clearing the worker of that image is worthwhile.
	maxBlockingTasks = 2
)

// deferForBetterWorker reports whether a serving task should wait for a worker that it
// doesn't block for scarce fillers, and tries to make such a worker available. Running
// a serving task is worth far less than the fillers that it blocks.
func (e *Engine) deferForBetterWorker(now time.Time, t *task, w *worker) bool {
	if t.step.Target <= 0 || e.recovering || t.isDownSinceTakeover() || e.isDisabled(mechanism.BetterWorkerWait) ||
		w.hold.isForMoved(now, t) || !e.wouldBlockFillers(now, w, t.step.Image) {
		return false
	}
	if t.deferredSince.IsZero() {
		t.deferredSince = now
	}
	if !e.mayDefer(now, t) {
		e.count("Task.ClosesWorker")
		return false
	}
	t.nextSearchAt = now.Add(deferredSearchInterval)
	if !e.replacements.underWay && now.Sub(t.lastHeldAt) > holdDuration && now.Sub(e.exchangeCheckedAt) >= exchangeInterval {
		e.exchangeCheckedAt = now
		if e.exchange(now, t, w) {
			e.count("Task.Exchanged")
		}
	}
	return true
}

// mayDefer reports whether a task may keep waiting for a better worker.
func (e *Engine) mayDefer(now time.Time, t *task) bool {
	switch waited := now.Sub(t.deferredSince); {
	case t.isDownFor(now, maxBetterWorkerWait), waited >= maxBetterWorkerWait:
		return false
	case waited < minBetterWorkerWait:
		return true
	case !t.lastRunAt.IsZero():
		return true
	}
	return !e.hasSpareRoom(now, t)
}

// hasSpareRoom reports whether the workers have room for two such tasks.
func (e *Engine) hasSpareRoom(now time.Time, t *task) bool {
	twice := t.step.Reserved().Add(t.step.Reserved())
	room := 0
	for _, w := range e.sortedWorkers {
		if !e.mayPlace(now, t, w) {
			continue
		}
		room++
		if room > 1 || twice.FitsIn(w.free()) {
			return true
		}
	}
	return false
}

// wouldBlockFillers reports whether a first task of the image would block much of the
// filler demand on a worker that accepts it now.
func (e *Engine) wouldBlockFillers(now time.Time, w *worker, serving Image) bool {
	return w.servingImages[serving] == 0 && e.blocksFillers(now, w, serving)
}

// blocksFillers reports whether a serving image alone blocks, or would block, much of
// the scarce filler demand on a worker.
func (e *Engine) blocksFillers(now time.Time, w *worker, serving Image) bool {
	return e.blockedDemandWithout(now, w, serving, serving, minScarcity) >= maxBlockedDemand
}

// exchange moves a serving task that blocks no fillers to the worker with room, so that
// the waiting task can take its place. When the workers are almost full, nothing else
// makes room for it on a better worker.
func (e *Engine) exchange(now time.Time, t *task, destination *worker) bool {
	budget := maxPartnerSearch
	a := e.findPartner(&budget, func(w *worker) bool {
		return w != destination && e.mayHold(now, t, w) && !e.wouldBlockFillers(now, w, t.step.Image)
	}, func(a *attempt) bool { return e.mayExchange(now, t, a, destination) })
	if a == nil {
		return false
	}
	e.displace(now, a, t, destination, t.step, "exchanged with a task that would block fillers")
	return true
}

// mayExchange reports whether a run can move to the worker with room and frees enough
// capacity for the waiting task.
func (e *Engine) mayExchange(now time.Time, t *task, a *attempt, destination *worker) bool {
	return t.step.Reserved().FitsIn(a.worker.free().Add(a.reserved)) && a.reserved.FitsIn(destination.free()) &&
		!e.wouldBlockFillers(now, destination, a.task.step.Image) && e.mayHold(now, a.task, destination) && a.mayMove(now)
}

// findPartner returns the first serving task that matches, on a worker that is
// eligible. It returns nil if there is none within the budget of workers and tasks to
// examine.
func (e *Engine) findPartner(budget *int, eligible func(*worker) bool, matches func(*attempt) bool) *attempt {
	for range e.sortedWorkers {
		if *budget--; *budget < 0 {
			return nil
		}
		e.partnerCursor = (e.partnerCursor + 1) % len(e.sortedWorkers)
		w := e.sortedWorkers[e.partnerCursor]
		if len(w.servingImages) == 0 || !eligible(w) {
			continue
		}
		for _, a := range w.runs {
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

// swapBlockingTask swaps a serving task that blocks fillers on its worker with one that
// doesn't, and reports whether it did.
func (e *Engine) swapBlockingTask(now time.Time) bool {
	budget := maxPartnerSearch
	for range maxSwapAttempts {
		a := e.nextBlockingTask(now)
		if a == nil || budget <= 0 {
			return false
		}
		if b := e.findSwapPartner(now, &budget, a); b != nil {
			e.swap(now, a, b)
			return true
		}
	}
	return false
}

// findSwapPartner returns a serving task that can swap workers with a blocking task, or
// nil. The partner's worker is one that the blocking task wouldn't block, or that at
// least as many tasks of its image block already.
func (e *Engine) findSwapPartner(now time.Time, budget *int, a *attempt) *attempt {
	image := a.task.step.Image
	return e.findPartner(budget, func(w *worker) bool {
		return w != a.worker && (w.servingImages[image] >= a.worker.servingImages[image] || !e.wouldBlockFillers(now, w, image)) &&
			e.mayHold(now, a.task, w)
	}, func(b *attempt) bool { return e.maySwap(now, a, b) })
}

func (e *Engine) swap(now time.Time, a, b *attempt) {
	e.move(now, a, b.worker, b.task.step, "blocks fillers on its worker")
	e.move(now, b, a.worker, a.task.step, "swapped with a task that blocks fillers")
}

// nextBlockingTask returns the next serving task that, with at most one other of its
// image, blocks fillers on its worker. It returns nil if there is none.
func (e *Engine) nextBlockingTask(now time.Time) *attempt {
	for range min(len(e.sortedWorkers), maxBlockingSearch) {
		e.blockingCursor = (e.blockingCursor + 1) % len(e.sortedWorkers)
		w := e.sortedWorkers[e.blockingCursor]
		if len(w.servingImages) < 2 || !w.isAvailable(now) {
			continue
		}
		for image, count := range w.servingImages {
			if count > maxBlockingTasks || !e.blocksFillers(now, w, image) {
				continue
			}
			if a := w.findMovableOf(now, image); a != nil {
				return a
			}
		}
	}
	return nil
}

// findMovableOf returns a serving task of an image that may move, or nil.
func (w *worker) findMovableOf(now time.Time, image Image) *attempt {
	for _, a := range w.runs {
		if a.task.step.Target > 0 && a.task.step.Image == image && a.mayMove(now) {
			return a
		}
	}
	return nil
}

// maySwap reports whether two serving tasks fit on each other's workers, and whether
// swapping them unblocks the worker of the first one for fillers.
func (e *Engine) maySwap(now time.Time, a, b *attempt) bool {
	s := b.task.step
	return s.Image != a.task.step.Image &&
		a.reserved.FitsIn(b.worker.free().Add(b.reserved)) && b.reserved.FitsIn(a.worker.free().Add(a.reserved)) &&
		e.mayHold(now, b.task, a.worker) && b.mayMove(now) &&
		e.blockedDemandWithout(now, a.worker, s.Image, a.task.step.Image, minScarcity) < maxBlockedDemand/2
}
