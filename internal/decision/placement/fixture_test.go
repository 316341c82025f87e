package placement

import (
	"fmt"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
	"github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/manifest"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

var epoch = time.Date(2026, 1, 5, 4, 0, 0, 0, time.UTC)

const gigabyte = resource.Bytes(1 << 30)

func size(cores int) resource.Vector {
	return resource.Vector{Processors: resource.MilliProcessors(cores * 1000), Memory: resource.Bytes(cores) * 2 * gigabyte}
}

func testManifest() manifest.Published {
	large := size(1_000_000)
	return manifest.Published{Version: 7, Manifest: manifest.Manifest{
		Services: []manifest.Service{{Name: "chairdesk", Target: manifest.Duration(50 * time.Millisecond), ErrorBudget: 10}},
		Classes:  []manifest.Class{{Name: "build", MaxAttempts: 4}},
		Teams: []manifest.Team{
			{Name: "all", Quota: large, UrgentQuota: large},
			{Name: "rota", Parent: "all", Quota: large, UrgentQuota: large},
			{Name: "small", Parent: "all", Quota: size(4), UrgentQuota: size(2)},
		},
	}}
}

// fixture is an engine with a clock and the attempts that its decisions started.
type fixture struct {
	*Engine
	now  time.Time
	live map[worker.TaskAttempt]Decision
	// started has the times of the starts.
	started map[worker.TaskAttempt]time.Time
}

func newFixture(workers, cores int) *fixture {
	f := &fixture{Engine: &Engine{}, now: epoch, live: map[worker.TaskAttempt]Decision{}, started: map[worker.TaskAttempt]time.Time{}}
	f.Configure(f.now, testManifest())
	f.SetEpoch(3)
	for i := range workers {
		f.SetWorker(f.now, testWorker(i, cores))
	}
	f.Allow(f.now, StartPermit{Starts: true})
	return f
}

func testWorker(i, cores int) Worker {
	return Worker{ID: workerID(i), Zone: "kzn-dbn", Capacity: size(cores)}
}

func workerID(i int) membership.InstanceID {
	return membership.InstanceID(fmt.Sprintf("w%d", i))
}

func testJob(id string, tasks, cores int) Job {
	return Job{
		ID: worker.JobID(id), Team: "rota", Class: "build", Tasks: tasks, Resources: size(cores),
		Submitted: epoch, ExpectedDuration: time.Minute, Checkpointable: true,
	}
}

// step lets time pass and returns the decisions of a tick.
func (f *fixture) step(d time.Duration) []Decision {
	f.now = f.now.Add(d)
	decisions := f.Tick(f.now)
	for _, decision := range decisions {
		if decision.Kind == Start {
			f.live[decision.TaskAttempt] = decision
			f.started[decision.TaskAttempt] = f.now
		}
	}
	return decisions
}

// end reports the end of an attempt.
func (f *fixture) end(d Decision, outcome Outcome) {
	delete(f.live, d.TaskAttempt)
	f.TaskEnded(f.now, TaskEnd{TaskAttempt: d.TaskAttempt, Worker: d.Worker, Outcome: outcome, Reason: "exit 1", Checkpoint: "checkpoint"})
}

// obey carries out the stops among the decisions.
func (f *fixture) obey(decisions []Decision) {
	for _, d := range decisions {
		if d.Kind == Evict || d.Kind == Stop {
			f.end(d, Evicted)
		}
	}
}

func ofKind(decisions []Decision, kind Kind) []Decision {
	var found []Decision
	for _, d := range decisions {
		if d.Kind == kind {
			found = append(found, d)
		}
	}
	return found
}
