package placement

import (
	"slices"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/forecast"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/mechanism"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/reservation"
)

const (
	// forecastReserveAfter is how long an overtaken job waits before room is reserved for it on the workers
	// where the forecast expects room first.
	forecastReserveAfter = 15 * time.Second
	// reservationHorizon is how far ahead room is reserved.
	reservationHorizon = 10 * time.Minute
	// overtakenValidity is how long after the start of a smaller task a waiting job counts as overtaken.
	overtakenValidity = 10 * time.Second
	// largeTaskRatio is how many times as large as a starting task a waiting one must be to count as overtaken.
	largeTaskRatio = 4
	// expectedStopTime is how long a task takes to save its work when it is told to stop.
	expectedStopTime = 10 * time.Second
	// maxBackfillChecks limits the reserved workers that are examined for one task.
	maxBackfillChecks = 64
)

// smallStart is the size of the smallest task that started recently.
type smallStart struct {
	processors resource.MilliProcessors
	at         time.Time
}

// SetDisabled disables parts of the policy: Reservations and Backfill.
func (e *Engine) SetDisabled(disabled mechanism.Set) {
	e.disabled = disabled
}

// forecastClass returns the class of the job's tasks for forecasts of run times.
func (j *job) forecastClass() forecast.Class {
	return forecast.Class{Queue: string(j.team.name), Image: string(j.Class)}
}

// estimate returns how long a task of the job should take, or 0 if that isn't known.
func (j *job) estimate() time.Duration {
	if j.ExpectedDuration > 0 {
		return j.ExpectedDuration
	}
	return j.class.meanDuration
}

// observeDuration learns from the run time of a successful attempt.
func (e *Engine) observeDuration(now time.Time, a *attempt) {
	e.durations.Observe(a.job.forecastClass(), a.job.estimate(), now.Sub(a.started))
}

// noteStartSize records the size of a started task.
func (e *Engine) noteStartSize(now time.Time, demand resource.Vector) {
	if demand.Processors <= e.smallest.processors || now.Sub(e.smallest.at) > overtakenValidity {
		e.smallest = smallStart{demand.Processors, now}
	}
}

// isOvertaken reports whether much smaller tasks start while the job waits.
func (e *Engine) isOvertaken(now time.Time, j *job, demand resource.Vector) bool {
	small := e.smallest
	return small.at.After(j.queuedAt) && now.Sub(small.at) <= overtakenValidity &&
		largeTaskRatio*small.processors <= demand.Processors
}

// expectedRoom returns the expected room of a worker, not counting tasks that wait for it.
func (e *Engine) expectedRoom(now time.Time, n *node) forecast.Room {
	room := forecast.Room{Free: n.free()}
	for _, a := range n.attempts {
		if at, known := e.expectedEnd(now, a); known {
			room.Releases = append(room.Releases, forecast.Release{At: at, Amount: a.allocated})
		}
	}
	room.Sort()
	return room
}

// expectedEnd returns when an attempt is expected to free its room, and false if that isn't known.
func (e *Engine) expectedEnd(now time.Time, a *attempt) (time.Time, bool) {
	switch {
	case a.stopping:
		return now.Add(expectedStopTime), true
	case a.job == nil || a.job.estimate() <= 0:
		return time.Time{}, false
	}
	return now.Add(e.durations.Remaining(forecast.Run{
		Class: a.job.forecastClass(), Estimate: a.job.estimate(), Elapsed: now.Sub(a.started),
	})), true
}

// reserveByForecast reserves the workers on which waiting tasks of a job are expected to start together
// first, and reports whether it did. It does so only for a job that smaller ones overtake.
func (e *Engine) reserveByForecast(now time.Time, j *job, demand resource.Vector, tasks int) bool {
	if e.disabled.Has(mechanism.Reservations) || j.waitTime(now) < forecastReserveAfter || !e.isOvertaken(now, j, multiply(demand, tasks)) {
		return false
	}
	request := reservation.Request{Holder: reservation.Holder{Job: string(j.ID)}, Need: demand, Tasks: tasks}
	plan, found := reservation.Earliest(now, now.Add(reservationHorizon), request, e.reservationCandidates(now, j, demand))
	if !found {
		return false
	}
	for _, place := range plan.Places {
		n := e.nodesByID[place.Worker]
		planned := reservation.New(now, request, plan.At, place)
		planned.Refresh(now, e.expectedRoom(now, n))
		e.reserve(now, j, n, place.Tasks).planned = planned
	}
	return true
}

// reservationCandidates returns workers that may be reserved for the job, from a limited number of checks.
func (e *Engine) reservationCandidates(now time.Time, j *job, demand resource.Vector) []reservation.Candidate {
	var candidates []reservation.Candidate
	for range min(maxReservationChecks, len(e.nodes)) {
		e.nextNode++
		n := e.nodes[e.nextNode%len(e.nodes)]
		if e.suitsReservation(now, n, j, demand) {
			candidates = append(candidates, reservation.Candidate{Worker: n.ID, Room: e.expectedRoom(now, n)})
		}
	}
	return candidates
}

// reviewReservation reports whether the room of a reservation is no longer expected in time, so that room
// must be reserved elsewhere.
func (e *Engine) reviewReservation(now time.Time, r *reservation.Reservation, n *node) (missed bool) {
	return !r.Refresh(now, e.expectedRoom(now, n)) || r.HasMissed(now)
}

// backfill returns a reserved worker on which a task of another job may start, because the task is expected
// to end before the room is needed or leaves enough of it.
func (e *Engine) backfill(now time.Time, j *job, demand resource.Vector) (*node, *reservation.Reservation) {
	if e.disabled.Has(mechanism.Backfill) || j.Priority == Urgent {
		return nil, nil
	}
	avoid := e.avoidsFailedWorkers(j)
	start := e.reservationStart(now, j, demand)
	for _, r := range e.reservations[:min(len(e.reservations), maxBackfillChecks)] {
		if r.planned == nil || r.job == j || !demand.FitsIn(r.node.free()) || !r.node.isInService(now) {
			continue
		}
		if avoid && slices.Contains(j.failureHistory.failedOn, r.node.ID) {
			continue
		}
		if !e.tolerates(now, r.node, j, float64(demand.Processors)/1000) || r.planned.Admit(start) == reservation.Refused {
			continue
		}
		return r.node, r.planned
	}
	return nil, nil
}

// reservationStart describes the start of a task to the reservations. The end of a task without an estimate
// isn't known.
func (e *Engine) reservationStart(now time.Time, j *job, demand resource.Vector) reservation.Start {
	start := reservation.Start{Holder: reservation.Holder{Job: string(j.ID)}, Need: demand}
	if j.estimate() <= 0 {
		return start
	}
	longest := e.durations.Cautious(j.forecastClass(), j.estimate())
	start.EndsBy = now.Add(min(longest, forecast.MaxDuration))
	return start
}
