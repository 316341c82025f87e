// Package placement decides which batch task runs on which worker of a shard.
//
// Callers report events to an Engine together with the current time and collect its
// decisions with Tick. The engine does no I/O, reads no clock and starts no goroutine;
// the same inputs yield the same decisions. Resources are allocated to an attempt from
// its Start decision until TaskEnded or RemoveWorker, so a lost message never frees
// them. The caller repeats a command until the worker's responses show that it was
// carried out.
package placement

import (
	"math"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
	"github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/forecast"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/interference"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/mechanism"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/manifest"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// Limits on the work of one Tick.
const (
	// maxStartsPerTick allows the peak of 8,000 starts per second at ten ticks per
	// second.
	maxStartsPerTick = 1024
	// maxSearchesPerTick limits the searches for a worker that find none and the
	// searches for a worker to preempt tasks on.
	maxSearchesPerTick = 512
	// maxStopsPerTick limits the attempts that are stopped because their job was
	// cancelled, their worker is leaving or their zone is taken out of service.
	maxStopsPerTick = 1024
	// maxTimersPerTick limits the jobs and workers whose delay has expired.
	maxTimersPerTick = 1024
	// maxPreemptionsPerTick limits the attempts that are evicted to make room for other
	// jobs.
	maxPreemptionsPerTick = 256
	// attemptSequenceBits is the number of low bits of an attempt number that hold the
	// sequence number; the epoch is in the bits above.
	attemptSequenceBits = 32
)

// Engine places the tasks of one shard. The zero value is ready for use. It is not safe
// for concurrent use.
type Engine struct {
	manifestVersion manifest.Version
	limits          manifest.Limits
	classes         map[manifest.ClassName]*classStats
	teams           map[manifest.TeamName]*team
	teamList        []*team
	services        map[manifest.ServiceName]manifest.Service
	declaredTeams   []manifest.Team
	// quotaShare is the shard's part of each quota in thousandths; see SetQuotaShare.
	quotaShare int

	epoch           worker.Epoch
	attemptSequence uint32

	nodesByID map[membership.InstanceID]*node
	nodes     []*node
	// allocatableCounts counts the workers by their allocatable resources.
	allocatableCounts map[resource.Vector]int
	totalAllocatable  resource.Vector
	quarantinedCount  int
	freeIndex         nodeIndex
	preemptionIndex   nodeIndex
	serviceSets       serviceSets
	latencyModel      interference.LatencyModel
	// coefficientCache and ratioLimitCache are valid for one tick.
	coefficientCache map[interference.Pair]float64
	ratioLimitCache  map[ratioLimitKey]float64

	jobs map[worker.JobID]*job
	// orphans are the attempts that belong to no known job or were superseded.
	orphans      map[worker.TaskAttempt]*attempt
	parkedCount  int
	runningCount int
	timers       timerHeap
	reservations []*nodeReservation
	// disabled are the parts of the policy that aren't used.
	disabled mechanism.Set
	// durations has the run times that this engine has learned, and smallest the smallest recent start.
	durations forecast.Durations
	smallest  smallStart
	// reservingGang is the only gang that may reserve workers, if any.
	reservingGang *job
	dueProbes     []*node
	leavingNodes  []*node
	pendingStops  []*attempt
	movableJobs   movableHeap

	startPermit StartPermit
	// startTokens is the number of starts that the ramp allows now.
	startTokens      float64
	tokensRefilledAt time.Time
	evacuating       bool

	// startsThisTick, searchesThisTick and preemptionsThisTick count the work of the
	// current tick. Their limits are maxStartsPerTick, maxSearchesPerTick and
	// maxPreemptionsPerTick.
	startsThisTick      int
	searchesThisTick    int
	preemptionsThisTick int
	// nextTeam and nextNode are the positions in teamList and nodes where the next scan
	// continues.
	nextTeam         int
	nextNode         int
	pendingDecisions []Decision
	// decisionLog is a ring buffer of the last decisions, for explanations.
	decisionLog   [decisionLogSize]Decision
	decisionCount int
	// rankBuffer is reused by rankGroups to avoid allocations.
	rankBuffer []rankedGroup
}

// ApplyManifest applies a manifest version.
func (e *Engine) ApplyManifest(_ time.Time, published manifest.Published) {
	e.manifestVersion = published.Version
	e.limits = published.Manifest.Limits
	e.configureServices(published.Manifest.Services)
	e.configureClasses(published.Manifest.Classes)
	e.configureTeams(published.Manifest.Teams)
}

// SetQuotaShare sets the part of each team's quota that this shard may use, in
// thousandths; 0 and 1000 both mean all of it. Shards do not know of each other, so the
// caller divides the quotas among them.
func (e *Engine) SetQuotaShare(thousandths int) {
	e.quotaShare = thousandths
	e.configureTeams(e.declaredTeams)
}

func (e *Engine) configureServices(services []manifest.Service) {
	e.services = make(map[manifest.ServiceName]manifest.Service, len(services))
	for _, s := range services {
		e.services[s.Name] = s
	}
}

func (e *Engine) configureClasses(classes []manifest.Class) {
	for _, c := range classes {
		stats := e.classByName(c.Name)
		stats.maxAttempts = c.MaxAttempts
	}
}

// configureTeams applies the quotas. A team that is no longer declared keeps its
// running tasks but starts no new ones.
func (e *Engine) configureTeams(teams []manifest.Team) {
	e.declaredTeams = teams
	for _, t := range e.teamList {
		t.declared, t.quota, t.urgentQuota = false, resource.Vector{}, resource.Vector{}
	}
	for _, declaration := range teams {
		t := e.teamByName(declaration.Name)
		t.declared = true
		t.quota = e.scaleQuota(declaration.Quota)
		t.urgentQuota = e.scaleQuota(declaration.UrgentQuota)
		t.weight = float64(max(declaration.Weight, 1))
	}
	for _, declaration := range teams {
		e.setTeamParent(e.teamByName(declaration.Name), declaration.Parent)
	}
}

// setTeamParent changes the parent of a team and moves its usage from the old ancestors
// to the new ones. A parent that would close a cycle is ignored.
func (e *Engine) setTeamParent(t *team, name manifest.TeamName) {
	var parent *team
	if name != "" {
		parent = e.teamByName(name)
	}
	for p := parent; p != nil; p = p.parent {
		if p == t {
			return
		}
	}
	if t.parent == parent {
		return
	}
	t.parent.addUsageOf(t, -1)
	t.parent = parent
	t.parent.addUsageOf(t, 1)
}

// addUsageOf adds the usage of another team to t and its ancestors, or subtracts it if
// sign is negative.
func (t *team) addUsageOf(other *team, sign int) {
	used, urgent := other.used, other.urgentUsed
	if sign < 0 {
		used, urgent = resource.Vector{}.Sub(used), resource.Vector{}.Sub(urgent)
	}
	t.addUsage(used, Normal)
	for p := t; p != nil; p = p.parent {
		p.urgentUsed = p.urgentUsed.Add(urgent)
	}
	t.addTaskCounts(sign*other.running, sign*other.queued)
}

// scaleQuota returns the shard's part of a quota.
func (e *Engine) scaleQuota(v resource.Vector) resource.Vector {
	if e.quotaShare <= 0 || e.quotaShare >= 1000 {
		return v
	}
	return resource.Vector{
		Processors:   resource.MilliProcessors(scaleByThousandths(int64(v.Processors), e.quotaShare)),
		Memory:       resource.Bytes(scaleByThousandths(int64(v.Memory), e.quotaShare)),
		Accelerators: resource.Accelerators(scaleByThousandths(int64(v.Accelerators), e.quotaShare)),
	}
}

// scaleByThousandths multiplies amount by part/1000 without overflow for large amounts.
func scaleByThousandths(amount int64, part int) int64 {
	return amount/1000*int64(part) + amount%1000*int64(part)/1000
}

// teamByName returns a team, creating it on first use.
func (e *Engine) teamByName(name manifest.TeamName) *team {
	t := e.teams[name]
	if t == nil {
		if e.teams == nil {
			e.teams = map[manifest.TeamName]*team{}
		}
		t = &team{name: name, weight: 1}
		e.teams[name] = t
		e.teamList = append(e.teamList, t)
	}
	return t
}

// SetEpoch sets the epoch of the shard's owner. Attempt numbers are epoch<<32 plus a
// sequence number, so those of a later owner are higher. An epoch that is not higher
// than the current one changes nothing. After 2^32 starts in one epoch nothing starts
// until the next epoch.
func (e *Engine) SetEpoch(epoch worker.Epoch) {
	if epoch <= e.epoch {
		return
	}
	e.epoch = epoch
	e.attemptSequence = 0
}

func (e *Engine) nextAttemptNumber() worker.Attempt {
	e.attemptSequence++
	return worker.Attempt(e.epoch)<<attemptSequenceBits | worker.Attempt(e.attemptSequence)
}

// SetStartPermit sets whether and how fast tasks may start. Nothing starts before the first
// call.
func (e *Engine) SetStartPermit(now time.Time, permit StartPermit) {
	if permit.MaxStartsPerSecond > 0 && (e.startPermit.MaxStartsPerSecond == 0 || !e.startPermit.Allowed) {
		e.startTokens, e.tokensRefilledAt = 0, now
	}
	e.startPermit = permit
}

// refillStartTokens adds the starts that the ramp allows for the time since the last
// refill.
func (e *Engine) refillStartTokens(now time.Time) {
	if e.startPermit.MaxStartsPerSecond <= 0 {
		return
	}
	rate := float64(e.startPermit.MaxStartsPerSecond)
	e.startTokens = min(e.startTokens+now.Sub(e.tokensRefilledAt).Seconds()*rate, max(rate/4, 1))
	e.tokensRefilledAt = now
}

// mayStart reports whether this tick may start count more tasks.
func (e *Engine) mayStart(count int) bool {
	if e.startPermit.MaxStartsPerSecond > 0 && e.startTokens < float64(min(count, max(e.startPermit.MaxStartsPerSecond/4, 1))) {
		return false
	}
	if uint64(e.attemptSequence)+uint64(count) > math.MaxUint32 {
		return false
	}
	return e.startsThisTick == 0 || e.startsThisTick+count <= maxStartsPerTick
}

// Tick returns the decisions that are due. Its work is limited regardless of the queue
// length; call it several times a second.
func (e *Engine) Tick(now time.Time) []Decision {
	e.startsThisTick, e.searchesThisTick, e.preemptionsThisTick = 0, 0, 0
	clear(e.coefficientCache)
	clear(e.ratioLimitCache)
	e.fireTimers(now)
	e.processStops(now)
	e.drainLeavingNodes(now)
	if e.startPermit.Allowed && !e.evacuating {
		e.refillStartTokens(now)
		e.startOnReservations(now)
		e.placeTasks(now, Urgent)
		e.startDueProbes(now)
		e.placeTasks(now, Normal)
	}
	decisions := e.pendingDecisions
	e.pendingDecisions = nil
	return decisions
}

// record logs a decision for explanations and queues it for the result of the next
// Tick.
func (e *Engine) record(d Decision) {
	d.Manifest = e.manifestVersion
	e.pendingDecisions = append(e.pendingDecisions, d)
	e.decisionLog[e.decisionCount%decisionLogSize] = d
	e.decisionCount++
}

// fireTimers resumes the jobs and workers whose delay has expired.
func (e *Engine) fireTimers(now time.Time) {
	for range maxTimersPerTick {
		if len(e.timers) == 0 || e.timers[0].at.After(now) {
			return
		}
		t := e.timers.popNext()
		if t.job != nil {
			t.job.timerSet = false
			e.enqueue(now, t.job)
		}
		if t.node != nil {
			e.wakeNode(now, t.node)
		}
	}
}

// processStops stops the next pendingStops: attempts of cancelled jobs, orphans and,
// during an evacuation, all attempts.
func (e *Engine) processStops(now time.Time) {
	count := min(len(e.pendingStops), maxStopsPerTick)
	for _, a := range e.pendingStops[:count] {
		if a.node != nil {
			e.stopAttempt(now, a)
		}
	}
	e.pendingStops = e.pendingStops[count:]
	if len(e.pendingStops) == 0 {
		e.pendingStops = nil
	}
}

func (e *Engine) stopAttempt(now time.Time, a *attempt) {
	switch {
	case a.job == nil:
		e.kill(now, a, e.orphanReason(a))
	case a.job.cancelled:
		e.kill(now, a, ReasonCancelled)
	case e.evacuating:
		e.evict(now, a, ReasonZoneOutOfService, Facts{})
	}
}

// orphanReason returns why an orphan is stopped.
func (e *Engine) orphanReason(a *attempt) DecisionReason {
	if id, _, ok := parseTaskID(a.orphanTask); ok && e.jobs[id] != nil {
		return ReasonSuperseded
	}
	return ReasonUnknownJob
}

// drainLeavingNodes evicts the tasks of leaving workers.
func (e *Engine) drainLeavingNodes(now time.Time) {
	remaining := maxStopsPerTick
	for len(e.leavingNodes) > 0 {
		n := e.leavingNodes[0]
		if !n.removed() && n.State == WorkerLeaving {
			evicted, all := e.evictUpTo(now, n, remaining)
			if !all {
				return
			}
			remaining -= evicted
		}
		e.leavingNodes = e.leavingNodes[1:]
	}
}

// evictUpTo evicts up to limit attempts of a leaving worker. It returns their number, and
// whether none is left to evict.
func (e *Engine) evictUpTo(now time.Time, n *node, limit int) (evicted int, all bool) {
	for _, a := range n.attempts {
		if a.stopping {
			continue
		}
		if evicted == limit {
			return evicted, false
		}
		e.evict(now, a, ReasonWorkerLeaves, Facts{})
		evicted++
	}
	return evicted, true
}

// kill stops an attempt at once, without a checkpoint.
func (e *Engine) kill(now time.Time, a *attempt, reason DecisionReason) {
	if a.killed {
		return
	}
	e.markStopping(now, a)
	a.killed = true
	d := e.attemptDecision(Stop, a, reason)
	d.Mode = worker.StopKill
	e.record(d)
}

// evict stops an attempt after it has written a checkpoint. A task that can't write
// checkpoints is killed and restarts from its beginning.
func (e *Engine) evict(now time.Time, a *attempt, reason DecisionReason, facts Facts) {
	if a.stopping {
		return
	}
	e.markStopping(now, a)
	d := e.attemptDecision(Evict, a, reason)
	d.Mode = worker.StopKill
	if d.Checkpointable {
		d.Mode = worker.StopCheckpoint
	}
	d.Facts = facts
	e.record(d)
}

// attemptDecision returns a decision with the fields that describe the attempt filled
// in.
func (e *Engine) attemptDecision(kind DecisionKind, a *attempt, reason DecisionReason) Decision {
	d := Decision{
		Kind:        kind,
		TaskAttempt: worker.TaskAttempt{Task: a.taskID(), Attempt: a.number},
		Class:       a.className(),
		Worker:      a.node.ID,
		Resources:   a.allocated,
		Checkpoint:  a.checkpoint(),
		Share:       int(a.share),
		Reason:      reason,
	}
	if a.job != nil {
		d.Job = a.job.ID
		d.Checkpointable = a.job.Checkpointable
	}
	return d
}
