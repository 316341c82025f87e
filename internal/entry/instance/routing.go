package instance

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/executor"
	"github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
	"github.com/jacinthtrail/jacinthtrail/internal/caller/service"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/admission"
	grants "github.com/jacinthtrail/jacinthtrail/internal/decision/slots"
	"github.com/jacinthtrail/jacinthtrail/internal/entry/routing"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/control"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/manifest"
	"github.com/jacinthtrail/jacinthtrail/internal/peer/entry"
	"github.com/jacinthtrail/jacinthtrail/internal/peer/grant"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

const (
	// renewInterval is the time between renewals of grants.
	renewInterval = time.Second
	// wantBackoff and maxWantBackoff bound the time between requests for more slots
	// while requests wait.
	wantBackoff    = 10 * time.Millisecond
	maxWantBackoff = 200 * time.Millisecond
)

// slots is the instance's part of the routing of service requests: it keeps grants
// in hand and serves owners that ask for them.
type slots struct {
	*Instance
	router   *service.Router
	governor service.AdmissionGovernor
	holdings *routing.SlotPool
	kicked   chan struct{}
	// returned is set once the grants were given back. Until then a stopping instance
	// renews them, since its requests and feeds in flight use them.
	returned atomic.Bool
	// asked holds the shards whose owners have not answered yet.
	asked     sync.Map
	exchanges sync.WaitGroup
}

func newSlots(i *Instance) *slots {
	s := &slots{Instance: i, kicked: make(chan struct{}, 1)}
	s.governor.Clock = i.clock
	s.holdings = &routing.SlotPool{
		Self: i.settings.ID, Zone: i.settings.Zone, Region: i.settings.Region,
		Membership: i.members, Configuration: &i.config, IsOutOfService: i.zones.isOut,
		Counters: i.counters, Clock: i.clock, OnShortage: s.kickGrants,
	}
	s.router = service.NewRouter(&s.governor, s.holdings, i.clock)
	return s
}

func (s *slots) kickGrants() {
	select {
	case s.kicked <- struct{}{}:
	default:
	}
}

// run renews grants and asks for more while requests wait, until ctx ends.
func (s *slots) run(ctx context.Context) error {
	defer s.exchanges.Wait()
	renew := s.clock.NewTicker(renewInterval)
	defer renew.Stop()
	backoff := wantBackoff
	for {
		s.holdings.ExpireGrants()
		s.exchangeAll(ctx)
		var again <-chan time.Time
		if s.holdings.HasShortages() {
			again = s.clock.After(backoff)
			backoff = min(2*backoff, maxWantBackoff)
		} else {
			backoff = wantBackoff
		}
		kicked := s.kicked
		if again != nil {
			// The next request is under way already; more kicks must not hurry it.
			kicked = nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-renew.Chan():
		case <-again:
		case <-kicked:
		}
	}
}

// exchangeAll asks the owners of the shards for grants, but for those that have not
// answered the last request yet: an owner that can't be reached must not hold up the
// requests to the others.
func (s *slots) exchangeAll(ctx context.Context) {
	if s.returned.Load() {
		return
	}
	for _, id := range s.holdings.ShardsToAsk() {
		if _, asked := s.asked.LoadOrStore(id, true); asked {
			continue
		}
		s.exchanges.Go(func() {
			defer s.asked.Delete(id)
			s.exchange(ctx, id)
		})
	}
}

// exchange asks the owner of a shard for grants.
func (s *slots) exchange(ctx context.Context, id worker.ShardID) {
	sent := s.clock.Now()
	answer, err := s.acquire(ctx, s.holdings.NewAcquireRequest(id))
	if err != nil {
		s.counters.Add("Slots.AcquireFailed", 1)
		s.holdings.RequestFailed(id)
		return
	}
	if s.holdings.HandleAnswer(id, sent, answer) {
		s.serveWaiting()
	}
	s.holdings.UpdateShortages(s.waiting)
}

// serveWaiting serves requests that wait for slots.
func (s *slots) serveWaiting() {
	for _, declared := range s.config.Current().Manifest.Services {
		s.router.Changed(declared.Name)
	}
}

// waiting returns the number of requests of a service that wait for a slot.
func (s *slots) waiting(name string) (count int) {
	s.governor.With(manifest.ServiceName(name), func(_ time.Time, state *admission.Service) { count = state.Waiting() })
	return count
}

// acquire sends a request to the owner of its shard.
func (s *slots) acquire(ctx context.Context, request grant.AcquireRequest) (grant.AcquireAnswer, error) {
	owner, address := s.findOwner(request.Shard)
	if owner != nil {
		return owner.lending.Acquire(request)
	}
	if address == "" {
		return grant.AcquireAnswer{}, fmt.Errorf("no owner of %s is known", request.Shard)
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	return entry.Call[grant.AcquireRequest, grant.AcquireAnswer](ctx, s.client, address, grant.MethodAcquire, request)
}

// findOwner returns the shard if it runs here, else the peer address of the instance
// that reports the highest epoch.
func (s *slots) findOwner(id worker.ShardID) (*runningShard, string) {
	for _, running := range s.runningShards() {
		if running.ID == id {
			return running, ""
		}
	}
	var address string
	var highest worker.Epoch
	for _, peer := range s.peers.List() {
		for _, report := range peer.Shards {
			if report.Shard == id && report.Epoch > highest {
				highest, address = report.Epoch, peer.Instance.Address
			}
		}
	}
	return nil, address
}

func (s *slots) registerMethods() {
	entry.Handle(s.server, grant.MethodAcquire, func(_ context.Context, request grant.AcquireRequest) (grant.AcquireAnswer, error) {
		if owner, _ := s.findOwner(request.Shard); owner != nil {
			return owner.lending.Acquire(request)
		}
		return grant.AcquireAnswer{}, entry.Errorf(entry.CodeNotOwner, "%s is not owned here", request.Shard)
	})
	entry.Handle(s.server, grant.MethodFence, func(_ context.Context, request grant.FenceRequest) (grants.FenceReport, error) {
		report, err := s.holdings.Fence(request)
		if err != nil {
			return report, entry.Errorf(entry.CodeStaleEpoch, "%v", err)
		}
		return report, nil
	})
	entry.Handle(s.server, grant.MethodRecall, func(_ context.Context, request grant.RecallRequest) (grant.RecallAnswer, error) {
		return s.recall(request), nil
	})
}

// recall gives grants back and asks for others at once, since what is left may be
// no slot at all.
func (s *slots) recall(request grant.RecallRequest) grant.RecallAnswer {
	defer s.kickGrants()
	return s.holdings.Recall(request)
}

// returnAll gives the grants back at a planned stop.
func (s *slots) returnAll(ctx context.Context) {
	s.returned.Store(true)
	for _, request := range s.holdings.ReturnAll() {
		if _, err := s.acquire(ctx, request); err != nil {
			s.counters.Add("Slots.ReturnFailed", 1)
		}
	}
}

// lendingPeers reaches the holders of grants for the lending owner.
type lendingPeers struct {
	*Instance
}

// Holders lists this instance and its peers.
func (p lendingPeers) Holders() []membership.InstanceID {
	ids := []membership.InstanceID{p.settings.ID}
	for _, peer := range p.peers.List() {
		ids = append(ids, peer.Instance.ID)
	}
	return ids
}

// Members lists the member set of the zone.
func (p lendingPeers) Members() []membership.InstanceID {
	p.owned.mu.Lock()
	defer p.owned.mu.Unlock()
	var ids []membership.InstanceID
	for _, member := range p.owned.group.Members().Members {
		ids = append(ids, member.ID)
	}
	slices.Sort(ids)
	return ids
}

// Fence tells a holder about a new owner and returns what it holds.
func (p lendingPeers) Fence(ctx context.Context, holder membership.InstanceID, request grant.FenceRequest) (grants.FenceReport, error) {
	if holder == p.settings.ID {
		return p.slots.holdings.Fence(request)
	}
	return callPeer[grant.FenceRequest, grants.FenceReport](ctx, p, holder, grant.MethodFence, request)
}

// Recall takes grants back from a holder.
func (p lendingPeers) Recall(ctx context.Context, holder membership.InstanceID, request grant.RecallRequest) (grant.RecallAnswer, error) {
	if holder == p.settings.ID {
		return p.slots.recall(request), nil
	}
	return callPeer[grant.RecallRequest, grant.RecallAnswer](ctx, p, holder, grant.MethodRecall, request)
}

func callPeer[Req, Resp any](ctx context.Context, p lendingPeers, id membership.InstanceID, method string, request Req) (Resp, error) {
	peer, known := p.peers.Get(id)
	if !known {
		var none Resp
		return none, fmt.Errorf("entry instance %s is not known", id)
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	return entry.Call[Req, Resp](ctx, p.client, peer.Instance.Address, method, request)
}

// serviceHandler returns the handler of service requests.
func (i *Instance) serviceHandler() *service.Handler {
	return service.NewHandler(service.Config{
		Slots:     i.slots.router,
		Sender:    routing.Sender{Client: &executor.Client{Clock: i.clock}},
		Manifests: &i.config,
		Governor:  &i.slots.governor,
		Keys:      service.KeyRouter{Tickets: i.ticketClaimer(), CallerMade: i.claims},
		Counters:  i.counters,
		Recorder:  recorder{i},
		Clock:     i.clock,
	})
}

// Record keeps a decision about a service request for Explain.
func (r recorder) Record(d service.Decision) {
	r.explanations.Add(control.Request, d.Request, control.Event{
		At: d.Time.UTC(), Instance: r.settings.ID, What: d.Action, Reason: string(d.Reason),
		Manifest: d.Manifest, Facts: d.Facts,
	})
}
