package interference

import (
	"math"
	"time"
)

const (
	// priorProbability is how likely an unknown pair disturbs.
	priorProbability = 0.25
	// minProbability and maxProbability bound what is believed of a pair, so that it
	// can change again.
	minProbability = 0.01
	maxProbability = 0.98
	// goodRatio is the tail against the target up to which a service counts as
	// undisturbed. Between that and 1 a sample says nothing.
	goodRatio = 0.7
	// detection is the probability that a disturbing class shows in a sample, when it
	// uses detectionShare of the instance. With less it shows less often.
	detection      = 0.7
	detectionShare = 0.1
	// minShare is the part of an instance below which a class can't be the cause.
	minShare = 0.01
	// harmfulHalfLife is the time after which half of the evidence against a pair is
	// forgotten, so that it is tried again; harmlessHalfLife is that of the evidence
	// for it, which each sample renews.
	harmfulHalfLife  = 30 * time.Second
	harmlessHalfLife = 5 * time.Minute
)

// Neighbor is a class beside a service, with its part of the instance's processors.
type Neighbor struct {
	Pair  Pair
	Share float64
}

// Odds estimates for each pair whether the class pushes the service's tail latency
// over its target. A disturbed tail rises steeply, so whether a pair disturbs says
// more than by how much. A bad sample is explained by any one disturbing class, so
// a class that is known to disturb excuses the others. The zero value knows only
// the prior.
type Odds struct {
	beliefs map[Pair]*belief
}

// belief is the logarithm of the odds of a pair at a time.
type belief struct {
	logOdds float64
	at      time.Time
	// probability is what the odds had decayed to at readAt.
	probability float64
	readAt      time.Time
	// seenAt is when a sample last told something of the pair.
	seenAt time.Time
}

// readInterval is how long a probability is repeated: it is read for each pair of a
// filler and a worker, and changes by a hundredth in that time.
const readInterval = 250 * time.Millisecond

// Probability returns how likely the pair disturbs, 0 to 1.
func (o *Odds) Probability(now time.Time, p Pair) float64 {
	b := o.beliefs[p]
	if b == nil {
		return priorProbability
	}
	if now.Sub(b.readAt) >= readInterval {
		b.probability, b.readAt = probability(b.decayed(now)), now
	}
	return b.probability
}

// Observe learns from a sample: the tail of a service against its target, and the
// classes that ran beside it.
func (o *Odds) Observe(now time.Time, ratio float64, beside []Neighbor) {
	switch {
	case ratio > 1:
		o.observeBad(now, ratio, beside)
	case ratio <= goodRatio:
		o.observeGood(now, beside)
	}
}

// observeGood clears each class by how surely it would have shown.
func (o *Odds) observeGood(now time.Time, beside []Neighbor) {
	for _, n := range beside {
		shown := detection * min(n.Share/detectionShare, 1)
		p := o.Probability(now, n.Pair)
		o.set(now, n.Pair, p*(1-shown)/(1-p*shown), now)
	}
}

// observeBad raises the probability of each class that may be the cause.
func (o *Odds) observeBad(now time.Time, ratio float64, beside []Neighbor) {
	innocent := 1.0
	for _, n := range beside {
		if n.Share >= minShare {
			innocent *= 1 - o.Probability(now, n.Pair)
		}
	}
	bad := 1 - innocent + noise(ratio)*innocent
	for _, n := range beside {
		if n.Share >= minShare {
			o.set(now, n.Pair, o.Probability(now, n.Pair)/bad, now)
		}
	}
}

// noise is the probability of such a sample when no class disturbs: peaks of the
// service's own load bring it a little over the target, and rarely far.
func noise(ratio float64) float64 {
	switch {
	case ratio < 1.4:
		return 0.4
	case ratio < 2:
		return 0.1
	default:
		return 0.03
	}
}

func (o *Odds) set(now time.Time, p Pair, value float64, seenAt time.Time) {
	if o.beliefs == nil {
		o.beliefs = map[Pair]*belief{}
	}
	value = min(max(value, minProbability), maxProbability)
	o.beliefs[p] = &belief{logOdds: logOdds(value), at: now, probability: value, readAt: now, seenAt: seenAt}
}

// decayed returns the odds moved towards the prior by their age.
func (b *belief) decayed(now time.Time) float64 {
	prior := logOdds(priorProbability)
	halfLife := harmlessHalfLife
	if b.logOdds > prior {
		halfLife = harmfulHalfLife
	}
	keep := math.Exp2(-float64(max(now.Sub(b.at), 0)) / float64(halfLife))
	return prior + (b.logOdds-prior)*keep
}

func logOdds(probability float64) float64 {
	return math.Log(probability / (1 - probability))
}

func probability(logOdds float64) float64 {
	return 1 / (1 + math.Exp(-logOdds))
}

// Estimate is what is believed of a pair, to be handed to another Odds.
type Estimate struct {
	Pair        Pair
	Probability float64
}

// Estimates returns all pairs that differ from the prior.
func (o *Odds) Estimates(now time.Time) []Estimate {
	list := make([]Estimate, 0, len(o.beliefs))
	for p, b := range o.beliefs {
		list = append(list, Estimate{p, probability(b.decayed(now))})
	}
	return list
}

// Restore takes over estimates for pairs that aren't known yet.
func (o *Odds) Restore(now time.Time, list []Estimate) {
	for _, e := range list {
		if _, known := o.beliefs[e.Pair]; !known {
			o.set(now, e.Pair, e.Probability, time.Time{})
		}
	}
}

// ownSampleTime is how long an own sample of a pair goes before what others say of it.
const ownSampleTime = 4 * time.Second

// Merge takes over estimates that say more of a pair than is known here: those that are
// further from the prior. Both decay towards it alike, so that an estimate that goes back
// and forth gains nothing.
func (o *Odds) Merge(now time.Time, list []Estimate) {
	prior := logOdds(priorProbability)
	for _, e := range list {
		value := min(max(e.Probability, minProbability), maxProbability)
		known := o.beliefs[e.Pair]
		if known == nil {
			o.set(now, e.Pair, value, time.Time{})
			continue
		}
		own := known.decayed(now)
		if now.Sub(known.seenAt) > ownSampleTime && math.Abs(logOdds(value)-prior) > math.Abs(own-prior) {
			o.set(now, e.Pair, value, known.seenAt)
		}
	}
}
