package dispatcher

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/mechanism"
)

const (
	// exchangeInterval is the time between two requests for the interference estimates of
	// other shards' owners. Each shard observes only some of the pairs of images.
	exchangeInterval = time.Second
	// maxExchangeShards limits the shards that are asked in one round.
	maxExchangeShards = 3
)

// exchangeEstimates merges the estimates of the owners of other shards.
func (o *owner) exchangeEstimates(ctx context.Context) error {
	if o.shard.count == 1 || o.node.Disabled.Has(mechanism.EstimateExchange) {
		return nil
	}
	return o.node.every(ctx, exchangeInterval, func() {
		shards := o.node.allShards()
		for _, i := range rand.Perm(len(shards))[:min(maxExchangeShards, len(shards))] {
			if shards[i] != o.shard {
				o.mergeEstimatesOf(ctx, shards[i])
			}
		}
	})
}

func (o *owner) mergeEstimatesOf(ctx context.Context, s *shard) {
	answer, err := s.estimates(ctx)
	if err != nil {
		o.node.Counters.Add("Estimates.AskFailed", 1)
		return
	}
	o.withEngine(func(now time.Time, e *dispatch.Engine) { e.MergeEstimates(now, answer.Estimates) })
}

// estimates returns the estimates of the shard's owner, which may be this instance.
func (s *shard) estimates(ctx context.Context) (estimatesAnswer, error) {
	if s.owned.Load() != nil {
		return s.node.handleEstimates(ctx, shardRequest{s.id})
	}
	return callOwner[shardRequest, estimatesAnswer](ctx, s, estimatesMethod, shardRequest{s.id})
}

func (n *Node) handleEstimates(_ context.Context, r shardRequest) (estimatesAnswer, error) {
	o, err := n.localOwner(r.Shard)
	if err != nil {
		return estimatesAnswer{}, err
	}
	o.lock.Lock()
	defer o.lock.Unlock()
	return estimatesAnswer{fittingPrefix(o.engine.Estimates(o.now()))}, nil
}
