package shard

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
	"github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/chart"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/placement"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/manifest"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/table"
)

// IndexOf returns the index of the shard that a worker belongs to, in a zone with
// the given number of shards. A count below 1 stands for one shard.
func IndexOf(id membership.InstanceID, shards int) int {
	if shards <= 1 {
		return 0
	}
	return int(xxhash.Sum64String(string(id)) % uint64(shards))
}

// WorkersKey returns the key of the row that lists a shard's workers. A worker
// gets tasks only after it is in the row, so a new owner knows from the row which
// workers an earlier owner may have used.
func WorkersKey(id worker.ShardID) table.Key {
	return table.Key("workers/" + string(id.Zone) + "/" + strconv.Itoa(id.Index))
}

// workerRow is an element of the row WorkersKey.
type workerRow struct {
	ID      membership.InstanceID
	Address string
}

// shardWorkers returns the shard's workers in the membership list.
func (s *Shard) shardWorkers(snapshot membership.Snapshot) map[membership.InstanceID]membership.Instance {
	shards := s.Configuration.Current().Manifest.Limits.ShardsPerZone
	workers := map[membership.InstanceID]membership.Instance{}
	for _, instance := range snapshot.Instances {
		if instance.Kind != membership.Worker || instance.Zone != s.ID.Zone {
			continue
		}
		if IndexOf(instance.ID, shards) == s.ID.Index {
			workers[instance.ID] = instance
		}
	}
	return workers
}

// load is what executors take of a worker.
type load struct {
	reserved resource.Vector
	services []manifest.ServiceName
}

func executorLoads(snapshot membership.Snapshot) map[membership.InstanceID]load {
	loads := map[membership.InstanceID]load{}
	for _, instance := range snapshot.Instances {
		if instance.Kind != membership.Executor {
			continue
		}
		l := loads[instance.Host]
		l.reserved = l.reserved.Add(instance.Capacity)
		l.services = append(l.services, manifest.ServiceName(instance.Service))
		loads[instance.Host] = l
	}
	return loads
}

// refreshWorkers takes in the membership list and the state of the links.
func (s *Shard) refreshWorkers(now time.Time) {
	snapshot := s.Membership.Snapshot()
	if snapshot.Revision != s.seenRevision {
		s.seenRevision = snapshot.Revision
		s.listed = s.shardWorkers(snapshot)
		s.loads = executorLoads(snapshot)
	}
	for id, instance := range s.listed {
		l, known := s.links[id]
		if !known {
			l = newLink(instance)
			s.links[id] = l
		}
		l.instance = instance
	}
	for id, l := range s.links {
		s.refreshWorker(now, id, l)
	}
}

func (s *Shard) refreshWorker(now time.Time, id membership.InstanceID, l *link) {
	_, listed := s.listed[id]
	if l.lease == chart.LeaseUnreachable && !l.inFlight && now.After(l.bound) {
		s.forget(now, id, l)
	}
	if l.isGone() || l.lease == chart.LeaseAbsent && !listed {
		if !listed && !l.inFlight {
			delete(s.links, id)
		}
		return
	}
	if _, admitted := s.records.workers[id]; !admitted {
		return
	}
	s.setWorker(now, l, s.workerState(l, listed))
}

func (s *Shard) workerState(l *link, listed bool) placement.WorkerState {
	switch {
	case l.instance.State == membership.Leaving:
		return placement.Leaving
	case !listed || l.basis == 0 || l.lease == chart.LeaseUnreachable:
		return placement.Unreachable
	}
	return placement.Available
}

// forget tells the engine that nothing can run on a worker any more: its lease
// has ended and no renewal is under way.
func (s *Shard) forget(now time.Time, id membership.InstanceID, l *link) {
	s.Counters.Add("Worker.LeaseEnded", 1)
	s.Log.Warn().Str("Worker", string(id)).Msg("the lease of an unreachable worker has ended")
	s.engine.RemoveWorker(now, id)
	l.attempts = map[worker.TaskAttempt]chart.AttemptState{}
	l.start, l.stop, l.throttle = nil, nil, nil
	l.basis = 0
	l.moveLease(chart.LeaseOnExpire)
	l.view = placement.Worker{}
}

// readmit handles the first answer of a worker that was forgotten.
func (s *Shard) readmit(l *link, response worker.SyncResponse, now time.Time) {
	l.incarnation = response.Incarnation
	s.Counters.Add("Worker.Returned", 1)
	s.Log.Info().Str("Worker", string(l.instance.ID)).Msg("worker is reachable again")
	_, listed := s.listed[l.instance.ID]
	s.setWorker(now, l, s.workerState(l, listed))
}

// setWorker tells the engine about a worker if anything changed.
func (s *Shard) setWorker(now time.Time, l *link, state placement.WorkerState) {
	executors := s.loads[l.instance.ID]
	view := placement.Worker{
		ID:       l.instance.ID,
		Zone:     l.instance.Zone,
		Rack:     l.instance.Rack,
		Capacity: l.capacity,
		Reserved: executors.reserved,
		Services: executors.services,
		State:    state,
	}
	if view.Capacity.IsZero() {
		view.Capacity = l.instance.Capacity
	}
	if sameWorker(view, l.view) {
		return
	}
	l.view = view
	s.engine.SetWorker(now, view)
}

func sameWorker(a, b placement.Worker) bool {
	if len(a.Services) != len(b.Services) {
		return false
	}
	for i := range a.Services {
		if a.Services[i] != b.Services[i] {
			return false
		}
	}
	a.Services, b.Services = nil, nil
	return a.ID == b.ID && a.Zone == b.Zone && a.Rack == b.Rack && a.State == b.State &&
		a.Capacity == b.Capacity && a.Reserved == b.Reserved
}
