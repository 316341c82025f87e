package dispatch

import (
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/interference"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/mechanism"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/manifest"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

const (
	// fullPacePercent is the pace at which a task starts: its full speed.
	fullPacePercent = 100
	// unknownPace marks a run of an earlier owner, which may have slowed the run down.
	unknownPace = -1
	// paceRetryInterval is the time after which a pace command without effect is sent
	// again.
	paceRetryInterval = 500 * time.Millisecond
	// measurementLag is the period that a measurement covers. A change shows fully only
	// after it.
	measurementLag = 600 * time.Millisecond
	// measurementPeriod is the time between two measurements of a worker.
	measurementPeriod = 450 * time.Millisecond
	// minSuspectAge is the age from which a filler can be the cause of a bad
	// measurement.
	minSuspectAge = 150 * time.Millisecond
	// evictProbability is the probability of interfering with a serving task above
	// which a filler is stopped, and maxPlaceProbability the one up to which a filler
	// is placed. The gap keeps fillers from returning immediately.
	evictProbability    = 0.65
	maxPlaceProbability = 0.62
	// maxTrialRuns limits the fillers of a pair with uncertain interference that start
	// within trialDuration. Their measurements show whether the pair interferes.
	maxTrialRuns  = 6
	trialDuration = 1200 * time.Millisecond
	// paceDecreaseFactor is multiplied by the pace of all fillers of a worker whose
	// serving tasks are too slow while no filler is known to be the cause.
	paceDecreaseFactor = 0.4
	// paceDecreaseDelay is how long a serving task may exceed its target before the
	// pace is decreased: a fraction of what the platform allows, and longer than most
	// load peaks.
	paceDecreaseDelay = 1300 * time.Millisecond
	// paceIncreaseRatio is the ratio of tail latency to target below which the pace
	// increases again, by paceIncreasePercent at a time.
	paceIncreaseRatio   = 0.9
	paceIncreasePercent = 50
	// suspectProbability is the interference probability from which a filler is
	// suspected of causing a bad measurement, even if it has just left.
	suspectProbability = 0.15
	// evictSuspectRatio is the ratio of tail latency to target above which the most
	// likely filler is stopped before it is known whether it is the cause.
	evictSuspectRatio = 1.3
	// tailSmoothing is the weight of a new sample in the smoothed tail latency ratio of
	// a worker.
	tailSmoothing = 0.3
	// interferenceCheckInterval is the time between two checks of fillers for
	// interference. Reports arrive at longer intervals.
	interferenceCheckInterval = 50 * time.Millisecond
	// minPacePercent is the pace below which fillers are paused.
	minPacePercent = 10
)

// pace is the speed that a task was given, in percent of its full speed.
type pace struct {
	percent int
	sentAt  time.Time
	// acceptedAt is when the worker accepted the pace. It is zero for the pace at the
	// start.
	acceptedAt time.Time
}

// pairOf returns the pair of a serving image and a filler image for the interference
// estimates.
func pairOf(serving, filler Image) interference.Pair {
	return interference.Pair{Service: manifest.ServiceName(serving), Class: manifest.ClassName(filler)}
}

// paceControl slows down all fillers of one worker while its serving tasks are too slow
// and either no single filler is known to be the cause or it is a force-started one.
type paceControl struct {
	// overTargetSince is when a serving task first exceeded its target, or zero if none
	// does.
	overTargetSince time.Time
	changedAt       time.Time
	// reductionPercent is how far the pace is below full pace.
	reductionPercent int
}

// targetPercent returns the pace that the fillers should have.
func (c *paceControl) targetPercent() int {
	return fullPacePercent - c.reductionPercent
}

// adjust updates the pace after a sample of the slowest serving task. If a force-started
// filler is known to interfere, all fillers are paused, and after a shorter delay.
func (c *paceControl) adjust(now time.Time, ratio float64, interfering bool) {
	if ratio <= 1 {
		c.overTargetSince = time.Time{}
	} else if c.overTargetSince.IsZero() {
		c.overTargetSince = now
	}
	settled := now.Sub(c.changedAt) >= measurementLag
	switch {
	case interfering && ratio > 1 && now.Sub(c.overTargetSince) >= interferingPauseDelay && c.reductionPercent < fullPacePercent:
		c.reductionPercent, c.changedAt = fullPacePercent, now
	case !settled:
	case ratio > 1 && now.Sub(c.overTargetSince) >= paceDecreaseDelay && c.reductionPercent < fullPacePercent:
		next := int(float64(c.targetPercent()) * paceDecreaseFactor)
		if next < minPacePercent {
			next = 0
		}
		c.reductionPercent, c.changedAt = fullPacePercent-next, now
	case ratio < paceIncreaseRatio && c.reductionPercent > 0:
		c.reductionPercent, c.changedAt = max(c.reductionPercent-paceIncreasePercent, 0), now
	}
}

// observeTailLatencies updates the interference estimates and the pace from the tail
// latencies in a report.
func (e *Engine) observeTailLatencies(now time.Time, w *worker, r Report) {
	tails := w.tailSamples(r)
	worst := 0.0
	for _, sample := range tails {
		worst = max(worst, sample.ratio)
	}
	e.detectFault(now, w, tails, worst)
	for image, sample := range tails {
		if w.isFaulty(now) {
			e.reassessFault(now, w, sample)
			continue
		}
		if sample.ratio > evictSuspectRatio {
			e.evictSuspect(now, w, sample.step)
		}
		// A worker repeats a measurement in its reports until the next one. It counts
		// only once.
		if now.Sub(w.sampledAt[image]) < measurementPeriod {
			continue
		}
		w.sampledAt[image] = now
		neighbors := e.suspectedNeighbors(now, w, sample.step, sample.ratio)
		e.interferenceProbabilities.Observe(now, sample.ratio, neighbors)
		e.recordInterference(now, w, neighbors)
	}
	e.observeServingUse(now, w, tails)
	w.tailLatencyRatio += tailSmoothing * (worst - w.tailLatencyRatio)
	if !e.isDisabled(mechanism.PaceControl) {
		w.paceControl.adjust(now, worst, w.hasInterferingFiller())
	}
}

// tailSample is the tail latency of the slowest serving task of an image on a worker.
type tailSample struct {
	step *step
	// ratio is the tail latency divided by the target.
	ratio float64
}

// servingAttempt returns the attempt of a serving task in a report, or nil if the run isn't
// one of a serving task that has started up.
func (w *worker) servingAttempt(run RunningTask) *attempt {
	a := w.runs[run.Task]
	if a == nil || a.run != run.Run || a.task.step.Target <= 0 || run.Percent < startedUpPercent {
		return nil
	}
	return a
}

// tailSamples returns the slowest task of each serving image in a report. Tasks of the
// same image behave alike, so several of them provide no more evidence than one.
func (w *worker) tailSamples(r Report) map[Image]tailSample {
	slowest := map[Image]tailSample{}
	for _, run := range r.Running {
		a := w.servingAttempt(run)
		if a == nil {
			continue
		}
		ratio := float64(run.Measurement) * float64(time.Millisecond) / float64(a.task.step.Target)
		if known, seen := slowest[a.task.step.Image]; !seen || ratio > known.ratio {
			slowest[a.task.step.Image] = tailSample{a.task.step, ratio}
		}
	}
	return slowest
}

// recordInterference records when it becomes known that a pair interferes, or that it
// doesn't.
func (e *Engine) recordInterference(now time.Time, w *worker, neighbors []interference.Neighbor) {
	for _, neighbor := range neighbors {
		p := e.interferenceProbabilities.Probability(now, neighbor.Pair)
		interferes, recorded := e.recordedInterference[neighbor.Pair]
		switch {
		case p > evictProbability && (!recorded || !interferes):
			e.recordedInterference[neighbor.Pair] = true
			e.record(now, Decision{Event: "PairDisturbs", Worker: w.ID, Reason: string(neighbor.Pair.Class) + " beside " + string(neighbor.Pair.Service)})
		case p < maxHarmlessProbability && (!recorded || interferes):
			e.recordedInterference[neighbor.Pair] = false
			e.record(now, Decision{Event: "PairHarmless", Worker: w.ID, Reason: string(neighbor.Pair.Class) + " beside " + string(neighbor.Pair.Service)})
		}
	}
}

// suspectedNeighbors returns the fillers about which a measurement of a serving step
// provides evidence. A good measurement clears those that ran at full pace for its
// whole period. A bad one is evidence against all fillers, but against none while a
// suspected one that has just left may be the cause.
func (e *Engine) suspectedNeighbors(now time.Time, w *worker, serving *step, ratio float64) []interference.Neighbor {
	if ratio > 1 && e.suspectLeftRecently(now, w, serving) {
		return nil
	}
	var neighbors []interference.Neighbor
	for _, a := range w.runs {
		if !a.task.step.Filler {
			continue
		}
		used := float64(a.measurement)
		if ratio <= 1 {
			if a.pace.percent != fullPacePercent || now.Sub(a.sentAt) < measurementLag || now.Sub(a.pace.acceptedAt) < measurementLag {
				continue
			}
		} else {
			if now.Sub(a.sentAt) < minSuspectAge {
				continue
			}
			if used == 0 {
				used = float64(int(a.fillerProcessors) * max(a.pace.percent, 0) / fullPacePercent)
			}
		}
		processorShare := used / float64(max(w.Capacity.Processors, 1))
		neighbors = addNeighbor(neighbors, pairOf(serving.Image, a.task.step.Image), processorShare)
	}
	return neighbors
}

// addNeighbor adds the processor share of a filler to that of its image.
func addNeighbor(list []interference.Neighbor, pair interference.Pair, processorShare float64) []interference.Neighbor {
	for i := range list {
		if list[i].Pair == pair {
			list[i].Share += processorShare
			return list
		}
	}
	return append(list, interference.Neighbor{Pair: pair, Share: processorShare})
}

// suspectLeftRecently reports whether a filler that may interfere with the step has
// just left or was slowed down.
func (e *Engine) suspectLeftRecently(now time.Time, w *worker, serving *step) bool {
	suspicious := false
	for image, at := range w.fillerReducedAt {
		if now.Sub(at) >= measurementLag {
			delete(w.fillerReducedAt, image)
			continue
		}
		if e.interferenceProbabilities.Probability(now, pairOf(serving.Image, image)) >= suspectProbability {
			suspicious = true
		}
	}
	return suspicious
}

// controlInterference stops fillers that interfere with serving tasks, and sends pace
// commands to fillers that don't have the target pace.
func (e *Engine) controlInterference(now time.Time) {
	if now.Sub(e.interferenceCheckedAt) < interferenceCheckInterval {
		return
	}
	e.interferenceCheckedAt = now
	for _, w := range e.sortedWorkers {
		if w.fillerProcessors == 0 || w.missedPolls > 0 {
			continue
		}
		for _, a := range w.runs {
			if a.task.step.Filler && a.phase == running {
				e.controlFiller(now, w, a)
			}
		}
	}
}

func (e *Engine) controlFiller(now time.Time, w *worker, a *attempt) {
	if !a.interfering && !e.isDisabled(mechanism.InterferenceEviction) && e.interferenceProbability(now, a.task.step, w) > evictProbability {
		e.count("Task.Evicted.Disturbs")
		e.stop(now, a, "interferes with a serving task")
		return
	}
	if w.isFaulty(now) && e.chooseWorker(now, a.task) != nil {
		e.count("Task.Evicted.Faulty")
		e.stop(now, a, "its worker is faulty")
		return
	}
	want := w.paceControl.targetPercent()
	if a.pace.percent != want && now.Sub(a.pace.sentAt) >= paceRetryInterval {
		e.sendPace(now, a, want)
	}
}

// evictSuspect stops the filler that most likely slows down a serving task, unless one
// was stopped so recently that measurements don't show the effect yet.
func (e *Engine) evictSuspect(now time.Time, w *worker, serving *step) {
	if now.Sub(w.suspectEvictedAt) < measurementLag || e.isDisabled(mechanism.SuspectEviction) || w.hasInterferingFiller() {
		return
	}
	var worst *attempt
	highest := suspectProbability
	for _, a := range w.runs {
		if !a.task.step.Filler || a.phase != running || now.Sub(a.sentAt) < minSuspectAge {
			continue
		}
		p := e.interferenceProbabilities.Probability(now, pairOf(serving.Image, a.task.step.Image))
		if p > highest {
			worst, highest = a, p
		}
	}
	if worst == nil {
		return
	}
	w.suspectEvictedAt = now
	e.count("Task.Evicted.Suspect")
	e.stop(now, worst, "may interfere with a serving task")
}

func (e *Engine) sendPace(now time.Time, a *attempt, percent int) {
	a.pace.sentAt = now
	e.count("Task.Paced")
	e.commands = append(e.commands, Command{
		Worker: a.worker.ID, Address: a.worker.Address, TaskRun: a.taskRun(), Pace: &percent, Fence: e.fence(a.worker),
	})
}

// PaceAccepted records that a worker accepted a pace command.
func (e *Engine) PaceAccepted(now time.Time, id membership.InstanceID, r TaskRun, percent int) {
	if a := e.findAttempt(id, r); a != nil {
		if percent < a.pace.percent {
			a.worker.fillerReducedAt[a.task.step.Image] = now
		}
		a.pace.percent, a.pace.acceptedAt = percent, now
	}
}

// countTrialRuns counts the recently started fillers beside each serving image.
func (e *Engine) countTrialRuns(now time.Time) {
	clear(e.trialRuns)
	for _, w := range e.sortedWorkers {
		if w.fillerProcessors == 0 || len(w.servingImages) == 0 {
			continue
		}
		for _, a := range w.runs {
			if a.task.step.Filler && now.Sub(a.sentAt) < trialDuration {
				e.addTrialRun(w, a.task.step.Image)
			}
		}
	}
}

func (e *Engine) addTrialRun(w *worker, filler Image) {
	for serving := range w.servingImages {
		e.trialRuns[pairOf(serving, filler)]++
	}
}

// mayStartTrial reports whether a filler may start beside serving images with which its
// interference is uncertain. Only a few at a time do, so that few serving tasks suffer
// if it interferes.
func (e *Engine) mayStartTrial(now time.Time, s *step, w *worker) bool {
	if e.isDisabled(mechanism.TrialLimit) {
		return true
	}
	for serving := range w.servingImages {
		pair := pairOf(serving, s.Image)
		if e.interferenceProbabilities.Probability(now, pair) > maxHarmlessProbability && e.trialRuns[pair] >= maxTrialRuns {
			return false
		}
	}
	return true
}

// interferenceProbability returns the probability that a filler of the step interferes
// with a serving task of the worker, 0 to 1.
func (e *Engine) interferenceProbability(now time.Time, s *step, w *worker) float64 {
	highest := 0.0
	for image := range w.servingImages {
		highest = max(highest, e.interferenceProbabilities.Probability(now, pairOf(image, s.Image)))
	}
	return highest
}

// Estimates returns the interference estimates that were learned.
func (e *Engine) Estimates(now time.Time) []interference.Estimate {
	return e.interferenceProbabilities.Estimates(now)
}

// MergeEstimates adopts the estimates of another owner that are further from the prior
// than those of this one.
func (e *Engine) MergeEstimates(now time.Time, list []interference.Estimate) {
	e.interferenceProbabilities.Merge(now, list)
}

// RestoreEstimates adds the estimates of an earlier owner for pairs that have none yet.
func (e *Engine) RestoreEstimates(now time.Time, list []interference.Estimate) {
	e.interferenceProbabilities.Restore(now, list)
}
