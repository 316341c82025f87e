package interference

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// priorProbability is the probability that an unknown pair interferes.
	priorProbability = 0.25
	// minProbability and maxProbability limit the estimates, so that new evidence can
	// still change them.
	minProbability = 0.01
	maxProbability = 0.98
	// undisturbedRatio is the ratio of tail latency to target up to which a service
	// counts as undisturbed. A sample between this ratio and 1 is ignored.
	undisturbedRatio = 0.7
	// detectionProbability is the probability that the effect of an interfering class
	// shows in a sample if the class uses at least fullDetectionShare of the instance.
	// With a smaller share it is proportionally lower.
	detectionProbability = 0.7
	fullDetectionShare   = 0.1
	// minCauseShare is the share of an instance's processors below which a class can't
	// be the cause of a slow sample.
	minCauseShare = 0.01
	// harmfulHalfLife is the half-life of evidence that a pair interferes; it is short
	// so that the pair is tried again. harmlessHalfLife is that of the opposite
	// evidence, which each sample renews.
	harmfulHalfLife  = 30 * time.Second
	harmlessHalfLife = 5 * time.Minute
)

// Neighbor is a class that runs beside a service, with its share of the instance's
// processors.
type Neighbor struct {
	Pair  Pair
	Share float64
}

// Probabilities estimates for each pair the probability that the class pushes the
// service's tail latency over its target. The tail latency rises steeply under
// interference, so whether a pair interferes matters more than how much. One
// interfering class suffices to explain a slow sample, so a class that is known to
// interfere lowers the suspicion of the others. The zero value has only the prior.
type Probabilities struct {
	posteriors map[Pair]*posterior
}

// posterior is the estimate of a pair as log odds at a time.
type posterior struct {
	logOdds   float64
	updatedAt time.Time
	// cachedProbability is the decayed probability at cachedAt.
	cachedProbability float64
	cachedAt          time.Time
	// sampledAt is when a local sample last changed the estimate.
	sampledAt time.Time
}

// probabilityCacheTime is how long a computed probability is reused. It is read for
// each pair of a filler and a worker, and changes by about 0.01 in that time.
const probabilityCacheTime = 250 * time.Millisecond

// Probability returns the probability, from 0 to 1, that the pair interferes.
func (ps *Probabilities) Probability(now time.Time, p Pair) float64 {
	known := ps.posteriors[p]
	if known == nil {
		return priorProbability
	}
	if now.Sub(known.cachedAt) >= probabilityCacheTime {
		known.cachedProbability, known.cachedAt = probability(known.decayed(now)), now
	}
	return known.cachedProbability
}

// Observe updates the estimates from a sample: ratio is the service's tail latency over
// its target, and neighbors lists the classes that ran beside it.
func (ps *Probabilities) Observe(now time.Time, ratio float64, neighbors []Neighbor) {
	switch {
	case ratio > 1:
		ps.observeDisturbed(now, ratio, neighbors)
	case ratio <= undisturbedRatio:
		ps.observeUndisturbed(now, neighbors)
	}
}

// observeUndisturbed lowers the probability of each class by how likely its
// interference would have shown in the sample.
func (ps *Probabilities) observeUndisturbed(now time.Time, neighbors []Neighbor) {
	for _, n := range neighbors {
		detected := detectionProbability * min(n.Share/fullDetectionShare, 1)
		p := ps.Probability(now, n.Pair)
		ps.setProbability(now, n.Pair, p*(1-detected)/(1-p*detected), now)
	}
}

// observeDisturbed raises the probability of each class that may have caused the slow
// sample.
func (ps *Probabilities) observeDisturbed(now time.Time, ratio float64, neighbors []Neighbor) {
	noneInterferes := 1.0
	for _, n := range neighbors {
		if n.Share >= minCauseShare {
			noneInterferes *= 1 - ps.Probability(now, n.Pair)
		}
	}
	slowProbability := 1 - noneInterferes + selfCausedProbability(ratio)*noneInterferes
	for _, n := range neighbors {
		if n.Share >= minCauseShare {
			ps.setProbability(now, n.Pair, ps.Probability(now, n.Pair)/slowProbability, now)
		}
	}
}

// selfCausedProbability is the probability of such a slow sample without any
// interference. Peaks of the service's own load raise its tail a little over the
// target, and rarely far over it.
func selfCausedProbability(ratio float64) float64 {
	switch {
	case ratio < 1.4:
		return 0.4
	case ratio < 2:
		return 0.1
	default:
		return 0.03
	}
}

// setProbability stores an estimate, limited to the allowed range.
func (ps *Probabilities) setProbability(now time.Time, p Pair, value float64, sampledAt time.Time) {
	if ps.posteriors == nil {
		ps.posteriors = map[Pair]*posterior{}
	}
	value = min(max(value, minProbability), maxProbability)
	ps.posteriors[p] = &posterior{logOdds: logOdds(value), updatedAt: now, cachedProbability: value, cachedAt: now, sampledAt: sampledAt}
}

// decayed returns the log odds, moved towards the prior by their age.
func (p *posterior) decayed(now time.Time) float64 {
	prior := logOdds(priorProbability)
	halfLife := harmlessHalfLife
	if p.logOdds > prior {
		halfLife = harmfulHalfLife
	}
	retained := math.Exp2(-float64(max(now.Sub(p.updatedAt), 0)) / float64(halfLife))
	return prior + (p.logOdds-prior)*retained
}

func logOdds(probability float64) float64 {
	return math.Log(probability / (1 - probability))
}

func probability(logOdds float64) float64 {
	return 1 / (1 + math.Exp(-logOdds))
}

// Estimate is the probability of a pair, in the form that instances exchange and store.
type Estimate struct {
	Pair        Pair
	Probability float64
}

// minDeviation is the deviation from the log odds of the prior below which an estimate is dropped: it
// says no more about the pair than the prior, from which it differs by at most 0.004.
const minDeviation = 0.02

// Estimates returns the estimates of all pairs that have one, those that are furthest from the prior
// first, and drops those that have decayed to it.
func (ps *Probabilities) Estimates(now time.Time) []Estimate {
	prior := logOdds(priorProbability)
	list := make([]Estimate, 0, len(ps.posteriors))
	for pair, known := range ps.posteriors {
		decayed := known.decayed(now)
		if math.Abs(decayed-prior) < minDeviation && now.Sub(known.sampledAt) > localSamplePrecedence {
			delete(ps.posteriors, pair)
			continue
		}
		list = append(list, Estimate{pair, probability(decayed)})
	}
	deviation := func(e Estimate) float64 { return math.Abs(logOdds(e.Probability) - prior) }
	slices.SortFunc(list, func(a, b Estimate) int {
		return cmp.Or(cmp.Compare(deviation(b), deviation(a)), cmp.Compare(a.Pair.Service, b.Pair.Service), cmp.Compare(a.Pair.Class, b.Pair.Class))
	})
	return list
}

// Restore adds estimates of pairs that have none yet.
func (ps *Probabilities) Restore(now time.Time, list []Estimate) {
	for _, e := range list {
		if _, known := ps.posteriors[e.Pair]; !known {
			ps.setProbability(now, e.Pair, e.Probability, time.Time{})
		}
	}
}

// localSamplePrecedence is how long after a local sample of a pair the estimates of
// other instances are ignored.
const localSamplePrecedence = 4 * time.Second

// Merge adopts estimates of other instances that are further from the prior than the
// local ones. Both decay towards the prior at the same rate, so exchanging an estimate
// back and forth doesn't strengthen it.
func (ps *Probabilities) Merge(now time.Time, list []Estimate) {
	prior := logOdds(priorProbability)
	for _, e := range list {
		value := min(max(e.Probability, minProbability), maxProbability)
		known := ps.posteriors[e.Pair]
		if known == nil {
			ps.setProbability(now, e.Pair, value, time.Time{})
			continue
		}
		local := known.decayed(now)
		if now.Sub(known.sampledAt) > localSamplePrecedence && math.Abs(logOdds(value)-prior) > math.Abs(local-prior) {
			ps.setProbability(now, e.Pair, value, known.sampledAt)
		}
	}
}
