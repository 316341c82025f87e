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

// machine drives an engine with arbitrary events and keeps its own account of
// what each worker was given.
type machine struct {
	*fixture
	jobs    int
	workers map[int]Worker
	used    map[worker.TaskAttempt]resource.Vector
}

// TestLedger guards against an overcommitted worker and against a task in two places.
func TestLedger(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{fixture: newFixture(0, 0), workers: map[int]Worker{}, used: map[worker.TaskAttempt]resource.Vector{}}
		t.Repeat(map[string]func(*rapid.T){
			"worker":   m.worker,
			"remove":   m.remove,
			"job":      m.job,
			"cancel":   m.cancel,
			"end":      m.finish,
			"report":   m.report,
			"restore":  m.restore,
			"evacuate": func(t *rapid.T) { m.Evacuate(m.now, rapid.Bool().Draw(t, "on")) },
			"permit": func(t *rapid.T) {
				m.Allow(m.now, StartPermit{Starts: true, Ramp: rapid.IntRange(0, 5).Draw(t, "ramp")})
			},
			"tick": m.tick,
			"":     m.check,
		})
	})
}

func (m *machine) worker(t *rapid.T) {
	i := rapid.IntRange(0, 4).Draw(t, "worker")
	w := testWorker(i, rapid.IntRange(2, 8).Draw(t, "cores"))
	if old, ok := m.workers[i]; ok {
		w = old
		w.State = rapid.SampledFrom([]WorkerState{Available, Unreachable, Leaving}).Draw(t, "state")
	}
	w.Reserved = size(rapid.IntRange(0, 2).Draw(t, "reserved"))
	m.workers[i] = w
	m.SetWorker(m.now, w)
}

func (m *machine) remove(t *rapid.T) {
	i := rapid.IntRange(0, 4).Draw(t, "worker")
	m.RemoveWorker(m.now, workerID(i))
	delete(m.workers, i)
	for _, key := range m.keys() {
		if m.live[key].Worker == workerID(i) {
			delete(m.live, key)
			delete(m.used, key)
		}
	}
}

func (m *machine) job(t *rapid.T) {
	m.jobs++
	job := testJob(fmt.Sprintf("j%d", m.jobs), rapid.IntRange(1, 5).Draw(t, "tasks"), rapid.IntRange(1, 4).Draw(t, "cores"))
	job.Resources.Memory = resource.Bytes(rapid.IntRange(1, 8).Draw(t, "memory")) * gigabyte
	job.Gang = rapid.Bool().Draw(t, "gang")
	job.Checkpointable = rapid.Bool().Draw(t, "checkpointable")
	job.Priority = rapid.SampledFrom([]Priority{Urgent, Normal}).Draw(t, "priority")
	if rapid.Bool().Draw(t, "small") {
		job.Team = "small"
	}
	_ = m.AddJob(m.now, job)
}

func (m *machine) cancel(t *rapid.T) {
	m.CancelJob(m.now, worker.JobID(fmt.Sprintf("j%d", rapid.IntRange(1, 20).Draw(t, "job"))))
}

func (m *machine) pick(t *rapid.T) (Decision, bool) {
	keys := m.keys()
	if len(keys) == 0 {
		return Decision{}, false
	}
	return m.live[rapid.SampledFrom(keys).Draw(t, "attempt")], true
}

func (m *machine) finish(t *rapid.T) {
	if d, ok := m.pick(t); ok {
		outcome := rapid.SampledFrom([]Outcome{Succeeded, Failed, Evicted, Lost, Refused}).Draw(t, "outcome")
		m.end(d, outcome)
		m.end(d, outcome)
		delete(m.used, d.TaskAttempt)
	}
}

func (m *machine) report(t *rapid.T) {
	d, ok := m.pick(t)
	if !ok {
		return
	}
	observed := size(rapid.IntRange(0, 4).Draw(t, "observed"))
	m.used[d.TaskAttempt] = m.used[d.TaskAttempt].Max(observed)
	m.Report(m.now, d.Worker, worker.UsageSample{Tasks: []worker.TaskUsage{{TaskAttempt: d.TaskAttempt, Class: "build", Observed: observed}}})
}

func (m *machine) restore(t *rapid.T) {
	i := rapid.IntRange(0, 4).Draw(t, "worker")
	task := RunningTask{
		TaskAttempt: worker.TaskAttempt{
			Task:    worker.TaskID(fmt.Sprintf("j%d/%d", rapid.IntRange(max(m.jobs-2, 1), m.jobs+1).Draw(t, "job"), rapid.IntRange(0, 2).Draw(t, "index"))),
			Attempt: worker.Attempt(rapid.IntRange(1, 3).Draw(t, "attempt")),
		},
		Worker: workerID(i), Resources: size(1),
	}
	if _, known := m.workers[i]; !known || m.live[task.TaskAttempt].Worker != "" {
		return
	}
	m.Restore(m.now, task)
	if m.findAttempt(task.TaskAttempt) != nil {
		m.live[task.TaskAttempt] = Decision{TaskAttempt: task.TaskAttempt, Worker: task.Worker, Resources: task.Resources, Kind: Stop}
	}
}

// tick checks every start against the account.
func (m *machine) tick(t *rapid.T) {
	before := m.keys()
	decisions := m.step(time.Duration(rapid.IntRange(1, 20_000).Draw(t, "milliseconds")) * time.Millisecond)
	for _, d := range ofKind(decisions, Start) {
		for _, key := range before {
			if key.Task == d.Task && m.live[key].Kind == Start {
				t.Fatalf("task %s started on %s while attempt %d is on %s", d.Task, d.Worker, key.Attempt, m.live[key].Worker)
			}
		}
		before = append(before, d.TaskAttempt)
	}
	for _, d := range ofKind(decisions, Start) {
		m.checkWorker(t, d)
	}
}

func (m *machine) checkWorker(t *rapid.T, start Decision) {
	var given resource.Vector
	for key, d := range m.live {
		if d.Worker == start.Worker {
			given = given.Add(d.Resources.Max(m.used[key]))
		}
	}
	for _, w := range m.workers {
		if w.ID == start.Worker && !given.Add(w.Reserved).FitsIn(w.Capacity) {
			t.Fatalf("%s was given %+v beside %+v of %+v", w.ID, given, w.Reserved, w.Capacity)
		}
	}
}

// check compares the sums of the ledger with the attempts, and the attempts with
// the account.
func (m *machine) check(t *rapid.T) {
	total := 0
	for _, n := range m.nodes {
		var used, evictable, stopping resource.Vector
		for _, a := range n.attempts {
			used = used.Add(a.allocated)
			if a.preemptible() {
				evictable = evictable.Add(a.allocated)
			}
			if a.stopping {
				stopping = stopping.Add(a.allocated)
			}
		}
		total += len(n.attempts)
		if used != n.allocated || evictable != n.preemptible || stopping != n.stopping {
			t.Fatalf("%s: sums %+v %+v %+v differ from the attempts' %+v %+v %+v", n.ID, n.allocated, n.preemptible, n.stopping, used, evictable, stopping)
		}
	}
	if total != len(m.live) {
		t.Fatalf("the ledger has %d attempts, %d were started and not ended", total, len(m.live))
	}
	m.checkTeams(t)
}

func (m *machine) checkTeams(t *rapid.T) {
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
	all := m.teams["all"]
	if all.used != used["rota"].Add(used["small"]) || all.queued != queued || all.running != running {
		t.Fatalf("the parent team has %+v, %d queued, %d running; its jobs %+v, %d, %d", all.used, all.queued, all.running, used, queued, running)
	}
}

func (m *machine) keys() []worker.TaskAttempt {
	keys := make([]worker.TaskAttempt, 0, len(m.live))
	for key := range m.live {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b worker.TaskAttempt) int {
		return strings.Compare(fmt.Sprint(a), fmt.Sprint(b))
	})
	return keys
}
