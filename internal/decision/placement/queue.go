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

// assumedDeadline is the deadline after submission that is assumed for jobs without a
// deadline or with a later one. It keeps such jobs from starving behind jobs that are
// submitted later with deadlines.
const assumedDeadline = time.Hour

// maxRecentFailures limits the failures kept for an explanation.
const maxRecentFailures = 4

// job is a batch job with its pending and running tasks.
type job struct {
	Job
	team  *team
	class *classStats
	queue *jobQueue
	// heapIndex is the position in jobQueue.jobs, -1 if the job is not queued.
	heapIndex int
	// effectiveDeadline orders the jobs of a queue: the deadline or the assumed one,
	// whichever is earlier.
	effectiveDeadline time.Time
	// latestStart is the latest start that still meets the deadline; zero without one.
	latestStart time.Time
	// unstarted has the ascending ranges of tasks that never started; requeued has the
	// tasks that are pending again after an attempt.
	unstarted      []TaskRange
	unstartedCount int
	requeued       []int32
	checkpoints    map[int32]object.Key
	// peakUsage is the highest usage observed for a task of the job.
	peakUsage     resource.Vector
	attemptByTask map[int32]*attempt
	running       []*attempt
	done          int
	queuedAt      time.Time
	// notBefore is the earliest next start after a delay.
	notBefore time.Time
	// timerSet reports whether a timer will enqueue the job at notBefore.
	timerSet      bool
	parked        bool
	cancelled     bool
	inMovableJobs bool
	// reservedTasks is the number of tasks for which workers are reserved.
	reservedTasks  int
	waitReason     WaitReason
	failureHistory failureHistory
}

// pending returns the number of pending tasks.
func (j *job) pending() int {
	return j.unstartedCount + len(j.requeued)
}

func (j *job) taskID(index int32) worker.TaskID {
	return worker.TaskID(string(j.ID) + "/" + strconv.Itoa(int(index)))
}

// parseTaskID returns the job ID and the task index of a task ID.
func parseTaskID(id worker.TaskID) (worker.JobID, int32, bool) {
	slash := strings.LastIndexByte(string(id), '/')
	if slash < 0 {
		return "", 0, false
	}
	index, err := strconv.ParseInt(string(id[slash+1:]), 10, 32)
	if err != nil || index < 0 {
		return "", 0, false
	}
	return worker.JobID(id[:slash]), int32(index), true
}

// takeNextPending removes and returns the next pending task; there must be one.
func (j *job) takeNextPending() int32 {
	if last := len(j.requeued) - 1; last >= 0 {
		index := j.requeued[last]
		j.requeued = j.requeued[:last]
		return index
	}
	first := &j.unstarted[0]
	index := int32(first.First)
	first.First++
	j.unstartedCount--
	if first.First > first.Last {
		j.unstarted = j.unstarted[1:]
	}
	return index
}

// takePending removes the given task from the pending tasks. It reports whether the
// task was pending.
func (j *job) takePending(index int32) bool {
	for i, other := range j.requeued {
		if other == index {
			j.requeued = append(j.requeued[:i], j.requeued[i+1:]...)
			return true
		}
	}
	i := sort.Search(len(j.unstarted), func(i int) bool { return j.unstarted[i].Last >= int(index) })
	if i == len(j.unstarted) || j.unstarted[i].First > int(index) {
		return false
	}
	old := j.unstarted[i]
	rest := make([]TaskRange, 0, 2)
	if old.First < int(index) {
		rest = append(rest, TaskRange{old.First, int(index) - 1})
	}
	if int(index) < old.Last {
		rest = append(rest, TaskRange{int(index) + 1, old.Last})
	}
	j.unstarted = append(j.unstarted[:i], append(rest, j.unstarted[i+1:]...)...)
	j.unstartedCount--
	return true
}

// jobQueueKey identifies jobs of a team that fit on the same workers. Sizes are rounded
// to index buckets, which limits the number of queues.
type jobQueueKey struct {
	class        manifest.ClassName
	priority     Priority
	gang         bool
	processors   uint8
	memory       uint8
	accelerators int64
}

// jobQueue holds the jobs of a team with the same key.
type jobQueue struct {
	key  jobQueueKey
	team *team
	jobs jobHeap
	// lastStart is when a task of the queue was last started.
	lastStart time.Time
}

type jobHeap []*job

// before orders jobs by effective deadline, then by submission. Of several jobs with
// the same deadline the first submitted is completed first, so that as many jobs as
// possible finish in time when not all can.
func (j *job) before(other *job) bool {
	if !j.effectiveDeadline.Equal(other.effectiveDeadline) {
		return j.effectiveDeadline.Before(other.effectiveDeadline)
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
	h[a].heapIndex, h[b].heapIndex = a, b
}

// Push implements heap.Interface.
func (h *jobHeap) Push(x any) {
	j := x.(*job)
	j.heapIndex = len(*h)
	*h = append(*h, j)
}

// Pop implements heap.Interface.
func (h *jobHeap) Pop() any {
	old := *h
	last := len(old) - 1
	j := old[last]
	old[last] = nil
	*h = old[:last]
	j.heapIndex = -1
	return j
}

// enqueue puts a job with pending tasks into its queue, or sets a timer if the job has
// to wait.
func (e *Engine) enqueue(now time.Time, j *job) {
	if j.heapIndex >= 0 || j.parked || j.cancelled || j.pending() == 0 {
		return
	}
	if now.Before(j.notBefore) {
		if !j.timerSet {
			j.timerSet = true
			e.timers.add(timer{at: j.notBefore, job: j})
		}
		return
	}
	if j.queue == nil {
		j.queue = j.team.queueFor(j)
	}
	heap.Push(&j.queue.jobs, j)
}

// waitTime returns for how long no task of the job's queue has started while the job
// was pending.
func (j *job) waitTime(now time.Time) time.Duration {
	if j.queue != nil && j.queue.lastStart.After(j.queuedAt) {
		return now.Sub(j.queue.lastStart)
	}
	return now.Sub(j.queuedAt)
}

// dequeue takes a job out of its queue if it is there.
func (j *job) dequeue() {
	if j.heapIndex >= 0 {
		heap.Remove(&j.queue.jobs, j.heapIndex)
	}
}

// team is a team with its quotas, usage and queues.
type team struct {
	name        manifest.TeamName
	declared    bool
	parent      *team
	quota       resource.Vector
	urgentQuota resource.Vector
	weight      float64
	used        resource.Vector
	urgentUsed  resource.Vector
	running     int
	queued      int
	queues      []*jobQueue
	queueByKey  map[jobQueueKey]*jobQueue
}

// queueFor returns the queue for a job, creating it on first use.
func (t *team) queueFor(j *job) *jobQueue {
	key := jobQueueKey{
		class: j.Class, priority: j.Priority, gang: j.Gang,
		processors:   uint8(bucketOf(int64(j.Resources.Processors), processorShift)),
		memory:       uint8(bucketOf(int64(j.Resources.Memory), memoryShift)),
		accelerators: int64(j.Resources.Accelerators),
	}
	queue := t.queueByKey[key]
	if queue == nil {
		if t.queueByKey == nil {
			t.queueByKey = map[jobQueueKey]*jobQueue{}
		}
		queue = &jobQueue{key: key, team: t}
		t.queueByKey[key] = queue
		t.queues = append(t.queues, queue)
	}
	return queue
}

// addUsage adds to the usage of the team and its ancestors.
func (t *team) addUsage(amount resource.Vector, priority Priority) {
	for ; t != nil; t = t.parent {
		t.used = t.used.Add(amount)
		if priority == Urgent {
			t.urgentUsed = t.urgentUsed.Add(amount)
		}
	}
}

// quotaAllows reports whether the team and its ancestors have quota left for amount.
func (t *team) quotaAllows(amount resource.Vector, priority Priority) bool {
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

// quotaCanHold reports whether amount fits in the quotas regardless of the current
// usage.
func (t *team) quotaCanHold(amount resource.Vector, priority Priority) bool {
	for ; t != nil; t = t.parent {
		if !amount.FitsIn(t.quota) || priority == Urgent && !amount.FitsIn(t.urgentQuota) {
			return false
		}
	}
	return true
}

// addTaskCounts adds to the task counts of the team and its ancestors.
func (t *team) addTaskCounts(running, queued int) {
	for ; t != nil; t = t.parent {
		t.running += running
		t.queued += queued
	}
}

// weightedShare returns the team's dominant share of the capacity, the larger of its
// processor and memory shares, divided by its weight.
func (t *team) weightedShare(capacity resource.Vector) float64 {
	share := 0.0
	if capacity.Processors > 0 {
		share = float64(t.used.Processors) / float64(capacity.Processors)
	}
	if capacity.Memory > 0 {
		share = max(share, float64(t.used.Memory)/float64(capacity.Memory))
	}
	return share / t.weight
}

// timer resumes a job or a worker at a time.
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

func (h *timerHeap) popNext() timer {
	return heap.Pop(h).(timer)
}

// failureHistory records the failures of a job.
type failureHistory struct {
	// failedOn lists the workers on which attempts failed, except quarantined ones.
	failedOn    []membership.InstanceID
	countByTask map[int32]int
	recent      []Failure
	total       int
	// outgrownCount counts the attempts that needed more than any worker has.
	outgrownCount int
}
