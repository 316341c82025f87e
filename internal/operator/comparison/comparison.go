// Package comparison compares builds of the scheduler by the outcomes of the days that
// they played.
//
// A single play of a day is a noisy measurement: the least change of timing leads to
// another order of events. A cell is therefore played several times by each variant, and
// the differences between the means of a cell are the observations. The cells differ in
// their load and faults, so the spread of these differences includes the noise of both
// variants.
package comparison

import (
	"cmp"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Variant names a build with its arguments.
type Variant string

// Class names a kind of request, and Whole the whole day.
type Class string

// Whole stands for all requests of a day together, less prices.
const Whole Class = ""

// Cell is a day of a deployment, played with a seed.
type Cell struct {
	Deployment string
	Day        string
	Seed       int64
}

// Sample is the outcome of one play of a cell.
type Sample struct {
	Cell    Cell
	Variant Variant
	// Replica numbers the plays of a cell by a variant. They differ by a change without
	// meaning, such as a timer that is a millisecond longer.
	Replica int
	// Worth is the share of the possible worth that was served, by class.
	Worth map[Class]float64
	// Broken lists the rules that were broken, and faults.
	Broken []string `json:",omitempty"`
}

// Interval is an estimate of a mean with its 95 % confidence interval.
type Interval struct {
	Mean float64
	// Low and High are the limits of the interval: the whole range of a difference if
	// there are fewer than two observations.
	Low, High float64
}

const (
	// confidence is the probability that an interval includes the true mean.
	confidence = 0.95
	// maxDifference is the largest possible difference between two shares of worth.
	maxDifference = 1
)

// newInterval estimates the mean of the population of the observations.
func newInterval(observations []float64) Interval {
	n := float64(len(observations))
	mean, deviation := stat.MeanStdDev(observations, nil)
	if len(observations) < 2 {
		return Interval{mean, -maxDifference, maxDifference}
	}
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: n - 1}.Quantile((1 + confidence) / 2)
	margin := t * deviation / math.Sqrt(n)
	return Interval{mean, mean - margin, mean + margin}
}

// IsDecided reports whether the interval excludes 0.
func (i Interval) IsDecided() bool {
	return i.Low > 0 || i.High < 0
}

// Row compares a variant with the baseline on the days of a deployment.
type Row struct {
	Deployment string
	Variant    Variant
	// Null reports that the row compares one replica of the baseline with the others.
	Null bool
	// Cells is the number of cells that both have played.
	Cells int
	// Worth is the mean worth of the variant.
	Worth float64
	// Gains are the differences to the baseline, by class.
	Gains map[Class]Interval
	// Broken lists the rules that the variant broke, with their counts, and BaselineBroken
	// those that the baseline broke in the same cells.
	Broken, BaselineBroken map[string]int `json:",omitempty"`
}

// Compare returns for each deployment a row for each variant, and one for each replica of the
// baseline against its other replicas.
func Compare(samples []Sample, baseline Variant) []Row {
	var rows []Row
	for _, deployment := range distinct(samples, func(s Sample) string { return s.Cell.Deployment }) {
		own := filter(samples, func(s Sample) bool { return s.Cell.Deployment == deployment })
		base := filter(own, func(s Sample) bool { return s.Variant == baseline })
		replicas := distinct(base, func(s Sample) int { return s.Replica })
		for _, r := range replicas {
			if len(replicas) < 2 {
				break
			}
			row := compare(filter(base, func(s Sample) bool { return s.Replica == r }), filter(base, func(s Sample) bool { return s.Replica != r }))
			row.Deployment, row.Variant, row.Null = deployment, baseline, true
			rows = append(rows, row)
		}
		for _, v := range distinct(own, func(s Sample) Variant { return s.Variant }) {
			if v == baseline {
				continue
			}
			row := compare(filter(own, func(s Sample) bool { return s.Variant == v }), base)
			row.Deployment, row.Variant = deployment, v
			rows = append(rows, row)
		}
	}
	return rows
}

// compare compares two groups of samples of the same deployment, cell by cell.
func compare(own, base []Sample) Row {
	row := Row{Gains: map[Class]Interval{}, Broken: map[string]int{}, BaselineBroken: map[string]int{}}
	differences := map[Class][]float64{}
	var worth []float64
	for _, cell := range distinct(own, func(s Sample) Cell { return s.Cell }) {
		inCell := func(s Sample) bool { return s.Cell == cell }
		a, b := filter(own, inCell), filter(base, inCell)
		if len(b) == 0 {
			continue
		}
		row.Cells++
		worth = append(worth, meanWorth(a, Whole))
		countBroken(row.Broken, a)
		countBroken(row.BaselineBroken, b)
		for class := range a[0].Worth {
			differences[class] = append(differences[class], meanWorth(a, class)-meanWorth(b, class))
		}
	}
	row.Worth = stat.Mean(worth, nil)
	for class, list := range differences {
		row.Gains[class] = newInterval(list)
	}
	return row
}

func meanWorth(samples []Sample, class Class) float64 {
	sum := 0.0
	for _, s := range samples {
		sum += s.Worth[class]
	}
	return sum / float64(len(samples))
}

func countBroken(counts map[string]int, samples []Sample) {
	for _, s := range samples {
		for _, rule := range s.Broken {
			counts[rule]++
		}
	}
}

func filter(samples []Sample, keep func(Sample) bool) []Sample {
	var kept []Sample
	for _, s := range samples {
		if keep(s) {
			kept = append(kept, s)
		}
	}
	return kept
}

// distinct returns the values of a key in the order in which they first occur.
func distinct[K comparable](samples []Sample, key func(Sample) K) []K {
	seen := map[K]bool{}
	var list []K
	for _, s := range samples {
		if k := key(s); !seen[k] {
			seen[k] = true
			list = append(list, k)
		}
	}
	return list
}

// SortByGain sorts rows by deployment, with the null rows first and then the smallest gain.
func SortByGain(rows []Row) {
	slices.SortStableFunc(rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Deployment, b.Deployment), compareNull(a, b), cmp.Compare(a.Gains[Whole].Mean, b.Gains[Whole].Mean))
	})
}

func compareNull(a, b Row) int {
	switch {
	case a.Null == b.Null:
		return 0
	case a.Null:
		return -1
	}
	return 1
}
