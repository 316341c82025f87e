package dispatcher

import (
	"context"
	"sync"
	"time"
)

const (
	// probeTimeout limits a probe of the store.
	probeTimeout = 400 * time.Millisecond
	// probeMaxAge is how long the result of a probe is valid.
	probeMaxAge = 700 * time.Millisecond
)

// storeProbe checks whether this instance can reach the store when an owner that can't
// reach it asks for confirmation. Other calls would show this too late: watches wait
// for seconds, and calls to a store that doesn't answer must first time out. The zero
// value has no result.
type storeProbe struct {
	lock    sync.Mutex
	running bool
	failed  bool
	endedAt time.Time
}

// begin reports whether the caller should send a probe. If so, it must call end
// afterwards.
func (p *storeProbe) begin() bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.running {
		return false
	}
	p.running = true
	return true
}

func (p *storeProbe) end(now time.Time, failed bool) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.running, p.failed, p.endedAt = false, failed, now
}

// unreachable reports whether the last probe failed within probeMaxAge.
func (p *storeProbe) unreachable(now time.Time) bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.failed && now.Sub(p.endedAt) <= probeMaxAge
}

// canClaim reports whether this instance may be able to reach the store. It also probes
// the store in the background for the next request.
func (n *Node) canClaim() bool {
	if n.probe.begin() {
		n.background(func(context.Context) error {
			ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
			defer cancel()
			_, err := n.store.Read(ctx, layoutKey)
			n.probe.end(n.Clock.Now(), err != nil)
			return nil
		})
	}
	return !n.probe.unreachable(n.Clock.Now())
}

// keepCallingStore calls the store in the background if this instance hasn't called it for half of
// the bound for changes, so that an instance that reads the operator's rows from another one
// also finds out that the store is lost.
func (n *Node) keepCallingStore() {
	if n.Clock.Now().Sub(n.store.lastCallAt()) <= n.changeBound()/2 || !n.callingStore.CompareAndSwap(false, true) {
		return
	}
	n.background(func(ctx context.Context) error {
		defer n.callingStore.Store(false)
		if _, err := n.read(ctx, layoutKey); err != nil {
			n.Counters.Add("Store.CheckFailed", 1)
		}
		return nil
	})
}
