// Package forecast predicts when runs end and when room becomes free on workers.
//
// It keeps only observed run times. Callers pass in the state of runs and workers, so that several
// schedulers, replays and tests share it.
package forecast

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxSamples limits the run times that are kept of a class. Older ones are replaced.
	maxSamples = 64
	// minSamples is the number of run times from which a class is known.
	minSamples = 5
	// cautiousShare is the share of the runs of a class that don't exceed its cautious run time, and
	// unknownClassFactor is multiplied by the estimate while the class isn't known.
	cautiousShare      = 0.9
	unknownClassFactor = 2
)

// MaxDuration is the longest duration that is forecast.
const MaxDuration = 365 * 24 * time.Hour

// Scale returns a multiple of a duration, MaxDuration at most.
func Scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(min(float64(d)*factor, float64(MaxDuration)))
}

// Class identifies tasks that take similarly long: those of one queue that run the same image.
type Class struct {
	Queue string
	Image string
}

// Run is the state of a run.
type Run struct {
	Class Class
	// Estimate is the caller's estimate of the run time. It is 0 if there is none.
	Estimate time.Duration
	// Elapsed is the time since the run began.
	Elapsed time.Duration
	// Projected is the total run time at the run's present speed. It is 0 if that isn't known.
	Projected time.Duration
}

// Durations learns how long the runs of each class take relative to their callers' estimates. The zero value
// has no observations.
type Durations struct {
	classes map[Class]*samples
}

// Observe records the run time of a run that succeeded.
func (d *Durations) Observe(c Class, estimate, took time.Duration) {
	if estimate <= 0 || took <= 0 {
		return
	}
	if d.classes == nil {
		d.classes = map[Class]*samples{}
	}
	s := d.classes[c]
	if s == nil {
		s = &samples{}
		d.classes[c] = s
	}
	s.add(float64(took) / float64(estimate))
}

// Knows reports whether enough runs of a class have ended to correct estimates by them.
func (d *Durations) Knows(c Class) bool {
	s := d.classes[c]
	return s != nil && len(s.sorted) >= minSamples
}

// Expected returns the median run time of a class for an estimate. A class that isn't known yet takes as long
// as its callers estimate.
func (d *Durations) Expected(c Class, estimate time.Duration) time.Duration {
	return d.Quantile(c, estimate, 0.5)
}

// Quantile returns the run time that a share of the runs of a class don't exceed, for an estimate.
func (d *Durations) Quantile(c Class, estimate time.Duration, share float64) time.Duration {
	if !d.Knows(c) {
		return estimate
	}
	return Scale(estimate, d.classes[c].quantile(0, share))
}

// Cautious returns the run time that most runs of a class don't exceed, for an estimate.
func (d *Durations) Cautious(c Class, estimate time.Duration) time.Duration {
	if !d.Knows(c) {
		return unknownClassFactor * estimate
	}
	return d.Quantile(c, estimate, cautiousShare)
}

// Remaining returns the time that a run is expected to continue, at least 0. A run that has taken longer than
// all known ones of its class is expected to take twice as long as it has taken so far.
func (d *Durations) Remaining(r Run) time.Duration {
	if r.Projected > 0 {
		return max(r.Projected-r.Elapsed, 0)
	}
	return max(d.expectedAfter(r)-r.Elapsed, 0)
}

// expectedAfter returns the expected total run time of a run, given its elapsed time.
func (d *Durations) expectedAfter(r Run) time.Duration {
	if !d.Knows(r.Class) || r.Estimate <= 0 {
		if r.Elapsed < r.Estimate {
			return r.Estimate
		}
		return 2 * r.Elapsed
	}
	if r.Elapsed < r.Estimate/2 {
		return d.Expected(r.Class, r.Estimate)
	}
	s := d.classes[r.Class]
	elapsed := float64(r.Elapsed) / float64(r.Estimate)
	if s.sorted[len(s.sorted)-1] <= elapsed {
		return 2 * r.Elapsed
	}
	return Scale(r.Estimate, s.quantile(elapsed, 0.5))
}

// samples has the latest ratios of run time to estimate of a class.
type samples struct {
	// latest is a ring buffer in the order of arrival, next its oldest entry once it is full.
	latest []float64
	next   int
	sorted []float64
}

func (s *samples) add(ratio float64) {
	if len(s.latest) < maxSamples {
		s.latest = append(s.latest, ratio)
	} else {
		at, _ := slices.BinarySearch(s.sorted, s.latest[s.next])
		s.sorted = slices.Delete(s.sorted, at, at+1)
		s.latest[s.next] = ratio
		s.next = (s.next + 1) % maxSamples
	}
	at, _ := slices.BinarySearchFunc(s.sorted, ratio, cmp.Compare[float64])
	s.sorted = slices.Insert(s.sorted, at, ratio)
}

// quantile returns the quantile of the ratios above a bound.
func (s *samples) quantile(above, share float64) float64 {
	first, _ := slices.BinarySearch(s.sorted, above)
	rest := s.sorted[first:]
	if len(rest) == 0 {
		return above
	}
	return rest[min(int(share*float64(len(rest))), len(rest)-1)]
}
