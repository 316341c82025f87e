package dispatcher

import (
	"context"
	"sync"
	"time"
)

const (
	// probeTimeout bounds a probe of the store.
	probeTimeout = 400 * time.Millisecond
	// probeMemory is how long the outcome of a probe counts.
	probeMemory = 700 * time.Millisecond
)

// storeProbe finds out whether this instance reaches the store, when an owner that
// doesn't asks. Ordinary calls tell that too late: the feed waits for seconds, and
// calls to a silent store time out. The zero value has probed nothing.
type storeProbe struct {
	lock    sync.Mutex
	running bool
	failed  bool
	at      time.Time
}

// begin reports whether a probe is to be sent; end must follow.
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
	p.running, p.failed, p.at = false, failed, now
}

// unreachable reports whether the last probe failed lately.
func (p *storeProbe) unreachable(now time.Time) bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.failed && now.Sub(p.at) <= probeMemory
}

// canClaim reports whether this instance may reach the store, and probes it in the
// background for the next question.
func (n *Node) canClaim() bool {
	if n.probe.begin() {
		n.background(func() error {
			ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
			defer cancel()
			_, err := n.store.Read(ctx, layoutKey)
			n.probe.end(n.Clock.Now(), err != nil)
			return nil
		})
	}
	return !n.probe.unreachable(n.Clock.Now())
}
