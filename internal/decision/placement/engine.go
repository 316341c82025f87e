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
	// maxWakesPerTick bounds the jobs and workers whose delay is over.
	maxWakesPerTick = 1024
	// maxVictimsPerTick bounds the attempts that are evicted for urgent jobs.
	maxVictimsPerTick = 256
	// epochShift is the number of bits of the sequence in an attempt.
	epochShift = 32
)

// Engine places the tasks of one shard. The zero value is ready for use. It must
// be used by one goroutine at a time.
type Engine struct {
	version  manifest.Version
	limits   manifest.Limits
	classes  map[manifest.ClassName]*class
	teams    map[manifest.TeamName]*team
	order    []*team
	services map[manifest.ServiceName]manifest.Service
	declared []manifest.Team
	quota    int

	epoch    worker.Epoch
	sequence uint32

	workers     map[membership.InstanceID]*node
	fleet       []*node
	shapes      map[resource.Vector]int
	capacity    resource.Vector
	quarantined int
	byFree      index
	byPotential index
	sets        serviceSets
	table       interference.Table
	rises       map[interference.Pair]float64
	ratios      map[limitKey]float64

	jobs    map[worker.JobID]*job
	orphans map[worker.TaskAttempt]*attempt
	parked  int
	running int
	timers  timerHeap
	holds   []*hold
	gang    *job
	probes  []*node
	leaving []*node
	stops   []*attempt
	movable movableHeap

	permit     StartPermit
	tokens     float64
	filled     time.Time
	evacuating bool

	starts   int
	searches int
	victims  int
	nextTeam int
	nextNode int
	queue    []Decision
	recent   [recentDecisions]Decision
	recorded int
	ranked   []rankedGroup
}

// Configure puts a manifest version in force.
func (e *Engine) Configure(_ time.Time, published manifest.Published) {
	e.version = published.Version
	e.limits = published.Manifest.Limits
	e.configureServices(published.Manifest.Services)
	e.configureClasses(published.Manifest.Classes)
	e.configureTeams(published.Manifest.Teams)
}

// SetQuotaShare sets which part of each team's quota this shard may use, in
// thousandths; 0 and 1000 are all of it. Shards do not know of each other, so the
// caller divides the quotas.
func (e *Engine) SetQuotaShare(thousandths int) {
	e.quota = thousandths
	e.configureTeams(e.declared)
}

func (e *Engine) configureServices(services []manifest.Service) {
	e.services = make(map[manifest.ServiceName]manifest.Service, len(services))
	for _, s := range services {
		e.services[s.Name] = s
	}
}

func (e *Engine) configureClasses(classes []manifest.Class) {
	for _, c := range classes {
		k := e.class(c.Name)
		k.maxAttempts = c.MaxAttempts
	}
}

// configureTeams enters the quotas. A team that is no longer declared keeps its
// running tasks and starts none.
func (e *Engine) configureTeams(teams []manifest.Team) {
	e.declared = teams
	for _, t := range e.order {
		t.known, t.quota, t.urgentQuota = false, resource.Vector{}, resource.Vector{}
	}
	for _, declared := range teams {
		t := e.team(declared.Name)
		t.known = true
		t.quota = e.scale(declared.Quota)
		t.urgentQuota = e.scale(declared.UrgentQuota)
		t.weight = float64(max(declared.Weight, 1))
	}
	for _, declared := range teams {
		e.reparent(e.team(declared.Name), declared.Parent)
	}
}

// reparent moves what a team uses from its old parents to the new ones. A parent
// that would close a cycle is ignored.
func (e *Engine) reparent(t *team, name manifest.TeamName) {
	var parent *team
	if name != "" {
		parent = e.team(name)
	}
	for p := parent; p != nil; p = p.parent {
		if p == t {
			return
		}
	}
	if t.parent == parent {
		return
	}
	t.parent.shift(t, -1)
	t.parent = parent
	t.parent.shift(t, 1)
}

// shift adds or takes what another team uses.
func (t *team) shift(other *team, sign int) {
	used, urgent := other.used, other.urgentUsed
	if sign < 0 {
		used, urgent = resource.Vector{}.Sub(used), resource.Vector{}.Sub(urgent)
	}
	t.charge(used, Normal)
	for p := t; p != nil; p = p.parent {
		p.urgentUsed = p.urgentUsed.Add(urgent)
	}
	t.add(sign*other.running, sign*other.queued)
}

func (e *Engine) scale(v resource.Vector) resource.Vector {
	if e.quota <= 0 || e.quota >= 1000 {
		return v
	}
	return resource.Vector{
		Processors:   resource.MilliProcessors(thousandths(int64(v.Processors), e.quota)),
		Memory:       resource.Bytes(thousandths(int64(v.Memory), e.quota)),
		Accelerators: resource.Accelerators(thousandths(int64(v.Accelerators), e.quota)),
	}
}

// thousandths returns a part of an amount without overflow for large amounts.
func thousandths(amount int64, part int) int64 {
	return amount/1000*int64(part) + amount%1000*int64(part)/1000
}

func (e *Engine) team(name manifest.TeamName) *team {
	t := e.teams[name]
	if t == nil {
		if e.teams == nil {
			e.teams = map[manifest.TeamName]*team{}
		}
		t = &team{name: name, weight: 1}
		e.teams[name] = t
		e.order = append(e.order, t)
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
	e.sequence = 0
}

func (e *Engine) nextAttempt() worker.Attempt {
	e.sequence++
	return worker.Attempt(e.epoch)<<epochShift | worker.Attempt(e.sequence)
}

// Allow sets whether tasks may start. Nothing starts before the first call.
func (e *Engine) Allow(now time.Time, permit StartPermit) {
	if permit.Ramp > 0 && (e.permit.Ramp == 0 || !e.permit.Starts) {
		e.tokens, e.filled = 0, now
	}
	e.permit = permit
}

// refill adds the starts that the ramp allows since the last tick.
func (e *Engine) refill(now time.Time) {
	if e.permit.Ramp <= 0 {
		return
	}
	rate := float64(e.permit.Ramp)
	e.tokens = min(e.tokens+now.Sub(e.filled).Seconds()*rate, max(rate/4, 1))
	e.filled = now
}

// mayStart reports whether this tick may start another so many tasks.
func (e *Engine) mayStart(count int) bool {
	if e.permit.Ramp > 0 && e.tokens < float64(min(count, max(e.permit.Ramp/4, 1))) {
		return false
	}
	if uint64(e.sequence)+uint64(count) > math.MaxUint32 {
		return false
	}
	return e.starts == 0 || e.starts+count <= maxStartsPerTick
}

// Tick returns the decisions that are due. Its work is bounded whatever the
// length of the queue; call it several times a second.
func (e *Engine) Tick(now time.Time) []Decision {
	e.starts, e.searches, e.victims = 0, 0, 0
	clear(e.rises)
	clear(e.ratios)
	e.wake(now)
	e.stopSome(now)
	e.emptyLeaving(now)
	if e.permit.Starts && !e.evacuating {
		e.refill(now)
		e.serveHolds(now)
		e.placeAll(now, Urgent)
		e.probeSome(now)
		e.placeAll(now, Normal)
	}
	out := e.queue
	e.queue = nil
	return out
}

// emit records a decision and returns it from the next Tick.
func (e *Engine) emit(d Decision) {
	d.Manifest = e.version
	e.queue = append(e.queue, d)
	e.recent[e.recorded%recentDecisions] = d
	e.recorded++
}

// wake handles the jobs and workers whose delay is over.
func (e *Engine) wake(now time.Time) {
	for range maxWakesPerTick {
		if len(e.timers) == 0 || e.timers[0].at.After(now) {
			return
		}
		t := e.timers.next()
		if t.job != nil {
			t.job.asleep = false
			e.enqueue(now, t.job)
		}
		if t.node != nil {
			e.wakeNode(now, t.node)
		}
	}
}

// stopSome stops attempts of cancelled jobs and of an evacuation.
func (e *Engine) stopSome(now time.Time) {
	count := min(len(e.stops), maxStopsPerTick)
	for _, a := range e.stops[:count] {
		if a.node != nil {
			e.stopNow(now, a)
		}
	}
	e.stops = e.stops[count:]
	if len(e.stops) == 0 {
		e.stops = nil
	}
}

func (e *Engine) stopNow(now time.Time, a *attempt) {
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
	if id, _, ok := splitTask(a.orphan); ok && e.jobs[id] != nil {
		return ReasonSuperseded
	}
	return ReasonUnknownJob
}

// emptyLeaving stops the tasks of leaving workers.
func (e *Engine) emptyLeaving(now time.Time) {
	left := maxStopsPerTick
	for len(e.leaving) > 0 && left > 0 {
		n := e.leaving[0]
		e.leaving = e.leaving[1:]
		if n.gone() || n.State != Leaving {
			continue
		}
		for _, a := range n.attempts {
			e.evict(now, a, ReasonWorkerLeaves, Facts{})
			left--
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
	d := e.about(Stop, a, reason)
	d.Mode = worker.StopKill
	e.emit(d)
}

// evict checkpoints and stops an attempt. One that can't write checkpoints starts
// again from its beginning.
func (e *Engine) evict(now time.Time, a *attempt, reason Reason, facts Facts) {
	if a.stopping {
		return
	}
	e.markStopping(now, a)
	d := e.about(Evict, a, reason)
	d.Mode = worker.StopKill
	if d.Checkpointable {
		d.Mode = worker.StopCheckpoint
	}
	d.Facts = facts
	e.emit(d)
}

// about returns a decision about an attempt.
func (e *Engine) about(kind Kind, a *attempt, reason Reason) Decision {
	d := Decision{
		Kind:        kind,
		TaskAttempt: worker.TaskAttempt{Task: a.task(), Attempt: a.number},
		Class:       a.class(),
		Worker:      a.node.ID,
		Resources:   a.reserve,
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
