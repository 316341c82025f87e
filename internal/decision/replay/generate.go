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

// seed of all traces.
const seed = 20260105

const gigabyte = 1 << 30

// Names are the traces that Generate knows.
var Names = []string{
	"rota-rush", "sudden-rain", "noisy-wave", "sizes-off-by-ten",
	"bad-worker", "impossible-job", "cancellation-wave", "zone-leaves-and-returns",
}

// generator collects the records of a trace.
type generator struct {
	random  *rand.Rand
	records []Record
	jobs    int
}

// Generate makes a trace. The same name always gives the same records.
func Generate(name string) ([]Record, error) {
	i := slices.Index(Names, name)
	if i < 0 {
		return nil, fmt.Errorf("unknown trace %q; there are %q", name, Names)
	}
	g := &generator{random: rand.New(rand.NewPCG(seed, uint64(i)))}
	[]func(){g.rotaRush, g.rain, g.noisy, g.sizes, g.badWorker, g.impossible, g.cancellations, g.zone}[i]()
	slices.SortStableFunc(g.records, func(a, b Record) int { return int(a.At - b.At) })
	return g.records, nil
}

func (g *generator) add(at time.Duration, kind Kind, fact any) {
	body, err := json.Marshal(fact)
	if err != nil {
		panic(err)
	}
	g.records = append(g.records, Record{At: manifest.Duration(at), Kind: kind, Fact: body})
}

func cores(n float64, memory float64) resource.Vector {
	return resource.Vector{Processors: resource.MilliProcessors(n * 1000), Memory: resource.Bytes(memory * gigabyte)}
}

// umhlanga is a third of Umhlanga's fleet, trust a third of the Trust's.
func (g *generator) umhlanga(length time.Duration, outcome Outcome) {
	g.add(0, KindSetup, Setup{Umhlanga, manifest.Duration(length), 16, cores(16, 60), cores(4, 12), "chairdesk", manifest.Duration(80 * time.Millisecond), outcome})
}

func (g *generator) trust(length time.Duration, outcome Outcome) {
	g.add(0, KindSetup, Setup{Trust, manifest.Duration(length), 20, cores(32, 125), cores(8, 24), "kasa-lend", manifest.Duration(60 * time.Millisecond), outcome})
}

func (g *generator) load(at time.Duration, rate float64) { g.add(at, KindLoad, Load{rate}) }

// job returns a checkpointable job of tasks that declare what they use and run
// for about so long.
func (g *generator) job(class manifest.ClassName, tasks int, size resource.Vector, duration time.Duration) Submit {
	g.jobs++
	duration = time.Duration(float64(duration) * (0.7 + 0.6*g.random.Float64())).Round(time.Second)
	return Submit{
		ID: worker.JobID(fmt.Sprintf("%s-%d", class, g.jobs)), Class: class, Priority: placement.Normal, Tasks: tasks,
		Declared: size, True: size, Expected: manifest.Duration(duration), Duration: manifest.Duration(duration), Checkpointable: true,
	}
}

// mix submits jobs of the three classes of a user at random times.
func (g *generator) mix(from, to time.Duration, jobs int, classes [3]manifest.ClassName) {
	for range jobs {
		class := classes[g.random.IntN(len(classes))]
		at := from + time.Duration(g.random.Int64N(int64(to-from)))
		job := g.job(class, 4+g.random.IntN(12), cores(float64(1+g.random.IntN(3)), 4), 90*time.Second)
		g.add(at.Round(time.Millisecond), KindSubmit, job)
	}
}

// deadline sets the deadline of all jobs so far: the first chair opens.
func (g *generator) deadline(at time.Duration) {
	for i, r := range g.records {
		if r.Kind != KindSubmit {
			continue
		}
		job, err := fact[Submit](r)
		if err != nil {
			panic(err)
		}
		job.Deadline = manifest.Duration(at)
		g.records[i].Fact, _ = json.Marshal(job)
	}
}

func (g *generator) rotaRush() {
	g.umhlanga(20*time.Minute, Outcome{MaxLateShare: 0.01, MinFinished: 1000, MaxUrgentWait: manifest.Duration(urgentBound)})
	g.load(0, 20)
	g.load(10*time.Minute, 45)
	g.mix(0, 10*time.Minute, 110, umhlangaClasses)
	g.deadline(18 * time.Minute)
	for i := range 6 {
		urgent := g.job("build", 4, cores(2, 6), 30*time.Second)
		urgent.Priority = placement.Urgent
		g.add(8*time.Minute+time.Duration(i)*time.Minute, KindSubmit, urgent)
	}
	gang := g.job("build", 12, cores(4, 8), 2*time.Minute)
	gang.Gang = true
	g.add(5*time.Minute, KindSubmit, gang)
}

func (g *generator) rain() {
	g.trust(15*time.Minute, Outcome{MaxLateShare: 0.01, MinFinished: 1000})
	g.load(0, 15)
	g.load(5*time.Minute, 70)
	g.load(10*time.Minute, 20)
	g.mix(0, 12*time.Minute, 110, trustClasses)
}

func (g *generator) noisy() {
	g.trust(15*time.Minute, Outcome{MaxLateShare: 0.01, MinFinished: 1000})
	g.load(0, 30)
	g.add(4*time.Minute, KindNoise, Noise{"scan", 3})
	g.add(9*time.Minute, KindNoise, Noise{"scan", 1})
	g.mix(0, 12*time.Minute, 110, trustClasses)
}

func (g *generator) sizes() {
	g.umhlanga(15*time.Minute, Outcome{MaxLateShare: 0.01, MinFinished: 580})
	g.load(0, 25)
	for i := range 40 {
		small := g.job("export", 16, cores(1, 2), 60*time.Second)
		small.True = cores(2, 20)
		if i%2 == 0 {
			small = g.job("report", 16, cores(2, 10), 60*time.Second)
			small.True = cores(0.2, 1)
			small.Expected *= 10
		}
		g.add(time.Duration(i)*15*time.Second, KindSubmit, small)
	}
}

func (g *generator) badWorker() {
	g.umhlanga(12*time.Minute, Outcome{MaxLateShare: 0.01, MinFinished: 650, Quarantined: []int{3}})
	g.load(0, 20)
	g.add(time.Minute, KindFault, Fault{3, true})
	g.mix(0, 8*time.Minute, 80, umhlangaClasses)
}

func (g *generator) impossible() {
	g.umhlanga(12*time.Minute, Outcome{MaxLateShare: 0.01, MinFinished: 550, Parked: []worker.JobID{"build-1"}, Refused: []worker.JobID{"build-2"}})
	g.load(0, 20)
	failing := g.job("build", 3, cores(1, 2), 30*time.Second)
	failing.Fails = true
	g.add(2*time.Minute, KindSubmit, failing)
	g.add(2*time.Minute, KindSubmit, g.job("build", 1, cores(64, 2), 30*time.Second))
	g.mix(0, 8*time.Minute, 60, umhlangaClasses)
}

func (g *generator) cancellations() {
	g.trust(12*time.Minute, Outcome{MaxLateShare: 0.01, MinFinished: 420})
	g.load(0, 25)
	g.mix(0, 8*time.Minute, 50, trustClasses)
	for range 150 {
		job := g.job("index", 10, cores(1, 2), 5*time.Minute)
		g.add(time.Minute, KindSubmit, job)
		g.add(4*time.Minute, KindCancel, Cancel{job.ID})
	}
}

func (g *generator) zone() {
	g.umhlanga(20*time.Minute, Outcome{MaxLateShare: 0.01, MinFinished: 980, MinAwayWork: 39_000})
	g.load(0, 20)
	g.add(5*time.Minute, KindZone, Zone{Out: true})
	g.add(12*time.Minute, KindZone, Zone{Out: false})
	g.mix(0, 15*time.Minute, 110, umhlangaClasses)
	for i := range 6 {
		urgent := g.job("build", 6, cores(2, 4), 90*time.Second)
		urgent.Deadline = manifest.Duration(10 * time.Minute)
		g.add(3*time.Minute+time.Duration(i)*20*time.Second, KindSubmit, urgent)
	}
}
