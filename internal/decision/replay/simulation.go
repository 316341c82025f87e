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
	stepLength = 200 * time.Millisecond
	// samplePeriod is the time that a usage sample covers, and sampleAge the delay
	// until the policy receives it.
	samplePeriod = 2 * time.Second
	sampleAge    = 2 * time.Second
	// checkpointTime is how long a task takes to write a checkpoint and stop.
	checkpointTime = 600 * time.Millisecond
	// failureDelay is how long a task that is going to fail runs before it does.
	failureDelay = time.Second
	// returnStartsPerSecond limits task starts in an availability zone for
	// returnRampTime after it comes back into service.
	returnStartsPerSecond = 20
	returnRampTime        = time.Minute
	// maxMovesPerStep limits the jobs that move to the other zone in one step.
	maxMovesPerStep = 8
)

// task is a task attempt that runs on a host.
type task struct {
	placement.Decision
	job     *jobState
	index   int
	started time.Time
	// doneSeconds is the completed part of the job's Duration.
	doneSeconds float64
	// share is the part of its processors that the task may use, 0 to 1.
	share float64
	// stopAt is when the task has written its checkpoint and stops; zero unless it
	// was told to stop.
	stopAt time.Time
}

type jobState struct {
	Submit
	submitted time.Time
	zone      int
	finished  map[int]bool
	// checkpoints has the doneSeconds at the last checkpoint of each task, by index.
	checkpoints map[int]float64
}

// host is a simulated worker with the executor of the service beside it.
type host struct {
	id    membership.InstanceID
	zone  int
	fails bool
	tasks []*task
	// meanRatio is the mean of p99 divided by the target over the current sample period.
	// Each step adds its part of the mean.
	meanRatio float64
}

// sample is a usage sample that its policy receives at the time deliverAt.
type sample struct {
	deliverAt time.Time
	host      *host
	worker.UsageSample
}

// simulation replays one trace through the policies of two availability zones, the
// first of which can be taken out of service.
type simulation struct {
	Setup
	now   time.Time
	start time.Time
	// random draws the measurement noise of sampled latencies.
	random *rand.Rand
	// requestRate is in requests per second for each executor.
	requestRate  float64
	noiseFactors map[manifest.ClassName]float64
	policies     [2]Policy
	hosts        []*host
	jobs         map[worker.JobID]*jobState
	samples      []sample
	// zoneOut is whether the first availability zone is out of service.
	zoneOut       bool
	zoneChangedAt time.Time
	report        *Report
	// weightedRatios and weightedLate sum the latency ratio to the power of
	// tailExponent and the share of late answers, weighted by the request rate.
	// totalRate sums the weights.
	weightedRatios float64
	weightedLate   float64
	totalRate      float64
}

// Run replays a trace through a policy. It returns the report and the outcome that
// the trace requires.
func Run(trace string, records []Record, name PolicyName) (Report, Outcome, error) {
	setup, err := decodeFact[Setup](records[0])
	if err != nil {
		return Report{}, Outcome{}, err
	}
	sim := newSimulation(setup, name)
	sim.report.Trace = trace
	for nextRecord := 1; sim.now.Sub(sim.start) < time.Duration(setup.Length); sim.now = sim.now.Add(stepLength) {
		for nextRecord < len(records) && sim.start.Add(time.Duration(records[nextRecord].At)).Before(sim.now.Add(stepLength)) {
			if err := sim.applyRecord(records[nextRecord]); err != nil {
				return Report{}, Outcome{}, err
			}
			nextRecord++
		}
		sim.runStep()
	}
	sim.finishReport()
	return *sim.report, setup.Outcome, nil
}

func newSimulation(setup Setup, name PolicyName) *simulation {
	start := time.Date(2026, 1, 5, 3, 0, 0, 0, time.UTC)
	sim := &simulation{
		Setup: setup, now: start, start: start, random: rand.New(rand.NewPCG(traceSeed, 1)),
		noiseFactors: map[manifest.ClassName]float64{}, jobs: map[worker.JobID]*jobState{},
		report: &Report{User: setup.User, Policy: name},
	}
	for zone := range sim.policies {
		sim.policies[zone] = newPolicy(name)
		sim.policies[zone].ApplyManifest(start, sim.publishedManifest())
		sim.policies[zone].SetStartPermit(start, placement.StartPermit{Allowed: true})
	}
	for i := range setup.Workers {
		h := &host{id: membership.InstanceID("worker-" + strconv.Itoa(i)), zone: i % 2}
		sim.hosts = append(sim.hosts, h)
		sim.policies[h.zone].SetWorker(start, placement.Worker{
			ID: h.id, Capacity: setup.Capacity, Reserved: setup.Reserved, Services: []manifest.ServiceName{setup.Service},
		})
	}
	return sim
}

func (sim *simulation) publishedManifest() manifest.Published {
	unlimited := resource.Vector{Processors: math.MaxInt32, Memory: math.MaxInt64 / 4}
	return manifest.Published{Version: 1, Manifest: manifest.Manifest{
		Services: []manifest.Service{{Name: sim.Service, Target: sim.Target, ErrorBudget: 10}},
		Teams:    []manifest.Team{{Name: "team", Quota: unlimited, UrgentQuota: unlimited}},
	}}
}

// applyRecord applies the event of a trace record to the simulation.
func (sim *simulation) applyRecord(record Record) error {
	switch record.Kind {
	case KindLoad:
		load, err := decodeFact[Load](record)
		sim.requestRate = load.Rate
		return err
	case KindNoise:
		noise, err := decodeFact[Noise](record)
		sim.noiseFactors[noise.Class] = noise.Factor
		return err
	case KindFault:
		fault, err := decodeFact[Fault](record)
		if err == nil && (fault.Worker < 0 || fault.Worker >= len(sim.hosts)) {
			err = fmt.Errorf("%s: there is no worker %d", record.Kind, fault.Worker)
		}
		if err == nil {
			sim.hosts[fault.Worker].fails = fault.Fails
		}
		return err
	case KindCancel:
		cancel, err := decodeFact[Cancel](record)
		if j := sim.jobs[cancel.ID]; j != nil {
			sim.policies[j.zone].CancelJob(sim.now, cancel.ID)
			delete(sim.jobs, cancel.ID)
		}
		return err
	case KindZone:
		zone, err := decodeFact[Zone](record)
		sim.zoneOut = zone.Out
		sim.zoneChangedAt = sim.now
		sim.policies[0].SetEvacuating(sim.now, zone.Out)
		return err
	case KindSubmit:
		submitted, err := decodeFact[Submit](record)
		sim.submit(&jobState{Submit: submitted, submitted: sim.now, finished: map[int]bool{}, checkpoints: map[int]float64{}})
		return err
	}
	return fmt.Errorf("unknown record kind %q", record.Kind)
}

// submit adds a job to the availability zone with fewer unfinished jobs, or to the
// second one while the first is out of service.
func (sim *simulation) submit(j *jobState) {
	var unfinished [2]int
	for _, other := range sim.jobs {
		unfinished[other.zone]++
	}
	if sim.zoneOut || unfinished[1] < unfinished[0] {
		j.zone = 1
	}
	if err := sim.policies[j.zone].AddJob(sim.now, sim.placementJob(j)); err != nil {
		sim.report.Refused = append(sim.report.Refused, j.ID)
		return
	}
	sim.jobs[j.ID] = j
}

func (sim *simulation) placementJob(j *jobState) placement.Job {
	job := placement.Job{
		ID: j.ID, Team: "team", Class: j.Class, Priority: j.Priority, Tasks: j.Tasks, Resources: j.Declared,
		ExpectedDuration: time.Duration(j.Expected), Gang: j.Gang, Checkpointable: j.Checkpointable, Submitted: j.submitted,
	}
	if j.Deadline > 0 {
		job.Deadline = sim.start.Add(time.Duration(j.Deadline))
	}
	for index := range j.finished {
		job.Done = append(job.Done, placement.TaskRange{First: index, Last: index})
	}
	return job
}

// runStep simulates one step: the hosts run, usage samples reach the policies, and
// the policies' decisions are carried out.
func (sim *simulation) runStep() {
	for _, h := range sim.hosts {
		sim.runHost(h)
	}
	if sim.now.Sub(sim.start)%samplePeriod == 0 {
		for _, h := range sim.hosts {
			sim.recordSample(h)
		}
	}
	for len(sim.samples) > 0 && !sim.samples[0].deliverAt.After(sim.now) {
		s := sim.samples[0]
		sim.samples = sim.samples[1:]
		sim.policies[s.host.zone].RecordUsageSample(sim.now, s.host.id, s.UsageSample)
	}
	sim.moveJobs()
	for zone, policy := range sim.policies {
		startsPerSecond := 0
		if zone == 0 && !sim.zoneChangedAt.IsZero() && sim.now.Sub(sim.zoneChangedAt) < returnRampTime {
			startsPerSecond = returnStartsPerSecond
		}
		policy.SetStartPermit(sim.now, placement.StartPermit{Allowed: zone == 1 || !sim.zoneOut, MaxStartsPerSecond: startsPerSecond})
		for _, d := range policy.Tick(sim.now) {
			sim.applyDecision(zone, d)
		}
	}
}

// moveJobs moves jobs without running tasks from the zone that is out of service to
// the other one.
func (sim *simulation) moveJobs() {
	if !sim.zoneOut {
		return
	}
	for _, id := range sim.policies[0].MovableJobs(maxMovesPerStep) {
		sim.policies[0].CancelJob(sim.now, id)
		if j := sim.jobs[id]; j != nil {
			j.zone = 1
			if sim.policies[1].AddJob(sim.now, sim.placementJob(j)) != nil {
				sim.report.Refused = append(sim.report.Refused, id)
			}
		}
	}
}

// applyDecision carries out a decision of the zone's policy. A start on a worker that
// isn't in the trace is refused.
func (sim *simulation) applyDecision(zone int, d placement.Decision) {
	sim.report.countDecision(d)
	i := slices.IndexFunc(sim.hosts, func(h *host) bool { return h.id == d.Worker })
	switch {
	case i >= 0 && d.Kind == placement.Start:
		sim.startTask(sim.hosts[i], d)
		return
	case d.Kind == placement.Start:
		sim.policies[zone].TaskEnded(sim.now, placement.TaskEnd{TaskAttempt: d.TaskAttempt, Worker: d.Worker, Outcome: placement.Refused})
		return
	case i < 0:
		return
	}
	for _, t := range sim.hosts[i].tasks {
		if t.TaskAttempt != d.TaskAttempt || d.Task == "" {
			continue
		}
		if d.Kind == placement.Throttle {
			t.share = float64(d.Share) / 1000
		} else if t.stopAt.IsZero() {
			t.stopAt = sim.now.Add(checkpointTime)
			sim.report.countEviction(d)
		}
	}
}

func (sim *simulation) startTask(h *host, d placement.Decision) {
	separator := strings.LastIndexByte(string(d.Task), '/')
	index, _ := strconv.Atoi(string(d.Task[separator+1:]))
	j := sim.jobs[d.Job]
	if j == nil {
		sim.policies[h.zone].TaskEnded(sim.now, placement.TaskEnd{TaskAttempt: d.TaskAttempt, Worker: h.id, Outcome: placement.Refused})
		return
	}
	if j.Priority == placement.Urgent {
		sim.report.UrgentWait = max(sim.report.UrgentWait, sim.now.Sub(j.submitted))
	}
	h.tasks = append(h.tasks, &task{Decision: d, job: j, index: index, started: sim.now, doneSeconds: j.checkpoints[index], share: 1})
}
