package diagnosis

import (
	"fmt"
	"strings"
	"time"
)

// run is one start of a task.
type run struct {
	task    string
	worker  string
	number  int64
	started time.Time
	ended   time.Time
	// how is the reason of its end: Done, Failed, Stopped or that of a loss.
	how  string
	lost bool
	// stopped is why it was told to stop.
	stopped string
}

// story is what the lines of a job tell.
type story struct {
	refused         *Line
	added           time.Time
	state           string
	took, objective time.Duration
	ended           time.Time
	// runs are in the order of their starts.
	runs  []*run
	known map[runKey]*run
}

// runKey names a run. Lines of one moment may stand in any order.
type runKey struct {
	task   string
	number int64
}

// storyOf reads the lines of one job, in the order of their times.
func storyOf(lines []Line) *story {
	s := &story{known: map[runKey]*run{}}
	for i := range lines {
		s.read(&lines[i])
	}
	return s
}

func (s *story) read(l *Line) {
	switch l.Event {
	case "Refused":
		s.refused = l
	case "JobAdded":
		if s.added.IsZero() {
			s.added = l.Time
		}
		s.objective = milliseconds(l.Objective)
	case "JobCompleted", "JobFailed", "JobCancelled":
		s.state = strings.TrimPrefix(l.Event, "Job")
		s.took, s.ended = milliseconds(l.Took), l.Time
	case "TaskStart":
		if l.Reason == "Accepted" {
			s.start(l)
		}
	case "TaskAdopted":
		if s.known[runKey{l.Task, l.Run}] == nil {
			s.start(l)
		}
	case "TaskStopping":
		if r := s.known[runKey{l.Task, l.Run}]; r != nil {
			r.stopped = l.Reason
		}
	case "TaskEnded":
		s.end(l, false)
	case "TaskLost":
		s.end(l, true)
	}
}

func (s *story) start(l *Line) {
	r := &run{task: l.Task, worker: l.Worker, number: l.Run, started: l.Time}
	s.runs = append(s.runs, r)
	s.known[runKey{l.Task, l.Run}] = r
}

func (s *story) end(l *Line, lost bool) {
	r := s.known[runKey{l.Task, l.Run}]
	if r == nil || !r.ended.IsZero() {
		return
	}
	r.ended, r.how, r.lost = l.Time, l.Reason, lost
}

// findings returns the causes that took noticeable time.
func (s *story) findings(lines []Line) []Finding {
	var list []Finding
	add := func(f Finding) {
		if f.Lost >= noticeable {
			list = append(list, f)
		}
	}
	add(s.waits())
	add(s.losses(lines))
	add(s.repeats(FailedRuns, func(r *run) string {
		if r.how == "Failed" {
			return "failed on " + r.worker
		}
		return ""
	}))
	add(s.repeats(Evicted, func(r *run) string {
		if r.stopped != "" && r.how == "Stopped" && r.stopped != "job ended" {
			return "stopped on " + r.worker + ", which " + r.stopped
		}
		return ""
	}))
	if s.took > s.objective && s.objective > 0 {
		add(s.longest())
		if len(list) == 0 {
			list = append(list, s.longest())
		}
	}
	return list
}

// waits adds up the time in which nothing of the job ran, from when it was known.
func (s *story) waits() Finding {
	f := Finding{Cause: WaitedForRoom}
	busyUntil, from := s.added, ""
	longest := time.Duration(0)
	for _, r := range s.runs {
		if gap := r.started.Sub(busyUntil); !busyUntil.IsZero() && gap > 0 {
			f.Lost += gap
			if gap > longest {
				longest, from = gap, r.task
			}
		}
		end := r.ended
		if end.IsZero() {
			end = s.ended
		}
		if end.After(busyUntil) {
			busyUntil = end
		}
	}
	if len(s.runs) == 0 && !s.added.IsZero() && s.ended.After(s.added) {
		f.Lost, from = s.ended.Sub(s.added), "its first task"
	}
	f.Facts = fmt.Sprintf("nothing of it ran for that time, longest before %s", from)
	return f
}

// losses adds up what runs took that were lost with their workers, until the next start.
func (s *story) losses(lines []Line) Finding {
	f := Finding{Cause: WorkerLost}
	for i, r := range s.runs {
		if !r.lost {
			continue
		}
		lost := s.nextStart(i).Sub(r.started)
		if lost <= f.Lost {
			continue
		}
		f.Lost = lost
		f.Facts = fmt.Sprintf("%s run %d on %s: %s", r.task, r.number, r.worker, r.how)
		if silent := lastBefore(lines, r.ended, func(l *Line) bool {
			return l.Worker == r.worker && (l.Event == "WorkerSilent" || l.Event == "WorkerRestarted")
		}); silent != nil {
			f.Facts += fmt.Sprintf("; %s at %s", silent.Event, silent.Time.Format("15:04:05.000"))
		}
	}
	return f
}

// repeats finds the task that lost most time by runs that matches gives a reason for.
func (s *story) repeats(cause Cause, matches func(*run) string) Finding {
	f := Finding{Cause: cause}
	byTask := map[string]time.Duration{}
	counts := map[string]int{}
	for i, r := range s.runs {
		reason := matches(r)
		if reason == "" {
			continue
		}
		byTask[r.task] += s.nextStart(i).Sub(r.started)
		counts[r.task]++
		if byTask[r.task] > f.Lost {
			f.Lost = byTask[r.task]
			f.Facts = fmt.Sprintf("%s, %d times, last %s", r.task, counts[r.task], reason)
		}
	}
	return f
}

// nextStart returns when the task of a run started again, else when the job ended.
func (s *story) nextStart(i int) time.Time {
	for _, r := range s.runs[i+1:] {
		if r.task == s.runs[i].task {
			return r.started
		}
	}
	if s.ended.IsZero() {
		return s.runs[i].ended
	}
	return s.ended
}

// longest finds the run that succeeded and took longest.
func (s *story) longest() Finding {
	f := Finding{Cause: LongTasks}
	for _, r := range s.runs {
		if took := r.ended.Sub(r.started); r.how == "Done" && took > f.Lost {
			f.Lost = took
			f.Facts = fmt.Sprintf("%s took longest, on %s; the objective rests on the client's estimates", r.task, r.worker)
		}
	}
	// Only what exceeds the objective is lost.
	f.Lost = min(f.Lost, s.took-s.objective)
	return f
}
