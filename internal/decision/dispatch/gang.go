package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// rackSpreadDelay is how long a gang that wants a single rack waits for room in one before it is spread
// over several, where it takes longer.
const rackSpreadDelay = 2 * time.Second

// startGang starts all tasks of a step together, or none, and returns their number.
func (e *Engine) startGang(now time.Time, s *step) int {
	run := Run(0)
	for t := range s.views() {
		if !e.mayStart(now, t) {
			return 0
		}
		run = max(run, e.nextRun(t))
	}
	var placed []*attempt
	if e.mayFitGang(s) {
		placed = e.placeGang(now, s, run)
	} else {
		s.beginRackWait(now)
	}
	if len(placed) == 0 {
		s.beginWait(now)
		e.reservations.noteBlocked(s)
		return 0
	}
	s.blockedSince = time.Time{}
	for _, a := range placed {
		e.noteStart(now, a)
		e.sendStart(now, a)
	}
	return len(placed)
}

// mayFitGang reports whether the workers that meet the step's constraints have room for all its tasks, as far as
// the room of each worker alone tells. It keeps a large gang that waits from being placed task by task in each
// tick.
func (e *Engine) mayFitGang(s *step) bool {
	missing := len(s.tasks)
	for _, w := range e.sortedWorkers {
		if e.meetsConstraints(s, w) {
			missing -= s.fitting(w)
		}
		if missing <= 0 {
			return true
		}
	}
	return false
}

// beginRackWait records the time since which no rack has had room for all tasks of the step.
func (s *step) beginRackWait(now time.Time) {
	if s.OneRack && s.noRackSince.IsZero() {
		s.noRackSince = now
	}
}

// placeGang places all tasks of a step, in a single rack if the step wants that and one has room. It returns
// none if they can't be placed.
func (e *Engine) placeGang(now time.Time, s *step, run Run) []*attempt {
	if !s.OneRack {
		return e.tryGang(now, s, run)
	}
	for _, rack := range e.racksWithRoom(now, s) {
		s.rack = rack
		placed := e.tryGang(now, s, run)
		s.rack = ""
		if len(placed) > 0 {
			s.noRackSince = time.Time{}
			return placed
		}
	}
	s.beginRackWait(now)
	if now.Sub(s.noRackSince) < rackSpreadDelay {
		return nil
	}
	return e.tryGang(now, s, run)
}

// tryGang places all tasks of a step, in the rack of the step if it has one, or none.
func (e *Engine) tryGang(now time.Time, s *step, run Run) []*attempt {
	checkpoint := s.gangCheckpoint()
	var placed []*attempt
	for i := range s.tasks {
		t := s.task(i)
		w := e.chooseWorker(now, t)
		if w == nil {
			for _, a := range placed {
				a.worker.remove(a, now)
				a.task.run = a.previousRun
			}
			return nil
		}
		t.checkpoint = checkpoint
		a := newAttempt(t, run, w, now)
		a.previousRun = t.run
		w.add(a)
		placed = append(placed, a)
	}
	return placed
}

// gangCheckpoint returns the checkpoint that is valid for all tasks of the gang.
func (s *step) gangCheckpoint() Checkpoint {
	checkpoint := Checkpoint("")
	for t := range s.records() {
		if t.checkpoint != "" {
			checkpoint = t.checkpoint
		}
	}
	return checkpoint
}

// racksWithRoom returns the racks that have room for all tasks of a gang: first that of the best worker
// for one task, then the others, those with the most room first.
func (e *Engine) racksWithRoom(now time.Time, s *step) []Label {
	best := e.chooseWorker(now, s.view(0))
	if best == nil {
		return nil
	}
	room := map[Label]int{}
	for _, w := range e.sortedWorkers {
		if e.mayPlace(now, s.view(0), w) {
			room[rackOf(w)] += s.fitting(w)
		}
	}
	var racks []Label
	for rack, tasks := range room {
		if tasks >= len(s.tasks) {
			racks = append(racks, rack)
		}
	}
	slices.SortFunc(racks, func(a, b Label) int {
		return cmp.Or(
			-compareBool(a == rackOf(best), b == rackOf(best)),
			cmp.Compare(room[b], room[a]),
			cmp.Compare(a, b),
		)
	})
	return racks
}

// fitting returns how many tasks of the step fit on the worker.
func (s *step) fitting(w *worker) int {
	count := len(s.tasks)
	limit := func(free, need int64) {
		if need > 0 {
			count = min(count, int(free/need))
		}
	}
	free, need := w.free(), s.Reserved()
	limit(int64(free.Processors), int64(need.Processors))
	limit(int64(free.Memory), int64(need.Memory))
	limit(int64(free.Accelerators), int64(need.Accelerators))
	if s.MaxPerWorker > 0 {
		count = min(count, s.MaxPerWorker-s.perWorker[w])
	}
	return max(count, 0)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}
