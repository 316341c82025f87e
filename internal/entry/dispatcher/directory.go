package dispatcher

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/fanin"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/mechanism"
	"github.com/jacinthtrail/jacinthtrail/internal/peer/entry"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

const (
	// peersCacheTime is how long an encoded list of instances is sent to all that ask for it.
	peersCacheTime = 200 * time.Millisecond
	// maxPeersBytes limits a list of instances when it is decompressed, some 10,000 instances.
	maxPeersBytes = 2 << 20
	// meetRounds and meetInterval limit the time for which an instance of a large deployment
	// asks for the other instances before it claims its first shard.
	meetRounds   = 4
	meetInterval = 300 * time.Millisecond
)

// isLarge reports whether the deployment is so large that not every instance may read and call
// for itself.
func (n *Node) isLarge() bool {
	if n.Disabled.Has(mechanism.FanIn) {
		return false
	}
	n.lock.Lock()
	known := len(n.peers)
	n.lock.Unlock()
	return fanin.IsLarge(known+1, len(n.allShards()))
}

// faninInstance describes this instance, and faninInstances the live peers, to package fanin.
func (n *Node) faninInstance() fanin.Instance {
	return fanin.Instance{Name: n.Name, Cores: coresOrDefault(n.Cores), Zone: n.Zone}
}

func (n *Node) faninInstances() []fanin.Instance {
	live := n.liveEntries()
	instances := make([]fanin.Instance, len(live))
	for i, p := range live {
		instances[i] = fanin.Instance{Name: p.Name, Cores: coresOrDefault(p.Cores), Zone: p.Zone}
	}
	return instances
}

// encodedPeers is the list of known instances as it is sent to peers. The zero value is empty.
type encodedPeers struct {
	lock      sync.Mutex
	list      []byte
	encodedAt time.Time
}

// get returns the list and its age, and encodes it anew when it is older than peersCacheTime.
func (e *encodedPeers) get(now time.Time, current func() []directoryEntry) ([]byte, time.Duration, error) {
	e.lock.Lock()
	defer e.lock.Unlock()
	if age := now.Sub(e.encodedAt); e.list != nil && age < peersCacheTime {
		return e.list, age, nil
	}
	value, err := json.Marshal(current())
	if err != nil {
		return nil, 0, fmt.Errorf("encode the instances: %w", err)
	}
	list, err := compress(value)
	if err != nil {
		return nil, 0, err
	}
	e.list, e.encodedAt = list, now
	return list, 0, nil
}

// decodePeers returns the instances of an answer, with their ages when it was sent.
func decodePeers(a peersAnswer) ([]directoryEntry, error) {
	value, err := decompress(a.Peers, maxPeersBytes)
	if err != nil {
		return nil, err
	}
	var list []directoryEntry
	if err := json.Unmarshal(value, &list); err != nil {
		return nil, fmt.Errorf("decode the instances: %w", err)
	}
	for i := range list {
		list[i].Age += a.Age
	}
	return list, nil
}

// handlePeers records the instance that calls, and returns those that are alive.
func (n *Node) handlePeers(_ context.Context, r peersRequest) (peersAnswer, error) {
	n.Counters.Add("Directory.Calls", 1)
	if r.From.Name != "" {
		n.recordEntries([]directoryEntry{{r.From, r.Zone}})
	}
	list, age, err := n.encodedPeers.get(n.Clock.Now(), func() []directoryEntry {
		return append(n.liveEntries(), directoryEntry{n.self(), n.Zone})
	})
	return peersAnswer{Peers: list, Age: age, ChoosesLayout: n.choosesLayout()}, err
}

// exchangePeers tells an instance that this one is alive, and learns which others are. An
// instance of an earlier build is asked in a hello call.
func (n *Node) exchangePeers(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	answer, err := entry.Call[peersRequest, peersAnswer](ctx, n.Peers, address, peersMethod, peersRequest{From: n.self(), Zone: n.Zone})
	if isUnknownMethod(err) {
		return n.exchangeByHello(ctx, address)
	}
	if err != nil {
		n.Counters.Add("Directory.CallFailed", 1)
		return err
	}
	list, err := decodePeers(answer)
	if err != nil {
		n.Log.Error().Err(err).Str("From", address).Msg("can't decode a list of instances")
		return err
	}
	n.recordEntries(list)
	if answer.ChoosesLayout {
		n.recordLayoutChooser()
	}
	return nil
}

func (n *Node) exchangeByHello(ctx context.Context, address string) error {
	answer, err := n.callHello(ctx, address, helloRequest{From: n.self(), WantPeers: true})
	if err != nil {
		n.Counters.Add("Owner.PeerSilent", 1)
		return err
	}
	n.recordPeers(answer.Peers)
	return nil
}

func isUnknownMethod(err error) bool {
	var remote *entry.Error
	return errors.As(err, &remote) && remote.Code == entry.CodeUnknownMethod
}

// runDirectory exchanges the known instances with the directories while the deployment is large.
// Each instance calls the directories in turn.
func (n *Node) runDirectory(ctx context.Context) error {
	n.recordDirectoryAnswer()
	turn := 0
	return n.every(ctx, fanin.DirectoryInterval, func() {
		if n.isLarge() {
			turn++
			n.callDirectory(ctx, turn)
		}
	})
}

// callDirectory exchanges the known instances with the directory whose turn it is or, if that
// fails, with the next one that answers.
func (n *Node) callDirectory(ctx context.Context, turn int) {
	for _, address := range n.directoryAddresses(turn) {
		if n.exchangePeers(ctx, address) == nil {
			n.recordDirectoryAnswer()
			return
		}
	}
}

// recordDirectoryAnswer records that a directory has answered.
func (n *Node) recordDirectoryAnswer() {
	n.lock.Lock()
	defer n.lock.Unlock()
	n.directoryAnsweredAt = n.Clock.Now()
}

// directoryAddresses returns the addresses of the directories other than this instance, the one
// whose turn it is first, and then those of their substitutes. It returns the configured seeds if
// no other instance is known.
func (n *Node) directoryAddresses(turn int) []string {
	live := n.livePeers()
	byName := make(map[membership.InstanceID]string, len(live))
	for _, p := range live {
		byName[p.Name] = p.Address
	}
	var addresses []string
	self, others := n.faninInstance(), n.faninInstances()
	directories := fanin.Directories(self, others)
	if turn%2 == 1 {
		slices.Reverse(directories)
	}
	for _, name := range append(directories, fanin.Substitutes(self, others)...) {
		if address := byName[name]; address != "" {
			addresses = append(addresses, address)
		}
	}
	if len(addresses) == 0 {
		return n.configuredSeeds()
	}
	return addresses
}

// meetPeers learns the other instances of a large deployment from the seeds before this instance
// claims a shard, since after a start of all instances none knows any other. It ends early
// once it learns of no further ones.
func (n *Node) meetPeers(ctx context.Context) {
	seeds := n.configuredSeeds()
	known := 0
	for round := range meetRounds {
		if len(seeds) == 0 || !n.isLarge() {
			return
		}
		failed := n.exchangePeers(ctx, seeds[fanin.SeedOfRound(n.Name, round, len(seeds))]) != nil
		now := len(n.livePeers())
		if !failed && now == known {
			return
		}
		known = now
		if !n.sleep(ctx, meetInterval) {
			return
		}
	}
}
