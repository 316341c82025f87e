// Package claim claims the idempotency keys that callers choose, by writing start records
// to the table. It writes many records in one transaction.
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
	// MaxQueueLength bounds the claims that wait for a transaction.
	MaxQueueLength = 4096
	// MaxGroupSize bounds the claims of one transaction.
	MaxGroupSize = 256
	// Linger is how long the first claim of a group waits for others. It is short
	// compared with a commit, and lets a burst of claims share one.
	Linger = 3 * time.Millisecond
	// CommitTimeout bounds one commit.
	CommitTimeout = 2 * time.Second
	// ResolveTimeout bounds the lookup of a commit's outcome after its answer was lost.
	ResolveTimeout = 3 * time.Second
	// QueueTimeout bounds the wait in the queue. It equals CommitTimeout, because a
	// commit in flight that takes longer has lost its answer, and the store is then
	// taken to be unreachable.
	QueueTimeout = CommitTimeout
	// MaxCommitsPerGroup bounds the commits of one group. Each conflict removes at least
	// one claim from the group, but other instances may cause new conflicts.
	MaxCommitsPerGroup = 5

	// longRetryDelay and shortRetryDelay are the delays before a retry that refusals
	// suggest: the long one if the store is unavailable or the process stops, the short one
	// otherwise.
	longRetryDelay  = time.Second
	shortRetryDelay = 100 * time.Millisecond
)

// Reasons of refusals. A refused request was not sent to a backend server.
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

// Config holds the dependencies of Claims.
type Config struct {
	Store    table.Store
	Clock    clockwork.Clock
	Counters service.Counters
}

// Claims claims keys in groups and implements service.KeyClaimer. Run must be running for
// claims to be written.
type Claims struct {
	Config
	// wake signals that the queue is not empty. Its buffer holds one signal.
	wake chan struct{}
	// commits is held during a commit, so that only one commit is in flight at a time.
	commits sync.Mutex

	mutex   sync.Mutex
	queue   []*pendingClaim
	stopped bool
}

// New returns Claims with an empty queue. The caller starts Run.
func New(config Config) *Claims {
	return &Claims{Config: config, wake: make(chan struct{}, 1)}
}

// answer is the result of one claim.
type answer struct {
	result service.ClaimResult
	err    error
}

// pendingClaim is a claim without an answer yet.
type pendingClaim struct {
	// name is the service name and the key, as <service>:<key>.
	name          string
	inTransaction bool
	answer        chan answer
}

func (p *pendingClaim) respond(result service.ClaimResult, err error) {
	p.answer <- answer{result: result, err: err}
}

func refusal(reason service.Reason, retryAfter time.Duration) error {
	return &service.Refusal{Reason: reason, RetryAfter: retryAfter}
}

// Claim writes the start record of a key. It fails with *service.Refusal if this call
// wrote no record, and with ErrUncertain if it is unknown whether it did.
func (c *Claims) Claim(ctx context.Context, name manifest.ServiceName, key string) (service.ClaimResult, error) {
	p := &pendingClaim{name: fmt.Sprintf("%s:%s", name, key), answer: make(chan answer, 1)}
	if err := c.enqueue(p); err != nil {
		return service.ClaimResult{}, err
	}
	queueTimer := c.Clock.NewTimer(QueueTimeout)
	defer queueTimer.Stop()
	for {
		select {
		case a := <-p.answer:
			return a.result, a.err
		case <-ctx.Done():
			return service.ClaimResult{}, c.abandon(p)
		case <-queueTimer.Chan():
			if c.removeQueued(p) {
				return service.ClaimResult{}, refusal(ReasonStoreDown, longRetryDelay)
			}
		}
	}
}

func (c *Claims) enqueue(p *pendingClaim) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.stopped {
		return refusal(ReasonStopped, longRetryDelay)
	}
	if len(c.queue) >= MaxQueueLength {
		return refusal(ReasonQueueFull, shortRetryDelay)
	}
	c.queue = append(c.queue, p)
	select {
	case c.wake <- struct{}{}:
	default:
	}
	return nil
}

// abandon returns the error of a claim whose request ended before the answer. A claim
// that is already in a transaction may still be written.
func (c *Claims) abandon(p *pendingClaim) error {
	if !c.removeQueued(p) {
		return fmt.Errorf("%w: the request ended before the store answered", ErrUncertain)
	}
	return refusal(ReasonDeadline, shortRetryDelay)
}

// removeQueued removes a claim from the queue. It reports false, and changes nothing, if
// the claim is already in a transaction.
func (c *Claims) removeQueued(p *pendingClaim) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if p.inTransaction {
		return false
	}
	if i := slices.Index(c.queue, p); i >= 0 {
		c.queue = slices.Delete(c.queue, i, i+1)
	}
	return true
}

// takeGroup removes the next group from the queue. Further claims of a key in the group
// stay queued; the next group's transaction then conflicts with the first claim's record.
func (c *Claims) takeGroup() []*pendingClaim {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var group, remaining []*pendingClaim
	names := map[string]bool{}
	for _, p := range c.queue {
		if len(group) >= MaxGroupSize || names[p.name] {
			remaining = append(remaining, p)
			continue
		}
		names[p.name] = true
		p.inTransaction = true
		group = append(group, p)
	}
	c.queue = remaining
	return group
}

// Run writes the queued claims until ctx ends, then refuses the remaining ones. It
// always returns nil, because the end of ctx is a graceful stop.
func (c *Claims) Run(ctx context.Context) error {
	defer c.refuseQueued()
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
		for group := c.takeGroup(); len(group) > 0; group = c.takeGroup() {
			c.writeGroup(ctx, group)
		}
	}
}

// refuseQueued refuses all queued claims and those that are made later.
func (c *Claims) refuseQueued() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.stopped = true
	for _, p := range c.queue {
		p.respond(service.ClaimResult{}, refusal(ReasonStopped, longRetryDelay))
	}
	c.queue = nil
}
