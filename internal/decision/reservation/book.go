package reservation

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/forecast"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

const (
	// minGrace is the delay of its room that a reservation always tolerates before it has missed its time. It
	// covers the report of an end and the next tick.
	minGrace = 200 * time.Millisecond
	// graceDivisor allows a share of the time between reservation and start, if that is longer, because
	// forecasts are less exact the further ahead they look.
	graceDivisor = 4
)

// Reservation is room on a worker that is kept for waiting tasks of one holder.
type Reservation struct {
	Holder Holder
	Rank   Rank
	Worker membership.InstanceID
	// Tasks is the number of tasks for which the room is kept, and Need what each reserves.
	Tasks int
	Need  resource.Vector
	// MadeAt is when the reservation was made, and At when the room was expected then.
	MadeAt time.Time
	At     time.Time
	// together reports that tasks on other workers start at the same time, so that the room isn't needed
	// before.
	together bool
	// expectedAt is when the room is expected now, and spare what is left beside the reservation then.
	expectedAt time.Time
	spare      resource.Vector
}

// New returns a reservation for tasks of a request on one worker of its plan.
func New(now time.Time, q Request, at time.Time, place Place) *Reservation {
	return &Reservation{
		Holder: q.Holder, Rank: q.Rank, Worker: place.Worker, Tasks: place.Tasks, Need: q.Need,
		MadeAt: now, At: at, together: q.Tasks > 1, expectedAt: at,
	}
}

// TotalNeed returns the room that the reservation keeps for all of its tasks.
func (r *Reservation) TotalNeed() resource.Vector {
	var sum resource.Vector
	for range r.Tasks {
		sum = sum.Add(r.Need)
	}
	return sum
}

// latest returns the time by which the reservation has missed its time.
func (r *Reservation) latest() time.Time {
	return r.At.Add(max(minGrace, r.At.Sub(r.MadeAt)/graceDivisor))
}

// HasMissed reports whether the room isn't expected in time any more.
func (r *Reservation) HasMissed(now time.Time) bool {
	return r.latest().Before(now) || r.latest().Before(r.expectedAt)
}

// Refresh updates the time at which the room is expected, and returns false if the tasks will never fit.
func (r *Reservation) Refresh(now time.Time, room forecast.Room) bool {
	at, fits := room.EarliestFit(now, r.TotalNeed())
	if !fits {
		return false
	}
	if r.together && r.At.After(at) {
		at = r.At
	}
	r.expectedAt = at
	r.spare = room.FreeAt(at).Sub(r.TotalNeed())
	return true
}

// Start describes a task that could start on a reserved worker.
type Start struct {
	Holder Holder
	Rank   Rank
	Need   resource.Vector
	// EndsBy is the time by which the task will have ended if it takes as long as the longer ones of its
	// class. It is zero if the task doesn't end.
	EndsBy time.Time
}

// Admission is the reason for which a task may start on a reserved worker, or Refused.
type Admission int

// Admissions.
const (
	// Refused tasks would take room that the reservation needs at its time.
	Refused Admission = iota
	// Owned tasks are those for which the room is reserved.
	Owned
	// MoreUrgent tasks have a lower rank than the reservation.
	MoreUrgent
	// Backfilled tasks are expected to end before the reservation needs the room.
	Backfilled
	// FitsBeside tasks take only room that the reservation doesn't need.
	FitsBeside
)

// Admit decides whether a task that fits now may start on the worker.
func (r *Reservation) Admit(s Start) Admission {
	switch {
	case s.Holder == r.Holder:
		return Owned
	case s.Rank < r.Rank:
		return MoreUrgent
	case !s.EndsBy.IsZero() && !s.EndsBy.After(r.expectedAt):
		return Backfilled
	case s.Need.FitsIn(r.spare):
		return FitsBeside
	}
	return Refused
}

// Occupy accounts for a task that has started on the worker, until the next Refresh, whose forecast includes
// the task's run.
func (r *Reservation) Occupy(s Start, a Admission) {
	if a == FitsBeside || a == MoreUrgent {
		r.spare = r.spare.Sub(s.Need)
	}
}

// Book keeps the reservations of a shard, at most one for each worker. The zero value is empty.
type Book struct {
	byWorker map[membership.InstanceID]*Reservation
}

// Len returns the number of reservations.
func (b *Book) Len() int {
	return len(b.byWorker)
}

// On returns the reservation on a worker, or nil.
func (b *Book) On(id membership.InstanceID) *Reservation {
	return b.byWorker[id]
}

// Count returns the number of tasks of a holder for which room is reserved.
func (b *Book) Count(h Holder) int {
	count := 0
	for _, r := range b.byWorker {
		if r.Holder == h {
			count += r.Tasks
		}
	}
	return count
}

// All returns the reservations in the order of their workers.
func (b *Book) All() []*Reservation {
	return slices.SortedFunc(maps.Values(b.byWorker), func(x, y *Reservation) int { return cmp.Compare(x.Worker, y.Worker) })
}

// Add makes the reservations of a plan and returns them. The workers must not have any.
func (b *Book) Add(now time.Time, q Request, p Plan) []*Reservation {
	if b.byWorker == nil {
		b.byWorker = map[membership.InstanceID]*Reservation{}
	}
	made := make([]*Reservation, len(p.Places))
	for i, place := range p.Places {
		made[i] = New(now, q, p.At, place)
		b.byWorker[place.Worker] = made[i]
	}
	return made
}

// Remove drops the reservation on a worker.
func (b *Book) Remove(id membership.InstanceID) {
	delete(b.byWorker, id)
}

// Fulfill records that a task of the holder has started on a worker. It returns the reservation that kept the
// room for it, or nil.
func (b *Book) Fulfill(id membership.InstanceID, h Holder) *Reservation {
	r := b.byWorker[id]
	if r == nil || r.Holder != h {
		return nil
	}
	r.Tasks--
	if r.Tasks == 0 {
		b.Remove(id)
	}
	return r
}
