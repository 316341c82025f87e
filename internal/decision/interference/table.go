// Package interference estimates how much batch tasks slow down the services
// beside them, and decides when to act on it. It is pure: it is told the time.
//
// The model is log-linear. The logarithm of a service's p99 latency is a base,
// which depends on the request rate, plus for each task a coefficient of the pair
// (service, batch class) times the processors that the task uses. A diagonal
// Kalman filter learns base and coefficients together, so a slow sample is charged
// to the least certain terms first and a mix of tasks on many workers separates
// the classes.
package interference

import (
	"math"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/operator/manifest"
)

const (
	// priorCoefficient of an unknown pair: 2% more latency for each processor.
	priorCoefficient = 0.02
	// priorVariance lets an unknown pair be as bad as 12% per processor.
	priorVariance = 0.05 * 0.05
	// baseVariance of a request rate that was never seen.
	baseVariance = 1.0
	// baseDrift is the variance that a base gains each second.
	baseDrift = 1e-5
	// halfLife of what is known about a pair. Load shifts within the hour.
	halfLife = 30 * time.Minute
	// sampleNoise is the variance of the logarithm of a p99 of many requests.
	sampleNoise = 0.02
	// requestNoise divided by the number of requests is added to sampleNoise: the
	// p99 of a few requests says little.
	requestNoise = 4.0
	// minRequests below which a sample says nothing about the tail.
	minRequests = 10
	// maxCoefficient bounds the charge of one processor to a factor of e.
	maxCoefficient = 1.0
	// lateHalfLife of the share of late answers.
	lateHalfLife = 5 * time.Minute
	// tailExponent turns p99 against target into a share of late answers: the share
	// is 1% at the target and falls with the third power, as in the traces.
	tailExponent = 3
	// boundDeviations is the number of standard deviations of a cautious estimate.
	boundDeviations = 2
)

// Pair is a service and a batch class beside it.
type Pair struct {
	Service manifest.ServiceName
	Class   manifest.ClassName
}

// Usage is what a class used of a worker over a sample's period.
type Usage struct {
	Class manifest.ClassName
	// Processors is the mean number of whole processors in use.
	Processors float64
}

// Observation is the latency of one executor over a period together with the
// tasks that ran beside it in that period.
type Observation struct {
	Service manifest.ServiceName
	// Rate is in requests per second.
	Rate     float64
	Requests int
	P99      time.Duration
	Target   time.Duration
	Usage    []Usage
}

type estimate struct {
	mean     float64
	variance float64
	at       time.Time
}

// decay moves an estimate towards the prior.
func (p *estimate) decay(now time.Time) {
	elapsed := now.Sub(p.at)
	if elapsed <= 0 {
		return
	}
	keep := math.Exp2(-float64(elapsed) / float64(halfLife))
	p.mean = priorCoefficient + (p.mean-priorCoefficient)*keep
	p.variance = priorVariance + (p.variance-priorVariance)*keep
	p.at = now
}

type service struct {
	// bases are by the power of two of the request rate.
	bases map[int]*estimate
	late  float64
	at    time.Time
}

// Table holds the estimates of all pairs. The zero value knows only the prior.
type Table struct {
	pairs    map[Pair]*estimate
	services map[manifest.ServiceName]*service
}

// Observe learns from an observation. It ignores one with too few requests.
func (t *Table) Observe(now time.Time, o Observation) {
	if o.Requests < minRequests || o.P99 <= 0 {
		return
	}
	s := t.service(now, o.Service)
	s.observeLate(now, o)
	terms := make([]*estimate, len(o.Usage))
	expected := 0.0
	for i, usage := range o.Usage {
		terms[i] = t.pair(now, Pair{o.Service, usage.Class})
		expected += terms[i].mean * usage.Processors
	}
	y := math.Log(o.P99.Seconds())
	base := s.base(now, rateBucket(o.Rate), y-expected)
	t.correct(o, terms, base, y-expected-base.mean)
}

// correct distributes the error of the prediction over the terms.
func (t *Table) correct(o Observation, terms []*estimate, base *estimate, wrong float64) {
	total := base.variance + sampleNoise + requestNoise/float64(o.Requests)
	for i, usage := range o.Usage {
		total += terms[i].variance * usage.Processors * usage.Processors
	}
	gain := base.variance / total
	base.mean += gain * wrong
	base.variance *= 1 - gain
	for i, usage := range o.Usage {
		gain := terms[i].variance * usage.Processors / total
		terms[i].mean = min(max(terms[i].mean+gain*wrong, 0), maxCoefficient)
		terms[i].variance *= 1 - gain*usage.Processors
	}
}

// Coefficient returns the expected increase of the logarithm of the service's
// p99 for each processor that the class uses.
func (t *Table) Coefficient(now time.Time, pair Pair) float64 {
	mean, _ := t.known(now, pair)
	return mean
}

// Bound returns the coefficient that is exceeded with a probability of about 2%.
func (t *Table) Bound(now time.Time, pair Pair) float64 {
	mean, variance := t.known(now, pair)
	return mean + boundDeviations*math.Sqrt(variance)
}

// Slowdown returns the expected factor on the service's p99 when the class uses
// so many processors beside it; 1 is none.
func (t *Table) Slowdown(now time.Time, pair Pair, processors float64) float64 {
	return math.Exp(t.Coefficient(now, pair) * processors)
}

// LateShare returns the recent share of late answers of a service, 0 to 1,
// estimated from p99 against the target.
func (t *Table) LateShare(now time.Time, name manifest.ServiceName) float64 {
	s := t.services[name]
	if s == nil {
		return 0
	}
	return s.late * math.Exp2(-float64(max(now.Sub(s.at), 0))/float64(lateHalfLife))
}

// MayExplore reports whether uncertain pairs may be tried beside the service:
// its late answers are within the budget, which is in thousandths.
func (t *Table) MayExplore(now time.Time, name manifest.ServiceName, errorBudget int) bool {
	return t.LateShare(now, name)*1000 < float64(errorBudget)
}

func (t *Table) known(now time.Time, pair Pair) (mean, variance float64) {
	p := t.pairs[pair]
	if p == nil {
		return priorCoefficient, priorVariance
	}
	p.decay(now)
	return p.mean, p.variance
}

func (t *Table) pair(now time.Time, pair Pair) *estimate {
	p := t.pairs[pair]
	if p == nil {
		if t.pairs == nil {
			t.pairs = map[Pair]*estimate{}
		}
		p = &estimate{mean: priorCoefficient, variance: priorVariance, at: now}
		t.pairs[pair] = p
	}
	p.decay(now)
	return p
}

func (t *Table) service(now time.Time, name manifest.ServiceName) *service {
	s := t.services[name]
	if s == nil {
		if t.services == nil {
			t.services = map[manifest.ServiceName]*service{}
		}
		s = &service{bases: map[int]*estimate{}, at: now}
		t.services[name] = s
	}
	return s
}

// base returns the base at a rate. A rate that was never seen starts from first.
func (s *service) base(now time.Time, bucket int, first float64) *estimate {
	b := s.bases[bucket]
	if b == nil {
		b = &estimate{mean: first, variance: baseVariance, at: now}
		s.bases[bucket] = b
	}
	elapsed := max(now.Sub(b.at), 0)
	b.variance = min(b.variance+elapsed.Seconds()*baseDrift, baseVariance)
	b.at = now
	return b
}

// observeLate keeps a mean of the share of late answers over lateHalfLife.
func (s *service) observeLate(now time.Time, o Observation) {
	if o.Target <= 0 {
		return
	}
	ratio := o.P99.Seconds() / o.Target.Seconds()
	late := min(0.01*math.Pow(ratio, tailExponent), 1)
	elapsed := max(now.Sub(s.at), time.Second)
	keep := math.Exp2(-float64(elapsed) / float64(lateHalfLife))
	s.late = late + (s.late-late)*keep
	s.at = now
}

// rateBucket is the power of two of a rate in requests per second.
func rateBucket(rate float64) int {
	return int(math.Floor(math.Log2(max(rate, 0.01))))
}
