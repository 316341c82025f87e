package dispatch

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/forecast"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/mechanism"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/reservation"
)

const (
	// reservationDelay is how long a task waits before room is reserved for it. Part of the reserved room stays
	// idle, which costs other tasks more than a short wait costs a large one.
	reservationDelay = 3 * time.Second
	// reservationInterval is the time between two searches for room to reserve. Each examines all workers.
	reservationInterval = 100 * time.Millisecond
	// reviewInterval is the time between two updates of the reservations to the forecast.
	reviewInterval = 50 * time.Millisecond
	// reservationHorizon is how far ahead room is reserved. Forecasts that look further are mostly wrong.
	reservationHorizon = 4 * time.Second
	// overtakenValidity is how long after the start of a smaller task a waiting one counts as overtaken.
	overtakenValidity = time.Second
	// largeTaskRatio is how many times as large as a starting task a waiting one must be to count as overtaken.
	// Tasks of similar size find room soon enough.
	largeTaskRatio = 4
	// maxReservingSteps limits the steps for which room is searched at a time.
	maxReservingSteps = 16
	// workersPerReservation limits the workers with reservations: at most one in this many. A gang may reserve
	// more: minGangWorkers, and one in workersPerGangReservation.
	workersPerReservation     = 60
	minGangWorkers            = 16
	workersPerGangReservation = 4
	// urgentRank is that of tasks that reservations never hold up.
	urgentRank reservation.Rank = -1
)

// reservations keeps room for tasks and gangs that find none while smaller tasks start.
type reservations struct {
	book    reservation.Book
	holders map[reservation.Holder]*step
	// checkedAt is when room was last searched for, and reviewedAt when the reservations were last updated.
	checkedAt  time.Time
	reviewedAt time.Time
	// blocked has the steps that found no room in this tick, in the order of the candidates.
	blocked []*step
	// refused has, by shape, the smallest tasks that found in this tick only room that is reserved.
	refused map[shape]refusedTask
	// smallestStarted has the smallest tasks that started in this tick.
	smallestStarted map[ServiceName]resource.Vector
}

// refusedTask is a task that found only reserved room.
type refusedTask struct {
	resources resource.Vector
	duration  time.Duration
	rank      reservation.Rank
}

// isRefused reports whether a task that needs no more than the step's, and may use the same room, found only
// reserved room in this tick.
func (e *Engine) isRefused(s *step) bool {
	other, refused := e.reservations.refused[s.shape()]
	return refused && other.resources.FitsIn(s.Resources) && other.rank <= s.rank() &&
		other.duration <= e.cautiousEstimate(s)
}

// noteRefused records that the step's tasks found only reserved room.
func (e *Engine) noteRefused(s *step) {
	r := &e.reservations
	if r.refused == nil {
		r.refused = map[shape]refusedTask{}
	}
	if _, known := r.refused[s.shape()]; !known {
		r.refused[s.shape()] = refusedTask{s.Resources, e.cautiousEstimate(s), s.rank()}
	}
}

// ReservationRoom describes the room of a reservation.
type ReservationRoom struct {
	// Resources are what is kept, for all tasks on the worker together.
	Resources resource.Vector
	Tasks     int
	// ExpectedIn is the time until the room is expected.
	ExpectedIn time.Duration
}

// holder identifies the step in reservations.
func (s *step) holder() reservation.Holder {
	return reservation.Holder{Job: string(s.id.Job), Occurrence: s.id.Occurrence, Step: s.id.Step}
}

// awaitedRoom returns what the step needs at once: room for all members of a gang, else for one task.
func (s *step) awaitedRoom() resource.Vector {
	if !s.Gang {
		return s.Reserved()
	}
	var sum resource.Vector
	for range s.tasks {
		sum = sum.Add(s.Reserved())
	}
	return sum
}

// rank returns what the step's tasks may take of reserved room.
func (s *step) rank() reservation.Rank {
	if s.restartsUrgently {
		return urgentRank
	}
	return reservation.Rank(s.job.queue.Priority)
}

// beginReservations begins the records of a tick and updates the reservations to what is known now.
func (e *Engine) beginReservations(now time.Time) {
	r := &e.reservations
	r.blocked = r.blocked[:0]
	clear(r.smallestStarted)
	clear(r.refused)
	if r.book.Len() == 0 || now.Sub(r.reviewedAt) < reviewInterval {
		return
	}
	r.reviewedAt = now
	kept := map[reservation.Holder]int{}
	for _, made := range r.book.All() {
		e.reviewReservation(now, made, kept)
	}
}

// reviewReservation releases a reservation that is no longer needed or has missed its time. kept counts, by
// holder, the tasks for which room stays reserved.
func (e *Engine) reviewReservation(now time.Time, made *reservation.Reservation, kept map[reservation.Holder]int) {
	if e.reservations.book.On(made.Worker) != made {
		return
	}
	s, w := e.reservations.holders[made.Holder], e.workers[made.Worker]
	isKnown := e.jobs[s.id.Job] == s.job
	if !isKnown || !s.mayHoldReservation(now) || kept[made.Holder]+made.Tasks > s.waitingTasks(now) {
		e.count("Reservation.Released")
		e.dropReservation(made)
		return
	}
	reason := ""
	switch {
	case w == nil || !e.mayReserve(now, s, w):
		reason = "the worker isn't available"
	case !made.Refresh(now, e.room(now, w)):
		reason = "the room isn't expected any more"
	case made.HasMissed(now):
		reason = "the room wasn't free in time"
	}
	if reason != "" {
		e.missReservation(now, made, s, reason)
		return
	}
	kept[made.Holder] += made.Tasks
}

// missReservation gives up a reservation, and those of the other members of a gang, which start together.
func (e *Engine) missReservation(now time.Time, made *reservation.Reservation, s *step, reason string) {
	e.count("Reservation.Missed")
	s.missedOn = made.Worker
	e.recordReservation(now, "ReservationMissed", made, reason, made.At)
	e.dropReservation(made)
	if !s.Gang {
		return
	}
	for _, other := range e.reservations.book.All() {
		if other.Holder == made.Holder {
			e.dropReservation(other)
		}
	}
}

// dropReservation removes a reservation.
func (e *Engine) dropReservation(made *reservation.Reservation) {
	r := &e.reservations
	r.book.Remove(made.Worker)
	if r.book.Count(made.Holder) == 0 {
		delete(r.holders, made.Holder)
	}
}

// mayHoldReservation reports whether room may be kept for the step. Long-running tasks have holds, and
// fillers take no processors.
func (s *step) mayHoldReservation(now time.Time) bool {
	j := s.job
	return j.outcome == "" && !j.cancelled && s.urgency != overdue && !s.Filler && (!s.LongRunning || s.Gang) &&
		s.hasWaiting(now) && s.mayStart(now)
}

// mayReserve reports whether room may be kept for the step on a worker. Holds take precedence.
func (e *Engine) mayReserve(now time.Time, s *step, w *worker) bool {
	return e.meetsConstraints(s, w) && !w.hold.isActive(now) && e.isPermitted(now, s, w)
}

// admit decides whether a task may start on a worker that has a reservation.
func (e *Engine) admit(now time.Time, s *step, made *reservation.Reservation) reservation.Admission {
	a := made.Admit(e.reservationStart(now, s, e.workers[made.Worker]))
	if a > reservation.MoreUrgent && !s.Filler && e.isDisabled(mechanism.Backfill) {
		return reservation.Refused
	}
	return a
}

// leavesReservedRoom reports whether the task leaves the worker's reservation the room that it needs.
func (e *Engine) leavesReservedRoom(now time.Time, s *step, w *worker) bool {
	if e.reservations.book.Len() == 0 {
		return true
	}
	made := e.reservations.book.On(w.ID)
	if made == nil || e.admit(now, s, made) != reservation.Refused {
		return true
	}
	s.refusedByReservation = true
	return false
}

// reservationStart describes the start of a task of the step on a worker to the reservations.
func (e *Engine) reservationStart(now time.Time, s *step, w *worker) reservation.Start {
	start := reservation.Start{Holder: s.holder(), Rank: s.rank(), Need: s.Reserved()}
	if !s.LongRunning && s.Estimate > 0 {
		start.EndsBy = now.Add(e.cautiousDuration(s, w))
	}
	return start
}

// noteStart accounts for the start of a task in the reservations.
func (e *Engine) noteStart(now time.Time, a *attempt) {
	s, w := a.task.step, a.worker
	e.reservations.noteSize(s)
	made := e.reservations.book.On(w.ID)
	if made == nil {
		return
	}
	admission := e.admit(now, s, made)
	switch admission {
	case reservation.Owned:
		e.count("Reservation.Met")
		e.recordReservation(now, "ReservationMet", made, "starts on its reserved room", now)
		if e.reservations.book.Fulfill(w.ID, made.Holder); e.reservations.book.Count(made.Holder) == 0 {
			delete(e.reservations.holders, made.Holder)
		}
		return
	case reservation.Backfilled:
		e.count("Reservation.Backfilled")
		a.backfillEndsBy = now.Add(e.cautiousDuration(s, w))
	}
	made.Occupy(e.reservationStart(now, s, w), admission)
}

// noteBackfillEnd counts a backfilled run that took longer than its forecast.
func (e *Engine) noteBackfillEnd(now time.Time, a *attempt) {
	if !a.backfillEndsBy.IsZero() && now.After(a.backfillEndsBy) {
		e.count("Reservation.BackfillOverran")
	}
}

// noteSize records the size of a started task.
func (r *reservations) noteSize(s *step) {
	if s.Filler {
		return
	}
	if r.smallestStarted == nil {
		r.smallestStarted = map[ServiceName]resource.Vector{}
	}
	smallest, known := r.smallestStarted[s.job.queue.Service]
	if !known || s.Reserved().Processors < smallest.Processors {
		r.smallestStarted[s.job.queue.Service] = s.Reserved()
	}
}

// noteBlocked records that no worker has room for the step's tasks.
func (r *reservations) noteBlocked(s *step) {
	if !s.Filler {
		r.blocked = append(r.blocked, s)
	}
}

// reserveRoom reserves room for the largest of the tasks that found none while smaller ones started.
func (e *Engine) reserveRoom(now time.Time) {
	e.markOvertaken(now)
	r := &e.reservations
	if e.isDisabled(mechanism.Reservations) || e.recovering || len(r.blocked) == 0 || now.Sub(r.checkedAt) < reservationInterval {
		return
	}
	r.checkedAt = now
	waiting := e.stepsNeedingRoom(now)
	if len(waiting) == 0 {
		return
	}
	limit := len(e.sortedWorkers)/workersPerReservation + 1
	rooms := e.unreservedRooms(now)
	for _, s := range waiting {
		if r.book.Len() >= limit {
			return
		}
		e.reserveFor(now, s, rooms, limit)
	}
}

// markOvertaken records which blocked steps wait while smaller tasks start.
func (e *Engine) markOvertaken(now time.Time) {
	for _, s := range e.reservations.blocked {
		smaller, started := e.reservations.smallestStarted[s.job.queue.Service]
		if !started {
			continue
		}
		if smaller.Processors < s.Reserved().Processors {
			e.largeTasks.note(now, s)
		}
		if largeTaskRatio*smaller.Processors <= s.awaitedRoom().Processors {
			s.overtakenAt = now
		}
	}
}

// stepsNeedingRoom returns the blocked steps for which room is to be reserved, by rank and then from the
// largest down. It omits steps of late jobs, which would delay jobs that can still end in time.
func (e *Engine) stepsNeedingRoom(now time.Time) []*step {
	var list []*step
	for _, s := range e.reservations.blocked {
		isDue := now.Sub(s.blockedSince) >= reservationDelay && now.Sub(s.overtakenAt) <= overtakenValidity
		if isDue && s.urgency == inTime && s.mayHoldReservation(now) {
			list = append(list, s)
		}
	}
	slices.SortStableFunc(list, func(a, b *step) int {
		return cmp.Or(cmp.Compare(a.rank(), b.rank()),
			cmp.Compare(b.awaitedRoom().Processors, a.awaitedRoom().Processors))
	})
	return list[:min(len(list), maxReservingSteps)]
}

// unreservedRooms returns the expected room of the workers that may get a reservation.
func (e *Engine) unreservedRooms(now time.Time) map[*worker]forecast.Room {
	rooms := map[*worker]forecast.Room{}
	for _, w := range e.sortedWorkers {
		if w.schedulable && !w.hold.isActive(now) && e.reservations.book.On(w.ID) == nil {
			rooms[w] = e.room(now, w)
		}
	}
	return rooms
}

// reserveFor reserves room for the step's waiting tasks, as long as fewer workers than the limit are
// reserved.
func (e *Engine) reserveFor(now time.Time, s *step, rooms map[*worker]forecast.Room, limit int) {
	request := reservation.Request{Holder: s.holder(), Rank: s.rank(), Need: s.Reserved(), Tasks: 1}
	missing := s.waitingTasks(now) - e.reservations.book.Count(request.Holder)
	if s.Gang {
		if missing < len(s.tasks) {
			return
		}
		request.Tasks, request.OneRack, missing = missing, s.OneRack, 1
	}
	candidates := e.reservationCandidates(now, s, rooms)
	for ; missing > 0 && e.reservations.book.Len() < limit; missing-- {
		plan, found := reservation.Earliest(now, now.Add(reservationHorizon), request, candidates)
		places := e.reservations.book.Len() + len(plan.Places)
		if !found || places > max(limit, minGangWorkers, len(e.sortedWorkers)/workersPerGangReservation) {
			return
		}
		e.addReservation(now, s, request, plan, rooms)
		candidates = slices.DeleteFunc(candidates, func(c reservation.Candidate) bool {
			return e.reservations.book.On(c.Worker) != nil
		})
	}
}

// reservationCandidates returns the workers on which room may be reserved for the step.
func (e *Engine) reservationCandidates(now time.Time, s *step, rooms map[*worker]forecast.Room) []reservation.Candidate {
	var list []reservation.Candidate
	for _, w := range e.sortedWorkers {
		room, unreserved := rooms[w]
		if !unreserved || !e.mayReserve(now, s, w) {
			continue
		}
		c := reservation.Candidate{Worker: w.ID, Rack: reservation.Rack(rackOf(w)), Room: room}
		if s.MaxPerWorker > 0 {
			c.MaxTasks = s.MaxPerWorker - s.perWorker[w]
		}
		c.Penalty = e.durationOn(s, w, e.expectedDuration(s)) - e.expectedDuration(s)
		list = append(list, c)
	}
	return list
}

// addReservation makes the reservations of a plan and takes their workers out of the rooms.
func (e *Engine) addReservation(now time.Time, s *step, q reservation.Request, p reservation.Plan, rooms map[*worker]forecast.Room) {
	if e.reservations.holders == nil {
		e.reservations.holders = map[reservation.Holder]*step{}
	}
	e.reservations.holders[q.Holder] = s
	for _, made := range e.reservations.book.Add(now, q, p) {
		w := e.workers[made.Worker]
		made.Refresh(now, rooms[w])
		delete(rooms, w)
		e.count("Reservation.Made")
		if s.missedOn != "" && s.missedOn != made.Worker {
			e.count("Reservation.Moved")
		}
		s.missedOn = ""
		reason := fmt.Sprintf("step %d/%d waits for room, which is expected in %s", q.Holder.Occurrence, q.Holder.Step,
			made.At.Sub(now).Round(time.Millisecond))
		e.recordReservation(now, "ReservationMade", made, reason, made.At)
	}
}

// recordReservation records a decision about a reservation, with the time at which its room was expected.
func (e *Engine) recordReservation(now time.Time, event string, made *reservation.Reservation, reason string, at time.Time) {
	if e.options.Recorder == nil {
		return
	}
	e.record(now, Decision{
		Event: event, Job: JobID(made.Holder.Job), Worker: made.Worker, Reason: reason, Took: now.Sub(made.MadeAt),
		Reservation: &ReservationRoom{Resources: made.TotalNeed(), Tasks: made.Tasks, ExpectedIn: at.Sub(now)},
	})
}
