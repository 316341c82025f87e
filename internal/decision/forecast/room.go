package forecast

import (
	"slices"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
)

// Release is an amount of resources that is expected to become free.
type Release struct {
	At     time.Time
	Amount resource.Vector
}

// Room is the free capacity of a worker, now and as expected later. The zero value has none.
type Room struct {
	// Free is the room at present.
	Free resource.Vector
	// Releases is what becomes free later. Sort orders it by time.
	Releases []Release
}

// Sort orders the releases by time.
func (r *Room) Sort() {
	slices.SortStableFunc(r.Releases, func(a, b Release) int { return a.At.Compare(b.At) })
}

// FreeAt returns the room at a time. The releases must be sorted.
func (r *Room) FreeAt(at time.Time) resource.Vector {
	free := r.Free
	for _, release := range r.Releases {
		if release.At.After(at) {
			break
		}
		free = free.Add(release.Amount)
	}
	return free
}

// EarliestFit returns the earliest time from now on at which an amount fits, and false if none is expected.
// The releases must be sorted.
func (r *Room) EarliestFit(now time.Time, need resource.Vector) (time.Time, bool) {
	if need.FitsIn(r.Free) {
		return now, true
	}
	free := r.Free
	for _, release := range r.Releases {
		free = free.Add(release.Amount)
		if need.FitsIn(free) {
			return later(now, release.At), true
		}
	}
	return time.Time{}, false
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
