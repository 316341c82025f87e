package dispatcher

import (
	"context"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/balance"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
)

const (
	// reassignInterval is the time between two checks for jobs that should move to another
	// shard.
	reassignInterval = 500 * time.Millisecond
	// reassignAfter is how long a job must have waited without a started task.
	reassignAfter = time.Second
	// reassignBatch limits the jobs that are moved in one check, because the other shards
	// report their loads only from time to time.
	reassignBatch = 4
)

// runReassignment moves waiting jobs, and long-running tasks that are down, to other shards if this
// shard has lost workers or was full when the jobs arrived.
func (o *owner) runReassignment(ctx context.Context) error {
	if !o.balancesShards() {
		return nil
	}
	return o.node.every(ctx, reassignInterval, func() {
		o.reassignJobs()
		o.transferTasks()
	})
}

func (o *owner) reassignJobs() {
	if _, lost := o.node.store.lostFor(); lost {
		return
	}
	o.lock.Lock()
	waiting := o.engine.Unstarted(o.now(), reassignAfter, reassignBatch)
	o.lock.Unlock()
	for _, j := range waiting {
		o.reassignJob(j)
	}
}

// reassignJob withdraws a waiting job and stores its move to another shard, if that
// shard suits the job better.
func (o *owner) reassignJob(j dispatch.Job) {
	demand := j.Demand()
	if o.isMovedHere(j.ID) {
		return
	}
	loads := o.knownLoads()
	loads[o.shard.id] = loads[o.shard.id].Sub(demand)
	chosen := shardID(balance.Choose(int(o.shard.id), demand, loads))
	if chosen == o.shard.id {
		return
	}
	move, err := newSubmission(j, &chosen)
	if err != nil {
		return
	}
	move.moves = true
	o.node.allShards()[chosen].addExpectedLoad(demand)
	o.lock.Lock()
	defer o.lock.Unlock()
	if o.engine.Withdraw(o.now(), j.ID) {
		o.submissions = append(o.submissions, move)
		o.requestWrite()
	}
}
