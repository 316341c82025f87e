// Package interference estimates how much batch tasks slow down the services that run
// beside them, and decides when to throttle or evict tasks. It does no I/O and reads no
// clock: callers pass the current time.
//
// The model is log-linear. The logarithm of a service's p99 latency is a base, which
// depends on the request rate, plus for each task a coefficient of the pair (service,
// batch class) times the processors that the task uses. A diagonal Kalman filter
// estimates base and coefficients together, so that the error of a sample is attributed
// mostly to the least certain terms, and different task mixes on many workers separate
// the classes.
package interference

import (
	"math"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/operator/manifest"
)

const (
	// priorCoefficient is the coefficient of an unknown pair: 2% more latency for each
	// processor.
	priorCoefficient = 0.02
	// priorVariance allows for a coefficient of up to 12% per processor (two standard
	// deviations).
	priorVariance = 0.05 * 0.05
	// baseVariance is the initial variance of the base at a new request rate.
	baseVariance = 1.0
	// baseVariancePerSecond is how fast the variance of a base grows between samples.
	baseVariancePerSecond = 1e-5
	// coefficientHalfLife is the time in which a coefficient moves halfway back to the
	// prior. Load shifts within the hour.
	coefficientHalfLife = 30 * time.Minute
	// sampleNoise is the variance of the logarithm of a p99 that is taken over many
	// requests.
	sampleNoise = 0.02
	// requestNoise, divided by the number of requests, is added to sampleNoise: the p99
	// of few requests is imprecise.
	requestNoise = 4.0
	// minRequests is the number of requests below which a sample is ignored, because it
	// doesn't show the tail of the latencies.
	minRequests = 10
	// maxCoefficient limits the effect of one processor to a factor of e.
	maxCoefficient = 1.0
	// lateShareHalfLife is the half-life of the moving average of late answers.
	lateShareHalfLife = 5 * time.Minute
	// tailExponent converts the ratio of p99 to the target into the share of late
	// answers: 1% at the target, growing with the third power of the ratio, as in the
	// traces.
	tailExponent = 3
	// boundDeviations is the number of standard deviations that UpperBound adds to the mean.
	boundDeviations = 2
)

// Pair is a service and a batch class that runs beside it.
type Pair struct {
	Service manifest.ServiceName
	Class   manifest.ClassName
}

// Usage is what the tasks of a class used on a worker during a sample.
type Usage struct {
	Class manifest.ClassName
	// Processors is the mean number of processors in use; 1 is one whole processor.
	Processors float64
}

// Observation is the latency of one executor over a period, with the tasks that ran
// beside it in that period.
type Observation struct {
	Service manifest.ServiceName
	// Rate is in requests per second.
	Rate     float64
	Requests int
	P99      time.Duration
	Target   time.Duration
	Usage    []Usage
}

// gaussian is a normally distributed estimate at a time.
type gaussian struct {
	mean      float64
	variance  float64
	updatedAt time.Time
}

// decay moves a coefficient towards the prior.
func (g *gaussian) decay(now time.Time) {
	elapsed := now.Sub(g.updatedAt)
	if elapsed <= 0 {
		return
	}
	retained := math.Exp2(-float64(elapsed) / float64(coefficientHalfLife))
	g.mean = priorCoefficient + (g.mean-priorCoefficient)*retained
	g.variance = priorVariance + (g.variance-priorVariance)*retained
	g.updatedAt = now
}

// serviceState holds what is known of one service.
type serviceState struct {
	// bases are keyed by rateBucket.
	bases     map[int]*gaussian
	lateShare float64
	updatedAt time.Time
}

// LatencyModel holds the estimates of all pairs. The zero value has only the prior.
type LatencyModel struct {
	pairs    map[Pair]*gaussian
	services map[manifest.ServiceName]*serviceState
}

// Observe updates the estimates from an observation. It ignores one with too few
// requests.
func (m *LatencyModel) Observe(now time.Time, o Observation) {
	if o.Requests < minRequests || o.P99 <= 0 {
		return
	}
	s := m.service(now, o.Service)
	s.updateLateShare(now, o)
	coefficients := make([]*gaussian, len(o.Usage))
	expected := 0.0
	for i, usage := range o.Usage {
		coefficients[i] = m.pairEstimate(now, Pair{o.Service, usage.Class})
		expected += coefficients[i].mean * usage.Processors
	}
	logP99 := math.Log(o.P99.Seconds())
	base := s.base(now, rateBucket(o.Rate), logP99-expected)
	m.update(o, coefficients, base, logP99-expected-base.mean)
}

// update distributes the prediction error over the base and the coefficients by their
// variances.
func (m *LatencyModel) update(o Observation, coefficients []*gaussian, base *gaussian, residual float64) {
	total := base.variance + sampleNoise + requestNoise/float64(o.Requests)
	for i, usage := range o.Usage {
		total += coefficients[i].variance * usage.Processors * usage.Processors
	}
	gain := base.variance / total
	base.mean += gain * residual
	base.variance *= 1 - gain
	for i, usage := range o.Usage {
		gain := coefficients[i].variance * usage.Processors / total
		coefficients[i].mean = min(max(coefficients[i].mean+gain*residual, 0), maxCoefficient)
		coefficients[i].variance *= 1 - gain*usage.Processors
	}
}

// Coefficient returns the expected increase of the logarithm of the service's p99 for
// each processor that the class uses.
func (m *LatencyModel) Coefficient(now time.Time, pair Pair) float64 {
	mean, _ := m.coefficient(now, pair)
	return mean
}

// UpperBound returns an upper bound on the coefficient that is exceeded with a probability
// of about 2%.
func (m *LatencyModel) UpperBound(now time.Time, pair Pair) float64 {
	mean, variance := m.coefficient(now, pair)
	return mean + boundDeviations*math.Sqrt(variance)
}

// Slowdown returns the expected factor on the service's p99 when the class uses the
// given number of processors beside it; 1 means no slowdown.
func (m *LatencyModel) Slowdown(now time.Time, pair Pair, processors float64) float64 {
	return math.Exp(m.Coefficient(now, pair) * processors)
}

// LateShare returns the recent share of late answers of a service, from 0 to 1,
// estimated from its p99 and target.
func (m *LatencyModel) LateShare(now time.Time, name manifest.ServiceName) float64 {
	s := m.services[name]
	if s == nil {
		return 0
	}
	return s.lateShare * math.Exp2(-float64(max(now.Sub(s.updatedAt), 0))/float64(lateShareHalfLife))
}

// ExplorationAllowed reports whether pairs with uncertain estimates may run beside the
// service: whether its share of late answers is below the error budget, in thousandths.
func (m *LatencyModel) ExplorationAllowed(now time.Time, name manifest.ServiceName, errorBudget int) bool {
	return m.LateShare(now, name)*1000 < float64(errorBudget)
}

// coefficient returns the estimate of a pair, or the prior if the pair is unknown.
func (m *LatencyModel) coefficient(now time.Time, pair Pair) (mean, variance float64) {
	known := m.pairs[pair]
	if known == nil {
		return priorCoefficient, priorVariance
	}
	known.decay(now)
	return known.mean, known.variance
}

// pairEstimate returns the estimate of a pair, which it adds if it is missing.
func (m *LatencyModel) pairEstimate(now time.Time, pair Pair) *gaussian {
	known := m.pairs[pair]
	if known == nil {
		if m.pairs == nil {
			m.pairs = map[Pair]*gaussian{}
		}
		known = &gaussian{mean: priorCoefficient, variance: priorVariance, updatedAt: now}
		m.pairs[pair] = known
	}
	known.decay(now)
	return known
}

// service returns the state of a service, which it adds if it is missing.
func (m *LatencyModel) service(now time.Time, name manifest.ServiceName) *serviceState {
	s := m.services[name]
	if s == nil {
		if m.services == nil {
			m.services = map[manifest.ServiceName]*serviceState{}
		}
		s = &serviceState{bases: map[int]*gaussian{}, updatedAt: now}
		m.services[name] = s
	}
	return s
}

// base returns the base of a rate bucket. A new one starts from the mean initial.
func (s *serviceState) base(now time.Time, bucket int, initial float64) *gaussian {
	b := s.bases[bucket]
	if b == nil {
		b = &gaussian{mean: initial, variance: baseVariance, updatedAt: now}
		s.bases[bucket] = b
	}
	elapsed := max(now.Sub(b.updatedAt), 0)
	b.variance = min(b.variance+elapsed.Seconds()*baseVariancePerSecond, baseVariance)
	b.updatedAt = now
	return b
}

// updateLateShare updates the moving average of the share of late answers.
func (s *serviceState) updateLateShare(now time.Time, o Observation) {
	if o.Target <= 0 {
		return
	}
	ratio := o.P99.Seconds() / o.Target.Seconds()
	lateShare := min(0.01*math.Pow(ratio, tailExponent), 1)
	elapsed := max(now.Sub(s.updatedAt), time.Second)
	retained := math.Exp2(-float64(elapsed) / float64(lateShareHalfLife))
	s.lateShare = lateShare + (s.lateShare-lateShare)*retained
	s.updatedAt = now
}

// rateBucket returns the rounded-down binary logarithm of a rate in requests per
// second.
func rateBucket(rate float64) int {
	return int(math.Floor(math.Log2(max(rate, 0.01))))
}
