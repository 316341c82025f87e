// Package claim claims the keys that callers make themselves, by start records in
// the table. Many records share one transaction.
package claim

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/jacinthtrail/jacinthtrail/internal/caller/service"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/manifest"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/table"
)

const (
	// MaxQueue bounds the claims that wait for a transaction.
	MaxQueue = 4096
	// MaxGroup bounds the claims of one transaction.
	MaxGroup = 256
	// Linger is how long the first claim waits for others. It is small against the
	// time of a commit and lets a burst share one.
	Linger = 3 * time.Millisecond
	// CommitTimeout bounds one commit.
	CommitTimeout = 2 * time.Second
	// ResolveTimeout bounds the search for the outcome of a commit after a lost answer.
	ResolveTimeout = 3 * time.Second
	// QueueTimeout bounds the wait for a transaction. A slow commit ahead ends before;
	// after it the answer of that commit is lost, and the store is not reachable.
	QueueTimeout = CommitTimeout
	// MaxRounds bounds the commits of one group. Each conflict removes at least one
	// claim, but other instances may add new conflicts.
	MaxRounds = 5

	retryUnavailable = time.Second
	retrySoon        = 100 * time.Millisecond
)

// Reasons for requests that were not sent.
const (
	ReasonStoreDown  service.Reason = "StoreDown"
	ReasonQueueFull  service.Reason = "ClaimQueueFull"
	ReasonConflicts  service.Reason = "ClaimConflicts"
	ReasonNotWritten service.Reason = "ClaimNotWritten"
	ReasonStopped    service.Reason = "ClaimsStopped"
	ReasonDeadline   service.Reason = "ClaimDeadline"
)

// ErrUncertain reports a claim that may or may not have been written.
var ErrUncertain = errors.New("claim: outcome of the start record is unknown")

// Config has what Claims need.
type Config struct {
	Store    table.Store
	Clock    clockwork.Clock
	Counters service.Counters
}

// Claims claims keys in groups. Run must be running. It implements service.Keys.
type Claims struct {
	Config
	// wake has room for one signal that the queue is not empty.
	wake chan struct{}
	// commits is held during a commit, so that one is in flight at a time.
	commits sync.Mutex

	mutex   sync.Mutex
	queue   []*pending
	stopped bool
}

// New returns Claims with an empty queue.
func New(config Config) *Claims {
	return &Claims{Config: config, wake: make(chan struct{}, 1)}
}

// answer is the result of one claim.
type answer struct {
	started service.Started
	err     error
}

// pending is a claim that waits for its answer.
type pending struct {
	name   string
	taken  bool
	answer chan answer
}

func (p *pending) end(started service.Started, err error) {
	p.answer <- answer{started: started, err: err}
}

func refusal(reason service.Reason, after time.Duration) error {
	return &service.Refusal{Reason: reason, RetryAfter: after}
}

// Begin writes the start record of a key. It fails with *service.Refusal if this
// call wrote none, and with ErrUncertain if that is not known.
func (c *Claims) Begin(ctx context.Context, name manifest.ServiceName, key string) (service.Started, error) {
	p := &pending{name: fmt.Sprintf("%s:%s", name, key), answer: make(chan answer, 1)}
	if err := c.enqueue(p); err != nil {
		return service.Started{}, err
	}
	queued := c.Clock.NewTimer(QueueTimeout)
	defer queued.Stop()
	for {
		select {
		case a := <-p.answer:
			return a.started, a.err
		case <-ctx.Done():
			return service.Started{}, c.leave(p)
		case <-queued.Chan():
			if c.withdraw(p) {
				return service.Started{}, refusal(ReasonStoreDown, retryUnavailable)
			}
		}
	}
}

func (c *Claims) enqueue(p *pending) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.stopped {
		return refusal(ReasonStopped, retryUnavailable)
	}
	if len(c.queue) >= MaxQueue {
		return refusal(ReasonQueueFull, retrySoon)
	}
	c.queue = append(c.queue, p)
	select {
	case c.wake <- struct{}{}:
	default:
	}
	return nil
}

// leave ends the wait for a claim. One that is in a transaction may still be written.
func (c *Claims) leave(p *pending) error {
	if !c.withdraw(p) {
		return fmt.Errorf("%w: the request ended first", ErrUncertain)
	}
	return refusal(ReasonDeadline, retrySoon)
}

// withdraw takes a claim out of the queue and reports whether it never got into a
// transaction.
func (c *Claims) withdraw(p *pending) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if p.taken {
		return false
	}
	if i := slices.Index(c.queue, p); i >= 0 {
		c.queue = slices.Delete(c.queue, i, i+1)
	}
	return true
}

// take removes the next group from the queue. A key that is in the group already
// waits for the next one, where it meets the record of the first.
func (c *Claims) take() []*pending {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var group, rest []*pending
	names := map[string]bool{}
	for _, p := range c.queue {
		if len(group) >= MaxGroup || names[p.name] {
			rest = append(rest, p)
			continue
		}
		names[p.name] = true
		p.taken = true
		group = append(group, p)
	}
	c.queue = rest
	return group
}

// Run writes the queued claims until ctx ends, then refuses the rest. It returns
// nil, so that a graceful stop is no error.
func (c *Claims) Run(ctx context.Context) error {
	defer c.stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.wake:
		}
		select {
		case <-ctx.Done():
			return nil
		case <-c.Clock.After(Linger):
		}
		for group := c.take(); len(group) > 0; group = c.take() {
			c.write(ctx, group)
		}
	}
}

func (c *Claims) stop() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.stopped = true
	for _, p := range c.queue {
		p.end(service.Started{}, refusal(ReasonStopped, retryUnavailable))
	}
	c.queue = nil
}
