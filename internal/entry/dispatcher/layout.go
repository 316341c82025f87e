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
	"github.com/jacinthtrail/jacinthtrail/internal/decision/fanin"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/mechanism"
	"github.com/jacinthtrail/jacinthtrail/internal/peer/entry"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/table"
)

const (
	// layoutKey is the key of the row that stores the number of shards of the deployment.
	layoutKey table.Key = "layout/main/layout"
	// maxShardWorkers limits the workers of a shard when the number of shards is chosen,
	// because the cost of a scheduling decision grows with the number of workers.
	maxShardWorkers = 250
	// workersPerCore is the number of workers that an owner can manage for each processor
	// that its instance has. defaultCores is the assumed share of processors of an
	// instance that doesn't report it.
	workersPerCore = 400
	defaultCores   = 0.16
	// layoutPollInterval is the time between two reads of the layout.
	layoutPollInterval = 300 * time.Millisecond
	// layoutStablePeriod is how long the number of workers must stay the same before the
	// number of shards is chosen: at the first start, workers register one after the
	// other.
	layoutStablePeriod = 900 * time.Millisecond
	// workersReadMaxAge is how long after a read of the list of workers an instance counts as one
	// that is about to choose the layout.
	workersReadMaxAge = 2500 * time.Millisecond
	// announceRounds is the number of reads of the layout between two announcements of an
	// instance that doesn't choose it.
	announceRounds = 3
)

// layoutRow is the number of shards of the deployment. It is written once.
type layoutRow struct {
	Shards int
}

// shardsFor returns the smallest number of shards such that the strongest instances can
// own one each, given the shares of processors of all instances. A few large shards
// place and order tasks better than many small ones.
func shardsFor(workers int, cores []float64) int {
	strongest := slices.Clone(cores)
	slices.SortFunc(strongest, func(a, b float64) int { return cmp.Compare(b, a) })
	for count := 1; count <= len(strongest); count++ {
		size := (workers + count - 1) / count
		if size <= maxWorkersFor(strongest[count-1]) {
			return count
		}
	}
	// If all instances together are too weak, they share the work as evenly as they can.
	return max(len(strongest), 1)
}

// maxWorkersFor returns how many workers an owner with a share of processors can
// manage.
func maxWorkersFor(cores float64) int {
	return min(int(cores*workersPerCore), maxShardWorkers)
}

// coresOrDefault returns the reported share of processors, or defaultCores if there is
// none.
func coresOrDefault(reported float64) float64 {
	if reported <= 0 {
		return defaultCores
	}
	return reported
}

// knownCores returns the shares of processors of this and all known instances.
func (n *Node) knownCores() []float64 {
	cores := []float64{coresOrDefault(n.Cores)}
	for _, p := range n.livePeers() {
		cores = append(cores, coresOrDefault(p.Cores))
	}
	return cores
}

// workerCountMonitor detects when the number of workers is stable.
type workerCountMonitor struct {
	workers int
	since   time.Time
	// notStored reports that the layout couldn't be stored.
	notStored bool
}

// isStable reports whether there are workers and their number has stayed the same for
// layoutStablePeriod.
func (m *workerCountMonitor) isStable(now time.Time, workers int) bool {
	if workers != m.workers || m.since.IsZero() {
		m.workers, m.since = workers, now
	}
	return workers > 0 && now.Sub(m.since) >= layoutStablePeriod
}

// loadLayout waits until the number of shards is stored, and chooses and stores it if
// no other instance does.
func (n *Node) loadLayout(ctx context.Context) (layoutRow, error) {
	var monitor workerCountMonitor
	startedAt := n.Clock.Now()
	for round := 0; ; round++ {
		layout, err := n.readLayout(ctx)
		readsList := n.readsList(startedAt)
		if err == nil && layout.Shards == 0 && readsList {
			layout, err = n.chooseLayout(ctx, &monitor)
		}
		if err == nil && layout.Shards > 0 {
			n.Log.Info().Int("Shards", layout.Shards).Msg("layout loaded")
			return layout, nil
		}
		if err != nil {
			n.Counters.Add("Layout.ReadFailed", 1)
		}
		switch {
		case !readsList:
			n.announceToSeed(ctx, round)
		case !n.canManageAll(monitor.workers):
			n.announceToSeeds(ctx)
		}
		if !n.sleep(ctx, layoutPollInterval) {
			return layoutRow{}, ctx.Err()
		}
	}
}

// readsList reports whether this instance reads the list of workers to choose the number of shards.
// It leaves that to the seeds as long as one of them does so.
func (n *Node) readsList(startedAt time.Time) bool {
	if n.Disabled.Has(mechanism.FanIn) || n.IsSeed || len(n.configuredSeeds()) == 0 {
		return true
	}
	n.lock.Lock()
	choosersSince := n.layoutChooserAt
	n.lock.Unlock()
	if choosersSince.Before(startedAt) {
		choosersSince = startedAt
	}
	now := n.Clock.Now()
	return now.Sub(choosersSince) >= fanin.ListReaderDelay(n.Name, len(n.livePeers())) ||
		now.Sub(startedAt) >= fanin.MaxListReaderDelay(n.Name)
}

// recordLayoutChooser records that another instance knows or is about to choose the layout.
func (n *Node) recordLayoutChooser() {
	n.lock.Lock()
	defer n.lock.Unlock()
	n.layoutChooserAt = n.Clock.Now()
}

// recordWorkersRead records that this instance has read the list of workers, and can write as far
// as it knows.
func (n *Node) recordWorkersRead() {
	n.lock.Lock()
	defer n.lock.Unlock()
	n.workersReadAt = n.Clock.Now()
}

// recordLayoutNotStored records that this instance couldn't store the layout, so that others choose
// it.
func (n *Node) recordLayoutNotStored() {
	n.lock.Lock()
	defer n.lock.Unlock()
	n.workersReadAt = time.Time{}
}

// choosesLayout reports whether this instance knows the layout, or has lately read the list of
// workers to choose it.
func (n *Node) choosesLayout() bool {
	if len(n.allShards()) > 0 {
		return true
	}
	n.lock.Lock()
	defer n.lock.Unlock()
	return !n.workersReadAt.IsZero() && n.Clock.Now().Sub(n.workersReadAt) <= workersReadMaxAge
}

// canManageAll reports whether this instance can manage all workers alone. If so, it
// needn't know the other instances before it claims its first shard.
func (n *Node) canManageAll(workers int) bool {
	return workers <= maxWorkersFor(coresOrDefault(n.Cores))
}

// announceToSeeds announces this instance to the configured seeds, and learns the other
// instances from them, so that shards are first claimed by the instances with the most
// capacity.
func (n *Node) announceToSeeds(ctx context.Context) {
	for _, address := range n.configuredSeeds() {
		n.announceTo(ctx, address)
	}
}

// announceToSeed announces this instance to one of the seeds at a time: every few rounds, and in
// each round until one has answered.
func (n *Node) announceToSeed(ctx context.Context, round int) {
	seeds := n.configuredSeeds()
	isTurn := round%announceRounds == 0 || len(n.livePeers()) == 0
	if len(seeds) > 0 && isTurn {
		// The calls of successive rounds, and those of successive turns, go to different seeds.
		n.announceTo(ctx, seeds[fanin.SeedOfRound(n.Name, round/announceRounds+round%announceRounds, len(seeds))])
	}
}

// announceTo exchanges the known instances with one in the background.
func (n *Node) announceTo(ctx context.Context, address string) {
	n.background(func(context.Context) error {
		if err := n.exchangePeers(ctx, address); err != nil {
			n.Counters.Add("Layout.AnnounceFailed", 1)
		}
		return nil
	})
}

// readLayout returns the stored layout, or the zero value if there is none yet.
func (n *Node) readLayout(ctx context.Context) (layoutRow, error) {
	row, err := n.read(ctx, layoutKey)
	if err != nil || row.Version == 0 {
		return layoutRow{}, err
	}
	return decode[layoutRow](row)
}

// chooseLayout chooses the layout and stores it. It returns the zero value while the number of
// workers isn't stable, or if another instance has stored a layout.
func (n *Node) chooseLayout(ctx context.Context, monitor *workerCountMonitor) (layoutRow, error) {
	rows, _, err := n.store.Snapshot(ctx, n.Catalog.WorkersPrefix())
	if err != nil {
		return layoutRow{}, err
	}
	if !monitor.notStored {
		n.recordWorkersRead()
	}
	workers, err := n.Catalog.Workers(rowsByKey(rows))
	if err != nil {
		n.Counters.Add("Workers.RowsLeftOut", 1)
	}
	if services := n.configuredServices(); len(services) > 0 {
		workers = slices.DeleteFunc(workers, func(w dispatch.WorkerInfo) bool { return !services[w.Service] })
	}
	if len(workers) != monitor.workers {
		n.Log.Info().Str("Event", "LayoutWorkers").Int("Workers", len(workers)).Send()
	}
	if !monitor.isStable(n.Clock.Now(), len(workers)) {
		return layoutRow{}, nil
	}
	layout := layoutRow{Shards: shardsFor(len(workers), n.knownCores())}
	_, err = n.commit(ctx, table.Transaction{
		Conditions: []table.Condition{{Key: layoutKey}},
		Writes:     []table.Write{{Key: layoutKey, Value: encode(layout)}},
	})
	if errors.Is(err, table.ErrConflict) {
		return layoutRow{}, nil
	}
	if err != nil {
		monitor.notStored = true
		n.recordLayoutNotStored()
	}
	return layout, err
}

// setLayout creates the shards.
func (n *Node) setLayout(layout layoutRow) []*shard {
	shards := make([]*shard, layout.Shards)
	for i := range shards {
		shards[i] = newShard(n, shardID(i), layout.Shards)
	}
	n.shards.Store(&shards)
	return shards
}

// allShards returns the shards, none while the layout isn't known.
func (n *Node) allShards() []*shard {
	if shards := n.shards.Load(); shards != nil {
		return *shards
	}
	return nil
}

// shardOfJob returns the home shard of a job, the one that its ID hashes to. It fails
// with a *queue.Refusal while the layout isn't known.
func (n *Node) shardOfJob(id dispatch.JobID) (*shard, error) {
	shards := n.allShards()
	if len(shards) == 0 {
		return nil, &queue.Refusal{Reason: RefusedStarting, RetryAfter: shortRetryAfter}
	}
	return shards[shardOf(string(id), len(shards))], nil
}

// shardByID returns the shard with the ID. The error is suitable as an answer to a
// peer.
func (n *Node) shardByID(id shardID) (*shard, error) {
	shards := n.allShards()
	if id < 0 || int(id) >= len(shards) {
		return nil, entry.Errorf(entry.CodeUnavailable, "%s doesn't know shard %d", n.Name, id)
	}
	return shards[id], nil
}

// ownedShards returns the owners of the shards that this instance owns.
func (n *Node) ownedShards() []*owner {
	var owners []*owner
	for _, s := range n.allShards() {
		if o := s.owned.Load(); o != nil {
			owners = append(owners, o)
		}
	}
	return owners
}

// String returns the name of the shard in messages.
func (id shardID) String() string {
	return fmt.Sprintf("shard %d", int(id))
}
