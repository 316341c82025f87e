package dispatcher

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
)

const (
	// exchangeInterval is the time between two questions for what other owners have
	// learned about images. Each shard sees only a part of the pairs.
	exchangeInterval = time.Second
	// exchangeShards bounds the shards that are asked at once.
	exchangeShards = 3
)

// exchangeEstimates takes over what the owners of other shards have learned.
func (o *owner) exchangeEstimates(ctx context.Context) error {
	if o.shard.count == 1 {
		return nil
	}
	return o.node.every(ctx, exchangeInterval, func() {
		others := o.node.allShards()
		for _, i := range rand.Perm(len(others))[:min(exchangeShards, len(others))] {
			if others[i] != o.shard {
				o.askEstimates(ctx, others[i])
			}
		}
	})
}

func (o *owner) askEstimates(ctx context.Context, s *shard) {
	answer, err := s.estimates(ctx)
	if err != nil {
		o.node.Counters.Add("Estimates.AskFailed", 1)
		return
	}
	o.withEngine(func(now time.Time, e *dispatch.Engine) { e.MergeEstimates(now, answer.Estimates) })
}

// estimates asks the owner of the shard, which may be this instance.
func (s *shard) estimates(ctx context.Context) (estimatesAnswer, error) {
	if s.owned.Load() != nil {
		return s.node.answerEstimates(ctx, shardRequest{s.id})
	}
	return callOwner[shardRequest, estimatesAnswer](ctx, s, estimatesMethod, shardRequest{s.id})
}

func (n *Node) answerEstimates(_ context.Context, r shardRequest) (estimatesAnswer, error) {
	o, err := n.owning(r.Shard)
	if err != nil {
		return estimatesAnswer{}, err
	}
	o.lock.Lock()
	defer o.lock.Unlock()
	return estimatesAnswer{o.engine.Estimates(o.now())}, nil
}
