package dispatcher

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// shardID is the number of a shard in the deployment, starting from 0.
type shardID int

// shard is a subset of the workers and jobs, as seen by one entry instance.
type shard struct {
	node *Node
	id   shardID
	// count is the number of shards in the deployment.
	count     int
	partition partition
	// owned is set while this instance owns the shard.
	owned atomic.Pointer[owner]
	// checkOwnerNow wakes monitorOwner.
	checkOwnerNow chan struct{}

	lock sync.Mutex
	view ownerView
	// vacantSince is since when the shard has seemed to need another owner, zero while it
	// doesn't.
	vacantSince time.Time
	// claimWait is how long this instance leaves the shard to others when it has no owner, as found
	// at claimWaitAt.
	claimWait   time.Duration
	claimWaitAt time.Time
	// pending has the last known numbers of jobs without a started task.
	pending map[dispatch.QueueName]pendingCount
}

func newShard(n *Node, id shardID, count int) *shard {
	return &shard{
		node: n, id: id, count: count, partition: partition(fmt.Sprintf("s%d", id)),
		checkOwnerNow: make(chan struct{}, 1),
		pending:       map[dispatch.QueueName]pendingCount{},
	}
}

// hasWorker reports whether a worker belongs to the shard.
func (s *shard) hasWorker(id membership.InstanceID) bool {
	return shardOf(string(id), s.count) == s.id
}

// shardOf distributes jobs and workers evenly over the shards by hashing their IDs.
// Every shard has workers in all availability zones and racks, so the loss of a zone or
// rack only shrinks the shard. A repeated submission reaches the same shard as the
// first one without a lookup.
func shardOf(id string, count int) shardID {
	if count <= 1 {
		return 0
	}
	return shardID(xxhash.Sum64String(id) % uint64(count))
}
