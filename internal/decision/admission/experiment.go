package admission

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"
)

// Policy is a way to distribute requests over executors.
type Policy string

// Policies of the experiment.
const (
	// PolicyAdmission uses this package, with base grants and demand grants.
	PolicyAdmission Policy = "Admission"
	// PolicyRandom sends each request to a random executor, which queues it.
	PolicyRandom Policy = "Random"
	// PolicyFixedShare gives each entry instance an equal, fixed share of the slots and a
	// queue without admission control.
	PolicyFixedShare Policy = "FixedShare"
)

// Experiment compares policies in a discrete-event simulation. Requests arrive as a
// Poisson process at entry instances of unequal load. One executor is slow, and once a
// second a connection to another one stops responding. Callers don't retry.
type Experiment struct {
	Seed                   uint64
	Executors              int
	SlotsPerExecutor       int
	ConnectionsPerExecutor int
	Instances              int
	// FirstInstanceShare is the share of the requests that arrive at the first entry
	// instance. The rest is spread evenly over the others.
	FirstInstanceShare float64
	// MeanServiceTime is the mean of the log-normal service time. Sigma is the standard
	// deviation of its logarithm.
	MeanServiceTime time.Duration
	Sigma           float64
	// SlowFactor multiplies the service times of the slow executor.
	SlowFactor     float64
	RequestTimeout time.Duration
	// MaxDuration is how long a request on an unresponsive connection occupies its slot.
	MaxDuration time.Duration
	// GrantDelay is the time until a requested demand grant arrives.
	GrantDelay time.Duration
	// ReturnInterval is the time between returns of idle demand grants.
	ReturnInterval time.Duration
	// RetryShare is the budget of retries and hedges, in thousandths of the requests.
	RetryShare      int
	HedgePercentile int
	Warmup          time.Duration
	// MeasuredDuration is the time after the warm-up in which requests are counted.
	MeasuredDuration time.Duration
	// LoadPercents lists the loads to simulate, in percent of Capacity.
	LoadPercents []int
}

// DefaultExperiment returns an experiment with a service of 50 executors, the size of a
// service in production.
func DefaultExperiment(seed uint64) Experiment {
	return Experiment{
		Seed: seed, Executors: 50, SlotsPerExecutor: 8, ConnectionsPerExecutor: 64, Instances: 8, FirstInstanceShare: 0.3,
		MeanServiceTime: 20 * time.Millisecond, Sigma: 0.5, SlowFactor: 5,
		RequestTimeout: 150 * time.Millisecond, MaxDuration: time.Second,
		GrantDelay: 2 * time.Millisecond, ReturnInterval: 100 * time.Millisecond,
		RetryShare: 20, HedgePercentile: 99,
		Warmup: 2 * time.Second, MeasuredDuration: 8 * time.Second, LoadPercents: []int{50, 90, 110, 200},
	}
}

// Row is the result of one policy at one load. Latencies are those of responses; a
// response that never arrives counts with MaxDuration. LateShare is relative to the
// responses, the other shares to all requests. RefusedShare includes DroppedShare.
// LongestRefuse is the longest time from the arrival of a request to its refusal.
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

// Run returns one row for each policy and load. It fails only if ctx is done.
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

// Capacity returns the number of requests per second that the executors can serve.
func (e Experiment) Capacity() float64 {
	perExecutor := float64(e.SlotsPerExecutor) / e.MeanServiceTime.Seconds()
	return perExecutor * (float64(e.Executors-1) + 1/e.SlowFactor)
}

func (e Experiment) run(policy Policy, load int) Row {
	sim := newSimulation(e)
	instances := make([]entryInstance, e.Instances)
	switch policy {
	case PolicyAdmission:
		pool := newDemandPool(sim)
		for i := range instances {
			instances[i] = newAdmissionInstance(sim, pool, i)
		}
	case PolicyFixedShare:
		for i := range instances {
			instances[i] = newFixedShareInstance(sim)
		}
	default:
		for i := range instances {
			instances[i] = &randomInstance{sim: sim}
		}
	}
	rate := e.Capacity() * float64(load) / 100
	sim.scheduleArrivals(rate, instances)
	sim.run()
	return sim.stats.row(policy, load, e.MeasuredDuration)
}

// pickInstance returns the index of the entry instance at which the next request arrives.
func (e Experiment) pickInstance(random *rand.Rand) int {
	if e.Instances == 1 || random.Float64() < e.FirstInstanceShare {
		return 0
	}
	return 1 + random.IntN(e.Instances-1)
}

// entryInstance is a simulated entry instance that implements a policy.
type entryInstance interface {
	arrive(r *simulatedRequest)
}
