package lending

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/slots"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/manifest"
	"github.com/jacinthtrail/jacinthtrail/internal/peer/grant"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// environment is a fake of everything that a GrantServer uses: its authority, the peers,
// the membership list and the manifest.
type environment struct {
	mu           sync.Mutex
	hasAuthority bool
	// unresponsiveHolders don't answer fence requests.
	unresponsiveHolders map[membership.InstanceID]bool
	holders             map[membership.InstanceID]*slots.Holder
	recalled            []membership.InstanceID
	executor            membership.Instance
	clock               *clockwork.FakeClock
}

var errUnresponsive = errors.New("no answer")

func (env *environment) ExclusiveUntil(now time.Time) (time.Time, bool) {
	return now.Add(time.Second), env.hasAuthority
}

func (env *environment) Holders() []membership.InstanceID { return []membership.InstanceID{"a", "b"} }

func (env *environment) Members() []membership.InstanceID { return env.Holders() }

func (env *environment) Fence(_ context.Context, holder membership.InstanceID, request grant.FenceRequest) (slots.FenceReport, error) {
	env.mu.Lock()
	defer env.mu.Unlock()
	if env.unresponsiveHolders[holder] {
		return slots.FenceReport{}, errUnresponsive
	}
	return env.holders[holder].Fence(env.clock.Now(), request.Epoch)
}

func (env *environment) Recall(_ context.Context, holder membership.InstanceID, request grant.RecallRequest) (grant.RecallAnswer, error) {
	env.mu.Lock()
	defer env.mu.Unlock()
	var answer grant.RecallAnswer
	for _, id := range request.IDs {
		if keep, held := env.holders[holder].Recall(id); held {
			answer.Kept = append(answer.Kept, keep)
		}
	}
	env.recalled = append(env.recalled, holder)
	return answer, nil
}

func (env *environment) Snapshot() membership.Snapshot {
	return membership.Snapshot{Instances: []membership.Instance{env.executor}}
}

func (env *environment) Current() manifest.Published {
	return manifest.Published{Manifest: manifest.Manifest{
		Services: []manifest.Service{{Name: "desk", MaxDuration: manifest.Duration(time.Second)}},
		Limits:   manifest.Limits{ShardsPerZone: 1},
	}}
}

func (env *environment) Add(string, int64) {}

// newTestGrantServer returns a grant server with authority over one executor of 8 slots.
func newTestGrantServer(epoch worker.Epoch) (*GrantServer, *environment) {
	env := &environment{
		hasAuthority: true, clock: clockwork.NewFakeClock(), unresponsiveHolders: map[membership.InstanceID]bool{},
		holders: map[membership.InstanceID]*slots.Holder{"a": slots.NewHolder("a"), "b": slots.NewHolder("b")},
		executor: membership.Instance{
			ID: "executor-1", Kind: membership.Executor, Service: "desk", Zone: "zone-a", Host: "worker-1", Slots: 8, Connections: 8,
		},
	}
	return &GrantServer{
		Shard: worker.ShardID{Zone: "zone-a"}, Epoch: epoch, Authority: env, Peers: env, Membership: env,
		Configuration: env, Counters: env, Clock: env.clock,
	}, env
}

// acquire asks for slots, adds the grants to the holder and returns the number of slots
// granted.
func (env *environment) acquire(s *GrantServer, holder membership.InstanceID, want, waiting int) (int, error) {
	answer, err := s.Acquire(grant.AcquireRequest{Holder: holder, Shard: s.Shard, Wants: []slots.Request{{
		Service: "desk", Want: slots.Amount{Slots: want, Connections: want}, Waiting: waiting,
	}}})
	total := 0
	for _, g := range answer.Grants {
		total += g.Amount.Slots
	}
	if err == nil {
		err = env.holders[holder].AddGrants(env.clock.Now(), answer.Epoch, answer.Grants)
	}
	return total, err
}

// expectRefused checks that the grant server refuses a holder's request.
func (env *environment) expectRefused(s *GrantServer, holder membership.InstanceID) {
	GinkgoHelper()
	_, err := env.acquire(s, holder, 1, 1)
	Expect(err).To(MatchError(ContainSubstring("can't grant slots at the moment")))
}

// expectGranted checks how many slots the grant server grants to a holder.
func (env *environment) expectGranted(s *GrantServer, holder membership.InstanceID, want, waiting, expected int) {
	GinkgoHelper()
	Expect(env.acquire(s, holder, want, waiting)).To(Equal(expected))
}

var _ = Describe("GrantServer", func() {
	// Guards against two owners that grant the same slots.
	It("refuses requests before it has read the membership list and while it has no authority", func() {
		s, env := newTestGrantServer(1)
		env.expectRefused(s, "a")
		env.hasAuthority = false
		s.runOnce(context.Background())
		env.expectRefused(s, "a")
		env.hasAuthority = true
		s.runOnce(context.Background())
		env.expectGranted(s, "a", 1, 1, 1)
		env.hasAuthority = false
		env.expectRefused(s, "a")
	})

	// Guards against a holder that uses grants of the previous owner along with new ones.
	It("refuses only holders that have not answered the fence request", func() {
		s, env := newTestGrantServer(1)
		env.unresponsiveHolders["b"] = true
		s.runOnce(context.Background())
		env.expectRefused(s, "b")
		env.expectGranted(s, "a", 1, 1, 1)
		env.unresponsiveHolders["b"] = false
		s.runOnce(context.Background())
		env.expectGranted(s, "b", 1, 1, 1)
	})

	// Guards against a new owner that grants slots which an unresponsive holder may still
	// have in use.
	It("grants unreported slots only after the grant term and the MaxDuration of a request", func() {
		s, env := newTestGrantServer(2)
		env.unresponsiveHolders["b"] = true
		s.runOnce(context.Background())
		env.expectGranted(s, "a", 4, 4, 0)
		// MaxDuration is 1 s.
		env.clock.Advance(slots.DefaultConfig().DemandTerm + time.Second)
		env.expectGranted(s, "a", 4, 4, 0)
		env.clock.Advance(time.Second)
		env.expectGranted(s, "a", 4, 4, 4)
	})

	// Guards against a holder that keeps more than its share while others wait, and
	// against granting recalled slots that are still in use.
	It("recalls unused slots from a holder with more than its share", func() {
		s, env := newTestGrantServer(1)
		s.runOnce(context.Background())
		env.expectGranted(s, "a", 4, 0, 4)
		_, ok := env.holders["a"].Acquire(env.clock.Now(), []membership.InstanceID{"executor-1"}, false)
		Expect(ok).To(BeTrue())
		env.expectGranted(s, "b", 4, 4, 0)
		s.runOnce(context.Background())
		Expect(env.recalled).To(Equal([]membership.InstanceID{"a"}))
		env.expectGranted(s, "b", 4, 4, 3)
	})

	// Guards against new requests to an executor that is leaving.
	It("recalls the grants of a leaving executor and grants none of its slots", func() {
		s, env := newTestGrantServer(1)
		s.runOnce(context.Background())
		env.expectGranted(s, "a", 2, 1, 2)
		env.executor.State = membership.Leaving
		s.runOnce(context.Background())
		Expect(env.recalled).To(Equal([]membership.InstanceID{"a"}))
		env.expectGranted(s, "a", 1, 1, 0)
		_, ok := env.holders["a"].Acquire(env.clock.Now(), []membership.InstanceID{"executor-1"}, false)
		Expect(ok).To(BeFalse())
	})
})
