package routing

import (
	"maps"
	"slices"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
	grants "github.com/jacinthtrail/jacinthtrail/internal/decision/slots"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/manifest"
	"github.com/jacinthtrail/jacinthtrail/internal/peer/grant"
)

const (
	// maxRequestedSlots limits the slots that one request to an owner asks for.
	maxRequestedSlots = 64
	// spareSlots is the number of free slots that a demand grant keeps while no service
	// is short of slots, so that the next request doesn't have to wait for a grant.
	spareSlots = 1
	// answerTimeout is how long requests wait for an owner's answer.
	answerTimeout = 500 * time.Millisecond
)

// NewAcquireRequest returns the request for grants to send to the owner of a shard. The
// request also gives back demand grants that aren't needed at the current load.
func (p *SlotPool) NewAcquireRequest(id worker.ShardID) grant.AcquireRequest {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	holder := p.holder(id)
	if len(p.shortages) == 0 {
		holder.TrimDemand(grants.Amount{Slots: spareSlots, Connections: spareSlots})
	}
	holder.TrimUnpaired()
	p.pendingSince[id] = now
	request := grant.AcquireRequest{
		Holder: p.Self, Shard: id, Base: id.Zone == p.Zone,
		Renewals: holder.Renewals(now),
	}
	for name, current := range p.shortages {
		if !p.shardServes(id, name) {
			continue
		}
		count := min(current.waiting, maxRequestedSlots)
		request.Wants = append(request.Wants, grants.Request{
			Service: string(name), Waiting: current.waiting,
			Want: grants.Amount{Slots: count, Connections: count},
		})
	}
	return request
}

// shardServes reports whether a shard has executors of a service. The caller must hold p.mu.
func (p *SlotPool) shardServes(id worker.ShardID, name manifest.ServiceName) bool {
	return slices.ContainsFunc(p.targets[name], func(t target) bool { return t.shard == id })
}

// RequestPending reports whether an owner of a shard with executors of a service was asked for
// slots within the last answerTimeout and hasn't answered yet.
func (p *SlotPool) RequestPending(name manifest.ServiceName) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refresh()
	now := p.Clock.Now()
	for id, since := range p.pendingSince {
		if now.Sub(since) < answerTimeout && p.shardServes(id, name) {
			return true
		}
	}
	return false
}

// RequestFailed records that the last request to the owner of a shard failed.
func (p *SlotPool) RequestFailed(id worker.ShardID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pendingSince, id)
}

// HandleAnswer applies an owner's answer to a request sent at the given time. It reports
// whether the answer contains new grants.
func (p *SlotPool) HandleAnswer(id worker.ShardID, sent time.Time, answer grant.AcquireAnswer) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	holder := p.holder(id)
	delete(p.pendingSince, id)
	if holder.ExtendGrants(sent, answer.Epoch, answer.Renewed) != nil || holder.AddGrants(sent, answer.Epoch, answer.Grants) != nil {
		p.Counters.Add("Slots.StaleEpoch", 1)
		return false
	}
	p.everGranted = p.everGranted || len(answer.Grants) > 0
	return len(answer.Grants) > 0
}

// HasGranted reports whether this instance has ever been granted slots.
func (p *SlotPool) HasGranted() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.everGranted
}

// UpdateShortages sets the recorded shortages to the number of requests that still wait,
// and removes those without any. A shortage reported during the call is left unchanged.
//
// stillWaiting is called without holding the pool's lock: it locks the admission state,
// under whose lock Candidates is called.
func (p *SlotPool) UpdateShortages(stillWaiting func(service string) int) {
	for name, before := range p.currentShortages() {
		waiting := stillWaiting(string(name))
		p.updateShortage(name, before, waiting)
	}
}

func (p *SlotPool) currentShortages() map[manifest.ServiceName]shortage {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.shortages)
}

// updateShortage sets the number of waiting requests of a shortage, unless the shortage
// was reported again since it was read.
func (p *SlotPool) updateShortage(name manifest.ServiceName, before shortage, waiting int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	current, known := p.shortages[name]
	if !known || current.reports != before.reports {
		return
	}
	if current.waiting = waiting; waiting == 0 {
		delete(p.shortages, name)
		return
	}
	p.shortages[name] = current
}

// HasShortages reports whether any service is short of slots.
func (p *SlotPool) HasShortages() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.shortages) > 0
}

// Fence accepts the epoch of a new owner and returns the grants that this instance holds.
func (p *SlotPool) Fence(request grant.FenceRequest) (grants.FenceReport, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.holder(request.Shard).Fence(p.Clock.Now(), request.Epoch)
}

// Recall returns grants before they expire, and reports the amounts that stay in use.
func (p *SlotPool) Recall(request grant.RecallRequest) grant.RecallAnswer {
	p.mu.Lock()
	defer p.mu.Unlock()
	var answer grant.RecallAnswer
	for _, id := range request.IDs {
		if keep, held := p.holder(request.Shard).Recall(id); held {
			answer.Kept = append(answer.Kept, keep)
		}
	}
	return answer
}

// ExpireGrants removes expired grants, ends the feeds under them and releases the slots
// of abandoned requests once the service's MaxDuration has passed.
func (p *SlotPool) ExpireGrants() {
	for _, revoke := range p.expireGrants() {
		revoke()
	}
}

// expireGrants does the work of ExpireGrants, except that it returns the functions that end
// the feeds, which must be called without holding p.mu.
func (p *SlotPool) expireGrants() []func() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	var revokes []func()
	for _, holder := range p.holders {
		for _, use := range holder.ExpiredFeeds(now) {
			if revoke, known := p.revokeFuncs[use]; known {
				p.Counters.Add("Slots.FeedRevoked", 1)
				delete(p.revokeFuncs, use)
				revokes = append(revokes, revoke)
			}
		}
		if overdue := holder.Tick(now); len(overdue) > 0 {
			p.Counters.Add("Slots.Overdue", int64(len(overdue)))
		}
	}
	return revokes
}

// ReturnAll returns every grant except for what is in use. It returns the requests to
// send to the owners.
func (p *SlotPool) ReturnAll() []grant.AcquireRequest {
	p.mu.Lock()
	defer p.mu.Unlock()
	var requests []grant.AcquireRequest
	for id, holder := range p.holders {
		if returns := holder.ReturnAll(); len(returns) > 0 {
			requests = append(requests, grant.AcquireRequest{Holder: p.Self, Shard: id, Renewals: returns})
		}
	}
	return requests
}
