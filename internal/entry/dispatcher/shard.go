package dispatcher

import (
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// shardID numbers the shards of a deployment, from 0.
type shardID int

// shard is a part of the workers and jobs, as one entry instance sees it.
type shard struct {
	node *Node
	id   shardID
	// count is the number of shards of the deployment.
	count     int
	partition partition
	// owned is set while this instance owns the shard.
	owned atomic.Pointer[owner]
	// followNow wakes the loop that follows the owner.
	followNow chan struct{}

	lock sync.Mutex
	view view
	// pending has the last known numbers of jobs that have started no task.
	pending map[dispatch.QueueName]pendingCount
}

func newShard(n *Node, id shardID, count int) *shard {
	return &shard{
		node: n, id: id, count: count, partition: partition(fmt.Sprintf("s%d", id)),
		followNow: make(chan struct{}, 1),
		pending:   map[dispatch.QueueName]pendingCount{},
	}
}

// hasWorker reports whether a worker belongs to the shard.
func (s *shard) hasWorker(id membership.InstanceID) bool {
	return shardOf(string(id), s.count) == s.id
}

// shardOf spreads jobs and workers evenly over shards by their ids. Every shard has
// workers in all availability zones and racks, so that the loss of one only shrinks
// it, and a repeated submission finds the shard of the first without asking.
func shardOf(id string, count int) shardID {
	if count <= 1 {
		return 0
	}
	return shardID(xxhash.Sum64String(id) % uint64(count))
}
