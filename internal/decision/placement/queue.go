package placement

import (
	"container/heap"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
	"github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/manifest"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/object"
)

// ageLimit is the deadline that is assumed for a job without a deadline, or
// with a far one, after its submission. It keeps such jobs from starving behind
// later ones with deadlines.
const ageLimit = time.Hour

// maxKeptFailures bounds the failures that are kept for an explanation.
const maxKeptFailures = 4

// job is a job with its pending and running tasks.
type job struct {
	Job
	team  *team
	class *class
	lane  *lane
	// pos is the position in the lane's heap, -1 outside.
	pos int
	// rank orders the jobs of a lane: the deadline, or the age limit.
	rank time.Time
	// latest is the latest start that still meets the deadline; zero without one.
	latest time.Time
	// fresh has the ranges never started, in order; again has tasks that ended.
	fresh       []TaskRange
	freshCount  int
	again       []int32
	checkpoints map[int32]object.Key
	// peak is what a task of the job was seen to use.
	peak     resource.Vector
	byIndex  map[int32]*attempt
	running  []*attempt
	done     int
	queuedAt time.Time
	// notBefore delays the next start after failures.
	notBefore time.Time
	asleep    bool
	parked    bool
	cancelled bool
	movable   bool
	held      int
	waiting   Waiting
	evidence  jobEvidence
}

func (j *job) pending() int {
	return j.freshCount + len(j.again)
}

func (j *job) task(index int32) worker.TaskID {
	return worker.TaskID(string(j.ID) + "/" + strconv.Itoa(int(index)))
}

// splitTask returns the job and the index that a task id names.
func splitTask(id worker.TaskID) (worker.JobID, int32, bool) {
	at := strings.LastIndexByte(string(id), '/')
	if at < 0 {
		return "", 0, false
	}
	index, err := strconv.ParseInt(string(id[at+1:]), 10, 32)
	if err != nil || index < 0 {
		return "", 0, false
	}
	return worker.JobID(id[:at]), int32(index), true
}

// take removes the next pending task; there must be one.
func (j *job) take() int32 {
	if last := len(j.again) - 1; last >= 0 {
		index := j.again[last]
		j.again = j.again[:last]
		return index
	}
	first := &j.fresh[0]
	index := int32(first.First)
	first.First++
	j.freshCount--
	if first.First > first.Last {
		j.fresh = j.fresh[1:]
	}
	return index
}

// takeIndex removes a given task from the pending ones. It reports whether it was pending.
func (j *job) takeIndex(index int32) bool {
	for i, other := range j.again {
		if other == index {
			j.again = append(j.again[:i], j.again[i+1:]...)
			return true
		}
	}
	i := sort.Search(len(j.fresh), func(i int) bool { return j.fresh[i].Last >= int(index) })
	if i == len(j.fresh) || j.fresh[i].First > int(index) {
		return false
	}
	old := j.fresh[i]
	parts := make([]TaskRange, 0, 2)
	if old.First < int(index) {
		parts = append(parts, TaskRange{old.First, int(index) - 1})
	}
	if int(index) < old.Last {
		parts = append(parts, TaskRange{int(index) + 1, old.Last})
	}
	j.fresh = append(j.fresh[:i], append(parts, j.fresh[i+1:]...)...)
	j.freshCount--
	return true
}

// laneKey collects jobs that can start in the same places. Sizes are rounded to
// index buckets, which bounds the number of lanes.
type laneKey struct {
	class      manifest.ClassName
	priority   Priority
	gang       bool
	processors uint8
	memory     uint8
	devices    int64
}

// lane is a queue of jobs of one team that are alike.
type lane struct {
	key  laneKey
	team *team
	jobs jobHeap
	// started is when a task of the lane was last started.
	started time.Time
}

type jobHeap []*job

// before orders jobs by their rank. Of those with one deadline the first that was
// submitted is next, so that more of them are whole when not all can be in time.
func (j *job) before(other *job) bool {
	if !j.rank.Equal(other.rank) {
		return j.rank.Before(other.rank)
	}
	if !j.Submitted.Equal(other.Submitted) {
		return j.Submitted.Before(other.Submitted)
	}
	return j.ID < other.ID
}

func (h jobHeap) Len() int { return len(h) }

func (h jobHeap) Less(a, b int) bool {
	return h[a].before(h[b])
}

func (h jobHeap) Swap(a, b int) {
	h[a], h[b] = h[b], h[a]
	h[a].pos, h[b].pos = a, b
}

// Push implements heap.Interface.
func (h *jobHeap) Push(x any) {
	j := x.(*job)
	j.pos = len(*h)
	*h = append(*h, j)
}

// Pop implements heap.Interface.
func (h *jobHeap) Pop() any {
	old := *h
	last := len(old) - 1
	j := old[last]
	old[last] = nil
	*h = old[:last]
	j.pos = -1
	return j
}

// enqueue puts a job with pending tasks in its lane unless it has to wait.
func (e *Engine) enqueue(now time.Time, j *job) {
	if j.pos >= 0 || j.parked || j.cancelled || j.pending() == 0 {
		return
	}
	if now.Before(j.notBefore) {
		if !j.asleep {
			j.asleep = true
			e.timers.add(timer{at: j.notBefore, job: j})
		}
		return
	}
	if j.lane == nil {
		j.lane = j.team.lane(j)
	}
	heap.Push(&j.lane.jobs, j)
}

// waited is the time for which nothing of the job's lane could start.
func (j *job) waited(now time.Time) time.Duration {
	if j.lane != nil && j.lane.started.After(j.queuedAt) {
		return now.Sub(j.lane.started)
	}
	return now.Sub(j.queuedAt)
}

// dequeue takes a job out of its lane.
func (j *job) dequeue() {
	if j.pos >= 0 {
		heap.Remove(&j.lane.jobs, j.pos)
	}
}

// team is a team with its use of the shard.
type team struct {
	name        manifest.TeamName
	known       bool
	parent      *team
	quota       resource.Vector
	urgentQuota resource.Vector
	weight      float64
	used        resource.Vector
	urgentUsed  resource.Vector
	running     int
	queued      int
	lanes       []*lane
	byKey       map[laneKey]*lane
}

func (t *team) lane(j *job) *lane {
	key := laneKey{
		class: j.Class, priority: j.Priority, gang: j.Gang,
		processors: uint8(bucket(int64(j.Resources.Processors), processorShift)),
		memory:     uint8(bucket(int64(j.Resources.Memory), memoryShift)),
		devices:    int64(j.Resources.Accelerators),
	}
	l := t.byKey[key]
	if l == nil {
		if t.byKey == nil {
			t.byKey = map[laneKey]*lane{}
		}
		l = &lane{key: key, team: t}
		t.byKey[key] = l
		t.lanes = append(t.lanes, l)
	}
	return l
}

// charge adds to what the team and its parents use.
func (t *team) charge(amount resource.Vector, priority Priority) {
	for ; t != nil; t = t.parent {
		t.used = t.used.Add(amount)
		if priority == Urgent {
			t.urgentUsed = t.urgentUsed.Add(amount)
		}
	}
}

// allows reports whether the quotas of the team and its parents leave room.
func (t *team) allows(amount resource.Vector, priority Priority) bool {
	for ; t != nil; t = t.parent {
		if !t.used.Add(amount).FitsIn(t.quota) {
			return false
		}
		if priority == Urgent && !t.urgentUsed.Add(amount).FitsIn(t.urgentQuota) {
			return false
		}
	}
	return true
}

// admits reports whether the quotas could ever hold the amount.
func (t *team) admits(amount resource.Vector, priority Priority) bool {
	for ; t != nil; t = t.parent {
		if !amount.FitsIn(t.quota) || priority == Urgent && !amount.FitsIn(t.urgentQuota) {
			return false
		}
	}
	return true
}

func (t *team) add(running, queued int) {
	for ; t != nil; t = t.parent {
		t.running += running
		t.queued += queued
	}
}

// share is the larger part of the shard that the team uses, for its weight.
func (t *team) share(capacity resource.Vector) float64 {
	share := 0.0
	if capacity.Processors > 0 {
		share = float64(t.used.Processors) / float64(capacity.Processors)
	}
	if capacity.Memory > 0 {
		share = max(share, float64(t.used.Memory)/float64(capacity.Memory))
	}
	return share / t.weight
}

// timer wakes a job or a worker.
type timer struct {
	at   time.Time
	job  *job
	node *node
}

type timerHeap []timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(a, b int) bool { return h[a].at.Before(h[b].at) }
func (h timerHeap) Swap(a, b int)      { h[a], h[b] = h[b], h[a] }

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	old := *h
	last := len(old) - 1
	t := old[last]
	old[last] = timer{}
	*h = old[:last]
	return t
}

func (h *timerHeap) add(t timer) {
	heap.Push(h, t)
}

func (h *timerHeap) next() timer {
	return heap.Pop(h).(timer)
}

// jobEvidence is what speaks against a job.
type jobEvidence struct {
	// failedOn has the workers on which attempts failed that are not quarantined.
	failedOn []membership.InstanceID
	// byTask counts the failures of each task.
	byTask   map[int32]int
	failures []Failure
	total    int
	// outgrown counts attempts that needed more than any worker has.
	outgrown int
}
