package dispatch

import (
	"slices"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
)

const (
	// clockErrorPercent bounds how much slower a worker's clock may run.
	clockErrorPercent = 3
	// leaseEndMargin covers the way of a message and the end of killed runs.
	leaseEndMargin = 300 * time.Millisecond
	// maxReportAge is the age of the last report beyond which a worker gets nothing
	// new: the longest wait of a poll and the time for a few lost packets.
	maxReportAge = 2500 * time.Millisecond
	// stopRetryInterval is the time after which a stop command is sent again.
	stopRetryInterval = 400 * time.Millisecond
)

// phase of an attempt.
type phase int

const (
	// starting attempts wait for the answer to the start command.
	starting phase = iota
	// running attempts were accepted, or listed by the worker.
	running
	// unconfirmed attempts got no answer and aren't listed yet.
	unconfirmed
	// stopping attempts were told to stop. That also keeps a start that arrives
	// late from being carried out.
	stopping
)

// attempt is a run that may be going on. It holds its worker's capacity.
type attempt struct {
	task     *task
	run      Run
	worker   *node
	phase    phase
	reserved resource.Vector
	// fillerProcessors is the processors that a fillerProcessors asks for beyond what is reserved.
	fillerProcessors resource.MilliProcessors
	sentAt           time.Time
	// acceptedClock is the worker's clock at which the run was accepted.
	acceptedClock time.Duration
	// previousRun is the task's highest run before a gang's attempt to find room.
	previousRun Run
	// adopted runs were started by an earlier owner.
	adopted bool
	// restarted reports that the worker restarted before it answered the start.
	restarted bool
	// forced fillers were started because they had waited for long. Intruders among them
	// run beside serving tasks that they disturb, at the pace that those stand.
	forced      bool
	interfering bool
	// stopPending attempts are stopped once the start is answered.
	stopPending bool
	stopSentAt  time.Time
	// stopAcceptedClock is the worker's clock when it accepted the stop; 0 before.
	stopAcceptedClock time.Duration
	percent           int
	measure           int
	// firstProgress is where the progress was first seen.
	firstProgress progress
	// progressAt is when percent last rose.
	progressAt time.Time
	pace       pace
}

// node is a worker with its ledger.
type node struct {
	WorkerInfo
	listed bool
	// schedulable workers may get tasks in this tick: they are sound, not quarantined and in a
	// zone that is in service.
	schedulable bool
	unlistedAt  time.Time
	// drainingAt is when the worker was first listed as draining.
	drainingAt  time.Time
	incarnation int64
	// reported reports that the worker has answered this owner.
	reported     bool
	lastReportAt time.Time
	// reportedClock is the worker's reportedClock at heardAt.
	reportedClock time.Duration
	missedPolls   int
	// replaced reports that another worker has taken over the address, so that nothing
	// runs here.
	replaced bool
	// leaseEndSent is the latest lease end that was sent, on the worker's clock.
	leaseEndSent     time.Duration
	runs             map[TaskID]*attempt
	reserved         resource.Vector
	fillerProcessors resource.MilliProcessors
	// servingReserved is the part of used that servingReserved tasks have reserved.
	servingReserved resource.MilliProcessors
	// suspectEvictedAt is when a filler was last stopped on suspicion.
	suspectEvictedAt time.Time
	// sampledAt is when a measurement of each serving image was last learned from.
	sampledAt map[Image]time.Time
	// fillerReducedAt has the images of fillers that left or were slowed down lately, with
	// the time. Measurements still show what they caused.
	fillerReducedAt map[Image]time.Time
	// servingImages counts the serving tasks by image.
	servingImages map[Image]int
	// lastEndSeen is the number of the last end that was processed, observed that of the
	// last one that is stored.
	lastEndSeen   int64
	lastEndStored int64
	// unansweredStarts are the starts without an answer, with the time.
	unansweredStarts map[TaskRun]time.Time
	// orphanStops are runs that aren't this owner's, with the time of the last stop.
	orphanStops map[TaskRun]time.Time
	// untrackedRuns counts the runs in the last report whose room isn't known: those of jobs
	// that this owner doesn't know, and of tasks that it runs elsewhere.
	untrackedRuns int
	// avoidUntil is when a worker that refused starts is tried again.
	avoidUntil      time.Time
	health          health
	slowdownSamples speeds
	fault           fault
	// slowdown is how much longer than elsewhere tasks take, as of the last search for
	// stragglers.
	slowdown    float64
	paceControl harmControl
	// hold keeps the worker's room for one task.
	hold hold
	// fillerValue is how much of the demand for fillers the worker can serve, weighed
	// by scarcity; 1 at the mean.
	fillerValue float64
	// tailLatencyRatio is the smoothed worst tailLatencyRatio latency of the serving tasks, against the target.
	tailLatencyRatio float64
}

func newNode(info WorkerInfo, now time.Time) *node {
	return &node{
		WorkerInfo:       info,
		listed:           true,
		lastReportAt:     now,
		runs:             map[TaskID]*attempt{},
		servingImages:    map[Image]int{},
		fillerReducedAt:  map[Image]time.Time{},
		sampledAt:        map[Image]time.Time{},
		orphanStops:      map[TaskRun]time.Time{},
		unansweredStarts: map[TaskRun]time.Time{},
	}
}

// estimatedClock estimates the worker's clock.
func (n *node) estimatedClock(now time.Time) time.Duration {
	return n.reportedClock + now.Sub(n.lastReportAt)
}

// renewLease returns a lease end to send, and notes it.
func (n *node) renewLease(now time.Time, term time.Duration) time.Duration {
	n.leaseEndSent = max(n.leaseEndSent, n.estimatedClock(now)+term)
	return n.leaseEndSent
}

// maxLeaseDuration bounds the time in which a lease of the given term ends on a slow clock.
func maxLeaseDuration(term time.Duration) time.Duration {
	return term + term*clockErrorPercent/100
}

// leasesExpireAt returns when no run can be going on any more if the worker stays silent.
func (n *node) leasesExpireAt() time.Time {
	return n.lastReportAt.Add(maxLeaseDuration(max(n.leaseEndSent-n.reportedClock, 0)) + leaseEndMargin)
}

// isAvailable reports whether the worker answers and may get new tasks.
func (n *node) isAvailable(now time.Time) bool {
	return n.reported && n.listed && !n.Draining && n.missedPolls == 0 &&
		now.Sub(n.lastReportAt) < maxReportAge && !now.Before(n.avoidUntil)
}

// free returns the capacity that nothing has reserved.
func (n *node) free() resource.Vector {
	return n.Capacity.Sub(n.reserved)
}

func (n *node) hasLabel(label Label) bool {
	return slices.Contains(n.Labels, label)
}

// add enters an attempt in the ledger.
func (n *node) add(a *attempt) {
	n.runs[a.task.id] = a
	n.reserved = n.reserved.Add(a.reserved)
	n.fillerProcessors += a.fillerProcessors
	if a.task.step.Target > 0 {
		n.servingReserved += a.reserved.Processors
		n.servingImages[a.task.step.Image]++
	}
	a.task.step.perWorker[n]++
	a.task.step.job.activeAttempts++
	a.task.attempt = a
	a.task.run = max(a.task.run, a.run)
	a.task.deferredSince = time.Time{}
}

// remove takes an attempt out of the ledger.
func (n *node) remove(a *attempt, now time.Time) {
	if n.runs[a.task.id] != a {
		return
	}
	delete(n.runs, a.task.id)
	n.reserved = n.reserved.Sub(a.reserved)
	n.fillerProcessors -= a.fillerProcessors
	if a.fillerProcessors > 0 {
		n.fillerReducedAt[a.task.step.Image] = now
	}
	if a.task.step.Target > 0 {
		n.servingReserved -= a.reserved.Processors
		n.servingImages[a.task.step.Image]--
		if n.servingImages[a.task.step.Image] == 0 {
			delete(n.servingImages, a.task.step.Image)
		}
	}
	s := a.task.step
	s.perWorker[n]--
	if s.perWorker[n] == 0 {
		delete(s.perWorker, n)
	}
	s.job.activeAttempts--
	if a.task.attempt == a {
		a.task.attempt = nil
		a.task.lastReportAt = n.lastReportAt
	}
}

// taskRun names the run.
func (a *attempt) taskRun() TaskRun {
	return TaskRun{a.task.id, a.run}
}

// newAttempt returns an attempt of the task with what it takes from a worker.
func newAttempt(t *task, run Run, n *node, now time.Time) *attempt {
	a := &attempt{task: t, run: run, worker: n, reserved: t.step.Reserved(), sentAt: now, progressAt: now}
	a.firstProgress.at = now
	a.pace.percent = fullPace
	if t.step.Filler {
		a.fillerProcessors = t.step.Resources.Processors
	}
	return a
}
