package instance

import (
	"context"
	"sync"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
	"github.com/jacinthtrail/jacinthtrail/internal/entry/configuration"
	"github.com/jacinthtrail/jacinthtrail/internal/entry/permit"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/manifest"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/zone"
	"github.com/jacinthtrail/jacinthtrail/internal/peer/heartbeat"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/table"
)

// membershipCache adapts a membership view to the Membership interfaces of the packages
// that read the instance list.
type membershipCache struct {
	view *membership.View
}

// Snapshot returns the last membership list that was read, or an empty list before the
// first successful read.
func (c membershipCache) Snapshot() membership.Snapshot {
	latest, _, _ := c.view.Latest()
	return latest
}

// zoneCache keeps the last known status of every availability zone, and passes that of the
// instance's own zone to the permit.
type zoneCache struct {
	mu        sync.Mutex
	statuses  map[membership.Zone]zone.Status
	permit    permit.Permit
	localZone membership.Zone
}

func (z *zoneCache) observe(readStart time.Time, name membership.Zone, status zone.Status) {
	z.mu.Lock()
	if z.statuses == nil {
		z.statuses = map[membership.Zone]zone.Status{}
	}
	z.statuses[name] = status
	z.mu.Unlock()
	if name == z.localZone {
		z.permit.Observe(readStart, status)
	}
}

func (z *zoneCache) isOutOfService(name membership.Zone) bool {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.statuses[name].OutOfService()
}

// shardSelector selects shards for new jobs and for jobs that are moved out of a
// zone. It prefers the shard with the most free processors per queued task.
type shardSelector struct {
	localZone    membership.Zone
	config       *configuration.Holder
	zones        *zoneCache
	peers        *heartbeat.PeerTable
	localReports func() []heartbeat.ShardReport
}

// maxReportAge is the age up to which a peer's report is used to select a shard.
const maxReportAge = 5 * time.Second

// SelectShard returns the shard for a new job. If no shard reports an owner, for example
// during a takeover, the job is queued in the first shard of a zone that is in service.
func (s shardSelector) SelectShard(now time.Time) (worker.ShardID, bool) {
	if id, found := s.selectShard(now, ""); found {
		return id, true
	}
	for _, name := range zoneNames(s.config.Current().Manifest, s.localZone) {
		if !s.zones.isOutOfService(name) {
			return worker.ShardID{Zone: name}, true
		}
	}
	return worker.ShardID{}, false
}

// Destination returns the shard for a job that is moved out of this instance's zone.
func (s shardSelector) Destination(now time.Time) (worker.ShardID, bool) {
	return s.selectShard(now, s.localZone)
}

// localZoneScoreShare is the fraction of the best score at which a shard of this zone is
// preferred to the best shard. Preferring this zone avoids payload traffic between
// zones, and spreads jobs over zones as the load balancer spreads the callers.
const localZoneScoreShare = 0.5

// selectShard returns the shard with the best score, or the best shard of this zone if its
// score reaches localZoneScoreShare of that. It skips the excluded zone and zones that are
// out of service.
func (s shardSelector) selectShard(now time.Time, excluded membership.Zone) (worker.ShardID, bool) {
	var best, bestLocal heartbeat.ShardReport
	for _, report := range s.reports(now) {
		if report.Shard.Zone == excluded || s.zones.isOutOfService(report.Shard.Zone) {
			continue
		}
		if best.Epoch == 0 || score(report) > score(best) {
			best = report
		}
		if report.Shard.Zone == s.localZone && (bestLocal.Epoch == 0 || score(report) > score(bestLocal)) {
			bestLocal = report
		}
	}
	if bestLocal.Epoch != 0 && score(bestLocal) >= localZoneScoreShare*score(best) {
		return bestLocal.Shard, true
	}
	return best.Shard, best.Epoch != 0
}

// reports returns this instance's shard reports and the recent ones of peers that aren't
// leaving.
func (s shardSelector) reports(now time.Time) []heartbeat.ShardReport {
	reports := s.localReports()
	for _, peer := range s.peers.List() {
		if now.Sub(peer.LastHeard) <= maxReportAge && !peer.Leaving {
			reports = append(reports, peer.Shards...)
		}
	}
	return reports
}

// score returns the free processors per queued task, counting the new task.
func score(report heartbeat.ShardReport) float64 {
	return float64(report.Free.Processors) / float64(1+report.QueuedTasks)
}

// tableView is the result of one read of the rows that every instance polls.
type tableView struct {
	startedAt    time.Time
	head         configuration.Head
	memberSetRow table.Row
	// shardRows has the rows of the shards in shardIDs, in the same order.
	shardIDs  []worker.ShardID
	shardRows []table.Row
}

// readTable reads the manifest head, the zone statuses, and the member set and shard rows
// of this zone in one access.
func (i *Instance) readTable(ctx context.Context) (tableView, error) {
	m := i.config.Current().Manifest
	shardIDs := i.shardIDs()
	keys := []table.Key{configuration.HeadKey, i.membersKey()}
	for _, id := range shardIDs {
		keys = append(keys, shardKey(id))
	}
	names := zoneNames(m, i.settings.Zone)
	for _, name := range names {
		keys = append(keys, zone.Key(name))
	}
	view := tableView{startedAt: i.clock.Now(), shardIDs: shardIDs}
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	rows, err := i.store.Read(ctx, keys...)
	if err != nil {
		return view, err
	}
	if view.head, err = configuration.DecodeHead(rows[0]); err != nil {
		return view, err
	}
	view.memberSetRow = rows[1]
	view.shardRows = rows[2 : 2+len(shardIDs)]
	for j, name := range names {
		status, err := zone.Decode(rows[2+len(shardIDs)+j])
		if err != nil {
			return view, err
		}
		i.zones.observe(view.startedAt, name, status)
	}
	return view, nil
}

// zoneNames returns the local zone and the other zones of a manifest. The local zone is
// included even if the manifest doesn't have it yet.
func zoneNames(m manifest.Manifest, local membership.Zone) []membership.Zone {
	names := []membership.Zone{local}
	for _, z := range m.Zones {
		if z.Name != local {
			names = append(names, z.Name)
		}
	}
	return names
}
