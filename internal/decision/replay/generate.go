package replay

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
	"github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/placement"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/manifest"
)

// traceSeed seeds the random numbers of all traces and simulations.
const traceSeed = 20260105

const gigabyte = 1 << 30

// TraceNames lists the traces that Generate can make.
var TraceNames = []string{
	"rota-rush", "sudden-rain", "noisy-wave", "sizes-off-by-ten",
	"bad-worker", "impossible-job", "cancellation-wave", "zone-leaves-and-returns",
}

// generator builds the records of a trace. jobs counts the jobs so far and numbers
// their IDs.
type generator struct {
	random  *rand.Rand
	records []Record
	jobs    int
}

// Generate returns the records of a trace. The same name always gives the same records.
func Generate(name string) ([]Record, error) {
	i := slices.Index(TraceNames, name)
	if i < 0 {
		return nil, fmt.Errorf("unknown trace %q; the traces are %q", name, TraceNames)
	}
	g := &generator{random: rand.New(rand.NewPCG(traceSeed, uint64(i)))}
	[]func(){g.rotaRush, g.suddenRain, g.noisyWave, g.sizesOffByTen, g.badWorker, g.impossibleJob, g.cancellationWave, g.zoneLeavesAndReturns}[i]()
	slices.SortStableFunc(g.records, func(a, b Record) int { return int(a.At - b.At) })
	return g.records, nil
}

func (g *generator) addRecord(at time.Duration, kind Kind, fact any) {
	encoded, err := json.Marshal(fact)
	if err != nil {
		panic(err)
	}
	g.records = append(g.records, Record{At: manifest.Duration(at), Kind: kind, Fact: encoded})
}

func resources(cores float64, gigabytes float64) resource.Vector {
	return resource.Vector{Processors: resource.MilliProcessors(cores * 1000), Memory: resource.Bytes(gigabytes * gigabyte)}
}

// umhlangaSetup adds a setup with a third of Umhlanga's workers.
func (g *generator) umhlangaSetup(length time.Duration, outcome Outcome) {
	g.addRecord(0, KindSetup, Setup{Umhlanga, manifest.Duration(length), 16, resources(16, 60), resources(4, 12), "chairdesk", manifest.Duration(80 * time.Millisecond), outcome})
}

// trustSetup adds a setup with a third of the Trust's workers.
func (g *generator) trustSetup(length time.Duration, outcome Outcome) {
	g.addRecord(0, KindSetup, Setup{Trust, manifest.Duration(length), 20, resources(32, 125), resources(8, 24), "kasa-lend", manifest.Duration(60 * time.Millisecond), outcome})
}

func (g *generator) setLoad(at time.Duration, rate float64) { g.addRecord(at, KindLoad, Load{rate}) }

// newJob returns a checkpointable job whose tasks declare the resources that they
// really use. They run for 0.7 to 1.3 times the duration.
func (g *generator) newJob(class manifest.ClassName, tasks int, size resource.Vector, duration time.Duration) Submit {
	g.jobs++
	duration = time.Duration(float64(duration) * (0.7 + 0.6*g.random.Float64())).Round(time.Second)
	return Submit{
		ID: worker.JobID(fmt.Sprintf("%s-%d", class, g.jobs)), Class: class, Priority: placement.Normal, Tasks: tasks,
		Declared: size, True: size, Expected: manifest.Duration(duration), Duration: manifest.Duration(duration), Checkpointable: true,
	}
}

// submitMix submits jobs of the three classes of a user at random times.
func (g *generator) submitMix(from, to time.Duration, jobs int, classes [3]manifest.ClassName) {
	for range jobs {
		class := classes[g.random.IntN(len(classes))]
		at := from + time.Duration(g.random.Int64N(int64(to-from)))
		job := g.newJob(class, 4+g.random.IntN(12), resources(float64(1+g.random.IntN(3)), 4), 90*time.Second)
		g.addRecord(at.Round(time.Millisecond), KindSubmit, job)
	}
}

// setDeadlines sets the deadline of all jobs so far to the given time from the start of
// the trace, at which the user's opening hours begin.
func (g *generator) setDeadlines(at time.Duration) {
	for i, record := range g.records {
		if record.Kind != KindSubmit {
			continue
		}
		job, err := decodeFact[Submit](record)
		if err != nil {
			panic(err)
		}
		job.Deadline = manifest.Duration(at)
		g.records[i].Fact, _ = json.Marshal(job)
	}
}

// rotaRush has many jobs with one deadline, some urgent jobs and a gang while the load
// more than doubles.
func (g *generator) rotaRush() {
	g.umhlangaSetup(20*time.Minute, Outcome{MaxLateShare: 0.01, MinFinished: 1000, MaxUrgentWait: manifest.Duration(maxUrgentWait)})
	g.setLoad(0, 20)
	g.setLoad(10*time.Minute, 45)
	g.submitMix(0, 10*time.Minute, 110, umhlangaClasses)
	g.setDeadlines(18 * time.Minute)
	for i := range 6 {
		urgent := g.newJob("build", 4, resources(2, 6), 30*time.Second)
		urgent.Priority = placement.Urgent
		g.addRecord(8*time.Minute+time.Duration(i)*time.Minute, KindSubmit, urgent)
	}
	gang := g.newJob("build", 12, resources(4, 8), 2*time.Minute)
	gang.Gang = true
	g.addRecord(5*time.Minute, KindSubmit, gang)
}

// suddenRain has a load peak of five minutes.
func (g *generator) suddenRain() {
	g.trustSetup(15*time.Minute, Outcome{MaxLateShare: 0.01, MinFinished: 1000})
	g.setLoad(0, 15)
	g.setLoad(5*time.Minute, 70)
	g.setLoad(10*time.Minute, 20)
	g.submitMix(0, 12*time.Minute, 110, trustClasses)
}

// noisyWave has scan tasks that slow the service down three times as much as usual for
// five minutes.
func (g *generator) noisyWave() {
	g.trustSetup(15*time.Minute, Outcome{MaxLateShare: 0.01, MinFinished: 1000})
	g.setLoad(0, 30)
	g.addRecord(4*time.Minute, KindNoise, Noise{"scan", 3})
	g.addRecord(9*time.Minute, KindNoise, Noise{"scan", 1})
	g.submitMix(0, 12*time.Minute, 110, trustClasses)
}

// sizesOffByTen has tasks that declare a tenth of the memory that they use and half of
// the processors, and tasks that declare ten times their resources and duration.
func (g *generator) sizesOffByTen() {
	g.umhlangaSetup(15*time.Minute, Outcome{MaxLateShare: 0.01, MinFinished: 580})
	g.setLoad(0, 25)
	for i := range 40 {
		job := g.newJob("export", 16, resources(1, 2), 60*time.Second)
		job.True = resources(2, 20)
		if i%2 == 0 {
			job = g.newJob("report", 16, resources(2, 10), 60*time.Second)
			job.True = resources(0.2, 1)
			job.Expected *= 10
		}
		g.addRecord(time.Duration(i)*15*time.Second, KindSubmit, job)
	}
}

// badWorker has a worker on which all tasks fail.
func (g *generator) badWorker() {
	g.umhlangaSetup(12*time.Minute, Outcome{MaxLateShare: 0.01, MinFinished: 650, Quarantined: []int{3}})
	g.setLoad(0, 20)
	g.addRecord(time.Minute, KindFault, Fault{3, true})
	g.submitMix(0, 8*time.Minute, 80, umhlangaClasses)
}

// impossibleJob has a job whose tasks always fail and a job whose task needs more
// processors than any worker has.
func (g *generator) impossibleJob() {
	g.umhlangaSetup(12*time.Minute, Outcome{MaxLateShare: 0.01, MinFinished: 550, Parked: []worker.JobID{"build-1"}, Refused: []worker.JobID{"build-2"}})
	g.setLoad(0, 20)
	failing := g.newJob("build", 3, resources(1, 2), 30*time.Second)
	failing.Fails = true
	g.addRecord(2*time.Minute, KindSubmit, failing)
	g.addRecord(2*time.Minute, KindSubmit, g.newJob("build", 1, resources(64, 2), 30*time.Second))
	g.submitMix(0, 8*time.Minute, 60, umhlangaClasses)
}

// cancellationWave has 150 jobs that are canceled three minutes after their submission.
func (g *generator) cancellationWave() {
	g.trustSetup(12*time.Minute, Outcome{MaxLateShare: 0.01, MinFinished: 420})
	g.setLoad(0, 25)
	g.submitMix(0, 8*time.Minute, 50, trustClasses)
	for range 150 {
		job := g.newJob("index", 10, resources(1, 2), 5*time.Minute)
		g.addRecord(time.Minute, KindSubmit, job)
		g.addRecord(4*time.Minute, KindCancel, Cancel{job.ID})
	}
}

// zoneLeavesAndReturns takes a zone out of service for seven minutes.
func (g *generator) zoneLeavesAndReturns() {
	g.umhlangaSetup(20*time.Minute, Outcome{MaxLateShare: 0.01, MinFinished: 980, MinAwayWork: 39_000})
	g.setLoad(0, 20)
	g.addRecord(5*time.Minute, KindZone, Zone{Out: true})
	g.addRecord(12*time.Minute, KindZone, Zone{Out: false})
	g.submitMix(0, 15*time.Minute, 110, umhlangaClasses)
	for i := range 6 {
		urgent := g.newJob("build", 6, resources(2, 4), 90*time.Second)
		urgent.Deadline = manifest.Duration(10 * time.Minute)
		g.addRecord(3*time.Minute+time.Duration(i)*20*time.Second, KindSubmit, urgent)
	}
}
