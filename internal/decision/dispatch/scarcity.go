package dispatch

import (
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/mechanism"
)

const (
	// scarcityInterval is the time between two updates of the scarcity of each filler
	// image.
	scarcityInterval = 250 * time.Millisecond
	// maxScarcity limits the weight of an image that hardly any worker accepts.
	maxScarcity = 6.0
)

// scarcity weights workers by the filler images that they accept. Otherwise images that
// only a few workers accept would wait while fillers that could run anywhere occupy
// those workers.
type scarcity struct {
	updatedAt time.Time
	// weights has for each image the ratio of all workers to those that accept it.
	weights map[Image]float64
	// total is the demand for all filler images together.
	total float64
}

// weight returns how scarce the workers for a filler image are. 1 means not scarce.
func (s *scarcity) weight(filler Image) float64 {
	if weight, counted := s.weights[filler]; counted {
		return weight
	}
	return 1
}

// updateScarcity updates the scarcity of each filler image, and the value of each
// worker from the demand that it can serve; the mean is 1.
func (e *Engine) updateScarcity(now time.Time) {
	if now.Sub(e.scarcity.updatedAt) < scarcityInterval || e.isDisabled(mechanism.Scarcity) {
		return
	}
	e.scarcity = scarcity{updatedAt: now, weights: map[Image]float64{}}
	for filler, demand := range e.fillerDemand {
		e.scarcity.total += demand
		e.scarcity.weights[filler] = e.scarcityOf(now, filler)
	}
	for _, w := range e.sortedWorkers {
		w.fillerValue = e.fillerValue(now, w)
	}
}

// scarcityOf returns the ratio of all workers to those that accept the filler image, at
// most maxScarcity.
func (e *Engine) scarcityOf(now time.Time, filler Image) float64 {
	accepting := 0
	for _, w := range e.sortedWorkers {
		if e.acceptsFiller(now, w, filler, "") {
			accepting++
		}
	}
	return min(float64(len(e.sortedWorkers))/float64(max(accepting, 1)), maxScarcity)
}

// fillerValue returns the share of the filler demand that a worker can serve, weighted
// by scarcity.
func (e *Engine) fillerValue(now time.Time, w *worker) float64 {
	value := 0.0
	for filler, demand := range e.fillerDemand {
		if e.acceptsFiller(now, w, filler, "") {
			value += demand * e.scarcity.weight(filler)
		}
	}
	return value / max(e.scarcity.total, minDemand)
}
