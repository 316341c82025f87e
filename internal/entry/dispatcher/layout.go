package dispatcher

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/caller/queue"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
	"github.com/jacinthtrail/jacinthtrail/internal/peer/entry"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/table"
)

const (
	// layoutKey has the row that tells into how many shards the deployment is cut.
	layoutKey table.Key = "layout/main/layout"
	// maxShardWorkers bounds the workers of a shard when the deployment is cut: a decision
	// costs with them.
	maxShardWorkers = 250
	// workersPerCore is how many workers an owner carries for each processor that its
	// instance has, and unknownCores what an instance that doesn't tell is taken to have.
	workersPerCore = 400
	defaultCores   = 0.16
	// layoutPollInterval is the time between two looks for the layout.
	layoutPollInterval = 300 * time.Millisecond
	// layoutStablePeriod is how long the number of workers must stay the same before the
	// deployment is cut: at the first start they register one after the other.
	layoutStablePeriod = 900 * time.Millisecond
)

// layoutRow tells into how many shards the deployment is cut. It is written once.
type layoutRow struct {
	Shards int
}

// shardsFor returns the least number of shards of which the strongest instances, given
// the shares of processors of all, can own one each. Few large shards place and order
// better than many small ones.
func shardsFor(workers int, cores []float64) int {
	strongest := slices.Clone(cores)
	slices.SortFunc(strongest, func(a, b float64) int { return cmp.Compare(b, a) })
	for count := 1; count <= len(strongest); count++ {
		size := (workers + count - 1) / count
		if size <= maxWorkersFor(strongest[count-1]) {
			return count
		}
	}
	// Too weak instances share the work as evenly as they can.
	return max(len(strongest), 1)
}

// maxWorkersFor returns how many workers an owner with a share of processors can have.
func maxWorkersFor(cores float64) int {
	return min(int(cores*workersPerCore), maxShardWorkers)
}

// coresOrDefault returns a share of processors, or what an instance that doesn't tell it is taken
// to have.
func coresOrDefault(told float64) float64 {
	if told <= 0 {
		return defaultCores
	}
	return told
}

// knownCores returns the shares of processors of this and all known instances.
func (n *Node) knownCores() []float64 {
	list := []float64{coresOrDefault(n.Cores)}
	for _, p := range n.others() {
		list = append(list, coresOrDefault(p.Cores))
	}
	return list
}

// workerCountMonitor waits until the number of workers rests.
type workerCountMonitor struct {
	workers int
	since   time.Time
}

// isStable reports whether the number of workers is known and has stayed the same.
func (w *workerCountMonitor) isStable(now time.Time, workers int) bool {
	if workers != w.workers || w.since.IsZero() {
		w.workers, w.since = workers, now
	}
	return workers > 0 && now.Sub(w.since) >= layoutStablePeriod
}

// loadLayout waits until the deployment is cut into shards, and cuts it if nobody has.
func (n *Node) loadLayout(ctx context.Context) (layoutRow, error) {
	var watch workerCountMonitor
	for {
		layout, err := n.tryLoadLayout(ctx, &watch)
		if err == nil && layout.Shards > 0 {
			n.Log.Info().Int("Shards", layout.Shards).Msg("layout known")
			return layout, nil
		}
		if err != nil {
			n.Counters.Add("Layout.ReadFailed", 1)
		}
		if !n.canOwnAll(watch.workers) {
			n.announceToSeeds(ctx)
		}
		if !n.sleep(ctx, layoutPollInterval) {
			return layoutRow{}, ctx.Err()
		}
	}
}

// canOwnAll reports whether this instance can own all workers, so that it needn't know
// the others before the first claim.
func (n *Node) canOwnAll(workers int) bool {
	return workers <= maxWorkersFor(coresOrDefault(n.Cores))
}

// announceToSeeds makes this instance known to the instances that the settings name, and learns
// of the others, so that the first shards are claimed by those that carry them best.
func (n *Node) announceToSeeds(ctx context.Context) {
	for _, address := range n.configuredSeeds() {
		n.background(func() error {
			answer, err := n.callHello(ctx, address, helloRequest{From: n.self(), WantPeers: true})
			if err != nil {
				n.Counters.Add("Owner.PeerSilent", 1)
				return nil
			}
			n.meet(answer.Peers)
			return nil
		})
	}
}

// tryLoadLayout returns the layout, the zero value while there is none.
func (n *Node) tryLoadLayout(ctx context.Context, watch *workerCountMonitor) (layoutRow, error) {
	row, err := n.read(ctx, layoutKey)
	if err != nil {
		return layoutRow{}, err
	}
	if row.Version != 0 {
		return decode[layoutRow](row)
	}
	rows, _, err := n.store.Snapshot(ctx, n.Catalog.WorkersPrefix())
	if err != nil {
		return layoutRow{}, err
	}
	workers, err := n.Catalog.Workers(rowsByKey(rows))
	if err != nil {
		n.Counters.Add("Workers.RowsLeftOut", 1)
	}
	if !watch.isStable(n.Clock.Now(), len(workers)) {
		return layoutRow{}, nil
	}
	cut := layoutRow{Shards: shardsFor(len(workers), n.knownCores())}
	_, err = n.commit(ctx, table.Transaction{
		Conditions: []table.Condition{{Key: layoutKey}},
		Writes:     []table.Write{{Key: layoutKey, Value: encode(cut)}},
	})
	if errors.Is(err, table.ErrConflict) {
		return layoutRow{}, nil
	}
	return cut, err
}

// setLayout creates the shards.
func (n *Node) setLayout(layout layoutRow) []*shard {
	list := make([]*shard, layout.Shards)
	for i := range list {
		list[i] = newShard(n, shardID(i), layout.Shards)
	}
	n.shards.Store(&list)
	return list
}

// allShards returns the shards, none while the layout isn't known.
func (n *Node) allShards() []*shard {
	if list := n.shards.Load(); list != nil {
		return *list
	}
	return nil
}

// shardOfJob returns the shard of a job. It fails with a *queue.Refusal while the
// layout isn't known.
func (n *Node) shardOfJob(id dispatch.JobID) (*shard, error) {
	list := n.allShards()
	if len(list) == 0 {
		return nil, &queue.Refusal{Reason: RefusedStarting, RetryAfter: shortRetryAfter}
	}
	return list[shardOf(string(id), len(list))], nil
}

// shardByID returns the shard that a peer named, or the error for it.
func (n *Node) shardByID(id shardID) (*shard, error) {
	list := n.allShards()
	if id < 0 || int(id) >= len(list) {
		return nil, entry.Errorf(entry.CodeUnavailable, "%s doesn't know shard %d", n.Name, id)
	}
	return list[id], nil
}

// ownedShards returns the shards that this instance owns.
func (n *Node) ownedShards() []*owner {
	var list []*owner
	for _, s := range n.allShards() {
		if o := s.owned.Load(); o != nil {
			list = append(list, o)
		}
	}
	return list
}

// String names the shard in messages.
func (id shardID) String() string {
	return fmt.Sprintf("shard %d", int(id))
}
