package main

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// stepPlan is a step of a job, with what its tasks need and how long they really take.
type stepPlan struct {
	count    int
	cpu      int64
	memory   int64
	duration time.Duration
	after    []int
	// lasting tasks run until their job is cancelled; duration is then the time of their startup.
	lasting bool
}

// job is a job of a client.
type job struct {
	id          string
	spec        string
	steps       []stepPlan
	repetitions int
	firstRun    time.Time
	interval    time.Duration

	// acceptedAt is when the client got a 2xx response, zero until then.
	acceptedAt time.Time
	// refused counts the 429 and 503 responses, unanswered all other ones without a 2xx.
	refused, unanswered int
	// state is the last state that a client was shown, and shownAt when it first was.
	state   string
	shownAt time.Time
	done    map[string]bool
	running map[string]int
}

func (j *job) occurrences() int { return max(j.repetitions, 1) }

// taskCount returns the number of tasks of all occurrences.
func (j *job) taskCount() int {
	total := 0
	for _, s := range j.steps {
		total += s.count
	}
	return total * j.occurrences()
}

// due returns when an occurrence may start, as the platform's pages say it.
func (j *job) due(occurrence int) (time.Time, bool) {
	if j.repetitions == 0 {
		return time.Time{}, true
	}
	seconds := float64(j.firstRun.UnixMilli())/1000 + float64(occurrence)*j.interval.Seconds()
	now := float64(time.Now().UnixMilli()) / 1000
	if seconds-now > maxSleep.Seconds() {
		return time.Time{}, false
	}
	return time.UnixMilli(int64(seconds * 1000)), true
}

// maxSleep is longer than a case.
const maxSleep = time.Hour

// taskStart is the start of a task on an executor.
type taskStart struct {
	task     string
	run      int64
	executor string
	at       time.Time
}

// world has what the clients know of the jobs and what the executors have seen.
type world struct {
	record *record

	lock   sync.Mutex
	jobs   map[string]*job
	starts []taskStart
	// findings are the breaches of the rules on starts.
	findings []string
	ends     []*taskEnd
}

// taskEnd is the end of a run on an executor.
type taskEnd struct {
	number   int64
	task     string
	run      int64
	how      string
	executor string
	endedAt  time.Time
	// listedAt is when an executor first listed the end in a response, and notedAt when it was told
	// that the end is taken note of.
	listedAt, notedAt time.Time
}

func newWorld(r *record) *world {
	return &world{record: r, jobs: map[string]*job{}}
}

func (w *world) add(j *job) {
	w.lock.Lock()
	defer w.lock.Unlock()
	j.done, j.running = map[string]bool{}, map[string]int{}
	w.jobs[j.id] = j
}

// find adds a finding about a rule.
func (w *world) find(rule, format string, args ...any) {
	text := rule + ": " + fmt.Sprintf(format, args...)
	w.findings = append(w.findings, text)
	w.record.write("finding %s", text)
}

// planOf returns the plan of a task, which is named ID.K.STEP.INDEX.
func (w *world) planOf(task string) (*job, stepPlan, int, bool) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return nil, stepPlan{}, 0, false
	}
	j := w.jobs[parts[0]]
	occurrence, err := strconv.Atoi(parts[1])
	if j == nil || err != nil {
		return nil, stepPlan{}, 0, false
	}
	step, err := strconv.Atoi(parts[2])
	if err != nil || step < 0 || step >= len(j.steps) {
		return nil, stepPlan{}, 0, false
	}
	return j, j.steps[step], occurrence, true
}

// started records a start and checks it.
func (w *world) started(executor, task string, run int64, spec string) (stepPlan, bool) {
	w.lock.Lock()
	defer w.lock.Unlock()
	now := time.Now()
	j, plan, occurrence, known := w.planOf(task)
	if !known {
		w.find("UNASKED", "%s was told to start %s, which no client sent", executor, task)
		return stepPlan{}, false
	}
	if spec != j.spec {
		w.find("UNASKED", "%s was told to start %s with another spec", executor, task)
	}
	if j.done[task] {
		w.find("TWICE", "%s starts run %d of %s, which has ended done", executor, run, task)
	}
	if j.running[task] > 0 {
		w.find("TWICE", "%s starts run %d of %s, which runs", executor, run, task)
	}
	w.checkDue(j, occurrence, task, now)
	w.checkAfter(j, occurrence, task, plan)
	j.running[task]++
	w.starts = append(w.starts, taskStart{task, run, executor, now})
	w.record.write("%s starts %s run %d", executor, task, run)
	return plan, true
}

// earlySlack is the bound early_ms.
const earlySlack = 250 * time.Millisecond

// checkDue checks that a start isn't before the time of its occurrence. The lock must be held.
func (w *world) checkDue(j *job, occurrence int, task string, now time.Time) {
	due, soon := j.due(occurrence)
	switch {
	case !soon:
		w.find("ORDER", "%s starts more than an hour before its time", task)
	case !due.IsZero() && now.Before(due.Add(-earlySlack)):
		w.find("ORDER", "%s starts %v before its time", task, due.Sub(now))
	}
}

// checkAfter checks that all tasks of the steps before have ended done. The lock must be held.
func (w *world) checkAfter(j *job, occurrence int, task string, plan stepPlan) {
	for _, step := range plan.after {
		if missing := j.missing(occurrence, step); missing > 0 {
			w.find("ORDER", "%s starts although %d tasks of step %d, which comes before, haven't ended done", task, missing, step)
		}
	}
}

// missing returns the number of tasks of a step that haven't ended done.
func (j *job) missing(occurrence, step int) int {
	missing := 0
	for index := range j.steps[step].count {
		if !j.done[fmt.Sprintf("%s.%d.%d.%d", j.id, occurrence, step, index)] {
			missing++
		}
	}
	return missing
}

func (w *world) ended(e *taskEnd) {
	w.lock.Lock()
	defer w.lock.Unlock()
	if j, _, _, known := w.planOf(e.task); known {
		j.running[e.task]--
		if e.how == "done" {
			j.done[e.task] = true
		}
	}
	w.ends = append(w.ends, e)
	w.record.write("%s ends %s run %d %s", e.executor, e.task, e.run, e.how)
}

// findingsOf returns the findings about a rule.
func (w *world) findingsOf(rule string) []string {
	w.lock.Lock()
	defer w.lock.Unlock()
	var list []string
	for _, f := range w.findings {
		if strings.HasPrefix(f, rule+":") {
			list = append(list, f)
		}
	}
	return list
}

// ackTimeout is the bound ackTimeoutMs.
const ackTimeout = 4 * time.Second

// endsNotNoted returns how many of the ends that executors listed at least ackTimeout before now
// weren't taken note of within ackTimeout.
func (w *world) endsNotNoted(now time.Time) (late, all int) {
	w.lock.Lock()
	defer w.lock.Unlock()
	for _, e := range w.ends {
		if e.listedAt.IsZero() || now.Sub(e.listedAt) < ackTimeout {
			continue
		}
		all++
		if e.notedAt.IsZero() || e.notedAt.Sub(e.listedAt) > ackTimeout {
			late++
		}
	}
	return late, all
}

// idleJobs returns the accepted jobs without repetitions that have nothing running, had no start since
// a time, and have a task whose turn has come.
func (w *world) idleJobs(since time.Time) []string {
	w.lock.Lock()
	defer w.lock.Unlock()
	started := map[string]bool{}
	for _, s := range w.starts {
		if s.at.After(since) {
			id, _, _ := strings.Cut(s.task, ".")
			started[id] = true
		}
	}
	var idle []string
	for _, j := range w.jobs {
		if !j.acceptedAt.IsZero() && j.repetitions == 0 && !started[j.id] && j.runs() == 0 && j.hasReadyTask() {
			idle = append(idle, j.id)
		}
	}
	slices.Sort(idle)
	return idle
}

// runs returns the number of active runs of the job.
func (j *job) runs() int {
	active := 0
	for _, count := range j.running {
		active += count
	}
	return active
}

// hasReadyTask reports whether a task that hasn't ended done has its turn.
func (j *job) hasReadyTask() bool {
	for step := range j.steps {
		blocked := slices.ContainsFunc(j.steps[step].after, func(before int) bool { return j.missing(0, before) > 0 })
		if !blocked && j.missing(0, step) > 0 {
			return true
		}
	}
	return false
}

// unfinished returns the accepted jobs that no client was shown as completed, and how many of them
// have all tasks done.
func (w *world) unfinished() (jobs, allDone, accepted int) {
	w.lock.Lock()
	defer w.lock.Unlock()
	for _, j := range w.jobs {
		if j.acceptedAt.IsZero() {
			continue
		}
		accepted++
		if j.state == "completed" {
			continue
		}
		jobs++
		if len(j.done) == j.taskCount() {
			allDone++
		}
	}
	return jobs, allDone, accepted
}
