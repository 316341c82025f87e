package dispatcher

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/fanin"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/counter"
	"github.com/jacinthtrail/jacinthtrail/internal/peer/entry"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/table"
)

// connect has the nodes call each other without a network. Other nodes don't answer.
func connect(ctx context.Context, nodes []*Node) {
	servers := map[string]*entry.Server{}
	for _, n := range nodes {
		servers[n.PeerAddress] = entry.NewServer(entry.ServerOptions{})
		n.Register(servers[n.PeerAddress])
	}
	dial := func(dialCtx context.Context, address string) (net.Conn, error) {
		if server := servers[address]; server != nil {
			return pipeTo(ctx, server)(dialCtx, address)
		}
		return noNetwork(dialCtx, address)
	}
	for _, n := range nodes {
		n.Peers = entry.NewClient(entry.ClientOptions{Clock: n.Clock, Dial: dial})
		DeferCleanup(n.Peers.Close)
	}
}

// inZones sets the zones of the nodes in turn.
func inZones(nodes []*Node, zones ...membership.Zone) {
	var entries []directoryEntry
	for i, n := range nodes {
		n.Zone = zones[i%len(zones)]
		entries = append(entries, directoryEntry{n.self(), n.Zone})
	}
	for _, n := range nodes {
		n.lock.Lock()
		clear(n.peers)
		n.lock.Unlock()
		n.recordEntries(entries)
	}
}

// Guards against instances that forget all others at the same time, and so all claim and read at once,
// because nobody passes on who is alive.
var _ = Describe("The list of instances when directories fail", func() {
	const nodes = 70

	// expectCompleteLists removes nodes of a deployment and expects the others to go on knowing each other.
	expectCompleteLists := func(ctx context.Context, gone func(n *Node, directories []*Node) bool) {
		GinkgoHelper()
		clock := clockwork.NewFakeClock()
		all := deployment(nodes, 1, clock, nil, 0)
		inZones(all, "a", "a", "b", "b", "c")
		chosen := fanin.Directories(all[0].faninInstance(), all[0].faninInstances())
		var directories, left []*Node
		for _, n := range all {
			if slices.Contains(chosen, n.Name) {
				directories = append(directories, n)
			}
		}
		for _, n := range all {
			if !gone(n, directories) {
				left = append(left, n)
			}
		}
		Expect(left).NotTo(BeEmpty())
		connect(ctx, left)
		for turn := range 2 * int(peerTimeout/fanin.DirectoryInterval) {
			for _, n := range left {
				n.callDirectory(ctx, turn)
				Expect(len(n.livePeers())).To(BeNumerically(">=", len(left)-1), "%s in turn %d", n.Name, turn)
			}
			clock.Advance(fanin.DirectoryInterval)
		}
	}

	It("stays complete when both are gone", func(ctx context.Context) {
		expectCompleteLists(ctx, func(n *Node, directories []*Node) bool { return slices.Contains(directories, n) })
	})

	It("stays complete when the zones of both are gone", func(ctx context.Context) {
		expectCompleteLists(ctx, func(n *Node, directories []*Node) bool {
			return n.Zone == directories[0].Zone || n.Zone == directories[1].Zone
		})
	})

	It("is requested in hello calls once no directory has answered for some seconds", func() {
		clock := clockwork.NewFakeClock()
		n := deployment(nodes, 1, clock, nil, 0)[0]
		n.recordDirectoryAnswer()
		clock.Advance(directorySilentAfter / 2)
		Expect(n.wantsPeers()).To(BeFalse())
		clock.Advance(directorySilentAfter)
		Expect(n.livePeers()).NotTo(BeEmpty())
		Expect(n.wantsPeers()).To(BeTrue())
		Expect(n.wantsPeers()).To(BeFalse(), "not in each call")
	})
})

// unwritableStore has workers, and accepts no transaction.
type unwritableStore struct {
	Store
	// onCommit is called for each transaction.
	onCommit func()
}

func (unwritableStore) Snapshot(context.Context, table.Key) ([]table.Row, table.Version, error) {
	return nil, 1, nil
}

func (s unwritableStore) Commit(context.Context, table.Transaction) (table.Version, error) {
	s.onCommit()
	return 0, table.ErrUnavailable
}

// oneWorkerCatalog lists one worker.
type oneWorkerCatalog struct{ stateCatalog }

func (oneWorkerCatalog) Workers(map[table.Key]table.Row) ([]dispatch.WorkerInfo, error) {
	return []dispatch.WorkerInfo{{ID: "w"}}, nil
}

// Guards against a first start that waits for seeds that don't choose the number of shards.
var _ = Describe("The first start beside seeds that don't choose", func() {
	It("isn't held up by a seed that reads but can't write", func(ctx context.Context) {
		clock := clockwork.NewFakeClock()
		var reported []bool
		store := &unwritableStore{}
		seed := New(Options{Name: "seed", IsSeed: true, Store: store, Clock: clock, Counters: &counter.Set{}, Catalog: oneWorkerCatalog{}})
		store.onCommit = func() { reported = append(reported, seed.choosesLayout()) }
		var monitor workerCountMonitor
		_, err := seed.chooseLayout(ctx, &monitor)
		Expect(err).NotTo(HaveOccurred())
		Expect(seed.choosesLayout()).To(BeTrue())
		for range 10 {
			clock.Advance(layoutStablePeriod)
			_, err = seed.chooseLayout(ctx, &monitor)
			Expect(err).To(MatchError(table.ErrUnavailable))
			Expect(seed.choosesLayout()).To(BeFalse())
		}
		Expect(reported).To(HaveLen(10))
		Expect(reported[1:]).To(HaveEach(false), "nor while it tries again")
	})

	It("ends although seeds report for ever that they choose", func() {
		clock := clockwork.NewFakeClock()
		n := deployment(100, 0, clock, nil, 0)[1]
		startedAt := clock.Now()
		for clock.Now().Sub(startedAt) < time.Minute {
			n.recordLayoutChooser()
			clock.Advance(time.Second)
		}
		n.recordLayoutChooser()
		Expect(n.readsList(startedAt)).To(BeTrue())
	})

	It("takes a second longer, or a few, where seeds are silent or few instances are known", func() {
		clock := clockwork.NewFakeClock()
		startedAt := clock.Now()
		var alone []*Node
		for i := range 5 {
			n := deployment(5, 0, clock, nil, 0)[i]
			clear(n.peers)
			alone = append(alone, n)
		}
		reading := func() int {
			return len(slices.DeleteFunc(slices.Clone(alone), func(n *Node) bool { return !n.readsList(startedAt) }))
		}
		clock.Advance(900 * time.Millisecond)
		Expect(reading()).To(BeZero())
		clock.Advance(2100 * time.Millisecond)
		Expect(reading()).NotTo(BeZero())
		for _, n := range deployment(5, 0, clock, nil, 0) {
			Expect(n.readsList(startedAt)).To(BeTrue())
		}
		clock.Advance(2 * time.Second)
		Expect(reading()).To(Equal(5))
	})
})

// Guards against an instance that doesn't watch the owners while it waits for seeds that are silent.
var _ = Describe("An instance that meets the others", func() {
	It("calls owners meanwhile, and claims nothing", func() {
		var lock sync.Mutex
		var called []string
		silent := func(ctx context.Context, address string) (net.Conn, error) {
			lock.Lock()
			called = append(called, address)
			lock.Unlock()
			<-ctx.Done()
			return nil, ctx.Err()
		}
		store := &countingStore{}
		// The clock stands still, so that the pause between two calls to seeds doesn't end.
		n := New(Options{
			Name: "n", PeerAddress: "n", Store: store, Clock: clockwork.NewFakeClock(), Counters: &counter.Set{},
			Seeds: []string{"seed"}, Peers: entry.NewClient(entry.ClientOptions{Dial: silent}),
		})
		DeferCleanup(n.Peers.Close)
		shards := n.setLayout(layoutRow{Shards: 12})
		for i, s := range shards {
			s.updateOwner(ownerRow{Node: "owner", Address: fmt.Sprintf("owner-%d", i), Epoch: 1})
			s.view.answeredAt = time.Time{}
		}
		ctx, cancel := context.WithCancel(context.Background())
		group, ctx := errgroup.WithContext(ctx)
		n.group, n.groupContext = group, ctx
		group.Go(func() error {
			n.followShards(ctx, group, shards)
			return nil
		})
		Eventually(func() []string {
			lock.Lock()
			defer lock.Unlock()
			return slices.Clone(called)
		}).WithTimeout(10 * time.Second).Should(ContainElement("owner-3"))
		Expect(n.meetingPeers.Load()).To(BeTrue())
		cancel()
		Expect(group.Wait()).To(MatchError(context.Canceled))
		Expect(store.reads).To(BeZero())
	})
})

// Guards against an instance that claims a shard at once, because the owner before was silent.
var _ = Describe("The wait before a claim", func() {
	It("begins anew when the owner has answered meanwhile", func() {
		clock := clockwork.NewFakeClock()
		s := deployment(300, 1, clock, nil, 0)[1].allShards()[0]
		owner := ownerRow{Node: "owner", Address: "owner", Epoch: 1, Sequence: 1}
		s.updateOwner(owner)
		clock.Advance(10 * time.Second)
		Expect(s.vacantFor()).To(BeZero())
		clock.Advance(time.Second)
		Expect(s.vacantFor()).To(Equal(time.Second))
		s.applyHello(helloAnswer{IsOwner: true, Owner: owner})
		owner.Released = true
		clock.Advance(10 * time.Second)
		s.updateOwner(owner)
		Expect(s.vacantFor()).To(BeZero())
	})

	It("goes on while the owner answers that it can't reach the store", func() {
		clock := clockwork.NewFakeClock()
		s := deployment(300, 1, clock, nil, 0)[1].allShards()[0]
		owner := ownerRow{Node: "owner", Address: "owner", Epoch: 1, Sequence: 1}
		s.updateOwner(owner)
		for second := range 3 {
			s.applyHello(helloAnswer{IsOwner: true, Owner: owner, StoreLost: true})
			Expect(s.vacantFor()).To(Equal(time.Duration(second) * time.Second))
			clock.Advance(time.Second)
		}
	})
})
