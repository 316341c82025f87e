// Package balance chooses a shard for each new job. By default a job goes to its home
// shard, the one that its ID hashes to. That alone would let a few large jobs fill one
// shard while others have free capacity.
package balance

import (
	"slices"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
)

const (
	// minShareGain is how much lower the share of processors that long-running tasks need
	// must be in another shard for a long-running job to leave its home shard.
	minShareGain = 0.05
	// minRestartGain is how much lower the share of processors that started long-running tasks need
	// must be in another shard for a task that is down to be transferred there.
	minRestartGain = 0.01
	// minWaitSaved is how much shorter the wait must be in another shard for a batch job
	// to leave its home shard, because a handover costs a transaction and a call.
	minWaitSaved = 600 * time.Millisecond
)

// Load is the capacity of a shard and the work that it has to do.
type Load struct {
	// Capacity is the total of the processors of the workers that may get tasks.
	Capacity resource.MilliProcessors
	// LongRunning is the total of the processors that long-running tasks need, whether they
	// run or wait.
	LongRunning resource.MilliProcessors `json:"Lasting"`
	// Started is the part of LongRunning of tasks that run or ran before. These start before tasks
	// that never ran.
	Started resource.MilliProcessors `json:",omitempty"`
	// Rooms has the workers with the most room for long-running tasks that are down, those with the
	// most free processors first. It is empty while tasks of the shard itself need that room.
	Rooms []Room `json:",omitempty"`
	// ReservingWork and FillerWork are the processor time that other tasks still need: tasks
	// that reserve processors, and fillers, which use idle processors.
	ReservingWork time.Duration `json:"Reserving"`
	FillerWork    time.Duration `json:"Filling"`
}

// Room is what is free on a worker, or what a task needs.
type Room struct {
	// Service is the pool of the worker.
	Service string
	Free    resource.Vector
}

// Demand returns what a long-running task that is down and needs the room adds to a Load.
func (r Room) Demand() Demand {
	return Demand{LongRunning: r.Free.Processors, Started: r.Free.Processors}
}

// Demand is what a job adds to a Load.
type Demand struct {
	LongRunning   resource.MilliProcessors
	Started       resource.MilliProcessors
	ReservingWork time.Duration
	FillerWork    time.Duration
}

// Add returns the load with one more job.
func (l Load) Add(d Demand) Load {
	l.LongRunning += d.LongRunning
	l.Started += d.Started
	l.ReservingWork += d.ReservingWork
	l.FillerWork += d.FillerWork
	return l
}

// Sub returns the load without a job that it includes.
func (l Load) Sub(d Demand) Load {
	return l.Add(Demand{-d.LongRunning, -d.Started, -d.ReservingWork, -d.FillerWork})
}

// roomFor returns the index of the smallest room for a task, or -1.
func (l Load) roomFor(need Room) int {
	found := -1
	for i, r := range l.Rooms {
		if r.Service == need.Service && need.Free.FitsIn(r.Free) {
			found = i
		}
	}
	return found
}

// TakeRoom returns the load with a long-running task that is down in one of the rooms.
func (l Load) TakeRoom(need Room) Load {
	l = l.Add(need.Demand())
	if i := l.roomFor(need); i >= 0 {
		l.Rooms = slices.Delete(slices.Clone(l.Rooms), i, i+1)
	}
	return l
}

// longRunningShare returns the share of the processors that long-running tasks need.
func (l Load) longRunningShare() float64 {
	return l.share(l.LongRunning)
}

// startedShare returns the share of the processors that long-running tasks which run or ran before need.
func (l Load) startedShare() float64 {
	return l.share(l.Started)
}

func (l Load) share(processors resource.MilliProcessors) float64 {
	if l.Capacity <= 0 {
		return 1
	}
	return float64(processors) / float64(l.Capacity)
}

const (
	// longRunningUsePercent is the assumed processor usage of long-running tasks, in
	// percent of what they reserve. Fillers get the rest.
	longRunningUsePercent = 65
	// minFreePercent is the share of a shard's processors, in percent, that always counts
	// as free.
	minFreePercent = 1
	// milliProcessorsPerProcessor converts processors to resource.MilliProcessors.
	milliProcessorsPerProcessor = 1000
)

// Wait returns how long a batch job waits for the pending work that competes with it.
func (l Load) Wait(d Demand) time.Duration {
	wait := time.Duration(0)
	if d.ReservingWork > 0 {
		wait += l.processingTime(l.ReservingWork, l.LongRunning)
	}
	if d.FillerWork > 0 {
		wait += l.processingTime(l.FillerWork, l.LongRunning*longRunningUsePercent/100)
	}
	return wait
}

// processingTime returns how long the processors that aren't taken need for an amount
// of work.
func (l Load) processingTime(work time.Duration, taken resource.MilliProcessors) time.Duration {
	free := max(l.Capacity-taken, l.Capacity*minFreePercent/100, 1)
	return time.Duration(float64(work) * milliProcessorsPerProcessor / float64(free))
}

// Choose returns the index of the shard for a job, given its home shard and the loads
// of all shards. A shard whose load isn't known has no capacity and gets no jobs from
// other shards.
func Choose(home int, d Demand, loads []Load) int {
	best := home
	for i, l := range loads {
		if l.Capacity > 0 && isBetter(l, loads[best], d) {
			best = i
		}
	}
	if best == home || !gainsEnough(loads[best], loads[home], d) {
		return home
	}
	return best
}

// ChooseForRestart returns the index of the shard that should run a long-running task that is down, and
// false if none has room for it and a lower share of started tasks than its own shard.
func ChooseForRestart(own int, need Room, loads []Load) (int, bool) {
	best, found := own, false
	for i, l := range loads {
		if i == own || l.Capacity <= 0 || l.roomFor(need) < 0 {
			continue
		}
		if !found || l.startedShare() < loads[best].startedShare() {
			best, found = i, true
		}
	}
	return best, found && loads[own].startedShare()-loads[best].TakeRoom(need).startedShare() >= minRestartGain
}

// isBetter reports whether the first shard suits the job better than the second.
func isBetter(a, b Load, d Demand) bool {
	if d.LongRunning > 0 {
		return a.Add(d).longRunningShare() < b.Add(d).longRunningShare()
	}
	return a.Add(d).Wait(d) < b.Add(d).Wait(d)
}

// gainsEnough reports whether a job gains enough by leaving its home shard.
func gainsEnough(best, home Load, d Demand) bool {
	if home.Capacity <= 0 {
		return true
	}
	if d.LongRunning > 0 {
		return home.Add(d).longRunningShare()-best.Add(d).longRunningShare() >= minShareGain
	}
	return home.Add(d).Wait(d)-best.Add(d).Wait(d) >= minWaitSaved
}
