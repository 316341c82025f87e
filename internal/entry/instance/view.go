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

// snapshots adapts a cached membership view to what the shards need.
type snapshots struct {
	view *membership.View
}

// Snapshot returns the last list that was read, empty before the first one.
func (s snapshots) Snapshot() membership.Snapshot {
	latest, _, _ := s.view.Latest()
	return latest
}

// zones keeps the last known status of every availability zone.
type zones struct {
	mu       sync.Mutex
	statuses map[membership.Zone]zone.Status
	permit   permit.Permit
	own      membership.Zone
}

func (z *zones) observe(began time.Time, name membership.Zone, status zone.Status) {
	z.mu.Lock()
	if z.statuses == nil {
		z.statuses = map[membership.Zone]zone.Status{}
	}
	z.statuses[name] = status
	z.mu.Unlock()
	if name == z.own {
		z.permit.Observe(began, status)
	}
}

func (z *zones) isOut(name membership.Zone) bool {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.statuses[name].IsOut()
}

// destinations chooses shards for new jobs and for those that leave a zone: the
// shard with the most free processors for each queued task.
type destinations struct {
	own    membership.Zone
	config *configuration.Holder
	zones  *zones
	peers  *heartbeat.Table
	local  func() []heartbeat.ShardReport
}

// staleReport is the age after which a peer's report is no reason to choose its shard.
const staleReport = 5 * time.Second

// Submission returns the shard for a new job. While no owner is known, for example
// during a takeover, the job waits in a shard of a zone that is in service.
func (d destinations) Submission(now time.Time) (worker.ShardID, bool) {
	if id, found := d.choose(now, ""); found {
		return id, true
	}
	for _, name := range zoneNames(d.config.Current().Manifest, d.own) {
		if !d.zones.isOut(name) {
			return worker.ShardID{Zone: name}, true
		}
	}
	return worker.ShardID{}, false
}

// Destination returns the shard for a job that leaves this instance's zone.
func (d destinations) Destination(now time.Time) (worker.ShardID, bool) {
	return d.choose(now, d.own)
}

// nearShare is the part of the best shard's score that a shard of this zone needs to
// be chosen. Staying in the zone keeps payloads off the links between zones, and
// spreads jobs as the balancer spreads callers.
const nearShare = 0.5

// choose returns the shard with the best score, or one of this zone that is nearly
// as good.
func (d destinations) choose(now time.Time, except membership.Zone) (worker.ShardID, bool) {
	var best, near heartbeat.ShardReport
	for _, report := range d.reports(now) {
		if report.Shard.Zone == except || d.zones.isOut(report.Shard.Zone) {
			continue
		}
		if best.Epoch == 0 || score(report) > score(best) {
			best = report
		}
		if report.Shard.Zone == d.own && (near.Epoch == 0 || score(report) > score(near)) {
			near = report
		}
	}
	if near.Epoch != 0 && score(near) >= nearShare*score(best) {
		return near.Shard, true
	}
	return best.Shard, best.Epoch != 0
}

// reports returns the recent reports of all owners.
func (d destinations) reports(now time.Time) []heartbeat.ShardReport {
	reports := d.local()
	for _, peer := range d.peers.List() {
		if now.Sub(peer.Heard) <= staleReport && !peer.Leaving {
			reports = append(reports, peer.Shards...)
		}
	}
	return reports
}

// score is the free processors that remain for each task in line.
func score(report heartbeat.ShardReport) float64 {
	return float64(report.Free.Processors) / float64(1+report.QueuedTasks)
}

// tableView is one read of the rows that every instance follows.
type tableView struct {
	began   time.Time
	head    configuration.Head
	members table.Row
	// shards has the rows of shardIDs.
	shardIDs []worker.ShardID
	shards   []table.Row
}

// readTable reads the manifest head, the zones, the member set and the shard rows
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
	view := tableView{began: i.clock.Now(), shardIDs: shardIDs}
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	rows, err := i.store.Read(ctx, keys...)
	if err != nil {
		return view, err
	}
	if view.head, err = configuration.DecodeHead(rows[0]); err != nil {
		return view, err
	}
	view.members = rows[1]
	view.shards = rows[2 : 2+len(shardIDs)]
	for j, name := range names {
		status, err := zone.Decode(rows[2+len(shardIDs)+j])
		if err != nil {
			return view, err
		}
		i.zones.observe(view.began, name, status)
	}
	return view, nil
}

// zoneNames returns the zones of a manifest, with the instance's own zone even if
// the manifest doesn't have it yet.
func zoneNames(m manifest.Manifest, own membership.Zone) []membership.Zone {
	names := []membership.Zone{own}
	for _, z := range m.Zones {
		if z.Name != own {
			names = append(names, z.Name)
		}
	}
	return names
}
