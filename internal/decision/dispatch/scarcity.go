package dispatch

import "time"

const (
	// scarcityInterval is the time between two counts of the workers that take each
	// filler image.
	scarcityInterval = 250 * time.Millisecond
	// maxScarcity bounds the weight of an image that hardly any worker takes.
	maxScarcity = 6.0
)

// scarcity weighs workers by the filler images that they take. Images that only a few
// workers take would otherwise wait while fillers that could run anywhere occupy
// those workers.
type scarcity struct {
	countedAt time.Time
	// weights is the number of workers against those that take an image.
	weights map[Image]float64
	// total is the demand for all filler images together.
	total float64
}

// weight returns how scarce the workers for a filler image are, from 1.
func (s *scarcity) weight(filler Image) float64 {
	if w, counted := s.weights[filler]; counted {
		return w
	}
	return 1
}

// updateScarcity counts the workers that take each filler image, and values each
// worker by the demand that it can serve: 1 at the mean.
func (e *Engine) updateScarcity(now time.Time) {
	if now.Sub(e.scarcity.countedAt) < scarcityInterval {
		return
	}
	e.scarcity = scarcity{countedAt: now, weights: map[Image]float64{}}
	for filler, demand := range e.fillerDemand {
		e.scarcity.total += demand
		e.scarcity.weights[filler] = e.scarcityOf(now, filler)
	}
	for _, n := range e.sortedWorkers {
		n.fillerValue = e.fillerValue(now, n)
	}
}

func (e *Engine) scarcityOf(now time.Time, filler Image) float64 {
	accepting := 0
	for _, n := range e.sortedWorkers {
		if e.acceptsFiller(now, n, filler, "") {
			accepting++
		}
	}
	return min(float64(len(e.sortedWorkers))/float64(max(accepting, 1)), maxScarcity)
}

func (e *Engine) fillerValue(now time.Time, n *node) float64 {
	value := 0.0
	for filler, demand := range e.fillerDemand {
		if e.acceptsFiller(now, n, filler, "") {
			value += demand * e.scarcity.weight(filler)
		}
	}
	return value / max(e.scarcity.total, minDemand)
}
