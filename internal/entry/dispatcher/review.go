package dispatcher

import (
	"context"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/balance"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
)

const (
	// reviewInterval is the time between two looks for jobs that should go elsewhere.
	reviewInterval = 500 * time.Millisecond
	// reviewAfter is how long a job must have waited in vain.
	reviewAfter = time.Second
	// reviewBatch bounds the jobs that are moved in one look, since the loads of the
	// other shards are told only now and then.
	reviewBatch = 4
)

// review gives waiting jobs to other shards when this one has lost workers, or was full
// when they came.
func (o *owner) review(ctx context.Context) error {
	if o.shard.count == 1 {
		return nil
	}
	return o.node.every(ctx, reviewInterval, o.reviewJobs)
}

func (o *owner) reviewJobs() {
	if _, lost := o.node.store.lostFor(); lost {
		return
	}
	o.lock.Lock()
	waiting := o.engine.Unstarted(o.now(), reviewAfter, reviewBatch)
	o.lock.Unlock()
	for _, j := range waiting {
		o.reviewJob(j)
	}
}

// reviewJob withdraws a waiting job and stores that another shard gets it, if that one
// suits it better.
func (o *owner) reviewJob(j dispatch.Job) {
	demand := j.Demand()
	if o.isForeign(j.ID) {
		return
	}
	loads := o.knownLoads()
	loads[o.shard.id] = loads[o.shard.id].Sub(demand)
	chosen := shardID(balance.Choose(int(o.shard.id), demand, loads))
	if chosen == o.shard.id {
		return
	}
	o.node.allShards()[chosen].expect(demand)
	o.lock.Lock()
	defer o.lock.Unlock()
	if o.engine.Withdraw(o.now(), j.ID) {
		o.submissions = append(o.submissions, &submission{job: j, target: &chosen, done: make(chan error, 1)})
		o.requestWrite()
	}
}
