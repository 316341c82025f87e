package placement

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
	"github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
)

// engineModel drives an engine with random events and keeps its own record of what was
// allocated on each worker.
type engineModel struct {
	*fixture
	jobCount int
	workers  map[int]Worker
	observed map[worker.TaskAttempt]resource.Vector
}

// TestAllocationInvariants checks that no worker is overcommitted and no task has two
// running attempts after any sequence of events.
func TestAllocationInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &engineModel{fixture: newFixture(0, 0), workers: map[int]Worker{}, observed: map[worker.TaskAttempt]resource.Vector{}}
		t.Repeat(map[string]func(*rapid.T){
			"worker":   m.setWorker,
			"remove":   m.removeWorker,
			"job":      m.addJob,
			"cancel":   m.cancelJob,
			"end":      m.endRandomAttempt,
			"report":   m.reportUsage,
			"restore":  m.restoreTask,
			"evacuate": func(t *rapid.T) { m.SetEvacuating(m.now, rapid.Bool().Draw(t, "on")) },
			"permit": func(t *rapid.T) {
				m.SetStartPermit(m.now, StartPermit{Allowed: true, MaxStartsPerSecond: rapid.IntRange(0, 5).Draw(t, "ramp")})
			},
			"tick": m.tick,
			"":     m.checkInvariants,
		})
	})
}

func (m *engineModel) setWorker(t *rapid.T) {
	i := rapid.IntRange(0, 4).Draw(t, "worker")
	w := testWorker(i, rapid.IntRange(2, 8).Draw(t, "cores"))
	if old, ok := m.workers[i]; ok {
		w = old
		w.State = rapid.SampledFrom([]WorkerState{WorkerAvailable, WorkerUnreachable, WorkerLeaving}).Draw(t, "state")
	}
	w.Reserved = coresAndMemory(rapid.IntRange(0, 2).Draw(t, "reserved"))
	m.workers[i] = w
	m.SetWorker(m.now, w)
}

func (m *engineModel) removeWorker(t *rapid.T) {
	i := rapid.IntRange(0, 4).Draw(t, "worker")
	m.RemoveWorker(m.now, workerID(i))
	delete(m.workers, i)
	for _, key := range m.sortedAttempts() {
		if m.live[key].Worker == workerID(i) {
			delete(m.live, key)
			delete(m.observed, key)
		}
	}
}

func (m *engineModel) addJob(t *rapid.T) {
	m.jobCount++
	job := testJob(fmt.Sprintf("j%d", m.jobCount), rapid.IntRange(1, 5).Draw(t, "tasks"), rapid.IntRange(1, 4).Draw(t, "cores"))
	job.Resources.Memory = resource.Bytes(rapid.IntRange(1, 8).Draw(t, "memory")) * gibibyte
	job.Gang = rapid.Bool().Draw(t, "gang")
	job.Checkpointable = rapid.Bool().Draw(t, "checkpointable")
	job.Priority = rapid.SampledFrom([]Priority{Urgent, Normal}).Draw(t, "priority")
	if rapid.Bool().Draw(t, "small") {
		job.Team = "small"
	}
	_ = m.AddJob(m.now, job)
}

func (m *engineModel) cancelJob(t *rapid.T) {
	m.CancelJob(m.now, worker.JobID(fmt.Sprintf("j%d", rapid.IntRange(1, 20).Draw(t, "job"))))
}

func (m *engineModel) pickAttempt(t *rapid.T) (Decision, bool) {
	attempts := m.sortedAttempts()
	if len(attempts) == 0 {
		return Decision{}, false
	}
	return m.live[rapid.SampledFrom(attempts).Draw(t, "attempt")], true
}

// endRandomAttempt reports the end of an attempt twice, since reports may be repeated.
func (m *engineModel) endRandomAttempt(t *rapid.T) {
	if d, ok := m.pickAttempt(t); ok {
		outcome := rapid.SampledFrom([]Outcome{Succeeded, Failed, Evicted, Lost, Refused}).Draw(t, "outcome")
		m.end(d, outcome)
		m.end(d, outcome)
		delete(m.observed, d.TaskAttempt)
	}
}

func (m *engineModel) reportUsage(t *rapid.T) {
	d, ok := m.pickAttempt(t)
	if !ok {
		return
	}
	observed := coresAndMemory(rapid.IntRange(0, 4).Draw(t, "observed"))
	m.observed[d.TaskAttempt] = m.observed[d.TaskAttempt].Max(observed)
	m.RecordUsageSample(m.now, d.Worker, worker.UsageSample{Tasks: []worker.TaskUsage{{TaskAttempt: d.TaskAttempt, Class: "build", Observed: observed}}})
}

func (m *engineModel) restoreTask(t *rapid.T) {
	i := rapid.IntRange(0, 4).Draw(t, "worker")
	task := RunningTask{
		TaskAttempt: worker.TaskAttempt{
			Task:    worker.TaskID(fmt.Sprintf("j%d/%d", rapid.IntRange(max(m.jobCount-2, 1), m.jobCount+1).Draw(t, "job"), rapid.IntRange(0, 2).Draw(t, "index"))),
			Attempt: worker.Attempt(rapid.IntRange(1, 3).Draw(t, "attempt")),
		},
		Worker: workerID(i), Resources: coresAndMemory(1),
	}
	if _, exists := m.workers[i]; !exists || m.live[task.TaskAttempt].Worker != "" {
		return
	}
	m.RestoreTask(m.now, task)
	if m.findAttempt(task.TaskAttempt) != nil {
		m.live[task.TaskAttempt] = Decision{TaskAttempt: task.TaskAttempt, Worker: task.Worker, Resources: task.Resources, Kind: Stop}
	}
}

// tick checks every start against the record.
func (m *engineModel) tick(t *rapid.T) {
	running := m.sortedAttempts()
	decisions := m.step(time.Duration(rapid.IntRange(1, 20_000).Draw(t, "milliseconds")) * time.Millisecond)
	for _, d := range ofKind(decisions, Start) {
		for _, key := range running {
			if key.Task == d.Task && m.live[key].Kind == Start {
				t.Fatalf("task %s started on %s while attempt %d is running on %s", d.Task, d.Worker, key.Attempt, m.live[key].Worker)
			}
		}
		running = append(running, d.TaskAttempt)
	}
	for _, d := range ofKind(decisions, Start) {
		m.checkNotOvercommitted(t, d)
	}
}

func (m *engineModel) checkNotOvercommitted(t *rapid.T, start Decision) {
	var allocated resource.Vector
	for key, d := range m.live {
		if d.Worker == start.Worker {
			allocated = allocated.Add(d.Resources.Max(m.observed[key]))
		}
	}
	for _, w := range m.workers {
		if w.ID == start.Worker && !allocated.Add(w.Reserved).FitsIn(w.Capacity) {
			t.Fatalf("worker %s has %+v allocated to tasks and %+v reserved, capacity %+v", w.ID, allocated, w.Reserved, w.Capacity)
		}
	}
}

// checkInvariants compares the sums per worker with the attempts, and the attempts with
// the record.
func (m *engineModel) checkInvariants(t *rapid.T) {
	attemptCount := 0
	for _, n := range m.nodes {
		var allocated, preemptible, stopping resource.Vector
		for _, a := range n.attempts {
			allocated = allocated.Add(a.allocated)
			if a.preemptible() {
				preemptible = preemptible.Add(a.allocated)
			}
			if a.stopping {
				stopping = stopping.Add(a.allocated)
			}
		}
		attemptCount += len(n.attempts)
		if allocated != n.allocated || preemptible != n.preemptible || stopping != n.stopping {
			t.Fatalf("worker %s: allocated, preemptible and stopping are %+v %+v %+v, want the sums of the attempts %+v %+v %+v", n.ID, n.allocated, n.preemptible, n.stopping, allocated, preemptible, stopping)
		}
	}
	if attemptCount != len(m.live) {
		t.Fatalf("workers have %d attempts, want %d that started and did not end", attemptCount, len(m.live))
	}
	m.checkTeamUsage(t)
}

func (m *engineModel) checkTeamUsage(t *rapid.T) {
	used := map[string]resource.Vector{}
	queued, running := 0, 0
	for _, j := range m.Engine.jobs {
		for _, a := range j.running {
			used[string(j.Team)] = used[string(j.Team)].Add(a.allocated)
		}
		queued += j.pending()
		running += len(j.running)
		if j.done+j.pending()+len(j.running) != j.Tasks && !j.cancelled {
			t.Fatalf("job %s has %d done, %d pending and %d running of %d tasks", j.ID, j.done, j.pending(), len(j.running), j.Tasks)
		}
	}
	parentTeam := m.teams["all"]
	if parentTeam.used != used["rota"].Add(used["small"]) || parentTeam.queued != queued || parentTeam.running != running {
		t.Fatalf("the parent team uses %+v with %d queued and %d running tasks, its jobs use %+v with %d and %d", parentTeam.used, parentTeam.queued, parentTeam.running, used, queued, running)
	}
}

func (m *engineModel) sortedAttempts() []worker.TaskAttempt {
	attempts := make([]worker.TaskAttempt, 0, len(m.live))
	for key := range m.live {
		attempts = append(attempts, key)
	}
	slices.SortFunc(attempts, func(a, b worker.TaskAttempt) int {
		return strings.Compare(fmt.Sprint(a), fmt.Sprint(b))
	})
	return attempts
}
