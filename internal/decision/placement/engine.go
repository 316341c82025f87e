// Package placement decides which batch task runs on which worker of a shard.
//
// An Engine is told facts with the current time and returns decisions. It does no
// I/O, reads no clock and starts no goroutine; the same facts give the same
// decisions. Its ledger counts an attempt on its worker from the Start decision
// until TaskEnded or RemoveWorker, so a lost message never frees anything. The
// caller repeats a command until the worker's answers show that it was carried out.
package placement

import (
	"math"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
	"github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/interference"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/manifest"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// Bounds on the work of one Tick.
const (
	// maxStartsPerTick at ten ticks a second allows the peak of 8,000 starts per second.
	maxStartsPerTick = 1024
	// maxSearchesPerTick bounds the searches for a worker that find none.
	maxSearchesPerTick = 512
	// maxStopsPerTick bounds the attempts that are stopped for a cancelled job, a
	// leaving worker or a zone that is taken out.
	maxStopsPerTick = 1024
	// maxTimersPerTick bounds the jobs and workers whose delay is over.
	maxTimersPerTick = 1024
	// maxPreemptionsPerTick bounds the attempts that are evicted for urgent jobs.
	maxPreemptionsPerTick = 256
	// attemptSequenceBits is the number of bits of the sequence in an attempt.
	attemptSequenceBits = 32
)

// Engine places the tasks of one shard. The zero value is ready for use. It must
// be used by one goroutine at a time.
type Engine struct {
	manifestVersion manifest.Version
	limits          manifest.Limits
	classes         map[manifest.ClassName]*classStats
	teams           map[manifest.TeamName]*team
	teamList        []*team
	services        map[manifest.ServiceName]manifest.Service
	declaredTeams   []manifest.Team
	quotaShare      int

	epoch           worker.Epoch
	attemptSequence uint32

	nodesByID         map[membership.InstanceID]*node
	nodes             []*node
	allocatableCounts map[resource.Vector]int
	totalAllocatable  resource.Vector
	quarantinedCount  int
	freeIndex         nodeIndex
	preemptionIndex   nodeIndex
	serviceSets       serviceSets
	interferenceTable interference.Table
	coefficientCache  map[interference.Pair]float64
	ratioLimitCache   map[ratioLimitKey]float64

	jobs          map[worker.JobID]*job
	orphans       map[worker.TaskAttempt]*attempt
	parkedCount   int
	runningCount  int
	timers        timerHeap
	reservations  []*reservation
	reservingGang *job
	dueProbes     []*node
	leavingNodes  []*node
	pendingStops  []*attempt
	movableJobs   movableHeap

	startPermit      StartPermit
	startTokens      float64
	tokensRefilledAt time.Time
	evacuating       bool

	startsThisTick      int
	searchesThisTick    int
	preemptionsThisTick int
	nextTeam            int
	nextNode            int
	pendingDecisions    []Decision
	decisionLog         [decisionLogSize]Decision
	decisionCount       int
	rankBuffer          []rankedGroup
}

// Configure puts a manifest version in force.
func (e *Engine) Configure(_ time.Time, published manifest.Published) {
	e.manifestVersion = published.Version
	e.limits = published.Manifest.Limits
	e.configureServices(published.Manifest.Services)
	e.configureClasses(published.Manifest.Classes)
	e.configureTeams(published.Manifest.Teams)
}

// SetQuotaShare sets which part of each team's quota this shard may use, in
// thousandths; 0 and 1000 are all of it. Shards do not know of each other, so the
// caller divides the quotas.
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

// configureTeams enters the quotas. A team that is no longer declared keeps its
// running tasks and starts none.
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
	for _, declared := range teams {
		e.setTeamParent(e.teamByName(declared.Name), declared.Parent)
	}
}

// setTeamParent moves what a team uses from its old parents to the new ones. A parent
// that would close a cycle is ignored.
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

// addUsageOf adds or takes what another team uses.
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

// scaleByThousandths returns a part of an amount without overflow for large amounts.
func scaleByThousandths(amount int64, part int) int64 {
	return amount/1000*int64(part) + amount%1000*int64(part)/1000
}

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

// SetEpoch sets the epoch of the owner. Attempts are epoch<<32 plus a sequence
// number, so those of a later owner are higher. An epoch that isn't higher changes
// nothing. After 2^32 starts in one epoch nothing starts until the next.
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

// Allow sets whether tasks may start. Nothing starts before the first call.
func (e *Engine) Allow(now time.Time, permit StartPermit) {
	if permit.Ramp > 0 && (e.startPermit.Ramp == 0 || !e.startPermit.Starts) {
		e.startTokens, e.tokensRefilledAt = 0, now
	}
	e.startPermit = permit
}

// refillStartTokens adds the starts that the ramp allows since the last tick.
func (e *Engine) refillStartTokens(now time.Time) {
	if e.startPermit.Ramp <= 0 {
		return
	}
	rate := float64(e.startPermit.Ramp)
	e.startTokens = min(e.startTokens+now.Sub(e.tokensRefilledAt).Seconds()*rate, max(rate/4, 1))
	e.tokensRefilledAt = now
}

// mayStart reports whether this tick may start another so many tasks.
func (e *Engine) mayStart(count int) bool {
	if e.startPermit.Ramp > 0 && e.startTokens < float64(min(count, max(e.startPermit.Ramp/4, 1))) {
		return false
	}
	if uint64(e.attemptSequence)+uint64(count) > math.MaxUint32 {
		return false
	}
	return e.startsThisTick == 0 || e.startsThisTick+count <= maxStartsPerTick
}

// Tick returns the decisions that are due. Its work is bounded whatever the
// length of the queue; call it several times a second.
func (e *Engine) Tick(now time.Time) []Decision {
	e.startsThisTick, e.searchesThisTick, e.preemptionsThisTick = 0, 0, 0
	clear(e.coefficientCache)
	clear(e.ratioLimitCache)
	e.fireTimers(now)
	e.processStops(now)
	e.drainLeavingNodes(now)
	if e.startPermit.Starts && !e.evacuating {
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

// record records a decision and returns it from the next Tick.
func (e *Engine) record(d Decision) {
	d.Manifest = e.manifestVersion
	e.pendingDecisions = append(e.pendingDecisions, d)
	e.decisionLog[e.decisionCount%decisionLogSize] = d
	e.decisionCount++
}

// fireTimers handles the jobs and workers whose delay is over.
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

// processStops stops attempts of cancelled jobs and of an evacuation.
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
		e.evict(now, a, ReasonZoneOut, Facts{})
	}
}

// orphanReason tells why no job wants an attempt.
func (e *Engine) orphanReason(a *attempt) Reason {
	if id, _, ok := parseTaskID(a.orphanTask); ok && e.jobs[id] != nil {
		return ReasonSuperseded
	}
	return ReasonUnknownJob
}

// drainLeavingNodes stops the tasks of leaving workers.
func (e *Engine) drainLeavingNodes(now time.Time) {
	remaining := maxStopsPerTick
	for len(e.leavingNodes) > 0 && remaining > 0 {
		n := e.leavingNodes[0]
		e.leavingNodes = e.leavingNodes[1:]
		if n.removed() || n.State != Leaving {
			continue
		}
		for _, a := range n.attempts {
			e.evict(now, a, ReasonWorkerLeaves, Facts{})
			remaining--
		}
	}
}

// kill stops an attempt at once.
func (e *Engine) kill(now time.Time, a *attempt, reason Reason) {
	if a.killed {
		return
	}
	e.markStopping(now, a)
	a.killed = true
	d := e.attemptDecision(Stop, a, reason)
	d.Mode = worker.StopKill
	e.record(d)
}

// evict checkpoints and stops an attempt. One that can't write checkpoints starts
// again from its beginning.
func (e *Engine) evict(now time.Time, a *attempt, reason Reason, facts Facts) {
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

// attemptDecision returns a decision attemptDecision an attempt.
func (e *Engine) attemptDecision(kind Kind, a *attempt, reason Reason) Decision {
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
