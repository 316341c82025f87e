// Package reservation keeps room for large tasks that wait while smaller ones take each gap.
//
// From the forecast of the room on each worker it plans where and when a waiting task, or a gang, can start
// first, reserves that room, and decides which smaller tasks may go ahead into it (backfill). It has no side
// effects and no clock: callers pass in the state of workers and tasks, so that several schedulers and tests
// share it. A reservation isn't a guarantee: its owner may start a more urgent task in its place.
package reservation

import (
	"cmp"
	"slices"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/forecast"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// Rack identifies the workers between which the members of a gang communicate at full speed.
type Rack string

// Holder identifies the set of identical tasks for which room is reserved.
type Holder struct {
	Job        string
	Occurrence int
	Step       int
}

// Rank orders tasks by urgency, the most urgent first. A task with a lower rank than a reservation ignores
// it.
type Rank int

// Request asks for room for identical waiting tasks.
type Request struct {
	Holder Holder
	Rank   Rank
	// Need is what one task reserves.
	Need resource.Vector
	// Tasks is the number of tasks that must start together: all members of a gang, otherwise 1.
	Tasks int
	// OneRack reports that the tasks must start in a single rack.
	OneRack bool
}

// Candidate is a worker on which room may be reserved.
type Candidate struct {
	Worker membership.InstanceID
	Rack   Rack
	// Room is the worker's expected room. Its releases must be sorted.
	Room forecast.Room
	// MaxTasks limits the tasks of the request on the worker. 0 means no limit.
	MaxTasks int
	// Penalty is how much longer the request's tasks take on this worker than on the best one.
	Penalty time.Duration
}

// tasksAt returns how many tasks of the request fit on the worker at a time.
func (c *Candidate) tasksAt(at time.Time, r *Request) int {
	limit := r.Tasks
	if c.MaxTasks > 0 {
		limit = min(limit, c.MaxTasks)
	}
	free := c.Room.FreeAt(at)
	count := 0
	for count < limit && r.Need.FitsIn(free) {
		free = free.Sub(r.Need)
		count++
	}
	return count
}

// Place is the part of a plan on one worker.
type Place struct {
	Worker membership.InstanceID
	Tasks  int
}

// Plan is the earliest start of a request.
type Plan struct {
	At     time.Time
	Places []Place
}

// Earliest returns where the tasks of a request can start together first, and false if that isn't expected
// before a time.
func Earliest(now, before time.Time, r Request, candidates []Candidate) (Plan, bool) {
	if r.Tasks == 1 {
		return earliestSingle(now, before, r, candidates)
	}
	if !r.OneRack {
		return earliestGang(now, before, r, candidates)
	}
	var best Plan
	for _, members := range byRack(candidates) {
		if p, found := earliestGang(now, before, r, members); found && (best.Places == nil || p.At.Before(best.At)) {
			best = p
		}
	}
	return best, best.Places != nil
}

// earliestSingle chooses the worker on which a task is expected to end first. Ties go to the worker with the
// least room.
func earliestSingle(now, before time.Time, r Request, candidates []Candidate) (Plan, bool) {
	var best *Candidate
	var bestAt time.Time
	var bestLeft resource.MilliProcessors
	for i := range candidates {
		c := &candidates[i]
		at, fits := c.Room.EarliestFit(now, r.Need)
		if !fits || !at.Before(before) {
			continue
		}
		left := c.Room.FreeAt(at).Processors
		if best != nil && cmp.Or(at.Add(c.Penalty).Compare(bestAt.Add(best.Penalty)), cmp.Compare(left, bestLeft)) >= 0 {
			continue
		}
		best, bestAt, bestLeft = c, at, left
	}
	if best == nil {
		return Plan{}, false
	}
	return Plan{At: bestAt, Places: []Place{{best.Worker, 1}}}, true
}

// earliestGang returns the first time at which all members fit, by bisection over the times at which room
// becomes free: more room is free at each than at the one before it.
func earliestGang(now, before time.Time, r Request, candidates []Candidate) (Plan, bool) {
	times := []time.Time{now}
	for _, c := range candidates {
		for _, release := range c.Room.Releases {
			if release.At.After(now) && release.At.Before(before) {
				times = append(times, release.At)
			}
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	at, _ := slices.BinarySearchFunc(times, r.Tasks, func(at time.Time, tasks int) int {
		return cmp.Compare(min(countAt(at, &r, candidates), tasks), tasks)
	})
	if at == len(times) {
		return Plan{}, false
	}
	return Plan{At: times[at], Places: placesAt(times[at], r, candidates)}, true
}

func countAt(at time.Time, r *Request, candidates []Candidate) int {
	count := 0
	for i := range candidates {
		count += candidates[i].tasksAt(at, r)
	}
	return count
}

// placesAt distributes the members of a gang, first to the workers that take most of them.
func placesAt(at time.Time, r Request, candidates []Candidate) []Place {
	var places []Place
	for i := range candidates {
		if tasks := candidates[i].tasksAt(at, &r); tasks > 0 {
			places = append(places, Place{candidates[i].Worker, tasks})
		}
	}
	slices.SortStableFunc(places, func(a, b Place) int { return cmp.Compare(b.Tasks, a.Tasks) })
	missing := r.Tasks
	for i := range places {
		places[i].Tasks = min(places[i].Tasks, missing)
		missing -= places[i].Tasks
		if missing == 0 {
			return places[:i+1]
		}
	}
	return places
}

// byRack groups candidates by rack, in the order of the racks. Workers without a rack are left out.
func byRack(candidates []Candidate) [][]Candidate {
	sorted := slices.DeleteFunc(slices.Clone(candidates), func(c Candidate) bool { return c.Rack == "" })
	slices.SortStableFunc(sorted, func(a, b Candidate) int { return cmp.Compare(a.Rack, b.Rack) })
	var groups [][]Candidate
	first := 0
	for i := range sorted {
		if i+1 == len(sorted) || sorted[i+1].Rack != sorted[first].Rack {
			groups = append(groups, sorted[first:i+1])
			first = i + 1
		}
	}
	return groups
}
