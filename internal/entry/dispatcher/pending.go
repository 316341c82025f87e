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
	// pendingMemory is how long a count of pending jobs may be repeated when the owner
	// doesn't answer.
	pendingMemory = 1500 * time.Millisecond
	// pendingFresh is how long it is repeated without asking the owner, where there are
	// several: each count would ask all of them.
	pendingFresh = 500 * time.Millisecond
)

// pendingCount is the number of jobs that have started no task, and when it was told.
type pendingCount struct {
	jobs int
	at   time.Time
}

// Pending returns the number of accepted jobs of a queue that have started no task. It
// fails with a *queue.Refusal if the owner of a shard can't be asked.
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
	known, seen := s.pending[name]
	s.lock.Unlock()
	if seen && s.count > 1 && now.Sub(known.at) < pendingFresh {
		return known.jobs, nil
	}
	answer, err := s.ownerPending(ctx, name)
	now = s.node.Clock.Now()
	switch {
	case err == nil:
		s.lock.Lock()
		defer s.lock.Unlock()
		s.pending[name] = pendingCount{answer.Pending, now}
		return answer.Pending, nil
	case seen && now.Sub(known.at) < pendingMemory:
		return known.jobs, nil
	}
	return 0, &queue.Refusal{Reason: RefusedOwnerUnreachable, RetryAfter: shortRetryAfter}
}

func (s *shard) ownerPending(ctx context.Context, name dispatch.QueueName) (pendingAnswer, error) {
	if o := s.owned.Load(); o != nil {
		return o.pending(name)
	}
	return callOwner[pendingRequest, pendingAnswer](ctx, s, pendingMethod, pendingRequest{s.id, name})
}

// pending counts jobs once the stored ones are loaded.
func (o *owner) pending(name dispatch.QueueName) (pendingAnswer, error) {
	o.lock.Lock()
	defer o.lock.Unlock()
	if !o.loaded {
		return pendingAnswer{}, entry.Errorf(entry.CodeUnavailable, "the owner is still reading the stored jobs")
	}
	return pendingAnswer{o.engine.Pending(name) + o.pendingMoved(name)}, nil
}
