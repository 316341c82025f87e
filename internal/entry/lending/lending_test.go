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

// zone has what an Owner asks: its authority, its peers, the list and the manifest.
type zone struct {
	mu        sync.Mutex
	authority bool
	// silent holders don't answer.
	silent   map[membership.InstanceID]bool
	holders  map[membership.InstanceID]*slots.Holder
	recalled []membership.InstanceID
	executor membership.Instance
	clock    *clockwork.FakeClock
}

var errSilent = errors.New("no answer")

func (z *zone) Exclusive(now time.Time) (time.Time, bool) { return now.Add(time.Second), z.authority }

func (z *zone) Holders() []membership.InstanceID { return []membership.InstanceID{"a", "b"} }

func (z *zone) Members() []membership.InstanceID { return z.Holders() }

func (z *zone) Fence(_ context.Context, holder membership.InstanceID, request grant.FenceRequest) (slots.FenceReport, error) {
	z.mu.Lock()
	defer z.mu.Unlock()
	if z.silent[holder] {
		return slots.FenceReport{}, errSilent
	}
	return z.holders[holder].Fence(z.clock.Now(), request.Epoch)
}

func (z *zone) Recall(_ context.Context, holder membership.InstanceID, request grant.RecallRequest) (grant.RecallAnswer, error) {
	z.mu.Lock()
	defer z.mu.Unlock()
	var answer grant.RecallAnswer
	for _, id := range request.IDs {
		if keep, held := z.holders[holder].Recall(id); held {
			answer.Kept = append(answer.Kept, keep)
		}
	}
	z.recalled = append(z.recalled, holder)
	return answer, nil
}

func (z *zone) Snapshot() membership.Snapshot {
	return membership.Snapshot{Instances: []membership.Instance{z.executor}}
}

func (z *zone) Current() manifest.Published {
	return manifest.Published{Manifest: manifest.Manifest{
		Services: []manifest.Service{{Name: "desk", MaxDuration: manifest.Duration(time.Second)}},
		Limits:   manifest.Limits{ShardsPerZone: 1},
	}}
}

func (z *zone) Add(string, int64) {}

// newTestOwner returns an owner with authority over one executor of 8 slots.
func newTestOwner(epoch worker.Epoch) (*Owner, *zone) {
	z := &zone{
		authority: true, clock: clockwork.NewFakeClock(), silent: map[membership.InstanceID]bool{},
		holders: map[membership.InstanceID]*slots.Holder{"a": slots.NewHolder("a"), "b": slots.NewHolder("b")},
		executor: membership.Instance{
			ID: "executor-1", Kind: membership.Executor, Service: "desk", Zone: "zone-a", Host: "worker-1", Slots: 8, Connections: 8,
		},
	}
	return &Owner{
		Shard: worker.ShardID{Zone: "zone-a"}, Epoch: epoch, Authority: z, Peers: z, Membership: z,
		Configuration: z, Counters: z, Clock: z.clock,
	}, z
}

// acquire asks for slots and lets the holder take them in.
func (z *zone) acquire(o *Owner, holder membership.InstanceID, want, waiting int) (int, error) {
	answer, err := o.Acquire(grant.AcquireRequest{Holder: holder, Shard: o.Shard, Wants: []slots.Request{{
		Service: "desk", Want: slots.Amount{Slots: want, Connections: want}, Waiting: waiting,
	}}})
	total := 0
	for _, g := range answer.Grants {
		total += g.Amount.Slots
	}
	if err == nil {
		err = z.holders[holder].Granted(z.clock.Now(), answer.Epoch, answer.Grants)
	}
	return total, err
}

// expectRefused checks that the owner lends nothing to a holder.
func (z *zone) expectRefused(o *Owner, holder membership.InstanceID) {
	GinkgoHelper()
	_, err := z.acquire(o, holder, 1, 1)
	Expect(err).To(MatchError(ContainSubstring("does not lend now")))
}

// expectGranted checks how many slots the owner lends to a holder.
func (z *zone) expectGranted(o *Owner, holder membership.InstanceID, want, waiting, expected int) {
	GinkgoHelper()
	Expect(z.acquire(o, holder, want, waiting)).To(Equal(expected))
}

var _ = Describe("Owner", func() {
	// Guards against two owners that lend the same slots.
	It("refuses before its first look, and whenever it has no authority", func() {
		o, z := newTestOwner(1)
		z.expectRefused(o, "a")
		z.authority = false
		o.step(context.Background())
		z.expectRefused(o, "a")
		z.authority = true
		o.step(context.Background())
		z.expectGranted(o, "a", 1, 1, 1)
		z.authority = false
		z.expectRefused(o, "a")
	})

	// Guards against a holder that uses grants of the earlier owner beside new ones.
	It("refuses a holder that has not answered the fence, and no other", func() {
		o, z := newTestOwner(1)
		z.silent["b"] = true
		o.step(context.Background())
		z.expectRefused(o, "b")
		z.expectGranted(o, "a", 1, 1, 1)
		z.silent["b"] = false
		o.step(context.Background())
		z.expectGranted(o, "b", 1, 1, 1)
	})

	// Guards against a successor that lends what a silent holder may have in use.
	It("lends what nobody reported only after the term and the longest request", func() {
		o, z := newTestOwner(2)
		z.silent["b"] = true
		o.step(context.Background())
		z.expectGranted(o, "a", 4, 4, 0)
		// The longest request is 1 s.
		z.clock.Advance(slots.DefaultTerms().Grant + time.Second)
		z.expectGranted(o, "a", 4, 4, 0)
		z.clock.Advance(time.Second)
		z.expectGranted(o, "a", 4, 4, 4)
	})

	// Guards against a holder that keeps more than its share while others wait, and
	// against recalled slots that are lent while they are in use.
	It("recalls from a holder with more than its share, but for what is in use", func() {
		o, z := newTestOwner(1)
		o.step(context.Background())
		z.expectGranted(o, "a", 4, 0, 4)
		_, ok := z.holders["a"].Take(z.clock.Now(), []membership.InstanceID{"executor-1"}, false)
		Expect(ok).To(BeTrue())
		z.expectGranted(o, "b", 4, 4, 0)
		o.step(context.Background())
		Expect(z.recalled).To(Equal([]membership.InstanceID{"a"}))
		z.expectGranted(o, "b", 4, 4, 3)
	})

	// Guards against new requests to an executor that is leaving.
	It("recalls what it lent of a leaving executor and lends no more", func() {
		o, z := newTestOwner(1)
		o.step(context.Background())
		z.expectGranted(o, "a", 2, 1, 2)
		z.executor.State = membership.Leaving
		o.step(context.Background())
		Expect(z.recalled).To(Equal([]membership.InstanceID{"a"}))
		z.expectGranted(o, "a", 1, 1, 0)
		_, ok := z.holders["a"].Take(z.clock.Now(), []membership.InstanceID{"executor-1"}, false)
		Expect(ok).To(BeFalse())
	})
})
