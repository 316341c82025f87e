package replay

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
	"github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/placement"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/manifest"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

const (
	step = 200 * time.Millisecond
	// samplePeriod and sampleAge are the period of usage samples and their lag.
	samplePeriod = 2 * time.Second
	sampleAge    = 2 * time.Second
	// checkpointTime is how long a task takes to write a checkpoint and stop.
	checkpointTime = 600 * time.Millisecond
	// failTime is how long a task runs before it fails.
	failTime = time.Second
	// returnRamp is the number of starts per second after a zone returns, for rampTime.
	returnRamp = 20
	rampTime   = time.Minute
	// movesPerStep bounds the jobs that change the zone in a step.
	movesPerStep = 8
)

// task is an attempt on a host.
type task struct {
	placement.Decision
	job     *jobState
	index   int
	started time.Time
	// done is the progress in seconds at full speed.
	done     float64
	share    float64
	stopping time.Time
}

type jobState struct {
	Submit
	submitted time.Time
	zone      int
	finished  map[int]bool
	saved     map[int]float64
}

type host struct {
	id    membership.InstanceID
	zone  int
	fails bool
	tasks []*task
	// ratio sums p99 against the target over the steps of a sample period.
	ratio float64
}

type sample struct {
	due time.Time
	on  *host
	worker.UsageSample
}

type loop struct {
	Setup
	now      time.Time
	start    time.Time
	random   *rand.Rand
	rate     float64
	noise    map[manifest.ClassName]float64
	policies [2]Policy
	hosts    []*host
	jobs     map[worker.JobID]*jobState
	samples  []sample
	away     bool
	returned time.Time
	report   *Report
	ratios   float64
	lates    float64
	weights  float64
}

// Run replays a trace through a policy. The outcome is what the trace demands.
func Run(trace string, records []Record, name PolicyName) (Report, Outcome, error) {
	setup, err := fact[Setup](records[0])
	if err != nil {
		return Report{}, Outcome{}, err
	}
	l := newLoop(setup, name)
	l.report.Trace = trace
	for next := 1; l.now.Sub(l.start) < time.Duration(setup.Length); l.now = l.now.Add(step) {
		for next < len(records) && l.start.Add(time.Duration(records[next].At)).Before(l.now.Add(step)) {
			if err := l.apply(records[next]); err != nil {
				return Report{}, Outcome{}, err
			}
			next++
		}
		l.advance()
	}
	l.finish()
	return *l.report, setup.Outcome, nil
}

func newLoop(setup Setup, name PolicyName) *loop {
	start := time.Date(2026, 1, 5, 3, 0, 0, 0, time.UTC)
	l := &loop{
		Setup: setup, now: start, start: start, random: rand.New(rand.NewPCG(seed, 1)),
		noise: map[manifest.ClassName]float64{}, jobs: map[worker.JobID]*jobState{},
		report: &Report{User: setup.User, Policy: name},
	}
	for zone := range l.policies {
		l.policies[zone] = newPolicy(name)
		l.policies[zone].Configure(start, l.manifest())
		l.policies[zone].Allow(start, placement.StartPermit{Starts: true})
	}
	for i := range setup.Workers {
		h := &host{id: membership.InstanceID("worker-" + strconv.Itoa(i)), zone: i % 2}
		l.hosts = append(l.hosts, h)
		l.policies[h.zone].SetWorker(start, placement.Worker{
			ID: h.id, Capacity: setup.Capacity, Reserved: setup.Reserved, Services: []manifest.ServiceName{setup.Service},
		})
	}
	return l
}

func (l *loop) manifest() manifest.Published {
	all := resource.Vector{Processors: math.MaxInt32, Memory: math.MaxInt64 / 4}
	return manifest.Published{Version: 1, Manifest: manifest.Manifest{
		Services: []manifest.Service{{Name: l.Service, Target: l.Target, ErrorBudget: 10}},
		Teams:    []manifest.Team{{Name: "team", Quota: all, UrgentQuota: all}},
	}}
}

// apply enters a recorded fact.
func (l *loop) apply(record Record) error {
	switch record.Kind {
	case KindLoad:
		f, err := fact[Load](record)
		l.rate = f.Rate
		return err
	case KindNoise:
		f, err := fact[Noise](record)
		l.noise[f.Class] = f.Factor
		return err
	case KindFault:
		f, err := fact[Fault](record)
		if err == nil && (f.Worker < 0 || f.Worker >= len(l.hosts)) {
			err = fmt.Errorf("%s: there is no worker %d", record.Kind, f.Worker)
		}
		if err == nil {
			l.hosts[f.Worker].fails = f.Fails
		}
		return err
	case KindCancel:
		f, err := fact[Cancel](record)
		if j := l.jobs[f.ID]; j != nil {
			l.policies[j.zone].CancelJob(l.now, f.ID)
			delete(l.jobs, f.ID)
		}
		return err
	case KindZone:
		f, err := fact[Zone](record)
		l.away = f.Out
		l.returned = l.now
		l.policies[0].Evacuate(l.now, f.Out)
		return err
	case KindSubmit:
		f, err := fact[Submit](record)
		l.submit(&jobState{Submit: f, submitted: l.now, finished: map[int]bool{}, saved: map[int]float64{}})
		return err
	}
	return fmt.Errorf("unknown record kind %q", record.Kind)
}

// submit gives a job to the zone with fewer unfinished jobs.
func (l *loop) submit(j *jobState) {
	var open [2]int
	for _, other := range l.jobs {
		open[other.zone]++
	}
	if l.away || open[1] < open[0] {
		j.zone = 1
	}
	if err := l.policies[j.zone].AddJob(l.now, l.spec(j)); err != nil {
		l.report.Refused = append(l.report.Refused, j.ID)
		return
	}
	l.jobs[j.ID] = j
}

func (l *loop) spec(j *jobState) placement.Job {
	job := placement.Job{
		ID: j.ID, Team: "team", Class: j.Class, Priority: j.Priority, Tasks: j.Tasks, Resources: j.Declared,
		ExpectedDuration: time.Duration(j.Expected), Gang: j.Gang, Checkpointable: j.Checkpointable, Submitted: j.submitted,
	}
	if j.Deadline > 0 {
		job.Deadline = l.start.Add(time.Duration(j.Deadline))
	}
	for index := range j.finished {
		job.Done = append(job.Done, placement.TaskRange{First: index, Last: index})
	}
	return job
}

// advance runs everything for one step.
func (l *loop) advance() {
	for _, h := range l.hosts {
		l.runHost(h)
	}
	if l.now.Sub(l.start)%samplePeriod == 0 {
		for _, h := range l.hosts {
			l.measure(h)
		}
	}
	for len(l.samples) > 0 && !l.samples[0].due.After(l.now) {
		s := l.samples[0]
		l.samples = l.samples[1:]
		l.policies[s.on.zone].Report(l.now, s.on.id, s.UsageSample)
	}
	l.move()
	for zone, policy := range l.policies {
		ramp := 0
		if zone == 0 && !l.returned.IsZero() && l.now.Sub(l.returned) < rampTime {
			ramp = returnRamp
		}
		policy.Allow(l.now, placement.StartPermit{Starts: zone == 1 || !l.away, Ramp: ramp})
		for _, d := range policy.Tick(l.now) {
			l.obey(d)
		}
	}
}

// move gives stopped jobs of the zone that is out to the other one.
func (l *loop) move() {
	if !l.away {
		return
	}
	for _, id := range l.policies[0].Movable(movesPerStep) {
		l.policies[0].CancelJob(l.now, id)
		if j := l.jobs[id]; j != nil {
			j.zone = 1
			if l.policies[1].AddJob(l.now, l.spec(j)) != nil {
				l.report.Refused = append(l.report.Refused, id)
			}
		}
	}
}

func (l *loop) obey(d placement.Decision) {
	l.report.count(d)
	i := slices.IndexFunc(l.hosts, func(h *host) bool { return h.id == d.Worker })
	if d.Kind == placement.Start {
		l.begin(l.hosts[i], d)
		return
	}
	if i < 0 {
		return
	}
	for _, t := range l.hosts[i].tasks {
		if t.TaskAttempt != d.TaskAttempt || d.Task == "" {
			continue
		}
		if d.Kind == placement.Throttle {
			t.share = float64(d.Share) / 1000
		} else if t.stopping.IsZero() {
			t.stopping = l.now.Add(checkpointTime)
			l.report.evict(d)
		}
	}
}

func (l *loop) begin(h *host, d placement.Decision) {
	at := strings.LastIndexByte(string(d.Task), '/')
	index, _ := strconv.Atoi(string(d.Task[at+1:]))
	j := l.jobs[d.Job]
	if j == nil {
		l.policies[h.zone].TaskEnded(l.now, placement.TaskEnd{TaskAttempt: d.TaskAttempt, Worker: h.id, Outcome: placement.Refused})
		return
	}
	if j.Priority == placement.Urgent {
		l.report.UrgentWait = max(l.report.UrgentWait, l.now.Sub(j.submitted))
	}
	h.tasks = append(h.tasks, &task{Decision: d, job: j, index: index, started: l.now, done: j.saved[index], share: 1})
}
