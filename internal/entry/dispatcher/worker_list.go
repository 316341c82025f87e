package dispatcher

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/table"
)

// maxLoggedFindings is the maximum number of bytes of a log line about odd entries.
const maxLoggedFindings = 1000

// workerList is the platform's list of workers, as last read.
type workerList struct {
	// received reports that the list was read.
	received bool
	// workers has the workers of the shard, and err describes the entries that can't be decoded.
	workers []dispatch.WorkerInfo
	err     error
	// loggedFindings has the entries that were last logged as left out.
	loggedFindings string
}

// split returns the workers of the services, and an error that lists all other entries.
func (l *workerList) split(services map[dispatch.ServiceName]bool) ([]dispatch.WorkerInfo, error) {
	var usable []dispatch.WorkerInfo
	errs := []error{l.err}
	for _, w := range l.workers {
		if services[w.Service] {
			usable = append(usable, w)
			continue
		}
		errs = append(errs, fmt.Errorf("worker %q: the service %q isn't configured", w.ID, w.Service))
	}
	return usable, errors.Join(errs...)
}

func (o *owner) mirrorWorkers() *table.Mirror {
	m := o.node.mirror("Workers", o.node.Catalog.WorkersPrefix(), workersWatchInterval, o.applyWorkers)
	m.Watcher = &workerRows{Watcher: m.Watcher, node: o.node, shard: o.shard.id, retryAt: retryTimes{}}
	return m
}

// applyWorkers applies the platform's list of workers.
func (o *owner) applyWorkers(rows map[table.Key]table.Row) {
	workers, err := o.node.Catalog.Workers(o.shardRows(rows))
	slices.SortFunc(workers, func(a, b dispatch.WorkerInfo) int { return strings.Compare(string(a.ID), string(b.ID)) })
	o.lock.Lock()
	o.workerList.received, o.workerList.workers, o.workerList.err = true, workers, err
	o.lock.Unlock()
	o.useListedWorkers()
}

// shardRows returns the rows of the list that belong to the shard.
func (o *owner) shardRows(rows map[table.Key]table.Row) map[table.Key]table.Row {
	prefix := len(o.node.Catalog.WorkersPrefix())
	own := make(map[table.Key]table.Row, len(rows)/o.shard.count)
	for key, row := range rows {
		if o.shard.hasWorker(membership.InstanceID(key[prefix:])) {
			own[key] = row
		}
	}
	return own
}

// useListedWorkers passes the listed workers of known services to the engine, and starts to poll the
// new ones. An entry of another service comes from another writer and names no worker.
func (o *owner) useListedWorkers() {
	var ids []membership.InstanceID
	o.withEngine(func(now time.Time, e *dispatch.Engine) {
		services := o.knownServices()
		if !o.workerList.received || len(services) == 0 {
			return
		}
		workers, err := o.workerList.split(services)
		o.logOddWorkers(err)
		e.SetWorkers(now, workers)
		for _, id := range e.Workers() {
			if !o.polledWorkers[id] {
				o.polledWorkers[id] = true
				ids = append(ids, id)
			}
		}
	})
	for _, id := range ids {
		o.group.Go(func() error { return o.pollWorker(id) })
	}
}

// knownServices returns the services that the configuration in force names, and those that the engine
// knows. The lock must be held.
func (o *owner) knownServices() map[dispatch.ServiceName]bool {
	services := o.engine.Services()
	maps.Copy(services, o.node.configuredServices())
	return services
}

// configuredServices returns the services that the configuration in force names, none if there is no
// configuration.
func (n *Node) configuredServices() map[dispatch.ServiceName]bool {
	services := map[dispatch.ServiceName]bool{}
	c := n.config.Load()
	if c == nil {
		return services
	}
	for name := range c.Services {
		services[name] = true
	}
	for _, q := range c.Queues {
		services[q.Service] = true
	}
	return services
}

// logOddWorkers logs which entries of the list are left out, whenever these change. The lock must be
// held.
func (o *owner) logOddWorkers(err error) {
	findings := ""
	if err != nil {
		o.node.Counters.Add("Workers.RowsLeftOut", 1)
		findings = err.Error()
	}
	if findings == o.workerList.loggedFindings {
		return
	}
	o.workerList.loggedFindings = findings
	o.node.Log.Warn().Str("Event", "OddWorkers").Int("Shard", int(o.shard.id)).
		Str("Findings", findings[:min(len(findings), maxLoggedFindings)]).Send()
}
