package dispatcher

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/jacinthtrail/jacinthtrail/internal/caller/queue"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
	"github.com/jacinthtrail/jacinthtrail/internal/peer/entry"
)

const (
	// pendingMaxAge is how long the last count of pending jobs is used when the owner
	// doesn't answer.
	pendingMaxAge = 1500 * time.Millisecond
	// pendingCacheTime is how long the last count is used without asking the owner if
	// there are several shards, because each total would otherwise need a call to every
	// owner.
	pendingCacheTime = 500 * time.Millisecond
)

// pendingCount is the number of jobs without a started task, and when the owner
// reported it.
type pendingCount struct {
	jobs      int
	countedAt time.Time
}

// Pending returns the number of accepted jobs of a queue without a started task. It
// fails with a *queue.Refusal if the owner of a shard can't be reached.
func (n *Node) Pending(ctx context.Context, name dispatch.QueueName) (int, error) {
	shards := n.allShards()
	if len(shards) == 0 {
		return 0, &queue.Refusal{Reason: RefusedStarting, RetryAfter: shortRetryAfter}
	}
	counts := make([]int, len(shards))
	var group errgroup.Group
	for i, s := range shards {
		group.Go(func() (err error) {
			counts[i], err = s.countPending(ctx, name)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return 0, err
	}
	total := 0
	for _, count := range counts {
		total += count
	}
	return total, nil
}

// countPending returns the number for one shard.
func (s *shard) countPending(ctx context.Context, name dispatch.QueueName) (int, error) {
	now := s.node.Clock.Now()
	s.lock.Lock()
	cached, isCached := s.pending[name]
	s.lock.Unlock()
	if isCached && s.count > 1 && now.Sub(cached.countedAt) < pendingCacheTime {
		return cached.jobs, nil
	}
	answer, err := s.pendingFromOwner(ctx, name)
	now = s.node.Clock.Now()
	switch {
	case err == nil:
		s.lock.Lock()
		defer s.lock.Unlock()
		s.pending[name] = pendingCount{answer.Pending, now}
		return answer.Pending, nil
	case isCached && now.Sub(cached.countedAt) < pendingMaxAge:
		return cached.jobs, nil
	}
	return 0, &queue.Refusal{Reason: RefusedOwnerUnreachable, RetryAfter: shortRetryAfter}
}

func (s *shard) pendingFromOwner(ctx context.Context, name dispatch.QueueName) (pendingAnswer, error) {
	if o := s.owned.Load(); o != nil {
		return o.pending(name)
	}
	return callOwner[pendingRequest, pendingAnswer](ctx, s, pendingMethod, pendingRequest{s.id, name})
}

// pending counts the pending jobs. It fails until the stored jobs are loaded.
func (o *owner) pending(name dispatch.QueueName) (pendingAnswer, error) {
	o.lock.Lock()
	defer o.lock.Unlock()
	if !o.loaded {
		return pendingAnswer{}, entry.Errorf(entry.CodeUnavailable, "the owner is still loading the stored jobs")
	}
	return pendingAnswer{o.engine.Pending(name) + o.pendingMoved(name) + o.pendingUnloaded(name)}, nil
}
