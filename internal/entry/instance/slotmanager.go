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
	"github.com/jacinthtrail/jacinthtrail/internal/decision/slots"
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
	// minShortageBackoff and maxShortageBackoff limit the time between requests for more
	// slots while service requests wait for one. The time doubles with each request.
	minShortageBackoff = 10 * time.Millisecond
	maxShortageBackoff = 200 * time.Millisecond
)

// slotManager obtains slot grants from the owners of shards, keeps them in a pool for the
// routing of service requests, and answers fence requests and recalls of the owners.
type slotManager struct {
	*Instance
	router         *service.SlotRouter
	governor       service.AdmissionGovernor
	pool           *routing.SlotPool
	requestTrigger chan struct{}
	// grantsReturned is set when the grants are returned at a planned stop. Until then a
	// draining instance renews them, because its requests and feeds in flight use them.
	grantsReturned atomic.Bool
	// pendingShards has the shards whose owners haven't answered the last request yet.
	pendingShards sync.Map
	inFlight      sync.WaitGroup
}

func newSlotManager(i *Instance) *slotManager {
	m := &slotManager{Instance: i, requestTrigger: make(chan struct{}, 1)}
	m.governor.Clock = i.clock
	m.pool = &routing.SlotPool{
		Self: i.settings.ID, Zone: i.settings.Zone, Region: i.settings.Region,
		Membership: i.membership, Configuration: &i.config, IsOutOfService: i.zones.isOutOfService,
		Counters: i.counters, Clock: i.clock, OnShortage: m.triggerGrantRequests,
	}
	m.router = service.NewSlotRouter(&m.governor, m.pool, i.clock)
	return m
}

func (m *slotManager) triggerGrantRequests() {
	select {
	case m.requestTrigger <- struct{}{}:
	default:
	}
}

// run renews the grants, and requests more of them while service requests wait, until ctx
// ends.
func (m *slotManager) run(ctx context.Context) error {
	defer m.inFlight.Wait()
	renew := m.clock.NewTicker(renewInterval)
	defer renew.Stop()
	backoff := minShortageBackoff
	for {
		m.pool.ExpireGrants()
		m.requestGrants(ctx)
		var retry <-chan time.Time
		if m.pool.HasShortages() {
			retry = m.clock.After(backoff)
			backoff = min(2*backoff, maxShortageBackoff)
		} else {
			backoff = minShortageBackoff
		}
		trigger := m.requestTrigger
		if retry != nil {
			// The next request is scheduled already; triggers must not bypass the backoff.
			trigger = nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-renew.Chan():
		case <-retry:
		case <-trigger:
		}
	}
}

// requestGrants requests grants from the owners of the shards. It skips owners that haven't
// answered the last request yet and doesn't wait for answers, so that an unreachable owner
// doesn't delay the requests to the others.
func (m *slotManager) requestGrants(ctx context.Context) {
	if m.grantsReturned.Load() {
		return
	}
	for _, id := range m.pool.ShardsToAsk() {
		if _, pending := m.pendingShards.LoadOrStore(id, true); pending {
			continue
		}
		m.inFlight.Go(func() {
			defer m.pendingShards.Delete(id)
			m.requestGrantsFrom(ctx, id)
		})
	}
}

// requestGrantsFrom requests grants from the owner of a shard and applies the answer.
func (m *slotManager) requestGrantsFrom(ctx context.Context, id worker.ShardID) {
	sent := m.clock.Now()
	answer, err := m.sendAcquireRequest(ctx, m.pool.NewAcquireRequest(id))
	if err != nil {
		m.counters.Add("Slots.AcquireFailed", 1)
		m.pool.RequestFailed(id)
		return
	}
	if m.pool.HandleAnswer(id, sent, answer) {
		m.serveWaiting()
	}
	m.pool.UpdateShortages(m.waitingCount)
}

// serveWaiting makes the router assign new slots to the service requests that wait.
func (m *slotManager) serveWaiting() {
	for _, declared := range m.config.Current().Manifest.Services {
		m.router.ServeWaiting(declared.Name)
	}
}

// waitingCount returns the number of requests of a service that wait for a slot.
func (m *slotManager) waitingCount(name string) (count int) {
	m.governor.WithState(manifest.ServiceName(name), func(_ time.Time, state *admission.Controller) { count = state.WaitingCount() })
	return count
}

// sendAcquireRequest sends a request for grants to the owner of its shard, which may be
// this instance.
func (m *slotManager) sendAcquireRequest(ctx context.Context, request grant.AcquireRequest) (grant.AcquireAnswer, error) {
	owner, address := m.findOwner(request.Shard)
	if owner != nil {
		return owner.grantServer.Acquire(request)
	}
	if address == "" {
		return grant.AcquireAnswer{}, fmt.Errorf("the owner of %s is unknown", request.Shard)
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	return entry.Call[grant.AcquireRequest, grant.AcquireAnswer](ctx, m.peerClient, address, grant.MethodAcquire, request)
}

// findOwner returns the shard if it runs on this instance. Otherwise it returns the peer
// address of the instance that reports the shard at the highest epoch, or an empty address
// if there is none.
func (m *slotManager) findOwner(id worker.ShardID) (*runningShard, string) {
	for _, running := range m.runningShards() {
		if running.ID == id {
			return running, ""
		}
	}
	var address string
	var highest worker.Epoch
	for _, peer := range m.peers.List() {
		for _, report := range peer.Shards {
			if report.Shard == id && report.Epoch > highest {
				highest, address = report.Epoch, peer.Instance.Address
			}
		}
	}
	return nil, address
}

func (m *slotManager) registerMethods() {
	entry.Handle(m.peerServer, grant.MethodAcquire, func(_ context.Context, request grant.AcquireRequest) (grant.AcquireAnswer, error) {
		if owner, _ := m.findOwner(request.Shard); owner != nil {
			return owner.grantServer.Acquire(request)
		}
		return grant.AcquireAnswer{}, entry.Errorf(entry.CodeNotOwner, "this instance does not own %s", request.Shard)
	})
	entry.Handle(m.peerServer, grant.MethodFence, func(_ context.Context, request grant.FenceRequest) (slots.FenceReport, error) {
		report, err := m.pool.Fence(request)
		if err != nil {
			return report, entry.Errorf(entry.CodeStaleEpoch, "%v", err)
		}
		return report, nil
	})
	entry.Handle(m.peerServer, grant.MethodRecall, func(_ context.Context, request grant.RecallRequest) (grant.RecallAnswer, error) {
		return m.recall(request), nil
	})
}

// recall returns grants to an owner and requests others at once, since the instance may be
// left without any slot.
func (m *slotManager) recall(request grant.RecallRequest) grant.RecallAnswer {
	defer m.triggerGrantRequests()
	return m.pool.Recall(request)
}

// returnAll returns the unused grants to their owners at a planned stop.
func (m *slotManager) returnAll(ctx context.Context) {
	m.grantsReturned.Store(true)
	for _, request := range m.pool.ReturnAll() {
		if _, err := m.sendAcquireRequest(ctx, request); err != nil {
			m.counters.Add("Slots.ReturnFailed", 1)
		}
	}
}

// grantHolderPeers implements lending.Peers: it calls the holders of grants, either this
// instance directly or a peer over its connection.
type grantHolderPeers struct {
	*Instance
}

// Holders returns this instance and its peers.
func (p grantHolderPeers) Holders() []membership.InstanceID {
	ids := []membership.InstanceID{p.settings.ID}
	for _, peer := range p.peers.List() {
		ids = append(ids, peer.Instance.ID)
	}
	return ids
}

// Members returns the member set of the zone, sorted.
func (p grantHolderPeers) Members() []membership.InstanceID {
	p.ownership.mu.Lock()
	defer p.ownership.mu.Unlock()
	var ids []membership.InstanceID
	for _, member := range p.ownership.zoneView.Members().Members {
		ids = append(ids, member.ID)
	}
	slices.Sort(ids)
	return ids
}

// Fence tells a holder the epoch of a new owner and returns the grants that it holds.
func (p grantHolderPeers) Fence(ctx context.Context, holder membership.InstanceID, request grant.FenceRequest) (slots.FenceReport, error) {
	if holder == p.settings.ID {
		return p.slotManager.pool.Fence(request)
	}
	return callPeer[grant.FenceRequest, slots.FenceReport](ctx, p, holder, grant.MethodFence, request)
}

// Recall takes grants back from a holder and returns the amounts that stay in use.
func (p grantHolderPeers) Recall(ctx context.Context, holder membership.InstanceID, request grant.RecallRequest) (grant.RecallAnswer, error) {
	if holder == p.settings.ID {
		return p.slotManager.recall(request), nil
	}
	return callPeer[grant.RecallRequest, grant.RecallAnswer](ctx, p, holder, grant.MethodRecall, request)
}

func callPeer[Req, Resp any](ctx context.Context, p grantHolderPeers, id membership.InstanceID, method string, request Req) (Resp, error) {
	peer, known := p.peers.Get(id)
	if !known {
		var zero Resp
		return zero, fmt.Errorf("entry instance %s is unknown", id)
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	return entry.Call[Req, Resp](ctx, p.peerClient, peer.Instance.Address, method, request)
}

// serviceHandler returns the HTTP handler of service requests.
func (i *Instance) serviceHandler() *service.Handler {
	return service.NewHandler(service.Config{
		SlotSource: i.slotManager.router,
		Sender:     routing.Sender{Client: &executor.Client{Clock: i.clock}},
		Manifests:  &i.config,
		Governor:   &i.slotManager.governor,
		Keys:       service.KeyRouter{Tickets: i.ticketClaimer(), CallerKeys: i.claims},
		Counters:   i.counters,
		Recorder:   decisionRecorder{i},
		Clock:      i.clock,
	})
}

// Record records a decision about a service request for Explain.
func (r decisionRecorder) Record(decision service.Decision) {
	r.explanations.Add(control.Request, decision.Request, control.Event{
		At: decision.Time.UTC(), Instance: r.settings.ID, What: decision.Action, Reason: string(decision.Reason),
		Manifest: decision.Manifest, Facts: decision.Facts,
	})
}
