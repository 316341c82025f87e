package dispatch

import (
	"slices"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
)

const (
	// clockErrorPercent bounds how much slower a worker's clock may run.
	clockErrorPercent = 3
	// inFlightMargin covers the way of a message and the end of killed runs.
	inFlightMargin = 300 * time.Millisecond
	// heardWithin is the age of the last report beyond which a worker gets nothing
	// new: the longest wait of a poll and the time for a few lost packets.
	heardWithin = 2500 * time.Millisecond
	// stopRepeat is the time after which a stop command is sent again.
	stopRepeat = 400 * time.Millisecond
)

// phase of an attempt.
type phase int

const (
	// sending attempts wait for the answer to the start command.
	sending phase = iota
	// running attempts were accepted, or listed by the worker.
	running
	// inDoubt attempts got no answer and aren't listed yet.
	inDoubt
	// stopping attempts were told to stop. That also keeps a start that arrives
	// late from being carried out.
	stopping
)

// attempt is a run that may be going on. It holds its worker's capacity.
type attempt struct {
	task     *task
	run      Run
	node     *node
	phase    phase
	reserved resource.Vector
	// filler is the processors that a filler asks for beyond what is reserved.
	filler resource.MilliProcessors
	sentAt time.Time
	// since is the worker's clock at which the run was accepted.
	since time.Duration
	// earlier is the task's highest run before a gang's attempt to find room.
	earlier Run
	// adopted runs were started by an earlier owner.
	adopted bool
	// restarted reports that the worker restarted before it answered the start.
	restarted bool
	// forced fillers were started because they had waited for long. Intruders among them
	// run beside serving tasks that they disturb, at the pace that those stand.
	forced   bool
	intruder bool
	// stopWanted attempts are stopped once the start is answered.
	stopWanted bool
	stopSent   time.Time
	// stopClock is the worker's clock when it accepted the stop; 0 before.
	stopClock time.Duration
	percent   int
	measure   int
	// begin is where the progress was first seen.
	begin progress
	// progressAt is when percent last rose.
	progressAt time.Time
	pace       pace
}

// node is a worker with its ledger.
type node struct {
	WorkerInfo
	listed bool
	// open workers may get tasks in this tick: they are sound, not quarantined and in a
	// zone that is in service.
	open       bool
	unlistedAt time.Time
	// drainingAt is when the worker was first listed as draining.
	drainingAt time.Time
	born       int64
	// heard reports that the worker has answered this owner.
	heard   bool
	heardAt time.Time
	// clock is the worker's clock at heardAt.
	clock  time.Duration
	misses int
	// replaced reports that another worker has taken over the address, so that nothing
	// runs here.
	replaced bool
	// leaseSent is the latest lease end that was sent, on the worker's clock.
	leaseSent time.Duration
	runs      map[TaskID]*attempt
	used      resource.Vector
	fillers   resource.MilliProcessors
	// serving is the part of used that serving tasks have reserved.
	serving resource.MilliProcessors
	// suspectEvicted is when a filler was last stopped on suspicion.
	suspectEvicted time.Time
	// sampledAt is when a measurement of each serving image was last learned from.
	sampledAt map[Image]time.Time
	// departed has the images of fillers that left or were slowed down lately, with
	// the time. Measurements still show what they caused.
	departed map[Image]time.Time
	// images counts the serving tasks by image.
	images map[Image]int
	// seen is the number of the last end that was processed, observed that of the
	// last one that is stored.
	seen     int64
	observed int64
	// doubts are the starts without an answer, with the time.
	doubts map[TaskRun]time.Time
	// strays are runs that aren't this owner's, with the time of the last stop.
	strays map[TaskRun]time.Time
	// unknownRuns counts the runs in the last report whose room isn't known: those of jobs
	// that this owner doesn't know, and of tasks that it runs elsewhere.
	unknownRuns int
	// avoidUntil is when a worker that refused starts is tried again.
	avoidUntil time.Time
	health     health
	speeds     speeds
	fault      fault
	// slowdown is how much longer than elsewhere tasks take, as of the last search for
	// stragglers.
	slowdown float64
	harm     harmControl
	// hold keeps the worker's room for one task.
	hold hold
	// fillerValue is how much of the demand for fillers the worker can serve, weighed
	// by scarcity; 1 at the mean.
	fillerValue float64
	// tail is the smoothed worst tail latency of the serving tasks, against the target.
	tail float64
}

func newNode(info WorkerInfo, now time.Time) *node {
	return &node{
		WorkerInfo: info,
		listed:     true,
		heardAt:    now,
		runs:       map[TaskID]*attempt{},
		images:     map[Image]int{},
		departed:   map[Image]time.Time{},
		sampledAt:  map[Image]time.Time{},
		strays:     map[TaskRun]time.Time{},
		doubts:     map[TaskRun]time.Time{},
	}
}

// clockNow estimates the worker's clock.
func (n *node) clockNow(now time.Time) time.Duration {
	return n.clock + now.Sub(n.heardAt)
}

// renewal returns a lease end to send, and notes it.
func (n *node) renewal(now time.Time, term time.Duration) time.Duration {
	n.leaseSent = max(n.leaseSent, n.clockNow(now)+term)
	return n.leaseSent
}

// lapse bounds the time in which a lease of the given term ends on a slow clock.
func lapse(term time.Duration) time.Duration {
	return term + term*clockErrorPercent/100
}

// lapsesAt returns when no run can be going on any more if the worker stays silent.
func (n *node) lapsesAt() time.Time {
	return n.heardAt.Add(lapse(max(n.leaseSent-n.clock, 0)) + inFlightMargin)
}

// isSound reports whether the worker answers and may get new tasks.
func (n *node) isSound(now time.Time) bool {
	return n.heard && n.listed && !n.Draining && n.misses == 0 &&
		now.Sub(n.heardAt) < heardWithin && !now.Before(n.avoidUntil)
}

// free returns the capacity that nothing has reserved.
func (n *node) free() resource.Vector {
	return n.Capacity.Sub(n.used)
}

func (n *node) hasLabel(label Label) bool {
	return slices.Contains(n.Labels, label)
}

// add enters an attempt in the ledger.
func (n *node) add(a *attempt) {
	n.runs[a.task.id] = a
	n.used = n.used.Add(a.reserved)
	n.fillers += a.filler
	if a.task.step.Target > 0 {
		n.serving += a.reserved.Processors
		n.images[a.task.step.Image]++
	}
	a.task.step.perWorker[n]++
	a.task.step.job.live++
	a.task.attempt = a
	a.task.run = max(a.task.run, a.run)
	a.task.deferredAt = time.Time{}
}

// remove takes an attempt out of the ledger.
func (n *node) remove(a *attempt, now time.Time) {
	if n.runs[a.task.id] != a {
		return
	}
	delete(n.runs, a.task.id)
	n.used = n.used.Sub(a.reserved)
	n.fillers -= a.filler
	if a.filler > 0 {
		n.departed[a.task.step.Image] = now
	}
	if a.task.step.Target > 0 {
		n.serving -= a.reserved.Processors
		n.images[a.task.step.Image]--
		if n.images[a.task.step.Image] == 0 {
			delete(n.images, a.task.step.Image)
		}
	}
	s := a.task.step
	s.perWorker[n]--
	if s.perWorker[n] == 0 {
		delete(s.perWorker, n)
	}
	s.job.live--
	if a.task.attempt == a {
		a.task.attempt = nil
		a.task.downSince = n.heardAt
	}
}

// taskRun names the run.
func (a *attempt) taskRun() TaskRun {
	return TaskRun{a.task.id, a.run}
}

// newAttempt returns an attempt of the task with what it takes from a worker.
func newAttempt(t *task, run Run, n *node, now time.Time) *attempt {
	a := &attempt{task: t, run: run, node: n, reserved: t.step.Reserved(), sentAt: now, progressAt: now}
	a.begin.at = now
	a.pace.percent = fullPace
	if t.step.Filler {
		a.filler = t.step.Resources.Processors
	}
	return a
}
