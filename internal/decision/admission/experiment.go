package admission

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"
)

// Policy names a way to pass requests to executors.
type Policy string

// Policies of the experiment.
const (
	// PolicyAdmission is this package, with base grants and demand grants.
	PolicyAdmission Policy = "Admission"
	// PolicyRandom sends each request to a random executor, which queues it.
	PolicyRandom Policy = "Random"
	// PolicyFixedShare gives each entry instance the same slots and a queue
	// without admission.
	PolicyFixedShare Policy = "FixedShare"
)

// Experiment compares policies in simulated time. Requests arrive as a Poisson
// process at entry instances of unequal load. One executor is slow, and once a
// second a connection to another one goes silent. Callers do not repeat requests.
type Experiment struct {
	Seed             uint64
	Executors        int
	SlotsPerExecutor int
	Connections      int
	Instances        int
	// FirstShare is the share of requests that reach the first entry instance. The
	// others share the rest evenly.
	FirstShare float64
	// MeanService is the mean of a log-normal service time with deviation Sigma.
	MeanService time.Duration
	Sigma       float64
	// SlowFactor multiplies the service times of the slow executor.
	SlowFactor float64
	Deadline   time.Duration
	// MaxDuration is how long a silent connection holds its slot.
	MaxDuration time.Duration
	// GrantDelay is the time to get a demand grant, ReturnEvery the time between
	// returns of idle ones.
	GrantDelay      time.Duration
	ReturnEvery     time.Duration
	RetryShare      int
	HedgePercentile int
	Warmup          time.Duration
	Measured        time.Duration
	LoadPercents    []int
}

// DefaultExperiment has the present size of a service of 50 executors.
func DefaultExperiment(seed uint64) Experiment {
	return Experiment{
		Seed: seed, Executors: 50, SlotsPerExecutor: 8, Connections: 64, Instances: 8, FirstShare: 0.3,
		MeanService: 20 * time.Millisecond, Sigma: 0.5, SlowFactor: 5,
		Deadline: 150 * time.Millisecond, MaxDuration: time.Second,
		GrantDelay: 2 * time.Millisecond, ReturnEvery: 100 * time.Millisecond,
		RetryShare: 20, HedgePercentile: 99,
		Warmup: 2 * time.Second, Measured: 8 * time.Second, LoadPercents: []int{50, 90, 110, 200},
	}
}

// Row is the result of one policy at one load. Latencies are those of answers;
// an answer that never comes counts with MaxDuration. Shares are of all requests
// but LateShare, which is of answers.
type Row struct {
	Policy        Policy
	LoadPercent   int
	Requests      int
	InTimeRate    float64
	P50           time.Duration
	P99           time.Duration
	P999          time.Duration
	LateShare     float64
	RefusedShare  float64
	DroppedShare  float64
	HedgedShare   float64
	LongestRefuse time.Duration
}

// Run returns one row for each policy and load. It fails with the error of ctx.
func (e Experiment) Run(ctx context.Context) ([]Row, error) {
	var rows []Row
	for _, load := range e.LoadPercents {
		for _, policy := range []Policy{PolicyAdmission, PolicyFixedShare, PolicyRandom} {
			if err := ctx.Err(); err != nil {
				return rows, fmt.Errorf("experiment stopped at %s, %d%%: %w", policy, load, err)
			}
			rows = append(rows, e.run(policy, load))
		}
	}
	return rows, nil
}

// Capacity is the rate of requests per second that the executors can serve.
func (e Experiment) Capacity() float64 {
	perExecutor := float64(e.SlotsPerExecutor) / e.MeanService.Seconds()
	return perExecutor * (float64(e.Executors-1) + 1/e.SlowFactor)
}

func (e Experiment) run(policy Policy, load int) Row {
	m := newModel(e)
	instances := make([]entry, e.Instances)
	switch policy {
	case PolicyAdmission:
		pool := newPool(m)
		for i := range instances {
			instances[i] = newAdmissionEntry(m, pool, i)
		}
	case PolicyFixedShare:
		for i := range instances {
			instances[i] = newFixedEntry(m)
		}
	default:
		for i := range instances {
			instances[i] = &randomEntry{model: m}
		}
	}
	rate := e.Capacity() * float64(load) / 100
	m.arrivals(rate, instances)
	m.run()
	return m.seen.row(policy, load, e.Measured)
}

// pick returns the entry instance of the next request.
func (e Experiment) pick(random *rand.Rand) int {
	if e.Instances == 1 || random.Float64() < e.FirstShare {
		return 0
	}
	return 1 + random.IntN(e.Instances-1)
}

// entry is an entry instance under some policy.
type entry interface {
	arrive(r *simulated)
}
