package interference

import (
	"math"
	"time"
)

const (
	// priorScore is the log-odds that an unknown pair disturbs: about one in four.
	priorScore = -1.0
	// badScore is what a tail of the target adds to the pairs that may be its cause. A
	// longer one says more, up to maxBad times as much.
	badScore = 1.2
	maxBad   = 2.5
	// goodScore is what a tail well under the target takes from each pair, when the
	// class uses goodShare of the instance. Less use proves less.
	goodScore = 0.5
	goodShare = 0.08
	// maxScore bounds what is believed of a pair, so that it can change again.
	maxScore = 4.0
	// badRatio and goodRatio are the tail against the target that count as too slow
	// and as undisturbed. Between them a sample says nothing.
	badRatio  = 1.0
	goodRatio = 0.7
	// minShare is the part of an instance below which a class can't be the cause.
	minShare = 0.01
	// oddsHalfLife is the time after which half of the evidence is forgotten.
	oddsHalfLife = 3 * time.Minute
)

// Neighbor is a class beside a service, with its part of the instance's processors.
type Neighbor struct {
	Pair  Pair
	Share float64
}

// Odds estimates for each pair whether the class pushes the service's tail latency
// over its target. A disturbed tail rises steeply, so whether a pair disturbs says
// more than by how much. The zero value knows only the prior.
type Odds struct {
	scores map[Pair]*score
}

type score struct {
	value float64
	at    time.Time
}

// Probability returns how likely the pair disturbs, 0 to 1.
func (o *Odds) Probability(now time.Time, p Pair) float64 {
	value := priorScore
	if s := o.scores[p]; s != nil {
		value = s.decayed(now)
	}
	return 1 / (1 + math.Exp(-value))
}

// Observe learns from a sample: the tail of a service against its target, and the
// classes that ran beside it, unhindered, for the whole period of the sample.
func (o *Odds) Observe(now time.Time, ratio float64, beside []Neighbor) {
	switch {
	case ratio >= badRatio:
		o.blame(now, min(ratio, maxBad), beside)
	case ratio <= goodRatio:
		for _, n := range beside {
			o.add(now, n.Pair, -goodScore*min(n.Share/goodShare, 2))
		}
	}
}

// blame divides the blame by how likely each class is the cause.
func (o *Odds) blame(now time.Time, ratio float64, beside []Neighbor) {
	total := 0.0
	for _, n := range beside {
		total += o.weight(now, n)
	}
	if total == 0 {
		return
	}
	for _, n := range beside {
		if w := o.weight(now, n); w > 0 {
			o.add(now, n.Pair, badScore*ratio*w/total)
		}
	}
}

func (o *Odds) weight(now time.Time, n Neighbor) float64 {
	if n.Share < minShare {
		return 0
	}
	return o.Probability(now, n.Pair) * n.Share
}

func (o *Odds) add(now time.Time, p Pair, delta float64) {
	s := o.scores[p]
	if s == nil {
		if o.scores == nil {
			o.scores = map[Pair]*score{}
		}
		s = &score{value: priorScore, at: now}
		o.scores[p] = s
	}
	s.value = min(max(s.decayed(now)+delta, -maxScore), maxScore)
	s.at = now
}

// decayed returns the score moved towards the prior by its age.
func (s *score) decayed(now time.Time) float64 {
	keep := math.Exp2(-float64(max(now.Sub(s.at), 0)) / float64(oddsHalfLife))
	return priorScore + (s.value-priorScore)*keep
}
