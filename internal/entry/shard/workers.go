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
func IndexOf(id membership.InstanceID, shardCount int) int {
	if shardCount <= 1 {
		return 0
	}
	return int(xxhash.Sum64String(string(id)) % uint64(shardCount))
}

// WorkersKey returns the key of the row that lists a shard's workers. A worker is sent
// tasks only after the row lists it, so a new owner can tell from the row which workers
// an earlier owner may have used.
func WorkersKey(id worker.ShardID) table.Key {
	return table.Key("workers/" + string(id.Zone) + "/" + strconv.Itoa(id.Index))
}

// workerRow is an element of the list in the row at WorkersKey.
type workerRow struct {
	ID      membership.InstanceID
	Address string
}

// shardWorkers returns the shard's workers in the membership list.
func (s *Shard) shardWorkers(snapshot membership.Snapshot) map[membership.InstanceID]membership.Instance {
	shardCount := s.Configuration.Current().Manifest.Limits.ShardsPerZone
	workers := map[membership.InstanceID]membership.Instance{}
	for _, instance := range snapshot.Instances {
		if instance.Kind != membership.Worker || instance.Zone != s.ID.Zone {
			continue
		}
		if IndexOf(instance.ID, shardCount) == s.ID.Index {
			workers[instance.ID] = instance
		}
	}
	return workers
}

// executorLoad has the resources that the executors on a worker's instance reserve, and
// the services that they run.
type executorLoad struct {
	reserved resource.Vector
	services []manifest.ServiceName
}

func executorLoads(snapshot membership.Snapshot) map[membership.InstanceID]executorLoad {
	loads := map[membership.InstanceID]executorLoad{}
	for _, instance := range snapshot.Instances {
		if instance.Kind != membership.Executor {
			continue
		}
		load := loads[instance.Host]
		load.reserved = load.reserved.Add(instance.Capacity)
		load.services = append(load.services, manifest.ServiceName(instance.Service))
		loads[instance.Host] = load
	}
	return loads
}

// refreshWorkers updates the sessions from the membership list, and the engine from the
// sessions.
func (s *Shard) refreshWorkers(now time.Time) {
	snapshot := s.Membership.Snapshot()
	if snapshot.Revision != s.seenRevision {
		s.seenRevision = snapshot.Revision
		s.listedWorkers = s.shardWorkers(snapshot)
		s.workerLoads = executorLoads(snapshot)
	}
	for id, instance := range s.listedWorkers {
		session, known := s.sessions[id]
		if !known {
			session = newWorkerSession(instance)
			s.sessions[id] = session
		}
		session.instance = instance
	}
	for id, session := range s.sessions {
		s.refreshWorker(now, id, session)
	}
}

func (s *Shard) refreshWorker(now time.Time, id membership.InstanceID, session *workerSession) {
	_, listed := s.listedWorkers[id]
	if session.leaseState == chart.LeaseUnreachable && !session.inFlight && now.After(session.leaseExpiry) {
		s.removeExpiredWorker(now, id, session)
	}
	if session.isExpired() || session.leaseState == chart.LeaseAbsent && !listed {
		if !listed && !session.inFlight {
			delete(s.sessions, id)
		}
		return
	}
	if _, stored := s.records.storedWorkers[id]; !stored {
		return
	}
	s.updateEngineWorker(now, session, s.workerState(session, listed))
}

func (s *Shard) workerState(session *workerSession, listed bool) placement.WorkerState {
	switch {
	case session.instance.State == membership.Leaving:
		return placement.WorkerLeaving
	case !listed || session.basis == 0 || session.leaseState == chart.LeaseUnreachable:
		return placement.WorkerUnreachable
	}
	return placement.WorkerAvailable
}

// removeExpiredWorker removes a worker from the engine. No task can run on it any more,
// because its lease has expired and no renewal is in flight.
func (s *Shard) removeExpiredWorker(now time.Time, id membership.InstanceID, session *workerSession) {
	s.Counters.Add("Worker.LeaseEnded", 1)
	s.Log.Warn().Str("Worker", string(id)).Msg("lease of an unreachable worker has expired")
	s.engine.RemoveWorker(now, id)
	session.attempts = map[worker.TaskAttempt]chart.AttemptState{}
	session.pendingStarts, session.pendingStops, session.pendingThrottles = nil, nil, nil
	session.basis = 0
	session.applyLeaseEvent(chart.LeaseOnExpire)
	session.engineWorker = placement.Worker{}
}

// handleReturnedWorker handles the first response of a worker whose lease had expired.
func (s *Shard) handleReturnedWorker(session *workerSession, response worker.SyncResponse, now time.Time) {
	session.incarnation = response.Incarnation
	s.Counters.Add("Worker.Returned", 1)
	s.Log.Info().Str("Worker", string(session.instance.ID)).Msg("worker is reachable again")
	_, listed := s.listedWorkers[session.instance.ID]
	s.updateEngineWorker(now, session, s.workerState(session, listed))
}

// updateEngineWorker updates the engine's view of a worker if it has changed.
func (s *Shard) updateEngineWorker(now time.Time, session *workerSession, state placement.WorkerState) {
	load := s.workerLoads[session.instance.ID]
	updated := placement.Worker{
		ID:       session.instance.ID,
		Zone:     session.instance.Zone,
		Rack:     session.instance.Rack,
		Capacity: session.capacity,
		Reserved: load.reserved,
		Services: load.services,
		State:    state,
	}
	if updated.Capacity.IsZero() {
		updated.Capacity = session.instance.Capacity
	}
	if equalWorkers(updated, session.engineWorker) {
		return
	}
	session.engineWorker = updated
	s.engine.SetWorker(now, updated)
}

func equalWorkers(a, b placement.Worker) bool {
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
