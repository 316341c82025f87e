// Package balance decides which shard gets a new job. Jobs are spread by their ids,
// and the few large ones among them would leave one shard full while others have room.
package balance

import (
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
)

const (
	// minGain is the part of a shard's processors by which another one must be emptier
	// for a long-running job to leave the shard of its id.
	minGain = 0.05
	// minWait is how much sooner another shard must be done with its work for a batch
	// job to leave the shard of its id: the hand-over costs a transaction and a call.
	minWait = 600 * time.Millisecond
)

// Load is what a shard has and what it has to do.
type Load struct {
	// Capacity is the processors of the workers that may get tasks.
	Capacity resource.MilliProcessors
	// Lasting is what long-running tasks need, whether they run or wait.
	Lasting resource.MilliProcessors
	// Reserving and Filling are the processor time that other tasks still need: those
	// that reserve processors, and fillers, which use what is idle.
	Reserving time.Duration
	Filling   time.Duration
}

// Demand is what a job needs, in the terms of Load.
type Demand struct {
	Lasting   resource.MilliProcessors
	Reserving time.Duration
	Filling   time.Duration
}

// Add returns the load with one more job.
func (l Load) Add(d Demand) Load {
	l.Lasting += d.Lasting
	l.Reserving += d.Reserving
	l.Filling += d.Filling
	return l
}

// Sub returns the load without a job that it counts.
func (l Load) Sub(d Demand) Load {
	return l.Add(Demand{-d.Lasting, -d.Reserving, -d.Filling})
}

// filled returns the part of the processors that long-running tasks need.
func (l Load) filled() float64 {
	if l.Capacity <= 0 {
		return 1
	}
	return float64(l.Lasting) / float64(l.Capacity)
}

const (
	// lastingUse is the part of their processors, in percent, that long-running tasks
	// are assumed to use. Fillers get the rest.
	lastingUse = 65
	// minFree is the part of the processors, in percent, that counts as free at least.
	minFree = 1
	// processor is one processor in the unit of resource.MilliProcessors.
	processor = 1000
)

// Wait returns how long a batch job waits for the work before it.
func (l Load) Wait(d Demand) time.Duration {
	wait := time.Duration(0)
	if d.Reserving > 0 {
		wait += l.busy(l.Reserving, l.Lasting)
	}
	if d.Filling > 0 {
		wait += l.busy(l.Filling, l.Lasting*lastingUse/100)
	}
	return wait
}

// busy returns how long the processors that aren't taken need for an amount of work.
func (l Load) busy(work time.Duration, taken resource.MilliProcessors) time.Duration {
	free := max(l.Capacity-taken, l.Capacity*minFree/100, 1)
	return time.Duration(float64(work) * processor / float64(free))
}

// Choose returns the index of the shard that is to get a job, given the shard of its id
// and the loads of all shards. Shards whose load isn't known have no capacity and get
// nothing from others.
func Choose(own int, d Demand, loads []Load) int {
	best := own
	for i, l := range loads {
		if l.Capacity > 0 && less(l, loads[best], d) {
			best = i
		}
	}
	if best == own || !isWorthIt(loads[best], loads[own], d) {
		return own
	}
	return best
}

// less reports whether the first shard suits the job better.
func less(a, b Load, d Demand) bool {
	if d.Lasting > 0 {
		return a.Add(d).filled() < b.Add(d).filled()
	}
	return a.Add(d).Wait(d) < b.Add(d).Wait(d)
}

// isWorthIt reports whether a job gains enough by going to a shard other than its own.
func isWorthIt(best, own Load, d Demand) bool {
	if own.Capacity <= 0 {
		return true
	}
	if d.Lasting > 0 {
		return own.Add(d).filled()-best.Add(d).filled() >= minGain
	}
	return own.Add(d).Wait(d)-best.Add(d).Wait(d) >= minWait
}
