package dispatch

import (
	"slices"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
)

const (
	// shardRoomInterval is the time between two records of the shard's room. The platform counts a
	// task as lost after 3 s in which there was room for it.
	shardRoomInterval = time.Second
	// maxRecordedFree and maxRecordedUnavailableFree limit the workers whose free resources are
	// recorded. Two workers show whether a task would fit twice.
	maxRecordedFree            = 4
	maxRecordedUnavailableFree = 2
)

// ShardRoom is the capacity of a shard and the demand of its long-running tasks that are down. Workers
// that aren't in service don't count.
type ShardRoom struct {
	Workers     int
	Unavailable int
	// Capacity and Reserved are the totals over the available workers.
	Capacity resource.Vector
	Reserved resource.Vector
	// Free has the free resources of the available workers with the most free processors, and
	// UnavailableFree those of the unavailable ones, in descending order.
	Free            []resource.Vector
	UnavailableFree []resource.Vector
	// TasksDown is the number of long-running tasks that ran before and aren't at work, and
	// LongestDowntime the longest of their downtimes.
	TasksDown       int
	LongestDowntime time.Duration
}

// recordShardRoom records the room of the shard every shardRoomInterval, so that the room of several
// shards can be compared.
func (e *Engine) recordShardRoom(now time.Time) {
	if e.options.Recorder == nil || now.Sub(e.shardRoomRecordedAt) < shardRoomInterval {
		return
	}
	e.shardRoomRecordedAt = now
	room := e.shardRoom(now)
	e.record(now, Decision{Event: "ShardRoom", ShardRoom: &room})
}

func (e *Engine) shardRoom(now time.Time) ShardRoom {
	var r ShardRoom
	for _, w := range e.sortedWorkers {
		if e.isInService(w) {
			r.addWorker(w, e.isUnavailable(w))
		}
	}
	for _, j := range e.jobs {
		if j.outcome == "" && j.Steps[0].LongRunning {
			for s := range j.openSteps() {
				r.addStep(now, s)
			}
		}
	}
	return r
}

func (r *ShardRoom) addWorker(w *worker, unavailable bool) {
	r.Workers++
	if unavailable {
		r.Unavailable++
		r.UnavailableFree = insertFree(r.UnavailableFree, w.free(), maxRecordedUnavailableFree)
		return
	}
	r.Capacity = r.Capacity.Add(w.Capacity)
	r.Reserved = r.Reserved.Add(w.reserved)
	r.Free = insertFree(r.Free, w.free(), maxRecordedFree)
}

func (r *ShardRoom) addStep(now time.Time, s *step) {
	r.TasksDown += s.count(func(t *task) bool {
		if !t.isDownAgain() {
			return false
		}
		r.LongestDowntime = max(r.LongestDowntime, now.Sub(t.down.since))
		return true
	})
}

// insertFree inserts v into a list that is sorted by free processors in descending order, and keeps
// the first entries up to limit.
func insertFree(list []resource.Vector, v resource.Vector, limit int) []resource.Vector {
	at := len(list)
	for at > 0 && list[at-1].Processors < v.Processors {
		at--
	}
	if at == limit {
		return list
	}
	return slices.Insert(list[:min(len(list), limit-1)], at, v)
}

// isInService reports whether the platform lists the worker for new tasks.
func (e *Engine) isInService(w *worker) bool {
	return w.listed && !w.Draining && !w.replaced && !e.zonesOutOfService[w.Zone]
}

// isUnavailable reports whether the worker is in service but gets no new tasks for now: it is silent,
// hasn't listed its runs, has refused a start, is quarantined or has runs of unknown size.
func (e *Engine) isUnavailable(w *worker) bool {
	return e.isInService(w) && (!w.schedulable || len(w.orphans) > 0)
}
