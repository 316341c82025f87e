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
	// maxWant bounds the slots that one request for grants asks for.
	maxWant = 64
	// spareSlots is what an idle demand grant keeps beyond what is in use, so that the
	// next request finds a slot.
	spareSlots = 1
	// answerPatience is how long an owner may take to answer before requests no longer
	// wait for its answer.
	answerPatience = 500 * time.Millisecond
)

// Request returns what to ask the owner of a shard for. Demand grants that the
// present load doesn't need go back with it.
func (h *Holdings) Request(id worker.ShardID) grant.AcquireRequest {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.Clock.Now()
	holder := h.holder(id)
	if len(h.wants) == 0 {
		holder.TrimDemand(grants.Amount{Slots: spareSlots, Connections: spareSlots})
	}
	holder.TrimUnpaired()
	h.asked[id] = now
	request := grant.AcquireRequest{
		Holder: h.Self, Shard: id, Base: id.Zone == h.Zone,
		Renewals: holder.Renewals(now),
	}
	for name, w := range h.wants {
		if !h.serves(id, name) {
			continue
		}
		count := min(w.waiting, maxWant)
		request.Wants = append(request.Wants, grants.Request{
			Service: string(name), Waiting: w.waiting,
			Want: grants.Amount{Slots: count, Connections: count},
		})
	}
	return request
}

// serves reports whether a shard has executors of a service. The lock is held.
func (h *Holdings) serves(id worker.ShardID, name manifest.ServiceName) bool {
	return slices.ContainsFunc(h.targets[name], func(t target) bool { return t.shard == id })
}

// Asked reports whether the owner of a shard with executors of a service was asked for
// slots a moment ago and has not answered yet.
func (h *Holdings) Asked(name manifest.ServiceName) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.refresh()
	now := h.Clock.Now()
	for id, since := range h.asked {
		if now.Sub(since) < answerPatience && h.serves(id, name) {
			return true
		}
	}
	return false
}

// Unanswered notes that no answer will come to the last request to the owner of a shard.
func (h *Holdings) Unanswered(id worker.ShardID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.asked, id)
}

// Answered takes in the answer to a request that was sent at a time. It reports
// whether new grants came.
func (h *Holdings) Answered(id worker.ShardID, sent time.Time, answer grant.AcquireAnswer) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	holder := h.holder(id)
	delete(h.asked, id)
	if holder.Renewed(sent, answer.Epoch, answer.Renewed) != nil || holder.Granted(sent, answer.Epoch, answer.Grants) != nil {
		h.Counters.Add("Slots.StaleEpoch", 1)
		return false
	}
	h.granted = h.granted || len(answer.Grants) > 0
	return len(answer.Grants) > 0
}

// HasGranted reports whether any slots were ever granted.
func (h *Holdings) HasGranted() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.granted
}

// ClearWants forgets the wants that all asked owners have answered. A want that is
// still there arises again with the next look at the queue.
//
// stillWaiting is called without the lock: it takes the lock of the admission state,
// under which Candidates is called.
func (h *Holdings) ClearWants(stillWaiting func(service string) int) {
	for name, seen := range h.currentWants() {
		waiting := stillWaiting(string(name))
		h.clearWant(name, seen, waiting)
	}
}

func (h *Holdings) currentWants() map[manifest.ServiceName]want {
	h.mu.Lock()
	defer h.mu.Unlock()
	return maps.Clone(h.wants)
}

// clearWant updates a want, unless it was raised again since it was seen.
func (h *Holdings) clearWant(name manifest.ServiceName, seen want, waiting int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	w, known := h.wants[name]
	if !known || w.raised != seen.raised {
		return
	}
	if w.waiting = waiting; waiting == 0 {
		delete(h.wants, name)
		return
	}
	h.wants[name] = w
}

// HasWants reports whether a request waits for a slot.
func (h *Holdings) HasWants() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.wants) > 0
}

// Fence takes in a new owner and returns what this instance holds.
func (h *Holdings) Fence(request grant.FenceRequest) (grants.FenceReport, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.holder(request.Shard).Fence(h.Clock.Now(), request.Epoch)
}

// Recall gives grants back early and returns what is kept of them.
func (h *Holdings) Recall(request grant.RecallRequest) grant.RecallAnswer {
	h.mu.Lock()
	defer h.mu.Unlock()
	var answer grant.RecallAnswer
	for _, id := range request.IDs {
		if keep, held := h.holder(request.Shard).Recall(id); held {
			answer.Kept = append(answer.Kept, keep)
		}
	}
	return answer
}

// Tick ends what is over: abandoned requests after their longest time, grants that
// ran out, and feeds under such grants.
func (h *Holdings) Tick() {
	for _, end := range h.tick() {
		end()
	}
}

// tick returns what to call without the lock.
func (h *Holdings) tick() []func() {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.Clock.Now()
	var ends []func()
	for _, holder := range h.holders {
		for _, use := range holder.ExpiredFeeds(now) {
			if end, known := h.revocations[use]; known {
				h.Counters.Add("Slots.FeedRevoked", 1)
				delete(h.revocations, use)
				ends = append(ends, end)
			}
		}
		if overdue := holder.Tick(now); len(overdue) > 0 {
			h.Counters.Add("Slots.Overdue", int64(len(overdue)))
		}
	}
	return ends
}

// ReturnAll gives every grant back but for what is in use, and returns what to tell
// the owners.
func (h *Holdings) ReturnAll() []grant.AcquireRequest {
	h.mu.Lock()
	defer h.mu.Unlock()
	var requests []grant.AcquireRequest
	for id, holder := range h.holders {
		if returns := holder.ReturnAll(); len(returns) > 0 {
			requests = append(requests, grant.AcquireRequest{Holder: h.Self, Shard: id, Renewals: returns})
		}
	}
	return requests
}
