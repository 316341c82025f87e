package dispatcher

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/fanin"
	"github.com/jacinthtrail/jacinthtrail/internal/peer/entry"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/progress"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/table"
)

const (
	// readerIdleTime is how long an instance follows the list of workers after an owner last asked.
	readerIdleTime = 10 * time.Second
	// readerCheckInterval is the time between two checks whether it still has to.
	readerCheckInterval = time.Second
)

// workerReader follows the list of workers for the owners of other shards, while they ask for it.
// The list has a change for each heartbeat of each worker, of which each owner would have to
// read those of all shards. The reader passes on only what says something new about a worker.
type workerReader struct {
	node    *Node
	history table.History

	lock sync.Mutex
	// askedAt is when an owner last asked, and running reports that the reader follows the list.
	askedAt time.Time
	running bool
	// rows has the last value of each row that was passed on. Only the mirror uses it.
	rows map[table.Key][]byte
}

// Snapshot reads the whole list from the store.
func (r *workerReader) Snapshot(ctx context.Context, prefix table.Key) ([]table.Row, table.Version, error) {
	rows, version, err := r.node.store.Snapshot(ctx, prefix)
	if err != nil {
		return nil, 0, err
	}
	r.rows = make(map[table.Key][]byte, len(rows))
	for _, row := range rows {
		r.rows[row.Key] = row.Value
	}
	r.history.Reset(rows, version, r.node.Clock.Now())
	return rows, version, nil
}

// Watch returns the changes of the list that aren't only heartbeats.
func (r *workerReader) Watch(ctx context.Context, prefix table.Key, after table.Version, wait time.Duration) ([]table.Change, table.Version, error) {
	changes, version, err := r.node.store.Watch(ctx, prefix, after, wait)
	if err != nil {
		return nil, 0, err
	}
	changes = r.withoutHeartbeats(changes)
	r.history.Apply(changes, version, r.node.Clock.Now())
	return changes, version, nil
}

// withoutHeartbeats returns the changes that say something new about a worker.
func (r *workerReader) withoutHeartbeats(changes []table.Change) []table.Change {
	var news []table.Change
	for _, c := range changes {
		if earlier, known := r.rows[c.Key]; !c.Removed && known && r.node.Catalog.SameWorker(earlier, c.Value) {
			continue
		}
		if c.Removed {
			delete(r.rows, c.Key)
		} else {
			r.rows[c.Key] = c.Value
		}
		news = append(news, c)
	}
	return news
}

// follow begins to follow the list unless the reader does so already.
func (r *workerReader) follow() {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.askedAt = r.node.Clock.Now()
	if r.running {
		return
	}
	r.running = true
	r.node.background(func(ctx context.Context) error {
		r.run(ctx)
		return nil
	})
}

// run follows the list until no owner has asked for a while.
func (r *workerReader) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	mirror := r.node.mirror("WorkerReader", r.node.Catalog.WorkersPrefix(), workersWatchInterval, func(map[table.Key]table.Row) {})
	mirror.Watcher = r
	var group errgroup.Group
	group.Go(func() error { return mirror.Run(ctx) })
	for !r.isIdle() {
		if !r.node.sleep(ctx, readerCheckInterval) {
			break
		}
	}
	cancel()
	if err := group.Wait(); err != nil {
		r.node.Counters.Add("WorkerReader.Stopped", 1)
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	r.running = false
}

// isIdle reports whether no owner has asked for readerIdleTime.
func (r *workerReader) isIdle() bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.node.Clock.Now().Sub(r.askedAt) > readerIdleTime
}

// answer returns the changes of a shard's workers, once there is one or the wait has passed.
func (r *workerReader) answer(ctx context.Context, request workerRowsRequest) (workerRowsAnswer, error) {
	r.follow()
	r.node.Counters.Add("WorkerReader.Calls", 1)
	s, err := r.node.shardByID(request.Shard)
	if err != nil {
		return workerRowsAnswer{}, err
	}
	deadline := r.node.Clock.After(min(request.Wait, maxReaderWait))
	for {
		changed := r.history.Changed()
		readAt := r.history.ReadAt()
		untilStale := r.node.maxReaderAge() - r.age()
		if untilStale < 0 {
			r.node.Counters.Add("WorkerReader.Stale", 1)
			return workerRowsAnswer{}, entry.Errorf(entry.CodeUnavailable, "%v", errReaderStale)
		}
		changes, version, err := r.history.Since(request.After)
		if err != nil {
			return workerRowsAnswer{}, entry.Errorf(entry.CodeUnavailable, "%v", err)
		}
		if changes = s.ownChanges(changes, r.node.Catalog.WorkersPrefix()); len(changes) > 0 {
			encoded, err := new(changesEncoder).encode(changes)
			return workerRowsAnswer{Version: version, Age: r.age(), Changes: encoded}, err
		}
		select {
		case <-changed:
		case <-r.node.Clock.After(untilStale + time.Millisecond):
		case <-deadline:
			return workerRowsAnswer{Version: version, Age: r.node.Clock.Now().Sub(readAt)}, nil
		case <-ctx.Done():
			return workerRowsAnswer{}, ctx.Err()
		}
	}
}

// maxReaderAge is how old the copy of an instance that follows the list of workers may be when it
// answers an owner. If its next answer doesn't come, the owner still has time to read from the store
// within the bound for changes.
func (n *Node) maxReaderAge() time.Duration {
	return n.changeBound() / 3
}

// age returns the time since the list was last read.
func (r *workerReader) age() time.Duration {
	return r.node.Clock.Now().Sub(r.history.ReadAt())
}

// ownChanges returns the changes of the rows of the shard's workers.
func (s *shard) ownChanges(changes []table.Change, prefix table.Key) []table.Change {
	var own []table.Change
	for _, c := range changes {
		if s.hasWorker(membership.InstanceID(c.Key[len(prefix):])) {
			own = append(own, c)
		}
	}
	return own
}

// workerRows reads the list of workers for the owner of a shard. In a large deployment it asks an
// instance that follows the list for the owners of all shards, and reads from the store itself if
// that one doesn't answer or hasn't read the list for too long.
type workerRows struct {
	table.Watcher
	node    *Node
	shard   shardID
	retryAt retryTimes
	// age is how old the reader's copy was at its last answer, 0 if the rows came from the store.
	age time.Duration
}

// CopyAge returns how old the rows of the last call were when it ended.
func (w *workerRows) CopyAge() time.Duration { return w.age }

// Watch returns the changes from the reader or, if that fails, from the store.
func (w *workerRows) Watch(ctx context.Context, prefix table.Key, after table.Version, wait time.Duration) ([]table.Change, table.Version, error) {
	w.age = 0
	name, address, found := w.reader()
	if !found {
		return w.Watcher.Watch(ctx, prefix, after, wait)
	}
	changes, version, err := w.ask(ctx, name, address, workerRowsRequest{w.shard, after, wait})
	if err == nil {
		return changes, version, nil
	}
	w.node.Counters.Add("Workers.ReaderFailed", 1)
	w.retryAt.avoid(name, w.node.Clock.Now())
	// The time for the store begins now.
	progress.Made(ctx)
	return w.Watcher.Watch(ctx, prefix, after, 0)
}

// reader returns the instance to ask, which may be this one, and false if there is none.
func (w *workerRows) reader() (membership.InstanceID, string, bool) {
	n := w.node
	if _, lost := n.store.lostFor(); lost || !n.isLarge() {
		return "", "", false
	}
	addresses := map[membership.InstanceID]string{n.Name: n.PeerAddress}
	for _, p := range n.livePeers() {
		addresses[p.Name] = p.Address
	}
	for _, name := range fanin.ListReaders(n.faninInstance(), n.faninInstances()) {
		if w.retryAt.mayAsk(name, n.Clock.Now()) {
			return name, addresses[name], true
		}
	}
	return "", "", false
}

// ask returns the changes from a reader. It fails with errReaderStale if the reader hasn't read the
// list for so long that a change may be missing.
func (w *workerRows) ask(ctx context.Context, name membership.InstanceID, address string, r workerRowsRequest) ([]table.Change, table.Version, error) {
	n := w.node
	ctx, cancel := context.WithTimeout(ctx, r.Wait+n.changeBound()/readerTimeoutShare)
	defer cancel()
	var answer workerRowsAnswer
	var err error
	if name == n.Name {
		answer, err = n.workerReader.answer(ctx, r)
	} else {
		answer, err = entry.Call[workerRowsRequest, workerRowsAnswer](ctx, n.Peers, address, workerRowsMethod, r)
	}
	if err != nil {
		return nil, 0, err
	}
	if answer.Age > n.maxReaderAge() {
		return nil, 0, errReaderStale
	}
	changes, err := decodeChanges(answer.Changes)
	w.age = answer.Age
	return changes, answer.Version, err
}
