package placement

import (
	"fmt"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
	"github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/manifest"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

var testStart = time.Date(2026, 1, 5, 4, 0, 0, 0, time.UTC)

const gibibyte = resource.Bytes(1 << 30)

func coresAndMemory(cores int) resource.Vector {
	return resource.Vector{Processors: resource.MilliProcessors(cores * 1000), Memory: resource.Bytes(cores) * 2 * gibibyte}
}

func testManifest() manifest.Published {
	large := coresAndMemory(1_000_000)
	return manifest.Published{Version: 7, Manifest: manifest.Manifest{
		Services: []manifest.Service{{Name: "chairdesk", Target: manifest.Duration(50 * time.Millisecond), ErrorBudget: 10}},
		Classes:  []manifest.Class{{Name: "build", MaxAttempts: 4}},
		Teams: []manifest.Team{
			{Name: "all", Quota: large, UrgentQuota: large},
			{Name: "rota", Parent: "all", Quota: large, UrgentQuota: large},
			{Name: "small", Parent: "all", Quota: coresAndMemory(4), UrgentQuota: coresAndMemory(2)},
		},
	}}
}

// fixture is an engine with a clock and a record of the running attempts.
type fixture struct {
	*Engine
	now time.Time
	// live maps the running attempts to their Start decisions.
	live map[worker.TaskAttempt]Decision
	// startedAt maps attempts to their start times.
	startedAt map[worker.TaskAttempt]time.Time
}

func newFixture(workers, cores int) *fixture {
	f := &fixture{Engine: &Engine{}, now: testStart, live: map[worker.TaskAttempt]Decision{}, startedAt: map[worker.TaskAttempt]time.Time{}}
	f.ApplyManifest(f.now, testManifest())
	f.SetEpoch(3)
	for i := range workers {
		f.SetWorker(f.now, testWorker(i, cores))
	}
	f.SetStartPermit(f.now, StartPermit{Allowed: true})
	return f
}

func testWorker(i, cores int) Worker {
	return Worker{ID: workerID(i), Zone: "kzn-dbn", Capacity: coresAndMemory(cores)}
}

func workerID(i int) membership.InstanceID {
	return membership.InstanceID(fmt.Sprintf("w%d", i))
}

func testJob(id string, tasks, cores int) Job {
	return Job{
		ID: worker.JobID(id), Team: "rota", Class: "build", Tasks: tasks, Resources: coresAndMemory(cores),
		Submitted: testStart, ExpectedDuration: time.Minute, Checkpointable: true,
	}
}

// step advances the clock and returns the decisions of one tick.
func (f *fixture) step(d time.Duration) []Decision {
	f.now = f.now.Add(d)
	decisions := f.Tick(f.now)
	for _, decision := range decisions {
		if decision.Kind == Start {
			f.live[decision.TaskAttempt] = decision
			f.startedAt[decision.TaskAttempt] = f.now
		}
	}
	return decisions
}

// end reports the end of an attempt to the engine.
func (f *fixture) end(d Decision, outcome Outcome) {
	delete(f.live, d.TaskAttempt)
	f.TaskEnded(f.now, TaskEnd{TaskAttempt: d.TaskAttempt, Worker: d.Worker, Outcome: outcome, Reason: "exit 1", Checkpoint: "checkpoint"})
}

// confirmStops ends the attempts that the decisions evict or stop.
func (f *fixture) confirmStops(decisions []Decision) {
	for _, d := range decisions {
		if d.Kind == Evict || d.Kind == Stop {
			f.end(d, Evicted)
		}
	}
}

func ofKind(decisions []Decision, kind DecisionKind) []Decision {
	var found []Decision
	for _, d := range decisions {
		if d.Kind == kind {
			found = append(found, d)
		}
	}
	return found
}
