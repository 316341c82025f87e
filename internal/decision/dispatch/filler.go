package dispatch

import (
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/interference"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/manifest"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

const (
	// fullPace is the share of its speed, in percent, at which a task starts.
	fullPace = 100
	// unknownPace marks a run of an earlier owner, which may have slowed it down.
	unknownPace = -1
	// paceRetryInterval is the time after which a pace command without effect is repeated.
	paceRetryInterval = 500 * time.Millisecond
	// measureLag is the period of a measurement: a change shows only after it.
	measureLag = 600 * time.Millisecond
	// measurePeriod is the time between two measurements of a worker.
	measurePeriod = 450 * time.Millisecond
	// beginLag is the age from which a filler may be the cause of a bad measurement.
	beginLag = 150 * time.Millisecond
	// evictAbove is the probability of disturbing a serving task at which a filler
	// must leave, and placeBelow that up to which one is placed. The gap keeps fillers
	// from coming back at once.
	evictAbove = 0.65
	placeBelow = 0.62
	// maxTrials bounds the fillers that try an uncertain pair at the same time, and
	// trialTime is how long a filler counts as trying.
	maxTrials = 6
	trialTime = 1200 * time.Millisecond
	// paceStep multiplies the pace of all fillers of a worker whose serving tasks are
	// too slow without a filler that is known to be the cause.
	paceStep = 0.4
	// harmPatience is how long a serving task may be over its target before that
	// happens: a fraction of what the platform allows, and longer than most peaks of load.
	harmPatience = 1300 * time.Millisecond
	// calmRatio is the tail latency against the target below which the pace rises
	// again, by paceRise percent at a time.
	calmRatio = 0.9
	paceRise  = 50
	// suspectAbove is the probability of disturbing from which a filler may be the
	// cause of a bad measurement after it has left.
	suspectAbove = 0.15
	// evictRatio is the tail latency against the target from which the most suspicious
	// filler leaves before it is known whether it is the cause.
	evictRatio = 1.3
	// tailWeight is the weight of a new sample in the smoothed tail of a worker.
	tailWeight = 0.3
	// interferenceCheckInterval is the time between two looks at what the fillers disturb. Reports
	// come at longer intervals.
	interferenceCheckInterval = 50 * time.Millisecond
	// minPace is the pace, in percent, below which fillers are held still.
	minPace = 10
)

// pace is the share of its speed that a task was given, in percent.
type pace struct {
	percent int
	sentAt  time.Time
	// acceptedAt is when the worker accepted the pace; zero for the pace of the start.
	acceptedAt time.Time
}

// pairOf names a serving image and a filler image for the interference estimates.
func pairOf(serving, filler Image) interference.Pair {
	return interference.Pair{Service: manifest.ServiceName(serving), Class: manifest.ClassName(filler)}
}

// harmControl slows down all fillers of one worker while its serving tasks are too
// slow and no single filler is to blame.
type harmControl struct {
	// overSince is when a serving task was first over its target, zero if none is.
	overSince time.Time
	changedAt time.Time
	// lowered is what full pace is lowered by, in percent.
	lowered int
}

// target returns the pace for fillers.
func (c *harmControl) target() int {
	return fullPace - c.lowered
}

// adjust chooses the pace after a sample of the worst serving task. A filler that is
// known to disturb is held still soon.
func (c *harmControl) adjust(now time.Time, ratio float64, intruder bool) {
	if ratio <= 1 {
		c.overSince = time.Time{}
	} else if c.overSince.IsZero() {
		c.overSince = now
	}
	settled := now.Sub(c.changedAt) >= measureLag
	switch {
	case intruder && ratio > 1 && now.Sub(c.overSince) >= interferingPauseDelay && c.lowered < fullPace:
		c.lowered, c.changedAt = fullPace, now
	case !settled:
	case ratio > 1 && now.Sub(c.overSince) >= harmPatience && c.lowered < fullPace:
		next := int(float64(c.target()) * paceStep)
		if next < minPace {
			next = 0
		}
		c.lowered, c.changedAt = fullPace-next, now
	case ratio < calmRatio && c.lowered > 0:
		c.lowered, c.changedAt = max(c.lowered-paceRise, 0), now
	}
}

// observeTailLatencies learns from the tail latencies in a report.
func (e *Engine) observeTailLatencies(now time.Time, n *node, r Report) {
	tails := n.tailSamples(r)
	worst := 0.0
	for _, sample := range tails {
		worst = max(worst, sample.ratio)
	}
	e.noteFault(now, n, tails, worst)
	for image, sample := range tails {
		if n.isFaulty(now) {
			e.checkFault(now, n, sample)
			continue
		}
		if sample.ratio > evictRatio {
			e.evictSuspect(now, n, sample.step)
		}
		// A measurement is repeated until the next one, and counts once.
		if now.Sub(n.sampledAt[image]) < measurePeriod {
			continue
		}
		n.sampledAt[image] = now
		beside := e.suspects(now, n, sample.step, sample.ratio)
		e.interferenceOdds.Observe(now, sample.ratio, beside)
		e.noteVerdicts(now, n, beside)
	}
	n.tailLatencyRatio += tailWeight * (worst - n.tailLatencyRatio)
	n.paceControl.adjust(now, worst, n.hasInterferingFiller())
}

// tailSample is the slowest serving task of an image on a worker.
type tailSample struct {
	step *step
	// ratio is its tail latency against its target.
	ratio float64
}

// tailSamples returns the slowest task of each serving image in a report. Tasks of one image
// behave alike, so together they say no more than one.
func (n *node) tailSamples(r Report) map[Image]tailSample {
	slowest := map[Image]tailSample{}
	for _, run := range r.Running {
		a := n.runs[run.Task]
		if a == nil || a.run != run.Run || a.task.step.Target <= 0 || run.Percent < startedUpPercent {
			continue
		}
		ratio := float64(run.Measure) * float64(time.Millisecond) / float64(a.task.step.Target)
		if known, seen := slowest[a.task.step.Image]; !seen || ratio > known.ratio {
			slowest[a.task.step.Image] = tailSample{a.task.step, ratio}
		}
	}
	return slowest
}

// noteVerdicts records when it becomes known that a pair disturbs, or that it doesn't.
func (e *Engine) noteVerdicts(now time.Time, n *node, beside []interference.Neighbor) {
	for _, b := range beside {
		p := e.interferenceOdds.Probability(now, b.Pair)
		disturbs, judged := e.recordedInterference[b.Pair]
		switch {
		case p > evictAbove && (!judged || !disturbs):
			e.recordedInterference[b.Pair] = true
			e.record(now, Decision{Event: "PairDisturbs", Worker: n.ID, Reason: string(b.Pair.Class) + " beside " + string(b.Pair.Service)})
		case p < maxHarmlessProbability && (!judged || disturbs):
			e.recordedInterference[b.Pair] = false
			e.record(now, Decision{Event: "PairHarmless", Worker: n.ID, Reason: string(b.Pair.Class) + " beside " + string(b.Pair.Service)})
		}
	}
}

// suspects returns the fillers on which a measurement of a serving step bears.
// A good one clears those that ran at full pace for all of its period. A bad one
// accuses all, but none while a suspicious one that has just left may be the cause.
func (e *Engine) suspects(now time.Time, n *node, serving *step, ratio float64) []interference.Neighbor {
	if ratio > 1 && e.suspectLeft(now, n, serving) {
		return nil
	}
	var beside []interference.Neighbor
	for _, a := range n.runs {
		if !a.task.step.Filler {
			continue
		}
		used := float64(a.measure)
		if ratio <= 1 {
			if a.pace.percent != fullPace || now.Sub(a.sentAt) < measureLag || now.Sub(a.pace.acceptedAt) < measureLag {
				continue
			}
		} else {
			if now.Sub(a.sentAt) < beginLag {
				continue
			}
			if used == 0 {
				used = float64(int(a.fillerProcessors) * max(a.pace.percent, 0) / fullPace)
			}
		}
		part := used / float64(max(n.Capacity.Processors, 1))
		beside = addNeighbor(beside, pairOf(serving.Image, a.task.step.Image), part)
	}
	return beside
}

// addNeighbor adds the use of a filler to that of its image.
func addNeighbor(list []interference.Neighbor, pair interference.Pair, part float64) []interference.Neighbor {
	for i := range list {
		if list[i].Pair == pair {
			list[i].Share += part
			return list
		}
	}
	return append(list, interference.Neighbor{Pair: pair, Share: part})
}

// suspectLeft reports whether a filler that may disturb the step has just left.
func (e *Engine) suspectLeft(now time.Time, n *node, serving *step) bool {
	suspicious := false
	for image, at := range n.fillerReducedAt {
		if now.Sub(at) >= measureLag {
			delete(n.fillerReducedAt, image)
			continue
		}
		if e.interferenceOdds.Probability(now, pairOf(serving.Image, image)) >= suspectAbove {
			suspicious = true
		}
	}
	return suspicious
}

// controlInterference moves fillers away from serving tasks that they disturb, and sends
// the paces that fillers don't have yet.
func (e *Engine) controlInterference(now time.Time) {
	if now.Sub(e.interferenceCheckedAt) < interferenceCheckInterval {
		return
	}
	e.interferenceCheckedAt = now
	for _, n := range e.sortedWorkers {
		if n.fillerProcessors == 0 || n.missedPolls > 0 {
			continue
		}
		for _, a := range n.runs {
			if a.task.step.Filler && a.phase == running {
				e.controlFiller(now, n, a)
			}
		}
	}
}

func (e *Engine) controlFiller(now time.Time, n *node, a *attempt) {
	if !a.interfering && e.interferenceProbability(now, a.task.step, n) > evictAbove {
		e.count("Task.Evicted.Disturbs")
		e.stop(now, a, "disturbs a serving task")
		return
	}
	if n.isFaulty(now) && e.chooseWorker(now, a.task) != nil {
		e.count("Task.Evicted.Faulty")
		e.stop(now, a, "its worker is slow by itself")
		return
	}
	want := n.paceControl.target()
	if a.pace.percent != want && now.Sub(a.pace.sentAt) >= paceRetryInterval {
		e.sendPace(now, a, want)
	}
}

// evictSuspect stops the filler that most likely makes a serving task slow, unless
// one was stopped so recently that measurements don't show the effect yet.
func (e *Engine) evictSuspect(now time.Time, n *node, serving *step) {
	if now.Sub(n.suspectEvictedAt) < measureLag || n.hasInterferingFiller() {
		return
	}
	var worst *attempt
	highest := suspectAbove
	for _, a := range n.runs {
		if !a.task.step.Filler || a.phase != running || now.Sub(a.sentAt) < beginLag {
			continue
		}
		p := e.interferenceOdds.Probability(now, pairOf(serving.Image, a.task.step.Image))
		if p > highest {
			worst, highest = a, p
		}
	}
	if worst == nil {
		return
	}
	n.suspectEvictedAt = now
	e.count("Task.Evicted.Suspect")
	e.stop(now, worst, "may disturb a serving task")
}

func (e *Engine) sendPace(now time.Time, a *attempt, percent int) {
	a.pace.sentAt = now
	e.count("Task.Paced")
	e.commands = append(e.commands, Command{
		Worker: a.worker.ID, Address: a.worker.Address, TaskRun: a.taskRun(), Pace: &percent,
	})
}

// Paced notes that a worker accepted a pace command.
func (e *Engine) Paced(now time.Time, id membership.InstanceID, r TaskRun, percent int) {
	if a := e.findAttempt(id, r); a != nil {
		if percent < a.pace.percent {
			a.worker.fillerReducedAt[a.task.step.Image] = now
		}
		a.pace.percent, a.pace.acceptedAt = percent, now
	}
}

// countTrials counts the fillers that began lately beside each serving image.
func (e *Engine) countTrials(now time.Time) {
	clear(e.trialRuns)
	for _, n := range e.sortedWorkers {
		if n.fillerProcessors == 0 || len(n.servingImages) == 0 {
			continue
		}
		for _, a := range n.runs {
			if a.task.step.Filler && now.Sub(a.sentAt) < trialTime {
				e.addTrial(n, a.task.step.Image)
			}
		}
	}
}

func (e *Engine) addTrial(n *node, filler Image) {
	for serving := range n.servingImages {
		e.trialRuns[pairOf(serving, filler)]++
	}
}

// mayTry reports whether a filler may begin beside serving images of which it isn't
// known whether it disturbs them. A few at a time find out what all would suffer from.
func (e *Engine) mayTry(now time.Time, s *step, n *node) bool {
	for serving := range n.servingImages {
		pair := pairOf(serving, s.Image)
		if e.interferenceOdds.Probability(now, pair) > maxHarmlessProbability && e.trialRuns[pair] >= maxTrials {
			return false
		}
	}
	return true
}

// interferenceProbability returns how likely a filler of the step disturbs a serving task of
// the worker, 0 to 1.
func (e *Engine) interferenceProbability(now time.Time, s *step, n *node) float64 {
	harm := 0.0
	for image := range n.servingImages {
		harm = max(harm, e.interferenceOdds.Probability(now, pairOf(image, s.Image)))
	}
	return harm
}

// Estimates returns what was learned about which images disturb each other.
func (e *Engine) Estimates(now time.Time) []interference.Estimate {
	return e.interferenceOdds.Estimates(now)
}

// MergeEstimates takes over what another owner has learned and this one hasn't.
func (e *Engine) MergeEstimates(now time.Time, list []interference.Estimate) {
	e.interferenceOdds.Merge(now, list)
}

// RestoreEstimates takes over what an earlier owner learned.
func (e *Engine) RestoreEstimates(now time.Time, list []interference.Estimate) {
	e.interferenceOdds.Restore(now, list)
}
